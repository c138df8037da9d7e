"""Planning of maintenance waves (rolling batches): next hosts, and late hosts with the reasons."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.budget import BudgetSettings, HostCondition, count_unavailable
from carawayshore.waves import MAX_WAVE_HOSTS, is_enabled, parse_time

if TYPE_CHECKING:
    from carawayshore.configuration import Configuration
    from carawayshore.fold import Removal, StreamState

# Assumed until the first wave has finished: drain, reboot and return of four hosts in sequence.
DEFAULT_WAVE_DURATION = timedelta(minutes=15)
# Time for which an operator's reservation counts before a report confirms it. The append and the
# report of its effect take seconds; a process that ended in between must not block a pool.
RESERVATION_LIFETIME = timedelta(seconds=60)
# A host may be maintained again when at most this share of its period is left.
LEAD_TIME_SHARE = 0.25


class PoolLimit(NamedTuple):
    """Strictest availability budget of a pool, in hosts, and the service that sets it."""

    max_unavailable: int
    service: str


class FleetHost(NamedTuple):
    """State of a host that planning depends on.

    Parameters
    ----------
    host, data_centre, rack, pool : str
    condition : str
        Condition as in :class:`carawayshore.fold.ReportedHost`, empty if the host serves.
    since : datetime
        Time of the first report of the host.
    maintained : datetime, optional
        Time of the last maintenance, None before the first wave.
    """

    host: str
    data_centre: str
    rack: str
    pool: str
    condition: str
    since: datetime
    maintained: datetime | None = None


class Fleet(NamedTuple):
    """Input of a plan.

    Parameters
    ----------
    hosts : list of FleetHost
        Hosts of all data centres.
    limits : dict of str to PoolLimit
        Limits by pool; a pool without an entry is limited by the size of a wave only.
    period : timedelta
        Every host is maintained once in this time.
    wave_duration : timedelta
        Moving average of the duration of a wave.
    stopped : str
        Reason why no wave may start at all, or an empty string.
    stalled : dict of str to str
        Name of the stalled wave by data centre.
    silent : frozenset of str
        Data centres that do not report; their hosts do not count for the budgets of the others.
    """

    hosts: list[FleetHost]
    limits: dict[str, PoolLimit]
    period: timedelta
    wave_duration: timedelta
    stopped: str = ""
    stalled: dict[str, str] = {}
    silent: frozenset[str] = frozenset()


class PlannedWave(NamedTuple):
    """A planned wave; ``obstacle`` is the reason why it cannot start now, or empty."""

    data_centre: str
    rack: str
    hosts: list[str]
    due: datetime
    expected_end: datetime
    obstacle: str


class LateHost(NamedTuple):
    """A host that is or will be late; ``expected`` is None while an obstacle prevents its wave."""

    host: str
    data_centre: str
    rack: str
    due: datetime
    expected: datetime | None
    reason: str


def find_limits(configuration: Configuration) -> dict[str, PoolLimit]:
    """Returns the strictest budget of each pool over its services and its queues' services."""
    services = configuration["services"]
    pool_services = [(options["pool"], name) for name, options in services.items()]
    pool_services += [
        (queue["pool"], queue["service"]) for queue in configuration["queues"].values()
    ]
    limits: dict[str, PoolLimit] = {}
    for pool, service in sorted(pool_services):
        limit = PoolLimit(services[service]["max_unavailable"], service)
        limits[pool] = min(limits.get(pool, limit), limit)
    return limits


def find_stop_reason(state: StreamState) -> str:
    """Returns the reason why no wave may start or continue, or an empty string."""
    if state.pause is not None:
        return f"maintenance is paused by {state.pause.author}: {state.pause.reason}"
    return "" if is_enabled(state) else "maintenance is disabled in the configuration"


