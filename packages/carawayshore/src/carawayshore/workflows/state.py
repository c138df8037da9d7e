"""State of the workflows of one partition, as persisted in the store.

A workflow has one record with its specification and state, and one record for each step that has
started. Records are compact JSON arrays, since the record of a step is written at each change of
its tasks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from carawayshore.decoding import (
    Count,
    MalformedDocument,
    UnixMilliseconds,
    check_bounds,
    decode_json,
    parse_count,
    reject,
)
from carawayshore.workflows.crashes import WorkerLoss
from carawayshore.workflows.model import MAX_TASKS, StepSpec, TaskName, Workflow, check_steps

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


# The state of each task of each occurrence is kept in memory.
MAX_OCCURRING_TASKS = 10 * MAX_TASKS


def count_occurring_tasks(repeats: int, steps: Iterable[StepSpec]) -> int:
    """Returns the number of tasks of all occurrences of a workflow."""
    return max(1, repeats) * sum(step.count for step in steps)


class _TaskRow(msgspec.Struct, array_like=True):
    """Record of a task, without its last fields if they are empty.

    Fields that a later version has added are ignored.
    """

    status: Annotated[int, msgspec.Meta(ge=WAITING, le=DONE)] = WAITING
    run: Count = 0
    failures: Count = 0
    worker: str = ""
    checkpoint: str = ""
    losses: tuple[WorkerLoss, ...] = ()


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
        """Applies the record of the step; raises MalformedDocument if it cannot be read."""
        rows = decode_json(value, list[_TaskRow])
        if len(rows) != self.spec.count:
            raise reject("", rows, f"{self.spec.count} tasks")
        self.tasks = [
            TaskState(row.status, row.run, row.failures, row.worker, row.checkpoint, row.losses)
            for row in rows
        ]
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
    state: Literal["queued", "running", "completed", "failed", "cancelled"]
    service: str
    queue: str
    submitted_unix_ms: UnixMilliseconds
    spec: Workflow | None


def _restore_workflow(key: str, value: bytes, now: float, unix_ms: int) -> WorkflowState:
    record = decode_json(value, _Record)
    if record.spec:
        _check_spec(record.spec, key)
    spec = record.spec or Workflow(key, record.service, record.queue, 0, 1, 1.0, 0, "", ())
    submitted_unix_ms = int(record.submitted_unix_ms)
    age = max(0, unix_ms - submitted_unix_ms) / 1000
    workflow = WorkflowState(spec, now - age, submitted_unix_ms)
    workflow.state = workflow.durable_state = record.state
    workflow.ended = now if workflow.is_terminal else 0.0
    return workflow


def _check_spec(spec: Workflow, key: str) -> None:
    """Checks a recorded specification; raises MalformedDocument if it cannot have been accepted."""
    if spec.identifier != key:
        raise reject("/4/0", spec.identifier, f"the identifier of the record, {key}")
    check_bounds(spec)
    findings = check_steps(spec.steps)
    if findings:
        raise MalformedDocument(findings[0])
    negative = [n for step in spec.steps for n in step if isinstance(n, int) and n < 0]
    if negative:
        raise reject("/4/8", negative[0], "numbers from 0")
    if count_occurring_tasks(spec.repeats, spec.steps) > MAX_OCCURRING_TASKS:
        raise reject(
            "/4/9", spec.repeats, f"at most {MAX_OCCURRING_TASKS} tasks of all occurrences"
        )


def _parse_step_key(key: str) -> tuple[str, int, int]:
    identifier, *numbers = key.split("/")
    if len(numbers) != 2:
        raise reject("", key, "a key of the form ID/OCCURRENCE/STEP")
    occurrence, number = (parse_count(text) for text in numbers)
    return identifier, occurrence, number


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
            workflows[key] = _restore_workflow(key, value, now, unix_ms)
        except MalformedDocument:
            unreadable.append(key)
    for key, value in steps:
        try:
            identifier, occurrence, number = _parse_step_key(key)
            workflow = workflows.get(identifier)
            step = workflow and workflow.steps.get((occurrence, number))
            if not workflow or workflow.is_terminal or step is None:
                continue
            step.restore(value)
        except MalformedDocument:
            unreadable.append(key)
            continue
        workflow.begun = workflow.begun or any(task.run for task in step.tasks)
        if workflow.begun and workflow.state == QUEUED:
            workflow.state = workflow.durable_state = RUNNING
    return workflows, unreadable
