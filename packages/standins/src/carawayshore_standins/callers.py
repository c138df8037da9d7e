"""Load tool: callers that verify every answer whole and record what they were told.

Examples
--------
``python -m carawayshore_standins.callers --settings FILE [--seed N] [--output FILE]``
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import heapq
import itertools
import json
import random
import sys
from collections import Counter
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from carawayshore.clock import SystemClock
from carawayshore.findings import FindingsError
from carawayshore.options import Field
from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore_standins.common import load_settings
from carawayshore_standins.content import ContentVerifier, generate_pages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Iterator

    from carawayshore.clock import Clock

READY_INTERVAL = timedelta(milliseconds=250)
READY_TIMEOUT_S = 1.0
METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
BROKEN = "broken"
TIMED_OUT = "timeout"
UNMARKED = "unmarked"

KIND_FIELDS = (
    Field("kind", "name", "Kind of the requests, sent as Carawayshore-Kind.", required=True),
    Field("service", "name", "Service.", required=True),
    Field("method", "choice", "Method.", default="POST", choices=METHODS),
    Field("rate", "number", "Mean rate.", unit="requests/s", required=True, minimum=0.001),
    Field("work_seconds", "number", "Run time.", unit="s", default=0.0),
    Field("work_bytes", "integer", "Size of the answer; 0 for JSON.", unit="bytes", default=0),
    Field("body_bytes", "integer", "Size of the request body.", unit="bytes", default=0),
    Field("straggler_share", "number", "Share of stragglers.", default=0.0, maximum=1),
    Field("straggler_factor", "number", "Run time factor of stragglers.", default=30.0),
    Field("key_prefix", "text", "Prefix of the idempotency keys; absent: no keys."),
    Field("repeatable", "boolean", "Send Carawayshore-Repeatable.", default=False),
    Field("deadline_seconds", "number", "Deadline; 0 for none.", unit="s", default=0.0),
    Field("team", "text", "Team; empty for none.", default=""),
    Field("pool", "text", "Pool, to call workers directly; empty for entry hosts.", default=""),
    Field("burst_seconds", "number", "Length of a burst; 0 for a steady rate.", default=0.0),
    Field("quiet_seconds", "number", "Time between bursts.", unit="s", default=0.0),
    Field("burst_factor", "number", "Rate factor in a burst.", default=5.0),
    Field("quiet_factor", "number", "Rate factor between bursts.", default=0.05),
    Field("offset_seconds", "number", "Start of the first burst.", unit="s", default=0.0),
)
SETTINGS = (
    Field("addresses", "address_list", "Caller addresses of the entry hosts.", required=True),
    Field("kinds", "entry_list", "Kinds of requests.", required=True, fields=KIND_FIELDS),
    Field("count", "integer", "Most requests.", default=1000, minimum=1, maximum=1_000_000),
    Field("seconds", "number", "Longest sending time.", unit="s", default=10, maximum=3600),
    Field("in_progress", "integer", "Most requests in progress.", default=2000, minimum=1),
    Field("timeout_seconds", "number", "Longest wait for an answer.", unit="s", default=60),
    Field("seed", "integer", "Seed; absent: drawn and printed.", default=None),
    Field("watch_ready", "boolean", "Send to ready entry hosts only.", default=True),
)


def _build_headers(call: Call) -> dict[str, str]:
    headers = {
        "Work-Seconds": f"{call.work_seconds:.6f}",
        "Work-Bytes": str(call.work_bytes) if call.work_bytes else "",
        "Carawayshore-Kind": call.kind,
        "Carawayshore-Team": call.team,
        "Carawayshore-Pool": call.pool,
        "Carawayshore-Request": call.token if call.pool else "",
        "Idempotency-Key": call.key,
        "Carawayshore-Repeatable": "true" if call.repeatable else "",
        "Carawayshore-Deadline": f"{call.deadline_seconds:.3f}" if call.deadline_seconds else "",
    }
    return {name: value for name, value in headers.items() if value}


async def _send_pages(pages: Iterable[bytes]) -> AsyncIterator[bytes]:
    for page in pages:
        yield page


def _hash_body(call: Call) -> str:
    digest = hashlib.sha256()
    for page in generate_pages(call.path, call.body_bytes):
        digest.update(page)
    return digest.hexdigest()


async def _verify_answer(call: Call, answer: aiohttp.ClientResponse) -> bool:
    """Reads the whole answer and returns whether it is the answer to ``call``."""
    if call.method == "HEAD":
        return True
    if call.work_bytes:
        verifier = ContentVerifier(call.path, call.work_bytes)
        async for piece in answer.content.iter_any():
            verifier.feed(piece)
        return verifier.is_whole()
    try:
        body = json.loads(await answer.read())
        return body["path"] == call.path and body["sha256"] == _hash_body(call)
    except (ValueError, KeyError, TypeError):
        return False


def _list_arrivals(kind: dict[str, Any], seconds: float, draw: random.Random) -> Iterator[float]:
    """Yields arrival times in seconds, with bursts by thinning of a steady arrival process."""
    steady = not kind["burst_seconds"]
    highest = 1.0 if steady else max(kind["burst_factor"], kind["quiet_factor"])
    period = kind["burst_seconds"] + kind["quiet_seconds"]
    moment = 0.0
    while True:
        moment += draw.expovariate(kind["rate"] * highest)
        if moment >= seconds:
            return
        in_burst = steady or (moment - kind["offset_seconds"]) % period < kind["burst_seconds"]
        factor = 1.0 if steady else kind["burst_factor" if in_burst else "quiet_factor"]
        if draw.random() * highest < factor:
            yield moment


def _plan_kind(
    settings: dict[str, Any], kind: dict[str, Any], seed: int
) -> Iterator[tuple[float, Call]]:
    draw = random.Random(f"{seed}:{kind['kind']}")
    for number, moment in enumerate(_list_arrivals(kind, settings["seconds"], draw)):
        name = f"{kind['kind']}-{seed}-{number}"
        straggles = draw.random() < kind["straggler_share"]
        factor = kind["straggler_factor"] if straggles else 1.0
        prefix = kind["key_prefix"]
        call = Call(
            service=kind["service"],
            token=name,
            kind=kind["kind"],
            method=kind["method"],
            work_seconds=kind["work_seconds"] * factor,
            work_bytes=kind["work_bytes"],
            body_bytes=kind["body_bytes"],
            key="" if prefix is None else f"{prefix}{name}",
            repeatable=kind["repeatable"],
            deadline_seconds=kind["deadline_seconds"],
            timeout_seconds=settings["timeout_seconds"],
            team=kind["team"],
            pool=kind["pool"],
        )
        yield moment, call


def plan_calls(settings: dict[str, Any], seed: int) -> Iterator[tuple[float, Call]]:
    """Yields arrival times in seconds and calls; the same seed gives the same plan."""
    plans = [_plan_kind(settings, kind, seed) for kind in settings["kinds"]]
    merged = heapq.merge(*plans, key=lambda planned: planned[0])
    return itertools.islice(merged, settings["count"])


async def run_load(
    settings: dict[str, Any], seed: int, clock: Clock
) -> tuple[list[CallResult], int]:
    """Sends an open-loop load; returns the results and the number of calls that were not sent.

    A call is not sent if as many calls as ``in_progress`` are unanswered when its time comes.
    """
    balancer = Balancer(settings["addresses"], clock)
    unsent, sending = 0, set()
    async with Caller(balancer, clock, watch_ready=settings["watch_ready"]) as caller:
        start = clock.elapsed()
        for moment, call in plan_calls(settings, seed):
            wait = start + timedelta(seconds=moment) - clock.elapsed()
            if wait > timedelta():
                await clock.sleep(wait)
            if len(sending) >= settings["in_progress"]:
                unsent += 1
                continue
            task = asyncio.create_task(caller.send(call))
            sending.add(task)
            task.add_done_callback(sending.discard)
        await asyncio.gather(*sending)
    return caller.results, unsent


def _pick_quantile(ordered: list[float], share: float) -> float | None:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


def summarise_results(results: list[CallResult]) -> dict[str, Any]:
    """Returns counts by outcome and status, and latencies in seconds of completed calls by kind."""
    latencies: dict[str, list[float]] = {}
    for result in results:
        if result.outcome in (Outcome.COMPLETED.value, UNMARKED) and result.status == 200:
            latencies.setdefault(result.kind, []).append(result.latency_seconds)
    ordered = {kind: sorted(values) for kind, values in latencies.items()}
    return {
        "calls": len(results),
        "outcomes": dict(Counter(result.outcome for result in results)),
        "statuses": dict(Counter(str(result.status) for result in results)),
        "verified": sum(result.verified is True for result in results),
        "wrong": sum(result.verified is False for result in results),
        "latency_seconds": {
            kind: {"p50": _pick_quantile(v, 0.5), "p99": _pick_quantile(v, 0.99), "max": v[-1]}
            for kind, v in ordered.items()
        },
    }


def main() -> int:
    parser = argparse.ArgumentParser(description="Sends a bounded open-loop load.")
    parser.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    parser.add_argument("--seed", type=int, help="seed instead of the one in the settings")
    parser.add_argument("--output", type=Path, help="file for one JSON line for each call")
    arguments = parser.parse_args()
    try:
        settings = load_settings(SETTINGS, arguments.settings)
    except FindingsError as error:
        print(error, file=sys.stderr)
        return 2
    given = settings["seed"] if arguments.seed is None else arguments.seed
    seed = random.SystemRandom().randrange(2**31) if given is None else given
    print(json.dumps({"event": "load", "seed": seed}), flush=True)
    results, unsent = asyncio.run(run_load(settings, seed, SystemClock()))
    if arguments.output:
        lines = (json.dumps(result._asdict()) + "\n" for result in results)
        arguments.output.write_text("".join(lines))
    print(json.dumps({"seed": seed, "unsent": unsent} | summarise_results(results)))
    return 0


class Call(NamedTuple):
    """One request of a caller.

    Parameters
    ----------
    token : str
        Last part of the path; unique, so that an answer to another request is noticed.
    work_seconds : float
        Run time in seconds.
    work_bytes, body_bytes : int
        Sizes of the answer (0 for the JSON object) and of the request body.
    key : str
        Idempotency key; empty for none.
    deadline_seconds, timeout_seconds : float
        Deadline sent (0 for none) and longest wait, in seconds.
    pool : str
        Sends the headers that a worker expects from an entry host, for calls without one.
    """

    service: str
    token: str
    kind: str = ""
    method: str = "POST"
    work_seconds: float = 0.0
    work_bytes: int = 0
    body_bytes: int = 0
    key: str = ""
    repeatable: bool = False
    deadline_seconds: float = 0.0
    timeout_seconds: float = 60.0
    team: str = ""
    pool: str = ""

    @property
    def path(self) -> str:
        return f"/services/{self.service}/{self.token}"


class CallResult(NamedTuple):
    """What a caller learned about one request.

    Parameters
    ----------
    outcome : str
        Value of the outcome header, ``broken``, ``timeout``, or ``unmarked`` without the header.
    verified : bool or None
        Whether the whole answer belongs to the request; None if there is no answer of a worker.
    latency_seconds : float
        Time from sending to the end of the answer, in seconds.
    """

    path: str
    kind: str
    key: str
    address: str
    status: int
    outcome: str
    verified: bool | None
    latency_seconds: float
    error: str = ""
    request: str = ""


class Balancer:
    """Chooses entry hosts in turn, as the platform's balancer does.

    Parameters
    ----------
    addresses : list of str
    clock : Clock
    """

    def __init__(self, addresses: list[str], clock: Clock) -> None:
        self._addresses = addresses
        self._ready = list(addresses)
        self._clock = clock
        self._turn = itertools.count()

    def pick(self) -> str:
        """Returns the next ready entry host, or the next one at all if none is ready."""
        choice = self._ready or self._addresses
        return choice[next(self._turn) % len(choice)]

    async def watch(self) -> None:
        """Asks every entry host again and again whether it is ready."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while True:
                states = await asyncio.gather(*(self._ask(session, a) for a in self._addresses))
                self._ready = [a for a, up in zip(self._addresses, states, strict=True) if up]
                await self._clock.sleep(READY_INTERVAL)

    async def _ask(self, session: aiohttp.ClientSession, address: str) -> bool:
        try:
            async with session.get(f"http://{address}/v1/ready") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


