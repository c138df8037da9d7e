"""Seeded plays of short jobs under disturbances of every kind, each followed by a calm time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from restart_scenarios import LONG_S
from virtual_time import play
from worker_model import World

from carawayshore.workflows.model import AdviceConfig

if TYPE_CHECKING:
    from collections.abc import Callable

WORKER_COUNT = 5
LATE_WORKERS = 4
ACTIONS_PER_PLAY = 16
# Calm time at the end, after which each accepted short job has ended.
CALM_SECONDS = 20.0
STOP_SECONDS = 0.05
WAITS = (0.0, 0.01, 0.05, 0.3, 0.3, 1.0, 1.0, 2.5, 6.0)
SECONDS = (0.2, 0.2, 1.0, 2.0)
LINKS = ("cut", "slow", "late", "lost", "refused")
REFUSALS = ("full", "status 429")
ADVICE = AdviceConfig(300, 5, 60_000)
CORDON_S = 4.0

ACTIONS: dict[str, Callable] = {}


def action(*, weight: int = 1) -> Callable:
    """Registers an action of the plays."""

    def register(function: Callable) -> Callable:
        for number in range(weight):
            ACTIONS[f"{function.__name__}-{number}"] = function
        return function

    return register


def _pick(world: World, rng: Random) -> str:
    return rng.choice(sorted(world.workers))


def _draw_step(rng: Random) -> dict:
    return rng.choice([{}, {}, {}, {"most_per_worker": 1}, {"advice": ADVICE}])


@action(weight=5)
async def submit(world: World, rng: Random) -> None:
    await world.submit(
        rng.choice([1, 2, 4, 7]),
        rng.randint(1, 4),
        rng.choice(SECONDS),
        chain=rng.randint(1, 3),
        **_draw_step(rng),
    )


@action(weight=2)
async def submit_beside_crashing(world: World, rng: Random) -> None:
    """Submits a job together with one that crashes the workers of its first task."""
    delay = rng.choice([0.0, 0.0, 0.004, 0.05, 0.5])
    crashing = world.submit(rng.choice([1, 3]), rng.randint(1, 2), 1.0, crash_delay=delay)
    await asyncio.gather(crashing, submit(world, rng))


@action()
async def submit_long(world: World, rng: Random) -> None:
    await world.submit(rng.choice([2, 4]), rng.randint(1, 3), LONG_S, long_running=True)


@action()
async def cancel(world: World, rng: Random) -> None:
    await world.cancel(rng.randrange(20))


@action()
async def take_over(world: World, rng: Random) -> None:
    await world.take_over()


@action()
async def hand_over(world: World, rng: Random) -> None:
    await world.hand_over()


@action()
async def kill_owner(world: World, rng: Random) -> None:
    await world.kill_owner()


@action()
async def bounce(world: World, rng: Random) -> None:
    await world.bounce(rng.choice([0.0, 0.02, 0.3]))


@action(weight=3)
async def disturb_link(world: World, rng: Random) -> None:
    world.links[_pick(world, rng)] = rng.choice(LINKS)


@action()
async def restore_links(world: World, rng: Random) -> None:
    world.links = dict.fromkeys(world.links, "")


@action()
async def stall_store(world: World, rng: Random) -> None:
    world.store.append_seconds = rng.choice([0.2, 1.0, 3.0])


@action()
async def restore_store(world: World, rng: Random) -> None:
    world.store.append_seconds = 0.0


@action(weight=2)
async def crash(world: World, rng: Random) -> None:
    worker = world.workers[_pick(world, rng)]
    if not worker.gone:
        worker.crash()


@action(weight=2)
async def restart(world: World, rng: Random) -> None:
    worker = world.workers[_pick(world, rng)]
    if not worker.gone:
        worker.restart(worker.cores)


@action()
async def drain(world: World, rng: Random) -> None:
    worker = world.workers[_pick(world, rng)]
    if not worker.gone and worker.state == "ready":
        worker.drain()


@action()
async def cordon(world: World, rng: Random) -> None:
    """Cordons a worker; the cordon ends by itself, as that of a holder that has gone."""
    await world.cordon(_pick(world, rng), CORDON_S)


@action()
async def refuse(world: World, rng: Random) -> None:
    world.refusals[_pick(world, rng)] = rng.choice(REFUSALS)


@action()
async def deny(world: World, rng: Random) -> None:
    world.denied.add(_pick(world, rng))


def _end_disturbances(world: World) -> None:
    world.links = dict.fromkeys(world.links, "")
    world.store.append_seconds = 0.0
    world.refusals.clear()
    world.denied.clear()
    for number in range(LATE_WORKERS):
        world.add_worker(f"late{number}")
    world.note_disturbance()


async def _list_unfinished(world: World) -> list[str]:
    found = []
    for identifier in set(world.accepted) - world.cancelled - world.crash_delays.keys():
        state = (await world.current.owner.read_state(identifier)).detail
        is_over = state == "completed" or (state == "failed" and world.has_losses(identifier))
        if not world.steps[identifier].long_running and not is_over:
            found.append(f"LOST: {identifier} is shown as {state} after {CALM_SECONDS:g} s of calm")
    return found


async def _play(seed: int) -> list[str]:
    rng = Random(seed)
    world = World(WORKER_COUNT, STOP_SECONDS)
    world.crashed_return_as_new = rng.random() < 0.3
    world.crash_downtime_s = rng.choice([0.8, 1.5, 3.0, 6.0])
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(ACTIONS_PER_PLAY):
            await ACTIONS[rng.choice(sorted(ACTIONS))](world, rng)
            await asyncio.sleep(rng.choice(WAITS))
        _end_disturbances(world)
        await asyncio.sleep(CALM_SECONDS)
        return world.violations + await _list_unfinished(world)
    finally:
        await world.close()


def run_play(seed: int) -> list[str]:
    """Returns the promises that are broken in the play of a seed."""
    return play(_play(seed))
