"""A late run and its copy, on workers and with owners in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import looptime
from copy_world import CopyWorld

from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import TaskState

if TYPE_CHECKING:
    from collections.abc import Callable

    from worker_model import ModelWorker

TASK_S = 0.5
LATE_S = 20.0
# Run time of a third run of the task.
THIRD_S = 3.0
POLL_S = 0.01
COPY_TIMEOUT_S = 8.0
SETTLE_S = 20.0
WARM_UP_JOBS = 3


class CopyPlay:
    """World in which task 0 of a job is late; each step of a scenario runs it on for a while."""

    def __init__(self) -> None:
        self.loop = looptime.new_event_loop(start=0, noop_cycles=2)
        self.world: CopyWorld = self.run(self._open())
        self.task = TaskName("", 0, 0, 0)
        # Workers of the late run and of its copy.
        self.original = self.copy = ""

    async def _open(self) -> CopyWorld:
        world = CopyWorld(1)
        world.late_share = 0.0
        await world.take_over()
        await asyncio.sleep(1.0)
        for _ in range(WARM_UP_JOBS):
            await world.submit(1, 4, TASK_S)
            await asyncio.sleep(2 * TASK_S)
        return world

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def wait_until(self, condition: Callable[[], bool], timeout: float = COPY_TIMEOUT_S) -> bool:
        """Returns whether a condition holds within a time."""

        async def poll() -> bool:
            until = self.world.now() + timeout
            while self.world.now() < until:
                if condition():
                    return True
                await asyncio.sleep(POLL_S)
            return condition()

        return self.run(poll())

    def submit(self, late: float = LATE_S, copy: float = TASK_S, **step: Any) -> None:
        """Submits a job of 4 tasks, of which the first one takes ``late``, its copy ``copy``."""

        async def submit() -> None:
            identifier = f"{len(self.world.jobs):016x}"
            self.task = TaskName(identifier, 0, 0, 0)
            self.world.planned_seconds[self.task] = [late, copy, THIRD_S]
            fields = {"speculative": True, "max_failures": 3} | step
            assert await self.world.submit(1, 4, TASK_S, **fields) == identifier

        self.run(submit())

    @property
    def state(self) -> TaskState:
        return self.world.current.owner.workflows[self.task.workflow].find_task(self.task)[1]

    @property
    def job_state(self) -> str:
        return self.run(self.world.current.owner.read_state(self.task.workflow)).detail

    def find_workers(self) -> dict[int, ModelWorker]:
        """Returns the workers on which the task runs, by the number of the run."""
        return {
            worker.runs[self.task].run: worker
            for worker in self.world.workers.values()
            if self.task in worker.runs
        }

    def wait_for_copy(self) -> None:
        """Waits until the copy of the late run is recorded."""
        assert self.wait_until(lambda: self.state.has_copy), "no copy was recorded"
        self.original, self.copy = self.state.worker, self.state.copy.worker

    def wait_for_both(self) -> None:
        """Waits until the late run and its copy are both at work."""
        self.wait_for_copy()
        assert self.wait_until(lambda: len(self.find_workers()) == 2), self.find_workers()

    def count_copies(self) -> dict[str, int]:
        """Returns the outcomes of copies, over all owners."""
        outcomes: dict[str, int] = {}
        for item in self.world.owners:
            for metric in item.owner._metrics.copies.collect():
                for sample in metric.samples:
                    if sample.name.endswith("_total") and sample.value:
                        name = sample.labels["outcome"]
                        outcomes[name] = outcomes.get(name, 0) + int(sample.value)
        return outcomes

    def close(self) -> None:
        self.run(self.world.close())
        self.loop.close()


def open_play(context: Any) -> CopyPlay:
    """Begins the play of a scenario, which ends with it."""
    context.play = CopyPlay()
    context.add_cleanup(context.play.close)
    return context.play
