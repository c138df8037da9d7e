"""Response time of short requests with targets in a fast and in a slow data centre."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from benchmarks.demand import DEPLOYMENTS, WARM_UP_S, Workload, draw_arrivals
from benchmarks.engine import compute_quantile, run_baseline, run_policy
from benchmarks.report import Line, case
from benchmarks.short_behind_long import SETTINGS

SECONDS = 120.0
SLOW_FACTOR = 5.0


@case("slow-targets")
def run_case(seed: int) -> Iterator[Line]:
    """Compares the p99 response time of short requests with the baseline.

    The candidates are the targets of a fast and of a slow data centre; the offered load is 0.2 of
    their capacity if all ran at full speed.
    """
    for deployment in DEPLOYMENTS:
        workers = deployment.workers * 2
        workload = Workload(mean_load=0.2)
        arrivals = draw_arrivals(workload, workers, SECONDS, Random(seed), lambda _: 1.0)
        factors = [1.0] * deployment.workers + [SLOW_FACTOR] * deployment.workers
        baseline = run_baseline(arrivals, factors, Random(seed))
        change = run_policy(arrivals, factors, Random(seed), SETTINGS)
        before, after = (
            compute_quantile(
                (
                    i.end_s - i.arrival.at_s
                    for i in item.finished
                    if i.arrival.short and i.arrival.at_s >= WARM_UP_S
                ),
                0.99,
            )
            for item in (baseline, change)
        )
        ratio = after / before
        goal = "p99 time of short work <= the baseline's"
        name = f"slow-targets/{deployment.name}"
        yield Line(name, seed, before, after, ratio, goal, ratio <= 1, {"unit": "s"})
