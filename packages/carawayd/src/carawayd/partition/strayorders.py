"""Tasks that are recorded as ordered although nothing tracks their runs any more.

Each ordered task has an order at the link to its worker, or waits for the leases of a worker
without a link; one of the two ends its run. A task that has lost both, or whose start order nobody
sends any more, would never be started again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.workerlink import SENDING

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from carawayd.partition.workerlink import Order, WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.state import TaskState, WorkflowState

# Interval at which all ordered tasks are looked through.
CHECK_INTERVAL_SECONDS = 1.0
# Time after which a run that nothing tracks is tracked again, and a start order that was sent
# counts as unanswered. Longer than a call to a worker may take.
STRAY_SECONDS = 3.0
# Time after which a start order that was not sent counts as unanswered. It waits for two appends at
# most, and an owner without an answer of the store for 5 s sends none.
UNSENT_SECONDS = 10.0


class StrayOrder(NamedTuple):
    """Run that was ordered on a worker, and whose outcome is not followed.

    ``is_unanswered`` tells whether its link still waits for the answer to the start order.
    """

    task: TaskName
    run: int
    worker: str
    is_unanswered: bool


class StrayOrders:
    """Finds the runs of one partition that are not tracked.

    Parameters
    ----------
    workflows, links
        Tables of the partition owner, which updates them.
    orphans : container of TaskName
        Tasks that wait for the leases of a worker without a link.
    clock : Clock
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        orphans: Container[TaskName],
        clock: Clock,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._orphans = orphans
        self._clock = clock
        self._checked_at = -CHECK_INTERVAL_SECONDS
        # Time since which each run has not been tracked.
        self._since: dict[tuple[TaskName, int], float] = {}

    def check(self, handle: Callable[[StrayOrder], None]) -> None:
        """Passes each run that has not been tracked for ``STRAY_SECONDS`` to ``handle``."""
        now = self._clock.elapsed().total_seconds()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        former, self._since = self._since, {}
        strays = []
        for workflow in self._workflows.values():
            if workflow.is_terminal:
                continue
            for name, task in workflow.iterate_ordered_tasks():
                if name in self._orphans:
                    continue
                order = self._find_order(name, task)
                if order is not None:
                    if _is_unanswered(order, now):
                        strays.append(StrayOrder(name, task.run, task.worker, True))
                    continue
                since = self._since[name, task.run] = former.get((name, task.run), now)
                if now - since >= STRAY_SECONDS:
                    strays.append(StrayOrder(name, task.run, task.worker, False))
        for stray in strays:
            handle(stray)

    def _find_order(self, name: TaskName, task: TaskState) -> Order | None:
        link = self._links.get(task.worker)
        order = link.orders.get(name) if link is not None else None
        return order if order is not None and order.run == task.run else None


def _is_unanswered(order: Order, now: float) -> bool:
    """Returns whether the sending of a start order has ended without an outcome."""
    if order.state != SENDING:
        return False
    if order.may_have_started:
        return now - order.sent_at >= STRAY_SECONDS
    # The link sends no order that it has reported as missing, so one that is late does no harm.
    return now - order.ordered_at >= UNSENT_SECONDS
