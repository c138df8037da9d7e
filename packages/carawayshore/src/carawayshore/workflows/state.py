"""State of the workflows of one partition, as it is kept in the store.

A workflow has one record with its terms and its state, and one record for each step that has begun.
The records are compact JSON arrays, since a step's record is written at each change of its tasks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayshore.workflows.model import StepSpec, TaskName, Workflow

if TYPE_CHECKING:
    from collections.abc import Iterator

WAITING, ORDERED, DONE = 0, 1, 2

QUEUED, RUNNING, COMPLETED, FAILED, CANCELLED = (
    "queued",
    "running",
    "completed",
    "failed",
    "cancelled",
)
TERMINAL = frozenset({COMPLETED, FAILED, CANCELLED})


class TaskState:
    """One task: ``ORDERED`` from before its start order is sent until its end is known.

    Parameters
    ----------
    status : int
    run : int
        Number of the last start.
    failures : int
        Runs that ended as failed.
    worker : str
        Worker of the last start.
    checkpoint : str
    """

    __slots__ = ("checkpoint", "failures", "run", "status", "worker")

    def __init__(
        self, status: int = WAITING, run: int = 0, failures: int = 0, worker="", checkpoint=""
    ) -> None:
        self.status = status
        self.run = run
        self.failures = failures
        self.worker = worker
        self.checkpoint = checkpoint

    def to_row(self) -> list:
        row = [self.status, self.run, self.failures, self.worker, self.checkpoint]
        while row and not row[-1]:
            row.pop()
        if self.status == DONE:
            return [DONE, self.run]
        return row


class StepState:
    """Tasks of one step of one occurrence."""

    __slots__ = ("done", "occurrence", "run_seconds", "spec", "step", "tasks")

    def __init__(self, occurrence: int, step: int, spec: StepSpec) -> None:
        self.occurrence = occurrence
        self.step = step
        self.spec = spec
        self.tasks = [TaskState() for _ in range(spec.count)]
        self.done = 0
        # Run times of the tasks that this process has seen end well; not kept in the record.
        self.run_seconds: list[float] = []

    @property
    def is_done(self) -> bool:
        return self.done >= len(self.tasks)

    def encode(self) -> bytes:
        return msgspec.json.encode([task.to_row() for task in self.tasks])

    def restore(self, value: bytes) -> None:
        rows = msgspec.json.decode(value, type=list[list])
        self.tasks = [TaskState(*row) for row in rows]
        self.done = sum(task.status == DONE for task in self.tasks)


class WorkflowState:
    """A workflow with its steps.

    Parameters
    ----------
    spec : Workflow
    submitted : float
        Time of submission in seconds of the owner's monotonic clock.
    submitted_unix_ms : int
        The same moment as a time of day, which the record keeps.
    """

    def __init__(self, spec: Workflow, submitted: float, submitted_unix_ms: int = 0) -> None:
        self.spec = spec
        self.submitted_unix_ms = submitted_unix_ms
        self.state = QUEUED
        # What callers may be shown: the state of the last record that the store acknowledged.
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
        """Returns the step and the task of a name, or None if there is no such task."""
        step = self.steps.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step, step.tasks[name.index]

    def list_ordered(self) -> Iterator[tuple[TaskName, TaskState]]:
        """Yields the tasks that may run somewhere."""
        for (occurrence, number), step in self.steps.items():
            for index, task in enumerate(step.tasks):
                if task.status == ORDERED:
                    yield TaskName(self.identifier, occurrence, number, index), task

    def is_ready(self, step: StepState) -> bool:
        """Whether all steps that ``step`` needs are done."""
        return all(self.steps[step.occurrence, number].is_done for number in step.spec.after)

    def is_complete(self) -> bool:
        return all(step.is_done for step in self.steps.values())

    def key(self) -> str:
        return self.identifier

    def step_key(self, step: StepState) -> str:
        return f"{self.identifier}/{step.occurrence}/{step.step}"

    def encode(self) -> bytes:
        """Returns the workflow's own record; the submission is dropped once it has ended."""
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
    """Returns the workflows that records describe, and the keys that can't be read.

    Parameters
    ----------
    records : list of (key, value)
        The newest record of each key; an empty value stands for a dropped key.
    now : float
        Seconds of the monotonic clock.
    unix_ms : int
        The same moment as a time of day.
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
