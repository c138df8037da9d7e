"""Decides which runs of short tasks get a copy on another worker (speculative execution).

Load pattern: steps of about 8 tasks of 0.8 to 2 s, of which three in a hundred run seven times as
long, on workers that may be slow, hang or fail. In bursts the pool is full and tasks wait for room.
A step ends with its last task, so a copy is worth its cores only if the whole job ends earlier by
it. Copies take a small share of the pool, and none is made while tasks wait.
"""

from __future__ import annotations

import math
import statistics
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.placement import choose_worker, compute_usage

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from carawayshore.workflows.model import StepSpec, TaskName
    from carawayshore.workflows.placement import WorkerCapacity

# Largest share of the pool's processors that copies use at a time.
MAX_COPY_SHARE = 0.05
# Time from the decision to the start of a copy: an append to the store, and a call to the worker.
START_DELAY_SECONDS = 0.2
# A run is copied only if it is expected to take this many times as long as a copy would.
MIN_GAIN_RATIO = 1.5
# Least time by which a copy has to make its job end earlier.
MIN_GAIN_SECONDS = 0.3
# Number of ended tasks of a step from which their run times replace the estimate of the queue.
MIN_ENDED_TASKS = 3
# Lower bound of the standard deviation of the logarithm of the run times of a step.
MIN_LOG_DEVIATION = 0.1
# Age of a progress report from which a rate is computed from it; shorter ones are mostly the delay
# of the start.
MIN_RATE_SECONDS = 0.2
# Time without a report after which a worker with runs counts as silent. Reports are requested with
# a wait of at most 1 s, and a call ends within 0.8 s after that.
SILENT_SECONDS = 1.8
# Expected time until the task of a silent worker could start again: the rest of its lease.
LOST_WORKER_SECONDS = 4.0
# Weight of a new run time in the average of its worker, and clip of the ratio that it adds, so that
# single stragglers do not make a worker count as slow.
SPEED_LEARNING_RATE = 0.2
MAX_SPEED_RATIO = 3.0
# Weight of a new outcome in the share of a queue's copies that were won, and its initial value.
GAIN_LEARNING_RATE = 0.15
INITIAL_WON_SHARE = 0.5
# Share below which a queue has one copy at a time, by which a change is noticed: its tasks are late
# for what they do, not for where they run.
MIN_WON_SHARE = 0.2
# A worker that takes this many times as long as the median of the workers is slow.
SLOW_WORKER_RATIO = 1.5
# A worker with this many overdue runs at a time is slow.
MAX_OVERDUE_RUNS = 2


class RunView(NamedTuple):
    """A run of a task that has not ended.

    Parameters
    ----------
    name : TaskName
    worker : str
    age_seconds : float
        Time since its order.
    report_age_seconds : float
        Age of the report that told its progress.
    percent : int
        Progress as last reported, -1 or 0 if not known.
    is_silent : bool
        Whether its worker is unresponsive or has not reported for ``SILENT_SECONDS``.
    may_be_copied : bool
        Whether it has certainly started, is not being stopped, has had no copy, and its task allows
        one.
    copy_age_seconds : float or None
        Time since the order of its copy, None if it has none.
    """

    name: TaskName
    worker: str
    age_seconds: float
    report_age_seconds: float
    percent: int
    is_silent: bool
    may_be_copied: bool
    copy_age_seconds: float | None = None


class StepView(NamedTuple):
    """A step of one occurrence of a job.

    Parameters
    ----------
    after : tuple of int
        Numbers of the steps that it depends on.
    is_done : bool
    runs : tuple of RunView
        Runs of its ordered tasks, without the copies.
    ended_seconds : tuple of float
        Run times of its tasks that are done, as far as they are known.
    expected_seconds, log_deviation : float
        Run time of one task by the history of the queue, and the deviation of its logarithm.
    slowest_seconds : float
        Expected run time of the slowest task.
    millicores : int
        Processors of one task.
    queue : str
    """

    after: tuple[int, ...]
    is_done: bool
    runs: tuple[RunView, ...]
    ended_seconds: tuple[float, ...]
    expected_seconds: float
    log_deviation: float
    slowest_seconds: float
    millicores: int
    queue: str = ""


class PoolView(NamedTuple):
    """Pool of workers.

    Parameters
    ----------
    millicores, copy_millicores : int
        Processors of its usable workers, and of the copies on them.
    has_waiting_tasks : bool
        Whether due tasks wait for it.
    copies_left : mapping of str to int
        Number of further copies of each queue whose copies gain little; others have no such limit.
    """

    millicores: int
    copy_millicores: int
    has_waiting_tasks: bool
    copies_left: Mapping[str, int] = MappingProxyType({})


