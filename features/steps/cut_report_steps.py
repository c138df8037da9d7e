"""Steps on reports of workers that can't list all ends at once."""

from __future__ import annotations

from behave import given, then, when
from cut_report_builders import cancel_before_takeover, end_runs
from virtual_time import play


@given("a worker that lists at most 500 ends in a report")
def note_worker(context):
    context.outcome = None


@when("{tasks:d} runs of it end while {disturbance}")
def play_ends(context, tasks, disturbance):
    context.outcome = play(end_runs(disturbance, tasks))


@when("a gang of {tasks:d} runs of it ends while {disturbance}")
def play_gang(context, tasks, disturbance):
    context.outcome = play(end_runs(disturbance, tasks, gang=True))


@when("{tasks:d} runs of cancelled jobs have ended there before the next owner reaches it")
def play_cancelled(context, tasks):
    found, context.unacknowledged = play(cancel_before_takeover(tasks))
    assert found == tasks, found


@then("no run was repeated")
def expect_no_second_run(context):
    violations, _ = context.outcome
    assert not violations, (len(violations), violations[:3])


@then("each of its jobs is shown as completed")
def expect_completed(context):
    _, unfinished = context.outcome
    assert not unfinished, unfinished


@then("it keeps no end for longer than 6 s")
def expect_no_end(context):
    assert context.unacknowledged == 0, context.unacknowledged
