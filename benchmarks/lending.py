"""Host moves, buffer cost and wait of short requests with lending, when queues burst in turn.

Baselines in the same run: no lending, and lending immediately at every shortage. The last queue of
a deployment belongs to its spare pool.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import NamedTuple

from benchmarks.demand import (
    DEPLOYMENTS,
    QUEUES,
    WARM_UP_S,
    Deployment,
    Workload,
    build_burst_cycle,
    draw_arrivals,
)
from benchmarks.engine import SLOTS, EventScheduler, Outcomes, _Dispatcher, _Pool, compute_quantile
from benchmarks.report import Line, case
from carawayshore.budget import BudgetSettings, HostCondition
from carawayshore.configuration import Configuration, complete_configuration
from carawayshore.lending import Demand, Lender, LendingHost, LendingPool
from carawayshore.queueing import QueueSettings

SECONDS = 420.0
LASTING_FROM_S = 120.0
STEP_S = 1.0
# Time from the decision until the host drains plus from idle until it serves: barrier, pools
# service and records. An assumption; the fleet's control loops take tenths of a second each.
MOVE_OVERHEAD_S = 2.0
MIN_SERVING = 2
MAX_UNAVAILABLE = 4
EXAMPLES = {"ugnsrent": "ugnsrent", "utilities": "tullahoma"}
SETTINGS = QueueSettings(short_limit=timedelta(seconds=0.5), max_waiting=100_000)
SPARE_QUEUE = QUEUES - 1
POLICIES = ("none", "at-once", "lending")


class Result(NamedTuple):
    """Figures of one run; times in seconds.

    ``moves`` counts all moves and ``most_of_a_host`` those of the host with the most.
    ``buffer_slot_s`` is the idle slot time of spare and lent hosts. ``p99_s`` is the p99 wait
    of short requests in all pools, ``lasting_p99_s`` in the pool whose demand triples and
    ``spare_p99_s`` in the spare pool. ``met_s`` is the time from the start of the lasting demand to
    the decision on the first host for the pool, and ``below_s`` to the end of its shortage, when
    requests waited in less than half of a window; infinite if never.
    """

    moves: int
    most_of_a_host: int
    buffer_slot_s: float
    p99_s: float
    lasting_p99_s: float
    spare_p99_s: float
    met_s: float
    below_s: float


class _Fleet:
    """Simulates the pools of one deployment, their requests and the moves of hosts."""

    def __init__(self, deployment: Deployment, seed: int, policy: str) -> None:
        self.scheduler = EventScheduler()
        self.policy = policy
        options = self._read_example(deployment)["lending"]
        self.lender = Lender(self.scheduler.clock, options)
        self.max_moves = options["max_moves"]
        self.pools: dict[str, _Pool] = {}
        self.dispatchers: dict[str, _Dispatcher] = {}
        for queue in range(QUEUES):
            name = f"q{queue}"
            pool = _Pool(self.scheduler, [])
            for number in range(deployment.workers):
                pool.add(f"{name}w{number}")
            self.pools[name] = pool
            self.dispatchers[name] = _Dispatcher(self.scheduler, pool, SETTINGS, Random(seed))
        self.spare = f"q{SPARE_QUEUE}"
        self.homes = {host: name for name, pool in self.pools.items() for host in pool.list_open()}
        self.moving: dict[str, tuple[str, str]] = {}
        self.moves: Counter[str] = Counter()
        self.buffer_slot_s = 0.0
        self.first_move_s = self.below_s = float("inf")

    @staticmethod
    def _read_example(deployment: Deployment) -> Configuration:
        root = Path(__file__).resolve().parent.parent / "examples"
        path = root / EXAMPLES[deployment.name] / "configuration.json"
        return complete_configuration(json.loads(path.read_text()))

    def build_pools(self) -> dict[str, LendingPool]:
        return {
            name: LendingPool(
                [self._build_host(name, host, used) for host, used in self._list_hosts(name)],
                BudgetSettings(MAX_UNAVAILABLE),
                MIN_SERVING,
                name == self.spare,
            )
            for name in self.pools
        }

    def _list_hosts(self, name: str) -> list[tuple[str, int]]:
        pool = self.pools[name]
        leaving = [host for host, (source, _) in self.moving.items() if source == name]
        return sorted({*pool.list_open().items(), *((host, pool.in_use[host]) for host in leaving)})

    def _build_host(self, name: str, host: str, used: int) -> LendingHost:
        home = self.homes[host] if self.homes[host] != name else ""
        return LendingHost(host, SLOTS, home, self.moving.get(host, ("", ""))[1], used)

    def list_conditions(self, name: str) -> list[HostCondition]:
        return [
            HostCondition(host, f"r{host[-1]}", moving=host in self.moving)
            for host, _ in self._list_hosts(name)
        ]

    def step(self) -> None:
        """Records the demand of one step and starts the moves that the policy decides."""
        demand = {
            name: Demand(len(item.queue), len(item.running))
            for name, item in self.dispatchers.items()
        }
        pools = self.build_pools()
        self.lender.observe(demand, pools)
        self._add_idle_slot_time(pools)
        short = self.lender.has_shortage("q0")
        if self.scheduler.now_s > LASTING_FROM_S + 20 and not short:
            self.below_s = min(self.below_s, self.scheduler.now_s - LASTING_FROM_S)
        elif short:
            self.below_s = float("inf")
        if self.policy == "lending":
            for move in self.lender.decide(pools, self.list_conditions):
                self._start_move(move.host, move.from_pool, move.to_pool)
        elif self.policy == "at-once":
            self._move_at_once(demand)

    def _move_at_once(self, demand: dict[str, Demand]) -> None:
        """Lends a host at every shortage and returns it as soon as no request waits."""
        remaining_moves = self.max_moves - len(self.moving)
        for name in self.pools:
            lent = [h for h in self.pools[name].list_open() if self.homes[h] != name]
            if lent and not demand[name].waiting and remaining_moves > 0:
                remaining_moves -= 1
                self._start_move(lent[0], name, self.spare)
        for name in self.pools:
            own = sorted(self.pools[self.spare].list_open().items(), key=lambda item: item[1])
            if (
                name != self.spare
                and demand[name].waiting
                and remaining_moves > 0
                and len(own) > MIN_SERVING
            ):
                remaining_moves -= 1
                self._start_move(own[0][0], self.spare, name)

    def _start_move(self, host: str, source: str, target: str) -> None:
        self.moving[host] = (source, target)
        self.moves[host] += 1
        self.pools[source].closed.add(host)
        if target == "q0" and self.scheduler.now_s >= LASTING_FROM_S:
            self.first_move_s = min(self.first_move_s, self.scheduler.now_s - LASTING_FROM_S)
        self._schedule(MOVE_OVERHEAD_S / 2, lambda: self._await_idle(host))

    def _await_idle(self, host: str) -> None:
        source, _ = self.moving[host]
        if self.pools[source].in_use[host]:
            self._schedule(0.1, lambda: self._await_idle(host))
        else:
            self._schedule(MOVE_OVERHEAD_S / 2, lambda: self._join(host))

    def _join(self, host: str) -> None:
        _, target = self.moving.pop(host)
        self.pools[target].add(host)
        self.dispatchers[target].dispatch()

    def _schedule(self, after_s: float, action) -> None:
        self.scheduler.schedule(self.scheduler.now_s + after_s, action)

    def _add_idle_slot_time(self, pools: dict[str, LendingPool]) -> None:
        for pool in pools.values():
            for host in pool.hosts:
                if (pool.spare or host.home) and not host.draining_to:
                    self.buffer_slot_s += (SLOTS - host.running) * STEP_S

    def run(self, arrivals: dict[str, list], seconds: float) -> None:
        for name, items in arrivals.items():
            for item in items:
                self.scheduler.schedule(
                    item.at_s, lambda name=name, item=item: self.dispatchers[name].arrive(item)
                )
        for number in range(int(seconds / STEP_S)):
            self.scheduler.schedule((number + 1) * STEP_S, self.step)
        self.scheduler.run()


def run_fleet(deployment: Deployment, seed: int, policy: str, *, lasting: bool) -> Result:
    """Runs a deployment; ``lasting`` triples the demand of the first queue from 120 s on."""
    fleet = _Fleet(deployment, seed, policy)
    arrivals = {}
    for queue in range(QUEUES):
        rate_multiple = build_burst_cycle(queue)
        source = Random(seed * QUEUES + queue)
        queue_arrivals = draw_arrivals(
            Workload(), deployment.workers, SECONDS, source, rate_multiple
        )
        if lasting and queue == 0:
            for stream in (1, 2):
                extra = draw_arrivals(
                    Workload(),
                    deployment.workers,
                    SECONDS,
                    Random(seed * 100 + stream),
                    rate_multiple,
                )
                queue_arrivals += [item for item in extra if item.at_s >= LASTING_FROM_S]
        arrivals[f"q{queue}"] = queue_arrivals
    fleet.run(arrivals, SECONDS)
    outcomes = {name: pool.outcomes for name, pool in fleet.pools.items()}
    return Result(
        moves=sum(fleet.moves.values()),
        most_of_a_host=max(fleet.moves.values(), default=0),
        buffer_slot_s=fleet.buffer_slot_s,
        p99_s=_find_p99(list(outcomes.values()), WARM_UP_S),
        lasting_p99_s=_find_p99([outcomes["q0"]], LASTING_FROM_S + 60),
        spare_p99_s=_find_p99([outcomes[fleet.spare]], LASTING_FROM_S),
        met_s=fleet.first_move_s,
        below_s=fleet.below_s,
    )


def _find_p99(outcomes: list[Outcomes], from_s: float) -> float:
    return compute_quantile([wait for o in outcomes for wait in o.list_waits(from_s=from_s)], 0.99)


def _describe(results: dict[str, Result]) -> dict:
    """Returns the figures of all policies; infinite times become None."""
    return {
        f"{policy}/{field}": None if value == float("inf") else round(value, 4)
        for policy, result in results.items()
        for field, value in result._asdict().items()
    }


def _run_deployment(deployment: Deployment, seed: int) -> Iterator[Line]:
    for lasting in (False, True):
        results = {
            policy: run_fleet(deployment, seed, policy, lasting=lasting) for policy in POLICIES
        }
        yield from _compare(deployment.name, seed, results, lasting=lasting)


@case("lending-ugnsrent")
def run_ugnsrent(seed: int) -> Iterator[Line]:
    """Compares lending with both baselines, with steady bursts and with a lasting demand."""
    yield from _run_deployment(DEPLOYMENTS[0], seed)


@case("lending-utilities")
def run_utilities(seed: int) -> Iterator[Line]:
    """As ``lending-ugnsrent``, with the weights and pools of the other deployment."""
    yield from _run_deployment(DEPLOYMENTS[1], seed)


def _compare(name: str, seed: int, results: dict[str, Result], *, lasting: bool) -> Iterator[Line]:
    none, at_once, lending = (results[policy] for policy in POLICIES)
    detail = _describe(results) | {"seconds": SECONDS}
    if not lasting:
        ratio = lending.moves / max(at_once.moves, 1)
        allowed = max(1.0, SECONDS / 3600)
        yield Line(
            f"lending/{name}/steady-moves", seed, at_once.moves, lending.moves, ratio,
            "at most one move an hour and host under steady turns",
            lending.most_of_a_host <= allowed, detail | {"unit": "moves"},
        )  # fmt: skip
        return
    met = lending.met_s + MOVE_OVERHEAD_S
    yield Line(
        f"lending/{name}/lasting-met", seed, at_once.met_s, met, met / 60,
        "first host within 60 s of a lasting threefold demand", met <= 60,
        detail | {"unit": "s"},
    )  # fmt: skip
    ratio = lending.lasting_p99_s / max(none.lasting_p99_s, 0.001)
    yield Line(
        f"lending/{name}/lasting-wait", seed, none.lasting_p99_s, lending.lasting_p99_s, ratio,
        "p99 wait of short work in the pool with the lasting demand <= 0.5 of no lending",
        ratio <= 0.5, {"unit": "s"},
    )  # fmt: skip
    ratio = lending.buffer_slot_s / none.buffer_slot_s
    yield Line(
        f"lending/{name}/buffer", seed, none.buffer_slot_s, lending.buffer_slot_s, ratio,
        "idle slots of spare hosts over time < no lending", ratio < 1,
        {"unit": "slot-s", "at_once": at_once.buffer_slot_s},
    )  # fmt: skip
