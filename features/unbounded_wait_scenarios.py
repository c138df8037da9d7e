"""Short tasks that are kept from starting beside room, in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from worker_model import World

if TYPE_CHECKING:
    from carawayshore.workflows.model import TaskName

STOP_S = 0.05
# Time in which a worker ends a long-running task in order, so that tasks move one after the other.
SLOW_STOP_S = 1.5
SETTLE_S = 2.0
WATCH_S = 0.05


class Wait(NamedTuple):
    """What was seen of a short job.

    Parameters
    ----------
    seconds : float
        Time until the job was at work, or the length of the play.
    violations : list of str
        Promises of the platform and rules that were broken.
    absent : list of str
        Long-running tasks that were not at work at the end.
    """

    seconds: float
    violations: list[str]
    absent: list[str]


def find_workers(world: World, identifier: str) -> dict[TaskName, str]:
    """Returns the workers that run tasks of a job."""
    return {
        task: worker.name
        for worker in world.workers.values()
        for task in worker.runs
        if task.workflow == identifier
    }


async def measure_wait(world: World, identifier: str, since: float, limit_s: float) -> float:
    """Returns for how long a job has not been at work, from a time on in seconds."""
    for _ in range(int(limit_s / WATCH_S)):
        if find_workers(world, identifier):
            break
        await asyncio.sleep(WATCH_S)
    return world.now() - since


async def wait_beside_claims(run_s: float, cordon_s: float, play_s: float) -> Wait:
    """Submits a task of half a worker while tasks move one after the other off cordoned workers.

    Each claim of the tasks that are still at work leaves less than half of a worker.
    """
    world = World(8, SLOW_STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(SETTLE_S)
        long_job = await world.submit(
            7, 4, 1e6, long_running=True, most_per_worker=1, most_away=1, label="a"
        )
        await asyncio.sleep(SETTLE_S)
        for name in find_workers(world, long_job).values():
            await world.cordon(name, cordon_s)
        await asyncio.sleep(0.1)
        job, since = await world.submit(6, 1, run_s), world.now()
        seconds = await measure_wait(world, job, since, play_s)
        await asyncio.sleep(play_s - seconds)
        running = find_workers(world, long_job)
        absent = [
            f"{long_job}.{index}"
            for index in range(4)
            if index not in {task.index for task in running}
        ]
        return Wait(seconds, world.violations, absent)
    finally:
        await world.close()


async def _begin(world: World) -> str:
    """Submits a job of half a worker, and returns the worker that runs it."""
    await world.take_over()
    await asyncio.sleep(SETTLE_S)
    # Each worker keeps a short run that has not ended when one is to be reserved.
    await world.submit(3, len(world.workers), 60.0, most_per_worker=1)
    job = await world.submit(6, 1, 5.0)
    await asyncio.sleep(1.0)
    return next(iter(find_workers(world, job).values()))


async def lose_worker(*, kills_owner: bool, refuses_s: float = 0.0, play_s: float) -> Wait:
    """Loses the worker of a job for good, beside workers with short runs of other jobs.

    The others refuse each start for ``refuses_s`` from then on.
    """
    world = World(4, STOP_S)
    try:
        worker, job = await _begin(world), f"{len(world.jobs) - 1:016x}"
        since = world.now()
        world.workers[worker].leave()
        if refuses_s:
            world.refusals.update(dict.fromkeys(world.workers, "full"))
            asyncio.get_running_loop().call_later(refuses_s, world.refusals.clear)
        if kills_owner:
            await world.kill_owner()
        seconds = await measure_wait(world, job, since, play_s)
        return Wait(seconds, world.violations, [])
    finally:
        await world.close()


async def refuse_beside_suspicion(play_s: float) -> Wait:
    """Submits a job while one worker refuses each start and the others are suspected."""
    world = World(3, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(SETTLE_S)
        owner = world.current.owner
        for name, link in owner.links.items():
            if name == "w0":
                world.refusals[name] = "full"
            else:
                link.capacity.suspect_until = world.current.clock.elapsed().total_seconds() + 24.0
        job, since = await world.submit(6, 1, 1.0), world.now()
        seconds = await measure_wait(world, job, since, play_s)
        return Wait(seconds, world.violations, [])
    finally:
        await world.close()
