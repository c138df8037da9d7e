"""Load generator: clients that verify every response in full and record its outcome.

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
import signal
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
from carawayshore_standins.common import format_now, load_settings
from carawayshore_standins.content import ContentVerifier, generate_pages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Iterator

    from carawayshore.clock import Clock

READY_POLL_INTERVAL = timedelta(milliseconds=250)
READY_TIMEOUT_S = 1.0
RETRY_INTERVAL = timedelta(milliseconds=250)
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
    Field("work_bytes", "integer", "Size of the response; 0 for JSON.", unit="bytes", default=0),
    Field("body_bytes", "integer", "Size of the request body.", unit="bytes", default=0),
    Field("straggler_share", "number", "Share of stragglers.", default=0.0, maximum=1),
    Field("straggler_factor", "number", "Run time factor of stragglers.", default=30.0),
    Field("key_prefix", "text", "Prefix of the idempotency keys; absent: none."),
    Field("repeatable", "boolean", "Send Carawayshore-Repeatable.", default=False),
    Field("deadline_seconds", "number", "Deadline; 0 for none.", unit="s", default=0.0),
    Field("team", "text", "Team; empty for none.", default=""),
    Field("attempts", "integer", "Maximum attempts per call.", default=1, minimum=1, maximum=100),
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
    Field("count", "integer", "Maximum requests.", default=1000, minimum=1, maximum=1_000_000),
    Field("seconds", "number", "Maximum sending time.", unit="s", default=10, maximum=3600),
    Field("in_progress", "integer", "Maximum requests in progress.", default=2000, minimum=1),
    Field("timeout_seconds", "number", "Response timeout.", unit="s", default=60),
    Field("seed", "integer", "Random seed; absent: chosen and printed.", default=None),
    Field("watch_ready", "boolean", "Send to ready entry hosts only.", default=True),
    Field("output", "text", "Output file, one JSON line per call; empty: none.", default=""),
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


async def _stream_pages(pages: Iterable[bytes]) -> AsyncIterator[bytes]:
    for page in pages:
        yield page


def _hash_body(call: Call) -> str:
    digest = hashlib.sha256()
    for page in generate_pages(call.path, call.body_bytes):
        digest.update(page)
    return digest.hexdigest()


async def _verify_response(call: Call, response: aiohttp.ClientResponse) -> bool:
    """Reads the whole response and returns whether it matches the request of ``call``."""
    if call.method == "HEAD":
        return True
    if call.work_bytes:
        verifier = ContentVerifier(call.path, call.work_bytes)
        async for piece in response.content.iter_any():
            verifier.feed(piece)
        return verifier.is_complete()
    try:
        body = json.loads(await response.read())
        return body["path"] == call.path and body["sha256"] == _hash_body(call)
    except (ValueError, KeyError, TypeError):
        return False


def _generate_arrivals(kind: dict[str, Any], seconds: float, rng: random.Random) -> Iterator[float]:
    """Yields Poisson arrival times in seconds; bursts are generated by thinning."""
    steady = not kind["burst_seconds"]
    max_factor = 1.0 if steady else max(kind["burst_factor"], kind["quiet_factor"])
    period = kind["burst_seconds"] + kind["quiet_seconds"]
    arrival_s = 0.0
    while True:
        arrival_s += rng.expovariate(kind["rate"] * max_factor)
        if arrival_s >= seconds:
            return
        in_burst = steady or (arrival_s - kind["offset_seconds"]) % period < kind["burst_seconds"]
        factor = 1.0 if steady else kind["burst_factor" if in_burst else "quiet_factor"]
        if rng.random() * max_factor < factor:
            yield arrival_s


def _generate_calls(
    settings: dict[str, Any], kind: dict[str, Any], seed: int
) -> Iterator[tuple[float, Call]]:
    rng = random.Random(f"{seed}:{kind['kind']}")
    for number, arrival_s in enumerate(_generate_arrivals(kind, settings["seconds"], rng)):
        name = f"{kind['kind']}-{seed}-{number}"
        is_straggler = rng.random() < kind["straggler_share"]
        factor = kind["straggler_factor"] if is_straggler else 1.0
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
            attempts=kind["attempts"],
        )
        yield arrival_s, call


def plan_calls(settings: dict[str, Any], seed: int) -> Iterator[tuple[float, Call]]:
    """Yields arrival times in seconds and calls; the plan is deterministic for a seed."""
    plans = [_generate_calls(settings, kind, seed) for kind in settings["kinds"]]
    merged = heapq.merge(*plans, key=lambda planned: planned[0])
    return itertools.islice(merged, settings["count"])


async def run_load(
    settings: dict[str, Any], seed: int, clock: Clock, *, stopped: asyncio.Event | None = None
) -> tuple[list[CallResult], int]:
    """Sends an open-loop load; returns the results and the number of calls that were skipped.

    A call is skipped if ``in_progress`` calls are already awaiting a response at its arrival time.
    Setting ``stopped`` ends the sending; the calls in progress are awaited.
    """
    balancer = Balancer(settings["addresses"], clock)
    unsent, sending = 0, set()
    async with Caller(balancer, clock, watch_ready=settings["watch_ready"]) as caller:
        start = clock.elapsed()
        for arrival_s, call in plan_calls(settings, seed):
            wait = start + timedelta(seconds=arrival_s) - clock.elapsed()
            if wait > timedelta():
                await clock.sleep(wait)
            if stopped is not None and stopped.is_set():
                break
            if len(sending) >= settings["in_progress"]:
                unsent += 1
                continue
            task = asyncio.create_task(caller.send_with_retries(call))
            sending.add(task)
            task.add_done_callback(sending.discard)
        await asyncio.gather(*sending)
    return caller.results, unsent


def _find_quantile(ordered: list[float], share: float) -> float | None:
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
            kind: {"p50": _find_quantile(v, 0.5), "p99": _find_quantile(v, 0.99), "max": v[-1]}
            for kind, v in ordered.items()
        },
    }


async def _run_until_signal(
    settings: dict[str, Any], seed: int, clock: Clock
) -> tuple[list[CallResult], int]:
    """Runs the load; on SIGTERM or SIGINT sends no more calls and awaits those in progress."""
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    return await run_load(settings, seed, clock, stopped=stopped)


def main() -> int:
    parser = argparse.ArgumentParser(description="Sends a bounded open-loop load.")
    parser.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    parser.add_argument("--seed", type=int, help="random seed; overrides the settings")
    parser.add_argument("--output", type=Path, help="output file, one JSON line per call")
    arguments = parser.parse_args()
    try:
        settings = load_settings(SETTINGS, arguments.settings)
    except FindingsError as error:
        print(error, file=sys.stderr)
        return 2
    configured = settings["seed"] if arguments.seed is None else arguments.seed
    seed = random.SystemRandom().randrange(2**31) if configured is None else configured
    print(json.dumps({"event": "load", "seed": seed}), flush=True)
    results, unsent = asyncio.run(_run_until_signal(settings, seed, SystemClock()))
    if arguments.output or settings["output"]:
        lines = (json.dumps(result._asdict()) + "\n" for result in results)
        Path(arguments.output or settings["output"]).write_text("".join(lines))
    print(json.dumps({"seed": seed, "unsent": unsent} | summarise_results(results)))
    return 0


class Call(NamedTuple):
    """One request of a client.

    Parameters
    ----------
    token : str
        Last segment of the path; unique, so that a response to another request is detected.
    work_seconds : float
        Run time of the request on the worker, in seconds.
    work_bytes, body_bytes : int
        Sizes in bytes of the response body (0 for a JSON object) and of the request body.
    key : str
        Idempotency key; empty for none.
    deadline_seconds, timeout_seconds : float
        Deadline sent with the request (0 for none) and client-side timeout, in seconds.
    pool : str
        Pool to name in the headers that a worker expects from an entry host, for calls sent to
        workers directly; empty for calls through an entry host.
    attempts : int
        Maximum number of attempts.
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
    attempts: int = 1

    @property
    def path(self) -> str:
        return f"/services/{self.service}/{self.token}"


