"""Durable key-value records of one partition, written only by its owner under a fencing epoch.

A record that the store cannot take is left out, so that it does not keep the others waiting: it is
logged once, and tried again at long intervals. Whoever waits for a certain record asks
:meth:`Ledger.is_durable`.
"""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from mode import Service

from carawayd.platform.common import PlatformError, PlatformRefusal
from carawayd.platform.store import (
    MAX_KEY_BYTES,
    RECORD_HEADER_BYTES,
    Fenced,
    KeyedRecord,
    encode_records,
    measure_record,
)
from carawayd.supervision import supervised_task, unexpected_errors
from carawayshore.decoding import shorten

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayd.platform.store import StoreClient
    from carawayd.process.site import SiteSettings
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

WORKFLOWS_TOPIC = "keyed.jobs"
FLEET_TOPIC = "keyed.fleet"
# Producer name of every owner, since the store compares the epochs of one producer.
PRODUCER = "owner"
# Changes made within this time share one append, since the store charges for each append.
BATCH_DELAY = timedelta(milliseconds=8)
INITIAL_RETRY_DELAY = timedelta(milliseconds=40)
MAX_RETRY_DELAY = timedelta(milliseconds=400)
# While an append has been unanswered for longer than this, the owner rejects submissions at once.
STALL_TIMEOUT = timedelta(milliseconds=400)
# Weight of the last append in the moving average of their times: a store that turns slow is noticed
# within a few appends.
APPEND_TIME_RATE = 0.3
# Limit of the records of one append, if the store does not have a lower one.
MAX_BATCH_BYTES = 500_000
# Interval at which a record that the store has refused is tried again.
REFUSED_RETRY_INTERVAL = timedelta(seconds=5)


class OwnershipLost(Exception):
    """Another process has become the owner of the partition, or the ledger has been stopped."""


