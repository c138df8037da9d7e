"""Steps on the report of short tasks that are not at work, in virtual time."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from log_lines import collect_lines
from virtual_time import play
from worker_model import SERVICE, WORKER_CORES, World

STOP_S = 0.05
TASK_S = 1.0
# Time for which other tasks fill the workers.
FILL_S = 0.5
CORDON_S = 60.0
NOT_AT_WORK = "short task is not at work"
LOGGERS = ("carawayd.partition.shortwaits", "carawayd.partition.unusedworkers")


def _ignore(*_) -> None:
    """Does nothing."""


@given("{count:d} workers of 12 cores, and an owner that opens no step")
def set_no_steps(context, count):
    context.worker_count, context.lost = count, "_open_step"


@given("{count:d} workers of 12 cores, and an owner that loses each start order before it is sent")
def set_no_orders(context, count):
    context.worker_count, context.lost = count, "_start_sending"


@given("{count:d} workers of 12 cores")
def set_short_workers(context, count):
    context.worker_count, context.lost = count, ""


def _run(context, act) -> None:
    async def run() -> None:
        world = World(context.worker_count, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            owner = world.current.owner
            if context.lost:
                setattr(owner, context.lost, _ignore)
            await act(world)
            metrics = owner._metrics
            context.longest = metrics.short_task_longest_wait.labels(SERVICE)._value.get()
            context.unexplained = metrics.short_task_longest_unexplained_wait.labels(
                SERVICE
            )._value.get()
            context.unused = metrics.unused_workers.labels(SERVICE)._value.get()
        finally:
            await world.close()

    with collect_lines(*LOGGERS) as context.log:
        play(run())


def _submit(context, tasks, cores, seconds, task_seconds=TASK_S) -> None:
    async def act(world: World) -> None:
        context.job = await world.submit(cores, tasks, task_seconds)
        await asyncio.sleep(seconds)

    _run(context, act)


def _submit_and_cordon(context, tasks, cores, seconds, cordon_seconds) -> None:
    """Submits tasks while others fill the workers, which are cordoned then."""

    async def act(world: World) -> None:
        await world.submit(WORKER_CORES, len(world.workers), FILL_S)
        await asyncio.sleep(0.1)
        context.job = await world.submit(cores, tasks, TASK_S)
        for name in list(world.workers):
            await world.cordon(name, cordon_seconds)
        await asyncio.sleep(seconds)

    _run(context, act)


@when("{tasks:d} tasks of {cores:d} cores are submitted and {seconds:g} s pass")
@when("{tasks:d} task of {cores:d} cores is submitted and {seconds:g} s pass")
def submit_tasks(context, tasks, cores, seconds):
    _submit(context, tasks, cores, seconds)


@when(
    "{tasks:d} tasks of {cores:d} cores that take {task_seconds:g} s are submitted and {seconds:g}"
    " s pass"
)
def submit_long_tasks(context, tasks, cores, task_seconds, seconds):
    _submit(context, tasks, cores, seconds, task_seconds)


@when("{tasks:d} task of {cores:d} cores is submitted, both are cordoned and {seconds:g} s pass")
def submit_cordoned(context, tasks, cores, seconds):
    _submit_and_cordon(context, tasks, cores, seconds, CORDON_S)


@when(
    "{tasks:d} task of {cores:d} cores is submitted, both are cordoned for {cordon:g} s and"
    " {seconds:g} s pass"
)
def submit_until_uncordoned(context, cordon, tasks, cores, seconds):
    _submit_and_cordon(context, tasks, cores, seconds, cordon)


@when("the first worker does not answer for {seconds:g} s")
def cut_worker(context, seconds):
    async def act(world: World) -> None:
        await world.submit(1, 1, seconds)
        await asyncio.sleep(0.5)
        world.links["w0"] = "cut"
        await asyncio.sleep(seconds)

    _run(context, act)


@then(
    "the log tells of each step {count:d} times that its first task waits, not open, with"
    " {workers:d} workers free"
)
def expect_closed_step(context, count, workers):
    found = context.log.find(NOT_AT_WORK)
    assert [fields["task"] for fields in found] == [f"{context.job}.0.0.0"] * count, found
    assert all(fields["state"] == "waiting" and not fields["open"] for fields in found), found
    assert all(fields["workers"] == {"free": workers} for fields in found), found


@then("the log tells that the task is ordered, and that its order is sending and was not sent")
def expect_unsent(context):
    [fields] = context.log.find(NOT_AT_WORK)
    assert fields["state"] == "ordered" and not fields["sent"], fields
    assert fields["order"] == [1, "sending", False, False], fields


@then("the log tells that the task waits while {workers:d} workers are cordoned")
def expect_cordoned(context, workers):
    [fields] = context.log.find(NOT_AT_WORK)
    assert fields["workers"] == {"cordoned": workers}, fields


@then(
    "no task is logged by itself, and the log tells {count:d} time that {tasks:d} tasks wait while"
    " {workers:d} workers have no room"
)
def expect_summary(context, count, tasks, workers):
    assert not context.log.find(NOT_AT_WORK), context.log.lines
    found = context.log.find("short tasks wait")
    assert len(found) == count, found
    assert all(fields["tasks"] == tasks for fields in found), found
    assert all(fields["workers"] == {"no room": workers} for fields in found), found


@then("the log tells that the task waits no more")
def expect_end_of_wait(context):
    found = context.log.find("short task no longer waits: at work, or it has ended")
    assert [fields["task"] for fields in found] == [f"{context.job}.0.0.0"], context.log.lines


@then("the log tells that {count:d} of {total:d} workers is unused because it is unresponsive")
def expect_unused(context, count, total):
    found = context.log.find("workers are listed as ready and not usable")
    assert found, context.log.lines
    assert all(
        (fields["workers"], fields["of"], fields["reasons"]) == (count, total, {"unresponsive": 1})
        for fields in found
    ), found


@then("the metrics show a task that has waited for {seconds:g} s or more without a shortage")
def expect_unexplained(context, seconds):
    assert context.unexplained >= seconds, context.unexplained


@then(
    "the metrics show a task that has waited for {seconds:g} s or more, and none without a shortage"
)
def expect_explained(context, seconds):
    assert context.longest >= seconds and not context.unexplained, (
        context.longest,
        context.unexplained,
    )


@then("the metrics show no task that waits")
def expect_no_wait(context):
    assert context.longest == context.unexplained == 0, (context.longest, context.unexplained)


@then("the metrics show {count:d} unused worker")
def expect_unused_metric(context, count):
    assert context.unused == count, context.unused
