"""Successive owners of one partition and a model of its workers, in virtual time.

The workers start whatever they are told: they check the fencing token, the number of the run and
the expiry of an order, as the platform's pages promise, and nothing else. The world records each
start that breaks a promise. Times are those of the event loop, in seconds.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import Counter, defaultdict
from datetime import UTC, datetime, timedelta
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from owner_builders import build_settings
from restart_watch import RestartWatch
from short_watch import IDLE_LIMIT_S, ShortWatch
from workflow_builders import build_entry, build_workflow

from carawayd.partition.owner import ACCEPTED, PartitionOwner
from carawayd.platform.advice import Advice
from carawayd.platform.common import (
    PermissionEnded,
    PlatformError,
    PlatformRefusal,
    PlatformTimedOut,
    PlatformUnreached,
)
from carawayd.platform.runs import (
    EndedRun,
    OrderRefused,
    OtherIncarnation,
    RunningTask,
    WorkerReport,
)
from carawayd.platform.store import Fenced, KeyedRecord, LatestRecords, _decode_records
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.workflows.model import AdviceConfig, StepSpec, TaskName
from carawayshore.workflows.state import FAILED

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = "booking"
CALL_TIMEOUT_S = 1.0
# Delay of a call over a slow link, shorter than the timeout.
SLOW_CALL_S = 0.7
LEASE_CHECK_S = 0.02
# Delay after which a restarted worker's entry tells its new size.
ENTRY_DELAY_S = 1.0
# Interval at which a worker writes its entry.
BEAT_S = 1.5
# A room that has shrunk counts from this time later: ``contactMs`` and one beat.
SHRINK_GRACE_S = 3.0 + BEAT_S
# Age from which the entry of a worker is not used for placement.
CAPACITY_AGE_S = 3.0
# Time from the end of a process to the start of the next one.
DOWNTIME_S = 1.3
LONGEST_LEASE_MS = 6_000
CONTACT_S = 0.25
# Time for which a former owner goes on before it learns that it is one.
FORMER_OWNER_S = 0.8
# Time from the end of an owner's process to the start of the next owner.
TAKEOVER_S = 1.7
WORKER_CORES = 12
WORKER_MEMORY_MB = 64_000
# Part of a run, in percent, after which a checkpointing task reports the next checkpoint.
CHECKPOINT_PERCENT = 20
# Maximum number of ends in one report.
ENDS_PER_REPORT = 500
# Time from a crash to the start of the next process, and to the removal of the crashed one's entry.
CRASH_DOWNTIME_S = 3.0
ENTRY_LIFETIME_S = 4.5
# A task under which ``CRASHES_KNOWN`` workers have crashed may be started a few times more.
CRASHES_KNOWN = 3
MAX_FURTHER_STARTS = 2
# A job may be given up once a task of it has lost this many workers.
LOSSES_ALLOWED = 2
CANCEL_ATTEMPTS = 100
# Time until a cancelled job starts no more tasks, as bounded in docs/platform.md.
CANCELLATION_DELAY_S = 3.0
CANCEL_INTERVAL_S = 0.005
# Time from the moment at which a worker begins to drain to the end of its process, and from there
# to the removal of its entry.
DRAIN_S = 2.0
UNLISTED_AFTER_S = 0.5
# Terms of the placement policy service for a job whose submission named none.
ADVICE = AdviceConfig(300, 0, 60_000)
# Calls of one host that wait at that service, beyond which it rejects further ones.
MAX_WAITING_ADVICE = 32


class Run(NamedTuple):
    """Run on a worker, which succeeds at ``ends_at``.

    It began with ``resumed_percent`` of its work done, by the checkpoint of an earlier run.
    """

    run: int
    cores: int
    started_at: float
    ends_at: float
    memory_mb: int = 0
    resumed_percent: int = 0

    def measure_percent(self, now: float) -> int:
        part = (now - self.started_at) / (self.ends_at - self.started_at)
        return int(self.resumed_percent + (100 - self.resumed_percent) * part)


class ModelWorker:
    """Worker that accepts every order that is neither late, fenced nor superseded."""

    def __init__(self, world: World, name: str, labels: tuple[str, ...] = ("a", "r1-1")) -> None:
        self.world = world
        self.name = name
        self.labels = labels
        self.state = "ready"
        self._leaves_at = 0.0
        self.cores = WORKER_CORES
        self.gone = False
        self.ended_at = -math.inf
        # Whether another worker has its address.
        self.replaced = False
        self.born = 1
        self.entry = self._describe()
        self.written_at = world.now()
        # Earlier sizes, with the time until which each of them counts.
        self._former_cores: list[tuple[int, float]] = []
        self._reset()

    def _reset(self) -> None:
        self.fence, self.lease_ms = 0, 0
        self.origin = self.world.now()
        self.runs: dict[TaskName, Run] = {}
        self.ended: list[EndedRun] = []
        self.numbers = itertools.count(1)
        self.highest_ended: dict[TaskName, int] = {}
        # Time at which the last run of each task succeeded, and at which the lease last lapsed.
        self.done_at: dict[TaskName, float] = {}
        self.lapsed_at = -math.inf

    def _describe(self):
        return build_entry(
            self.name,
            millicores=self.cores * 1000,
            memory_mb=WORKER_MEMORY_MB,
            born=self.born,
            labels=self.labels,
            state=self.state,
            drain_seconds=self._leaves_at - self.world.now() if self.state == "draining" else 0.0,
        )

    @property
    def clock_ms(self) -> int:
        # The slowest rate that the pages allow.
        return int((self.world.now() - self.origin) * 980)

    def resize(self, cores: int) -> None:
        """Changes the capacity of the running process, which its next entry tells."""
        self._former_cores.append((self.cores, self.world.now() + SHRINK_GRACE_S))
        self.cores = cores

    def measure_limit(self) -> int:
        """Returns the cores that starts may fill now."""
        now = self.world.now()
        return max([self.cores, *(cores for cores, until in self._former_cores if now < until)])

    def write_entry(self) -> None:
        """Writes the entry, unless the process or its path to the store is gone."""
        if not self.gone and self.name not in self.world.unheard:
            self.entry = self._describe()
            self.written_at = self.world.now()

    def leave(self) -> None:
        """Ends the process, and with it all that it runs."""
        self.world.losses.update(self.runs.keys())
        self.world.lost_at.update(dict.fromkeys(self.runs, self.world.now()))
        self.world.note_disturbance()
        self.gone = True
        self.ended_at = self.world.now()
        self._former_cores.clear()
        self.born += 1
        self._reset()

    def drain(self) -> None:
        """Stops all runs in order and leaves, as on a planned shutdown or a move to a pool."""
        self.state, self._leaves_at = "draining", self.world.now() + DRAIN_S
        self.write_entry()
        loop = asyncio.get_running_loop()
        for task, run in [] if self.world.draining_go_on else self.runs.items():
            loop.call_later(self.world.stop_seconds, self._finish_stop, task, run.run, self.born)
        loop.call_later(DRAIN_S, self._finish_drain, self.born)

    def _finish_drain(self, born: int) -> None:
        if self.born == born:
            self.leave()
            loop = asyncio.get_running_loop()
            loop.call_later(UNLISTED_AFTER_S, self.world.unlisted.add, self.name)

    def restart(self, cores: int) -> None:
        """Ends the process and starts a new incarnation of another size."""
        self.leave()
        asyncio.get_running_loop().call_later(DOWNTIME_S, self._start_again, cores, self.born)

    def crash(self) -> None:
        """Ends the process; it starts again under its identifier or under another one."""
        self.leave()
        loop = asyncio.get_running_loop()
        if self.world.crashed_return_as_new:
            loop.call_later(self.world.crash_downtime_s, self._be_replaced, self.born)
            loop.call_later(ENTRY_LIFETIME_S, self.world.unlisted.add, self.name)
        else:
            loop.call_later(self.world.crash_downtime_s, self._start_again, self.cores, self.born)

    def _be_replaced(self, born: int) -> None:
        if self.born == born:
            self.replaced = True
            self.world.add_worker(f"{self.name}+{self.born}")

    def _crash_under(self, task: TaskName, run: int, born: int) -> None:
        if self.born == born and task in self.runs and self.runs[task].run == run:
            self.world.crashes[task] += 1
            self.world.has_crashed.set()
            self.world.lost_runs += len(self.runs) - 1
            self.crash()

    def _start_again(self, cores: int, born: int) -> None:
        if self.born == born:
            self.cores, self.gone = cores, False
            self._reset()
            loop = asyncio.get_running_loop()
            loop.call_later(self.world.entry_delay_s, self._update_entry, born)

    def _update_entry(self, born: int) -> None:
        if self.born == born:
            self.write_entry()

    def end(self, task: TaskName, kind: str) -> None:
        run = self.runs.get(task)
        if run is not None:
            checkpoint = self._write_checkpoint(task, run)
            del self.runs[task]
            self.highest_ended[task] = max(run.run, self.highest_ended.get(task, 0))
            if kind == "done":
                self.done_at[task] = self.world.now()
                self.world.done.add(task)
                checkpoint = ""
            self.ended.append(EndedRun(next(self.numbers), task, run.run, kind, checkpoint))

    def advance(self) -> None:
        """Ends the runs that have succeeded, and all once the lease has expired."""
        for task, run in list(self.runs.items()):
            if self.world.now() >= run.ends_at:
                has_failed = self.name in self.world.failing
                self.world.failures[task] += has_failed
                self.end(task, "failed" if has_failed else "done")
        if self.clock_ms > self.lease_ms:
            self.lapsed_at = self.world.now()
            for task in list(self.runs):
                self.end(task, "lapsed")

    def _check_fence(self, fence: int) -> None:
        if fence < self.fence:
            raise OrderRefused("fenced")
        self.fence = fence

    def start(
        self,
        task: TaskName,
        run: int,
        expires_ms: int,
        fence: int,
        ticket: str = "",
        checkpoint: str = "",
    ) -> int:
        self._check_fence(fence)
        if expires_ms < self.clock_ms:
            raise OrderRefused("expired")
        self.lease_ms = max(self.lease_ms, min(expires_ms, self.clock_ms + LONGEST_LEASE_MS))
        if run <= self.highest_ended.get(task, 0):
            raise OrderRefused("superseded")
        if task in self.runs and self.runs[task].run == run:
            return self.clock_ms
        self.world.sent_starts[self.name, task] += 1
        if self.name in self.world.refusals:
            raise OrderRefused(self.world.refusals[self.name])
        if self.state != "ready":
            raise OrderRefused("draining")
        if not self.world.accepts_ticket(self, task, ticket):
            self.world.refused_tickets += 1
            raise OrderRefused("unadvised")
        self.world.check_start(self, task, run)
        cores = self.world.jobs[task.workflow][0]
        seconds = self.world.choose_run_seconds(self, task)
        now = self.world.now()
        percent = int(checkpoint or 0)
        seconds *= (100 - percent) / 100
        memory_mb = self.world.find_step(task).memory_mb
        self.runs[task] = Run(run, cores, now, now + seconds, memory_mb, percent)
        delay = self.world.crash_delays.get(task.workflow)
        if delay is not None and task.index == 0:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._crash_under, task, run, self.born)
        return self.clock_ms

    def stop(self, task: TaskName, run: int, fence: int) -> int:
        self._check_fence(fence)
        if task in self.runs and self.runs[task].run == run:
            loop = asyncio.get_running_loop()
            loop.call_later(self.world.stop_seconds, self._finish_stop, task, run, self.born)
        else:
            self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        return self.clock_ms

    def _finish_stop(self, task: TaskName, run: int, born: int) -> None:
        if self.born == born and task in self.runs and self.runs[task].run == run:
            self.end(task, "stopped")

    def renew(self, fence: int, acknowledged: int, expires_ms: int | None) -> None:
        self._check_fence(fence)
        if expires_ms is not None:
            self.lease_ms = max(self.lease_ms, min(expires_ms, self.clock_ms + LONGEST_LEASE_MS))
        for end in self.ended:
            if end.number <= acknowledged and end.kind == "done":
                self.world.acknowledged.add(end.task)
                self.world.acknowledged_at.setdefault(end.task, self.world.now())
                self.world.check_acknowledged(self, end.task)
        self.ended = [end for end in self.ended if end.number > acknowledged]

    def _measure_percent(self, task: TaskName, run: Run) -> int:
        """Returns the progress of a run; a long-running one reports 100 while it is at work."""
        if self.world.steps[task.workflow].long_running:
            return 100
        return run.measure_percent(self.world.now())

    def _write_checkpoint(self, task: TaskName, run: Run) -> str:
        """Returns the last checkpoint of a run, empty if its task writes none."""
        if task.workflow not in self.world.chains:
            return ""
        step = self.world.find_step(task)
        if not step.checkpointing or step.long_running:
            return ""
        percent = run.measure_percent(self.world.now())
        percent = min(percent, 99) // CHECKPOINT_PERCENT * CHECKPOINT_PERCENT
        return str(percent) if percent else ""

    def report(self) -> WorkerReport:
        running = [
            RunningTask(
                task,
                run.run,
                self._write_checkpoint(task, run),
                self._measure_percent(task, run),
                0.0,
            )
            for task, run in self.runs.items()
        ]
        return WorkerReport(self.clock_ms, self.born, running, self.ended[:ENDS_PER_REPORT])


class ModelRuns:
    """Client of the workers over links that the world disturbs.

    Parameters
    ----------
    world : World
    cut : set of str
        Workers that this client does not reach, while others do.
    """

    def __init__(self, world: World, cut: set[str]) -> None:
        self._world = world
        self._cut = cut

    async def _call(self, worker: str, may_send, carry_out) -> Any:
        await asyncio.sleep(0.002)
        if not may_send():
            raise PermissionEnded("the permission to send ended")
        model, link = self._world.workers[worker], self._world.links.get(worker, "")
        if model.replaced:
            raise OtherIncarnation(worker)
        if model.gone or link == "refused":
            raise PlatformUnreached(worker)
        if link == "cut" or worker in self._cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformTimedOut("no response")
        if link == "slow":
            await asyncio.sleep(SLOW_CALL_S)
            if model.gone:
                raise PlatformError("disconnected")
        if link == "late":
            self._world.carry_out_late(model, carry_out)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformTimedOut("no response")
        born = model.born
        result = carry_out(model)
        if link == "lost":
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformTimedOut("no response")
        await asyncio.sleep(0.002)
        if model.born != born:
            raise PlatformError("disconnected")
        return result

    async def start(
        self,
        _address,
        worker,
        task,
        run,
        *,
        expires_ms,
        fence,
        may_send,
        ticket="",
        checkpoint="",
        **_,
    ):
        carries_out = self._world.undecodable.get(worker)
        if carries_out is False:
            raise RecursionError("the answer to a start order is nested too deeply")

        def carry_out(model: ModelWorker) -> int:
            return model.start(task, run, expires_ms, fence, ticket, checkpoint)

        if worker in self._world.late_starts:
            await self._send_late(worker, may_send, carry_out)
        clock_ms = await self._call(worker, may_send, carry_out)
        if carries_out:
            raise RecursionError("the answer to a start order is nested too deeply")
        return clock_ms

    async def _send_late(self, worker: str, may_send, carry_out) -> None:
        """Delays an order on its way, so that it reaches whatever start of the worker is up."""
        await asyncio.sleep(0.002)
        if not may_send():
            raise PermissionEnded("the permission to send ended")
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._world.late_starts[worker], self._world.carry_out_anywhere, worker, carry_out
        )
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise PlatformTimedOut("no response")

    async def stop(self, _address, worker, task, run, *, fence, may_send):
        clock_ms = await self._call(worker, may_send, lambda model: model.stop(task, run, fence))
        if worker in self._world.undecodable_stops:
            self._world.note_disturbance()
            raise RecursionError("the answer to a stop order is nested too deeply")
        if self._world.lost_stop_answers[worker]:
            self._world.lost_stop_answers[worker] -= 1
            self._world.note_disturbance()
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformTimedOut("no response")
        return clock_ms

    async def throttle(self, _address, worker, task, run, *, percent, fence, may_send):
        await self._call(worker, may_send, lambda model: model._check_fence(fence))

    async def renew(self, _address, worker, *, fence, acknowledged, expires_ms, wait, may_send):
        def carry_out(model: ModelWorker) -> WorkerReport:
            model.renew(fence, acknowledged, expires_ms)
            return model.report()

        report = await self._call(worker, may_send, carry_out)
        model, until = self._world.workers[worker], self._world.now() + wait
        while not report.ended and self._world.now() < until and model.born == report.born:
            await asyncio.sleep(LEASE_CHECK_S)
            if model.born == report.born:
                report = model.report()
        if model.born != report.born:
            raise PlatformError("disconnected")
        return report


class ModelStore:
    """One partition, which rejects appends under an earlier epoch."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.epoch = 0
        self.end = 0
        self.append_seconds = 0.0
        # Limit of a record in bytes, None for none; keys whose records are refused; and the number
        # and size of the records that were written.
        self.record_bytes: int | None = None
        self.refused_keys: set[str] = set()
        # Whether the first answer to each append is lost, after it was carried out.
        self.loses_answers = False
        # Epoch and sequence of the last append that was carried out, and of the last lost answer.
        self._last_append = self._lost_answer = (0, 0)
        self.refusals = 0
        self.written_records = self.written_bytes = 0

    async def append(self, topic, partition, data, *, producer, epoch, sequence) -> int:
        await asyncio.sleep(0.004 + self.append_seconds)
        if epoch < self.epoch:
            raise Fenced("a later epoch has written")
        records = _decode_records(data)[0]
        if records and (epoch, sequence) == self._last_append:
            records = []
        self._check_records(records)
        self.epoch = epoch
        if records:
            self._last_append = (epoch, sequence)
        for record in records:
            # The records are read in the order in which they were written.
            self.records.pop(record.key, None)
            self.records[record.key] = record.value
            self.end += 1
        if self.loses_answers and self._lost_answer != (epoch, sequence):
            self._lost_answer = (epoch, sequence)
            raise PlatformTimedOut("no response")
        return self.end

    def _check_records(self, records: list[KeyedRecord]) -> None:
        """Refuses the records of one append as a whole if the store cannot take one of them."""
        sizes = [1 + len(record.key.encode()) + len(record.value) for record in records]
        limit = self.record_bytes
        is_large = limit is not None and any(size > limit for size in sizes)
        if is_large or any(record.key in self.refused_keys for record in records):
            self.refusals += 1
            raise PlatformRefusal(400, {"reason": "size"})
        self.written_records += len(records)
        self.written_bytes += sum(sizes)

    async def read_latest(self, topic, partition) -> LatestRecords:
        await asyncio.sleep(0.01)
        records = [KeyedRecord(key, value) for key, value in self.records.items() if value]
        return LatestRecords(records, self.end)


