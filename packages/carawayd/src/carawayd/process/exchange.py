"""Calls between entry hosts about workflows, over pyzmq."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING, Any

import msgspec
import zmq
import zmq.asyncio
from mode import Service

from carawayd.connection.peer import PeerLink

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayd.process.site import SiteSettings

logger = logging.getLogger(__name__)

MOST_QUEUED = 2_000


class PeerUnreached(Exception):
    """No answer came; ``sent`` tells whether the call may have taken effect."""

    def __init__(self, address: str, *, sent: bool) -> None:
        super().__init__(address)
        self.sent = sent


class Exchange(Service):
    """Sends calls to other entry hosts and answers theirs.

    Parameters
    ----------
    settings : SiteSettings
    """

    def __init__(self, settings: SiteSettings) -> None:
        super().__init__()
        self.handler: Callable[[str, list[Any]], Awaitable[Any]] | None = None
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, MOST_QUEUED)
        self._links: dict[str, _CallLink] = {}

    async def on_start(self) -> None:
        self._socket.bind(f"tcp://{self._settings.peer_address}")

    async def call(self, address: str, operation: str, *arguments: Any, timeout: float) -> Any:
        """Calls another entry host.

        Raises
        ------
        PeerUnreached
            If no answer came in time.
        """
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _CallLink(address, self._context)
            await self.add_runtime_dependency(link)
        return await link.call(operation, arguments, timeout)

    @Service.task
    async def _serve(self) -> None:
        while not self.should_stop:
            try:
                sender, *frames = await self._socket.recv_multipart()
            except zmq.ZMQError as error:
                if not self.should_stop:
                    logger.error("peer socket failed", extra={"fields": {"error": str(error)}})
                return
            asyncio.ensure_future(self._answer(sender, frames))

    async def _answer(self, sender: bytes, frames: list[bytes]) -> None:
        try:
            number, operation, arguments = msgspec.msgpack.decode(frames[-1])
            result = await self.handler(operation, arguments)
            reply = msgspec.msgpack.encode([number, result])
            await self._socket.send_multipart([sender, reply], flags=zmq.NOBLOCK)
        except (msgspec.MsgspecError, ValueError, TypeError, IndexError, zmq.ZMQError) as error:
            logger.warning("call of a peer failed", extra={"fields": {"error": repr(error)}})

    async def on_shutdown(self) -> None:
        self._socket.close()
        self._context.destroy(linger=0)


class _CallLink(PeerLink):
    """Calls to one peer, told apart by a number."""

    def __init__(self, address: str, context: zmq.asyncio.Context) -> None:
        super().__init__(address, address, context)
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[Any]] = {}

    async def call(self, operation: str, arguments: tuple[Any, ...], timeout: float) -> Any:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            if not self.send([msgspec.msgpack.encode([number, operation, arguments])]):
                raise PeerUnreached(self.address, sent=False)
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise PeerUnreached(self.address, sent=True) from error
        finally:
            del self._waiting[number]

    def note_unsent(self, frames: list[bytes]) -> None:
        number = msgspec.msgpack.decode(frames[-1])[0]
        future = self._waiting.get(number)
        if future is not None and not future.done():
            future.set_exception(PeerUnreached(self.address, sent=False))

    @Service.task
    async def _receive(self) -> None:
        while not self.should_stop:
            try:
                frames = await self._socket.recv_multipart()
                number, result = msgspec.msgpack.decode(frames[-1])
            except msgspec.MsgspecError as error:
                logger.warning("answer of a peer is bad", extra={"fields": {"error": str(error)}})
                continue
            except zmq.ZMQError:
                return
            future = self._waiting.get(number)
            if future is not None and not future.done():
                future.set_result(result)