def build_fleet(
    state: StreamState, configuration: Configuration, *, silent: frozenset[str] = frozenset()
) -> Fleet:
    """Returns the fleet as of the folded global stream."""
    epoch = datetime.fromtimestamp(0, UTC)
    hosts = [
        FleetHost(
            host=name,
            data_centre=data_centre,
            rack=host.rack,
            pool=host.pool,
            condition=host.condition,
            since=parse_time(host.since) or epoch,
            maintained=parse_time(state.maintained.get(name, "")),
        )
        for data_centre, report in sorted(state.reports.items())
        for name, host in sorted(report.hosts.items())
    ]
    duration = timedelta(seconds=state.wave_seconds)
    return Fleet(
        hosts=hosts,
        limits=find_limits(configuration),
        period=timedelta(days=configuration["maintenance"]["period_days"]),
        wave_duration=duration or DEFAULT_WAVE_DURATION,
        stopped=find_stop_reason(state),
        stalled={wave.data_centre: name for name, wave in sorted(state.stalled.items())},
        silent=silent,
    )


def build_condition(name: str, data_centre: str, rack: str, condition: str) -> HostCondition:
    """Returns a host's condition as availability budgets count it."""
    return HostCondition(
        name,
        f"{data_centre}/{rack}",
        failed=condition == "failed",
        draining=condition == "draining",
        moving=condition == "moving",
    )


def list_pool_conditions(
    state: StreamState, pool: str, *, excluded_data_centres: frozenset[str]
) -> list[HostCondition]:
    """Returns the reported conditions of a pool's hosts, without ``excluded_data_centres``."""
    return [
        build_condition(name, data_centre, host.rack, host.condition)
        for data_centre, report in sorted(state.reports.items())
        if data_centre not in excluded_data_centres
        for name, host in report.hosts.items()
        if host.pool == pool
    ]


def find_active_reservations(state: StreamState, pool: str, now: datetime) -> dict[str, Removal]:
    """Returns the unexpired reservations of operators for a pool's hosts, by host."""
    epoch = datetime.fromtimestamp(0, UTC)
    return {
        name: removal
        for name, removal in state.removals.items()
        if removal.pool == pool and now - (parse_time(removal.at) or epoch) < RESERVATION_LIFETIME
    }


def find_budget(limits: Mapping[str, PoolLimit], pool: str) -> BudgetSettings:
    """Returns the budget settings of a pool."""
    limit = limits.get(pool)
    return BudgetSettings(limit.max_unavailable if limit else MAX_WAVE_HOSTS)


