"""Steps on workers that fall silent and answer again as the same start, in virtual time."""

from __future__ import annotations

import asyncio

import looptime
from behave import given, then, when
from worker_model import World

STOP_S = 0.05
LONG_S = 1_000.0
# Time after the start of a run at which its worker falls silent.
CUT_AFTER_S = 0.2
# Longer than the leases and the start elsewhere.
START_LIMIT_S = 15.0
CHECK_S = 0.05


@given("a long-running task on one of {count:d} workers")
def set_workers(context, count):
    context.worker_count = count


async def _find_run(world: World, earlier_run: int) -> tuple[str, int]:
    """Returns the worker and the number of the first run after an earlier one."""
    for _ in range(int(START_LIMIT_S / CHECK_S)):
        for worker in world.workers.values():
            for run in worker.runs.values():
                if run.run > earlier_run:
                    return worker.name, run.run
        await asyncio.sleep(CHECK_S)
    raise AssertionError(f"run {earlier_run} was not followed by another one")


async def _fall_silent(context, seconds: float, times: int) -> None:
    world = World(context.worker_count, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        job = await world.submit(1, 1, LONG_S, long_running=True)
        run = 0
        for _ in range(times):
            name, run = await _find_run(world, run)
            await asyncio.sleep(CUT_AFTER_S)
            world.links[name] = "cut"
            asyncio.get_running_loop().call_later(seconds, world.links.update, {name: ""})
        await _find_run(world, run)
        await asyncio.sleep(seconds)
        owner = world.current.owner
        context.state = (await owner.read_state(job)).detail
        context.losses = owner.workflows[job].steps[0, 0].tasks[0].losses
        context.violations = world.violations
    finally:
        await world.close()


@when(
    "the worker that runs it falls silent for {seconds:d} s, {times:d} times in a row,"
    " just after it has started it"
)
def fall_silent(context, seconds, times):
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(_fall_silent(context, seconds, times))
    finally:
        loop.close()


@then("its job is running, and no loss of a worker is held against the task")
def expect_running(context):
    assert context.state == "running", context.state
    assert not context.losses, context.losses
    assert not context.violations, context.violations
