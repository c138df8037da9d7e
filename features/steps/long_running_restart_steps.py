"""Steps on long-running tasks whose worker is gone, in virtual time."""

from __future__ import annotations

import asyncio

import looptime
from behave import given, then, when
from owner_builders import BORN, OwnerHarness
from worker_model import World

from carawayd.partition.workerlink import UNKNOWN
from carawayd.platform.common import PlatformTimedOut
from carawayshore.workflows.state import ORDERED, WAITING

STOP_S = 0.05
LONG_S = 1_000.0
CORES_PER_TASK = 3
TASKS_PER_WORKER = 4
IDLE_WORKERS = 4
# Longest lease that an owner gives, with the margins that it adds.
LEASE_S = 5.0
RESTART_LIMIT_S = 6.0
# Run time and arrival of the short tasks that fill the workers.
SHORT_S = 2.0
PRECAUTION_STEP_S = 0.5
OVERLOAD = 5
CHECK_S = 0.05


def _run(play) -> None:
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(play)
    finally:
        loop.close()


@given("workers of 12 cores, one full of tasks of a long-running job and one with its other tasks")
def set_tasks(context):
    context.task_count = 2 * TASKS_PER_WORKER


@when("the worker with the other tasks is gone for good, and there are idle workers")
def lose_worker(context):
    async def play() -> None:
        world = context.world = World(2 + IDLE_WORKERS, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            await world.submit(CORES_PER_TASK, context.task_count, LONG_S, long_running=True)
            await asyncio.sleep(2.0)
            busy = [worker for worker in world.workers.values() if worker.runs]
            assert len(busy) == 2, [worker.name for worker in busy]
            busy[1].leave()
            await asyncio.sleep(LEASE_S + RESTART_LIMIT_S)
            context.running = sum(len(worker.runs) for worker in world.workers.values())
        finally:
            await world.close()

    _run(play())


@then("all tasks of the job run again within 6 s after their leases are over")
def expect_running(context):
    assert context.running == context.task_count, (context.running, context.task_count)


@given("{count:d} workers of 12 cores and a waiting long-running task of {cores:d} cores")
def set_waiting_task(context, count, cores):
    context.worker_count, context.task_cores = count, cores


def _set_precaution(capacity, kind: str, now: float, is_odd: bool) -> None:
    suspected = "suspected" in kind and ("in turn" not in kind or is_odd)
    reserved = "reserved" in kind and ("in turn" not in kind or not is_odd)
    capacity.suspect_until = now + 2 * PRECAUTION_STEP_S if suspected else 0.0
    capacity.reserved_for = "another job" if reserved else ""


@when("for 30 s each worker is {precaution}, one after the other begins anew before it ends")
def keep_precautions(context, precaution):
    async def play() -> None:
        world = World(context.worker_count, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            owner = world.current.owner
            submitted = None
            for number in range(int(30 / PRECAUTION_STEP_S)):
                for link in owner.links.values():
                    now = world.current.clock.elapsed().total_seconds()
                    _set_precaution(link.capacity, precaution, now, number % 2 == 1)
                if submitted is None:
                    submitted = world.now()
                    await world.submit(context.task_cores, 1, LONG_S, long_running=True)
                for _ in range(int(PRECAUTION_STEP_S / CHECK_S)):
                    await asyncio.sleep(CHECK_S)
                    if any(worker.runs for worker in world.workers.values()):
                        context.waited = world.now() - submitted
                        return
        finally:
            await world.close()

    context.waited = None
    _run(play())


@then("the task is placed within {seconds:g} s")
@then("it runs within {seconds:g} s")
def expect_placed(context, seconds):
    assert context.waited is not None and context.waited <= seconds, context.waited


@given(
    "{count:d} workers of 12 cores, and short tasks of {cores:d} cores at five times their capacity"
)
def set_overload(context, count, cores):
    context.worker_count, context.short_cores = count, cores


def _find_run(world, identifier):
    return next(
        (
            task
            for worker in world.workers.values()
            for task in worker.runs
            if task.workflow == identifier
        ),
        None,
    )


@when("a long-running task of {cores:d} cores waits")
def wait_for_room(context, cores):
    async def submit_short(world) -> None:
        per_second = OVERLOAD * context.worker_count * 12 / context.short_cores / SHORT_S
        while True:
            await world.submit(context.short_cores, 1, SHORT_S)
            await asyncio.sleep(1 / per_second)

    async def play() -> None:
        world = World(context.worker_count, STOP_S)
        submitting = None
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            if hasattr(context, "short_runs"):
                for seconds in context.short_runs:
                    await world.submit(3, 4, seconds)
                    await asyncio.sleep(0.5)
            submitting = asyncio.ensure_future(submit_short(world))
            await asyncio.sleep(3.0)
            began = world.now()
            identifier = await world.submit(cores, 1, LONG_S, long_running=True)
            links = world.current.owner.links
            while world.now() - began < 30.0 and context.waited is None:
                await asyncio.sleep(CHECK_S)
                held = sum(bool(link.capacity.claims) for link in links.values())
                context.most_held = max(context.most_held, held)
                if _find_run(world, identifier):
                    context.waited = world.now() - began
            await asyncio.sleep(2.0)
            context.held_afterwards = sum(bool(link.capacity.claims) for link in links.values())
            context.violations = world.violations
        finally:
            if submitting is not None:
                submitting.cancel()
            await world.close()

    context.waited, context.most_held = None, 0
    if not hasattr(context, "short_cores"):
        context.short_cores = 1
    _run(play())


@then("at most {count:d} worker at a time is kept for it")
def expect_held(context, count):
    assert context.most_held <= count, context.most_held
    assert context.held_afterwards == 0 and not context.violations, context.violations


@given("2 workers of 12 cores that are full of short tasks, of {first:g} s and of {second:g} s")
def set_short_runs(context, first, second):
    context.worker_count, context.short_runs = 2, (first, second)


@then("short tasks start again on the other worker")
def expect_release(context):
    assert context.held_afterwards == 0, context.held_afterwards


@given("an owner whose start order to a worker got no answer")
def lose_answer(context):
    harness = context.harness = OwnerHarness()
    context.task = harness.add_workflow("a" * 16, 1_000, long_running=True)
    harness.list_worker()
    harness.report()
    harness.order(context.task, 1, state=UNKNOWN, absence_certain_after_ms=51_500)


@given("an owner whose start order to a worker got no answer, as its stop orders get none")
def lose_all_answers(context):
    lose_answer(context)
    context.harness.runs.error = PlatformTimedOut("no response")


@when("the worker restarts 4, 8 and 12 s after the order, and reports {seconds:g} s after it")
def restart_repeatedly(context, seconds):
    harness = context.harness
    ordered_at = harness.clock.seconds
    for number, after in enumerate((4.0, 8.0, 12.0), start=1):
        harness.clock.seconds = ordered_at + after
        harness.report(clock_ms=100, born=BORN + number)
    harness.clock.seconds = ordered_at + seconds
    harness.report(clock_ms=100 + int((seconds - 12.0) * 1000), born=BORN + 3)


@then("the task is waiting for another worker")
def expect_waiting(context):
    assert context.harness.owner._find_task(context.task)[2].status == WAITING


@then("the task is still taken to be on its worker")
def expect_ordered_still(context):
    assert context.harness.owner._find_task(context.task)[2].status == ORDERED
