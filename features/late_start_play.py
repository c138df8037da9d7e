"""Seeded plays of start orders that arrive late at workers which restart, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from driver_watch import watch_drivers
from restart_scenarios import LONG_S
from short_task_play import (
    bounce,
    cancel,
    crash,
    hand_over,
    kill_owner,
    restart,
    restore_links,
    submit,
    take_over,
)
from virtual_time import play
from worker_model import World

if TYPE_CHECKING:
    from collections.abc import Callable

WORKER_COUNT = 5
STOP_S = 0.05
ACTIONS_PER_PLAY = 20
# Longer than any order is late.
CALM_S = 20.0
# Time from the start of a worker in which nobody else can know of it (docs/platform.md): an order
# that arrives then is dropped.
UNKNOWN_START_S = 1.2
WAITS = (0.0, 0.02, 0.1, 0.3, 0.5, 1.0, 2.0)
LATE_S = (0.2, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0, 12.0)
# Promises that late orders may break; waits in calm are judged by other plays.
PROMISES = ("TWICE", "LIMIT", "UNASKED", "UNDRIVEN")


async def submit_long(world: World, rng: Random) -> None:
    options = rng.choice([{}, {"gang": True}])
    await world.submit(rng.choice([2, 4]), rng.randint(1, 3), LONG_S, long_running=True, **options)


async def submit_gang(world: World, rng: Random) -> None:
    await world.submit(rng.choice([1, 3]), rng.randint(2, 4), 1.0, gang=True)


async def delay_starts(world: World, rng: Random) -> None:
    world.late_starts[rng.choice(sorted(world.workers))] = rng.choice(LATE_S)


async def end_delays(world: World, rng: Random) -> None:
    world.late_starts.clear()


async def lose_stop_answers(world: World, rng: Random) -> None:
    world.lost_stop_answers[rng.choice(sorted(world.workers))] = rng.randint(1, 5)


async def disturb_link(world: World, rng: Random) -> None:
    world.links[rng.choice(sorted(world.workers))] = rng.choice(["cut", "slow", "lost", "refused"])


async def crash_and_back(world: World, rng: Random) -> None:
    """Crashes a worker, and once more soon after it is back."""
    name = rng.choice(sorted(world.workers))
    if not world.workers[name].gone:
        world.workers[name].crash()
        await asyncio.sleep(world.crash_downtime_s + rng.choice([0.2, 1.0, 2.0]))
        if not world.workers[name].gone:
            world.workers[name].crash()


ACTIONS: tuple[tuple[Callable, int], ...] = (
    (submit, 4),
    (submit_long, 2),
    (submit_gang, 2),
    (delay_starts, 4),
    (end_delays, 1),
    (lose_stop_answers, 1),
    (crash, 3),
    (crash_and_back, 3),
    (restart, 1),
    (disturb_link, 1),
    (restore_links, 2),
    (cancel, 1),
    (take_over, 1),
    (hand_over, 1),
    (kill_owner, 1),
    (bounce, 1),
)


async def _play(seed: int) -> list[str]:
    rng = Random(seed)
    world = World(WORKER_COUNT, STOP_S)
    world.crashed_return_as_new = False
    world.crash_downtime_s = rng.choice([0.3, 0.8, 1.5])
    world.late_orders_need_age_s = UNKNOWN_START_S
    watch_drivers(world)
    functions, weights = zip(*ACTIONS, strict=True)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(ACTIONS_PER_PLAY):
            (function,) = rng.choices(functions, weights)
            await function(world, rng)
            await asyncio.sleep(rng.choice(WAITS))
        world.links = dict.fromkeys(world.links, "")
        world.late_starts.clear()
        world.lost_stop_answers.clear()
        await asyncio.sleep(CALM_S)
        return [text for text in world.violations if text.startswith(PROMISES)]
    finally:
        await world.close()


def run_play(seed: int) -> list[str]:
    """Returns the promises that are broken in the play of a seed."""
    return play(_play(seed))
