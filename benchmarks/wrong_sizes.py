"""Half of the declared sizes wrong by ten times."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from benchmarks.demand import DEPLOYMENTS, WARM_UP_S, Mix, draw_arrivals, take_turns
from benchmarks.engine import Arrival, find_quantile, run_baseline, run_policy
from benchmarks.report import Line, case
from benchmarks.short_behind_long import RESOLUTION_S, SECONDS, SETTINGS


def _declare(arrival: Arrival, random: Random, *, wrong_share: float) -> Arrival:
    factor = random.choice([0.1, 10.0]) if random.random() < wrong_share else 1.0
    return arrival._replace(declared_s=arrival.run_s * factor)


@case("wrong-sizes")
def run_case(seed: int) -> Iterator[Line]:
    """Compares the p99 wait of short work with the baseline, and with exact declared sizes."""
    for deployment in DEPLOYMENTS:
        plain = draw_arrivals(Mix(), deployment.workers, SECONDS, Random(seed), take_turns(0))
        factors = [1.0] * deployment.workers
        waits = {}
        for name, share in (("exact", 0.0), ("wrong", 0.5)):
            random = Random(seed)
            arrivals = [_declare(item, random, wrong_share=share) for item in plain]
            outcomes = run_policy(arrivals, factors, Random(seed), SETTINGS)
            quantile = find_quantile(outcomes.list_waits(from_s=WARM_UP_S), 0.99)
            waits[name] = max(quantile, RESOLUTION_S)
        first = run_baseline(plain, factors, Random(seed))
        fifo_s = max(find_quantile(first.list_waits(from_s=WARM_UP_S), 0.99), RESOLUTION_S)
        ratio = fifo_s / waits["wrong"]
        detail = {"unit": "s", "exact_sizes": waits["exact"]}
        goal = "p99 wait of short work >= 5 times better than first-in-first-out"
        name = f"wrong-sizes/{deployment.name}"
        yield Line(name, seed, fifo_s, waits["wrong"], ratio, goal, ratio >= 5, detail)
