"""Check of the soak that accepted short jobs are at work or done once it is calm."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak_lasting import SoakWorker
    from soak_run import Job

# Rule LOST: nothing of a job runs for this long although a task's turn has come, there is room for
# its step twice over, and under half of the service is in use.
IDLE_LIMIT_S = 3.0
ROOM_FACTOR = 2
# Time without a fault from which a job is judged: the lease of a lost worker has ended, and the
# limit of the rule has passed since.
CALM_S = 4.4 + IDLE_LIMIT_S
# The same after a change of owner: the leases of the former owner have ended (issue 31).
CALM_AFTER_TAKEOVER_S = 9.4 + IDLE_LIMIT_S
# Time of calm within which each accepted short job has to end.
COMPLETION_LIMIT_S = 20.0
SAMPLE_S = 0.1


class ShortJobWatch:
    """Samples for how long nothing of each short job has run, and finds jobs that stand still.

    Parameters
    ----------
    jobs : list of Job
        Table of the run, which adds jobs to it.
    workers : list of SoakWorker
        Table of the deployment, which adds workers to it.
    measure_calm_seconds : callable
        Returns for how long no fault has been in effect, 0 during one.
    get_generation : callable
        Returns the generation of the owners' group, which changes with the owners.

    Attributes
    ----------
    longest : dict of str to float
        Longest time without a run of each job in seconds, whatever its cause.
    calm_seconds : float
        Time in which the rule was judged.
    longest_in_calm_s : float
        Longest time without a run of any job with room for it, of that in calm.
    overdue : dict of str to str
        Description of each job that broke the rule.
    unfinished : set of str
        Jobs that had not ended after ``COMPLETION_LIMIT_S`` of calm.
    """

    def __init__(
        self,
        jobs: list[Job],
        workers: list[SoakWorker],
        measure_calm_seconds: Callable[[], float],
        get_generation: Callable[[], int],
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._measure_calm_seconds = measure_calm_seconds
        self._get_generation = get_generation
        self._generation: int | None = None
        self._changed_owner_at = 0.0
        self._idle_since: dict[str, float] = {}
        self._room_since: dict[str, float] = {}
        self.longest: dict[str, float] = {}
        self.calm_seconds = 0.0
        self.longest_in_calm_s = 0.0
        self.overdue: dict[str, str] = {}
        self.unfinished: set[str] = set()

    async def watch(self) -> None:
        while True:
            self.sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_S)

    def sample(self, now: float) -> None:
        """Updates the times of all jobs; ``now`` is the time of the event loop."""
        if self._get_generation() != self._generation:
            self._generation, self._changed_owner_at = self._get_generation(), now
        calm_seconds = self._measure_calm_seconds()
        is_calm = calm_seconds > CALM_S and now - self._changed_owner_at > CALM_AFTER_TAKEOVER_S
        self.calm_seconds += SAMPLE_S * is_calm
        open_jobs = [job for job in self._jobs if _is_open(job)]
        if calm_seconds > COMPLETION_LIMIT_S:
            self.unfinished |= {
                job.identifier
                for job in open_jobs
                if now - job.accepted_at > COMPLETION_LIMIT_S and not self._is_done(job)
            }
        running = {task.partition(".")[0] for worker in self._workers for task in worker.running}
        idle = {job.identifier: job for job in open_jobs if job.identifier not in running}
        for identifier in self._idle_since.keys() - idle.keys():
            del self._idle_since[identifier]
            self._room_since.pop(identifier, None)
        for job in idle.values():
            self._sample_idle(job, now, is_calm)

    def _sample_idle(self, job: Job, now: float, is_calm: bool) -> None:
        identifier = job.identifier
        if self._is_done(job):
            self._idle_since.pop(identifier, None)
            self._room_since.pop(identifier, None)
            return
        since = self._idle_since.setdefault(identifier, max(job.accepted_at, now - SAMPLE_S))
        self.longest[identifier] = max(self.longest.get(identifier, 0.0), now - since)
        if not self._has_room(job):
            self._room_since.pop(identifier, None)
            return
        seconds = now - self._room_since.setdefault(identifier, now)
        if not is_calm:
            return
        self.longest_in_calm_s = max(self.longest_in_calm_s, seconds)
        if seconds > IDLE_LIMIT_S:
            self.overdue.setdefault(
                identifier, f"nothing of {identifier} was at work for 3 s at {now:.2f}, in calm"
            )

    def _is_done(self, job: Job) -> bool:
        """Returns whether all tasks of a job have succeeded, read by an owner or not."""
        done = {
            task
            for worker in self._workers
            for task, _, result, _ in worker.ends
            if result == "done" and task.startswith(job.identifier)
        }
        return len(done) >= job.task_count

    def _has_room(self, job: Job) -> bool:
        present = [worker for worker in self._workers if not worker.gone]
        free = sum(max(0, worker.count_free()) for worker in present)
        used = sum(len(worker.running) for worker in present)
        return free >= ROOM_FACTOR * job.tasks and used < free


def _is_open(job: Job) -> bool:
    """Returns whether a short job has been accepted and has to run on."""
    return (
        job.accepted_at is not None
        and job.cancelled_at is None
        and not job.completed
        and not job.is_crashing
        and not job.is_long_running
    )
