"""Planning of rolling batches: which hosts are next, which will be late, and why."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.budget import BudgetSettings, HostCondition, count_unavailable
from carawayshore.waves import MAX_WAVE_HOSTS, is_enabled, parse_time

if TYPE_CHECKING:
    from carawayshore.configuration import Configuration
    from carawayshore.fold import Removal, StreamState

# Assumed until a wave has finished: drain, reboot and return of four hosts one by one.
DEFAULT_WAVE_DURATION = timedelta(minutes=15)
# An operator's reservation that no report has taken up counts for this long: an append and the
# report of its effect take seconds, and a process that ended in between must not block a pool.
RESERVATION_LIFETIME = timedelta(seconds=60)
# A host is maintained again at the earliest when this share of its period is left.
LEAD_SHARE = 0.25


class Limit(NamedTuple):
    """Strictest availability budget of a pool and the service that sets it."""

    max_unavailable: int
    service: str


class FleetHost(NamedTuple):
    """A host as far as planning is concerned; ``maintained`` is None before its first wave."""

    host: str
    data_centre: str
    rack: str
    pool: str
    condition: str
    since: datetime
    maintained: datetime | None = None


class Fleet(NamedTuple):
    """All that a plan depends on.

    Parameters
    ----------
    hosts : list of FleetHost
        Of all data centres.
    limits : dict of str to Limit
        By pool; a pool without an entry is bounded by the size of a wave only.
    period : timedelta
        Every host is maintained once in this time.
    wave_duration : timedelta
        Mean duration of a wave.
    stopped : str
        Why no wave starts at all, or an empty string.
    stalled : dict of str to str
        Stalled wave by data centre.
    silent : frozenset of str
        Data centres that do not report; the budgets of the others leave their hosts out.
    """

    hosts: list[FleetHost]
    limits: dict[str, Limit]
    period: timedelta
    wave_duration: timedelta
    stopped: str = ""
    stalled: dict[str, str] = {}
    silent: frozenset[str] = frozenset()


class PlannedWave(NamedTuple):
    """A wave to come. ``obstacle`` tells why it could not start now, or is empty."""

    data_centre: str
    rack: str
    hosts: list[str]
    due: datetime
    expected_end: datetime
    obstacle: str


class LateHost(NamedTuple):
    host: str
    data_centre: str
    rack: str
    due: datetime
    expected: datetime | None
    reason: str


def find_limits(configuration: Configuration) -> dict[str, Limit]:
    """Returns the strictest budget of each pool, over its services and the queues' services."""
    services = configuration["services"]
    users = [(options["pool"], name) for name, options in services.items()]
    users += [(queue["pool"], queue["service"]) for queue in configuration["queues"].values()]
    limits: dict[str, Limit] = {}
    for pool, service in sorted(users):
        limit = Limit(services[service]["max_unavailable"], service)
        limits[pool] = min(limits.get(pool, limit), limit)
    return limits


def find_stop(state: StreamState) -> str:
    """Returns why no wave may start or go on, or an empty string."""
    if state.pause is not None:
        return f"maintenance is paused by {state.pause.author}: {state.pause.reason}"
    return "" if is_enabled(state) else "maintenance is not enabled in the configuration"


def build_fleet(
    state: StreamState, configuration: Configuration, *, silent: frozenset[str] = frozenset()
) -> Fleet:
    """Returns the fleet of the folded global stream."""
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
        stopped=find_stop(state),
        stalled={wave.data_centre: name for name, wave in sorted(state.stalled.items())},
        silent=silent,
    )


def build_condition(name: str, data_centre: str, rack: str, condition: str) -> HostCondition:
    """Returns what the budget counts for a host in the given condition."""
    return HostCondition(
        name,
        f"{data_centre}/{rack}",
        failed=condition == "failed",
        draining=condition == "draining",
        moving=condition == "moving",
    )


def list_pool_conditions(
    state: StreamState, pool: str, *, left_out: frozenset[str]
) -> list[HostCondition]:
    """Returns the reported conditions of a pool's hosts outside the data centres ``left_out``."""
    return [
        build_condition(name, data_centre, host.rack, host.condition)
        for data_centre, report in sorted(state.reports.items())
        if data_centre not in left_out
        for name, host in report.hosts.items()
        if host.pool == pool
    ]


def list_reserved(state: StreamState, pool: str, now: datetime) -> dict[str, Removal]:
    """Returns the hosts of a pool that operators are taking out of service at the moment."""
    epoch = datetime.fromtimestamp(0, UTC)
    return {
        name: removal
        for name, removal in state.removals.items()
        if removal.pool == pool and now - (parse_time(removal.at) or epoch) < RESERVATION_LIFETIME
    }


def find_budget(limits: Mapping[str, Limit], pool: str) -> BudgetSettings:
    """Returns the budget settings of a pool."""
    limit = limits.get(pool)
    return BudgetSettings(limit.max_unavailable if limit else MAX_WAVE_HOSTS)


