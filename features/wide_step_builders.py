"""Wide steps under an owner whose store limits its records, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from worker_model import World

STOP_S = 0.05
# Limit of a record, far below the record of all tasks of a wide step.
RECORD_BYTES = 16_384
WIDTH = 400
LONG_S = 1_000.0
START_S, SETTLE_S = 3.0, 15.0

_DISTURBANCES: dict[str, Callable[[World], Awaitable[None]]] = {}


def disturbance(name: str):
    """Registers what happens to a wide step that runs."""

    def register(function):
        _DISTURBANCES[name] = function
        return function

    return register


def list_busy(world: World):
    return [worker for worker in world.workers.values() if worker.runs]


@disturbance("its workers crash and start again")
async def _crash(world: World) -> None:
    for worker in list_busy(world):
        worker.crash()
    await asyncio.sleep(4.0)


@disturbance("its workers crash twice")
async def _crash_twice(world: World) -> None:
    await _crash(world)
    await asyncio.sleep(2.0)
    await _crash(world)


@disturbance("its workers crash and the owner is killed")
async def _crash_and_kill(world: World) -> None:
    for worker in list_busy(world):
        worker.crash()
    await world.kill_owner()
    await asyncio.sleep(4.0)


@disturbance("the owner is killed")
async def _kill(world: World) -> None:
    await world.kill_owner()


@disturbance("the owner hands over twice")
async def _hand_over(world: World) -> None:
    await world.hand_over()
    await asyncio.sleep(0.5)
    await world.hand_over()


@disturbance("the store answers appends after 2 s")
async def _slow_store(world: World) -> None:
    world.store.append_seconds = 2.0
    await asyncio.sleep(4.0)
    world.store.append_seconds = 0.0


@disturbance("its workers are cut off for 6 s")
async def _cut(world: World) -> None:
    for name in world.workers:
        world.links[name] = "cut"
    await asyncio.sleep(6.0)
    for name in world.workers:
        world.links[name] = ""


class Outcome(NamedTuple):
    """What became of a wide step and of a small job that was accepted beside it.

    Parameters
    ----------
    violations : list of str
    running : int
        Number of tasks of the wide step that run at the end.
    unfinished : list of str
    refusals : int
        Appends that the store refused for good.
    largest_record : int
        Size in bytes of the largest record that was written.
    """

    violations: list[str]
    running: int
    unfinished: list[str]
    refusals: int
    largest_record: int


async def disturb(name: str) -> Outcome:
    """Disturbs a wide step, while a small job of two steps runs beside it."""
    world = World(4, STOP_S, record_bytes=RECORD_BYTES)
    world.store.record_bytes = RECORD_BYTES
    world.crashed_return_as_new = False
    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        wide = await world.submit(0, WIDTH, LONG_S, long_running=True)
        await asyncio.sleep(START_S)
        await world.submit(1, 2, 4.0)
        await asyncio.sleep(1.0)
        await _DISTURBANCES[name](world)
        await world.submit(1, 2, 1.0)
        await asyncio.sleep(SETTLE_S)
        running = sum(
            task.workflow == wide for worker in world.workers.values() for task in worker.runs
        )
        sizes = [len(key) + len(value) for key, value in world.store.records.items()]
        return Outcome(
            world.violations,
            running,
            await world.list_unfinished(),
            world.store.refusals,
            max(sizes),
        )
    finally:
        await world.close()


async def measure_writes(width: int) -> tuple[int, int]:
    """Returns the bytes that starting all tasks of a step writes, and those of one task's end."""
    world = World(4, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        before = world.store.written_bytes
        await world.submit(0, width, LONG_S, long_running=True)
        await asyncio.sleep(START_S)
        assert sum(len(worker.runs) for worker in world.workers.values()) == width
        started = world.store.written_bytes - before
        [worker, *_] = list_busy(world)
        before = world.store.written_bytes
        worker.end(next(iter(worker.runs)), "failed")
        await asyncio.sleep(1.0)
        return started, world.store.written_bytes - before
    finally:
        await world.close()


async def refuse_key(suffix: str) -> tuple[list[str], int, list[str]]:
    """Has the store refuse the records of one workflow for good, beside others.

    Returns the states of three jobs, of which the store refuses records of the second, the number
    of refused appends, and the broken promises.
    """
    world = World(2, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        jobs = [f"{number:016x}" for number in range(3)]
        world.store.refused_keys = {jobs[1] + suffix}
        for _ in jobs:
            await world.submit(1, 2, 1.0)
        await asyncio.sleep(SETTLE_S)
        replies = [await world.current.owner.read_state(job) for job in jobs]
        states = [reply.detail or reply.outcome for reply in replies]
        return states, world.store.refusals, world.violations
    finally:
        await world.close()


async def refuse_for_a_while() -> tuple[int, int, int]:
    """Has the store refuse the record of a step from the time at which its tasks run.

    Returns how many ends of its tasks the workers keep after more than one poll of a worker without
    tasks (4 s); how many they keep one retry of the record (5 s) and two polls after the store
    takes it again; and how many tasks run then.
    """
    world = World(2, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        job = await world.submit(1, 2, LONG_S, long_running=True)
        await asyncio.sleep(2.0)
        world.store.refused_keys = {f"{job}/0/0"}
        [worker] = list_busy(world)
        for task in list(worker.runs):
            worker.end(task, "failed")
        await asyncio.sleep(6.0)
        kept = len(worker.ended)
        world.store.refused_keys.clear()
        await asyncio.sleep(13.0)
        running = sum(len(item.runs) for item in world.workers.values())
        assert not [item for item in world.violations if not item.startswith("LOST")]
        return kept, len(worker.ended), running
    finally:
        await world.close()


async def queue_behind_wide_step() -> float:
    """Returns the time from the submission of a small job to its start beside a wide step."""
    world = World(4, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        for name in world.workers:
            world.links[name] = "slow"
        await world.submit(0, 3_000, LONG_S)
        await asyncio.sleep(1.0)
        submitted_at = world.now()
        job = await world.submit(1, 1, 1.0)
        while not any(run[1].workflow == job for run in world.sent_starts):
            await asyncio.sleep(0.05)
            assert world.now() - submitted_at < 60.0, "the small job does not start"
        return world.now() - submitted_at
    finally:
        await world.close()
