"""Steps on long-running tasks whose worker is gone, in virtual time."""

from __future__ import annotations

import asyncio

import looptime
from behave import given, then, when
from worker_model import World

STOP_S = 0.05
LONG_S = 1_000.0
CORES_PER_TASK = 3
TASKS_PER_WORKER = 4
IDLE_WORKERS = 4
# Longest lease that an owner gives, with the margins that it adds.
LEASE_S = 5.0
RESTART_LIMIT_S = 6.0


def _run(play) -> None:
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(play)
    finally:
        loop.close()


@given("workers of 12 cores, one full of tasks of a long-running job and one with its other tasks")
def set_tasks(context):
    context.task_count = 2 * TASKS_PER_WORKER


@when("the worker with the other tasks is gone for good, and there are idle workers")
def lose_worker(context):
    async def play() -> None:
        world = context.world = World(2 + IDLE_WORKERS, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            await world.submit(CORES_PER_TASK, context.task_count, LONG_S, long_running=True)
            await asyncio.sleep(2.0)
            busy = [worker for worker in world.workers.values() if worker.runs]
            assert len(busy) == 2, [worker.name for worker in busy]
            busy[1].leave()
            await asyncio.sleep(LEASE_S + RESTART_LIMIT_S)
            context.running = sum(len(worker.runs) for worker in world.workers.values())
        finally:
            await world.close()

    _run(play())


@then("all tasks of the job run again within 6 s after their leases are over")
def expect_running(context):
    assert context.running == context.task_count, (context.running, context.task_count)
