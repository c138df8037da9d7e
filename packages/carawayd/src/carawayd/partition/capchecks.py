"""Checks of the caps of client accounts while tasks are placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore.workflows.model import TaskName
from carawayshore.workflows.placement import choose_worker, compute_usage
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from carawayd.partition.capshares import CapShares
    from carawayd.partition.claims import Claims
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.state import StepState, WorkflowState


def _name_task(workflow: WorkflowState, step: StepState, index: int = 0) -> TaskName:
    return TaskName(workflow.identifier, step.occurrence, step.number, index)


def _compute_usage(workflow: WorkflowState, step: StepState) -> Usage:
    return compute_usage(_name_task(workflow, step), step.spec)


class CapChecks:
    """Asks for the caps of the accounts of the steps that are placed.

    Parameters
    ----------
    cap_shares : CapShares or None
        None if nothing is limited.
    claims : Claims
    """

    def __init__(self, cap_shares: CapShares | None, claims: Claims) -> None:
        self._cap_shares = cap_shares
        self._claims = claims

    def begin_plan(self) -> None:
        """Begins to note which tasks wait for a cap."""
        if self._cap_shares is not None:
            self._cap_shares.begin_plan()

    def end_plan(self, *, is_complete: bool) -> None:
        """Ends that; ``is_complete`` tells whether the plan has looked at all steps."""
        if self._cap_shares is not None:
            self._cap_shares.end_plan(is_complete=is_complete)

    def count_startable(self, workflow: WorkflowState, step: StepState, count: int) -> int:
        """Returns how many of ``count`` waiting tasks the cap of their account lets start."""
        if not workflow.account or self._cap_shares is None:
            return count
        requested = _compute_usage(workflow, step).requested
        return self._cap_shares.count_startable(
            workflow.account, requested, count, is_gang=step.spec.gang
        )

    def is_held_back(self, workflow: WorkflowState) -> bool:
        """Returns whether tasks of the account of a workflow wait for its cap."""
        return self._cap_shares is not None and self._cap_shares.is_waiting(workflow.account)

    def note_waiting(
        self,
        workflow: WorkflowState,
        step: StepState,
        count: int,
        capacities: list[WorkerCapacity],
        now: float,
    ) -> None:
        """Notes that tasks wait for the cap of their account, if a worker has room for one of them.

        Without room, a larger share would be of no use, and others could not use it.
        """
        if step.spec.long_running:
            # The room that is kept for the waiting tasks is of use to others meanwhile.
            for index, task in enumerate(step.tasks):
                if task.status == WAITING:
                    self._claims.end(_name_task(workflow, step, index))
        usage = _compute_usage(workflow, step)
        if choose_worker(capacities, step.spec, usage, now) is not None:
            self._cap_shares.note_waiting(
                workflow.account, usage.requested, count, is_gang=step.spec.gang
            )
