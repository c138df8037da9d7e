"""Steps on workers that return after a fault, in virtual time."""

from __future__ import annotations

from behave import then, when
from virtual_time import play
from worker_recovery_builders import run_fault


@when("a worker that runs tasks has {fault}")
def play_fault(context, fault):
    context.recovery = play(run_fault(fault))


@then("its link is usable within {seconds:g} s after it reports and its entry is current")
def expect_usable(context, seconds):
    assert context.recovery.usable_after <= seconds, context.recovery


@then("a task that needs the whole worker has begun there within {seconds:g} s")
def expect_at_work(context, seconds):
    assert context.recovery.at_work_after <= seconds, context.recovery


@then("the fault has led to no broken promise")
def expect_promises(context):
    assert not context.recovery.violations, context.recovery.violations
