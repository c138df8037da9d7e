"""Faults of one worker in virtual time, and how soon the worker takes tasks again after each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from worker_model import CAPACITY_AGE_S, Run, World

from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from collections.abc import Callable

WORKER_COUNT = 3
STOP_S = 0.05
CHECK_S = 0.02
# Time within which each fault is over, and time for which the workers are watched after it.
FAULT_LIMIT_S = 40.0
WATCH_S = 30.0
# Duration of the tasks that run when the fault begins, and of those that fill the workers later.
TASK_S, FILLING_TASK_S = 1.0, 60.0
UNKNOWN_TASK = TaskName(f"{0xABC:016x}", 0, 0, 0)

FAULTS: dict[str, Callable] = {}


class Recovery(NamedTuple):
    """Outcome of one fault.

    Parameters
    ----------
    usable_after, at_work_after : float
        Seconds from the moment at which the worker reports and its entry is current until its link
        is usable, and until a task that needs the whole worker has begun on it.
    reasons : list of str
        Reasons for which the link was not usable in between.
    violations : list of str
        Rules that were broken.
    """

    usable_after: float
    at_work_after: float
    reasons: list[str]
    violations: list[str]


def fault(name: str) -> Callable:
    """Registers a fault; it returns the name of the worker that has to be usable after it."""

    def register(function: Callable) -> Callable:
        FAULTS[name] = function
        return function

    return register


async def _wait_until(is_met: Callable[[], bool]) -> None:
    while True:
        if is_met():
            return
        await asyncio.sleep(CHECK_S)


@fault("a crash and return under its identifier")
async def crash_and_return(world: World, name: str) -> str:
    world.crashed_return_as_new = False
    world.workers[name].crash()
    return name


@fault("a short crash and return under its identifier")
async def crash_shortly(world: World, name: str) -> str:
    world.crash_downtime_s = 0.3
    return await crash_and_return(world, name)


@fault("a crash and return under another identifier")
async def crash_and_be_replaced(world: World, name: str) -> str:
    world.crashed_return_as_new = True
    worker = world.workers[name]
    worker.crash()
    successor = f"{name}+{worker.born}"
    await _wait_until(lambda: successor in world.workers)
    return successor


async def _cut(world: World, name: str, seconds: float, link: str = "cut") -> str:
    world.links[name] = link
    await asyncio.sleep(seconds)
    world.links[name] = ""
    return name


@fault("a short cut")
async def cut_shortly(world: World, name: str) -> str:
    return await _cut(world, name, 2.0)


@fault("a cut that outlasts the leases")
async def cut_long(world: World, name: str) -> str:
    return await _cut(world, name, 8.0)


@fault("connections that are refused")
async def refuse_connections(world: World, name: str) -> str:
    return await _cut(world, name, 6.0, "refused")


@fault("responses that are lost")
async def lose_responses(world: World, name: str) -> str:
    return await _cut(world, name, 6.0, "lost")


@fault("calls that are carried out late")
async def delay_calls(world: World, name: str) -> str:
    return await _cut(world, name, 6.0, "late")


@fault("a link that flaps")
async def flap(world: World, name: str) -> str:
    for _ in range(5):
        await _cut(world, name, 0.7)
        await asyncio.sleep(0.3)
    return name


@fault("entries that are not written")
async def write_no_entries(world: World, name: str) -> str:
    world.unheard.add(name)
    await asyncio.sleep(CAPACITY_AGE_S + 3.0)
    world.unheard.discard(name)
    return name


@fault("an entry that cannot be read for a while")
async def miss_entry(world: World, name: str) -> str:
    world.unheard.add(name)
    world.unlisted.add(name)
    await asyncio.sleep(CAPACITY_AGE_S + 3.0)
    world.unheard.discard(name)
    world.unlisted.discard(name)
    return name


@fault("a drain and return under its identifier")
async def drain_and_return(world: World, name: str) -> str:
    worker = world.workers[name]
    worker.drain()
    await _wait_until(lambda: worker.gone)
    await asyncio.sleep(1.5)
    worker.state = "ready"
    world.unlisted.discard(name)
    worker._start_again(worker.cores, worker.born)
    return name


@fault("a restart with half of its size")
async def restart_smaller(world: World, name: str) -> str:
    world.workers[name].restart(6)
    return name


@fault("a capacity that shrinks and grows again")
async def resize(world: World, name: str) -> str:
    worker = world.workers[name]
    worker.resize(2)
    worker.write_entry()
    await asyncio.sleep(4.0)
    worker.resize(12)
    return name


@fault("a run that no record knows")
async def run_unknown_task(world: World, name: str) -> str:
    worker, now = world.workers[name], world.now()
    worker.runs[UNKNOWN_TASK] = Run(1, 4, now, now + 100.0)
    await _wait_until(lambda: UNKNOWN_TASK not in worker.runs)
    return name


@fault("an entry of another start")
async def write_entry_late(world: World, name: str) -> str:
    world.unheard.add(name)
    world.workers[name].restart(12)
    await asyncio.sleep(6.0)
    world.unheard.discard(name)
    return name


@fault("an identifier that returns after another worker had the address")
async def replace_and_return(world: World, name: str) -> str:
    worker = world.workers[name]
    worker.leave()
    worker.replaced = True
    # The entry stays as it was, as after a worker that sent nothing when it ended.
    await asyncio.sleep(3.0)
    worker.replaced = False
    worker._start_again(worker.cores, worker.born)
    return name


@fault("a cordon that nobody renews")
async def cordon(world: World, name: str) -> str:
    await world.cordon(name, 2.0)
    await asyncio.sleep(2.0)
    return name


@fault("an owner that is killed")
async def kill_owner(world: World, name: str) -> str:
    await world.kill_owner()
    return name


async def _wait_until_current(world: World, name: str) -> float:
    """Waits until a worker reports and the entry in the list is its own and recent."""
    until = world.now() + FAULT_LIMIT_S
    while world.now() < until:
        worker = world.workers[name]
        is_up = not worker.gone and not worker.replaced and not world.links.get(name)
        is_listed = name not in world.unlisted and name not in world.unheard
        entry = worker.entry
        is_current = (
            entry.born == worker.born
            and entry.state == "ready"
            and entry.millicores == worker.cores * 1000
            and world.is_capacity_current(entry)
        )
        if is_up and is_listed and is_current and world.current.owner.loaded:
            return world.now()
        await asyncio.sleep(CHECK_S)
    raise AssertionError(f"{name} is not back {FAULT_LIMIT_S:g} s after the fault")


async def run_fault(name: str) -> Recovery:
    """Plays a fault of the first worker while all workers run tasks, and the time after it."""
    world = World(WORKER_COUNT, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        await world.submit(2, 3 * WORKER_COUNT, TASK_S)
        await asyncio.sleep(0.1)
        worker = await FAULTS[name](world, "w0")
        current_at = await _wait_until_current(world, worker)
        cores = world.workers[worker].cores
        # As many tasks as workers, so that one of them needs this worker.
        job = await world.submit(cores, WORKER_COUNT, FILLING_TASK_S, most_per_worker=1)
        usable_after = at_work_after = WATCH_S
        reasons: set[str] = set()
        while world.now() - current_at < WATCH_S and at_work_after == WATCH_S:
            link = world.current.owner.links.get(worker)
            unusable = link.list_unusable_reasons() if link else ["no link"]
            reasons.update(unusable)
            if not unusable:
                usable_after = min(usable_after, world.now() - current_at)
            if any(task.workflow == job for task in world.workers[worker].runs):
                at_work_after = world.now() - current_at
            await asyncio.sleep(CHECK_S)
        return Recovery(usable_after, at_work_after, sorted(reasons), world.violations)
    finally:
        await world.close()
