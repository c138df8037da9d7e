"""CPU time of the check of a key, and of the shares of the caps of client accounts.

Load pattern: every call carries a key; 100 accounts are at work in 8 partitions while an owner
plans 100 times a second, and a few accounts wait for their caps.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from datetime import timedelta
from types import SimpleNamespace

from benchmarks.report import Line, case
from carawayd.partition.caprecords import PartitionShares
from carawayd.partition.capshares import CapShares
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.workflows.accounts import hash_key, identify_caller
from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.capshares import Goal, Holding
from carawayshore.workflows.model import AccountConfig, Deployment, QueueConfig

ACCOUNTS, PARTITIONS, WAITING = 100, 8, 5
CAP = Amounts(400_000, 800_000, 0)
SHARE = Amounts(40_000, 80_000, 0)
REQUESTED = Amounts(6_000, 9_000, 0)
CHECKS, PLANS, LOOKS = 20_000, 200, 100
KEY_GOAL_SECONDS = 20e-6
PLANS_PER_SECOND, LOOKS_PER_SECOND = 100, 10
SHARE_GOAL = 0.02


def _build_deployment() -> Deployment:
    names = [f"a{number}" for number in range(ACCOUNTS)]
    return Deployment(
        1,
        (QueueConfig("q", "h", "/q/", "s", 0, 1, 1.0, 0, 0, None),),
        {},
        accounts={name: AccountConfig(name, 1.0, CAP) for name in names},
        accounts_by_key={hash_key(f"key-{name}"): name for name in names},
    )


def _measure(function, count: int) -> float:
    """Returns the minimum CPU time of a call in seconds, of five rounds."""
    times = []
    for _ in range(5):
        start = time.process_time_ns()
        for _ in range(count):
            function()
        times.append((time.process_time_ns() - start) / 1e9 / count)
    return min(times)


@case("account-key")
def measure_key_check(seed: int) -> Iterator[Line]:
    """Compares the look-up of a queue with and without the check of a key."""
    deployment = _build_deployment()

    def find() -> QueueConfig:
        return deployment.find_queue("h", "/q/0")

    def check() -> bool:
        return identify_caller(deployment, find(), "Token key-a50").accepted

    assert check()
    baseline, change = _measure(find, CHECKS), _measure(check, CHECKS)
    yield Line(
        "account-key",
        seed,
        baseline,
        change,
        change / baseline,
        f"at most {KEY_GOAL_SECONDS} s more",
        change - baseline <= KEY_GOAL_SECONDS,
        {"accounts": ACCOUNTS},
    )


def _build_shares(deployment: Deployment) -> CapShares:
    clock = SimpleNamespace(elapsed=lambda: timedelta(seconds=1))
    used = SHARE.add(REQUESTED, -1)
    usage = SimpleNamespace(
        measure=lambda account: used,
        measure_started=lambda account: Amounts(0, 0, 0),
        list_accounts=lambda: deployment.accounts.keys(),
    )
    shares = CapShares(
        0,
        PARTITIONS,
        store=None,
        usage=usage,
        list_accounts=lambda: deployment.accounts,
        get_epoch=lambda: 1,
        handle_change=lambda: None,
        clock=clock,
        metrics=WorkflowMetrics(),
    )
    for partition in range(PARTITIONS):
        holdings = {
            name: Holding(SHARE, Goal(CAP, partition) if number < WAITING else None)
            for number, name in enumerate(deployment.accounts)
        }
        shares._set_record(partition, PartitionShares(1, holdings))
    shares._claim, shares._end = 1, 10
    return shares


@case("account-shares")
def measure_shares(seed: int) -> Iterator[Line]:
    """Measures the part of a core that an owner spends on the shares of 100 accounts."""

    async def measure() -> tuple[float, float]:
        deployment = _build_deployment()
        shares = _build_shares(deployment)
        caps = shares._list_caps()

        def plan() -> None:
            shares.begin_plan()
            for name in deployment.accounts:
                shares.count_startable(name, REQUESTED, 8)
            for number in range(WAITING):
                shares.note_waiting(f"a{number}", REQUESTED, 8)
            shares.end_plan()

        def look() -> None:
            shares._note_stale_goals(caps)
            shares._plan_holdings(caps)

        plan()
        return _measure(plan, PLANS), _measure(look, LOOKS)

    plan_seconds, look_seconds = asyncio.run(measure())
    part = plan_seconds * PLANS_PER_SECOND + look_seconds * LOOKS_PER_SECOND
    yield Line(
        "account-shares",
        seed,
        0.0,
        part,
        0.0,
        f"at most {SHARE_GOAL} of a core",
        part <= SHARE_GOAL,
        {"plan_seconds": plan_seconds, "look_seconds": look_seconds, "accounts": ACCOUNTS},
    )
