"""Configuration, workers and partition layout that each entry host reads from the store."""

from __future__ import annotations

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
    RecordsExpired,
)
from carawayd.process.layout import Layout, build_route
from carawayd.supervision import start_in_background, supervised_task
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from carawayd.platform.store import StoreClient
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import (
        AccountConfig,
        Deployment,
        QueueConfig,
        QueueVersion,
        Wave,
        WorkerEntry,
    )

logger = logging.getLogger(__name__)

# Long-poll limit for reads of the configuration. This plus the timeout margin of a read is the time
# in which a lost connection is detected.
CONFIGURATION_WAIT_SECONDS = 0.9
# Worker entries change constantly, so they are polled at intervals instead of long-polled.
WORKERS_INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 0.15
# A worker whose entry has disappeared is kept for this long: entries that expired during a store
# outage reappear within about 2 s of its end.
MISSING_WORKER_RETENTION_SECONDS = 2.5
# Age of the layout up to which a workflow that it does not lead to is said to be unknown.
LAYOUT_MAX_AGE = timedelta(seconds=1)
# Time after a read of the newest configuration alone in which other entry hosts may still apply
# versions before it, and submit workflows to routes that this process does not know.
ROUTE_SETTLE_TIME = timedelta(seconds=5)
# Entry hosts record new routes after delays of up to this, so that one of them does it for all.
MAX_RECORD_DELAY = timedelta(seconds=1)


class KnownWave(NamedTuple):
    """A wave of upkeep and the monotonic time at which this process first read it."""

    wave: Wave
    since: timedelta


class PresentRoute(NamedTuple):
    """Service to which a version of the configuration sends a queue, empty if it has no queue."""

    version: int
    service: str


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
        # Record from which the configuration was decoded, for hosts that the store turns away.
        self.configuration_record = b""
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
        self.layout = Layout(store, settings, clock)
        self._is_recording_layout = False
        self._record_delay = MAX_RECORD_DELAY * (zlib.crc32(settings.member.encode()) / 2**32)
        # Time of the last read of the newest configuration without the versions before it.
        self._routes_uncertain_since: timedelta | None = None
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
        if complete:
            self._routes_uncertain_since = self._clock.elapsed()
        unreadable_records.apply_each(OPERATOR_TOPIC, records, self._apply_operator_record)

    def _apply_operator_record(self, key: str, value: bytes) -> None:
        if key == CONFIGURATION_KEY:
            self.apply_configuration(value)
        elif key.startswith(WAVE_PREFIX) and value:
            self._apply_wave(value)

    def apply_configuration(self, value: bytes) -> None:
        """Applies a record of the configuration if its version is later than the one in force."""
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
        if current is not None:
            self._note_routes(current, deployment)
        self.deployment, self.configuration_record = deployment, value
        logger.info(
            "configuration applied",
            extra={
                "fields": {
                    "version": deployment.version,
                    "queues": len(deployment.queues),
                    "services": len(deployment.services),
                    "accounts": len(deployment.accounts or ()),
                    "keys": len(deployment.accounts_by_key),
                }
            },
        )
        if self.layout.lacks_records_of(deployment) and not self._is_recording_layout:
            self._is_recording_layout = True
            start_in_background(self._record_layout())

    def list_accounts(self) -> Mapping[str, AccountConfig] | None:
        """Returns the client accounts by name, None if the configuration has none."""
        return self.deployment.accounts if self.deployment is not None else None

    def find_route(self, queue: QueueVersion) -> PresentRoute | None:
        """Returns where the configuration in force sends a queue, None if it is not a later one."""
        deployment = self.deployment
        if deployment is None or deployment.version <= queue.version:
            return None
        services = [
            item.service
            for item in deployment.queues
            if (item.host, item.prefix) == (queue.host, queue.prefix)
        ]
        return PresentRoute(deployment.version, services[0] if services else "")

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
        return self.layout.find_partition(service)

    def list_services(self, partition: int) -> set[str]:
        """Returns the services whose workflows a partition stores."""
        return self.layout.list_services(partition)

    def list_partitions(
        self, queue: QueueConfig, *, moved_within: timedelta = timedelta.max
    ) -> list[int | None]:
        """Returns the partitions that may store workflows of a queue, the present one first.

        Workflows stay with the service to which their queue was sent when they were submitted. A
        partition that is not known yet is None.

        Parameters
        ----------
        queue : QueueConfig
        moved_within : timedelta
            Leaves out services from which the queue has moved longer ago.
        """
        routes = self.layout.list_routes(queue, within=moved_within)
        return list(dict.fromkeys(self.find_partition(route.service) for route in routes))

    def list_names(self, queue: QueueConfig) -> list[tuple[int | None, str]]:
        """Returns the partitions that may store workflows of a queue, each with its name there."""
        routes = self.layout.list_routes(queue)
        return list(
            dict.fromkeys((self.find_partition(route.service), route.queue) for route in routes)
        )

    async def refresh_layout(self, max_age: timedelta) -> bool:
        """Reads the layout again unless it is recent; returns whether it is recent now."""
        try:
            await self.layout.refresh(max_age)
        except PlatformError as error:
            self._log_layout(str(error))
            return False
        return True

    async def prepare_submission(self, queue: QueueConfig) -> bool:
        """Makes sure that every process finds a workflow that is submitted to a queue.

        Returns False if the store does not answer.
        """
        if not await self.settle_routes():
            return False
        if not self.layout.is_recorded(queue):
            try:
                await self.layout.record(self.deployment, [queue])
            except PlatformError as error:
                self._log_layout(str(error))
        return self.layout.is_recorded(queue)

    async def settle_routes(self) -> bool:
        """Reads the routes that this process may not know; returns whether it knows all."""
        read_at = self._routes_uncertain_since
        if read_at is None or self._clock.elapsed() - read_at > ROUTE_SETTLE_TIME:
            return True
        return await self.refresh_layout(LAYOUT_MAX_AGE)

    def _note_routes(self, current: Deployment, deployment: Deployment) -> None:
        """Notes until when the routes that a configuration changes or removes were in force."""
        kept = {build_route(queue) for queue in deployment.queues}
        for queue in current.queues:
            if build_route(queue) not in kept:
                self.layout.note_route(queue)

    async def _record_layout(self) -> None:
        """Records the services and routes of the configuration in force, until it succeeds."""
        try:
            if not self.layout.lacks_partition_of(self.deployment):
                await self._clock.sleep(self._record_delay)
            while not self.should_stop and self.layout.lacks_records_of(self.deployment):
                try:
                    await self.layout.record(self.deployment)
                except PlatformError as error:
                    self._log_layout(str(error))
                    await self._clock.sleep(timedelta(seconds=RETRY_SECONDS))
        finally:
            self._is_recording_layout = False

    def _log_layout(self, error: str) -> None:
        logger.info(
            "could not read or record the layout; retrying", extra={"fields": {"error": error}}
        )
