"""Machines that a pool needs for short tasks which none of its workers can hold.

Load pattern: long-running tasks with a limit of one a worker, or with claims, leave less than a
large short task needs on all workers that take tasks, while the few others are cordoned. The pool
has as many machines as its two counts ask for, by cores and by the long-running tasks' workers, so
the task waits without a bound. Short runs end by themselves, so workers that only they fill lack
nothing: a burst does not count here.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.model import NO_LARGE_TASKS, LargeTaskNeed
from carawayshore.workflows.spread import TaskGroup, count_needed_workers

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from carawayshore.workflows.model import StepSpec

# Sizes of tasks that are packed at a time, the largest first, since the time to pack them grows
# with the square of their number. The others count once the first machines have come.
MAX_PACKED_SIZES = 32


class WorkerRoom(NamedTuple):
    """Room of a worker that may take tasks.

    Parameters
    ----------
    worker : str
    room : Amounts
        What is left beside long-running runs and claims.
    is_idle : bool
        Whether nothing runs there, so that the pool may give its machine away.
    has_claims : bool
        Whether a part of its room is claimed.
    """

    worker: str
    room: Amounts
    is_idle: bool
    has_claims: bool = False


class LargeTasks:
    """Counts what a pool needs for the short tasks that no worker can hold beside others.

    Labels and limits of steps are left out, as it is not known whether a further machine meets
    them. Tasks that are larger than ``size`` need nothing, as no number of machines takes them.

    Parameters
    ----------
    workers : sequence of WorkerRoom
        Workers that may take tasks.
    size : Amounts
        Mean size of the pool's workers.
    """

    def __init__(self, workers: Sequence[WorkerRoom], size: Amounts) -> None:
        self._idle = [item for item in workers if item.is_idle]
        self._size = size
        self._busy_rooms = _Rooms(item.room for item in workers if not item.is_idle)
        self._counts: dict[Amounts, int] = {}
        # Whether a worker that is in use can hold any task that needs something here.
        self.are_all_held = self._busy_rooms.fit(*size)

    def are_held(self, step: StepSpec) -> bool:
        """Returns whether a worker that is in use can hold a task of a step, which adds nothing."""
        return self._busy_rooms.fit(step.millicores, step.memory_mb, step.accelerators)

    def add(self, step: StepSpec, count: int) -> None:
        """Adds tasks of a step that are not held.

        Parameters
        ----------
        step : StepSpec
        count : int
            Tasks that are to start now, 0 for a step whose turn has not come.
        """
        amounts = Amounts(step.millicores, step.memory_mb, step.accelerators)
        self._counts[amounts] = self._counts.get(amounts, 0) + count

    def _is_beyond_idle(self, amounts: Amounts) -> bool:
        """Returns whether a worker without runs and claims is too small for a task.

        The machines that come may be smaller than the mean, and all of them too small.
        """
        return any(not item.has_claims and not _fits(amounts, item.room) for item in self._idle)

    def measure(self) -> LargeTaskNeed:
        """Returns what the pool needs for the tasks that have been added."""
        if not self._counts:
            return NO_LARGE_TASKS
        rooms = _Rooms(item.room for item in self._idle)
        held = [amounts for amounts in self._counts if rooms.fit(*amounts)]
        lacking = [
            amounts
            for amounts in sorted(self._counts.keys() - held, reverse=True)
            if _fits(amounts, self._size) and not self._is_beyond_idle(amounts)
        ]
        groups = [TaskGroup(self._counts[amounts], amounts, 0) for amounts in lacking]
        groups = [group for group in groups if group.count][:MAX_PACKED_SIZES]
        missing = max(count_needed_workers(groups, self._size), 1 if lacking else 0)
        return LargeTaskNeed(missing, _choose_kept(held, self._idle))


class _Rooms:
    """Rooms of workers, for many questions whether a task fits into one of them."""

    def __init__(self, rooms: Iterable[Amounts]) -> None:
        # For each number of accelerators the processors of the rooms in ascending order, and the
        # most memory of those with at least as many processors.
        self._levels: dict[int, tuple[list[int], list[int]]] = {}
        for room in sorted(set(rooms), reverse=True):
            millicores, memories = self._levels.setdefault(room.accelerators, ([], []))
            millicores.append(room.millicores)
            memories.append(max(room.memory_mb, memories[-1] if memories else 0))
        for millicores, memories in self._levels.values():
            millicores.reverse()
            memories.reverse()

    def fit(self, millicores: int, memory_mb: int, accelerators: int) -> bool:
        """Returns whether a task of these amounts fits into one of the rooms."""
        for level, (sizes, memories) in self._levels.items():
            if level >= accelerators:
                first = bisect_left(sizes, millicores)
                if first < len(sizes) and memories[first] >= memory_mb:
                    return True
        return False


def _choose_kept(held: Iterable[Amounts], idle: list[WorkerRoom]) -> tuple[str, ...]:
    """Returns few idle workers of which one holds a task of each size."""
    kept: list[WorkerRoom] = []
    for amounts in sorted(held, reverse=True):
        if not any(_fits(amounts, item.room) for item in kept):
            fitting = [item for item in idle if _fits(amounts, item.room)]
            # The largest one is likely to hold the other sizes, too.
            kept.append(max(fitting, key=lambda item: (item.room, item.worker)))
    return tuple(item.worker for item in kept)


def _fits(amounts: Amounts, room: Amounts) -> bool:
    return (
        amounts.millicores <= room.millicores
        and amounts.memory_mb <= room.memory_mb
        and amounts.accelerators <= room.accelerators
    )
