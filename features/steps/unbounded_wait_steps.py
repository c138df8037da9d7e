"""Steps on short tasks that are kept from starting beside room."""

from __future__ import annotations

from behave import then, when
from unbounded_wait_scenarios import wait_beside_claims
from virtual_time import play

CORDON_S = 25.0
PLAY_S = 40.0


@when(
    "a short task of half a worker that takes {seconds:g} s is submitted while long-running tasks"
    " leave four of 8 workers in turn"
)
def submit_beside_claims(context, seconds):
    context.wait = play(wait_beside_claims(seconds, CORDON_S, PLAY_S))


@then("the short job is at work within {seconds:g} s")
def expect_at_work(context, seconds):
    assert context.wait.seconds <= seconds, context.wait


@then("no rule is broken, and each long-running task is at work in the end")
def expect_rules_kept(context):
    assert not context.wait.violations, context.wait
    assert not context.wait.absent, context.wait
