"""Steps on claims whose task or worker changes, in virtual time."""

from __future__ import annotations

from behave import then, when
from claim_end_builders import run_change, run_short_beside_claims
from virtual_time import play


@when("a long-running task that waits with a claim {change}")
def play_change(context, change):
    context.claims_left = play(run_change(change))


@then("0.3 s later each claim belongs to a task that waits and to a worker that is used")
def expect_no_needless_claim(context):
    assert not context.claims_left.needless, context.claims_left


@then("short tasks are at work in the room that it had claimed within {seconds:g} s")
def expect_small_at_work(context, seconds):
    assert context.claims_left.small_at_work_after <= seconds, context.claims_left


@when("a short task becomes due while long-running tasks claim the room of all workers")
def play_short_beside_claims(context):
    context.waited = play(run_short_beside_claims())


@then("it is at work within {seconds:g} s")
def expect_short_at_work(context, seconds):
    assert context.waited <= seconds, context.waited
