"""Room that is kept on workers for the long-running tasks of a partition that have no place.

Load pattern: workers leave or are taken out of service one after the other while short tasks take
each room that comes free. Each displaced task has a claim of its own from the moment that its
worker begins to leave, so that several of them do not wait for one room after the other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.placement import HELD, choose_worker, compute_usage, find_obstacle
from carawayshore.workflows.room import (
    ShortRun,
    choose_worker_to_claim,
    may_claim,
    may_run_before_claims,
    may_use_claim,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import StepSpec, TaskName
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.runtimes import RuntimeModel
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

# Maximum number of claims that one plan makes or moves: each looks at all workers of the service.
MAX_NEW_CLAIMS_PER_PLAN = 16
# Age up to which the estimates for the runs of a worker are used again.
MAX_ESTIMATE_AGE_SECONDS = 0.05
# Time for which a task counts as one that may be stopped once it has a place, from the last request
# to reserve one. Requests come at each look at the workers, every 0.1 s.
REQUEST_SECONDS = 0.5
# Time in which a run that is being stopped ends, with the report of it.
STOP_SECONDS = 0.3

SECURED, PENDING, IMPOSSIBLE = "secured", "pending", "impossible"


class _Claim(NamedTuple):
    """Worker on which room is claimed, and the time since which the task has had a claim."""

    capacity: WorkerCapacity
    since: float
    is_secured: bool = False


class _Estimate(NamedTuple):
    """Short runs of a worker, with the time and the version of its runs when they were listed."""

    at: float
    version: int
    runs: list[ShortRun]


class Claims:
    """Claims of the long-running tasks of one partition.

    Parameters
    ----------
    links : dict
        Links of the partition owner, which updates them.
    find_task : callable
        Returns the workflow, the step and the state of a task, or None.
    runtimes : RuntimeModel
        Estimates when short runs end.
    clock : Clock
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
        runtimes: RuntimeModel,
        clock: Clock,
    ) -> None:
        self._links = links
        self._find_task = find_task
        self._runtimes = runtimes
        self._clock = clock
        self._claims: dict[TaskName, _Claim] = {}
        # Times at which room was last to be reserved for tasks that are still at work.
        self._requested_at: dict[TaskName, float] = {}
        self._new_claims_left = MAX_NEW_CLAIMS_PER_PLAN
        self._estimates: dict[str, _Estimate] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def __contains__(self, name: object) -> bool:
        return name in self._claims

    def list_tasks(self) -> list[TaskName]:
        return list(self._claims)

    @property
    def is_limit_reached(self) -> bool:
        """Whether no further claims are made until the next plan."""
        return self._new_claims_left <= 0

    def find(self, name: TaskName) -> WorkerCapacity | None:
        """Returns the worker on which room is claimed for a task."""
        claim = self._claims.get(name)
        return claim.capacity if claim is not None else None

    def find_free(self, name: TaskName) -> WorkerCapacity | None:
        """Returns the worker of a claim whose room is free, None if there is none."""
        capacity = self.find(name)
        if capacity is not None and capacity.has_claimed_room(name):
            return capacity
        return None

    def is_requested(self, name: TaskName) -> bool:
        """Returns whether a task that is still at work would be stopped if its place were free."""
        requested_at = self._requested_at.get(name)
        return requested_at is not None and self._now() - requested_at <= REQUEST_SECONDS

    def measure_age(self, name: TaskName) -> float:
        """Returns for how long a task has had claims in seconds, 0 if it has none."""
        claim = self._claims.get(name)
        return 0.0 if claim is None else self._now() - claim.since

    def set(self, name: TaskName, step: StepSpec, capacity: WorkerCapacity) -> None:
        """Claims room for a task on a worker, instead of the claim that it has."""
        former = self._claims.get(name)
        self.end(name)
        self._claims[name] = _Claim(capacity, self._now() if former is None else former.since)
        capacity.claim(name, compute_usage(name, step))

    def describe(self, key: tuple[str, int, int]) -> dict[TaskName, _Claim]:
        """Returns the claims of a step's tasks, for :meth:`restore`."""
        return {
            name: claim._replace(is_secured=name in claim.capacity.secured)
            for name, claim in self._claims.items()
            if name[:3] == key
        }

    def restore(self, step: StepSpec, claims: dict[TaskName, _Claim]) -> None:
        """Makes claims again that were ended for placements which did not come about."""
        for name, claim in claims.items():
            if name not in self._claims:
                self._claims[name] = claim
                claim.capacity.claim(name, compute_usage(name, step))
                if claim.is_secured:
                    claim.capacity.secure_claim(name)

    def end(self, name: TaskName) -> None:
        """Ends the claim of a task."""
        claim = self._claims.pop(name, None)
        if claim is not None:
            claim.capacity.release_claim(name)

    def retain(self, is_needed: Callable[[TaskName], bool]) -> None:
        """Ends the claims that are not needed, and those on workers that cannot be used."""
        self._new_claims_left = MAX_NEW_CLAIMS_PER_PLAN
        for worker in self._estimates.keys() - self._links.keys():
            del self._estimates[worker]
        now = self._now()
        for name, requested_at in list(self._requested_at.items()):
            if now - requested_at > REQUEST_SECONDS:
                del self._requested_at[name]
        for name, claim in list(self._claims.items()):
            capacity = claim.capacity
            if (
                not is_needed(name)
                or not capacity.usable
                or capacity.suspect_until > now
                or capacity.reserved_for not in ("", name.workflow)
                or capacity.is_overcommitted
            ):
                self.end(name)

    def keep(
        self,
        name: TaskName,
        step: StepSpec,
        capacities: list[WorkerCapacity],
        preferred: list[WorkerCapacity] | None = None,
    ) -> bool:
        """Claims room where it is likely to be free first; returns whether there is a claim.

        A claim stays as long as its worker can get room, since the room that has come free there
        would be lost on another one.

        Parameters
        ----------
        name, step
            Task and its step.
        capacities : list of WorkerCapacity
            Workers on which the task may start.
        preferred : list of WorkerCapacity, optional
            Those of them that a new claim is tried on first.
        """
        former = self._claims.get(name)
        is_allowed = former is not None and former.capacity in capacities
        now, usage = self._now(), compute_usage(name, step)
        if (
            is_allowed
            and former.capacity.has_claimed_room(name)
            and may_use_claim(former.capacity, step, usage)
        ):
            return True
        if self.is_limit_reached:
            return is_allowed
        if former is not None:
            former.capacity.release_claim(name)
        if is_allowed and may_claim(former.capacity, step, usage, now):
            former.capacity.claim(name, usage)
            return True
        self._new_claims_left -= 1
        for candidates in (preferred, capacities):
            chosen = candidates and choose_worker_to_claim(
                candidates, step, usage, now, self.list_short_runs
            )
            if chosen:
                self.set(name, step, chosen)
                return True
        self.end(name)
        return False

    def take_over(
        self,
        name: TaskName,
        step: StepSpec,
        capacities: list[WorkerCapacity],
        may_yield: Callable[[TaskName], bool],
    ) -> bool:
        """Claims room that is kept for a task which is still at work; returns whether there is any.

        For a task that is away and gets no room elsewhere. Otherwise the two may wait for each
        other: the one at work may not be stopped while the other one is away.

        Parameters
        ----------
        name, step
            Task and its step.
        capacities : list of WorkerCapacity
            Workers on which the task may start.
        may_yield : callable
            Returns whether the claim of a task may be ended for this one.
        """
        now, usage = self._now(), compute_usage(name, step)
        for other, claim in list(self._claims.items()):
            capacity = claim.capacity
            if capacity not in capacities or not may_yield(other):
                continue
            kept, is_secured = capacity.claims[other], other in capacity.secured
            capacity.release_claim(other)
            if may_claim(capacity, step, usage, now):
                del self._claims[other]
                self.set(name, step, capacity)
                return True
            capacity.claim(other, kept)
            if is_secured:
                capacity.secure_claim(other)
        return False

    def secure(
        self, name: TaskName, step: StepSpec, capacities: list[WorkerCapacity], *, wait: bool = True
    ) -> str:
        """Reserves room for a task that is still at work elsewhere, as soon as some is free.

        Returns ``SECURED`` once the room is reserved, ``PENDING`` while it is claimed but not free,
        and ``IMPOSSIBLE`` if no worker gets room for it. Unless ``wait`` is set, only room that is
        free now is reserved.
        """
        self._requested_at[name] = self._now()
        usage = compute_usage(name, step)
        capacity = self.find_free(name)
        if (
            capacity is None
            or capacity not in capacities
            or not may_use_claim(capacity, step, usage)
        ):
            capacity = choose_worker(capacities, step, usage, self._now())
            if capacity is not None:
                self.set(name, step, capacity)
        if capacity is not None:
            capacity.secure_claim(name)
            return SECURED
        if wait and (self.keep(name, step, capacities) or self.is_limit_reached):
            return PENDING
        return IMPOSSIBLE

    def find_idle_room(
        self, step: StepSpec, usage: Usage, seconds: float, candidates: list[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Returns a worker whose claimed room is idle for longer than a short task takes.

        Workers with a reservation have rules of their own.
        """
        now = self._now()
        for capacity in candidates:
            if (
                capacity.claims
                and capacity.claims.keys() <= self._claims.keys()
                and find_obstacle(capacity, step, usage, now) == HELD
                and capacity.suspect_until <= now
                and not capacity.reserved_for
                and may_run_before_claims(capacity, usage, seconds, self.list_short_runs(capacity))
            ):
                return capacity
        return None

    def find_yielding_room(
        self,
        step: StepSpec,
        usage: Usage,
        capacities: list[WorkerCapacity],
        may_yield: Callable[[TaskName], bool],
    ) -> WorkerCapacity | None:
        """Returns a worker on which a short task fits if some claims yield to it.

        The claims go on: their tasks wait for the end of the run, or get room elsewhere. Secured
        room does not yield. The worker with most room beside its other claims is chosen.

        Parameters
        ----------
        step, usage
            Requirements of the task.
        capacities : list of WorkerCapacity
            Workers on which the task may start.
        may_yield : callable
            Returns whether the claim of a task yields.
        """
        now = self._now()
        found = [
            (capacity.measure_room_beside(yielding), capacity)
            for capacity in capacities
            if find_obstacle(capacity, step, usage, now) == HELD
            and (yielding := [name for name in capacity.claims if may_yield(name)])
            and capacity.fits_despite(usage, yielding)
        ]
        return max(found, key=lambda item: item[0], default=(0, None))[1]

    def forget_estimate(self, worker: str) -> None:
        """Notes that runs on a worker are being stopped."""
        self._estimates.pop(worker, None)

    def list_short_runs(self, capacity: WorkerCapacity) -> list[ShortRun]:
        """Returns the runs on a worker that end by themselves or are being stopped."""
        link, now = self._links.get(capacity.entry.worker), self._now()
        if link is None:
            return []
        known = self._estimates.get(link.worker)
        if (
            known is not None
            and known.version == capacity.version
            and now - known.at < MAX_ESTIMATE_AGE_SECONDS
        ):
            return known.runs
        runs: list[ShortRun] = []
        self._estimates[link.worker] = _Estimate(now, capacity.version, runs)
        for name, usage in capacity.usages.items():
            order = link.orders.get(name)
            if order is None:
                # Runs that the ledger does not know are being stopped.
                if name in link.unordered_runs:
                    runs.append(ShortRun(name, usage, STOP_SECONDS, 0.0, is_stopping=True))
                continue
            if usage.long_running and not order.stopping:
                continue
            found = self._find_task(name)
            if found is None:
                continue
            workflow, step, _ = found
            elapsed = now - order.ordered_at
            percent = order.progress_percent
            if order.stopping:
                remaining = STOP_SECONDS
            elif 0 < percent < 100:
                remaining = elapsed * (100 - percent) / percent
            else:
                expected = self._runtimes.estimate_task_seconds(workflow.spec.queue, step.spec)
                # A run that takes longer than expected is likely to go on for as long again.
                remaining = expected - elapsed if elapsed < expected else elapsed
            lost = elapsed * usage.millicores / 1000
            if step.spec.gang:
                # Its other members end with it.
                lost *= len(step.tasks)
            runs.append(ShortRun(name, usage, remaining, lost, is_stopping=order.stopping))
        return runs
