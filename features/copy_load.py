"""Load of jobs with late tasks on a pool, replayed without network, with and without copies.

Steps of about 8 tasks of 0.8 to 2 s arrive at a pool of workers, three in a hundred runs take seven
times as long, one worker in ten is slow, and one hangs for a while. A burst requests more than the
pool holds. Tasks are placed first come, first served; the decision on copies is the product's.
"""

from __future__ import annotations

import heapq
import math
from random import Random
from typing import NamedTuple

from workflow_builders import build_worker_capacities

from carawayshore.workflows.copies import (
    SILENT_SECONDS,
    CopyGains,
    PoolView,
    RunView,
    StepView,
    WorkerSpeeds,
    choose_copies,
    choose_copy_worker,
    is_overdue,
)
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.placement import choose_worker, compute_usage
from carawayshore.workflows.runtimes import RuntimeModel

QUEUE = "slots"
WORKERS = 30
WORKER_MILLICORES = 32_000
TICK_S = 0.05
DECISION_TICKS = 4
REPORT_S = 1.0
CALM_JOBS_PER_S = 4.0
BURST_FACTOR = 5.0
BURST = (20.0, 24.0)
# Jobs submitted so shortly before the burst run into it.
CALM_MARGIN_S = 2.0
LENGTH_S = 26.0
LATE_SHARE = 0.03
LATE_MULTIPLE = 7.0
SLOW_WORKERS = frozenset({"w3", "w13", "w23"})
SLOW_MULTIPLE = 2.0
HANGING_WORKER = "w7"
HANGING = (8.0, 12.0)
# Declared run times are off by up to this factor either way.
ESTIMATE_ERROR = math.exp(0.3)
STRETCH, ALLOWANCE_S = 1.6, 0.6


class LoadResult(NamedTuple):
    """Share of jobs that ended in time, submitted in calm and in the burst, and the costs."""

    calm_on_time: float
    burst_on_time: float
    core_seconds: float
    copies: int
    most_copy_share: float
    copies_in_queue: int


class _Run:
    def __init__(self, capacity, started: float, work: float, number: int) -> None:
        self.capacity = capacity
        self.started = started
        self.work = work
        self.number = number
        # Work done, time of the last report, and the progress that it told.
        self.done = 0.0
        self.reported, self.percent = started, -1


class _Task:
    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.runs: list[_Run] = []
        self.has_had_copy = self.is_done = False


class _Job:
    def __init__(self, number: int, random: Random, submitted: float) -> None:
        self.submitted = submitted
        self.name = f"{number:016x}"
        self.typical = random.uniform(0.8, 2.0)
        self.tasks = [
            _Task(self.typical * random.uniform(0.85, 1.15)) for _ in range(random.randint(6, 10))
        ]
        error = ESTIMATE_ERROR ** random.uniform(-1, 1)
        self.spec = StepSpec(
            count=len(self.tasks),
            millicores=random.randint(3, 13) * 1000,
            estimate_ms=int(self.typical * error * 1000),
            speculative=True,
        )
        self.ended_seconds: list[float] = []
        self.ended: float | None = None


