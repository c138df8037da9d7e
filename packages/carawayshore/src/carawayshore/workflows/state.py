"""State of the workflows of one partition, as persisted in the store.

A workflow has one record with its specification and state, and one record for each step that has
started. Records are compact JSON arrays, since the record of a step is written at each change of
its tasks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayshore.workflows.crashes import WorkerLoss
from carawayshore.workflows.model import StepSpec, TaskName, Workflow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Status of a task, as persisted.
WAITING, ORDERED, DONE = 0, 1, 2

# State of a workflow, as persisted and as shown to callers.
QUEUED, RUNNING, COMPLETED, FAILED, CANCELLED = (
    "queued",
    "running",
    "completed",
    "failed",
    "cancelled",
)
TERMINAL = frozenset({COMPLETED, FAILED, CANCELLED})


class TaskState:
    """State of one task.

    Parameters
    ----------
    status : int
        ``ORDERED`` from before the start order is sent until the end of the run is known.
    run : int
        Number of the last run.
    failures : int
        Number of failed runs.
    worker : str
        Worker of the last run.
    checkpoint : str
        Checkpoint from which the next run can resume, empty for none.
    losses : iterable of WorkerLoss
        Losses of workers under its runs that no later run has outlived.
    """

    __slots__ = ("checkpoint", "failures", "losses", "run", "status", "worker")

    def __init__(
        self,
        status: int = WAITING,
        run: int = 0,
        failures: int = 0,
        worker: str = "",
        checkpoint: str = "",
        losses: Iterable[list | WorkerLoss] = (),
    ) -> None:
        self.status = status
        self.run = run
        self.failures = failures
        self.worker = worker
        self.checkpoint = checkpoint
        self.losses = tuple(WorkerLoss(*loss) for loss in losses)

    def to_row(self) -> list:
        row = [self.status, self.run, self.failures, self.worker, self.checkpoint, self.losses]
        while row and not row[-1]:
            row.pop()
        if self.status == DONE:
            return [DONE, self.run]
        return row


class StepState:
    """Tasks of one step of one occurrence."""

    __slots__ = ("done_count", "number", "occurrence", "run_seconds", "spec", "tasks")

    def __init__(self, occurrence: int, number: int, spec: StepSpec) -> None:
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [TaskState() for _ in range(spec.count)]
        self.done_count = 0
        # Run times in seconds of the tasks that succeeded while this process owned the partition;
        # not persisted.
        self.run_seconds: list[float] = []

    @property
    def is_done(self) -> bool:
        return self.done_count >= len(self.tasks)

    def encode(self) -> bytes:
        return msgspec.json.encode([task.to_row() for task in self.tasks])

    def restore(self, value: bytes) -> None:
        rows = msgspec.json.decode(value, type=list[list])
        self.tasks = [TaskState(*row) for row in rows]
        self.done_count = sum(task.status == DONE for task in self.tasks)


class WorkflowState:
    """State of a workflow and its steps.

    Parameters
    ----------
    spec : Workflow
    submitted : float
        Time of submission in seconds of the owner's monotonic clock.
    submitted_unix_ms : int
        The same time in Unix milliseconds, as persisted in the record.
    """

    def __init__(self, spec: Workflow, submitted: float, submitted_unix_ms: int = 0) -> None:
        self.spec = spec
        self.submitted_unix_ms = submitted_unix_ms
        self.state = QUEUED
        # State in the last record that the store acknowledged. Callers are not shown a later state,
        # except that a workflow that has begun is shown as running.
        self.durable_state = ""
        self.submitted = submitted
        self.ended = 0.0
        self.begun = False
        self.steps: dict[tuple[int, int], StepState] = {}
        for occurrence in range(spec.occurrences):
            for number, step in enumerate(spec.steps):
                self.steps[occurrence, number] = StepState(occurrence, number, step)

    @property
    def identifier(self) -> str:
        return self.spec.identifier

    @property
    def is_terminal(self) -> bool:
        return self.state in TERMINAL

    @property
    def is_long_running(self) -> bool:
        return any(step.long_running for step in self.spec.steps)

    def find_task(self, name: TaskName) -> tuple[StepState, TaskState] | None:
        """Returns the step and the task with a name, or None if there is no such task."""
        step = self.steps.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step, step.tasks[name.index]

    def iterate_ordered_tasks(self) -> Iterator[tuple[TaskName, TaskState]]:
        """Yields the tasks with status ``ORDERED``, which may be running on a worker."""
        for (occurrence, number), step in self.steps.items():
            for index, task in enumerate(step.tasks):
                if task.status == ORDERED:
                    yield TaskName(self.identifier, occurrence, number, index), task

    def is_ready(self, step: StepState) -> bool:
        """Returns whether all steps that ``step`` depends on are completed."""
        return all(self.steps[step.occurrence, number].is_done for number in step.spec.after)

    def is_complete(self) -> bool:
        return all(step.is_done for step in self.steps.values())

    def key(self) -> str:
        return self.identifier

    def step_key(self, step: StepState) -> str:
        return f"{self.identifier}/{step.occurrence}/{step.number}"

    def encode(self) -> bytes:
        """Returns the record of the workflow, without the specification once it is terminal."""
        spec = None if self.is_terminal else self.spec
        return msgspec.json.encode(
            [self.state, self.spec.service, self.spec.queue, self.submitted_unix_ms, spec]
        )


class _Record(msgspec.Struct, array_like=True):
    state: str
    service: str
    queue: str
    submitted_unix_ms: int
    spec: Workflow | None


def restore_workflows(
    records: list[tuple[str, bytes]], now: float, unix_ms: int
) -> tuple[dict[str, WorkflowState], list[str]]:
    """Returns the workflows decoded from records, and the keys of the undecodable records.

    Parameters
    ----------
    records : list of (key, value)
        Latest record of each key; an empty value stands for a deleted key.
    now : float
        Seconds of the monotonic clock.
    unix_ms : int
        The same time in Unix milliseconds.
    """
    workflows: dict[str, WorkflowState] = {}
    steps: list[tuple[str, bytes]] = []
    unreadable: list[str] = []
    for key, value in records:
        if not value:
            continue
        if "/" in key:
            steps.append((key, value))
            continue
        try:
            record = msgspec.json.decode(value, type=_Record)
        except msgspec.MsgspecError:
            unreadable.append(key)
            continue
        spec = record.spec or Workflow(key, record.service, record.queue, 0, 1, 1.0, 0, "", ())
        age = max(0, unix_ms - record.submitted_unix_ms) / 1000
        workflow = WorkflowState(spec, now - age, record.submitted_unix_ms)
        workflow.state = workflow.durable_state = record.state
        workflow.ended = now if workflow.is_terminal else 0.0
        workflows[key] = workflow
    for key, value in steps:
        identifier, occurrence, number = key.split("/")
        workflow = workflows.get(identifier)
        step = workflow and workflow.steps.get((int(occurrence), int(number)))
        if not workflow or workflow.is_terminal or step is None:
            continue
        try:
            step.restore(value)
        except (msgspec.MsgspecError, TypeError):
            unreadable.append(key)
            continue
        workflow.begun = workflow.begun or any(task.run for task in step.tasks)
        if workflow.begun and workflow.state == QUEUED:
            workflow.state = workflow.durable_state = RUNNING
    return workflows, unreadable
