"""Ends of workers in pools that are no wider than the steps of their long-running tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from displaced_elsewhere_scenarios import submit_sized
from restart_scenarios import LONG_S, submit_long

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fleet_world import FleetWorld

TASKS = 5
# Time in which a pool has shrunk to what it needs.
SHRINK_S = 9.0
# Time in which a displaced task has a place again, with the move of a machine.
RECOVERY_S = 12.0
WAVE_S = 26.0
# Two tasks of this size do not fit into the memory of a worker.
LARGE_MEMORY_MB = 40_000

SCENARIOS: dict[str, Callable[[FleetWorld], Awaitable[None]]] = {}


def scenario(text: str) -> Callable:
    """Registers a scenario under the words of the feature."""

    def register(play: Callable) -> Callable:
        SCENARIOS[text] = play
        return play

    return register


async def submit_wide(fleet: FleetWorld, **step) -> str:
    """Starts a job of which each worker may have one task, and lets its pool shrink."""
    job = await submit_long(fleet.world, 1, TASKS, most_per_worker=1, **step)
    await settle(fleet)
    return job


async def settle(fleet: FleetWorld) -> None:
    """Waits until the pool has the size that it needs; absences count from then on."""
    await asyncio.sleep(SHRINK_S)
    fleet.world.restarts.longest.clear()


@scenario("a worker leaves on notice")
async def play_departure(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    fleet.take_away(fleet.list_workers_of(job)[0])
    await asyncio.sleep(RECOVERY_S)


@scenario("workers leave on notice one after the other")
async def play_departures(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    for _ in range(3):
        fleet.take_away(fleet.list_workers_of(job)[0])
        await asyncio.sleep(RECOVERY_S)


@scenario("two workers leave on notice at once")
async def play_rack(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    for worker in fleet.list_workers_of(job)[:2]:
        fleet.take_away(worker)
    await asyncio.sleep(RECOVERY_S)


@scenario("a worker is gone for good")
async def play_loss(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    fleet.lose(fleet.list_workers_of(job)[0])
    await asyncio.sleep(RECOVERY_S)


@scenario("a worker leaves on notice while the machines service does not answer")
async def play_silent_service(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    fleet.machines.mode = "silent"
    fleet.take_away(fleet.list_workers_of(job)[0])
    await asyncio.sleep(RECOVERY_S)


@scenario("a worker leaves on notice while no order to a machine is answered")
async def play_unanswered_orders(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    fleet.machines.mode = "unanswered"
    fleet.take_away(fleet.list_workers_of(job)[0])
    await asyncio.sleep(RECOVERY_S)


@scenario("a worker leaves on notice while the fleet has no holder")
async def play_lost_holder(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet)
    losing = asyncio.ensure_future(fleet.lose_holder(8.0))
    await asyncio.sleep(0.5)
    fleet.take_away(fleet.list_workers_of(job)[0])
    await asyncio.sleep(RECOVERY_S)
    await losing


@scenario("a worker leaves on notice under tasks that need most of its memory")
async def play_memory(fleet: FleetWorld) -> None:
    world = fleet.world
    await submit_sized(world, 1, 4, LONG_S, LARGE_MEMORY_MB, long_running=True)
    await settle(fleet)
    fleet.take_away(next(name for name, worker in world.workers.items() if worker.runs))
    await asyncio.sleep(RECOVERY_S)


@scenario("its machines are taken through upkeep, two at once")
async def play_upkeep(fleet: FleetWorld) -> None:
    await submit_wide(fleet, most_away=1)
    fleet.begin_wave(WAVE_S, 2)
    await asyncio.sleep(WAVE_S + RECOVERY_S)


@scenario("its upkeep begins before a machine that left has been replaced, which takes 6 s")
async def play_upkeep_unanswered(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet, most_away=1)
    fleet.machines.mode = "unanswered"
    fleet.take_away(fleet.list_workers_of(job)[0])
    await asyncio.sleep(1.0)
    fleet.begin_wave(WAVE_S, 2)
    await asyncio.sleep(8.0)
    fleet.machines.mode = ""
    await asyncio.sleep(WAVE_S + RECOVERY_S)


@scenario("its machines are taken through upkeep while every third of its workers leaves")
async def play_upkeep_with_departures(fleet: FleetWorld) -> None:
    job = await submit_wide(fleet, most_away=1)
    fleet.begin_wave(WAVE_S, 2)
    for _ in range(2):
        await asyncio.sleep(6.0)
        fleet.take_away(fleet.list_workers_of(job)[0])
    await asyncio.sleep(WAVE_S + RECOVERY_S)


@scenario("it is wider than its pool when it is submitted")
async def play_start(fleet: FleetWorld) -> None:
    await asyncio.sleep(SHRINK_S)
    await submit_long(fleet.world, 1, 2 * TASKS, most_per_worker=1)
    await asyncio.sleep(RECOVERY_S)
