"""Steps on large short tasks in pools of long-running tasks, in virtual time."""

from __future__ import annotations

import asyncio

from behave import then, when
from fleet_world import FleetWorld
from large_room_scenarios import play_scenario
from virtual_time import play
from worker_model import SERVICE

WATCH_S = 0.1


@when("a large short task is {what}")
def play_large_task(context, what):
    async def watch(fleet: FleetWorld) -> None:
        while True:
            machines = fleet.machines.machines.values()
            count = sum(item.pool == SERVICE for item in machines)
            context.most_machines = max(context.most_machines, count)
            await asyncio.sleep(WATCH_S)

    async def run() -> None:
        fleet = context.fleet = FleetWorld(*context.pool)
        context.most_machines = 0
        watching = asyncio.ensure_future(watch(fleet))
        try:
            await fleet.start()
            context.job = await play_scenario(fleet, what)
            fleet.world.restarts.check()
        finally:
            watching.cancel()
            await fleet.close()

    play(run())


@then("nothing of its job stood still for over {seconds:g} s")
def expect_short_wait(context, seconds):
    world = context.fleet.world
    assert context.job in world.accepted, "the job was not accepted"
    assert any(owner.owner.workflows[context.job].is_complete() for owner in world.owners)
    longest = world.short.longest.get(context.job, 0.0)
    assert longest <= seconds, f"{longest:.1f} s"


@then("its job was accepted")
def expect_accepted(context):
    assert context.job in context.fleet.world.accepted


@then("the pool never had more than {count:d} machines")
def expect_most_machines(context, count):
    assert context.most_machines <= count, context.most_machines
