"""Workers reserved for tasks that are suspected of crashing their workers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayd.partition.deferrals import get_workflow
from carawayshore.workflows.crashes import (
    MAX_DRAIN_SECONDS,
    MAX_RESERVED_IDLE_SHARE,
    MAX_RESERVED_SHARE,
    needs_isolation,
    needs_reservation,
)
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.placement import find_obstacle
from carawayshore.workflows.state import DONE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayd.partition.deferrals import Deferrals, Subject
    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import StepSpec
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

# Time after which a reservation ends if no task has been placed there.
UNUSED_RESERVATION_SECONDS = MAX_DRAIN_SECONDS + 1.0


class _Reservation(NamedTuple):
    """Reserved worker, and the time of the reservation in seconds of the clock."""

    capacity: WorkerCapacity
    since: float


class Isolation:
    """Restricts suspected tasks to reserved workers.

    Parameters
    ----------
    links : dict
        Links of the partition owner, which updates them.
    deferrals : Deferrals
        Since when each subject has waited.
    clock : Clock
    """

    def __init__(self, links: dict[str, WorkerLink], deferrals: Deferrals, clock: Clock) -> None:
        self._links = links
        self._deferrals = deferrals
        self._clock = clock
        self._suspects: dict[str, WorkflowState] = {}
        self._reservations: dict[Subject, _Reservation] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def __contains__(self, workflow: str) -> bool:
        return workflow in self._suspects

    def __bool__(self) -> bool:
        return bool(self._suspects)

    def update(self, workflow: WorkflowState) -> None:
        """Adds or removes a workflow, after a change of the losses of its tasks or its end."""
        if not workflow.is_terminal and any(
            needs_isolation(task.losses)
            for step in workflow.steps.values()
            for task in step.tasks
            if task.losses and task.status != DONE
        ):
            self._suspects[workflow.identifier] = workflow
        elif self._suspects.pop(workflow.identifier, None) is not None:
            self._deferrals.end(workflow.identifier)
            for subject in list(self._reservations):
                if get_workflow(subject) == workflow.identifier:
                    self._end(subject)

    def list_suspects(self) -> list[tuple[WorkflowState, StepState, TaskName, TaskState]]:
        """Returns the tasks of suspected workflows under which workers were lost."""
        return [
            (
                workflow,
                step,
                TaskName(workflow.identifier, step.occurrence, step.number, index),
                task,
            )
            for workflow in self._suspects.values()
            for step in workflow.steps.values()
            for index, task in enumerate(step.tasks)
            if task.losses
        ]

    def _end(self, subject: Subject) -> None:
        reservation = self._reservations.pop(subject, None)
        if reservation is not None:
            reservation.capacity.reserved_for = ""

    def refresh(self) -> None:
        """Ends the reservations that are not needed, and reserves the workers of suspected runs."""
        now = self._now()
        unproved = dict(self._iterate_unproved_runs())
        for subject, (capacity, since) in list(self._reservations.items()):
            link = unproved.get(subject)
            is_needed = link is not None and link.capacity is capacity
            is_new = now - since < UNUSED_RESERVATION_SECONDS and not _has_run(capacity, subject)
            if not (capacity.usable and (is_needed or is_new)):
                self._end(subject)
        for subject, link in unproved.items():
            if (
                subject not in self._reservations
                and link.capacity.usable
                and not link.capacity.reserved_for
            ):
                self._reserve(subject, link.capacity)

    def _iterate_unproved_runs(self) -> Iterator[tuple[Subject, WorkerLink]]:
        """Yields the links to the workers of suspected runs that have not proved harmless yet.

        Runs of an earlier owner are left out: how old they are is not known, and owners that follow
        each other would reserve their workers without end.
        """
        for workflow in self._suspects.values():
            for name, task in workflow.iterate_ordered_tasks():
                link = self._links.get(task.worker)
                order = link and link.orders.get(name)
                if (
                    order
                    and not order.is_adopted
                    and needs_isolation(task.losses)
                    and needs_reservation(task.losses, self._now() - order.sent_at)
                ):
                    step = workflow.steps[name.occurrence, name.step].spec
                    yield (name if step.long_running else workflow.identifier), link

    def _reserve(self, subject: Subject, capacity: WorkerCapacity) -> None:
        capacity.reserved_for = get_workflow(subject)
        self._reservations[subject] = _Reservation(capacity, self._now())

    def select(
        self, subject: Subject, step: StepSpec, usage: Usage, capacities: list[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns the workers on which a suspected task may start now.

        That is its reserved worker, once the short runs of other workflows there have ended. A task
        that has waited too long may start anywhere; a crash is counted all the same.

        Parameters
        ----------
        subject : str or TaskName
        step : StepSpec
        usage : Usage
            Resources of the task.
        capacities : list of WorkerCapacity
            Usable workers on which the step may run.
        """
        self._deferrals.begin(subject)
        reservation = self._reservations.get(subject)
        if reservation is not None and (
            reservation.capacity not in capacities
            or not reservation.capacity.fits_beside_long_running(usage)
        ):
            self._end(subject)
            reservation = None
        if reservation is None:
            chosen = self._choose(subject, step, usage, capacities)
            if chosen is None:
                return self._select_late(subject, step, usage, capacities)
            self._reserve(subject, chosen)
            reservation = self._reservations[subject]
        if self._is_drained(subject, reservation):
            capacity = reservation.capacity
            if capacity.fits(usage) or not self._deferrals.is_over(subject, is_isolated=True):
                return [capacity]
        return self._select_late(subject, step, usage, capacities)

    def _select_late(
        self, subject: Subject, step: StepSpec, usage: Usage, capacities: list[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns the workers for a task without a reserved one: none until it has waited too long.

        Short tasks then start on a worker without other workflows if one has room, since a crash
        there costs nothing else.
        """
        if not self._deferrals.is_over(subject, is_isolated=True):
            return []
        if isinstance(subject, TaskName):
            return capacities
        now = self._now()
        alone = [
            capacity
            for capacity in capacities
            if not find_obstacle(capacity, step, usage, now)
            and not capacity.claims
            and not _list_other_runs(capacity, subject)
        ]
        return alone or capacities

    def _is_drained(self, subject: Subject, reservation: _Reservation) -> bool:
        """Returns whether other short runs on a reserved worker have ended or took too long."""
        capacity, since = reservation
        workflow = get_workflow(subject)
        if all(usage.long_running for usage in _list_other_runs(capacity, workflow)):
            return True
        orders = self._links[capacity.entry.worker].orders
        are_listed = all(
            order.listed for name, order in orders.items() if name.workflow != workflow
        )
        return are_listed and self._now() - since > MAX_DRAIN_SECONDS

    def describe(self, subject: Subject, step: StepSpec) -> dict[str, Any] | None:
        """Describes for the log what a suspected task waits for, None if it waits for nothing."""
        waited = self._deferrals.measure(subject)
        if not waited or get_workflow(subject) not in self:
            return None
        reservation = self._reservations.get(subject)
        if reservation is None:
            return {"waited_seconds": round(waited, 1)}
        capacity = reservation.capacity
        return {
            "waited_seconds": round(waited, 1),
            "reserved": capacity.entry.worker,
            "reserved_seconds": round(self._now() - reservation.since, 1),
            "needed_millicores": step.millicores,
            "free_millicores": capacity.free_millicores,
            "runs": len(capacity.usages),
        }

    def _choose(
        self, subject: Subject, step: StepSpec, usage: Usage, capacities: list[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Returns the worker with the fewest other runs, None if enough are reserved.

        Only workers on which the task gets room once the short runs there have ended.
        """
        workflow = get_workflow(subject)
        candidates = [
            capacity
            for capacity in capacities
            if not capacity.reserved_for
            and not capacity.claims.keys() - {subject}
            and capacity.suspect_until <= self._now()
            and capacity.could_fit(step)
            and capacity.fits_beside_long_running(usage)
            and not _has_enough_tasks(capacity, subject, step)
        ]
        if not candidates:
            return None

        def rank(capacity: WorkerCapacity) -> tuple[int, bool, int]:
            others = _list_other_runs(capacity, workflow)
            short = sum(not other.long_running for other in others)
            return short, not capacity.fits(usage), len(others)

        chosen = min(candidates, key=rank)
        share = MAX_RESERVED_SHARE if rank(chosen)[0] else MAX_RESERVED_IDLE_SHARE
        reserved = sum(bool(capacity.reserved_for) for capacity in capacities)
        return chosen if reserved < max(1, math.floor(share * len(capacities))) else None


def _list_other_runs(capacity: WorkerCapacity, workflow: str) -> list[Usage]:
    return [usage for usage in capacity.usages.values() if usage.group[0] != workflow]


def _has_run(capacity: WorkerCapacity, subject: Subject) -> bool:
    if isinstance(subject, TaskName):
        return subject in capacity.usages
    return any(usage.group[0] == subject for usage in capacity.usages.values())


def _has_enough_tasks(capacity: WorkerCapacity, subject: Subject, step: StepSpec) -> bool:
    """Returns whether the limit of the step excludes a further long-running task."""
    return (
        isinstance(subject, TaskName)
        and step.most_per_worker > 0
        and capacity.groups.get(subject[:3], 0) >= step.most_per_worker
    )
