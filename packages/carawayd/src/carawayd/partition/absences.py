"""For how long nothing of a workflow has been at work.

Load pattern: the worker of a job is lost, the lease of its run has to end, the next placement is
refused, and a precaution keeps the job from the next worker. Each of these waits has a limit, and
placements lie between them, so only the time since a run was last known to be at work bounds their
sum.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from carawayd.partition.workerlink import STARTED

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.state import WorkflowState

# Interval at which the runs of all workers are looked through, the interval between idle plans.
CHECK_INTERVAL_SECONDS = 0.25


class Absences:
    """Times at which the workflows of one partition were last known to be at work.

    A workflow is at work while a run of it is known as started on a responsive worker.

    Parameters
    ----------
    workflows, links
        Tables of the partition owner, which updates them.
    clock : Clock
    """

    def __init__(
        self, workflows: dict[str, WorkflowState], links: dict[str, WorkerLink], clock: Clock
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._clock = clock
        self._checked_at = -CHECK_INTERVAL_SECONDS
        self._since: dict[str, float] = {}
        self._due: Collection[str] = ()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def update(self) -> None:
        """Notes which workflows are at work, and forgets those that have ended."""
        now = self._now()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        for link in self._links.values():
            if link.is_unresponsive:
                continue
            for name, order in link.orders.items():
                if order.state == STARTED:
                    self._since[name.workflow] = now
        for identifier in list(self._since):
            workflow = self._workflows.get(identifier)
            if workflow is None or workflow.is_terminal or not self._has_turn(workflow):
                del self._since[identifier]

    def _has_turn(self, workflow: WorkflowState) -> bool:
        """Returns whether a task waits whose turn has come, or one is ordered.

        A scheduled workflow has neither between two occurrences.
        """
        return workflow.identifier in self._due or self._has_ordered_task(workflow.identifier)

    def note_due(self, workflows: Collection[str]) -> None:
        """Notes the workflows with waiting tasks whose turn has come."""
        self._due = workflows

    def begin(self, workflow: str) -> None:
        """Starts measuring for a workflow that has not been at work.

        Before its first placement, and before the first precaution, it waits for its turn.
        """
        self._since.setdefault(workflow, self._now())

    def restore(self, workflow: WorkflowState) -> None:
        """Notes a workflow of an earlier owner, which alone knew when it was at work.

        It counts as having waited for long once none of its runs may be at work, so that the time
        does not begin anew with each of several owners.
        """
        if any(task.run for step in workflow.steps.values() for task in step.tasks):
            self._since[workflow.identifier] = -math.inf

    def measure(self, workflow: str) -> float:
        """Returns for how long nothing of a workflow has been at work in seconds."""
        since = self._since.get(workflow)
        if since is None:
            return 0.0
        if since == -math.inf and self._has_ordered_task(workflow):
            return 0.0
        return self._now() - since

    def _has_ordered_task(self, workflow: str) -> bool:
        state = self._workflows.get(workflow)
        return state is not None and next(iter(state.iterate_ordered_tasks()), None) is not None
