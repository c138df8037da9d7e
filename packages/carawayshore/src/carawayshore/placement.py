"""Placement of jobs on hosts, from plain data, without input or output."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from carawayshore.records import Resources

# Tolerance for rounding errors in sums of resources.
ROUNDING_TOLERANCE = 1e-9
# Bounds the computing time of one plan; the next plan handles the rest of the queue.
MAX_DECISIONS = 200


class QueuedJob(NamedTuple):
    """A queued job.

    Parameters
    ----------
    job, pool, team : str
    declared : Resources
        Resources that the caller declared.
    resources : Resources
        Resources corrected by :class:`SizeCorrector`. If no host is large enough for them, the
        declared resources are used instead.
    urgent : bool
    deadline : str
    submitted : int
        Position in the order of submission.
    avoid : str
        Host that is used only if no other has free resources, empty for none.
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
        """Sort key of the placement order: urgent jobs first, then by deadline and submission."""
        return (not self.urgent, self.deadline, self.submitted)


class PlacedTask(NamedTuple):
    """A placed job; ``stopping`` tells whether its resources will soon be released."""

    job: str
    resources: Resources
    urgent: bool
    repeatable: bool
    lease: int
    stopping: bool = False


class HostCapacity(NamedTuple):
    """A host of a pool; unusable hosts count only in the check whether a job can ever fit."""

    host: str
    pool: str
    resources: Resources
    usable: bool = True
    tasks: tuple[PlacedTask, ...] = ()


class PlannedPlacement(NamedTuple):
    job: str
    host: str
    resources: Resources


class Plan(NamedTuple):
    """Placements, unplaceable jobs as (job, reason) pairs, and jobs to preempt for urgent jobs."""

    placements: list[PlannedPlacement]
    unplaceable: list[tuple[str, str]]
    preemptions: list[str]


def _fits(wanted: Resources, available: Resources) -> bool:
    return all(
        need <= left + ROUNDING_TOLERANCE for need, left in zip(wanted, available, strict=True)
    )


def _subtract(available: Resources, wanted: Resources) -> Resources:
    return Resources(*(left - need for left, need in zip(available, wanted, strict=True)))


def _add(available: Resources, released: Resources) -> Resources:
    return Resources(*(left + more for left, more in zip(available, released, strict=True)))


class _HostState:
    """Working state of one host while a plan is computed."""

    def __init__(self, capacity: HostCapacity) -> None:
        self.capacity = capacity
        self.free = capacity.resources
        self.stopping = Resources(0, 0, 0)
        self.reserved = False
        self.preempted: set[str] = set()
        for task in capacity.tasks:
            self.free = _subtract(self.free, task.resources)
            if task.stopping:
                self.stopping = _add(self.stopping, task.resources)

    def measure_leftover(self, wanted: Resources) -> float:
        """Returns the smallest share of a resource that would remain free."""
        left = _subtract(self.free, wanted)
        total = self.capacity.resources
        shares = [remaining / size for remaining, size in zip(left, total, strict=True) if size]
        return min(shares, default=0.0)

    def choose_tasks_to_preempt(self, wanted: Resources) -> list[PlacedTask] | None:
        """Returns the tasks to stop to free ``wanted``, newest first, or None if impossible."""
        available = _add(self.free, self.stopping)
        victims: list[PlacedTask] = []
        candidates = [
            task
            for task in self.capacity.tasks
            if task.repeatable
            and not (task.urgent or task.stopping)
            and task.job not in self.preempted
        ]
        # Stops the newest tasks first, since they lose the least work.
        for task in sorted(candidates, key=lambda task: -task.lease):
            if _fits(wanted, available):
                break
            available = _add(available, task.resources)
            victims.append(task)
        return victims if _fits(wanted, available) else None


