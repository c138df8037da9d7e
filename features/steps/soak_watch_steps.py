"""Steps on the soak's check of long-running tasks."""

from __future__ import annotations

from behave import given, then, when
from soak_lasting import SAMPLE_S, LongRunningWatch, SoakWorker
from soak_run import Job

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
