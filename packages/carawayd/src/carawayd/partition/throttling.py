"""Throttles the best-effort tasks of a worker by the tail latency of its serving tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayd.supervision import start_in_background
from carawayshore.workflows.pacing import ServingTask, choose_cpu_percent

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState


def throttle_best_effort(
    link: WorkerLink,
    find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
) -> None:
    """Limits the best-effort tasks of a worker after a report.

    Parameters
    ----------
    link : WorkerLink
    find_task : callable
        Returns the workflow, the step and the state of a task, or None.
    """
    if not (link.capacity.best_effort and link.capacity.serving):
        return
    serving, best_effort = [], []
    for name, order in link.orders.items():
        found = find_task(name)
        if found is None:
            continue
        spec = found[1].spec
        if spec.latency_target_ms:
            serving.append(ServingTask(order.figure, spec.latency_target_ms))
        elif spec.best_effort:
            best_effort.append(name)
    percent = choose_cpu_percent(serving, link.throttle_percent)
    if percent != link.throttle_percent:
        link.throttle_percent = percent
        for name in best_effort:
            start_in_background(link.throttle_task(name, percent))
