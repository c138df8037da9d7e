"""Upkeep and moves of machines, run by the one entry host that holds the fleet's partition."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec
from mode import Service

from carawayd.partition.ledger import FLEET_TOPIC, Ledger, OwnershipLost
from carawayd.partition.owner import ACCEPTED, FOUND
from carawayd.platform.common import PlatformError
from carawayd.platform.documents import WAVE_PREFIX, encode_wave_state
from carawayd.platform.machines import MachineRefused
from carawayd.platform.store import STATUS_TOPIC, KeyedRecord, encode_records
from carawayd.process.ownercalls import CORDON, SURVEY, UNCORDON
from carawayshore.workflows.model import ServiceLoad, WorkerLoad
from carawayshore.workflows.pools import PoolSizes, PoolView, choose_moves
from carawayshore.workflows.upkeep import UpkeepView, choose_upkeep, is_completed, may_begin

if TYPE_CHECKING:
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

INTERVAL = timedelta(milliseconds=150)
# Longest time for one call to an owner, in seconds.
CALL_SECONDS = 0.5
# An order without an answer may be carried out this much later, in seconds; its machine is left
# alone for as long.
LATE_ORDER_SECONDS = 13.0
# A cordon that is not renewed ends after this long, so that a lost fleet manager blocks no worker.
CORDON_SECONDS = 6.0
LATE_CORDON_SECONDS = LATE_ORDER_SECONDS + 1.0
# Added to the pause between two holders at one machine, since their clocks may differ.
PAUSE_MARGIN_MS = 2_500
# Keys of the ledger that tell when a machine was ordered last, in Unix ms.
ORDER_PREFIX = "order/"


class FleetManager(Service):
    """Takes machines through the waves of upkeep, and between pools as demand turns.

    Parameters
    ----------
    store, machines, discovery, ownership, owners, settings, clock, metrics
    """

    def __init__(
        self,
        store: StoreClient,
        machines: MachinesClient,
        discovery: Discovery,
        ownership: Ownership,
        owners: OwnerCalls,
        settings: SiteSettings,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        super().__init__()
        # Set when a machine has seen a higher token: this process has to join the group anew.
        self.fenced = False
        # Set once what the former holder recorded has been read.
        self.loaded = asyncio.Event()
        self._store = store
        self._client = machines
        self._discovery = discovery
        self._ownership = ownership
        self._owners = owners
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._held = False
        self._fence = 0
        self._former_orders: dict[str, int] = {}
        self._ledger: Ledger | None = None
        self._begun: dict[int, set[str]] = {}
        self._completed: set[int] = set()
        self._announced: set[int] = set()
        # Machine to wave: chosen, cordoned, and not known to have begun.
        self._pending: dict[str, int] = {}
        # Machine to the time at which it may be counted as up again.
        self._down_until: dict[str, timedelta] = {}
        self._machines: dict[str, Machine] = {}
        self._services: dict[str, ServiceLoad] = {}
        self._loads: dict[str, WorkerLoad] = {}
        self._orders: dict[str, asyncio.Task[None]] = {}
        # Machine to the pool that it is to move to.
        self._moving: dict[str, str] = {}
        self._unsure_until: dict[str, timedelta] = {}
        self._sizes = PoolSizes()

    async def set_held(self, held: bool, generation: int) -> None:
        """Starts or ends the duty of the holder."""
        if held == self._held:
            return
        self._held = held
        self.fenced = False
        logger.info(
            "fleet held" if held else "fleet released",
            extra={"fields": {"generation": generation}},
        )
        if held:
            self._fence = generation
            self._pending, self._down_until, self._moving = {}, {}, {}
            self._former_orders = {}
            self.loaded.clear()
            self._ledger = Ledger(self._store, FLEET_TOPIC, 0, self._clock, self._metrics)
            asyncio.ensure_future(self._load(self._ledger))
        elif self._ledger is not None:
            ledger, self._ledger = self._ledger, None
            asyncio.ensure_future(ledger.stop())

    async def _load(self, ledger: Ledger) -> None:
        try:
            await ledger.take_over(self._fence)
        except OwnershipLost:
            self.fenced = True
            return
        records = await ledger.read_records()
        for key, value in records:
            if key.startswith(ORDER_PREFIX) and value.isdigit():
                self._former_orders[key.removeprefix(ORDER_PREFIX)] = int(value)
            if not key.startswith(WAVE_PREFIX):
                continue
            try:
                begun = msgspec.json.decode(value, type=list[str])
                self._begun[int(key.removeprefix(WAVE_PREFIX))] = set(begun)
            except (msgspec.MsgspecError, ValueError) as error:
                logger.error(
                    "record of a wave is skipped",
                    extra={"fields": {"key": key, "error": str(error)}},
                )
        await self.add_runtime_dependency(ledger)
        self.loaded.set()

    def _may_order(self) -> bool:
        """Whether this process holds the fleet now."""
        return (
            self._held
            and not self.fenced
            and self._ledger is not None
            and self._ledger.started
            and not self._ledger.lost
            and self._ownership.is_current()
        )

    async def _prepare_order(self, name: str) -> bool:
        """Records that a machine is about to be ordered; returns whether it may be.

        Holders must not take turns at one machine within its lease. A former holder has recorded
        each of its orders before sending it, and can record none since this one has taken over.
        """
        if not self._may_order():
            return False
        pause = self._settings.machine_lease_ms + PAUSE_MARGIN_MS
        now = int(self._clock.now().timestamp() * 1000)
        if now - self._former_orders.get(name, 0) < pause:
            return False
        self._ledger.mark(f"{ORDER_PREFIX}{name}", lambda: str(now).encode())
        await self._ledger.flushed()
        return self._may_order()

    @Service.task
    async def _manage(self) -> None:
        while not self.should_stop:
            if self._may_order():
                try:
                    await self._survey()
                    await self._manage_waves()
                    await self._manage_pools()
                except (PlatformError, OwnershipLost) as error:
                    logger.info("fleet is not managed now", extra={"fields": {"error": str(error)}})
            await self._clock.sleep(INTERVAL)

    async def _survey(self) -> None:
        """Reads the machines and the load of all services."""
        self._machines = {item.machine: item for item in await self._client.list_machines()}
        deployment = self._discovery.deployment
        partitions = {self._discovery.find_partition(name) for name in deployment.services}
        answers = await asyncio.gather(
            *(
                self._owners.ask_once(partition, SURVEY, self._count_coming(), CALL_SECONDS)
                for partition in partitions
                if partition is not None
            )
        )
        self._services = {}
        for reply, _ in answers:
            if reply.outcome == FOUND:
                for item in reply.detail:
                    load = msgspec.convert(msgspec.to_builtins(item), ServiceLoad)
                    self._services[load.service] = load
        self._loads = {
            load.worker: load for service in self._services.values() for load in service.workers
        }

    def _count_coming(self) -> dict[str, float]:
        """Returns the cores that each pool is getting, or may get from the standby pools."""
        standby = self._list_standby()
        spare = sum(
            machine.millicores / 1000
            for machine in self._machines.values()
            if machine.pool in standby and machine.state == "up"
        )
        coming = dict.fromkeys(self._discovery.deployment.services, spare)
        for machine in self._machines.values():
            if machine.state == "moving" and machine.pool in coming:
                coming[machine.pool] += machine.millicores / 1000
        return coming

    # -- moves -----------------------------------------------------------------------------------

    async def _manage_pools(self) -> None:
        """Moves machines between pools as their demand turns."""
        standby = frozenset(self._list_standby())
        services = {name: load for name, load in self._services.items() if name not in standby}
        view = PoolView(
            services,
            list(self._machines.values()),
            standby,
            frozenset().union(self._pending, self._moving, self._down_until, self._list_unsure()),
            {},
        )
        needs = self._sizes.add(self._clock.elapsed().total_seconds(), view)
        for move in choose_moves(view._replace(needs=needs)):
            self._moving[move.machine.machine] = move.pool
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
        # Together, since each waits for an owner's record of the cordon.
        await asyncio.gather(
            *(self._advance_move(name, pool, standby) for name, pool in list(self._moving.items()))
        )

    def _list_unsure(self) -> set[str]:
        """Returns the machines for which an order without an answer may still be carried out."""
        now = self._clock.elapsed()
        for name, until in list(self._unsure_until.items()):
            if now > until:
                del self._unsure_until[name]
        return set(self._unsure_until)

    async def _advance_move(self, name: str, pool: str, standby: frozenset[str]) -> None:
        """Takes one move a step further: out of use, empty, moved."""
        machine = self._machines.get(name)
        if machine is None or machine.pool == pool:
            self._moving.pop(name, None)
            return
        if name in self._orders or machine.state != "up":
            return
        if machine.pool not in standby:
            load = await self._cordon(machine)
            if load is None:
                return
            if load.tasks:
                # Work came before the cordon: the machine is needed where it is.
                self._moving.pop(name, None)
                await self._uncordon(machine)
                return
        task = asyncio.ensure_future(self._move(name, pool))
        self._orders[name] = task
        task.add_done_callback(lambda _: self._orders.pop(name, None))

    async def _move(self, name: str, pool: str) -> None:
        """Orders one move; repeated until the machine is seen in its new pool."""
        try:
            if not await self._prepare_order(name):
                return
        except OwnershipLost:
            return
        outcome: Any = "moved"
        try:
            await self._client.move(name, pool, holder=self._ownership.member, fence=self._fence)
        except MachineRefused as refusal:
            outcome = refusal.reason
            self._moving.pop(name, None)
            if refusal.reason == "fence":
                self.fenced = True
        except PlatformError as error:
            outcome = str(error)
            self._note_unsure(name)
        self._metrics.machine_orders.labels("move", str(outcome)[:40]).inc()
        logger.info(
            "move ordered",
            extra={
                "fields": {"machine": name, "to": pool, "fence": self._fence, "outcome": outcome}
            },
        )

    # -- upkeep ----------------------------------------------------------------------------------

    def _find_waves(self) -> list[tuple[Wave, float]]:
        """Returns the waves in progress with their age in seconds, the oldest first."""
        now = self._clock.elapsed()
        return [
            (known.wave, (now - known.since).total_seconds())
            for number, known in sorted(self._discovery.waves.items())
            if number not in self._completed
        ]

    def _build_view(self, wave: Wave, age: float) -> UpkeepView:
        now = self._clock.elapsed()
        for name, until in list(self._down_until.items()):
            machine = self._machines.get(name)
            if now > until and (machine is None or machine.state == "up"):
                del self._down_until[name]
        down = {
            name
            for name in wave.machines
            if name in self._down_until
            or (name in self._machines and self._machines[name].state == "upkeep")
        }
        pending = {name for name, number in self._pending.items() if number == wave.number}
        return UpkeepView(
            wave,
            age,
            frozenset(self._begun.get(wave.number, ())),
            frozenset(pending),
            frozenset(down),
            self._machines,
            self._loads,
        )

    async def _manage_waves(self) -> None:
        for wave, age in self._find_waves():
            await self._announce(wave, completed=False)
            view = self._build_view(wave, age)
            if is_completed(view):
                await self._announce(wave, completed=True)
                continue
            for machine in choose_upkeep(view):
                if machine.machine in self._moving:
                    continue
                self._pending[machine.machine] = wave.number
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
                    self._advance(view, name)
                    for name, number in list(self._pending.items())
                    if number == wave.number
                )
            )

    async def _advance(self, view: UpkeepView, name: str) -> None:
        """Takes one chosen machine a step further: out of use, empty, down."""
        machine = self._machines.get(name)
        if machine is None:
            self._pending.pop(name, None)
            return
        if name in self._orders:
            return
        load = None
        if machine.pool not in self._list_standby():
            load = await self._cordon(machine)
            if load is None:
                return
        if may_begin(view, load):
            self._down_until[name] = timedelta.max
            task = asyncio.ensure_future(self._begin(view.wave, name))
            self._orders[name] = task
            task.add_done_callback(lambda _: self._orders.pop(name, None))

    def _list_standby(self) -> set[str]:
        services = self._discovery.deployment.services.values()
        return {service.name for service in services if service.standby}

    async def _cordon(self, machine: Machine) -> WorkerLoad | None:
        """Keeps new tasks off a machine and returns what runs there, None if that is not known.

        The owner has recorded the cordon when it answers, so that a later owner keeps to it.
        """
        partition = self._discovery.find_partition(machine.pool)
        if partition is None or not machine.worker:
            return None
        unsure = machine.machine in self._unsure_until
        subject = [machine.worker, LATE_CORDON_SECONDS if unsure else CORDON_SECONDS]
        reply, _ = await self._owners.ask_once(partition, CORDON, subject, CALL_SECONDS)
        if reply.outcome != ACCEPTED:
            return None
        return msgspec.convert(msgspec.to_builtins(reply.detail), WorkerLoad)

    async def _uncordon(self, machine: Machine) -> None:
        partition = self._discovery.find_partition(machine.pool)
        if partition is not None and machine.worker:
            await self._owners.ask_once(partition, UNCORDON, machine.worker, CALL_SECONDS)

    def _note_unsure(self, name: str) -> None:
        """Takes note that an order without an answer may still be carried out."""
        self._unsure_until[name] = self._clock.elapsed() + timedelta(seconds=LATE_ORDER_SECONDS)

    async def _begin(self, wave: Wave, name: str) -> None:
        """Orders the upkeep of one machine, and records that it has begun."""
        try:
            prepared = await self._prepare_order(name)
        except OwnershipLost:
            prepared = False
        if not prepared:
            self._down_until.pop(name, None)
            return
        outcome: Any = "begun"
        try:
            await self._client.begin_upkeep(
                name, wave.number, holder=self._ownership.member, fence=self._fence
            )
        except MachineRefused as refusal:
            outcome = refusal.reason
            self._down_until.pop(name, None)
            if refusal.reason == "fence":
                self.fenced = True
            elif refusal.reason == "wave":
                self._pending.pop(name, None)
        except PlatformError as error:
            # The order may still be carried out: the machine counts as down, and it is repeated.
            outcome = str(error)
            self._note_unsure(name)
        else:
            self._pending.pop(name, None)
            self._down_until[name] = self._clock.elapsed() + timedelta(seconds=1)
            begun = self._begun.setdefault(wave.number, set())
            begun.add(name)
            if self._ledger is not None:
                self._ledger.mark(
                    f"{WAVE_PREFIX}{wave.number}", lambda: msgspec.json.encode(sorted(begun))
                )
        self._metrics.machine_orders.labels("upkeep", str(outcome)[:40]).inc()
        logger.info(
            "upkeep ordered",
            extra={
                "fields": {
                    "machine": name,
                    "wave": wave.number,
                    "fence": self._fence,
                    "outcome": outcome,
                }
            },
        )

    async def _announce(self, wave: Wave, *, completed: bool) -> None:
        """Tells the operator how far a wave is."""
        if not completed and wave.number in self._announced:
            return
        if completed and self._ledger is not None:
            await self._ledger.flushed()
        record = KeyedRecord(f"{WAVE_PREFIX}{wave.number}", encode_wave_state(completed))
        await self._store.append(STATUS_TOPIC, 0, encode_records([record]))
        self._announced.add(wave.number)
        if completed:
            self._completed.add(wave.number)
        logger.info(
            "wave announced",
            extra={"fields": {"wave": wave.number, "completed": completed}},
        )
