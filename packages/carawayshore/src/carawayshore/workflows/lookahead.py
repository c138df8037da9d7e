"""Reservations for large short tasks that wait (EASY backfill), and a measure of fragmentation.

Load pattern: bursts of small tasks leave gaps on all workers that no large task can use. Each room
that comes free is taken by small tasks that are less urgent, so a large task waits until the burst
is over. The most urgent large task that waits gets a reservation on the worker on which it can
start first. Less urgent tasks use the room of that worker only if they are expected to end before
that start, or fit beside the large task. Estimates may be 0, days, or wrong by a factor, so a
reservation ends after a multiple of the estimated wait, and its task then has none for as long.
"""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.room import may_claim

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from carawayshore.workflows.model import StepSpec, Workflow
    from carawayshore.workflows.ordering import Rank
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.room import ShortRun

# A task is large if it needs this multiple of the processors or memory of the smallest task that
# waits. Below 2, the room of one run that ends is likely to do.
LARGE_RATIO = 2.0
# Latest start for which a reservation is made. Callers end a call after about 3 s, so room that is
# kept for longer than that costs more of the jobs around it than it gains.
MAX_START_SECONDS = 3.0
# A reservation that has not been met within this multiple of the estimated wait is given up.
GIVE_UP_FACTOR = 2.0
# Shortest time after which one is given up: placement and the report of an end take some of it.
MIN_GIVE_UP_SECONDS = 0.5
# Longest time for which a reservation lasts. It lasts twice as long whenever one of the same step
# has been given up, so that estimates that are far too short cannot starve a task.
MAX_SPAN_SECONDS = 12.0
# Number of workers whose runs are looked at, those with the least to be freed.
MAX_WORKERS = 16
# Time after its latest start from which a large task also holds back tasks that are not late.
MAX_LATE_SECONDS = 5.0
# Time after its latest start from which it holds them back even if they become late by that, and
# whatever the estimates say.
MAX_VERY_LATE_SECONDS = 10.0


class Start(NamedTuple):
    """Expected start of a waiting task on a worker.

    Parameters
    ----------
    capacity : WorkerCapacity
    seconds : float
        Estimated time until the task fits there.
    spare : Amounts
        What is free beside the task at that time, and may be used until later.
    """

    capacity: WorkerCapacity
    seconds: float
    spare: Amounts


class Span(NamedTuple):
    """Times of the reservation of a step, in seconds of one clock.

    Parameters
    ----------
    since : float
        Time at which it was made.
    give_up_at : float
        Time at which it is given up if it has not been met. The step has none for as long after it.
    """

    since: float
    give_up_at: float

    def is_over(self, now: float) -> bool:
        """Returns whether the step may have another reservation."""
        return now >= 2 * self.give_up_at - self.since


def begin_span(start: Start, now: float, given_up: int = 0) -> Span:
    """Returns the times of a reservation that is made now, after some that were given up."""
    seconds = max(MIN_GIVE_UP_SECONDS, GIVE_UP_FACTOR * start.seconds) * 2**given_up
    return Span(now, now + min(seconds, MAX_SPAN_SECONDS))


def is_very_late(rank: Rank, now: float) -> bool:
    """Returns whether a task has waited for so long that estimates no longer count."""
    return now - rank.latest_start >= MAX_VERY_LATE_SECONDS


def may_reserve(workflow: Workflow, step: StepSpec) -> bool:
    """Returns whether tasks of a step may have a reservation, and delay that of others.

    Long-running tasks have claims. The members of a gang and tasks that stay in one rack need
    several workers, those with a placement policy the tickets of a worker.
    """
    return (
        not (step.long_running or step.gang or step.same_rack or step.best_effort)
        and workflow.advice is None
    )


def find_smallest(steps: Sequence[StepSpec]) -> Amounts:
    """Returns the least processors and memory that any task of the steps needs."""
    return Amounts(min(step.millicores for step in steps), min(step.memory_mb for step in steps), 0)


def is_large(step: StepSpec, smallest: Amounts) -> bool:
    """Returns whether the tasks of a step are large beside the smallest ones that wait."""
    return (
        step.millicores >= LARGE_RATIO * smallest.millicores > 0
        or step.memory_mb >= LARGE_RATIO * smallest.memory_mb > 0
    )


def measure_backlog_seconds(work: float, capacities: Iterable[WorkerCapacity]) -> float:
    """Returns how long the workers need for the waiting short work, in millicore-seconds."""
    millicores = sum(
        max(0, capacity.entry.millicores - capacity.long_running_millicores)
        for capacity in capacities
        if capacity.usable
    )
    return work / millicores if millicores else math.inf


def is_overdue(rank: Rank, now: float) -> bool:
    """Returns whether a task is so late that it holds back others that are not."""
    return now - rank.latest_start > MAX_LATE_SECONDS


