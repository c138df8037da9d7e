"""Request load of the deployments: queues that burst in turn to five times their mean rate."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from benchmarks.engine import SLOTS, Arrival

SHORT_S = 0.04
LONG_S = 1.5
SHORT_COUNT_SHARE = 0.9
STRAGGLER_FACTOR = 30
WARM_UP_S = 20.0  # Run times are predicted only after the first requests of a kind have finished.
QUEUES = 5
BURST_S = 4.0
IDLE_MULTIPLE = 0.05


class Deployment(NamedTuple):
    """A deployment of the design page; ``workers`` is the number for each of its services."""

    name: str
    workers: int


DEPLOYMENTS = (Deployment("ugnsrent", 8), Deployment("utilities", 6))


class Workload(NamedTuple):
    """Parameters of the requests of one queue.

    Parameters
    ----------
    mean_load : float
        Mean offered load as a multiple of the pool's capacity, without stragglers.
    stragglers : float
        Share of requests whose run time is multiplied by 30.
    deadline_s : float
        Time from arrival to deadline, in seconds.
    long_stragglers : bool
        Whether stragglers occur among long requests too, not only among short ones.
    """

    mean_load: float = 0.22
    stragglers: float = 0.0
    deadline_s: float = 600.0
    long_stragglers: bool = True


def build_burst_cycle(queue: int) -> Callable[[float], float]:
    """Returns a function from the time in seconds to a queue's rate as a multiple of its mean."""

    def get_rate_multiple(at_s: float) -> float:
        return 5.0 if int(at_s / BURST_S) % QUEUES == queue else IDLE_MULTIPLE

    return get_rate_multiple


def draw_arrivals(
    workload: Workload,
    workers: int,
    seconds: float,
    random: Random,
    rate_multiple: Callable[[float], float],
) -> list[Arrival]:
    """Returns arrivals of a Poisson process whose rate follows ``rate_multiple``.

    Arrival times and run times come from separate random generators, so that the same seed gives
    the same requests with and without stragglers.
    """
    arrival_random, run_time_random = Random(random.random()), Random(random.random())
    mean_run_s = SHORT_COUNT_SHARE * SHORT_S + (1 - SHORT_COUNT_SHARE) * LONG_S
    rate = workload.mean_load * workers * SLOTS / mean_run_s
    arrivals, at_s = [], 0.0
    while True:
        # Thins a Poisson process of five times the mean rate, an upper bound of the queue's rate.
        at_s += arrival_random.expovariate(rate * 5)
        if at_s >= seconds:
            return arrivals
        if arrival_random.random() * 5 < rate_multiple(at_s):
            arrivals.append(_draw_arrival(workload, at_s, run_time_random))


def _draw_arrival(workload: Workload, at_s: float, random: Random) -> Arrival:
    short = random.random() < SHORT_COUNT_SHARE
    run_s = (SHORT_S if short else LONG_S) * random.uniform(0.5, 1.5)
    if random.random() < workload.stragglers and (short or workload.long_stragglers):
        run_s *= STRAGGLER_FACTOR
    return Arrival(at_s, "short" if short else "long", run_s, short, workload.deadline_s)
