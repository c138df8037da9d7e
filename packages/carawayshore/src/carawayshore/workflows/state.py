"""State of the workflows of one partition, as persisted in the store.

A workflow has one record with its specification and state. A step that has started has one record
of all its tasks, or one record for each part of them if it is wide, so that a change of one task
writes no more than a part and no record grows with the width of its step. Records are compact JSON
arrays.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Annotated, Literal, NamedTuple

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
from carawayshore.workflows.amounts import NOTHING, Amounts
from carawayshore.workflows.crashes import WorkerLoss
from carawayshore.workflows.model import MAX_TASKS, StepSpec, TaskName, Workflow, check_steps

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

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
# Limits of what is recorded with a task, besides the identifier of its worker: the encoded
# checkpoint in bytes, and the number of losses, more than any decision asks for.
MAX_CHECKPOINT_BYTES = 4_096
MAX_RECORDED_LOSSES = 8
# Upper bound of the record of a task: a checkpoint, and the identifiers of its worker and of those
# of its losses with their numbers.
MAX_TASK_BYTES = 8_192
# A step with more tasks is recorded in parts of up to this size. Earlier versions read the records
# of narrower steps only.
MAX_PART_TASKS = 32


def count_part_tasks(record_bytes: int) -> int:
    """Returns the number of tasks in a part, such that no part exceeds ``record_bytes``."""
    return max(1, min(MAX_PART_TASKS, record_bytes // MAX_TASK_BYTES))


def fits_checkpoint(checkpoint: str) -> bool:
    """Returns whether a checkpoint can be recorded with its task."""
    return len(msgspec.json.encode(checkpoint)) <= MAX_CHECKPOINT_BYTES


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
    copy: tuple[Count, str] | None = None
    # Whether the workflow has started, although no row of the record shows it otherwise.
    workflow_started: bool = False


class CopyRun(NamedTuple):
    """Second run of a task whose step allows copies.

    Parameters
    ----------
    run : int
        Number of the run, higher than those of all runs before it.
    worker : str
        Its worker; empty once the run has ended or is not followed any more, after which only the
        number counts: the next run has a higher one.
    """

    run: int
    worker: str = ""


class OrderedRun(NamedTuple):
    """Run that may be on a worker."""

    name: TaskName
    run: int
    worker: str


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
    copy : (int, str), optional
        Its copy as a ``CopyRun``, None if the last run is not a copy. Of an ordered task, both runs
        may be on their workers.
    """

    __slots__ = ("checkpoint", "copy", "failures", "losses", "run", "status", "worker")

    def __init__(
        self,
        status: int = WAITING,
        run: int = 0,
        failures: int = 0,
        worker: str = "",
        checkpoint: str = "",
        losses: Iterable[list | WorkerLoss] = (),
        copy: tuple[int, str] | None = None,
    ) -> None:
        self.status = status
        self.run = run
        self.failures = failures
        self.worker = worker
        self.checkpoint = checkpoint
        self.losses = tuple(WorkerLoss(*loss) for loss in losses)
        self.copy = CopyRun(*copy) if copy is not None else None

    @property
    def last_run(self) -> int:
        """Highest number of its runs, that of a copy included."""
        return max(self.run, self.copy.run) if self.copy is not None else self.run

    @property
    def has_copy(self) -> bool:
        """Whether a copy may be running besides the run."""
        return self.copy is not None and bool(self.copy.worker)

    def is_copy(self, run: int, worker: str) -> bool:
        """Returns whether a run on a worker is the copy that may be running."""
        return self.has_copy and self.copy == (run, worker)

    def has_run(self, run: int, worker: str) -> bool:
        """Returns whether a run on a worker is the last run of the task or its copy."""
        return (self.run, self.worker) == (run, worker) or self.is_copy(run, worker)

    def list_runs(self) -> list[tuple[int, str]]:
        """Returns number and worker of the last run, and those of the copy if there is one."""
        runs = [(self.run, self.worker)]
        return [*runs, tuple(self.copy)] if self.has_copy else runs

    def begin_run(self, run: int, worker: str) -> None:
        """Sets the only run of the task, before it is recorded and ordered."""
        self.status, self.run, self.worker, self.copy = ORDERED, run, worker, None

    def begin_copy(self, worker: str) -> int:
        """Sets the copy of an ordered task, before it is recorded and ordered; returns its run."""
        self.copy = CopyRun(self.last_run + 1, worker)
        return self.copy.run

    def end_copy(self) -> None:
        """Forgets the worker of the copy; the run goes on as the only one."""
        if self.copy is not None:
            self.copy = CopyRun(self.copy.run)

    def promote_copy(self) -> None:
        """Makes the copy the only run, after the other one has ended without success."""
        self.run, self.worker = self.copy
        self.copy = None

    def shows_start(self, *, gang: bool) -> bool:
        """Returns whether its record shows that a worker has started one of its runs.

        A member of a gang that failed or was lost may only have waited for the others.
        """
        if self.status == DONE or self.checkpoint:
            return True
        return not gang and (self.failures > 0 or any(loss.started for loss in self.losses))

    def to_row(self, *, workflow_started: bool = False) -> list:
        losses = self.losses[-MAX_RECORDED_LOSSES:]
        row = [
            self.status,
            self.run,
            self.failures,
            self.worker,
            self.checkpoint,
            losses,
            self.copy,
            workflow_started,
        ]
        while row and not row[-1]:
            row.pop()
        if self.status == DONE:
            return [DONE, self.run]
        return row


