"""Workers on which more runs end than one report lists, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from worker_model import World

STOP_S = 0.05
# Time for which an owner or a worker is silent, shorter than a lease.
SILENT_S = 3.0
# Run time of the tasks, time in which all of them start, and time before their ends at which a
# disturbance begins.
RUN_S, START_S, LEAD_S = 3.0, 1.0, 1.0
# Time in which everything is settled after the last end.
SETTLE_S = 8.0
# Time in which all ends are acknowledged once an owner can reach the worker: one poll of a worker
# without tasks.
ACKNOWLEDGE_S = 6.0
TASKS_PER_JOB = 100

_DISTURBANCES: dict[str, Callable[[World], Awaitable[None]]] = {}


def disturbance(name: str):
    """Registers what happens while the runs of a worker end."""

    def register(function):
        _DISTURBANCES[name] = function
        return function

    return register


@disturbance("the owner is killed")
async def _kill_owner(world: World) -> None:
    await world.kill_owner()


@disturbance("the owner is killed twice")
async def _kill_owners(world: World) -> None:
    await world.kill_owner()
    await world.kill_owner()


@disturbance("the worker is cut off for 3 s")
async def _cut_worker(world: World) -> None:
    for name in world.workers:
        world.links[name] = "cut"
    await asyncio.sleep(SILENT_S)
    for name in world.workers:
        world.links[name] = ""


@disturbance("the answers of the worker are lost for 3 s")
async def _lose_answers(world: World) -> None:
    for name in world.workers:
        world.links[name] = "lost"
    await asyncio.sleep(SILENT_S)
    for name in world.workers:
        world.links[name] = ""


@disturbance("the store answers appends after 3 s")
async def _slow_store(world: World) -> None:
    world.store.append_seconds = SILENT_S
    await asyncio.sleep(SILENT_S)
    world.store.append_seconds = 0.0


@disturbance("the partition moves to another owner and back")
async def _bounce(world: World) -> None:
    await world.bounce(0.5)


async def _start_jobs(world: World, tasks: int, **step) -> list[str]:
    """Starts jobs of ``TASKS_PER_JOB`` tasks, or one gang; returns their identifiers."""
    size = tasks if step.get("gang") else TASKS_PER_JOB
    jobs = [await world.submit(0, size, RUN_S, **step) for _ in range(tasks // size)]
    await asyncio.sleep(START_S)
    running = [len(worker.runs) for worker in world.workers.values()]
    assert max(running) == tasks, running
    return jobs


async def end_runs(name: str, tasks: int, **step) -> tuple[list[str], list[str]]:
    """Has all runs of one worker end during a disturbance.

    Returns the broken promises, and the jobs that are not shown as completed.
    """
    world = World(2, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(SILENT_S)
        await _start_jobs(world, tasks, **step)
        await asyncio.sleep(RUN_S - START_S - LEAD_S)
        await _DISTURBANCES[name](world)
        await asyncio.sleep(RUN_S + SETTLE_S)
        return world.violations, await world.list_unfinished()
    finally:
        await world.close()


async def cancel_before_takeover(tasks: int) -> tuple[int, int]:
    """Has runs of cancelled jobs end while there is no owner.

    Returns how many ends the next owner finds, and how many it has not acknowledged in time.
    """
    world = World(2, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        await _start_jobs(world, tasks)
        [worker] = [worker for worker in world.workers.values() if worker.runs]
        world.links[worker.name] = "cut"
        for index in range(tasks // TASKS_PER_JOB):
            await world.cancel(index)
        await world.kill_owner()
        await asyncio.sleep(RUN_S)
        found = len(worker.ended)
        world.links[worker.name] = ""
        await asyncio.sleep(ACKNOWLEDGE_S)
        return found, len(worker.ended)
    finally:
        await world.close()
