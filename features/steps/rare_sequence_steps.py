"""Steps on calls that are carried out by the next incarnation of their worker."""

from __future__ import annotations

import asyncio
import logging

from behave import given, then, when
from owner_builders import ManualClock
from rare_sequence_builders import (
    add_field,
    damage,
    hold_renewal,
    hold_start,
    lose_claim_repeatedly,
    read_record,
    wait_beside_long_run,
)
from virtual_time import play

from carawayd.process.logs import MAX_LINES_PER_SECOND, RateLimitFilter


@given("workers of 12 cores that have been up for 30 s")
def note_workers(context):
    context.outcome = None


@when(
    "a start order is held up for 12 s, its worker restarts, gets no stop order, falls silent, and"
    " the owner is killed"
)
def play_kill(context):
    context.outcome = play(hold_start(kill=True))


@when(
    "a start order is held up for 12 s, its worker restarts, gets no stop order, falls silent, and"
    " the owner goes on"
)
def play_same(context):
    context.outcome = play(hold_start(kill=False))


@when("a renewal is held up for 12 s, its worker restarts, runs a task, and is cut off after it")
def play_renewal(context):
    context.outcome = play(hold_renewal())


@then("no owner started a task twice")
def expect_no_second_run(context):
    violations, was_carried_out = context.outcome
    assert was_carried_out, "the call was not carried out"
    assert not violations, violations


@given("2 workers of 12 cores, one with a task of 6 cores that takes 60 s")
def note_long_task(context):
    context.waited = None


@when("a long-running task of 12 cores waits beside small tasks at five times their capacity")
def play_long_task(context):
    context.waited = play(wait_beside_long_run())


@then("the long-running task runs within {seconds:g} s")
def expect_start(context, seconds):
    assert context.waited is not None, "the task did not run within 30 s"
    assert context.waited <= seconds, context.waited


def _build_record(level: int, message: str) -> logging.LogRecord:
    return logging.LogRecord("carawayd.partition", level, "", 0, message, None, None)


@given("a log that has written its 50 lines of this second")
def fill_log(context):
    context.filter = RateLimitFilter(ManualClock(10.0))
    for _ in range(MAX_LINES_PER_SECOND):
        assert context.filter.filter(_build_record(logging.INFO, "tasks ordered"))


@when("the line on a long-running task that is not at work follows")
def log_wait(context):
    record = _build_record(logging.WARNING, "long-running task is not at work")
    context.was_written = context.filter.filter(record)


@then("the log writes it")
def expect_line(context):
    assert context.was_written


@given("a long-running job of 3 tasks, and the record of its step with one field more in each row")
def note_record(context):
    context.outcome = None


@when("its owner is killed and the next one takes over")
def play_later_record(context):
    context.outcome = play(read_record(add_field))


@given("a long-running job of 3 tasks, and the record of its step without its end")
def note_damaged_record(context):
    context.outcome = None


@when("its owner is killed and the next one reads the damaged record")
def play_damaged_record(context):
    context.outcome = play(read_record(damage))


@then("no task runs twice")
def expect_no_twice(context):
    violations, _ = context.outcome
    assert not [item for item in violations if item.startswith("TWICE")], violations


@given("a repeatable job of the embedded mode on a worker that has fallen silent")
def note_job(context):
    context.job_state = None


@when("the holder loses the claim for 2.5 s every 22 s, and 200 s pass")
def play_claims(context):
    context.job_state = asyncio.run(lose_claim_repeatedly())


@then("the job is queued again")
def expect_queued(context):
    assert context.job_state == "queued", context.job_state