class StepState:
    """Tasks of one step of one occurrence.

    Attributes
    ----------
    records_start : bool
        Whether its records tell that the workflow has started. Set for the step whose task was the
        first that is known to have started.
    """

    __slots__ = (
        "done_count",
        "number",
        "occurrence",
        "records_start",
        "run_seconds",
        "spec",
        "tasks",
    )

    def __init__(self, occurrence: int, number: int, spec: StepSpec) -> None:
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [TaskState() for _ in range(spec.count)]
        self.done_count = 0
        self.records_start = False
        # Run times in seconds of the tasks that succeeded while this process owned the partition;
        # not persisted.
        self.run_seconds: list[float] = []

    @property
    def is_done(self) -> bool:
        return self.done_count >= len(self.tasks)

    def encode(self) -> bytes:
        """Returns the record of all tasks."""
        return self._encode(self.tasks)

    def encode_part(self, first: int, size: int) -> bytes:
        """Returns the record of up to ``size`` tasks from number ``first`` on."""
        return self._encode(self.tasks[first : first + size])

    def _encode(self, tasks: list[TaskState]) -> bytes:
        rows = [task.to_row() for task in tasks]
        if self.records_start and not self._shows_start(tasks):
            rows[0] = tasks[0].to_row(workflow_started=True)
        return msgspec.json.encode(rows)

    def _shows_start(self, tasks: list[TaskState]) -> bool:
        return any(task.shows_start(gang=self.spec.gang) for task in tasks)

    def restore(self, value: bytes) -> None:
        """Applies the record of the step; raises MalformedDocument if it cannot be read."""
        rows = decode_json(value, list[_TaskRow])
        if len(rows) != self.spec.count:
            raise reject("", rows, f"{self.spec.count} tasks")
        self.tasks = [_restore_task(row) for row in rows]
        self.done_count = _count_done(self.tasks)
        self._restore_start(rows, self.tasks)

    def restore_part(self, first: int, value: bytes) -> None:
        """Applies the record of the tasks from number ``first`` on.

        Raises
        ------
        MalformedDocument
            If it cannot be read.
        """
        rows = decode_json(value, list[_TaskRow])
        end = first + len(rows)
        if not rows or end > len(self.tasks):
            raise reject("", rows, f"tasks from number {first} on, of {len(self.tasks)}")
        self.done_count -= _count_done(self.tasks[first:end])
        self.tasks[first:end] = [_restore_task(row) for row in rows]
        self.done_count += _count_done(self.tasks[first:end])
        self._restore_start(rows, self.tasks[first:end])

    def _restore_start(self, rows: list[_TaskRow], tasks: list[TaskState]) -> None:
        is_started = any(row.workflow_started for row in rows) or self._shows_start(tasks)
        self.records_start = self.records_start or is_started


