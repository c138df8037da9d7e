"""Steps on what drives the tasks that are not at work."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from driver_builders import TASK, build_owner
from driver_watch import watch_drivers
from log_lines import collect_lines
from virtual_time import play
from worker_model import SERVICE, WORKER_CORES, World

from carawayd.partition.drivers import iterate_absences
from carawayd.platform.runs import format_task
from carawayshore.workflows.model import TaskName

STOP_S = 0.05
LOOK_S = 1.0
WORKERS = 2
TASK_S = 60.0
UNDRIVEN_LINE = "nothing drives a task whose turn has come"
LOGGERS = ("carawayd.partition.drivers", "carawayd.partition.shortwaits")


@given("an owner with a task in the state: {name}")
def set_state(context, name):
    context.harness = build_owner(name)
    context.add_cleanup(context.harness.close)


def _look(context, *, plans: bool = False) -> None:
    owner = context.harness.owner
    if plans:
        owner._drivers.note_plan()
    owner._drivers.check(owner.fence)


@when("the owner looks {count:d} times")
def look(context, count):
    with collect_lines(*LOGGERS) as context.log:
        for _ in range(count):
            _look(context)
            context.harness.clock.seconds += LOOK_S


@when("the owner plans and looks {count:d} times")
def plan_and_look(context, count):
    for _ in range(count):
        _look(context, plans=True)
        context.harness.clock.seconds += LOOK_S


@when("the store answers again")
def end_stall(context):
    context.harness.owner.ledger._append_started_at = None


@then('the task is driven by "{driver}" for "{reason}", which acts within {seconds:g} s')
@then('the task is driven by "{driver}" for "", which acts within {seconds:g} s')
def expect_driver(context, driver, seconds, reason=""):
    owner = context.harness.owner
    look = owner._drivers._look()
    [absence] = iterate_absences(look, owner._planner.is_due)
    found = absence.driver
    assert (absence.name, found.kind, found.reason) == (TASK, driver, reason), absence
    assert look.now <= found.until <= look.now + seconds, (look.now, found)


@then("no task counts as undriven")
def expect_driven(context):
    _look(context)
    owner = context.harness.owner
    assert not owner._drivers.undriven, owner._drivers.undriven
    assert owner._metrics.undriven_tasks.labels(SERVICE)._value.get() == 0


@then('the task counts as undriven by "{driver}" for "{reason}"')
@then('the task counts as undriven by "{driver}" for ""')
def expect_undriven(context, driver, reason=""):
    owner = context.harness.owner
    [found] = owner._drivers.undriven
    expected = (TASK, driver, reason)
    absence = found.absence
    assert (absence.name, absence.driver.kind, absence.driver.reason) == expected, found
    assert owner._metrics.undriven_tasks.labels(SERVICE)._value.get() == 1


@then("the log tells of it {count:d} time, with the state {state}")
def expect_lines(context, count, state):
    found = context.log.find(UNDRIVEN_LINE)
    assert [(fields["task"], fields["state"]) for fields in found] == [
        (format_task(TASK), state)
    ] * count, found


def _run(context, act, loggers=LOGGERS) -> None:
    async def run() -> None:
        world = World(WORKERS, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            await act(world)
            context.violations = [text for text in world.violations if text.startswith("UNDRIVEN")]
            context.sent = sum(world.sent_starts.values())
        finally:
            await world.close()

    with collect_lines(*loggers) as context.log:
        play(run())


@given("a running owner whose task {what}")
def set_running(context, what):
    context.fills = what == "waits for room"


@when("its open step is removed and {seconds:g} s pass")
def remove_open_step(context, seconds):
    async def act(world: World) -> None:
        await world.submit(WORKER_CORES, WORKERS, TASK_S)
        job = await world.submit(WORKER_CORES, 1, TASK_S)
        await asyncio.sleep(0.5)
        watch_drivers(world)
        context.task = TaskName(job, 0, 0, 0)
        del world.current.owner._open_steps[context.task[:3]]
        await asyncio.sleep(seconds)

    assert context.fills
    _run(context, act)


@when("its order is removed and {seconds:g} s pass")
def remove_order(context, seconds):
    async def act(world: World) -> None:
        job = await world.submit(1, 1, TASK_S)
        await asyncio.sleep(0.5)
        watch_drivers(world)
        context.task = TaskName(job, 0, 0, 0)
        owner = world.current.owner
        link = owner.links[owner._find_task(context.task)[2].worker]
        # The next report would show the run, and the link would adopt it at once.
        world.links[link.worker] = "cut"
        await asyncio.sleep(0.1)
        del link.orders[context.task]
        await asyncio.sleep(seconds)

    assert not context.fills
    _run(context, act)


@then("the watch of the play finds the task once")
def expect_finding(context):
    assert len(context.violations) == 1, context.violations
    assert format_task(context.task) in context.violations[0], context.violations


@given("a running owner whose workers are all cordoned for {seconds:g} s")
def set_cordon(context, seconds):
    async def disturb(world: World) -> None:
        for name in list(world.workers):
            await world.cordon(name, seconds)

    context.disturb = disturb


@given("a running owner whose workers refuse all starts for {seconds:g} s")
def set_refusals(context, seconds):
    async def disturb(world: World) -> None:
        world.refusals = dict.fromkeys(world.workers, "full")
        asyncio.get_running_loop().call_later(seconds, world.refusals.clear)

    context.disturb = disturb


@when("a task is submitted and {seconds:g} s pass")
def submit_disturbed(context, seconds):
    async def act(world: World) -> None:
        # While others fill the workers, so that admission accepts the job.
        await world.submit(WORKER_CORES, WORKERS, 0.5)
        await asyncio.sleep(0.1)
        job = await world.submit(6, 1, TASK_S)
        context.task = TaskName(job, 0, 0, 0)
        await context.disturb(world)
        await asyncio.sleep(seconds)

    _run(context, act)


def _find_end(context) -> dict:
    [fields] = context.log.find("short task no longer waits: at work, or it has ended")
    assert fields["task"] == format_task(context.task), fields
    return fields


@then('the last line of its wait adds up {least:g} s to {most:g} s for "{what}"')
def expect_sum(context, least, most, what):
    fields = _find_end(context)
    assert least <= fields["job_waits"].get(what, 0.0) <= most, fields


@then("the last line of its wait tells of {seconds:g} s or more in all")
def expect_total(context, seconds):
    fields = _find_end(context)
    assert fields["job_seconds"] >= seconds, fields
    assert sum(fields["job_waits"].values()) >= seconds - LOOK_S, fields


@then("the task was ordered several times meanwhile")
def expect_orders(context):
    # Two starts are those of the tasks that filled the workers.
    assert context.sent - WORKERS >= 3, context.sent
