"""Seeded plays of jobs with large tasks beside long-running ones, judged at the end of the day.

Owners and holders of the fleet change, workers are lost, links and the store fail, orders to
machines get no answer, in series and at once. Steps become due after the end of all of that, while
the pool returns machines: :class:`EndWatch` checks that their tasks run.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from end_watch import FINISH_S, EndWatch
from fleet_world import STANDBY, FleetWorld
from restart_scenarios import LONG_S
from virtual_time import play

from carawayshore.workflows.model import StepSpec
from carawayshore.workflows.placement import compute_usage, find_obstacle

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from worker_model import ModelWorker

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.workflows.model import TaskName

IN_SERVICE, ON_STANDBY = (4, 8), (1, 12)
ACTIONS_PER_PLAY = (8, 16)
WAITS = (0.05, 0.5, 1.0, 1.0, 2.5, 4.0)
# Time from the removal of a machine to the one that replaces it on standby.
REPLACEMENT_S = 4.0
# Seconds for which the watch judges at the end of a play.
JUDGED_S = (10.0, 15.0)
WAVE_S, MAX_DOWN = 20.0, (1, 2, 3)
# Limit of the wait for the end of a wave, whose last orders may be without an answer.
WAVE_LIMIT_S, WAVE_CHECK_S = 40.0, 0.5
# Chain of the longest steps of a job: they end up to this long after its submission.
LONGEST_CHAIN_S = 40.0
# Sizes of large tasks: cores of the 12 and memory of the 64,000 MB of a worker.
LARGE_SIZES = (
    (6, 100),
    (7, 15_000),
    (8, 15_000),
    (9, 1_000),
    (2, 32_000),
    (4, 40_000),
    (6, 32_000),
    (1, 45_000),
)
LATEST_ORDER_S = 10.0
# Share of the plays that end with a cut.
CUT_SHARE = 0.7
# Share of the plays in which a job crashes its workers in the judged time.
LATE_CRASH_SHARE = 0.3
# Time after the end of a cut in which owners and holders may still change as its consequence.
CONSEQUENCE_S = 4.0
STEP_S, LATE_STEP_S = (0.3, 1.0, 2.0, 4.0, 8.0, 14.0), (4.0, 8.0, 8.0, 14.0)
LINKS = ("cut", "lost", "slow", "refused")

ACTIONS: dict[str, Callable] = {}


def action(*, weight: int = 1) -> Callable:
    """Registers an action of the plays."""

    def register(function: Callable) -> Callable:
        for number in range(weight):
            ACTIONS[f"{function.__name__}-{number}"] = function
        return function

    return register


def _describe_worker(worker: ModelWorker, link: WorkerLink) -> str:
    runs = [(task.workflow[-2:], *task[1:], run.cores) for task, run in worker.runs.items()]
    orders = [(task.workflow[-2:], *task[1:], order.state) for task, order in link.orders.items()]
    claims = [
        (task.workflow[-2:], *task[1:], usage.millicores, usage.memory_mb)
        for task, usage in link.capacity.claims.items()
    ]
    return (
        f"{worker.name}: runs {runs} orders {orders} claims {claims}"
        f" reserved {link.capacity.reserved_for[-2:]!r} unusable {link.list_unusable_reasons()}"
    )


class LargeTaskPlay:
    """One play: its world, its random choices, and what it found."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet = FleetWorld(self.rng.randint(*IN_SERVICE), self.rng.randint(*ON_STANDBY))
        self.world = self.fleet.world
        self.world.counts_memory = True
        # It begins 7.4 s after a disturbance; a cordon for an order without an answer takes 14 s.
        self.world.short.is_judging = False
        self.world.draining_go_on = self.rng.random() < 0.7
        self.world.crashed_return_as_new = False
        self.world.crash_downtime_s = self.rng.choice([0.8, 1.5, 3.0])
        self.watch = EndWatch(self.world, self.describe)
        # One change of owner and of holder at a time.
        self.owner_lock, self.holder_lock = asyncio.Lock(), asyncio.Lock()
        self.history: list[str] = []
        self._machine_count = 0
        self._background: list[asyncio.Future] = []

    def note(self, text: str) -> None:
        """Keeps what happened, for the trace of a finding."""
        self.history.append(f"{self.world.now():.2f} {text}")

    def start(self, work) -> None:
        """Plays a disturbance that lasts beside what follows."""

        async def run() -> None:
            try:
                await work
            finally:
                self.world.note_disturbance()

        self._background.append(asyncio.ensure_future(run()))

    def list_ready(self) -> list[str]:
        return sorted(
            name
            for name, worker in self.world.workers.items()
            if not worker.gone and worker.state == "ready"
        )

    def pick(self) -> str:
        """Returns a worker, mostly one that runs something."""
        ready = self.list_ready()
        busy = [name for name in ready if self.world.workers[name].runs]
        return self.rng.choice(busy or ready) if ready else ""

    def replace_machine(self) -> None:
        """Has a machine come to the standby pool for one that has gone."""
        self._machine_count += 1
        asyncio.get_running_loop().call_later(
            REPLACEMENT_S, self.fleet.machines.add, f"new{self._machine_count}", STANDBY
        )

    def describe(self, name: TaskName) -> str:
        """Describes what the owner and the holder of the fleet know of a task that waits."""
        owner = self.world.current.owner
        step, now = self.world.find_step(name), owner._clock.elapsed().total_seconds()
        usage = compute_usage(name, step)
        found = owner.workflows.get(name.workflow)
        task = found.find_task(name) if found is not None else None
        lines = [f"it needs {step.millicores} and {step.memory_mb} MB"]
        for worker in self.watch.list_counted():
            link = owner.links.get(worker.name)
            if link is None:
                lines.append(f"{worker.name}: no link")
                continue
            obstacle = find_obstacle(link.capacity, step, usage, now)
            lines.append(_describe_worker(worker, link) + f" obstacle {obstacle!r}")
        if found is not None and task is not None and not step.long_running:
            choice = owner._short_waits._reasons.describe_choice(found, task[0], name)
            lines.append(f"state {task[1].status} {choice.detail}")
        holder = self.fleet.holder
        machines = self.fleet.machines.machines.values()
        lines.append(f"machines {[f'{item.name}/{item.pool}/{item.state}' for item in machines]}")
        lines.append(f"moves {holder._pending_moves} refused {sorted(holder._refused_until)}")
        lines.append(f"unanswered {sorted(holder._orders.list_unanswered())}")
        return "\n    ".join(lines)

    async def run(self) -> list[str]:
        watching = None
        try:
            await self.fleet.start()
            for _ in range(self.rng.randint(1, 2)):
                await submit_long_job(self)
            await asyncio.sleep(3.0)
            watching = asyncio.ensure_future(self.watch.watch())
            for _ in range(self.rng.randint(*ACTIONS_PER_PLAY)):
                name = self.rng.choice(sorted(ACTIONS))
                self.note(name)
                await ACTIONS[name](self)
                await asyncio.sleep(self.rng.choice(WAITS))
            await asyncio.gather(*self._background)
            await self._end_wave()
            for _ in range(self.rng.randint(2, 5)):
                steps = build_large_steps(self.rng, LATE_STEP_S)
                await self.world.submit_steps(steps, max_failures=4)
                await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            if self.rng.random() < CUT_SHARE:
                await self._end_with_cut()
            if self.rng.random() < LATE_CRASH_SHARE:
                await submit_late_crash(self)
            self.end_disturbances()
            self.note("calm")
            self.watch.begin()
            await asyncio.sleep(FINISH_S + self.rng.uniform(*JUDGED_S))
            return self.watch.findings + self.world.violations
        finally:
            if watching is not None:
                watching.cancel()
            for work in self._background:
                work.cancel()
            await self.fleet.close()

    async def _end_wave(self) -> None:
        """Waits until the upkeep of all machines is over, which is planned work."""
        for _ in range(int(WAVE_LIMIT_S / WAVE_CHECK_S)):
            if all(map(self._is_over, self.fleet.waves)):
                return
            await asyncio.sleep(WAVE_CHECK_S)

    def _is_over(self, wave: int) -> bool:
        """Returns whether the upkeep of all machines of a wave that are left is over."""
        machines = self.fleet.machines.machines
        return all(
            wave in machines[name].waves and machines[name].state != "upkeep"
            for name in self.fleet.waves[wave].wave.machines
            if name in machines
        )

    async def _end_with_cut(self) -> None:
        """Cuts off a part of all, as a data centre that is cut off while demand falls."""
        self.note("cut")
        for _ in range(3):
            await submit_short(self)
        await asyncio.sleep(self.rng.uniform(2.0, 6.0))
        seconds = self.rng.uniform(3.0, 7.0)
        ready = self.list_ready()
        names = self.rng.sample(ready, len(ready) // self.rng.choice([2, 3, 4]))
        changes = [
            (_change_holder, self.rng.uniform(0.2, 2.0)) for _ in range(self.rng.randint(0, 3))
        ]
        changes += [
            (_change_owner, self.rng.choice(OWNER_CHANGES)) for _ in range(self.rng.randint(0, 3))
        ]
        for change, how in changes:
            delay = self.rng.uniform(0.5, seconds + CONSEQUENCE_S)
            self._background.append(asyncio.ensure_future(_change_later(self, change, delay, how)))
        await asyncio.gather(
            _disturb_links(self, names, self.rng.choice(["cut", "lost"]), seconds),
            _disturb_machines(self, "unanswered", seconds),
        )

    def end_disturbances(self) -> None:
        self.world.links.clear()
        self.world.store.append_seconds = 0.0
        self.fleet.machines.mode = ""
        self.world.note_disturbance()


async def submit_long_job(item: LargeTaskPlay) -> None:
    """Submits a long-running job with at most one task on a worker."""
    rng = item.rng
    step = StepSpec(
        count=rng.randint(2, 5),
        millicores=rng.choice([1, 2, 4, 5]) * 1000,
        memory_mb=rng.choice([100, 100, 8_000]),
        estimate_ms=500,
        long_running=True,
        most_per_worker=1,
        most_away=rng.choice([0, 1, 1]),
    )
    await item.world.submit_steps([(step, LONG_S)])


@action(weight=2)
async def submit_long(item: LargeTaskPlay) -> None:
    if sum(step.long_running for step in item.world.steps.values()) < 3:
        await submit_long_job(item)


def build_large_steps(
    rng: Random, lengths: tuple[float, ...] = STEP_S
) -> list[tuple[StepSpec, float]]:
    """Returns steps of uneven length and width, with tasks of half a worker or more."""
    cores, memory_mb = rng.choice(LARGE_SIZES)
    is_checkpointing = rng.random() < 0.8
    steps = []
    left = LONGEST_CHAIN_S
    for _ in range(rng.randint(2, 5)):
        seconds = min(left, rng.choice(lengths))
        left -= seconds
        estimate_ms = int(seconds * rng.choice([0.5, 1.0, 1.0, 2.0]) * 1000)
        step = StepSpec(
            count=rng.choice([1, 1, 2, 3, 5]),
            millicores=cores * 1000,
            memory_mb=memory_mb,
            estimate_ms=max(estimate_ms, 100),
            checkpointing=is_checkpointing,
        )
        steps.append((step, max(seconds, 0.3)))
    return steps


@action(weight=7)
async def submit_large(item: LargeTaskPlay) -> None:
    await item.world.submit_steps(build_large_steps(item.rng), max_failures=4)


@action()
async def submit_short(item: LargeTaskPlay) -> None:
    step = StepSpec(count=item.rng.randint(4, 24), millicores=2000, memory_mb=500, estimate_ms=2000)
    await item.world.submit_steps([(step, 2.0)])


@action()
async def submit_crashing(item: LargeTaskPlay) -> None:
    """Submits a job whose first task crashes its workers, beside one that does not."""
    (step, _), *_ = build_large_steps(item.rng)
    crashing = item.world.submit_steps(
        [(step._replace(count=1), 2.0)], crash_delay=item.rng.choice([0.0, 0.05, 0.5])
    )
    await asyncio.gather(crashing, submit_large(item))


async def submit_late_crash(item: LargeTaskPlay) -> None:
    """Submits a job whose first task crashes its workers after the end of all disturbances."""
    step = StepSpec(count=1, millicores=2000, memory_mb=500, estimate_ms=30_000)
    await item.world.submit_steps([(step, 30.0)], crash_delay=item.rng.uniform(9.0, 20.0))


@action(weight=2)
async def take_away(item: LargeTaskPlay) -> None:
    if worker := item.pick():
        item.fleet.take_away(worker)
        item.replace_machine()


@action(weight=2)
async def lose(item: LargeTaskPlay) -> None:
    if worker := item.pick():
        item.fleet.lose(worker)
        item.replace_machine()


@action()
async def lose_several(item: LargeTaskPlay) -> None:
    """Loses up to half of the workers at once, as with their rack."""
    ready = item.list_ready()
    for worker in item.rng.sample(ready, item.rng.randint(0, len(ready) // 2)):
        item.fleet.lose(worker)
        item.replace_machine()


@action(weight=2)
async def crash(item: LargeTaskPlay) -> None:
    if worker := item.pick():
        item.world.workers[worker].crash()


@action(weight=2)
async def begin_wave(item: LargeTaskPlay) -> None:
    if not item.fleet.waves:
        item.fleet.begin_wave(WAVE_S, item.rng.choice(MAX_DOWN))


async def _disturb_machines(item: LargeTaskPlay, mode: str, seconds: float) -> None:
    item.fleet.machines.mode = mode
    item.fleet.machines.late_seconds = item.rng.uniform(1.0, LATEST_ORDER_S)
    await asyncio.sleep(seconds)
    item.fleet.machines.mode = ""


@action(weight=2)
async def disturb_machines(item: LargeTaskPlay) -> None:
    """Has the machines service refuse, not answer, or carry out orders late."""
    mode = item.rng.choice(["silent", "unanswered", "unanswered", "busy"])
    item.start(_disturb_machines(item, mode, item.rng.uniform(1.0, 6.0)))


async def _change_holder(item: LargeTaskPlay, seconds: float) -> None:
    async with item.holder_lock:
        await item.fleet.lose_holder(seconds)


@action()
async def lose_holder(item: LargeTaskPlay) -> None:
    item.start(_change_holder(item, item.rng.uniform(0.2, 4.0)))


@action(weight=2)
async def change_holders(item: LargeTaskPlay) -> None:
    """Has holders of the fleet follow each other while orders to machines get no answer."""
    pauses = [item.rng.uniform(0.5, 7.0) for _ in range(item.rng.randint(2, 4))]
    gaps = [item.rng.uniform(0.2, 2.0) for _ in pauses]

    async def change() -> None:
        for pause, gap in zip(pauses, gaps, strict=True):
            await asyncio.sleep(pause)
            await _change_holder(item, gap)

    item.start(_disturb_machines(item, "unanswered", item.rng.uniform(2.0, 8.0)))
    item.start(change())


async def _change_owner(item: LargeTaskPlay, kind: str) -> None:
    async with item.owner_lock:
        await getattr(item.world, kind)()


async def _change_later(item: LargeTaskPlay, change: Callable, delay: float, how) -> None:
    await asyncio.sleep(delay)
    await change(item, how)


OWNER_CHANGES = ("kill_owner", "hand_over", "take_over")


@action(weight=2)
async def change_owner(item: LargeTaskPlay) -> None:
    item.start(_change_owner(item, item.rng.choice(OWNER_CHANGES)))


@action(weight=2)
async def change_owners(item: LargeTaskPlay) -> None:
    """Has owners follow each other."""
    changes = [
        (item.rng.uniform(0.3, 5.0), item.rng.choice(OWNER_CHANGES))
        for _ in range(item.rng.randint(2, 4))
    ]

    async def change() -> None:
        for pause, kind in changes:
            await asyncio.sleep(pause)
            await _change_owner(item, kind)

    item.start(change())


async def _disturb_links(item: LargeTaskPlay, names: Iterable[str], kind: str, seconds: float):
    for name in names:
        item.world.links[name] = kind
    await asyncio.sleep(seconds)
    for name in names:
        item.world.links[name] = ""


@action(weight=2)
async def disturb_links(item: LargeTaskPlay) -> None:
    """Has some or all workers not answer for some seconds."""
    ready = item.list_ready()
    if ready:
        names = item.rng.sample(ready, item.rng.randint(1, len(ready)))
        seconds = item.rng.choice([item.rng.uniform(0.3, 2.5), item.rng.uniform(2.5, 6.5)])
        item.start(_disturb_links(item, names, item.rng.choice(LINKS), seconds))


@action()
async def stall_store(item: LargeTaskPlay) -> None:
    seconds, append_seconds = item.rng.uniform(0.5, 3.0), item.rng.choice([0.3, 1.0, 2.0])

    async def disturb() -> None:
        item.world.store.append_seconds = append_seconds
        await asyncio.sleep(seconds)
        item.world.store.append_seconds = 0.0

    item.start(disturb())


def run_play(seed: int) -> list[str]:
    """Returns the promises that are broken in the play of a seed."""

    async def run() -> list[str]:
        return await LargeTaskPlay(seed).run()

    return play(run())
