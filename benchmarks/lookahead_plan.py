"""CPU time of one plan with and without reservations for large tasks that wait.

Load pattern: a pool of 300 workers is full of small tasks whose runs end at different times, and
500 tasks wait, a quarter of them large.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random
from types import SimpleNamespace

from benchmarks.placement_load import QUEUE, SERVICE, Load
from benchmarks.placement_replay import VirtualClock, build_links, build_planner
from benchmarks.report import Line, case
from carawayd.partition.owner import MAX_PENDING_STARTS
from carawayshore.workflows.model import StepSpec, TaskName, Workflow
from carawayshore.workflows.placement import compute_usage
from carawayshore.workflows.state import ORDERED, WorkflowState

WORKERS = 300
RUNS_PER_WORKER = 10
RUN_SECONDS = 0.8
STEPS = 100
TASKS_PER_STEP = 5
LARGE_SHARE = 0.25
ROUNDS = 30
GOAL_SECONDS = 0.005


def _build_state(number: int, step: StepSpec) -> WorkflowState:
    spec = Workflow(f"{number:016x}", SERVICE, QUEUE, 0, 3, 1.6, 600, "", (step,))
    return WorkflowState(spec, 0.0)


def _measure_plan(seed: int, *, looks_ahead: bool) -> float:
    """Returns the minimum CPU time of a plan in seconds."""
    random = Random(seed)
    clock, links = VirtualClock(), build_links(Load(workers=WORKERS))
    small = StepSpec(
        count=RUNS_PER_WORKER,
        millicores=6_000,
        memory_mb=9_000,
        estimate_ms=int(RUN_SECONDS * 1000),
    )
    states, open_steps, deadlines = {}, {}, {}
    for number, link in enumerate(links.values()):
        running = _build_state(1_000 + number, small)
        states[running.identifier] = running
        for index, task in enumerate(running.steps[0, 0].tasks):
            name = TaskName(running.identifier, 0, 0, index)
            task.status, task.worker = ORDERED, link.worker
            link.capacity.reserve(name, compute_usage(name, small))
            link.orders[name] = SimpleNamespace(
                ordered_at=-random.uniform(0.0, RUN_SECONDS), progress_percent=0, stopping=False
            )
    for number in range(STEPS):
        is_large = random.random() < LARGE_SHARE
        step = StepSpec(
            count=TASKS_PER_STEP,
            millicores=random.randint(13, 40) * 1000 if is_large else random.randint(5, 8) * 1000,
            memory_mb=random.randint(25, 74) * 1000 if is_large else 9_000,
            estimate_ms=2_100 if is_large else 800,
        )
        state = states[f"{number:016x}"] = _build_state(number, step)
        open_steps[state.identifier, 0, 0] = state.steps[0, 0]
        deadlines[state.identifier] = 20.0 + number / STEPS
    times = []
    for _ in range(ROUNDS):
        # A new planner knows no estimates and has no reservation yet, so it has the most to do.
        planner, _ = build_planner(
            clock, links, states, open_steps, deadlines, looks_ahead=looks_ahead
        )
        start = time.process_time_ns()
        for placement in planner.place_tasks(MAX_PENDING_STARTS):
            raise AssertionError(f"placed {placement.chosen}")
        times.append((time.process_time_ns() - start) / 1e9)
        description = planner.describe_step(TaskName(f"{0:016x}", 0, 0, 0))
        assert ("reservation" in description) == looks_ahead, description
    return min(times)


@case("capacity-lookahead-plan")
def measure_lookahead_plan(seed: int) -> Iterator[Line]:
    """Compares a plan without reservations with one in which a large task has one."""
    baseline = _measure_plan(seed, looks_ahead=False)
    change = _measure_plan(seed, looks_ahead=True)
    yield Line(
        "capacity-lookahead-plan",
        seed,
        baseline,
        change,
        change / baseline,
        f"{GOAL_SECONDS} s of processor time a plan",
        change <= GOAL_SECONDS,
        {"workers": WORKERS, "waiting_tasks": STEPS * TASKS_PER_STEP},
    )
