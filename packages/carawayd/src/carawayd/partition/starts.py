"""Which workflows have started, as far as workers have told.

A workflow has started once a worker has begun one of its tasks. The owner learns this from the
answer to a start order, from a run that a report lists, or from the end of a run. An order without
one of these is no start: the worker may refuse it, carry it out late, or end before it arrives.
"""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayd.partition.workerlink import STARTED
from carawayd.platform.runs import format_task
from carawayshore.workflows.state import ORDERED

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from carawayd.partition.workerlink import WorkerLink
    from carawayd.platform.runs import EndedRun
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

# Workflow, occurrence and number of a step.
StepKey = tuple[str, int, int]

logger = logging.getLogger(__name__)

# Time after which a start is recorded by itself. Most are recorded earlier, with the next change of
# the same step.
RECORD_DELAY_SECONDS = 1.0


class Starts:
    """Notes the first start of each workflow of one partition, and has it recorded.

    The record is for the next owner: it learns from the workers what runs, but a worker that ends
    around the takeover tells it nothing.

    Parameters
    ----------
    find_task : callable
        Returns the workflow, the step and the state of a task, or None.
    links : mapping of str to WorkerLink
    record_tasks : callable
        Records the state of tasks of a step, by their numbers.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        find_task: Callable[[TaskName], tuple[WorkflowState, StepState, TaskState] | None],
        links: Mapping[str, WorkerLink],
        record_tasks: Callable[[WorkflowState, StepState, Iterable[int]], None],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._find_task = find_task
        self._links = links
        self._record_tasks = record_tasks
        self._clock = clock
        self._metrics = metrics
        # Steps whose records are to tell that their workflow has started, each with the task that
        # started and the time; the earliest first.
        self._unrecorded: dict[StepKey, tuple[TaskName, float]] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def note(self, name: TaskName, percent: int = 0) -> None:
        """Notes that a worker has a run of a task.

        Parameters
        ----------
        name : TaskName
        percent : int
            Progress that the worker has reported. The members of a gang make none, and have not
            started, until all of them are present.
        """
        found = self._find_task(name)
        if found is None or found[0].has_started:
            return
        workflow, step, _ = found
        if not step.spec.gang or percent > 0 or self._is_gang_present(name, step):
            self._note(workflow, step, name)

    def note_end(self, end: EndedRun) -> None:
        """Notes that a worker has listed the end of a run."""
        found = self._find_task(end.task)
        if found is not None and (end.kind == "done" or not found[1].spec.gang):
            self._note(found[0], found[1], end.task)

    def _is_gang_present(self, name: TaskName, step: StepState) -> bool:
        """Returns whether all members of the present run of a gang are known to be on workers."""
        for index, task in enumerate(step.tasks):
            link = self._links.get(task.worker)
            order = link.orders.get(name._replace(index=index)) if link is not None else None
            if task.status != ORDERED or order is None or order.run != task.run:
                return False
            if order.state != STARTED and not order.listed:
                return False
        return True

    def _note(self, workflow: WorkflowState, step: StepState, name: TaskName) -> None:
        if workflow.has_started or workflow.is_terminal:
            return
        now = self._now()
        workflow.has_started = step.records_start = True
        self._unrecorded[name[:3]] = name, now
        waited = timedelta(seconds=now - workflow.submitted)
        if not workflow.was_ordered_before:
            self._metrics.first_start.observe(workflow.spec.service, waited)
        fields = {"task": format_task(name), "seconds": round(waited.total_seconds(), 3)}
        logger.info("workflow started", extra={"fields": fields})

    def note_recorded(self, key: StepKey) -> None:
        """Notes that a change of a step is being recorded, and with it the start that it shows."""
        self._unrecorded.pop(key, None)

    def record_due(self) -> None:
        """Records all starts at once when the earliest of them is due."""
        since = next((at for _, at in self._unrecorded.values()), None)
        if since is not None and self._now() - since >= RECORD_DELAY_SECONDS:
            self.record()

    def record(self) -> None:
        """Records the starts that are not recorded yet."""
        unrecorded, self._unrecorded = self._unrecorded, {}
        for name, _ in unrecorded.values():
            found = self._find_task(name)
            if found is not None:
                self._record_tasks(found[0], found[1], [name.index])
