"""HTTP connections to targets and other entry hosts.

An exchange is one request and its response.
"""

from __future__ import annotations

import asyncio
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
# Time without progress after which an exchange is probed. If the worker does not run
# its request, the exchange is aborted after this time has passed once more.
STALL_THRESHOLD = timedelta(seconds=1)
# Time without a successful probe after which a worker counts as unreachable.
UNREACHABLE_TIMEOUT = timedelta(seconds=3)
PROBE_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 15


class FailureKind(StrEnum):
    """Kind of failure of an exchange.

    ``NOT_SENT``: no connection was established. ``BROKEN``: the connection failed. ``SILENT``: no
    progress, and the worker does not run the request. ``UNREACHABLE``: the worker does not answer
    probes.
    """

    NOT_SENT = "not-sent"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


class ExchangeError(Exception):
    """An exchange ended without a complete response."""

    def __init__(self, failure: FailureKind, detail: str) -> None:
        super().__init__(f"{failure}: {detail}")
        self.failure = failure


class OutgoingRequest(NamedTuple):
    """A request in the form in which it is sent to one address."""

    method: str
    url: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterable[bytes] | None


class Exchange:
    """A request in progress at one target, with its response.

    Parameters
    ----------
    request : str
        Identifier of the attempt, under which the worker reports it.
    target, address : str
        Name of the target, and its host and port.
    clock : Clock

    Attributes
    ----------
    response : aiohttp.ClientResponse, optional
        Response, once its headers have arrived.
    failure : FailureKind, optional
        Why a probe aborted the exchange.
    missing_since : timedelta, optional
        Time of the first of the consecutive probes in which the worker did not know the request.
    uploaded : int
        Bytes of the request body that have been sent.
    received : int
        Bytes of the request body that the worker reported at the last probe, -1 for none.
    started, last_progress : timedelta
        Values of ``Clock.elapsed``.
    """

    def __init__(self, request: str, target: str, address: str, clock: Clock) -> None:
        self.request = request
        self.target = target
        self.address = address
        self.response: aiohttp.ClientResponse | None = None
        self.failure: FailureKind | None = None
        self.missing_since: timedelta | None = None
        self.uploaded = 0
        self.received = -1
        self._clock = clock
        self.started = clock.elapsed()
        self.last_progress = self.started
        self._task: asyncio.Task[aiohttp.ClientResponse] | None = None

    async def _count_uploaded(self, body: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
        async for chunk in body:
            self.uploaded += len(chunk)
            yield chunk

    def update_received(self, received: int | None) -> bool:
        """Records how many bytes of the body the worker received; returns whether it progresses.

        It progresses if the worker has received all bytes sent, or if the number has changed since
        the previous probe. So a caller that uploads slowly does not count as a silent connection.

        Parameters
        ----------
        received : int, optional
            Bytes of the body that the worker reports, None if it is not receiving the request.
        """
        progressing = received is not None and (
            received != self.received or received >= self.uploaded
        )
        self.received = -1 if received is None else received
        return progressing

    async def send(self, session: aiohttp.ClientSession, outgoing: OutgoingRequest) -> None:
        """Sends the request and waits for the headers of the response.

        Raises
        ------
        ExchangeError
            If the request fails before the response headers arrive.
        """
        body = outgoing.body
        if isinstance(body, bytes):
            self.uploaded = len(body)
        elif body is not None:
            body = self._count_uploaded(body)
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
            raise ExchangeError(FailureKind.NOT_SENT, str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ExchangeError(self.failure or FailureKind.BROKEN, repr(error)) from error
        self.last_progress = self._clock.elapsed()

    async def read(self) -> bytes:
        """Returns the next chunk of the response body, empty at its end.

        Raises
        ------
        ExchangeError
            If the connection fails before the end.
        """
        try:
            chunk = await self.response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ExchangeError(self.failure or FailureKind.BROKEN, repr(error)) from error
        if not chunk and self.failure is not None:
            raise ExchangeError(self.failure, f"target {self.target}")
        self.last_progress = self._clock.elapsed()
        return chunk

    def abort(self, failure: FailureKind) -> None:
        """Closes the connection; a pending ``send`` or ``read`` raises an ExchangeError."""
        self.failure = failure
        if self.response is not None:
            self.response.close()
        elif self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Ends the exchange; its connection is reused only if the response was read to its end."""
        if self.response is not None:
            self.response.release() if self.response.content.at_eof() else self.response.close()


def _open_socket(address_info: tuple) -> socket.socket:
    """Returns a socket whose TCP keepalive detects a dead peer within about 4 s."""
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
    """Outgoing connections of requests, with probes that detect silent connections.

    On the connection, a slow request cannot be told from a silent connection (one whose packets are
    lost without an error). So the probe asks the worker, over a separate connection, which requests
    it runs: a slow request is among them.

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
        self._last_contact: dict[str, timedelta] = {}
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
        # By default aiohttp resends a request with an idempotent method when its connection breaks,
        # even if the request carries an idempotency key, which must be sent at most once.
        self._session._retry_connection = False

    async def open_exchange(
        self, request: str, target: str, address: str, outgoing: OutgoingRequest
    ) -> Exchange:
        """Sends a request and returns its exchange once the response headers have arrived.

        The caller must close the returned exchange, also if reading the response fails.

        Raises
        ------
        ExchangeError
            If the request fails before the response headers arrive.
        """
        exchange = Exchange(request, target, address, self._clock)
        self._exchanges.setdefault(target, {})[request] = exchange
        try:
            await exchange.send(self._session, outgoing)
        except BaseException:
            self.close_exchange(exchange)
            raise
        return exchange

    def close_exchange(self, exchange: Exchange) -> None:
        """Ends an exchange, which is not probed any more."""
        exchange.close()
        running = self._exchanges[exchange.target]
        del running[exchange.request]
        if not running:
            del self._exchanges[exchange.target]

    @property
    def exchange_count(self) -> int:
        return sum(len(running) for running in self._exchanges.values())

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            now = self._clock.elapsed()
            stalled = {
                target: [e for e in running.values() if now - e.last_progress >= STALL_THRESHOLD]
                for target, running in self._exchanges.items()
            }
            probes = [
                self._probe_target(name, exchanges)
                for name, exchanges in stalled.items()
                if exchanges
            ]
            self._last_contact = {n: at for n, at in self._last_contact.items() if stalled.get(n)}
            await asyncio.gather(*probes)
            await self._clock.sleep(self._settings.options.probe)

    async def _probe_target(self, target: str, exchanges: list[Exchange]) -> None:
        since = self._last_contact.setdefault(target, self._clock.elapsed())
        try:
            status = await self._worker.read_status(
                exchanges[0].address, timeout=PROBE_TIMEOUT_SECONDS
            )
        except PlatformError as error:
            logger.debug("probe of %s failed: %s", target, error)
            if self._clock.elapsed() - since >= UNREACHABLE_TIMEOUT:
                for exchange in exchanges:
                    exchange.abort(FailureKind.UNREACHABLE)
            return
        self._last_contact[target] = self._clock.elapsed()
        for exchange in exchanges:
            self._check_exchange(exchange, status)

    def _check_exchange(self, exchange: Exchange, status: WorkerStatus) -> None:
        """Aborts an exchange without progress whose request the worker does not run.

        Both must hold in two probes at least ``STALL_THRESHOLD`` apart.
        """
        now = self._clock.elapsed()
        receiving = exchange.update_received(status.receiving.get(exchange.request))
        active = exchange.request in status.running or receiving
        if active or now - exchange.last_progress < STALL_THRESHOLD:
            exchange.missing_since = None
            return
        if exchange.missing_since is None:
            exchange.missing_since = now
        elif now - exchange.missing_since >= STALL_THRESHOLD:
            self._metrics.silent_connections.labels(exchange.target).inc()
            fields = {"target": exchange.target, "request": exchange.request}
            logger.warning(
                "connection to %s went silent (no progress, request unknown to worker); closing it",
                exchange.target,
                extra={"fields": fields},
            )
            exchange.abort(FailureKind.SILENT)
            self._close_idle(exchange.address)

    def _close_idle(self, address: str) -> None:
        """Closes the idle connections to an address, which may be silent as well.

        Uses the private pool of aiohttp, whose public interface can only close the connections to
        all addresses together.
        """
        idle = self._session.connector._conns
        for key in [key for key in idle if f"{key.host}:{key.port}" == address]:
            for connection, _ in idle.pop(key):
                connection.close()

    async def responds(self, address: str) -> bool:
        """Returns whether the worker at an address answers a probe in time."""
        try:
            await self._worker.read_status(address, timeout=PROBE_TIMEOUT_SECONDS)
        except PlatformError as error:
            logger.debug("probe of %s failed: %s", address, error)
            return False
        return True

    async def revoke(self, request: str, address: str) -> str:
        """Tells the worker never to start an attempt, and returns the state of the attempt.

        Returns
        -------
        str
            ``not-run``, ``running``, ``finished``, or ``unknown`` if the worker does not answer.
        """
        try:
            return await self._worker.revoke(address, request, timeout=PROBE_TIMEOUT_SECONDS)
        except PlatformError:
            return "unknown"

    async def on_shutdown(self) -> None:
        await self._session.close()
