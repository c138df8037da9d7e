"""Moves long-running tasks off workers that leave or are taken out of service.

Load pattern: the workers of a rack announce at once that they leave, or a pool is taken through
upkeep, while the others are full. A task that is stopped at the notice would wait for a place that
its worker's remaining time could have served to find. So the place is reserved first, and the task
stopped second; at the end of the notice it is stopped in any case, since a run that ends with its
worker is known to have ended only once its lease is over.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.claims import IMPOSSIBLE, SECURED
from carawayd.platform.runs import format_task
from carawayshore.workflows.placement import compute_usage, summarize_room

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.claims import Claims
    from carawayd.partition.workerlink import Order, WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.placement import WorkerCapacity
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

logger = logging.getLogger(__name__)

# Time before the end of a notice at which tasks are stopped without a place: the age that the
# notice may have when it is read, and the time that a stop takes.
NOTICE_MARGIN_SECONDS = 1.0
# Time after which the tasks of a cordoned worker are stopped although no other worker gets room
# for them: the room of the service would otherwise keep its upkeep from ever beginning. Longer than
# the cordon for an order without an answer, which ends by itself.
MAX_CORDON_WAIT_SECONDS = 15.0
# Time after which a task that was not looked at again is no longer on a cordoned worker.
RECHECK_SECONDS = 1.0


class _Shortage(NamedTuple):
    """Time since which no worker gets room for a task on a cordoned worker, and the last look."""

    since: float
    checked_at: float


class Departures:
    """Evacuates the departing workers of one partition.

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
    may_place : callable
        Returns whether a task that is stopped could be started again at once.
    clock : Clock
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
        may_stop: Callable[[StepState, TaskName], bool],
        list_candidates: Callable[[WorkflowState, StepState, TaskName], list[WorkerCapacity]],
        claims: Claims,
        may_place: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._links = links
        self._find_task = find_task
        self._may_stop = may_stop
        self._list_candidates = list_candidates
        self._claims = claims
        self._may_place = may_place
        self._clock = clock
        self._shortages: dict[TaskName, _Shortage] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def evacuate(self, link: WorkerLink, epoch: int) -> None:
        """Stops the long-running tasks of a departing worker that have a place elsewhere.

        On a cordoned worker, no task is stopped while as many tasks of its step are interrupted as
        the step allows. A worker that leaves ends them all anyway.
        """
        leaving = link.entry.state != "ready"
        for name, order in list(link.orders.items()):
            found = self._find_task(name)
            if found is None or not found[1].spec.long_running or order.stopping:
                continue
            workflow, step, _ = found
            if not leaving and not step.spec.most_away:
                continue
            candidates = self._list_candidates(workflow, step, name)
            if not leaving and not self._may_stop(step, name):
                # Its room comes free while the tasks before it move.
                self._claims.keep(name, step.spec, candidates)
                continue
            outcome = self._claims.secure(name, step.spec, candidates)
            if (outcome == SECURED and self._may_place()) or self._is_overdue(link, name, outcome):
                self._stop(link, name, order, step, outcome, epoch)

    def _is_overdue(self, link: WorkerLink, name: TaskName, outcome: str) -> bool:
        """Returns whether a task without a place has to be stopped now."""
        now = self._now()
        if link.entry.state != "ready":
            return now >= link.leaves_at - NOTICE_MARGIN_SECONDS
        for other, item in list(self._shortages.items()):
            if now - item.checked_at > RECHECK_SECONDS:
                del self._shortages[other]
        shortage = self._shortages.pop(name, _Shortage(now, now))
        if outcome != IMPOSSIBLE:
            return False
        self._shortages[name] = shortage._replace(checked_at=now)
        return now - shortage.since > MAX_CORDON_WAIT_SECONDS

    def _stop(
        self,
        link: WorkerLink,
        name: TaskName,
        order: Order,
        step: StepState,
        outcome: str,
        epoch: int,
    ) -> None:
        self._shortages.pop(name, None)
        capacities = [
            other.capacity
            for other in self._links.values()
            if other.entry.service == link.entry.service
        ]
        destination = self._claims.find(name)
        logger.info(
            "stopping task on a departing worker",
            extra={
                "fields": {
                    "task": format_task(name),
                    "place": outcome,
                    "worker": link.worker,
                    "leaving": link.entry.state != "ready",
                    "drain_seconds": link.entry.drain_seconds,
                    "seconds_there": round(self._now() - order.ordered_at, 1),
                    "destination": destination.entry.worker if destination else "",
                    "room": summarize_room(capacities, compute_usage(name, step.spec)),
                    "epoch": epoch,
                }
            },
        )
        link.stop_task(name)
