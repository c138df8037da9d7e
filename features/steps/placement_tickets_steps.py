"""Steps on the tickets of the placement policy service, in virtual time."""

from __future__ import annotations

import asyncio

import looptime
from behave import given, then, when
from worker_model import World

from carawayshore.workflows.model import AdviceConfig

LONG_S = 300.0
POLL_S = 0.01


@given("{count:d} workers, and tickets whose lifetime is counted from the {origin}")
def build_world(context, count, origin):
    context.loop = looptime.new_event_loop(start=0, noop_cycles=2)
    context.add_cleanup(context.loop.close)

    async def build() -> World:
        world = World(count, 0.05)
        world.crashed_return_as_new = False
        world.crash_downtime_s = 0.3
        world.tickets_count_from_call = origin == "request"
        await world.take_over()
        await asyncio.sleep(2.0)
        return world

    context.jobs = []
    context.world = context.loop.run_until_complete(build())
    context.add_cleanup(lambda: context.loop.run_until_complete(context.world.close()))


@given("only the last {count:d} of them are allowed")
def deny_others(context, count):
    context.world.denied = set(list(context.world.workers)[:-count])


@when(
    "a job of {tasks:d} tasks arrives whose queue decides in {decision:d} and {worker:d} ms a"
    " worker, for {valid:d} ms"
)
def submit(context, tasks, decision, worker, valid):
    _submit(context, tasks, AdviceConfig(decision, worker, valid))


def _submit(context, tasks: int, declared: AdviceConfig, actual: AdviceConfig | None = None):
    world = context.world
    context.submitted_at = context.loop.time()
    number = len(world.jobs)
    if actual is not None:
        world.advice_terms[f"{number:016x}"] = actual

    async def run() -> str:
        job = await world.submit(4, tasks, LONG_S, long_running=True, advice=declared)
        world.advice_terms[job] = actual or declared
        return job

    context.jobs.append((context.loop.run_until_complete(run()), tasks))


@when(
    "a job of {tasks:d} tasks arrives whose queue declares {decision:d} and {worker:d} ms a worker,"
    " and needs {real_decision:d} and {real_worker:d} ms, for {valid:d} ms"
)
def submit_slow(context, tasks, decision, worker, real_decision, real_worker, valid):
    declared = AdviceConfig(decision, worker, valid)
    _submit(context, tasks, declared, AdviceConfig(real_decision, real_worker, valid))


@when(
    "the service is down and {count:d} jobs arrive whose queue decides in {decision:d} and"
    " {worker:d} ms a worker, for {valid:d} ms"
)
def submit_without_service(context, count, decision, worker, valid):
    context.world.advice_is_down = True
    for _ in range(count):
        submit(context, 1, decision, worker, valid)


@when("the workers run for {seconds:g} s")
def wait(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@when("the service is back")
def restore_service(context):
    context.world.advice_is_down = False
    context.submitted_at = context.loop.time()


def _count_at_work(world: World, job: str) -> int:
    return sum(task.workflow == job for worker in world.workers.values() for task in worker.runs)


def _await_work(context, seconds: float) -> None:
    world = context.world

    async def wait() -> None:
        until = context.submitted_at + seconds
        while any(_count_at_work(world, job) < tasks for job, tasks in context.jobs):
            counts = [(_count_at_work(world, job), tasks) for job, tasks in context.jobs]
            assert world.now() < until, (counts, world.advice_calls, world.refused_tickets)
            await asyncio.sleep(POLL_S)

    context.loop.run_until_complete(wait())


@when("all its tasks are at work and the first worker restarts")
def restart_first(context):
    _await_work(context, 5.0)
    world = context.world
    context.submitted_at = context.loop.time()

    async def crash() -> None:
        world.workers["w0"].crash()

    context.loop.run_until_complete(crash())


@then("all its tasks are at work after at most {seconds:g} s")
def expect_work(context, seconds):
    _await_work(context, seconds)
    assert not context.world.violations, context.world.violations


@then("the tasks of all {count:d} jobs are at work after at most {seconds:g} s")
def expect_all_work(context, count, seconds):
    assert len(context.jobs) == count
    _await_work(context, seconds)


@then("at most {count:d} starts were refused for lack of a ticket")
def expect_few_refusals(context, count):
    assert context.world.refused_tickets <= count, context.world.refused_tickets


@then("each request about a step names fewer workers than the one before, until tickets are used")
def expect_fewer_workers(context):
    calls = context.world.advice_calls
    assert len(calls) > 1 and all(b < a for a, b in zip(calls, calls[1:], strict=False)), calls


@then("at most {count:d} requests were sent")
def expect_few_requests(context, count):
    assert len(context.world.advice_calls) <= count, len(context.world.advice_calls)
