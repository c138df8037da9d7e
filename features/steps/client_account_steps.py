"""Steps about keys, caps and weights of client accounts."""

from __future__ import annotations

import asyncio
import os
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any

from account_builders import (
    KEYS,
    WEIGHT,
    build_account,
    encode_accounts,
    find_queue,
    read_accounts,
    replay_submissions,
)
from behave import given, then, when
from cap_share_play import PARTITIONS, CapWorld, Task, play_caps
from virtual import LoopClock
from virtual_time import play

from carawayd.partition.accountusage import AccountUsage
from carawayd.partition.demand import Demand
from carawayd.process.configrelay import ConfigurationRelay
from carawayd.process.discovery import Discovery
from carawayshore.decoding import MalformedDocument
from carawayshore.workflows.accounts import hash_key, identify_caller
from carawayshore.workflows.amounts import NOTHING, Amounts
from carawayshore.workflows.fairness import is_over_share
from carawayshore.workflows.model import AccountConfig, StepSpec, Workflow
from carawayshore.workflows.ordering import Candidate, rank_candidate
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import CANCELLED, ORDERED, WorkflowState, restore_workflows

CALLS = {
    "with the key of harbour": f"Token {KEYS['harbour']}",
    "with the key of museum": f"Token {KEYS['museum']}",
    "with the key of harbour in lower case scheme": f"token {KEYS['harbour']}",
    "with an unknown key": "Token k-unknown",
    "without a key": "",
    "with an empty key": "Token  ",
    "with the key under another scheme": f"Bearer {KEYS['harbour']}",
    "with a key of 100 kB": "Token " + "k" * 100_000,
}
FAULTS: dict[str, list[dict[str, Any]]] = {
    "an account without a name": [build_account("")],
    "a cap below 0": [build_account("harbour", cap={"cpu": -1})],
    "a cap that is not whole": [build_account("harbour", cap={"memMb": 1.5})],
    "a weight below 0": [build_account("harbour", weight=-1)],
    "a weight of 0": [build_account("harbour", weight=0)],
    "an empty key": [build_account("harbour", apiKeys=["", " ", "k1"])],
    "a key of two accounts": [
        build_account("harbour"),
        build_account("museum", apiKeys=["k-harbour-1"]),
    ],
    "a doubled key": [build_account("harbour", apiKeys=["k1", "k1"])],
    "3000 accounts": [build_account(f"a{number}") for number in range(3_000)],
}
DEFAULT_CAP_PLAYS = 8
POOL = Amounts(64_000, 128_000, 0)


@given('a configuration with the accounts "harbour" and "museum", each with its key')
def build_both(context):
    context.deployment = read_accounts(1, [build_account(name) for name in KEYS])


@given("a configuration without accounts")
def build_none(context):
    context.deployment = read_accounts(1, None)


@given("a configuration with no account in its list")
def build_empty(context):
    context.deployment = read_accounts(1, [])


@when("a caller calls a {kind} queue {call}")
def call_queue(context, kind, call):
    queue = find_queue(context.deployment, kind)
    context.caller = identify_caller(context.deployment, queue, CALLS[call])


@then("the call is accepted for {account}")
def check_accepted_for(context, account):
    assert context.caller == (True, account), context.caller


@then("the call is accepted without account")
def check_accepted(context):
    assert context.caller == (True, ""), context.caller


@then("the call is refused")
def check_refused(context):
    assert not context.caller.accepted


@when("a configuration with {fault} is read")
def read_faulty(context, fault):
    context.error = context.deployment = None
    try:
        context.deployment = read_accounts(1, FAULTS[fault])
    except MalformedDocument as error:
        context.error = error.finding


@then("it is rejected at {pointer}")
def check_rejected(context, pointer):
    assert context.error is not None and context.error.pointer == pointer, context.error


@then("it is read with a weight of 0")
def check_weight(context):
    assert context.deployment.accounts["harbour"].weight == 0


@then("it is read without that key")
def check_empty_key(context):
    assert dict(context.deployment.accounts_by_key) == {hash_key("k1"): "harbour"}


@then("it is read with the key as that of the first")
def check_shared_key(context):
    assert dict(context.deployment.accounts_by_key) == {hash_key(KEYS["harbour"]): "harbour"}


@then("it is read with one key")
def check_doubled_key(context):
    assert dict(context.deployment.accounts_by_key) == {hash_key("k1"): "harbour"}


