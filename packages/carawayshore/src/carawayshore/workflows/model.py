"""Data model of workflows, queue configuration, workers, machines and their load."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from carawayshore.findings import Finding
from carawayshore.workflows.amounts import NOTHING, Amounts

MAX_STEPS = 100
MAX_TASKS = 10_000


class TaskName(NamedTuple):
    """Identifies a task by workflow, occurrence, step number and index in the step."""

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
        Declared run time of one task, 0 for none; often inaccurate.
    after : tuple of int
        Numbers of the earlier steps that must be completed first.
    checkpointing : bool
        Whether a run can resume from the checkpoint of an earlier run.
    gang : bool
        Whether the tasks make progress only while all of them run.
    same_rack : bool
        Whether the tasks are slow when they run on more than one rack.
    label : str
        Label that a worker must have, empty for none.
    rack : str
        Rack near the data, empty for none; the tasks are slow on other racks.
    most_per_worker : int
        Maximum number of tasks of one occurrence on one worker, 0 for no limit.
    speculative : bool
        Whether a task may run twice concurrently; the result of the first run to end is used.
    long_running : bool
        Whether the tasks run until the workflow is cancelled.
    image : str
        Image of the tasks; tasks of one image behave alike.
    latency_target_ms : int
        Maximum tail latency of a serving task, 0 for a step that serves no callers.
    best_effort : bool
        Whether the tasks use only processor time that other tasks leave idle.
    most_away : int
        Maximum number of tasks of a long-running step that may be unavailable because of actions
        of this system.
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


class AdviceConfig(NamedTuple):
    """Limits of the placement policy of a queue.

    Parameters
    ----------
    decision_ms, per_worker_ms : int
        Time of one call to the policy: a fixed part, and a part for each worker.
    valid_ms : int
        Lifetime of the tickets that a call returns.
    """

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


class QueueConfig(NamedTuple):
    """Configuration of a queue: its address for callers and the objective of its workflows.

    A workflow is due ``stretch`` times the run time of its longest chain of steps, plus
    ``allowance_ms``, after its submission. Calls to a ``public`` queue need no key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_failures: int
    stretch: float
    allowance_ms: int
    timeout_ms: int
    advice: AdviceConfig | None
    public: bool = False


class ServiceConfig(NamedTuple):
    """A service; ``enforces_capacity`` says whether its workers refuse tasks that do not fit."""

    name: str
    enforces_capacity: bool
    standby: bool
    health_path: str


class AccountConfig(NamedTuple):
    """A client account.

    Parameters
    ----------
    name : str
    weight : float
        Share of the account when capacity is short, relative to the others; also the number of
        workflows per second up to which its work precedes that beyond the weight of others.
    cap : Amounts
        Limit of what the account may have running on all workers together, 0 for no limit.
    """

    name: str
    weight: float = 1.0
    cap: Amounts = NOTHING


class CallerLimits(NamedTuple):
    """Limits of the requests of callers; times in seconds.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Largest request line with header fields, and largest body.
    head_seconds : float
        Time from the first byte of a request until its header fields are complete.
    idle_seconds : float
        Time for which a connection without a request stays open.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_seconds: float = 10.0
    idle_seconds: float = 75.0


class Deployment(NamedTuple):
    """One version of the configuration.

    ``accounts`` is None if the configuration does not speak of client accounts; no call needs a key
    then. ``accounts_by_key`` maps the digest of each key (see ``accounts.hash_key``) to the name of
    its account.
    """

    version: int
    queues: tuple[QueueConfig, ...]
    services: dict[str, ServiceConfig]
    limits: CallerLimits = CallerLimits()
    accounts: Mapping[str, AccountConfig] | None = None
    accounts_by_key: Mapping[bytes, str] = MappingProxyType({})

    def find_queue(self, host: str, path: str) -> QueueConfig | None:
        """Returns the queue with the longest prefix that matches, or None."""
        found = (
            queue for queue in self.queues if queue.host == host and path.startswith(queue.prefix)
        )
        return max(found, key=lambda queue: len(queue.prefix), default=None)


class WorkerEntry(NamedTuple):
    """A worker as it registered itself.

    ``born`` is the start of its process in Unix milliseconds, 0 if unknown. ``drain_seconds`` is
    the time that a draining worker had left at least when it wrote the entry, 0 if unknown.
    """

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
    drain_seconds: float = 0.0

    @property
    def rack(self) -> str:
        """Rack of the worker: its last label if it has more than one, otherwise empty."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class Machine(NamedTuple):
    """A machine of a pool; ``worker`` is the worker that runs on it, empty for none."""

    machine: str
    pool: str
    state: str
    data_centre: str
    labels: tuple[str, ...]
    millicores: int
    worker: str


