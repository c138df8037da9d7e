"""Builders of pools in which long-running tasks are displaced, planned without any I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, NamedTuple

from workflow_builders import build_entry, build_workflow

from carawayd.partition.claims import STOP_SECONDS, Claims
from carawayd.partition.deferrals import Deferrals
from carawayd.partition.departures import Departures
from carawayd.partition.isolation import Isolation
from carawayd.partition.planner import Planner
from carawayd.partition.preemption import PreemptionControl
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.workflows.model import AdviceConfig, StepSpec, TaskName, WorkerEntry
from carawayshore.workflows.placement import WorkerCapacity, compute_usage
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import DONE, ORDERED, WAITING, WorkflowState

if TYPE_CHECKING:
    from collections.abc import Callable

SCAN_SECONDS = 0.1
MAX_STARTS_PER_PLAN = 256
EPOCH = 1
ADVICE = AdviceConfig(decision_ms=1, per_worker_ms=1, valid_ms=60_000)


class SteppedClock:
    """Clock that is set by its user."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.seconds)

    def now(self) -> datetime:
        return datetime.fromtimestamp(1.7e9 + self.seconds, UTC)


@dataclass
class StandInOrder:
    """Order for a run, and when the run ends after a stop."""

    run: int
    ordered_at: float
    ends_at: float
    progress_percent: int = 0
    stopping: bool = False


@dataclass
class StandInLink:
    """Link to a worker that carries out each order at once, and each stop after a moment."""

    entry: WorkerEntry
    clock: SteppedClock
    capacity: WorkerCapacity
    orders: dict[TaskName, StandInOrder] = field(default_factory=dict)
    unordered_runs: dict[TaskName, int] = field(default_factory=dict)
    stopped: list[TaskName] = field(default_factory=list)
    is_departing: bool = False
    leaves_at: float = 0.0

    @property
    def worker(self) -> str:
        return self.entry.worker

    def stop_task(self, name: TaskName) -> None:
        order = self.orders[name]
        order.stopping = True
        order.ends_at = min(order.ends_at, self.clock.seconds + STOP_SECONDS)
        self.stopped.append(name)


class Start(NamedTuple):
    """Start of a task on a worker."""

    name: TaskName
    worker: str
    at: float


