"""Steps on pools whose long-running tasks need each of their workers, in virtual time."""

from __future__ import annotations

import os

from behave import given, then, when
from fleet_play import run_play
from fleet_world import FleetWorld
from pool_width_scenarios import SCENARIOS
from virtual_time import play
from worker_model import SERVICE


@given("a pool of {in_service:d} machines, and {on_standby:d} on standby")
def set_pool(context, in_service, on_standby):
    context.pool = (in_service, on_standby)


@when("a job has a task on each worker and {what}")
def play_scenario(context, what):
    async def run() -> None:
        fleet = context.fleet = FleetWorld(*context.pool)
        try:
            await fleet.start()
            await SCENARIOS[what](fleet)
            fleet.world.restarts.check()
        finally:
            await fleet.close()

    play(run())


@then("each of its tasks ran again within {seconds:g} s")
def expect_restarts(context, seconds):
    restarts = context.fleet.world.restarts
    late = {str(task): round(away, 1) for task, away in restarts.longest.items() if away > seconds}
    runs = [
        run.run for worker in context.fleet.world.workers.values() for run in worker.runs.values()
    ]
    assert restarts.longest or max(runs) > 1, "no task was away"
    assert not late, late


@then("no order to a machine has ended a task")
def expect_no_ended_runs(context):
    assert not context.fleet.machines.ended_runs, context.fleet.machines.ended_runs


@then("the upkeep of all machines has begun in time")
def expect_upkeep(context):
    fleet = context.fleet
    (known,) = fleet.waves.values()
    present = [fleet.machines.machines.get(name) for name in known.wave.machines]
    late = [item.name for item in present if item is not None and not item.waves]
    assert not late, late


@then("the pool has at most {count:d} machines at the end")
def expect_size(context, count):
    machines = context.fleet.machines.machines.values()
    found = [item.name for item in machines if item.pool == SERVICE]
    assert len(found) <= count, found


@then("no owner broke a promise in the pool")
def expect_promises(context):
    assert not context.fleet.world.violations, context.fleet.world.violations


@when("{count:d} plays of pools from seed {first:d} on end with 20 s of calm")
def play_seeds(context, count, first):
    count = int(os.environ.get("POOL_PLAYS", count))
    first = int(os.environ.get("POOL_SEED", first))
    context.broken = {seed: run_play(seed) for seed in range(first, first + count)}


@then("no task of the plays was away in calm, and none was ended by an order")
def expect_no_broken_promise(context):
    broken = {seed: found for seed, found in context.broken.items() if found}
    assert not broken, broken
