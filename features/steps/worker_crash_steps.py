"""Steps on tasks that crash their workers, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

import looptime
from behave import given, then, when
from worker_model import CRASH_DOWNTIME_S, WORKER_CORES, World

from carawayshore.workflows.crashes import (
    RunOnWorker,
    WorkerLoss,
    assess_loss,
    has_outlived,
    needs_isolation,
    should_give_up,
)

STOP_S = 0.05
SUBMISSION_INTERVAL_S = 0.15
SETTLE_S = 60.0
# Run time of a long-running task.
LONG_S = 1_000.0
# Time without a further crash after which no owner is killed any more.
LONGEST_QUIET_S = 30.0
MAX_KILLED_OWNERS = 7
SEED = 11
WORKER = "w0"
CHECK_S = 0.005
# Time from a change to its record, at most.
APPEND_S = 0.02
# Time within which an owner hears of the workers after its takeover.
DISCOVERY_S = 0.3
# Time within which every task that ran on a crashed worker runs again.
RESTART_LIMIT_S = 6.0


async def _play(context, scenario) -> None:
    world = context.world = World(context.worker_count, STOP_S)
    world.crashed_return_as_new = context.return_as_new
    world.crash_downtime_s = getattr(context, "downtime_s", CRASH_DOWNTIME_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        await scenario(world)
        await asyncio.sleep(SETTLE_S)
        context.unfinished = await world.list_unfinished()
    finally:
        await world.close()


def _run(context, scenario) -> None:
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(_play(context, scenario))
    finally:
        loop.close()


@given("{count:d} workers of 12 cores, which return under {identifier} after a crash")
def set_workers(context, count, identifier):
    context.worker_count = count
    context.return_as_new = identifier == "a new name"


@given("they are down for {seconds:g} s")
def set_downtime(context, seconds):
    context.downtime_s = seconds


async def _submit_beside(world, seconds, deadly, delay) -> None:
    for number in range(int(seconds / SUBMISSION_INTERVAL_S)):
        if number % 5 == 2 and len(world.crash_delays) < deadly:
            await world.submit(2, 3, 1.0 + delay, crash_delay=delay)
        await world.submit(2, 1 + number % 3, 1.0)
        await asyncio.sleep(SUBMISSION_INTERVAL_S)


@when(
    "small jobs are submitted for {seconds:g} s, beside {deadly:d} job whose task crashes its"
    " worker after {delay:g} s"
)
@when(
    "small jobs are submitted for {seconds:g} s, beside {deadly:d} jobs whose task crashes its"
    " worker after {delay:g} s"
)
def submit_beside(context, seconds, deadly, delay):
    _run(context, lambda world: _submit_beside(world, seconds, deadly, delay))


@when(
    "small jobs are submitted for {seconds:g} s, and each owner is killed {after:g} s after a crash"
)
def kill_owners(context, seconds, after):
    async def play(world) -> None:
        submitting = asyncio.ensure_future(_submit_beside(world, seconds, 1, 0.01))
        with contextlib.suppress(TimeoutError):
            for crashes in range(1, MAX_KILLED_OWNERS + 1):
                async with asyncio.timeout(LONGEST_QUIET_S):
                    await world.wait_for_crashes(crashes)
                await asyncio.sleep(after)
                await world.kill_owner()
        await submitting

    _run(context, play)


@when("{count:d} long-running jobs run, and another one crashes its workers after {delay:g} s")
def run_long_running(context, count, delay):
    async def play(world) -> None:
        for _ in range(count):
            await _submit_long_running(world)
        await asyncio.sleep(3.0)
        await world.submit(2, 2, LONG_S, crash_delay=delay, long_running=True)

    _run(context, play)


async def _submit_long_running(world) -> None:
    await world.submit(1, 4, LONG_S, long_running=True, most_per_worker=1)


async def _submit_both(world, seconds) -> None:
    for _ in range(4):
        await _submit_long_running(world)
    await _submit_beside(world, seconds, 0, 0.0)


@when(
    "small and long-running jobs are submitted for {seconds:g} s while a worker crashes every"
    " {interval:g} s"
)
def crash_workers(context, seconds, interval):
    async def play(world) -> None:
        submitting = asyncio.ensure_future(_submit_both(world, seconds))
        await asyncio.sleep(2.0)
        random = Random(SEED)
        while not submitting.done():
            await asyncio.sleep(interval)
            running = [item for item in world.workers.values() if not item.gone]
            random.choice(running).crash()

    _run(context, play)


@when(
    "small and long-running jobs are submitted for {seconds:g} s while links are cut for"
    " {cut:g} s"
)
def cut_links(context, seconds, cut):
    async def play(world) -> None:
        submitting = asyncio.ensure_future(_submit_both(world, seconds))
        for name in list(world.workers)[:3]:
            await asyncio.sleep(1.0)
            world.links[name] = "cut"
        await asyncio.sleep(cut)
        world.links = dict.fromkeys(world.links, "")
        await submitting

    _run(context, play)


@when(
    "a long-running job of {count:d} tasks, one per worker, loses {lost:d} of its workers at once"
)
def crash_several(context, count, lost):
    async def play(world) -> None:
        for _ in range(3):
            await world.submit(1, count, LONG_S, long_running=True, most_per_worker=1)
        await asyncio.sleep(1.0)
        busy = [worker for worker in world.workers.values() if worker.runs]
        for worker in busy[:lost]:
            worker.crash()
        await asyncio.sleep(RESTART_LIMIT_S)
        context.running = sum(len(worker.runs) for worker in world.workers.values())
        context.expected = 3 * count

    _run(context, play)


@then("all of its tasks run again within 6 s of the crash")
def expect_restart(context):
    assert context.running == context.expected, (context.running, context.expected)


@then("at most {most:d} workers crashed under each such task")
def expect_crashes(context, most):
    crashes = context.world.crashes
    assert crashes and max(crashes.values()) <= most, crashes


@then("its job is shown as failed, and all other jobs as {state}")
@then("all other jobs are {state} or running")
def expect_states(context, state):
    assert not context.unfinished, context.unfinished


@then("no owner broke a promise")
def expect_no_violation(context):
    assert not context.world.violations, context.world.violations


@given("3 workers of 12 cores, one of them full and one idle and gone")
def set_idle_worker(context):
    context.worker_count = 3


@when("a {kind} task is submitted and would be placed on the one that is gone")
def submit_beside_gone(context, kind):
    async def play() -> None:
        world = World(context.worker_count, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            await world.submit(WORKER_CORES, 1, LONG_S, long_running=True)
            # Until the last report of the idle workers is too old to send an order.
            await asyncio.sleep(2.0)
            idle = [worker for worker in world.workers.values() if not worker.runs]
            assert len(idle) == 2
            # Among equals, the first one is chosen.
            idle[0].leave()
            submitted = world.now()
            await world.submit(2, 1, LONG_S, long_running=kind == "long-running")
            # Longer than the time for which an order waits for a report.
            await asyncio.sleep(2.0)
            context.waits = [run.started_at - submitted for run in idle[1].runs.values()]
        finally:
            await world.close()

    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(play())
    finally:
        loop.close()


@then("it runs on the other one within {seconds:g} s")
def expect_start(context, seconds):
    assert len(context.waits) == 1 and context.waits[0] <= seconds, context.waits


@when("a worker crashes under a job, and the owner is {changed} once the loss is recorded")
def change_owner_after_loss(context, changed):
    async def play(world) -> None:
        job = await world.submit(2, 2, SETTLE_S / 2)
        await asyncio.sleep(0.5)
        next(worker for worker in world.workers.values() if worker.runs).crash()
        for _ in range(int(SETTLE_S / CHECK_S)):
            if _list_losses(world, job):
                break
            await asyncio.sleep(CHECK_S)
        await asyncio.sleep(APPEND_S)
        await (world.hand_over() if changed == "handed on" else world.take_over())
        await asyncio.sleep(DISCOVERY_S)
        context.losses_by_task = _list_losses(world, job)

    _run(context, play)


def _list_losses(world, job) -> list[tuple[WorkerLoss, ...]]:
    workflow = world.current.owner.workflows[job]
    return [task.losses for step in workflow.steps.values() for task in step.tasks if task.losses]


@when("a worker crashes under a job, and returns once its lease has lapsed")
def return_after_lease(context):
    async def play(world) -> None:
        job = await world.submit(2, 2, SETTLE_S / 2)
        await asyncio.sleep(2.0)
        next(worker for worker in world.workers.values() if worker.runs).crash()
        context.confirmed = []
        for _ in range(int(SETTLE_S / CHECK_S)):
            losses = [loss for losses in _list_losses(world, job) for loss in losses]
            context.confirmed = [loss.confirmed for loss in losses] or context.confirmed
            if any(context.confirmed):
                break
            await asyncio.sleep(CHECK_S)

    _run(context, play)


@then("its loss is confirmed for each task of the job")
def expect_confirmed(context):
    assert context.confirmed == [True, True], context.confirmed


@then("each task of the job has lost {count:d} worker, at the age of {seconds:g} s or more")
def expect_losses(context, count, seconds):
    assert context.losses_by_task, "no task has lost a worker"
    for losses in context.losses_by_task:
        assert len(losses) == count, losses
        assert all(loss.age_ms >= seconds * 1000 for loss in losses), losses


@given("a lost worker with runs of these jobs, ages in ms and reports: {runs}")
def list_lost_runs(context, runs):
    context.runs = []
    for text in runs.split(", "):
        job, age, *flags = text.split()
        is_listed = "listed" in flags
        context.runs.append(RunOnWorker(job, int(age) / 1000, True, is_listed, "reserved" in flags))


@then("the suspected runs are {suspected}")
def expect_suspected(context, suspected):
    losses = assess_loss(WORKER, 1, True, context.runs)
    found = [run.workflow for run, loss in zip(context.runs, losses, strict=True) if loss.suspected]
    assert found == suspected.split(", "), found


# Losses by the words of the scenarios: confirmed, suspected, isolated, and certainly started.
LOSS_KINDS = {
    "beside": (True, False, False, True),
    "suspected": (True, True, False, True),
    "unanswered": (True, True, False, False),
    "alone": (True, True, True, True),
    "unreachable": (False, True, True, True),
}


@given("a task that lost workers in these ways: {losses}")
def list_losses(context, losses):
    context.losses = []
    for text in losses.split(", "):
        kind, age = text.split()
        context.losses.append(WorkerLoss(WORKER, 1, int(age), *LOSS_KINDS[kind]))


@then("the task is {verdict}")
def expect_verdict(context, verdict):
    found = "isolated" if needs_isolation(context.losses) else "free"
    found = "given up" if should_give_up(context.losses) else found
    assert found == verdict, found


@then("a run of {age:d} ms is {state}")
def expect_cleared(context, age, state):
    assert has_outlived(context.losses, age / 1000) == (state == "cleared")
