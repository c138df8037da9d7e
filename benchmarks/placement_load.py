"""Load of the replays of placement: bursts of short jobs beside long-running tasks.

Load pattern: a queue requests five times its mean for four seconds, more than its pool holds, and a
twentieth in between. A few jobs have tasks several times as large as the others, in processors and
in memory. Estimates are off by a random factor.
"""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from carawayshore.workflows.model import StepSpec, Workflow

SERVICE = "booking"
QUEUE = "slots"
# Objective of a job: this multiple of its longest chain of steps, plus the allowance.
STRETCH = 1.6
ALLOWANCE_MS = 600
BURST_SECONDS = 4.0
CYCLE_SECONDS = 20.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
MEAN_STEP_TASKS = 8
MAX_STEP_TASKS = 32
SMALL_SECONDS = 0.8
LARGE_SECONDS = 2.1


class Load(NamedTuple):
    """Parameters of the load of one pool.

    Parameters
    ----------
    workers, cores, memory_mb : int
        Number and size of the workers.
    burst_load : float
        Requested cores during a burst as a multiple of those of the pool.
    large_share : float
        Share of the steps that consist of large tasks.
    long_running_jobs : int
        Number of long-running jobs.
    long_running_tasks : int
        Number of tasks of each of them.
    run_deviation : float
        Standard deviation of the logarithm of the run times within a step.
    error_deviation : float
        Standard deviation of the logarithm of the error of the declared estimates.
    straggler_share : float
        Share of the tasks that run seven times as long.
    """

    workers: int = 36
    cores: int = 64
    memory_mb: int = 128_000
    burst_load: float = 1.6
    large_share: float = 0.25
    long_running_jobs: int = 3
    long_running_tasks: int = 15
    run_deviation: float = 0.2
    error_deviation: float = 0.3
    straggler_share: float = 0.0


STRAGGLER_FACTOR = 7.0


class Job(NamedTuple):
    """A job, the time of its submission and the run times of the tasks of each step."""

    at: float
    spec: Workflow
    run_seconds: tuple[tuple[float, ...], ...]
    sizes: tuple[str, ...]


def _draw_step(load: Load, random: Random, number: int) -> tuple[StepSpec, tuple[float, ...], str]:
    """Returns a step, the run times of its tasks, and whether they are small or large."""
    count = min(MAX_STEP_TASKS, 1 + int(random.expovariate(1 / (MEAN_STEP_TASKS - 0.5))))
    is_large = random.random() < load.large_share
    cores, memory_mb, seconds = 6, 9_000, SMALL_SECONDS
    if is_large:
        # Most are little larger than the small ones, a few take most of a worker.
        factor = min(3.0, 1 + random.expovariate(2.0))
        cores, memory_mb, seconds = int(13 * factor), int(25_000 * factor), LARGE_SECONDS
        count = max(1, count // 3)
    runs = []
    for _ in range(count):
        run = seconds * math.exp(random.gauss(0, load.run_deviation))
        if random.random() < load.straggler_share:
            run *= STRAGGLER_FACTOR
        runs.append(run)
    estimate = seconds * math.exp(random.gauss(0, load.error_deviation))
    step = StepSpec(
        count=count,
        millicores=cores * 1000,
        memory_mb=memory_mb,
        estimate_ms=max(1, int(estimate * 1000)),
        after=(number - 1,) if number else (),
    )
    return step, tuple(runs), "large" if is_large else "small"


def _draw_job(load: Load, random: Random, at: float, number: int) -> Job:
    steps = [_draw_step(load, random, index) for index in range(random.randint(1, 5))]
    spec = Workflow(
        f"{number:016x}", SERVICE, QUEUE, 0, 3, STRETCH, ALLOWANCE_MS, "",
        tuple(step for step, _, _ in steps),
    )  # fmt: skip
    return Job(at, spec, tuple(runs for _, runs, _ in steps), tuple(size for _, _, size in steps))


def measure_core_seconds(job: Job) -> float:
    """Returns the work of a job in core-seconds."""
    return sum(
        step.millicores / 1000 * sum(runs)
        for step, runs in zip(job.spec.steps, job.run_seconds, strict=True)
    )


def draw_jobs(load: Load, seed: int, seconds: float) -> list[Job]:
    """Returns the short jobs that are submitted within ``seconds``, in order."""
    random = Random(seed)
    sample = [_draw_job(load, random, 0.0, 0) for _ in range(400)]
    mean_work = sum(measure_core_seconds(job) for job in sample) / len(sample)
    burst_rate = load.burst_load * load.workers * load.cores / mean_work
    quiet_rate = burst_rate / BURST_FACTOR * QUIET_FACTOR
    jobs: list[Job] = []
    at = 0.0
    while True:
        is_burst = at % CYCLE_SECONDS >= CYCLE_SECONDS - BURST_SECONDS
        gap = random.expovariate(burst_rate if is_burst else quiet_rate)
        edge = CYCLE_SECONDS - BURST_SECONDS if not is_burst else CYCLE_SECONDS
        left = edge - at % CYCLE_SECONDS
        if gap > left:
            at += left + 1e-6
        else:
            at += gap
            jobs.append(_draw_job(load, random, at, 1_000 + len(jobs)))
        if at >= seconds:
            return jobs


def draw_long_running(load: Load, seed: int) -> list[Workflow]:
    """Returns the long-running jobs, with at most one task of each on a worker."""
    random = Random(seed)
    jobs = []
    for number in range(load.long_running_jobs):
        step = StepSpec(
            count=load.long_running_tasks,
            millicores=random.randint(8, 14) * 1000,
            memory_mb=random.randint(17, 51) * 1000,
            most_per_worker=1,
            long_running=True,
        )
        jobs.append(
            Workflow(f"{number:016x}", SERVICE, QUEUE, 0, 3, STRETCH, ALLOWANCE_MS, "", (step,))
        )
    return jobs
