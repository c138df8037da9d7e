"""CPU time of counting the workers that long-running tasks need.

Load pattern: an owner counts them for a pool of many steps, each with a limit of one task a worker,
twice a second, whatever else it does.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random

from benchmarks.owner_plan import MAX_CONTROL_SHARE
from benchmarks.report import Line, case
from carawayd.partition.demand import COUNT_INTERVAL_SECONDS
from carawayshore.workflows.placement import Amounts
from carawayshore.workflows.spread import TaskGroup, count_needed_workers

WORKER = Amounts(16_000, 65_536, 0)
STEPS = (10, 100, 1_000)
TASKS_PER_STEP = 5
ROUNDS = 5
GOAL_SECONDS = MAX_CONTROL_SHARE * COUNT_INTERVAL_SECONDS


def _measure(groups: list[TaskGroup]) -> tuple[float, int]:
    """Returns the least processor time of one count over some rounds, and its result."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        count = count_needed_workers(groups, WORKER)
        times.append(time.process_time() - started)
    return min(times), count


@case("capacity-spread")
def measure_spread(seed: int) -> Iterator[Line]:
    """Compares the count for many steps with that for few."""
    random = Random(seed)
    baseline = 0.0
    for steps in STEPS:
        groups = [
            TaskGroup(
                TASKS_PER_STEP,
                Amounts(random.randint(500, 6_000), random.randint(1_000, 20_000), 0),
                random.choice([0, 1, 2]),
            )
            for _ in range(steps)
        ]
        seconds, workers = _measure(groups)
        baseline = baseline or seconds
        yield Line(
            "capacity-spread",
            seed,
            baseline,
            seconds,
            seconds / baseline,
            f"{GOAL_SECONDS:.6f} s of processor time",
            seconds <= GOAL_SECONDS,
            {"steps": steps, "tasks": steps * TASKS_PER_STEP, "workers": workers},
        )