@then("it is read with 3000 accounts")
def check_many(context):
    assert len(context.deployment.accounts) == 3_000


# -- versions of the configuration ---------------------------------------------------------------


class _Peers:
    """Calls between entry hosts in memory."""

    def __init__(self) -> None:
        self.hosts: dict[str, Any] = {}

    async def call(self, address: str, operation: str, *arguments: Any, timeout: float) -> Any:
        return await self.hosts[address].handlers[operation](list(arguments))


class _Host:
    """Configuration of one entry host, and the relay that reads it from a peer."""

    def __init__(self, name: str, peers: _Peers, clock: LoopClock) -> None:
        settings = SimpleNamespace(member=name)
        self.discovery = Discovery(None, settings, clock)
        self.is_served = True
        self.discovery.has_contact = lambda limit: self.is_served
        rpc = SimpleNamespace(handlers={}, call=peers.call)
        ownership = SimpleNamespace(
            list_peer_addresses=lambda: [other for other in peers.hosts if other != name],
            refresh_directory=lambda interval: None,
        )
        self.relay = ConfigurationRelay(self.discovery, ownership, rpc, settings, clock)
        peers.hosts[name] = rpc

    def accepts(self, key: str) -> bool:
        deployment = self.discovery.deployment
        queue = find_queue(deployment, "private")
        return identify_caller(deployment, queue, f"Token {key}").accepted


def _apply(host: _Host, version: int, keys: list[str]) -> None:
    accounts = [build_account("harbour", apiKeys=keys)]
    # Without a store, the partitions of the services cannot be recorded.
    host.discovery._is_recording_layout = True
    host.discovery.apply_configuration(encode_accounts(version, accounts))


@given("an entry host with version 3 of the configuration, which has withdrawn the key of harbour")
def build_withdrawn(context):
    context.play = 3


@when("version 2, which still has that key, is read from a peer")
def read_older(context):
    async def scene():
        host = _Host("a", _Peers(), LoopClock())
        _apply(host, context.play, ["k-new"])
        _apply(host, 2, [KEYS["harbour"]])
        return [host.accepts(KEYS["harbour"])]

    context.accepted = play(scene())


@then("the key of harbour is still refused")
def check_still_refused(context):
    assert context.accepted == [False]


@given("two entry hosts, one of which the store turns away")
def build_two(context):
    context.turned_away = True


@when("the other one reads a version that withdraws the key of harbour")
def withdraw(context):
    async def scene():
        peers, clock = _Peers(), LoopClock()
        hosts = [_Host(name, peers, clock) for name in ("a", "b")]
        for host in hosts:
            _apply(host, 1, [KEYS["harbour"]])
        hosts[0].is_served = not context.turned_away
        before = [host.accepts(KEYS["harbour"]) for host in hosts]
        await hosts[0].relay.start()
        _apply(hosts[1], 2, ["k-new"])
        await clock.sleep(timedelta(seconds=3))
        await hosts[0].relay.stop()
        return before + [host.accepts(KEYS["harbour"]) for host in hosts]

    context.accepted = play(scene())


@then("the key of harbour is refused by both within 3 seconds")
def check_both_refuse(context):
    assert context.accepted == [True, True, False, False], context.accepted


# -- caps ----------------------------------------------------------------------------------------


@when("owners share the caps of accounts under faults with several seeds")
def play_seeds(context):
    first = int(os.environ.get("CAP_SEED", "1"))
    count = int(os.environ.get("CAP_PLAYS", DEFAULT_CAP_PLAYS))
    print(f"seeds {first} to {first + count - 1}")
    context.plays = {seed: play_caps(seed) for seed in range(first, first + count)}


@then("no account exceeds its cap, and no task waits once the faults are over")
def check_plays(context):
    failed = {
        seed: result
        for seed, result in context.plays.items()
        if result.violations or result.waiting or result.held
    }
    assert not failed, failed
    assert all(result.started > 0 for result in context.plays.values())


@given("four partitions that hold no share of a cap of 14 cores")
def build_partitions(context):
    context.size = Amounts(13_000, 25_000, 0)