class Caller:
    """Sends requests to entry hosts; an async context manager.

    Parameters
    ----------
    balancer : Balancer
    clock : Clock
    watch_ready : bool
        Whether the balancer asks the entry hosts for readiness.
    """

    def __init__(self, balancer: Balancer, clock: Clock, *, watch_ready: bool = True) -> None:
        self._balancer = balancer
        self._clock = clock
        self._watch_ready = watch_ready
        self._watcher: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None
        self.results: list[CallResult] = []

    async def __aenter__(self) -> Caller:
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        if self._watch_ready:
            self._watcher = asyncio.create_task(self._balancer.watch())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._watcher:
            self._watcher.cancel()
            await asyncio.gather(self._watcher, return_exceptions=True)
        await self._session.close()

    async def send(self, call: Call, *, address: str = "") -> CallResult:
        """Sends ``call`` once, without any retry, and records the result.

        Parameters
        ----------
        call : Call
        address : str
            Entry host to use; the balancer chooses if it is empty.
        """
        address = address or self._balancer.pick()
        started = self._clock.elapsed()
        status, outcome, verified, error, request = await self._exchange(call, address)
        latency = (self._clock.elapsed() - started).total_seconds()
        parts = (call.path, call.kind, call.key, address, status, outcome, verified)
        result = CallResult(*parts, latency, error, request)
        self.results.append(result)
        return result

    async def _exchange(self, call: Call, address: str) -> tuple[int, str, bool | None, str, str]:
        body = _send_pages(generate_pages(call.path, call.body_bytes)) if call.body_bytes else None
        status, verified = 0, None
        try:
            async with self._session.request(
                call.method,
                f"http://{address}{call.path}",
                data=body,
                headers=_build_headers(call),
                timeout=aiohttp.ClientTimeout(total=call.timeout_seconds),
            ) as answer:
                status = answer.status
                outcome = answer.headers.get(OUTCOME_HEADER, UNMARKED)
                request = answer.headers.get("Carawayshore-Request", "")
                if status == 200:
                    verified = await _verify_answer(call, answer)
                    return status, outcome, verified, "", request
                return status, outcome, None, (await answer.text())[:200], request
        except TimeoutError:
            return status, TIMED_OUT, verified, "no whole answer in time", ""
        except (aiohttp.ClientError, OSError) as error:
            return status, BROKEN, verified, repr(error), ""


if __name__ == "__main__":
    sys.exit(main())