def _count_done(tasks: list[TaskState]) -> int:
    return sum(task.status == DONE for task in tasks)


def _restore_task(row: _TaskRow) -> TaskState:
    return TaskState(
        row.status, row.run, row.failures, row.worker, row.checkpoint, row.losses, row.copy
    )


class RemainingRuns(NamedTuple):
    """What may still have been running of a workflow when it ended, until it has been stopped.

    ``ended_unix_ms`` is the time of the end in Unix milliseconds.
    """

    ended_unix_ms: UnixMilliseconds
    millicores: Count
    memory_mb: Count
    accelerators: Count


class WorkflowState:
    """State of a workflow and its steps.

    Parameters
    ----------
    spec : Workflow
    submitted : float
        Time of submission in seconds of the owner's monotonic clock.
    submitted_unix_ms : int
        The same time in Unix milliseconds, as persisted in the record.
    account : str
        Client account that submitted it, empty for none.
    """

    def __init__(
        self, spec: Workflow, submitted: float, submitted_unix_ms: int = 0, account: str = ""
    ) -> None:
        self.spec = spec
        self.account = account
        self.submitted_unix_ms = submitted_unix_ms
        self.state = QUEUED
        # State in the last record that the store acknowledged. Callers are not shown a later state,
        # except that a workflow that has started is shown as running.
        self.durable_state = ""
        self.submitted = submitted
        self.ended = 0.0
        # Whether a worker is known to have started one of its tasks. An order alone is no start: it
        # may be refused, dropped or never arrive.
        self.has_started = False
        # Whether an earlier owner has ordered a task, so that the time of the first start is not
        # known here; not persisted.
        self.was_ordered_before = False
        # Whether it is beyond what its account is owed; not persisted, so that it counts as owed
        # after a takeover.
        self.beyond_weight = False
        # Set with its end if it belongs to an account, for the next owner of its partition.
        self.remaining: RemainingRuns | None = None
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

    def iterate_ordered_runs(self) -> Iterator[OrderedRun]:
        """Yields all runs that may be on a worker: those of the ordered tasks, and their copies."""
        for name, task in self.iterate_ordered_tasks():
            for run, worker in task.list_runs():
                yield OrderedRun(name, run, worker)

    def is_ready(self, step: StepState) -> bool:
        """Returns whether all steps that ``step`` depends on are completed."""
        return all(self.steps[step.occurrence, number].is_done for number in step.spec.after)

    def is_complete(self) -> bool:
        return all(step.is_done for step in self.steps.values())

    def note_remaining(self, unix_ms: int) -> None:
        """Notes what may be running of an account's workflow that ends now."""
        if not self.account:
            return
        total = NOTHING
        for ordered in self.iterate_ordered_runs():
            spec = self.spec.steps[ordered.name.step]
            total = total.add(Amounts(spec.millicores, spec.memory_mb, spec.accelerators))
        if total != NOTHING:
            self.remaining = RemainingRuns(unix_ms, *total)

    def key(self) -> str:
        return self.identifier

    def step_key(self, step: StepState) -> str:
        return f"{self.identifier}/{step.occurrence}/{step.number}"

    def list_step_records(
        self, step: StepState, indexes: Iterable[int], part_tasks: int
    ) -> Iterator[tuple[str, Callable[[], bytes]]]:
        """Yields the keys of the records of some tasks of a step, and what encodes their values.

        Parameters
        ----------
        step : StepState
        indexes : iterable of int
            Numbers of the tasks.
        part_tasks : int
            Number of tasks in a part. A step of no more tasks has one record.
        """
        key = self.step_key(step)
        if len(step.tasks) <= part_tasks:
            yield key, step.encode
            return
        for first in sorted({index - index % part_tasks for index in indexes}):
            yield f"{key}/{first}", partial(step.encode_part, first, part_tasks)

    def encode(self) -> bytes:
        """Returns the record of the workflow, without the specification once it is terminal."""
        spec = None if self.is_terminal else self.spec
        row = [self.state, self.spec.service, self.spec.queue, self.submitted_unix_ms, spec]
        # Left out without an account, so that these records are the same as before.
        if self.account:
            row += [self.account] if self.remaining is None else [self.account, self.remaining]
        return msgspec.json.encode(row)


