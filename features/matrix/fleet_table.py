"""Fault matrix of the fleet: steps, faults, expected results, and cells that cannot occur."""

from __future__ import annotations

from itertools import combinations, product
from typing import NamedTuple

from allpairspy import AllPairs


class Step(NamedTuple):
    """A step of the fleet; ``done`` describes the condition under which it has ended."""

    name: str
    title: str
    done: str


class Fault(NamedTuple):
    """A fault of the environment, or an action of callers or operators.

    Parameters
    ----------
    name, title : str
        Name in the cells, and description.
    early : bool
        Whether the fault is injected before the step instead of while the step is under way.
    ends_during_fault : bool
        Whether a step must end while the fault lasts.
    """

    name: str
    title: str
    early: bool
    ends_during_fault: bool


class Cell(NamedTuple):
    """One step and the faults that are injected before or during it."""

    step: Step
    faults: tuple[Fault, ...]

    @property
    def name(self) -> str:
        return " + ".join(fault.name for fault in self.faults) + f" at {self.step.name}"

    @property
    def impossible_reason(self) -> str:
        """Reason why the cell cannot occur; empty if it can."""
        return next((r for f in self.faults if (r := find_reason(self.step, f))), "")

    @property
    def expected(self) -> str:
        """``goes-on`` if the step must end during the faults, ``waits`` if it may end later."""
        return "goes-on" if all(must_end_during(self.step, f) for f in self.faults) else "waits"


STEPS = (
    Step("publish", "an operator publishes a version", "every entry host serves the version"),
    Step("move", "a host changes its pool", "log, pools service and worker name the new pool"),
    Step("place", "jobs are placed and started", "every accepted job has ended"),
    Step("renew", "leases of running tasks are renewed", "tasks longer than a lease succeed"),
    Step("checkpoint", "a task moves away from a draining host", "the job succeeds elsewhere"),
    Step("cancel", "jobs are cancelled", "every job has ended and its task has stopped"),
    Step("drain", "an operator drains a host", "the host is drained, then serves after a return"),
    Step("reboot", "a wave reboots hosts", "the hosts of one wave are rebooted and serve"),
    Step("snapshot", "an entry host writes a snapshot", "a later snapshot is whole"),
    Step("rejoin", "an entry host starts again", "it is ready and its join is in the log"),
)
FAULTS = (
    Fault("entry-killed", "the entry host that carries the step is killed", False, False),
    Fault("entry-paused", "it is stopped beyond its claim and continued", False, False),
    Fault("cut-log", "it is cut off from the log", False, False),
    Fault("cut-peers", "it is cut off from the other entry hosts", False, False),
    Fault("cut-both", "it is cut off from both", False, False),
    Fault("log-down", "the log service has an outage", False, False),
    Fault("log-slow", "every answer of the log takes 0.5 s more", True, True),
    Fault("log-answers-lost", "half of the log's answers to appends are lost", True, True),
    Fault("retention", "retention passes what a reader has read", False, False),
    Fault("hostlist-stale", "the host list shows no change", True, True),
    Fault("hostlist-down", "the host list has an outage", True, True),
    Fault("pools-answers-lost", "half of the pools service's answers are lost", True, True),
    Fault("pools-down", "the pools service has an outage", True, False),
    Fault("worker-killed", "a worker of the step is killed and started again", False, False),
    Fault("worker-fails", "a worker fails everything it starts", True, True),
    Fault("worker-late", "the workers' answers take 0.5 s more", True, True),
    Fault("operators-racing", "two operators ask for the same at once", True, True),
    Fault("cancellations", "a wave of jobs is submitted and cancelled", False, True),
    Fault("dc-cut", "the data centre is cut off from log, platform and peers", False, False),
)
PROMISES = {
    "pools": "no two records put a host in two pools, no worker ran work of another pool",
    "budget": "the hosts out of service at the pools service stay within the budget",
    "revert": "no entry host serves an older version than before, over restarts",
    "roll-out": "an accepted version is in force on reachable entry hosts within 5 s",
    "jobs": "no accepted job is lost, none that may not be repeated starts twice",
    "fence": "no operation is accepted under an older claim than one before it",
    "once": "a drain or reboot whose answer was lost has one effect",
    "reboot": "a reboot cuts off no request and no running task",
    "rejoin": "a ready entry host has at least the state of its peers",
    "alive": "no entry host ends but by the fault that kills it",
    "step": "the step ends as the cell says",
}
REPRESENTATIVE = (
    "entry-paused at move",
    "entry-paused at place",
    "pools-answers-lost at reboot",
    "log-down at rejoin",
)
# Steps that another entry host takes over while the killed one is still down.
_TAKEN_OVER_STEPS = ("place", "renew", "cancel")
_WITHOUT_POOLS_CALL = ("publish", "place", "renew", "cancel", "snapshot", "rejoin")
_WITHOUT_WORKER_CALL = ("publish", "snapshot", "rejoin")
_WITHOUT_HOSTLIST = ("publish", "renew", "cancel", "snapshot")
_WITHOUT_OPERATOR = ("renew", "checkpoint", "snapshot", "rejoin")
PAIR_FIRSTS = ("entry-killed", "entry-paused", "cut-log", "cut-both", "dc-cut")
PAIR_SECONDS = (
    "log-slow",
    "log-answers-lost",
    "hostlist-down",
    "pools-answers-lost",
    "worker-late",
    "worker-killed",
    "cancellations",
)