class CopyChoice(NamedTuple):
    """Run to copy, and why.

    Parameters
    ----------
    name : TaskName
    worker : str
        Worker of the run.
    reason : str
        ``silent`` for a run on a silent worker, ``progress`` or ``age`` after the estimate used.
    left_seconds : float
        Time until the run is expected to end.
    copy_seconds : float
        Time until the copy is expected to end, the delay of its start included.
    gain_seconds : float
        Time by which the job is expected to end earlier by the copy.
    """

    name: TaskName
    worker: str
    reason: str
    left_seconds: float
    copy_seconds: float
    gain_seconds: float


class _Expectation(NamedTuple):
    """Typical run time of the tasks of a step, and the time after which few still run."""

    typical_seconds: float
    late_seconds: float


def _expect(step: StepView) -> _Expectation:
    typical, deviation = step.expected_seconds, step.log_deviation
    if len(step.ended_seconds) >= MIN_ENDED_TASKS:
        typical = statistics.median(step.ended_seconds)
        deviation = statistics.pstdev(math.log(max(s, 0.001)) for s in step.ended_seconds)
    return _Expectation(typical, typical * math.exp(max(deviation, MIN_LOG_DEVIATION)))


def is_overdue(step: StepView, run: RunView) -> bool:
    """Returns whether a run takes longer than few tasks of its step are expected to."""
    return run.age_seconds > _expect(step).late_seconds * MIN_GAIN_RATIO


def _estimate_left(run: RunView, expected: _Expectation) -> tuple[float, str]:
    """Returns the time until a run is expected to end, and what the estimate is based on."""
    if run.is_silent:
        return LOST_WORKER_SECONDS + expected.typical_seconds, "silent"
    measured = run.age_seconds - run.report_age_seconds
    if 0 < run.percent < 100 and measured >= MIN_RATE_SECONDS:
        return max(0.0, measured * 100 / run.percent - run.age_seconds), "progress"
    if run.age_seconds < expected.late_seconds:
        return max(0.0, expected.typical_seconds - run.age_seconds), "age"
    # A run that takes longer than expected is likely to go on for as long again.
    return run.age_seconds, "age"


def _estimate_end(run: RunView, expected: _Expectation) -> float:
    """Returns the time until a run or its copy is expected to end."""
    left, _ = _estimate_left(run, expected)
    if run.copy_age_seconds is None:
        return left
    return min(left, max(0.0, expected.late_seconds - run.copy_age_seconds))


def _estimate_step(step: StepView, copied: Collection[TaskName] = ()) -> float:
    """Returns the time until a step ends, once the steps before it have, with some runs copied."""
    if step.is_done:
        return 0.0
    if not step.runs:
        return step.slowest_seconds
    expected = _expect(step)
    copy_seconds = START_DELAY_SECONDS + expected.late_seconds
    ends = [
        min(_estimate_end(run, expected), copy_seconds if run.name in copied else math.inf)
        for run in step.runs
    ]
    return max(ends)


def _estimate_job(steps: Sequence[StepView], copied: Collection[TaskName] = ()) -> float:
    """Returns the time until all steps have ended, with some runs copied."""
    ends: list[float] = []
    for step in steps:
        start = max((ends[number] for number in step.after), default=0.0)
        ends.append(start + _estimate_step(step, copied))
    return max(ends, default=0.0)


def _list_late_runs(steps: Sequence[StepView]) -> list[tuple[StepView, CopyChoice]]:
    """Returns the runs that are expected to end well after a copy that is started now."""
    found = []
    for step in steps:
        expected = _expect(step)
        copy_seconds = START_DELAY_SECONDS + expected.late_seconds
        for run in step.runs:
            if not run.may_be_copied:
                continue
            left, reason = _estimate_left(run, expected)
            if left >= MIN_GAIN_RATIO * copy_seconds:
                choice = CopyChoice(run.name, run.worker, reason, left, copy_seconds, 0.0)
                found.append((step, choice))
    return found


def has_late_run(step: StepView) -> bool:
    """Returns whether a run of a step is expected to end well after a copy started now would."""
    return bool(_list_late_runs([step]))


