"""Placement of tasks on workers.

Load pattern: many small tasks beside a few wide steps of large tasks, on workers of which some fail
every task, hang or disappear, in pools that shrink while their queue is quiet. Tasks are packed
on the fullest workers, so that idle workers can leave the pool. A suspected worker gets no tasks
for some time, and a task that failed is retried on another worker. Room that is claimed for a
long-running task is not used by others (see ``room``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from carawayshore.workflows.amounts import NOTHING, Amounts
from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from carawayshore.workflows.model import StepSpec, WorkerEntry

# Consecutive failed runs after which a worker is suspected and given no tasks.
SUSPECT_FAILURES = 2
# First period without new tasks; doubled with each further failure.
SUSPECT_SECONDS = 3.0
# Longest period without new tasks.
MAX_SUSPECT_DOUBLINGS = 10
MAX_SUSPECT_SECONDS = 24.0
# Reasons for which a task cannot start on a worker.
UNUSABLE, NO_LABEL, STEP_LIMIT, SUSPECTED, RESERVED, HELD, NO_ROOM = (
    "unusable",
    "no label",
    "limit of the step",
    "suspected",
    "reserved",
    "held",
    "no room",
)
# Reasons that are precautions: the task could start there all the same.
PRECAUTIONS = frozenset({SUSPECTED, RESERVED})
# Those for long-running tasks: room is kept from short tasks, which would take it again and again.
LONG_RUNNING_PRECAUTIONS = PRECAUTIONS | {HELD}


class Usage(NamedTuple):
    """Resources that one run reserves; best-effort runs reserve no processors.

    ``requested`` is what the task asks for, which counts against the cap of its client account also
    for a best-effort run.
    """

    millicores: int
    memory_mb: int
    accelerators: int
    group: tuple[str, int, int]
    serving: bool
    best_effort: bool
    long_running: bool
    requested: Amounts = NOTHING


def compute_usage(name: TaskName, step: StepSpec) -> Usage:
    """Returns the resources that a task reserves."""
    return Usage(
        0 if step.best_effort else step.millicores,
        step.memory_mb,
        step.accelerators,
        (name.workflow, name.occurrence, name.step),
        step.latency_target_ms > 0,
        step.best_effort,
        step.long_running,
        Amounts(step.millicores, step.memory_mb, step.accelerators),
    )


def _is_large_enough(entry: WorkerEntry, step: StepSpec) -> bool:
    return (
        (step.best_effort or step.millicores <= entry.millicores)
        and step.memory_mb <= entry.memory_mb
        and step.accelerators <= entry.accelerators
        and (not step.label or step.label in entry.labels)
    )


def _select_needed(kept: Amounts, usage: Usage) -> Amounts:
    """Returns the kept amounts of those resources that a run needs itself."""
    if usage.millicores and usage.memory_mb and not kept.accelerators:
        return kept
    return Amounts(
        kept.millicores if usage.millicores else 0,
        kept.memory_mb if usage.memory_mb else 0,
        kept.accelerators if usage.accelerators else 0,
    )


class WorkerCapacity:
    """Capacity of one worker, reserved by the runs that were ordered there and have not ended.

    Room that others use may be claimed, too, for tasks that are to start once it is free.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        # Called with each run that is reserved (1) or released (-1).
        self.observer: Callable[[Usage, int], None] | None = None
        # Whether tasks may be placed on the worker now.
        self.usable = False
        # Whether the worker is usable, or will be once it has reported.
        self.expected = False
        # By task for the runs that the owner ordered, by task and run for others on the worker.
        self.usages: dict[TaskName | tuple[TaskName, int], Usage] = {}
        self.millicores = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.groups: dict[tuple[str, int, int], int] = {}
        self.serving = 0
        self.best_effort = 0
        # Changes with the runs that are reserved.
        self.version = 0
        self.consecutive_failures = 0
        self.suspect_until = 0.0
        # Workflow whose tasks alone may be placed on the worker, empty for any.
        self.reserved_for = ""
        # Room that is kept for long-running tasks that have not started here. That of secured tasks
        # is free already, and is not used by other claims either.
        self.claims: dict[TaskName, Usage] = {}
        self.secured: set[TaskName] = set()
        self._claimed = self._secured = self._long_running = NOTHING
        # Entry of this start of the worker that told the most processors.
        self._largest_entry = entry

    def reserve(self, name: TaskName | tuple[TaskName, int], usage: Usage) -> None:
        """Reserves capacity for a run."""
        if name in self.usages:
            self.release(name)
        self.usages[name] = usage
        self._count(usage, 1)

    def release(self, name: TaskName | tuple[TaskName, int]) -> None:
        """Releases the capacity of a run that has ended."""
        usage = self.usages.pop(name, None)
        if usage is not None:
            self._count(usage, -1)

    def release_all(self) -> None:
        """Releases the capacity of all runs, since none is left on the worker."""
        for name in list(self.usages):
            self.release(name)

    def _count(self, usage: Usage, sign: int) -> None:
        self.millicores += sign * usage.millicores
        self.memory_mb += sign * usage.memory_mb
        self.accelerators += sign * usage.accelerators
        self.groups[usage.group] = self.groups.get(usage.group, 0) + sign
        if not self.groups[usage.group]:
            del self.groups[usage.group]
        self.version += 1
        self.serving += sign * usage.serving
        self.best_effort += sign * usage.best_effort
        if usage.long_running:
            self._long_running = self._long_running.add(usage, sign)
        if self.observer is not None:
            self.observer(usage, sign)

    def claim(self, name: TaskName, usage: Usage) -> None:
        """Keeps room for a task, also while others still use it."""
        self.release_claim(name)
        self.claims[name] = usage
        self._claimed = self._claimed.add(usage)

    def secure_claim(self, name: TaskName) -> None:
        """Notes that claimed room is free, so that no other claim uses it."""
        if name not in self.secured:
            self.secured.add(name)
            self._secured = self._secured.add(self.claims[name])

    def release_claim(self, name: TaskName) -> None:
        """Ends the claim of a task, if it has one."""
        usage = self.claims.pop(name, None)
        if usage is None:
            return
        self._claimed = self._claimed.add(usage, -1)
        if name in self.secured:
            self.secured.discard(name)
            self._secured = self._secured.add(usage, -1)

    def count_group(self, group: tuple[str, int, int]) -> int:
        """Returns how many tasks of a step run here or are to start here."""
        claimed = sum(usage.group == group for usage in self.claims.values())
        return self.groups.get(group, 0) + claimed

    @property
    def free_millicores(self) -> int:
        """Processors that are neither reserved nor claimed."""
        return self.entry.millicores - self.millicores - self._claimed.millicores

    @property
    def free_memory_mb(self) -> int:
        """Memory that is neither reserved nor claimed."""
        return self.entry.memory_mb - self.memory_mb - self._claimed.memory_mb

    @property
    def long_running_millicores(self) -> int:
        return self._long_running.millicores

    @property
    def claimed_millicores(self) -> int:
        return self._claimed.millicores

    @property
    def is_overcommitted(self) -> bool:
        """Whether the runs reserve more than the worker has, since its capacity has shrunk."""
        return (
            self.millicores > self.entry.millicores
            or self.memory_mb > self.entry.memory_mb
            or self.accelerators > self.entry.accelerators
        )

    def fits(self, usage: Usage) -> bool:
        """Returns whether a run fits into the capacity that is neither reserved nor claimed."""
        if not self.claims:
            return self._fits_beside_runs(usage)
        return self._fits_beside(usage, self._claimed)

    def fits_despite_claims(self, usage: Usage) -> bool:
        """Returns whether a run fits if it may use claimed room that is not secured."""
        if not self.secured:
            return self._fits_beside_runs(usage)
        return self._fits_beside(usage, self._secured)

    def fits_despite(self, usage: Usage, yielding: Iterable[TaskName]) -> bool:
        """Returns whether a run fits if it may use the room that some tasks claim.

        Secured room is kept all the same.
        """
        return self._fits_beside(usage, self._sum_other_claims(yielding))

    def measure_room_beside(self, yielding: Iterable[TaskName]) -> int:
        """Returns the processors that are left beside the runs and the claims of other tasks."""
        kept = self._sum_other_claims(yielding)
        return self.entry.millicores - self.millicores - kept.millicores

    def _sum_other_claims(self, yielding: Iterable[TaskName]) -> Amounts:
        kept = self._claimed
        for name in yielding:
            if name not in self.secured:
                kept = kept.add(self.claims[name], -1)
        return kept

    def _fits_beside_runs(self, usage: Usage) -> bool:
        return (
            usage.millicores <= self.entry.millicores - self.millicores
            and usage.memory_mb <= self.entry.memory_mb - self.memory_mb
            and usage.accelerators <= self.entry.accelerators - self.accelerators
        )

    def _fits_beside(self, usage: Usage, kept: Amounts) -> bool:
        entry, kept = self.entry, _select_needed(kept, usage)
        return (
            usage.millicores + self.millicores + kept.millicores <= entry.millicores
            and usage.memory_mb + self.memory_mb + kept.memory_mb <= entry.memory_mb
            and usage.accelerators + self.accelerators + kept.accelerators <= entry.accelerators
        )

    def has_claimed_room(self, name: TaskName) -> bool:
        """Returns whether the room that is claimed for a task is free."""
        usage = self.claims[name]
        if name in self.secured:
            # The worker may have shrunk, or be found to run more than was known.
            return self._fits_beside(usage, self._secured.add(usage, -1))
        return self.fits_despite_claims(usage)

    def measure_shortage(self, usage: Usage) -> Amounts:
        """Returns what has to be freed until a run fits beside the others and the claims.

        Amounts of which enough is free are negative or 0.
        """
        entry, kept = self.entry, _select_needed(self._claimed, usage)
        return Amounts(
            usage.millicores + self.millicores + kept.millicores - entry.millicores,
            usage.memory_mb + self.memory_mb + kept.memory_mb - entry.memory_mb,
            usage.accelerators + self.accelerators + kept.accelerators - entry.accelerators,
        )

    def fits_beside_long_running(self, usage: Usage) -> bool:
        """Returns whether a run fits beside the claims once the short runs there have ended."""
        entry, others = self.entry, self._long_running
        claimed = _select_needed(self._claimed, usage)
        return (
            usage.millicores + others.millicores + claimed.millicores <= entry.millicores
            and usage.memory_mb + others.memory_mb + claimed.memory_mb <= entry.memory_mb
            and usage.accelerators + others.accelerators + claimed.accelerators
            <= entry.accelerators
        )

    def count_beside_long_running(self, usage: Usage) -> int:
        """Returns how many runs fit beside the claims once the short runs have ended."""
        entry, others, claimed = self.entry, self._long_running, self._claimed
        counts = [
            (available - used - kept) // amount
            for amount, available, used, kept in (
                (usage.millicores, entry.millicores, others.millicores, claimed.millicores),
                (usage.memory_mb, entry.memory_mb, others.memory_mb, claimed.memory_mb),
                (usage.accelerators, entry.accelerators, others.accelerators, claimed.accelerators),
            )
            if amount
        ]
        return max(0, min(counts, default=0))

    def could_fit(self, step: StepSpec) -> bool:
        """Returns whether a task of the step would fit on the worker if it were empty."""
        return _is_large_enough(self.entry, step)

    def could_have_fit(self, step: StepSpec) -> bool:
        """Returns whether such a task would fit, or would have fit before the worker shrank."""
        return self.could_fit(step) or _is_large_enough(self._largest_entry, step)

    def resize(self, entry: WorkerEntry) -> None:
        """Sets the entry that the worker has written last."""
        is_same_start = entry.born == self.entry.born
        self.entry = entry
        if not is_same_start or entry.millicores > self._largest_entry.millicores:
            self._largest_entry = entry

    def record_success(self) -> None:
        self.consecutive_failures = 0
        self.suspect_until = 0.0

    def record_failure(self, now: float) -> None:
        """Counts a failed run; suspects the worker after several consecutive failures."""
        self.consecutive_failures += 1
        further_failures = self.consecutive_failures - SUSPECT_FAILURES
        if further_failures >= 0:
            period = SUSPECT_SECONDS * 2 ** min(further_failures, MAX_SUSPECT_DOUBLINGS)
            period = min(period, MAX_SUSPECT_SECONDS)
            self.suspect_until = max(self.suspect_until, now + period)


