"""Connections to targets and to other entry hosts: one exchange is one request and its answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from mode import Service
from multidict import CIMultiDict

from carawayd.platform.common import PlatformError

if TYPE_CHECKING:
    from collections.abc import AsyncIterable, AsyncIterator

    from carawayd.platform.worker import WorkerClient, WorkerStatus
    from carawayd.process.metrics import Metrics
    from carawayd.process.settings import Settings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
# An exchange is probed once it made no progress for this long.
QUIET = timedelta(seconds=1)
# A worker that cannot be asked for this long is taken for lost.
UNREACHABLE = timedelta(seconds=3)
PROBE_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 15


class Failure(StrEnum):
    """How an exchange failed."""

    NOT_SENT = "not-sent"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


class ExchangeError(Exception):
    """An exchange ended without a whole answer."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure}: {detail}")
        self.failure = failure


class Outgoing(NamedTuple):
    """A request as it is sent to one address."""

    method: str
    url: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterable[bytes] | None


class Exchange:
    """A request in progress at one target.

    Parameters
    ----------
    request : str
        Identifier of the attempt, known to the worker.
    target, address : str
    clock : Clock
    """

    def __init__(self, request: str, target: str, address: str, clock: Clock) -> None:
        self.request = request
        self.target = target
        self.address = address
        self.response: aiohttp.ClientResponse | None = None
        self.failure: Failure | None = None
        self.missing_since: timedelta | None = None
        self.uploaded = 0
        self.received = -1
        self._clock = clock
        self.started = clock.elapsed()
        self.progressed = self.started
        self._task: asyncio.Task[aiohttp.ClientResponse] | None = None

    async def _count(self, body: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
        async for piece in body:
            self.uploaded += len(piece)
            yield piece

    def note_received(self, received: int | None) -> bool:
        """Returns whether the worker is receiving the body: it has all that was sent, or more
        than at the probe before. A caller that sends slowly is no silent connection.
        """
        moving = received is not None and (received != self.received or received >= self.uploaded)
        self.received = -1 if received is None else received
        return moving

    async def send(self, session: aiohttp.ClientSession, outgoing: Outgoing) -> None:
        """Sends the request and waits for the head of the answer.

        Raises
        ------
        ExchangeError
            If there is none.
        """
        body = outgoing.body
        if isinstance(body, bytes):
            self.uploaded = len(body)
        elif body is not None:
            body = self._count(body)
        self._task = asyncio.ensure_future(
            session.request(
                outgoing.method,
                outgoing.url,
                headers=outgoing.headers,
                data=body,
                allow_redirects=False,
            )
        )
        try:
            self.response = await self._task
        except asyncio.CancelledError:
            if self.failure is None:
                self._task.cancel()
                raise
            raise ExchangeError(self.failure, f"target {self.target}") from None
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ExchangeError(Failure.NOT_SENT, str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ExchangeError(self.failure or Failure.BROKEN, repr(error)) from error
        self.progressed = self._clock.elapsed()

    async def read(self) -> bytes:
        """Returns the next piece of the answer's body, empty at its end.

        Raises
        ------
        ExchangeError
            If the connection fails before the end.
        """
        try:
            piece = await self.response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ExchangeError(self.failure or Failure.BROKEN, repr(error)) from error
        if not piece and self.failure is not None:
            raise ExchangeError(self.failure, f"target {self.target}")
        self.progressed = self._clock.elapsed()
        return piece

    def abort(self, failure: Failure) -> None:
        """Closes the connection; whoever waits for it gets an ExchangeError."""
        self.failure = failure
        if self.response is not None:
            self.response.close()
        elif self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Ends the exchange; the connection is reused only if the answer was read whole."""
        if self.response is not None:
            self.response.release() if self.response.content.at_eof() else self.response.close()


def _open_socket(address_info: tuple) -> socket.socket:
    """Returns a socket whose keepalive finds a peer that is gone within about 4 s."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    limit = 1000 * (KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)
    return opened


class Connections(Service):
    """All outgoing connections of requests, and the probe that finds silent ones.

    A straggler and a silent connection look alike from the connection itself. The probe asks the
    worker, over a new connection, which requests it runs: a straggler is among them.

    Parameters
    ----------
    worker : WorkerClient
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self, worker: WorkerClient, *, settings: Settings, clock: Clock, metrics: Metrics
    ) -> None:
        super().__init__()
        self._worker = worker
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._exchanges: dict[str, dict[str, Exchange]] = {}
        self._probed_since: dict[str, timedelta] = {}
        connector = aiohttp.TCPConnector(
            limit=0, socket_factory=_open_socket, keepalive_timeout=IDLE_CONNECTION_SECONDS
        )
        connect = settings.options.connect.total_seconds()
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, connect=connect, sock_connect=connect),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        )
        # The client would repeat a request with an idempotent method by itself on a connection
        # that breaks, even one that carries an idempotency key.
        self._session._retry_connection = False

    @contextlib.asynccontextmanager
    async def open_exchange(self, request: str, target: str, address: str, outgoing: Outgoing):
        """Sends a request and gives its exchange, whose answer has begun.

        Raises
        ------
        ExchangeError
            If there is no answer.
        """
        exchange = Exchange(request, target, address, self._clock)
        self._exchanges.setdefault(target, {})[request] = exchange
        try:
            await exchange.send(self._session, outgoing)
            yield exchange
        finally:
            exchange.close()
            running = self._exchanges[target]
            del running[request]
            if not running:
                del self._exchanges[target]

    @property
    def exchange_count(self) -> int:
        return sum(len(running) for running in self._exchanges.values())

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            now = self._clock.elapsed()
            quiet = {
                target: [e for e in running.values() if now - e.progressed >= QUIET]
                for target, running in self._exchanges.items()
            }
            probes = [self._probe_target(name, found) for name, found in quiet.items() if found]
            self._probed_since = {n: at for n, at in self._probed_since.items() if quiet.get(n)}
            await asyncio.gather(*probes)
            await self._clock.sleep(self._settings.options.probe)

    async def _probe_target(self, target: str, exchanges: list[Exchange]) -> None:
        since = self._probed_since.setdefault(target, self._clock.elapsed())
        try:
            status = await self._worker.read_status(
                exchanges[0].address, timeout=PROBE_TIMEOUT_SECONDS
            )
        except PlatformError as error:
            logger.debug("probe of %s failed: %s", target, error)
            if self._clock.elapsed() - since >= UNREACHABLE:
                for exchange in exchanges:
                    exchange.abort(Failure.UNREACHABLE)
            return
        self._probed_since[target] = self._clock.elapsed()
        for exchange in exchanges:
            self._judge(exchange, status)

    def _judge(self, exchange: Exchange, status: WorkerStatus) -> None:
        """Aborts an exchange that the worker does not run and that makes no progress."""
        now = self._clock.elapsed()
        receiving = exchange.note_received(status.receiving.get(exchange.request))
        known = exchange.request in status.running or receiving
        if known or now - exchange.progressed < QUIET:
            exchange.missing_since = None
            return
        if exchange.missing_since is None:
            exchange.missing_since = now
        elif now - exchange.missing_since >= QUIET:
            self._metrics.silent_connections.labels(exchange.target).inc()
            fields = {"target": exchange.target, "request": exchange.request}
            logger.warning(
                "connection to %s went silent", exchange.target, extra={"fields": fields}
            )
            exchange.abort(Failure.SILENT)
            self._close_idle(exchange.address)

    def _close_idle(self, address: str) -> None:
        """Closes the idle connections to an address, which may have gone silent as well.

        The library offers this for all addresses together only.
        """
        idle = self._session.connector._conns
        for key in [key for key in idle if f"{key.host}:{key.port}" == address]:
            for connection, _ in idle.pop(key):
                connection.close()

    async def revoke(self, exchange_request: str, address: str) -> str:
        """Returns the state of an attempt at its worker, which will not start it any more.

        Returns
        -------
        str
            ``not-run``, ``running``, ``finished``, or ``unknown`` if the worker does not answer.
        """
        try:
            return await self._worker.revoke(
                address, exchange_request, timeout=PROBE_TIMEOUT_SECONDS
            )
        except PlatformError:
            return "unknown"

    async def on_shutdown(self) -> None:
        await self._session.close()
