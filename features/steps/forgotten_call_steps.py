"""Steps on late answers, late start orders and moves without an answer, in virtual time."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from pool_move_builders import PoolBench
from virtual_time import play
from worker_model import ModelRuns, World

DOWNTIME_S = 0.3
LONG_S = 100.0
CHANGES = {"a takeover": "take_over", "a handover": "hand_over"}


def _build_world(workers: int, downtime_s: float = DOWNTIME_S) -> World:
    world = World(workers, 0.05)
    world.crashed_return_as_new = False
    world.crash_downtime_s = downtime_s
    return world


def _find_ordered_worker(world: World, job: str) -> str:
    return next(
        name
        for name, link in world.current.owner.links.items()
        if any(task.workflow == job for task in link.orders)
    )


class _SlowAnswers:
    """Delays the answers to start orders, which are carried out at once."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self._start = ModelRuns.start

    def __enter__(self) -> _SlowAnswers:
        start = self._start

        async def start_and_wait(runs, *args, **options):
            clock_ms = await start(runs, *args, **options)
            await asyncio.sleep(self.delay_s)
            return clock_ms

        ModelRuns.start = start_and_wait
        return self

    def __exit__(self, *_) -> None:
        ModelRuns.start = self._start


async def _play_late_answers(delay_s: float) -> list[str]:
    world = _build_world(4, 0.05)
    try:
        with _SlowAnswers() as answers:
            await world.take_over()
            await asyncio.sleep(1.0)
            # The workers are polled, since tasks run there.
            await world.submit(1, 8, 60.0, most_per_worker=2)
            await asyncio.sleep(1.1)
            answers.delay_s = delay_s
            job = await world.submit(1, 3, 2.0)
            await asyncio.sleep(0.3)
            answers.delay_s = 0.0
            world.workers[_find_ordered_worker(world, job)].crash()
            await asyncio.sleep(20.0)
        return world.violations
    finally:
        await world.close()


@when(
    "a worker answers the start orders of a short job, restarts, and its answers arrive"
    " {delay:g} s late"
)
def delay_answers(context, delay):
    context.violations = play(_play_late_answers(delay))


@then("no promise to the short job is broken")
def expect_no_violation(context):
    assert not context.violations, context.violations


async def _play_former_owner(late_s: float, change: str, gap_s: float) -> list[str]:
    world = _build_world(4)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        world.late_starts = dict.fromkeys(world.workers, late_s)
        job = await world.submit(3, 3, LONG_S, long_running=True)
        arrives_at = world.now() + late_s
        await asyncio.sleep(0.1)
        world.late_starts.clear()
        name = _find_ordered_worker(world, job)
        await asyncio.sleep(3.0)
        await getattr(world, CHANGES[change])()
        await asyncio.sleep(arrives_at - gap_s - DOWNTIME_S - world.now())
        world.workers[name].crash()
        await asyncio.sleep(5.0)
        return world.violations
    finally:
        await world.close()


@when(
    "a start order is {late:g} s late, its owner is followed by {change}, and its worker restarts"
    " {gap:g} s before it arrives"
)
def change_owner(context, late, change, gap):
    context.violations = play(_play_former_owner(late, change, gap))


@then("no task has run twice")
def expect_no_second_run(context):
    found = [text for text in context.violations if text.startswith("TWICE")]
    assert not found, found


async def _play_lease_of_late_order(late_s: float, ends_s: float) -> list[str]:
    world = _build_world(4)
    try:
        await world.take_over()
        # The clock of the worker is far ahead of that of its next start.
        await asyncio.sleep(30.0)
        world.late_starts = dict.fromkeys(world.workers, late_s)
        job = await world.submit(1, 1, LONG_S, long_running=True)
        sent_at = world.now()
        await asyncio.sleep(0.1)
        world.late_starts.clear()
        name = _find_ordered_worker(world, job)
        await asyncio.sleep(sent_at + ends_s - world.now())
        world.workers[name].crash()
        await asyncio.sleep(1.7)
        await world.submit(2, 4, LONG_S, long_running=True, most_per_worker=1)
        await asyncio.sleep(sent_at + late_s + 0.05 - world.now())
        assert world.workers[name].runs
        world.links[name] = "cut"
        world.add_worker("x1")
        world.add_worker("x2")
        await asyncio.sleep(10.0)
        return world.violations
    finally:
        await world.close()


@when(
    "a start order is {late:g} s late, its worker restarts after {ends:g} s, gets other tasks and"
    " is cut off once the order has arrived"
)
def prolong_leases(context, late, ends):
    context.violations = play(_play_lease_of_late_order(late, ends))


async def _play_handover_before_crash(crash_s: float) -> list[bool]:
    """Returns whether each recorded loss of the crashing task is suspected."""
    world = _build_world(1, 0.5)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        crashing = await world.submit(1, 1, 5.0, crash_delay=crash_s)
        await asyncio.sleep(0.5)
        await world.hand_over()
        await asyncio.sleep(0.3)
        await world.submit(1, 1, 5.0)
        until = world.now() + 5.0
        while world.now() < until:
            await asyncio.sleep(0.05)
            steps = world.current.owner.workflows[crashing].steps.values()
            losses = [loss for step in steps for task in step.tasks for loss in task.losses]
            if losses:
                return [loss.suspected for loss in losses]
        return []
    finally:
        await world.close()


@when(
    "a task crashes its worker {crash:g} s after its start, 1 s after a handover, beside a task of"
    " another job"
)
def crash_after_handover(context, crash):
    context.suspected = play(_play_handover_before_crash(crash))


@then("the loss of the worker is held against the crashing task")
def expect_suspicion(context):
    assert context.suspected == [True], context.suspected


@given("a pool of {count:d} machines without demand, whose move orders get no answer")
def build_pool_without_answers(context, count):
    context.bench = PoolBench(count, 0)
    context.add_cleanup(context.bench.close)
    context.bench.machines.loses_responses = True


@when(
    "no order can be carried out any more, the owner does not reach the workers and the fleet is"
    " managed for {seconds:g} s"
)
def lose_workers(context, seconds):
    bench = context.bench
    bench.owner.unresponsive = {item.worker for item in bench.machines.machines.values()}
    bench.manage(seconds)
