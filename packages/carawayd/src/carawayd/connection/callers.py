"""Server that frames requests in bounded memory before aiohttp handles them.

The servers of one process share one account, so that its bounds hold for all addresses together.
A connection that never completes a request costs a few KB: the handler of aiohttp is created when
the first request is passed on. ``docs/design/callers.md`` describes what is bounded by what.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import socket
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from aiohttp import web

from carawayd.connection.callerhandler import CallerRequestHandler, HandlerTransport
from carawayshore.intake import (
    CAUSES_BY_STATUS,
    COMPRESSED_BYTES,
    CONNECTION_BYTES,
    FIELD_BYTES,
    HANDLED_COPIES,
    HANDLER_BYTES,
    Caller,
    Cause,
    Intake,
    Stage,
    choose_bounds,
)
from carawayshore.requestframing import FramingError, FramingLimits, RequestFramer, RequestPart

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from prometheus_client import Counter

    from carawayshore.clock import Clock
    from carawayshore.workflows.model import CallerLimits

logger = logging.getLogger(__name__)

READ_BYTES = 65_536
# Reads of a body in very small chunks are smaller, so that decoding it delays others by less than a
# millisecond.
FRAGMENTED_READ_BYTES = 4_096
# Bytes that are accepted after a request in progress. More is left to the kernel.
PIPELINED_BYTES = 16_384
# Bytes that a refused caller may still send before the connection is reset.
LINGER_BYTES = 1_048_576
UNLIMITED = 1 << 30
SWEEP_SECONDS = 0.5
# Connections that the kernel keeps until they are accepted, and how many are accepted in one turn
# of the event loop. asyncio uses one number for both. It takes some turns from an acceptance until
# a connection beyond the bound is closed, so the bound is exceeded by some times the second.
LISTEN_BACKLOG = 1024
ACCEPTED_AT_ONCE = 16
RETRY_SECONDS = 1
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
DETAILS = {
    Cause.MEMORY: "too many requests are incomplete",
    Cause.CONNECTIONS: "too many connections are open",
    Cause.HEAD_TIMEOUT: "the head was not complete in time",
    Cause.BODY_TIMEOUT: "the body made no progress",
}
STATUS_BY_CAUSE = {
    Cause.MEMORY: 503,
    Cause.CONNECTIONS: 503,
    Cause.HEAD_TIMEOUT: 408,
    Cause.BODY_TIMEOUT: 408,
}


class CallerSettings(NamedTuple):
    """Settings of the server for callers.

    Parameters
    ----------
    memory_mb, max_descriptors : int
        Memory and file descriptors of the machine, 0 for unknown.
    collected_bytes : int
        Largest body that is held until it is complete, if it is below the limit of bodies.
    """

    memory_mb: int
    max_descriptors: int
    collected_bytes: int


def build_response(status: int, detail: str) -> bytes:
    """Returns a response after which the connection is closed."""
    body = msgspec.json.encode({"error": detail})
    retry = f"Retry-After: {RETRY_SECONDS}\r\n" if status == 503 else ""
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{retry}Connection: close\r\n\r\n"
    )
    return head.encode() + body


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller.

    Parameters
    ----------
    server : CallerServer
    """

    __slots__ = (
        "_server",
        "_framer",
        "_transport",
        "_handler",
        "_caller",
        "_is_handled",
        "_is_complete",
        "_has_responded",
        "_handler_pauses",
        "_reading_paused",
        "_decoding_waits",
        "_passed_on",
        "_discarded",
    )

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._framer = RequestFramer()
        self._transport: asyncio.Transport | None = None
        self._handler: CallerRequestHandler | None = None
        self._caller: Caller | None = None
        # Whether the handler has a request, whether that request is complete, whether the handler
        # has responded to it, and whether it takes no more of its body for now.
        self._is_handled = False
        self._is_complete = False
        self._has_responded = False
        self._handler_pauses = False
        self._reading_paused = False
        self._decoding_waits = False
        self._passed_on = 0
        self._discarded = 0

    @property
    def server(self) -> CallerServer:
        return self._server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        now = self._server.read_time()
        self._caller = self._server.intake.open(self, now)
        # Another connection may be closed for this one.
        self._server.make_room(now)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove(self._caller)
        self._transport = None
        # What is held is freed now, not with the cycle of references to the handler.
        self._framer = RequestFramer()
        if self._handler is not None:
            self._handler.connection_lost(exc)
            self._handler = None

    def pause_writing(self) -> None:
        self._caller.unread_since = self._server.read_time()
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        self._caller.unread_since = 0.0
        if self._handler is not None:
            self._handler.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._framer.is_fragmented:
            return self._server.read_view[:FRAGMENTED_READ_BYTES]
        return self._server.read_view

    def buffer_updated(self, size: int) -> None:
        server, caller = self._server, self._caller
        if caller.stage is Stage.REFUSED:
            self._discarded += size
            if self._discarded > LINGER_BYTES:
                self._transport.abort()
            return
        now = server.read_time()
        self._framer.receive(server.read_view[:size])
        server.intake.record_received(caller, size, now)
        if self._framer.is_fragmented:
            self._wait_to_decode(now)
            return
        self._advance(now)
        if self._framer.has_more:
            self._wait_to_decode(now)

    def _wait_to_decode(self, now: float) -> None:
        """Pauses a body in very small chunks until it is its turn to be decoded."""
        if self._transport is None or self._caller.stage is Stage.REFUSED:
            return
        if not self._decoding_waits:
            self._decoding_waits = True
            self._server.add_decoding(self)
        self._update(now)

    def continue_decoding(self) -> None:
        """Decodes some more of a body in very small chunks."""
        self._decoding_waits = False
        if self._transport is None or self._caller.stage is Stage.REFUSED:
            return
        now = self._server.read_time()
        self._advance(now)
        if self._framer.has_more:
            self._wait_to_decode(now)

    def eof_received(self) -> None:
        """Closes the connection, as aiohttp does."""

    def _advance(self, now: float) -> None:
        """Passes on what the handler may have, and records the stage and what is held."""
        server, framer = self._server, self._framer
        while framer.has_begun and not self._handler_pauses:
            if self._is_handled and self._is_complete:
                break
            part = framer.take(server.framing_limits)
            if part is None:
                break
            if isinstance(part, FramingError):
                self._refuse(CAUSES_BY_STATUS[part.status], part.status, part.detail, now)
                return
            if not self._pass_on(part, now):
                return
        self._update(now)

    def _pass_on(self, part: RequestPart, now: float) -> bool:
        """Passes a part of a request on to the handler; returns False if it is refused."""
        server, caller = self._server, self._caller
        if part.begins:
            self._passed_on = self._estimate_held(part)
            if not self._reserve(now):
                return False
            self._is_handled = True
            self._has_responded = False
            if self._handler is None:
                self._open_handler()
        self._is_complete = part.ends
        stage = Stage.HANDLED if part.ends else Stage.STREAM
        if caller.stage is not stage:
            server.intake.set_stage(caller, stage, now)
        for piece in part.pieces:
            self._handler.data_received(piece)
        if part.ends and self._has_responded:
            self._end_request(now)
        return self._transport is not None

    def _estimate_held(self, part: RequestPart) -> int:
        """Returns how much is held for a request while it is handled."""
        held = sum(map(len, part.pieces)) * HANDLED_COPIES + part.fields * FIELD_BYTES
        return held + COMPRESSED_BYTES if part.compressed else held

    def _reserve(self, now: float) -> bool:
        """Makes room for a request that is to be handled; returns False if it is refused."""
        server, caller = self._server, self._caller
        more = CONNECTION_BYTES + HANDLER_BYTES + self._passed_on - caller.held
        if server.intake.held + more <= server.intake.bounds.held_bytes:
            return True
        server.intake.set_stage(caller, Stage.BODY, now)
        server.make_room(now, but=caller, more=more)
        return caller.stage is not Stage.REFUSED

    def _open_handler(self) -> None:
        self._handler = self._server.build_handler()
        self._handler.connection = self
        self._handler.connection_made(HandlerTransport(self, self._transport))

    def finish_request(self) -> None:
        """Continues with the next request after the response to the current one."""
        if self._transport is None or self._caller.stage is Stage.REFUSED:
            return
        self._has_responded = True
        if self._is_complete:
            now = self._server.read_time()
            self._end_request(now)
            self._advance(now)

    def count_malformed(self) -> None:
        """Counts a request that aiohttp refuses."""
        self._server.count(Cause.MALFORMED)

    def _end_request(self, now: float) -> None:
        self._is_handled = False
        self._passed_on = 0
        self._server.intake.set_stage(self._caller, Stage.IDLE, now)

    def pause_handler(self) -> None:
        """Stops passing on the body of a request; reading stops when enough is held."""
        self._handler_pauses = True
        if self._caller.stage is Stage.STREAM:
            # The handler, not the caller, delays the request.
            self._server.intake.set_stage(self._caller, Stage.HANDLED, self._server.read_time())

    def resume_handler(self) -> None:
        """Passes on again."""
        if not self._handler_pauses or self._transport is None:
            return
        self._handler_pauses = False
        now = self._server.read_time()
        if self._is_handled and not self._is_complete:
            self._server.intake.set_stage(self._caller, Stage.STREAM, now)
        self._advance(now)

    def _update(self, now: float) -> None:
        """Records the stage and what is held, and pauses or resumes reading."""
        if self._transport is None:
            return
        framer, caller, intake = self._framer, self._caller, self._server.intake
        if not self._is_handled:
            stage = Stage.IDLE
            if framer.has_begun:
                stage = Stage.BODY if framer.has_head else Stage.HEAD
            if caller.stage is not stage:
                intake.set_stage(caller, stage, now)
            if framer.wants_continue:
                framer.wants_continue = False
                self._transport.write(CONTINUE)
        held = CONNECTION_BYTES + framer.held + self._passed_on
        if self._handler is not None:
            held += HANDLER_BYTES
        intake.set_held(caller, held)
        pauses = self._is_handled and framer.held > PIPELINED_BYTES
        pauses = pauses or self._decoding_waits
        if pauses is not self._reading_paused:
            self._reading_paused = pauses
            if pauses:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        if intake.held > intake.bounds.held_bytes:
            self._server.make_room(now)

    def end(self, cause: Cause, now: float) -> None:
        """Ends the connection for a cause, with a response where it is certain that nothing ran."""
        if self._transport is None:
            self._server.remove(self._caller)
            return
        status = STATUS_BY_CAUSE.get(cause)
        if status is None or self._caller.stage not in (Stage.HEAD, Stage.BODY):
            if self._caller.stage is not Stage.REFUSED:
                self._server.count(cause)
            self._server.remove(self._caller)
            self._transport.abort()
            return
        self._refuse(cause, status, DETAILS[cause], now)

    def _refuse(self, cause: Cause, status: int, detail: str, now: float) -> None:
        """Refuses the request that is being received, and closes the connection soon."""
        server = self._server
        server.count(cause)
        if self._is_handled:
            # The handler has the beginning of the request; it may have run.
            self._transport.abort()
            return
        self._framer = RequestFramer()
        server.intake.set_stage(self._caller, Stage.REFUSED, now)
        held = CONNECTION_BYTES + (HANDLER_BYTES if self._handler is not None else 0)
        server.intake.set_held(self._caller, held)
        self._transport.write(build_response(status, detail))
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has already reset the connection.
            self._transport.abort()
            return
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self._transport is not None and not self._is_handled:
            self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class CallerServer(web.Server):
    """Server for callers, with bounds on what is held for their requests.

    Parameters
    ----------
    handle : callable
        Handles one request.
    settings : CallerSettings
    read_limits : callable
        Returns the limits that are in force. It is called at each use, so that a change also
        applies to open connections.
    clock : Clock
    refusals : Counter
        Counter with the label ``reason``.
    intake : Intake, optional
        Account of another server of the same process, whose bounds both keep together.
    """

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        settings: CallerSettings,
        read_limits: Callable[[], CallerLimits],
        clock: Clock,
        refusals: Counter,
        *,
        intake: Intake | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handle, access_log=None, **options)
        descriptors = settings.max_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.intake = intake or Intake(choose_bounds(settings.memory_mb, descriptors))
        self.read_view = memoryview(bytearray(READ_BYTES))
        self._collected_bytes = settings.collected_bytes
        self._read_limits = read_limits
        self._known_limits: CallerLimits | None = None
        self._framing_limits: FramingLimits | None = None
        self._clock = clock
        self._refusals = refusals
        self._sweep_handle: asyncio.TimerHandle | None = None
        self._is_shut_down = False
        # Connections with bodies in very small chunks that are to be decoded in turn.
        self._decoding: deque[CallerConnection] = deque()

    async def listen(self, address: str) -> web.BaseRunner:
        """Starts to listen; returns the runner that stops the server."""
        host, _, port = address.rpartition(":")
        listener = socket.create_server((host, int(port)))
        listener.setblocking(False)
        runner = web.ServerRunner(self)
        await runner.setup()
        await web.SockSite(runner, listener, backlog=ACCEPTED_AT_ONCE).start()
        listener.listen(LISTEN_BACKLOG)
        return runner

    def __call__(self) -> CallerConnection:
        if self._sweep_handle is None and not self._is_shut_down:
            self._sweep_handle = self._loop.call_later(SWEEP_SECONDS, self._sweep)
        return CallerConnection(self)

    def build_handler(self) -> CallerRequestHandler:
        """Returns a handler of aiohttp, without limits of heads, which are already checked."""
        return CallerRequestHandler(
            self,
            loop=self._loop,
            max_line_size=UNLIMITED,
            max_field_size=UNLIMITED,
            max_headers=UNLIMITED,
            # aiohttp stops reading above twice this number.
            read_bufsize=self.framing_limits.max_collected // 2 + 1,
            **self._kwargs,
        )

    @property
    def framing_limits(self) -> FramingLimits:
        limits = self._read_limits()
        if limits is not self._known_limits:
            self._known_limits = limits
            body = limits.max_body_bytes
            collected = min(body, self._collected_bytes or body)
            self._framing_limits = FramingLimits(limits.max_head_bytes, body, collected)
        return self._framing_limits

    @property
    def unfinished_count(self) -> int:
        """Number of requests to this server that have begun and are not complete."""
        return sum(owner.server is self for owner in self.intake.list_unfinished_owners())

    def add_decoding(self, connection: CallerConnection) -> None:
        """Decodes some of a connection's body later, in turn with others."""
        self._decoding.append(connection)
        if len(self._decoding) == 1:
            self._loop.call_soon(self._decode_next)

    def _decode_next(self) -> None:
        """Decodes for one connection, and leaves as much time to other work as that has taken."""
        began_at = self._loop.time()
        try:
            self._decoding[0].continue_decoding()
        finally:
            self._decoding.popleft()
            if self._decoding:
                self._loop.call_later(self._loop.time() - began_at, self._decode_next)

    def read_time(self) -> float:
        return self._clock.elapsed().total_seconds()

    def count(self, cause: Cause) -> None:
        """Counts a refused request or a connection that is closed."""
        self._refusals.labels(cause.value).inc()

    def remove(self, caller: Caller | None) -> None:
        if caller is not None:
            self.intake.close(caller)

    def make_room(self, now: float, *, but: Caller | None = None, more: int = 0) -> None:
        """Closes connections until the bounds are kept.

        If no other is left, the connection ``but`` that needs ``more`` bytes is refused.
        """
        while (found := self.intake.choose_excess(now, more)) is not None:
            caller, cause = found
            if self.intake.record_shed(now):
                self._log_shedding("shedding connections of callers begins", cause)
            caller.owner.end(cause, now)
            if caller is but:
                return

    def _log_shedding(self, message: str, cause: str) -> None:
        fields = {
            "cause": str(cause),
            "held": self.intake.held,
            "connections": self.intake.count,
            "unfinished": self.intake.unfinished_count,
        }
        logger.warning(message, extra={"fields": fields})

    def _sweep(self) -> None:
        """Ends the connections whose time is over."""
        self._sweep_handle = self._loop.call_later(SWEEP_SECONDS, self._sweep)
        now = self.read_time()
        for caller, cause in self.intake.find_expired(self._read_limits(), now):
            if caller.owner.server is self:
                caller.owner.end(cause, now)
        if self.intake.has_calmed(now):
            self._log_shedding("shedding connections of callers ended", "")

    def pre_shutdown(self) -> None:
        self._is_shut_down = True
        if self._sweep_handle is not None:
            self._sweep_handle.cancel()
        for connection in self._list_connections():
            connection.close()
        super().pre_shutdown()

    async def shutdown(self, timeout: float | None = None) -> None:
        await super().shutdown(timeout)
        for connection in self._list_connections():
            connection.abort()

    def _list_connections(self) -> list[CallerConnection]:
        return [owner for owner in self.intake.list_owners() if owner.server is self]
