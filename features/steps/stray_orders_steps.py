"""Steps on ordered runs that nothing tracks."""

from __future__ import annotations

from behave import given, then, when
from owner_builders import WORKER, OwnerHarness

from carawayd.partition.workerlink import SENDING, STARTED
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import WAITING

JOB = "a" * 16
TASK = TaskName(JOB, 0, 0, 0)
CLOCK_MS = 40_000
CHECK_STEP_S = 0.1


def _order(context, state: str, certain_after_ms: int) -> OwnerHarness:
    harness = context.harness = OwnerHarness()
    context.add_cleanup(harness.close)
    task = harness.add_workflow(JOB, 2000)
    harness.list_worker()
    harness.report(clock_ms=CLOCK_MS)
    harness.order(task, 1, state=state, absence_certain_after_ms=certain_after_ms)
    return harness


@given("an owner that lost track of run 1 of a job on its worker")
def lose_order(context):
    harness = _order(context, STARTED, CLOCK_MS)
    link = harness.owner.links[WORKER]
    del link.orders[TASK]
    link.capacity.release(TASK)


@given("an owner that lost track of run 1 of a job on its worker, and the link to it")
def lose_link(context):
    del _order(context, STARTED, CLOCK_MS).owner.links[WORKER]


@given("an owner whose call with run 1 of a job ended without an outcome")
def lose_call(context):
    _order(context, SENDING, CLOCK_MS + 1_500)


@given("an owner whose order of run 1 of a job waits for its record")
def delay_record(context):
    _order(context, SENDING, 0)


def _pass(context, seconds: float) -> None:
    owner = context.harness.owner
    for _ in range(round(seconds / CHECK_STEP_S)):
        context.harness.clock.seconds += CHECK_STEP_S
        owner._stray_orders.check(owner._track_stray_order)


@when("{seconds:g} s pass without a report")
def pass_time(context, seconds):
    _pass(context, seconds)


@when("{seconds:g} s pass and the worker reports {what}")
def report_later(context, seconds, what):
    _pass(context, seconds)
    content, _, later = what.partition(", ")
    clock_ms = CLOCK_MS + int(1000 * (seconds + float(later.split()[0] if later else 0)))
    running = [(TASK, 1)] if content == "the run" else []
    context.harness.report(running, clock_ms=clock_ms)


@then("the lost task is {state}")
def expect_state(context, state):
    owner = context.harness.owner
    task = owner._find_task(TASK)[2]
    is_tracked = TASK in owner.links[WORKER].orders
    found = f"ordered, {'tracked' if is_tracked else 'untracked'}"
    if task.status == WAITING:
        found = "waiting"
    assert found == state, found


@then("the lost task waits for the leases of its worker")
def expect_orphan(context):
    assert context.harness.owner._orphans == {TASK: WORKER}
