"""A fleet manager with modelled pools, whose owners and orders a scenario delays or breaks.

It runs on the stand-in of the store and on the clock of the fleet harness, which the scenario
advances.
"""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgspec
from fleet_manager_builders import FleetHarness, RecordingMachines
from workflow_builders import build_load, build_machines

from carawayd.partition.owner import ABSENT, ACCEPTED, FOUND, UNREADY, Reply
from carawayd.platform.common import PermissionEnded, PlatformError
from carawayd.platform.machines import MachineList, MachineRefused
from carawayd.process.fleetmanager import CONTROL_INTERVAL
from carawayd.process.ownercalls import CORDON, REPORT_LOAD, UNCORDON

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayshore.workflows.model import Machine, WorkerLoad

SERVICE, STANDBY = "booking", "spare"
# Time after which a call to the store or to a machine is carried out.
CALL_TIME = timedelta(milliseconds=5)


class PoolMachines(RecordingMachines):
    """Machines of two pools, which move as ordered.

    Attributes
    ----------
    before_sending : callable
        Called before the permission to send is asked for.
    is_refusing : bool
        Whether every move is refused.
    refusing : set of str
        Machines whose moves are refused.
    """

    def __init__(self, machines: list[Machine]) -> None:
        super().__init__()
        self.machines = {item.machine: item for item in machines}
        self.before_sending: Callable[[], None] = lambda: None
        self.is_refusing = False
        self.refusing: set[str] = set()

    async def list_machines(self) -> MachineList:
        return MachineList(list(self.machines.values()), True)

    async def move(
        self, machine: str, pool: str, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        self.before_sending()
        if not may_send():
            raise PermissionEnded("the permission to send ended")
        self.orders.append((machine, pool, fence))
        if self.is_refusing or machine in self.refusing:
            raise MachineRefused("busy")
        if self.loses_responses:
            raise PlatformError("no response")
        self.machines[machine] = self.machines[machine]._replace(pool=pool)


class PoolOwner:
    """Owner of the only service: cordons its workers and reports their load.

    Attributes
    ----------
    load : dict
        Cores and core-seconds that the service reports, by field of ``ServiceLoad``.
    tasks : dict of str to int
        Number of tasks on each worker.
    answers_cordons : bool
        Whether cordons get a reply; without one they take effect all the same.
    lost_uncordons : int
        Number of calls to come that end a cordon and do not reach the owner.
    unresponsive : set of str
        Workers that the owner does not reach.
    """

    def __init__(self, machines: PoolMachines, clock: Any) -> None:
        self._machines = machines
        self._clock = clock
        self.load: dict[str, float] = {}
        self.tasks: dict[str, int] = {}
        # Worker to the time at which its cordon expires.
        self._cordon_ends: dict[str, timedelta] = {}
        self.answers_cordons = True
        self.lost_uncordons = 0
        self.unresponsive: set[str] = set()

    @property
    def cordons(self) -> set[str]:
        """Workers that are cordoned now."""
        now = self._clock.elapsed()
        return {worker for worker, until in self._cordon_ends.items() if now <= until}

    def _describe(self) -> Any:
        load = build_load(SERVICE, list(self._machines.machines.values()), **self.load)
        return load._replace(workers=tuple(self._describe_worker(item) for item in load.workers))

    def _describe_worker(self, load: WorkerLoad) -> WorkerLoad:
        return load._replace(
            tasks=self.tasks.get(load.worker, 0),
            cordoned=load.worker in self.cordons,
            heard=load.worker not in self.unresponsive,
        )

    async def call_once(
        self, partition: int, operation: str, argument: Any, timeout: float
    ) -> tuple[Reply, bool]:
        if operation == REPORT_LOAD:
            return Reply(FOUND, msgspec.to_builtins([self._describe()])), False
        worker = argument[0] if operation == CORDON else argument
        if operation == UNCORDON:
            if self.lost_uncordons:
                self.lost_uncordons -= 1
                return Reply(UNREADY), True
            self._cordon_ends.pop(worker, None)
            return Reply(ACCEPTED), False
        if worker in self.unresponsive:
            return Reply(ABSENT), False
        self._cordon_ends[worker] = self._clock.elapsed() + timedelta(seconds=argument[1])
        if not self.answers_cordons:
            return Reply(UNREADY), True
        load = next(item for item in self._describe().workers if item.worker == worker)
        return Reply(ACCEPTED, msgspec.to_builtins(load)), False


class PoolBench:
    """A fleet manager that manages one service and a standby pool.

    Parameters
    ----------
    in_service, on_standby : int
        Number of machines of 16 cores.
    """

    def __init__(self, in_service: int, on_standby: int) -> None:
        self.fleet = FleetHarness()
        self.machines = PoolMachines(build_machines(booking=in_service, spare=on_standby))
        self.owner = PoolOwner(self.machines, self.fleet.clock)
        self.fleet.machines = self.machines
        self._generation = 1
        self.manager = self.fleet.run(self.fleet.start_holder(self._generation))
        self._prepare(self.manager)

    def _prepare(self, manager: Any) -> None:
        services = {
            SERVICE: SimpleNamespace(name=SERVICE, standby=False),
            STANDBY: SimpleNamespace(name=STANDBY, standby=True),
        }
        manager._discovery = SimpleNamespace(
            deployment=SimpleNamespace(services=services),
            waves={},
            find_partition=lambda name: 0 if name == SERVICE else None,
        )
        manager._owner_calls = self.owner

    async def order_all_machines(self, *, answered: bool) -> None:
        """Records an order for each machine."""
        for name in self.machines.machines:
            assert await self.fleet.may_order(self.manager, name)
            if answered:
                self.manager._orders.record_answer(name)
        await self.manager._ledger.flush()

    def take_over(self) -> None:
        """Makes another holder manage the fleet."""
        self._generation += 1
        self.manager = self.fleet.run(self.fleet.start_holder(self._generation))
        self._prepare(self.manager)

    def manage(self, seconds: float) -> None:
        """Plays the control loop of the fleet manager for some seconds of its clock."""
        for _ in range(max(1, round(seconds / CONTROL_INTERVAL.total_seconds()))):
            self.fleet.run(self._manage_once())
            self.fleet.clock.advance += CONTROL_INTERVAL

    async def _manage_once(self) -> None:
        await self.manager._control()
        while self.manager._order_tasks:
            await self.fleet.clock.sleep(CALL_TIME)
        # The clock skips the time to the next look, in which records are written.
        await self.manager._ledger.flush()

    def count_machines(self, pool: str) -> int:
        return sum(item.pool == pool for item in self.machines.machines.values())

    def close(self) -> None:
        self.fleet.close()
