"""State from peers, for a process that cannot reach the log or starts behind its peers."""

from __future__ import annotations

import hashlib
import logging
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from mode import Service

from carawayd.process.messages import Header, Records, StateReply, StateRequest
from carawayshore.fold import StreamState

if TYPE_CHECKING:
    from carawayd.process.metrics import Metrics
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

INTERVAL = timedelta(milliseconds=250)
# The log delivers within this time as long as it answers.
LOG_LATE_AFTER = timedelta(seconds=1)


class StateSync(Service):
    """Asks peers for what they have applied and this process has not.

    Parameters
    ----------
    readers : list of StreamReader
    peers : Peers
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        readers: list[StreamReader],
        *,
        peers: Peers,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._readers = {reader.stream: reader for reader in readers}
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        peers.handle(StateRequest, self._handle_request)
        peers.handle(Records, self._handle_records)
        peers.handle(StateReply, self._handle_reply)

    def is_behind(self) -> bool:
        """Returns whether a reachable peer has applied records that this process has not.

        A process that follows the log is always a moment behind or ahead of its peers, so only
        one whose log is late counts.
        """
        return any(
            self._find_ahead(reader) is not None and self._is_late(reader)
            for reader in self._readers.values()
        )

    def _is_late(self, reader: StreamReader) -> bool:
        age = reader.contact_age()
        return age is None or age > LOG_LATE_AFTER or not reader.caught_up.is_set()

    def _find_ahead(self, reader: StreamReader) -> str | None:
        offsets = {
            peer.header.member: peer.heartbeat.own_applied.get(reader.stream, 0)
            for peer in self._peers.list_live()
        }
        best = max(offsets, key=lambda name: (offsets[name], name), default=None)
        if best is None or offsets[best] <= reader.folded.next_offset:
            return None
        return best

    @Service.task
    async def _ask(self) -> None:
        while not self.should_stop:
            for reader in self._readers.values():
                ahead = self._find_ahead(reader)
                if ahead is not None and self._is_late(reader):
                    request = StateRequest(reader.stream, reader.folded.next_offset)
                    self._peers.send(ahead, request)
            await self._clock.sleep(INTERVAL)

    def _handle_request(self, header: Header, body: StateRequest) -> None:
        reader = self._readers.get(body.stream)
        if reader is None or reader.folded.next_offset <= body.offset:
            return
        if body.offset in reader.recent:
            envelopes = [
                envelope for offset, envelope in reader.recent.items() if offset >= body.offset
            ]
            self._peers.send(header.member, Records(body.stream, body.offset, envelopes))
            return
        data = reader.folded.encode()
        digest = hashlib.sha256(data).hexdigest()
        reply = StateReply(body.stream, reader.folded.next_offset, data, digest)
        self._peers.send(header.member, reply)

    def _handle_records(self, header: Header, body: Records) -> None:
        reader = self._readers.get(body.stream)
        if reader is None or body.first > reader.folded.next_offset:
            return
        for index, envelope in enumerate(body.envelopes):
            reader.apply(body.first + index, envelope)
        reader.finish_batch()
        self._metrics.records.labels(body.stream, "relayed").inc(len(body.envelopes))

    def _handle_reply(self, header: Header, body: StateReply) -> None:
        reader = self._readers.get(body.stream)
        if reader is None or hashlib.sha256(body.state).hexdigest() != body.digest:
            self._metrics.records.labels(body.stream, "state_refused").inc()
            return
        try:
            reader.adopt(StreamState.decode(body.state))
        except msgspec.MsgspecError as error:
            self._metrics.records.labels(body.stream, "state_refused").inc()
            logger.warning("state of peer %s refused: %s", header.member, error)
