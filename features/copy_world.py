"""Owners, workers and their links in virtual time, with late runs and steps that allow copies."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import looptime
from worker_model import ModelWorker, World

from carawayshore.workflows.state import DONE, ORDERED

if TYPE_CHECKING:
    from carawayshore.workflows.model import TaskName

WORKERS = 6
# A start may follow the acknowledged end of the other run by this time (rule TWICE).
MAX_LATE_START_S = 1.0
# Share of the runs that are late, far above that of the load, so that short plays have copies.
LATE_SHARE = 0.2
LATE_MULTIPLE = 7.0
SETTLE_S = 45.0
LINKS = ("", "", "cut", "late", "lost", "refused", "slow")
WAITS = (0.0, 0.05, 0.3, 0.7, 1.0, 1.6, 2.5)


class CopyWorld(World):
    """World in which a run may be late, whatever worker it is on."""

    def __init__(self, seed: int, stop_seconds: float = 0.05) -> None:
        super().__init__(WORKERS, stop_seconds)
        self.random = Random(seed)
        self.late_share = LATE_SHARE
        # Run times to use for the next starts of a task, first to last.
        self.planned_seconds: dict[TaskName, list[float]] = {}
        # Number of starts that made a second run of a task.
        self.second_runs = 0

    def choose_run_seconds(self, worker: ModelWorker, task: TaskName) -> float:
        if self.planned_seconds.get(task):
            return self.planned_seconds[task].pop(0)
        seconds = super().choose_run_seconds(worker, task) * self.random.uniform(0.8, 1.2)
        return seconds * (LATE_MULTIPLE if self.random.random() < self.late_share else 1.0)

    def _count_other_runs_allowed(self, task: TaskName) -> int:
        return int(self.steps[task.workflow].speculative)

    def _is_late(self, task: TaskName) -> bool:
        if not self.steps[task.workflow].speculative:
            return super()._is_late(task)
        at = self.acknowledged_at.get(task)
        return at is not None and self.now() - at > MAX_LATE_START_S

    def check_start(self, worker: ModelWorker, task: TaskName, run: int) -> None:
        super().check_start(worker, task, run)
        others = [other for other in self.workers.values() if task in other.runs]
        self.second_runs += bool(others)
        self.violations += [
            f"RESET at {self.now():.3f}: {task} run {run} on {worker.name} beside run"
            f" {other.runs[task].run} on {other.name}, which is neither its run nor its copy"
            for other in others
            if not self._is_followed(task, other)
        ]

    def _is_followed(self, task: TaskName, worker: ModelWorker) -> bool:
        """Returns whether the present owner takes the run of a task on a worker as going on."""
        workflow = self.current.owner.workflows.get(task.workflow)
        if not self.current.owner.loaded or workflow is None or workflow.is_terminal:
            return True
        state = workflow.find_task(task)[1]
        return state.status != ORDERED or state.has_run(worker.runs[task].run, worker.name)

    def check_acknowledged(self, worker: ModelWorker, task: TaskName) -> None:
        if not self.steps[task.workflow].speculative:
            super().check_acknowledged(worker, task)

    def list_leftovers(self) -> list[str]:
        """Returns what the present owner and the workers hold although all jobs have ended."""
        found = []
        owner = self.current.owner
        for name, link in owner.links.items():
            if link.capacity.usages or link.capacity.millicores or link.orders:
                found.append(f"HELD: {name} {link.capacity.usages} {list(link.orders)}")
        found += [f"RUNS: {w.name} {list(w.runs)}" for w in self.workers.values() if w.runs]
        if owner._copies.orphans or owner._orphans:
            found.append(f"ORPHANS: {owner._orphans} {owner._copies.orphans}")
        for workflow in owner.workflows.values():
            for step in workflow.steps.values():
                done = sum(task.status == DONE for task in step.tasks)
                if done != step.done_count:
                    found.append(f"COUNT: {workflow.identifier} {done} {step.done_count}")
        return found


def _heal(world: CopyWorld) -> None:
    """Ends the disturbances of workers, links and the store, apart from processes that are gone."""
    world.failing.clear()
    world.late_starts.clear()
    world.links = dict.fromkeys(world.links, "")
    world.store.append_seconds, world.store.loses_answers = 0.0, False


async def _disturb(world: CopyWorld, random: Random) -> None:
    """Does one of the things that may happen to owners, workers and jobs."""
    names = [name for name in world.workers if not world.workers[name].gone]
    name = random.choice(names or list(world.workers))
    kind = random.choice(
        ("submit",) * 5
        + ("plain", "cancel", "take_over", "kill", "bounce", "restart", "crash", "unlist")
        + ("link",) * 3
        + ("failing", "heal", "heal", "lost_stop", "late_start", "store")
    )
    if kind == "submit":
        await world.submit(
            random.randint(1, 2),
            random.randint(1, 6),
            random.choice((0.3, 0.8)),
            chain=random.randint(1, 2),
            speculative=True,
            max_failures=random.choice((2, 3, 4)),
        )
    elif kind == "plain":
        await world.submit(random.randint(1, 3), random.randint(1, 4), 0.8, max_failures=4)
    elif kind == "cancel":
        await world.cancel(random.randrange(20))
    elif kind == "take_over":
        await world.take_over()
    elif kind == "kill":
        await world.kill_owner()
    elif kind == "bounce":
        await world.bounce(random.choice((0.0, 0.05, 0.3)))
    elif kind == "link":
        world.links[name] = random.choice(LINKS)
    elif kind == "restart":
        world.workers[name].restart(random.choice((6, 12)))
    elif kind == "crash":
        world.workers[name].crash()
    elif kind == "unlist":
        world.unlisted ^= {name}
    elif kind == "failing":
        world.failing.add(name)
    elif kind == "late_start":
        # Start orders to the worker reach whichever start of it is up by then.
        world.late_starts[name] = random.choice((0.4, 0.9, 1.3, 2.5))
    elif kind == "store":
        world.store.append_seconds = random.choice((0.0, 0.1, 0.4))
        world.store.loses_answers = random.random() < 0.5
    elif kind == "heal":
        _heal(world)
    elif kind == "lost_stop":
        world.lost_stop_answers[name] += 1


async def _play(seed: int, steps: int) -> tuple[list[str], int]:
    random = Random(seed)
    world = CopyWorld(seed, random.choice((0.05, 0.9)))
    world.crashed_return_as_new = random.random() < 0.5
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(3):
            await world.submit(1, 4, 0.5, speculative=True, max_failures=4)
            await asyncio.sleep(0.5)
        for _ in range(steps):
            await _disturb(world, random)
            await asyncio.sleep(random.choice(WAITS))
        _heal(world)
        world.unlisted = {w.name for w in world.workers.values() if w.gone or w.replaced}
        world.late_share = 0.0
        for item in list(world.workers.values()):
            if not item.replaced:
                item.restart(12)
        await asyncio.sleep(3.0)
        world.unlisted = {w.name for w in world.workers.values() if w.replaced}
        await asyncio.sleep(SETTLE_S)
        unfinished = [
            text
            for text in await world.list_unfinished(allow_giving_up=True)
            if not ("failed" in text and world.has_failures(text.split()[1]))
        ]
        return world.violations + unfinished + world.list_leftovers(), world.second_runs
    finally:
        await world.close()


def play(seed: int, steps: int = 25) -> tuple[list[str], int]:
    """Plays a random sequence in virtual time; returns what went wrong and the second runs."""
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        return loop.run_until_complete(_play(seed, steps))
    finally:
        loop.close()
