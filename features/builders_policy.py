"""Builders for the request policy: a simulated network of share ledgers and waiting requests."""

from __future__ import annotations

import heapq
import itertools
from datetime import timedelta
from random import Random
from typing import NamedTuple

from carawayshore.membership import Incarnation
from carawayshore.queueing import Waiting
from carawayshore.shares import Permit, ShareLedger, ShareSettings
from carawayshore.testing import ManualClock

TARGETS = {"w1": 8, "w2": 3}


def build_waiting(name: str, seconds: float, *, team: str = "web", deadline: float = 60) -> Waiting:
    """Returns a waiting request with a predicted run time and a deadline in seconds."""
    run = timedelta(seconds=seconds)
    return Waiting(name, "booking", "k", team, run, run, timedelta(seconds=deadline), timedelta())


class NetworkFaults(NamedTuple):
    """Faults of a :class:`ShareNetwork`: probabilities and longest times in seconds."""

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
        self._under_way: list[tuple[float, int, Incarnation, Incarnation, object]] = []
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1)

    def start(self, member: str) -> None:
        """Starts a process of ``member``; an earlier one has ended."""
        # Clock rates differ by up to 2 %, less than the margin of 5 % of a loan.
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
                    heapq.heappush(self._under_way, entry)

    def deliver(self) -> None:
        held_back = []
        while self._under_way and self._under_way[0][0] <= self.now:
            entry = heapq.heappop(self._under_way)
            process = self.processes.get(entry[3].member)
            if process is None:
                continue
            if process.paused_until > self.now:
                held_back.append(entry)
                continue
            self.send(process, process.ledger.handle(entry[4], entry[2]))
            self.check()
        for entry in held_back:
            heapq.heappush(self._under_way, entry)

    def check(self) -> None:
        """Records every slot that two processes may use at this moment."""
        for target in TARGETS:
            holders: dict[int, list[Incarnation]] = {}
            for process in self.processes.values():
                for held in process.ledger.list_held(target):
                    holders.setdefault(held.slot, []).append(process.name)
            self.conflicts += [
                f"{self.now:.2f} s: {target}/{slot} is held by {names}"
                for slot, names in holders.items()
                if len(names) > 1
            ]

    def step(self, demand: dict[str, int] | None = None) -> None:
        """Moves time forward by one step; each process that is not paused does some work."""
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
        """Pauses, ends or starts a process now and then."""
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
        return sum(process.ledger.available(target) for process in self.processes.values())
