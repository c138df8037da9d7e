"""Builders for the request policy: a simulated network of share ledgers, queues and admission."""

from __future__ import annotations

import heapq
import itertools
from datetime import timedelta
from random import Random
from typing import NamedTuple

from carawayshore.admission import Admission, Refusal, Request
from carawayshore.budget import HostCondition
from carawayshore.membership import Incarnation
from carawayshore.prediction import Predictor
from carawayshore.queueing import (
    ClassCount,
    ClassQueue,
    QueueSettings,
    RunningWork,
    WaitingRequest,
    WorkClass,
)
from carawayshore.shares import Permit, ShareLedger, ShareSettings
from carawayshore.testing import ManualClock

TARGETS = {"w1": 8, "w2": 3}


def build_waiting(
    name: str, seconds: float, *, team: str = "web", deadline: float = 60
) -> WaitingRequest:
    """Returns a waiting request with a predicted run time and a deadline in seconds."""
    run = timedelta(seconds=seconds)
    return WaitingRequest(
        name, "booking", "k", team, run, run, timedelta(seconds=deadline), timedelta()
    )


class NetworkFaults(NamedTuple):
    """Faults of a :class:`ShareNetwork`: probabilities, and maximum times in seconds."""

    loss: float
    duplication: float
    delay_s: float
    view_lag_s: float
    pause_s: float
    restarts: float


class _Process:
    def __init__(self, name: Incarnation, rate: float, settings: ShareSettings) -> None:
        self.name = name
        self.rate = rate
        self.clock = ManualClock()
        self.ledger = ShareLedger(name, self.clock, settings)
        self.paused_until = 0.0
        self.view = -1
        self.permits: list[tuple[float, Permit]] = []


class ShareNetwork:
    """Ledgers that exchange messages over a network with faults, in virtual time.

    Parameters
    ----------
    seed : int
    faults : NetworkFaults
    settings : ShareSettings
    """

    STEP_S = 0.05

    def __init__(self, seed: int, faults: NetworkFaults, settings: ShareSettings) -> None:
        self.random = Random(seed)
        self.faults = faults
        self.settings = settings
        self.now = 0.0
        self.processes: dict[str, _Process] = {}
        self.views: list[tuple[float, list[Incarnation]]] = []
        self.conflicts: list[str] = []
        self._in_flight: list[tuple[float, int, Incarnation, Incarnation, object]] = []
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1)

    def start(self, member: str) -> None:
        """Starts a new process of ``member``; any earlier one must have ended."""
        # Clock rates differ by up to 2 %, which is below the 5 % margin of a loan.
        name = Incarnation(member, next(self._incarnations))
        process = _Process(name, self.random.uniform(0.99, 1.01), self.settings)
        self.processes[member] = process
        self._publish_view()
        self.apply_view(process, len(self.views) - 1)

    def end(self, member: str) -> None:
        del self.processes[member]
        self._publish_view()

    def _publish_view(self) -> None:
        self.views.append((self.now, [process.name for process in self.processes.values()]))

    def apply_view(self, process: _Process, number: int) -> None:
        members = self.views[number][1]
        if number > process.view and process.name in members:
            process.view = number
            process.ledger.set_view(members, TARGETS)

    def send(self, sender: _Process, outgoing) -> None:
        for peer, message in outgoing:
            copies = 1 + (self.random.random() < self.faults.duplication)
            for _ in range(copies):
                if self.random.random() >= self.faults.loss:
                    at = self.now + self.random.random() ** 3 * self.faults.delay_s
                    entry = (at, next(self._numbers), sender.name, peer, message)
                    heapq.heappush(self._in_flight, entry)

    def deliver(self) -> None:
        postponed = []
        while self._in_flight and self._in_flight[0][0] <= self.now:
            entry = heapq.heappop(self._in_flight)
            process = self.processes.get(entry[3].member)
            if process is None:
                continue
            if process.paused_until > self.now:
                postponed.append(entry)
                continue
            self.send(process, process.ledger.handle(entry[4], entry[2]))
            self.check()
        for entry in postponed:
            heapq.heappush(self._in_flight, entry)

    def check(self) -> None:
        """Records slots that two processes may use at once, and wrong counts of free slots."""
        for target in TARGETS:
            holders: dict[int, list[Incarnation]] = {}
            for process in self.processes.values():
                slots = process.ledger.list_usable_slots(target)
                free = sum(not held.in_use for held in slots)
                if free != process.ledger.count_available_at(target):
                    self.conflicts.append(f"{process.name} counts other than {free} free slots")
                for held in slots:
                    holders.setdefault(held.slot, []).append(process.name)
            self.conflicts += [
                f"{self.now:.2f} s: {target}/{slot} is held by {names}"
                for slot, names in holders.items()
                if len(names) > 1
            ]

    def step(self, demand: dict[str, int] | None = None) -> None:
        """Advances time by one step; each process that is not paused does some work."""
        self.now += self.STEP_S
        for process in self.processes.values():
            process.clock.advance(timedelta(seconds=self.STEP_S * process.rate))
        self.check()
        self.deliver()
        for process in list(self.processes.values()):
            if process.paused_until <= self.now:
                self._run(process, demand)
                self.check()

    def _run(self, process: _Process, demand: dict[str, int] | None) -> None:
        number = len(self.views) - 1
        age = self.now - self.views[number][0]
        if age >= self.faults.view_lag_s or self.random.random() < 0.1:
            self.apply_view(process, number)
        for end, permit in list(process.permits):
            if end <= self.now:
                process.permits.remove((end, permit))
                process.ledger.release(permit)
        for target in TARGETS:
            permit = process.ledger.acquire(target) if self.random.random() < 0.3 else None
            if permit is not None:
                run_s = self.random.choice([0.1, 0.5, 6.0])
                process.permits.append((self.now + run_s, permit))
        if self.random.random() < 0.3:
            if demand is None:
                demand = {target: self.random.choice([0, 0, 4]) for target in TARGETS}
            self.send(process, process.ledger.tick(demand))

    def disturb(self) -> None:
        """Randomly pauses, ends or starts a process."""
        member = self.random.choice(["a", "b", "c", "d"])
        if self.random.random() < self.faults.restarts:
            if member not in self.processes:
                self.start(member)
            elif len(self.processes) > 1:
                self.end(member)
                if self.random.random() < 0.7:
                    self.start(member)
        elif member in self.processes and self.random.random() < 0.01:
            pause_s = self.random.random() * self.faults.pause_s
            self.processes[member].paused_until = self.now + pause_s

    def count_available(self, target: str) -> int:
        return sum(process.ledger.count_available_at(target) for process in self.processes.values())