class _Record(msgspec.Struct, array_like=True):
    state: Literal["queued", "running", "completed", "failed", "cancelled"]
    service: str
    queue: str
    submitted_unix_ms: UnixMilliseconds
    spec: Workflow | None
    account: str = ""
    remaining: RemainingRuns | None = None


def _restore_workflow(key: str, value: bytes, now: float, unix_ms: int) -> WorkflowState:
    record = decode_json(value, _Record)
    if record.spec:
        _check_spec(record.spec, key)
    spec = record.spec or Workflow(key, record.service, record.queue, 0, 1, 1.0, 0, "", ())
    submitted_unix_ms = int(record.submitted_unix_ms)
    age = max(0, unix_ms - submitted_unix_ms) / 1000
    workflow = WorkflowState(spec, now - age, submitted_unix_ms, record.account)
    workflow.remaining = record.remaining
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


def _parse_step_key(key: str) -> tuple[str, int, int, int | None]:
    """Returns workflow, occurrence, step, and the first task of a part, None for a whole step."""
    identifier, *numbers = key.split("/")
    if len(numbers) not in (2, 3):
        raise reject("", key, "a key of the form ID/OCCURRENCE/STEP or ID/OCCURRENCE/STEP/FIRST")
    occurrence, number, *first = (parse_count(text) for text in numbers)
    return identifier, occurrence, number, first[0] if first else None


class RestoredWorkflows(NamedTuple):
    """Workflows decoded from records.

    Parameters
    ----------
    workflows : dict of str to WorkflowState
    unreadable : list of str
        Keys of the records that could not be decoded.
    closed_steps : list of (WorkflowState, StepState)
        Steps of which a record could not be decoded.
    leftovers : list of str
        Keys of parts of steps whose workflow has ended or is not known. A later workflow of the
        same identifier must not find them.
    """

    workflows: dict[str, WorkflowState]
    unreadable: list[str]
    closed_steps: list[tuple[WorkflowState, StepState]]
    leftovers: list[str]


def restore_workflows(
    records: list[tuple[str, bytes]], now: float, unix_ms: int
) -> RestoredWorkflows:
    """Decodes the records of a partition.

    Parameters
    ----------
    records : list of (key, value)
        Latest record of each key, in the order in which they were written; an empty value stands
        for a deleted key.
    now : float
        Seconds of the monotonic clock.
    unix_ms : int
        The same time in Unix milliseconds.
    """
    restored = RestoredWorkflows({}, [], [], [])
    steps: list[tuple[str, bytes]] = []
    for key, value in records:
        if not value:
            continue
        if "/" in key:
            steps.append((key, value))
            continue
        try:
            restored.workflows[key] = _restore_workflow(key, value, now, unix_ms)
        except MalformedDocument:
            restored.unreadable.append(key)
    # An owner of an earlier version records a wide step as a whole, also after parts of it.
    for key, value in steps:
        try:
            _restore_step(restored, key, value)
        except MalformedDocument:
            restored.unreadable.append(key)
    return restored


def _restore_step(restored: RestoredWorkflows, key: str, value: bytes) -> None:
    identifier, occurrence, number, first = _parse_step_key(key)
    workflow = restored.workflows.get(identifier)
    if workflow is None or workflow.is_terminal:
        # The record of a workflow that cannot be read may be written again.
        if first is not None and identifier not in restored.unreadable:
            restored.leftovers.append(key)
        return
    step = workflow.steps.get((occurrence, number))
    if step is None:
        return
    try:
        if first is None:
            step.restore(value)
        else:
            step.restore_part(first, value)
    except MalformedDocument:
        if (workflow, step) not in restored.closed_steps:
            restored.closed_steps.append((workflow, step))
        raise
    workflow.was_ordered_before |= any(task.run for task in step.tasks)
    workflow.has_started |= step.records_start
    if workflow.has_started and workflow.state == QUEUED:
        workflow.state = workflow.durable_state = RUNNING
