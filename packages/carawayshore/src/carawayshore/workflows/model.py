"""What callers submit, what operators configure, and what workers offer."""

from __future__ import annotations

from typing import NamedTuple

from carawayshore.findings import Finding

MAX_STEPS = 100
MAX_TASKS = 10_000


class TaskName(NamedTuple):
    """One task: the workflow, its occurrence, the step and the index in the step."""

    workflow: str
    occurrence: int
    step: int
    index: int


class StepSpec(NamedTuple):
    """One step of a workflow.

    Parameters
    ----------
    count : int
        Number of tasks.
    millicores, memory_mb, accelerators : int
        Resources of one task.
    estimate_ms : int
        Declared run time of one task, often far off.
    after : tuple of int
        Earlier steps that must be done first.
    checkpointing : bool
        Whether a run can resume from the checkpoint of an earlier one.
    gang : bool
        Whether the tasks work only while all of them run.
    same_rack : bool
        Whether the tasks are slow when they run on more than one rack.
    label : str
        Label that a worker must have.
    rack : str
        Rack near the data; tasks are slow elsewhere.
    most_per_worker : int
        Most tasks of one occurrence on one worker, 0 for no limit.
    speculative : bool
        Whether a task may run twice, the first end counts.
    long_running : bool
        Whether the tasks run until the workflow is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    latency_target_ms : int
        Highest tail latency of a serving task, 0 for none.
    best_effort : bool
        Whether the tasks use only what other tasks leave idle.
    most_away : int
        Most tasks of a long-running step that may be away through our own actions.
    """

    count: int = 1
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    best_effort: bool = False
    most_away: int = 0


class AdviceTerms(NamedTuple):
    """Placement policy of a queue: the time of one call and the lifetime of its tickets, in ms."""

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


class QueueTerms(NamedTuple):
    """A queue: where callers find it and what its workflows are promised.

    A workflow is due ``stretch`` times its longest chain of work plus ``allowance_ms`` after its
    submission.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    most_failures: int
    stretch: float
    allowance_ms: int
    timeout_ms: int
    advice: AdviceTerms | None


class ServiceTerms(NamedTuple):
    """A service; ``guards_capacity`` says whether its workers refuse what does not fit."""

    name: str
    guards_capacity: bool
    standby: bool
    health_path: str


class Deployment(NamedTuple):
    """One version of the configuration."""

    version: int
    queues: tuple[QueueTerms, ...]
    services: dict[str, ServiceTerms]
    most_body_bytes: int

    def find_queue(self, host: str, path: str) -> QueueTerms | None:
        """Returns the queue of a path: the one with the longest prefix."""
        found = (
            queue for queue in self.queues if queue.host == host and path.startswith(queue.prefix)
        )
        return max(found, key=lambda queue: len(queue.prefix), default=None)


class WorkerEntry(NamedTuple):
    """What a worker says of itself; ``born`` is its start in Unix milliseconds, 0 if unknown."""

    worker: str
    service: str
    address: str
    data_centre: str
    state: str
    millicores: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    machine: str
    born: int

    @property
    def rack(self) -> str:
        """The rack, which the workers give as their last label."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class Machine(NamedTuple):
    """A machine of a pool; ``worker`` is its present life as a worker, empty for none."""

    machine: str
    pool: str
    state: str
    data_centre: str
    labels: tuple[str, ...]
    millicores: int
    worker: str


class Wave(NamedTuple):
    """Machines due for upkeep within a time, at most ``most_down`` of them at once."""

    number: int
    machines: tuple[str, ...]
    within_seconds: float
    most_down: int


class WorkerLoad(NamedTuple):
    """What runs on a worker, as its owner knows it."""

    worker: str
    tasks: int
    long_running: int
    millicores: int
    cordoned: bool
    heard: bool


class ServiceLoad(NamedTuple):
    """Demand of a service.

    Parameters
    ----------
    service : str
    long_running_cores : float
        Cores of the long-running tasks, those that wait included.
    running_cores : float
        Cores of the short tasks that run.
    waiting_core_seconds : float
        Work of the accepted short tasks that could run now and wait for room.
    offered_cores : float
        Cores that the workflows submitted lately use while they run, whether they were accepted or
        not; repeated submissions count once.
    workers : tuple of WorkerLoad
    """

    service: str
    long_running_cores: float
    running_cores: float
    waiting_core_seconds: float
    offered_cores: float
    workers: tuple[WorkerLoad, ...]


class Workflow(NamedTuple):
    """A submitted job with the terms of its queue at the time of submission."""

    identifier: str
    service: str
    queue: str
    priority: int
    most_failures: int
    stretch: float
    allowance_ms: int
    spec: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    advice: AdviceTerms | None = None

    @property
    def occurrences(self) -> int:
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> int:
        """Unix milliseconds at which an occurrence may start, 0 for at once."""
        return self.first_due_ms + occurrence * self.interval_ms if self.repeats else 0


def check_steps(steps: list[StepSpec]) -> list[Finding]:
    """Returns what makes the steps impossible, whatever the workers offer."""
    found = []
    if len(steps) > MAX_STEPS or sum(max(0, step.count) for step in steps) > MAX_TASKS:
        found.append(Finding("/steps", len(steps), f"{MAX_STEPS} steps, {MAX_TASKS} tasks at most"))
    for place, step in enumerate(steps):
        pointer = f"/steps/{place}"
        if step.count < 1:
            found.append(Finding(f"{pointer}/count", step.count, "1 or more"))
        if min(step.millicores, step.memory_mb, step.accelerators) < 0:
            found.append(Finding(pointer, "a negative resource", "resources from 0"))
        wrong = [number for number in step.after if not 0 <= number < place]
        if wrong:
            found.append(Finding(f"{pointer}/after", wrong, "numbers of earlier steps"))
    return found
