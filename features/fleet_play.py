"""Seeded plays of pools whose long-running tasks need each of their workers.

Workers leave and are lost, machines are taken through upkeep, orders to machines are refused or get
no answer, holders of the fleet, owners and links fail, in series and at once. In each calm time and
at the end of a play, every long-running task has to be at work again.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from displaced_elsewhere_scenarios import submit_sized
from driver_watch import watch_drivers
from fleet_world import STANDBY, FleetWorld
from restart_scenarios import LONG_S
from virtual_time import play

if TYPE_CHECKING:
    from collections.abc import Callable

ACTIONS_PER_PLAY = 10
# Enough machines for all long-running tasks of a play, and for those that are out of service.
ON_STANDBY = (10, 14)
WAITS = (0.05, 0.5, 1.0, 2.5, 5.0)
# Time from the removal of a machine to the one that replaces it on standby.
REPLACEMENT_S = 4.0
# Rule LOST: nothing of a task for 3 s, from 6 s after its last run on, if these 3 s and the 4 s
# before them are calm.
ABSENCE_LIMIT_S, CALM_S = 9.0, 7.0
# Calm time at the end of a play.
QUIET_S = 20.0
WATCH_S = 0.1
SHORT_CORES, SHORT_S, SHORT_TASKS = 2, 2.0, 24
WAVE_S, MAX_DOWN = 20.0, 2

ACTIONS: dict[str, Callable] = {}


def action(*, weight: int = 1) -> Callable:
    """Registers an action of the plays."""

    def register(function: Callable) -> Callable:
        for number in range(weight):
            ACTIONS[f"{function.__name__}-{number}"] = function
        return function

    return register


class FleetPlay:
    """One play: its world, its random choices, and what it found.

    Attributes
    ----------
    faults : int
        Number of faults that last and are not over.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet = FleetWorld(self.rng.randint(4, 7), self.rng.randint(*ON_STANDBY))
        self.world = self.fleet.world
        self.world.draining_go_on = self.rng.random() < 0.7
        self.faults = 0
        self.findings: list[str] = []
        self.changed_at = self.world.now()
        self._machine_count = 0
        self._background: list[asyncio.Future] = []

    def note_change(self) -> None:
        """Notes a disruption, which ends a calm time."""
        self.changed_at = self.world.now()

    def start(self, work) -> None:
        """Plays a disruption that lasts beside what follows."""

        async def run() -> None:
            self.faults += 1
            try:
                await work
            finally:
                self.faults -= 1
                self.note_change()

        self._background.append(asyncio.ensure_future(run()))

    def list_ready(self) -> list[str]:
        return sorted(
            name
            for name, worker in self.world.workers.items()
            if not worker.gone and worker.state == "ready"
        )

    def pick(self) -> str:
        """Returns a worker, one with long-running tasks if there is one."""
        ready = self.list_ready()
        busy = [
            name
            for name in ready
            if any(
                self.world.steps[task.workflow].long_running
                for task in self.world.workers[name].runs
            )
        ]
        return self.rng.choice(busy or ready) if ready else ""

    def replace_machine(self) -> None:
        """Has a machine come to the standby pool for one that has gone."""
        self._machine_count += 1
        asyncio.get_running_loop().call_later(
            REPLACEMENT_S, self.fleet.machines.add, f"new{self._machine_count}", STANDBY
        )

    async def watch(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(WATCH_S)

    def check(self) -> None:
        now, restarts = self.world.now(), self.world.restarts
        if self.faults:
            # The watch of the world knows of disturbed links only.
            self.world.note_disturbance()
        if self.faults or now - self.changed_at < CALM_S:
            return
        for task, absence in restarts.absences.items():
            if now - absence.since >= ABSENCE_LIMIT_S:
                self.findings.append(
                    f"LOST at {now:.2f}: {task} away for {now - absence.since:.1f} s"
                )
                # Counts anew, so that the end of the play tells whether it lasts.
                restarts.absences[task] = absence._replace(since=now)

    async def run(self) -> list[str]:
        watching = None
        try:
            await self.fleet.start()
            watch_drivers(self.world)
            for _ in range(self.rng.randint(1, 3)):
                await submit_long_job(self)
            await asyncio.sleep(6.0)
            watching = asyncio.ensure_future(self.watch())
            for _ in range(ACTIONS_PER_PLAY):
                self.note_change()
                await ACTIONS[self.rng.choice(sorted(ACTIONS))](self)
                await asyncio.sleep(self.rng.choice(WAITS))
            await asyncio.gather(*self._background)
            self.note_change()
            await asyncio.sleep(QUIET_S)
            return self.world.violations + self.findings + self.list_absent() + self.list_ended()
        finally:
            if watching is not None:
                watching.cancel()
            for work in self._background:
                work.cancel()
            await self.fleet.close()

    def list_absent(self) -> list[str]:
        self.world.restarts.check()
        return [f"LOST: {task} is not at work at the end" for task in self.world.restarts.absences]

    def list_ended(self) -> list[str]:
        return [f"AVAIL: an order ended {run}" for run in self.fleet.machines.ended_runs]


async def submit_long_job(item: FleetPlay) -> None:
    rng = item.rng
    await submit_sized(
        item.world,
        rng.choice([1, 1, 2, 4]),
        rng.randint(2, 6),
        LONG_S,
        rng.choice([100, 100, 20_000, 40_000]),
        long_running=True,
        most_per_worker=rng.choice([0, 1, 1, 1, 2]),
        most_away=rng.choice([0, 1, 1]),
    )


@action()
async def submit_short(item: FleetPlay) -> None:
    await item.world.submit(SHORT_CORES, SHORT_TASKS, SHORT_S)


@action(weight=3)
async def take_away(item: FleetPlay) -> None:
    if worker := item.pick():
        item.fleet.take_away(worker)
        item.replace_machine()


@action()
async def take_away_rack(item: FleetPlay) -> None:
    for worker in item.list_ready()[:2]:
        item.fleet.take_away(worker)
        item.replace_machine()


@action(weight=2)
async def lose(item: FleetPlay) -> None:
    if worker := item.pick():
        item.fleet.lose(worker)
        item.replace_machine()


@action(weight=2)
async def begin_wave(item: FleetPlay) -> None:
    if not item.fleet.waves:
        item.fleet.begin_wave(WAVE_S, MAX_DOWN)


@action(weight=3)
async def disturb_machines(item: FleetPlay) -> None:
    """Has the machines service refuse or not answer for some seconds."""

    async def disturb() -> None:
        item.fleet.machines.mode = item.rng.choice(["silent", "unanswered", "busy"])
        item.fleet.machines.late_seconds = item.rng.uniform(1.0, 10.0)
        await asyncio.sleep(item.rng.uniform(1.0, 6.0))
        item.fleet.machines.mode = ""

    item.start(disturb())


@action()
async def lose_holder(item: FleetPlay) -> None:
    await item.fleet.lose_holder(item.rng.uniform(0.2, 4.0))


@action()
async def kill_owner(item: FleetPlay) -> None:
    await item.world.kill_owner()


@action()
async def hand_over(item: FleetPlay) -> None:
    await item.world.hand_over()


@action()
async def take_over(item: FleetPlay) -> None:
    await item.world.take_over()


@action(weight=2)
async def flap(item: FleetPlay) -> None:
    """Has some or all workers not answer for a moment."""

    async def disturb() -> None:
        ready = item.list_ready()
        names = item.rng.sample(ready, item.rng.randint(1, max(1, len(ready))))
        kind = item.rng.choice(["cut", "lost", "slow"])
        for name in names:
            item.world.links[name] = kind
        await asyncio.sleep(item.rng.uniform(0.3, 2.5))
        for name in names:
            item.world.links[name] = ""

    if item.list_ready():
        item.start(disturb())


@action()
async def stall_store(item: FleetPlay) -> None:
    async def disturb() -> None:
        item.world.store.append_seconds = item.rng.choice([0.3, 1.0, 2.0])
        await asyncio.sleep(item.rng.uniform(0.5, 3.0))
        item.world.store.append_seconds = 0.0

    item.start(disturb())


def run_play(seed: int) -> list[str]:
    """Returns the promises that are broken in the play of a seed."""

    async def run() -> list[str]:
        return await FleetPlay(seed).run()

    return play(run())
