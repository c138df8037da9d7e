"""Steps on states of short tasks whose driver is lost, in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given, then, when
from short_task_play import ADVICE, STOP_SECONDS
from virtual_time import play
from worker_model import WORKER_CORES, World

from carawayd.platform.common import PlatformTimedOut
from carawayshore.workflows.state import DONE

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LONGEST_WAIT_S = 40.0
CHECK_S = 0.05
# Time within which a submitted job reaches its state.
SETTLE_S = 0.3
RUN_S = 1.5
TASKS = 2
# Time from the loss of a driver to the end of the disturbance.
LOSS_S = 1.0
BOUNCE_S = 0.3
# Time of an append to a slow store, in which a worker is heard of again.
APPEND_S = 3.0

# Functions that bring a job into a state and return its identifier.
STATES: dict[str, Callable[[World], Awaitable[str]]] = {}
# Functions that end what drives a job.
LOSSES: dict[str, Callable[[World, str], Awaitable[None]]] = {}


def state(name: str) -> Callable:
    """Registers a function that brings a job into a state."""

    def register(function: Callable) -> Callable:
        STATES[name] = function
        return function

    return register


def loss(name: str) -> Callable:
    """Registers a function that ends what drives a job."""

    def register(function: Callable) -> Callable:
        LOSSES[name] = function
        return function

    return register


async def _submit(world: World, **changes) -> str:
    job = await world.submit(2, TASKS, RUN_S, **changes)
    await asyncio.sleep(SETTLE_S)
    return job


@state("waiting for room")
async def wait_for_room(world: World) -> str:
    await world.submit(WORKER_CORES, len(world.workers), RUN_S)
    return await _submit(world)


@state("waiting for a ticket")
async def wait_for_ticket(world: World) -> str:
    world.denied.update(world.workers)
    job = await _submit(world, advice=ADVICE)
    await asyncio.sleep(SETTLE_S)
    return job


@state("waiting for a record")
async def wait_for_record(world: World) -> str:
    world.store.refused_keys.add(f"{len(world.jobs):016x}/0/0")
    return await _submit(world)


@state("ordered and unsent")
async def wait_for_append(world: World) -> str:
    job = await world.submit(2, TASKS, RUN_S)
    world.store.append_seconds = LOSS_S
    await asyncio.sleep(SETTLE_S)
    return job


@state("ordered without a sender")
async def lose_sender(world: World) -> str:
    """Loses the call that was to send the start orders, without any error."""
    owner = world.current.owner

    async def send_nothing(orders) -> None:
        owner._settle_starts(len(orders))

    send, owner._send_orders = owner._send_orders, send_nothing
    job = await _submit(world)
    owner._send_orders = send
    return job


@state("ordered and unanswered")
async def wait_for_answer(world: World) -> str:
    world.links = dict.fromkeys(world.workers, "lost")
    return await _submit(world)


@state("ordered and cut off")
async def cut_orders(world: World) -> str:
    world.links = dict.fromkeys(world.workers, "cut")
    return await _submit(world)


@state("at an unlisted worker")
async def run_on_unlisted(world: World) -> str:
    job = await _submit(world)
    world.unlisted.update(name for name, worker in world.workers.items() if worker.runs)
    return job


@state("in an unreadable step")
async def spoil_record(world: World) -> str:
    job = await _submit(world)
    world.store.records[f"{job}/0/0"] = b"{"
    return job


@state("due in a second step")
async def end_first_step(world: World) -> str:
    """Lets the first step end while the store does not take its record."""
    job = await _submit(world, chain=2)
    world.store.append_seconds = RUN_S
    await asyncio.sleep(RUN_S)
    return job


@loss("nothing is lost")
async def lose_nothing(world: World, job: str) -> None:
    await asyncio.sleep(LOSS_S)


@loss("the owner is killed")
async def kill_owner(world: World, job: str) -> None:
    await world.kill_owner()


@loss("the owner hands over")
async def hand_over(world: World, job: str) -> None:
    await world.hand_over()


@loss("another owner intervenes")
async def bounce(world: World, job: str) -> None:
    await world.bounce(BOUNCE_S)


def _find_workers(world: World, job: str) -> list[str]:
    """Returns the workers on which the owner has ordered tasks of a job."""
    tasks = world.current.owner.workflows[job].iterate_ordered_tasks()
    return sorted({task.worker for _, task in tasks})


@loss("its worker goes for good")
async def remove_worker(world: World, job: str) -> None:
    for name in _find_workers(world, job):
        world.workers[name].leave()
    await asyncio.sleep(LOSS_S)


@loss("its worker restarts")
async def restart_worker(world: World, job: str) -> None:
    for name in _find_workers(world, job):
        world.workers[name].restart(WORKER_CORES)
    await asyncio.sleep(LOSS_S)


def _add_allowed_workers(world: World) -> None:
    """Adds workers to a step that has been denied the others; an answer of the policy is final."""
    for name in ("late0", "late1"):
        if name not in world.workers:
            world.add_worker(name)


async def _fail_requests(world: World, error: Exception) -> None:
    _add_allowed_workers(world)
    client = world.current.owner._advisor._client
    advise = client.advise

    async def fail(*arguments, **options):
        raise error

    client.advise = fail
    await asyncio.sleep(LOSS_S)
    client.advise = advise


@loss("the request for tickets fails")
async def fail_request(world: World, job: str) -> None:
    await _fail_requests(world, RuntimeError("unexpected"))


@loss("the request for tickets has no answer")
async def lose_request(world: World, job: str) -> None:
    await _fail_requests(world, PlatformTimedOut("no response"))


@state("at work")
async def run(world: World) -> str:
    return await _submit(world)


def _restore(world: World) -> None:
    world.links = dict.fromkeys(world.workers, "")
    world.store.append_seconds = 0.0
    world.store.refused_keys.clear()
    world.refusals.clear()
    if world.denied:
        _add_allowed_workers(world)


def _list_missing(world: World, job: str) -> list[int]:
    """Returns the tasks of the last step of a job that are neither at work nor done."""
    running = {task for worker in world.workers.values() for task in worker.runs}
    workflow = world.current.owner.workflows.get(job)
    if workflow is None:
        return list(range(TASKS))
    last = max(workflow.steps)
    at_work = {task.index for task in running if (task.workflow, *task[1:3]) == (job, *last)}
    return [
        index
        for index, task in enumerate(workflow.steps[last].tasks)
        if index not in at_work and task.status != DONE and not workflow.is_terminal
    ]


async def _measure(reach: Callable, lose: Callable) -> tuple[float, list[int], list[str]]:
    """Returns the time until all tasks were at work, those that were not, and broken promises."""
    world = World(4, STOP_SECONDS)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        job = await reach(world)
        await lose(world, job)
        _restore(world)
        restored_at = world.now()
        missing = _list_missing(world, job)
        for _ in range(int(LONGEST_WAIT_S / CHECK_S)):
            if not missing:
                break
            await asyncio.sleep(CHECK_S)
            missing = _list_missing(world, job)
        return world.now() - restored_at, missing, world.violations
    finally:
        await world.close()


@given("4 workers and a job whose tasks are {name}")
def choose_state(context, name):
    context.reach = STATES[name]


@when("{name}, and everything answers again")
def lose_driver(context, name):
    context.waited, context.missing, context.violations = play(
        _measure(context.reach, LOSSES[name])
    )


@then("each task of the job is at work or done within {seconds:g} s of that")
def expect_at_work(context, seconds):
    assert not context.violations, context.violations
    assert not context.missing, (context.waited, context.missing)
    assert context.waited <= seconds, context.waited


def _find_last_run(world: World, job: str) -> int:
    """Returns the highest number of a run that the owner has ordered for a job."""
    steps = world.current.owner.workflows[job].steps.values()
    return max(task.run for step in steps for task in step.tasks)


async def _refuse_records(world: World, job: str) -> None:
    world.store.refused_keys.add(f"{job}/0/0")


async def _refuse_orders(world: World, job: str) -> None:
    world.refusals.update(dict.fromkeys(world.workers, "full"))


async def _delay_records(world: World, job: str) -> None:
    world.store.append_seconds = APPEND_S


# What keeps a later order from being carried out.
OBSTACLES = {
    "the store refuses": _refuse_records,
    "the workers refuse": _refuse_orders,
    "the store delays": _delay_records,
}


async def _lose_success(reach: Callable, obstruct: Callable) -> tuple[list[str], str]:
    world = World(4, STOP_SECONDS)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        job = await reach(world)
        [worker] = _find_workers(world, job)
        world.links[worker] = "cut"
        await obstruct(world, job)
        for _ in range(int(LONGEST_WAIT_S / CHECK_S)):
            if _find_last_run(world, job) > 1:
                break
            await asyncio.sleep(CHECK_S)
        world.links[worker] = ""
        await asyncio.sleep(LOSS_S)
        _restore(world)
        await asyncio.sleep(LONGEST_WAIT_S)
        return world.violations, (await world.current.owner.read_state(job)).detail
    finally:
        await world.close()


@when("their worker is cut off until its lease has lapsed, and {cause} a later order")
def lose_success(context, cause):
    context.violations, context.job_state = play(_lose_success(context.reach, OBSTACLES[cause]))


@then("no task begins after its end, and the job is shown as completed")
def expect_success(context):
    assert not context.violations, context.violations
    assert context.job_state == "completed", context.job_state
