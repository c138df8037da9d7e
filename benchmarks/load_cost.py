"""CPU time of one report of the load of a partition, which the holder of the fleet asks for.

Load pattern: a service of 300 workers is in its burst, and 500 steps wait, all of them alike or
each of another size. All workers have a long-running task and short runs. Some steps fit on no
worker beside the long-running tasks.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from datetime import timedelta
from random import Random
from types import SimpleNamespace

from benchmarks.owner_plan import MAX_CONTROL_SHARE
from benchmarks.report import Line, case
from carawayd.partition.demand import Demand
from carawayshore.workflows.model import StepSpec, TaskName, WorkerEntry, Workflow
from carawayshore.workflows.placement import WorkerCapacity, compute_usage
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import WorkflowState

WORKERS, WORKER_CORES, SHORT_RUNS = 300, 16, 8
WAITING_STEPS, TASKS_PER_STEP = 500, 5
SERVICE = "booking"
ROUNDS = 20
# Interval at which the holder of the fleet asks.
REPORT_INTERVAL_SECONDS = 0.15
GOAL_SECONDS = MAX_CONTROL_SHARE * REPORT_INTERVAL_SECONDS


class _Clock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.seconds)


def _build_link(number: int) -> SimpleNamespace:
    entry = WorkerEntry(
        worker=f"w{number}",
        service=SERVICE,
        address="127.0.0.1:1",
        data_centre="umea",
        state="ready",
        millicores=WORKER_CORES * 1000,
        memory_mb=64_000,
        accelerators=0,
        labels=(),
        machine="",
        born=1,
    )
    capacity = WorkerCapacity(entry)
    capacity.usable = capacity.expected = True
    name = TaskName(f"{number:016x}", 0, 0, 0)
    step = StepSpec(millicores=4_000 + number, memory_mb=9_000 - number, long_running=True)
    capacity.reserve(name, compute_usage(name, step))
    for index in range(SHORT_RUNS):
        name = TaskName(f"{number:016x}", 0, 1, index)
        capacity.reserve(name, compute_usage(name, StepSpec(millicores=1000, memory_mb=100)))
    return SimpleNamespace(
        worker=entry.worker,
        entry=entry,
        capacity=capacity,
        run_count=1 + SHORT_RUNS,
        is_departing=False,
        is_unresponsive=False,
        silent_seconds=0.0,
        closed=False,
        listed=True,
    )


def _measure(steps: list[StepSpec]) -> float:
    """Returns the mean CPU time of a report in seconds, at the interval of the reports."""
    clock = _Clock()
    links = {link.worker: link for link in map(_build_link, range(WORKERS))}
    states = [
        WorkflowState(
            Workflow(f"{number:016x}", SERVICE, "slots", 0, 3, 2.0, 1000, "", (step, step)), 0.0
        )
        for number, step in enumerate(steps)
    ]
    demand = Demand(
        {state.identifier: state for state in states},
        links,
        {(state.identifier, 0, 0): state.steps[0, 0] for state in states},
        {},
        RuntimeModel(),
        clock,
    )
    started = time.process_time()
    for _ in range(ROUNDS):
        clock.seconds += REPORT_INTERVAL_SECONDS
        demand.measure_load(SERVICE)
    return (time.process_time() - started) / ROUNDS


@case("capacity-load")
def measure_load_cost(seed: int) -> Iterator[Line]:
    """Compares a report with waiting steps of one size with one in which each has another size."""
    random = Random(seed)
    alike = [StepSpec(count=TASKS_PER_STEP, millicores=2_000, memory_mb=100)] * WAITING_STEPS
    mixed = [
        StepSpec(
            count=TASKS_PER_STEP,
            millicores=random.randint(500, WORKER_CORES * 1000),
            memory_mb=random.randint(100, 64_000),
        )
        for _ in range(WAITING_STEPS)
    ]
    baseline, change = _measure(alike), _measure(mixed)
    yield Line(
        "capacity-load",
        seed,
        baseline,
        change,
        change / baseline,
        f"{GOAL_SECONDS:.6f} s of processor time a report",
        change <= GOAL_SECONDS,
        {"workers": WORKERS, "waiting_steps": WAITING_STEPS},
    )
