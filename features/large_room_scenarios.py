"""Large short tasks in pools whose size follows from the workers of long-running tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from displaced_elsewhere_scenarios import submit_sized
from pool_width_scenarios import settle
from restart_scenarios import LONG_S
from workflow_builders import build_workflow

from carawayd.partition.owner import ACCEPTED
from carawayshore.workflows.model import StepSpec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fleet_world import FleetWorld

# Each worker of 12 cores and 64,000 MB may have one of these tasks, and a large one fits on no
# worker that has one. The pool has one worker more than that.
LONG_TASKS, LONG_CORES, LONG_MEMORY_MB = 5, 6, 30_000
LARGE_CORES, LARGE_MEMORY_MB, SHORT_S = 7, 40_000, 4.0
# Larger than the mean worker of the pool if one of six has grown to the latter size.
OVERSIZED_CORES, GROWN_CORES = 16, 24
# A burst for which the pool gets further machines.
BURST_CORES, BURST_TASKS, BURST_S = 2, 48, 3.0
GROWN_AFTER_S = 4.0
# Time for which a machine is cordoned after an order that got no answer.
CORDON_S = 14.0
# Long enough for all tasks of a scenario, and for the pool to shrink again.
PLAY_S = 35.0

SCENARIOS: dict[str, Callable[[FleetWorld], Awaitable[str]]] = {}


def scenario(text: str) -> Callable:
    """Registers a scenario, which returns the job to look at, under the words of the feature."""

    def register(play: Callable) -> Callable:
        SCENARIOS[text] = play
        return play

    return register


async def submit_long_tasks(fleet: FleetWorld) -> None:
    """Starts a job on all workers but one, and lets the pool shrink to what it needs."""
    await submit_sized(
        fleet.world,
        LONG_CORES,
        LONG_TASKS,
        LONG_S,
        LONG_MEMORY_MB,
        long_running=True,
        most_per_worker=1,
    )
    await settle(fleet)


async def cordon_idle(fleet: FleetWorld) -> None:
    """Cordons the workers without runs, as a former holder of the fleet may have left them."""
    for name, worker in fleet.world.workers.items():
        if not worker.gone and not worker.runs:
            await fleet.world.current.owner.cordon([name, CORDON_S])


async def submit_chain(fleet: FleetWorld, *memory_mb: int) -> str:
    """Submits a job of one task a step, of which each waits for the one before it."""
    world = fleet.world
    identifier = f"{len(world.jobs):016x}"
    steps = [
        StepSpec(
            millicores=1000,
            memory_mb=amount,
            estimate_ms=500,
            after=(number - 1,) if number else (),
        )
        for number, amount in enumerate(memory_mb)
    ]
    world.steps[identifier] = steps[0]
    world.jobs[identifier] = (1, SHORT_S)
    workflow = build_workflow(*steps, identifier=identifier, stretch=50.0)
    if (await world.current.owner.submit(workflow)).outcome == ACCEPTED:
        world.accepted.append(identifier)
    return identifier


@scenario("submitted while the worker to spare is cordoned")
async def play_cordoned(fleet: FleetWorld) -> str:
    await submit_long_tasks(fleet)
    await cordon_idle(fleet)
    return await fleet.world.submit(LARGE_CORES, 1, SHORT_S)


@scenario("submitted by memory while the worker to spare is cordoned")
async def play_memory(fleet: FleetWorld) -> str:
    await submit_long_tasks(fleet)
    await cordon_idle(fleet)
    return await submit_chain(fleet, LARGE_MEMORY_MB)


@scenario("the second step of a job that was accepted while the worker to spare is cordoned")
async def play_second_step(fleet: FleetWorld) -> str:
    await submit_long_tasks(fleet)
    await cordon_idle(fleet)
    return await submit_chain(fleet, 1, LARGE_MEMORY_MB)


@scenario("the last step of a job whose first steps take longer than a pool keeps idle machines")
async def play_late_step(fleet: FleetWorld) -> str:
    await submit_long_tasks(fleet)
    await cordon_idle(fleet)
    return await submit_chain(fleet, 1, 1, LARGE_MEMORY_MB)


@scenario("submitted after the holder of the fleet has changed, with orders without an answer")
async def play_changed_holder(fleet: FleetWorld) -> str:
    await submit_long_tasks(fleet)
    await fleet.world.submit(BURST_CORES, BURST_TASKS, BURST_S)
    await asyncio.sleep(GROWN_AFTER_S)
    # None of the orders by which the pool returns machines after the burst is carried out.
    fleet.machines.mode = "unanswered"
    fleet.machines.late_seconds = 10 * PLAY_S
    await settle(fleet)
    assert fleet.holder._orders.list_unanswered(), "no order is without an answer"
    fleet.machines.mode = ""
    await fleet.lose_holder(1.0)
    await cordon_idle(fleet)
    return await fleet.world.submit(LARGE_CORES, 1, SHORT_S)


@scenario("submitted while the worker to spare runs, but has no entry")
async def play_unlisted(fleet: FleetWorld) -> str:
    world = fleet.world
    await submit_long_tasks(fleet)
    world.unlisted |= {
        name for name, worker in world.workers.items() if not worker.gone and not worker.runs
    }
    await settle(fleet)
    return await world.submit(LARGE_CORES, 1, SHORT_S)


@scenario("larger than the workers of the pool but for one that has grown")
async def play_oversized(fleet: FleetWorld) -> str:
    await submit_long_tasks(fleet)
    idle = [item for item in fleet.world.workers.values() if not item.gone and not item.runs]
    idle[0].resize(GROWN_CORES)
    await settle(fleet)
    job = await fleet.world.submit(OVERSIZED_CORES, 1, SHORT_S)
    await cordon_idle(fleet)
    return job


async def play_scenario(fleet: FleetWorld, what: str) -> str:
    job = await SCENARIOS[what](fleet)
    await asyncio.sleep(PLAY_S)
    return job
