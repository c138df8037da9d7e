"""Partitions of the workflows that the platform's group deals to this process."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from mode import Service

from carawayd.partition.ledger import FLEET_TOPIC, WORKFLOWS_TOPIC
from carawayd.partition.owner import PartitionOwner
from carawayd.platform.common import PlatformError
from carawayshore.workflows.candidacy import ENOUGH_CORES, GroupView, decide_candidacy

if TYPE_CHECKING:
    from random import Random

    from carawayd.platform.advice import AdviceClient
    from carawayd.platform.runs import RunsClient
    from carawayd.platform.store import StoreClient
    from carawayd.process.discovery import Discovery
    from carawayd.process.fleetmanager import FleetManager
    from carawayd.process.site import SiteSettings
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

GROUP = "owners"
# A member that has not renewed for this long loses its partitions; with the renewal interval it
# bounds a hand-over after a kill to about two seconds.
TTL_MS = 1_500
RENEWAL = timedelta(milliseconds=250)
# Interval at which the owners of the partitions are read again, and after a call that failed.
DIRECTORY_INTERVAL = timedelta(seconds=1.5)
HURRIED_INTERVAL = timedelta(milliseconds=150)
# Longest time for which a call waits for the owners to be read, in seconds.
DIRECTORY_WAIT_SECONDS = 0.5
# Interval at which a host that is not a member looks whether all partitions have owners.
WATCH_INTERVAL = timedelta(seconds=1)


class Ownership(Service):
    """Keeps this process in the group and runs an owner for each partition that it holds.

    Parameters
    ----------
    store, runs, discovery, settings, clock, random, metrics
    """

    def __init__(
        self,
        store: StoreClient,
        runs: RunsClient,
        discovery: Discovery,
        settings: SiteSettings,
        clock: Clock,
        random: Random,
        metrics: WorkflowMetrics,
    ) -> None:
        super().__init__()
        self.owners: dict[int, PartitionOwner] = {}
        self.leaving = False
        # Set by the entry host: runs while this process holds the fleet's partition.
        self.fleet: FleetManager | None = None
        # Set by the entry host where the deployment has a placement policy service.
        self.advice: AdviceClient | None = None
        self._store = store
        self._runs = runs
        self._discovery = discovery
        self._settings = settings
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self.member = self._name_member()
        # The last epoch under which this process owned a partition; never used for it again, since
        # orders of the former owner may still be on their way under it.
        self._used: dict[int, int] = {}
        self._generation = 0
        self._ttl = max(TTL_MS, settings.least_ttl_ms) / 1000
        self._joined_at: timedelta | None = None
        # Whether this host is a member of the group, or has to be one.
        self._candidate = False
        # Members that own the partitions, by topic and partition, and for how long one of them has
        # had no owner, as of the last reading.
        self._members: dict[tuple[str, int], str] = {}
        self._unowned_since: timedelta | None = None
        self._unowned = timedelta()
        self._directory: dict[int, str] = {}
        self._directory_at: timedelta | None = None
        self._reading: asyncio.Task[None] | None = None

    def _name_member(self) -> str:
        """Returns a new name; a process that joins anew gets a later generation."""
        cores = f"{self._settings.cores:.3f}"
        return f"{self._settings.peer_address}#{cores}#{self._random.getrandbits(48):012x}"

    @property
    def address(self) -> str:
        """Address at which other entry hosts reach this one."""
        return self._settings.peer_address

    def is_current(self) -> bool:
        """Whether the membership has been renewed within its lifetime."""
        return self._renewed_within(timedelta(seconds=self._ttl))

    def _renewed_within(self, limit: timedelta) -> bool:
        return self._joined_at is not None and self._clock.elapsed() - self._joined_at < limit

    def _may_renew(self) -> bool:
        return self._renewed_within(timedelta(seconds=self._settings.abandon_seconds))

    def find_owner(self, partition: int) -> PartitionOwner | None:
        """Returns the own owner of a partition, if this process holds it."""
        owner = self.owners.get(partition)
        return owner if owner is not None and not owner.lost else None

    async def find_address(self, partition: int, *, refresh: bool = False) -> str | None:
        """Returns the address of the entry host that owns a partition, None if nobody is known."""
        due = self._refresh_directory(HURRIED_INTERVAL if refresh else DIRECTORY_INTERVAL)
        if due and (refresh or partition not in self._directory):
            await asyncio.wait([self._reading], timeout=DIRECTORY_WAIT_SECONDS)
        return self._directory.get(partition)

    def _refresh_directory(self, interval: timedelta) -> bool:
        """Begins to read the owners if they are older than ``interval``; returns whether so."""
        now = self._clock.elapsed()
        if self._directory_at is not None and now - self._directory_at <= interval:
            return False
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._read_directory())
        return True

    async def _read_directory(self) -> None:
        self._directory_at = self._clock.elapsed()
        try:
            self._members = await self._store.list_owners(GROUP)
        except PlatformError as error:
            logger.info("owners are not known", extra={"fields": {"error": str(error)}})
            return
        owned = {
            partition: member.partition("#")[0]
            for (topic, partition), member in self._members.items()
            if topic == WORKFLOWS_TOPIC and member
        }
        self._directory = owned
        now = self._clock.elapsed()
        if set(range(self._settings.partitions)) <= set(owned):
            self._unowned_since = None
        elif self._unowned_since is None:
            self._unowned_since = now
        self._unowned = now - self._unowned_since if self._unowned_since else timedelta()

    @Service.task
    async def _keep_membership(self) -> None:
        while not self.should_stop:
            if not self.leaving and self._discovery.deployment is not None:
                await self._consider_candidacy()
                if self._candidate and not self.leaving:
                    await self._renew()
            await self._clock.sleep(RENEWAL)

    async def _consider_candidacy(self) -> None:
        """Joins or leaves the group as the cores of the owners ask for."""
        if self._settings.cores < ENOUGH_CORES:
            self._refresh_directory(WATCH_INTERVAL)
        view = GroupView(
            self._settings.cores,
            self._candidate,
            {member: _read_cores(member) for member in self._members.values() if member},
            self._unowned.total_seconds(),
        )
        decision = decide_candidacy(view)
        if decision.joins == self._candidate:
            return
        self._candidate = decision.joins
        logger.info(
            "joins the owners" if decision.joins else "leaves the owners",
            extra={
                "fields": {
                    "why": decision.reason,
                    "cores": view.cores,
                    "owners": len(view.owners),
                    "unowned_seconds": round(view.unowned_seconds, 3),
                }
            },
        )
        if not decision.joins:
            await self._leave_group()

    async def _renew(self) -> None:
        sent_at = self._clock.elapsed()
        try:
            membership = await self._store.join(
                GROUP,
                self.member,
                [WORKFLOWS_TOPIC, FLEET_TOPIC],
                ttl=self._ttl,
                generation=self._generation,
            )
        except PlatformError as error:
            logger.info("membership is not renewed", extra={"fields": {"error": str(error)}})
            return
        if self.leaving:
            return
        self._joined_at = sent_at
        changed = membership.generation != self._generation
        self._generation = membership.generation
        held = {partition for topic, partition in membership.partitions if topic == WORKFLOWS_TOPIC}
        wanted = {number for number in held if self._discovery.list_services(number)}
        self._discovery.needs_workers = bool(wanted)
        if self.fleet is not None:
            await self.fleet.set_holder((FLEET_TOPIC, 0) in membership.partitions, self._generation)
            if self.fleet.fenced:
                await self._join_anew()
                return
        for partition in list(self.owners):
            if partition not in wanted or self.owners[partition].lost:
                self._drop(partition)
        if any(
            partition not in self.owners and self._used.get(partition, -1) >= self._generation
            for partition in wanted
        ):
            await self._join_anew()
            return
        for partition in wanted:
            owner = self.owners.get(partition)
            if owner is None:
                await self._acquire(partition)
            elif changed and owner.loaded:
                asyncio.ensure_future(self._raise_epoch(owner, membership.generation))
            elif changed:
                # What it has read may be older than records of a member that held it in between.
                self._drop(partition)
                await self._acquire(partition)

    async def _join_anew(self) -> None:
        """Leaves the group under this name, so that the next generation differs."""
        logger.info("group is joined anew", extra={"fields": {"generation": self._generation}})
        if self.fleet is not None:
            await self.fleet.set_holder(False, self._generation)
        for partition in list(self.owners):
            self._drop(partition)
        former, self.member = self.member, self._name_member()
        try:
            await self._store.leave(GROUP, former)
        except PlatformError as error:
            logger.info("group is not left", extra={"fields": {"error": str(error)}})

    async def _acquire(self, partition: int) -> None:
        owner = PartitionOwner(
            partition,
            self._generation,
            store=self._store,
            runs=self._runs,
            discovery=self._discovery,
            settings=self._settings,
            clock=self._clock,
            random=self._random,
            may_renew=self._may_renew,
            metrics=self._metrics,
            advice=self.advice,
        )
        self.owners[partition] = owner
        self._metrics.ownership.labels("acquired").inc()
        self._used[partition] = self._generation
        logger.info(
            "partition acquired",
            extra={"fields": {"partition": partition, "generation": self._generation}},
        )
        await self.add_runtime_dependency(owner)

    async def _raise_epoch(self, owner: PartitionOwner, generation: int) -> None:
        """Another member may have held the partition between two renewals."""
        self._used[owner.partition] = generation
        if not await owner.raise_epoch(generation):
            logger.info(
                "partition was held by another member",
                extra={"fields": {"partition": owner.partition, "generation": generation}},
            )
            owner.lost = True

    def _drop(self, partition: int) -> None:
        owner = self.owners.pop(partition)
        self._metrics.ownership.labels("lost").inc()
        owner.lost = True
        asyncio.ensure_future(owner.stop())

    async def leave(self) -> None:
        """Hands all partitions over to other members, for good."""
        self.leaving = True
        if self._candidate:
            await self._leave_group()

    async def _leave_group(self) -> None:
        """Hands all partitions over; a later membership has another name."""
        if self.fleet is not None:
            await self.fleet.set_holder(False, self._generation)
        await asyncio.gather(*(owner.hand_over() for owner in self.owners.values()))
        for partition in list(self.owners):
            self._drop(partition)
        former, self.member = self.member, self._name_member()
        self._joined_at = None
        self._discovery.needs_workers = False
        try:
            await self._store.leave(GROUP, former)
        except PlatformError as error:
            logger.info("group is not left", extra={"fields": {"error": str(error)}})


def _read_cores(member: str) -> float:
    """Returns the cores that a member's name tells, 0 for a name of another form."""
    parts = member.split("#")
    try:
        return float(parts[1])
    except (IndexError, ValueError):
        return 0.0
