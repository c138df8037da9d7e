"""Who acts next on each task whose turn has come and that is not at work, and until when.

Each wait has a bound of its own, but a task that nothing drives waits without end and looks like
one that waits for room. So every such task has one named driver with a time by which it acts. The
look reads the tables of the partition owner and changes nothing; ``DriverWatch`` compares
successive looks, counts the tasks without a driver and logs each of them once.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayd.partition.latestarts import MAX_DELAY_SECONDS
from carawayd.partition.strayorders import STRAY_SECONDS, UNSENT_SECONDS
from carawayd.partition.workerlink import (
    ORDER_VALIDITY_MS,
    REPORT_WAIT_SECONDS,
    SENDING,
    STARTED,
    STOP_REPEAT_SECONDS,
    UNKNOWN,
    Order,
    WorkerLink,
)
from carawayd.platform.runs import format_task
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import ORDERED, WAITING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence

    from carawayd.partition.contactloss import ContactLoss
    from carawayd.partition.ledger import Ledger
    from carawayd.partition.waitreasons import WaitReasons
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

    StepKey = tuple[str, int, int]
    StepDriver = Callable[["Look", WorkflowState, StepKey], "Driver | None"]
    RunDriver = Callable[["Look", TaskName, int, str], "Driver | None"]

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 1.0
# Time beyond the named one after which a driver that has done nothing counts as none. A driver may
# be held up by one append that is not yet a stall, and by one interval of the owner's scan.
MARGIN_SECONDS = 2.0
# Longest time from one report of a worker to the next one, or to the first failed request: the
# wait of the request, a call without an answer, and the delay before the next call.
REPORT_SECONDS = REPORT_WAIT_SECONDS + 2.0
# Time between two plans (``owner.PLAN_INTERVAL_SECONDS``).
PLAN_SECONDS = 0.25
# Time in which the record of a new workflow is written while the store answers.
ACCEPTANCE_SECONDS = 1.0
# Interval at which the ledger repeats an append, and tries a refused record again.
APPEND_RETRY_SECONDS = 0.4
REFUSED_RETRY_SECONDS = 5.0
# Maximum number of tasks that one look logs.
MAX_LINES_PER_CHECK = 5

NONE = "none"


class Driver(NamedTuple):
    """What acts next on a task.

    Parameters
    ----------
    kind : str
        Name in the registry, ``none`` if nothing acts on the task.
    reason : str
        What it waits for, from a small set of texts; empty if the kind tells.
    until : float
        Time by which it acts, in seconds of the local clock.
    mark : tuple
        Changes with each step that the driver takes, so that an equal mark after ``until`` shows
        that nothing was done.
    """

    kind: str
    reason: str
    until: float
    mark: tuple = ()


class Tables(NamedTuple):
    """Tables of the partition owner, which updates them.

    ``orphans`` has the tasks that wait for the leases of a worker without a link, those of copies
    apart; ``longest_lease_seconds`` bounds the leases of former owners from the takeover on.
    """

    workflows: Mapping[str, WorkflowState]
    links: Mapping[str, WorkerLink]
    open_steps: Mapping[StepKey, StepState]
    suspended_steps: Mapping[StepKey, Any]
    closed_steps: Collection[tuple[WorkflowState, StepState]]
    orphans: Sequence[Mapping[TaskName, str]]
    contact_loss: ContactLoss
    ledger: Ledger
    longest_lease_seconds: float
    get_loaded_at: Callable[[], float]


class Look(NamedTuple):
    """Tables at one moment."""

    tables: Tables
    now: float
    planned_at: float
    # Whether the store does not answer the present append.
    is_stalled: bool

    def find_order(self, name: TaskName, run: int, worker: str) -> tuple[WorkerLink, Order] | None:
        """Returns the link and the order that track a run; a closed link tracks none."""
        link = self.tables.links.get(worker)
        order = link.orders.get(name) if link is not None and not link.closed else None
        return (link, order) if order is not None and order.run == run else None


class Absence(NamedTuple):
    """Task whose turn has come and that is not at work, with its driver.

    ``count`` is the number of waiting tasks of its step, which all have the same driver; 1 for an
    ordered task.
    """

    workflow: WorkflowState
    step: StepState
    name: TaskName
    task: TaskState
    driver: Driver
    count: int


class Undriven(NamedTuple):
    """Task that nothing drives; ``overdue_seconds`` is the time since its driver should have acted.

    The driver is named although it has done nothing.
    """

    absence: Absence
    overdue_seconds: float


# Drivers of waiting tasks and of runs, in the order in which they are asked.
STEP_DRIVERS: dict[str, StepDriver] = {}
RUN_DRIVERS: dict[str, RunDriver] = {}


def step_driver(kind: str) -> Callable[[StepDriver], StepDriver]:
    """Registers what may drive the waiting tasks of a step."""

    def register(function: StepDriver) -> StepDriver:
        STEP_DRIVERS[kind] = function
        return function

    return register


def run_driver(kind: str) -> Callable[[RunDriver], RunDriver]:
    """Registers what may drive a run that was ordered and is not at work."""

    def register(function: RunDriver) -> RunDriver:
        RUN_DRIVERS[kind] = function
        return function

    return register


# -- waiting tasks -------------------------------------------------------------------------------


@step_driver("acceptance")
def _find_acceptance(look: Look, workflow: WorkflowState, key: StepKey) -> Driver | None:
    """The steps of a workflow are opened once its record is durable."""
    if workflow.durable_state:
        return None
    if look.is_stalled:
        return _await_store("acceptance", look)
    return Driver("acceptance", "record", look.now + ACCEPTANCE_SECONDS)


@step_driver("planner")
def _find_planner(look: Look, workflow: WorkflowState, key: StepKey) -> Driver | None:
    if key not in look.tables.open_steps:
        return None
    if look.is_stalled:
        return _await_store("planner", look)
    return Driver("planner", "", look.planned_at + PLAN_SECONDS, (look.planned_at,))


@step_driver("ledger")
def _find_suspension(look: Look, workflow: WorkflowState, key: StepKey) -> Driver | None:
    """A step whose record the store has refused is opened once the ledger has written it."""
    if key not in look.tables.suspended_steps:
        return None
    if look.is_stalled:
        return _await_store("ledger", look)
    if look.tables.ledger.has_refused_records:
        return Driver("ledger", "refused record", look.now + REFUSED_RETRY_SECONDS, (look.now,))
    return Driver("ledger", "written record", look.now)


@step_driver("closed step")
def _find_closed_step(look: Look, workflow: WorkflowState, key: StepKey) -> Driver | None:
    """A step whose record could not be read is opened once the leases of former owners are over."""
    for other, step in look.tables.closed_steps:
        if (other.identifier, step.occurrence, step.number) == key:
            until = look.tables.get_loaded_at() + look.tables.longest_lease_seconds
            return Driver("closed step", "leases of former owners", until)
    return None


def _await_store(kind: str, look: Look) -> Driver:
    """The ledger repeats its append until the store answers, or the partition is given up."""
    return Driver(kind, "store does not answer", look.now + APPEND_RETRY_SECONDS, (look.now,))


# -- ordered runs --------------------------------------------------------------------------------


@run_driver("orphan")
def _find_orphan(look: Look, name: TaskName, run: int, worker: str) -> Driver | None:
    """A run on a worker without a link ends with every lease on it."""
    if all(orphans.get(name) != worker for orphans in look.tables.orphans):
        return None
    return Driver("orphan", "lease", look.now + _measure_former_leases(look, worker), (worker,))


@run_driver("start order")
def _find_start_order(look: Look, name: TaskName, run: int, worker: str) -> Driver | None:
    """An order is sent by its own task; one that is late is taken over by ``StrayOrders``."""
    found = look.find_order(name, run, worker)
    if found is None or found[1].state != SENDING:
        return None
    order = found[1]
    if order.may_have_started:
        return Driver("start order", "being sent", order.sent_at + STRAY_SECONDS, (run, worker))
    reason = "store does not answer" if look.is_stalled else "not sent"
    return Driver("start order", reason, order.ordered_at + UNSENT_SECONDS, (run, worker))


@run_driver("lease")
def _find_lease(look: Look, name: TaskName, run: int, worker: str) -> Driver | None:
    """The link of an unresponsive worker asks it until its lease has expired."""
    found = look.find_order(name, run, worker)
    if found is None or not found[0].is_unresponsive:
        return None
    link = found[0]
    left = link.measure_lease_seconds()
    if left is None:
        left = _measure_former_leases(look, worker)
    reported_at = round(look.now - link.silent_seconds, 3)
    until = look.now + max(0.0, left) + REPORT_SECONDS
    return Driver("lease", "worker unresponsive", until, (worker, reported_at))


@run_driver("report")
def _find_report(look: Look, name: TaskName, run: int, worker: str) -> Driver | None:
    """A report that is later than the expiry of an unanswered order settles it."""
    found = look.find_order(name, run, worker)
    if found is None or found[1].state != UNKNOWN:
        return None
    link, order = found
    mark = (run, worker, link.incarnation, order.absence_certain_after_ms)
    if order.is_adopted:
        # An adopted run counts from its tracking, and as sent until its expiry at the latest.
        until = max(look.now, order.sent_at + ORDER_VALIDITY_MS / 1000) + REPORT_SECONDS
        return Driver("report", "former run", until, mark)
    if (name, run) not in link.late_starts.list_runs():
        return Driver("report", "run may have ended", look.now + REPORT_SECONDS, mark)
    # After a restart of the worker, the order may reach its new start for so long.
    until = max(look.now, order.sent_at + MAX_DELAY_SECONDS) + REPORT_SECONDS
    return Driver("report", "unanswered order", until, mark)


@run_driver("stop")
def _find_stop(look: Look, name: TaskName, run: int, worker: str) -> Driver | None:
    """A stop order is repeated at reports until the run is no longer listed."""
    found = look.find_order(name, run, worker)
    if found is None or found[1].state != STARTED or not found[1].stopping:
        return None
    until = max(found[1].stop_sent, 0.0) + STOP_REPEAT_SECONDS + REPORT_SECONDS
    return Driver("stop", "run is stopping", until, (run, worker, found[1].stop_sent))


def _measure_former_leases(look: Look, worker: str) -> float:
    """Returns for how long the leases of former owners on a worker may last."""
    measured = look.tables.contact_loss.measure_seconds(worker)
    return max(0.0, look.tables.longest_lease_seconds - measured)


# -- look ----------------------------------------------------------------------------------------


def find_step_driver(look: Look, workflow: WorkflowState, key: StepKey) -> Driver:
    """Returns what drives the waiting tasks of a step."""
    for find in STEP_DRIVERS.values():
        found = find(look, workflow, key)
        if found is not None:
            return found
    return Driver(NONE, "step is not open", look.now)


def find_task_driver(look: Look, name: TaskName, task: TaskState) -> Driver:
    """Returns what drives an ordered task: of a run and its copy, what acts first."""
    found = []
    for number, (run, worker) in enumerate(task.list_runs()):
        for find in RUN_DRIVERS.values():
            driver = find(look, name, run, worker)
            if driver is not None:
                kind = f"copy: {driver.kind}" if number else driver.kind
                found.append(driver._replace(kind=kind))
                break
    if found:
        return min(found, key=lambda item: item.until)
    return Driver(NONE, "run is not tracked", look.now)


def is_at_work(look: Look, name: TaskName, task: TaskState) -> bool:
    """Returns whether a run of an ordered task is known to have started and is not stopping."""
    for run, worker in task.list_runs():
        found = look.find_order(name, run, worker)
        if found is not None:
            link, order = found
            if order.state == STARTED and not order.stopping and not link.is_unresponsive:
                return True
    return False


def iterate_absences(
    look: Look,
    is_due: Callable[[WorkflowState, StepState], bool],
    *,
    leaves_out_open_steps: bool = False,
) -> Iterator[Absence]:
    """Yields the ordered tasks that are not at work, and one waiting task of each step.

    With ``leaves_out_open_steps``, waiting tasks that the planner drives are left out: under load
    there are thousands of them.
    """
    for workflow in look.tables.workflows.values():
        if workflow.is_terminal:
            continue
        for step in workflow.steps.values():
            if step.is_done or not workflow.is_ready(step) or not is_due(workflow, step):
                continue
            key = (workflow.identifier, step.occurrence, step.number)
            is_left_out = (
                leaves_out_open_steps and key in look.tables.open_steps and workflow.durable_state
            )
            first, count = None, 0
            for index, task in enumerate(step.tasks):
                if task.status == WAITING:
                    first, count = (index if first is None else first), count + 1
                elif task.status == ORDERED:
                    name = TaskName(*key, index)
                    if not is_at_work(look, name, task):
                        driver = find_task_driver(look, name, task)
                        yield Absence(workflow, step, name, task, driver, 1)
            if first is not None and not is_left_out:
                driver = find_step_driver(look, workflow, key)
                name = TaskName(*key, first)
                yield Absence(workflow, step, name, step.tasks[first], driver, count)


class _Sight(NamedTuple):
    """Driver that a task had at the last look, and the time by which it was first to act."""

    kind: str
    mark: tuple
    until: float


class DriverWatch:
    """Compares successive looks at one partition and reports the tasks that nothing drives.

    Parameters
    ----------
    tables : Tables
    reasons : WaitReasons
    list_services : callable
        Returns the services of the partition.
    is_due : callable
        Returns whether the start time of a step has come.
    clock : Clock
    metrics : WorkflowMetrics

    Attributes
    ----------
    undriven : list of Undriven
        Result of the last look.
    checked_at : float
        Time of the last look, in seconds of the local clock.
    """

    def __init__(
        self,
        tables: Tables,
        reasons: WaitReasons,
        *,
        list_services: Callable[[], set[str]],
        is_due: Callable[[WorkflowState, StepState], bool],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._tables = tables
        self._reasons = reasons
        self._list_services = list_services
        self._is_due = is_due
        self._clock = clock
        self._metrics = metrics
        self.undriven: list[Undriven] = []
        self.checked_at = -CHECK_INTERVAL_SECONDS
        self._planned_at = self._now()
        self._sights: dict[TaskName, _Sight] = {}
        self._logged: set[TaskName] = set()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def note_plan(self) -> None:
        """Notes that the planner looks at all open steps."""
        self._planned_at = self._now()

    def find_driver(self, workflow: WorkflowState, name: TaskName, task: TaskState) -> Driver:
        """Returns what drives a task that is not at work now."""
        look = self._look()
        if task.status == ORDERED:
            return find_task_driver(look, name, task)
        return find_step_driver(look, workflow, name[:3])

    def _look(self) -> Look:
        return Look(self._tables, self._now(), self._planned_at, self._tables.ledger.is_stalled)

    def check(self, epoch: int) -> None:
        """Looks at all tasks that are not at work, and counts and logs those without a driver."""
        look = self._look()
        if look.now - self.checked_at < CHECK_INTERVAL_SECONDS:
            return
        self.checked_at = look.now
        is_planner_active = look.is_stalled or look.now - look.planned_at <= PLAN_SECONDS
        absences = iterate_absences(look, self._is_due, leaves_out_open_steps=is_planner_active)
        self.undriven = list(self._compare(look, absences))
        counts: Counter[str] = Counter()
        for item in self.undriven:
            counts[item.absence.workflow.spec.service] += item.absence.count
        for service in self._list_services() | counts.keys():
            self._metrics.undriven_tasks.labels(service).set(counts[service])
        self._logged &= {item.absence.name for item in self.undriven}
        news = [item for item in self.undriven if item.absence.name not in self._logged]
        for item in news[:MAX_LINES_PER_CHECK]:
            self._logged.add(item.absence.name)
            self._log(epoch, item)

    def _compare(self, look: Look, absences: Iterable[Absence]) -> Iterator[Undriven]:
        former, self._sights = self._sights, {}
        for absence in absences:
            driver, name = absence.driver, absence.name
            if driver.kind == NONE:
                yield Undriven(absence, 0.0)
                continue
            # Nothing that needs a record can act meanwhile, reports among it.
            if look.is_stalled:
                continue
            sight = former.get(name)
            if sight is None or (sight.kind, sight.mark) != (driver.kind, driver.mark):
                # After a stall of the store, a driver gets its first chance to act now.
                sight = _Sight(driver.kind, driver.mark, max(driver.until, look.now))
            self._sights[name] = sight
            if look.now - sight.until > MARGIN_SECONDS:
                yield Undriven(absence, look.now - sight.until)

    def clear(self) -> None:
        """Resets the metric, once the partition is no longer owned here."""
        self.undriven = []
        for service in self._list_services():
            self._metrics.undriven_tasks.labels(service).set(0)

    def _log(self, epoch: int, item: Undriven) -> None:
        absence, task = item.absence, item.absence.task
        detail = (
            self._reasons.describe_run(absence.name, task)
            if task.status == ORDERED
            else self._reasons.describe_choice(absence.workflow, absence.step, absence.name).detail
        )
        logger.error(
            "nothing drives a task whose turn has come",
            extra={
                "fields": {
                    "task": format_task(absence.name),
                    "epoch": epoch,
                    "driver": absence.driver.kind,
                    "reason": absence.driver.reason,
                    "overdue_seconds": round(item.overdue_seconds, 1),
                    "tasks": absence.count,
                    "state": "ordered" if task.status == ORDERED else "waiting",
                    "runs": task.list_runs(),
                    "job": [absence.workflow.state, absence.workflow.durable_state],
                    "losses": len(task.losses),
                }
                | detail
            },
        )
