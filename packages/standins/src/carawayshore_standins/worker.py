"""Stand-in for a worker: runs requests in slots and tasks under leases."""

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
    LostResponseError,
    Standin,
    build_error_response,
    draw_share,
    read_body,
    run_standin,
)
from carawayshore_standins.content import generate_pages
from carawayshore_standins.executions import ExecutionRecord
from carawayshore_standins.silence import ConnectionSilencer, SilentTransport
from carawayshore_standins.tasks import TaskRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from carawayshore.clock import Clock

# How long the status lists the identifier of an ended request.
FINISHED_RETENTION = timedelta(seconds=60)
MAX_DELAY_SECONDS = 86_400.0
MAX_RESPONSE_BYTES = 2**40
CHUNK_BYTES = 64 * 1024
# Interval between released responses. Without it, the receiver determines the order of responses on
# different connections.
RELEASE_INTERVAL = timedelta(milliseconds=5)
STATE_POLL_INTERVAL = timedelta(milliseconds=250)
STATE_TIMEOUT_S = 2.0
# Paths that respond even during a partition or a reboot.
CONTROL_PREFIXES = ("/v1/control/", "/v1/faults", "/v1/record")

SETTINGS = ADDRESS_FIELDS + (
    Field("host", "name", "Name of the host.", required=True),
    Field("pool", "text", "Pool at the start.", required=True),
    Field("pools", "base_url", "Pools service queried for pool and state at the start."),
    Field("slots", "integer", "Requests run concurrently.", default=8, minimum=1),
    Field("connections", "integer", "Connections that carry requests.", default=64, minimum=1),
    Field("processors", "number", "Processors for tasks.", default=16),
    Field("memory_gib", "number", "Memory for tasks.", unit="GiB", default=64),
    Field("accelerators", "integer", "Accelerators for tasks.", default=0),
    Field(
        "work_seconds",
        "number",
        "Run time of a request without the header Work-Seconds.",
        unit="s",
        default=0,
    ),
    Field(
        "body_seconds",
        "number",
        "Time-out for the next chunk of a request body.",
        unit="s",
        default=30,
        minimum=0.001,
    ),
    Field(
        "usage_lag_seconds",
        "number",
        "Delay of the reported resource usage of tasks.",
        unit="s",
        default=5,
    ),
    Field(
        "record_file",
        "text",
        "File that preserves the record if the process is killed; empty: none.",
        default="",
    ),
)
FAULTS = (
    PARTITION_FAULTS
    + LOSS_FAULTS
    + (
        Field("fail_all", "boolean", "Respond 500 to every request immediately.", default=False),
        Field("refuse", "boolean", "Refuse everything as not run.", default=False),
        Field("slow", "number", "Added run time.", unit="s", default=0.0, maximum=3600),
        Field("straggle_share", "number", "Share of stragglers.", default=0.0, maximum=1),
        Field("straggle_factor", "number", "Run time factor of stragglers.", default=30.0),
        Field("late_share", "number", "Share of delayed responses.", default=0.0, maximum=1),
        Field("late_seconds", "number", "Delay of delayed responses.", unit="s", default=0.0),
        Field(
            "cut_share",
            "number",
            "Share of streamed responses cut off halfway.",
            default=0.0,
            maximum=1,
        ),
        Field("reorder", "integer", "Responses held back, then sent newest first.", default=0),
        Field(
            "reorder_seconds",
            "number",
            "Maximum time that a response is held back.",
            unit="s",
            default=1.0,
        ),
        Field("silent", "boolean", "Make the currently open connections silent.", default=False),
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


class WorkItem:
    """One request of a service, from its arrival to its response."""

    def __init__(self, request: web.Request, identifier: str) -> None:
        self.request = request
        self.identifier = identifier
        self.key = request.headers.get("Idempotency-Key")
        self.pool = request.headers.get("Carawayshore-Pool")
        self.run_seconds = 0.0
        self.response_bytes = 0
        self.response_delay = 0.0
        self.received_bytes = 0
        self.digest = hashlib.sha256()
        self.entry: dict[str, Any] | None = None
        self.body_reader: asyncio.Future[None] | None = None
        self.execution: asyncio.Future[None] | None = None
        self.revoked = False

    @classmethod
    def from_request(cls, request: web.Request, default_seconds: float) -> WorkItem:
        """Returns the work item that the headers of ``request`` describe.

        Raises
        ------
        FindingsError
            If a header is missing or not valid.
        """
        identifier = request.headers.get("Carawayshore-Request", "")
        if not identifier:
            finding = Finding("/Carawayshore-Request", None, "the identifier of the request")
            raise FindingsError("headers", [finding])
        item = cls(request, identifier)
        item.run_seconds = _read_number(request, "Work-Seconds", default_seconds, MAX_DELAY_SECONDS)
        item.response_bytes = int(_read_number(request, "Work-Bytes", 0, MAX_RESPONSE_BYTES))
        item.response_delay = _read_number(request, "Answer-Delay", 0, MAX_DELAY_SECONDS)
        return item

    async def receive_body(self) -> None:
        """Reads the whole body; counts and hashes its bytes."""
        async for chunk in self.request.content.iter_chunked(CHUNK_BYTES):
            self.digest.update(chunk)
            self.received_bytes += len(chunk)


class ResponseReorderer:
    """Holds back responses and releases them in reverse order of arrival.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: list[asyncio.Event] = []
        self._releases: list[asyncio.Future[None]] = []

    async def hold(self, count: int, max_wait: timedelta) -> None:
        """Waits until ``count`` responses are held, or for at most ``max_wait``."""
        if len(self._held) + 1 >= count:
            held, self._held = self._held, []
            self._releases = [r for r in self._releases if not r.done()]
            self._releases.append(asyncio.ensure_future(self._release(held)))
            return
        released = asyncio.Event()
        self._held.append(released)
        timer = asyncio.ensure_future(self._clock.sleep(max_wait))
        event = asyncio.ensure_future(released.wait())
        await asyncio.wait({event, timer}, return_when=asyncio.FIRST_COMPLETED)
        event.cancel()
        timer.cancel()
        if released in self._held:
            self._held.remove(released)

    async def _release(self, held: list[asyncio.Event]) -> None:
        for released in reversed(held):
            await self._clock.sleep(RELEASE_INTERVAL)
            released.set()


class Worker(Standin):
    """Runs requests and tasks, and records every execution and refusal."""

    name = "worker"
    settings_fields = SETTINGS
    fault_fields = FAULTS

    def __init__(self, settings: dict[str, Any], clock: Any) -> None:
        super().__init__(settings, clock)
        self.pool: str = settings["pool"]
        self.draining = False
        self.record = ExecutionRecord(clock, settings["record_limit"], settings["record_file"])
        self._silencer = ConnectionSilencer()
        self._reorderer = ResponseReorderer(clock)
        self._work_items: set[WorkItem] = set()
        self._finished: OrderedDict[str, timedelta] = OrderedDict()
        self._request_connections: set[Any] = set()
        self._rebooting = False
        self._control_received = False
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
            "silent_connections": self._silencer.count,
        }

    def clear_record(self) -> None:
        self.record.clear()

    def apply_faults(self, request: web.Request) -> None:
        if self.faults["silent"]:
            self._silencer.silence(self.runner.server.connections, request.protocol)
            self.faults["silent"] = False

    async def on_listening(self) -> None:
        if self.settings["pools"]:
            self.draining = True
            self._spawn(self._fetch_initial_state())

    async def on_shutdown(self) -> None:
        for task in self._background:
            task.cancel()
        self._silencer.close()
        self._cancel_work()
        await self._tasks.close()

    async def stop(self) -> None:
        await super().stop()
        self.record.close()  # Last: handlers write to the record until the server is down.

    async def handle(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIXES):
            return await handler(request)
        if self.is_dropped(request) or self._rebooting:
            raise LostResponseError
        response = await handler(request)
        if self.is_dropped(request):
            raise LostResponseError
        return response

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _fetch_initial_state(self) -> None:
        """Fetches this host's state from the pools service; work is refused until it is known.

        Stops when a control call arrives, because that is newer than the fetched state.
        """
        url = f"{self.settings['pools']}/v1/hosts/{self.settings['host']}"
        timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self._control_received:
                try:
                    async with session.get(url) as response:
                        state = await response.json() if response.status == 200 else None
                except (aiohttp.ClientError, TimeoutError, ValueError):
                    state = None
                if state and not self._control_received:
                    self.pool = state["pool"]
                    self.draining = state["state"] != "serving"
                    return
                await self.clock.sleep(STATE_POLL_INTERVAL)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Handles a caller's request: refuses it, or reads its body and runs it."""
        item = WorkItem.from_request(request, self.settings["work_seconds"])
        arrival = self.record.describe_arrival()
        refusal = self._find_refusal(item)
        if refusal:
            return self._refuse_request(item, *refusal)
        self._work_items.add(item)
        try:
            if not self.faults["fail_all"] and not await self._receive(item):
                return self._refuse_request(item, 503, "revoked" if item.revoked else "body")
            self._begin(item, arrival)
            if self.faults["fail_all"]:
                self._end(item, "failed")
                return build_error_response(500, "the worker fails everything that it starts")
            await self._run(item)
            if item.response_bytes:
                return await self._respond(item)
        finally:
            self._work_items.discard(item)
        return await self._respond(item)

    def _admit_connection(self, connection: Any) -> bool:
        """Registers a connection that carries requests; returns False if the limit is reached."""
        if connection in self._request_connections:
            return True
        self._request_connections = {
            candidate
            for candidate in self._request_connections.intersection(self.runner.server.connections)
            if not isinstance(candidate.transport, SilentTransport)
        }
        if len(self._request_connections) >= self.settings["connections"]:
            return False
        self._request_connections.add(connection)
        return True

    def _find_refusal(self, item: WorkItem) -> tuple[int, str] | None:
        """Returns the status and reason for refusing the request, or None to accept it."""
        if item.pool != self.pool:
            return 421, "pool"
        if self.faults["refuse"]:
            return 503, "refused"
        if self.draining:
            return 503, "draining"
        if self.record.is_revoked(item.identifier):
            return 503, "revoked"
        if not self._admit_connection(item.request.protocol):
            return 503, "connections"
        if len(self._work_items) >= self.settings["slots"]:
            return 503, "slots"
        return None

    def _refuse_request(self, item: WorkItem, status: int, reason: str) -> web.Response:
        self.record.record_rejection(reason, request=item.identifier, key=item.key, pool=item.pool)
        return build_error_response(
            status,
            f"not run: {reason}",
            {OUTCOME_HEADER: Outcome.NOT_RUN.value},
            reason=reason,
            pool=self.pool,
        )

    async def _receive(self, item: WorkItem) -> bool:
        """Reads the body; returns False if it is incomplete, timed out or was revoked."""
        if not item.request.body_exists or item.request.content.is_eof():
            await item.receive_body()
            return True
        item.body_reader = asyncio.ensure_future(item.receive_body())
        watch = asyncio.ensure_future(self._enforce_body_timeout(item))
        try:
            await asyncio.wait({item.body_reader})
        finally:
            item.body_reader.cancel()
            watch.cancel()
        return not item.body_reader.cancelled() and item.body_reader.exception() is None

    async def _enforce_body_timeout(self, item: WorkItem) -> None:
        """Cancels reading the body when no bytes have arrived for ``body_seconds``."""
        received_bytes = -1
        while received_bytes != item.received_bytes:
            received_bytes = item.received_bytes
            await self.clock.sleep(timedelta(seconds=self.settings["body_seconds"]))
        item.body_reader.cancel()

    def _begin(self, item: WorkItem, arrival: dict[str, Any]) -> None:
        item.entry = self.record.begin(
            "request",
            request=item.identifier,
            key=item.key,
            pool=item.pool,
            service=item.request.match_info["service"],
            method=item.request.method,
            path=item.request.path,
            body_bytes=item.received_bytes,
            **arrival,
        )

    def _end(self, item: WorkItem, result: str) -> None:
        self.record.end(item.entry, finished=result != "cut-off", result=result)
        self._finished[item.identifier] = self.clock.elapsed()

    async def _run(self, item: WorkItem) -> None:
        seconds = self.compute_run_seconds(item.identifier, item.run_seconds)
        if not seconds:
            self._end(item, "succeeded")
            return
        item.execution = asyncio.ensure_future(self.clock.sleep(timedelta(seconds=seconds)))
        try:
            await asyncio.wait({item.execution})
        finally:
            item.execution.cancel()
            self._end(item, "cut-off" if item.execution.cancelled() else "succeeded")
        if item.execution.cancelled():
            raise LostResponseError

    def compute_run_seconds(self, name: str, seconds: float) -> float:
        """Returns the run time of ``name`` in seconds, including delays from faults."""
        drawn = draw_share(self.faults["seed"], f"straggle:{name}")
        factor = self.faults["straggle_factor"] if drawn < self.faults["straggle_share"] else 1
        return seconds * factor + self.faults["slow"]

    async def _respond(self, item: WorkItem) -> web.StreamResponse:
        await self._delay_response(item)
        if self.should_lose_response(item.identifier):
            raise LostResponseError
        if item.response_bytes:
            return await self._stream(item)
        body = {
            "request": item.identifier,
            "path": item.request.path,
            "sha256": item.digest.hexdigest(),
            "host": self.settings["host"],
        }
        return web.json_response(body, headers={"Carawayshore-Request": item.identifier})

    async def _delay_response(self, item: WorkItem) -> None:
        """Applies the response delays, then the reordering of responses."""
        seconds = item.response_delay
        if draw_share(self.faults["seed"], f"late:{item.identifier}") < self.faults["late_share"]:
            seconds += self.faults["late_seconds"]
        if seconds:
            await self.clock.sleep(timedelta(seconds=seconds))
        if self.faults["reorder"] > 1:
            max_wait = timedelta(seconds=self.faults["reorder_seconds"])
            await self._reorderer.hold(self.faults["reorder"], max_wait)

    async def _stream(self, item: WorkItem) -> web.StreamResponse:
        """Streams a response of ``item.response_bytes`` bytes; a fault can cut it off halfway."""
        response = web.StreamResponse(headers={"Carawayshore-Request": item.identifier})
        response.content_type = "application/octet-stream"
        response.content_length = item.response_bytes
        await response.prepare(item.request)
        drawn = draw_share(self.faults["seed"], f"cut:{item.identifier}")
        cutoff = (
            item.response_bytes // 2 if drawn < self.faults["cut_share"] else item.response_bytes
        )
        sent = 0
        for page in generate_pages(item.request.path, item.response_bytes):
            await response.write(page[: cutoff - sent])
            sent += len(page)
            if sent >= cutoff < item.response_bytes or self.is_dropped(item.request):
                raise LostResponseError
        await response.write_eof()
        return response

    async def _get_status(self, request: web.Request) -> web.Response:
        now = self.clock.elapsed()
        while self._finished and next(iter(self._finished.values())) < now - FINISHED_RETENTION:
            self._finished.popitem(last=False)
        status = {
            "host": self.settings["host"],
            "pool": self.pool,
            "draining": self.draining,
            "slots": self.settings["slots"],
            "in_use": len(self._work_items),
            "running": [item.identifier for item in self._work_items if item.entry],
            "receiving": {w.identifier: w.received_bytes for w in self._work_items if not w.entry},
            "finished": list(self._finished),
            "tasks": self._tasks.describe(),
        }
        return web.json_response(status)

    async def _revoke(self, request: web.Request) -> web.Response:
        identifier = request.match_info["request"]
        for item in self._work_items:
            if item.identifier == identifier and item.entry:
                self.record.record_revocation(identifier, "running")
                return web.json_response({"state": "running"})
        state = self.record.revoke(identifier)
        self.record.record_revocation(identifier, state["state"])
        for item in self._work_items:
            if item.identifier == identifier and item.body_reader:
                item.revoked = True
                item.body_reader.cancel()
        return web.json_response(state)

    async def _drain(self, request: web.Request) -> web.Response:
        self._control_received = True
        if self.record.drain_started_at is None:
            self.draining = True
            self.record.drain_started_at = self.clock.elapsed()
        return web.json_response({"draining": True})

    async def _return(self, request: web.Request) -> web.Response:
        body = await read_body(request, RETURN_FIELDS)
        self._control_received = True
        self.pool = body["pool"]
        self.draining = False
        self.record.drain_started_at = None
        return web.json_response({"draining": False, "pool": self.pool})

    async def _reboot(self, request: web.Request) -> web.Response:
        """Interrupts all running work and drops connections until the reboot is over."""
        body = await read_body(request, REBOOT_FIELDS)
        await self._drain(request)
        self._rebooting = True
        self._cancel_work()
        self._tasks.cut_off()
        for connection in self.runner.server.connections:
            if connection is not request.protocol and connection.transport:
                connection.transport.abort()
        self._spawn(self._finish_reboot(body["seconds"]))
        return web.json_response({"draining": True})

    def _cancel_work(self) -> None:
        for item in self._work_items:
            for future in (item.body_reader, item.execution):
                if future:
                    future.cancel()

    async def _finish_reboot(self, seconds: float) -> None:
        await self.clock.sleep(timedelta(seconds=seconds))
        self._rebooting = False


if __name__ == "__main__":
    sys.exit(run_standin(Worker))
