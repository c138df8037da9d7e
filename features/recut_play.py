"""Seeded plays of workers that restart under their identifiers and are cut off, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

from restart_scenarios import LONG_S
from virtual_time import play
from worker_model import World

WORKER_COUNT = 6
STOP_S = 0.05
ROUNDS = 5
# Time in which the clocks of the first lives get ahead of those of the next ones.
FIRST_LIFE_S = 12.0
CALM_S = 12.0
CHANGES = ("", "", "take_over", "hand_over", "kill_owner")


async def _submit(world: World, rng: Random) -> None:
    if rng.random() < 0.5:
        await world.submit(rng.choice([2, 4]), rng.randint(1, 4), LONG_S, long_running=True)
    else:
        await world.submit(rng.choice([2, 4]), rng.randint(1, 6), rng.choice([3.0, 12.0]))


async def _change_owner(world: World, rng: Random) -> None:
    change = rng.choice(CHANGES)
    if change:
        await getattr(world, change)()


async def _recut(world: World, rng: Random) -> None:
    """Has some workers restart, begin tasks, and lose their links soon after."""
    world.crash_downtime_s = rng.choice([0.1, 0.3, 0.6, 1.2])
    chosen = rng.sample(sorted(world.workers), rng.randint(1, 3))
    for name in chosen:
        world.workers[name].crash()
    await asyncio.sleep(world.crash_downtime_s + rng.choice([0.0, 0.05, 0.3, 1.0]))
    await _submit(world, rng)
    await asyncio.sleep(rng.choice([0.02, 0.05, 0.3]))
    await _change_owner(world, rng)
    await asyncio.sleep(rng.choice([0.0, 0.1, 0.3, 0.6, 1.2, 2.0]))
    for name in chosen:
        world.links[name] = rng.choice(["cut", "cut", "refused"])
    if rng.random() < 0.3:
        await _change_owner(world, rng)
    await _submit(world, rng)
    await asyncio.sleep(rng.choice([3.0, 6.0, 9.0]))
    world.links = dict.fromkeys(world.links, "")
    await asyncio.sleep(rng.choice([0.5, 2.0, 5.0]))


async def _play(seed: int) -> list[str]:
    rng = Random(seed)
    world = World(WORKER_COUNT, STOP_S)
    world.crashed_return_as_new = False
    world.entry_delay_s = rng.choice([0.01, 0.3, 1.0])
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(rng.randint(0, 2)):
            await _submit(world, rng)
        await asyncio.sleep(FIRST_LIFE_S)
        for _ in range(ROUNDS):
            await _recut(world, rng)
        await asyncio.sleep(CALM_S)
        return [text for text in world.violations if text.startswith("TWICE")]
    finally:
        await world.close()


def run_play(seed: int) -> list[str]:
    """Returns the tasks that ran twice in the play of a seed."""
    return play(_play(seed))
