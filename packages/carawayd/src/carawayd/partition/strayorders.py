"""Tasks that are recorded as ordered although nothing tracks their runs any more.

Each ordered task has an order at the link to its worker, or waits for the leases of a worker
without a link; one of the two ends its run. A task that has lost both, or whose start order nobody
sends any more, would never be started again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.workerlink import SENDING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from carawayd.partition.workerlink import Order, WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.state import OrderedRun, WorkflowState

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
    orphans : sequence of dict
        Tasks whose runs wait for the leases of a worker without a link, with these workers; the
        copies apart from the others.
    clock : Clock
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        orphans: Sequence[dict[TaskName, str]],
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
            for ordered in workflow.iterate_ordered_runs():
                name, run, worker = ordered
                if any(orphans.get(name) == worker for orphans in self._orphans):
                    continue
                order = self._find_order(ordered)
                if order is not None:
                    if _is_unanswered(order, now):
                        strays.append(StrayOrder(name, run, worker, True))
                    continue
                since = self._since[name, run] = former.get((name, run), now)
                if now - since >= STRAY_SECONDS:
                    strays.append(StrayOrder(name, run, worker, False))
        for stray in strays:
            handle(stray)

    def _find_order(self, ordered: OrderedRun) -> Order | None:
        link = self._links.get(ordered.worker)
        order = link.orders.get(ordered.name) if link is not None else None
        return order if order is not None and order.run == ordered.run else None


def _is_unanswered(order: Order, now: float) -> bool:
    """Returns whether the sending of a start order has ended without an outcome."""
    if order.state != SENDING:
        return False
    if order.may_have_started:
        return now - order.sent_at >= STRAY_SECONDS
    # The link sends no order that it has reported as missing, so one that is late does no harm.
    return now - order.ordered_at >= UNSENT_SECONDS
