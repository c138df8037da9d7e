"""Lending of spare hosts in the own data centre, run by the holder of the claim ``fleet``."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service
from returns.result import Success

from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayd.process.maintenance import format_time
from carawayshore import records
from carawayshore.assignment import LEND
from carawayshore.lending import Lender, LendingHost, LendingPool, Move, find_spare_pool
from carawayshore.maintenance import find_budget, find_limits

if TYPE_CHECKING:
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.demand import DemandTracker
    from carawayd.process.inventory import Inventory
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.settings import Settings
    from carawayd.process.slots import Slots
    from carawayd.process.streams import StreamReader
    from carawayd.process.waves import WaveExecutor
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock
    from carawayshore.fold import Host

logger = logging.getLogger(__name__)

STEP_INTERVAL = timedelta(seconds=1)


class LendingController(Service):
    """Tracks demand on every entry host, and starts moves while this process holds the claim.

    All members keep the averages of demand, so that a new holder can decide immediately.

    Parameters
    ----------
    claim : ClaimRenewer
        Of the claim ``fleet``.
    reader, appender
        Of the stream of the own data centre.
    demand : DemandTracker
    membership : Membership
    waves : WaveExecutor
        Provides the conditions of hosts, and the lock for drains within a budget.
    slots : Slots
    inventory : Inventory
    versions : Versions
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        claim: ClaimRenewer,
        reader: StreamReader,
        appender: Appender,
        *,
        demand: DemandTracker,
        membership: Membership,
        waves: WaveExecutor,
        slots: Slots,
        inventory: Inventory,
        versions: Versions,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._claim = claim
        self._reader = reader
        self._appender = appender
        self._demand = demand
        self._membership = membership
        self._waves = waves
        self._slots = slots
        self._inventory = inventory
        self._versions = versions
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._lender: Lender | None = None
        self._last_decision: dict[str, Any] = {}
        self._kept_in_spare_pool = 0

    @Service.task
    async def _control(self) -> None:
        while not self.should_stop:
            if self._versions.current is not None:
                await self.take_step()
            await self._clock.sleep(STEP_INTERVAL)

    async def take_step(self) -> None:
        """Updates the averages of demand, and starts due moves if the claim is held."""
        options = self._versions.current.configuration["lending"]
        if self._lender is None:
            self._lender = Lender(self._clock, options)
        self._lender.options = options
        pools = self._build_pools()
        self._lender.observe(self._demand.collect(), pools)
        if not self._claim.holds():
            return
        self._count_idle(pools)
        # A record that waits for the log would be carried out on outdated demand.
        if not self._membership.is_log_reachable():
            return
        async with self._waves.drain_lock:
            pools = self._build_pools()
            self._kept_in_spare_pool = self._lender.compute_buffer_size(pools)
            for move in self._lender.decide(pools, self._waves.list_host_conditions):
                await self._start_move(move)

    def _build_pools(self) -> dict[str, LendingPool]:
        configuration = self._versions.current.configuration
        limits = find_limits(configuration)
        pools = {
            name: LendingPool(
                [], find_budget(limits, name), options["min_serving"], options["spare"]
            )
            for name, options in configuration["pools"].items()
        }
        for name, host in self._reader.folded.hosts.items():
            if host.pool in pools:
                spare = bool(host.home) or pools[host.pool].spare
                pools[host.pool].hosts.append(self._build_host(name, host, spare=spare))
        return pools

    def _build_host(self, name: str, host: Host, *, spare: bool) -> LendingHost:
        leaving = host.pool if self._inventory.is_leaving(name) else ""
        # The load of peers is needed for spare hosts only and not summed for thousands of others.
        running = self._slots.in_use.get(name, 0) + self._slots.count_peer_load(name) * spare
        return LendingHost(name, host.slots, host.home, host.draining_to or leaving, running)

    def _count_idle(self, pools: dict[str, LendingPool]) -> None:
        """Adds the idle slot-seconds of spare hosts, lent or not, since the last step."""
        for name, pool in pools.items():
            idle = sum(
                max(0, host.slots - host.running)
                for host in pool.hosts
                if (pool.spare or host.home) and not host.draining_to
            )
            if idle:
                self._metrics.spare_idle.labels(name).inc(idle * STEP_INTERVAL.total_seconds())

    async def _start_move(self, move: Move) -> None:
        host = self._reader.folded.hosts.get(move.host)
        if host is None or host.draining_to or not self._claim.holds():
            return
        body = records.HostDrainStarted(
            move.host, host.revision, move.to_pool, LEND, self._claim.fence
        )
        try:
            result = await self._appender.submit(body, Priority.FLEET)
        except (NotAppended, AppendOutcomeUnknown) as error:
            logger.info("append of the move of host %s not confirmed: %s", move.host, error)
            return
        if isinstance(result, Success):
            self._metrics.lending.labels(move.reason).inc()
            self._last_decision = {"at": format_time(self._clock), **move._asdict()}
            logger.info(
                "starting move of host %s", move.host, extra={"fields": self._last_decision}
            )

    def describe(self) -> dict[str, Any]:
        """Returns the last decision and the inputs of the next one, for the dump."""
        lender = self._lender
        if lender is None:
            return {}
        return {
            "last_decision": self._last_decision,
            "obstacles": dict(lender.obstacles),
            "averages": lender.describe(),
            "kept_in_spare_pool": self._kept_in_spare_pool,
            "spare_pool": find_spare_pool(self._build_pools()),
        }
