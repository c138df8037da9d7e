"""Stand-in of a worker: runs requests in slots and tasks under leases."""

from __future__ import annotations

import asyncio
import hashlib
import sys
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from carawayshore.findings import Finding, FindingsError
from carawayshore.options import Field
from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore_standins.common import (
    ADDRESS_FIELDS,
    LOSS_FAULTS,
    PARTITION_FAULTS,
    LostAnswerError,
    Standin,
    answer_error,
    draw_share,
    read_body,
    run_standin,
)
from carawayshore_standins.content import generate_pages
from carawayshore_standins.executions import ExecutionRecord
from carawayshore_standins.silence import SilenceKeeper, SilentTransport
from carawayshore_standins.tasks import TaskRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from carawayshore.clock import Clock

FINISHED_SHOWN = timedelta(seconds=60)
WORK_SECONDS_MAXIMUM = 86_400.0
WORK_BYTES_MAXIMUM = 2**40
PIECE_BYTES = 64 * 1024
# Without a gap, answers on different connections arrive in an order that the receiver chooses.
RELEASE_GAP = timedelta(milliseconds=5)
STATE_INTERVAL = timedelta(milliseconds=250)
STATE_TIMEOUT_S = 2.0
CONTROL_PREFIXES = ("/v1/control/", "/v1/faults", "/v1/record")

SETTINGS = ADDRESS_FIELDS + (
    Field("host", "name", "Name of the host.", required=True),
    Field("pool", "text", "Pool at the start.", required=True),
    Field("pools", "base_url", "Pools service asked for pool and state at the start."),
    Field("slots", "integer", "Requests run at once.", default=8, minimum=1),
    Field("connections", "integer", "Connections that carry requests.", default=64, minimum=1),
    Field("processors", "number", "Processors for tasks.", default=16),
    Field("memory_gib", "number", "Memory for tasks.", unit="GiB", default=64),
    Field("accelerators", "integer", "Accelerators for tasks.", default=0),
    Field("work_seconds", "number", "Run time without Work-Seconds.", unit="s", default=0),
    Field(
        "body_seconds",
        "number",
        "Longest wait for the next piece of a request body.",
        unit="s",
        default=30,
        minimum=0.001,
    ),
    Field("usage_lag_seconds", "number", "Lag of the usage of tasks.", unit="s", default=5),
    Field(
        "record_file", "text", "File that keeps the record over a kill; empty: none.", default=""
    ),
)
FAULTS = (
    PARTITION_FAULTS
    + LOSS_FAULTS
    + (
        Field("fail_all", "boolean", "Answer 500 at once to everything.", default=False),
        Field("refuse", "boolean", "Refuse everything as not run.", default=False),
        Field("slow", "number", "Added run time.", unit="s", default=0.0, maximum=3600),
        Field("straggle_share", "number", "Share of stragglers.", default=0.0, maximum=1),
        Field("straggle_factor", "number", "Run time factor of stragglers.", default=30.0),
        Field("late_share", "number", "Share of late answers.", default=0.0, maximum=1),
        Field("late_seconds", "number", "Delay of late answers.", unit="s", default=0.0),
        Field("cut_share", "number", "Share of streams cut off.", default=0.0, maximum=1),
        Field("reorder", "integer", "Answers held, then sent newest first.", default=0),
        Field("reorder_seconds", "number", "Longest hold.", unit="s", default=1.0),
        Field("silent", "boolean", "Silence the connections open now.", default=False),
    )
)
REBOOT_FIELDS = (Field("seconds", "number", "Duration.", unit="s", required=True),)
RETURN_FIELDS = (Field("pool", "name", "Pool to serve.", required=True),)


def _read_number(request: web.Request, header: str, default: float, maximum: float) -> float:
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        raise FindingsError("headers", [Finding(f"/{header}", text, f"0 to {maximum:g}")])
    return value


