"""Which workers come into question for the tasks of a step, and which steps are alike in that."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.state import ORDERED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayshore.workflows.model import StepSpec, Workflow
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.state import StepState


class Requirement(NamedTuple):
    """What decides whether a worker can take a short task without limits of its own.

    Reserved room is open to tasks of a higher priority than that of the reservation.
    """

    service: str
    priority: int
    usage: tuple[int, int, int, bool, bool]
    label: str


def build_requirement(workflow: Workflow, spec: StepSpec, usage: Usage) -> Requirement | None:
    """Returns the requirement of a step, None if its tasks have limits of their own."""
    if spec.long_running or spec.gang or spec.same_rack or spec.most_per_worker:
        return None
    amounts = (usage.millicores, usage.memory_mb, usage.accelerators)
    fields = (*amounts, usage.serving, usage.best_effort)
    return Requirement(workflow.service, workflow.priority, fields, spec.label)


def find_offered_millicores(capacities: Iterable[WorkerCapacity]) -> int:
    """Returns the most processors that a worker offers to a short task, with pending claims."""
    return max(
        (capacity.free_millicores + capacity.claimed_millicores for capacity in capacities),
        default=0,
    )


def exclude(capacities: list[WorkerCapacity], excluded: list[str]) -> list[WorkerCapacity]:
    """Returns the workers that are not among the excluded ones."""
    if not excluded:
        return capacities
    return [capacity for capacity in capacities if capacity.entry.worker not in excluded]


def select_rack(step: StepState, capacities: list[WorkerCapacity]) -> list[WorkerCapacity]:
    """Returns the workers of one rack: that of running tasks, else the one with most room."""
    used = {task.worker for task in step.tasks if task.status == ORDERED}
    racks = {capacity.entry.rack for capacity in capacities if capacity.entry.worker in used}
    if not racks and capacities:
        free: dict[str, int] = {}
        for capacity in capacities:
            free[capacity.entry.rack] = free.get(capacity.entry.rack, 0) + capacity.free_millicores
        racks = {max(free, key=lambda rack: free[rack])}
    return [capacity for capacity in capacities if capacity.entry.rack in racks]
