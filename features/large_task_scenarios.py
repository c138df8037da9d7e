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
MACHINES, LONG_MEMORY_MB, LARGE_MEMORY_MB = 9, 8_000, 60_000
# Longer than any scenario; and the duration of the step before the one that is judged.
NEVER_S, DUE_S = 1_000.0, 13.0
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


async def wait_behind_cordons(gap: float, lifetime: float, changes: int) -> list[str]:
    """Returns what the watch finds of a task whose only workers got orders without an answer.

    Demand falls and rises again while orders to machines get no answer: the moves are cancelled,
    and the workers stay cordoned for the time in which the orders may still be carried out. The
    holder of the fleet changes ``changes`` times, each time after ``lifetime`` seconds, and with
    ``gap`` seconds without one.
    """
    fleet = FleetWorld(LONG_TASKS, MACHINES - LONG_TASKS)
    world = fleet.world
    watch = EndWatch(world)
    watching = asyncio.ensure_future(watch.watch())
    fleet.machines.late_seconds = NEVER_S
    try:
        await fleet.start()
        step = StepSpec(
            count=LONG_TASKS,
            millicores=1000,
            memory_mb=LONG_MEMORY_MB,
            estimate_ms=500,
            long_running=True,
            most_per_worker=1,
        )
        await world.submit_steps([(step, LONG_S)])
        burst = StepSpec(count=40, millicores=6000, memory_mb=100, estimate_ms=4000)
        await world.submit_steps([(burst, 4.0)])
        await asyncio.sleep(8.0)
        fleet.machines.mode = "unanswered"
        for _ in range(int(LIMIT_S / CHECK_S)):
            if fleet.holder._orders.list_unanswered():
                break
            await asyncio.sleep(CHECK_S)
        first, second = _build_memory(100, DUE_S), _build_memory(LARGE_MEMORY_MB, 1.0)
        await world.submit_steps([(first, DUE_S), (second, 1.0)])
        free = [
            worker
            for worker in watch.list_counted()
            if not any(run.memory_mb == LONG_MEMORY_MB for run in worker.runs.values())
        ]
        filler = _build_memory(LARGE_MEMORY_MB, HELD_S)
        usable = [item for item in free if not world.current.owner.links[item.name].cordoned]
        await world.submit_steps([(filler._replace(count=len(usable)), 3 * HELD_S)])
        await asyncio.sleep(0.5)
        fleet.machines.mode = ""
        watch.begin()
        for _ in range(changes):
            await asyncio.sleep(lifetime)
            await fleet.lose_holder(gap)
        await asyncio.sleep(FINISH_S + IDLE_LIMIT_S + WATCHED_S)
        return watch.findings
    finally:
        watching.cancel()
        await fleet.close()


def _build_memory(memory_mb: int, seconds: float) -> StepSpec:
    return StepSpec(count=1, millicores=1000, memory_mb=memory_mb, estimate_ms=int(seconds * 1000))