def may_delay(
    rank: Rank, start: Start, now: float, backlog_seconds: float, allowance_seconds: float
) -> bool:
    """Returns whether a task may hold back others until its start.

    It has to be on time itself, and the backlog short enough that the others can be, too: every
    objective contains the allowance. In overload the processors that a reservation leaves idle
    would make more jobs late than one. An overdue task holds back others in any case.
    """
    if is_overdue(rank, now):
        return True
    return (
        not rank.late
        and now + start.seconds <= rank.latest_start
        and backlog_seconds <= allowance_seconds
    )


def estimate_start(
    capacity: WorkerCapacity, usage: Usage, runs: Sequence[ShortRun]
) -> Start | None:
    """Returns when a task is expected to fit on a worker as the short runs there end, or None."""
    shortage = capacity.measure_shortage(usage)
    seconds = 0.0
    for run in sorted(runs, key=lambda run: run.remaining_seconds):
        if max(shortage) <= 0 and run.remaining_seconds > seconds:
            break
        shortage = shortage.add(run.usage, -1)
        seconds = max(seconds, run.remaining_seconds)
    if max(shortage) > 0 or not math.isfinite(seconds):
        return None
    return Start(capacity, seconds, Amounts(*(max(0, -amount) for amount in shortage)))


def choose_start(
    capacities: Iterable[WorkerCapacity],
    step: StepSpec,
    usage: Usage,
    now: float,
    list_short_runs: Callable[[WorkerCapacity], Sequence[ShortRun]],
    *,
    max_seconds: float = MAX_START_SECONDS,
) -> Start | None:
    """Returns the worker on which a task can start first, None if on none within ``max_seconds``.

    Workers with claims are left out, since long-running tasks go first there.
    """
    ranked = sorted(
        (_measure_share(capacity, usage), number, capacity)
        for number, capacity in enumerate(capacities)
        if not capacity.claims
    )
    candidates = (item[2] for item in ranked if may_claim(item[2], step, usage, now))
    starts = [
        start
        for capacity in islice(candidates, MAX_WORKERS)
        if (start := estimate_start(capacity, usage, list_short_runs(capacity))) is not None
    ]
    best = min(starts, key=lambda start: start.seconds, default=None)
    return best if best is not None and best.seconds <= max_seconds else None


def _measure_share(capacity: WorkerCapacity, usage: Usage) -> float:
    """Returns the largest share of a worker without claims that has to be freed for a task."""
    entry = capacity.entry
    return max(
        (usage.millicores + capacity.millicores - entry.millicores) / max(1, entry.millicores),
        (usage.memory_mb + capacity.memory_mb - entry.memory_mb) / max(1, entry.memory_mb),
        (usage.accelerators + capacity.accelerators - entry.accelerators)
        / max(1, entry.accelerators),
    )


def may_backfill(
    start: Start, owner: Rank, usage: Usage, seconds: float, rank: Rank, now: float
) -> bool:
    """Returns whether a short run may use reserved room.

    It has to end before the start of the reserved task, or to fit beside it, unless it would become
    late by waiting. More urgent work need not wait at all. For a task that is very late all others
    have to wait, since only then the room comes free whatever the estimates say.

    Parameters
    ----------
    start, owner
        Expected start and rank of the task that the room is reserved for.
    usage, seconds
        Resources and expected duration of the run.
    rank : Rank
        Rank of its step.
    now : float
        Seconds of the clock of the ranks.
    """
    if not start.capacity.fits_despite_claims(usage):
        return False
    if rank.priority < owner.priority:
        return True
    if is_very_late(owner, now):
        return False
    would_be_late = not rank.late and rank.latest_start < now + start.seconds
    if seconds <= start.seconds or would_be_late:
        return True
    return (
        usage.millicores <= start.spare.millicores
        and usage.memory_mb <= start.spare.memory_mb
        and usage.accelerators <= start.spare.accelerators
    )


def find_reference_size(steps: Iterable[StepSpec]) -> Amounts | None:
    """Returns the size of the largest short task, by its processors first, None without any."""
    sizes = [
        Amounts(step.millicores, step.memory_mb, 0)
        for step in steps
        if not (step.long_running or step.best_effort) and step.millicores
    ]
    return max(sizes, default=None)


def measure_fragmentation(capacities: Iterable[WorkerCapacity], size: Amounts) -> float:
    """Returns the share of the free processors that tasks of one size cannot use, from 0 to 1.

    Processors are free on usable workers if no run reserves them and no task claims them. The share
    is 0 if none are free.
    """
    free = used = 0
    for capacity in capacities:
        millicores = capacity.free_millicores
        if not capacity.usable or millicores <= 0:
            continue
        free += millicores
        count = millicores // max(1, size.millicores)
        if size.memory_mb:
            count = min(count, max(0, capacity.free_memory_mb) // size.memory_mb)
        used += count * size.millicores
    return 1 - used / free if free else 0.0
