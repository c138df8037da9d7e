"""Steps on repeated submissions while a queue moves, with the real owners."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when
from moved_queue_builders import identify
from owned_queue_builders import OWNERS_HOST, OwnedQueueWorld
from workflow_builders import build_workflow

from carawayd.process.ownercalls import SUBMIT_WORKFLOW
from carawayshore.workflows.model import StepSpec

FIRST, SECOND = "entry-1", "entry-2"
HOSTS = {"first": FIRST, "second": SECOND}


@given("two entry hosts, and the owners of booking, office and depot")
def build_hosts(context):
    world = context.world = OwnedQueueWorld("booking", "office", "depot")
    context.add_cleanup(world.close)
    world.publish("booking")
    world.run(world.start(FIRST, SECOND, OWNERS_HOST))
    context.answers = {}


@when("the second host is cut off from the store, and the owners follow")
def cut_second(context):
    context.world.run(context.world.cut(SECOND))


@when("the second host is cut off from the store, and the owners are cut off as well")
def cut_second_and_owners(context):
    context.world.run(context.world.cut(SECOND, OWNERS_HOST))


@when("the operator sends the queue to {services}")
def move(context, services):
    for service in services.split(" and then to "):
        context.world.run(context.world.apply(service))


@when("the second host forgets the first version")
def forget_version(context):
    """As if it had started after the first move, and the layout had not told the first route."""
    context.world.hosts[SECOND].discovery.layout._routes.clear()


@when("job {number:d} is submitted at the {which} host")
def submit(context, number, which):
    world = context.world
    context.answers[which] = world.run(world.submit(number, HOSTS[which]))


@when("{seconds:g} s passes")
def wait(context, seconds):
    context.world.run(asyncio.sleep(seconds))


@when("the owner of booking is taken over")
def take_over(context):
    world = context.world
    world.run(world.owners.take_over(world.find_partition("booking")))


@when(
    "in {count:d} plays the queue moves to office while the second host and the owners are cut off,"
    " and job {number:d} is submitted at both hosts, up to {most:d} ms apart"
)
def submit_at_both(context, count, number, most):
    context.plays = []
    for play in range(count):
        delay = (2 * play / (count - 1) - 1) * most / 1000
        context.plays.append(_play_race(number, delay))


def _play_race(number: int, delay: float) -> tuple[list[int], int]:
    """Returns both answers, and how many owners have accepted the job.

    ``delay`` is the time in seconds by which the second host gets the job later.
    """
    world = OwnedQueueWorld("booking", "office", "depot")

    async def submit_late(host: str, seconds: float) -> int:
        await asyncio.sleep(max(0.0, seconds))
        return await world.submit(number, host)

    async def run() -> list[int]:
        await world.start(FIRST, SECOND, OWNERS_HOST)
        await world.cut(SECOND, OWNERS_HOST)
        await world.apply("office")
        return await asyncio.gather(submit_late(FIRST, -delay), submit_late(SECOND, delay))

    try:
        world.publish("booking")
        return world.run(run()), world.owners.count_runs(identify(number))
    finally:
        world.close()


@when("a host of the version before this one submits job {number:d}")
def submit_without_version(context, number):
    world = context.world
    step = StepSpec(count=1, millicores=1000, long_running=True)
    workflow = msgspec.to_builtins(build_workflow(step, identifier=identify(number)))
    partition = world.find_partition("booking")
    reply = world.run(world.owners.call(partition, SUBMIT_WORKFLOW, workflow, deadline_seconds=3.0))
    assert reply.outcome == "accepted", reply


@then("the first host answered {first:d} and the second one {second:d}")
def expect_answers(context, first, second):
    assert context.answers == {"first": first, "second": second}, context.answers


@then("the second host answered {status:d}")
def expect_answer(context, status):
    assert context.answers == {"second": status}, context.answers


@then("job {number:d} has been accepted by no owner")
def expect_no_owner(context, number):
    assert context.world.owners.count_runs(identify(number)) == 0


@then("job {number:d} has been accepted by one owner")
def expect_one_owner(context, number):
    assert context.world.owners.count_runs(identify(number)) == 1


@then("one owner has accepted the job in each play, now the former and now the present one")
def expect_one_owner_each(context):
    assert {runs for _, runs in context.plays} == {1}, context.plays
    assert {tuple(answers) for answers, _ in context.plays} == {(200, 200), (200, 503)}
