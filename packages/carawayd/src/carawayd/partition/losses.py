"""Workers that are lost under runs: what is recorded with the tasks, and what follows from it."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from carawayd.partition.workerlink import STARTED
from carawayd.platform.runs import format_task
from carawayshore.workflows.crashes import (
    RunOnWorker,
    add_loss,
    assess_loss,
    has_outlived,
    should_give_up,
)
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import DONE, MAX_RECORDED_LOSSES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from carawayd.partition.isolation import Isolation
    from carawayd.partition.workerlink import LostRun, WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.crashes import WorkerLoss
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

logger = logging.getLogger(__name__)


class Losses:
    """Counts the losses of workers under each task.

    Parameters
    ----------
    find_task : callable
        Returns the workflow, the step and the state of a task, or None.
    record_tasks : callable
        Records the state of tasks of a step, by their numbers.
    give_up : callable
        Ends the workflow of a task that crashes its workers.
    isolation : Isolation
    clock : Clock
    metrics : WorkflowMetrics
    was_run : callable
        Returns whether a run of a task was lost while the other run of the task goes on.
    """

    def __init__(
        self,
        find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
        record_tasks: Callable[[WorkflowState, StepState, Iterable[int]], None],
        give_up: Callable[[WorkflowState, TaskName, Sequence[WorkerLoss]], None],
        isolation: Isolation,
        clock: Clock,
        metrics: WorkflowMetrics,
        was_run: Callable[[TaskName, int, str], bool] = lambda *_: False,
    ) -> None:
        self._find_task = find_task
        self._record_tasks = record_tasks
        self._give_up = give_up
        self._isolation = isolation
        self._clock = clock
        self._metrics = metrics
        self._was_run = was_run
        # Tasks with losses, and possibly some whose losses no longer count.
        self._bereaved: set[TaskName] = set()

    def restore(self, workflow: WorkflowState) -> None:
        """Notes the tasks of a workflow whose records have losses."""
        self._bereaved.update(
            TaskName(workflow.identifier, step.occurrence, step.number, index)
            for step in workflow.steps.values()
            for index, task in enumerate(step.tasks)
            if task.losses
        )

    def handle_loss(
        self, link: WorkerLink, runs: list[LostRun], born: int, epoch: int, *, restarted: bool
    ) -> None:
        """Records the loss of a worker with the tasks that were there.

        Parameters
        ----------
        link : WorkerLink
        runs : list of LostRun
        born : int
            Start of the incarnation that was last sent an order, in Unix milliseconds.
        epoch : int
        restarted : bool
            Whether another incarnation has answered, so that the former one has certainly ended.
        """
        if restarted:
            self._confirm(link.worker)
        if not runs:
            return
        how = "restarted" if restarted else "unreachable"
        self._metrics.worker_losses.labels(link.entry.service, how).inc()
        logger.info(
            "worker lost with its runs",
            extra={
                "fields": {
                    "worker": link.worker,
                    "born": born,
                    "restarted": restarted,
                    "tasks": [format_task(run.task) for run in runs],
                    "runs": [
                        [run.run, run.state, run.listed, round(run.seconds, 3)] for run in runs
                    ],
                    "epoch": epoch,
                }
            },
        )
        if not link.cordoned and link.entry.state == "ready":
            self._record(link, runs, born, restarted)

    def _record(self, link: WorkerLink, runs: list[LostRun], born: int, restarted: bool) -> None:
        reserved_for = link.capacity.reserved_for
        losses = assess_loss(
            link.worker,
            born,
            restarted,
            [
                RunOnWorker(
                    run.task.workflow,
                    run.seconds,
                    run.listed or run.state == STARTED,
                    run.listed,
                    reserved_for == run.task.workflow,
                    run.is_adopted,
                )
                for run in runs
            ],
        )
        changed: dict[str, WorkflowState] = {}
        for run, loss in zip(runs, losses, strict=True):
            found = self._find_task(run.task)
            if found is None or found[0].is_terminal:
                continue
            workflow, step, task = found
            is_known = task.has_run(run.run, link.worker)
            is_known = is_known or self._was_run(run.task, run.run, link.worker)
            if is_known and task.status != DONE:
                self._replace_losses(workflow, step, run.task, add_loss(task.losses, loss))
                changed[workflow.identifier] = workflow
                self._judge(workflow, run.task, task)
        self._update_isolation(changed)

    def _update_isolation(self, changed: dict[str, WorkflowState]) -> None:
        """Updates each workflow once, since that looks at all its tasks."""
        for workflow in changed.values():
            self._isolation.update(workflow)

    def _confirm(self, worker: str, before: float = math.inf) -> None:
        """Records that an unreachable worker, which was taken to be lost, has ended.

        With ``before``, only its incarnations that started earlier, in Unix milliseconds.
        """
        for workflow, step, name, task in self._isolation.list_suspects():
            losses = tuple(
                (
                    loss._replace(confirmed=True)
                    if loss.worker == worker and (before == math.inf or 0 < loss.born < before)
                    else loss
                )
                for loss in task.losses
            )
            if losses != task.losses:
                self._replace_losses(workflow, step, name, losses)
                self._judge(workflow, name, task)

    def retract(self, worker: str, born: int) -> None:
        """Removes the losses of an incarnation that answers again, so that it was only silent.

        Those before it are confirmed: the link to them may have been closed without an answer.
        """
        if not born:
            return
        self._confirm(worker, born)
        changed: dict[str, WorkflowState] = {}
        for workflow, step, name, task in self._isolation.list_suspects():
            losses = tuple(
                loss for loss in task.losses if (loss.worker, loss.born) != (worker, born)
            )
            if losses != task.losses:
                logger.info(
                    "worker was only unreachable; its loss no longer counts against the task",
                    extra={
                        "fields": {
                            "task": format_task(name),
                            "worker": worker,
                            "born": born,
                            "losses": len(losses),
                        }
                    },
                )
                self._replace_losses(workflow, step, name, losses)
                changed[workflow.identifier] = workflow
        self._update_isolation(changed)

    def _replace_losses(
        self,
        workflow: WorkflowState,
        step: StepState,
        name: TaskName,
        losses: tuple[WorkerLoss, ...],
    ) -> None:
        step.tasks[name.index].losses = losses[-MAX_RECORDED_LOSSES:]
        self._bereaved.add(name)
        self._record_tasks(workflow, step, [name.index])

    def _judge(self, workflow: WorkflowState, name: TaskName, task: TaskState) -> None:
        if should_give_up(task.losses):
            self._give_up(workflow, name, task.losses)

    def clear_survivors(self, link: WorkerLink, epoch: int) -> None:
        """Lifts the suspicion from tasks whose runs have outlived their earlier crashes."""
        now = self._clock.elapsed().total_seconds()
        changed: dict[str, WorkflowState] = {}
        for name in list(self._bereaved):
            found = self._find_task(name)
            if found is None or not found[2].losses:
                self._bereaved.discard(name)
                continue
            order = link.orders.get(name)
            if order is None or not order.listed:
                continue
            workflow, step, task = found
            if task.run == order.run and has_outlived(task.losses, now - order.sent_at):
                logger.info(
                    "run has outlived the crashes of its workers; no longer suspected",
                    extra={
                        "fields": {
                            "task": format_task(name),
                            "epoch": epoch,
                            "worker": link.worker,
                            "losses": len(task.losses),
                        }
                    },
                )
                self._replace_losses(workflow, step, name, ())
                changed[workflow.identifier] = workflow
        self._update_isolation(changed)
