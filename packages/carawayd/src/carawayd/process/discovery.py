"""Configuration, workers and partition layout that each entry host reads from the store."""

from __future__ import annotations

import asyncio
import logging
import zlib
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from mode import Service

from carawayd.platform.common import PlatformError
from carawayd.platform.documents import (
    CONFIGURATION_KEY,
    WAVE_PREFIX,
    decode_configuration,
    decode_wave,
    decode_worker,
)
from carawayd.platform.store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    KeyedRecord,
    OffsetConflict,
    RecordsExpired,
    encode_records,
)
from carawayd.supervision import supervised_task
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.store import StoreClient
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import Deployment, Wave, WorkerEntry

logger = logging.getLogger(__name__)

LAYOUT_TOPIC = "keyed.layout"
# Long-poll limit for reads of the configuration. This plus the timeout margin of a read is the time
# in which a lost connection is detected.
CONFIGURATION_WAIT_SECONDS = 0.9
# Worker entries change constantly, so they are polled at intervals instead of long-polled.
WORKERS_INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 0.15
# A worker whose entry has disappeared is kept for this long: entries that expired during a store
# outage reappear within about 2 s of its end.
MISSING_WORKER_RETENTION_SECONDS = 2.5


class KnownWave(NamedTuple):
    """A wave of upkeep and the monotonic time at which this process first read it."""

    wave: Wave
    since: timedelta


