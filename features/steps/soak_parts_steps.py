"""Steps on parts of the soak: its checks, its workers, and the start of hosts."""

from __future__ import annotations

import asyncio
from pathlib import Path
from unittest.mock import AsyncMock, Mock

from behave import given, then, when
from soak_lasting import SAMPLE_S, LongRunningWatch, SoakWorker
from soak_run import Job, SoakDeployment, SoakPlan
from soak_short import ShortJobWatch

TASK = "0000000000000001.0.0.0"
LOST_AT = 10.0


def _build_worker(name: str, cores: int) -> SoakWorker:
    worker = SoakWorker(name, "booking", "127.0.0.1:1", run_seconds=0.1)
    worker.millicores = cores * worker.task_millicores
    return worker


@given(
    "a long-running task at work until its worker is gone, and another worker with room for"
    " {free:d} tasks"
)
def build_watch(context, free):
    job = Job(TASK.partition(".")[0], 1)
    job.accepted_at = 0.0
    context.workers = [_build_worker("w0", 1), _build_worker("w1", free)]
    context.workers[0]._running[TASK] = {}
    context.now = 0.0
    context.calm_from = 0.0
    context.watch = LongRunningWatch(
        [job], context.workers, lambda: max(0.0, context.now - context.calm_from)
    )


@when("it has been calm for {calm:g} s by then, and the task stays away for {away:g} s")
def lose_worker(context, calm, away):
    context.calm_from = LOST_AT - calm
    for number in range(int((LOST_AT + away) / SAMPLE_S) + 1):
        context.now = number * SAMPLE_S
        if context.now > LOST_AT:
            context.workers[0].gone = True
            context.workers[0]._running.clear()
        context.watch.sample(context.now)


@then("the soak reports {count:d} tasks")
def expect_report(context, count):
    assert len(context.watch.missing) == count, context.watch.missing


class _SlowProcess:
    """Process that runs a moment after its start was requested."""

    def __init__(self) -> None:
        self.start_count = 0
        self._running = False

    def is_running(self) -> bool:
        return self._running

    async def start(self) -> None:
        self.start_count += 1
        await asyncio.sleep(0.01)
        self._running = True


@given("an entry host of the soak whose process takes a moment to start")
def build_deployment(context):
    context.process = _SlowProcess()
    context.deployment = SoakDeployment(SoakPlan(1), Path())
    context.deployment.hosts["entry-0"] = context.process


@when("two faults start it again at the same time")
def start_twice(context):
    async def play() -> None:
        await asyncio.gather(*(context.deployment.start_host("entry-0") for _ in range(2)))

    asyncio.run(play())


@then("one process was started")
def expect_one_start(context):
    assert context.process.start_count == 1, context.process.start_count


def _build_short_watch(context) -> ShortJobWatch:
    return ShortJobWatch(
        [context.job],
        context.workers,
        lambda: max(0.0, context.now - context.calm_from),
        lambda: int(context.now >= context.owned_from),
    )


@given(
    "a job of {steps:d} steps with {tasks:d} tasks each, whose first step has ended, and workers"
    " with {free:d} of 8 cores free"
)
def build_short_job(context, steps, tasks, free):
    context.job = Job(TASK.partition(".")[0], tasks, steps)
    context.job.accepted_at = 0.0
    context.workers = [_build_worker(f"w{number}", 4) for number in range(2)]
    for number in range(8 - free):
        context.workers[number % 2]._running[f"other.0.0.{number}"] = {}
    for index in range(tasks):
        context.workers[0].ends.append((f"{context.job.identifier}.0.0.{index}", 1, "done", 0.0))


def _stand_still(context, seconds: float) -> None:
    """Plays a record in which the job runs until ``LOST_AT`` and not afterwards."""
    context.watch = _build_short_watch(context)
    context.workers[0]._running[TASK] = {}
    for number in range(int((LOST_AT + seconds) / SAMPLE_S) + 1):
        context.now = number * SAMPLE_S
        if context.now > LOST_AT:
            context.workers[0]._running.pop(TASK, None)
        context.watch.sample(context.now)


@when(
    "it has been calm for {calm:g} s and the owner unchanged for {owned:g} s by then, and nothing"
    " of the job runs for {idle:g} s"
)
def stand_still(context, calm, owned, idle):
    context.calm_from, context.owned_from = LOST_AT - calm, LOST_AT - owned
    _stand_still(context, idle)


@when("the job {reason}, and nothing of it runs for 30 s of calm")
def need_no_run(context, reason):
    context.calm_from = context.owned_from = 0.0
    name, value = {
        "is cancelled": ("cancelled_at", 1.0),
        "is shown as ended": ("completed", True),
        "crashes its workers": ("is_crashing", True),
        "has not been accepted": ("accepted_at", None),
    }[reason]
    setattr(context.job, name, value)
    _stand_still(context, 30.0)


@then("the soak reports {count:d} short jobs as not at work and {late:d} as not ended")
def expect_short_report(context, count, late):
    watch = context.watch
    found = len(watch.overdue), len(watch.unfinished)
    assert found == (count, late), (watch.overdue, watch.unfinished, watch.longest)


@given("a worker of the soak that was told to stop run {run:d} of a task that it does not have")
def stop_unknown_run(context, run):
    context.worker = _build_worker("w0", 4)
    context.body = {"task": TASK, "run": run, "fencingToken": 1, "deadlineMs": 10**12}
    request = Mock(json=AsyncMock(return_value=context.body))
    asyncio.run(context.worker._stop(request))


@when("a start order for run {run:d} of the task arrives")
def send_late_start(context, run):
    request = Mock(json=AsyncMock(return_value=context.body | {"run": run}))
    context.response = asyncio.run(context.worker._start(request))


@then("the worker answers with status {status:d}")
def expect_status(context, status):
    assert context.response.status == status, context.response.status
