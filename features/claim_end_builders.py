"""Ways in which a task with a claim ends or changes, in virtual time, and the claims left after."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from worker_model import WORKER_CORES, World

from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from collections.abc import Callable

WORKER_COUNT = 2
STOP_S = 0.05
CHECK_S = 0.02
LIMIT_S = 8.0
FILLING_CORES, FILLING_S = 8, 3.5
SMALL_CORES, SMALL_S = 4, 1.0
# Short runs that leave less than a task with a claim needs, and use less than half of each worker.
LIGHT_CORES, LIGHT_S, CLAIMED_WORKERS = 5, 20.0, 4
# Time for which short runs last that keep the claimed room in use, and time until all have ended.
LONG_S = 1000.0

CHANGES: dict[str, Callable] = {}


class ClaimsLeft(NamedTuple):
    """State after a change.

    Parameters
    ----------
    needless : list of str
        Claims of tasks that do not wait, on workers that cannot be used, or that the registry of
        claims lacks.
    small_at_work_after : float
        Seconds until a short job is at work on each worker, for which there is room unless it is
        claimed.
    """

    needless: list[str]
    small_at_work_after: float


def change(name: str) -> Callable:
    """Registers a change of a claimed task, given the world, the job and its claimed worker."""

    def register(function: Callable) -> Callable:
        CHANGES[name] = function
        return function

    return register


@change("is cancelled")
async def cancel(world: World, job: str, worker: str) -> None:
    await world.cancel(world.accepted.index(job))


@change("is given up")
async def give_up(world: World, job: str, worker: str) -> None:
    owner = world.current.owner
    owner._give_up(owner.workflows[job], TaskName(job, 0, 0, 0), ())


@change("has its claimed worker cordoned")
async def cordon(world: World, job: str, worker: str) -> None:
    await world.cordon(worker)


@change("has its claimed worker crash")
async def crash(world: World, job: str, worker: str) -> None:
    world.workers[worker].crash()


@change("has its claimed worker drain")
async def drain(world: World, job: str, worker: str) -> None:
    world.workers[worker].drain()


@change("has its claimed worker restart")
async def restart(world: World, job: str, worker: str) -> None:
    world.workers[worker].restart(WORKER_CORES)


@change("has its claimed worker shrink")
async def shrink(world: World, job: str, worker: str) -> None:
    world.workers[worker].resize(SMALL_CORES)
    world.workers[worker].write_entry()


@change("has its claimed worker cut off")
async def cut(world: World, job: str, worker: str) -> None:
    world.links[worker] = "cut"


@change("gets another owner")
async def take_over(world: World, job: str, worker: str) -> None:
    await world.take_over()
    await asyncio.sleep(0.5)


@change("is placed")
async def place(world: World, job: str, worker: str) -> None:
    while not any(task.workflow == job for item in world.workers.values() for task in item.runs):
        world.workers[worker].advance()
        await asyncio.sleep(CHECK_S)


def list_needless_claims(world: World) -> list[str]:
    """Returns the claims that nobody uses, and amounts that differ from the claims."""
    owner, found = world.current.owner, []
    known = set(owner._claims.list_tasks())
    for link in owner.links.values():
        capacity = link.capacity
        amount = sum(usage.millicores for usage in capacity.claims.values())
        if amount != capacity.claimed_millicores:
            found.append(f"{link.worker} keeps {capacity.claimed_millicores} instead of {amount}")
        for name in capacity.claims:
            workflow, _, task = owner._find_task(name)
            is_used = task.status == WAITING and not workflow.is_terminal
            if name not in known or not is_used or not capacity.usable:
                found.append(f"{name} on {link.worker}, {task.status}, {workflow.state}")
    return found


async def run_change(name: str) -> ClaimsLeft:
    """Plays a change of a long-running task that waits with a claim on a worker that is in use."""
    world = World(WORKER_COUNT, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        await world.submit(FILLING_CORES, WORKER_COUNT, FILLING_S, most_per_worker=1)
        await asyncio.sleep(0.3)
        job = await world.submit(WORKER_CORES, 1, LONG_S, long_running=True)
        await asyncio.sleep(0.5)
        owner = world.current.owner
        claimed = owner._claims.find(TaskName(job, 0, 0, 0))
        assert claimed is not None, "the task has no claim"
        await CHANGES[name](world, job, claimed.entry.worker)
        # The owner learns of a change by a report, a scan or a failed call.
        await asyncio.sleep(0.3)
        needless = list_needless_claims(world)
        began = world.now()
        small = await world.submit(SMALL_CORES, WORKER_COUNT, SMALL_S, most_per_worker=1)
        while world.now() - began < LIMIT_S:
            runs = [task for item in world.workers.values() for task in item.runs]
            if sum(task.workflow == small for task in runs) == WORKER_COUNT:
                break
            await asyncio.sleep(CHECK_S)
        return ClaimsLeft(needless, world.now() - began)
    finally:
        await world.close()


async def run_short_beside_claims() -> float:
    """Plays a short job whose turn comes while every worker with room for it is claimed.

    Returns the seconds until it is at work. Less than half of the service is in use.
    """
    world = World(CLAIMED_WORKERS, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        await world.submit(LIGHT_CORES, CLAIMED_WORKERS, LIGHT_S, most_per_worker=1)
        await asyncio.sleep(0.5)
        await world.submit(FILLING_CORES, CLAIMED_WORKERS, LONG_S, long_running=True)
        began = world.now()
        small = await world.submit(SMALL_CORES, 1, SMALL_S)
        while world.now() - began < LIMIT_S:
            if any(task.workflow == small for item in world.workers.values() for task in item.runs):
                break
            await asyncio.sleep(CHECK_S)
        return world.now() - began
    finally:
        await world.close()
