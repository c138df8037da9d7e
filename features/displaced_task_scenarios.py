"""Long-running tasks that lose their place while short tasks of 12 s fill all other workers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from restart_scenarios import PLAY_S, has_long, overload_workers, remove, scenario, submit_long

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from worker_model import ModelWorker, World

    from carawayshore.workflows.model import TaskName

# Longest work of a short task in the users' deployments.
SHORT_S = 12.0
SHORT_CORES = 2
# Three jobs of four tasks: they fill four workers of 12 cores, and fit on the other six.
JOBS, TASKS, CORES = 3, 4, 4
# Time in which short tasks have filled all workers.
FILL_S = 3.0
# Time after the notice at which its tasks have not been stopped yet.
BEFORE_STOP_S = 0.8
SUSPICION_CHECK_S = 0.1


def list_hosts_of_long(world: World) -> list[ModelWorker]:
    return [worker for worker in world.workers.values() if has_long(world, worker)]


@contextlib.asynccontextmanager
async def fill_workers(world: World, **step) -> AsyncIterator[list[ModelWorker]]:
    """Starts long-running jobs, and short tasks of 12 s at five times the capacity.

    Yields the workers of the long-running tasks.
    """
    world.draining_go_on = True
    for _ in range(JOBS):
        await submit_long(world, CORES, TASKS, **step)
    await asyncio.sleep(1.0)
    async with overload_workers(world, SHORT_CORES, SHORT_S):
        await asyncio.sleep(FILL_S)
        yield list_hosts_of_long(world)


def list_suspected(world: World) -> list[TaskName]:
    """Returns the long-running tasks under which the current owner has recorded a crash."""
    return [
        name
        for workflow in world.current.owner.workflows.values()
        if workflow.is_long_running
        for name, task in workflow.iterate_ordered_tasks()
        if task.losses
    ]


def register(text: str, displace: Callable, **step) -> None:
    @scenario(text)
    async def play(world: World) -> None:
        async with fill_workers(world, **step) as workers:
            await displace(world, workers)
            await asyncio.sleep(PLAY_S)


async def drain_all(world: World, workers: list[ModelWorker]) -> None:
    for worker in workers:
        worker.drain()


async def drain_in_turn(world: World, workers: list[ModelWorker]) -> None:
    for worker in workers:
        worker.drain()
        await asyncio.sleep(2.5)


async def remove_all(world: World, workers: list[ModelWorker]) -> None:
    for worker in workers:
        remove(world, worker)


async def cordon_all(world: World, workers: list[ModelWorker]) -> None:
    for worker in workers:
        await world.cordon(worker.name, 120.0)


async def drain_and_hand_over(world: World, workers: list[ModelWorker]) -> None:
    await drain_all(world, workers)
    for _ in range(10):
        await asyncio.sleep(2.0)
        await world.hand_over()


async def drain_and_kill_owner(world: World, workers: list[ModelWorker]) -> None:
    await drain_all(world, workers)
    await asyncio.sleep(1.5)
    await world.kill_owner()


register("four workers drain at once", drain_all)
register("four workers drain in turn", drain_in_turn)
register("four workers are gone for good at once", remove_all)
register("four workers drain at once and the owner hands over every 2 s", drain_and_hand_over)
register("four workers drain at once and the owner is killed 1.5 s later", drain_and_kill_owner)
register("four workers under gangs drain at once", drain_all, gang=True)
register("four workers are cordoned, and one task of each job may be away", cordon_all, most_away=1)
register(
    "four workers are cordoned, and four tasks of each job may be away", cordon_all, most_away=4
)


@scenario("a long-running job starts while short tasks of 12 s fill all workers")
async def play_start(world: World) -> None:
    async with overload_workers(world, SHORT_CORES, SHORT_S):
        await asyncio.sleep(FILL_S)
        await submit_long(world, CORES, TASKS)
        await asyncio.sleep(PLAY_S)


@scenario("four workers drain at once and the owner is killed before it stops their tasks")
async def play_lost_owner(world: World) -> None:
    async with fill_workers(world) as workers:
        await drain_all(world, workers)
        await asyncio.sleep(BEFORE_STOP_S)
        await world.kill_owner()
        for _ in range(int(PLAY_S / SUSPICION_CHECK_S)):
            world.suspected.update(list_suspected(world))
            await asyncio.sleep(SUSPICION_CHECK_S)
