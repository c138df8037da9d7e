"""An owner with links to workers, whose reports and clock are set by the test."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

from workflow_builders import build_entry, build_workflow

from carawayd.partition.leases import START_ORDER
from carawayd.partition.owner import PartitionOwner
from carawayd.partition.workerlink import UNKNOWN, Order, WorkerLink
from carawayd.platform.runs import EndedRun, RunningTask, WorkerReport
from carawayd.process.site import SITE_FIELDS, SiteSettings
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.options import fill_defaults
from carawayshore.workflows.model import StepSpec, TaskName, WorkerEntry
from carawayshore.workflows.placement import compute_usage
from carawayshore.workflows.state import ORDERED, WorkflowState

WORKER = "w0"
BORN = 1_000
# Clock of the worker in its reports and answers.
CLOCK_MS = 50_000


class ManualClock:
    """Clock that only tests advance; its time of day can jump apart from that."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.jump_seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.seconds)

    def now(self) -> datetime:
        return datetime.fromtimestamp(1.7e9 + self.seconds + self.jump_seconds, UTC)

    async def sleep(self, duration: timedelta) -> None:
        self.seconds += duration.total_seconds()


class ScriptedRuns:
    """Client of the workers: raises ``error`` if set, and records the calls."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.calls: list[tuple[str, str, int]] = []
        self.clock_ms = CLOCK_MS
        # Time until which each request for a report renewed the lease, None if it did not.
        self.renewals: list[int | None] = []

    async def _call(self, kind: str, task: TaskName | None = None, run: int = 0) -> int:
        self.calls.append((kind, task.workflow if task else "", run))
        if self.error is not None:
            raise self.error
        return self.clock_ms

    async def start(self, address: str, worker: str, task: TaskName, run: int, **_: Any) -> int:
        return await self._call("start", task, run)

    async def stop(self, address: str, worker: str, task: TaskName, run: int, **_: Any) -> int:
        return await self._call("stop", task, run)

    async def renew(
        self, address: str, worker: str, *, expires_ms: int | None = None, **_: Any
    ) -> Any:
        self.renewals.append(expires_ms)
        await self._call("renew")


class StaticDiscovery:
    """Lists one service and the workers that the test puts there."""

    def __init__(self) -> None:
        self.entries: dict[str, WorkerEntry] = {}
        self.has_current_capacities = True

    def list_accounts(self) -> None:
        """The configuration has no client accounts."""

    def is_capacity_current(self, entry: WorkerEntry) -> bool:
        return self.has_current_capacities

    def list_services(self, partition: int) -> set[str]:
        return {"booking"}

    def list_workers(self, services: set[str]) -> dict[str, WorkerEntry]:
        return dict(self.entries)


def build_settings() -> SiteSettings:
    document = {
        "member": "entry",
        "data_centre": "umea",
        "caller_address": "127.0.0.1:1",
        "ready_address": "127.0.0.1:1",
        "peer_host": "127.0.0.1",
        "peer_port": 1,
        "metrics_port": 1,
        "store": "127.0.0.1:1",
        "partitions": 4,
    }
    return SiteSettings(**fill_defaults(SITE_FIELDS, document))


class OwnerHarness:
    """An owner that is not started: the test has it process reports and read records.

    Parameters
    ----------
    records : dict of str to bytes
        Records of an earlier owner.
    seconds : float
        Monotonic clock, which has another starting point on each host.
    """

    def __init__(self, records: dict[str, bytes] | None = None, seconds: float = 1_000.0) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock(seconds)
        self.runs = ScriptedRuns()
        self.discovery = StaticDiscovery()
        self.may_renew = True
        self.owner = PartitionOwner(
            0,
            1,
            store=None,
            runs=self.runs,
            discovery=self.discovery,
            settings=build_settings(),
            clock=self.clock,
            time_of_day=SteadyTimeOfDay(self.clock),
            random=Random(1),
            may_renew=lambda: self.may_renew,
            metrics=WorkflowMetrics(),
        )
        self.written: dict[str, Any] = {}
        self.owner.ledger.mark_dirty = self.written.__setitem__
        self.owner.ledger.flush = self._flush
        self._records = records or {}
        self.owner.ledger.read_records = self._read_records
        self.run(self.owner._load())
        self.run(self.owner._announce())

    async def _read_records(self) -> list[tuple[str, bytes]]:
        return list(self._records.items())

    def _flush(self) -> asyncio.Future[None]:
        future = self.loop.create_future()
        future.set_result(None)
        return future

    def run(self, work: Any) -> Any:
        """Runs a coroutine, and everything that it has started, to its end."""

        async def run_all() -> Any:
            result = await work
            for _ in range(5):
                await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(run_all())

    def read_written(self) -> dict[str, bytes]:
        """Returns the records after all changes of this owner."""
        changed = {key: encode() for key, encode in self.written.items()}
        return {key: value for key, value in (self._records | changed).items() if value}

    def add_workflow(self, name: str, millicores: int, **changes: Any) -> TaskName:
        """Adds a workflow of one task and returns the task's name."""
        spec = build_workflow(StepSpec(count=1, millicores=millicores, **changes), identifier=name)
        state = WorkflowState(spec, self.clock.seconds, 1)
        state.durable_state = state.state
        self.owner.workflows[name] = state
        self.owner.ledger.mark_dirty(state.key(), state.encode)
        return TaskName(name, 0, 0, 0)

    def list_worker(self, **changes: Any) -> WorkerLink:
        """Lists a worker and returns the owner's link to it."""
        entry = build_entry(WORKER, **({"born": BORN} | changes))
        self.discovery.entries[WORKER] = entry

        async def scan() -> None:
            self.owner._scan_workers()

        self.run(scan())
        return self.owner.links[WORKER]

    def order(self, task: TaskName, run: int, *, state: str, absence_certain_after_ms: int) -> None:
        """Makes a run known to the owner as ordered on the worker."""
        link = self.owner.links[WORKER]
        _, step, item = self.owner._find_task(task)
        item.status, item.run, item.worker = ORDERED, run, WORKER
        order = link.orders[task] = Order(run, state, absence_certain_after_ms, self.clock.seconds)
        if state == UNKNOWN:
            order.lease_call = link.leases.record_sending(
                self.clock.seconds, absence_certain_after_ms, START_ORDER
            )
        link.capacity.reserve(task, compute_usage(task, step.spec))
        self.owner._known_workers.record(link.entry)
        self.owner._record_tasks(self.owner.workflows[task.workflow], step, [task.index])

    def report(
        self,
        running: list[tuple[TaskName, int]] = (),
        ended: list[tuple[TaskName, int, str]] = (),
        *,
        clock_ms: int = CLOCK_MS,
        born: int = BORN,
        percent: int = 50,
    ) -> None:
        """Has the link process a report of the worker."""
        rows = [RunningTask(task, run, "", percent, 0.0) for task, run in running]
        ends = [
            EndedRun(number, task, run, kind, "")
            for number, (task, run, kind) in enumerate(ended, start=1)
        ]
        link = self.owner.links[WORKER]
        # The worker answers orders by the clock of this report.
        self.runs.clock_ms = clock_ms
        self.run(link._process_report(WorkerReport(clock_ms, born, rows, ends)))

    def assume_recent_report(self) -> None:
        """Lets start orders be sent without a recent report, which no poll would bring here."""

        async def ensure() -> bool:
            return True

        self.owner.links[WORKER]._ensure_recent_report = ensure

    def fits(self, millicores: int) -> bool:
        """Returns whether a further task of this size would be placed on the worker."""
        link = self.owner.links[WORKER]
        task = TaskName("e" * 16, 0, 0, 0)
        usage = compute_usage(task, StepSpec(millicores=millicores))
        return link.capacity.usable and link.capacity.fits(usage)

    def succeed(self) -> OwnerHarness:
        """Returns the next owner, which has read this owner's records."""
        return OwnerHarness(self.read_written(), seconds=7.0)

    def close(self) -> None:
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()