@when("each of them has two waiting tasks of 13 cores")
def start_large_tasks(context):
    async def scene():
        world = CapWorld(Random(1))
        for partition in range(PARTITIONS):
            await world.open_owner(partition)
            world.queues[partition] += [Task("tiny", context.size, 0.5)] * 2
        planners = asyncio.ensure_future(world.run_planners())
        await asyncio.sleep(30)
        planners.cancel()
        for owner in world.owners:
            await owner.stop()
        return world

    context.world = play(scene())


@then("all of them have been started within 30 seconds")
def check_all_started(context):
    assert context.world.started == 2 * PARTITIONS, context.world.started
    assert not context.world.violations


async def _open(world: CapWorld, partitions: int, cap: Amounts) -> None:
    world.accounts = {"x": AccountConfig("x", 1.0, cap)}
    for partition in range(partitions):
        await world.open_owner(partition)


async def _run(world: CapWorld, seconds: float) -> None:
    planners = asyncio.ensure_future(world.run_planners())
    await asyncio.sleep(seconds)
    planners.cancel()
    for owner in world.owners:
        if owner is not None:
            await owner.stop()


CORES_10, CAP_100, CAP_200 = Amounts(10_000, 0, 0), Amounts(100_000, 0, 0), Amounts(200_000, 0, 0)


@given("two partitions, one of which runs 150 cores of an account without a cap")
def run_without_cap(context):
    async def scene():
        world = CapWorld(Random(1))
        await _open(world, 2, NOTHING)
        world.queues[0] += [Task("x", CORES_10, 60.0)] * 15
        world.plan(0)
        await asyncio.sleep(10)
        world.change_cap("x", CAP_200)
        await asyncio.sleep(1)
        world.queues[1] += [Task("x", CORES_10, 60.0)] * 10
        await _run(world, 20)
        return world

    context.scene = scene


@when("a cap of 200 cores is set, and the other partition has work for 100 cores")
@when("a gang of 8 tasks of 10 cores is submitted in the other one, with a cap of 100 cores")
@when("20 tasks of 10 cores are submitted after it")
@when("nothing else of the account runs")
def play_scene(context):
    context.world = play(context.scene())


@then("the account runs at most 200 cores from then on")
def check_new_cap(context):
    assert not context.world.violations, context.world.violations
    assert context.world.started == 20, context.world.started


@given("two partitions, one of which has steady work for the whole cap of an account")
def build_rival(context):
    async def scene():
        world = CapWorld(Random(1))
        await _open(world, 2, CAP_100)
        world.queues[0] += [Task("x", CORES_10, 0.8)] * 600
        context.gang = Task("x", CORES_10, 1.0, 8)
        asyncio.get_running_loop().call_later(2.0, world.queues[1].append, context.gang)
        await _run(world, 32)
        return world

    context.scene = scene


@then("the gang starts within 30 seconds")
def check_gang(context):
    assert context.gang not in context.world.queues[1]
    assert not context.world.violations


@given("one partition with a gang of 12 tasks of 10 cores and a cap of 100 cores")
def build_large_gang(context):
    async def scene():
        world = CapWorld(Random(1))
        await _open(world, 1, CAP_100)
        world.queues[0].append(Task("x", CORES_10, 1.0, 12))
        world.queues[0] += [Task("x", CORES_10, 0.8)] * 20
        await _run(world, 30)
        return world

    context.scene = scene


@then("all 20 of them have been started within 30 seconds")
def check_beside_gang(context):
    assert context.world.started == 20, context.world.started


@given("one partition with a task of 13 cores and 5 GB and a cap of 10 cores and 40 GB")
def build_oversized(context):
    async def scene():
        world = CapWorld(Random(1))
        await _open(world, 1, Amounts(10_000, 40_000, 0))
        world.queues[0].append(Task("x", Amounts(13_000, 5_000, 0), 1.0))
        await _run(world, 5)
        return world

    context.scene = scene


@then("the task starts within 5 seconds")
def check_oversized(context):
    assert context.world.started == 1


@given("a workflow of harbour with 4 running tasks of 10 cores that is cancelled")
def cancel_workflow(context):
    step = StepSpec(count=4, millicores=10_000, memory_mb=100)
    spec = Workflow("0" * 16, "booking", "slots", 0, 1, 1.0, 0, "", (step,))
    state = WorkflowState(spec, 0.0, 1_000, "harbour")
    for task in state.steps[0, 0].tasks:
        task.status, task.run, task.worker = ORDERED, 1, "w"
    state.note_remaining(5_000)
    state.state = CANCELLED
    context.record = (state.identifier, state.encode())


