"""Copies of late runs: orders them, and follows both runs of a task until one is left.

The copy of a task is part of its state (:class:`~carawayshore.workflows.state.TaskState`) and is
recorded before its start order is sent. Which runs are copied is decided by
:mod:`carawayshore.workflows.copies`.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.workerlink import SENDING, STARTED, Order, StartOrder
from carawayd.platform.runs import format_task
from carawayshore.workflows.copies import (
    SILENT_SECONDS,
    CopyGains,
    PoolView,
    RunView,
    StepView,
    WorkerSpeeds,
    choose_copies,
    choose_copy_worker,
    has_late_run,
    is_overdue,
)
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.placement import compute_usage
from carawayshore.workflows.state import ORDERED, WAITING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from carawayd.partition.contactloss import ContactLoss
    from carawayd.partition.isolation import Isolation
    from carawayd.partition.knownworkers import KnownWorkers
    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.copies import CopyChoice
    from carawayshore.workflows.runtimes import RuntimeModel
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

    StepKey = tuple[str, int, int]
    Run = tuple[int, str]
    OrderList = list[tuple[WorkerLink, TaskName, StartOrder]]

logger = logging.getLogger(__name__)

# Interval of the decision, several times shorter than a short task.
CHECK_INTERVAL_SECONDS = 0.2
# Time after which a worker no longer executes the start order of a copy. Shorter than the second
# within which a start may still follow the acknowledged end of the other run, by the inaccuracy of
# the workers' clocks.
COPY_VALIDITY_MS = 800
# Outcomes of a copy, as counted and logged. A copy is also won if the other run ends without
# success, so that the copy goes on as the only run.
WON, LOST, CANCELLED = "won", "lost", "cancelled"


def allows_copies(workflow: WorkflowState, step: StepState) -> bool:
    """Returns whether tasks of a step may have two runs at a time."""
    spec = step.spec
    return (
        spec.speculative
        and workflow.spec.advice is None
        and not (spec.gang or spec.long_running or spec.best_effort)
    )


class _Step(NamedTuple):
    workflow: WorkflowState
    step: StepState


class Copies:
    """Copies of the runs of one partition.

    Parameters
    ----------
    workflows, links, open_steps
        Tables of the partition owner, which updates them.
    runtimes : RuntimeModel
    isolation : Isolation
    known_workers : KnownWorkers
    record_tasks : callable
        Records the state of tasks of a step, by their numbers.
    start_sending : callable
        Sends start orders once they are recorded durably.
    is_due : callable
        Returns whether the start time of a step has come.
    list_excluded : callable
        Returns the workers that have rejected a task a moment ago.
    orphans : dict
        The owner's table of the workers of runs that no link tracks yet.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        open_steps: dict[StepKey, StepState],
        *,
        runtimes: RuntimeModel,
        isolation: Isolation,
        known_workers: KnownWorkers,
        record_tasks: Callable[[WorkflowState, StepState, Iterable[int]], None],
        start_sending: Callable[[OrderList], None],
        is_due: Callable[[WorkflowState, StepState], bool],
        list_excluded: Callable[[TaskName], list[str]],
        orphans: dict[TaskName, str],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._open_steps = open_steps
        self._runtimes = runtimes
        self._isolation = isolation
        self._known_workers = known_workers
        self._record_tasks = record_tasks
        self._start_sending = start_sending
        self._is_due = is_due
        self._list_excluded = list_excluded
        self._owner_orphans = orphans
        self._clock = clock
        self._metrics = metrics
        # Worker of each copy that an earlier owner recorded, until the link to it tracks the run.
        self.orphans: dict[TaskName, str] = {}
        # Steps that have begun, are not done, and allow copies.
        self._steps: dict[StepKey, _Step] = {}
        # Last run of a task that was lost while the other one went on.
        self._former_runs: dict[TaskName, Run] = {}
        self._speeds = WorkerSpeeds()
        self._gains = CopyGains()
        self._checked_at = -CHECK_INTERVAL_SECONDS

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    # -- decision --------------------------------------------------------------------------------

    def watch(self, workflow: WorkflowState, step: StepState) -> None:
        """Considers the tasks of a step that may start now, if it allows copies."""
        if allows_copies(workflow, step):
            key = (workflow.identifier, step.occurrence, step.number)
            self._steps[key] = _Step(workflow, step)

    def learn(self, workflow: WorkflowState, step: StepState, worker: str, seconds: float) -> None:
        """Adds the run time of a task that succeeded to what is known of its worker."""
        if self._steps and seconds > 0:
            expected = self._runtimes.estimate_task_seconds(workflow.spec.queue, step.spec)
            self._speeds.learn(worker, seconds, expected)

    def make(self, epoch: int) -> None:
        """Orders the copies that are worth their cores now; costs nothing without such steps."""
        now = self._now()
        if not self._steps or now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        for key, (workflow, step) in list(self._steps.items()):
            if step.is_done or workflow.is_terminal or key[0] not in self._workflows:
                del self._steps[key]
        for name in [name for name in self._former_runs if name[:3] not in self._steps]:
            del self._former_runs[name]
        self._speeds.retain(self._links)
        for service in {workflow.spec.service for workflow, _ in self._steps.values()}:
            self._make_for_service(service, now, epoch)

    def _make_for_service(self, service: str, now: float, epoch: int) -> None:
        if self._has_waiting_tasks(service):
            return
        items = [item for item in self._steps.values() if item.workflow.spec.service == service]
        views = [self._view_step(workflow, step, now) for workflow, step in items]
        late = [item for item, view in zip(items, views, strict=True) if has_late_run(view)]
        if not late:
            return
        jobs = {(workflow.identifier, step.occurrence): workflow for workflow, step in late}
        copied: Counter[str] = Counter()
        copy_millicores = 0
        for workflow, step in items:
            count = sum(task.has_copy for task in step.tasks)
            copied[workflow.spec.queue] += count
            copy_millicores += count * step.spec.millicores
        millicores = sum(link.entry.millicores for link in self._list_usable(service))
        pool = PoolView(millicores, copy_millicores, False, self._gains.limit_copies(copied))
        choices = choose_copies(
            [
                self._view_job(workflow, occurrence, now)
                for (_, occurrence), workflow in jobs.items()
            ],
            pool,
        )
        overdue: dict[str, int] = {}
        for view in views:
            for run in view.runs:
                overdue[run.worker] = overdue.get(run.worker, 0) + is_overdue(view, run)
        slow = self._speeds.list_slow(overdue)
        for choice in choices:
            self._order(choice, service, slow, now, epoch)

    def _has_waiting_tasks(self, service: str) -> bool:
        return any(
            any(task.status == WAITING for task in step.tasks)
            for (identifier, _, _), step in self._open_steps.items()
            if self._workflows[identifier].spec.service == service
            and self._is_due(self._workflows[identifier], step)
        )

    def _list_usable(self, service: str) -> list[WorkerLink]:
        return [
            link
            for link in self._links.values()
            if link.entry.service == service and link.capacity.usable
        ]

    def _view_job(self, workflow: WorkflowState, occurrence: int, now: float) -> list[StepView]:
        return [
            self._view_step(workflow, workflow.steps[occurrence, number], now)
            for number in range(len(workflow.spec.steps))
        ]

    def _view_step(self, workflow: WorkflowState, step: StepState, now: float) -> StepView:
        queue = workflow.spec.queue
        is_ready = not step.is_done and workflow.is_ready(step)
        return StepView(
            step.spec.after,
            step.is_done,
            tuple(self._view_runs(workflow, step, now)) if is_ready else (),
            tuple(step.run_seconds),
            self._runtimes.estimate_task_seconds(queue, step.spec),
            self._runtimes.estimate_log_deviation(queue, step.spec),
            self._runtimes.estimate_step_seconds(queue, step.spec),
            step.spec.millicores,
            queue,
        )

    def _view_runs(self, workflow: WorkflowState, step: StepState, now: float) -> Iterator[RunView]:
        # A further failure of a task that is about to be given up would end the job.
        may_fail = workflow.spec.max_failures - 1
        is_allowed = allows_copies(workflow, step) and workflow.identifier not in self._isolation
        for index, task in enumerate(step.tasks):
            if task.status != ORDERED:
                continue
            name = TaskName(workflow.identifier, step.occurrence, step.number, index)
            link, order = self._find_order(name, task.run, task.worker)
            if order is None:
                yield RunView(name, task.worker, 0.0, 0.0, -1, True, False)
                continue
            copy_age = None
            if task.has_copy:
                _, copy = self._find_order(name, *task.copy)
                copy_age = now - copy.ordered_at if copy is not None else 0.0
            yield RunView(
                name,
                task.worker,
                now - order.ordered_at,
                link.silent_seconds,
                order.progress_percent,
                _is_silent(link),
                is_allowed and order.state == STARTED and not order.stopping
                # One copy of each run, whatever became of it.
                and task.copy is None and not task.losses and task.failures < may_fail,
                copy_age,
            )

    def _find_order(
        self, name: TaskName, run: int, worker: str
    ) -> tuple[WorkerLink | None, Order | None]:
        link = self._links.get(worker)
        order = link.orders.get(name) if link is not None else None
        return (link, order) if order is not None and order.run == run else (link, None)

    # -- order -----------------------------------------------------------------------------------

    def _order(
        self, choice: CopyChoice, service: str, slow: set[str], now: float, epoch: int
    ) -> None:
        """Records the copy of a run and orders its start, if a worker is suitable."""
        name = choice.name
        workflow = self._workflows[name.workflow]
        step, task = workflow.find_task(name)
        links = self._list_usable(service)
        excluded = {choice.worker, *slow, *self._list_excluded(name)}
        excluded.update(link.worker for link in links if _is_silent(link) or _knows_run(link, name))
        used = {item.worker for item in step.tasks if item.status == ORDERED}
        capacity = choose_copy_worker(
            [link.capacity for link in links],
            step.spec,
            name,
            now,
            excluded=excluded,
            racks={self._links[worker].entry.rack for worker in used & self._links.keys()},
        )
        if capacity is None:
            return
        link = self._links[capacity.entry.worker]
        run = task.begin_copy(link.worker)
        link.orders[name] = Order(run, SENDING, 0, now)
        capacity.reserve(name, compute_usage(name, step.spec))
        self._known_workers.record(link.entry)
        self._record_tasks(workflow, step, [name.index])
        self._log(
            "copying a late run",
            name,
            task,
            why=choice.reason,
            left_seconds=round(choice.left_seconds, 2),
            copy_seconds=round(choice.copy_seconds, 2),
            gain_seconds=round(choice.gain_seconds, 2),
            epoch=epoch,
        )
        checkpoint = task.checkpoint if step.spec.checkpointing else ""
        order = StartOrder(run, workflow.spec.spec, checkpoint, validity_ms=COPY_VALIDITY_MS)
        self._start_sending([(link, name, order)])

    # -- ends ------------------------------------------------------------------------------------

    def finish(self, workflow: WorkflowState, name: TaskName, task: TaskState, winner: Run) -> None:
        """Stops the run that has not won, once the end of ``winner`` is to be recorded."""
        if task.copy is None:
            return
        if task.has_copy:
            for run in task.list_runs():
                link, order = self._find_order(name, *run)
                if order is not None and run != winner:
                    link.stop_task(name)
            outcome = WON if task.is_copy(*winner) else LOST
            self._gains.learn(workflow.spec.queue, is_won=outcome == WON)
            self._settle(workflow, name, task, outcome, "a run has succeeded")
        task.run, task.copy = task.last_run, None

    def keep_other(
        self, workflow: WorkflowState, step: StepState, name: TaskName, run: int, why: str
    ) -> bool:
        """Leaves the other run of a task as the only one after ``run`` has ended without success.

        Returns whether there is another run; if not, nothing is changed.
        """
        task = step.tasks[name.index]
        if not task.has_copy or task.status != ORDERED:
            return False
        if run == task.copy.run:
            self._former_runs[name] = tuple(task.copy)
            self._settle(workflow, name, task, CANCELLED, why)
            task.end_copy()
        else:
            self._former_runs[name] = (task.run, task.worker)
            orphan = self.orphans.get(name)
            self._settle(workflow, name, task, WON, why)
            task.promote_copy()
            if orphan is not None:
                self._owner_orphans[name] = orphan
        self._record_tasks(workflow, step, [name.index])
        return True

    def end_workflow(self, workflow: WorkflowState) -> None:
        """Counts the copies of a workflow that has ended, whose runs are being stopped."""
        for name, task in workflow.iterate_ordered_tasks():
            if task.has_copy:
                self._settle(workflow, name, task, CANCELLED, f"its job is {workflow.state}")
                task.end_copy()

    def was_run(self, name: TaskName, run: int, worker: str) -> bool:
        """Returns whether a run was the last one lost of a task whose other run goes on."""
        return self._former_runs.get(name) == (run, worker)

    def _settle(
        self, workflow: WorkflowState, name: TaskName, task: TaskState, outcome: str, why: str
    ) -> None:
        self.orphans.pop(name, None)
        self._metrics.copies.labels(workflow.spec.service, outcome).inc()
        self._log("copy settled", name, task, outcome=outcome, why=why)

    def _log(self, message: str, name: TaskName, task: TaskState, **fields: object) -> None:
        known = {
            "task": format_task(name),
            "run": task.run,
            "worker": task.worker,
            "copy": task.copy.run,
            "copy_worker": task.copy.worker,
        }
        logger.info(message, extra={"fields": known | fields})

    # -- takeover --------------------------------------------------------------------------------

    def restore(self, workflow: WorkflowState) -> None:
        """Notes the copies that an earlier owner recorded, which may be running."""
        for name, task in workflow.iterate_ordered_tasks():
            if task.has_copy:
                self.orphans[name] = task.copy.worker

    def adopt(self, link: WorkerLink) -> None:
        """Has a new link track the copies that an earlier owner ordered on its worker."""
        for name, step, task in self._list_orphans(link.worker):
            del self.orphans[name]
            link.adopt(name, task.copy.run)
            link.capacity.reserve(name, compute_usage(name, step.spec))

    def release_orphans(self, contact_loss: ContactLoss) -> None:
        """Ends the copies whose worker is not listed, once every lease on it has expired."""
        for worker in set(self.orphans.values()):
            contact_loss.begin(worker)
            if contact_loss.are_leases_over(worker):
                for name, step, task in self._list_orphans(worker):
                    workflow = self._workflows[name.workflow]
                    why = "its worker is no longer listed"
                    self.keep_other(workflow, step, name, task.copy.run, why)

    def _list_orphans(self, worker: str) -> Sequence[tuple[TaskName, StepState, TaskState]]:
        """Returns the copies on a worker that no link tracks; forgets those that have ended."""
        found = []
        for name in [name for name, other in self.orphans.items() if other == worker]:
            workflow = self._workflows.get(name.workflow)
            step, task = (workflow and workflow.find_task(name)) or (None, None)
            if task is None or workflow.is_terminal or not task.has_copy:
                del self.orphans[name]
            else:
                found.append((name, step, task))
        return found


def _is_silent(link: WorkerLink) -> bool:
    """Returns whether a worker does not answer; one without runs is asked every few seconds."""
    return link.is_unresponsive or (link.run_count > 0 and link.silent_seconds > SILENT_SECONDS)


def _knows_run(link: WorkerLink, name: TaskName) -> bool:
    """Returns whether an earlier run of a task may still be on a worker."""
    return name in link.orders or any(task == name for task, _ in link.unordered_runs)
