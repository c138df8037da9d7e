"""Unfinished jobs of the folded state, kept up to date record by record."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from carawayshore import records
from carawayshore.fold import TERMINAL_JOB_STATES

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayd.process.streams import AppliedRecord, StreamReader
    from carawayshore.fold import Job

JOB_RECORDS = (
    records.JobSubmitted,
    records.JobPlaced,
    records.JobFinished,
    records.JobCancelled,
    records.JobUnplaceable,
)


class JobIndex:
    """Indexes jobs by state and host, so that the cost of a change is independent of their number.

    Parameters
    ----------
    reader : StreamReader
        Of the stream of the own data centre.
    """

    def __init__(self, reader: StreamReader) -> None:
        self.queued: set[str] = set()
        self.by_host: dict[str, set[str]] = {}
        self.by_team: Counter[str] = Counter()
        self.changed = asyncio.Event()
        self._reader = reader
        self._indexed_state = reader.folded
        self._active: dict[str, tuple[str, str]] = {}
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}
        reader.add_listener(self._handle_applied)
        reader.add_batch_listener(self._rebuild_if_replaced)

    @property
    def active_count(self) -> int:
        return len(self._active)

    def find(self, job: str) -> Job | None:
        """Returns a job of the folded state."""
        return self._reader.folded.jobs.get(job)

    def _handle_applied(self, applied: AppliedRecord) -> None:
        body = applied.record.body
        if isinstance(body, JOB_RECORDS):
            self._rebuild_if_replaced()
            self._update(body.job)
        elif isinstance(body, records.HostAdded | records.HostJoined | records.HostDrainStarted):
            self.changed.set()

    def _rebuild_if_replaced(self) -> None:
        """Rebuilds the index if the folded state was replaced."""
        if self._indexed_state is self._reader.folded:
            return
        self._indexed_state = self._reader.folded
        for table in (self.queued, self.by_host, self.by_team, self._active):
            table.clear()
        for name in {*self._indexed_state.jobs, *self._waiters}:
            self._update(name)

    def _update(self, name: str) -> None:
        job = self.find(name)
        self._remove(name)
        if job is None or job.state in TERMINAL_JOB_STATES:
            for future in self._waiters.pop(name, ()):
                if not future.done():
                    future.set_result(None)
        elif job.state == "queued":
            self.queued.add(name)
        else:
            self._active[name] = (job.placement.host, job.team)
            self.by_host.setdefault(job.placement.host, set()).add(name)
            self.by_team[job.team] += 1
        self.changed.set()

    def _remove(self, name: str) -> None:
        self.queued.discard(name)
        host, team = self._active.pop(name, ("", ""))
        if host:
            self.by_team[team] -= 1
            self.by_host[host].discard(name)
            if not self.by_host[host]:
                del self.by_host[host]

    async def wait_for_end(self, name: str, limit: timedelta) -> None:
        """Waits until the job has ended, for at most ``limit``."""
        job = self.find(name)
        if job is None or job.state in TERMINAL_JOB_STATES or not limit:
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(name, set()).add(future)
        try:
            await asyncio.wait({future}, timeout=limit.total_seconds())
        finally:
            waiters = self._waiters.get(name, set())
            waiters.discard(future)
            if not waiters:
                self._waiters.pop(name, None)
