"""Steps on large tasks beside long-running ones, judged at the end of the day, in virtual time."""

from __future__ import annotations

import os

from behave import then, when
from large_task_play import run_play
from large_task_scenarios import hold_back_large, wait_behind_cordons, wait_behind_large
from virtual_time import play


@when("{count:d} plays of large tasks from seed {first:d} on end with a judged time")
def play_seeds(context, count, first):
    count = int(os.environ.get("LARGE_TASK_PLAYS", count))
    first = int(os.environ.get("LARGE_TASK_SEED", first))
    context.broken = {seed: run_play(seed) for seed in range(first, first + count)}


@then("no task that could run at the end of the plays was kept from it for 3 s")
def expect_no_broken_promise(context):
    broken = {seed: found for seed, found in context.broken.items() if found}
    assert not broken, broken


@when(
    "a task of {large:d} cores waits beside one that has the only worker without a long-running"
    " task of {long:d} cores, with {on_standby:d} machines on standby"
)
def wait_for_worker(context, large, long, on_standby):
    context.wait = play(wait_behind_large(on_standby, long, large))


@then("the large task is at work within {seconds:g} s")
def expect_start(context, seconds):
    assert context.wait.seconds <= seconds, context.wait


@when("a large task waits in the judged time while {reason}")
def hold_back(context, reason):
    context.found, _ = play(hold_back_large(reason))


@then("the watch of the end reports {count:d} lost task")
def expect_findings(context, count):
    assert len(context.found) == count, context.found


@when(
    "a large task becomes due beside workers whose orders got no answer, and the fleet has had"
    " {changes:d} changes of its holder, {lifetime:g} s apart, each with {gap:g} s without one"
)
def wait_beside_cordons(context, changes, lifetime, gap):
    context.found = play(wait_behind_cordons(gap, lifetime, changes))
