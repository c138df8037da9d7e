"""Workers of the soak that run long-running tasks, and the check that those tasks run again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawayshore_standins.platform_worker import PlatformWorker

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web
    from soak_run import Job

# A long-running task with room for it has to run again within this time after its last run.
RESTART_TIMEOUT_S = 6.0
# Only if no fault has happened for this long, nor for as long as the task is seen to be missing.
CALM_S = 4.0
MISSING_S = 3.0
# Workers with room for this many tasks count as having room for one.
ROOM_FACTOR = 2
SAMPLE_S = 0.1


class SoakWorker(PlatformWorker):
    """Worker whose long-running tasks run until they are stopped, and that can leave for good.

    Attributes
    ----------
    long_running_jobs : set of str
        Identifiers of the jobs whose tasks run without end.
    gone : bool
        Whether the process has ended for good.
    """

    def __init__(self, name: str, service: str, address: str, *, run_seconds: float) -> None:
        super().__init__(name, service, address, run_seconds=run_seconds)
        self.long_running_jobs: set[str] = set()
        self.gone = False

    async def leave(self) -> None:
        """Ends the process for good, and with it all that it runs."""
        self.gone = True
        await self.stop()
        self.crash()

    def count_long_running(self) -> int:
        return sum(task.partition(".")[0] in self.long_running_jobs for task in self._running)

    def count_free(self) -> int:
        """Returns how many more tasks the worker has room for."""
        return self.millicores // self.task_millicores - len(self.running)

    async def _start(self, request: web.Request) -> web.Response:
        response = await super()._start(request)
        for task, entry in self._running.items():
            if task.partition(".")[0] in self.long_running_jobs:
                entry["timer"].cancel()
        return response


class LongRunningWatch:
    """Samples which long-running tasks run, and finds those that stay away although it is calm.

    Parameters
    ----------
    jobs : list of Job
        The long-running jobs.
    workers : list of SoakWorker
        Table of the deployment, which adds workers to it.
    measure_calm_seconds : callable
        Returns for how long no fault has been in effect, 0 during one.

    Attributes
    ----------
    missing : dict of str to float
        Tasks that stayed away too long, with the time of their last run.
    restart_count : int
        Number of times that a task has run again after it was away.
    """

    def __init__(
        self,
        jobs: list[Job],
        workers: list[SoakWorker],
        measure_calm_seconds: Callable[[], float],
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._measure_calm_seconds = measure_calm_seconds
        self._last_run_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        self.missing: dict[str, float] = {}
        self.restart_count = 0

    async def watch(self) -> None:
        while True:
            self.sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_S)

    def sample(self, now: float) -> None:
        """Updates the times of all tasks; ``now`` is the time of the event loop."""
        running = {task for worker in self._workers for task in worker.running}
        is_countable = self._measure_calm_seconds() >= CALM_S and self._has_room()
        for job in self._jobs:
            if job.accepted_at is None or job.completed:
                continue
            for index in range(job.tasks):
                self._sample_task(f"{job.identifier}.0.0.{index}", running, is_countable, now, job)

    def _sample_task(
        self, task: str, running: set[str], is_countable: bool, now: float, job: Job
    ) -> None:
        last = self._last_run_at.setdefault(task, job.accepted_at)
        if task in running:
            self.restart_count += now - last > 2 * SAMPLE_S
            self._last_run_at[task] = now
        if task in running or not is_countable or now - last < RESTART_TIMEOUT_S:
            self._missing_since.pop(task, None)
        elif now - self._missing_since.setdefault(task, now) >= MISSING_S:
            self.missing.setdefault(task, last)

    def _has_room(self) -> bool:
        return any(
            not worker.gone and worker.count_free() >= ROOM_FACTOR for worker in self._workers
        )