class Ticket(NamedTuple):
    """Ticket for one step on one incarnation of a worker; times in seconds."""

    text: str
    born: int
    valid_until: float


class ModelAdvice:
    """Placement policy service as one host sees it: it handles one call of the host at a time.

    It allows the workers that the world does not deny, with tickets that are valid for a while from
    its answer on, or from the call on if ``World.tickets_count_from_call`` is set.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._lock = asyncio.Lock()
        self._waiting = 0

    async def advise(self, workflow, occurrence, step, workers, *, timeout) -> Advice:
        world = self._world
        world.advice_calls.append(len(workers))
        if world.advice_is_down:
            raise PlatformUnreached("advice")
        if self._waiting >= MAX_WAITING_ADVICE:
            raise PlatformRefusal(429, {})
        terms = world.advice_terms.get(workflow, ADVICE)
        self._waiting += 1
        try:
            async with self._lock:
                called_at = world.now()
                await asyncio.sleep((terms.decision_ms + terms.per_worker_ms * len(workers)) / 1000)
        finally:
            self._waiting -= 1
        since = called_at if world.tickets_count_from_call else world.now()
        allowed = {}
        for name in workers:
            if name not in world.denied:
                text = allowed[name] = f"{name}-{len(world.advice_calls)}"
                ticket = Ticket(text, world.workers[name].born, since + terms.valid_ms / 1000)
                world.tickets[workflow, occurrence, step, name].append(ticket)
        return Advice(allowed, terms.valid_ms / 1000)


class OwnerClock:
    """Clock of one owner's host: another starting point, and a time of day that jumps."""

    def __init__(self, world: World, offset: float) -> None:
        self._world = world
        self._offset = offset
        self.jump_seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self._world.now() + self._offset)

    def now(self) -> datetime:
        return datetime.fromtimestamp(1.7e9 + self._world.now() + self.jump_seconds, UTC)

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())