class Ledger(Service):
    """Appends the latest record of each changed key in batches, one append at a time.

    Parameters
    ----------
    store : StoreClient
    topic : str
    partition : int
    settings : SiteSettings
        Gives the store's limits on records and appends.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        partition: int,
        settings: SiteSettings,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        super().__init__()
        self.max_record_bytes = min(
            settings.record_bytes, settings.request_bytes - RECORD_HEADER_BYTES
        )
        self._max_batch_bytes = min(MAX_BATCH_BYTES, settings.request_bytes)
        self._metrics = metrics
        self.topic = topic
        self.partition = partition
        self.epoch = 0
        self.lost = False
        self._store = store
        self._clock = clock
        self._sequence = 0
        self._dirty: dict[str, Callable[[], bytes]] = {}
        # Records that are not written because the store cannot take them.
        self._refused: dict[str, Callable[[], bytes]] = {}
        self._retry_refused_at = timedelta()
        self._waiters: list[asyncio.Future[None]] = []
        self._wake = asyncio.Event()
        self._append_started_at: timedelta | None = None
        # Moving average of the time of an append.
        self._append_seconds = 0.0
        # End of the partition after the last append, None before the first takeover.
        self._end_offset: int | None = None
        # Serialises appends and epoch changes: the store would reject, as fenced, an append under
        # the earlier epoch that is still in flight when the epoch changes.
        self._append_lock = asyncio.Lock()

    async def take_over(self, epoch: int) -> bool:
        """Fences off earlier owners.

        Returns whether no other process has written since the last append of this ledger. A ledger
        that has found another process's records writes nothing more under any epoch, since its
        owner's state predates them.

        Raises
        ------
        OwnershipLost
            If the ledger is lost, or an owner with a later epoch has already written to the
            partition.
        """
        async with self._append_lock:
            if self.lost:
                raise OwnershipLost("the ledger is lost")
            return await self._take_over(epoch)

    async def _take_over(self, epoch: int) -> bool:
        delay = INITIAL_RETRY_DELAY
        while True:
            try:
                end = await self._store.append(
                    self.topic,
                    self.partition,
                    b"",
                    producer=PRODUCER,
                    epoch=epoch,
                    sequence=0,
                )
            except Fenced as error:
                loss = OwnershipLost(str(error))
                self._fail_waiters([], loss)
                raise loss from error
            except PlatformError as error:
                logger.info(
                    "partition takeover failed; retrying",
                    extra={"fields": {"partition": self.partition, "error": str(error)}},
                )
                await self._clock.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY)
                continue
            unchanged = self._end_offset == end
            if self._end_offset is not None and not unchanged:
                self._fail_waiters([], OwnershipLost("another process has written"))
            self.epoch, self._sequence, self._end_offset = epoch, 0, end
            return unchanged

    def mark_dirty(self, key: str, encode: Callable[[], bytes]) -> None:
        """Queues a changed key; ``encode`` is called for its value when the batch is sent.

        A lost ledger ignores the change.
        """
        if self.lost:
            return
        self._dirty[key] = encode
        self._wake.set()

    def flush(self) -> asyncio.Future[None]:
        """Returns a future that completes once all changes marked so far are durable or left out.

        The future raises OwnershipLost if the records could not be written.
        """
        future = asyncio.get_running_loop().create_future()
        if self.lost:
            future.set_exception(OwnershipLost())
            return future
        self._waiters.append(future)
        self._wake.set()
        return future

    async def read_records(self) -> list[KeyedRecord]:
        """Returns the latest record of each key; retries until the store answers.

        The owner calls this after :meth:`take_over`, so that no other process writes meanwhile.
        """
        delay = INITIAL_RETRY_DELAY
        while True:
            try:
                return (await self._store.read_latest(self.topic, self.partition)).records
            except PlatformError as error:
                logger.info(
                    "reading the partition's records failed; retrying",
                    extra={"fields": {"partition": self.partition, "error": str(error)}},
                )
                await self._clock.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY)

    @property
    def append_seconds(self) -> float:
        """Time in seconds that an append takes now, as far as is known."""
        if self._append_started_at is None:
            return self._append_seconds
        elapsed = (self._clock.elapsed() - self._append_started_at).total_seconds()
        return max(self._append_seconds, elapsed)

    @property
    def is_stalled(self) -> bool:
        """Whether the current append has been unanswered for longer than ``STALL_TIMEOUT``."""
        return (
            self._append_started_at is not None
            and self._clock.elapsed() - self._append_started_at > STALL_TIMEOUT
        )

    def is_durable(self, keys: Iterable[str]) -> bool:
        """Returns whether no change of some keys that was flushed is left out."""
        return self._refused.keys().isdisjoint(keys)

    @property
    def has_refused_records(self) -> bool:
        """Whether any record is left out."""
        return bool(self._refused)

    @supervised_task
    async def _write_batches(self) -> None:
        while not self.should_stop and not self.lost:
            await self._wait_for_changes()
            await self._clock.sleep(BATCH_DELAY)
            self._wake.clear()
            dirty, self._dirty = self._dirty, {}
            waiters, self._waiters = self._waiters, []
            try:
                await self._append_all(dirty)
            except OwnershipLost as error:
                self._fail_waiters(waiters, error)
                return
            except asyncio.CancelledError:
                self._fail_waiters(waiters, OwnershipLost("the ledger is stopped"))
                raise
            except Exception:
                # The batch may be written in part; a new owner reads what is in the store.
                logger.exception(
                    "unexpected error while writing records; giving up the partition",
                    extra={"fields": {"partition": self.partition}},
                )
                self._fail_waiters(waiters, OwnershipLost("unexpected error"))
                return
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _fail_waiters(self, waiters: list[asyncio.Future[None]], error: Exception) -> None:
        self.lost = True
        self._dirty = {}
        for waiter in [*waiters, *self._waiters]:
            if not waiter.done():
                waiter.set_exception(error)
                # Marks the exception as retrieved, since not every waiter is still awaited and
                # asyncio would log a warning.
                waiter.exception()
        self._waiters = []

    async def _wait_for_changes(self) -> None:
        """Waits for a change, or until refused records are to be tried again."""
        if not self._refused:
            await self._wake.wait()
            return
        left = self._retry_refused_at - self._clock.elapsed()
        try:
            async with asyncio.timeout(max(0.0, left.total_seconds())):
                await self._wake.wait()
        except TimeoutError:
            self._dirty = self._refused | self._dirty
            self._retry_refused_at = self._clock.elapsed() + REFUSED_RETRY_INTERVAL

    async def _append_all(self, dirty: dict[str, Callable[[], bytes]]) -> None:
        batch: list[KeyedRecord] = []
        size = 0
        for key, encode in dirty.items():
            record = self._encode(key, encode)
            if record is None:
                continue
            record_size = RECORD_HEADER_BYTES + measure_record(record)
            if batch and size + record_size > self._max_batch_bytes:
                await self._append(batch, dirty)
                batch, size = [], 0
            batch.append(record)
            size += record_size
        if batch:
            await self._append(batch, dirty)

    def _encode(self, key: str, encode: Callable[[], bytes]) -> KeyedRecord | None:
        """Returns a record, or None if the store cannot take it."""
        try:
            record = KeyedRecord(key, encode())
            size, key_bytes = measure_record(record), len(key.encode())
        except Exception as error:
            unexpected_errors.count += 1
            self._refuse(key, encode, 0, f"cannot be encoded: {error!r}")
            return None
        if key_bytes > MAX_KEY_BYTES or size > self.max_record_bytes:
            self._refuse(key, encode, size, "exceeds the limit")
            return None
        return record

    def _refuse(self, key: str, encode: Callable[[], bytes], size: int, why: str) -> None:
        if key not in self._refused:
            logger.error(
                "record is not written; what depends on it waits",
                extra={
                    "fields": {
                        "topic": self.topic,
                        "partition": self.partition,
                        "key": shorten(key),
                        "bytes": size,
                        "limit": self.max_record_bytes,
                        "why": why,
                    }
                },
            )
            self._metrics.refused_records.labels(self.topic).inc()
        if not self._refused:
            self._retry_refused_at = self._clock.elapsed() + REFUSED_RETRY_INTERVAL
        self._refused[key] = encode

    async def _append(
        self, batch: list[KeyedRecord], encoders: dict[str, Callable[[], bytes]]
    ) -> None:
        """Appends a batch, in ever smaller parts if the store refuses it for good."""
        try:
            async with self._append_lock:
                # The batch may have waited here while a takeover found another process's records.
                if self.lost:
                    raise OwnershipLost("the ledger is lost")
                await self._append_locked(batch)
        except PlatformRefusal as refusal:
            if len(batch) == 1:
                [record] = batch
                self._refuse(record.key, encoders[record.key], measure_record(record), str(refusal))
                return
            middle = len(batch) // 2
            await self._append(batch[:middle], encoders)
            await self._append(batch[middle:], encoders)
            return
        for record in batch:
            self._refused.pop(record.key, None)

    async def _append_locked(self, batch: list[KeyedRecord]) -> None:
        """Repeats one append until its outcome is known; the store drops duplicates.

        Raises
        ------
        PlatformRefusal
            If repeating the append cannot succeed.
        """
        data = encode_records(batch)
        self._sequence += 1
        self._append_started_at = self._clock.elapsed()
        delay = INITIAL_RETRY_DELAY
        while True:
            try:
                self._end_offset = await self._store.append(
                    self.topic,
                    self.partition,
                    data,
                    producer=PRODUCER,
                    epoch=self.epoch,
                    sequence=self._sequence,
                )
                break
            except Fenced as error:
                raise OwnershipLost(str(error)) from error
            except PlatformRefusal as refusal:
                if refusal.status == 409:
                    logger.error(
                        "append rejected as out of sequence; giving up the partition",
                        extra={"fields": {"partition": self.partition, "error": str(refusal)}},
                    )
                    raise OwnershipLost(str(refusal)) from refusal
                if refusal.is_final:
                    # The number is not used up.
                    self._sequence -= 1
                    self._append_started_at = None
                    raise
                self._log_retry(refusal)
            except PlatformError as error:
                self._log_retry(error)
            await self._clock.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY)
        duration = self._clock.elapsed() - self._append_started_at
        self._append_started_at = None
        self._append_seconds += APPEND_TIME_RATE * (duration.total_seconds() - self._append_seconds)
        self._metrics.observe_append(self.topic, len(data), duration)

    def _log_retry(self, error: Exception) -> None:
        logger.info(
            "append failed; retrying",
            extra={
                "fields": {
                    "partition": self.partition,
                    "sequence": self._sequence,
                    "error": str(error),
                }
            },
        )

    async def on_stop(self) -> None:
        self._fail_waiters([], OwnershipLost("the ledger is stopped"))
        self._wake.set()
