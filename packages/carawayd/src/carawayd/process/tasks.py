"""Tasks of placed jobs at their workers: start, lease, result, stop and checkpoint."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service
from returns.result import Success

from carawayd.platform.common import PlatformError, PlatformRefusal, PlatformUnreached
from carawayd.process.appender import NotAppended, Priority
from carawayshore import records
from carawayshore.hashing import choose_candidate

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from carawayd.platform.worker import WorkerClient
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.jobindex import JobIndex
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock
    from carawayshore.fold import Host, Job

logger = logging.getLogger(__name__)

MIN_POLL_INTERVAL = timedelta(milliseconds=100)
# A lease is renewed when less than this fraction of it is left.
RENEWAL_FRACTION = 2 / 3
# Silence of a worker, as a multiple of the lease, after which its leases have certainly expired.
LEASE_EXPIRY_FACTOR = 1.25
# Concurrent calls to one worker, which limits a burst of cancellations.
MAX_CALLS_PER_HOST = 8
RESULTS_BY_STATE = {"succeeded": "succeeded", "failed": "failed", "stopped": "stopped"}


class TaskSupervisor(Service):
    """Supervises the tasks of placed jobs, with one coroutine per host.

    Only the holder of the claim starts and stops tasks. Renewals need no claim, because a lease
    number identifies one attempt: while the log is unreachable, each member renews the tasks of
    the hosts that rendezvous hashing assigns to it.

    Parameters
    ----------
    claim : ClaimRenewer
        Of the claim ``jobs``.
    reader, appender
        Of the stream of the own data centre.
    index : JobIndex
    membership : Membership
    peers : Peers
    worker : WorkerClient
    on_result, on_usage : callable
        Called with the result of an attempt, and with the resource usage of a running task.
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
        worker: WorkerClient,
        on_result: Callable[[str, Job, str], None],
        on_usage: Callable[[Job, dict[str, Any]], None],
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._claim = claim
        self._reader = reader
        self._appender = appender
        self._index = index
        self._membership = membership
        self._peers = peers
        self._worker = worker
        self._on_result = on_result
        self._on_usage = on_usage
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._monitors: dict[str, asyncio.Task[None]] = {}
        self._actions: dict[str, asyncio.Task[None]] = {}
        # By job: the lease of the attempt known to have started, and of the last one that a start
        # was sent for.
        self._started_leases: dict[str, int] = {}
        self._attempted_leases: dict[str, int] = {}
        self._pending_results: set[tuple[str, int]] = set()
        self._preempted_leases: dict[str, int] = {}
        self._reservations: dict[str, tuple[int, records.Resources]] = {}
        self._last_contact: dict[str, timedelta] = {}
        self._call_limits: dict[str, asyncio.Semaphore] = {}
        reader.add_listener(self._handle_applied)

    def reserve(self, name: str, attempt: int, resources: records.Resources) -> None:
        """Records the resources with which an attempt is placed."""
        self._reservations[name] = (attempt, resources)

    def find_reservation(self, name: str, job: Job) -> records.Resources | None:
        attempt, resources = self._reservations.get(name, (0, None))
        return resources if attempt == job.placement.attempt else None

    def preempt(self, name: str, job: Job) -> None:
        """Stops a repeatable job after a checkpoint, to continue on another host or later."""
        self._preempted_leases[name] = job.placement.lease
        self._start_action(name, job)

    def is_preempted(self, name: str, job: Job) -> bool:
        """Returns whether the current attempt is about to be stopped and queued again."""
        if self._preempted_leases.get(name) == job.placement.lease:
            return True
        host = self._reader.folded.hosts.get(job.placement.host)
        return bool(job.repeatable and host and host.draining_to)

    def is_silent(self, host: str) -> bool:
        """Returns whether a host with placed jobs has stopped answering.

        A host is silent after three poll intervals and one probe timeout without an answer.
        """
        last_contact = self._last_contact.get(host)
        limit = 3 * self._settings.options.task_poll + self._settings.options.probe
        return last_contact is not None and self._clock.elapsed() - last_contact > limit

    def _handle_applied(self, applied: Any) -> None:
        """Acts on a placement or cancellation immediately, and drops the state of ended jobs."""
        body = applied.record.body
        if isinstance(body, records.JobFinished) and isinstance(applied.result, Success):
            for table in (
                self._started_leases,
                self._attempted_leases,
                self._preempted_leases,
                self._reservations,
            ):
                table.pop(body.job, None)
        if isinstance(body, records.JobPlaced | records.JobCancelled):
            job = self._index.find(body.job)
            if job is not None and job.state in ("placed", "cancelling") and self._claim.holds():
                self._start_action(body.job, job)

    @Service.task
    async def _supervise(self) -> None:
        while not self.should_stop:
            for host in list(self._index.by_host):
                task = self._monitors.get(host)
                if self._may_supervise(host) and (task is None or task.done()):
                    self._monitors[host] = asyncio.ensure_future(self._monitor_host(host))
            await self._clock.sleep(self._settings.options.controller)

    def _may_supervise(self, host: str) -> bool:
        if self._claim.holds():
            return True
        if self._membership.is_log_reachable() or not self._membership.is_member():
            return False
        live = self._peers.list_live(data_centre=self._settings.data_centre)
        names = [peer.header.member for peer in live] + [self._settings.member]
        return choose_candidate(host, names) == self._settings.member

    async def _monitor_host(self, name: str) -> None:
        """Polls the tasks of one host until it has none, or another member supervises it."""
        self._last_contact[name] = self._clock.elapsed()
        while (jobs := self._index.by_host.get(name)) and self._may_supervise(name):
            host = self._reader.folded.hosts.get(name)
            if host is None:
                self._abandon_jobs(jobs, f"host {name!r} was removed")
                return
            poll_delay = await self._poll_worker(name, host)
            await self._clock.sleep(poll_delay)
        self._last_contact.pop(name, None)
        self._call_limits.pop(name, None)

    async def _poll_worker(self, name: str, host: Host) -> timedelta:
        """Reads a worker's tasks and handles each; returns the time until the next poll."""
        options = self._settings.options
        expected = set(self._index.by_host.get(name, ()))
        try:
            status = await self._worker.read_status(
                host.address, timeout=options.probe.total_seconds()
            )
        except PlatformError as error:
            logger.debug(
                "could not read the tasks of host %s; retrying at the next poll: %s", name, error
            )
            self._expire_silent_jobs(name)
            return options.task_poll / 2
        self._last_contact[name] = self._clock.elapsed()
        tasks_by_job = {task.get("job"): task for task in status.tasks}
        poll_delay = options.task_poll
        for job_name in expected:
            job = self._index.find(job_name)
            if job is None or job.placement.host != name:
                continue
            task = tasks_by_job.get(job_name)
            if task is not None and task.get("lease") == job.placement.lease:
                poll_delay = min(poll_delay, self._handle_task(job_name, job, task))
            else:
                self._start_action(job_name, job)
        return max(poll_delay, MIN_POLL_INTERVAL)

    def _handle_task(self, name: str, job: Job, task: dict[str, Any]) -> timedelta:
        """Handles a worker's status of a current attempt; returns the time until the next poll."""
        options = self._settings.options
        if task.get("state") != "running":
            self._record_result(name, job, task)
            return options.task_poll
        self._started_leases[name] = job.placement.lease
        if task.get("usage") and task.get("share") == 1.0:
            self._on_usage(job, task["usage"])
        lease_left = timedelta(seconds=float(task.get("lease_seconds_left", 0)))
        must_stop = job.state == "cancelling" or self.is_preempted(name, job)
        if must_stop or lease_left < options.lease * RENEWAL_FRACTION or task.get("share") == 0:
            self._start_action(name, job, task)
        remaining_seconds = float(task.get("run_seconds", 0)) - float(task.get("done_seconds", 0))
        return timedelta(seconds=max(0.0, remaining_seconds))

    def _start_action(self, name: str, job: Job, task: dict[str, Any] | None = None) -> None:
        """Starts the next action of a job at its worker, unless one is in progress."""
        if name in self._actions or (name, job.placement.attempt) in self._pending_results:
            return
        host = self._reader.folded.hosts.get(job.placement.host)
        if host is None:
            return
        action = self._choose_action(name, job, task)
        running = asyncio.ensure_future(self._run_action(name, job, host, action(name, job, host)))
        self._actions[name] = running
        running.add_done_callback(lambda _: self._actions.pop(name, None))

    def _choose_action(self, name: str, job: Job, task: dict[str, Any] | None):
        if not self._claim.holds():
            return self._renew
        if job.state == "cancelling":
            return self._stop
        if task is None and self._started_leases.get(name) != job.placement.lease:
            return self._start
        if self.is_preempted(name, job):
            return self._checkpoint_and_stop
        if task is None:
            return self._read_result
        return self._resume if task.get("share") == 0 else self._renew

    async def _run_action(
        self, name: str, job: Job, host: Host, action: Coroutine[Any, Any, None]
    ) -> None:
        limit = self._call_limits.setdefault(
            job.placement.host, asyncio.Semaphore(MAX_CALLS_PER_HOST)
        )
        try:
            async with limit:
                await action
        except PlatformError as error:
            logger.debug(
                "action on job %s at host %s failed; retrying at the next poll: %s",
                name,
                job.placement.host,
                error,
            )

    def _is_current(self, name: str, job: Job) -> bool:
        """Returns whether this attempt is still active and this process holds the claim."""
        current = self._index.find(name)
        same = current is not None and current.placement.lease == job.placement.lease
        return same and current.state in ("placed", "cancelling") and self._claim.holds()

    async def _start(self, name: str, job: Job, host: Host) -> None:
        """Starts an attempt; the call may be repeated, as a worker starts each lease only once."""
        if not self._is_current(name, job):
            return
        resources = self.find_reservation(name, job) or job.resources
        body = {
            "attempt": job.placement.attempt,
            "lease": job.placement.lease,
            "lease_seconds": self._settings.options.lease.total_seconds(),
            "service": job.service,
            "resources": resources._asdict(),
            "run_seconds": job.declared_seconds,
            "payload": job.payload,
            "checkpoint": job.checkpoint,
        }
        lease = job.placement.lease
        is_first_start_call = (
            self._attempted_leases.get(name) != lease and job.placement.fence == self._claim.fence
        )
        self._attempted_leases[name] = lease
        try:
            task = await self._worker.start_task(
                host.address, name, body, host.pool, lambda: self._is_current(name, job)
            )
        except PlatformUnreached as error:
            # Only after the first start call is it certain that the worker has not started the
            # attempt. A later holder of the claim may have started it.
            if is_first_start_call and self._is_current(name, job):
                self._append_result(name, job, "not-started", str(error))
            return
        except PlatformRefusal:
            # An earlier call with the same lease may still be in flight, so the lease is stopped.
            await self._stop(name, job, host)
            return
        self._started_leases[name] = job.placement.lease
        if isinstance(task, dict) and task.get("state") != "running":
            self._record_result(name, job, task)

    async def _stop(self, name: str, job: Job, host: Host) -> None:
        """Stops an attempt; one that has not started will not be started under this lease."""
        if not self._is_current(name, job):
            return
        body = {"lease": job.placement.lease}
        try:
            task = await self._worker.change_task(host.address, name, "stop", body)
        except PlatformRefusal as error:
            logger.debug("worker refused to stop job %s: %s", name, error)
            return
        self._record_result(name, job, task)

    async def _checkpoint_and_stop(self, name: str, job: Job, host: Host) -> None:
        """Pauses a task, takes a checkpoint and stops it.

        The pause avoids work after the checkpoint, which would have to be repeated.
        """
        lease_body = {"lease": job.placement.lease}
        for operation, body in (
            ("throttle", lease_body | {"share": 0}),
            ("checkpoint", lease_body),
        ):
            if not self._is_current(name, job):
                return
            try:
                await self._worker.change_task(host.address, name, operation, body)
            except PlatformRefusal as error:
                logger.debug("job %s: worker refused %s: %s", name, operation, error)
        await self._stop(name, job, host)

    async def _resume(self, name: str, job: Job, host: Host) -> None:
        """Resumes a task that was paused for a preemption that was not completed."""
        if self._is_current(name, job):
            body = {"lease": job.placement.lease, "share": 1}
            await self._worker.change_task(host.address, name, "throttle", body)

    async def _renew(self, name: str, job: Job, host: Host) -> None:
        body = {"lease": job.placement.lease}
        await self._worker.change_task(host.address, name, "renew", body)

    async def _read_result(self, name: str, job: Job, host: Host) -> None:
        """Reads the result of a task that the worker has run and no longer lists."""
        try:
            task = await self._worker.read_task(host.address, name)
        except PlatformRefusal as error:
            if error.status == 404:
                detail = "the worker has no record of a task that it ran"
                self._append_result(name, job, "unknown", detail)
            return
        if isinstance(task, dict) and task.get("lease") == job.placement.lease:
            self._record_result(name, job, task)

    def _record_result(self, name: str, job: Job, task: dict[str, Any]) -> None:
        """Records the result of an attempt, as reported by its worker."""
        state = str(task.get("state"))
        if state == "running":
            return
        result = state if state == "not-started" else RESULTS_BY_STATE.get(state, "unknown")
        checkpoint = task.get("checkpoint") if job.repeatable and result != "succeeded" else None
        self._append_result(name, job, result, f"the worker says: {state}", checkpoint)

    def _append_result(
        self,
        name: str,
        job: Job,
        result: str,
        detail: str,
        checkpoint: dict[str, Any] | None = None,
    ) -> None:
        attempt = (name, job.placement.attempt)
        if attempt in self._pending_results:
            return
        body = records.JobFinished(name, job.placement.attempt, result, detail, checkpoint)
        try:
            future = self._appender.submit(body, Priority.JOB)
        except NotAppended:
            return
        self._pending_results.add(attempt)
        future.add_done_callback(lambda done: self._clear_pending(done, attempt))
        self._on_result(name, job, result)

    def _clear_pending(self, done: asyncio.Future, attempt: tuple[str, int]) -> None:
        self._pending_results.discard(attempt)
        if not done.cancelled():
            done.exception()

    def _expire_silent_jobs(self, name: str) -> None:
        """Abandons the repeatable jobs of a silent worker once their leases have expired."""
        silence = self._clock.elapsed() - self._last_contact[name]
        if silence < self._settings.options.lease * LEASE_EXPIRY_FACTOR or not self._claim.holds():
            return
        jobs = [
            job_name
            for job_name in self._index.by_host.get(name, ())
            if (job := self._index.find(job_name)) and job.repeatable
        ]
        self._abandon_jobs(jobs, f"worker {name!r} is silent for {silence.total_seconds():.0f} s")

    def _abandon_jobs(self, jobs: Any, detail: str) -> None:
        for name in list(jobs):
            job = self._index.find(name)
            if job is not None and job.state in ("placed", "cancelling") and self._claim.holds():
                self._append_result(name, job, "unknown", detail)

    async def on_stop(self) -> None:
        for task in (*self._monitors.values(), *self._actions.values()):
            task.cancel()

    def describe(self) -> dict[str, Any]:
        """Returns the state of the tasks for the dump."""
        return {
            "watched_hosts": sum(not task.done() for task in self._monitors.values()),
            "silent_hosts": sorted(host for host in self._last_contact if self.is_silent(host)),
            "actions": len(self._actions),
            "results_pending": len(self._pending_results),
            "preempted": len(self._preempted_leases),
        }
