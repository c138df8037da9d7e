"""Upkeep and moves of machines, run by the one entry host that holds the fleet's partition."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec
from mode import Service

from carawayd.partition.ledger import FLEET_TOPIC, Ledger, OwnershipLost
from carawayd.partition.owner import FOUND
from carawayd.platform.common import PlatformError
from carawayd.platform.documents import WAVE_PREFIX, encode_wave_state
from carawayd.platform.machines import MachineRefused
from carawayd.platform.store import STATUS_TOPIC, KeyedRecord, encode_records
from carawayd.process.ownercalls import CORDON, SURVEY, UNCORDON
from carawayshore.workflows.model import ServiceLoad
from carawayshore.workflows.upkeep import UpkeepView, choose_upkeep, is_completed, may_begin

if TYPE_CHECKING:
    from carawayd.platform.machines import MachinesClient
    from carawayd.platform.store import StoreClient
    from carawayd.process.discovery import Discovery
    from carawayd.process.ownercalls import OwnerCalls
    from carawayd.process.ownership import Ownership
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import Machine, Wave, WorkerLoad

logger = logging.getLogger(__name__)

INTERVAL = timedelta(milliseconds=300)
SURVEY_SECONDS = 0.5
# Added to the pause that a new holder keeps before its first order.
PAUSE_MARGIN_SECONDS = 0.5


class FleetManager(Service):
    """Takes machines through the waves of upkeep.

    Parameters
    ----------
    store, machines, discovery, ownership, owners, settings, clock
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
    ) -> None:
        super().__init__()
        # Set when a machine has seen a higher token: this process has to join the group anew.
        self.fenced = False
        self._store = store
        self._client = machines
        self._discovery = discovery
        self._ownership = ownership
        self._owners = owners
        self._settings = settings
        self._clock = clock
        self._held = False
        self._fence = 0
        self._held_since = timedelta()
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
            self._held_since = self._clock.elapsed()
            self._pending, self._down_until = {}, {}
            self._ledger = Ledger(self._store, FLEET_TOPIC, 0, self._clock)
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

    def _may_order(self) -> bool:
        """Whether this process holds the fleet, and a former holder's time is over."""
        pause = self._settings.machine_lease_ms / 1000 + PAUSE_MARGIN_SECONDS
        return (
            self._held
            and not self.fenced
            and self._ledger is not None
            and self._ledger.started
            and not self._ledger.lost
            and self._ownership.is_current()
            and self._clock.elapsed() - self._held_since > timedelta(seconds=pause)
        )

    @Service.task
    async def _manage(self) -> None:
        while not self.should_stop:
            if self._may_order():
                try:
                    await self._survey()
                    await self._manage_waves()
                except (PlatformError, OwnershipLost) as error:
                    logger.info("fleet is not managed now", extra={"fields": {"error": str(error)}})
            await self._clock.sleep(INTERVAL)

    async def _survey(self) -> None:
        """Reads the machines and the load of all services."""
        if not self._find_waves():
            return
        self._machines = {item.machine: item for item in await self._client.list_machines()}
        deployment = self._discovery.deployment
        partitions = {self._discovery.find_partition(name) for name in deployment.services}
        answers = await asyncio.gather(
            *(
                self._owners.ask_once(partition, SURVEY, None, SURVEY_SECONDS)
                for partition in partitions
                if partition is not None
            )
        )
        self._services = {}
        for reply, _ in answers:
            if reply.outcome == FOUND:
                for item in reply.detail:
                    load = msgspec.convert(item, ServiceLoad)
                    self._services[load.service] = load
        self._loads = {
            load.worker: load for service in self._services.values() for load in service.workers
        }

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
            for name, number in list(self._pending.items()):
                if number == wave.number:
                    await self._advance(view, name)

    async def _advance(self, view: UpkeepView, name: str) -> None:
        """Takes one chosen machine a step further: out of use, empty, down."""
        machine = self._machines.get(name)
        if machine is None:
            self._pending.pop(name, None)
            return
        if name in self._orders:
            return
        served = machine.pool in self._services
        load = self._loads.get(machine.worker)
        standby = machine.pool in self._list_standby()
        if not standby:
            if not served:
                return
            await self._cordon(machine, CORDON)
            if load is not None and not load.cordoned:
                return
        if may_begin(view, load):
            self._down_until[name] = timedelta.max
            task = asyncio.ensure_future(self._begin(view.wave, name))
            self._orders[name] = task
            task.add_done_callback(lambda _: self._orders.pop(name, None))

    def _list_standby(self) -> set[str]:
        services = self._discovery.deployment.services.values()
        return {service.name for service in services if service.standby}

    async def _cordon(self, machine: Machine, operation: str) -> None:
        partition = self._discovery.find_partition(machine.pool)
        if partition is not None and machine.worker:
            await self._owners.ask_once(partition, operation, machine.worker, SURVEY_SECONDS)

    async def _begin(self, wave: Wave, name: str) -> None:
        """Orders the upkeep of one machine, and records that it has begun."""
        if not self._may_order():
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
        else:
            self._pending.pop(name, None)
            self._down_until[name] = self._clock.elapsed() + timedelta(seconds=1)
            begun = self._begun.setdefault(wave.number, set())
            begun.add(name)
            if self._ledger is not None:
                self._ledger.mark(
                    f"{WAVE_PREFIX}{wave.number}", lambda: msgspec.json.encode(sorted(begun))
                )
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

    async def release(self, machine: Machine) -> None:
        """Lets a cordoned machine be used again."""
        await self._cordon(machine, UNCORDON)
