"""Room on workers for long-running tasks, and how it is made.

Load pattern: workers leave, or are taken out of service, while short tasks of which some run many
times as long as most fill the others. A displaced task needs more room than any of them leaves when
it ends, several tasks are displaced at once, and new short tasks take each room that comes free. So
room is claimed for each task by itself, on the worker where it is likely to be free first. The time
to it must not depend on how long others run: after a limit, short runs are stopped for it, those
that lose the least.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.placement import Amounts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from carawayshore.workflows.model import StepSpec, TaskName
    from carawayshore.workflows.placement import Usage, WorkerCapacity


class ShortRun(NamedTuple):
    """A run that ends by itself.

    Parameters
    ----------
    name : TaskName
    usage : Usage
    remaining_seconds : float
        Estimate of the time until it ends.
    lost_core_seconds : float
        Work that is lost if it is stopped.
    is_stopping : bool
        Whether it is being stopped.
    """

    name: TaskName
    usage: Usage
    remaining_seconds: float
    lost_core_seconds: float
    is_stopping: bool = False


class Preemption(NamedTuple):
    """Short runs to stop on one worker, so that a task gets room there."""

    capacity: WorkerCapacity
    runs: list[ShortRun]


def may_claim(capacity: WorkerCapacity, step: StepSpec, usage: Usage, now: float) -> bool:
    """Returns whether a task gets room on a worker once the short runs there have ended."""
    return (
        capacity.usable
        and capacity.suspect_until <= now
        and not capacity.reserved_for
        and (not step.label or step.label in capacity.entry.labels)
        and not (step.most_per_worker and capacity.count_group(usage.group) >= step.most_per_worker)
        and capacity.fits_beside_long_running(usage)
    )


def may_run_before_claims(
    capacity: WorkerCapacity, usage: Usage, seconds: float, runs: Sequence[ShortRun]
) -> bool:
    """Returns whether a short run can use room of pending claims and delays none of them.

    The claims cannot be used before one of the other short runs has ended, so a run that ends
    sooner uses what would be idle until then (backfilling).

    Parameters
    ----------
    capacity : WorkerCapacity
    usage : Usage
    seconds : float
        Expected duration of the run.
    runs : sequence of ShortRun
        Short runs of the worker.
    """
    if not capacity.fits_despite_claims(usage):
        return False
    if any(capacity.has_claimed_room(name) for name in capacity.claims):
        return False
    return seconds < min((run.remaining_seconds for run in runs), default=0.0)


def count_claimable(
    capacities: Iterable[WorkerCapacity], step: StepSpec, usage: Usage, now: float
) -> int:
    """Returns how many further tasks of a step get room once the short runs have ended."""
    total = 0
    for capacity in capacities:
        if may_claim(capacity, step, usage, now):
            count = capacity.count_beside_long_running(usage)
            if step.most_per_worker:
                count = min(count, step.most_per_worker - capacity.count_group(usage.group))
            total += count
    return total


def may_use_claim(capacity: WorkerCapacity, step: StepSpec, usage: Usage) -> bool:
    """Returns whether a task may start in the room that it has claimed, once that is free.

    A worker may have lost a label since, or run more tasks of the step than was known.
    """
    # The count includes the claim itself.
    is_over = step.most_per_worker and capacity.count_group(usage.group) > step.most_per_worker
    return not is_over and (not step.label or step.label in capacity.entry.labels)


def choose_worker_to_claim(
    capacities: Iterable[WorkerCapacity],
    step: StepSpec,
    usage: Usage,
    now: float,
    list_short_runs: Callable[[WorkerCapacity], Sequence[ShortRun]],
) -> WorkerCapacity | None:
    """Returns the worker on which a task is likely to get room first, None if on none."""
    best, best_score = None, (math.inf, 0)
    for capacity in capacities:
        if not may_claim(capacity, step, usage, now):
            continue
        seconds = estimate_room_seconds(capacity, usage, list_short_runs(capacity))
        score = (seconds, -capacity.free_millicores)
        if best is None or score < best_score:
            best, best_score = capacity, score
    return best


def estimate_room_seconds(
    capacity: WorkerCapacity, usage: Usage, runs: Sequence[ShortRun]
) -> float:
    """Returns when a task fits on a worker beside the claims, as the short runs there end."""
    shortage = capacity.measure_shortage(usage)
    if max(shortage) <= 0:
        return 0.0
    for run in sorted(runs, key=lambda run: run.remaining_seconds):
        shortage = shortage.add(run.usage, -1)
        if max(shortage) <= 0:
            return run.remaining_seconds
    return math.inf


def choose_preemption(
    capacities: Iterable[WorkerCapacity],
    step: StepSpec,
    usage: Usage,
    now: float,
    list_short_runs: Callable[[WorkerCapacity], Sequence[ShortRun]],
) -> Preemption | None:
    """Returns the worker on which the least work is lost if a task gets room there at once.

    None if there is no such worker. The claim of the task itself must have been released.
    """
    best, best_loss = None, math.inf
    for capacity in capacities:
        if not may_claim(capacity, step, usage, now):
            continue
        runs = _choose_runs_to_stop(capacity.measure_shortage(usage), list_short_runs(capacity))
        if runs is None:
            continue
        loss = sum(run.lost_core_seconds for run in runs)
        if best is None or loss < best_loss:
            best, best_loss = Preemption(capacity, runs), loss
    return best


def _choose_runs_to_stop(shortage: Amounts, runs: Sequence[ShortRun]) -> list[ShortRun] | None:
    """Returns runs whose end covers a shortage, None if all of them would not.

    Runs that are being stopped count as ended.
    """
    for run in runs:
        if run.is_stopping:
            shortage = shortage.add(run.usage, -1)
    chosen: list[ShortRun] = []
    candidates = [run for run in runs if not run.is_stopping]
    for run in sorted(candidates, key=lambda run: run.lost_core_seconds):
        if max(shortage) <= 0:
            break
        if any(
            lack > 0 and amount > 0
            for lack, amount in zip(shortage, Amounts(0, 0, 0).add(run.usage), strict=True)
        ):
            chosen.append(run)
            shortage = shortage.add(run.usage, -1)
    if max(shortage) > 0:
        return None
    # The last ones may have covered what the first ones were chosen for.
    for run in sorted(chosen, key=lambda run: -run.lost_core_seconds):
        spared = shortage.add(run.usage)
        if max(spared) <= 0:
            chosen.remove(run)
            shortage = spared
    return chosen