class LoadReplay:
    """Replays the load; all draws are the same with and without copies.

    Parameters
    ----------
    seed : int
    makes_copies : bool
    is_inherent : bool
        Whether a late task is late on every worker, so that copies gain nothing.
    """

    def __init__(self, seed: int, *, makes_copies: bool, is_inherent: bool = False) -> None:
        random = Random(seed)
        self._makes_copies = makes_copies
        self._is_inherent = is_inherent
        self._seed = seed
        self._capacities = build_worker_capacities(WORKERS, millicores=WORKER_MILLICORES)
        self._model = RuntimeModel()
        self._speeds = WorkerSpeeds()
        self._gains = CopyGains()
        self._arrivals: list[_Job] = []
        time = 0.0
        while time < LENGTH_S:
            in_burst = BURST[0] <= time < BURST[1]
            time += random.expovariate(CALM_JOBS_PER_S * (BURST_FACTOR if in_burst else 1.0))
            self._arrivals.append(_Job(len(self._arrivals), random, time))
        self._queue: list[tuple[float, int, _Job, int]] = []
        self._active: list[_Job] = []
        self._core_seconds = 0.0
        self._copies = self._copies_in_queue = 0
        self._most_copy_share = 0.0

    def _draw_seconds(self, job: _Job, index: int, number: int) -> float:
        """Returns the run time of a run, whatever was drawn for the others."""
        drawn = Random(f"{self._seed}/{job.name}/{index}/{0 if self._is_inherent else number}")
        late = LATE_MULTIPLE if drawn.random() < LATE_SHARE else 1.0
        return job.tasks[index].seconds * late

    def _start(self, job: _Job, index: int, capacity, now: float) -> None:
        task = job.tasks[index]
        name = TaskName(job.name, 0, 0, index)
        capacity.reserve(name, compute_usage(name, job.spec))
        number = len(task.runs) + 1
        task.runs.append(_Run(capacity, now, self._draw_seconds(job, index, number), number))

    def replay(self) -> LoadResult:
        arrivals, tick = list(self._arrivals), 0
        while arrivals or self._active:
            now = tick * TICK_S
            while arrivals and arrivals[0].submitted <= now:
                job = arrivals.pop(0)
                self._active.append(job)
                for index in range(len(job.tasks)):
                    heapq.heappush(self._queue, (job.submitted, index, job, index))
            self._advance(now)
            self._place(now)
            if self._makes_copies and tick % DECISION_TICKS == 0:
                self._copy(now)
            tick += 1
        return self._summarize()

    def _advance(self, now: float) -> None:
        for job in self._active:
            for index, task in enumerate(job.tasks):
                if task.is_done:
                    continue
                for run in task.runs:
                    self._advance_run(job, run, now)
                winner = next((run for run in task.runs if run.done >= run.work), None)
                if winner is not None:
                    self._finish(job, index, winner, now)
            if all(task.is_done for task in job.tasks):
                job.ended = now
        self._active = [job for job in self._active if job.ended is None]

    def _advance_run(self, job: _Job, run: _Run, now: float) -> None:
        self._core_seconds += job.spec.millicores / 1000 * TICK_S
        worker = run.capacity.entry.worker
        if worker == HANGING_WORKER and HANGING[0] <= now < HANGING[1]:
            return
        run.done += TICK_S / (SLOW_MULTIPLE if worker in SLOW_WORKERS else 1.0)
        if now - run.reported >= REPORT_S:
            run.reported, run.percent = now, min(99, int(100 * run.done / run.work))

    def _finish(self, job: _Job, index: int, winner: _Run, now: float) -> None:
        task = job.tasks[index]
        task.is_done = True
        if len(task.runs) > 1:
            self._gains.learn(QUEUE, is_won=winner is not task.runs[0])
        for run in task.runs:
            run.capacity.release(TaskName(job.name, 0, 0, index))
        expected = self._model.estimate_task_seconds(QUEUE, job.spec)
        self._speeds.learn(winner.capacity.entry.worker, now - winner.started, expected)
        self._model.learn(QUEUE, job.spec, now - winner.started)
        job.ended_seconds.append(now - winner.started)
        if len(job.ended_seconds) == len(job.tasks):
            self._model.learn_step(QUEUE, job.ended_seconds)

    def _place(self, now: float) -> None:
        waiting = []
        while self._queue:
            item = heapq.heappop(self._queue)
            _, _, job, index = item
            usage = compute_usage(TaskName(job.name, 0, 0, index), job.spec)
            capacity = choose_worker(self._list_usable(now), job.spec, usage, now)
            if capacity is None:
                waiting.append(item)
                break
            self._start(job, index, capacity, now)
        for item in waiting:
            heapq.heappush(self._queue, item)

    def _list_usable(self, now: float) -> list:
        hangs = HANGING[0] + SILENT_SECONDS <= now < HANGING[1]
        return [
            capacity
            for capacity in self._capacities
            if not (hangs and capacity.entry.worker == HANGING_WORKER)
        ]

    def _view(self, job: _Job, now: float) -> StepView:
        runs = []
        for index, task in enumerate(job.tasks):
            if task.is_done or not task.runs:
                continue
            run, *copies = task.runs
            runs.append(
                RunView(
                    TaskName(job.name, 0, 0, index),
                    run.capacity.entry.worker,
                    now - run.started,
                    now - run.reported,
                    run.percent,
                    now - run.reported > SILENT_SECONDS,
                    not copies,
                    now - copies[0].started if copies else None,
                )
            )
        return StepView(
            (),
            False,
            tuple(runs),
            tuple(job.ended_seconds),
            self._model.estimate_task_seconds(QUEUE, job.spec),
            self._model.estimate_log_deviation(QUEUE, job.spec),
            self._model.estimate_step_seconds(QUEUE, job.spec),
            job.spec.millicores,
            QUEUE,
        )

    def _copy(self, now: float) -> None:
        jobs = {job.name: job for job in self._active}
        usable = self._list_usable(now)
        total = sum(capacity.entry.millicores for capacity in usable)
        copied = [
            job.spec.millicores
            for job in self._active
            for task in job.tasks
            if not task.is_done and len(task.runs) > 1
        ]
        running, limits = sum(copied), self._gains.limit_copies({QUEUE: len(copied)})
        pool = PoolView(total, running, bool(self._queue), limits)
        views = [self._view(job, now) for job in self._active]
        overdue: dict[str, int] = {}
        for view in views:
            for run in view.runs:
                overdue[run.worker] = overdue.get(run.worker, 0) + is_overdue(view, run)
        slow = self._speeds.list_slow(overdue)
        for choice in choose_copies([[view] for view in views], pool):
            job = jobs[choice.name.workflow]
            capacity = choose_copy_worker(
                usable, job.spec, choice.name, now, excluded={choice.worker, *slow}, racks=()
            )
            if capacity is not None:
                self._start(job, choice.name.index, capacity, now)
                self._copies += 1
                self._copies_in_queue += bool(self._queue)
                running += job.spec.millicores
                self._most_copy_share = max(self._most_copy_share, running / total)

    def _summarize(self) -> LoadResult:
        def measure(begin: float, end: float) -> float:
            found = [
                job.ended <= job.submitted + STRETCH * job.typical + ALLOWANCE_S
                for job in self._arrivals
                if begin <= job.submitted < end
            ]
            return sum(found) / len(found)

        return LoadResult(
            measure(0.0, BURST[0] - CALM_MARGIN_S),
            measure(*BURST),
            self._core_seconds,
            self._copies,
            self._most_copy_share,
            self._copies_in_queue,
        )
