"""Seeded plays of short jobs under disturbances of every kind, each followed by a calm time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from driver_watch import watch_drivers
from restart_scenarios import LONG_S
from short_watch import WATCH_INTERVAL_S
from virtual_time import play
from worker_model import WORKER_CORES, World

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

# Tasks of a step that has several records.
WIDE_STEP = 40
RESIZED_CORES = (4, 8, 12, 16)
JUMP_S = (-40.0, 5.0, 40.0)
MAX_FAILURES = 4

# Actions of all plays, and those of the plays of further kinds only.
ACTIONS: dict[str, Callable] = {}
FURTHER_ACTIONS: dict[str, Callable] = {}


def action(*, weight: int = 1, registry: dict[str, Callable] = ACTIONS) -> Callable:
    """Registers an action of the plays."""

    def register(function: Callable) -> Callable:
        for number in range(weight):
            registry[f"{function.__name__}-{number}"] = function
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


@action(weight=3, registry=FURTHER_ACTIONS)
async def submit_uneven(world: World, rng: Random) -> None:
    """Submits a job whose steps have different numbers of tasks."""
    widths = [rng.choice([1, 2, 5]) for _ in range(rng.randint(2, 3))]
    await world.submit(
        rng.choice([1, 4]),
        0,
        rng.choice(SECONDS),
        widths=widths,
        max_failures=MAX_FAILURES,
        **_draw_step(rng),
    )


@action(weight=2, registry=FURTHER_ACTIONS)
async def submit_wide(world: World, rng: Random) -> None:
    widths = rng.choice([(WIDE_STEP,), (1, WIDE_STEP), (WIDE_STEP, 2)])
    await world.submit(1, 0, rng.choice(SECONDS), widths=widths, max_failures=MAX_FAILURES)


@action(weight=2, registry=FURTHER_ACTIONS)
async def submit_gang(world: World, rng: Random) -> None:
    await world.submit(
        rng.choice([1, 4]), rng.randint(2, 4), rng.choice(SECONDS), gang=True, chain=2
    )


@action(registry=FURTHER_ACTIONS)
async def jump_time_of_day(world: World, rng: Random) -> None:
    world.current.clock.jump_seconds += rng.choice(JUMP_S)


@action(weight=2, registry=FURTHER_ACTIONS)
async def resize(world: World, rng: Random) -> None:
    world.workers[_pick(world, rng)].resize(rng.choice(RESIZED_CORES))


@action(registry=FURTHER_ACTIONS)
async def lose_answers_of_store(world: World, rng: Random) -> None:
    world.store.loses_answers = True


@action(registry=FURTHER_ACTIONS)
async def restore_answers_of_store(world: World, rng: Random) -> None:
    world.store.loses_answers = False


@action(registry=FURTHER_ACTIONS)
async def refuse_records(world: World, rng: Random) -> None:
    """Has the store refuse the records of some steps of an accepted job."""
    if world.accepted:
        identifier = rng.choice(world.accepted)
        keys = [f"{identifier}/0/{number}" for number in range(3)]
        keys += [f"{key}/{first}" for key in keys for first in range(0, WIDE_STEP, 32)]
        world.store.refused_keys.update(rng.sample(keys, 3))


@action(registry=FURTHER_ACTIONS)
async def accept_records(world: World, rng: Random) -> None:
    world.store.refused_keys.clear()


@action(weight=2, registry=FURTHER_ACTIONS)
async def fail_runs(world: World, rng: Random) -> None:
    """Has all runs on a worker fail, so that the owner suspects it."""
    world.failing.add(_pick(world, rng))


@action(registry=FURTHER_ACTIONS)
async def stop_failing(world: World, rng: Random) -> None:
    world.failing.clear()


@action(registry=FURTHER_ACTIONS)
async def unlist(world: World, rng: Random) -> None:
    world.unlisted.add(_pick(world, rng))


@action(registry=FURTHER_ACTIONS)
async def silence_entry(world: World, rng: Random) -> None:
    """Keeps a worker from writing its entry, which becomes too old to be used."""
    world.unheard.add(_pick(world, rng))


def _end_disturbances(world: World) -> None:
    world.links = dict.fromkeys(world.links, "")
    world.store.append_seconds = 0.0
    world.store.loses_answers = False
    world.store.refused_keys.clear()
    world.refusals.clear()
    world.denied.clear()
    world.failing.clear()
    world.unheard.clear()
    for name, worker in world.workers.items():
        worker.resize(WORKER_CORES)
        if not worker.gone:
            world.unlisted.discard(name)
    for number in range(LATE_WORKERS):
        world.add_worker(f"late{number}")
    world.note_disturbance()


async def _list_unfinished(world: World) -> list[str]:
    found = []
    for identifier in set(world.accepted) - world.cancelled - world.crash_delays.keys():
        state = (await world.current.owner.read_state(identifier)).detail
        may_fail = world.has_losses(identifier) or world.has_failures(identifier)
        is_over = state == "completed" or (state == "failed" and may_fail)
        if not world.steps[identifier].long_running and not is_over:
            found.append(f"LOST: {identifier} is shown as {state} after {CALM_SECONDS:g} s of calm")
    return found


async def _note_impairments(world: World) -> None:
    """Notes as disturbances what the watches of the world do not look at."""
    while True:
        if world.is_impaired:
            world.note_disturbance()
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _play(seed: int, actions: dict[str, Callable]) -> list[str]:
    rng = Random(seed)
    world = World(WORKER_COUNT, STOP_SECONDS)
    world.crashed_return_as_new = rng.random() < 0.3
    world.crash_downtime_s = rng.choice([0.8, 1.5, 3.0, 6.0])
    noting = asyncio.ensure_future(_note_impairments(world))
    watch_drivers(world)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(ACTIONS_PER_PLAY):
            await actions[rng.choice(sorted(actions))](world, rng)
            await asyncio.sleep(rng.choice(WAITS))
        _end_disturbances(world)
        await asyncio.sleep(CALM_SECONDS)
        return world.violations + await _list_unfinished(world)
    finally:
        noting.cancel()
        await world.close()


def run_play(seed: int, *, has_further_kinds: bool = False) -> list[str]:
    """Returns the promises that are broken in the play of a seed.

    Parameters
    ----------
    seed : int
    has_further_kinds : bool
        Whether ``FURTHER_ACTIONS`` are played as well.
    """
    return play(_play(seed, ACTIONS | FURTHER_ACTIONS if has_further_kinds else ACTIONS))
