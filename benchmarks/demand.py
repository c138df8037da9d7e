"""Demand of the deployments: queues that ask in turns for five times their mean."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from benchmarks.engine import SLOTS, Arrival

SHORT_S = 0.04
LONG_S = 1.5
SHORT_COUNT_SHARE = 0.9
STRAGGLER_LENGTH = 30
WARM_UP_S = 20.0  # Kinds are unknown until their first requests have finished.
QUEUES = 5
TURN_S = 4.0
IDLE_SHARE = 0.05


class Deployment(NamedTuple):
    """A deployment of the design page; ``workers`` for each of its services."""

    name: str
    workers: int


DEPLOYMENTS = (Deployment("ugnsrent", 8), Deployment("utilities", 6))


class Mix(NamedTuple):
    """Requests of one queue.

    Parameters
    ----------
    mean_load : float
        Mean work asked for, stragglers left out, through the pool's capacity.
    stragglers : float
        Share of requests that run 30 times their length.
    deadline_s : float
    long_stragglers : bool
        Whether long requests have stragglers too; otherwise only short ones have.
    """

    mean_load: float = 0.22
    stragglers: float = 0.0
    deadline_s: float = 600.0
    long_stragglers: bool = True


def take_turns(queue: int) -> Callable[[float], float]:
    """Returns the demand of a queue as a multiple of its mean, by time in seconds."""

    def find_multiple(at_s: float) -> float:
        return 5.0 if int(at_s / TURN_S) % QUEUES == queue else IDLE_SHARE

    return find_multiple


def draw_arrivals(
    mix: Mix,
    workers: int,
    seconds: float,
    random: Random,
    multiple: Callable[[float], float],
) -> list[Arrival]:
    """Returns arrivals as a Poisson process whose rate follows ``multiple``.

    Arrivals and lengths come from separate sources, so that the same seed gives the same
    requests with and without stragglers.
    """
    times, lengths = Random(random.random()), Random(random.random())
    mean_run_s = SHORT_COUNT_SHARE * SHORT_S + (1 - SHORT_COUNT_SHARE) * LONG_S
    rate = mix.mean_load * workers * SLOTS / mean_run_s
    arrivals, at_s = [], 0.0
    while True:
        # Thinning of a process at five times the mean rate.
        at_s += times.expovariate(rate * 5)
        if at_s >= seconds:
            return arrivals
        if times.random() * 5 < multiple(at_s):
            arrivals.append(_draw_arrival(mix, at_s, lengths))


def _draw_arrival(mix: Mix, at_s: float, random: Random) -> Arrival:
    short = random.random() < SHORT_COUNT_SHARE
    run_s = (SHORT_S if short else LONG_S) * random.uniform(0.5, 1.5)
    if random.random() < mix.stragglers and (short or mix.long_stragglers):
        run_s *= STRAGGLER_LENGTH
    return Arrival(at_s, "short" if short else "long", run_s, short, mix.deadline_s)
