"""Steps on leases that are given by the clock of a worker's former life, in virtual time."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from behave import then, when
from recut_play import run_play
from virtual_time import play
from worker_model import World

if TYPE_CHECKING:
    from collections.abc import Callable

LONG_S = 100.0
FIRST_LIFE_S = 12.0
# Life after which no call by an earlier clock can be left.
LONG_LIFE_S = 30.0
WORKER = "w0"
CHANGES = {
    "the partition is handed over": "hand_over",
    "the owner is killed": "kill_owner",
    "the partition is taken over": "take_over",
}


def _build_world(downtime_s: float) -> World:
    world = World(1, 0.05)
    world.crashed_return_as_new = False
    world.crash_downtime_s = downtime_s
    world.entry_delay_s = 0.01
    return world


async def _await(world: World, condition: Callable[[], object], description: str) -> None:
    for _ in range(5000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError(f"not so within 5 s: {description}")


async def _await_start(world: World) -> None:
    await _await(world, lambda: world.workers[WORKER].runs, "a task has started on the worker")


def _has_contact(world: World) -> bool:
    link = world.current.owner.links.get(WORKER)
    return link is not None and link.had_contact


async def _change_owner(world: World, change: str) -> None:
    if change in CHANGES:
        await getattr(world, CHANGES[change])()


async def _cut_off(world: World) -> list[str]:
    """Cuts the worker off, with room for its task elsewhere; returns the broken promises."""
    assert world.workers[WORKER].runs, "nothing runs on the worker that is cut off"
    world.links[WORKER] = "cut"
    world.add_worker("x1")
    await asyncio.sleep(20.0)
    assert world.workers["x1"].runs, "the task was not started elsewhere"
    return world.violations


async def _play_idle(downtime_s: float, delay_s: float, gap_s: float, change: str) -> list[str]:
    world = _build_world(downtime_s)
    try:
        await world.take_over()
        await asyncio.sleep(FIRST_LIFE_S)
        world.workers[WORKER].crash()
        await asyncio.sleep(downtime_s + delay_s + 0.01)
        await world.submit(4, 1, LONG_S, long_running=True)
        await _await_start(world)
        await _change_owner(world, change)
        await asyncio.sleep(gap_s)
        return await _cut_off(world)
    finally:
        await world.close()


@when(
    "an idle worker restarts for {downtime:g} s, a task is submitted {delay:g} s later, starts"
    " there and {change} {gap:g} s before the cut"
)
def restart_idle(context, downtime, delay, change, gap):
    context.violations = play(_play_idle(downtime, delay, gap, change))


async def _restart_after_report(world: World) -> None:
    """Has the worker report, end, and begin its next life before its owner can know."""
    await asyncio.sleep(LONG_LIFE_S)
    await world.take_over()
    await _await(world, lambda: _has_contact(world), "the owner has contact to the worker")
    world.workers[WORKER].crash()
    await asyncio.sleep(world.crash_downtime_s + 0.01)


async def _play_start_order(gap_s: float, change: str) -> list[str]:
    world = _build_world(0.3)
    try:
        await _restart_after_report(world)
        await world.submit(4, 1, LONG_S, long_running=True)
        await _await_start(world)
        await _change_owner(world, change)
        await asyncio.sleep(gap_s)
        return await _cut_off(world)
    finally:
        await world.close()


@when(
    "a worker reports, restarts for 0.3 s, gets a start order at once and is cut off {gap:g} s"
    " later, after {change}"
)
def restart_before_order(context, gap, change):
    context.violations = play(_play_start_order(gap, change))


async def _play_refused_order() -> list[str]:
    world = _build_world(0.3)
    try:
        await _restart_after_report(world)
        world.refusals[WORKER] = "full"
        await world.submit(4, 1, LONG_S, long_running=True)
        await asyncio.sleep(0.05)
        world.refusals.clear()
        await _await_start(world)
        await asyncio.sleep(0.1)
        return await _cut_off(world)
    finally:
        await world.close()


@when(
    "a worker reports, restarts for 0.3 s, refuses a start order, takes the next one and is cut off"
)
def refuse_order(context):
    context.violations = play(_play_refused_order())


async def _play_blame() -> list:
    world = _build_world(0.3)
    try:
        await _restart_after_report(world)
        job = await world.submit(4, 1, LONG_S, long_running=True)
        await _await_start(world)
        await asyncio.sleep(1.0)
        steps = world.current.owner.workflows[job].steps.values()
        return [loss for step in steps for task in step.tasks for loss in task.losses]
    finally:
        await world.close()


@when("a worker reports, restarts for 0.3 s, gets a start order at once and reports again")
def report_again(context):
    context.losses = play(_play_blame())


@then("the loss of the worker is not held against the task")
def expect_no_loss(context):
    assert not context.losses, context.losses


async def _play_restart_without_tasks() -> float:
    """Returns the longest lease in seconds that the next life of an idle worker gets."""
    world = _build_world(0.3)
    longest = 0.0
    try:
        await world.take_over()
        # Between two polls, so that neither of them fails.
        await asyncio.sleep(FIRST_LIFE_S - 1.5)
        world.workers[WORKER].crash()
        until = world.now() + 10.0
        while world.now() < until:
            worker = world.workers[WORKER]
            if worker.lease_ms:
                longest = max(longest, (worker.lease_ms - worker.clock_ms) / 1000)
            await asyncio.sleep(0.01)
        return longest
    finally:
        await world.close()


@when("an idle worker restarts between two polls")
def restart_between_polls(context):
    context.longest_lease = play(_play_restart_without_tasks())


@then("its next life gets no lease that is longer than {seconds:g} s")
def expect_short_lease(context, seconds):
    assert context.longest_lease <= seconds, context.longest_lease


@when("workers restart, begin tasks and are cut off in {count:d} plays")
def play_recuts(context, count):
    first = int(os.environ.get("RECUT_SEED", "0"))
    count = int(os.environ.get("RECUT_PLAYS", count))
    found = {seed: run_play(seed) for seed in range(first, first + count)}
    context.broken = {seed: violations for seed, violations in found.items() if violations}


@then("no task has run twice in any play")
def expect_no_broken_play(context):
    assert not context.broken, {seed: found[:2] for seed, found in context.broken.items()}
