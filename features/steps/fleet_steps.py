"""Steps for moving hosts between pools, in virtual time."""

from __future__ import annotations

import asyncio

from behave import then, when
from interleaving_steps import start_move


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def find_fleet_holder(context) -> str:
    return next(
        name for name, host in context.cluster.hosts.items() if host.components.claims[0].holds()
    )


async def _check_for(context, seconds: float) -> None:
    """Checks the promises every 50 ms of virtual time."""
    for _ in range(int(seconds / 0.05)):
        context.cluster.check()
        await asyncio.sleep(0.05)


@when("an entry host that does not hold the claim fleet is paused")
def pause_other(context):
    holder = find_fleet_holder(context)
    context.paused = next(name for name in context.cluster.hosts if name != holder)
    context.cluster.hosts[context.paused].link.running.clear()


@when("the paused entry host resumes")
def resume_paused(context):
    context.cluster.hosts[context.paused].link.running.set()


@when("an operator moves {worker} to office")
def move_host(context, worker):
    _run(context, start_move(context.cluster, find_fleet_holder(context), worker))


@when("half of the answers of the platform are lost")
def lose_answers(context):
    context.cluster.log.lose_share = context.cluster.pools.lose_share = 0.5


@when("the holder of the claim fleet crashes")
def crash_holder(context):
    context.crashed = find_fleet_holder(context)
    _run(context, context.cluster.kill(context.crashed))


@when("the crashed entry host starts again")
def restart_crashed(context):
    _run(context, context.cluster.start(context.crashed))


@when("the host list no longer shows the crashed entry host")
def unlist_crashed(context):
    del context.cluster.listed[context.crashed]


@when("{seconds:g} s pass on all entry hosts")
def pass_time(context, seconds):
    _run(context, _check_for(context, seconds))


@then("{worker} is still draining and serves no pool")
def expect_draining(context, worker):
    name = next(name for name in context.cluster.hosts if name != context.paused)
    found = context.cluster.hosts[name].components.reader.folded.hosts[worker]
    assert found.draining_to == "office", found
    assert not context.cluster.violations, context.cluster.violations


@then("{worker} serves office and no entry host sends it other work")
def expect_moved(context, worker):
    for host in context.cluster.hosts.values():
        found = host.components.reader.folded.hosts[worker]
        assert (found.pool, found.draining_to) == ("office", ""), found
    status = context.cluster.pools.hosts[worker]
    assert (status.pool, status.state) == ("office", "serving"), status
    assert not context.cluster.violations, context.cluster.violations
