"""Short tasks whose turn has come and that are not at work: since when, and what they wait for.

Under load most of them wait for room, which is no news: these are only counted. Each of those that
wait for something else is logged: although a worker has room for them, or although they have been
ordered.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayd.partition.fragmentation import publish_fragmentation
from carawayd.partition.workerlink import STARTED
from carawayd.platform.runs import format_task
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import DONE, ORDERED, WAITING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayd.partition.drivers import Driver
    from carawayd.partition.waitreasons import WaitReasons
    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

# Kind of driver whose reasons are the obstacles at the workers.
PLANNER = "planner"

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 1.0
# Time without work after which a task is looked at. It is logged again whenever the time has
# doubled.
ALERT_SECONDS = 2.0
# Waiting steps whose workers one look goes through, those that wait longest first.
MAX_STEPS_PER_CHECK = 8
# Maximum number of tasks that one look logs.
MAX_LINES_PER_CHECK = 5
# Longest time that one look adds to a wait, so that a pause of this process is not counted as one
# of the tasks.
MAX_COUNTED_SECONDS = 2 * CHECK_INTERVAL_SECONDS
# Jobs of which nothing is at work whose waits are added up, and jobs that are looked at for that,
# those that wait longest first. Under load most jobs wait for room, which the summary tells.
MAX_SUMMED_JOBS = 64
MAX_JOBS_LOOKED_AT = 256
# Jobs of which nothing is at work whose workers one look goes through to tell why.
MAX_JOBS_PER_CHECK = 8
# Interval at which the tasks that wait for room are summarized, and the wait from which they are.
SUMMARY_INTERVAL_SECONDS = 2.0
SUMMARY_SECONDS = 3.0


class _Absence(NamedTuple):
    """Short task that is not at work, and the time since which it is not."""

    workflow: WorkflowState
    step: StepState
    name: TaskName
    task: TaskState
    since: float


class _JobWait(NamedTuple):
    """Time in which nothing of a job was at work although a task's turn had come.

    It goes on over placements that led to no start, and ends once a run is known to have started.
    ``seconds`` has the time by driver and reason of the task that waited longest.
    """

    since: float
    seconds: Counter[str]

    def describe(self, now: float) -> dict[str, Any]:
        return {
            "job_seconds": round(now - self.since, 1),
            "job_waits": {what: round(sum_, 1) for what, sum_ in self.seconds.most_common()},
        }


class ShortTaskWaits:
    """Watches the short tasks of one partition and reports those that wait without a shortage.

    Parameters
    ----------
    workflows, links, orphans
        Tables of the partition owner, which updates them.
    reasons : WaitReasons
    find_driver : callable
        Returns what acts next on a task that is not at work.
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
        orphans: dict[TaskName, str],
        reasons: WaitReasons,
        *,
        find_driver: Callable[[WorkflowState, TaskName, TaskState], Driver],
        list_services: Callable[[], set[str]],
        is_due: Callable[[WorkflowState, StepState], bool],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._orphans = orphans
        self._reasons = reasons
        self._find_driver = find_driver
        self._list_services = list_services
        self._is_due = is_due
        self._clock = clock
        self._metrics = metrics
        self._checked_at = -CHECK_INTERVAL_SECONDS
        # Time since which each task has not been at work, and the age at which it is logged next.
        self._since: dict[TaskName, float] = {}
        self._log_at: dict[TaskName, float] = {}
        self._summarized_at = -SUMMARY_INTERVAL_SECONDS
        # Waits of the jobs of which nothing is at work, and those that have ended since the last
        # look.
        self._job_waits: dict[str, _JobWait] = {}
        self._ended_job_waits: dict[str, _JobWait] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def check(self, epoch: int) -> None:
        """Updates the waits of all tasks, and logs those that no shortage explains."""
        now = self._now()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        elapsed, self._checked_at = now - max(self._checked_at, 0.0), now
        absences = [
            _Absence(workflow, step, name, task, self._since.get(name, now))
            for workflow, step, name, task in self._iterate_absent_tasks()
        ]
        absences.sort(key=lambda absence: absence.since)
        self._sum_waits(absences, min(elapsed, MAX_COUNTED_SECONDS), now)
        self._since = {absence.name: absence.since for absence in absences}
        ended = self._log_at.keys() - self._since.keys()
        for name in sorted(ended)[:MAX_LINES_PER_CHECK]:
            self._log_end(epoch, name)
        for name in ended:
            del self._log_at[name]
        self._publish("short_task_longest_wait", absences[:1], now)
        late = [absence for absence in absences if now - absence.since >= ALERT_SECONDS]
        unexplained = list(self._select_unexplained(late))
        self._publish("short_task_longest_unexplained_wait", [item[0] for item in unexplained], now)
        publish_fragmentation(self._list_services(), self._workflows, self._links, self._metrics)
        lines = 0
        for absence, detail in unexplained:
            seconds = now - absence.since
            if seconds >= self._log_at.get(absence.name, 0.0) and lines < MAX_LINES_PER_CHECK:
                lines += 1
                self._log_at[absence.name] = 2 * seconds
                self._log_wait(epoch, absence, seconds, detail)
        if late and now - self._summarized_at >= SUMMARY_INTERVAL_SECONDS:
            self._summarized_at = now
            self._log_summary(epoch, late, now)

    def _sum_waits(self, absences: list[_Absence], elapsed: float, now: float) -> None:
        """Adds the time since the last look to the waits of the jobs that stand still.

        ``absences`` has the tasks that wait longest first.
        """
        former, self._job_waits = self._job_waits, {}
        at_work: set[str] = set()
        examined = 0
        for absence in absences:
            identifier = absence.name.workflow
            if identifier in self._job_waits or identifier in at_work:
                continue
            is_full = len(self._job_waits) >= MAX_SUMMED_JOBS
            is_full |= len(self._job_waits) + len(at_work) >= MAX_JOBS_LOOKED_AT
            if is_full and identifier not in former:
                continue
            if self._has_run_at_work(absence.workflow):
                at_work.add(identifier)
                continue
            wait = former.get(identifier)
            self._job_waits[identifier] = wait or _JobWait(now, Counter())
            if wait is None:
                continue
            driver = self._find_driver(absence.workflow, absence.name, absence.task)
            what = f"{driver.kind}: {driver.reason}" if driver.reason else driver.kind
            if driver.kind == PLANNER and not driver.reason:
                examined += 1
                if examined <= MAX_JOBS_PER_CHECK:
                    what = f"{PLANNER}: {self._name_obstacles(absence)}"
            wait.seconds[what] += elapsed
        self._ended_job_waits = {
            identifier: wait
            for identifier, wait in former.items()
            if identifier not in self._job_waits
        }

    def _name_obstacles(self, absence: _Absence) -> str:
        """Returns the obstacles at the workers for a waiting task, as one text."""
        choice = self._reasons.describe_choice(absence.workflow, absence.step, absence.name)
        found = set(choice.obstacles)
        found |= {text for text in ("isolation", "excluded") if choice.detail.get(text)}
        return ", ".join(sorted(found)) or "no worker"

    def _has_run_at_work(self, workflow: WorkflowState) -> bool:
        return any(
            task.status == ORDERED
            and self._is_at_work(
                TaskName(workflow.identifier, step.occurrence, step.number, i), task
            )
            for step in workflow.steps.values()
            for i, task in enumerate(step.tasks)
        )

    def _describe_wait(self, identifier: str, now: float) -> dict[str, Any]:
        wait = self._job_waits.get(identifier) or self._ended_job_waits.get(identifier)
        return wait.describe(now) if wait is not None else {}

    def _log_summary(self, epoch: int, late: list[_Absence], now: float) -> None:
        """Logs how many tasks wait for long, and what the workers offer to the first of them."""
        waiting = [
            absence
            for absence in late
            if absence.task.status == WAITING and now - absence.since >= SUMMARY_SECONDS
        ]
        if not waiting:
            return
        first = waiting[0]
        choice = self._reasons.describe_choice(first.workflow, first.step, first.name)
        logger.info(
            "short tasks wait",
            extra={
                "fields": {
                    "epoch": epoch,
                    "tasks": len(waiting),
                    "workflows": len({absence.name.workflow for absence in waiting}),
                    "longest_seconds": round(now - first.since, 1),
                    "first": format_task(first.name),
                    "needs": [first.step.spec.millicores, first.step.spec.memory_mb],
                    "workers": dict(choice.obstacles),
                }
                | self._describe_wait(first.name.workflow, now)
            },
        )

    def _publish(self, metric: str, absences: list[_Absence], now: float) -> None:
        longest = dict.fromkeys(self._list_services(), 0.0)
        for absence in absences:
            service = absence.workflow.spec.service
            longest[service] = max(longest.get(service, 0.0), now - absence.since)
        for service, seconds in longest.items():
            getattr(self._metrics, metric).labels(service).set(seconds)

    def clear(self) -> None:
        """Resets the metrics, once the partition is no longer owned here."""
        self._publish("short_task_longest_wait", [], 0.0)
        self._publish("short_task_longest_unexplained_wait", [], 0.0)
        publish_fragmentation(self._list_services(), {}, {}, self._metrics)

    def _iterate_absent_tasks(
        self,
    ) -> Iterator[tuple[WorkflowState, StepState, TaskName, TaskState]]:
        for workflow in self._workflows.values():
            if workflow.is_terminal:
                continue
            for step in workflow.steps.values():
                if step.is_done or step.spec.long_running or not workflow.is_ready(step):
                    continue
                if not self._is_due(workflow, step):
                    continue
                key = (workflow.identifier, step.occurrence, step.number)
                for index, task in enumerate(step.tasks):
                    if task.status == DONE:
                        continue
                    name = TaskName(*key, index)
                    if task.status == WAITING or not self._is_at_work(name, task):
                        yield workflow, step, name, task

    def _is_at_work(self, name: TaskName, task: TaskState) -> bool:
        for run, worker in task.list_runs():
            link = self._links.get(worker)
            order = link and link.orders.get(name)
            if order and order.run == run and order.state == STARTED and not link.is_unresponsive:
                return True
        return False

    def _select_unexplained(
        self, absences: list[_Absence]
    ) -> Iterator[tuple[_Absence, dict[str, Any]]]:
        """Yields the tasks that wait for something else than room, with what it is."""
        examined: set[tuple[str, int, int]] = set()
        for absence in absences:
            if absence.task.status == ORDERED:
                detail = self._reasons.describe_run(absence.name, absence.task)
                yield absence, detail | {"orphaned": absence.name in self._orphans}
                continue
            key = absence.name[:3]
            if key in examined or len(examined) >= MAX_STEPS_PER_CHECK:
                continue
            examined.add(key)
            choice = self._reasons.describe_choice(absence.workflow, absence.step, absence.name)
            if choice.has_room or not choice.has_usable_worker:
                yield absence, choice.detail

    def _log_wait(
        self, epoch: int, absence: _Absence, seconds: float, detail: dict[str, Any]
    ) -> None:
        task = absence.task
        logger.warning(
            "short task is not at work",
            extra={
                "fields": {
                    "task": format_task(absence.name),
                    "epoch": epoch,
                    "seconds": round(seconds, 1),
                    "state": "ordered" if task.status == ORDERED else "waiting",
                    "run": task.run,
                    "worker": task.worker,
                    "losses": len(task.losses),
                    "tasks": len(absence.step.tasks),
                    "needs": [absence.step.spec.millicores, absence.step.spec.memory_mb],
                }
                | detail
                | self._describe_wait(absence.name.workflow, self._checked_at)
            },
        )

    def _log_end(self, epoch: int, name: TaskName) -> None:
        workflow = self._workflows.get(name.workflow)
        found = workflow and workflow.find_task(name)
        logger.info(
            "short task no longer waits: at work, or it has ended",
            extra={
                "fields": {
                    "task": format_task(name),
                    "epoch": epoch,
                    "worker": found[1].worker if found else "",
                }
                | self._describe_wait(name.workflow, self._checked_at)
            },
        )
