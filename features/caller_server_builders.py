"""Runs the server for callers in the test's event loop, and callers that write raw bytes to it."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter

from carawayd.connection.callers import CallerServer, CallerSettings
from carawayshore.clock import SystemClock
from carawayshore.workflows.model import CallerLimits
from carawayshore_standins.ports import PortReserver

RUN_LIMIT_S = 30.0
READ_LIMIT_S = 10.0
LIMITS = CallerLimits(16_384, 262_144, 3.0, 15.0)


class JumpingClock(SystemClock):
    """Clock that tests advance."""

    def __init__(self) -> None:
        self.jump = timedelta()

    def elapsed(self) -> timedelta:
        return super().elapsed() + self.jump


class ErrorCollector(logging.Handler):
    """Keeps the messages of errors that are logged."""

    def __init__(self, messages: list[str]) -> None:
        super().__init__(logging.ERROR)
        self._messages = messages

    def emit(self, record: logging.LogRecord) -> None:
        self._messages.append(record.getMessage())


class RawCaller:
    """One connection, on which a test writes and reads bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Returns status, fields by lower-case names, and body; the status is 0 at the end."""
        async with asyncio.timeout(READ_LIMIT_S):
            try:
                head = await self._reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0, {}, b""
            lines = head.decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            body = await self._reader.readexactly(int(fields.get("content-length", 0)))
            return int(lines[0].split()[1]), fields, body


class ServerHarness:
    """The server for callers with a handler that returns the body that it reads.

    Attributes
    ----------
    handled : list of (str, int)
        Path of each handled request and size of its body.
    gate : asyncio.Event
        The handler responds to ``/held`` and ``/unread`` only when it is set; it reads no body of
        ``/unread``.
    errors : list of str
        Messages of errors that were logged.
    cancelled : int
        Number of requests whose handling was cancelled.
    """

    def __init__(
        self, *, memory_mb: int = 128, descriptors: int = 4_096, collected: int = 0
    ) -> None:
        self._loop = asyncio.new_event_loop()
        self._ports = PortReserver()
        self.clock = JumpingClock()
        self.limits = LIMITS
        self.handled: list[tuple[str, int]] = []
        self.cancelled = 0
        self.errors: list[str] = []
        self._collector = ErrorCollector(self.errors)
        logging.getLogger().addHandler(self._collector)
        self.refusals = Counter("refusals", "", ["reason"], registry=CollectorRegistry())
        self.run(self._open(CallerSettings(memory_mb, descriptors, collected)))

    async def _open(self, settings: CallerSettings) -> None:
        self.gate = asyncio.Event()
        self.server = CallerServer(
            self._handle,
            settings,
            lambda: self.limits,
            self.clock,
            self.refusals,
            handler_cancellation=True,
        )
        self._address = self._ports.reserve()
        self._runner = await self.server.listen(self._address)
        self._callers: list[RawCaller] = []

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = b"" if request.path == "/unread" else await self._read(request)
            if request.path in ("/held", "/unread"):
                await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        self.handled.append((request.path, len(body)))
        if request.path == "/large":
            return web.Response(body=bytes(40_000_000))
        return web.Response(body=body[:100])

    async def _read(self, request: web.BaseRequest) -> bytes:
        return b"".join([chunk async for chunk in request.content.iter_any()])

    def run(self, coroutine: Any) -> Any:
        return self._loop.run_until_complete(asyncio.wait_for(coroutine, RUN_LIMIT_S))

    async def connect(self) -> RawCaller:
        host, _, port = self._address.rpartition(":")
        caller = RawCaller(*await asyncio.open_connection(host, int(port)))
        self._callers.append(caller)
        return caller

    async def wait_until(self, condition: Any, description: str) -> None:
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"condition not met: {description}")

    def count_refusals(self, reason: str) -> int:
        return int(self.refusals.labels(reason)._value.get())

    def close(self) -> None:
        logging.getLogger().removeHandler(self._collector)
        self.run(self._close())
        self._ports.release()
        self._loop.close()

    async def _close(self) -> None:
        self.gate.set()
        for caller in self._callers:
            caller.writer.close()
        await self._runner.cleanup()
