"""Owners that hand over in order, are killed, or freeze, in the model of the workers."""

from __future__ import annotations

import asyncio
from random import Random

from worker_model import World

STOP_S = 0.05
LONG_S = 1_000.0
WORKERS = 4
LINK_FAULTS = ("cut", "lost", "refused", "late")
# Pause between two changes of the world.
MAX_PAUSE_S = 2.5
CHANGES = 8


async def build_busy_world(tasks: int) -> World:
    """Returns a world with a running long-running job of as many tasks, one on each worker."""
    world = World(WORKERS, STOP_S)
    await world.take_over()
    await asyncio.sleep(1.0)
    await world.submit(1, tasks, LONG_S, long_running=True, most_per_worker=1)
    await asyncio.sleep(1.5)
    return world


async def hand_over(world: World) -> None:
    """Has the current owner hand over in order, and starts the next one."""
    former = world.current.owner
    await former.hand_over()
    await world.take_over()
    await former.stop()


def hold_calls(world: World) -> asyncio.Event:
    """Holds back the calls of the current owner to the workers until the event is set."""
    runs, running = world.current.owner._runs, asyncio.Event()
    call = runs._call

    async def hold(worker, may_send, carry_out):
        await running.wait()
        return await call(worker, may_send, carry_out)

    runs._call = hold
    return running


async def leave_around_handover(seed: int) -> list[str]:
    """Has a worker leave around an orderly handover; returns what went wrong."""
    random, world = Random(seed), await build_busy_world(3)
    try:
        busy = [worker for worker in world.workers.values() if worker.runs]
        leaving = random.choice(busy)

        async def leave() -> None:
            await asyncio.sleep(random.uniform(0.0, 1.0))
            leaving.leave()
            world.links[leaving.name] = "refused"
            await asyncio.sleep(random.uniform(0.0, 1.0))
            world.unlisted.add(leaving.name)

        async def change_owner() -> None:
            await asyncio.sleep(random.uniform(0.0, 1.0))
            await hand_over(world)

        await asyncio.gather(leave(), change_owner())
        await asyncio.sleep(LIMIT_S)
        running = sum(len(worker.runs) for worker in world.workers.values())
        missing = [] if running == 3 else [f"seed {seed}: {running} of 3 tasks run"]
        return world.violations + missing
    finally:
        await world.close()


# From the end of a worker whose owner changes at the same time.
LIMIT_S = 6.0


async def change_owners_at_random(seed: int) -> list[str]:
    """Hands over and kills owners while links fail; returns the promises that were broken."""
    random, world = Random(seed), await build_busy_world(3)
    try:
        for _ in range(CHANGES):
            kind = random.choice(("hand over", "kill", "link", "link", "heal", "list"))
            name = random.choice(list(world.workers))
            if kind == "hand over":
                await hand_over(world)
            elif kind == "kill":
                await world.kill_owner()
            elif kind == "link":
                world.links[name] = random.choice(LINK_FAULTS)
            elif kind == "heal":
                world.links[name] = ""
            elif name in world.unlisted:
                world.unlisted.discard(name)
            else:
                world.unlisted.add(name)
            await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
        world.links = dict.fromkeys(world.links, "")
        world.unlisted.clear()
        await asyncio.sleep(2 * LIMIT_S)
        return [f"seed {seed}: {item}" for item in world.violations]
    finally:
        await world.close()


async def return_after_freeze() -> list[str]:
    """Freezes an owner while another one renews the leases, and gives the partition back."""
    world = await build_busy_world(1)
    try:
        former = world.current
        [busy] = [worker for worker in world.workers.values() if worker.runs]
        running = hold_calls(world)
        await asyncio.sleep(1.5)
        await world.take_over(stop_former=False)
        between = world.current.owner
        await asyncio.sleep(LIMIT_S)
        world.links[busy.name] = "cut"
        await between.stop()
        world.epoch += 1
        kept = await former.owner.raise_epoch(world.epoch)
        world.owners.append(former)
        running.set()
        if not kept:
            await former.owner.stop()
            await world.take_over(stop_former=False)
        await asyncio.sleep(2.0)
        world.links[busy.name] = ""
        await asyncio.sleep(LIMIT_S)
        return world.violations
    finally:
        await world.close()
