"""Steps on orderly handovers, and on owners that are killed or freeze instead."""

from __future__ import annotations

import asyncio

import looptime
from behave import then, when
from handover_builders import (
    change_owners_at_random,
    leave_around_handover,
    return_after_freeze,
)
from owner_builders import BORN, WORKER, OwnerHarness

from carawayd.partition.workerlink import SENDING, StartOrder
from carawayd.platform.common import PlatformError
from carawayshore.workflows.model import TaskName

TASK = TaskName("b" * 16, 0, 0, 0)


def _succeed(context) -> OwnerHarness:
    context.harness = context.harness.succeed()
    context.add_cleanup(context.harness.close)
    return context.harness


def _lose_poll(context) -> None:
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.runs.error = PlatformError("no response")

    async def poll() -> None:
        polling = asyncio.ensure_future(link._poll_reports.fun(link))
        await asyncio.sleep(0.1)
        polling.cancel()

    harness.run(poll())


def _hand_over(context) -> None:
    context.harness.run(context.harness.owner.hand_over())


@when("its last report is {seconds:g} s old, it hands over in order and the next owner takes over")
def hand_over(context, seconds):
    context.harness.clock.seconds += seconds
    _hand_over(context)
    _succeed(context).list_worker()
    _lose_poll(context)


@when("its last report is {seconds:g} s old, it hands over in order and the worker leaves the list")
def hand_over_unlisted(context, seconds):
    context.harness.clock.seconds += seconds
    _hand_over(context)
    harness = _succeed(context)

    async def scan() -> None:
        harness.owner._scan_workers()

    harness.run(scan())
    _lose_poll(context)


@when("its last report is {seconds:g} s old, it sends a start order and hands over in order")
def hand_over_after_order(context, seconds):
    harness = context.harness
    harness.clock.seconds += seconds
    harness.add_workflow(TASK.workflow, 1000)
    harness.order(TASK, 1, state=SENDING, absence_certain_after_ms=0)
    harness.assume_recent_report()
    harness.run(harness.owner.links[WORKER].start_task(TASK, StartOrder(1, "text", "")))
    _hand_over(context)
    _succeed(context).list_worker()
    _lose_poll(context)


@when("it hands over in order and the next owner takes over")
def hand_over_at_once(context):
    _hand_over(context)
    _succeed(context).list_worker()
    _lose_poll(context)


@when("its last report is {seconds:g} s old, it is killed and the next owner takes over")
def kill(context, seconds):
    context.harness.clock.seconds += seconds
    _succeed(context).list_worker()
    _lose_poll(context)


@when("the next owner reads a report, renews the lease and is killed")
def renew_and_kill(context):
    harness = context.harness
    harness.runs.error = None
    harness.report([(TASK._replace(workflow="a" * 16), 1)], clock_ms=43_000)
    harness.run(harness.owner.links[WORKER]._request_report())
    _succeed(context).list_worker()
    _lose_poll(context)


@when("a report to its call shows that the worker was born again")
def report_birth_to_call(context):
    harness = context.harness
    harness.run(harness.owner.links[WORKER]._request_report())
    harness.report(clock_ms=100, born=BORN + 7)


def _play(play) -> list[str]:
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        return loop.run_until_complete(play)
    finally:
        loop.close()


@when("workers leave around an orderly handover in {ways:d} ways with seed {seed:d}")
def play_leaving(context, ways, seed):
    context.findings = []
    for number in range(ways):
        context.findings += _play(leave_around_handover(1_000 * seed + number))


@when(
    "owners hand over and are killed around faults of the links in {ways:d} ways with seed {seed:d}"
)
def play_changes(context, ways, seed):
    context.findings = []
    for number in range(ways):
        context.findings += _play(change_owners_at_random(1_000 * seed + number))


@when("an owner freezes, another one renews the leases, and the first one gets the partition back")
def play_freeze(context):
    context.findings = _play(return_after_freeze())


@then("each long-running task runs again within 6 s and no task ran twice")
@then("no task ran twice")
def expect_no_findings(context):
    assert not context.findings, context.findings