class _Planner:
    def __init__(self, hosts: Iterable[HostCapacity], quotas: Mapping[str, int]) -> None:
        self.plan = Plan([], [], [])
        self._hosts: dict[str, list[HostCapacity]] = {}
        self._usable_hosts: dict[str, list[_HostState]] = {}
        self._quotas = dict(quotas)
        self._unplaced_sizes: set[tuple[str, Resources]] = set()
        self._obstacles: dict[tuple[str, Resources], str] = {}
        self._reserved_pools: set[str] = set()
        self._not_preemptable: set[tuple[str, Resources]] = set()
        for host in hosts:
            self._hosts.setdefault(host.pool, []).append(host)
            if host.usable:
                self._usable_hosts.setdefault(host.pool, []).append(_HostState(host))

    def _find_obstacle(self, pool: str, wanted: Resources) -> str:
        """Returns the reason why no host of the pool is large enough, or an empty string."""
        key = (pool, wanted)
        if key not in self._obstacles:
            hosts = self._hosts.get(pool, [])
            possible = any(_fits(wanted, host.resources) for host in hosts)
            sizes = ", ".join(f"{name} {value:g}" for name, value in wanted._asdict().items())
            reason = f"{sizes} fits none of the {len(hosts)} hosts of pool {pool!r}"
            self._obstacles[key] = "" if possible else reason
        return self._obstacles[key]

    def place(self, queued_job: QueuedJob) -> None:
        """Places a job, reserves a host for it, or records it as unplaceable."""
        if not self._hosts.get(queued_job.pool):
            return
        if self._find_obstacle(queued_job.pool, queued_job.resources):
            queued_job = queued_job._replace(resources=queued_job.declared)
        obstacle = self._find_obstacle(queued_job.pool, queued_job.resources)
        if obstacle:
            self.plan.unplaceable.append((queued_job.job, obstacle))
            return
        if self._quotas.get(queued_job.team, 1) <= 0:
            return
        key = (queued_job.pool, queued_job.resources)
        host_state = None if key in self._unplaced_sizes else self._choose_host(queued_job)
        if host_state is None:
            self._unplaced_sizes.add(key)
            self._reserve(queued_job)
            return
        host_state.free = _subtract(host_state.free, queued_job.resources)
        self.plan.placements.append(
            PlannedPlacement(queued_job.job, host_state.capacity.host, queued_job.resources)
        )
        if queued_job.team in self._quotas:
            self._quotas[queued_job.team] -= 1

    def _choose_host(self, queued_job: QueuedJob) -> _HostState | None:
        """Returns the host with the tightest fit.

        Prefers hosts without accelerators for jobs that need none.
        """
        best, best_key = None, None
        for host_state in self._usable_hosts.get(queued_job.pool, []):
            if host_state.reserved or not _fits(queued_job.resources, host_state.free):
                continue
            unused_accelerators = (
                0 if queued_job.resources.accelerators else host_state.free.accelerators
            )
            leftover = host_state.measure_leftover(queued_job.resources)
            key = (
                host_state.capacity.host == queued_job.avoid,
                unused_accelerators,
                leftover,
                host_state.capacity.host,
            )
            if best_key is None or key < best_key:
                best, best_key = host_state, key
        return best

    def _reserve(self, queued_job: QueuedJob) -> None:
        """Reserves a host for a job that does not fit now, so that smaller jobs cannot starve it.

        An urgent job preempts other tasks if that frees enough resources. A plan reserves at most
        one host of a pool.
        """
        key = (queued_job.pool, queued_job.resources)
        if queued_job.urgent and key not in self._not_preemptable:
            if self._preempt(queued_job):
                return
            self._not_preemptable.add(key)
        if queued_job.pool in self._reserved_pools:
            return
        self._reserved_pools.add(queued_job.pool)
        host_states = self._list_large_enough(queued_job)
        if host_states:
            max(
                host_states,
                key=lambda host_state: host_state.measure_leftover(queued_job.resources),
            ).reserved = True

    def _list_large_enough(self, queued_job: QueuedJob) -> list[_HostState]:
        return [
            host_state
            for host_state in self._usable_hosts.get(queued_job.pool, [])
            if not host_state.reserved
            and _fits(queued_job.resources, host_state.capacity.resources)
        ]

    def _preempt(self, queued_job: QueuedJob) -> bool:
        """Preempts tasks on the host where the fewest have to stop; returns False if none fits."""
        options = [
            (len(victims), host_state.capacity.host, host_state, victims)
            for host_state in self._list_large_enough(queued_job)
            if (victims := host_state.choose_tasks_to_preempt(queued_job.resources)) is not None
        ]
        if not options:
            return False
        _, _, host_state, victims = min(options, key=lambda item: item[:2])
        for task in victims:
            self.plan.preemptions.append(task.job)
            host_state.preempted.add(task.job)
            host_state.stopping = _add(host_state.stopping, task.resources)
        # May become negative until the preempted tasks have stopped.
        host_state.free = _subtract(host_state.free, queued_job.resources)
        return True