class Planner:
    """Plans the waves of one fleet at one moment.

    Parameters
    ----------
    fleet : Fleet
    now : datetime
        Aware time.
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

    def find_due(self, host: FleetHost) -> datetime:
        """Returns when the host's maintenance has to be over."""
        return (host.maintained or host.since) + self._fleet.period

    def _is_eligible(self, host: FleetHost) -> bool:
        """Returns whether the host may be in a wave now; one never maintained may at once."""
        if host.condition:
            return False
        lead = self._fleet.period * LEAD_SHARE
        return host.maintained is None or self._now >= self.find_due(host) - lead

    def find_obstacle(self, host: FleetHost) -> str:
        """Returns why no wave may take the host now, or an empty string."""
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
            self._budget_obstacles[host.pool] = self._describe_budget(host.pool)
        return self._budget_obstacles[host.pool]

    def _describe_budget(self, pool: str) -> str:
        """Returns why the pool can miss no further host, or an empty string."""
        conditions = self._conditions[pool]
        settings = find_budget(self._fleet.limits, pool)
        count = count_unavailable(conditions, settings)
        if count < settings.max_unavailable:
            return ""
        limit = self._fleet.limits.get(pool, Limit(settings.max_unavailable, "(none)"))
        rule = f"service {limit.service} allows {limit.max_unavailable} unavailable hosts"
        out = [item.host for item in conditions if not item.available]
        shown = ", ".join(out[:5]) + (", ..." if len(out) > 5 else "")
        return f"{rule} of pool {pool}, {count} are unavailable or at risk: {shown}"

    def _group(self, hosts: list[FleetHost]) -> list[list[FleetHost]]:
        """Returns groups of at most four hosts of one rack, the earliest due first."""
        racks: dict[tuple[str, str], list[FleetHost]] = {}
        for host in sorted(hosts, key=lambda host: (self.find_due(host), host.host)):
            racks.setdefault((host.data_centre, host.rack), []).append(host)
        groups = [
            members[start : start + MAX_WAVE_HOSTS]
            for members in racks.values()
            for start in range(0, len(members), MAX_WAVE_HOSTS)
        ]
        return sorted(groups, key=lambda group: (self.find_due(group[0]), group[0].host))

    def choose_wave(self) -> PlannedWave | None:
        """Returns the wave to start now: the earliest due rack that the budgets allow."""
        if self._fleet.stopped:
            return None
        eligible = [host for host in self._fleet.hosts if self._is_eligible(host)]
        for group in self._group(eligible):
            allowed = [host for host in group if not self.find_obstacle(host)]
            if allowed:
                return self._describe(allowed, self._now + self._fleet.wave_duration)
        return None

    def _describe(self, group: list[FleetHost], expected_end: datetime) -> PlannedWave:
        first = group[0]
        return PlannedWave(
            data_centre=first.data_centre,
            rack=first.rack,
            hosts=[host.host for host in group],
            due=self.find_due(first),
            expected_end=expected_end,
            obstacle=self.find_obstacle(first),
        )

    def list_waves(self) -> list[PlannedWave]:
        """Returns all waves to come in their order, one after the other."""
        duration, end = self._fleet.wave_duration, self._now
        planned = []
        for group in self._group(self._fleet.hosts):
            earliest = min(self._find_earliest(host) for host in group)
            end = max(end, earliest) + duration
            planned.append(self._describe(group, end))
        return planned

    def _find_earliest(self, host: FleetHost) -> datetime:
        if host.maintained is None:
            return self._now
        return self.find_due(host) - self._fleet.period * LEAD_SHARE

    def explain(self) -> list[LateHost]:
        """Returns the hosts that are late or will be, with the reason, the earliest due first."""
        by_name = {host.host: host for host in self._fleet.hosts}
        late = []
        for wave in self.list_waves():
            for name in wave.hosts:
                reason = self._find_lateness(by_name[name], wave)
                if reason:
                    late.append(self._describe_late(by_name[name], wave, reason))
        return late

    def _describe_late(self, host: FleetHost, wave: PlannedWave, reason: str) -> LateHost:
        expected = None if self.find_obstacle(host) else wave.expected_end
        due = self.find_due(host)
        return LateHost(host.host, host.data_centre, host.rack, due, expected, reason)

    def _find_lateness(self, host: FleetHost, wave: PlannedWave) -> str:
        due, obstacle = self.find_due(host), self.find_obstacle(host)
        if wave.expected_end > due:
            return obstacle or (
                f"the waves before it take until {wave.expected_end.isoformat(timespec='seconds')}"
            )
        permanent = self._fleet.limits.get(host.pool)
        if permanent is not None and permanent.max_unavailable == 0:
            return f"service {permanent.service} allows no unavailable host"
        return ""
