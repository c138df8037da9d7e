"""Where workflows are stored: the partition of each service, and the services of each queue.

Workflows stay with the service to which their queue was sent when they were submitted. Callers ask
for them by the address of the queue, at any entry host and long after the queue has moved, so each
route is recorded before the first workflow is submitted to it, and is never removed.

Load pattern: read at the start of a process, and before a workflow is said to be unknown; written
once for each new service or route, by whichever entry host comes first.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import zlib
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from carawayd.platform.store import (
    KeyedRecord,
    OffsetConflict,
    RecordsExpired,
    encode_records,
)
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import decode_json, parse_count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayd.platform.store import StoreClient
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import Deployment, QueueConfig

logger = logging.getLogger(__name__)

LAYOUT_TOPIC = "keyed.layout"
# Prefix of the keys of routes; the records of services have the services' names as keys.
ROUTE_PREFIX = "route/"
# Longer than any path that the HTTP server accepts.
MAX_ROUTE_BYTES = 16_384


class Route(NamedTuple):
    """A queue and the service to which a configuration sends it.

    Parameters
    ----------
    host, prefix : str
        Address of the queue for callers.
    service : str
    queue : str
        Name of the queue at that time.
    """

    host: str
    prefix: str
    service: str
    queue: str

    @property
    def key(self) -> str:
        digest = hashlib.blake2b(self.encode(), digest_size=16).hexdigest()
        return ROUTE_PREFIX + digest

    def encode(self) -> bytes:
        return msgspec.json.encode(self)


def build_route(queue: QueueConfig) -> Route:
    return Route(queue.host, queue.prefix, queue.service, queue.name)


class Layout:
    """Partitions of services and routes of queues, as recorded in the store.

    Parameters
    ----------
    store : StoreClient
    settings : SiteSettings
    clock : Clock
    """

    def __init__(self, store: StoreClient, settings: SiteSettings, clock: Clock) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self._partition_by_service: dict[str, int] = {}
        self._recorded: set[Route] = set()
        # Routes by the address of their queue, with the time until which each is known to have been
        # in force.
        self._routes: dict[tuple[str, str], dict[Route, timedelta]] = {}
        # Services whose record cannot be read.
        self._unreadable: set[str] = set()
        self._refused: set[Route] = set()
        # Time at which the last successful read began.
        self._read_at: timedelta | None = None
        self._offset: int | None = None
        self._lock = asyncio.Lock()

    def find_partition(self, service: str) -> int | None:
        """Returns the partition that stores a service's workflows, None while it is unknown."""
        return self._partition_by_service.get(service)

    def list_services(self, partition: int) -> set[str]:
        """Returns the services whose workflows a partition stores."""
        return {name for name, number in self._partition_by_service.items() if number == partition}

    def list_routes(
        self, queue: QueueConfig, *, within: timedelta = timedelta.max
    ) -> dict[Route, None]:
        """Returns the routes of a queue's address, the present one first, then the latest ones.

        Parameters
        ----------
        queue : QueueConfig
        within : timedelta
            Leaves out routes that have not been in force for longer.
        """
        present, now = build_route(queue), self._clock.elapsed()
        known = self._routes.get((queue.host, queue.prefix), {})
        former = [route for route, until in known.items() if now - until <= within]
        former.sort(key=known.__getitem__, reverse=True)
        return dict.fromkeys([present, *former])

    def note_route(self, queue: QueueConfig) -> None:
        """Notes that a route has been in force until now."""
        known = self._routes.setdefault((queue.host, queue.prefix), {})
        known[build_route(queue)] = self._clock.elapsed()

    def is_recorded(self, queue: QueueConfig) -> bool:
        """Returns whether other processes can find workflows that are submitted to a queue."""
        return build_route(queue) in self._recorded

    def lacks_partition_of(self, deployment: Deployment) -> bool:
        """Returns whether a service of a configuration has no partition and can get one."""
        return bool(
            deployment.services.keys() - self._partition_by_service.keys() - self._unreadable
        )

    def lacks_records_of(self, deployment: Deployment) -> bool:
        """Returns whether something of a configuration is still to be recorded."""
        routes = {build_route(queue) for queue in deployment.queues}
        return self.lacks_partition_of(deployment) or bool(routes - self._recorded - self._refused)

    async def refresh(self, max_age: timedelta) -> None:
        """Reads what has changed, unless the last read is recent enough.

        Raises
        ------
        PlatformError
            If the store cannot be read.
        """
        started_at = self._clock.elapsed()
        async with self._lock:
            if self._read_at is None or started_at - self._read_at > max_age:
                await self._read()

    async def record(self, deployment: Deployment, queues: Iterable[QueueConfig] = ()) -> None:
        """Records the services and routes of a configuration, and further routes.

        A service whose record cannot be read is left out: another partition would hide the
        workflows that are recorded in its own.

        Raises
        ------
        PlatformError
            If the store cannot be read or written.
        """
        async with self._lock:
            while True:
                await self._read()
                records = [
                    *self._choose_partitions(deployment),
                    *self._list_unrecorded_routes([*deployment.queues, *queues]),
                ]
                if not records:
                    return
                data = encode_records(records)
                try:
                    end = await self._store.append(LAYOUT_TOPIC, 0, data, expected_end=self._offset)
                except OffsetConflict:
                    continue
                self._apply(records)
                self._offset = end
                return

    def _choose_partitions(self, deployment: Deployment) -> list[KeyedRecord]:
        known = self._partition_by_service.keys() | self._unreadable
        missing = sorted(set(deployment.services) - known)
        chosen = choose_partitions(missing, self._partition_by_service, self._settings.partitions)
        return [KeyedRecord(name, str(number).encode()) for name, number in chosen]

    def _list_unrecorded_routes(self, queues: Iterable[QueueConfig]) -> list[KeyedRecord]:
        missing = dict.fromkeys(build_route(queue) for queue in queues)
        records = []
        for route in missing.keys() - self._recorded - self._refused:
            value = route.encode()
            if len(value) > MAX_ROUTE_BYTES:
                self._refused.add(route)
                logger.error(
                    "route is too long to be recorded; submissions to it are rejected",
                    extra={
                        "fields": {
                            "queue": route.queue,
                            "bytes": len(value),
                            "limit": MAX_ROUTE_BYTES,
                        }
                    },
                )
                continue
            records.append(KeyedRecord(route.key, value))
        return records

    async def _read(self) -> None:
        began_at = self._clock.elapsed()
        if self._offset is not None:
            try:
                await self._read_changes(self._offset)
            except RecordsExpired:
                self._offset = None
        if self._offset is None:
            latest = await self._store.read_latest(LAYOUT_TOPIC, 0)
            self._apply(latest.records)
            await self._read_changes(latest.end)
        self._read_at = began_at

    async def _read_changes(self, offset: int) -> None:
        """Reads to the end, since one response may be cut."""
        while True:
            tail = await self._store.read(LAYOUT_TOPIC, 0, offset, wait=0.0)
            self._apply(tail.records)
            self._offset = tail.end
            if tail.end >= tail.partition_end or tail.end == offset:
                return
            offset = tail.end

    def _apply(self, records: list[KeyedRecord]) -> None:
        self._unreadable |= unreadable_records.apply_each(LAYOUT_TOPIC, records, self._apply_record)

    def _apply_record(self, key: str, value: bytes) -> None:
        if not value:
            return
        # A service may have a name that begins like the key of a route.
        if value.startswith(b"["):
            route = decode_json(value, Route)
            self._recorded.add(route)
            known = self._routes.setdefault((route.host, route.prefix), {})
            known.setdefault(route, self._clock.elapsed())
            return
        self._partition_by_service[key] = parse_count(value, self._settings.partitions - 1)
        self._unreadable.discard(key)


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
