"""Moves long-running tasks off workers whose capacity has shrunk below what runs there.

Load pattern: many workers of a service shrink within one reading of their entries, while little
room is left elsewhere. Each of them would stop a task for the same room, and all but one of these
tasks would stay without a worker, so a service moves one task at a time.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from carawayd.partition.claims import SECURED
from carawayd.platform.runs import format_task
from carawayshore.workflows.placement import rank_relief
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.claims import Claims
    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.placement import WorkerCapacity
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

logger = logging.getLogger(__name__)


class Relief:
    """Stops tasks of overcommitted workers, so that they start again elsewhere.

    Parameters
    ----------
    links : dict
        Links of the partition owner, which updates them.
    find_task : callable
        Returns the workflow, the step and the state of a task, or None.
    may_stop : callable
        Returns whether the limit of the step allows a further interrupted task.
    list_candidates : callable
        Returns the workers on which a task of a step may be placed.
    claims : Claims
        Reserves the place of a task that is stopped.
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
        may_stop: Callable[[StepState, TaskName], bool],
        list_candidates: Callable[[WorkflowState, StepState, TaskName], list[WorkerCapacity]],
        claims: Claims,
    ) -> None:
        self._links = links
        self._find_task = find_task
        self._may_stop = may_stop
        self._list_candidates = list_candidates
        self._claims = claims
        # Task that was stopped last, by service.
        self._moved: dict[str, TaskName] = {}

    def relieve(self, link: WorkerLink, epoch: int) -> None:
        """Stops a long-running task of an overcommitted worker.

        One at a time, within the limits of the steps, and only if it fits elsewhere. Short tasks
        end by themselves.
        """
        service = link.entry.service
        if self._is_moving(service) or any(order.stopping for order in link.orders.values()):
            return
        for name in rank_relief(link.capacity):
            found = self._find_task(name)
            if found is None or name not in link.orders or not self._may_stop(found[1], name):
                continue
            workflow, step, _ = found
            others = [
                capacity
                for capacity in self._list_candidates(workflow, step, name)
                if capacity is not link.capacity
            ]
            if self._claims.secure(name, step.spec, others, wait=False) != SECURED:
                continue
            logger.info(
                "stopping task on a worker whose capacity has shrunk",
                extra={
                    "fields": {
                        "task": format_task(name),
                        "epoch": epoch,
                        "worker": link.worker,
                        "millicores": [link.capacity.millicores, link.entry.millicores],
                        "memory_mb": [link.capacity.memory_mb, link.entry.memory_mb],
                    }
                },
            )
            self._moved[service] = name
            link.stop_task(name)
            return

    def _is_moving(self, service: str) -> bool:
        """Returns whether the task that was stopped last has not been placed again."""
        name = self._moved.get(service)
        found = name and self._find_task(name)
        if not found or found[0].is_terminal:
            return False
        task = found[2]
        link = self._links.get(task.worker)
        order = link and link.orders.get(name)
        return task.status == WAITING or bool(order and order.stopping)
