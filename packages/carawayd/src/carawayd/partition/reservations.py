"""Reservations for the large short tasks of a partition, from one plan to the next.

A reservation is a claim of room that is in force while a plan is made, from the turn of its step
on. So work that is more urgent, and long-running tasks, are placed as if there were none. Between
plans only its worker and its times are remembered.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayd.partition.candidates import exclude
from carawayd.platform.runs import format_task
from carawayshore.workflows.lookahead import (
    MAX_START_SECONDS,
    begin_span,
    choose_start,
    estimate_start,
    find_smallest,
    is_large,
    is_overdue,
    is_very_late,
    may_backfill,
    may_delay,
    may_reserve,
    measure_backlog_seconds,
)
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.placement import HELD, compute_usage, find_obstacle
from carawayshore.workflows.room import may_claim
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayd.partition.claims import Claims
    from carawayshore.workflows.amounts import Amounts
    from carawayshore.workflows.lookahead import Span, Start
    from carawayshore.workflows.model import StepSpec, Workflow
    from carawayshore.workflows.ordering import Rank
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.runtimes import RuntimeModel
    from carawayshore.workflows.state import StepState

StepKey = tuple[str, int, int]

# Maximum number of times that one plan looks for the worker of a reservation, each time at all
# workers of the service.
MAX_CHOICES_PER_PLAN = 4


class WaitingStep(NamedTuple):
    """A step whose turn has come, with its rank."""

    rank: Rank
    key: StepKey
    workflow: Workflow
    step: StepState


class _Reservation(NamedTuple):
    """Reservation that is in force in the present plan."""

    name: TaskName
    rank: Rank
    start: Start


class _Memory(NamedTuple):
    """What is remembered of a step's reservation between plans."""

    span: Span
    capacity: WorkerCapacity
    given_up: int = 0


