"""Stops short runs for long-running tasks that have waited for room for long enough.

Load pattern: a worker with long-running tasks leaves while all others are full of short tasks, some
of which run for ten seconds and more. Waiting for these to end would leave the time to the next run
of a displaced task to the run times of others, which nothing bounds. A stopped short task runs
again, without counting as failed.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from carawayd.platform.runs import format_task
from carawayshore.workflows.placement import compute_usage
from carawayshore.workflows.room import choose_preemption
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayd.partition.claims import Claims
    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.placement import WorkerCapacity
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

logger = logging.getLogger(__name__)

# Time without work after which short runs are stopped for a task: half of the 6 s within which a
# long-running task runs again. The other half is for lost answers and refused orders.
MAX_ROOM_WAIT_SECONDS = 3.0
# The same for a task that waited already when the partition was taken over, for a time that is not
# known. Long enough for the workers to report, so that free room is known.
RESTORED_ROOM_WAIT_SECONDS = 1.0
# The same for a task that is still at work on a worker that it has to leave.
MAX_MOVE_WAIT_SECONDS = 6.0
# Maximum number of tasks for which one check makes room: each looks at all workers of the service.
MAX_TASKS_PER_CHECK = 16


class PreemptionControl:
    """Makes room for the waiting long-running tasks of one partition.

    Parameters
    ----------
    links : dict
        Links of the partition owner, which updates them.
    find_task : callable
        Returns the workflow, the step and the state of a task, or None.
    list_candidates : callable
        Returns the workers on which a task of a step may be placed.
    claims : Claims
    measure_absence : callable
        Returns for how long a task has not been at work, in seconds.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
        list_candidates: Callable[[WorkflowState, StepState, TaskName], list[WorkerCapacity]],
        claims: Claims,
        measure_absence: Callable[[TaskName], float],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._links = links
        self._find_task = find_task
        self._list_candidates = list_candidates
        self._claims = claims
        self._measure_absence = measure_absence
        self._clock = clock
        self._metrics = metrics
        # Tasks that waited at the takeover, and from when on short runs are stopped for them.
        self._restored: dict[TaskName, float] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def restore(self, names: Iterable[TaskName]) -> None:
        """Notes tasks that waited when the partition was taken over."""
        due = self._now() + RESTORED_ROOM_WAIT_SECONDS
        self._restored |= dict.fromkeys(names, due)

    def make_room(self, epoch: int) -> None:
        """Stops short runs for the tasks that have waited for too long."""
        for name in list(self._restored):
            found = self._find_task(name)
            if found is None or found[0].is_terminal or found[2].status != WAITING:
                del self._restored[name]
        count = 0
        for name in self._claims.list_tasks():
            if count >= MAX_TASKS_PER_CHECK:
                return
            if (
                self._claims.find_free(name) is None
                and self._is_due(name)
                and not self._is_making_room(name)
            ):
                count += 1
                self._make_room_for(name, epoch)

    def _is_due(self, name: TaskName) -> bool:
        found = self._find_task(name)
        if found is None:
            return False
        if found[2].status != WAITING:
            return self._claims.measure_age(name) > MAX_MOVE_WAIT_SECONDS
        return self._measure_absence(
            name
        ) > MAX_ROOM_WAIT_SECONDS or self._now() >= self._restored.get(name, math.inf)

    def _is_making_room(self, name: TaskName) -> bool:
        """Returns whether the runs that are being stopped leave the claimed room for a task."""
        capacity = self._claims.find(name)
        usage = capacity.claims[name]
        # The claim itself counts among those on the worker.
        shortage = capacity.measure_shortage(usage).add(usage, -1)
        for run in self._claims.list_short_runs(capacity):
            if run.is_stopping:
                shortage = shortage.add(run.usage, -1)
        return max(shortage) <= 0

    def _make_room_for(self, name: TaskName, epoch: int) -> None:
        workflow, step, _ = self._find_task(name)
        former = self._claims.find(name)
        former.release_claim(name)
        preemption = choose_preemption(
            self._list_candidates(workflow, step, name),
            step.spec,
            compute_usage(name, step.spec),
            self._now(),
            self._claims.list_short_runs,
        )
        if preemption is None:
            self._claims.set(name, step.spec, former)
            return
        self._claims.set(name, step.spec, preemption.capacity)
        if not preemption.runs:
            return
        worker = preemption.capacity.entry.worker
        logger.info(
            "stopping short runs for a long-running task without room",
            extra={
                "fields": {
                    "task": format_task(name),
                    "epoch": epoch,
                    "worker": worker,
                    "absent_seconds": round(self._measure_absence(name), 1),
                    "runs": [format_task(run.name) for run in preemption.runs],
                    "lost_core_seconds": round(
                        sum(run.lost_core_seconds for run in preemption.runs), 1
                    ),
                }
            },
        )
        self._metrics.preempted_runs.labels(workflow.spec.service).inc(len(preemption.runs))
        for run in preemption.runs:
            self._links[worker].stop_task(run.name)
        self._claims.forget_estimate(worker)
