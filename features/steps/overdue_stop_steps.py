"""Steps on runs that go on although their job has ended."""

from __future__ import annotations

import logging

from behave import then, when
from owner_builders import WORKER, OwnerHarness

from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import CANCELLED

TASK = TaskName("a" * 16, 0, 0, 0)
REPORT_S = 0.5


class _Records(logging.Handler):
    """Keeps the fields of the lines with one message."""

    def __init__(self, message: str) -> None:
        super().__init__()
        self.fields: list[dict] = []
        self._message = message

    def emit(self, record: logging.LogRecord) -> None:
        if record.getMessage() == self._message:
            self.fields.append(record.fields)


@when("the worker lists run {run:d} for {seconds:d} s more")
def list_for_a_while(context, run, seconds):
    harness: OwnerHarness = context.harness
    context.lines = _Records("a run goes on although it was stopped")
    logger = logging.getLogger("carawayd.partition.workerlink")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    for number in range(int(seconds / REPORT_S)):
        harness.clock.seconds += REPORT_S
        harness.report([(TASK, run)], clock_ms=60_000 + int(number * REPORT_S * 1000))


@when("its job ends without a stop order")
def end_job(context):
    context.harness.owner.workflows[TASK.workflow].state = CANCELLED


@when("its job is cancelled, the worker leaves the list and the next owner takes over")
def cancel_and_take_over(context):
    harness: OwnerHarness = context.harness
    harness.run(harness.owner.cancel(TASK.workflow))
    context.harness = harness.succeed()
    context.add_cleanup(context.harness.close)
    _scan(context.harness)


def _scan(harness: OwnerHarness) -> None:
    async def scan() -> None:
        harness.owner._scan_workers()

    harness.run(scan())


@when("calls to the worker get no response for {seconds:d} s")
def lose_calls(context, seconds):
    harness: OwnerHarness = context.harness
    link = harness.owner.links[WORKER]
    for _ in range(2):
        harness.run(link._handle_poll_failure("no response"))
        harness.clock.seconds += seconds / 2
    harness.run(link._handle_poll_failure("no response"))


@then('run {run:d} is reported {count:d} times as going on, with the state of its job "{state}"')
@then('run {run:d} is reported {count:d} time as going on, with the state of its job "{state}"')
def expect_lines(context, run, count, state):
    found = [(line["run"], line["job"]) for line in context.lines.fields]
    assert found == [(run, state)] * count, context.lines.fields
