"""Steps on the count of pending jobs that entry hosts answer."""

from __future__ import annotations

import asyncio

from behave import given, then, when

FIRST_JOB = 90
FAULTS = {
    "the workers answer start orders with 503": {"unhealthy_status": 503},
    "the workers answer start orders with 429": {"unhealthy_status": 429},
    "the workers have no room": {"refuses_starts": True},
    "the workers leave start orders unanswered": {"ignores_starts": True},
    "the workers start tasks": {},
}
HEALTHY = {"unhealthy_status": 0, "refuses_starts": False, "ignores_starts": False}


def _set_workers(context, states):
    for worker in context.platform.workers.values():
        for name, value in states.items():
            setattr(worker, name, value)


@given("a job that was completed")
def complete_job(context):
    platform = context.platform
    assert platform.run(platform.submit("entry-0", FIRST_JOB, count=1)) == 200
    platform.run(platform.await_state("entry-0", FIRST_JOB, "completed"))


@when("{count:d} jobs are submitted while {fault}")
def submit_under_fault(context, count, fault):
    platform = context.platform
    _set_workers(context, FAULTS[fault])
    context.jobs = range(1, count + 1)

    async def submit_all():
        return await asyncio.gather(*(platform.submit("entry-0", n, count=1) for n in context.jobs))

    statuses = platform.run(submit_all())
    assert set(statuses) == {200}, statuses
    context.accepted_at = platform._loop.time()


@when("the workers start tasks again")
def heal_workers(context):
    _set_workers(context, HEALTHY)


async def _count(platform, member):
    """Returns the count that an entry host answers, None if it refuses."""
    status, document, _ = await platform.call("GET", member, "")
    return document["pending"] if status == 200 else None


@then("{seconds:g} s after that each entry host counts {count:d} pending jobs")
def expect_count_later(context, seconds, count):
    platform = context.platform
    platform.run(platform.pause(context.accepted_at + seconds - platform._loop.time()))
    for member in platform.hosts:
        assert platform.run(_count(platform, member)) == count, member


@then(
    "each entry host counts {count:d} pending jobs within {seconds:g} s and for {further:g} s more"
)
def expect_count_within(context, count, seconds, further):
    platform = context.platform

    async def counts() -> bool:
        return {await _count(platform, member) for member in platform.hosts} == {count}

    platform.run(platform.wait_until(counts, f"the count is {count}", seconds))

    async def list_others() -> list:
        until, others = platform._loop.time() + further, []
        while platform._loop.time() < until:
            found = [await _count(platform, member) for member in platform.hosts]
            others += [other for other in found if other not in (count, None)]
            await asyncio.sleep(0.1)
        return others

    others = platform.run(list_others())
    assert not others, others


@then("all these jobs are completed within {seconds:g} s")
def expect_all_completed(context, seconds):
    platform = context.platform
    member = next(iter(platform.hosts))

    async def are_completed() -> bool:
        states = [await platform.read_state(member, number) for number in context.jobs]
        return set(states) == {"completed"}

    platform.run(platform.wait_until(are_completed, "all jobs are completed", seconds))