def find_obstacle(capacity: WorkerCapacity, step: StepSpec, usage: Usage, now: float) -> str:
    """Returns why a task cannot start on a worker now, empty if it can.

    A precaution is returned only if nothing else keeps the task from starting.
    """
    if not capacity.usable:
        return UNUSABLE
    if not capacity.fits_despite_claims(usage):
        return NO_ROOM
    if step.label and step.label not in capacity.entry.labels:
        return NO_LABEL
    if step.most_per_worker and capacity.count_group(usage.group) >= step.most_per_worker:
        return STEP_LIMIT
    if capacity.claims and not capacity.fits(usage):
        return HELD
    if capacity.suspect_until > now:
        return SUSPECTED
    if capacity.reserved_for not in ("", usage.group[0]):
        return RESERVED
    return ""


def choose_worker(
    capacities: Iterable[WorkerCapacity],
    step: StepSpec,
    usage: Usage,
    now: float,
    *,
    avoided: Collection[str] = (),
    despite_precautions: bool = False,
) -> WorkerCapacity | None:
    """Returns the worker for a task, or None if none has free capacity.

    Parameters
    ----------
    capacities : iterable of WorkerCapacity
        Workers of the service.
    step, usage
        Requirements of the task.
    now : float
        Seconds of the clock that was passed to :meth:`WorkerCapacity.record_failure`.
    avoided : collection of str
        Workers on which the last run of the task failed or could not be started, used only if no
        other worker fits.
    despite_precautions : bool
        Whether suspected workers, those reserved for other workflows, and, for long-running tasks,
        those kept for other tasks are used if no other worker fits.
    """
    best, best_score = None, None
    precautions = LONG_RUNNING_PRECAUTIONS if usage.long_running else PRECAUTIONS
    for capacity in capacities:
        obstacle = find_obstacle(capacity, step, usage, now)
        if obstacle and not (despite_precautions and obstacle in precautions):
            continue
        score = (
            not obstacle,
            capacity.entry.worker not in avoided,
            not step.rack or capacity.entry.rack == step.rack,
            -capacity.serving if usage.best_effort else -capacity.best_effort * usage.serving,
            -capacity.consecutive_failures,
            # Packing leaves other workers idle, so that they can leave the pool.
            -capacity.free_millicores,
        )
        if best_score is None or score > best_score:
            best, best_score = capacity, score
    return best


