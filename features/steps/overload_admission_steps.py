"""Steps about the admission of workflows while the store is slow, or long tasks run."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when
from workflow_builders import add_run, build_worker_capacities, build_workflow

from carawayd.partition.demand import Demand
from carawayshore.workflows.admission import (
    Backlog,
    Request,
    decide_admission,
    estimate_store_delay,
)
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import ORDERED, WorkflowState

CORES = 100.0
# One second for each step of a chain, and 1.6 times that plus 0.6 s to the objective.
STEP_SECONDS = 1.0
STRETCH, ALLOWANCE_SECONDS = 1.6, 0.6
WORK_CORE_SECONDS = 8.0


@given("a pool with a backlog that a workflow can wait for")
def build_busy_pool(context):
    context.ready, context.total = 60.0, 120.0


@given("a pool without a backlog")
def build_idle_pool(context):
    context.ready = context.total = 0.0


@when("a workflow of a chain of {steps:d} steps is submitted while an append takes {append:g} s")
def submit(context, steps, append):
    chain = steps * STEP_SECONDS
    objective = STRETCH * chain + ALLOWANCE_SECONDS
    request = Request(
        chain_seconds=chain,
        work_core_seconds=WORK_CORE_SECONDS * steps,
        objective_seconds=objective,
        age_seconds=0.0,
        long_running=False,
        scheduled=False,
        fits=True,
        delay_seconds=estimate_store_delay(steps, append),
    )
    backlog = Backlog(CORES, 0.0, context.ready, context.total, context.total, objective)
    context.admitted = decide_admission(request, backlog, 0.5).admitted


@then("the workflow of that chain is {outcome}")
def check_outcome(context, outcome):
    assert context.admitted == (outcome == "admitted")


def _run_tasks(context, identifier, count, seconds):
    """Adds a workflow whose tasks of one core run, spread over the workers."""
    step = StepSpec(count=count, millicores=1_000, memory_mb=1, estimate_ms=int(seconds * 1000))
    state = WorkflowState(build_workflow(step, identifier=identifier), 0.0)
    context.workflows[identifier] = state
    for index, task in enumerate(state.steps[0, 0].tasks):
        capacity = context.capacities[index % len(context.capacities)]
        task.status, task.run, task.worker = ORDERED, 1, capacity.entry.worker
        add_run(capacity, TaskName(identifier, 0, 0, index), step)


@given(
    "a pool of 160 cores at work on {short:d} tasks of 0.8 s and {long:d} of 9 s, of one core each"
)
def build_mixed_pool(context, short, long):
    context.capacities = build_worker_capacities(10)
    context.workflows = {}
    for identifier, count, seconds in (("a" * 16, short, 0.8), ("b" * 16, long, 9.0)):
        if count:
            _run_tasks(context, identifier, count, seconds)


@when("a workflow of 16 tasks of 0.8 s is submitted")
def submit_short(context):
    clock = SimpleNamespace(elapsed=timedelta)
    runtimes = RuntimeModel()
    step = StepSpec(count=16, millicores=1_000, memory_mb=1, estimate_ms=800)
    spec = build_workflow(step, identifier="c" * 16)
    due = dict.fromkeys(context.workflows, 100.0)
    demand = Demand(context.workflows, {}, {}, due, runtimes, clock)
    objective = runtimes.estimate_objective_seconds(spec)
    context.backlog = demand.measure_backlog(spec.service, context.capacities, objective)
    request = Request(
        chain_seconds=runtimes.estimate_chain_seconds(spec),
        work_core_seconds=runtimes.estimate_core_seconds(spec),
        objective_seconds=objective,
        age_seconds=0.0,
        long_running=False,
        scheduled=False,
        fits=True,
    )
    # The mean objective is that of the new workflow, so that only the backlog differs.
    backlog = context.backlog._replace(mean_objective_seconds=objective)
    context.admitted = decide_admission(request, backlog, 0.5).admitted


@then("all accepted work is expected to end within {seconds:g} s")
def check_finish(context, seconds):
    assert context.backlog.finish_seconds <= seconds, context.backlog


@then("the workflow is {outcome:w}")
def check_short_outcome(context, outcome):
    assert context.admitted == (outcome == "admitted"), context.backlog
