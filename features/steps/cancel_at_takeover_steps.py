"""Steps that cancel long-running jobs while owners follow each other, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

import looptime
from behave import then, when
from worker_model import World

WORKERS = 4
STOP_S = 0.2
LONG_S = 1_000.0
# ``cancel_ms`` and ``stopMs`` of the pages are 3.2 s together; a link that fails for up to 2 s
# delays a stop by as much.
LIMIT_S = 6.0
# Pause of a caller whose cancel was not acknowledged.
RETRY_S = 0.1
MAX_CANCELS = 20
MAX_LINK_FAULT_S = 2.0
# Longest time for which a worker is not listed after the owner has changed.
MAX_LATE_S = 3.0
LINK_FAULTS = ("", "", "cut", "late", "lost", "refused")


async def _disturb(world: World, random: Random) -> None:
    """Disturbs the link to one worker, or its entry in the list, for a while."""
    name = random.choice(list(world.workers))
    await asyncio.sleep(random.uniform(0.0, 1.0))
    world.links[name] = random.choice(LINK_FAULTS)
    if random.random() < 0.5:
        world.unlisted.add(name)
    await asyncio.sleep(random.uniform(0.2, MAX_LINK_FAULT_S))
    world.links[name] = ""
    if random.random() < 0.7:
        world.unlisted.discard(name)


async def _hide_workers(world: World, random: Random) -> None:
    """Lets workers be listed late or not at all, or answer slowly, while owners change."""
    for name in world.workers:
        kind = random.choice(("", "listed late", "not listed", "slow", "slow and listed late"))
        if "listed" in kind:
            world.unlisted.add(name)
        if "slow" in kind:
            world.links[name] = "slow"
        if "late" in kind:
            loop = asyncio.get_running_loop()
            loop.call_later(random.uniform(0.1, MAX_LATE_S), world.unlisted.discard, name)
    await asyncio.sleep(MAX_LATE_S)


async def _take_over_twice(world: World, random: Random) -> None:
    for _ in range(2):
        await asyncio.sleep(random.uniform(0.0, 0.8))
        if random.random() < 0.5:
            await world.take_over()
        else:
            await world.bounce(random.choice([0.0, 0.05, 0.3]))


async def _play(seed: int, disturb=_disturb) -> list[str]:
    random, world = Random(seed), World(WORKERS, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(2):
            await world.submit(1, 3, LONG_S, long_running=True, most_per_worker=1)
        await asyncio.sleep(random.uniform(0.5, 2.0))
        changes = [
            asyncio.ensure_future(_take_over_twice(world, random)),
            asyncio.ensure_future(disturb(world, random)),
        ]
        await asyncio.sleep(random.uniform(0.0, 1.6))
        is_acknowledged = False
        for _ in range(MAX_CANCELS):
            is_acknowledged = is_acknowledged or await world.cancel(0)
            await asyncio.sleep(RETRY_S)
        await asyncio.sleep(LIMIT_S)
        await asyncio.gather(*changes)
        if not is_acknowledged:
            return world.violations
        return [
            f"seed {seed}: {task} run {run.run} on {worker.name}"
            for worker in world.workers.values()
            for task, run in worker.runs.items()
            if task.workflow in world.cancelled
        ] + world.violations
    finally:
        await world.close()


def _play_ways(context, ways: int, seed: int, disturb) -> None:
    context.violations = []
    for number in range(ways):
        loop = looptime.new_event_loop(start=0, noop_cycles=2)
        try:
            context.violations += loop.run_until_complete(_play(1_000 * seed + number, disturb))
        finally:
            loop.close()


@when("a long-running job is cancelled around two takeovers in {ways:d} ways with seed {seed:d}")
def play_ways(context, ways, seed):
    _play_ways(context, ways, seed, _disturb)


@when(
    "a long-running job is cancelled around two takeovers in {ways:d} ways with seed {seed:d},"
    " and workers are listed late, not at all, or answer slowly"
)
def play_hidden_ways(context, ways, seed):
    _play_ways(context, ways, seed, _hide_workers)


@then("no task of it runs 6 s after the acknowledgement")
def expect_no_run(context):
    assert not context.violations, context.violations