class ModelOwner:
    """An owner and the permission of its process."""

    def __init__(self, world: World, epoch: int) -> None:
        self.clock = OwnerClock(world, epoch * 1_000.0)
        self.contact_at = world.now()
        self.cut: set[str] = set()
        self._world = world
        self.owner = PartitionOwner(
            0,
            epoch,
            store=world.store,
            runs=ModelRuns(world, self.cut),
            discovery=world,
            settings=build_settings()._replace(
                longest_lease_ms=LONGEST_LEASE_MS, **world.settings_changes
            ),
            clock=self.clock,
            time_of_day=SteadyTimeOfDay(self.clock),
            random=Random(epoch),
            may_renew=lambda: world.now() - self.contact_at < 5.0,
            metrics=WorkflowMetrics(),
            advice=ModelAdvice(world),
        )


class World:
    """Workers, links, store and owners; ``violations`` lists the broken promises."""

    def __init__(self, worker_count: int, stop_seconds: float, **settings_changes: Any) -> None:
        self.settings_changes = settings_changes
        self.violations: list[str] = []
        # Cores and duration of the tasks of each workflow.
        self.jobs: dict[str, tuple[int, float]] = {}
        self.steps: dict[str, StepSpec] = {}
        # All steps of each workflow, and the durations of those that have their own.
        self.chains: dict[str, tuple[StepSpec, ...]] = {}
        self.step_seconds: dict[tuple[str, int], float] = {}
        # Whether the watches count room in memory as well.
        self.counts_memory = False
        self.accepted: list[str] = []
        self.cancelled: set[str] = set()
        # Time at which the cancellation of each workflow was acknowledged.
        self.cancelled_at: dict[str, float] = {}
        # Tasks that have succeeded on a worker, and those whose success was acknowledged to it.
        self.done: set[TaskName] = set()
        self.acknowledged: set[TaskName] = set()
        # Time at which the first successful end of each task was acknowledged.
        self.acknowledged_at: dict[TaskName, float] = {}
        # Time from the start of the first task of a workflow to the crash of its worker.
        self.crash_delays: dict[str, float] = {}
        # Whether workers that drain go on with their runs until they leave.
        self.draining_go_on = False
        self.crashed_return_as_new = True
        self.crash_downtime_s = CRASH_DOWNTIME_S
        self.entry_delay_s = ENTRY_DELAY_S
        self.crashes: Counter[TaskName] = Counter()
        # Number of workers that ended, for whatever cause, while they ran a task.
        self.losses: Counter[TaskName] = Counter()
        # Time at which each of these tasks last lost its worker.
        self.lost_at: dict[TaskName, float] = {}
        # Tasks that an owner was seen to suspect of a crash.
        self.suspected: set[TaskName] = set()
        self.has_crashed = asyncio.Event()
        # Runs of other tasks that were lost in these crashes.
        self.lost_runs = 0
        self._starts_after_crashes: Counter[TaskName] = Counter()
        self._last_start_at: dict[TaskName, float] = {}
        self.stop_seconds = stop_seconds
        self.late_seconds = 2.0
        self.store = ModelStore()
        self.workers: dict[str, ModelWorker] = {}
        for number in range(worker_count):
            self.add_worker(f"w{number}")
        self.links = dict.fromkeys(self.workers, "")
        self.unlisted: set[str] = set()
        # Workers that do not reach the store.
        self.unheard: set[str] = set()
        self.cordoned: set[str] = set()
        # Reasons with which workers refuse every start.
        self.refusals: dict[str, str] = {}
        # Workers on which every run fails, the number of failures of each task, and that after
        # which a job is given up.
        self.failing: set[str] = set()
        self.failures: Counter[TaskName] = Counter()
        self.max_failures: dict[str, int] = {}
        # Workers whose answers to starts cause an unexpected error; whether they carry them out.
        self.undecodable: dict[str, bool] = {}
        # Number of starts of each task that reached each worker and were not already running there.
        self.sent_starts: Counter[tuple[str, TaskName]] = Counter()
        # Delay of start orders to each worker, and number of its answers to stops that are lost.
        self.late_starts: dict[str, float] = {}
        self.lost_stop_answers: Counter[str] = Counter()
        # Workers whose answers to stops cause an unexpected error.
        self.undecodable_stops: set[str] = set()
        # Time from the start of a worker from which delayed orders reach it.
        self.late_orders_need_age_s = 0.0
        # Number of delayed orders that a worker has carried out.
        self.late_arrivals = 0
        # Workers for which the placement policy service gives no ticket, and its terms by workflow.
        self.denied: set[str] = set()
        self.advice_terms: dict[str, AdviceConfig] = {}
        self.advice_is_down = False
        self.tickets_count_from_call = False
        # Number of workers that each call to the service named.
        self.advice_calls: list[int] = []
        self.tickets: defaultdict[tuple, list[Ticket]] = defaultdict(list)
        self.refused_tickets = 0
        # Time of the last disturbance that is over.
        self.disturbed_at = self.now()
        self.restarts = RestartWatch(self)
        self.short = ShortWatch(self)
        self.owners: list[ModelOwner] = []
        # Whether the next owner is about to start.
        self._is_changing_owner = False
        self.epoch = 0
        self._tickers = [
            asyncio.ensure_future(self._advance()),
            asyncio.ensure_future(self._write_entries()),
            asyncio.ensure_future(self._join()),
            asyncio.ensure_future(self.restarts.watch()),
            asyncio.ensure_future(self.short.watch()),
        ]

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def note_disturbance(self) -> None:
        """Notes that a process has ended or that the partition has changed its owner."""
        self.disturbed_at = self.now()

    # -- discovery -------------------------------------------------------------------------------

    def list_services(self, partition: int) -> set[str]:
        return {SERVICE}

    def list_workers(self, services: set[str]) -> dict[str, Any]:
        return {
            name: worker.entry for name, worker in self.workers.items() if name not in self.unlisted
        }

    # -- owners ----------------------------------------------------------------------------------

    @property
    def current(self) -> ModelOwner:
        return self.owners[-1]

    async def wait_for_crashes(self, count: int) -> None:
        """Waits until tasks have crashed this many workers in all."""
        while sum(self.crashes.values()) < count:
            self.has_crashed.clear()
            await self.has_crashed.wait()

    def _begin_epoch(self) -> int:
        self.epoch += 1
        return self.epoch

    async def bounce(self, seconds: float) -> None:
        """Gives the partition to another owner for a while, and back to the present one.

        The present one learns of both changes at once, as after a freeze of its process.
        """
        self._is_changing_owner = True
        former = self.current
        await self.take_over(stop_former=False)
        self.note_disturbance()
        await asyncio.sleep(seconds)
        between = self.current.owner
        asyncio.get_running_loop().call_later(
            FORMER_OWNER_S, lambda: asyncio.ensure_future(between.stop())
        )
        self.note_disturbance()
        if former.owner.loaded and await former.owner.raise_epoch(self._begin_epoch()):
            self.owners.append(former)
            self._is_changing_owner = False
            return
        asyncio.ensure_future(former.owner.stop())
        await self._start_owner()

    async def _start_owner(self) -> None:
        self.note_disturbance()
        self._is_changing_owner = False
        self.owners.append(ModelOwner(self, self._begin_epoch()))
        await self.current.owner.maybe_start()

    async def hand_over(self) -> None:
        """Ends the current owner's process in order, and starts the next owner at once."""
        self._is_changing_owner = True
        former = self.current.owner
        await former.hand_over()
        await former.stop()
        await self._start_owner()

    async def kill_owner(self) -> None:
        """Ends the current owner's process without a handover; the next owner follows later."""
        self.note_disturbance()
        self._is_changing_owner = True
        killed = self.current.owner
        killed.lost = killed.ledger.lost = True
        await killed.stop()
        await asyncio.sleep(TAKEOVER_S)
        await self._start_owner()

    async def take_over(self, *, stop_former: bool = True) -> None:
        """Starts the next owner; the earlier one goes on for a moment without knowing."""
        if self.owners and stop_former:
            loop = asyncio.get_running_loop()
            former = self.current.owner
            loop.call_later(FORMER_OWNER_S, lambda: asyncio.ensure_future(former.stop()))
        await self._start_owner()

    async def _join(self) -> None:
        """Renews the current owner's membership, and replaces an owner that has given up."""
        while True:
            await asyncio.sleep(CONTACT_S)
            if self.owners and self.current.owner.lost and not self._is_changing_owner:
                asyncio.ensure_future(self.current.owner.stop())
                await self._start_owner()
            if self.owners and not self.links.get("store"):
                self.current.contact_at = self.now()

    async def submit(
        self,
        cores: int,
        tasks: int,
        seconds: float,
        *,
        crash_delay: float | None = None,
        advice: AdviceConfig | None = None,
        chain: int = 1,
        widths: Sequence[int] = (),
        max_failures: int = 2,
        **step,
    ) -> str:
        """Submits a job; with ``crash_delay``, its first task crashes its workers.

        It has ``chain`` steps, all of them alike, of which each one waits for the one before it.
        With ``widths``, it has a step with each of these numbers of tasks instead.
        """
        identifier = f"{len(self.jobs):016x}"
        tasks = max(widths, default=tasks)
        step = StepSpec(count=tasks, millicores=cores * 1000, memory_mb=1, estimate_ms=500, **step)
        self.steps[identifier] = step
        self.jobs[identifier] = (0 if step.best_effort else cores, seconds)
        if crash_delay is not None:
            self.crash_delays[identifier] = crash_delay
        if advice is not None:
            self.advice_terms[identifier] = advice
        self.max_failures[identifier] = max_failures
        steps = [
            step._replace(count=count, after=(number - 1,) if number else ())
            for number, count in enumerate(widths or [tasks] * chain)
        ]
        self.chains[identifier] = tuple(steps)
        workflow = build_workflow(
            *steps,
            identifier=identifier,
            stretch=50.0,
            advice=advice,
            max_failures=max_failures,
        )
        reply = await self.current.owner.submit(workflow)
        if reply.outcome == ACCEPTED:
            self.accepted.append(identifier)
        return identifier

    async def submit_steps(
        self,
        steps: Sequence[tuple[StepSpec, float]],
        *,
        crash_delay: float | None = None,
        max_failures: int = 2,
    ) -> str:
        """Submits a job whose steps follow each other, each with its own duration in seconds.

        Its tasks are of one size; ``steps`` of the world holds the step with most of them.
        """
        identifier = f"{len(self.jobs):016x}"
        specs = [
            spec._replace(after=(number - 1,) if number else ())
            for number, (spec, _) in enumerate(steps)
        ]
        widest = max(specs, key=lambda spec: spec.count)
        self.steps[identifier] = widest
        self.chains[identifier] = tuple(specs)
        self.jobs[identifier] = (widest.millicores // 1000, steps[0][1])
        for number, (_, seconds) in enumerate(steps):
            self.step_seconds[identifier, number] = seconds
        if crash_delay is not None:
            self.crash_delays[identifier] = crash_delay
        self.max_failures[identifier] = max_failures
        workflow = build_workflow(
            *specs, identifier=identifier, stretch=50.0, max_failures=max_failures
        )
        if (await self.current.owner.submit(workflow)).outcome == ACCEPTED:
            self.accepted.append(identifier)
        return identifier

    def find_step(self, task: TaskName) -> StepSpec:
        """Returns the step of a task."""
        chain = self.chains.get(task.workflow)
        return chain[task.step] if chain else self.steps[task.workflow]

    async def cancel(self, index: int) -> bool:
        """Cancels an accepted job, as soon as the owner answers; returns whether it did."""
        if not self.accepted:
            return False
        identifier = self.accepted[index % len(self.accepted)]
        self.cancelled.add(identifier)
        for _ in range(CANCEL_ATTEMPTS):
            if (await self.current.owner.cancel(identifier)).outcome == ACCEPTED:
                self.cancelled_at.setdefault(identifier, self.now())
                return True
            await asyncio.sleep(CANCEL_INTERVAL_S)
        return False

    # -- workers ---------------------------------------------------------------------------------

    def list_accounts(self) -> None:
        """The configuration has no client accounts."""

    def is_capacity_current(self, entry) -> bool:
        return self.now() - self.workers[entry.worker].written_at <= CAPACITY_AGE_S

    async def _write_entries(self) -> None:
        """Has each worker that is up write its entry, one after the other."""
        while True:
            for worker in list(self.workers.values()):
                await asyncio.sleep(BEAT_S / len(self.workers))
                if self.now() - worker.origin > self.entry_delay_s:
                    worker.write_entry()

    async def _advance(self) -> None:
        while True:
            for worker in list(self.workers.values()):
                worker.advance()
            await asyncio.sleep(LEASE_CHECK_S)

    def add_worker(self, name: str, labels: tuple[str, ...] = ("a", "r1-1")) -> None:
        self.workers[name] = ModelWorker(self, name, labels)

    async def cordon(self, name: str, seconds: float = 60.0) -> None:
        """Takes a worker out of service for upkeep; its long-running tasks move elsewhere."""
        self.cordoned.add(name)
        await self.current.owner.cordon([name, seconds])

    def carry_out_late(self, worker: ModelWorker, carry_out) -> None:
        born = worker.born

        def act() -> None:
            if worker.born == born and not worker.gone:
                try:
                    carry_out(worker)
                except OrderRefused:
                    return

        asyncio.get_running_loop().call_later(self.late_seconds, act)

    def carry_out_anywhere(self, name: str, carry_out) -> None:
        """Carries out an order at whichever start of a worker is up, if there is one."""
        worker = self.workers[name]
        if not worker.gone and self.now() - worker.origin >= self.late_orders_need_age_s:
            try:
                carry_out(worker)
            except OrderRefused:
                return
            self.late_arrivals += 1

    def accepts_ticket(self, worker: ModelWorker, task: TaskName, text: str) -> bool:
        """Returns whether a start needs no ticket, or carries a valid one."""
        if task.workflow not in self.advice_terms:
            return True
        return any(
            ticket.text == text and ticket.born == worker.born and self.now() <= ticket.valid_until
            for ticket in self.tickets[(*task[:3], worker.name)]
        )

    def has_started(self, identifier: str) -> bool:
        """Returns whether a worker has started a task of a job."""
        return any(task.workflow == identifier for task in self._last_start_at)

    def choose_run_seconds(self, worker: ModelWorker, task: TaskName) -> float:
        """Returns for how long a run that starts now takes."""
        return self.step_seconds.get((task.workflow, task.step), self.jobs[task.workflow][1])

    def _count_other_runs_allowed(self, task: TaskName) -> int:
        """Returns how many other runs of a task may be running when one starts."""
        return 0

    def _is_late(self, task: TaskName) -> bool:
        """Returns whether a task starts later than it may after its end was acknowledged."""
        return task in self.acknowledged

    def check_start(self, worker: ModelWorker, task: TaskName, run: int) -> None:
        """Records the promises that a start breaks."""
        cores, _ = self.jobs[task.workflow]
        worker.advance()
        used = sum(item.cores for item in worker.runs.values())
        if used + cores > worker.measure_limit():
            self.violations.append(
                f"LIMIT at {self.now():.3f}: {task} run {run} on {worker.name}, {used} of"
                f" {worker.measure_limit()} cores used"
            )
        used_mb = sum(item.memory_mb for item in worker.runs.values())
        if used_mb + self.find_step(task).memory_mb > WORKER_MEMORY_MB:
            self.violations.append(
                f"LIMIT at {self.now():.3f}: {task} run {run} on {worker.name}, {used_mb} of"
                f" {WORKER_MEMORY_MB} MB used"
            )
        for other in self.workers.values():
            other.advance()
        running = [other for other in self.workers.values() if task in other.runs]
        if len(running) > self._count_other_runs_allowed(task):
            self.violations += [
                f"TWICE at {self.now():.3f}: {task} run {run} on {worker.name}, run"
                f" {other.runs[task].run} on {other.name}"
                for other in running
            ]
        if self.crashes[task] >= CRASHES_KNOWN:
            self._starts_after_crashes[task] += 1
            if self._starts_after_crashes[task] > MAX_FURTHER_STARTS:
                self.violations.append(f"BUDGET at {self.now():.3f}: {task} run {run}")
        cancelled_at = self.cancelled_at.get(task.workflow, math.inf)
        if self.now() - cancelled_at > CANCELLATION_DELAY_S:
            self.violations.append(
                f"UNASKED at {self.now():.3f}: {task} run {run} on {worker.name}"
            )
        if self._is_late(task):
            self.violations.append(f"TWICE at {self.now():.3f}: {task} began after its end")

        self._last_start_at[task] = self.now()

    def check_acknowledged(self, worker: ModelWorker, task: TaskName) -> None:
        """Records a start between the end of a run and its acknowledgement, unless a lease lapsed.

        An end counts from its time once it is acknowledged, so that start breaks the rule as well.
        """
        ended_at = worker.done_at.get(task, math.inf)
        if self._last_start_at.get(task, -math.inf) > ended_at > worker.lapsed_at:
            self.violations.append(
                f"TWICE at {self.now():.3f}: {task} began before its end counted"
            )

    # -- end -------------------------------------------------------------------------------------

    async def list_unfinished(self, *, allow_giving_up: bool = False) -> list[str]:
        """Returns the jobs whose state is not the one that they should have by now.

        With ``allow_giving_up``, a job may be shown as failed once one of its tasks has lost
        ``LOSSES_ALLOWED`` workers, whatever the cause, as the platform's pages allow.
        """
        found = []
        for identifier in set(self.accepted) - self.cancelled:
            reply = await self.current.owner.read_state(identifier)
            long_running = self.current.owner.workflows[identifier].is_long_running
            expected = "running" if long_running else "completed"
            expected = "failed" if identifier in self.crash_delays else expected
            if allow_giving_up and reply.detail == "failed" and self.has_losses(identifier):
                continue
            if reply.detail != expected:
                found.append(f"LOST: {identifier} is {reply.outcome} {reply.detail}")
        return found

    def is_shown_as_failed(self, identifier: str) -> bool:
        """Returns whether the present owner shows a job as failed."""
        workflow = self.current.owner.workflows.get(identifier)
        return workflow is not None and workflow.state == FAILED

    def has_losses(self, identifier: str) -> bool:
        """Returns whether a task of a job has lost so many workers that it may be given up."""
        return any(
            count >= LOSSES_ALLOWED
            for task, count in self.losses.items()
            if task.workflow == identifier
        )

    def has_failures(self, identifier: str) -> bool:
        """Returns whether a task of a job has failed so often that it may be given up."""
        return any(
            count >= self.max_failures[identifier]
            for task, count in self.failures.items()
            if task.workflow == identifier
        )

    @property
    def is_impaired(self) -> bool:
        """Whether the store or a worker is disturbed otherwise than by its link."""
        return bool(
            self.store.append_seconds >= IDLE_LIMIT_S
            or self.store.loses_answers
            or self.store.refused_keys
            or self.failing
            or self.unheard
            or self.unlisted & {name for name, worker in self.workers.items() if not worker.gone}
        )

    async def close(self) -> None:
        for ticker in self._tickers:
            ticker.cancel()
        for item in self.owners:
            await item.owner.stop()
