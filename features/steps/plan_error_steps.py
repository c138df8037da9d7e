"""Steps on unexpected errors in the plans of an owner, in virtual time."""

from __future__ import annotations

from behave import then, when
from plan_error_builders import lose_ledger_while_check_fails, run_plan_with_error
from virtual_time import play


@when("{what} fails for one job each time, and two jobs of {cores:d} cores are submitted after it")
def fail_placement(context, what, cores):
    context.outcome = play(run_plan_with_error(what, cores))


@then("the other jobs are at work within {seconds:g} s")
def expect_others(context, seconds):
    assert context.outcome.others_at_work <= seconds, context.outcome


@then("once the error is over that job is at work within {seconds:g} s")
def expect_job(context, seconds):
    assert context.outcome.at_work_after_error <= seconds, context.outcome


@when("a later owner writes to the partition while a check of the owner fails each time")
def lose_ledger(context):
    context.given_up_after = play(lose_ledger_while_check_fails())


@then("the owner gives the partition up within {seconds:g} s")
def expect_given_up(context, seconds):
    assert context.given_up_after <= seconds, context.given_up_after
