"""Discrete-event simulation of one pool under a stream of requests, in virtual time.

The decisions are made by the library's own code; only targets and callers are simulated.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from random import Random
from typing import NamedTuple

from carawayshore.admission import Admission, Refusal, Request
from carawayshore.prediction import Predictor
from carawayshore.queueing import ClassQueue, QueueSettings, RunningWork, WaitingRequest
from carawayshore.routing import Candidate, TargetSlowdowns, choose_target
from carawayshore.testing import ManualClock

SLOTS = 8


class Arrival(NamedTuple):
    """A request of a benchmark; times in seconds.

    ``run_s`` is the run time at a target of factor 1, ``short`` whether it was drawn as a short
    request, ``deadline_s`` the time from arrival to deadline, and ``declared_s`` the run time that
    the caller declares.
    """

    at_s: float
    kind: str
    run_s: float
    short: bool
    deadline_s: float
    declared_s: float | None = None


class FinishedRequest(NamedTuple):
    """A request that ran to its end; ``in_time`` tells whether it met its deadline."""

    arrival: Arrival
    wait_s: float
    end_s: float
    in_time: bool


class Outcomes(NamedTuple):
    """Requests by outcome; ``expired`` holds those whose deadline passed while they waited."""

    finished: list[FinishedRequest]
    refused: list[Arrival]
    expired: list[Arrival]

    def list_waits(self, *, from_s: float) -> list[float]:
        """Returns the waits in seconds of short requests that arrived at ``from_s`` or later."""
        return [
            item.wait_s
            for item in self.finished
            if item.arrival.short and item.arrival.at_s >= from_s
        ]

    def sum_run(self, *, from_s: float, until_s: float, short: bool | None = None) -> float:
        """Returns the run time in seconds of requests that finished in time in a period."""
        return sum(
            item.arrival.run_s
            for item in self.finished
            if item.in_time
            and from_s <= item.end_s <= until_s
            and (short is None or item.arrival.short == short)
        )


class EventScheduler:
    """Runs scheduled actions in the order of their time and advances a manual clock to each."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.now_s = 0.0

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at_s, next(self._numbers), action))

    def run(self) -> None:
        while self._heap:
            at_s, _, action = heapq.heappop(self._heap)
            self.clock.advance(timedelta(seconds=at_s) - self.clock.elapsed())
            self.now_s = at_s
            action()


def compute_quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


class _Pool:
    """Simulated targets with slots, their slots in use, and the outcomes of their requests.

    ``factors`` multiplies the run time of a request by target. A target in ``closed`` finishes its
    running requests and gets no new ones.
    """

    def __init__(self, scheduler: EventScheduler, factors: Sequence[float]) -> None:
        self.scheduler = scheduler
        self.factors = {f"w{n}": factor for n, factor in enumerate(factors)}
        self.in_use = dict.fromkeys(self.factors, 0)
        self.closed: set[str] = set()
        self.outcomes = Outcomes([], [], [])

    def list_open(self) -> dict[str, int]:
        """Returns the slots in use of each target that accepts requests."""
        if not self.closed:
            return self.in_use
        return {name: used for name, used in self.in_use.items() if name not in self.closed}

    def count_free(self) -> int:
        in_use = self.list_open()
        return SLOTS * len(in_use) - sum(in_use.values())

    def add(self, target: str) -> None:
        """Adds a target of factor 1, or reopens it."""
        self.factors[target] = 1.0
        self.in_use.setdefault(target, 0)
        self.closed.discard(target)

    def start(self, arrival: Arrival, target: str, on_finish: Callable[[float], None]) -> None:
        now = self.scheduler.now_s
        run_s = arrival.run_s * self.factors[target]
        self.in_use[target] += 1

        def finish() -> None:
            self.in_use[target] -= 1
            in_time = now + run_s <= arrival.at_s + arrival.deadline_s
            self.outcomes.finished.append(
                FinishedRequest(arrival, now - arrival.at_s, now + run_s, in_time)
            )
            on_finish(run_s)

        self.scheduler.schedule(now + run_s, finish)


