"""Appending to one control stream: batches, priorities, and retries after lost answers."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from mode import Service

from carawayd.platform.common import PlatformError, PlatformRefusal
from carawayd.process.streams import AppliedRecord
from carawayshore import records
from carawayshore.records import Record, encode_record

if TYPE_CHECKING:
    import random

    from returns.result import Result

    from carawayd.platform.log import LogClient
    from carawayd.process.metrics import Metrics
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock
    from carawayshore.fold import Rejection

logger = logging.getLogger(__name__)

MAX_BATCH_BYTES = 192 * 1024
MAX_BATCH_RECORDS = 500
MAX_PENDING = 10_000
INITIAL_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(seconds=2)


class Priority(IntEnum):
    """Order in which pending records are appended."""

    KEY_GRANT = 0
    CLAIM = 1
    CONFIGURATION = 2
    MEMBER = 3
    JOB = 4
    FLEET = 5
    SNAPSHOT = 6


class NotAppended(Exception):
    """The record is not in the log and has no effect."""


class AppendOutcomeUnknown(Exception):
    """The record was sent, but it is not known yet whether it takes effect."""


class PendingRecord(NamedTuple):
    priority: Priority
    number: int
    body: Any
    future: asyncio.Future[Result[None, Rejection]]


class AppendRateLimiter:
    """Token bucket that limits the appends of one process over all its streams."""

    def __init__(self, clock: Clock, per_second: float) -> None:
        self.per_second = per_second
        self._clock = clock
        self._tokens = 1.0
        self._updated = clock.elapsed()

    async def wait(self) -> None:
        """Waits until the rate allows one more append."""
        now = self._clock.elapsed()
        gained = (now - self._updated).total_seconds() * self.per_second
        self._tokens = min(max(1.0, self.per_second / 10), self._tokens + gained) - 1
        self._updated = now
        if self._tokens < 0:
            await self._clock.sleep(timedelta(seconds=-self._tokens / self.per_second))


class Appender(Service):
    """Appends the records of one producer to one stream, one batch in flight at a time.

    Parameters
    ----------
    reader : StreamReader
        Reads the records back; its fold decides whether they take effect.
    log : LogClient
    rate : AppendRateLimiter
    settings : Settings
    clock : Clock
    metrics : Metrics
    rng : random.Random
    """

    def __init__(
        self,
        reader: StreamReader,
        *,
        log: LogClient,
        rate: AppendRateLimiter,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.producer = ""
        self._reader = reader
        self._log = log
        self._rate = rate
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._sequence = 0
        self._submission_numbers = itertools.count()
        self._pending: list[PendingRecord] = []
        self._has_pending = asyncio.Event()
        self._in_flight: dict[int, asyncio.Future] = {}
        self._awaiting_readback: dict[int, asyncio.Future] = {}
        reader.add_listener(self._handle_applied)

    def set_producer(self, member: str, incarnation: int) -> None:
        """Sets the producer of all further records and restarts its sequence numbers."""
        for futures in (self._in_flight, self._awaiting_readback):
            for future in futures.values():
                if not future.done():
                    future.set_exception(AppendOutcomeUnknown(f"producer {self.producer!r} ended"))
            futures.clear()
        self.producer = f"{member}/{incarnation}"
        self._sequence = 0

    @property
    def pending_count(self) -> int:
        return len(self._pending) + len(self._in_flight)

    def submit(self, body: Any, priority: Priority) -> asyncio.Future[Result[None, Rejection]]:
        """Queues a record; the future gets the fold's result once the record is read back.

        Raises
        ------
        NotAppended
            If too many records are pending.
        """
        if len(self._pending) >= MAX_PENDING:
            raise NotAppended(
                f"limit of {MAX_PENDING} pending records reached on stream {self._reader.stream!r}"
            )
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._pending, PendingRecord(priority, next(self._submission_numbers), body, future)
        )
        self._has_pending.set()
        return future

    async def append(
        self, body: Any, priority: Priority, *, wait: timedelta | None = None
    ) -> Result[None, Rejection]:
        """Appends a record and returns the fold's result once it is read back.

        Raises
        ------
        NotAppended
            If the record was not sent within ``wait``; it never takes effect.
        AppendOutcomeUnknown
            If the record was sent but not read back within ``wait``.
        """
        future = self.submit(body, priority)
        limit = wait or self._settings.options.append_wait
        done, _ = await asyncio.wait({future}, timeout=limit.total_seconds())
        if done:
            return future.result()
        if self._withdraw(future):
            raise NotAppended(f"record not sent to stream {self._reader.stream!r} within {limit}")
        raise AppendOutcomeUnknown(
            f"record sent but not read back from stream {self._reader.stream!r} within {limit}"
        )

    def _withdraw(self, future: asyncio.Future) -> bool:
        remaining = [item for item in self._pending if item.future is not future]
        withdrawn = len(remaining) < len(self._pending)
        if withdrawn:
            heapq.heapify(remaining)
            self._pending = remaining
        return withdrawn

    def _handle_applied(self, applied: AppliedRecord) -> None:
        if applied.record.producer != self.producer:
            return
        for futures in (self._in_flight, self._awaiting_readback):
            future = futures.pop(applied.record.sequence, None)
            if future is not None and not future.done():
                future.set_result(applied.result)

    def _take_batch(self) -> list[tuple[int, records.Envelope]]:
        batch: list[tuple[int, records.Envelope]] = []
        size = 0
        while self._pending and len(batch) < MAX_BATCH_RECORDS:
            envelope = encode_record(Record(self.producer, self._sequence + 1, self._pending[0][2]))
            size += len(msgspec.json.encode(envelope))
            if batch and size > MAX_BATCH_BYTES:
                break
            item = heapq.heappop(self._pending)
            self._sequence += 1
            self._in_flight[self._sequence] = item.future
            batch.append((self._sequence, envelope))
        return batch

    @Service.task
    async def _send(self) -> None:
        while not self.should_stop:
            await self._has_pending.wait()
            if not self._pending:
                self._has_pending.clear()
                continue
            await self._rate.wait()
            await self._send_batch(self._take_batch())

    async def _send_batch(self, batch: list[tuple[int, records.Envelope]]) -> None:
        """Sends one batch, with retries until the log answers or all records are read back."""
        delay = INITIAL_RETRY_DELAY
        envelopes = [envelope for _, envelope in batch]
        while any(sequence in self._in_flight for sequence, _ in batch):
            try:
                await self._log.append(self._reader.stream, envelopes)
            except PlatformRefusal as error:
                if error.status in (400, 413):
                    self._drop_batch(batch, error)
                    return
                self._count_append("refused")
                delay = max(delay, timedelta(seconds=min(error.retry_after, 2.0)))
            except PlatformError:
                self._count_append("unknown")
            else:
                self._count_append("done")
                self._mark_appended(batch)
                return
            await self._clock.sleep(delay * self._rng.uniform(0.5, 1.5))
            delay = min(delay * 2, MAX_RETRY_DELAY)

    def _count_append(self, result: str) -> None:
        self._metrics.appends.labels(self._reader.stream, result).inc()

    def _mark_appended(self, batch: list[tuple[int, records.Envelope]]) -> None:
        for sequence, _ in batch:
            future = self._in_flight.pop(sequence, None)
            if future is not None:
                self._awaiting_readback[sequence] = future

    def _drop_batch(
        self, batch: list[tuple[int, records.Envelope]], error: PlatformRefusal
    ) -> None:
        """Fails every record of a permanently rejected batch with :class:`NotAppended`."""
        logger.error("stream %s rejected a batch, dropping it: %s", self._reader.stream, error)
        self._count_append("dropped")
        for sequence, _ in batch:
            future = self._in_flight.pop(sequence, None)
            if future is not None and not future.done():
                future.set_exception(NotAppended(str(error)))
