"""Outgoing connection to one peer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import zmq
from mode import Service

if TYPE_CHECKING:
    import zmq.asyncio

logger = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 1_000
# ZMTP heartbeats detect a dead connection; the socket then reconnects by itself.
PING_INTERVAL_MILLISECONDS = 500
PING_TIMEOUT_MILLISECONDS = 2_000


class PeerLink(Service):
    """Sends messages to one peer in order; drops them while the peer cannot be reached.

    Parameters
    ----------
    member : str
        Name of the peer.
    address : str
        Address of the peer's message socket.
    context : zmq.asyncio.Context
    """

    def __init__(self, member: str, address: str, context: zmq.asyncio.Context) -> None:
        super().__init__()
        self.member = member
        self.address = address
        self.dropped = 0
        self._queue: asyncio.Queue[list[bytes]] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MILLISECONDS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MILLISECONDS)
        self._socket.setsockopt(zmq.RECONNECT_IVL, 50)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        self._socket.connect(f"tcp://{address}")

    def send(self, frames: list[bytes]) -> bool:
        """Queues a message; returns False if the queue is full and the message was dropped."""
        try:
            self._queue.put_nowait(frames)
        except asyncio.QueueFull:
            self.dropped += 1
            return False
        return True

    @Service.task
    async def _send(self) -> None:
        while not self.should_stop:
            frames = await self._queue.get()
            try:
                await self._socket.send_multipart(frames, flags=zmq.NOBLOCK)
            except zmq.Again:
                self.dropped += 1
                self.on_unsent(frames)

    def on_unsent(self, frames: list[bytes]) -> None:
        """Handles a message that was dropped because no connection is open; does nothing here."""

    async def on_shutdown(self) -> None:
        self._socket.close()
