"""Steps on the count of pending jobs."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from pending_job_builders import (
    OrderedJob,
    count_restored,
    play_orders_without_start,
    play_quiet_starts,
    play_work_that_is_lost,
)
from virtual_time import play

from carawayd.partition.replies import FOUND, UNREADY, Reply
from carawayd.process.ownercalls import COUNT_PENDING, OwnerCalls


@when("six jobs are submitted, their start orders {fault} for 7 s, and {change} comes after 2 s")
def submit_jobs(context, fault, change):
    context.counts, context.unfinished = play(play_orders_without_start(fault, change))


@then("no job without a start was left out of a count")
def expect_all_counted(context):
    assert max(count.waiting for count in context.counts) == 6, "the fault had no effect"
    wrong = [count for count in context.counts if count.pending < count.waiting]
    assert not wrong, wrong[:3]


@then("in the end all jobs are completed and none is counted")
def expect_completed(context):
    assert not context.unfinished, context.unfinished
    assert context.counts[-1].pending == 0, context.counts[-1]


@when("a job was at work for {seconds:g} s, and {loss} comes with {change}")
def lose_work(context, seconds, loss, change):
    context.counts = play(play_work_that_is_lost(seconds, loss, change))


@then("it is not counted from 2 s after its start and the change on")
def expect_not_counted(context):
    assert len(context.counts) > 50, len(context.counts)
    wrong = [count for count in context.counts if count.pending]
    assert not wrong, (len(wrong), wrong[:3])


@given("a job of a gang of {count:d} tasks, all ordered")
def order_gang(context, count):
    context.job = OrderedJob(count=count, gang=True)
    context.add_cleanup(context.job.harness.close)


@given("a job of one task with an unanswered run elsewhere and a copy on the worker")
def order_copy(context):
    context.job = OrderedJob(count=1, speculative=True)
    context.add_cleanup(context.job.harness.close)
    context.job.add_copy()


@given("a job of one task, ordered for the second time")
def order_again(context):
    context.job = OrderedJob(count=1, run=2)
    context.add_cleanup(context.job.harness.close)


def _list_runs(context, number, percent):
    job = context.job
    job.harness.report([(task, 1) for task in job.tasks[:number]], percent=percent)


@when("the worker lists the first {number:d} of them without progress")
@when("the worker lists all {number:d} of them without progress")
def list_waiting(context, number):
    _list_runs(context, number, 0)


@when("the worker lists the first {number:d} of them at work")
def list_working(context, number):
    _list_runs(context, number, 5)


@when("the worker lists the end alone of the first of them")
def list_end(context):
    context.job.harness.report(ended=[(context.job.tasks[0], 1, "alone")])


@when("the worker lists the copy")
def list_copy(context):
    context.job.harness.report([(context.job.tasks[0], 2)], percent=0)


@when("the worker lists its first run")
def list_former_run(context):
    _list_runs(context, 1, 0)


@then("the job is counted as pending")
def expect_pending(context):
    assert context.job.count_pending() == 1


@then("the job is not counted as pending")
def expect_started(context):
    assert context.job.count_pending() == 0


@when("an owner takes over a job whose task is recorded as {row}")
def take_over_record(context, row):
    context.pending = count_restored(row)


@then("{count:d} jobs are counted as pending")
def expect_count(context, count):
    assert context.pending == count, context.pending


@when("{jobs:d} jobs start within 2 s and run on, and nothing else is recorded")
def start_quietly(context, jobs):
    context.appends = play(play_quiet_starts(jobs))


@then("their starts took at most {count:d} appends")
def expect_appends(context, count):
    assert context.appends <= count, context.appends


@when("a count is asked of an owner whose membership has run out")
def ask_former_owner(context):
    async def count(queue: str) -> Reply:
        return Reply(FOUND, 0)

    names = ("submit", "confirm_absence", "read_state", "cancel", "report_load", "cordon")
    owner = SimpleNamespace(**dict.fromkeys((*names, "uncordon", "count_pending"), count))
    ownership = SimpleNamespace(find_owner=lambda partition: owner, is_current=lambda: False)
    calls = OwnerCalls(ownership, SimpleNamespace(), None)
    context.reply, _ = asyncio.run(calls.call_once(0, COUNT_PENDING, "slots", 1.0))


@then("the answer is that another owner may know it")
def expect_unready(context):
    assert context.reply.outcome == UNREADY, context.reply