class Planner:
    """Plans the waves of one fleet as of one time.

    Parameters
    ----------
    fleet : Fleet
    now : datetime
        Current time, timezone-aware.
    """

    def __init__(self, fleet: Fleet, now: datetime) -> None:
        self._fleet = fleet
        self._now = now
        self._conditions: dict[str, list[HostCondition]] = {}
        for host in fleet.hosts:
            if host.data_centre in fleet.silent:
                continue
            condition = build_condition(host.host, host.data_centre, host.rack, host.condition)
            self._conditions.setdefault(host.pool, []).append(condition)
        self._budget_obstacles: dict[str, str] = {}

    def find_due_time(self, host: FleetHost) -> datetime:
        """Returns the time by which the host's next maintenance has to be complete."""
        return (host.maintained or host.since) + self._fleet.period

    def _is_eligible(self, host: FleetHost) -> bool:
        """Returns whether the host may be in a wave now, at once if it was never maintained."""
        if host.condition:
            return False
        lead = self._fleet.period * LEAD_TIME_SHARE
        return host.maintained is None or self._now >= self.find_due_time(host) - lead

    def find_obstacle(self, host: FleetHost) -> str:
        """Returns the reason why no wave may include the host now, or an empty string."""
        fleet = self._fleet
        if fleet.stopped:
            return fleet.stopped
        if host.data_centre in fleet.silent:
            return f"data centre {host.data_centre} does not report"
        if host.data_centre in fleet.stalled:
            wave = fleet.stalled[host.data_centre]
            return f"wave {wave} of data centre {host.data_centre} is stalled"
        if host.condition:
            return f"the host is {host.condition}"
        return self._find_budget_obstacle(host)

    def _find_budget_obstacle(self, host: FleetHost) -> str:
        if host.pool not in self._budget_obstacles:
            self._budget_obstacles[host.pool] = self._compute_budget_obstacle(host.pool)
        return self._budget_obstacles[host.pool]

    def _compute_budget_obstacle(self, pool: str) -> str:
        """Returns the reason why no further host of the pool may be drained, or an empty string."""
        conditions = self._conditions[pool]
        settings = find_budget(self._fleet.limits, pool)
        count = count_unavailable(conditions, settings)
        if count < settings.max_unavailable:
            return ""
        limit = self._fleet.limits.get(pool, PoolLimit(settings.max_unavailable, "(none)"))
        rule = f"service {limit.service} allows {limit.max_unavailable} unavailable hosts"
        unavailable = [item.host for item in conditions if not item.available]
        shown = ", ".join(unavailable[:5]) + (", ..." if len(unavailable) > 5 else "")
        return f"{rule} of pool {pool}, {count} are unavailable or at risk: {shown}"

    def _group_by_rack(self, hosts: list[FleetHost]) -> list[list[FleetHost]]:
        """Returns groups of hosts of one rack that fit in a wave, the earliest due first."""
        racks: dict[tuple[str, str], list[FleetHost]] = {}
        for host in sorted(hosts, key=lambda host: (self.find_due_time(host), host.host)):
            racks.setdefault((host.data_centre, host.rack), []).append(host)
        groups = [
            members[start : start + MAX_WAVE_HOSTS]
            for members in racks.values()
            for start in range(0, len(members), MAX_WAVE_HOSTS)
        ]
        return sorted(groups, key=lambda group: (self.find_due_time(group[0]), group[0].host))

    def choose_wave(self) -> PlannedWave | None:
        """Returns the wave to start now: the earliest due group that the budgets allow."""
        if self._fleet.stopped:
            return None
        eligible = [host for host in self._fleet.hosts if self._is_eligible(host)]
        for group in self._group_by_rack(eligible):
            allowed = [host for host in group if not self.find_obstacle(host)]
            if allowed:
                return self._build_wave(allowed, self._now + self._fleet.wave_duration)
        return None

    def _build_wave(self, group: list[FleetHost], expected_end: datetime) -> PlannedWave:
        first = group[0]
        return PlannedWave(
            data_centre=first.data_centre,
            rack=first.rack,
            hosts=[host.host for host in group],
            due=self.find_due_time(first),
            expected_end=expected_end,
            obstacle=self.find_obstacle(first),
        )

    def list_waves(self) -> list[PlannedWave]:
        """Returns all future waves in the order in which they run, one at a time."""
        duration, end = self._fleet.wave_duration, self._now
        planned = []
        for group in self._group_by_rack(self._fleet.hosts):
            earliest = min(self._find_earliest(host) for host in group)
            end = max(end, earliest) + duration
            planned.append(self._build_wave(group, end))
        return planned

    def _find_earliest(self, host: FleetHost) -> datetime:
        if host.maintained is None:
            return self._now
        return self.find_due_time(host) - self._fleet.period * LEAD_TIME_SHARE

    def explain(self) -> list[LateHost]:
        """Returns the hosts that are or will be late with the reasons, the earliest due first."""
        by_name = {host.host: host for host in self._fleet.hosts}
        late = []
        for wave in self.list_waves():
            for name in wave.hosts:
                reason = self._find_late_reason(by_name[name], wave)
                if reason:
                    late.append(self._build_late_host(by_name[name], wave, reason))
        return late

    def _build_late_host(self, host: FleetHost, wave: PlannedWave, reason: str) -> LateHost:
        expected = None if self.find_obstacle(host) else wave.expected_end
        due = self.find_due_time(host)
        return LateHost(host.host, host.data_centre, host.rack, due, expected, reason)

    def _find_late_reason(self, host: FleetHost, wave: PlannedWave) -> str:
        due, obstacle = self.find_due_time(host), self.find_obstacle(host)
        if wave.expected_end > due:
            return obstacle or (
                f"the waves before it take until {wave.expected_end.isoformat(timespec='seconds')}"
            )
        limit = self._fleet.limits.get(host.pool)
        if limit is not None and limit.max_unavailable == 0:
            return f"service {limit.service} allows no unavailable host"
        return ""
