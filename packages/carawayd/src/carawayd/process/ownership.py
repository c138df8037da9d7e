"""Workflow partitions that the platform's group assigns to this process."""

from __future__ import annotations

import asyncio
import logging
import secrets
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from mode import Service

from carawayd.partition.ledger import FLEET_TOPIC, WORKFLOWS_TOPIC
from carawayd.partition.owner import PartitionOwner
from carawayd.platform.common import PlatformError
from carawayd.supervision import start_in_background, supervised_task
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.workflows.candidacy import MIN_OWNER_CORES, GroupView, decide_candidacy

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
# Form of the records and calls that a host reads, as named by its members; 1 if it names none.
FORM = 4
# First forms with parts of steps, and with the versions of queues and the accounts in submissions.
PARTS_FORM = 2
QUEUE_VERSIONS_FORM = 3
ACCOUNTS_FORM = 4
# Membership lifetime without renewal. Together with the renewal interval, it limits the time until
# another process takes over after a crash to about 2 s.
MEMBERSHIP_TTL_MS = 1_500
RENEWAL_INTERVAL = timedelta(milliseconds=250)
# Maximum age of the directory, the list of partition owners, when a call is made.
DIRECTORY_INTERVAL = timedelta(seconds=1.5)
# Maximum age of the directory when a call is repeated after a failure.
DIRECTORY_REFRESH_INTERVAL = timedelta(milliseconds=150)
# Longest time that a call waits for a read of the partition owners.
DIRECTORY_WAIT_SECONDS = 0.5
# Interval at which a host outside the group checks whether all partitions have owners.
NON_MEMBER_DIRECTORY_INTERVAL = timedelta(seconds=1)


