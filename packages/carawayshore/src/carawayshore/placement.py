"""Placement of jobs on hosts: decisions from plain data, without input or output."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from carawayshore.records import Resources

ROUNDING = 1e-9
# Bounds the time of one plan; the rest of the queue follows in the next one.
MAX_DECISIONS = 200


class Demand(NamedTuple):
    """A queued job. ``resources`` are the corrected ones; ``avoid`` is a host tried last.

    Where no host is large enough for the corrected size, the declared one counts.
    """

    job: str
    pool: str
    team: str
    declared: Resources
    resources: Resources
    urgent: bool
    deadline: str
    submitted: int
    avoid: str = ""

    @property
    def rank(self) -> tuple[bool, str, int]:
        """Order of placement: urgent first, then by deadline, then by submission."""
        return (not self.urgent, self.deadline, self.submitted)


class PlacedTask(NamedTuple):
    """A placed job; ``stopping`` if its resources are about to become free."""

    job: str
    resources: Resources
    urgent: bool
    repeatable: bool
    lease: int
    stopping: bool = False


class HostRoom(NamedTuple):
    """A host of a pool; one that is not ``usable`` counts only for what could ever fit."""

    host: str
    pool: str
    resources: Resources
    usable: bool = True
    tasks: tuple[PlacedTask, ...] = ()


class Placed(NamedTuple):
    job: str
    host: str
    resources: Resources


class Plan(NamedTuple):
    """Decisions: placements, (job, reason) pairs, and jobs to stop for urgent ones."""

    placements: list[Placed]
    unplaceable: list[tuple[str, str]]
    preemptions: list[str]


def _fits(wanted: Resources, room: Resources) -> bool:
    return all(need <= left + ROUNDING for need, left in zip(wanted, room, strict=True))


def _subtract(room: Resources, wanted: Resources) -> Resources:
    return Resources(*(left - need for left, need in zip(room, wanted, strict=True)))


def _add(room: Resources, given: Resources) -> Resources:
    return Resources(*(left + more for left, more in zip(room, given, strict=True)))


class _Room:
    """Free resources of one host while a plan is made."""

    def __init__(self, source: HostRoom) -> None:
        self.source = source
        self.free = source.resources
        self.stopping = Resources(0, 0, 0)
        self.reserved = False
        self.preempted: set[str] = set()
        for task in source.tasks:
            self.free = _subtract(self.free, task.resources)
            if task.stopping:
                self.stopping = _add(self.stopping, task.resources)

    def measure_leftover(self, wanted: Resources) -> float:
        """Returns the least share of a resource that would stay free."""
        left = _subtract(self.free, wanted)
        total = self.source.resources
        shares = [rest / size for rest, size in zip(left, total, strict=True) if size]
        return min(shares, default=0.0)

    def list_victims(self, wanted: Resources) -> list[PlacedTask] | None:
        """Returns the fewest tasks whose stop makes room, or None if no stop does."""
        room = _add(self.free, self.stopping)
        victims: list[PlacedTask] = []
        candidates = [
            task
            for task in self.source.tasks
            if task.repeatable
            and not (task.urgent or task.stopping)
            and task.job not in self.preempted
        ]
        # The newest tasks have done the least work.
        for task in sorted(candidates, key=lambda task: -task.lease):
            if _fits(wanted, room):
                break
            room = _add(room, task.resources)
            victims.append(task)
        return victims if _fits(wanted, room) else None


class _Planner:
    def __init__(self, hosts: Iterable[HostRoom], quotas: Mapping[str, int]) -> None:
        self.plan = Plan([], [], [])
        self._all: dict[str, list[HostRoom]] = {}
        self._rooms: dict[str, list[_Room]] = {}
        self._quotas = dict(quotas)
        self._full: set[tuple[str, Resources]] = set()
        self._impossible: dict[tuple[str, Resources], str] = {}
        self._blocked_pools: set[str] = set()
        self._hopeless: set[tuple[str, Resources]] = set()
        for host in hosts:
            self._all.setdefault(host.pool, []).append(host)
            if host.usable:
                self._rooms.setdefault(host.pool, []).append(_Room(host))

    def _find_obstacle(self, pool: str, wanted: Resources) -> str:
        """Returns why no host of the pool could ever hold ``wanted``, or an empty string."""
        key = (pool, wanted)
        if key not in self._impossible:
            hosts = self._all.get(pool, [])
            possible = any(_fits(wanted, host.resources) for host in hosts)
            told = ", ".join(f"{name} {value:g}" for name, value in wanted._asdict().items())
            reason = f"{told} fits none of the {len(hosts)} hosts of pool {pool!r}"
            self._impossible[key] = "" if possible else reason
        return self._impossible[key]

    def place(self, demand: Demand) -> None:
        """Places one job, or keeps room for it, or reports that it fits nowhere."""
        if not self._all.get(demand.pool):
            return
        if self._find_obstacle(demand.pool, demand.resources):
            demand = demand._replace(resources=demand.declared)
        obstacle = self._find_obstacle(demand.pool, demand.resources)
        if obstacle:
            self.plan.unplaceable.append((demand.job, obstacle))
            return
        if self._quotas.get(demand.team, 1) <= 0:
            return
        key = (demand.pool, demand.resources)
        room = None if key in self._full else self._choose(demand)
        if room is None:
            self._full.add(key)
            self._reserve(demand)
            return
        room.free = _subtract(room.free, demand.resources)
        self.plan.placements.append(Placed(demand.job, room.source.host, demand.resources))
        if demand.team in self._quotas:
            self._quotas[demand.team] -= 1

    def _choose(self, demand: Demand) -> _Room | None:
        """Returns the host that the job fills best, accelerators being kept for who needs them."""
        best, best_key = None, None
        for room in self._rooms.get(demand.pool, []):
            if room.reserved or not _fits(demand.resources, room.free):
                continue
            spared = 0 if demand.resources.accelerators else room.free.accelerators
            leftover = room.measure_leftover(demand.resources)
            key = (room.source.host == demand.avoid, spared, leftover, room.source.host)
            if best_key is None or key < best_key:
                best, best_key = room, key
        return best

    def _reserve(self, demand: Demand) -> None:
        """Keeps room for a job that does not fit now, so that smaller ones cannot starve it."""
        key = (demand.pool, demand.resources)
        if demand.urgent and key not in self._hopeless:
            if self._preempt(demand):
                return
            self._hopeless.add(key)
        if demand.pool in self._blocked_pools:
            return
        self._blocked_pools.add(demand.pool)
        rooms = self._list_large_enough(demand)
        if rooms:
            max(rooms, key=lambda room: room.measure_leftover(demand.resources)).reserved = True

    def _list_large_enough(self, demand: Demand) -> list[_Room]:
        return [
            room
            for room in self._rooms.get(demand.pool, [])
            if not room.reserved and _fits(demand.resources, room.source.resources)
        ]

    def _preempt(self, demand: Demand) -> bool:
        """Chooses the host where the fewest repeatable tasks have to stop, if there is one."""
        found = [
            (len(victims), room.source.host, room, victims)
            for room in self._list_large_enough(demand)
            if (victims := room.list_victims(demand.resources)) is not None
        ]
        if not found:
            return False
        _, _, room, victims = min(found, key=lambda item: item[:2])
        for task in victims:
            self.plan.preemptions.append(task.job)
            room.preempted.add(task.job)
            room.stopping = _add(room.stopping, task.resources)
        # May become negative; what is stopping makes up for it.
        room.free = _subtract(room.free, demand.resources)
        return True


def plan_jobs(
    demands: Iterable[Demand], hosts: Iterable[HostRoom], quotas: Mapping[str, int]
) -> Plan:
    """Decides which queued jobs start where.

    Parameters
    ----------
    demands : iterable of Demand
    hosts : iterable of HostRoom
    quotas : mapping of str to int
        Jobs that each team may still place; a team without an entry has no limit.

    A job whose pool has no hosts at all waits; the caller decides for how long.

    Returns
    -------
    Plan
        At most about ``MAX_DECISIONS`` of them; the rest follows when these are in the log.

    Examples
    --------
    >>> size = Resources(1, 1, 0)
    >>> demand = Demand("j", "p", "t", size, size, False, "", 0)
    >>> plan_jobs([demand], [HostRoom("h", "p", Resources(2, 2, 0))], {}).placements[0].host
    'h'
    """
    planner = _Planner(hosts, quotas)
    for demand in sorted(demands, key=lambda demand: demand.rank):
        decided = len(planner.plan.placements) + len(planner.plan.preemptions)
        if decided >= MAX_DECISIONS:
            break
        planner.place(demand)
    return planner.plan


class _Ratio:
    def __init__(self) -> None:
        self.reports = 0
        self.value = 1.0

    def note(self, ratio: float) -> None:
        """Follows a rise fast and a fall slowly: a host with too little memory fails tasks."""
        self.reports += 1
        weight = 0.5 if ratio > self.value else 0.05
        self.value += (ratio - self.value) * weight


class SizeCorrector:
    """Corrects declared processors and memory by what the tasks of a queue really use.

    The ratio is of used to declared sizes, not to reserved ones, and has no margin: a task that
    uses all that it is given would otherwise raise its own reservation with every report.
    """

    LOWEST, HIGHEST = 0.1, 10.0
    # Reports come late and a task may use little at its start.
    MIN_REPORTS = 10

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], _Ratio] = {}

    def note(self, queue: str, declared: Resources, *, processors: float, memory: float) -> None:
        """Takes note of a usage report; ``memory`` is in GiB."""
        for kind, used, size in (
            ("processors", processors, declared.processors),
            ("memory_gib", memory, declared.memory_gib),
        ):
            if size > 0:
                self._ratios.setdefault((queue, kind), _Ratio()).note(used / size)

    def _find_ratio(self, queue: str, kind: str) -> float:
        ratio = self._ratios.get((queue, kind))
        if ratio is None or (ratio.value < 1 and ratio.reports < self.MIN_REPORTS):
            return 1.0
        # Rounded, so that jobs of one declared size stay of one size.
        return min(max(round(ratio.value, 1), self.LOWEST), self.HIGHEST)

    def correct(self, queue: str, declared: Resources) -> Resources:
        """Returns the resources to reserve; accelerators are devices and stay as declared."""
        return Resources(
            declared.processors * self._find_ratio(queue, "processors"),
            declared.memory_gib * self._find_ratio(queue, "memory_gib"),
            declared.accelerators,
        )