def plan_jobs(
    queued_jobs: Iterable[QueuedJob], hosts: Iterable[HostCapacity], quotas: Mapping[str, int]
) -> Plan:
    """Decides which queued jobs start on which hosts.

    Parameters
    ----------
    queued_jobs : iterable of QueuedJob
    hosts : iterable of HostCapacity
    quotas : mapping of str to int
        Number of jobs that each team may still start; a team without an entry has no limit.

    Returns
    -------
    Plan
        At most ``MAX_DECISIONS`` placements and preemptions, plus those of the last job. The caller
        makes the next plan once these records are in the log.

    Notes
    -----
    A job whose pool has no hosts stays queued; the caller decides for how long.

    Examples
    --------
    >>> size = Resources(1, 1, 0)
    >>> queued_job = QueuedJob("j", "p", "t", size, size, False, "", 0)
    >>> plan_jobs([queued_job], [HostCapacity("h", "p", Resources(2, 2, 0))], {}).placements[0].host
    'h'
    """
    planner = _Planner(hosts, quotas)
    for queued_job in sorted(queued_jobs, key=lambda queued_job: queued_job.rank):
        decided = len(planner.plan.placements) + len(planner.plan.preemptions)
        if decided >= MAX_DECISIONS:
            break
        planner.place(queued_job)
    return planner.plan


class _UsageRatio:
    def __init__(self) -> None:
        self.reports = 0
        self.value = 1.0

    def update(self, ratio: float) -> None:
        """Updates the ratio, quickly upwards and slowly downwards.

        Too small a reservation is worse than too large a one: tasks fail on a host that runs out of
        memory.
        """
        self.reports += 1
        weight = 0.5 if ratio > self.value else 0.05
        self.value += (ratio - self.value) * weight


class SizeCorrector:
    """Corrects declared processors and memory by the measured usage of the tasks of a queue.

    The correction is the ratio of used to declared resources, not to reserved ones, and has no
    margin: otherwise a task that uses its whole reservation would raise it with each report.
    """

    # Bounds of the ratio.
    MIN_RATIO, MAX_RATIO = 0.1, 10.0
    # Minimum number of reports before a reservation is reduced: reports arrive late, and a task may
    # use little at its start.
    MIN_REPORTS = 10

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], _UsageRatio] = {}

    def record_usage(
        self, queue: str, declared: Resources, *, processors: float, memory: float
    ) -> None:
        """Records a usage report, with ``memory`` in GiB."""
        for kind, used, size in (
            ("processors", processors, declared.processors),
            ("memory_gib", memory, declared.memory_gib),
        ):
            if size > 0:
                self._ratios.setdefault((queue, kind), _UsageRatio()).update(used / size)

    def _find_ratio(self, queue: str, kind: str) -> float:
        ratio = self._ratios.get((queue, kind))
        if ratio is None or (ratio.value < 1 and ratio.reports < self.MIN_REPORTS):
            return 1.0
        # Rounded so that jobs of one declared size keep one size while the ratio varies slightly.
        return min(max(round(ratio.value, 1), self.MIN_RATIO), self.MAX_RATIO)

    def correct(self, queue: str, declared: Resources) -> Resources:
        """Returns the resources to reserve; accelerators are whole devices and not corrected."""
        return Resources(
            declared.processors * self._find_ratio(queue, "processors"),
            declared.memory_gib * self._find_ratio(queue, "memory_gib"),
            declared.accelerators,
        )
