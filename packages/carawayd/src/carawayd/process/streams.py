"""Reading and folding of one control stream."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import random
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from mode import Service
from returns.result import Failure, Result, Success

from carawayd.platform.common import PlatformError
from carawayd.platform.log import OffsetRemoved
from carawayd.process.recovery import SnapshotAssembler
from carawayshore import records
from carawayshore.fold import Rejection, StreamState, apply_record, skip_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.log import LogClient, LoggedRecord
    from carawayd.process.metrics import Metrics
    from carawayd.process.settings import Settings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

POLL_SECONDS = 1.0
INITIAL_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(seconds=2)
# Records kept in memory for peers that cannot reach the log.
MAX_RECENT_RECORDS = 512
# Records applied before yielding to the event loop, so that requests are served during catch-up.
RECORDS_PER_YIELD = 200


class AppliedRecord(NamedTuple):
    """An applied record and the fold's result, as passed to listeners."""

    offset: int
    record: records.Record
    result: Result[None, Rejection]


class StreamReader(Service):
    """Reads a stream continuously and keeps its folded state.

    Parameters
    ----------
    stream : str
    log : LogClient
    settings : Settings
    clock : Clock
    metrics : Metrics
    rng : random.Random
        Source of the jitter of retries.
    """

    def __init__(
        self,
        stream: str,
        *,
        log: LogClient,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.stream = stream
        self.folded = StreamState()
        self.end_offset = 0
        self.last_contact: timedelta | None = None
        self.caught_up = asyncio.Event()
        self.digests: OrderedDict[int, str] = OrderedDict()
        self.snapshot_due: tuple[int, bytes] | None = None
        self.digest_mismatches = 0
        self.last_rejection = ""
        self.recent_envelopes: OrderedDict[int, Any] = OrderedDict()
        self._log = log
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._listeners: list[Callable[[AppliedRecord], None]] = []
        self._batch_listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[AppliedRecord], None]) -> None:
        """Calls ``listener`` after each applied record."""
        self._listeners.append(listener)

    def add_batch_listener(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each batch of applied records."""
        self._batch_listeners.append(listener)

    def contact_age(self) -> timedelta | None:
        """Returns the time since the log last answered, or None if it never did."""
        return None if self.last_contact is None else self._clock.elapsed() - self.last_contact

    @Service.task
    async def _follow(self) -> None:
        delay = INITIAL_RETRY_DELAY
        while not self.should_stop:
            try:
                await self._read_or_recover()
                delay = INITIAL_RETRY_DELAY
            except (OffsetRemoved, PlatformError) as error:
                logger.debug("read of stream %s failed: %s", self.stream, error)
                self._metrics.records.labels(self.stream, "read_failed").inc()
                await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
                delay = min(delay * 2, MAX_RETRY_DELAY)

    async def _read_or_recover(self) -> None:
        """Reads the next records, or recovers from a snapshot if retention has removed them.

        The recovery fails if the log does, if retention removes further records, or if a peer
        relays newer state meanwhile; the next read then continues from the state at that time.
        """
        try:
            await self._read_once()
        except OffsetRemoved as removed:
            await self._recover_from_snapshot(removed)

    async def _read_once(self) -> None:
        behind = self.folded.next_offset < self.end_offset or not self.caught_up.is_set()
        page = await self._log.read(
            self.stream, self.folded.next_offset, wait=0 if behind else POLL_SECONDS
        )
        self.last_contact = self._clock.elapsed()
        self.end_offset = page.end
        await self._apply_page(page.records)
        if self.folded.next_offset >= self.end_offset and not self.caught_up.is_set():
            self.caught_up.set()
            logger.info("stream %s caught up", self.stream, extra=self._log_fields())

    def _log_fields(self) -> dict[str, Any]:
        return {"fields": {"stream": self.stream, "offset": self.folded.next_offset}}

    async def _apply_page(self, page: list[LoggedRecord]) -> None:
        for count, item in enumerate(page, 1):
            self.apply(item.offset, item.record)
            if count % RECORDS_PER_YIELD == 0:
                await asyncio.sleep(0)
        if page:
            self.notify_batch_listeners()

    def notify_batch_listeners(self) -> None:
        """Calls the batch listeners; to be called after each applied batch."""
        for listener in self._batch_listeners:
            listener()

    def apply(self, offset: int, envelope: Any) -> None:
        """Applies one record that was read from the log or relayed by a peer."""
        if offset < self.folded.next_offset:
            return
        self.recent_envelopes[offset] = envelope
        if len(self.recent_envelopes) > MAX_RECENT_RECORDS:
            self.recent_envelopes.popitem(last=False)
        decoded = records.decode_record(envelope)
        if isinstance(decoded, Failure):
            skip_record(self.folded, offset)
            self._metrics.records.labels(self.stream, "malformed").inc()
            self.last_rejection = f"offset {offset}: {decoded.failure().reason}"
        else:
            self._fold(offset, decoded.unwrap())
        self._update_digest()

    def _fold(self, offset: int, item: records.Record) -> None:
        result = apply_record(self.folded, offset, item)
        accepted = isinstance(result, Success)
        self._metrics.records.labels(self.stream, "accepted" if accepted else "rejected").inc()
        if not accepted:
            self.last_rejection = f"offset {offset}: {result.failure().reason}"
        if isinstance(item.body, records.Snapshot):
            self._compare_digest(item.body)
        applied = AppliedRecord(offset, item, result)
        for listener in self._listeners:
            listener(applied)

    def _update_digest(self) -> None:
        """Stores the digest of the state at each multiple of the snapshot interval."""
        if self.folded.next_offset % self._settings.options.snapshot_records:
            return
        data = self.folded.encode()
        self.digests[self.folded.next_offset] = hashlib.sha256(data).hexdigest()
        self.snapshot_due = (self.folded.next_offset, data)
        while len(self.digests) > 8:
            self.digests.popitem(last=False)

    def _compare_digest(self, snapshot: records.Snapshot) -> None:
        own = self.digests.get(snapshot.through)
        if self.snapshot_due and snapshot.through >= self.snapshot_due[0]:
            self.snapshot_due = None
        if own is not None and own != snapshot.digest:
            self.digest_mismatches += 1
            self._metrics.records.labels(self.stream, "digest_mismatch").inc()
            logger.error(
                "stream %s: own digest at offset %d differs from that of the snapshot record",
                self.stream,
                snapshot.through,
                extra={"fields": {"own": own, "snapshot": snapshot.digest}},
            )

    async def _recover_from_snapshot(self, removed: OffsetRemoved) -> None:
        """Replaces the state by the newest complete snapshot that the stream retains."""
        logger.warning(
            "stream %s: retention removed unread records, recovering from a snapshot",
            self.stream,
            extra={"fields": {"first": removed.first, "end": removed.end}},
        )
        assembler = SnapshotAssembler(self.stream)
        offset = removed.first
        while offset < removed.end:
            page = await self._log.read(self.stream, offset, wait=0)
            for item in page.records:
                assembler.add(item)
            if not page.records:
                break
            offset = page.records[-1].offset + 1
        state = assembler.choose(oldest=removed.first)
        if state is None or state.next_offset < self.folded.next_offset:
            raise PlatformError(
                f"stream {self.stream!r} retains no complete snapshot as new as the folded state"
            )
        self.adopt_state(state)

    def adopt_state(self, state: StreamState) -> bool:
        """Replaces the folded state if ``state`` is further ahead; returns whether it was."""
        if state.next_offset <= self.folded.next_offset:
            return False
        self.folded = state
        self.recent_envelopes.clear()
        self.end_offset = max(self.end_offset, state.next_offset)
        self._metrics.records.labels(self.stream, "state_adopted").inc()
        logger.info(
            "stream %s: folded state replaced by a newer one", self.stream, extra=self._log_fields()
        )
        self.notify_batch_listeners()
        return True