class Reservations:
    """Reservations of one partition, at most one of each service at a time.

    Parameters
    ----------
    claims : Claims
        Estimates when short runs end.
    runtimes : RuntimeModel
    is_enabled : bool
    """

    def __init__(self, claims: Claims, runtimes: RuntimeModel, *, is_enabled: bool = True) -> None:
        self._claims = claims
        self._runtimes = runtimes
        self._is_enabled = is_enabled
        self._now = 0.0
        self._memories: dict[StepKey, _Memory] = {}
        self._in_force: dict[str, _Reservation] = {}
        # Those of the last plan, for the log.
        self._last: dict[str, _Reservation] = {}
        self._waiting: list[WaitingStep] = []
        self._smallest: dict[str, Amounts] = {}
        # Seconds that the workers of each service need for what waits.
        self._backlogs: dict[str, float] = {}
        # For each service the step that is late by so much that others have to wait for it.
        self._overdue: dict[str, WaitingStep] = {}
        self._choices_left = 0
        # Step whose turn it is.
        self._current: WaitingStep | None = None

    @contextmanager
    def plan(self, waiting: list[WaitingStep], now: float) -> Iterator[None]:
        """Notes the waiting steps of a plan; ends its reservations when it has been made."""
        self._release()
        self._now = now
        self._smallest, self._overdue, self._backlogs, self._waiting = {}, {}, {}, []
        self._choices_left = MAX_CHOICES_PER_PLAN
        if self._memories:
            keys = {item.key for item in waiting}
            self._memories = {key: item for key, item in self._memories.items() if key in keys}
        if self._is_enabled:
            self._note_waiting(waiting)
        try:
            yield
        finally:
            self._last = dict(self._in_force)
            self._release()

    def _note_waiting(self, waiting: list[WaitingStep]) -> None:
        waiting = [item for item in waiting if may_reserve(item.workflow, item.step.spec)]
        self._waiting = waiting
        steps: dict[str, list[StepSpec]] = {}
        for item in waiting:
            steps.setdefault(item.workflow.service, []).append(item.step.spec)
        self._smallest = {service: find_smallest(specs) for service, specs in steps.items()}
        for item in waiting:
            service = item.workflow.service
            if (
                service not in self._overdue
                and is_overdue(item.rank, self._now)
                and is_large(item.step.spec, self._smallest[service])
            ):
                self._overdue[service] = item

    def _release(self) -> None:
        for reservation in self._in_force.values():
            reservation.start.capacity.release_claim(reservation.name)
        self._in_force = {}

    def begin_step(
        self,
        item: WaitingStep,
        capacities: list[WorkerCapacity],
        list_excluded: Callable[[TaskName], list[str]],
    ) -> None:
        """Notes whose turn it is, and makes the reservation of an overdue step before it.

        At the turn of the overdue step itself, its reservation ends: it may use the room.
        """
        self._current = item
        service = item.workflow.service
        overdue = self._overdue.get(service)
        if overdue is None or overdue.rank.priority > item.rank.priority:
            return
        if overdue.key == item.key:
            reservation = self._in_force.pop(service, None)
            if reservation is not None:
                reservation.start.capacity.release_claim(reservation.name)
            del self._overdue[service]
        else:
            self.reserve(overdue, capacities, list_excluded)

    def reserve(
        self,
        item: WaitingStep,
        capacities: list[WorkerCapacity],
        list_excluded: Callable[[TaskName], list[str]],
    ) -> None:
        """Reserves room for a waiting task of a step, if it is large beside others.

        Parameters
        ----------
        item : WaitingStep
        capacities : list of WorkerCapacity
            Usable workers of the service.
        list_excluded : callable
            Returns the workers that have rejected a task a moment ago.
        """
        service, step = item.workflow.service, item.step.spec
        if (
            service in self._in_force
            or service not in self._smallest
            or not may_reserve(item.workflow, step)
            or not is_large(step, self._smallest[service])
        ):
            return
        tasks = item.step.tasks
        # Tasks are placed in order, so the last one has not been placed in this plan.
        indexes = range(len(tasks) - 1, -1, -1)
        index = next((index for index in indexes if tasks[index].status == WAITING), None)
        if index is not None:
            name = TaskName(*item.key, index)
            self._reserve(item, name, exclude(capacities, list_excluded(name)))

    def _reserve(self, item: WaitingStep, name: TaskName, capacities: list[WorkerCapacity]) -> None:
        step, now, usage = item.step.spec, self._now, compute_usage(name, item.step.spec)
        memory = self._memories.get(item.key)
        if memory is not None and memory.span.give_up_at <= now and not memory.span.is_over(now):
            return
        limit = math.inf if is_very_late(item.rank, now) else MAX_START_SECONDS
        start = self._find_start(memory, step, usage, capacities, limit)
        if start is None:
            return
        backlog_seconds = self._measure_backlog_seconds(item.workflow.service, capacities)
        allowance_seconds = item.workflow.allowance_ms / 1000
        if not may_delay(item.rank, start, now, backlog_seconds, allowance_seconds):
            return
        if memory is None:
            memory = _Memory(begin_span(start, now), start.capacity)
        elif memory.span.is_over(now):
            given_up = memory.given_up + 1
            memory = _Memory(begin_span(start, now, given_up), start.capacity, given_up)
        self._memories[item.key] = memory._replace(capacity=start.capacity)
        start.capacity.claim(name, usage)
        self._in_force[item.workflow.service] = _Reservation(name, item.rank, start)

    def _measure_backlog_seconds(self, service: str, capacities: list[WorkerCapacity]) -> float:
        """Returns how long the workers need for the waiting work, measured once per plan."""
        if service not in self._backlogs:
            work = sum(
                sum(task.status == WAITING for task in item.step.tasks)
                * item.step.spec.millicores
                * self._runtimes.estimate_task_seconds(item.workflow.queue, item.step.spec)
                for item in self._waiting
                if item.workflow.service == service
            )
            self._backlogs[service] = measure_backlog_seconds(work, capacities)
        return self._backlogs[service]

    def _find_start(
        self,
        memory: _Memory | None,
        step: StepSpec,
        usage: Usage,
        capacities: list[WorkerCapacity],
        limit: float,
    ) -> Start | None:
        """Returns the expected start on the worker of the last plan, else on the best one."""
        list_short_runs = self._claims.list_short_runs
        if memory is not None and memory.span.give_up_at > self._now:
            # The room that has come free on its worker would be lost on another one.
            capacity = memory.capacity
            if (
                capacity in capacities
                and not capacity.claims
                and may_claim(capacity, step, usage, self._now)
            ):
                start = estimate_start(capacity, usage, list_short_runs(capacity))
                if start is not None and start.seconds <= limit:
                    return start
        if self._choices_left <= 0:
            return None
        self._choices_left -= 1
        return choose_start(capacities, step, usage, self._now, list_short_runs, max_seconds=limit)

    def find_backfill(
        self, step: StepState, usage: Usage, seconds: float, candidates: list[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Returns the worker with reserved room if a short task may use some of it."""
        item = self._current
        if not self._in_force or item is None or item.step is not step:
            return None
        service = item.workflow.service
        reservation = self._in_force.get(service)
        if reservation is None:
            return None
        start = reservation.start
        capacity = start.capacity
        if (
            capacity not in candidates
            or capacity.claims.keys() != {reservation.name}
            or find_obstacle(capacity, step.spec, usage, self._now) != HELD
            or capacity.suspect_until > self._now
            or capacity.reserved_for
        ):
            return None
        if not may_backfill(start, reservation.rank, usage, seconds, item.rank, self._now):
            return None
        if seconds > start.seconds:
            start = start._replace(spare=start.spare.add(usage, -1))
            self._in_force[service] = reservation._replace(start=start)
        return capacity

    def describe(self, service: str, name: TaskName) -> dict[str, Any]:
        """Describes for the log the reservation that a task has or waits for, if there is one."""
        reservation = self._last.get(service)
        if reservation is None:
            return {}
        start = reservation.start
        return {
            "reservation": {
                "task": format_task(reservation.name),
                "own": reservation.name[:3] == name[:3],
                "worker": start.capacity.entry.worker,
                "starts_in_seconds": round(start.seconds, 2),
            }
        }