@when("the next owner reads its record")
def take_over(context):
    workflows = restore_workflows([context.record], 100.0, 7_000).workflows
    context.usage = AccountUsage(workflows, lambda name: None)
    context.usage.restore(100.0, 7_000)


@then("40 cores of harbour may be running, and none 4 seconds later")
def check_remaining(context):
    for now, millicores in ((100.0, 40_000), (104.0, 0)):
        context.usage.count_unsettled(now, [], [], [])
        assert context.usage.measure("harbour").millicores == millicores


@given("idle workers, and an account whose work waits for its cap")
def build_capped_backlog(context):
    step = StepSpec(count=32, millicores=10_000, memory_mb=100, estimate_ms=1_000)
    workflows = {}
    for number in range(20):
        spec = Workflow(f"{number:016x}", "booking", "slots", 0, 1, 1.6, 600, "", (step,))
        workflows[spec.identifier] = WorkflowState(spec, 0.0, 0, "harbour")
    clock = SimpleNamespace(elapsed=lambda: timedelta())
    context.demand = Demand(
        workflows,
        {},
        {},
        dict.fromkeys(workflows, 10.0),
        RuntimeModel(),
        clock,
        lambda account: account == "harbour",
    )


@when("the backlog is measured for another account and for the same one")
def measure_backlogs(context):
    context.backlogs = [
        context.demand.measure_backlog("booking", [], 20.0, account=account).total_core_seconds
        for account in ("museum", "harbour")
    ]


@then("only the same one has a backlog")
def check_backlogs(context):
    assert context.backlogs[0] == 0 and context.backlogs[1] > 0, context.backlogs


# -- weights -------------------------------------------------------------------------------------


@given("a full pool, and an account that submits 5 times its weight")
def build_full_pool(context):
    # Two others submit their whole weight: 4 workflows of 8 core-seconds a second each.
    context.rates = {"hot": 5 * WEIGHT, "b": WEIGHT, "c": WEIGHT}


@given("an idle pool, and an account that submits a quarter more than its weight")
def build_idle_pool(context):
    context.rates = {"hot": WEIGHT * 1.25}


@when("accounts submit workflows for 10 seconds")
def submit_workflows(context):
    context.outcomes = replay_submissions(context.rates, 10.0)


@then("at least {percent:d}% of the workflows within their weights are admitted")
def check_within(context, percent):
    within = [item.admitted for item in context.outcomes if item.within]
    assert sum(within) >= percent / 100 * len(within), (sum(within), len(within))


@then("at most {percent:d}% of the workflows beyond their weights are admitted")
def check_beyond(context, percent):
    beyond = [item.admitted for item in context.outcomes if not item.within]
    assert beyond and sum(beyond) <= percent / 100 * len(beyond), (sum(beyond), len(beyond))


@then("all workflows are admitted")
def check_all_admitted(context):
    assert all(item.admitted for item in context.outcomes)
    assert any(not item.within for item in context.outcomes)


@when("steps of owed, excess, late owed and best-effort work are ranked")
def rank_steps(context):
    candidates = {
        "owed": Candidate(False, 0, 10.0, 1.0),
        "excess": Candidate(False, 0, 5.0, 1.0, beyond_weight=True),
        "late owed": Candidate(False, 0, 0.5, 1.0),
        "best-effort": Candidate(False, 0, 5.0, 1.0, best_effort=True),
    }
    context.order = sorted(candidates, key=lambda name: rank_candidate(candidates[name], 0.0))


@then("their order is {names}")
def check_order(context, names):
    assert context.order == names.split(", "), context.order


@when("an account uses {part:g} of a pool by {resource}, and another one uses a tenth")
def use_pool(context, part, resource):
    amounts = {
        "processors": Amounts(int(POOL.millicores * part), 1_000, 0),
        "memory": Amounts(1_000, int(POOL.memory_mb * part), 0),
    }[resource]
    used = {"a": amounts, "b": Amounts(POOL.millicores // 10, POOL.memory_mb // 10, 0)}
    context.is_over = is_over_share("a", used, {"a": 1.0, "b": 1.0}, POOL)


@then("it is {standing} its share")
def check_standing(context, standing):
    assert context.is_over == (standing == "over")
