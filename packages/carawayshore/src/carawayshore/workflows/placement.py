"""Placement of tasks on workers.

Load pattern: many small tasks beside a few wide steps of large tasks, on workers of which some fail
every task, hang or disappear, in pools that shrink while their queue is quiet. Tasks are packed
on the fullest workers, so that idle workers can leave the pool. A suspected worker gets no tasks
for some time, and a task that failed is retried on another worker. A large long-running task that
small ones would keep from starting for ever, since they take whatever becomes free, gets a worker
on which no others start until it has room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

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
    """Resources that one run reserves; best-effort runs reserve no processors."""

    millicores: int
    memory_mb: int
    accelerators: int
    group: tuple[str, int, int]
    serving: bool
    best_effort: bool
    long_running: bool


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
    )


def _is_large_enough(entry: WorkerEntry, step: StepSpec) -> bool:
    return (
        (step.best_effort or step.millicores <= entry.millicores)
        and step.memory_mb <= entry.memory_mb
        and step.accelerators <= entry.accelerators
        and (not step.label or step.label in entry.labels)
    )


class WorkerCapacity:
    """Capacity of one worker, reserved by the runs that were ordered there and have not ended."""

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
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
        self.consecutive_failures = 0
        self.suspect_until = 0.0
        # Workflow whose tasks alone may be placed on the worker, empty for any.
        self.reserved_for = ""
        # Step of the task for which the worker's room is kept, None for none.
        self.held_for: tuple[str, int, int] | None = None
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

    def _count(self, usage: Usage, sign: int) -> None:
        self.millicores += sign * usage.millicores
        self.memory_mb += sign * usage.memory_mb
        self.accelerators += sign * usage.accelerators
        self.groups[usage.group] = self.groups.get(usage.group, 0) + sign
        if not self.groups[usage.group]:
            del self.groups[usage.group]
        self.serving += sign * usage.serving
        self.best_effort += sign * usage.best_effort

    @property
    def free_millicores(self) -> int:
        return self.entry.millicores - self.millicores

    @property
    def is_overcommitted(self) -> bool:
        """Whether the runs reserve more than the worker has, since its capacity has shrunk."""
        return (
            self.millicores > self.entry.millicores
            or self.memory_mb > self.entry.memory_mb
            or self.accelerators > self.entry.accelerators
        )

    def fits(self, usage: Usage) -> bool:
        """Returns whether a run fits into the free capacity."""
        return (
            usage.millicores <= self.free_millicores
            and usage.memory_mb <= self.entry.memory_mb - self.memory_mb
            and usage.accelerators <= self.entry.accelerators - self.accelerators
        )

    def fits_beside_long_running(self, usage: Usage) -> bool:
        """Returns whether a run fits once the short runs there have ended."""
        others = [other for other in self.usages.values() if other.long_running]
        return (
            usage.millicores + sum(other.millicores for other in others) <= self.entry.millicores
            and usage.memory_mb + sum(other.memory_mb for other in others) <= self.entry.memory_mb
            and usage.accelerators + sum(other.accelerators for other in others)
            <= self.entry.accelerators
        )

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
    if not capacity.fits(usage):
        return NO_ROOM
    if step.label and step.label not in capacity.entry.labels:
        return NO_LABEL
    if step.most_per_worker and capacity.groups.get(usage.group, 0) >= step.most_per_worker:
        return STEP_LIMIT
    if capacity.held_for not in (None, usage.group):
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
    have ended; lists the workers that are kept for tasks, with their free processors.
    """
    usable = [capacity for capacity in capacities if capacity.usable]
    return {
        "fit_now": sum(capacity.fits(usage) for capacity in usable),
        "fit_without_short_runs": sum(
            capacity.fits_beside_long_running(usage) for capacity in usable
        ),
        "held": {
            capacity.entry.worker: capacity.free_millicores
            for capacity in usable
            if capacity.held_for is not None
        },
    }


def count_slots(capacity: WorkerCapacity, step: StepSpec, usage: Usage, now: float) -> int:
    """Returns how many tasks of a step can start on a worker now, by its processors and limits."""
    if find_obstacle(capacity, step, usage, now):
        return 0
    slots = capacity.free_millicores // max(1, usage.millicores)
    if step.most_per_worker:
        slots = min(slots, step.most_per_worker - capacity.groups.get(usage.group, 0))
    return slots


def choose_worker_to_hold(
    capacities: Iterable[WorkerCapacity], step: StepSpec, usage: Usage
) -> WorkerCapacity | None:
    """Returns the worker on which a long-running task gets room soonest, None if on none.

    That is one where it fits beside the other long-running tasks, and where the least has to end.
    """
    candidates = [
        capacity
        for capacity in capacities
        if capacity.usable
        and capacity.held_for in (None, usage.group)
        and not capacity.reserved_for
        and (not step.label or step.label in capacity.entry.labels)
        and not (
            step.most_per_worker and capacity.groups.get(usage.group, 0) >= step.most_per_worker
        )
        and capacity.fits_beside_long_running(usage)
    ]
    return min(
        candidates,
        key=lambda capacity: (
            capacity.held_for is None,
            usage.millicores - capacity.free_millicores,
        ),
        default=None,
    )


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
