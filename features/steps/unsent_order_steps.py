"""Steps on start orders that wait, are dropped, or fail in an unexpected way."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from order_builders import build_held_owner
from owner_builders import BORN, WORKER

from carawayd.partition.workerlink import SENDING, UNKNOWN, StartOrder
from carawayd.platform.runs import WorkerReport
from carawayd.supervision import unexpected_errors
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import WAITING

JOB = "a" * 16
TASK = TaskName(JOB, 0, 0, 0)
ORDER = StartOrder(1, "text", "")


@given("an owner whose start orders wait for a connection")
def hold_orders(context):
    harness, context.held_runs = build_held_owner()
    context.harness = harness
    context.add_cleanup(harness.close)
    harness.add_workflow(JOB, 2000)
    harness.list_worker()
    harness.report(clock_ms=50_000)


def _act_while_order_waits(context, act, release) -> None:
    """Acts while a start order waits, then ends its wait."""
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.order(TASK, 1, state=SENDING, absence_certain_after_ms=0)

    async def run() -> None:
        sending = asyncio.ensure_future(harness.owner._send_orders([(link, TASK, ORDER)]))
        for _ in range(5):
            await asyncio.sleep(0)
        await act()
        await release(link)
        await sending
        for _ in range(10):
            await asyncio.sleep(0)

    harness.run(run())


async def _report(link) -> None:
    await link._process_report(WorkerReport(70_000, BORN, [], []))


@when("the job is cancelled while its start order waits for a report")
def cancel_before_report(context):
    _act_while_order_waits(context, lambda: context.harness.owner.cancel(JOB), _report)


@when("the job is cancelled while its start order waits for the connection")
def cancel_before_connection(context):
    async def connect(link) -> None:
        context.held_runs.connected.set()

    _act_while_order_waits(context, lambda: context.harness.owner.cancel(JOB), connect)


@when("the worker is cordoned while a start order of a long-running task waits for a report")
def cordon_before_report(context):
    harness = context.harness
    del harness.owner.workflows[JOB]
    harness.add_workflow(JOB, 2000, long_running=True, most_away=1)
    _act_while_order_waits(context, lambda: harness.owner.cordon([WORKER, 30.0]), _report)


def _fail_with_orders(context, break_something) -> None:
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.order(TASK, 1, state=SENDING, absence_certain_after_ms=0)
    context.errors_before = unexpected_errors.count
    break_something(link)

    async def send() -> None:
        harness.owner._start_sending([(link, TASK, ORDER)])
        for _ in range(10):
            await asyncio.sleep(0)

    harness.run(send())


@when("sending a start order ends in an unexpected error")
def fail_to_send(context):
    def break_client(link) -> None:
        context.harness.runs.error = RuntimeError("unexpected")

    _fail_with_orders(context, break_client)
    context.harness.runs.error = None


@when("handing over start orders ends in an unexpected error")
def fail_to_hand_over(context):
    def break_lookup(link) -> None:
        find = context.harness.owner._find_task

        def fail(name):
            context.harness.owner._find_task = find
            raise RuntimeError("unexpected")

        context.harness.owner._find_task = fail

    _fail_with_orders(context, break_lookup)


@when("placing tasks ends in an unexpected error after an order was created")
def fail_to_place(context):
    harness = context.harness
    owner = harness.owner
    workflow = owner.workflows[JOB]
    owner._open_step(workflow, workflow.steps[0, 0])

    def fail(placement) -> None:
        raise RuntimeError("unexpected")

    owner._log_orders = fail

    async def plan() -> None:
        owner._plan()

    errors = unexpected_errors.count
    harness.run(plan())
    assert unexpected_errors.count == errors + 1, unexpected_errors.count
    assert TASK in owner.links[WORKER].orders


@when("the worker reports after the order has expired and lists nothing")
def report_after_expiry(context):
    context.harness.report(clock_ms=70_000)


@then("neither a start nor a stop was sent")
def expect_nothing_sent(context):
    sent = [call for call in context.harness.runs.calls if call[0] in ("start", "stop")]
    assert not sent, sent


@then("no start was sent")
def expect_no_start_order(context):
    assert not [call for call in context.harness.runs.calls if call[0] == "start"]


@then("the worker has its whole room")
def expect_whole_room(context):
    link = context.harness.owner.links[WORKER]
    assert not link.orders, link.orders
    assert not link.capacity.millicores


@then("the task waits to be placed elsewhere")
def expect_waiting(context):
    assert context.harness.owner._find_task(TASK)[2].status == WAITING
    assert TASK not in context.harness.owner.links[WORKER].orders


@then("the error is counted")
def expect_counted(context):
    assert unexpected_errors.count > context.errors_before


@then("it is not known whether the run started")
def expect_unknown(context):
    assert context.harness.owner.links[WORKER].orders[TASK].state == UNKNOWN