def run_baseline(arrivals: Sequence[Arrival], factors: Sequence[float], random: Random) -> Outcomes:
    """Runs the baseline: a FIFO queue and a random choice among the targets with a free slot.

    A request whose deadline passed while it waited is dropped at the head of the queue.
    """
    scheduler = EventScheduler()
    pool = _Pool(scheduler, factors)
    waiting: deque[Arrival] = deque()

    def dispatch(_run_s: float = 0) -> None:
        while waiting and pool.count_free():
            arrival = waiting.popleft()
            if scheduler.now_s > arrival.at_s + arrival.deadline_s:
                pool.outcomes.expired.append(arrival)
                continue
            free = [name for name, used in pool.in_use.items() if used < SLOTS]
            pool.start(arrival, random.choice(free), dispatch)

    def arrive(arrival: Arrival) -> None:
        waiting.append(arrival)
        dispatch()

    for arrival in arrivals:
        scheduler.schedule(arrival.at_s, lambda arrival=arrival: arrive(arrival))
    scheduler.run()
    return pool.outcomes


class _Dispatcher:
    """An entry host that owns all slots of a pool and dispatches with the library's decisions."""

    def __init__(
        self, scheduler: EventScheduler, pool: _Pool, settings: QueueSettings, random: Random
    ) -> None:
        self.scheduler = scheduler
        self.pool = pool
        self.random = random
        self.predictor = Predictor(scheduler.clock)
        self.queue = ClassQueue(settings, scheduler.clock)
        self.running = RunningWork(settings, scheduler.clock)
        self.slowdowns = TargetSlowdowns(scheduler.clock)
        self.admission = Admission(self.queue, self.predictor, scheduler.clock, random, settings)
        self.arrivals: dict[str, Arrival] = {}
        self._numbers = itertools.count()

    def arrive(self, arrival: Arrival) -> None:
        name = str(next(self._numbers))
        declared = None if arrival.declared_s is None else timedelta(seconds=arrival.declared_s)
        remaining = timedelta(seconds=arrival.deadline_s)
        request = Request(name, "service", arrival.kind, "team", remaining, declared)
        decision = self.admission.decide(
            request, SLOTS * len(self.pool.list_open()), self.running.count()
        )
        if isinstance(decision, Refusal):
            self.pool.outcomes.refused.append(arrival)
            return
        self.arrivals[name] = arrival
        self.queue.push(decision)
        self.dispatch()

    def dispatch(self) -> None:
        for item in self.queue.expire():
            self.pool.outcomes.expired.append(self.arrivals.pop(item.request))
        while True:
            item = self.queue.pop(self.pool.count_free(), self.running.count())
            if item is None:
                return
            self._start(item)

    def _start(self, item: WaitingRequest) -> None:
        candidates = [
            Candidate(
                target,
                SLOTS - used,
                SLOTS,
                used,
                0,
                item.predicted * self.slowdowns.find_factor(target),
            )
            for target, used in self.pool.list_open().items()
        ]
        target = choose_target(candidates, self.random).target
        self.running.start(item)
        arrival = self.arrivals.pop(item.request)

        def finish(run_s: float) -> None:
            self.running.finish(item.request)
            duration = timedelta(seconds=run_s)
            declared = None if arrival.declared_s is None else timedelta(seconds=arrival.declared_s)
            self.predictor.observe(item.service, item.kind, duration, declared)
            self.slowdowns.observe(target, duration, item.predicted)
            self.dispatch()

        self.pool.start(arrival, target, finish)


def run_policy(
    arrivals: Sequence[Arrival],
    factors: Sequence[float],
    random: Random,
    settings: QueueSettings,
) -> Outcomes:
    """Runs the library's admission, queueing, prediction and routing."""
    scheduler = EventScheduler()
    pool = _Pool(scheduler, factors)
    dispatcher = _Dispatcher(scheduler, pool, settings, random)
    for arrival in arrivals:
        scheduler.schedule(arrival.at_s, lambda arrival=arrival: dispatcher.arrive(arrival))
    scheduler.run()
    return pool.outcomes
