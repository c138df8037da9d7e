"""Steps on runs that go on although their job has ended."""

from __future__ import annotations

import logging

from behave import then, when
from owner_builders import OwnerHarness

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


@then('run {run:d} is reported {count:d} times as going on, with the state of its job "{state}"')
@then('run {run:d} is reported {count:d} time as going on, with the state of its job "{state}"')
def expect_lines(context, run, count, state):
    found = [(line["run"], line["job"]) for line in context.lines.fields]
    assert found == [(run, state)] * count, context.lines.fields
