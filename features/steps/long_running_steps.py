"""Steps on the time within which long-running tasks run again, in virtual time."""

from __future__ import annotations

import asyncio

import displaced_task_scenarios  # noqa: F401  Registers its scenarios.
import looptime
from behave import given, then, when
from restart_scenarios import SCENARIOS
from worker_model import World

STOP_S = 0.05
# Time after the scenario in which everything is calm.
SETTLE_S = 10.0


@given("{count:d} workers of 12 cores with long-running tasks")
def set_workers(context, count):
    context.worker_count = count


@when("for 30 s or more {what}")
def play_scenario(context, what):
    async def play() -> None:
        world = context.world = World(context.worker_count, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            await SCENARIOS[what](world)
            await asyncio.sleep(SETTLE_S)
            world.restarts.check()
        finally:
            await world.close()

    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(play())
    finally:
        loop.close()


@then("each long-running task ran again within {seconds:g} s")
def expect_restarts(context, seconds):
    restarts = context.world.restarts
    late = {task: away for task, away in restarts.longest.items() if away > seconds}
    assert not late, late


@then("no long-running task with room for it was away for longer than rule LOST allows")
def expect_rule(context):
    assert not context.world.violations, context.world.violations


@then("no long-running task would have had to run again if the room of short tasks were free")
def expect_rule_beside_short(context):
    found = context.world.restarts.overdue_beside_short
    assert not found, found


@then("no worker was sent a start of one task more than {count:d} times")
def expect_starts(context, count):
    found = {key: sent for key, sent in context.world.sent_starts.items() if sent > count}
    assert not found, found


@then("no owner broke a promise while the tasks moved")
def expect_promises(context):
    assert not context.world.violations, context.world.violations


@then("no long-running task is suspected of a crash")
def expect_no_suspicion(context):
    assert not context.world.suspected, context.world.suspected


@then("no long-running task is left on a cordoned worker")
def expect_evacuated(context):
    world = context.world
    left = [
        task
        for name in world.cordoned
        for task in world.workers[name].runs
        if world.steps[task.workflow].long_running
    ]
    assert not left, left
