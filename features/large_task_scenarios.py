"""Large short tasks in a pool whose workers each run a long-running task."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from end_watch import FINISH_S, IDLE_LIMIT_S, EndWatch
from fleet_world import FleetWorld
from restart_scenarios import LONG_S
from worker_model import World

from carawayshore.workflows.model import StepSpec, TaskName

LONG_TASKS = 3
# Time in which the pool has the size that it needs.
SETTLED_S = 12.0
# Time for which the first large task takes the only worker that has room for one.
HELD_S = 20.0
CHECK_S, LIMIT_S = 0.05, 30.0
WORKERS, STOP_S, LARGE_CORES = 4, 0.05, 8
# Time for which the watches go on after the limit of the rule.
WATCHED_S = 2.0


class Wait(NamedTuple):
    """Time to the start of a large task in seconds, and what machines the standby pool had then."""

    seconds: float
    on_standby: int


async def wait_behind_large(on_standby: int, long_cores: int, large_cores: int) -> Wait:
    """Returns for how long a large task waits beside another one, without any disturbance.

    Each worker but one runs a long-running task, beside which the large ones find no room.
    """
    fleet = FleetWorld(LONG_TASKS + 1, on_standby)
    world = fleet.world
    try:
        await fleet.start()
        step = StepSpec(
            count=LONG_TASKS,
            millicores=long_cores * 1000,
            memory_mb=100,
            estimate_ms=500,
            long_running=True,
            most_per_worker=1,
            most_away=1,
        )
        await world.submit_steps([(step, LONG_S)])
        await asyncio.sleep(SETTLED_S)
        await _submit_large(world, large_cores, HELD_S)
        await asyncio.sleep(1.0)
        task = TaskName(await _submit_large(world, large_cores, 1.0), 0, 0, 0)
        since = world.now()
        while world.now() - since < LIMIT_S:
            if any(task in worker.runs for worker in world.workers.values()):
                break
            await asyncio.sleep(CHECK_S)
        machines = fleet.machines.machines.values()
        return Wait(world.now() - since, sum(item.pool != "booking" for item in machines))
    finally:
        await fleet.close()


async def _submit_large(world: World, cores: int, seconds: float) -> str:
    return await world.submit_steps([(_build_large(cores, seconds), seconds)])


def _build_large(cores: int, seconds: float) -> StepSpec:
    return StepSpec(
        count=1, millicores=cores * 1000, memory_mb=1_000, estimate_ms=int(seconds * 1000)
    )


async def hold_back_large(reason: str) -> tuple[list[str], list[str]]:
    """Keeps a large task waiting beside free workers; returns what the two watches found."""
    world = World(WORKERS, STOP_S)
    watch = EndWatch(world)
    watching = asyncio.ensure_future(watch.watch())
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        watch.begin()
        await asyncio.sleep(FINISH_S)
        step = _build_large(LARGE_CORES, 1.0)
        await world.submit_steps([(step, 1.0), (step, 1.0)])
        # The second step becomes due on cordoned workers.
        await asyncio.sleep(0.5)
        for name in list(world.workers)[: -1 if reason == "one worker is free" else None]:
            await world.cordon(name)
        await asyncio.sleep(0.5)
        await asyncio.sleep(IDLE_LIMIT_S + WATCHED_S)
        return watch.findings, world.short.overdue
    finally:
        watching.cancel()
        await world.close()
