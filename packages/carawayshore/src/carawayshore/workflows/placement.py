"""Placement of tasks on workers.

Load pattern: many small tasks beside a few wide steps of large ones, on workers of which some fail
everything, stand still or vanish, and pools that shrink while their queue is quiet. Tasks are
packed on the fullest workers, so that the others can leave the pool; suspected workers are used
last, and not by tasks that have already failed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayshore.workflows.model import StepSpec, TaskName, WorkerEntry

# Runs in a row that failed on a worker before it is left alone.
SUSPECT_FAILURES = 2
# Seconds for which a suspected worker is left alone; doubled at each further failure.
SUSPECT_SECONDS = 3.0
MOST_SUSPECT_SECONDS = 24.0


class Usage(NamedTuple):
    """Room that one run takes; best-effort runs take no processor room."""

    millicores: int
    memory_mb: int
    accelerators: int
    group: tuple[str, int, int]
    serving: bool
    best_effort: bool
    long_running: bool


def measure_usage(name: TaskName, step: StepSpec) -> Usage:
    """Returns the room that a task takes."""
    return Usage(
        0 if step.best_effort else step.millicores,
        step.memory_mb,
        step.accelerators,
        (name.workflow, name.occurrence, name.step),
        step.latency_target_ms > 0,
        step.best_effort,
        step.long_running,
    )


class Room:
    """Room on one worker, by the runs that were ordered there and have not ended."""

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        # Usable workers get tasks now; expected ones do, or will once they have reported.
        self.usable = False
        self.expected = False
        self.usages: dict[TaskName, Usage] = {}
        self.millicores = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.groups: dict[tuple[str, int, int], int] = {}
        self.serving = 0
        self.best_effort = 0
        self.failures_in_row = 0
        self.suspect_until = 0.0

    def take(self, name: TaskName, usage: Usage) -> None:
        """Reserves room for a run."""
        if name in self.usages:
            self.release(name)
        self.usages[name] = usage
        self._count(usage, 1)

    def release(self, name: TaskName) -> None:
        """Frees the room of a run that has ended."""
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

    def fits(self, usage: Usage) -> bool:
        """Whether the run fits beside what is there."""
        return (
            usage.millicores <= self.free_millicores
            and usage.memory_mb <= self.entry.memory_mb - self.memory_mb
            and usage.accelerators <= self.entry.accelerators - self.accelerators
        )

    def could_fit(self, step: StepSpec) -> bool:
        """Whether a task of the step would fit on the empty worker."""
        entry = self.entry
        return (
            (step.best_effort or step.millicores <= entry.millicores)
            and step.memory_mb <= entry.memory_mb
            and step.accelerators <= entry.accelerators
            and (not step.label or step.label in entry.labels)
        )

    def note_success(self) -> None:
        self.failures_in_row = 0
        self.suspect_until = 0.0

    def note_failure(self, now: float) -> None:
        """Leaves the worker alone after several failures in a row."""
        self.failures_in_row += 1
        excess = self.failures_in_row - SUSPECT_FAILURES
        if excess >= 0:
            pause = min(SUSPECT_SECONDS * 2**excess, MOST_SUSPECT_SECONDS)
            self.suspect_until = max(self.suspect_until, now + pause)


def choose_room(
    rooms: Iterable[Room], step: StepSpec, usage: Usage, now: float, *, failed_on: str = ""
) -> Room | None:
    """Returns the worker for a task, or None while none has room.

    Parameters
    ----------
    rooms : iterable of Room
        Workers of the service.
    step, usage
        What the task needs.
    now : float
        Seconds of the clock that counts suspicions.
    failed_on : str
        Worker on which the task's last run failed, used only if no other is left.
    """
    best, best_score = None, None
    for room in rooms:
        if not room.usable or room.suspect_until > now or not room.fits(usage):
            continue
        if step.label and step.label not in room.entry.labels:
            continue
        same_group = room.groups.get(usage.group, 0)
        if step.most_per_worker and same_group >= step.most_per_worker:
            continue
        score = (
            room.entry.worker != failed_on,
            not step.rack or room.entry.rack == step.rack,
            -room.serving if usage.best_effort else -room.best_effort * usage.serving,
            -room.failures_in_row,
            # Tasks are packed, so that the other workers can leave the pool.
            -room.free_millicores,
        )
        if best_score is None or score > best_score:
            best, best_score = room, score
    return best