class Pool:
    """Workers of one service with their jobs, and what the owner of the partition plans for them.

    Parameters
    ----------
    workers : dict of str to tuple
        Cores and rack of each worker.
    """

    def __init__(self, workers: dict[str, tuple[int, str]]) -> None:
        self.clock = SteppedClock()
        self.links: dict[str, StandInLink] = {}
        self.workflows: dict[str, WorkflowState] = {}
        self.open_steps: dict[tuple[str, int, int], Any] = {}
        # Tickets for each job with a placement policy.
        self.tickets: dict[str, dict[str, str]] = {}
        # Workers that refuse each start of a long-running task.
        self.refusing: set[str] = set()
        self.ended_at: dict[TaskName, float] = {}
        self.starts: list[Start] = []
        # Worker on which each task has had claims, in order.
        self.claim_history: dict[TaskName, list[str]] = {}
        runtimes, deferrals = RuntimeModel(), Deferrals(self.clock)
        self.claims = Claims(self.links, self.find_task, runtimes, self.clock)
        self.planner = Planner(
            self.workflows,
            self.links,
            self.open_steps,
            {},
            runtimes=runtimes,
            isolation=Isolation(self.links, deferrals, self.clock),
            deferrals=deferrals,
            claims=self.claims,
            advisor=SimpleNamespace(
                find_tickets=lambda key: self.tickets.get(key[0], {}), ask=lambda *_: None
            ),
            clock=self.clock,
            time_of_day=SteadyTimeOfDay(self.clock),
        )
        self.departures = Departures(
            self.links,
            self.find_task,
            lambda *_: True,
            self.planner.list_candidates,
            self.claims,
            lambda: True,
            self.clock,
        )
        self.preemption = PreemptionControl(
            self.links,
            self.find_task,
            self.planner.list_candidates,
            self.claims,
            lambda name: self.clock.seconds - self.ended_at.get(name, self.clock.seconds),
            self.clock,
            WorkflowMetrics(),
        )
        for worker, (cores, rack) in workers.items():
            entry = build_entry(worker, millicores=cores * 1000, labels=(f"rack:{rack}", rack))
            link = StandInLink(entry, self.clock, WorkerCapacity(entry))
            link.capacity.usable = True
            self.links[worker] = link

    def find_task(self, name: TaskName):
        workflow = self.workflows.get(name.workflow)
        found = workflow and workflow.find_task(name)
        return (workflow, *found) if found else None

    def add_job(self, step: StepSpec, *, advised: bool = False) -> WorkflowState:
        """Adds a job of one step whose tasks have not been planned yet."""
        identifier = f"{len(self.workflows) + 1:016x}"
        spec = build_workflow(step, identifier=identifier, advice=ADVICE if advised else None)
        state = self.workflows[identifier] = WorkflowState(spec, 0.0)
        return state

    def run_task(self, name: TaskName, worker: str, seconds: float) -> None:
        """Starts a run of a task that ends after some time unless it is stopped."""
        _, step, task = self.find_task(name)
        task.status, task.worker = ORDERED, worker
        task.run += 1
        link = self.links[worker]
        link.capacity.reserve(name, compute_usage(name, step.spec))
        now = self.clock.seconds
        link.orders[name] = StandInOrder(task.run, now, now + seconds)

    def end_run(self, name: TaskName, status: int = WAITING) -> None:
        """Ends the run of a task, which waits for its next one unless it is done."""
        _, step, task = self.find_task(name)
        link = self.links[task.worker]
        link.capacity.release(name)
        del link.orders[name]
        task.status = status
        if status == WAITING:
            self.ended_at[name] = self.clock.seconds
            self.open_steps[name[:3]] = step

    def displace(self, job: WorkflowState) -> None:
        """Lets the tasks of a job wait as after a run that has just ended."""
        for name in list_tasks(job):
            self.find_task(name)[2].run = 1
            self.ended_at[name] = self.clock.seconds
        self.open_steps[job.identifier, 0, 0] = job.steps[0, 0]

    def announce_departure(self, worker: str, *, notice_seconds: float | None) -> None:
        """Lets a worker leave after a notice, or be cordoned if there is none."""
        link = self.links[worker]
        link.is_departing, link.capacity.usable = True, False
        if notice_seconds is not None:
            link.entry = link.entry._replace(state="draining", drain_seconds=notice_seconds)
            link.leaves_at = self.clock.seconds + notice_seconds

    def plan(self, draw_seconds: Callable[[], float]) -> None:
        """Makes a plan and carries it out; short tasks run for as long as is drawn."""
        for placement in self.planner.place_tasks(MAX_STARTS_PER_PLAN):
            for capacity, name in placement.chosen:
                worker, is_long = capacity.entry.worker, placement.step.spec.long_running
                assert capacity is self.links[worker].capacity, f"{worker} has been replaced"
                self.run_task(name, worker, math.inf if is_long else draw_seconds())
                self.starts.append(Start(name, worker, self.clock.seconds))
                if is_long and worker in self.refusing:
                    since = self.ended_at[name]
                    self.end_run(name)
                    self.ended_at[name] = since
        for name in self.claims.list_tasks():
            history = self.claim_history.setdefault(name, [])
            worker = self.claims.find(name).entry.worker
            if history[-1:] != [worker]:
                history.append(worker)

    def scan(self, draw_seconds: Callable[[], float]) -> None:
        """Does what the owner does once per scan."""
        self.clock.seconds += SCAN_SECONDS
        for link in self.links.values():
            for name, order in list(link.orders.items()):
                if self.clock.seconds >= order.ends_at:
                    self.end_run(name, WAITING if order.stopping else DONE)
        for link in self.links.values():
            if link.is_departing:
                self.departures.evacuate(link, EPOCH)
        self.plan(draw_seconds)
        self.preemption.make_room(EPOCH)

    def list_stopped(self) -> list[TaskName]:
        """Returns the runs of short tasks that were stopped."""
        stopped = [name for link in self.links.values() for name in link.stopped]
        return [name for name in stopped if not self.find_task(name)[1].spec.long_running]


def list_tasks(job: WorkflowState) -> list[TaskName]:
    """Returns the tasks of a job of one step."""
    return [TaskName(job.identifier, 0, 0, index) for index in range(len(job.steps[0, 0].tasks))]


def build_step(count: int, cores: int, **changes: Any) -> StepSpec:
    """Returns a step of long-running tasks."""
    return StepSpec(count=count, millicores=cores * 1000, memory_mb=1, long_running=True, **changes)


def build_short_step(count: int, cores: int = 1) -> StepSpec:
    return StepSpec(count=count, millicores=cores * 1000, memory_mb=1)
