"""Maintenance waves in the own data centre: reports of its hosts, and drains within the budget.

Runs beside the fleet controller under the same claim ``fleet``. The holder of the claim
``maintenance`` only selects the hosts of a wave; when each of them may be taken out of service is
decided here, where the hosts' state is known exactly.
"""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service
from returns.result import Success

from carawayd.platform.common import PlatformError
from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayd.process.maintenance import format_time
from carawayshore import records
from carawayshore.assignment import MAINTENANCE
from carawayshore.budget import BudgetSettings, HostCondition, count_unavailable, may_remove
from carawayshore.maintenance import (
    build_condition,
    find_active_reservations,
    find_budget,
    find_limits,
    find_stop_reason,
    list_pool_conditions,
)
from carawayshore.waves import NO_REPORT

if TYPE_CHECKING:
    from carawayd.platform.pools import PoolsClient
    from carawayd.platform.worker import WorkerClient
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.inventory import Inventory
    from carawayd.process.observations import Observations
    from carawayd.process.reports import ReportWatch
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock
    from carawayshore.fold import Host, Wave

logger = logging.getLogger(__name__)

PROBE_INTERVAL = timedelta(seconds=1)
# Consecutive missed probes after which a host has failed; a single one may be a lost packet.
FAILURE_THRESHOLD = 2
# Hosts probed per interval in pools without a wave.
BACKGROUND_PROBES = 4
# Time from the start of a wave to its first drain, in which every data centre probes the hosts of
# the wave's pools.
SETTLE_TIME = 4 * PROBE_INTERVAL
REPORT_INTERVAL = timedelta(seconds=0.5)


class HostProbes:
    """Detects hosts that do not answer, with a limited number of status calls.

    Parameters
    ----------
    worker : WorkerClient
    clock : Clock
    timeout : timedelta
    """

    def __init__(self, worker: WorkerClient, clock: Clock, timeout: timedelta) -> None:
        self._worker = worker
        self._clock = clock
        self._timeout = timeout
        self._missed_probes: dict[str, int] = {}
        self._draining: set[str] = set()
        self._queue: list[str] = []

    def has_failed(self, host: str) -> bool:
        return self._missed_probes.get(host, 0) >= FAILURE_THRESHOLD

    def is_draining(self, host: str) -> bool:
        """Returns whether the worker was draining according to its last status.

        The log may already list the host as joined; it serves only once the pools service has
        returned it.
        """
        return host in self._draining

    def list_failed(self) -> list[str]:
        return sorted(host for host in self._missed_probes if self.has_failed(host))

    async def probe(self, hosts: dict[str, Host], pools: set[str]) -> None:
        """Probes all hosts of ``pools``, all that failed or drained, and some others in turn."""
        self._missed_probes = {host: n for host, n in self._missed_probes.items() if host in hosts}
        self._draining.intersection_update(hosts)
        self._queue = self._queue or sorted(hosts)
        batch, self._queue = self._queue[:BACKGROUND_PROBES], self._queue[BACKGROUND_PROBES:]
        chosen = {name for name, host in hosts.items() if host.pool in pools}
        chosen |= {
            name for name in (*batch, *self._missed_probes, *self._draining) if name in hosts
        }
        await asyncio.gather(*(self._probe(name, hosts[name].address) for name in sorted(chosen)))

    async def _probe(self, name: str, address: str) -> None:
        try:
            status = await self._worker.read_status(address, timeout=self._timeout.total_seconds())
        except PlatformError:
            self._missed_probes[name] = self._missed_probes.get(name, 0) + 1
            return
        self._missed_probes.pop(name, None)
        (self._draining.add if status.draining else self._draining.discard)(name)


