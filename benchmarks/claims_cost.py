"""CPU time of claims, and of the choice of short runs to stop, while long-running tasks wait.

Load pattern: a data centre loses many workers at once. Hundreds of long-running tasks wait while
all remaining workers are full of short runs, so each claim and each choice looks at all of them.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import NamedTuple

from benchmarks.owner_plan import MAX_CONTROL_SHARE, PLAN_INTERVAL_SECONDS
from benchmarks.report import Line, case
from carawayd.partition.advisor import Advisor
from carawayd.partition.claims import MAX_NEW_CLAIMS_PER_PLAN, Claims
from carawayd.partition.deferrals import Deferrals
from carawayd.partition.isolation import Isolation
from carawayd.partition.owner import MAX_PENDING_STARTS, SCAN_INTERVAL
from carawayd.partition.planner import Planner
from carawayd.partition.preemption import MAX_ROOM_WAIT_SECONDS, PreemptionControl
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.workflows.model import StepSpec, TaskName, WorkerEntry, Workflow
from carawayshore.workflows.placement import WorkerCapacity, compute_usage
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import ORDERED, WorkflowState

WORKERS = 150
WORKER_CORES = 16
WAITING_TASKS = (10, 100, 500)
ROUNDS = 5
SERVICE = "booking"
PLAN_GOAL_SECONDS = MAX_CONTROL_SHARE * PLAN_INTERVAL_SECONDS
CHECK_GOAL_SECONDS = MAX_CONTROL_SHARE * SCAN_INTERVAL.total_seconds()
SHORT = StepSpec(count=WORKERS * WORKER_CORES, millicores=1_000, memory_mb=100)


class _Clock:
    """Clock that is set by its user."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.seconds)

    def now(self) -> datetime:
        return datetime.fromtimestamp(1.7e9 + self.seconds, UTC)


class _Owner(NamedTuple):
    """Parts of a partition owner that place waiting tasks and make room for them."""

    clock: _Clock
    planner: Planner
    preemption: PreemptionControl


class _Times(NamedTuple):
    """CPU times in seconds: plans that make claims, one without new claims, and one check."""

    first_plan: float
    median_plan: float
    idle_plan: float
    make_room: float


def _build_link(number: int, state: WorkflowState) -> SimpleNamespace:
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
    capacity, orders = WorkerCapacity(entry), {}
    capacity.usable = True
    for index in range(number * WORKER_CORES, (number + 1) * WORKER_CORES):
        name = TaskName(state.identifier, 0, 0, index)
        capacity.reserve(name, compute_usage(name, SHORT))
        orders[name] = SimpleNamespace(ordered_at=0.0, progress_percent=0, stopping=False)
        state.steps[0, 0].tasks[index].status = ORDERED

    def stop_task(name: TaskName) -> None:
        orders[name].stopping = True

    return SimpleNamespace(
        worker=entry.worker,
        entry=entry,
        capacity=capacity,
        orders=orders,
        unordered_runs={},
        is_departing=False,
        stop_task=stop_task,
    )


def _build_workflow(number: int, step: StepSpec) -> WorkflowState:
    spec = Workflow(f"{number:016x}", SERVICE, "slots", 0, 3, 2.0, 1000, "", (step,))
    return WorkflowState(spec, 0.0)


def _build_owner(waiting: int) -> _Owner:
    clock, runtimes = _Clock(), RuntimeModel()
    short = _build_workflow(1, SHORT)
    long_running = StepSpec(count=waiting, millicores=1_000, memory_mb=100, long_running=True)
    displaced = _build_workflow(2, long_running)
    for task in displaced.steps[0, 0].tasks:
        task.run = 1
    workflows = {state.identifier: state for state in (short, displaced)}
    links = {f"w{number}": _build_link(number, short) for number in range(WORKERS)}

    def find_task(name: TaskName):
        workflow = workflows[name.workflow]
        return (workflow, *workflow.find_task(name))

    deferrals = Deferrals(clock)
    claims = Claims(links, find_task, runtimes, clock)
    planner = Planner(
        workflows,
        links,
        {(displaced.identifier, 0, 0): displaced.steps[0, 0]},
        {},
        runtimes=runtimes,
        isolation=Isolation(links, deferrals, clock),
        deferrals=deferrals,
        claims=claims,
        advisor=Advisor(None, clock, lambda: None),
        clock=clock,
        time_of_day=SteadyTimeOfDay(clock),
    )
    preemption = PreemptionControl(
        links,
        find_task,
        planner.list_candidates,
        claims,
        lambda _: clock.seconds,
        clock,
        WorkflowMetrics(),
    )
    return _Owner(clock, planner, preemption)


def _measure(function: Callable[[], object]) -> float:
    start = time.process_time_ns()
    function()
    return (time.process_time_ns() - start) / 1e9


def _measure_round(waiting: int) -> _Times:
    owner = _build_owner(waiting)
    plans = []
    for _ in range(-(-waiting // MAX_NEW_CLAIMS_PER_PLAN)):
        owner.clock.seconds += PLAN_INTERVAL_SECONDS
        plans.append(_measure(lambda: list(owner.planner.place_tasks(MAX_PENDING_STARTS))))
    owner.clock.seconds += PLAN_INTERVAL_SECONDS
    idle = _measure(lambda: list(owner.planner.place_tasks(MAX_PENDING_STARTS)))
    owner.clock.seconds += MAX_ROOM_WAIT_SECONDS
    check = _measure(lambda: owner.preemption.make_room(1))
    return _Times(plans[0], statistics.median(plans), idle, check)


def _measure_times(waiting: int) -> _Times:
    """Returns the minimum of each time over some rounds."""
    rounds = [_measure_round(waiting) for _ in range(ROUNDS)]
    return _Times(*map(min, zip(*rounds, strict=True)))


@case("capacity-claims")
def measure_claims(seed: int) -> Iterator[Line]:
    """Compares plans and checks for hundreds of waiting long-running tasks with those for few."""
    times = {waiting: _measure_times(waiting) for waiting in WAITING_TASKS}
    few = times[WAITING_TASKS[0]]
    for waiting, found in times.items():
        for kind, goal in (
            ("first_plan", PLAN_GOAL_SECONDS),
            ("median_plan", PLAN_GOAL_SECONDS),
            ("idle_plan", PLAN_GOAL_SECONDS),
            ("make_room", CHECK_GOAL_SECONDS),
        ):
            baseline, change = getattr(few, kind), getattr(found, kind)
            yield Line(
                "capacity-claims",
                seed,
                baseline,
                change,
                change / baseline,
                f"{goal:.6f} s of processor time",
                change <= goal,
                {"kind": kind, "workers": WORKERS, "waiting_tasks": waiting},
            )
