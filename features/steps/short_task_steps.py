"""Steps on short tasks that are due, in virtual time."""

from __future__ import annotations

import asyncio
import os

from behave import then, when
from short_task_play import run_play
from virtual_time import play
from worker_model import World

WORKER_COUNT = 4
STOP_S = 0.05
PLAY_S = 20.0
CHECK_S = 0.05
# Limit of the rule on jobs that could run and do not.
LIMIT_S = 3.0


async def _lose_unanswered_orders(downtime_s: float) -> tuple[float, set[int]]:
    """Returns when all tasks of the job had started, from the return of the worker in seconds."""
    world = World(WORKER_COUNT, STOP_S)
    world.crashed_return_as_new = False
    world.crash_downtime_s = downtime_s
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        _, job = await asyncio.gather(
            world.submit(3, 2, 1.0, crash_delay=0.0), world.submit(3, 3, 1.0)
        )
        await world.wait_for_crashes(1)
        returns_at = world.now() + downtime_s
        started: set[int] = set()
        until = world.now() + PLAY_S
        while len(started) < world.steps[job].count and world.now() < until:
            await asyncio.sleep(CHECK_S)
            for worker in world.workers.values():
                started |= {task.index for task in worker.runs if task.workflow == job}
        return world.now() - returns_at, started
    finally:
        await world.close()


@when(
    "a job's tasks start together with one that crashes its worker at once, and the worker is back"
    " after {seconds:g} s"
)
def start_beside_crash(context, seconds):
    context.waited, context.started = play(_lose_unanswered_orders(seconds))


@then("each task of the job is at work or done within {seconds:g} s of its return")
def expect_started(context, seconds):
    assert context.waited <= seconds, (context.waited, context.started)


@when("{count:d} plays of short jobs from seed {first:d} on end with 20 s of calm")
def play_seeds(context, count, first):
    _play_seeds(context, count, first, has_further_kinds=False)


@when("{count:d} plays of short jobs of further kinds from seed {first:d} on end with 20 s of calm")
def play_further_seeds(context, count, first):
    _play_seeds(context, count, first, has_further_kinds=True)


def _play_seeds(context, count, first, *, has_further_kinds):
    count = int(os.environ.get("SHORT_TASK_PLAYS", count))
    first = int(os.environ.get("SHORT_TASK_SEED", first))
    context.broken = {
        seed: run_play(seed, has_further_kinds=has_further_kinds)
        for seed in range(first, first + count)
    }


@then("no job had nothing at work for 3 s in calm with room, and all have ended")
def expect_no_lost_job(context):
    broken = {seed: found for seed, found in context.broken.items() if found}
    assert not broken, broken