class Wave(NamedTuple):
    """Machines due for upkeep within ``window_seconds``, at most ``max_down`` of them at once."""

    number: int
    machines: tuple[str, ...]
    window_seconds: float
    max_down: int


class WorkerLoad(NamedTuple):
    """Load of a worker as known to the owner of its partition.

    Parameters
    ----------
    worker : str
    tasks, long_running : int
        Number of tasks, and of long-running tasks among them.
    millicores : int
        Size of the worker.
    cordoned : bool
        Whether the worker is given no further tasks, since it leaves or is to be taken out of
        service.
    heard : bool
        Whether the worker has reported recently.
    """

    worker: str
    tasks: int
    long_running: int
    millicores: int
    cordoned: bool
    heard: bool


class LargeTaskNeed(NamedTuple):
    """What a pool needs for short tasks that fit beside no long-running runs and claims.

    Parameters
    ----------
    missing : int
        Machines that it needs beyond the workers that take tasks now.
    kept : tuple of str
        Idle workers that are the only ones to hold tasks of accepted workflows.
    """

    missing: int = 0
    kept: tuple[str, ...] = ()


NO_LARGE_TASKS = LargeTaskNeed()


class ServiceLoad(NamedTuple):
    """Demand of a service.

    Parameters
    ----------
    service : str
    long_running_cores : float
        Cores of the long-running tasks, running or waiting.
    running_cores : float
        Cores of the running short tasks.
    waiting_core_seconds : float
        Work of the accepted short tasks that are ready and wait for capacity.
    offered_cores : float
        Cores that the recently submitted workflows use while they run, accepted or not; repeated
        submissions count once.
    workers : tuple of WorkerLoad
    long_running_workers : int
        Workers that the long-running tasks, running or waiting, need because of their resources and
        the limits of their steps. 0 from an owner of an earlier version.
    large_tasks : LargeTaskNeed
        Empty from an owner of an earlier version.
    """

    service: str
    long_running_cores: float
    running_cores: float
    waiting_core_seconds: float
    offered_cores: float
    workers: tuple[WorkerLoad, ...]
    long_running_workers: int = 0
    large_tasks: LargeTaskNeed = NO_LARGE_TASKS


def encode_load(load: ServiceLoad) -> tuple:
    """Returns the fields of a load, without ``large_tasks`` if it is empty.

    A holder of the fleet of an earlier version rejects a load with more fields than it knows.
    """
    return tuple(load) if load.large_tasks != NO_LARGE_TASKS else tuple(load)[:-1]


class Workflow(NamedTuple):
    """A submitted job with the configuration of its queue at the time of submission."""

    identifier: str
    service: str
    queue: str
    priority: int
    max_failures: int
    stretch: float
    allowance_ms: int
    spec: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    advice: AdviceConfig | None = None

    @property
    def occurrences(self) -> int:
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> int:
        """Returns the earliest start of an occurrence in Unix milliseconds, 0 for at once."""
        return self.first_due_ms + occurrence * self.interval_ms if self.repeats else 0


class QueueVersion(NamedTuple):
    """A queue, by its address for callers, as one version of the configuration has it."""

    host: str
    prefix: str
    version: int


class Submission(NamedTuple):
    """A workflow, the queue that the entry host submits it to, and the client account.

    ``account`` is empty for a call to a public queue without a known key, and from an entry host
    of an earlier version.
    """

    workflow: Workflow
    queue: QueueVersion
    account: str = ""


class AbsenceQuery(NamedTuple):
    """Question whether a workflow is known, by an entry host that is to submit it elsewhere.

    ``queue`` is the queue by the version in which it has moved.
    """

    workflow: str
    queue: QueueVersion


def check_steps(steps: list[StepSpec]) -> list[Finding]:
    """Returns the findings that make the steps invalid, whatever the capacity of the workers."""
    found = []
    if len(steps) > MAX_STEPS or sum(max(0, step.count) for step in steps) > MAX_TASKS:
        found.append(Finding("/steps", len(steps), f"{MAX_STEPS} steps, {MAX_TASKS} tasks at most"))
    for position, step in enumerate(steps):
        pointer = f"/steps/{position}"
        if step.count < 1:
            found.append(Finding(f"{pointer}/count", step.count, "1 or more"))
        if min(step.millicores, step.memory_mb, step.accelerators) < 0:
            found.append(Finding(pointer, "a negative resource", "resources from 0"))
        invalid = [number for number in step.after if not 0 <= number < position]
        if invalid:
            found.append(Finding(f"{pointer}/after", invalid, "numbers of earlier steps"))
    return found
