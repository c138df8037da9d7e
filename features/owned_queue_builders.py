"""Entry hosts in virtual time whose queues move, with the real owners of the partitions.

Each entry host has a store client of its own, so that one of them can be cut off from the store.
The owners follow the configuration through one more entry host.
"""

from __future__ import annotations

import asyncio
import json
from random import Random
from types import SimpleNamespace
from typing import Any

from malformed_builders import MemoryStore
from moved_queue_builders import QueueHost, QueueWorld, identify
from owner_builders import build_settings
from platform_builders import build_job
from virtual import LoopClock
from worker_model import ModelStore

from carawayd.partition.owner import PartitionOwner
from carawayd.process.ownercalls import OwnerCalls
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SteadyTimeOfDay

OWNERS_HOST = "owners"
# Time in which an entry host reads the layout before each submission, after its start.
SETTLE_S = 6.0
# Longer than a read of the configuration.
CUT_S = 1.5


class OwnedPartitions:
    """Owners of all partitions, each with its records, called as by the entry hosts."""

    def __init__(self) -> None:
        self.discovery: Any = None
        self.owners: dict[int, PartitionOwner] = {}
        self._stores: dict[int, ModelStore] = {}
        self._epoch = 0

    async def call(
        self, partition: int, operation: str, subject: Any, *, deadline_seconds: float
    ) -> Any:
        if partition not in self.owners:
            await self.take_over(partition)
        ownership = SimpleNamespace(find_owner=self.owners.get, is_current=lambda: True)
        calls = OwnerCalls(ownership, SimpleNamespace(), LoopClock())
        return await calls.call(partition, operation, subject, deadline_seconds=deadline_seconds)

    async def take_over(self, partition: int) -> None:
        """Starts the next owner of a partition, without a handover."""
        former = self.owners.pop(partition, None)
        if former is not None:
            former.lost = former.ledger.lost = True
            await former.stop()
        clock = LoopClock()
        self._epoch += 1
        owner = PartitionOwner(
            partition,
            self._epoch,
            store=self._stores.setdefault(partition, ModelStore()),
            runs=None,
            discovery=self.discovery,
            settings=build_settings(),
            clock=clock,
            time_of_day=SteadyTimeOfDay(clock),
            random=Random(1),
            may_renew=lambda: True,
            metrics=WorkflowMetrics(),
        )
        self.owners[partition] = owner
        await owner.maybe_start()
        # Submissions are considered once the workers could be discovered.
        await asyncio.sleep(2.0)

    def count_runs(self, job: str) -> int:
        """Returns how many partitions have accepted a job."""
        return sum(job in owner.workflows for owner in self.owners.values())

    async def close(self) -> None:
        for owner in self.owners.values():
            await owner.stop()


class OwnedQueueWorld(QueueWorld):
    """Entry hosts with stores of their own, and the owners of the partitions."""

    def __init__(self, *services: str) -> None:
        super().__init__(*services)
        self.owners = OwnedPartitions()
        self.stores: dict[str, MemoryStore] = {}

    async def start(self, *names: str) -> None:
        for name in names:
            view = self.stores[name] = MemoryStore()
            view.logs = self.store.logs
            self.hosts[name] = QueueHost(view, self.owners, name)
            await self.hosts[name].discovery.maybe_start()
        self.owners.discovery = self.hosts[OWNERS_HOST].discovery
        await asyncio.sleep(SETTLE_S)
        for service in self.services:
            await self.owners.take_over(self.find_partition(service))

    async def cut(self, *names: str) -> None:
        """Cuts entry hosts off from the store, and waits until the reads in progress have ended."""
        for name in names:
            self.stores[name].is_down = True
        await asyncio.sleep(CUT_S)

    async def submit(self, number: int, host: str | None = None) -> int:
        """Submits a job of a long-running task, which needs no worker to be accepted."""
        job = build_job(1, longRunning=True)
        answer = await self.hosts[host].send("POST", "/slots/" + identify(number), job)
        return answer.status

    async def read_state(self, number: int, host: str) -> str:
        answer = await self.hosts[host].send("GET", "/slots/" + identify(number))
        return json.loads(answer.body).get("state", str(answer.status))

    def close(self) -> None:
        self.run(self.owners.close())
        super().close()
