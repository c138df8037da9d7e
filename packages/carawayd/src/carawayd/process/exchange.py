"""Remote procedure calls between entry hosts about workflows, over ZeroMQ.

A call may carry an expiry, after which the receiver does not run it. The expiry is a time of the
receiver's monotonic clock, which each reply tells, so that no time of day is compared.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import secrets
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import zmq
import zmq.asyncio
from mode import Service

from carawayd.connection.peer import PeerLink
from carawayd.supervision import supervised_task
from carawayshore.decoding import (
    Count,
    MalformedDocument,
    Number,
    check_address,
    check_bounds,
    decode_msgpack,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 2_000


# A peer's clock is read again after this long without a reply, since clocks differ in rate.
MAX_CLOCK_AGE_SECONDS = 10.0
# Operation that only returns the peer's clock.
READ_CLOCK = "clock"
# Outcomes of a call at the peer: it ran, or its expiry had passed or named another process.
RAN, EXPIRED = "ran", "expired"


class PeerClock(NamedTuple):
    """Clock of a peer as of its last reply.

    Parameters
    ----------
    process : str
        Identifies the process, since a restarted one has another clock.
    seconds : float
        The peer's monotonic clock when it sent the reply.
    received_at : float
        Local monotonic clock when the reply arrived, in seconds.
    """

    process: str
    seconds: float
    received_at: float


class _Call(NamedTuple):
    """Call as sent; ``expiry`` names the process and the time of its clock, None for no limit."""

    number: Count
    operation: str
    arguments: list[Any]
    expiry: tuple[str, Number] | None


class _Reply(NamedTuple):
    """Reply as sent; ``process`` and ``seconds`` tell the clock of the sender."""

    number: Count
    outcome: str
    result: Any
    process: str
    seconds: Number


class PeerUnreachable(Exception):
    """Raised if a peer did not reply; ``sent``: the call was sent and may have run."""

    def __init__(self, address: str, *, sent: bool) -> None:
        super().__init__(address)
        self.sent = sent


class PeerRpc(Service):
    """Sends calls to other entry hosts and serves calls from them.

    Parameters
    ----------
    settings : SiteSettings
    clock : Clock
    """

    def __init__(self, settings: SiteSettings, clock: Clock) -> None:
        super().__init__()
        # Handles the operations that have no handler of their own in ``handlers``.
        self.handler: Callable[[str, list[Any]], Awaitable[Any]] | None = None
        self.handlers: dict[str, Callable[[list[Any]], Awaitable[Any]]] = {}
        self._settings = settings
        self._clock = clock
        self._process = secrets.token_hex(8)
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._links: dict[str, _CallLink] = {}

    async def on_start(self) -> None:
        self._socket.bind(f"tcp://{self._settings.peer_address}")

    async def call(
        self,
        address: str,
        operation: str,
        *arguments: Any,
        timeout: float,
        max_age: float | None = None,
    ) -> Any:
        """Calls another entry host.

        Parameters
        ----------
        address, operation : str
        arguments
            Built-in types.
        timeout : float
            Seconds to wait for the reply.
        max_age : float, optional
            Seconds after which the peer does not run the call, None for no limit.

        Raises
        ------
        PeerUnreachable
            If the call could not be sent, expired before it ran, or no reply arrived in time.
        """
        link = self._links.get(address)
        if link is None:
            try:
                check_address(address)
            except MalformedDocument as error:
                raise PeerUnreachable(address, sent=False) from error
            link = self._links[address] = _CallLink(address, self._context, self._clock)
            await self.add_runtime_dependency(link)
        return await link.call(operation, arguments, timeout, max_age)

    @supervised_task
    async def _serve(self) -> None:
        while not self.should_stop:
            try:
                sender, *frames = await self._socket.recv_multipart()
            except zmq.ZMQError as error:
                if not self.should_stop:
                    logger.error(
                        "could not receive from peer socket; no longer serving peer calls",
                        extra={"fields": {"error": str(error)}},
                    )
                return
            asyncio.ensure_future(self._serve_call(sender, frames))

    async def _serve_call(self, sender: bytes, frames: list[bytes]) -> None:
        try:
            number, operation, arguments, expiry = decode_msgpack(frames[-1], _Call)
            check_bounds(arguments)
            outcome, result = RAN, None
            if expiry is not None and self._is_expired(*expiry):
                outcome = EXPIRED
                logger.info(
                    "not running a call from a peer, because it arrived too late",
                    extra={"fields": {"operation": operation, "expiry": expiry}},
                )
            elif operation != READ_CLOCK:
                own_handler = self.handlers.get(operation)
                result = await (
                    own_handler(arguments) if own_handler else self.handler(operation, arguments)
                )
            reply = msgspec.msgpack.encode([number, outcome, result, self._process, self._now()])
            await self._socket.send_multipart([sender, reply], flags=zmq.NOBLOCK)
        except Exception as error:
            # A malformed call, or an error in its handler, must not affect other calls.
            logger.warning(
                "could not serve call from peer", extra={"fields": {"error": repr(error)}}
            )

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def _is_expired(self, process: str, seconds: float) -> bool:
        return process != self._process or self._now() > seconds

    async def on_shutdown(self) -> None:
        self._socket.close()
        self._context.destroy(linger=0)


class _CallLink(PeerLink):
    """Connection for calls to one peer; a reply carries the number of its call."""

    def __init__(self, address: str, context: zmq.asyncio.Context, clock: Clock) -> None:
        super().__init__(address, address, context)
        self._clock = clock
        self._peer_clock: PeerClock | None = None
        self._call_numbers = itertools.count()
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    async def call(
        self, operation: str, arguments: tuple[Any, ...], timeout: float, max_age: float | None
    ) -> Any:
        until = self._now() + timeout
        if max_age is None:
            return (await self._send_call(operation, arguments, None, timeout))[1]
        clock = self._peer_clock
        if clock is None or self._now() - clock.received_at > MAX_CLOCK_AGE_SECONDS:
            await self._send_call(READ_CLOCK, (), None, timeout)
        # The second attempt is for a peer that has restarted, and so has another clock.
        for _ in range(2):
            expiry = self._compute_expiry(max_age)
            remaining = until - self._now()
            outcome, result = await self._send_call(operation, arguments, expiry, remaining)
            if outcome != EXPIRED:
                return result
        raise PeerUnreachable(self.address, sent=False)

    def _compute_expiry(self, max_age: float) -> tuple[str, float]:
        """Returns the peer's process and a time of its clock, at most ``max_age`` from now."""
        clock = self._peer_clock
        # The peer's clock has advanced at least as far as the local one since the reply arrived.
        return clock.process, clock.seconds + self._now() - clock.received_at + max_age

    async def _send_call(
        self,
        operation: str,
        arguments: tuple[Any, ...],
        expiry: tuple[str, float] | None,
        timeout: float,
    ) -> tuple[str, Any]:
        number = next(self._call_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        # Reading the clock has no effect that the caller would have to know of.
        has_effect = operation != READ_CLOCK
        try:
            if not self.send([msgspec.msgpack.encode([number, operation, arguments, expiry])]):
                raise PeerUnreachable(self.address, sent=False)
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise PeerUnreachable(self.address, sent=has_effect) from error
        finally:
            del self._pending_calls[number]

    def on_unsent(self, frames: list[bytes]) -> None:
        number = msgspec.msgpack.decode(frames[-1])[0]
        future = self._pending_calls.get(number)
        if future is not None and not future.done():
            future.set_exception(PeerUnreachable(self.address, sent=False))

    @supervised_task
    async def _receive(self) -> None:
        while not self.should_stop:
            try:
                frames = await self._socket.recv_multipart()
                number, outcome, result, process, seconds = decode_msgpack(frames[-1], _Reply)
                self._peer_clock = PeerClock(process, seconds, self._now())
            except MalformedDocument as error:
                logger.warning(
                    "could not decode reply from peer; ignoring it",
                    extra={"fields": {"error": str(error)}},
                )
                continue
            except zmq.ZMQError:
                return
            future = self._pending_calls.get(number)
            if future is not None and not future.done():
                future.set_result((outcome, result))
