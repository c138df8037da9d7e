"""Long-running tasks that are not at work: since when, and what each of them waits for."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from carawayd.partition.workerlink import STARTED
from carawayd.platform.runs import format_task
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import ORDERED

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayd.partition.waitreasons import WaitReasons
    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

logger = logging.getLogger(__name__)

# Interval at which the long-running tasks are looked through.
CHECK_INTERVAL_SECONDS = 0.5
# Time without work after which a task is logged and counted. It is logged again whenever the time
# has doubled.
ALERT_SECONDS = 3.0
# Maximum number of tasks that one look logs.
MAX_LINES_PER_CHECK = 5


class LongRunningWaits:
    """Watches the long-running tasks of one partition and reports those that are not at work.

    Parameters
    ----------
    workflows, links
        Tables of the partition owner, which updates them.
    reasons : WaitReasons
    list_services : callable
        Returns the services of the partition.
    is_due : callable
        Returns whether the start time of a step has come.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        reasons: WaitReasons,
        *,
        list_services: Callable[[], set[str]],
        is_due: Callable[[WorkflowState, StepState], bool],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._reasons = reasons
        self._list_services = list_services
        self._is_due = is_due
        self._clock = clock
        self._metrics = metrics
        self._checked_at = -CHECK_INTERVAL_SECONDS
        # Time since which each task has not been at work, and the age at which it is logged next.
        self._since: dict[TaskName, float] = {}
        self._log_at: dict[TaskName, float] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def check(self, epoch: int) -> None:
        """Updates the waits of all tasks, and logs and counts the long ones."""
        now = self._now()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        absent: set[TaskName] = set()
        counts: Counter[str] = Counter()
        longest: dict[str, float] = {}
        lines = 0
        for workflow, step, name, task in self._iterate_due_tasks():
            if self._is_at_work(name, task):
                continue
            absent.add(name)
            seconds = now - self._since.setdefault(name, now)
            if seconds < ALERT_SECONDS:
                continue
            service = workflow.spec.service
            counts[service] += 1
            longest[service] = max(longest.get(service, 0.0), seconds)
            if seconds >= self._log_at.get(name, 0.0) and lines < MAX_LINES_PER_CHECK:
                lines += 1
                self._log_at[name] = 2 * seconds
                self._log_wait(epoch, workflow, step, name, task, seconds)
        for name in self._since.keys() - absent:
            self._end_wait(epoch, name, now)
        for service in self._list_services():
            self._metrics.long_running_absent.labels(service).set(counts[service])
            self._metrics.long_running_longest_wait.labels(service).set(longest.get(service, 0.0))

    def measure(self, name: TaskName) -> float:
        """Returns for how long a task has not been at work in seconds, 0 if it is at work."""
        since = self._since.get(name)
        return 0.0 if since is None else self._now() - since

    def clear(self) -> None:
        """Resets the metrics, once the partition is no longer owned here."""
        for service in self._list_services():
            self._metrics.long_running_absent.labels(service).set(0)
            self._metrics.long_running_longest_wait.labels(service).set(0)

    def _iterate_due_tasks(
        self,
    ) -> Iterator[tuple[WorkflowState, StepState, TaskName, TaskState]]:
        for workflow in self._workflows.values():
            if workflow.is_terminal or not workflow.is_long_running:
                continue
            for step in workflow.steps.values():
                if not step.spec.long_running or not workflow.is_ready(step):
                    continue
                if self._is_due(workflow, step):
                    for index, task in enumerate(step.tasks):
                        name = TaskName(workflow.identifier, step.occurrence, step.number, index)
                        yield workflow, step, name, task

    def _is_at_work(self, name: TaskName, task: TaskState) -> bool:
        link = self._links.get(task.worker)
        order = link and link.orders.get(name)
        return (
            task.status == ORDERED
            and bool(order)
            and order.run == task.run
            and order.state == STARTED
            and not order.stopping
            and not link.is_unresponsive
        )

    def _end_wait(self, epoch: int, name: TaskName, now: float) -> None:
        seconds = now - self._since.pop(name)
        if self._log_at.pop(name, None) is None:
            return
        logger.info(
            "long-running task waits no more: at work, or its workflow has ended",
            extra={
                "fields": {
                    "task": format_task(name),
                    "epoch": epoch,
                    "seconds": round(seconds, 1),
                    "worker": self._find_worker(name),
                }
            },
        )

    def _find_worker(self, name: TaskName) -> str:
        """Returns the worker that a task was ordered on last, empty if it is not known."""
        workflow = self._workflows.get(name.workflow)
        found = workflow and workflow.find_task(name)
        return found[1].worker if found else ""

    def _log_wait(
        self,
        epoch: int,
        workflow: WorkflowState,
        step: StepState,
        name: TaskName,
        task: TaskState,
        seconds: float,
    ) -> None:
        ordered = task.status == ORDERED
        detail = (
            self._reasons.describe_run(name, task)
            if ordered
            else self._reasons.describe_choice(workflow, step, name).detail
        )
        logger.warning(
            "long-running task is not at work",
            extra={
                "fields": {
                    "task": format_task(name),
                    "seconds": round(seconds, 1),
                }
                | detail
                | {
                    "state": "ordered" if ordered else "waiting",
                    "run": task.run,
                    "worker": task.worker,
                    "losses": len(task.losses),
                    "epoch": epoch,
                }
            },
        )
