"""Workers reserved for workflows with tasks that are suspected of crashing their workers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from carawayshore.workflows.crashes import (
    MAX_DRAIN_SECONDS,
    MAX_RESERVED_IDLE_SHARE,
    MAX_RESERVED_SHARE,
    needs_isolation,
    needs_reservation,
)
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import DONE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import StepSpec
    from carawayshore.workflows.placement import WorkerCapacity
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

# Time after which a reservation ends if no task of the workflow has been placed there.
UNUSED_RESERVATION_SECONDS = MAX_DRAIN_SECONDS + 1.0


class _Reservation:
    """Worker reserved for one workflow; times are in seconds of the clock."""

    __slots__ = ("capacity", "since")

    def __init__(self, capacity: WorkerCapacity, now: float) -> None:
        self.capacity = capacity
        self.since = now


class Isolation:
    """Restricts suspected workflows to one reserved worker each.

    Parameters
    ----------
    links : dict
        Links of the partition owner, which updates them.
    clock : Clock
    """

    def __init__(self, links: dict[str, WorkerLink], clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._suspects: dict[str, WorkflowState] = {}
        self._reservations: dict[str, _Reservation] = {}

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
            self._end(workflow.identifier)

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

    def _end(self, workflow: str) -> None:
        reservation = self._reservations.pop(workflow, None)
        if reservation is not None:
            reservation.capacity.reserved_for = ""

    def refresh(self) -> None:
        """Ends the reservations that are not needed, and reserves workers of suspected runs."""
        now = self._now()
        for workflow, reservation in list(self._reservations.items()):
            is_needed = any(
                link.capacity is reservation.capacity
                for link in self._iterate_suspected_links(workflow)
            )
            is_new = now - reservation.since < UNUSED_RESERVATION_SECONDS and not any(
                usage.group[0] == workflow for usage in reservation.capacity.usages.values()
            )
            if not (reservation.capacity.usable and (is_needed or is_new)):
                self._end(workflow)
        for workflow in self._suspects.keys() - self._reservations.keys():
            for link in self._iterate_suspected_links(workflow):
                if link.capacity.usable and not link.capacity.reserved_for:
                    self._reserve(workflow, link.capacity)
                    break

    def _iterate_suspected_links(self, workflow: str) -> Iterator[WorkerLink]:
        """Yields the links to the workers of suspected runs that have not proved harmless yet."""
        for name, task in self._suspects[workflow].iterate_ordered_tasks():
            link = self._links.get(task.worker)
            order = link and link.orders.get(name)
            if (
                order
                and needs_isolation(task.losses)
                and needs_reservation(task.losses, self._now() - order.sent_at)
            ):
                yield link

    def _reserve(self, workflow: str, capacity: WorkerCapacity) -> None:
        capacity.reserved_for = workflow
        self._reservations[workflow] = _Reservation(capacity, self._now())

    def select(
        self, workflow: str, step: StepSpec, capacities: list[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns the worker on which tasks of a suspected workflow may start now, if any.

        Parameters
        ----------
        workflow : str
        step : StepSpec
        capacities : list of WorkerCapacity
            Usable workers on which the step may run.
        """
        reservation = self._reservations.get(workflow)
        if reservation is not None and reservation.capacity not in capacities:
            self._end(workflow)
            reservation = None
        if reservation is None:
            chosen = self._choose(workflow, step, capacities)
            if chosen is None:
                return []
            self._reserve(workflow, chosen)
            reservation = self._reservations[workflow]
        capacity = reservation.capacity
        others = _list_other_runs(capacity, workflow)
        if not any(not usage.long_running for usage in others):
            return [capacity]
        orders = self._links[capacity.entry.worker].orders
        all_listed = all(
            order.listed for name, order in orders.items() if name.workflow != workflow
        )
        waited = self._now() - reservation.since
        return [capacity] if all_listed and waited > MAX_DRAIN_SECONDS else []

    def _choose(
        self, workflow: str, step: StepSpec, capacities: list[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Returns the worker with the fewest other runs, None if enough are reserved."""
        candidates = [
            capacity
            for capacity in capacities
            if not capacity.reserved_for
            and capacity.suspect_until <= self._now()
            and capacity.could_fit(step)
        ]
        if not candidates:
            return None

        def rank(capacity: WorkerCapacity) -> tuple[int, int]:
            others = _list_other_runs(capacity, workflow)
            return sum(not usage.long_running for usage in others), len(others)

        chosen = min(candidates, key=rank)
        share = MAX_RESERVED_SHARE if rank(chosen)[0] else MAX_RESERVED_IDLE_SHARE
        reserved = sum(bool(capacity.reserved_for) for capacity in capacities)
        return chosen if reserved < max(1, math.floor(share * len(capacities))) else None


def _list_other_runs(capacity: WorkerCapacity, workflow: str) -> list:
    return [usage for usage in capacity.usages.values() if usage.group[0] != workflow]
