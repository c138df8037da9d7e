"""Placement of jobs, decided by the holder of the claim ``jobs``."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service

from carawayd.process.appender import NotAppended, Priority
from carawayd.process.tasks import TaskSupervisor
from carawayshore import records
from carawayshore.configuration import TEAM_FIELDS
from carawayshore.health import HealthSettings, TargetHealth
from carawayshore.options import fill_defaults
from carawayshore.placement import (
    HostCapacity,
    PlacedTask,
    Plan,
    PlannedPlacement,
    QueuedJob,
    SizeCorrector,
    plan_jobs,
)

if TYPE_CHECKING:
    from carawayd.platform.worker import WorkerClient
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.inventory import Inventory
    from carawayd.process.jobindex import JobIndex
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import AppliedRecord, StreamReader
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock
    from carawayshore.fold import Host, Job
    from carawayshore.health import Attempt

logger = logging.getLogger(__name__)

# Pause after planning, as a multiple of its duration, which limits it to a tenth of a core.
PLAN_PAUSE_FACTOR = 10
MIN_PLAN_PAUSE = timedelta(milliseconds=20)
# Backoff of a job that a worker refused, which limits the appends that such a worker causes.
INITIAL_BACKOFF = timedelta(seconds=0.5)
MAX_BACKOFF = timedelta(seconds=30)
# A pool that is empty for longer counts as having no hosts. After a start, hosts are added within
# seconds.
EMPTY_POOL_TIMEOUT = timedelta(seconds=60)
DEFAULT_TEAM = fill_defaults(TEAM_FIELDS, {})
TASK_HEALTH = HealthSettings(
    consecutive_failures=3,
    first_backoff=timedelta(seconds=30),
    max_backoff=timedelta(minutes=10),
    probe_timeout=timedelta(seconds=60),
)


class JobController(Service):
    """Places queued jobs and has the tasks of placed ones supervised.

    Parameters
    ----------
    claim : ClaimRenewer
        Of the claim ``jobs``.
    reader, appender
        Of the stream of the own data centre.
    index : JobIndex
    membership : Membership
    peers : Peers
    versions : Versions
    inventory : Inventory
    worker : WorkerClient
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        claim: ClaimRenewer,
        reader: StreamReader,
        appender: Appender,
        *,
        index: JobIndex,
        membership: Membership,
        peers: Peers,
        versions: Versions,
        inventory: Inventory,
        worker: WorkerClient,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.corrector = SizeCorrector()
        self._claim = claim
        self._reader = reader
        self._appender = appender
        self._index = index
        self._versions = versions
        self._inventory = inventory
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._submitted: set[tuple[str, int]] = set()
        self._health: dict[str, TargetHealth] = {}
        self._backoff: dict[str, tuple[int, timedelta]] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._empty_pool_since: timedelta | None = None
        reader.add_listener(self._handle_applied)
        self.tasks = TaskSupervisor(
            claim,
            reader,
            appender,
            index=index,
            membership=membership,
            peers=peers,
            worker=worker,
            on_result=self._record_result,
            on_usage=self._record_usage,
            settings=settings,
            clock=clock,
            metrics=metrics,
        )

    async def on_start(self) -> None:
        await self.add_runtime_dependency(self.tasks)

    @Service.task
    async def _control(self) -> None:
        while not self.should_stop:
            self._index.changed.clear()
            start = self._clock.elapsed()
            if self._claim.holds() and self._versions.current is not None:
                self._apply_plan(self._make_plan())
            duration = self._clock.elapsed() - start
            await self._clock.sleep(max(MIN_PLAN_PAUSE, duration * PLAN_PAUSE_FACTOR))
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        change = asyncio.ensure_future(self._index.changed.wait())
        timer = asyncio.ensure_future(self._clock.sleep(self._settings.options.controller))
        try:
            await asyncio.wait({change, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()
            timer.cancel()

    def _make_plan(self) -> Plan:
        self._update_health()
        queued_jobs = [
            self._build_queued_job(name, job)
            for name in self._index.queued
            if (job := self._index.find(name)) and self._may_place(name, job)
        ]
        if not queued_jobs:
            return Plan([], [], [])
        capacities = self._list_host_capacities()
        plan = plan_jobs(queued_jobs, capacities, self._find_quotas(queued_jobs))
        pools = {capacity.pool for capacity in capacities}
        without_hosts = [queued_job for queued_job in queued_jobs if queued_job.pool not in pools]
        plan.unplaceable.extend(self._list_unplaceable(without_hosts))
        return plan

    def _find_quotas(self, queued_jobs: list[QueuedJob]) -> dict[str, int]:
        """Returns how many jobs each team may still place."""
        teams = self._versions.current.configuration["teams"]
        return {
            team: teams.get(team, DEFAULT_TEAM)["max_jobs"] - self._index.by_team[team]
            for team in {queued_job.team for queued_job in queued_jobs}
        }

    def _list_unplaceable(self, queued_jobs: list[QueuedJob]) -> list[tuple[str, str]]:
        """Returns jobs whose queue is not configured, or whose pool was empty for too long."""
        if not queued_jobs:
            self._empty_pool_since = None
            return []
        now = self._clock.elapsed()
        self._empty_pool_since = self._empty_pool_since or now
        timed_out = now - self._empty_pool_since > EMPTY_POOL_TIMEOUT
        found = []
        for queued_job in queued_jobs:
            if not queued_job.pool:
                queue = self._index.find(queued_job.job).queue
                found.append((queued_job.job, f"queue {queue!r} is not configured"))
            elif timed_out:
                found.append((queued_job.job, f"pool {queued_job.pool!r} has no hosts"))
        return found

    def _may_place(self, name: str, job: Job) -> bool:
        if (name, job.placement.attempt + 1) in self._submitted:
            return False
        backoff = self._backoff.get(name)
        return backoff is None or self._clock.elapsed() >= backoff[1]

    def _find_pool(self, job: Job) -> str:
        queue = self._versions.current.configuration["queues"].get(job.queue)
        return queue["pool"] if queue else ""

    def _build_queued_job(self, name: str, job: Job) -> QueuedJob:
        return QueuedJob(
            job=name,
            pool=self._find_pool(job),
            team=job.team,
            declared=job.resources,
            resources=self.corrector.correct(job.queue, job.resources),
            urgent=job.urgent,
            deadline=job.deadline,
            submitted=job.submitted,
            avoid=job.placement.host,
        )

    def _list_host_capacities(self) -> list[HostCapacity]:
        return [
            HostCapacity(
                host=name,
                pool=host.pool,
                resources=host.resources,
                usable=self._is_usable(name, host),
                tasks=tuple(self._list_tasks(name)),
            )
            for name, host in self._reader.folded.hosts.items()
        ]

    def _is_usable(self, name: str, host: Host) -> bool:
        return not (
            host.draining_to
            or self._inventory.is_leaving(name)
            or self.tasks.is_silent(name)
            or not self._health[host.pool].may_use(name)
        )

    def _list_tasks(self, host: str) -> list[PlacedTask]:
        return [
            PlacedTask(
                job=name,
                resources=self.tasks.find_reservation(name, job)
                or self.corrector.correct(job.queue, job.resources),
                urgent=job.urgent,
                repeatable=job.repeatable,
                lease=job.placement.lease,
                stopping=job.state == "cancelling" or self.tasks.is_preempted(name, job),
            )
            for name in self._index.by_host.get(host, ())
            if (job := self._index.find(name))
        ]

    def _update_health(self) -> None:
        by_pool: dict[str, list[str]] = {}
        for name, host in self._reader.folded.hosts.items():
            by_pool.setdefault(host.pool, []).append(name)
        for pool, names in by_pool.items():
            if pool not in self._health:
                self._health[pool] = TargetHealth(TASK_HEALTH, self._clock)
            self._health[pool].set_targets(names)

    def _apply_plan(self, plan: Plan) -> None:
        for name, reason in plan.unplaceable:
            job = self._index.find(name)
            body = records.JobUnplaceable(name, reason)
            self._submit_once(name, job.placement.attempt + 1, body)
        for name in plan.preemptions:
            self.tasks.preempt(name, self._index.find(name))
        for placed in plan.placements:
            self._place(placed)

    def _place(self, placed: PlannedPlacement) -> None:
        """Places one job; an ejected host gets a single job as a probe."""
        name, host = placed.job, placed.host
        health = self._health[self._reader.folded.hosts[host].pool]
        if not health.may_use(host):
            return
        attempt = self._index.find(name).placement.attempt + 1
        body = records.JobPlaced(name, attempt, host, self._claim.fence)
        if self._submit_once(name, attempt, body):
            self.tasks.reserve(name, attempt, placed.resources)
            self._attempts[name, attempt] = health.start(host)

    def _submit_once(self, name: str, attempt: int, body: Any) -> bool:
        """Submits a decision on an attempt unless one is pending; returns whether it did."""
        if (name, attempt) in self._submitted:
            return False
        try:
            future = self._appender.submit(body, Priority.JOB)
        except NotAppended:
            return False
        self._submitted.add((name, attempt))
        future.add_done_callback(lambda done: self._clear_submitted(done, name, attempt))
        return True

    def _clear_submitted(self, done: asyncio.Future, name: str, attempt: int) -> None:
        self._submitted.discard((name, attempt))
        if not done.cancelled():
            done.exception()
        self._index.changed.set()

    def _record_result(self, name: str, job: Job, result: str) -> None:
        """Updates the worker's health and the job's backoff with the result of an attempt."""
        host = self._reader.folded.hosts.get(job.placement.host)
        health = self._health.get(host.pool) if host else None
        attempt = self._attempts.pop((name, job.placement.attempt), None)
        if health is not None and attempt is not None:
            if result == "succeeded":
                health.succeed(attempt)
            elif result == "failed":
                health.fail(attempt)
        if result == "not-started":
            refusals = self._backoff.get(name, (0, timedelta()))[0]
            wait = min(INITIAL_BACKOFF * 2 ** min(refusals, 10), MAX_BACKOFF)
            self._backoff[name] = (refusals + 1, self._clock.elapsed() + wait)
        else:
            self._backoff.pop(name, None)

    def _handle_applied(self, applied: AppliedRecord) -> None:
        """Drops the state of an ended job, whichever member ended it."""
        body = applied.record.body
        if isinstance(body, records.JobFinished):
            self._attempts.pop((body.job, body.attempt), None)
        if isinstance(body, records.JobFinished | records.JobCancelled | records.JobUnplaceable):
            job = self._index.find(body.job)
            if job is None or job.state != "queued":
                self._backoff.pop(body.job, None)

    def _record_usage(self, job: Job, usage: dict[str, Any]) -> None:
        try:
            processors, memory = float(usage["processors"]), float(usage["memory_gib"])
        except (KeyError, TypeError, ValueError):
            logger.debug("ignoring malformed resource usage %r", usage)
            return
        self.corrector.record_usage(job.queue, job.resources, processors=processors, memory=memory)

    def describe(self) -> dict[str, Any]:
        """Returns the state of placement for the dump."""
        return {
            "queued": len(self._index.queued),
            "active": self._index.active_count,
            "undecided_appends": len(self._submitted),
            "refused_lately": len(self._backoff),
            "ejected_hosts": {pool: health.list_ejected() for pool, health in self._health.items()},
            "tasks": self.tasks.describe(),
        }
