"""Messages between this entry host and its peers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

import zmq
import zmq.asyncio
from mode import Service
from returns.result import Failure

from carawayd.connection.peer import PeerLink
from carawayd.process.messages import (
    MAX_FRAME_BYTES,
    Header,
    Heartbeat,
    decode_message,
    encode_message,
)
from carawayd.process.settings import Peer

if TYPE_CHECKING:
    from carawayd.process.metrics import Metrics
    from carawayd.process.settings import Settings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

MAX_RECEIVE_QUEUE = 10_000

Handler = Callable[[Header, Any], None]


class PeerState(NamedTuple):
    """Last heartbeat of a peer; ``heard`` is when it arrived, on the monotonic clock."""

    header: Header
    heartbeat: Heartbeat
    heard: timedelta


class Peers(Service):
    """Receives messages from all peers and sends to each over a separate link.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, settings: Settings, *, clock: Clock, metrics: Metrics) -> None:
        super().__init__()
        self.incarnation = 0
        self.states: dict[str, PeerState] = {}
        self.links: dict[str, PeerLink] = {}
        self.caller_addresses: dict[str, str] = {}
        self.data_centres: dict[str, str] = {}
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._discovered: dict[str, Peer] = {}
        self._handlers: dict[type, list[Handler]] = {}
        self._context: zmq.asyncio.Context | None = None
        self._socket: zmq.asyncio.Socket | None = None

    def add_handler(self, body_type: type, handler: Handler) -> None:
        """Calls ``handler`` with the header and body of each message of ``body_type``."""
        self._handlers.setdefault(body_type, []).append(handler)

    async def on_start(self) -> None:
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._socket.setsockopt(zmq.RCVHWM, MAX_RECEIVE_QUEUE)
        self._socket.bind(f"tcp://{self._settings.peer_address}")
        for peer in self._settings.peers:
            if peer.member != self._settings.member:
                await self.connect(peer)

    async def connect(self, peer: Peer) -> None:
        """Opens the link to a peer, or replaces it if the peer's address changed."""
        self.caller_addresses[peer.member] = peer.caller_address
        self.data_centres[peer.member] = peer.data_centre
        link = self.links.get(peer.member)
        if link is not None and link.address == peer.peer_address:
            return
        if link is not None:
            await self.remove_dependency(link)
        self.links[peer.member] = PeerLink(peer.member, peer.peer_address, self._context)
        await self.add_runtime_dependency(self.links[peer.member])

    def send(self, member: str, body: Any) -> bool:
        """Sends a message to a peer; returns whether it was queued."""
        link = self.links.get(member)
        if link is None:
            return False
        return link.send(self._encode(body))

    def broadcast(self, body: Any) -> None:
        """Sends a message to all peers."""
        frames = self._encode(body)
        for link in self.links.values():
            link.send(frames)

    def _encode(self, body: Any) -> list[bytes]:
        return encode_message(
            body,
            member=self._settings.member,
            incarnation=self.incarnation,
            data_centre=self._settings.data_centre,
        )

    def list_live(self, *, data_centre: str | None = None) -> list[PeerState]:
        """Returns the peers with a heartbeat within ``peer_silence``, sorted by name."""
        oldest = self._clock.elapsed() - self._settings.options.peer_silence
        return [
            state
            for _, state in sorted(self.states.items())
            if state.heard >= oldest
            and (data_centre is None or state.header.data_centre == data_centre)
        ]

    def is_live(self, member: str) -> bool:
        """Returns whether a heartbeat of the peer arrived within ``peer_silence``."""
        state = self.states.get(member)
        limit = self._settings.options.peer_silence
        return state is not None and self._clock.elapsed() - state.heard <= limit

    @Service.task
    async def _receive(self) -> None:
        while not self.should_stop:
            frames = await self._socket.recv_multipart()
            self.receive(frames[1:])

    def receive(self, frames: list[bytes]) -> None:
        """Decodes one message and calls its handlers; a malformed one is counted and dropped."""
        decoded = decode_message(frames)
        if isinstance(decoded, Failure):
            self._metrics.frames.labels("", "malformed").inc()
            return
        header, body = decoded.unwrap()
        self._metrics.frames.labels(header.type, "received").inc()
        if isinstance(body, Heartbeat):
            self._record_heartbeat(header, body)
        for handler in self._handlers.get(type(body), []):
            try:
                handler(header, body)
            except Exception:
                self._metrics.frames.labels(header.type, "failed").inc()
                logger.exception("handling of a %s message failed", header.type)

    def _record_heartbeat(self, header: Header, body: Heartbeat) -> None:
        known = self.states.get(header.member)
        if known is None or not self.is_live(header.member):
            fields = {"peer": header.member, "incarnation": header.incarnation}
            logger.info("peer %s is reachable", header.member, extra={"fields": fields})
        elif header.incarnation < known.header.incarnation:
            return
        self.states[header.member] = PeerState(header, body, self._clock.elapsed())
        link = self.links.get(header.member)
        if link is None or link.address != body.peer_address:
            self._discovered[header.member] = Peer(
                header.member, header.data_centre, body.peer_address, body.caller_address
            )

    @Service.task
    async def _connect_discovered(self) -> None:
        """Connects to peers that were replaced at another address or are not in the settings."""
        while not self.should_stop:
            discovered, self._discovered = self._discovered, {}
            for peer in discovered.values():
                logger.info("connecting to peer %s at %s", peer.member, peer.peer_address)
                await self.connect(peer)
            await self._clock.sleep(self._settings.options.heartbeat)

    async def on_shutdown(self) -> None:
        self._socket.close()
        self._context.destroy(linger=0)
