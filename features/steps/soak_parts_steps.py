"""Steps on parts of the soak: the check of long-running tasks, and the start of hosts."""

from __future__ import annotations

import asyncio
from pathlib import Path

from behave import given, then, when
from soak_lasting import SAMPLE_S, LongRunningWatch, SoakWorker
from soak_run import Job, SoakDeployment, SoakPlan

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
