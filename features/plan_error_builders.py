"""Jobs whose placement raises an unexpected error at each try, in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from worker_model import World

from carawayd.partition.owner import PROBE_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.owner import PartitionOwner

WORKER_COUNT = 2
STOP_S = 0.05
TASK_S = 5.0
CHECK_S = 0.05
WATCH_S = 4.0
LATER_EPOCH = 99
# Method of the planner, or of a collaborator that it calls last, by what fails.
METHODS = {
    "the rank": lambda owner: (owner._planner, "_rank"),
    "the choice of workers": lambda owner: (owner._planner, "_find_requirement"),
    "the placement": lambda owner: (owner._planner.rejections, "record_placement"),
    "the order": lambda owner: (owner, "_create_order"),
    "the record": lambda owner: (owner, "_record_tasks"),
}


class PlanOutcome(NamedTuple):
    """Seconds until the other jobs are at work, and from the end of the error until the job is."""

    others_at_work: float
    at_work_after_error: float


def _names(argument: object, identifier: str) -> bool:
    """Returns whether an argument is a workflow, its identifier or one of its tasks."""
    spec = getattr(argument, "spec", None)
    if getattr(spec, "identifier", "") == identifier or argument == identifier:
        return True
    return getattr(argument, "workflow", "") == identifier


def _fail_for(owner: PartitionOwner, what: str, identifier: str) -> Callable[[], None]:
    """Makes a method raise an error for one job; returns a function that ends this."""
    target, name = METHODS[what](owner)
    method = getattr(target, name)

    def fail(*arguments: object) -> object:
        if any(_names(argument, identifier) for argument in arguments):
            raise RuntimeError("unexpected")
        return method(*arguments)

    setattr(target, name, fail)
    return lambda: setattr(target, name, method)


async def _wait_until_at_work(world: World, jobs: set[str]) -> float:
    """Returns the seconds until all of the jobs have a run, at most ``WATCH_S``."""
    began = world.now()
    while world.now() < began + WATCH_S:
        running = {task.workflow for worker in world.workers.values() for task in worker.runs}
        if jobs <= running:
            break
        await asyncio.sleep(CHECK_S)
    return world.now() - began


async def run_plan_with_error(what: str, cores: int) -> PlanOutcome:
    """Plays one job whose placement fails and two jobs of one task that come after it."""
    world = World(WORKER_COUNT, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        # The first job of the world has this identifier.
        end_error = _fail_for(world.current.owner, what, f"{0:016x}")
        failing = await world.submit(cores, 1, TASK_S)
        others = {await world.submit(cores, 1, TASK_S) for _ in range(2)}
        waited = await _wait_until_at_work(world, others)
        end_error()
        return PlanOutcome(waited, await _wait_until_at_work(world, {failing}))
    finally:
        await world.close()


async def lose_ledger_while_check_fails() -> float:
    """Returns the seconds until an owner gives up, after a later one has written.

    A check of the owner raises an unexpected error each time.
    """
    world = World(WORKER_COUNT, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        owner = world.current.owner

        def fail(*arguments: object) -> None:
            raise RuntimeError("unexpected")

        owner._short_waits.check = fail
        world.store.epoch = LATER_EPOCH
        owner.ledger.mark_dirty(PROBE_KEY, bytes)
        began = world.now()
        while world.now() - began < WATCH_S:
            if owner.lost:
                break
            await asyncio.sleep(CHECK_S)
        return world.now() - began
    finally:
        await world.close()
