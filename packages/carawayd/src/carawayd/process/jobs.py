"""Placement of jobs, decided by the holder of the claim ``jobs``."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service

from carawayd.process.appender import NotAppended, Priority
from carawayd.process.tasks import TaskKeeper
from carawayshore import records
from carawayshore.health import HealthSettings, TargetHealth
from carawayshore.placement import Demand, HostRoom, PlacedTask, Plan, SizeCorrector, plan_jobs

if TYPE_CHECKING:
    from carawayd.platform.worker import WorkerClient
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimKeeper
    from carawayd.process.jobindex import JobIndex
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock
    from carawayshore.fold import Job

logger = logging.getLogger(__name__)

# A plan waits for ten times as long as the last one took, so that it takes a tenth of a core.
PLAN_REST_FACTOR = 10
SHORTEST_REST = timedelta(milliseconds=20)
# A job that a worker refused waits, so that a refusing worker costs few appends.
REFUSAL_BACKOFF = timedelta(seconds=0.5)
LONGEST_BACKOFF = timedelta(seconds=30)
TASK_HEALTH = HealthSettings(
    consecutive_failures=3,
    first_backoff=timedelta(seconds=30),
    max_backoff=timedelta(minutes=10),
    probe_timeout=timedelta(seconds=60),
)


class JobController(Service):
    """Places queued jobs and hands the placed ones to the keeper of tasks.

    Parameters
    ----------
    keeper : ClaimKeeper
        Of the claim ``jobs``.
    reader, appender
        Of the stream of the own data centre.
    index : JobIndex
    membership : Membership
    peers : Peers
    versions : Versions
    worker : WorkerClient
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        keeper: ClaimKeeper,
        reader: StreamReader,
        appender: Appender,
        *,
        index: JobIndex,
        membership: Membership,
        peers: Peers,
        versions: Versions,
        worker: WorkerClient,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.corrector = SizeCorrector()
        self._keeper = keeper
        self._reader = reader
        self._appender = appender
        self._index = index
        self._versions = versions
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._submitted: set[tuple[str, int]] = set()
        self._health: dict[str, TargetHealth] = {}
        self._backoff: dict[str, tuple[int, timedelta]] = {}
        self.tasks = TaskKeeper(
            keeper,
            reader,
            appender,
            index=index,
            membership=membership,
            peers=peers,
            worker=worker,
            note_result=self._note_result,
            note_usage=self._note_usage,
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
            began = self._clock.elapsed()
            if self._keeper.holds() and self._versions.current is not None:
                self._carry_out(self._make_plan())
            taken = self._clock.elapsed() - began
            await self._clock.sleep(max(SHORTEST_REST, taken * PLAN_REST_FACTOR))
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
        demands = [
            self._build_demand(name, job)
            for name in self._index.queued
            if (job := self._index.find(name)) and self._may_place(name, job)
        ]
        if not demands:
            return Plan([], [], [])
        teams = self._versions.current.configuration["teams"]
        quotas = {
            team: options["max_jobs"] - self._index.by_team[team] for team, options in teams.items()
        }
        return plan_jobs(demands, self._list_rooms(), quotas)

    def _may_place(self, name: str, job: Job) -> bool:
        if (name, job.placement.attempt + 1) in self._submitted:
            return False
        waits = self._backoff.get(name)
        return waits is None or self._clock.elapsed() >= waits[1]

    def _find_pool(self, job: Job) -> str:
        queue = self._versions.current.configuration["queues"].get(job.queue)
        return queue["pool"] if queue else ""

    def _build_demand(self, name: str, job: Job) -> Demand:
        return Demand(
            job=name,
            pool=self._find_pool(job),
            team=job.team,
            resources=self.corrector.correct(job.queue, job.resources),
            urgent=job.urgent,
            deadline=job.deadline,
            submitted=job.submitted,
            avoid=job.placement.host,
        )

    def _list_rooms(self) -> list[HostRoom]:
        return [
            HostRoom(
                host=name,
                pool=host.pool,
                resources=host.resources,
                usable=not host.draining_to
                and self._health[host.pool].may_use(name)
                and not self.tasks.is_silent(name),
                tasks=tuple(self._list_tasks(name)),
            )
            for name, host in self._reader.folded.hosts.items()
        ]

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

    def _carry_out(self, plan: Plan) -> None:
        for name, reason in plan.unplaceable:
            job = self._index.find(name)
            body = records.JobUnplaceable(name, reason)
            self._submit_once(name, job.placement.attempt + 1, body)
        for name in plan.preemptions:
            self.tasks.preempt(name, self._index.find(name))
        for name, host in plan.placements:
            self._place(name, host)

    def _place(self, name: str, host: str) -> None:
        job = self._index.find(name)
        attempt = job.placement.attempt + 1
        body = records.JobPlaced(name, attempt, host, self._keeper.fence)
        if self._submit_once(name, attempt, body):
            reserved = self.corrector.correct(job.queue, job.resources)
            self.tasks.reserve(name, attempt, reserved)

    def _submit_once(self, name: str, attempt: int, body: Any) -> bool:
        """Submits a decision about one attempt once; returns whether it was submitted."""
        if (name, attempt) in self._submitted:
            return False
        try:
            future = self._appender.submit(body, Priority.JOB)
        except NotAppended:
            return False
        self._submitted.add((name, attempt))
        future.add_done_callback(lambda done: self._forget(done, name, attempt))
        return True

    def _forget(self, done: asyncio.Future, name: str, attempt: int) -> None:
        self._submitted.discard((name, attempt))
        if not done.cancelled():
            done.exception()
        self._index.changed.set()

    def _note_result(self, name: str, job: Job, result: str) -> None:
        """Takes note of how an attempt ended: the worker's health and the job's next try."""
        host = self._reader.folded.hosts.get(job.placement.host)
        health = self._health.get(host.pool) if host else None
        if health is not None and health.may_use(job.placement.host):
            if result == "succeeded":
                health.succeed(health.start(job.placement.host))
            elif result == "failed":
                health.fail(health.start(job.placement.host))
        if result == "not-started":
            refusals = self._backoff.get(name, (0, timedelta()))[0]
            wait = min(REFUSAL_BACKOFF * 2 ** min(refusals, 10), LONGEST_BACKOFF)
            self._backoff[name] = (refusals + 1, self._clock.elapsed() + wait)
        else:
            self._backoff.pop(name, None)

    def _note_usage(self, job: Job, usage: dict[str, Any]) -> None:
        try:
            processors, memory = float(usage["processors"]), float(usage["memory_gib"])
        except (KeyError, TypeError, ValueError):
            logger.debug("malformed usage %r", usage)
            return
        self.corrector.note(job.queue, job.resources, processors=processors, memory=memory)

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
