"""A member of the owner group on a store in memory that assigns what the test says."""

from __future__ import annotations

from random import Random
from typing import Any

from owner_builders import ScriptedRuns, StaticDiscovery, build_settings
from worker_model import ModelStore

from carawayd.partition.ledger import WORKFLOWS_TOPIC
from carawayd.platform.store import LatestRecords, Membership
from carawayd.process.ownership import Ownership
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SystemClock


class GroupStore:
    """Assigns the partitions in ``assigned`` to whoever renews, and keeps records for each."""

    def __init__(self) -> None:
        self.assigned: set[int] = set()
        self.generation = 1
        self.partitions: dict[int, ModelStore] = {}

    def _find(self, partition: int) -> ModelStore:
        return self.partitions.setdefault(partition, ModelStore())

    async def join(self, group: str, member: str, topics: list[str], **_: Any) -> Membership:
        held = frozenset((WORKFLOWS_TOPIC, number) for number in self.assigned)
        return Membership(self.generation, held)

    async def list_owners(self, group: str) -> dict[tuple[str, int], str]:
        return {}

    async def append(self, topic: str, partition: int, data: bytes, **options: Any) -> int:
        return await self._find(partition).append(topic, partition, data, **options)

    async def read_latest(self, topic: str, partition: int) -> LatestRecords:
        return await self._find(partition).read_latest(topic, partition)


def build_member() -> tuple[Ownership, GroupStore]:
    """Returns a member that renews its membership only when told to."""
    store = GroupStore()
    member = Ownership(
        store,
        ScriptedRuns(),
        StaticDiscovery(),
        build_settings(),
        SystemClock(),
        Random(1),
        WorkflowMetrics(),
    )
    # As after joining the group; only the scenario has it renew, since its loop is not started.
    member._is_candidate = True
    member._started.set()
    return member, store