class CallResult(NamedTuple):
    """Result of one attempt at a request, as observed by the client.

    Parameters
    ----------
    outcome : str
        Value of the outcome header; ``unmarked`` if the header is missing, ``broken`` if the
        connection failed, ``timeout`` if the response was incomplete at the timeout.
    verified : bool or None
        Whether the whole response matches the request; None if no worker responded.
    latency_seconds : float
        Time from sending the request to the end of the response, in seconds.
    sent : str
        Time at which the request was sent, RFC 3339.
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
    sent: str = ""


class Balancer:
    """Chooses entry hosts round-robin, like the platform's load balancer.

    Parameters
    ----------
    addresses : list of str
    clock : Clock
    """

    def __init__(self, addresses: list[str], clock: Clock) -> None:
        self._addresses = addresses
        self._ready = list(addresses)
        self._clock = clock
        self._counter = itertools.count()

    def pick(self, *, avoid: str = "") -> str:
        """Returns the next ready entry host other than ``avoid``.

        If there is none, returns the next entry host whether ready or not.
        """
        candidates = [a for a in self._ready if a != avoid] or self._addresses
        return candidates[next(self._counter) % len(candidates)]

    async def watch(self) -> None:
        """Polls the readiness endpoint of every entry host until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while True:
                states = await asyncio.gather(
                    *(self._probe_ready(session, a) for a in self._addresses)
                )
                self._ready = [a for a, up in zip(self._addresses, states, strict=True) if up]
                await self._clock.sleep(READY_POLL_INTERVAL)

    async def _probe_ready(self, session: aiohttp.ClientSession, address: str) -> bool:
        try:
            async with session.get(f"http://{address}/v1/ready") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


