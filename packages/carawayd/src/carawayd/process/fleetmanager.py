"""Upkeep and pool moves of machines, run by the entry host that holds the fleet partition."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec
from mode import Service

from carawayd.partition.ledger import FLEET_TOPIC, Ledger, OwnershipLost
from carawayd.partition.replies import ABSENT, ACCEPTED, FOUND, UNREADY
from carawayd.platform.common import PlatformError, PlatformUnreached
from carawayd.platform.documents import WAVE_PREFIX, encode_wave_state
from carawayd.platform.machines import MachineRefused
from carawayd.platform.store import STATUS_TOPIC, KeyedRecord, encode_records
from carawayd.process.machineinventory import MachineInventory
from carawayd.process.machineorders import ORDER_PREFIX, MachineOrders
from carawayd.process.ownercalls import CORDON, REPORT_LOAD, UNCORDON
from carawayd.process.poolshortages import PoolShortages
from carawayd.process.upkeeprecords import UpkeepRecords
from carawayd.supervision import start_in_background, supervised_task
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, convert
from carawayshore.workflows.model import ServiceLoad, WorkerLoad
from carawayshore.workflows.pools import (
    PoolSizer,
    PoolView,
    choose_cancelled_moves,
    choose_moves,
)
from carawayshore.workflows.upkeep import (
    UpkeepView,
    choose_upkeep_machines,
    is_wave_complete,
    may_start_upkeep,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from carawayd.platform.machines import MachinesClient
    from carawayd.platform.store import StoreClient
    from carawayd.process.discovery import Discovery
    from carawayd.process.ownercalls import OwnerCalls
    from carawayd.process.ownership import Ownership
    from carawayd.process.site import SiteSettings
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import Machine, Wave

logger = logging.getLogger(__name__)

CONTROL_INTERVAL = timedelta(milliseconds=150)
OWNER_CALL_TIMEOUT_SECONDS = 0.5
# Cordons expire unless renewed, so that a crashed fleet manager does not block workers.
CORDON_LIFETIME_SECONDS = 6.0
# No order is sent in the last part of a cordon, since it arrives only some time later.
CORDON_MARGIN = timedelta(seconds=1)
# Time for which a machine in service is not chosen for a move again after it was busy.
REFUSAL_DELAY = timedelta(seconds=6)
# The same for one on standby, which has no tasks to wait for; meanwhile another one is chosen.
STANDBY_REFUSAL_DELAY = timedelta(seconds=1)
# Interval at which the cordon of a machine is renewed for an unanswered order alone.
CORDON_RENEWAL_INTERVAL = timedelta(seconds=3)
# Added to the time for which an order without a response may still be carried out.
UNANSWERED_ORDER_MARGIN = timedelta(seconds=1)


class FleetManager(Service):
    """Schedules the upkeep of machines in waves and moves machines between pools with demand.

    Parameters
    ----------
    store : StoreClient
        Holds the records of waves and machine orders, and receives the published status.
    machines : MachinesClient
        Lists the machines and sends them orders.
    discovery : Discovery
        Gives the services, their partitions and the waves of upkeep.
    ownership : Ownership
        Gives the member name for orders and whether the group membership is current.
    owner_calls : OwnerCalls
        Asks partition owners for their load, and has them cordon and uncordon workers.
    settings : SiteSettings
        Settings of the process, among them the lease of machine orders.
    clock : Clock
        Gives Unix time and monotonic time, and waits.
    metrics : WorkflowMetrics
        Counts the orders to machines by outcome; also passed to the ledger.
    """

    def __init__(
        self,
        store: StoreClient,
        machines: MachinesClient,
        discovery: Discovery,
        ownership: Ownership,
        owner_calls: OwnerCalls,
        settings: SiteSettings,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        super().__init__()
        # Set when a machine rejects the fencing token because it has seen a higher one.
        self._is_token_rejected = False
        # Set once the records of the previous holder have been read.
        self.loaded = asyncio.Event()
        self._store = store
        self._machines_client = machines
        self._discovery = discovery
        self._ownership = ownership
        self._owner_calls = owner_calls
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._is_holder = False
        self._fence = 0
        self._orders: MachineOrders | None = None
        self._ledger: Ledger | None = None
        self._upkeep_records: UpkeepRecords | None = None
        self._completed_waves: set[int] = set()
        self._announced_waves: set[int] = set()
        # Machine to wave number: selected for upkeep that is not confirmed to have begun.
        self._pending_upkeep: dict[str, int] = {}
        # Machine to the time from which it may count as up again.
        self._down_until: dict[str, timedelta] = {}
        self._inventory = MachineInventory(clock)
        self._services: dict[str, ServiceLoad] = {}
        self._loads: dict[str, WorkerLoad] = {}
        self._order_tasks: dict[str, asyncio.Task[None]] = {}
        # Machine to destination pool.
        self._pending_moves: dict[str, str] = {}
        # Machines with a pending move for which an order may have been sent.
        self._ordered_moves: set[str] = set()
        # Those of them whose last order got no response.
        self._unanswered_moves: set[str] = set()
        # Machine to the time until which it is not chosen for a move, since it has refused one.
        self._refused_until: dict[str, timedelta] = {}
        # Machine to the time until which its cordon holds for certain.
        self._cordoned_until: dict[str, timedelta] = {}
        # Machine of a cancelled move to the time by which its cordon has expired in any case.
        self._cordon_ends: dict[str, timedelta] = {}
        # Machine to the time at which its cordon for an unanswered order is to be renewed.
        self._cordon_due_at: dict[str, timedelta] = {}
        self._pool_sizes = PoolSizer()
        self._shortages = PoolShortages(clock, metrics)

    @property
    def _machines(self) -> dict[str, Machine]:
        return self._inventory.machines

    @property
    def fenced(self) -> bool:
        """Whether another holder has taken over, so that the process must rejoin the group."""
        return self._is_token_rejected or (self._ledger is not None and self._ledger.lost)

    async def set_holder(self, is_holder: bool, generation: int) -> None:
        """Starts or stops managing the fleet; ``generation`` becomes the fencing token."""
        if is_holder == self._is_holder:
            return
        self._is_holder = is_holder
        self._is_token_rejected = False
        logger.info(
            "fleet partition acquired" if is_holder else "fleet partition released",
            extra={"fields": {"generation": generation}},
        )
        if is_holder:
            self._fence = generation
            self._pending_upkeep, self._down_until, self._pending_moves = {}, {}, {}
            self._ordered_moves, self._cordon_ends, self._cordoned_until = set(), {}, {}
            self._unanswered_moves = set()
            self._refused_until = {}
            self.loaded.clear()
            self._ledger = Ledger(
                self._store, FLEET_TOPIC, 0, self._settings, self._clock, self._metrics
            )
            self._orders = MachineOrders(self._clock, self._settings, self._ledger)
            self._upkeep_records = UpkeepRecords(self._ledger)
            start_in_background(self._load(self._ledger))
        elif self._ledger is not None:
            ledger, self._ledger = self._ledger, None
            self._shortages.clear()
            start_in_background(ledger.stop())

    async def _load(self, ledger: Ledger) -> None:
        try:
            await ledger.take_over(self._fence)
        except OwnershipLost:
            if ledger is self._ledger:
                self._is_token_rejected = True
            return
        records = await ledger.read_records()
        if ledger is not self._ledger:
            # The partition was released meanwhile, and may have been acquired again.
            return
        for key, value in records:
            if key.startswith(ORDER_PREFIX):
                self._orders.restore(key.removeprefix(ORDER_PREFIX), value)
            elif key.startswith(WAVE_PREFIX):
                self._upkeep_records.restore(key, value)
        await self.add_runtime_dependency(ledger)
        self.loaded.set()

    def _may_order(self) -> bool:
        """Returns whether this process now holds the fleet partition and has loaded its state."""
        return (
            self._is_holder
            and not self.fenced
            and self._ledger is not None
            and self._ledger.started
            and not self._ledger.lost
            and self._ownership.is_current()
        )

    async def _prepare_order(self, name: str) -> bool:
        """Records an upcoming order for a machine; returns whether the order may be sent.

        The record cannot be written after another holder has taken over.
        """
        if not self._may_order() or self._orders.is_blocked(name):
            return False
        self._orders.record_sending(name)
        await self._ledger.flush()
        if not self._may_order() or not self._ledger.is_durable([ORDER_PREFIX + name]):
            self._orders.record_answer(name)
            return False
        return True

    def _start_order(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Orders a machine; an unexpected error counts as an order without a response."""
        task = start_in_background(work, lambda: self._orders.note_missing_answer(name))
        self._order_tasks[name] = task
        task.add_done_callback(lambda _: self._order_tasks.pop(name, None))

    def _permit(self, fence: int, name: str) -> Callable[[], bool]:
        """Returns whether a machine may be ordered under a token, as a function to call then.

        The process may have lost the partition and got it back since the order was recorded, and
        the cordon may have expired, so that tasks have been started on the machine.
        """
        return lambda: fence == self._fence and self._may_order() and self._is_cordoned(name)

    def _is_cordoned(self, name: str) -> bool:
        """Returns whether a machine is cordoned for certain, or was in no pool that has tasks."""
        until = self._cordoned_until.get(name)
        return until is None or self._clock.elapsed() < until - CORDON_MARGIN

    @supervised_task
    async def _manage(self) -> None:
        while not self.should_stop:
            if self._may_order():
                try:
                    await self._control()
                except (PlatformError, OwnershipLost) as error:
                    logger.info(
                        "fleet management failed; retrying at the next interval",
                        extra={"fields": {"error": str(error)}},
                    )
            await self._clock.sleep(CONTROL_INTERVAL)

    async def _control(self) -> None:
        """Advances all upkeep and all moves by a step."""
        self._orders.update_records()
        await self._read_fleet()
        await self._cordon_machines_with_unanswered_orders()
        await self._manage_waves()
        await self._manage_pools()

    async def _read_fleet(self) -> None:
        """Reads the list of machines and the load of all services."""
        listing = await self._machines_client.list_machines()
        self._inventory.update(
            listing, {name for wave, _ in self._list_waves() for name in wave.machines}
        )
        deployment = self._discovery.deployment
        partitions = {self._discovery.find_partition(name) for name in deployment.services}
        answers = await asyncio.gather(
            *(
                self._owner_calls.call_once(
                    partition, REPORT_LOAD, self._count_incoming_cores(), OWNER_CALL_TIMEOUT_SECONDS
                )
                for partition in partitions
                if partition is not None
            )
        )
        self._services = {}
        for reply, _ in answers:
            if reply.outcome == FOUND:
                loads = _convert_reply(reply.detail, list[ServiceLoad], REPORT_LOAD) or []
                self._services |= {load.service: load for load in loads}
        self._loads = {
            load.worker: load for service in self._services.values() for load in service.workers
        }

    def _count_incoming_cores(self) -> dict[str, float]:
        """Returns the cores that each pool is receiving or may receive from the standby pools."""
        standby = self._list_standby()
        standby_cores = sum(
            machine.millicores / 1000
            for machine in self._machines.values()
            if machine.pool in standby and machine.state == "up"
        )
        incoming_cores = dict.fromkeys(self._discovery.deployment.services, standby_cores)
        for machine in self._machines.values():
            if machine.state == "moving" and machine.pool in incoming_cores:
                incoming_cores[machine.pool] += machine.millicores / 1000
        return incoming_cores

    # -- moves -----------------------------------------------------------------------------------

    async def _manage_pools(self) -> None:
        """Moves machines between pools as demand changes."""
        standby = frozenset(self._list_standby())
        now = self._clock.elapsed()
        self._refused_until = {
            name: until for name, until in self._refused_until.items() if now < until
        }
        services = {name: load for name, load in self._services.items() if name not in standby}
        view = PoolView(
            services,
            list(self._machines.values()),
            standby,
            frozenset().union(
                self._pending_upkeep,
                self._pending_moves,
                self._down_until,
                self._orders.list_unanswered(),
                self._orders.list_blocked(),
                self._refused_until,
            ),
            {},
            self._pending_moves,
            frozenset(self._orders.list_unanswered()),
        )
        needs = self._pool_sizes.update(now.total_seconds(), view)
        unknown = self._pool_sizes.list_unknown(now.total_seconds(), view)
        view = view._replace(needs=needs, unknown=unknown)
        self._forget_lost_orders()
        self._ordered_moves &= self._pending_moves.keys()
        cancellable = frozenset(
            self._pending_moves.keys() - self._ordered_moves - self._order_tasks.keys()
        )
        for name in choose_cancelled_moves(view, cancellable):
            self._cancel_move(name, "its pool needs the machine")
        view = view._replace(released=frozenset(self._cordon_ends))
        for move in choose_moves(view):
            self._pending_moves[move.machine.machine] = move.pool
            logger.info(
                "move chosen",
                extra={
                    "fields": {
                        "machine": move.machine.machine,
                        "from": move.machine.pool,
                        "to": move.pool,
                        "why": move.why,
                        "needed": needs,
                    }
                },
            )
        self._shortages.check(view)
        # Runs concurrently, since each move waits for an owner to record the cordon.
        await asyncio.gather(
            *(
                self._advance_move(name, pool, standby)
                for name, pool in list(self._pending_moves.items())
            )
        )
        await self._end_cordons_of_cancelled_moves(standby)

    def _forget_lost_orders(self) -> None:
        """Notes that orders without a response can no longer be carried out."""
        lost = self._unanswered_moves - self._orders.list_unanswered()
        self._unanswered_moves -= lost
        self._ordered_moves -= lost

    def _cancel_move(self, name: str, why: str) -> None:
        """Gives up a move that no order will carry out, and lets its cordon be ended."""
        pool = self._pending_moves.pop(name, "")
        lifetime = timedelta(seconds=CORDON_LIFETIME_SECONDS)
        self._cordon_ends[name] = self._clock.elapsed() + lifetime
        logger.info("move cancelled", extra={"fields": {"machine": name, "to": pool, "why": why}})

    async def _end_cordons_of_cancelled_moves(self, standby: frozenset[str]) -> None:
        """Ends the cordons, again until the owner confirms it, unless they are needed anew."""
        now = self._clock.elapsed()
        needed = (
            self._pending_moves.keys()
            | self._pending_upkeep.keys()
            | self._down_until.keys()
            | self._orders.list_unanswered()
        )
        machines = []
        for name, until in list(self._cordon_ends.items()):
            machine = self._machines.get(name)
            if machine is None or machine.pool in standby or name in needed or now >= until:
                del self._cordon_ends[name]
            else:
                machines.append(machine)
        confirmed = await asyncio.gather(*(self._uncordon(machine) for machine in machines))
        for machine, is_confirmed in zip(machines, confirmed, strict=True):
            if is_confirmed:
                self._cordon_ends.pop(machine.machine, None)

    async def _cordon_machines_with_unanswered_orders(self) -> None:
        """Keeps tasks off machines for which an order may yet be executed.

        The order may come from an earlier holder. Machines that are selected for a move or for
        upkeep are cordoned as part of that.
        """
        selected = self._pending_moves.keys() | self._pending_upkeep.keys()
        now, standby = self._clock.elapsed(), self._list_standby()
        due = [
            machine
            for name in self._orders.list_unanswered() - selected
            if (machine := self._machines.get(name)) is not None
            and machine.pool not in standby
            and now >= self._cordon_due_at.get(name, timedelta())
        ]
        loads = await asyncio.gather(*(self._cordon(machine) for machine in due))
        for machine, load in zip(due, loads, strict=True):
            if load is not None:
                self._cordon_due_at[machine.machine] = now + CORDON_RENEWAL_INTERVAL

    async def _advance_move(self, name: str, pool: str, standby: frozenset[str]) -> None:
        """Cordons the machine of a move, then orders the move, or cancels it if tasks run there."""
        machine = self._machines.get(name)
        if machine is None or machine.pool == pool:
            self._pending_moves.pop(name, None)
            return
        if name in self._order_tasks or machine.state != "up":
            return
        if machine.pool not in standby:
            outcome, load = await self._request_cordon(machine)
            is_ordered = name in self._ordered_moves
            if outcome == ABSENT and not is_ordered:
                self._cancel_move(name, "its worker cannot be cordoned")
            if load is None:
                return
            if load.tasks:
                # An order without a response may still end the tasks, so its cordon stays.
                if name not in self._orders.list_unanswered():
                    self._cancel_move(name, "tasks started before the cordon")
                return
        else:
            self._cordoned_until.pop(name, None)
        self._start_order(name, self._move(name, pool))

    async def _move(self, name: str, pool: str) -> None:
        """Orders one move; called again until the machine is listed in its new pool."""
        try:
            if not await self._prepare_order(name):
                return
        except OwnershipLost:
            return
        outcome: Any = "moved"
        self._ordered_moves.add(name)
        try:
            await self._machines_client.move(
                name,
                pool,
                holder=self._ownership.member,
                fence=self._fence,
                may_send=self._permit(self._fence, name),
            )
        except MachineRefused as refusal:
            outcome = refusal.reason
            self._orders.record_answer(name)
            if refusal.reason == "fence":
                self._pending_moves.pop(name, None)
                self._is_token_rejected = True
            elif name in self._pending_moves:
                machine = self._machines.get(name)
                # Other refusals pass soon.
                if refusal.reason == "busy" and machine:
                    is_on_standby = machine.pool in self._list_standby()
                    delay = STANDBY_REFUSAL_DELAY if is_on_standby else REFUSAL_DELAY
                    self._refused_until[name] = self._clock.elapsed() + delay
                self._cancel_move(name, f"the order was refused: {refusal.reason}")
        except PlatformUnreached as error:
            outcome = str(error)
            self._orders.record_answer(name)
            if name not in self._orders.list_unanswered():
                self._ordered_moves.discard(name)
        except PlatformError as error:
            outcome = str(error)
            self._orders.note_missing_answer(name)
            self._unanswered_moves.add(name)
        else:
            self._orders.record_answer(name)
            self._unanswered_moves.discard(name)
        self._metrics.machine_orders.labels("move", str(outcome)[:40]).inc()
        logger.info(
            "move order attempted",
            extra={
                "fields": {"machine": name, "outcome": outcome, "to": pool, "fence": self._fence}
            },
        )

    # -- upkeep ----------------------------------------------------------------------------------

    def _list_waves(self) -> list[tuple[Wave, float]]:
        """Returns the waves in progress, oldest first, each with its age in seconds."""
        now = self._clock.elapsed()
        return [
            (known.wave, (now - known.since).total_seconds())
            for number, known in sorted(self._discovery.waves.items())
            if number not in self._completed_waves
        ]

    def _build_upkeep_view(self, wave: Wave, age: float) -> UpkeepView:
        now = self._clock.elapsed()
        for name, until in list(self._down_until.items()):
            machine = self._machines.get(name)
            is_back = machine is not None and machine.state == "up"
            if now > until and (is_back or self._inventory.is_gone(name)):
                del self._down_until[name]
        unanswered = self._orders.list_unanswered()
        down = {
            name
            for name in wave.machines
            if name in self._down_until
            or name in unanswered
            or (name in self._machines and self._machines[name].state == "upkeep")
        }
        pending = {name for name, number in self._pending_upkeep.items() if number == wave.number}
        return UpkeepView(
            wave,
            age,
            self._upkeep_records.list_begun(wave.number),
            frozenset(pending),
            frozenset(down),
            self._machines,
            self._loads,
            frozenset(name for name in wave.machines if self._inventory.is_gone(name)),
        )

    async def _manage_waves(self) -> None:
        for wave, age in self._list_waves():
            view = self._build_upkeep_view(wave, age)
            # A former holder may have published the end of the wave already.
            is_complete = is_wave_complete(view)
            await self._publish_wave_state(wave, completed=is_complete)
            if is_complete:
                continue
            for machine in choose_upkeep_machines(view):
                if machine.machine in self._pending_moves:
                    continue
                self._pending_upkeep[machine.machine] = wave.number
                logger.info(
                    "machine chosen for upkeep",
                    extra={
                        "fields": {
                            "machine": machine.machine,
                            "wave": wave.number,
                            "pool": machine.pool,
                            "down": len(view.down),
                            "pending": len(view.pending),
                        }
                    },
                )
            await asyncio.gather(
                *(
                    self._advance_upkeep(view, name)
                    for name, number in list(self._pending_upkeep.items())
                    if number == wave.number
                )
            )

    async def _advance_upkeep(self, view: UpkeepView, name: str) -> None:
        """Advances the upkeep of one machine by a step: cordons it, then starts it if allowed."""
        machine = self._machines.get(name)
        if machine is None:
            self._pending_upkeep.pop(name, None)
            return
        if name in self._order_tasks or machine.state == "down":
            return
        load = None
        if machine.pool not in self._list_standby():
            load = await self._cordon(machine)
            if load is None:
                return
        else:
            self._cordoned_until.pop(name, None)
        if may_start_upkeep(view, load):
            self._down_until[name] = timedelta.max
            self._start_order(name, self._start_upkeep(view.wave, name))

    def _list_standby(self) -> set[str]:
        services = self._discovery.deployment.services.values()
        return {service.name for service in services if service.standby}

    async def _cordon(self, machine: Machine) -> WorkerLoad | None:
        """Keeps new tasks off a machine and returns its load, None if the load is unknown."""
        return (await self._request_cordon(machine))[1]

    async def _request_cordon(self, machine: Machine) -> tuple[str, WorkerLoad | None]:
        """Asks the owner for a cordon; returns the outcome, and the load if it is known.

        The owner records the cordon before it replies, so that later owners also apply it.
        """
        partition = self._discovery.find_partition(machine.pool)
        if partition is None or not machine.worker:
            return UNREADY, None
        lifetime, called_at = self._choose_cordon_lifetime(machine.machine), self._clock.elapsed()
        argument = [machine.worker, lifetime.total_seconds()]
        reply, _ = await self._owner_calls.call_once(
            partition, CORDON, argument, OWNER_CALL_TIMEOUT_SECONDS
        )
        if reply.outcome != ACCEPTED:
            return reply.outcome, None
        self._cordoned_until[machine.machine] = called_at + lifetime
        return ACCEPTED, _convert_reply(reply.detail, WorkerLoad, CORDON)

    def _choose_cordon_lifetime(self, name: str) -> timedelta:
        """Returns for how long to cordon a machine.

        A cordon that is needed for an unanswered order alone ends with the time in which the order
        may be carried out, since nobody ends it before.
        """
        lifetime = timedelta(seconds=CORDON_LIFETIME_SECONDS)
        unanswered = self._orders.measure_unanswered(name)
        if not unanswered:
            return lifetime
        unanswered += UNANSWERED_ORDER_MARGIN
        is_selected = name in self._pending_moves or name in self._pending_upkeep
        return max(lifetime, unanswered) if is_selected else unanswered

    async def _uncordon(self, machine: Machine) -> bool:
        """Ends the cordon of a machine; returns whether the owner has confirmed it."""
        partition = self._discovery.find_partition(machine.pool)
        if partition is None or not machine.worker:
            return False
        reply, _ = await self._owner_calls.call_once(
            partition, UNCORDON, machine.worker, OWNER_CALL_TIMEOUT_SECONDS
        )
        return reply.outcome == ACCEPTED

    async def _start_upkeep(self, wave: Wave, name: str) -> None:
        """Orders the upkeep of one machine and records that it has begun."""
        try:
            prepared = await self._prepare_order(name)
        except OwnershipLost:
            prepared = False
        if not prepared:
            self._down_until.pop(name, None)
            return
        outcome: Any = "begun"
        try:
            await self._machines_client.begin_upkeep(
                name,
                wave.number,
                holder=self._ownership.member,
                fence=self._fence,
                may_send=self._permit(self._fence, name),
            )
        except MachineRefused as refusal:
            outcome = refusal.reason
            self._orders.record_answer(name)
            self._down_until.pop(name, None)
            if refusal.reason == "fence":
                self._is_token_rejected = True
            elif refusal.reason == "wave":
                self._pending_upkeep.pop(name, None)
        except PlatformUnreached as error:
            outcome = str(error)
            self._orders.record_answer(name)
            self._down_until.pop(name, None)
        except PlatformError as error:
            # The order may still be executed: count the machine as down and repeat the order.
            outcome = str(error)
            self._orders.note_missing_answer(name)
        else:
            self._orders.record_answer(name)
            self._pending_upkeep.pop(name, None)
            self._down_until[name] = self._clock.elapsed() + timedelta(seconds=1)
            self._upkeep_records.record(wave.number, name)
        self._metrics.machine_orders.labels("upkeep", str(outcome)[:40]).inc()
        logger.info(
            "upkeep order attempted",
            extra={
                "fields": {
                    "machine": name,
                    "outcome": outcome,
                    "wave": wave.number,
                    "fence": self._fence,
                }
            },
        )

    async def _publish_wave_state(self, wave: Wave, *, completed: bool) -> None:
        """Publishes to the operator that a wave has started or completed."""
        if not completed and wave.number in self._announced_waves:
            return
        if completed and self._ledger is not None:
            await self._ledger.flush()
        record = KeyedRecord(f"{WAVE_PREFIX}{wave.number}", encode_wave_state(completed))
        try:
            await self._store.append(STATUS_TOPIC, 0, encode_records([record]))
        except PlatformError as error:
            # The upkeep of this wave and of others goes on meanwhile.
            logger.info(
                "wave state could not be published; retrying at the next interval",
                extra={"fields": {"wave": wave.number, "error": str(error)}},
            )
            return
        self._announced_waves.add(wave.number)
        if completed:
            self._completed_waves.add(wave.number)
        logger.info(
            "wave state published",
            extra={"fields": {"wave": wave.number, "completed": completed}},
        )


def _convert_reply(detail: Any, kind: Any, call: str) -> Any:
    """Returns the detail of an owner's reply as a type, None if it does not have it."""
    try:
        return convert(msgspec.to_builtins(detail), kind)
    except MalformedDocument as error:
        unreadable_records.note("replies of owners", call, error)
        return None
