"""State transfer from peers to a process that cannot reach the log or starts behind them."""

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

REQUEST_INTERVAL = timedelta(milliseconds=250)
# The log counts as late if it has not answered for this long.
LOG_LATE_THRESHOLD = timedelta(seconds=1)


class StateSync(Service):
    """Requests the records or the state that peers have applied and this process has not.

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
        peers.add_handler(StateRequest, self._handle_request)
        peers.add_handler(Records, self._handle_records)
        peers.add_handler(StateReply, self._handle_reply)

    def is_behind(self) -> bool:
        """Returns whether a reachable peer has applied records that this process has not.

        Processes that read the log are always slightly behind or ahead of each other, so a stream
        counts only if its log is late.
        """
        return any(
            self._find_peer_ahead(reader) is not None and self._is_log_late(reader)
            for reader in self._readers.values()
        )

    def _is_log_late(self, reader: StreamReader) -> bool:
        age = reader.contact_age()
        return age is None or age > LOG_LATE_THRESHOLD or not reader.caught_up.is_set()

    def _find_peer_ahead(self, reader: StreamReader) -> str | None:
        offsets = {
            peer.header.member: peer.heartbeat.own_applied.get(reader.stream, 0)
            for peer in self._peers.list_live()
        }
        best = max(offsets, key=lambda name: (offsets[name], name), default=None)
        if best is None or offsets[best] <= reader.folded.next_offset:
            return None
        return best

    @Service.task
    async def _request_states(self) -> None:
        while not self.should_stop:
            for reader in self._readers.values():
                ahead = self._find_peer_ahead(reader)
                if ahead is not None and self._is_log_late(reader):
                    request = StateRequest(reader.stream, reader.folded.next_offset)
                    self._peers.send(ahead, request)
            await self._clock.sleep(REQUEST_INTERVAL)

    def _handle_request(self, header: Header, body: StateRequest) -> None:
        reader = self._readers.get(body.stream)
        if reader is None or reader.folded.next_offset <= body.offset:
            return
        if body.offset in reader.recent_envelopes:
            envelopes = [
                envelope
                for offset, envelope in reader.recent_envelopes.items()
                if offset >= body.offset
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
        reader.notify_batch_listeners()
        self._metrics.records.labels(body.stream, "relayed").inc(len(body.envelopes))

    def _handle_reply(self, header: Header, body: StateReply) -> None:
        reader = self._readers.get(body.stream)
        if reader is None or hashlib.sha256(body.state).hexdigest() != body.digest:
            self._metrics.records.labels(body.stream, "state_refused").inc()
            return
        try:
            reader.adopt_state(StreamState.decode(body.state))
        except msgspec.MsgspecError as error:
            self._metrics.records.labels(body.stream, "state_refused").inc()
            logger.warning("decoding the state sent by peer %s failed: %s", header.member, error)
