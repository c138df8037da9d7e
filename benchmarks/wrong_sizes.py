"""Wait of short requests when half of the declared run times are wrong by a factor of ten."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from benchmarks.demand import DEPLOYMENTS, WARM_UP_S, Workload, build_burst_cycle, draw_arrivals
from benchmarks.engine import Arrival, compute_quantile, run_baseline, run_policy
from benchmarks.report import Line, case
from benchmarks.short_behind_long import RESOLUTION_S, SECONDS, SETTINGS


def _declare(arrival: Arrival, random: Random, *, wrong_share: float) -> Arrival:
    factor = random.choice([0.1, 10.0]) if random.random() < wrong_share else 1.0
    return arrival._replace(declared_s=arrival.run_s * factor)


@case("wrong-sizes")
def run_case(seed: int) -> Iterator[Line]:
    """Compares the p99 wait of short requests with the baseline and with exact declarations."""
    for deployment in DEPLOYMENTS:
        arrivals_without_size = draw_arrivals(
            Workload(), deployment.workers, SECONDS, Random(seed), build_burst_cycle(0)
        )
        factors = [1.0] * deployment.workers
        waits = {}
        for name, share in (("exact", 0.0), ("wrong", 0.5)):
            random = Random(seed)
            arrivals = [_declare(item, random, wrong_share=share) for item in arrivals_without_size]
            outcomes = run_policy(arrivals, factors, Random(seed), SETTINGS)
            p99_s = compute_quantile(outcomes.list_waits(from_s=WARM_UP_S), 0.99)
            waits[name] = max(p99_s, RESOLUTION_S)
        baseline = run_baseline(arrivals_without_size, factors, Random(seed))
        fifo_s = max(compute_quantile(baseline.list_waits(from_s=WARM_UP_S), 0.99), RESOLUTION_S)
        ratio = fifo_s / waits["wrong"]
        detail = {"unit": "s", "exact_sizes": waits["exact"]}
        goal = "p99 wait of short work >= 5 times better than first-in-first-out"
        name = f"wrong-sizes/{deployment.name}"
        yield Line(name, seed, fifo_s, waits["wrong"], ratio, goal, ratio >= 5, detail)