def choose_copies(jobs: Iterable[Sequence[StepView]], pool: PoolView) -> list[CopyChoice]:
    """Returns the runs to copy now, those first by which their job gains most.

    Parameters
    ----------
    jobs : iterable of sequence of StepView
        For each job with runs that may be copied, all its steps in their order.
    pool : PoolView
    """
    if pool.has_waiting_tasks:
        return []
    found: list[tuple[StepView, CopyChoice]] = []
    for steps in jobs:
        late = _list_late_runs(steps)
        if not late:
            continue
        names = {choice.name for _, choice in late}
        end = _estimate_job(steps, names)
        for step, choice in late:
            gain = _estimate_job(steps, names - {choice.name}) - end
            if gain >= MIN_GAIN_SECONDS:
                found.append((step, choice._replace(gain_seconds=gain)))
    found.sort(key=lambda item: -item[1].gain_seconds)
    budget = int(MAX_COPY_SHARE * pool.millicores) - pool.copy_millicores
    chosen = []
    copies_left = dict(pool.copies_left)
    for step, choice in found:
        if step.millicores <= budget and copies_left.get(step.queue, 1) > 0:
            budget -= step.millicores
            if step.queue in copies_left:
                copies_left[step.queue] -= 1
            chosen.append(choice)
    return chosen


def choose_copy_worker(
    capacities: Iterable[WorkerCapacity],
    step: StepSpec,
    name: TaskName,
    now: float,
    *,
    excluded: Collection[str],
    racks: Collection[str],
) -> WorkerCapacity | None:
    """Returns the worker for a copy, None if none is suitable.

    Parameters
    ----------
    capacities : iterable of WorkerCapacity
    step : StepSpec
    name : TaskName
    now : float
        Seconds of the clock that was passed to :meth:`WorkerCapacity.record_failure`.
    excluded : collection of str
        Workers that are silent or slow, and that of the run.
    racks : collection of str
        Racks of the other runs, outside of which a step with ``same_rack`` is slow.
    """
    candidates = [
        capacity
        for capacity in capacities
        if capacity.entry.worker not in excluded
        and not capacity.consecutive_failures
        and (not step.same_rack or capacity.entry.rack in racks)
        and (not step.rack or capacity.entry.rack == step.rack)
    ]
    # Workers that are suspected, reserved, or keep room for other tasks are left out there.
    return choose_worker(candidates, step, compute_usage(name, step), now)


class CopyGains:
    """Learns for each queue which share of its copies were won."""

    def __init__(self) -> None:
        self._won_shares: dict[str, float] = {}

    def learn(self, queue: str, *, is_won: bool) -> None:
        """Adds the outcome of a copy of which one run has succeeded."""
        share = self._won_shares.get(queue, INITIAL_WON_SHARE)
        self._won_shares[queue] = share + GAIN_LEARNING_RATE * (is_won - share)

    def limit_copies(self, running: Mapping[str, int]) -> dict[str, int]:
        """Returns the number of further copies of each queue whose copies gain little.

        ``running`` counts the present copies of each queue.
        """
        return {
            queue: max(0, 1 - running.get(queue, 0))
            for queue, share in self._won_shares.items()
            if share < MIN_WON_SHARE
        }


class WorkerSpeeds:
    """Learns which workers take longer than the others for their tasks."""

    def __init__(self) -> None:
        self._logarithms: dict[str, float] = {}

    def learn(self, worker: str, seconds: float, expected_seconds: float) -> None:
        """Adds the run time of a task that has succeeded, and the one that was expected."""
        ratio = max(seconds, 0.001) / max(expected_seconds, 0.001)
        ratio = min(MAX_SPEED_RATIO, max(1 / MAX_SPEED_RATIO, ratio))
        average = self._logarithms.get(worker, 0.0)
        self._logarithms[worker] = average + SPEED_LEARNING_RATE * (math.log(ratio) - average)

    def retain(self, workers: Collection[str]) -> None:
        """Forgets all other workers."""
        for worker in self._logarithms.keys() - set(workers):
            del self._logarithms[worker]

    def list_slow(self, overdue: Mapping[str, int]) -> set[str]:
        """Returns the slow workers; ``overdue`` counts the overdue runs of each worker."""
        slow = {worker for worker, count in overdue.items() if count >= MAX_OVERDUE_RUNS}
        if self._logarithms:
            limit = statistics.median(self._logarithms.values()) + math.log(SLOW_WORKER_RATIO)
            slow |= {worker for worker, value in self._logarithms.items() if value > limit}
        return slow