class Work:
    """One request from its arrival to its answer."""

    def __init__(self, request: web.Request, identifier: str) -> None:
        self.request = request
        self.identifier = identifier
        self.key = request.headers.get("Idempotency-Key")
        self.pool = request.headers.get("Carawayshore-Pool")
        self.seconds = 0.0
        self.size = 0
        self.late = 0.0
        self.received = 0
        self.digest = hashlib.sha256()
        self.entry: dict[str, Any] | None = None
        self.reader: asyncio.Future[None] | None = None
        self.run: asyncio.Future[None] | None = None
        self.revoked = False

    @classmethod
    def read(cls, request: web.Request, default_seconds: float) -> Work:
        """Returns the work that the headers of ``request`` state.

        Raises
        ------
        FindingsError
            If a header is missing or not valid.
        """
        identifier = request.headers.get("Carawayshore-Request", "")
        if not identifier:
            finding = Finding("/Carawayshore-Request", None, "the identifier of the request")
            raise FindingsError("headers", [finding])
        work = cls(request, identifier)
        work.seconds = _read_number(request, "Work-Seconds", default_seconds, WORK_SECONDS_MAXIMUM)
        work.size = int(_read_number(request, "Work-Bytes", 0, WORK_BYTES_MAXIMUM))
        work.late = _read_number(request, "Answer-Delay", 0, WORK_SECONDS_MAXIMUM)
        return work

    async def read_body(self) -> None:
        async for piece in self.request.content.iter_chunked(PIECE_BYTES):
            self.digest.update(piece)
            self.received += len(piece)