class Caller:
    """Sends requests to entry hosts; an async context manager.

    Parameters
    ----------
    balancer : Balancer
    clock : Clock
    watch_ready : bool
        Whether the balancer polls the entry hosts for readiness.
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
        """Sends ``call`` once, without retries, and records the result.

        Parameters
        ----------
        call : Call
        address : str
            Entry host to use; the balancer chooses if it is empty.
        """
        address = address or self._balancer.pick()
        sent, started = format_now(self._clock), self._clock.elapsed()
        status, outcome, verified, error, request = await self._exchange(call, address)
        latency = (self._clock.elapsed() - started).total_seconds()
        parts = (call.path, call.kind, call.key, address, status, outcome, verified)
        result = CallResult(*parts, latency, error, request, sent)
        self.results.append(result)
        return result

    async def send_with_retries(self, call: Call) -> CallResult:
        """Sends ``call`` up to ``call.attempts`` times, each time through another entry host.

        Any call is retried after a safe-to-retry rejection. After an unknown outcome a call is
        retried only if it is repeatable or has an idempotency key. Each attempt is recorded as a
        separate result.
        """
        result = await self.send(call)
        for _ in range(call.attempts - 1):
            may_repeat = call.repeatable or call.key or result.outcome == Outcome.NOT_RUN.value
            if result.outcome in (Outcome.COMPLETED.value, UNMARKED) or not may_repeat:
                break
            await self._clock.sleep(RETRY_INTERVAL)
            result = await self.send(call, address=self._balancer.pick(avoid=result.address))
        return result

    async def _exchange(self, call: Call, address: str) -> tuple[int, str, bool | None, str, str]:
        body = (
            _stream_pages(generate_pages(call.path, call.body_bytes)) if call.body_bytes else None
        )
        status, verified = 0, None
        try:
            async with self._session.request(
                call.method,
                f"http://{address}{call.path}",
                data=body,
                headers=_build_headers(call),
                timeout=aiohttp.ClientTimeout(total=call.timeout_seconds),
            ) as response:
                status = response.status
                outcome = response.headers.get(OUTCOME_HEADER, UNMARKED)
                request = response.headers.get("Carawayshore-Request", "")
                if status == 200:
                    verified = await _verify_response(call, response)
                    return status, outcome, verified, "", request
                return status, outcome, None, (await response.text())[:200], request
        except TimeoutError:
            return status, TIMED_OUT, verified, "timed out before the response was complete", ""
        except (aiohttp.ClientError, OSError) as error:
            return status, BROKEN, verified, repr(error), ""


if __name__ == "__main__":
    sys.exit(main())
