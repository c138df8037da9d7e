"""CPU time of a refusal relative to the decisions for a served request, in one run."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from datetime import timedelta
from random import Random

from benchmarks.report import Line, case
from carawayshore.admission import Admission, Refusal, Request
from carawayshore.health import HealthSettings, TargetHealth
from carawayshore.membership import Incarnation
from carawayshore.prediction import Predictor
from carawayshore.queueing import ClassCount, ClassQueue, QueueSettings, RunningWork
from carawayshore.retry import RetryBudget, RetrySettings
from carawayshore.routing import Candidate, TargetSlowdowns, choose_target
from carawayshore.shares import ShareLedger, ShareSettings
from carawayshore.testing import ManualClock

TARGETS = {f"w{number}": 8 for number in range(8)}
ROUNDS = 7
REQUESTS = 2_000
RUN = timedelta(seconds=0.04)


class _EntryHost:
    """The decision components that a request passes on an entry host."""

    def __init__(self, seed: int, max_waiting: int) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        settings = QueueSettings(max_waiting=max_waiting)
        self.predictor = Predictor(self.clock)
        self.queue = ClassQueue(settings, self.clock)
        self.running = RunningWork(settings, self.clock)
        self.slowdowns = TargetSlowdowns(self.clock)
        self.retries = RetryBudget(RetrySettings(), self.clock)
        self.health = TargetHealth(HealthSettings(), self.clock)
        self.health.set_targets(TARGETS)
        member = Incarnation("umea-1", 1)
        self.ledger = ShareLedger(member, self.clock, ShareSettings())
        self.ledger.set_view([member], TARGETS)
        self.clock.advance(timedelta(seconds=3))
        self.admission = Admission(self.queue, self.predictor, self.clock, self.random, settings)
        self.in_use = ClassCount(0, 64)
        self.request = Request("r", "booking", "GET /slots", "web", timedelta(seconds=5))

    def serve(self) -> None:
        """Makes all decisions for a request that is served at the first attempt."""
        item = self.admission.decide(self.request, 64, self.running.count())
        self.retries.record_request()
        self.queue.push(item)
        self.queue.expire()
        available = {target: self.ledger.count_available_at(target) for target in TARGETS}
        item = self.queue.pop(sum(available.values()), self.running.count(), self.running.by_team)
        candidates = [
            Candidate(
                target, free, 8, 8 - free, 0, item.predicted * self.slowdowns.find_factor(target)
            )
            for target, free in available.items()
            if self.health.may_use(target)
        ]
        target = choose_target(candidates, self.random).target
        permit = self.ledger.acquire(target)
        attempt = self.health.start(target)
        self.running.start(item)
        self.clock.advance(RUN)
        self.running.finish(item.request)
        self.health.succeed(attempt)
        self.ledger.release(permit)
        self.predictor.observe(item.service, item.kind, RUN)
        self.slowdowns.observe(target, RUN, item.predicted)

    def refuse(self) -> None:
        """Refuses a request."""
        decision = self.admission.decide(self.request, 64, self.in_use)
        assert isinstance(decision, Refusal), decision


def _build_host_with_full_queue() -> _EntryHost:
    return _EntryHost(1, max_waiting=0)


def _build_host_with_long_queue() -> _EntryHost:
    """Returns an entry host whose queue is too long for a request to meet its deadline."""
    host = _EntryHost(1, max_waiting=100_000)
    for _ in range(100):
        host.predictor.observe("booking", "GET /slots", RUN)
    number = 0
    while True:
        item = host.admission.decide(host.request._replace(request=str(number)), 64, host.in_use)
        if isinstance(item, Refusal):
            return host
        host.queue.push(item)
        number += 1


def _time_call(call: Callable[[], None]) -> float:
    start = time.process_time_ns()
    for _ in range(REQUESTS):
        call()
    return (time.process_time_ns() - start) / REQUESTS / 1_000


@case("refusal-cost")
def run_case(seed: int) -> Iterator[Line]:
    """Compares the minimum CPU times over several rounds that alternate between the cases."""
    server, full, late = (
        _EntryHost(seed, max_waiting=256),
        _build_host_with_full_queue(),
        _build_host_with_long_queue(),
    )
    rounds = [
        (_time_call(server.serve), _time_call(full.refuse), _time_call(late.refuse))
        for _ in range(ROUNDS)
    ]
    served, *refused = (min(column) for column in zip(*rounds, strict=True))
    for name, cost in zip(("queue-full", "deadline"), refused, strict=True):
        ratio = cost / served
        goal = "a refusal costs <= 0.1 of a served decision"
        detail = {"unit": "us"}
        yield Line(f"refusal-cost/{name}", seed, served, cost, ratio, goal, ratio <= 0.1, detail)
