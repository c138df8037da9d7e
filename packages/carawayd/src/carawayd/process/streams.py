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
RETRY_FIRST = timedelta(milliseconds=50)
RETRY_LONGEST = timedelta(seconds=2)
# Records kept for peers that lost the log.
RECENT_RECORDS = 512
# Records applied between two pauses of a catch-up, so that requests are served meanwhile.
YIELD_RECORDS = 200


class Applied(NamedTuple):
    """A record that was applied, told to listeners."""

    offset: int
    record: records.Record
    result: Result[None, Rejection]


class StreamReader(Service):
    """Follows a stream and keeps its folded state.

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
        self.end = 0
        self.contacted: timedelta | None = None
        self.caught_up = asyncio.Event()
        self.digests: OrderedDict[int, str] = OrderedDict()
        self.snapshot_due: tuple[int, bytes] | None = None
        self.digest_mismatches = 0
        self.last_rejection = ""
        self.recent: OrderedDict[int, Any] = OrderedDict()
        self._log = log
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._listeners: list[Callable[[Applied], None]] = []
        self._batch_listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[Applied], None]) -> None:
        """Calls ``listener`` after each applied record."""
        self._listeners.append(listener)

    def listen_batches(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each batch of applied records."""
        self._batch_listeners.append(listener)

    def contact_age(self) -> timedelta | None:
        """Returns the time since the log last answered, or None if it never did."""
        return None if self.contacted is None else self._clock.elapsed() - self.contacted

    @Service.task
    async def _follow(self) -> None:
        delay = RETRY_FIRST
        while not self.should_stop:
            try:
                await self._read_or_recover()
                delay = RETRY_FIRST
            except (OffsetRemoved, PlatformError) as error:
                logger.debug("read of stream %s failed: %s", self.stream, error)
                self._metrics.records.labels(self.stream, "read_failed").inc()
                await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
                delay = min(delay * 2, RETRY_LONGEST)

    async def _read_or_recover(self) -> None:
        """Reads on, or from a snapshot if retention has passed this process.

        The recovery fails if the log does, if retention moves on, or if a peer relays newer state
        meanwhile; the next reading then finds what holds.
        """
        try:
            await self._read_once()
        except OffsetRemoved as removed:
            await self._recover(removed)

    async def _read_once(self) -> None:
        behind = self.folded.next_offset < self.end or not self.caught_up.is_set()
        page = await self._log.read(
            self.stream, self.folded.next_offset, wait=0 if behind else POLL_SECONDS
        )
        self.contacted = self._clock.elapsed()
        self.end = page.end
        await self._apply_page(page.records)
        if self.folded.next_offset >= self.end and not self.caught_up.is_set():
            self.caught_up.set()
            logger.info("stream %s caught up", self.stream, extra=self._fields())

    def _fields(self) -> dict[str, Any]:
        return {"fields": {"stream": self.stream, "offset": self.folded.next_offset}}

    async def _apply_page(self, page: list[LoggedRecord]) -> None:
        for count, item in enumerate(page, 1):
            self.apply(item.offset, item.record)
            if count % YIELD_RECORDS == 0:
                await asyncio.sleep(0)
        if page:
            self.finish_batch()

    def finish_batch(self) -> None:
        """Tells the listeners that a batch was applied."""
        for listener in self._batch_listeners:
            listener()

    def apply(self, offset: int, envelope: Any) -> None:
        """Applies one record that was read from the log or relayed by a peer."""
        if offset < self.folded.next_offset:
            return
        self.recent[offset] = envelope
        if len(self.recent) > RECENT_RECORDS:
            self.recent.popitem(last=False)
        decoded = records.decode_record(envelope)
        if isinstance(decoded, Failure):
            skip_record(self.folded, offset)
            self._metrics.records.labels(self.stream, "malformed").inc()
            self.last_rejection = f"offset {offset}: {decoded.failure().reason}"
        else:
            self._fold(offset, decoded.unwrap())
        self._note_digest()

    def _fold(self, offset: int, item: records.Record) -> None:
        result = apply_record(self.folded, offset, item)
        accepted = isinstance(result, Success)
        self._metrics.records.labels(self.stream, "accepted" if accepted else "rejected").inc()
        if not accepted:
            self.last_rejection = f"offset {offset}: {result.failure().reason}"
        if isinstance(item.body, records.Snapshot):
            self._compare_digest(item.body)
        applied = Applied(offset, item, result)
        for listener in self._listeners:
            listener(applied)

    def _note_digest(self) -> None:
        """Keeps the digest at every multiple of the snapshot interval."""
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
                "stream %s: digest at offset %d differs from the snapshot",
                self.stream,
                snapshot.through,
                extra={"fields": {"own": own, "snapshot": snapshot.digest}},
            )

    async def _recover(self, removed: OffsetRemoved) -> None:
        """Replaces the state by the newest whole snapshot that the stream retains."""
        logger.warning(
            "stream %s: retention passed this process, reading a snapshot",
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
            raise PlatformError(f"stream {self.stream!r} retains no usable snapshot")
        self.adopt(state)

    def adopt(self, state: StreamState) -> bool:
        """Replaces the state by one that is further ahead; returns whether it was."""
        if state.next_offset <= self.folded.next_offset:
            return False
        self.folded = state
        self.recent.clear()
        self.end = max(self.end, state.next_offset)
        self._metrics.records.labels(self.stream, "state_adopted").inc()
        logger.info("stream %s: state adopted", self.stream, extra=self._fields())
        self.finish_batch()
        return True
