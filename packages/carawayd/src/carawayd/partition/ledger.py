"""Durable records of one partition, written by its only owner under a fencing epoch."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from mode import Service

from carawayd.platform.common import PlatformError, PlatformRefusal
from carawayd.platform.store import Fenced, KeyedRecord, encode_records

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.store import StoreClient
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

WORKFLOWS_TOPIC = "keyed.jobs"
FLEET_TOPIC = "keyed.fleet"
PRODUCER = "owner"
# Changes within this time share one append, which the store prices.
GATHER = timedelta(milliseconds=8)
FIRST_RETRY = timedelta(milliseconds=40)
LONGEST_RETRY = timedelta(milliseconds=400)
# An append that is unanswered for this long makes the owner reject submissions at once.
STALL = timedelta(milliseconds=400)
# Half of the store's default limit of one call, so that a batch always fits.
MOST_BATCH_BYTES = 500_000


class OwnershipLost(Exception):
    """Another process owns the partition now."""


class Ledger(Service):
    """Appends the newest record of each changed key in batches, one at a time.

    Parameters
    ----------
    store : StoreClient
    topic : str
    partition : int
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        partition: int,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self.topic = topic
        self.partition = partition
        self.epoch = 0
        self.lost = False
        self._store = store
        self._clock = clock
        self._sequence = 0
        self._dirty: dict[str, Callable[[], bytes]] = {}
        self._waiters: list[asyncio.Future[None]] = []
        self._wake = asyncio.Event()
        self._sent_at: timedelta | None = None
        self._end: int | None = None
        # An append and a change of the epoch exclude each other: the store would fence off an
        # append that is still on its way under the earlier epoch.
        self._exclusive = asyncio.Lock()

    async def take_over(self, epoch: int) -> bool:
        """Fences earlier owners off; returns whether nobody else has written since our last record.

        Raises
        ------
        OwnershipLost
            If a later owner has done the same.
        """
        async with self._exclusive:
            return await self._take_over(epoch)

    async def _take_over(self, epoch: int) -> bool:
        delay = FIRST_RETRY
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
                self.lost = True
                raise OwnershipLost(str(error)) from error
            except PlatformError as error:
                logger.info(
                    "take-over waits for the store",
                    extra={"fields": {"partition": self.partition, "error": str(error)}},
                )
                await self._clock.sleep(delay)
                delay = min(2 * delay, LONGEST_RETRY)
                continue
            unchanged = self._end == end
            self.epoch, self._sequence, self._end = epoch, 0, end
            return unchanged

    def mark(self, key: str, encode: Callable[[], bytes]) -> None:
        """Notes that a key has changed; ``encode`` gives its value when the batch is sent."""
        self._dirty[key] = encode
        self._wake.set()

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done once all changes marked so far are durable."""
        future = asyncio.get_running_loop().create_future()
        if self.lost:
            future.set_exception(OwnershipLost())
            return future
        self._waiters.append(future)
        self._wake.set()
        return future

    async def read_records(self) -> list[KeyedRecord]:
        """Returns the newest records, asking until the store answers; nobody else writes then."""
        delay = FIRST_RETRY
        while True:
            try:
                return (await self._store.read_newest(self.topic, self.partition)).records
            except PlatformError as error:
                logger.info(
                    "records are not read yet",
                    extra={"fields": {"partition": self.partition, "error": str(error)}},
                )
                await self._clock.sleep(delay)
                delay = min(2 * delay, LONGEST_RETRY)

    @property
    def is_stalled(self) -> bool:
        """Whether the store has left an append unanswered for long."""
        return self._sent_at is not None and self._clock.elapsed() - self._sent_at > STALL

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop and not self.lost:
            await self._wake.wait()
            await self._clock.sleep(GATHER)
            self._wake.clear()
            dirty, self._dirty = self._dirty, {}
            waiters, self._waiters = self._waiters, []
            try:
                await self._append_all(dirty)
            except OwnershipLost as error:
                self._fail(waiters, error)
                return
            except asyncio.CancelledError:
                self._fail(waiters, OwnershipLost("the ledger is stopped"))
                raise
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _fail(self, waiters: list[asyncio.Future[None]], error: Exception) -> None:
        self.lost = True
        for waiter in [*waiters, *self._waiters]:
            if not waiter.done():
                waiter.set_exception(error)
                # Marks the exception as seen: not every waiter is still awaited.
                waiter.exception()
        self._waiters = []

    async def _append_all(self, dirty: dict[str, Callable[[], bytes]]) -> None:
        batch: list[KeyedRecord] = []
        size = 0
        for key, encode in dirty.items():
            value = encode()
            if batch and size + len(value) > MOST_BATCH_BYTES:
                await self._append(batch)
                batch, size = [], 0
            batch.append(KeyedRecord(key, value))
            size += len(value)
        if batch:
            await self._append(batch)

    async def _append(self, batch: list[KeyedRecord]) -> None:
        """Repeats one append until its outcome is known; the store drops the repeats."""
        async with self._exclusive:
            await self._append_locked(batch)

    async def _append_locked(self, batch: list[KeyedRecord]) -> None:
        data = encode_records(batch)
        self._sequence += 1
        self._sent_at = self._clock.elapsed()
        delay = FIRST_RETRY
        while True:
            try:
                self._end = await self._store.append(
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
                        "append out of sequence",
                        extra={"fields": {"partition": self.partition, "error": str(refusal)}},
                    )
                    raise OwnershipLost(str(refusal)) from refusal
                self._note_retry(refusal)
            except PlatformError as error:
                self._note_retry(error)
            await self._clock.sleep(delay)
            delay = min(2 * delay, LONGEST_RETRY)
        duration = self._clock.elapsed() - self._sent_at
        self._sent_at = None
        self._metrics.observe_append(self.topic, len(data), duration)

    def _note_retry(self, error: Exception) -> None:
        logger.info(
            "append is repeated",
            extra={
                "fields": {
                    "partition": self.partition,
                    "sequence": self._sequence,
                    "error": str(error),
                }
            },
        )

    async def on_stop(self) -> None:
        self._fail([], OwnershipLost("the ledger is stopped"))
        self._wake.set()
