"""Check of the soak that entry hosts count the jobs that no worker has started."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak_lasting import SoakWorker
    from soak_run import Job

# Rule MIXED: a count is wrong if it is under half of the jobs that were accepted this long before
# and have not started.
ACCEPTED_BEFORE_S = 5.0
# Age that the value may have.
VALUE_AGE_S = 2.0
SAMPLE_S = 0.25


class CountWatch:
    """Compares the counts of all entry hosts with the starts that the workers have recorded.

    Parameters
    ----------
    jobs : list of Job
        Table of the run, which adds jobs to it.
    workers : list of SoakWorker
        Table of the deployment, which adds workers to it.
    ask : callable
        Returns the count that an entry host answers, None if it refuses.
    hosts : callable
        Returns the names of the entry hosts.

    Attributes
    ----------
    findings : list of str
        Wrong counts.
    judged : int
        Number of counts at a time at which jobs had to be counted.
    """

    def __init__(
        self,
        jobs: list[Job],
        workers: list[SoakWorker],
        ask: Callable[[str], Awaitable[int | None]],
        list_hosts: Callable[[], list[str]],
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._ask = ask
        self._list_hosts = list_hosts
        self.findings: list[str] = []
        self.judged = 0

    async def watch(self) -> None:
        while True:
            await asyncio.gather(*(self._sample(host) for host in self._list_hosts()))
            await asyncio.sleep(SAMPLE_S)

    async def _sample(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        fewest = self._count_unstarted_since(asked_at - ACCEPTED_BEFORE_S)
        pending = await self._ask(host)
        if pending is None:
            return
        # What has started in the meantime may be counted or not.
        fewest = min(fewest, self._count_unstarted_since(asked_at - ACCEPTED_BEFORE_S))
        self.judged += fewest > 0
        if pending < fewest / 2:
            self.findings.append(
                f"MIXED at {asked_at:.2f}: {host} counts {pending} pending jobs, and {fewest} that"
                " were accepted in time have not started"
            )
        most = self._count_unstarted_at(asked_at - VALUE_AGE_S)
        if pending > most:
            self.findings.append(
                f"COUNT at {asked_at:.2f}: {host} counts {pending} pending jobs, and all but {most}"
                " had started, or ended, in time"
            )

    def _list_first_starts(self) -> dict[str, float]:
        """Returns the time of the first start of each job."""
        first: dict[str, float] = {}
        for worker in self._workers:
            for start in worker.starts:
                job = start.task.partition(".")[0]
                first[job] = min(start.started_at, first.get(job, start.started_at))
        return first

    def _count_unstarted_since(self, accepted_before: float) -> int:
        """Returns the number of jobs that were accepted before a time and have not started."""
        started = self._list_first_starts()
        return sum(
            job.accepted_at is not None
            and job.accepted_at < accepted_before
            and job.cancelled_at is None
            and not job.is_being_cancelled
            and job.identifier not in started
            for job in self._jobs
        )

    def _count_unstarted_at(self, time: float) -> int:
        """Returns the number of submitted jobs, accepted or not, that had not started at a time."""
        started = self._list_first_starts()
        return sum(started.get(job.identifier, time) >= time for job in self._jobs)