class QueueBench:
    """A queue that feeds a fixed number of slots."""

    SHORT_S = 0.1
    LONG_S = 2.0

    def __init__(self, slots: int, **settings) -> None:
        self.clock = ManualClock()
        self.settings = QueueSettings(max_waiting=10_000, **settings)
        self.queue = ClassQueue(self.settings, self.clock)
        self.running = RunningWork(self.settings, self.clock)
        self._slots = slots
        self._numbers = itertools.count()

    def push(self, count: int, *, short: bool, team: str = "web") -> None:
        for _ in range(count):
            seconds = self.SHORT_S if short else self.LONG_S
            item = build_waiting(str(next(self._numbers)), seconds, team=team, deadline=1e6)
            self.queue.push(item)

    def start_all(self) -> list[WaitingRequest]:
        """Starts all requests that may start, and returns them in order."""
        started = []
        while True:
            free = self._slots - len(self.running)
            item = self.queue.pop(free, self.running.count(), self.running.by_team)
            if item is None:
                return started
            self.running.start(item)
            started.append(item)

    def is_short(self, item: WaitingRequest) -> bool:
        return self.queue.classify(item.predicted) is WorkClass.SHORT


class AdmissionBench:
    """Admission to a queue whose slots are all occupied by long work."""

    def __init__(self, slots: int, max_waiting: int) -> None:
        clock, settings = ManualClock(), QueueSettings(max_waiting=max_waiting, short_share=0)
        self.queue = ClassQueue(settings, clock)
        self._predictor = Predictor(clock)
        self._slots = slots
        self._numbers = itertools.count()
        self._admission = Admission(self.queue, self._predictor, clock, Random(1), settings)

    def learn(self, run: timedelta) -> None:
        for _ in range(20):
            self._predictor.observe("s", "k", run)

    def arrive(self, remaining: timedelta) -> WaitingRequest | Refusal:
        request = Request(str(next(self._numbers)), "s", "k", "web", remaining)
        decision = self._admission.decide(request, self._slots, ClassCount(0, self._slots))
        if isinstance(decision, WaitingRequest):
            self.queue.push(decision)
        return decision


def build_hosts(**conditions: list[str]) -> list[HostCondition]:
    """Returns hosts h0 to h7 in two racks; ``conditions`` lists the hosts in each condition."""
    return [
        HostCondition(
            f"h{number}",
            f"r{number // 4}",
            **{name: f"h{number}" in hosts for name, hosts in conditions.items()},
        )
        for number in range(8)
    ]