def find_reason(step: Step, fault: Fault) -> str:
    """Returns the reason why ``fault`` cannot occur at ``step``, or an empty string."""
    kind = fault.name.partition("-")[0]
    if kind == "pools" and step.name in _WITHOUT_POOLS_CALL:
        return "the step makes no call to the pools service"
    if kind == "worker" and step.name in _WITHOUT_WORKER_CALL:
        return "the step makes no call to a worker"
    if kind == "hostlist" and step.name in _WITHOUT_HOSTLIST:
        return "the step does not read the host list"
    if fault.name == "operators-racing" and step.name in _WITHOUT_OPERATOR:
        return "no operator or caller begins the step"
    return ""


def must_end_during(step: Step, fault: Fault) -> bool:
    """Returns whether ``step`` must end while ``fault`` lasts."""
    if fault.name == "entry-killed":
        return step.name in _TAKEN_OVER_STEPS
    if fault.name == "hostlist-down" and step.name in ("move", "drain", "reboot"):
        # The pools service reports a host as drained only after it has updated the host list.
        return False
    if step.name == "rejoin":
        # One source of state, either log or peers, is sufficient (design page, section 5.3).
        return fault.ends_during_fault or fault.name in (
            "log-down",
            "cut-log",
            "cut-peers",
            "dc-cut",
        )
    return fault.ends_during_fault


def list_singles() -> list[Cell]:
    return [Cell(step, (fault,)) for fault in FAULTS for step in STEPS]


def list_pairs() -> list[Cell]:
    """Returns a covering array: every pair of step, first fault and second fault occurs."""
    by_step, by_fault = {s.name: s for s in STEPS}, {f.name: f for f in FAULTS}

    def is_possible(row: list[str]) -> bool:
        named = [by_fault[name] for name in row if name in by_fault]
        step = by_step.get(row[0])
        return step is None or not any(find_reason(step, fault) for fault in named)

    factors = [list(by_step), PAIR_FIRSTS, PAIR_SECONDS]
    rows = [tuple(row) for row in AllPairs(factors, filter_func=is_possible)]
    covered = {pair for row in rows for pair in combinations(row, 2)}
    # With a filter, allpairspy omits pairs that its greedy selection did not reach.
    for row in filter(is_possible, product(*factors)):
        if fresh := set(combinations(row, 2)) - covered:
            rows.append(row)
            covered |= fresh
    return [Cell(by_step[step], (by_fault[a], by_fault[b])) for step, a, b in rows]


def list_cells() -> list[Cell]:
    return list_singles() + list_pairs()


def find_cell(name: str) -> Cell:
    """Returns the cell with a name such as ``entry-paused at move``.

    Raises
    ------
    ValueError
        If no cell has the name.
    """
    for cell in list_cells():
        if cell.name == name:
            return cell
    raise ValueError(
        f"unknown cell {name!r}; accepted: FAULT at STEP of docs/fault-matrix-fleet.md"
    )
