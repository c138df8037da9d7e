"""Steps on start orders that arrive late at restarted workers, in virtual time."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING, NamedTuple

from behave import then, when
from late_start_play import run_play
from restart_scenarios import LONG_S
from virtual_time import play
from worker_model import World

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

WORKER_COUNT = 4
STOP_S = 0.05
DOWNTIME_S = 0.5
SHORT_S = 2.0
TASK_COUNT = 3
PLAY_S = 30.0
# Time from the sending of the orders to the first restart of a worker that restarts twice.
ENDS_S = 0.3
CHECK_S = 0.02
# Time from the return of the worker to a change of owner, before its revocations are answered.
CHANGE_AFTER_S = 0.12

JOBS = {
    "short": (SHORT_S, {}),
    "long-running": (LONG_S, {"long_running": True}),
    "gang": (SHORT_S, {"gang": True}),
}


class Outcome(NamedTuple):
    """Result of a play; ``waited_s`` counts from the return of the worker."""

    waited_s: float
    started: set[int]
    late_arrivals: int
    violations: list[str]


async def _lose_answers(world: World, worker: str, count: int) -> None:
    world.lost_stop_answers[worker] = count


async def _garble_answers(world: World, worker: str) -> None:
    world.undecodable_stops.add(worker)


CHANGES: dict[str, Callable[[World, str], Awaitable[None]]] = {
    "nothing": lambda world, worker: _lose_answers(world, worker, 0),
    "the first answer lost": lambda world, worker: _lose_answers(world, worker, TASK_COUNT),
    "every answer lost": lambda world, worker: _lose_answers(world, worker, 10_000),
    "answers that cannot be read": _garble_answers,
    "a cancellation": lambda world, worker: world.cancel(0),
    "a handover": lambda world, worker: world.hand_over(),
    "a takeover": lambda world, worker: world.take_over(),
    "a bounce": lambda world, worker: world.bounce(0.3),
}
# Changes that have to be in effect before the worker is back.
EARLY_CHANGES = ("the first answer lost", "every answer lost", "answers that cannot be read")


def _find_ordered_worker(world: World, job: str) -> str:
    """Returns the worker that got the first order of a job."""
    return next(
        name
        for name, link in world.current.owner.links.items()
        if any(task.workflow == job for task in link.orders)
    )


def _list_at_work(world: World, job: str) -> set[int]:
    names = {task for worker in world.workers.values() for task in worker.runs}
    names |= {
        end.task for worker in world.workers.values() for end in worker.ended if end.kind == "done"
    }
    return {task.index for task in names if task.workflow == job}


async def _play(
    kind: str,
    late_s: float,
    ends_s: float,
    change: str,
    again_s: float | None,
    downtime_s: float = DOWNTIME_S,
) -> Outcome:
    world = World(WORKER_COUNT, STOP_S)
    world.crashed_return_as_new = False
    world.crash_downtime_s = downtime_s
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        seconds, options = JOBS[kind]
        world.late_starts = dict.fromkeys(world.workers, late_s)
        job = await world.submit(3, TASK_COUNT, seconds, **options)
        await asyncio.sleep(0.1)
        name = _find_ordered_worker(world, job)
        world.late_starts.clear()
        await asyncio.sleep(ends_s - 0.1)
        world.workers[name].crash()
        if change in EARLY_CHANGES:
            await CHANGES[change](world, name)
        await asyncio.sleep(downtime_s)
        returned_at, changes_at = world.now(), world.now() + CHANGE_AFTER_S
        crashes_at = returned_at - downtime_s + again_s if again_s is not None else None
        started: set[int] = set()
        waited = PLAY_S
        while world.now() < returned_at + PLAY_S:
            if changes_at is not None and world.now() >= changes_at:
                changes_at = None
                if change not in EARLY_CHANGES:
                    await CHANGES[change](world, name)
            if crashes_at is not None and world.now() >= crashes_at:
                crashes_at = None
                world.workers[name].crash()
            started |= _list_at_work(world, job)
            if len(started) == TASK_COUNT:
                waited = min(waited, world.now() - returned_at)
            await asyncio.sleep(CHECK_S)
        return Outcome(waited, started, world.late_arrivals, world.violations)
    finally:
        await world.close()


@when(
    "start orders of a {kind} job arrive {late:g} s late and their worker ends {ends:g} s after"
    " their sending, {change}"
)
def restart_once(context, kind, late, ends, change):
    context.outcome = play(_play(kind, late, ends, change, None))


@when(
    "start orders of a {kind} job arrive {late:g} s late and their worker restarts, and once more"
    " {again:g} s later, {change}"
)
def restart_twice(context, kind, late, again, change):
    context.outcome = play(_play(kind, late, ENDS_S, change, again))


@when("start orders of a {kind} job arrive {late:g} s late and their worker is away for {away:g} s")
def stay_away(context, kind, late, away):
    context.outcome = play(_play(kind, late, ENDS_S, "nothing", None, away))


@then("the late orders break no promise")
def expect_no_violation(context):
    assert not context.outcome.violations, context.outcome


@then(
    "the late orders break no promise, and all tasks are at work or done within {limit:g} s of the"
    " worker's return"
)
def expect_in_time(context, limit):
    assert not context.outcome.violations, context.outcome
    assert context.outcome.waited_s <= limit, context.outcome


@when("{count:d} plays of late start orders from seed {first:d} on end with 20 s of calm")
def play_seeds(context, count, first):
    count = int(os.environ.get("LATE_START_PLAYS", count))
    first = int(os.environ.get("LATE_START_SEED", first))
    context.broken = {seed: run_play(seed) for seed in range(first, first + count)}


@then("no task of the plays has run twice, and no worker was overcommitted")
def expect_no_broken_promise(context):
    broken = {seed: found for seed, found in context.broken.items() if found}
    assert not broken, broken