class AnswerShuffler:
    """Holds answers and releases them in the reverse order of their arrival.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: list[asyncio.Event] = []
        self._releases: list[asyncio.Future[None]] = []

    async def hold(self, count: int, longest: timedelta) -> None:
        """Waits until ``count`` answers are held or ``longest`` has passed."""
        if len(self._held) + 1 >= count:
            held, self._held = self._held, []
            self._releases = [r for r in self._releases if not r.done()]
            self._releases.append(asyncio.ensure_future(self._release(held)))
            return
        released = asyncio.Event()
        self._held.append(released)
        timer = asyncio.ensure_future(self._clock.sleep(longest))
        event = asyncio.ensure_future(released.wait())
        await asyncio.wait({event, timer}, return_when=asyncio.FIRST_COMPLETED)
        event.cancel()
        timer.cancel()
        if released in self._held:
            self._held.remove(released)

    async def _release(self, held: list[asyncio.Event]) -> None:
        for released in reversed(held):
            await self._clock.sleep(RELEASE_GAP)
            released.set()


class Worker(Standin):
    """Runs requests and tasks, and records everything that it ran."""

    name = "worker"
    settings_fields = SETTINGS
    fault_fields = FAULTS

    def __init__(self, settings: dict[str, Any], clock: Any) -> None:
        super().__init__(settings, clock)
        self.pool: str = settings["pool"]
        self.draining = False
        self.record = ExecutionRecord(clock, settings["record_limit"], settings["record_file"])
        self._silence = SilenceKeeper()
        self._shuffler = AnswerShuffler(clock)
        self._works: set[Work] = set()
        self._finished: OrderedDict[str, timedelta] = OrderedDict()
        self._carriers: set[Any] = set()
        self._rebooting = False
        self._controlled = False
        self._background: set[asyncio.Task[None]] = set()
        self._tasks = TaskRunner(self)

    def list_routes(self) -> list[web.RouteDef]:
        return [
            web.route("*", "/services/{service}/{path:.*}", self._serve),
            web.get("/v1/status", self._get_status),
            web.post("/v1/requests/{request}/revoke", self._revoke),
            web.post("/v1/control/drain", self._drain),
            web.post("/v1/control/reboot", self._reboot),
            web.post("/v1/control/return", self._return),
            *self._tasks.list_routes(),
        ]

    def read_record(self) -> dict[str, Any]:
        return self.record.read() | {
            "host": self.settings["host"],
            "pool": self.pool,
            "draining": self.draining,
            "silent_connections": self._silence.count,
        }

    def clear_record(self) -> None:
        self.record.clear()

    def apply_faults(self, request: web.Request) -> None:
        if self.faults["silent"]:
            self._silence.silence(self.runner.server.connections, request.protocol)
            self.faults["silent"] = False

    async def begin(self) -> None:
        if self.settings["pools"]:
            self.draining = True
            self._spawn(self._learn_state())

    async def close(self) -> None:
        for task in self._background:
            task.cancel()
        self._silence.close()
        self._cut_off_works()
        await self._tasks.close()

    async def stop(self) -> None:
        await super().stop()
        self.record.close()  # Handlers record the end of their requests until the server is down.

    async def handle(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIXES):
            return await handler(request)
        if self.is_dropped(request) or self._rebooting:
            raise LostAnswerError
        answer = await handler(request)
        if self.is_dropped(request):
            raise LostAnswerError
        return answer

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _learn_state(self) -> None:
        """Asks the pools service for this host's state and refuses work until it is known.

        A control call that arrives in the meantime is newer than the answer.
        """
        url = f"{self.settings['pools']}/v1/hosts/{self.settings['host']}"
        timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self._controlled:
                try:
                    async with session.get(url) as answer:
                        state = await answer.json() if answer.status == 200 else None
                except (aiohttp.ClientError, TimeoutError, ValueError):
                    state = None
                if state and not self._controlled:
                    self.pool = state["pool"]
                    self.draining = state["state"] != "serving"
                    return
                await self.clock.sleep(STATE_INTERVAL)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Answers a caller's request: refuses it, or receives its body and runs it."""
        work = Work.read(request, self.settings["work_seconds"])
        arrival = self.record.describe_arrival()
        refusal = self._find_refusal(work)
        if refusal:
            return self._refuse_request(work, *refusal)
        self._works.add(work)
        try:
            if not self.faults["fail_all"] and not await self._receive(work):
                return self._refuse_request(work, 503, "revoked" if work.revoked else "body")
            self._begin(work, arrival)
            if self.faults["fail_all"]:
                self._end(work, "failed")
                return answer_error(500, "the worker fails everything that it starts")
            await self._run(work)
            if work.size:
                return await self._answer(work)
        finally:
            self._works.discard(work)
        return await self._answer(work)

    def _is_carrier_accepted(self, connection: Any) -> bool:
        """Counts a connection that carries requests; returns whether there is room for it."""
        if connection in self._carriers:
            return True
        self._carriers = {
            carrier
            for carrier in self._carriers.intersection(self.runner.server.connections)
            if not isinstance(carrier.transport, SilentTransport)
        }
        if len(self._carriers) >= self.settings["connections"]:
            return False
        self._carriers.add(connection)
        return True

    def _find_refusal(self, work: Work) -> tuple[int, str] | None:
        if work.pool != self.pool:
            return 421, "pool"
        if self.faults["refuse"]:
            return 503, "refused"
        if self.draining:
            return 503, "draining"
        if self.record.is_revoked(work.identifier):
            return 503, "revoked"
        if not self._is_carrier_accepted(work.request.protocol):
            return 503, "connections"
        if len(self._works) >= self.settings["slots"]:
            return 503, "slots"
        return None

    def _refuse_request(self, work: Work, status: int, reason: str) -> web.Response:
        self.record.reject(reason, request=work.identifier, key=work.key, pool=work.pool)
        return answer_error(
            status,
            f"not run: {reason}",
            {OUTCOME_HEADER: Outcome.NOT_RUN.value},
            reason=reason,
            pool=self.pool,
        )

    async def _receive(self, work: Work) -> bool:
        """Reads the body piece by piece; returns whether it arrived whole and may run."""
        if not work.request.body_exists or work.request.content.is_eof():
            await work.read_body()
            return True
        work.reader = asyncio.ensure_future(work.read_body())
        watch = asyncio.ensure_future(self._watch_body(work))
        try:
            await asyncio.wait({work.reader})
        finally:
            work.reader.cancel()
            watch.cancel()
        return not work.reader.cancelled() and work.reader.exception() is None

    async def _watch_body(self, work: Work) -> None:
        """Gives a body up when no piece of it has arrived for ``body_seconds``."""
        received = -1
        while received != work.received:
            received = work.received
            await self.clock.sleep(timedelta(seconds=self.settings["body_seconds"]))
        work.reader.cancel()

    def _begin(self, work: Work, arrival: dict[str, Any]) -> None:
        work.entry = self.record.begin(
            "request",
            request=work.identifier,
            key=work.key,
            pool=work.pool,
            service=work.request.match_info["service"],
            method=work.request.method,
            path=work.request.path,
            body_bytes=work.received,
            **arrival,
        )

    def _end(self, work: Work, result: str) -> None:
        self.record.end(work.entry, finished=result != "cut-off", result=result)
        self._finished[work.identifier] = self.clock.elapsed()

    async def _run(self, work: Work) -> None:
        seconds = self.stretch(work.identifier, work.seconds)
        if not seconds:
            self._end(work, "succeeded")
            return
        work.run = asyncio.ensure_future(self.clock.sleep(timedelta(seconds=seconds)))
        try:
            await asyncio.wait({work.run})
        finally:
            work.run.cancel()
            self._end(work, "cut-off" if work.run.cancelled() else "succeeded")
        if work.run.cancelled():
            raise LostAnswerError

    def stretch(self, name: str, seconds: float) -> float:
        """Returns the run time of ``name`` under the faults, in seconds."""
        drawn = draw_share(self.faults["seed"], f"straggle:{name}")
        factor = self.faults["straggle_factor"] if drawn < self.faults["straggle_share"] else 1
        return seconds * factor + self.faults["slow"]

    async def _answer(self, work: Work) -> web.StreamResponse:
        await self._delay(work)
        if self.choose_lost_answer(work.identifier):
            raise LostAnswerError
        if work.size:
            return await self._stream(work)
        body = {
            "request": work.identifier,
            "path": work.request.path,
            "sha256": work.digest.hexdigest(),
            "host": self.settings["host"],
        }
        return web.json_response(body, headers={"Carawayshore-Request": work.identifier})

    async def _delay(self, work: Work) -> None:
        """Holds a finished answer back: late answers first, then the change of order."""
        seconds = work.late
        if draw_share(self.faults["seed"], f"late:{work.identifier}") < self.faults["late_share"]:
            seconds += self.faults["late_seconds"]
        if seconds:
            await self.clock.sleep(timedelta(seconds=seconds))
        if self.faults["reorder"] > 1:
            longest = timedelta(seconds=self.faults["reorder_seconds"])
            await self._shuffler.hold(self.faults["reorder"], longest)

    async def _stream(self, work: Work) -> web.StreamResponse:
        """Sends an answer of ``work.size`` bytes; a fault may cut it off halfway."""
        answer = web.StreamResponse(headers={"Carawayshore-Request": work.identifier})
        answer.content_type = "application/octet-stream"
        answer.content_length = work.size
        await answer.prepare(work.request)
        drawn = draw_share(self.faults["seed"], f"cut:{work.identifier}")
        stop = work.size // 2 if drawn < self.faults["cut_share"] else work.size
        sent = 0
        for page in generate_pages(work.request.path, work.size):
            await answer.write(page[: stop - sent])
            sent += len(page)
            if sent >= stop < work.size or self.is_dropped(work.request):
                raise LostAnswerError
        await answer.write_eof()
        return answer

    async def _get_status(self, request: web.Request) -> web.Response:
        now = self.clock.elapsed()
        while self._finished and next(iter(self._finished.values())) < now - FINISHED_SHOWN:
            self._finished.popitem(last=False)
        status = {
            "host": self.settings["host"],
            "pool": self.pool,
            "draining": self.draining,
            "slots": self.settings["slots"],
            "in_use": len(self._works),
            "running": [work.identifier for work in self._works if work.entry],
            "receiving": {w.identifier: w.received for w in self._works if not w.entry},
            "finished": list(self._finished),
            "tasks": self._tasks.describe(),
        }
        return web.json_response(status)

    async def _revoke(self, request: web.Request) -> web.Response:
        identifier = request.match_info["request"]
        for work in self._works:
            if work.identifier == identifier and work.entry:
                return web.json_response({"state": "running"})
        state = self.record.revoke(identifier)
        for work in self._works:
            if work.identifier == identifier and work.reader:
                work.revoked = True
                work.reader.cancel()
        return web.json_response(state)

    async def _drain(self, request: web.Request) -> web.Response:
        self._controlled = True
        if self.record.drain_began is None:
            self.draining = True
            self.record.drain_began = self.clock.elapsed()
        return web.json_response({"draining": True})

    async def _return(self, request: web.Request) -> web.Response:
        body = await read_body(request, RETURN_FIELDS)
        self._controlled = True
        self.pool = body["pool"]
        self.draining = False
        self.record.drain_began = None
        return web.json_response({"draining": False, "pool": self.pool})

    async def _reboot(self, request: web.Request) -> web.Response:
        """Cuts off everything that runs and drops connections until the reboot is over."""
        body = await read_body(request, REBOOT_FIELDS)
        await self._drain(request)
        self._rebooting = True
        self._cut_off_works()
        self._tasks.cut_off()
        for connection in self.runner.server.connections:
            if connection is not request.protocol and connection.transport:
                connection.transport.abort()
        self._spawn(self._finish_reboot(body["seconds"]))
        return web.json_response({"draining": True})

    def _cut_off_works(self) -> None:
        for work in self._works:
            for part in (work.reader, work.run):
                if part:
                    part.cancel()

    async def _finish_reboot(self, seconds: float) -> None:
        await self.clock.sleep(timedelta(seconds=seconds))
        self._rebooting = False


if __name__ == "__main__":
    sys.exit(run_standin(Worker))