class WaveExecutor(Service):
    """Reports the hosts of the data centre and drains the hosts of its waves one by one.

    Parameters
    ----------
    claim : ClaimRenewer
        Of the claim ``fleet``.
    reader, appender
        Of the stream of the own data centre.
    global_reader, global_appender
        Of the global stream.
    inventory : Inventory
    observations : Observations
    versions : Versions
    watch : ReportWatch
    pools : PoolsClient
    worker : WorkerClient
    settings : Settings
    clock : Clock
    """

    def __init__(
        self,
        claim: ClaimRenewer,
        reader: StreamReader,
        appender: Appender,
        *,
        global_reader: StreamReader,
        global_appender: Appender,
        inventory: Inventory,
        observations: Observations,
        versions: Versions,
        watch: ReportWatch,
        pools: PoolsClient,
        worker: WorkerClient,
        settings: Settings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._claim = claim
        self._reader = reader
        self._appender = appender
        self._global_reader = global_reader
        self._global_appender = global_appender
        self._inventory = inventory
        self._observations = observations
        self._versions = versions
        self._watch = watch
        self._pools = pools
        self._worker = worker
        self._settings = settings
        self._clock = clock
        self.probes = HostProbes(worker, clock, settings.options.probe)
        self._first_seen: dict[str, timedelta] = {}
        # Held from the check of a budget until the record of the drain has been read from the log.
        # Lending holds it too: otherwise both could drain the last host that the budget allows.
        self.drain_lock = asyncio.Lock()

    @property
    def _own_data_centre(self) -> str:
        return self._settings.data_centre

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            if self._claim.holds():
                await self.probes.probe(dict(self._reader.folded.hosts), self._list_wave_pools())
            await self._clock.sleep(PROBE_INTERVAL)

    def _list_wave_pools(self) -> set[str]:
        """Returns the pools of the hosts of running waves in any data centre."""
        state = self._global_reader.folded
        return {
            known.pool
            for wave in state.waves.values()
            for host in wave.hosts
            if (known := state.reports.get(wave.data_centre, NO_REPORT).hosts.get(host))
        }

    def _find_condition(self, name: str, host: Host) -> str:
        if host.draining_to:
            return "draining" if host.draining_to == host.pool else "moving"
        ejected = name in self._observations.find_health(host.pool).list_ejected()
        listed = name in self._inventory.hosts or self._inventory.read_at is None
        if ejected or not listed or self.probes.has_failed(name):
            return "failed"
        returning = self.probes.is_draining(name) or self._is_unconfirmed(name, host)
        return "draining" if returning else ""

    def _is_unconfirmed(self, name: str, host: Host) -> bool:
        """Returns whether a host of a wave has joined but is not yet confirmed to serve again."""
        state = self._global_reader.folded
        wave = state.waves.get(host.wave) or state.stalled.get(host.wave)
        return wave is not None and name not in wave.done

    @Service.task
    async def _report(self) -> None:
        while not self.should_stop:
            self._watch.update()
            if self._claim.holds() and self._global_reader.caught_up.is_set():
                changes = self._list_changes()
                if changes or self._watch.is_due(self._own_data_centre):
                    at = format_time(self._clock)
                    body = records.HostsReported(
                        self._own_data_centre, self._claim.fence, at, changes
                    )
                    await self._append(self._global_appender, body)
            await self._clock.sleep(REPORT_INTERVAL)

    def _list_changes(self) -> dict[str, records.HostReport]:
        """Returns the hosts that differ from the last report of this data centre."""
        reported = self._global_reader.folded.reports.get(self._own_data_centre, NO_REPORT).hosts
        hosts = self._reader.folded.hosts
        changes = {name: records.HostReport("") for name in reported if name not in hosts}
        for name, host in hosts.items():
            current = records.HostReport(host.pool, host.rack, self._find_condition(name, host))
            if name not in reported or tuple(current) != tuple(reported[name][:3]):
                changes[name] = current
        return changes

    async def _append(self, appender: Appender, body: Any) -> bool:
        """Appends a record and waits for its outcome; returns whether it took effect."""
        try:
            result = await appender.submit(body, Priority.FLEET)
        except (NotAppended, AppendOutcomeUnknown) as error:
            logger.info(
                "could not confirm the append of %s; checking again at the next interval: %s",
                type(body).__name__,
                error,
            )
            return False
        return isinstance(result, Success)

    @Service.task
    async def _run_waves(self) -> None:
        while not self.should_stop:
            if self._claim.holds() and self._versions.current is not None:
                await self._advance_waves()
            await self._clock.sleep(self._settings.options.controller)

    async def _advance_waves(self) -> None:
        state = self._global_reader.folded
        self._first_seen = {k: v for k, v in self._first_seen.items() if k in state.waves}
        for stalled, table in ((False, state.waves), (True, state.stalled)):
            for name, wave in list(table.items()):
                if wave.data_centre == self._own_data_centre:
                    await self._advance_wave(name, wave, stalled=stalled)

    async def _advance_wave(self, name: str, wave: Wave, *, stalled: bool) -> None:
        first_seen = self._first_seen.setdefault(name, self._clock.elapsed())
        settled = self._clock.elapsed() - first_seen >= SETTLE_TIME
        for host_name in wave.hosts:
            if host_name in wave.done:
                continue
            host = self._reader.folded.hosts.get(host_name)
            if host is None:
                await self._report_done(name, wave, host_name, skipped=True)
            elif host.wave == name:
                await self._report_joined(name, wave, host_name)
            elif host.draining_to:
                continue
            elif stalled or self._find_condition(host_name, host) == "failed":
                await self._report_done(name, wave, host_name, skipped=True)
            elif settled:
                async with self.drain_lock:
                    if self.may_start_drain(host_name, name):
                        await self._start_drain(name, host_name, host)

    async def _report_joined(self, name: str, wave: Wave, host: str) -> None:
        """Reports a host once it serves again; a requested return alone is not enough."""
        address = self._reader.folded.hosts[host].address
        timeout = self._settings.options.probe.total_seconds()
        try:
            status = await self._pools.look_up(host)
            worker = await self._worker.read_status(address, timeout=timeout)
        except PlatformError as error:
            logger.debug(
                "could not check whether host %s serves again; retrying at the next interval: %s",
                host,
                error,
            )
            return
        if status.state == "serving" and not worker.draining:
            await self._report_done(name, wave, host)

    async def _report_done(
        self, name: str, wave: Wave, host: str, *, skipped: bool = False
    ) -> None:
        if self._claim.holds():
            at = format_time(self._clock)
            body = records.WaveHostDone(name, host, wave.fence, at, skipped)
            if await self._append(self._global_appender, body):
                fields = {"wave": name, "skipped": skipped}
                logger.info("recorded host %s as done in its wave", host, extra={"fields": fields})

    async def _start_drain(self, name: str, host_name: str, host: Host) -> None:
        body = records.HostDrainStarted(
            host_name, host.revision, host.pool, MAINTENANCE, self._claim.fence, name
        )
        await self._append(self._appender, body)

    def _may_wave_continue(self, wave: str) -> bool:
        """Returns whether the wave runs and is not stopped; False if the global stream is stale."""
        state = self._global_reader.folded
        age = self._global_reader.contact_age()
        recent = age is not None and age < 2 * self._settings.options.peer_silence
        return recent and wave in state.waves and not find_stop_reason(state)

    def list_host_conditions(self, pool: str) -> list[HostCondition]:
        """Returns the conditions of a pool's hosts in all data centres.

        Those of the own data centre are current, the others as reported. Hosts that operators are
        taking out of service count as draining.
        """
        state = self._global_reader.folded
        excluded_data_centres = self._watch.list_silent() | {self._own_data_centre}
        others = list_pool_conditions(state, pool, excluded_data_centres=excluded_data_centres)
        own = [
            build_condition(
                name, self._own_data_centre, host.rack, self._find_condition(name, host)
            )
            for name, host in self._reader.folded.hosts.items()
            if host.pool == pool
        ]
        reserved = find_active_reservations(state, pool, self._clock.now())
        return [
            item._replace(draining=item.draining or item.host in reserved) for item in own + others
        ]

    def _find_budget(self, pool: str) -> BudgetSettings:
        return find_budget(find_limits(self._versions.current.configuration), pool)

    def may_start_drain(self, name: str, wave: str) -> bool:
        """Returns whether a host of a wave may be taken out of service now."""
        host = self._reader.folded.hosts[name]
        if not self._may_wave_continue(wave):
            return False
        return may_remove(
            self.list_host_conditions(host.pool), [name], self._find_budget(host.pool)
        )

    def may_continue_drain(self, name: str) -> bool:
        """Returns whether a drain that is recorded in the log may be carried out.

        The record may be outdated: it may have waited hours for the log, or other hosts may have
        failed since. The drain is then aborted instead.
        """
        host = self._reader.folded.hosts[name]
        if self._versions.current is None or not self._may_wave_continue(host.draining_wave):
            return False
        budget = self._find_budget(host.pool)
        return (
            count_unavailable(self.list_host_conditions(host.pool), budget)
            <= budget.max_unavailable
        )

    def describe(self) -> dict[str, Any]:
        """Returns the state for the dump."""
        return {"failed_probes": self.probes.list_failed(), "waves_seen": list(self._first_seen)}
