"""Limit of a step on the tasks that are interrupted at a time by actions of this system."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import ORDERED, WAITING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState


def may_stop(links: Mapping[str, WorkerLink], step: StepState, name: TaskName) -> bool:
    """Returns whether fewer other tasks of the step are interrupted than the step allows."""
    interrupted = sum(
        not _is_fully_running(links, name._replace(index=index), task)
        for index, task in enumerate(step.tasks)
        if index != name.index
    )
    return interrupted < step.spec.most_away


def _is_fully_running(links: Mapping[str, WorkerLink], name: TaskName, task: TaskState) -> bool:
    link = links.get(task.worker)
    order = link and link.orders.get(name)
    return (
        task.status == ORDERED
        and bool(order)
        and not link.is_unresponsive
        and not order.stopping
        and order.progress_percent >= 100
        and order.run == task.run
    )


def list_interrupted_tasks(workflow: WorkflowState, step: StepState) -> list[TaskName]:
    """Returns the long-running tasks of a step that have run and wait to run again."""
    if not step.spec.long_running:
        return []
    return [
        TaskName(workflow.identifier, step.occurrence, step.number, index)
        for index, task in enumerate(step.tasks)
        if task.run and task.status == WAITING
    ]
