"""Builds owners whose only task is in a chosen state."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from owner_builders import CLOCK_MS, WORKER, OwnerHarness

from carawayd.partition.workerlink import SENDING, STARTED, UNKNOWN, Order
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import ORDERED, CopyRun

if TYPE_CHECKING:
    from collections.abc import Callable

JOB = "a" * 16
TASK = TaskName(JOB, 0, 0, 0)
KEY = TASK[:3]
# Worker without a link.
ABSENT = "w9"
EXPIRY_MS = CLOCK_MS + 1_500

STATES: dict[str, Callable[[OwnerHarness], None]] = {}


def state(name: str) -> Callable:
    """Registers a state of the task."""

    def register(function: Callable[[OwnerHarness], None]) -> Callable:
        STATES[name] = function
        return function

    return register


def build_owner(name: str) -> OwnerHarness:
    """Returns an owner with one worker that has reported, and one task in the state ``name``."""
    harness = OwnerHarness()
    harness.add_workflow(JOB, 2000)
    harness.list_worker()
    harness.report(clock_ms=CLOCK_MS)
    harness.owner._drivers.note_plan()
    STATES[name](harness)
    return harness


def _find(harness: OwnerHarness):
    return harness.owner._find_task(TASK)


@state("step was not opened")
def leave_step(harness: OwnerHarness) -> None:
    """Leaves the step as it is."""


@state("step is open")
def open_step(harness: OwnerHarness) -> None:
    harness.owner._open_step(*_find(harness)[:2])


@state("step is open, store stalled")
def stall_store(harness: OwnerHarness) -> None:
    open_step(harness)
    harness.owner.ledger._append_started_at = harness.clock.elapsed() - timedelta(seconds=1)


@state("record of the step refused")
def suspend_step(harness: OwnerHarness) -> None:
    workflow, step, _ = _find(harness)
    harness.owner._suspended_steps[KEY] = (workflow, step, 0)
    harness.owner.ledger._refused[workflow.step_key(step)] = step.encode


@state("record of the job not written")
def await_acceptance(harness: OwnerHarness) -> None:
    _find(harness)[0].durable_state = ""


@state("step closed")
def close_step(harness: OwnerHarness) -> None:
    harness.owner._closed_steps.append(_find(harness)[:2])


def _order_absent(harness: OwnerHarness) -> None:
    task = _find(harness)[2]
    task.status, task.run, task.worker = ORDERED, 1, ABSENT


@state("worker not listed")
def orphan_task(harness: OwnerHarness) -> None:
    _order_absent(harness)
    harness.owner._orphans[TASK] = ABSENT


@state("orphan was removed")
def remove_orphan(harness: OwnerHarness) -> None:
    orphan_task(harness)
    del harness.owner._orphans[TASK]


@state("worker of the copy not listed")
def orphan_copy(harness: OwnerHarness) -> None:
    remove_order(harness)
    _find(harness)[2].copy = CopyRun(2, ABSENT)
    harness.owner._copies.orphans[TASK] = ABSENT


@state("order not sent")
def leave_unsent(harness: OwnerHarness) -> None:
    harness.order(TASK, 1, state=SENDING, absence_certain_after_ms=0)


@state("order being sent")
def send(harness: OwnerHarness) -> None:
    harness.order(TASK, 1, state=SENDING, absence_certain_after_ms=EXPIRY_MS)


@state("order unanswered")
def leave_unanswered(harness: OwnerHarness) -> None:
    harness.order(TASK, 1, state=UNKNOWN, absence_certain_after_ms=EXPIRY_MS)
    link = harness.owner.links[WORKER]
    link.late_starts.record((TASK, 1), harness.clock.seconds, link.incarnation)


@state("run of a former owner")
def adopt_run(harness: OwnerHarness) -> None:
    task = _find(harness)[2]
    task.status, task.run, task.worker = ORDERED, 1, WORKER
    harness.owner.links[WORKER].adopt(TASK, 1)


def _start(harness: OwnerHarness) -> None:
    harness.order(TASK, 1, state=STARTED, absence_certain_after_ms=CLOCK_MS)


@state("worker unresponsive")
def lose_contact(harness: OwnerHarness) -> None:
    _start(harness)
    link = harness.owner.links[WORKER]
    link._failures, link._failing_since = 1, harness.clock.seconds


@state("run is stopping")
def stop_run(harness: OwnerHarness) -> None:
    _start(harness)
    order = harness.owner.links[WORKER].orders[TASK]
    order.stopping, order.stop_sent = True, harness.clock.seconds


@state("order was removed")
def remove_order(harness: OwnerHarness) -> None:
    _start(harness)
    del harness.owner.links[WORKER].orders[TASK]


@state("order on a closed link")
def close_link(harness: OwnerHarness) -> None:
    _start(harness)
    harness.owner.links[WORKER].closed = True


@state("copy being sent, first run lost")
def send_copy(harness: OwnerHarness) -> None:
    _order_absent(harness)
    _find(harness)[2].copy = CopyRun(2, WORKER)
    link = harness.owner.links[WORKER]
    link.orders[TASK] = Order(2, SENDING, EXPIRY_MS, harness.clock.seconds)
