"""Steps about the admission of workflows while the store is slow."""

from __future__ import annotations

from behave import given, then, when

from carawayshore.workflows.admission import (
    Backlog,
    Request,
    decide_admission,
    estimate_store_delay,
)

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
