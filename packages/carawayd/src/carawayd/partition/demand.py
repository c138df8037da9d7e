"""Load and backlog of a partition's services, used by admission and by the fleet manager."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.admission import Backlog
from carawayshore.workflows.largetasks import LargeTasks, WorkerRoom
from carawayshore.workflows.model import NO_LARGE_TASKS, ServiceLoad, TaskName, WorkerLoad
from carawayshore.workflows.placement import Amounts, compute_usage
from carawayshore.workflows.pools import BACKLOG_DRAIN_SECONDS
from carawayshore.workflows.spread import TaskGroup, count_needed_workers
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import LargeTaskNeed
    from carawayshore.workflows.placement import WorkerCapacity
    from carawayshore.workflows.runtimes import RuntimeModel
    from carawayshore.workflows.state import StepState, WorkflowState

# Average share of its expected run time that a running task has left.
REMAINING_SHARE = 0.5
# Minimum time for which a submitted workflow counts as offered load.
MIN_OFFERED_SECONDS = 1.0
# Interval at which the workers are counted that the long-running tasks need, which looks at all
# workflows.
COUNT_INTERVAL_SECONDS = 0.5
# The same for the short tasks that no worker can hold. It is part of the 3 s within which a task
# has to be at work, of which the move of a machine takes over 2 s.
LARGE_TASKS_INTERVAL_SECONDS = 0.25
# Time before the start of an occurrence from which its steps count, more than a move takes.
OCCURRENCE_LEAD_SECONDS = 5.0
# Silence from which a worker counts as one that takes no tasks: longer than most interruptions of
# a link, so that these move no machines.
SILENCE_SECONDS = 1.5


class _OfferedLoad(NamedTuple):
    """Average load of one submitted workflow.

    Parameters
    ----------
    until : float
        End of its expected run time, in seconds of the clock.
    cores : float
        Cores that it uses on average until then.
    """

    until: float
    cores: float


class _WaitingWork(NamedTuple):
    """Work of waiting tasks; the first three are in core-seconds, see ``Backlog``.

    Parameters
    ----------
    ready_ahead : float
        Work of ready steps that is scheduled before the new workflow.
    total : float
        All waiting work.
    sooner : float
        Waiting work, of ready and of later steps, that is due before the new workflow.
    longest_seconds : float
        Longest expected run time of a task.
    mean_objective_seconds : float
        Mean objective of the accepted workflows, 0 if there are none.
    """

    ready_ahead: float
    total: float
    sooner: float
    longest_seconds: float
    mean_objective_seconds: float


class Demand:
    """Running, waiting and recently submitted work of each service.

    Parameters
    ----------
    workflows, links, open_steps
        Tables of the partition owner, which updates them.
    due : dict
        Time by which each workflow should be done, in seconds of the clock; also a table of the
        owner.
    runtimes : RuntimeModel
    clock : Clock
    is_held_back : callable, optional
        Returns whether tasks of a client account wait for its cap.
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        open_steps: dict[tuple[str, int, int], StepState],
        due: dict[str, float],
        runtimes: RuntimeModel,
        clock: Clock,
        is_held_back: Callable[[str], bool] = lambda account: False,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._open_steps = open_steps
        self._due = due
        self._runtimes = runtimes
        self._clock = clock
        self._is_held_back = is_held_back
        # Cores that each service may get soon, as last reported by the fleet manager.
        self.upcoming_cores: dict[str, float] = {}
        self._offered_loads: dict[str, list[_OfferedLoad]] = {}
        # Long-running tasks of each service and the size of its workers at the last count, with
        # the workers that they need; and the time at which they were last looked at.
        self._counts: dict[str, tuple[list[TaskGroup], Amounts, int]] = {}
        self._counted_at = -COUNT_INTERVAL_SECONDS
        # What the pool of each service needs for its large short tasks, when that was measured, and
        # the workers that took tasks then.
        self._large_tasks: dict[str, LargeTaskNeed] = {}
        self._large_tasks_at = -LARGE_TASKS_INTERVAL_SECONDS
        self._taking_tasks: frozenset[str] = frozenset()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def record_submission(self, service: str, core_seconds: float, seconds: float) -> None:
        """Records the load of a workflow, in average cores over its run time.

        Called at the first submission only, whether or not the workflow is admitted.

        Parameters
        ----------
        service : str
        core_seconds : float
            Expected work of the workflow.
        seconds : float
            Expected run time of its longest chain of steps.
        """
        seconds = max(seconds, MIN_OFFERED_SECONDS)
        offer = _OfferedLoad(self._now() + seconds, core_seconds / seconds)
        self._offered_loads.setdefault(service, []).append(offer)

    def measure_backlog(
        self,
        service: str,
        capacities: list[WorkerCapacity],
        due: float,
        *,
        account: str = "",
        with_beyond_weight: bool = True,
    ) -> Backlog:
        """Returns the backlog ahead of a workflow due at ``due``, in seconds of the clock.

        Work that waits for the cap of another client account than ``account`` is not counted.
        ``with_beyond_weight`` tells whether work beyond the weights of accounts is counted, which
        is placed after other work.
        """
        now = self._now()
        usable = [
            capacity
            for capacity in capacities
            if capacity.expected and capacity.suspect_until <= now
        ]
        cores = running = 0.0
        for capacity in usable:
            usages = capacity.usages.values()
            long_running = sum(usage.millicores for usage in usages if usage.long_running)
            # A worker that has shrunk below its long-running tasks takes nothing from the others.
            # Claimed room is for long-running tasks, too.
            cores += max(0, capacity.entry.millicores - long_running - capacity.claimed_millicores)
            running += sum(usage.millicores for usage in usages if not usage.long_running)
        waiting = self._measure_waiting_work(service, due, account, with_beyond_weight)
        remaining = running / 1000 * waiting.longest_seconds * REMAINING_SHARE
        return Backlog(
            cores / 1000,
            self.upcoming_cores.get(service, 0.0),
            waiting.ready_ahead,
            waiting.total + remaining,
            waiting.sooner + remaining,
            waiting.mean_objective_seconds,
        )

    def _measure_waiting_work(
        self, service: str, due: float, account: str, with_beyond_weight: bool
    ) -> _WaitingWork:
        """Returns the waiting work of a service, in total and as far as it precedes ``due``."""
        now = self._now()
        first = total = sooner = longest = objective_sum = 0.0
        count = 0
        for workflow in self._workflows.values():
            if workflow.is_terminal or workflow.spec.service != service:
                continue
            other_due = self._due.get(workflow.identifier)
            if other_due is None or workflow.is_long_running:
                continue
            if workflow.beyond_weight and not with_beyond_weight:
                continue
            if workflow.account != account and self._is_held_back(workflow.account):
                continue
            count += 1
            objective_sum += other_due - workflow.submitted
            for step in workflow.steps.values():
                if step.spec.long_running or step.is_done:
                    continue
                seconds = self._runtimes.estimate_task_seconds(workflow.spec.queue, step.spec)
                longest = max(longest, seconds)
                waiting = sum(task.status == WAITING for task in step.tasks)
                work = waiting * step.spec.millicores / 1000 * seconds
                total += work
                # Late work is placed last, so it does not delay this workflow.
                if now + seconds <= other_due <= due:
                    sooner += work
                    first += work if workflow.is_ready(step) else 0.0
        return _WaitingWork(first, total, sooner, longest, objective_sum / count if count else 0.0)

    def measure_load(self, service: str) -> ServiceLoad:
        long_running_millicores = running = 0
        workers = []
        for link in self._links.values():
            if link.entry.service != service:
                continue
            usages = link.capacity.usages.values()
            long_running_millicores += sum(
                usage.millicores for usage in usages if usage.long_running
            )
            running += sum(usage.millicores for usage in usages if not usage.long_running)
            workers.append(self.describe_worker(link))
        waiting, waiting_long = self._count_waiting(service)
        return ServiceLoad(
            service,
            long_running_millicores / 1000 + waiting_long,
            running / 1000,
            waiting,
            self._measure_offered_cores(service),
            tuple(workers),
            self._count_long_running_workers(service),
            self._find_large_tasks(service),
        )

    def describe_worker(self, link: WorkerLink) -> WorkerLoad:
        return WorkerLoad(
            link.worker,
            link.run_count,
            sum(usage.long_running for usage in link.capacity.usages.values()),
            link.entry.millicores,
            link.is_departing,
            not link.is_unresponsive,
        )

    def _count_long_running_workers(self, service: str) -> int:
        """Returns how many workers the long-running tasks of a service need."""
        now = self._now()
        if now - self._counted_at >= COUNT_INTERVAL_SECONDS:
            self._counted_at = now
            groups = self._group_long_running_tasks()
            self._counts = {name: self._recount(name, items) for name, items in groups.items()}
        found = self._counts.get(service)
        return found[2] if found is not None else 0

    def _find_large_tasks(self, service: str) -> LargeTaskNeed:
        """Returns what the pool of a service needs for short tasks that no worker can hold.

        It is measured anew once the workers change, since the holder of the fleet takes it as the
        need beyond the workers of the same report.
        """
        now = self._now()
        taking = frozenset(name for name, link in self._links.items() if link.capacity.expected)
        is_due = now - self._large_tasks_at >= LARGE_TASKS_INTERVAL_SECONDS
        if is_due or taking != self._taking_tasks:
            self._large_tasks_at, self._taking_tasks = now, taking
            counts = self._count_large_tasks()
            self._large_tasks = {name: count.measure() for name, count in counts.items()}
        return self._large_tasks.get(service, NO_LARGE_TASKS)

    def _count_large_tasks(self) -> dict[str, LargeTasks]:
        """Returns the short tasks of each service that no worker in use can hold."""
        counts: dict[str, LargeTasks] = {}
        for workflow in self._workflows.values():
            if workflow.is_terminal or self._is_held_back(workflow.account):
                continue
            service = workflow.spec.service
            count = counts.get(service)
            if count is None:
                size = self._measure_mean_size(service)
                count = counts[service] = LargeTasks(self._list_rooms(service), size)
            if count.are_all_held:
                continue
            for step in workflow.steps.values():
                if workflow.spec.repeats and not self._is_near(workflow, step.occurrence):
                    break
                spec = step.spec
                if step.is_done or spec.long_running or spec.best_effort or count.are_held(spec):
                    continue
                if not workflow.is_ready(step):
                    count.add(spec, 0)
                elif waiting := sum(task.status == WAITING for task in step.tasks):
                    count.add(spec, self._count_at_once(workflow, step, waiting))
        return counts

    def _count_at_once(self, workflow: WorkflowState, step: StepState, waiting: int) -> int:
        """Returns how many of the waiting tasks start now if a step drains like other work."""
        seconds = self._runtimes.estimate_task_seconds(workflow.spec.queue, step.spec)
        return max(1, math.ceil(waiting * min(1.0, seconds / BACKLOG_DRAIN_SECONDS)))

    def _is_near(self, workflow: WorkflowState, occurrence: int) -> bool:
        """Returns whether an occurrence has begun or is about to."""
        due_ms = workflow.spec.due_ms(occurrence)
        delay = (due_ms - workflow.submitted_unix_ms) / 1000
        return workflow.submitted + delay <= self._now() + OCCURRENCE_LEAD_SECONDS

    def _list_rooms(self, service: str) -> list[WorkerRoom]:
        """Returns the rooms of the workers that may take tasks.

        Workers that are silent count as well while none is in contact: then the owner is cut off,
        and further machines would not help.
        """
        links = [link for link in self._links.values() if link.entry.service == service]
        heard = [link for link in links if not link.is_unresponsive]
        rooms = []
        for link in links:
            capacity = link.capacity
            if not capacity.expected:
                is_silent = link.is_unresponsive and (
                    link.silent_seconds < SILENCE_SECONDS or not heard
                )
                if not is_silent or link.is_departing or link.closed or not link.listed:
                    continue
            room = _measure_room(capacity)
            if room is not None:
                has_claims = bool(capacity.claims)
                rooms.append(WorkerRoom(link.worker, room, not link.run_count, has_claims))
        return rooms

    def _recount(
        self, service: str, groups: list[TaskGroup]
    ) -> tuple[list[TaskGroup], Amounts, int]:
        """Returns the tasks of a service with the workers that they need, counted on a change."""
        size = self._measure_mean_size(service)
        former = self._counts.get(service)
        if former is not None and former[:2] == (groups, size):
            return former
        return groups, size, count_needed_workers(groups, size)

    def _group_long_running_tasks(self) -> dict[str, list[TaskGroup]]:
        groups: dict[str, list[TaskGroup]] = {}
        for workflow in self._workflows.values():
            if workflow.is_terminal or not workflow.is_long_running:
                continue
            for step in workflow.steps.values():
                if not step.spec.long_running or not workflow.is_ready(step):
                    continue
                name = TaskName(workflow.identifier, step.occurrence, step.number, 0)
                group = TaskGroup(
                    len(step.tasks) - step.done_count,
                    Amounts(0, 0, 0).add(compute_usage(name, step.spec)),
                    step.spec.most_per_worker,
                )
                groups.setdefault(workflow.spec.service, []).append(group)
        return groups

    def _measure_mean_size(self, service: str) -> Amounts:
        """Returns the mean size of the service's workers, that of nothing without any."""
        entries = [link.entry for link in self._links.values() if link.entry.service == service]
        count = max(1, len(entries))
        return Amounts(
            sum(entry.millicores for entry in entries) // count,
            sum(entry.memory_mb for entry in entries) // count,
            sum(entry.accelerators for entry in entries) // count,
        )

    def _count_waiting(self, service: str) -> tuple[float, float]:
        """Returns core-seconds of waiting short tasks and cores of waiting long-running tasks.

        Best-effort tasks are not counted.
        """
        short = long_running = 0.0
        for key, step in self._open_steps.items():
            workflow = self._workflows[key[0]]
            if step.spec.best_effort or workflow.spec.service != service:
                continue
            if self._is_held_back(workflow.account):
                continue
            count = sum(task.status == WAITING for task in step.tasks)
            cores = count * step.spec.millicores / 1000
            if step.spec.long_running:
                long_running += cores
            else:
                short += cores * self._runtimes.estimate_task_seconds(
                    workflow.spec.queue, step.spec
                )
        return short, long_running

    def _measure_offered_cores(self, service: str) -> float:
        """Returns the cores of the recently submitted workflows, and drops expired entries."""
        now = self._now()
        offered = [offer for offer in self._offered_loads.get(service, ()) if offer.until > now]
        self._offered_loads[service] = offered
        return sum(offer.cores for offer in offered)


def _measure_room(capacity: WorkerCapacity) -> Amounts | None:
    """Returns what long-running runs and claims leave of a worker, None if it holds too much."""
    entry = capacity.entry
    millicores, memory_mb, accelerators = entry.millicores, entry.memory_mb, entry.accelerators
    for usage in capacity.usages.values():
        if usage.long_running:
            millicores -= usage.millicores
            memory_mb -= usage.memory_mb
            accelerators -= usage.accelerators
    if min(millicores, memory_mb, accelerators) < 0:
        return None
    for usage in capacity.claims.values():
        millicores -= usage.millicores
        memory_mb -= usage.memory_mb
        accelerators -= usage.accelerators
    # A task may use what is left of one resource if it needs nothing of the others.
    return Amounts(max(0, millicores), max(0, memory_mb), max(0, accelerators))
