"""Wait of short and throughput of long requests, with stragglers, when queues burst in turn."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from random import Random

from benchmarks.demand import (
    DEPLOYMENTS,
    QUEUES,
    WARM_UP_S,
    Deployment,
    Workload,
    build_burst_cycle,
    draw_arrivals,
)
from benchmarks.engine import Outcomes, compute_quantile, run_baseline, run_policy
from benchmarks.report import Line, case
from carawayshore.queueing import QueueSettings

SECONDS = 420.0
RESOLUTION_S = 0.001  # Lower bound of a reported wait, so that a ratio of waits is defined.
SETTINGS = QueueSettings(short_limit=timedelta(seconds=0.5), max_waiting=100_000)


def run_deployment(
    deployment: Deployment, workload: Workload, seed: int, *, policy: bool, seconds: float = SECONDS
) -> list[Outcomes]:
    """Returns the outcomes of each of the deployment's services."""
    outcomes = []
    for queue in range(QUEUES):
        demand, choices = Random(seed * QUEUES + queue), Random(seed)
        rate_multiple = build_burst_cycle(queue)
        arrivals = draw_arrivals(workload, deployment.workers, seconds, demand, rate_multiple)
        factors = [1.0] * deployment.workers
        if policy:
            outcomes.append(run_policy(arrivals, factors, choices, SETTINGS))
        else:
            outcomes.append(run_baseline(arrivals, factors, choices))
    return outcomes


def find_short_p99(outcomes: list[Outcomes]) -> float:
    """Returns the p99 wait of short requests over all services in seconds."""
    waits = [wait for item in outcomes for wait in item.list_waits(from_s=WARM_UP_S)]
    return max(compute_quantile(waits, 0.99), RESOLUTION_S)


@case("short-wait")
def run_case(seed: int) -> Iterator[Line]:
    """Compares the p99 wait of short requests with and without stragglers and with the baseline.

    Each deployment runs with stragglers among all requests and among short requests only.
    """
    for deployment in DEPLOYMENTS:
        no_stragglers = run_deployment(deployment, Workload(), seed, policy=True)
        for straggler_work, long_stragglers in (("all", True), ("short", False)):
            with_stragglers = Workload(stragglers=0.05, long_stragglers=long_stragglers)
            baseline = run_deployment(deployment, with_stragglers, seed, policy=False)
            change = run_deployment(deployment, with_stragglers, seed, policy=True)
            name = f"{deployment.name}/stragglers-in-{straggler_work}"
            yield from _compare_waits(name, seed, baseline, no_stragglers, change)
            yield _compare_throughput(name, seed, baseline, change)


def _compare_waits(
    name: str,
    seed: int,
    baseline: list[Outcomes],
    no_stragglers: list[Outcomes],
    change: list[Outcomes],
) -> Iterator[Line]:
    fifo_s, plain_s, change_s = (find_short_p99(item) for item in (baseline, no_stragglers, change))
    detail = {
        "unit": "s",
        "refused": sum(len(item.refused) for item in change),
        "expired": sum(len(item.expired) for item in change),
        "short_finished": sum(len(item.list_waits(from_s=WARM_UP_S)) for item in change),
    }
    ratio = change_s / plain_s
    goal = "p99 with stragglers <= 1.5 x without"
    yield Line(
        f"short-wait/{name}/plain", seed, plain_s, change_s, ratio, goal, ratio <= 1.5, detail
    )
    ratio = fifo_s / change_s
    goal = "p99 >= 5 times better than first-in-first-out"
    yield Line(f"short-wait/{name}/fifo", seed, fifo_s, change_s, ratio, goal, ratio >= 5, detail)


def _compare_throughput(
    name: str, seed: int, baseline: list[Outcomes], change: list[Outcomes]
) -> Line:
    """Compares the run time of long requests that met their deadline while load was offered."""
    before = sum(item.sum_run(from_s=WARM_UP_S, until_s=SECONDS, short=False) for item in baseline)
    after = sum(item.sum_run(from_s=WARM_UP_S, until_s=SECONDS, short=False) for item in change)
    ratio = after / before
    goal = "throughput of long work >= 0.95 of the baseline"
    return Line(
        f"long-throughput/{name}",
        seed,
        before,
        after,
        ratio,
        goal,
        ratio >= 0.95,
        {"unit": "slot-s"},
    )
