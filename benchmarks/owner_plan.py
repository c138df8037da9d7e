"""CPU time of one plan of a partition owner whose pool is full, at five times its capacity.

Load pattern: a service of the deployment two years out (8,000 workers in 54 pools) is in its burst,
so each plan looks at every waiting step and finds room for none. Some workers are suspected or
reserved, which makes the planner ask a second time whether precautions alone keep a task waiting,
and large long-running tasks have room claimed for them.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

from benchmarks.report import Line, case
from carawayd.partition.advisor import Advisor
from carawayd.partition.claims import Claims
from carawayd.partition.deferrals import Deferrals
from carawayd.partition.isolation import Isolation
from carawayd.partition.owner import MAX_PENDING_STARTS
from carawayd.partition.planner import Planner
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.workflows.model import StepSpec, TaskName, WorkerEntry, Workflow
from carawayshore.workflows.placement import WorkerCapacity, compute_usage
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import WorkflowState

WORKERS = 148
WORKER_CORES = 16
WAITING_STEPS = 300
TASKS_PER_STEP = 5
PRECAUTION_SHARE = 0.1
ROUNDS = 20
SERVICE = "booking"
# Share of a core that control may use, applied to the interval of the plans of an idle owner.
MAX_CONTROL_SHARE = 0.029
PLAN_INTERVAL_SECONDS = 0.25
GOAL_SECONDS = MAX_CONTROL_SHARE * PLAN_INTERVAL_SECONDS


class _Clock:
    """Clock that stands still at a later time than all deferrals begin."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.seconds)

    def now(self) -> datetime:
        return datetime.fromtimestamp(1.7e9 + self.seconds, UTC)


def _build_capacity(number: int, is_excluded: bool) -> WorkerCapacity:
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
    capacity.usable = True
    # A worker that a precaution excludes has room, as it gets no tasks.
    for index in range(WORKER_CORES // 2 if is_excluded else WORKER_CORES):
        name = TaskName(f"{number:016x}", 0, 0, index)
        capacity.reserve(name, compute_usage(name, StepSpec(millicores=1000, memory_mb=100)))
    if is_excluded:
        capacity.suspect_until = 1e9
    return capacity


def _build_workflow(number: int, step: StepSpec) -> WorkflowState:
    spec = Workflow(f"{number:016x}", SERVICE, "slots", 0, 3, 2.0, 1000, "", (step,))
    return WorkflowState(spec, float(number))


def _measure_plan(excluded_share: float) -> float:
    """Returns the minimum CPU time of a plan in seconds."""
    clock = _Clock()
    links = {}
    for number in range(WORKERS):
        capacity = _build_capacity(number, number < excluded_share * WORKERS)
        orders = dict.fromkeys(
            capacity.usages, SimpleNamespace(ordered_at=0.0, progress_percent=0, stopping=False)
        )
        links[capacity.entry.worker] = SimpleNamespace(
            worker=capacity.entry.worker,
            entry=capacity.entry,
            capacity=capacity,
            orders=orders,
            unordered_runs={},
        )
    short = StepSpec(count=TASKS_PER_STEP, millicores=2_000, memory_mb=100)
    large = StepSpec(count=2, millicores=16_000, memory_mb=100, long_running=True)
    states = [_build_workflow(number, short) for number in range(WAITING_STEPS)]
    states.append(_build_workflow(WAITING_STEPS, large))
    running = (states[0], states[0].steps[0, 0], None)
    workflows = {state.identifier: state for state in states}
    open_steps = {(state.identifier, 0, 0): state.steps[0, 0] for state in states}
    deferrals, runtimes = Deferrals(clock), RuntimeModel()
    planner = Planner(
        workflows,
        links,
        open_steps,
        {},
        runtimes=runtimes,
        isolation=Isolation(links, deferrals, clock),
        deferrals=deferrals,
        claims=Claims(links, lambda _: running, runtimes, clock),
        advisor=Advisor(None, clock, lambda: None),
        clock=clock,
        time_of_day=SteadyTimeOfDay(clock),
    )
    times = []
    for _ in range(ROUNDS):
        clock.seconds += PLAN_INTERVAL_SECONDS
        start = time.process_time_ns()
        list(planner.place_tasks(MAX_PENDING_STARTS))
        times.append((time.process_time_ns() - start) / 1e9)
    return min(times)


@case("capacity-owner-plan")
def measure_owner_plan(seed: int) -> Iterator[Line]:
    """Compares a plan without precautions in force with one in which they exclude workers."""
    baseline, change = _measure_plan(0.0), _measure_plan(PRECAUTION_SHARE)
    yield Line(
        "capacity-owner-plan",
        seed,
        baseline,
        change,
        change / baseline,
        f"{GOAL_SECONDS} s of processor time a plan",
        change <= GOAL_SECONDS,
        {"workers": WORKERS, "waiting_steps": WAITING_STEPS},
    )
