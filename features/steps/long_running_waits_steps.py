"""Steps on the report of long-running tasks that are not at work, in virtual time."""

from __future__ import annotations

import asyncio
import logging

from behave import given, then, when
from log_lines import collect_lines
from virtual_time import play
from worker_model import SERVICE, World

from carawayd.process.logs import JsonFormatter

STOP_S = 0.05
LONG_S = 1_000.0
TASK_CORES = 6


@given("{count:d} workers of 12 cores that are full of long-running tasks")
def set_workers(context, count):
    context.worker_count = count


def _run(context, scenario) -> None:
    async def run() -> None:
        world = World(context.worker_count, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            await world.submit(TASK_CORES, 2 * context.worker_count, LONG_S, long_running=True)
            await asyncio.sleep(2.0)
            await scenario(world)
            metrics = world.current.owner._metrics
            context.absent = metrics.long_running_absent.labels(SERVICE)._value.get()
            context.longest = metrics.long_running_longest_wait.labels(SERVICE)._value.get()
        finally:
            await world.close()

    with collect_lines("carawayd.partition.waits") as collector:
        play(run())
    context.lines = collector.lines


@when("a long-running task of 6 cores is submitted and {seconds:g} s pass")
def submit_further(context, seconds):
    async def act(world) -> None:
        context.waiting = await world.submit(TASK_CORES, 1, LONG_S, long_running=True)
        await asyncio.sleep(seconds)

    _run(context, act)


@when("the first worker refuses connections for {seconds:g} s")
def refuse_connections(context, seconds):
    async def act(world) -> None:
        world.links["w0"] = "refused"
        await asyncio.sleep(seconds)

    _run(context, act)


@when("a long-running task of 6 cores waits for {seconds:g} s until one of the others is cancelled")
def cancel_others(context, seconds):
    async def act(world) -> None:
        context.waiting = await world.submit(TASK_CORES, 1, LONG_S, long_running=True)
        await asyncio.sleep(seconds)
        await world.cancel(0)
        await asyncio.sleep(3.0)

    _run(context, act)


@then(
    "the log tells {count:d} times, after 3 s or more, that it is waiting since {workers:d} workers"
    " have no room"
)
def expect_waiting(context, count, workers):
    found = [
        fields
        for _, fields in context.lines
        if fields["task"].startswith(context.waiting) and fields["state"] == "waiting"
    ]
    assert len(found) == count, context.lines
    assert all(fields["workers"] == {"no room": workers} for fields in found), found
    assert all(fields["seconds"] >= 3.0 for fields in found), found


@then("the log tells that its tasks are ordered on a worker that is unresponsive")
def expect_ordered(context):
    found = [fields for _, fields in context.lines if fields["state"] == "ordered"]
    assert len(found) == 2, context.lines
    assert all(fields["link"] == "unresponsive" for fields in found), found
    assert all(fields["order"] == [1, "started", True, False] for fields in found), found


@then("the log tells that it waits no more")
def expect_end(context):
    found = [fields for message, fields in context.lines if "waits no more" in message]
    assert [fields["task"] for fields in found] == [f"{context.waiting}.0.0.0"], context.lines


@then("the metrics show {count:d} task that is not at work, for {seconds:g} s or more")
@then("the metrics show {count:d} tasks that are not at work, for {seconds:g} s or more")
def expect_metrics(context, count, seconds):
    assert context.absent == count, context.absent
    assert context.longest >= seconds, context.longest


@then("the metrics show no task that is not at work")
def expect_no_absence(context):
    assert context.absent == context.longest == 0, (context.absent, context.longest)


@then(
    "the first {length:d} characters of its line name the task, the time and the obstacle of each "
    "worker"
)
def expect_essentials_first(context, length):
    (message, fields), *_ = context.lines
    record = logging.makeLogRecord(
        {"msg": message, "name": "carawayd.partition.waits", "levelno": logging.WARNING}
    )
    record.levelname, record.fields = "WARNING", fields
    start = JsonFormatter("front-umea-b-1").format(record)[:length]
    essentials = [fields["task"], '"seconds": 3', '"workers": {"no room": 2}']
    assert all(text in start for text in essentials), start