class Ownership(Service):
    """Keeps this process in the group and runs an owner for each partition that it holds.

    Parameters
    ----------
    store : StoreClient
        Assigns partitions to the members of the group; also passed to the partition owners.
    runs : RunsClient
        Passed to the partition owners, which call workers with it.
    discovery : Discovery
        Lists the services of a partition; a partition without services gets no owner.
    settings : SiteSettings
        Settings of the process, among them its address, its cores and the membership lifetime.
    clock : Clock
        Gives the monotonic time, and waits; also passed to the partition owners.
    random : Random
        Makes member names unique; also passed to the partition owners.
    metrics : WorkflowMetrics
        Counts the partitions acquired and lost; also passed to the partition owners.
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
        # Set by the entry host; manages machines while this process holds the fleet partition.
        self.fleet: FleetManager | None = None
        # Set by the entry host if the deployment has a placement policy service.
        self.advice: AdviceClient | None = None
        self._store = store
        self._runs = runs
        self._discovery = discovery
        self._settings = settings
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._time_of_day = SteadyTimeOfDay(clock)
        self.member = self._build_member_name()
        # Partition to the last epoch in which this process owned it. An epoch is never reused for a
        # partition, since orders that the previous owner sent in it may still be in transit.
        self._last_epochs: dict[int, int] = {}
        self._generation = 0
        self._ttl = max(MEMBERSHIP_TTL_MS, settings.least_ttl_ms) / 1000
        self._renewed_at: timedelta | None = None
        # Whether this host is a group member or is to become one.
        self._is_candidate = False
        # Owning member by topic and partition, as of the last read of the directory.
        self._members_by_partition: dict[tuple[str, int], str] = {}
        # Time since which any partition has had no owner, None if all have one.
        self._unowned_since: timedelta | None = None
        # Duration of that as of the last read of the directory.
        self._unowned_duration = timedelta()
        # Address of the owning entry host by partition of the workflows.
        self._addresses_by_partition: dict[int, str] = {}
        self._directory_at: timedelta | None = None
        self._directory_task: asyncio.Task[None] | None = None

    def _build_member_name(self) -> str:
        """Returns a unique member name, so that rejoining the group raises the generation.

        It is not drawn from the seeded generator: a process that starts again while its membership
        still runs would keep the name, and with it the epoch, of its predecessor.
        """
        cores = f"{self._settings.cores:.3f}"
        token = secrets.token_hex(6)
        return f"{self._settings.peer_address}#{cores}#{token}#{FORM}"

    @property
    def address(self) -> str:
        """Address at which other entry hosts reach this one."""
        return self._settings.peer_address

    def is_current(self) -> bool:
        """Returns whether the group membership was renewed within its lifetime."""
        return self._renewed_within(timedelta(seconds=self._ttl))

    def _renewed_within(self, limit: timedelta) -> bool:
        return self._renewed_at is not None and self._clock.elapsed() - self._renewed_at < limit

    def _may_renew(self) -> bool:
        return self._renewed_within(timedelta(seconds=self._settings.abandon_seconds))

    def has_former_members(self) -> bool:
        """Returns whether a host that reads no parts of steps owns a partition."""
        members = self._members_by_partition.values()
        return any(member and _read_form(member) < PARTS_FORM for member in members)

    def reads_queue_versions(self, partition: int) -> bool:
        """Returns whether the owner of a partition reads the versions of queues in submissions."""
        return self._reads_form(partition, QUEUE_VERSIONS_FORM)

    def reads_accounts(self, partition: int) -> bool:
        """Returns whether the owner of a partition reads the client accounts in submissions."""
        return self._reads_form(partition, ACCOUNTS_FORM)

    def _reads_form(self, partition: int, form: int) -> bool:
        member = self._members_by_partition.get((WORKFLOWS_TOPIC, partition), "")
        return not member or _read_form(member) >= form

    def list_peer_addresses(self) -> list[str]:
        """Returns the addresses of the other entry hosts that own partitions, as far as known."""
        return sorted(set(self._addresses_by_partition.values()) - {self.address})

    def find_owner(self, partition: int) -> PartitionOwner | None:
        """Returns the local owner of a partition, None if this process does not own it."""
        owner = self.owners.get(partition)
        return owner if owner is not None and not owner.lost else None

    async def find_address(self, partition: int, *, refresh: bool = False) -> str | None:
        """Returns the address of the entry host that owns a partition, None if it is unknown."""
        due = self.refresh_directory(DIRECTORY_REFRESH_INTERVAL if refresh else DIRECTORY_INTERVAL)
        if due and (refresh or partition not in self._addresses_by_partition):
            await asyncio.wait([self._directory_task], timeout=DIRECTORY_WAIT_SECONDS)
        return self._addresses_by_partition.get(partition)

    def refresh_directory(self, interval: timedelta) -> bool:
        """Starts reading the owners if the last read is older than ``interval``; returns if so."""
        now = self._clock.elapsed()
        if self._directory_at is not None and now - self._directory_at <= interval:
            return False
        if self._directory_task is None or self._directory_task.done():
            self._directory_task = start_in_background(self._read_directory())
        return True

    async def _read_directory(self) -> None:
        self._directory_at = self._clock.elapsed()
        try:
            self._members_by_partition = await self._store.list_owners(GROUP)
        except PlatformError as error:
            logger.info(
                "could not read partition owners; keeping the last known ones",
                extra={"fields": {"error": str(error)}},
            )
            return
        owned = {
            partition: member.partition("#")[0]
            for (topic, partition), member in self._members_by_partition.items()
            if topic == WORKFLOWS_TOPIC and member
        }
        self._addresses_by_partition = owned
        now = self._clock.elapsed()
        if set(range(self._settings.partitions)) <= set(owned):
            self._unowned_since = None
        elif self._unowned_since is None:
            self._unowned_since = now
        self._unowned_duration = now - self._unowned_since if self._unowned_since else timedelta()

    @supervised_task
    async def _keep_membership(self) -> None:
        while not self.should_stop:
            if not self.leaving and self._discovery.deployment is not None:
                await self._update_candidacy()
                if self._is_candidate and not self.leaving:
                    await self._renew()
            await self._clock.sleep(RENEWAL_INTERVAL)

    async def _update_candidacy(self) -> None:
        """Joins or leaves the group, depending on the cores of the present owners."""
        if self._settings.cores < MIN_OWNER_CORES:
            self.refresh_directory(NON_MEMBER_DIRECTORY_INTERVAL)
        view = GroupView(
            self._settings.cores,
            self._is_candidate,
            {
                member: _read_cores(member)
                for member in self._members_by_partition.values()
                if member
            },
            self._unowned_duration.total_seconds(),
        )
        decision = decide_candidacy(view)
        if decision.should_join == self._is_candidate:
            return
        self._is_candidate = decision.should_join
        logger.info(
            "joining the owner group" if decision.should_join else "leaving the owner group",
            extra={
                "fields": {
                    "why": decision.reason,
                    "cores": view.cores,
                    "owners": len(view.owners),
                    "unowned_seconds": round(view.unowned_seconds, 3),
                }
            },
        )
        if not decision.should_join:
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
            logger.info(
                "membership renewal failed; retrying at the next interval",
                extra={"fields": {"error": str(error)}},
            )
            return
        if self.leaving:
            return
        self._renewed_at = sent_at
        changed = membership.generation != self._generation
        self._generation = membership.generation
        assigned = {
            partition for topic, partition in membership.partitions if topic == WORKFLOWS_TOPIC
        }
        wanted = {number for number in assigned if self._discovery.list_services(number)}
        self._discovery.needs_workers = bool(wanted)
        if changed and wanted:
            self.refresh_directory(DIRECTORY_REFRESH_INTERVAL)
        if self.fleet is not None:
            await self.fleet.set_holder((FLEET_TOPIC, 0) in membership.partitions, self._generation)
            if self.fleet.fenced:
                await self._rejoin()
                return
        await self._release_partitions(wanted)
        if self.leaving:
            return
        if any(
            partition not in self.owners
            and self._last_epochs.get(partition, -1) >= self._generation
            for partition in wanted
        ):
            await self._rejoin()
            return
        for partition in wanted:
            owner = self.owners.get(partition)
            if owner is None:
                await self._start_owner(partition)
            elif changed and owner.loaded:
                start_in_background(
                    self._raise_epoch(owner, membership.generation),
                    partial(setattr, owner, "lost", True),
                )
            elif changed:
                # The records read so far may predate those of a member that owned it in between.
                self._stop_owner(partition)
                await self._start_owner(partition)

    async def _release_partitions(self, wanted: set[int]) -> None:
        """Stops the owners of partitions that are lost or assigned elsewhere.

        A partition is assigned to another member after this one's next renewal, so that its records
        can become durable before, unless the group was rearranged at once.
        """
        released = [
            number for number, owner in self.owners.items() if number not in wanted or owner.lost
        ]
        owners = [self.owners[number] for number in released]
        await asyncio.gather(*(owner.hand_over() for owner in owners if not owner.lost))
        for partition in released:
            self._stop_owner(partition)

    async def _rejoin(self) -> None:
        """Leaves the group and takes a new member name, so that rejoining raises the generation."""
        logger.info("rejoining the owner group", extra={"fields": {"generation": self._generation}})
        if self.fleet is not None:
            await self.fleet.set_holder(False, self._generation)
        for partition in list(self.owners):
            self._stop_owner(partition)
        previous, self.member = self.member, self._build_member_name()
        try:
            await self._store.leave(GROUP, previous)
        except PlatformError as error:
            logger.info(
                "leaving the owner group failed; the membership expires",
                extra={"fields": {"error": str(error)}},
            )

    async def _start_owner(self, partition: int) -> None:
        owner = PartitionOwner(
            partition,
            self._generation,
            store=self._store,
            runs=self._runs,
            discovery=self._discovery,
            settings=self._settings,
            clock=self._clock,
            time_of_day=self._time_of_day,
            random=self._random,
            may_renew=self._may_renew,
            metrics=self._metrics,
            advice=self.advice,
            has_former_hosts=self.has_former_members,
        )
        self.owners[partition] = owner
        self._metrics.ownership.labels("acquired").inc()
        self._last_epochs[partition] = self._generation
        logger.info(
            "partition acquired",
            extra={"fields": {"partition": partition, "generation": self._generation}},
        )
        await self.add_runtime_dependency(owner)

    async def _raise_epoch(self, owner: PartitionOwner, generation: int) -> None:
        """Raises the epoch; the owner is lost if another member owned the partition meanwhile."""
        self._last_epochs[owner.partition] = generation
        if not await owner.raise_epoch(generation):
            logger.info(
                "another member owned the partition since the last renewal; partition lost",
                extra={"fields": {"partition": owner.partition, "generation": generation}},
            )
            owner.lost = True

    def _stop_owner(self, partition: int) -> None:
        owner = self.owners.pop(partition, None)
        if owner is None:
            # Stopped by a planned stop that began during a renewal.
            return
        self._metrics.ownership.labels("lost").inc()
        owner.lost = True
        start_in_background(owner.stop())

    async def leave(self) -> None:
        """Hands all partitions over to other members and never rejoins the group."""
        self.leaving = True
        if self._is_candidate:
            await self._leave_group()

    async def _leave_group(self) -> None:
        """Hands all partitions over and takes a new member name for any later membership."""
        if self.fleet is not None:
            await self.fleet.set_holder(False, self._generation)
        await asyncio.gather(*(owner.hand_over() for owner in self.owners.values()))
        for partition in list(self.owners):
            self._stop_owner(partition)
        previous, self.member = self.member, self._build_member_name()
        self._renewed_at = None
        self._discovery.needs_workers = False
        try:
            await self._store.leave(GROUP, previous)
        except PlatformError as error:
            logger.info(
                "leaving the owner group failed; the membership expires",
                extra={"fields": {"error": str(error)}},
            )


def _read_cores(member: str) -> float:
    """Returns the cores encoded in a member name, 0 for a name in another format."""
    parts = member.split("#")
    try:
        return float(parts[1])
    except (IndexError, ValueError):
        return 0.0


def _read_form(member: str) -> int:
    """Returns the form of records that a member names, 1 if it names none."""
    parts = member.split("#")
    return int(parts[3]) if len(parts) > 3 and parts[3].isdecimal() else 1
