"""Goodput under an offered load of five times the capacity."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from benchmarks.demand import DEPLOYMENTS, WARM_UP_S, Workload, draw_arrivals
from benchmarks.engine import SLOTS, run_baseline, run_policy
from benchmarks.report import Line, case
from benchmarks.short_behind_long import SETTINGS

SECONDS = 60.0
DEADLINE_S = 5.0


@case("goodput")
def run_case(seed: int) -> Iterator[Line]:
    """Compares the slot time of requests that meet their deadline with the available slot time."""
    workload = Workload(mean_load=5.0, deadline_s=DEADLINE_S)
    for deployment in DEPLOYMENTS:
        arrivals = draw_arrivals(workload, deployment.workers, SECONDS, Random(seed), lambda _: 1.0)
        factors = [1.0] * deployment.workers
        baseline = run_baseline(arrivals, factors, Random(seed))
        change = run_policy(arrivals, factors, Random(seed), SETTINGS)
        capacity = SLOTS * deployment.workers * (SECONDS - WARM_UP_S)
        before, after = (
            item.sum_run(from_s=WARM_UP_S, until_s=SECONDS) / capacity
            for item in (baseline, change)
        )
        detail = {"unit": "share of capacity", "refused": len(change.refused)}
        detail["expired"] = len(change.expired)
        detail["late"] = sum(not item.in_time for item in change.finished)
        goal = "goodput at 5x demand >= 0.95 of capacity"
        name = f"goodput/{deployment.name}"
        yield Line(name, seed, before, after, after, goal, after >= 0.95, detail)
