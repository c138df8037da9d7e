"""Steps for idempotency keys granted while the log is down, in virtual time."""

from __future__ import annotations

import asyncio

import looptime
from behave import given, then, when
from interleaving_steps import NAMES, publish_configuration
from virtual import DATA_CENTRE, Cluster

from carawayshore.keys import choose_owner

KEY = f"{DATA_CENTRE}:confirmation"
OUTAGE_SECONDS = 2
SETTLE_SECONDS = 4
CLUSTER_SEED = 5


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def _start_all(cluster: Cluster) -> None:
    for name in NAMES:
        await cluster.start(name)


async def _start_and_settle(cluster: Cluster) -> str:
    """Starts all entry hosts; returns the owner of the key once the view has settled."""
    await _start_all(cluster)
    await asyncio.sleep(3)
    await publish_configuration(cluster, NAMES[0])
    await asyncio.sleep(1)
    return choose_owner(KEY, cluster.hosts[NAMES[0]].components.reader.folded.view)[0]


@given("three entry hosts with a settled view")
def start_cluster(context):
    context.loop = looptime.new_event_loop(start=0, noop_cycles=2)
    context.cluster = Cluster(NAMES, CLUSTER_SEED)
    context.owner = _run(context, _start_and_settle(context.cluster))
    context.others = [name for name in NAMES if name != context.owner]

    async def end() -> None:
        for name in NAMES:
            await context.cluster.kill(name)
        await asyncio.gather(*context.cluster.tasks, return_exceptions=True)

    context.add_cleanup(lambda: (_run(context, end()), context.loop.close()))


@when("the log goes down")
def stop_log(context):
    context.cluster.log.down = True
    _run(context, asyncio.sleep(OUTAGE_SECONDS))


@when("the log comes back")
def start_log(context):
    context.cluster.log.down = False


@when("a request with a key arrives at an entry host that does not own it")
def claim_once(context):
    _run(context, context.cluster.claim(context.others[0], KEY))


@when("the owner crashes and starts again")
def restart_owner(context):
    async def restart() -> None:
        await context.cluster.kill(context.owner)
        await context.cluster.start(context.owner)

    _run(context, restart())


@when("the other entry hosts lose their connection to the log")
def cut_others(context):
    for name in context.others:
        context.cluster.hosts[name].link.log_cut = True


@when("the other entry hosts are cut off from the log and all peers")
def isolate_others(context):
    for name in context.others:
        link = context.cluster.hosts[name].link
        link.log_cut = link.peers_cut = True


@when("all connections are restored")
def reconnect_all(context):
    for entry_host in context.cluster.hosts.values():
        entry_host.link.log_cut = entry_host.link.peers_cut = False


@when("all entry hosts crash and start again")
def restart_all(context):
    async def restart() -> None:
        for name in NAMES:
            await context.cluster.kill(name)
        await _start_all(context.cluster)

    _run(context, restart())


@when("the caller repeats the request through every entry host")
def claim_everywhere(context):
    async def claim() -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        for name in NAMES:
            await context.cluster.claim(name, KEY)

    _run(context, claim())


@then("the request ran once")
def expect_once(context):
    assert len(context.cluster.granted.get(KEY, ())) == 1, context.cluster.granted
    assert not context.cluster.violations, context.cluster.violations


@then("the request did not run")
def expect_never(context):
    assert not context.cluster.granted.get(KEY), context.cluster.granted