class Tailer(Service):
    """Follows partition 0 of a keyed topic: reads its latest records, then every change.

    Parameters
    ----------
    store : StoreClient
    topic : str
    wait : float
        Long-poll limit in seconds, 0 to poll at intervals.
    apply : callable
        Called with a list of records and whether they are the complete state.
    clock : Clock
    is_needed : callable
        Returns whether the records are needed; nothing is read while they are not.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        wait: float,
        apply: Callable[[list[KeyedRecord], bool], None],
        clock: Clock,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.read_at: timedelta | None = None
        # Time of the first read that succeeded after a failed one.
        self.recovered_at: timedelta | None = None
        self._store = store
        self._topic = topic
        self._wait = wait
        self._apply = apply
        self._clock = clock
        self._is_needed = is_needed
        self._offset: int | None = None
        self._failing = False

    @property
    def is_current(self) -> bool:
        """Whether the latest record of each key has been read."""
        return self._offset is not None

    @supervised_task
    async def _follow(self) -> None:
        while not self.should_stop:
            if not self._is_needed():
                self._offset = None
                await self._clock.sleep(timedelta(seconds=RETRY_SECONDS))
                continue
            try:
                await self._read()
            except PlatformError as error:
                if not self._failing:
                    self._log("could not read from the store; retrying", str(error))
                self._failing = True
                await self._clock.sleep(timedelta(seconds=RETRY_SECONDS))
                continue
            if self._failing:
                self._log("reading from the store succeeds again", "")
                self.recovered_at = self._clock.elapsed()
            self._failing = False
            self.read_at = self._clock.elapsed()
            if not self._wait:
                await self._clock.sleep(timedelta(seconds=WORKERS_INTERVAL_SECONDS))

    def _log(self, message: str, error: str) -> None:
        logger.info(message, extra={"fields": {"topic": self._topic, "error": error}})

    async def _read(self) -> None:
        if self._offset is None:
            latest = await self._store.read_latest(self._topic, 0)
            # The offset is set first: records whose application fails must not be read for ever.
            self._offset = latest.end
            self._apply(latest.records, True)
            return
        try:
            tail = await self._store.read(self._topic, 0, self._offset, wait=self._wait)
        except RecordsExpired:
            self._log("change history was removed; reading the latest records instead", "")
            self._offset = None
            return
        self._offset = tail.end
        if tail.records:
            self._apply(tail.records, False)


class Discovery(Service):
    """Configuration in force, workers by service, and the partition of each service.

    Parameters
    ----------
    store : StoreClient
    settings : SiteSettings
    clock : Clock
    """

    def __init__(self, store: StoreClient, settings: SiteSettings, clock: Clock) -> None:
        super().__init__()
        self.deployment: Deployment | None = None
        self.waves: dict[int, KnownWave] = {}
        # Set while this process owns a partition; only owners need the workers.
        self.needs_workers = False
        self._store = store
        self._settings = settings
        self._clock = clock
        self._worker_entries: dict[str, WorkerEntry] = {}
        self._missing_since: dict[str, timedelta] = {}
        # Workers whose newest entry cannot be read; the one before it is kept for its address.
        self._unreadable_workers: set[str] = set()
        # Time at which a worker last wrote its entry, as far as this process has seen it.
        self._written_at: dict[str, timedelta] = {}
        self._partition_by_service: dict[str, int] = {}
        self._assignment_running = False
        self._operator_tailer = Tailer(
            store, OPERATOR_TOPIC, CONFIGURATION_WAIT_SECONDS, self._apply_operator, clock
        )
        self._worker_tailer = Tailer(
            store, WORKERS_TOPIC, 0.0, self._apply_workers, clock, lambda: self.needs_workers
        )

    async def on_start(self) -> None:
        await self.add_runtime_dependency(self._operator_tailer)
        await self.add_runtime_dependency(self._worker_tailer)

    def has_contact(self, limit: timedelta) -> bool:
        """Whether a read of the configuration succeeded within the last ``limit``."""
        read_at = self._operator_tailer.read_at
        return read_at is not None and self._clock.elapsed() - read_at < limit

    # -- configuration ---------------------------------------------------------------------------

    def _apply_operator(self, records: list[KeyedRecord], complete: bool) -> None:
        unreadable_records.apply_each(OPERATOR_TOPIC, records, self._apply_operator_record)

    def _apply_operator_record(self, key: str, value: bytes) -> None:
        if key == CONFIGURATION_KEY:
            self._apply_configuration(value)
        elif key.startswith(WAVE_PREFIX) and value:
            self._apply_wave(value)

    def _apply_configuration(self, value: bytes) -> None:
        try:
            deployment = decode_configuration(value)
        except MalformedDocument as error:
            unreadable_records.counts[OPERATOR_TOPIC] += 1
            logger.error(
                "could not decode configuration; keeping the current version",
                extra={"fields": {"error": str(error)}},
            )
            return
        current = self.deployment
        if current is not None and deployment.version <= current.version:
            return
        self.deployment = deployment
        logger.info(
            "configuration applied",
            extra={
                "fields": {
                    "version": deployment.version,
                    "queues": len(deployment.queues),
                    "services": len(deployment.services),
                }
            },
        )
        if (
            set(deployment.services) - set(self._partition_by_service)
            and not self._assignment_running
        ):
            self._assignment_running = True
            asyncio.ensure_future(self._assign_partitions())

    def _apply_wave(self, value: bytes) -> None:
        wave = decode_wave(value)
        if wave.number not in self.waves:
            self.waves[wave.number] = KnownWave(wave, self._clock.elapsed())

    # -- workers ---------------------------------------------------------------------------------

    def _apply_workers(self, records: list[KeyedRecord], complete: bool) -> None:
        now = self._clock.elapsed()
        has_gap = self._was_store_lost_since(now - self._max_capacity_age)
        if complete:
            present = {record.key for record in records if record.value}
            for worker in self._worker_entries:
                if worker not in present:
                    self._missing_since.setdefault(worker, now)

        def apply(key: str, value: bytes) -> None:
            if not value:
                self._missing_since.setdefault(key, now)
                return
            entry = decode_worker(key, value)
            if entry is None:
                self._note_unreadable_worker(key)
                return
            self._missing_since.pop(key, None)
            self._unreadable_workers.discard(key)
            self._worker_entries[key] = entry
            if not complete:
                self._written_at[key] = now
            elif not has_gap:
                self._written_at.setdefault(key, now)

        for key in unreadable_records.apply_each(WORKERS_TOPIC, records, apply):
            self._note_unreadable_worker(key)
        for worker, since in list(self._missing_since.items()):
            if now - since > timedelta(seconds=MISSING_WORKER_RETENTION_SECONDS):
                del self._missing_since[worker]
                self._worker_entries.pop(worker, None)
                self._written_at.pop(worker, None)
                self._unreadable_workers.discard(worker)

    def _note_unreadable_worker(self, worker: str) -> None:
        """Keeps the earlier entry of a worker for its address, but not as its capacity.

        The worker may well be running, so it stays listed. Whether it has gone is then told by its
        reports, or by the removal of its entry.
        """
        if worker in self._worker_entries:
            self._unreadable_workers.add(worker)
            self._written_at.pop(worker, None)

    @property
    def _max_capacity_age(self) -> timedelta:
        return timedelta(milliseconds=self._settings.capacity_age_ms)

    def _was_store_lost_since(self, time: timedelta) -> bool:
        """Returns whether reading from the store failed at some time since ``time``."""
        recoveries = (self._operator_tailer.recovered_at, self._worker_tailer.recovered_at)
        return any(at is not None and at > time for at in recoveries)

    def is_capacity_current(self, entry: WorkerEntry) -> bool:
        """Returns whether tasks may be placed on a worker by the capacity in its entry.

        The capacity of a worker may shrink while it runs. One that refuses what does not fit needs
        no recent entry. None is placed on a worker whose newest entry cannot be read.
        """
        if entry.worker in self._unreadable_workers:
            return False
        service = self.deployment and self.deployment.services.get(entry.service)
        if service and service.enforces_capacity:
            return True
        written_at = self._written_at.get(entry.worker)
        return written_at is not None and (
            self._clock.elapsed() - written_at <= self._max_capacity_age
        )

    def list_workers(self, services: set[str]) -> dict[str, WorkerEntry] | None:
        """Returns the workers of some services by identifier, None until they have been read."""
        if not self._worker_tailer.is_current:
            return None
        return {
            key: entry for key, entry in self._worker_entries.items() if entry.service in services
        }

    # -- layout ----------------------------------------------------------------------------------

    def find_partition(self, service: str) -> int | None:
        """Returns the partition that stores a service's workflows, None while it is unknown."""
        return self._partition_by_service.get(service)

    def list_services(self, partition: int) -> set[str]:
        """Returns the services whose workflows a partition stores."""
        return {name for name, number in self._partition_by_service.items() if number == partition}

    async def _assign_partitions(self) -> None:
        """Assigns a permanent partition to each new service, the same on all entry hosts."""
        try:
            while not self.should_stop:
                try:
                    if await self._assign_missing_partitions():
                        break
                except OffsetConflict:
                    continue
                except PlatformError as error:
                    self._log_layout(str(error))
                    await self._clock.sleep(timedelta(seconds=RETRY_SECONDS))
        finally:
            self._assignment_running = False

    async def _assign_missing_partitions(self) -> bool:
        """Returns whether each service has a partition, apart from those with unreadable records.

        A service whose record cannot be read is left without: another partition would hide the
        workflows that are recorded in its own.
        """
        latest = await self._store.read_latest(LAYOUT_TOPIC, 0)
        unreadable = unreadable_records.apply_each(
            LAYOUT_TOPIC, latest.records, self._apply_assignment
        )
        known = set(self._partition_by_service) | unreadable
        missing = sorted(set(self.deployment.services) - known)
        if not missing:
            return True
        chosen = choose_partitions(missing, self._partition_by_service, self._settings.partitions)
        records = [KeyedRecord(name, str(number).encode()) for name, number in chosen]
        data = encode_records(records)
        await self._store.append(LAYOUT_TOPIC, 0, data, expected_end=latest.end)
        return False

    def _apply_assignment(self, service: str, value: bytes) -> None:
        if value:
            partition = parse_count(value, self._settings.partitions - 1)
            self._partition_by_service[service] = partition

    def _log_layout(self, error: str) -> None:
        logger.info(
            "could not assign partitions to services; retrying", extra={"fields": {"error": error}}
        )


def choose_partitions(
    services: list[str], assigned: dict[str, int], partitions: int
) -> list[tuple[str, int]]:
    """Returns a partition for each new service: the partition with the fewest services.

    A hash of the service name breaks ties, so that deployments get different layouts.
    """
    counts = dict.fromkeys(range(partitions), 0)
    for number in assigned.values():
        counts[number] = counts.get(number, 0) + 1
    chosen = []
    for name in services:
        start = zlib.crc32(name.encode()) % partitions
        number = min(
            range(partitions), key=lambda item: (counts[item], (item - start) % partitions)
        )
        counts[number] += 1
        chosen.append((name, number))
    return chosen
