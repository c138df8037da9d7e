"""An owner, its workers and the holder of the fleet that provides them, in virtual time.

The machines of one pool run the workers of a :class:`World`. The real fleet manager moves machines
between this pool and a standby pool and takes them through upkeep, with orders that take as long as
the platform's pages say, or that the scenario refuses, delays or leaves without an answer.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from fleet_manager_builders import FakeOwnership
from owner_builders import build_settings
from worker_model import SERVICE, WORKER_CORES, ModelStore, OwnerClock, World

from carawayd.partition.owner import UNREADY, Reply
from carawayd.platform.common import PermissionEnded, PlatformError, PlatformTimedOut
from carawayd.platform.machines import MachineList, MachineRefused
from carawayd.process.fleetmanager import FleetManager
from carawayd.process.ownercalls import CORDON, REPORT_LOAD, UNCORDON
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.workflows.model import Machine, Wave
from carawayshore_standins.platform_machines import MOVE_S, UPKEEP_S, PlatformMachine

if TYPE_CHECKING:
    from collections.abc import Callable

STANDBY = "spare"
# Time from the start of a worker to its entry.
ENTRY_S = 0.3
CALL_S, CALL_TIMEOUT_S = 0.004, 1.5
STARTED_S = 1.0
# Time from the end of a worker that has left to the removal of its machine from the list.
UNLISTED_AFTER_S = 0.5


class ModelMachines:
    """Machines service, which carries out orders at once and ends what runs on the machine.

    Attributes
    ----------
    mode : str
        ``silent`` for no answer to any call, ``unanswered`` for orders that are carried out late
        and not answered, ``busy`` for orders that are refused, otherwise empty.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.mode = ""
        self.late_seconds = 4.0
        self.machines: dict[str, PlatformMachine] = {}
        # Runs of long-running tasks that orders have ended.
        self.ended_runs: list[str] = []

    def add(self, name: str, pool: str) -> None:
        machine = self.machines[name] = PlatformMachine(name, pool)
        if pool == SERVICE:
            self._start_worker(machine)

    def _start_worker(self, machine: PlatformMachine) -> None:
        machine.state = "up"
        machine.starts += 1
        machine.worker = f"w-{machine.name}-{machine.starts}"
        self._world.add_worker(machine.worker)

    def remove(self, worker: str) -> None:
        """Takes the machine of a worker that has ended out of the list for good."""
        for machine in list(self.machines.values()):
            if machine.worker == worker:
                del self.machines[machine.name]

    async def list_machines(self) -> MachineList:
        await self._answer()
        return MachineList([self._describe(item) for item in self.machines.values()], True)

    def _describe(self, machine: PlatformMachine) -> Machine:
        worker = self._world.workers.get(machine.worker)
        is_down = machine.state == "up" and worker is not None and worker.gone
        return Machine(
            machine.name,
            machine.pool,
            "down" if is_down else machine.state,
            "umea",
            ("a",),
            WORKER_CORES * 1000,
            machine.worker,
        )

    async def _answer(self) -> None:
        await asyncio.sleep(CALL_S)
        if self.mode == "silent":
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformTimedOut("no response")

    async def _order(self, may_send: Callable[[], bool], carry_out: Callable[[], None]) -> None:
        if not may_send():
            raise PermissionEnded("the permission to send ended")
        await self._answer()
        if self.mode == "busy":
            raise MachineRefused("busy")
        if self.mode == "unanswered":
            asyncio.get_running_loop().call_later(self.late_seconds, carry_out)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformError("no response")
        carry_out()

    async def move(
        self, machine: str, pool: str, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        item = self.machines[machine]

        def carry_out() -> None:
            if item.pool != pool:
                self._end_worker(item)
                item.pool = pool
                self._return_after(item, "moving", MOVE_S)

        await self._order(may_send, carry_out)

    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        item = self.machines[machine]

        def carry_out() -> None:
            if wave not in item.waves:
                item.waves.append(wave)
                self._end_worker(item)
                self._return_after(item, "upkeep", UPKEEP_S)

        await self._order(may_send, carry_out)

    def _end_worker(self, machine: PlatformMachine) -> None:
        worker = self._world.workers.get(machine.worker)
        if worker is None or worker.gone:
            return
        self.ended_runs += [
            f"{task} on {worker.name}"
            for task in worker.runs
            if self._world.steps[task.workflow].long_running
        ]
        worker.leave()
        self._world.unlisted.add(worker.name)
        machine.worker = ""

    def _return_after(self, machine: PlatformMachine, state: str, seconds: float) -> None:
        machine.state = state

        def come_back() -> None:
            machine.state = "up"
            if machine.pool == SERVICE:
                asyncio.get_running_loop().call_later(ENTRY_S, self._start_worker, machine)

        asyncio.get_running_loop().call_later(seconds, come_back)


class FleetStore(ModelStore):
    """Partition of the fleet's holder; states of waves are published without an epoch."""

    async def append(self, topic, partition, data, *, producer="", epoch=0, sequence=0) -> int:
        if not producer:
            await asyncio.sleep(CALL_S)
            return 0
        return await super().append(
            topic, partition, data, producer=producer, epoch=epoch, sequence=sequence
        )


class FleetWorld:
    """A world whose workers run on machines, and successive holders of the fleet.

    Parameters
    ----------
    in_service, on_standby : int
        Number of machines of the service and of the standby pool.
    """

    def __init__(self, in_service: int, on_standby: int, stop_seconds: float = 0.05) -> None:
        self.world = World(0, stop_seconds)
        self.machines = ModelMachines(self.world)
        for number in range(in_service):
            self.machines.add(f"m{number}", SERVICE)
        for number in range(on_standby):
            self.machines.add(f"s{number}", STANDBY)
        self.waves: dict[int, Any] = {}
        self._store = FleetStore()
        self._holders: list[FleetManager] = []
        services = {
            SERVICE: SimpleNamespace(name=SERVICE, standby=False),
            STANDBY: SimpleNamespace(name=STANDBY, standby=True),
        }
        self._discovery = SimpleNamespace(
            deployment=SimpleNamespace(services=services),
            waves=self.waves,
            find_partition=lambda name: 0 if name == SERVICE else None,
        )

    @property
    def holder(self) -> FleetManager:
        return self._holders[-1]

    async def start(self) -> None:
        await self.world.take_over()
        await self.start_holder()
        # Until the owner knows its workers.
        await asyncio.sleep(STARTED_S)

    async def start_holder(self) -> None:
        """Starts the next holder of the fleet."""
        generation = len(self._holders) + 1
        manager = FleetManager(
            self._store,
            self.machines,
            self._discovery,
            FakeOwnership(f"entry-{generation}"),
            self,
            build_settings(),
            OwnerClock(self.world, generation * 1_000.0),
            WorkflowMetrics(),
        )
        self._holders.append(manager)
        await manager.set_holder(True, generation)
        await manager.maybe_start()

    async def lose_holder(self, seconds: float) -> None:
        """Ends the holder without a handover; the next one follows after some seconds."""
        self.holder._ownership.current = False
        await self.holder.stop()
        await asyncio.sleep(seconds)
        await self.start_holder()

    async def call_once(
        self, partition: int, operation: str, argument: Any, timeout: float
    ) -> tuple[Reply, bool]:
        """Calls the present owner of the workers' partition."""
        owner = self.world.current.owner
        calls = {REPORT_LOAD: owner.report_load, CORDON: owner.cordon, UNCORDON: owner.uncordon}
        await asyncio.sleep(CALL_S)
        try:
            async with asyncio.timeout(timeout):
                return await calls[operation](argument), False
        except TimeoutError:
            return Reply(UNREADY), True

    def begin_wave(self, seconds: float, max_down: int) -> None:
        """Asks for the upkeep of all machines of the service."""
        number = len(self.waves) + 1
        names = tuple(item.name for item in self.machines.machines.values() if item.worker)
        since = self.holder._clock.elapsed()
        self.waves[number] = SimpleNamespace(
            wave=Wave(number, names, seconds, max_down), since=since
        )

    def list_workers_of(self, identifier: str) -> list[str]:
        """Returns the workers that run tasks of a job, in the order of their names."""
        return sorted(
            name
            for name, worker in self.world.workers.items()
            if any(task.workflow == identifier for task in worker.runs)
        )

    def take_away(self, worker: str) -> None:
        """Has a worker leave on notice; its machine leaves with it."""
        self.world.workers[worker].drain()
        asyncio.get_running_loop().call_later(2.0 + UNLISTED_AFTER_S, self.machines.remove, worker)

    def lose(self, worker: str) -> None:
        """Ends a worker and its machine for good, without a notice."""
        self.world.workers[worker].leave()
        loop = asyncio.get_running_loop()
        loop.call_later(4.5, self.world.unlisted.add, worker)
        loop.call_later(4.5, self.machines.remove, worker)

    async def close(self) -> None:
        for holder in self._holders:
            await holder.stop()
        await self.world.close()