def summarize_room(capacities: Iterable[WorkerCapacity], usage: Usage) -> dict[str, Any]:
    """Returns what a task that waits for room has to wait for, for the log.

    Counts the usable workers on which it fits now, and those on which it fits once their short runs
    have ended; lists the workers with claims, with their number and the millicores that are left.
    """
    usable = [capacity for capacity in capacities if capacity.usable]
    return {
        "fit_now": sum(capacity.fits(usage) for capacity in usable),
        "fit_without_short_runs": sum(
            capacity.fits_beside_long_running(usage) for capacity in usable
        ),
        "claimed": {
            capacity.entry.worker: [len(capacity.claims), capacity.free_millicores]
            for capacity in usable
            if capacity.claims
        },
    }


def count_slots(capacity: WorkerCapacity, step: StepSpec, usage: Usage, now: float) -> int:
    """Returns how many tasks of a step can start on a worker now, by its processors and limits."""
    if find_obstacle(capacity, step, usage, now):
        return 0
    slots = capacity.free_millicores // max(1, usage.millicores)
    if step.most_per_worker:
        slots = min(slots, step.most_per_worker - capacity.count_group(usage.group))
    return slots


def rank_relief(capacity: WorkerCapacity) -> list[TaskName]:
    """Returns the long-running tasks to move off a worker that has shrunk, in order.

    Empty while the long-running tasks alone fit. Best-effort tasks come first if memory is short,
    then tasks without a latency target; among equals, the largest, so that few are interrupted.
    """
    usages = {name: usage for name, usage in capacity.usages.items() if usage.long_running}
    entry = capacity.entry
    lacks_memory = sum(usage.memory_mb for usage in usages.values()) > entry.memory_mb
    lacks_others = (
        sum(usage.millicores for usage in usages.values()) > entry.millicores
        or sum(usage.accelerators for usage in usages.values()) > entry.accelerators
    )
    if not (lacks_memory or lacks_others):
        return []
    names = [
        name
        for name, usage in usages.items()
        if isinstance(name, TaskName) and (lacks_memory or not usage.best_effort)
    ]
    return sorted(
        names,
        key=lambda name: (
            not usages[name].best_effort,
            usages[name].serving,
            -usages[name].millicores,
            -usages[name].memory_mb,
        ),
    )
