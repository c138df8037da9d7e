"""Steps for lending spare hosts, in virtual time."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import looptime
from behave import given, then, when
from builders import build_configuration
from fleet_steps import find_fleet_holder
from interleaving_steps import NAMES, publish_configuration
from virtual import Cluster

from carawayd.platform.pools import HostStatus
from carawayshore.budget import BudgetSettings, HostCondition
from carawayshore.configuration import complete_configuration
from carawayshore.lending import Demand, Lender, LendingHost, LendingPool
from carawayshore.testing import ManualClock

MOVE_SECONDS = 5
MIN_SERVING = 2


class Fleet:
    """Pools managed by a lender; a move of a host takes ``MOVE_SECONDS``."""

    def __init__(self, hosts: int) -> None:
        self.clock = ManualClock()
        options = complete_configuration(build_configuration())["lending"]
        self.lender = Lender(self.clock, options)
        self.budget = BudgetSettings(4)
        self.failed: set[str] = set()
        self.leaving: set[str] = set()
        self.pool_of = {
            f"{p}-{n}": p for p in ("booking", "quotes", "office") for n in range(hosts)
        }
        self.moving: dict[str, tuple[str, int]] = {}
        self.started: list[tuple[int, str, str]] = []
        self.max_moving = 0
        self.now = 0

    def build_pools(self) -> dict[str, LendingPool]:
        pools = {
            name: LendingPool([], self.budget, MIN_SERVING, name == "office")
            for name in ("booking", "quotes", "office")
        }
        for name, pool in self.pool_of.items():
            home = "office" if name.startswith("office") and pool != "office" else ""
            to_pool = self.moving.get(name, (pool if name in self.leaving else "", 0))[0]
            pools[pool].hosts.append(LendingHost(name, 8, home, to_pool))
        return pools

    def list_conditions(self, pool: str) -> list[HostCondition]:
        return [
            HostCondition(name, name[-1], failed=name in self.failed, moving=name in self.moving)
            for name, current in self.pool_of.items()
            if current == pool
        ]

    def step(self, demand: dict[str, Demand], seconds: int = 1) -> None:
        self.now += seconds
        self.clock.advance(timedelta(seconds=seconds))
        for name, (pool, end) in list(self.moving.items()):
            if self.now >= end:
                del self.moving[name]
                self.pool_of[name] = pool
        self.lender.observe(demand, self.build_pools())
        for move in self.lender.decide(self.build_pools(), self.list_conditions):
            assert move.host not in self.moving, f"{move.host} is moving already"
            assert self.pool_of[move.host] == move.from_pool, move
            self.moving[move.host] = (move.to_pool, self.now + MOVE_SECONDS)
            self.started.append((self.now, move.host, move.to_pool))
        self.max_moving = max(self.max_moving, len(self.moving))


@given("pools booking, quotes and the spare pool office of {hosts:d} hosts each")
def build_fleet(context, hosts):
    context.fleet = Fleet(hosts)


@given("a budget of {budget:d} of which {out:d} hosts of office are failed")
def set_budget(context, budget, out):
    context.fleet.budget = BudgetSettings(budget, rack_failures=9)
    context.fleet.failed = {f"office-{n}" for n in range(out)}


@given("{host} is leaving according to the host list")
def set_leaving(context, host):
    context.fleet.leaving = {host}


@given("a weight of {weight:d} for buffer")
def set_weight(context, weight):
    context.fleet.lender.options["buffer_weight"] = weight


@when("bursts of 4 s in every 20 s reach each pool for {seconds:d} s")
def send_bursts(context, seconds):
    names = ("booking", "quotes", "office")
    for _ in range(seconds):
        turn = context.fleet.now % 20 // 4
        # Work left over from a burst waits for two more seconds.
        has_leftover = context.fleet.now % 20 < turn * 4 + 2
        demand = {
            name: Demand(
                200 if turn == n or (has_leftover and turn == n + 1) else 0, 64 * (turn == n)
            )
            for n, name in enumerate(names)
        }
        context.fleet.step(demand)


@when("{count:d} requests wait in {pool} for {seconds:d} s")
def wait_in_pool(context, count, pool, seconds):
    for _ in range(seconds):
        slots = 8 * sum(current == pool for current in context.fleet.pool_of.values())
        context.fleet.step({pool: Demand(count, slots)})


@when("{count:d} requests wait in booking while {running:d} run in office, during {seconds:d} s")
def wait_while_running(context, count, running, seconds):
    for _ in range(seconds):
        context.fleet.step({"booking": Demand(count, 64), "office": Demand(0, running)})


@when("{count:d} requests run in {pool} for {seconds:d} s")
def run_in_pool(context, count, pool, seconds):
    for _ in range(seconds):
        context.fleet.step({pool: Demand(0, count)})


@when("{count:d} requests wait in booking in two samples that are {seconds:d} s apart")
def sample_twice(context, count, seconds):
    for _ in range(2):
        context.fleet.step({"booking": Demand(count, 64)}, seconds)


@when("there is no demand for {seconds:d} s")
def wait_idle(context, seconds):
    for _ in range(seconds):
        context.fleet.step({})


@then("there were {count:d} moves")
def expect_moves(context, count):
    assert len(context.fleet.started) == count, context.fleet.started


@then("{count:d} hosts were lent to booking, in at most {seconds:d} s and each once")
def expect_lent(context, count, seconds):
    lent = [host for at, host, pool in context.fleet.started if pool == "booking" and at <= seconds]
    assert len(lent) == len(set(lent)) == len(context.fleet.started) == count, context.fleet.started
    assert not set(lent) & (context.fleet.failed | context.fleet.leaving), lent


@then("no more than {count:d} moves were in progress at once")
def expect_max_moving(context, count):
    assert context.fleet.max_moving <= count, context.fleet.max_moving


@then("the pool {pool} has {count:d} hosts")
def expect_hosts(context, pool, count):
    hosts = sorted(name for name, current in context.fleet.pool_of.items() if current == pool)
    assert len(hosts) == count, hosts


@given("three entry hosts with two spare hosts")
def start_cluster_with_spares(context):
    context.loop = looptime.new_event_loop(start=0, noop_cycles=2)
    context.cluster = cluster = Cluster(NAMES, 5)
    for name in ("w3", "w4"):
        cluster.listed[name] = cluster.listed["w1"]._replace(host=name, pool="office")
        cluster.pools.hosts[name] = HostStatus(name, "office", "serving", "")

    async def begin() -> None:
        for name in NAMES:
            await cluster.start(name)
        await asyncio.sleep(3)
        await publish_configuration(cluster, NAMES[0])

    async def end() -> None:
        for name in NAMES:
            await cluster.kill(name)
        await asyncio.gather(*cluster.tasks, return_exceptions=True)

    context.loop.run_until_complete(begin())
    context.add_cleanup(lambda: (context.loop.run_until_complete(end()), context.loop.close()))


@when("requests of booking are refused for {seconds:d} s at an entry host without the claim fleet")
def refuse_requests(context, seconds):
    holder = find_fleet_holder(context)
    other = next(name for name in NAMES if name != holder)

    async def run() -> None:
        for _ in range(seconds * 4):
            context.cluster.hosts[other].components.observations.refusals["booking"] += 10
            context.cluster.check()
            await asyncio.sleep(0.25)

    context.loop.run_until_complete(run())


@then("one spare host serves booking, and the dump of the holder shows the reason shortage")
def expect_reason(context):
    components = context.cluster.hosts[find_fleet_holder(context)].components
    pools = sorted(context.cluster.pools.hosts[name].pool for name in ("w3", "w4"))
    assert pools == ["booking", "office"], pools
    last = components.lending.describe()["last_decision"]
    assert (last["reason"], last["to_pool"]) == ("shortage", "booking"), last
    assert "saves" in last["explanation"], last
    assert not context.cluster.violations, context.cluster.violations


@when("the holder of the claim fleet crashes and {seconds:d} s pass")
def crash_holder(context, seconds):
    holder = find_fleet_holder(context)

    async def run() -> None:
        await context.cluster.kill(holder)
        await asyncio.sleep(5)
        await context.cluster.start(holder)
        for _ in range(seconds):
            context.cluster.check()
            await asyncio.sleep(1)

    context.loop.run_until_complete(run())


@then("both spare hosts serve office again")
def expect_returned(context):
    cluster = context.cluster
    for host in cluster.hosts.values():
        hosts = host.components.reader.folded.hosts
        assert [(hosts[n].pool, hosts[n].home) for n in ("w3", "w4")] == [("office", "")] * 2, hosts
    assert {cluster.pools.hosts[n].pool for n in ("w3", "w4")} == {"office"}
    assert not cluster.violations, cluster.violations
