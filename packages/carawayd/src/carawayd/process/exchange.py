"""Remote procedure calls between entry hosts about workflows, over ZeroMQ."""

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

MAX_QUEUED_MESSAGES = 2_000


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
    """

    def __init__(self, settings: SiteSettings) -> None:
        super().__init__()
        self.handler: Callable[[str, list[Any]], Awaitable[Any]] | None = None
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._links: dict[str, _CallLink] = {}

    async def on_start(self) -> None:
        self._socket.bind(f"tcp://{self._settings.peer_address}")

    async def call(self, address: str, operation: str, *arguments: Any, timeout: float) -> Any:
        """Calls another entry host.

        Raises
        ------
        PeerUnreachable
            If the call could not be sent, or no reply arrived within ``timeout`` seconds.
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
                    logger.error(
                        "could not receive from peer socket; no longer serving peer calls",
                        extra={"fields": {"error": str(error)}},
                    )
                return
            asyncio.ensure_future(self._serve_call(sender, frames))

    async def _serve_call(self, sender: bytes, frames: list[bytes]) -> None:
        try:
            number, operation, arguments = msgspec.msgpack.decode(frames[-1])
            result = await self.handler(operation, arguments)
            reply = msgspec.msgpack.encode([number, result])
            await self._socket.send_multipart([sender, reply], flags=zmq.NOBLOCK)
        except (msgspec.MsgspecError, ValueError, TypeError, IndexError, zmq.ZMQError) as error:
            logger.warning(
                "could not serve call from peer", extra={"fields": {"error": repr(error)}}
            )

    async def on_shutdown(self) -> None:
        self._socket.close()
        self._context.destroy(linger=0)


class _CallLink(PeerLink):
    """Connection for calls to one peer; a reply carries the number of its call."""

    def __init__(self, address: str, context: zmq.asyncio.Context) -> None:
        super().__init__(address, address, context)
        self._call_numbers = itertools.count()
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}

    async def call(self, operation: str, arguments: tuple[Any, ...], timeout: float) -> Any:
        number = next(self._call_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        try:
            if not self.send([msgspec.msgpack.encode([number, operation, arguments])]):
                raise PeerUnreachable(self.address, sent=False)
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise PeerUnreachable(self.address, sent=True) from error
        finally:
            del self._pending_calls[number]

    def on_unsent(self, frames: list[bytes]) -> None:
        number = msgspec.msgpack.decode(frames[-1])[0]
        future = self._pending_calls.get(number)
        if future is not None and not future.done():
            future.set_exception(PeerUnreachable(self.address, sent=False))

    @Service.task
    async def _receive(self) -> None:
        while not self.should_stop:
            try:
                frames = await self._socket.recv_multipart()
                number, result = msgspec.msgpack.decode(frames[-1])
            except msgspec.MsgspecError as error:
                logger.warning(
                    "could not decode reply from peer; ignoring it",
                    extra={"fields": {"error": str(error)}},
                )
                continue
            except zmq.ZMQError:
                return
            future = self._pending_calls.get(number)
            if future is not None and not future.done():
                future.set_result(result)
