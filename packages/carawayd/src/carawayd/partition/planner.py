"""Chooses workers for the waiting tasks of a partition, the most urgent tasks first.

Load pattern: at the peak of a burst hundreds of steps wait, most of them alike, while no worker has
room. Long-running tasks wait among them after the loss of their workers, some suspected of it.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayd.partition.candidates import (
    Requirement,
    build_requirement,
    exclude,
    find_offered_millicores,
    select_rack,
)
from carawayd.partition.capchecks import CapChecks
from carawayd.partition.rejections import Rejections
from carawayd.partition.reservations import Reservations, WaitingStep
from carawayd.supervision import unexpected_errors
from carawayshore.workflows.crashes import needs_isolation
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.ordering import Candidate, rank_candidate
from carawayshore.workflows.placement import (
    choose_worker,
    compute_usage,
    count_slots,
)
from carawayshore.workflows.room import count_claimable, may_use_claim
from carawayshore.workflows.state import ORDERED, WAITING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayd.partition.advisor import Advisor
    from carawayd.partition.capshares import CapShares
    from carawayd.partition.claims import Claims
    from carawayd.partition.deferrals import Deferrals, Subject
    from carawayd.partition.isolation import Isolation
    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock, SteadyTimeOfDay
    from carawayshore.workflows.model import StepSpec
    from carawayshore.workflows.ordering import Rank
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.runtimes import RuntimeModel
    from carawayshore.workflows.state import StepState, WorkflowState

logger = logging.getLogger(__name__)

# Time for which a step is left out of the plans after an unexpected error while it was placed.
ERROR_DELAY_SECONDS = 1.0
# What keeps a task from every worker on which it could start: precautions, or claims that yield to
# a workflow of which nothing is at work.
PRECAUTION, CLAIM = "precaution", "claim"

StepKey = tuple[str, int, int]


class StepPlacement(NamedTuple):
    """Workers chosen for tasks of one step, whose room is reserved.

    Parameters
    ----------
    workflow : WorkflowState
    step : StepState
    chosen : list of (WorkerCapacity, TaskName)
    gang_run : int
        Run number that the members of a gang share, 0 for other tasks.
    tickets : dict of str to str
        Placement tickets by worker.
    still_waiting : int
        Number of tasks of the step that were not placed.
    """

    workflow: WorkflowState
    step: StepState
    chosen: list[tuple[WorkerCapacity, TaskName]]
    gang_run: int
    tickets: dict[str, str]
    still_waiting: int


class Planner:
    """Places waiting tasks; knows nothing of records and orders.

    Parameters
    ----------
    workflows, links, open_steps
        Tables of the partition owner, which updates them. Steps without waiting tasks are removed
        from ``open_steps``.
    deadlines : dict
        Time by which each workflow should be done, in seconds of the clock.
    runtimes : RuntimeModel
    isolation : Isolation
    deferrals : Deferrals
    claims : Claims
    advisor : Advisor
    clock : Clock
    time_of_day : SteadyTimeOfDay
        For scheduled start times only.
    cap_shares : CapShares, optional
        Tells how many tasks of a client account may start, None for as many as there is room for.
    looks_ahead : bool
        Whether room is reserved for large short tasks that wait.
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        open_steps: dict[StepKey, StepState],
        deadlines: dict[str, float],
        *,
        runtimes: RuntimeModel,
        isolation: Isolation,
        deferrals: Deferrals,
        claims: Claims,
        advisor: Advisor,
        clock: Clock,
        time_of_day: SteadyTimeOfDay,
        cap_shares: CapShares | None = None,
        looks_ahead: bool = True,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._open_steps = open_steps
        self._deadlines = deadlines
        self._runtimes = runtimes
        self._isolation = isolation
        self._deferrals = deferrals
        self._claims = claims
        self._advisor = advisor
        self._caps = CapChecks(cap_shares, claims)
        self._clock = clock
        self._time_of_day = time_of_day
        self.rejections = Rejections(clock)
        self._reservations = Reservations(claims, runtimes, is_enabled=looks_ahead)
        # Most processors that a worker of each service offers to a short task, in the present plan.
        self._offered: dict[str, int] = {}
        # Requirements for which the present plan has found no worker, and what keeps the tasks from
        # one, empty for a lack of room. Room only shrinks while a plan is made.
        self._unplaceable: dict[Requirement, str] = {}
        # Room that has been reserved for the step that is being placed.
        self._reserved: list[tuple[WorkerCapacity, TaskName]] = []
        # Time from which each step that caused an unexpected error is looked at again.
        self._failed_until: dict[StepKey, float] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def _unix_ms(self) -> int:
        return int(self._time_of_day.now().timestamp() * 1000)

    def is_due(self, workflow: WorkflowState, step: StepState) -> bool:
        """Returns whether the start time of a step has come."""
        due_ms = workflow.spec.due_ms(step.occurrence)
        return not due_ms or self._unix_ms() >= due_ms

    def place_tasks(self, limit: int) -> Iterator[StepPlacement]:
        """Yields the placements of the waiting tasks, the most urgent first.

        Parameters
        ----------
        limit : int
            Number of tasks after which no further step is placed. A gang is placed as a whole.
        """
        now = self._now()
        self._unplaceable.clear()
        self.rejections.expire()
        self._deferrals.expire()
        if self._isolation:
            self._isolation.refresh()
        self.end_needless_claims()
        self._caps.begin_plan()
        ranked = self._rank_due_steps(now)
        self._offered.clear()
        # A reservation could keep the workers busy on which suspected tasks are to run alone.
        waiting = [] if self._isolation else self._list_waiting(ranked)
        with self._reservations.plan(waiting, now):
            yield from self._place_ranked(ranked, now, limit)

    def _place_ranked(
        self, ranked: list[tuple[Rank, StepKey]], now: float, limit: int
    ) -> Iterator[StepPlacement]:
        capacities_by_service: dict[str, list[WorkerCapacity]] = {}
        list_excluded = self.rejections.list_excluded
        for rank, key in ranked:
            if limit <= 0:
                self._caps.end_plan(is_complete=False)
                return
            workflow, step = self._workflows[key[0]], self._open_steps[key]
            service = workflow.spec.service
            capacities = capacities_by_service.get(service)
            if capacities is None:
                capacities = capacities_by_service[service] = self._list_usable(service)
            self._reserved.clear()
            try:
                item = WaitingStep(rank, key, workflow.spec, step)
                self._reservations.begin_step(item, capacities, list_excluded)
                placement = self._place_step(workflow, step, capacities, now, limit)
                is_waiting = placement is None or placement.still_waiting
                if is_waiting and not self._caps.is_held_back(workflow):
                    self._reservations.reserve(item, capacities, list_excluded)
            except Exception:
                for capacity, name in self._reserved:
                    capacity.release(name)
                self._offered.clear()
                self._delay_step(key, now)
                continue
            if placement is not None:
                self._offered.clear()
                limit -= len(placement.chosen)
                yield placement
        self._caps.end_plan(is_complete=True)

    def _rank_due_steps(self, now: float) -> list[tuple[Rank, StepKey]]:
        """Returns the open steps whose time has come, the most urgent first."""
        ranked = []
        for key, step in self._open_steps.items():
            if now < self._failed_until.get(key, now):
                continue
            try:
                workflow = self._workflows[key[0]]
                if self.is_due(workflow, step):
                    ranked.append((self._rank(workflow, step, now), key))
            except Exception:
                self._delay_step(key, now)
        ranked.sort()
        self._deferrals.note_due({key[0] for _, key in ranked})
        return ranked

    def _list_waiting(self, ranked: list[tuple[Rank, StepKey]]) -> list[WaitingStep]:
        return [
            WaitingStep(rank, key, self._workflows[key[0]].spec, self._open_steps[key])
            for rank, key in ranked
        ]

    def _delay_step(self, key: StepKey, now: float) -> None:
        """Logs the error of a step, which must not keep all other steps from being placed."""
        for other in [other for other, until in self._failed_until.items() if now >= until]:
            del self._failed_until[other]
        self._failed_until[key] = now + ERROR_DELAY_SECONDS
        unexpected_errors.count += 1
        logger.exception(
            "unexpected error while a step was placed; trying again later",
            extra={"fields": {"step": f"{key[0]}.{key[1]}.{key[2]}"}},
        )

    def end_needless_claims(self) -> None:
        """Ends the claims of tasks that need none, and those on workers that cannot be used."""
        self._claims.retain(self._needs_claim)

    def describe_step(self, name: TaskName) -> dict[str, Any]:
        """Describes for the log what keeps a task from some workers."""
        workflow = self._workflows.get(name.workflow)
        service = workflow.spec.service if workflow is not None else ""
        excluded = self.rejections.list_excluded(name)
        return {"excluded": excluded} | self._reservations.describe(service, name)

    def _list_usable(self, service: str) -> list[WorkerCapacity]:
        return [
            link.capacity
            for link in self._links.values()
            if link.entry.service == service and link.capacity.usable
        ]

    def _needs_claim(self, name: TaskName) -> bool:
        """Returns whether a task waits, or is on a worker that it has to leave."""
        workflow = self._workflows.get(name.workflow)
        found = workflow and workflow.find_task(name)
        if not found or workflow.is_terminal:
            return False
        task = found[1]
        link = self._links.get(task.worker)
        order = link and link.orders.get(name)
        return task.status == WAITING or bool(order and (order.stopping or link.is_departing))

    def _is_at_work(self, name: TaskName) -> bool:
        """Returns whether a task is at work, on a worker that it has to leave, and not stopping."""
        found = self._workflows[name.workflow].find_task(name)
        link = self._links.get(found[1].worker) if found else None
        order = link and link.orders.get(name)
        return bool(order) and found[1].status == ORDERED and not order.stopping

    def _may_yield(self, name: TaskName) -> bool:
        """Returns whether a claim yields to short tasks that have waited for too long.

        Only that of a task which is at work and may not be stopped yet, as long as others of its
        step are away. The other tasks gather room, and short tasks would take each part of it.
        """
        return (
            name in self._claims and not self._claims.is_requested(name) and self._is_at_work(name)
        )

    def list_candidates(
        self, workflow: WorkflowState, step: StepState, name: TaskName
    ) -> list[WorkerCapacity]:
        """Returns the workers on which a long-running task may be placed next.

        There are none for one that waits while the cap of its client account does not let it start.
        """
        is_waiting = step.tasks[name.index].status == WAITING
        if is_waiting and not self._caps.count_startable(workflow, step, 1):
            return []
        capacities = self._list_usable(workflow.spec.service)
        if workflow.spec.advice is not None:
            tickets = self._advisor.find_tickets(name[:3])
            self._request_advice(workflow, step, name, capacities, tickets, 1)
            capacities = [capacity for capacity in capacities if capacity.entry.worker in tickets]
        capacities = exclude(capacities, self.rejections.list_avoided(name)) or exclude(
            capacities, self.rejections.list_excluded(name)
        )
        if step.spec.same_rack:
            usage = compute_usage(name, step.spec)
            preferred = select_rack(step, capacities)
            if any(capacity.fits(usage) for capacity in preferred):
                return preferred
        return capacities

    def _rank(self, workflow: WorkflowState, step: StepState, now: float) -> Rank:
        due = self._deadlines.get(workflow.identifier, now)
        due_ms = workflow.spec.due_ms(step.occurrence)
        if due_ms:
            objective = self._runtimes.estimate_objective_seconds(workflow.spec)
            due = now + objective - (self._unix_ms() - due_ms) / 1000
        remaining = self._runtimes.estimate_step_seconds(workflow.spec.queue, step.spec)
        candidate = Candidate(
            step.spec.long_running,
            workflow.spec.priority,
            due,
            remaining,
            step.spec.best_effort,
            workflow.beyond_weight,
        )
        return rank_candidate(candidate, now)

    def _place_step(
        self,
        workflow: WorkflowState,
        step: StepState,
        capacities: list[WorkerCapacity],
        now: float,
        limit: int,
    ) -> StepPlacement | None:
        waiting = [index for index, task in enumerate(step.tasks) if task.status == WAITING]
        key = (workflow.identifier, step.occurrence, step.number)
        if not waiting:
            del self._open_steps[key]
            return None
        spec = step.spec
        if spec.gang and len(waiting) < len(step.tasks):
            # The members that have ended keep their room for the next run of all.
            self._claim_room(key, step, waiting, capacities)
            return None
        if spec.gang:
            limit = len(waiting)
        if (
            not spec.best_effort
            and not spec.long_running
            and spec.millicores > self._find_offered_millicores(workflow.spec.service, capacities)
        ):
            return None
        tickets: dict[str, str] = {}
        if workflow.spec.advice is not None:
            tickets = self._advisor.find_tickets(key)
            name = TaskName(*key, waiting[0])
            self._request_advice(workflow, step, name, capacities, tickets, len(waiting))
            capacities = [capacity for capacity in capacities if capacity.entry.worker in tickets]
        elif self._is_unplaceable(workflow, step):
            return None
        capped = self._caps.count_startable(workflow, step, min(limit, len(waiting)))
        if not capped:
            self._caps.note_waiting(workflow, step, len(waiting), capacities, now)
            return None
        is_capped, limit = capped < min(limit, len(waiting)), min(limit, capped)
        claims = self._claims.describe(key) if spec.gang else {}
        chosen = self._choose_workers(step, key, waiting, capacities, now, limit)
        if spec.gang and len(chosen) < len(waiting):
            for capacity, name in chosen:
                capacity.release(name)
            self._claims.restore(spec, claims)
            chosen = []
        if len(chosen) < min(limit, len(waiting)):
            placed = {name.index for _, name in chosen}
            left = [index for index in waiting if index not in placed]
            if is_capped:
                left = left[: limit - len(chosen)]
            self._claim_room(key, step, left, capacities)
        elif is_capped:
            left_count = len(waiting) - len(chosen)
            self._caps.note_waiting(workflow, step, left_count, capacities, now)
        if not chosen:
            return None
        run = max((task.run for task in step.tasks), default=0) + 1 if spec.gang else 0
        for capacity, name in chosen:
            self._deferrals.place(name if spec.long_running else name.workflow)
            failures = step.tasks[name.index].failures
            self.rejections.record_placement(name, capacity.entry.worker, failures)
        return StepPlacement(workflow, step, chosen, run, tickets, len(waiting) - len(chosen))

    def _choose_workers(
        self,
        step: StepState,
        key: StepKey,
        waiting: list[int],
        capacities: list[WorkerCapacity],
        now: float,
        limit: int,
    ) -> list[tuple[WorkerCapacity, TaskName]]:
        """Returns workers for up to ``limit`` waiting tasks, as far as there are any.

        Their room is reserved.
        """
        chosen: list[tuple[WorkerCapacity, TaskName]] = []
        spec = step.spec
        preferred = select_rack(step, capacities) if spec.same_rack else capacities
        # Short tasks are not spread over racks, where they are slow and keep others waiting.
        fallback = capacities if spec.long_running else preferred
        requirement = self._find_requirement(step, key[0])
        queue = self._workflows[key[0]].spec.queue
        has_precautions = len(fallback) > len(preferred) or any(
            capacity.suspect_until > now or capacity.reserved_for or capacity.claims
            for capacity in fallback
        )
        # Whether no worker has unclaimed room for a task of this long-running step.
        is_full = False
        for index in self._order_waiting(step, key, waiting):
            if len(chosen) >= limit:
                break
            task, name = step.tasks[index], TaskName(*key, index)
            usage = compute_usage(name, spec)
            self.rejections.note_waiting(name, task.failures)
            avoided = self.rejections.list_avoided(name)
            if task.failures:
                avoided.append(task.worker)
            # A gang starts together: one refusal does not speak against the workers of the others.
            excluded = [] if spec.gang else self.rejections.list_excluded(name)
            candidates, others = exclude(preferred, excluded), exclude(fallback, excluded)
            isolated = self._find_isolated_subject(step, name)
            if isolated:
                candidates = self._isolation.select(isolated, spec, usage, candidates)
            capacity = None
            if not isolated or self._deferrals.is_over(name):
                capacity = self._find_claimed(spec, name, others)
            if capacity is None and not is_full:
                capacity = choose_worker(candidates, spec, usage, now, avoided=avoided)
            if capacity is None and not (isolated or spec.long_running or spec.gang):
                seconds = self._runtimes.estimate_task_seconds(queue, spec)
                capacity = self._claims.find_idle_room(spec, usage, seconds, candidates)
                if capacity is None:
                    capacity = self._reservations.find_backfill(step, usage, seconds, candidates)
            obstacle = ""
            if capacity is None and has_precautions and not is_full:
                capacity, obstacle = self._choose_despite_obstacles(spec, name, usage, others, now)
            if capacity is not None:
                # Its room would count twice for the tasks after it.
                self._claims.end(name)
                self._reserved.append((capacity, name))
                capacity.reserve(name, usage)
                chosen.append((capacity, name))
            elif not (isolated or excluded):
                if spec.long_running:
                    is_full = is_full or not obstacle
                    if obstacle or name in self._claims:
                        continue
                elif requirement is not None and not avoided:
                    is_kept = has_precautions and self._deferrals.is_waiting(name.workflow)
                    self._unplaceable[requirement] = obstacle or (PRECAUTION if is_kept else "")
                break
        return chosen

    def _find_offered_millicores(self, service: str, capacities: list[WorkerCapacity]) -> int:
        """Returns the most processors that a short task may get on one worker."""
        if service not in self._offered:
            self._offered[service] = find_offered_millicores(capacities)
        return self._offered[service]

    def _order_waiting(self, step: StepState, key: StepKey, waiting: list[int]) -> list[int]:
        """Returns the waiting tasks of a step, those with a claim first.

        If none of the others finds a worker, the rest of a wide step need not be looked at.
        """
        if not step.spec.long_running:
            return waiting
        claimed = {name.index for name in self._claims.list_tasks() if name[:3] == key}
        return sorted(waiting, key=lambda index: index not in claimed) if claimed else waiting

    def _find_claimed(
        self, spec: StepSpec, name: TaskName, candidates: list[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Returns the worker on which the room that is claimed for a task is free."""
        capacity = self._claims.find_free(name)
        if capacity is None or capacity not in candidates:
            return None
        return capacity if may_use_claim(capacity, spec, compute_usage(name, spec)) else None

    def _find_requirement(self, step: StepState, workflow: str) -> Requirement | None:
        """Returns what the outcome for one task of a step tells about other steps, or None."""
        state = self._workflows[workflow]
        if workflow in self._isolation or state.spec.advice is not None:
            return None
        usage = compute_usage(TaskName(workflow, step.occurrence, step.number, 0), step.spec)
        return build_requirement(state.spec, step.spec, usage)

    def _is_unplaceable(self, workflow: WorkflowState, step: StepState) -> bool:
        """Returns whether the present plan has found no worker for a task like those of the step.

        At the worst load most steps are alike in this, and one look at the workers serves them all.
        """
        if not self._unplaceable:
            return False
        requirement = self._find_requirement(step, workflow.identifier)
        obstacle = self._unplaceable.get(requirement) if requirement is not None else None
        if obstacle:
            # There is room, so the time for which the task is kept from it is measured.
            self._deferrals.begin(workflow.identifier)
            if obstacle == CLAIM:
                return not self._deferrals.is_absent(workflow.identifier)
            return not self._deferrals.is_over(workflow.identifier)
        return obstacle is not None

    def _choose_despite_obstacles(
        self,
        spec: StepSpec,
        name: TaskName,
        usage: Usage,
        capacities: list[WorkerCapacity],
        now: float,
    ) -> tuple[WorkerCapacity | None, str]:
        """Returns a worker for a task that precautions have kept from starting for too long.

        Also returns what keeps it from a worker on which it could start, empty for nothing.
        """
        subject: Subject = name if spec.long_running else name.workflow
        capacity = choose_worker(capacities, spec, usage, now, despite_precautions=True)
        is_isolated = name.workflow in self._isolation and not spec.gang
        obstacle = PRECAUTION
        is_over = self._deferrals.is_over(subject, is_isolated=is_isolated)
        if capacity is None and not spec.long_running:
            capacity = self._claims.find_yielding_room(spec, usage, capacities, self._may_yield)
            obstacle, is_over = CLAIM, self._deferrals.is_absent(
                name.workflow, is_isolated=is_isolated
            )
        if capacity is None or is_over:
            return capacity, ""
        self._deferrals.begin(subject)
        return None, obstacle

    def _claim_room(
        self,
        key: StepKey,
        step: StepState,
        waiting: list[int],
        capacities: list[WorkerCapacity],
    ) -> None:
        """Claims room for the waiting tasks of a step, as far as workers can get room for them.

        Otherwise short tasks could take each room that comes free, as long as more of them arrive.
        """
        if not step.spec.long_running:
            return
        preferred = select_rack(step, capacities) if step.spec.same_rack else capacities
        names = [TaskName(*key, index) for index in self._order_waiting(step, key, waiting)]
        if step.spec.gang and not self._can_claim_all(step, names, capacities):
            # Room for some of its members is of no use.
            for name in names:
                self._claims.end(name)
            return
        for name in names:
            self._deferrals.begin(name)
            avoided = self.rejections.list_avoided(name)
            candidates = exclude(capacities, self.rejections.list_excluded(name))
            if self._claims.keep(name, step.spec, candidates, exclude(preferred, avoided)):
                continue
            if self._claims.take_over(name, step.spec, candidates, self._is_at_work):
                continue
            # The others need as much, or the next plan makes the next claims.
            return

    def _can_claim_all(
        self, step: StepState, names: list[TaskName], capacities: list[WorkerCapacity]
    ) -> bool:
        missing = sum(name not in self._claims for name in names)
        usage = compute_usage(names[0], step.spec)
        return missing <= count_claimable(capacities, step.spec, usage, self._now())

    def _find_isolated_subject(self, step: StepState, name: TaskName) -> Subject | None:
        """Returns for what a worker has to be reserved before a task starts, None for nothing.

        The members of a gang start together on several workers, so they are not isolated.
        """
        if name.workflow not in self._isolation or step.spec.gang:
            return None
        if not step.spec.long_running:
            return name.workflow
        return name if needs_isolation(step.tasks[name.index].losses) else None

    def _request_advice(
        self,
        workflow: WorkflowState,
        step: StepState,
        name: TaskName,
        capacities: list[WorkerCapacity],
        tickets: dict[str, str],
        waiting: int,
    ) -> None:
        """Requests more tickets while the workers that have one cannot take all waiting tasks.

        ``name`` is one of these tasks, ``waiting`` their number.
        """
        spec, now = step.spec, self._now()
        usage, avoided = compute_usage(name, spec), self.rejections.list_avoided(name)
        free = sum(
            count_slots(capacity, spec, usage, now)
            for capacity in capacities
            if capacity.entry.worker in tickets and capacity.entry.worker not in avoided
        )
        if free < waiting:
            self._advisor.ask(name[:3], capacities, workflow.spec.advice)
