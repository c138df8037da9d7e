"""Fault matrix of requests: steps of a request, faults, and the expected result of each cell."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from allpairspy import AllPairs


class Step(NamedTuple):
    """A step of a request, and the state in which the request is when the fault is injected."""

    name: str
    placement: str


class Fault(NamedTuple):
    """A fault of the environment, or an action of callers or operators.

    Parameters
    ----------
    name, title : str
        Name in the cells, and description.
    domain : str
        ``entry``, ``platform``, ``target``, ``caller`` or ``operator``; a pair of faults combines
        two domains.
    plain : str
        Expected result of plain (GET) and repeatable requests, a key of `EXPECTATIONS`.
    keyed : str
        Expected result of requests with an idempotency key.
    target, log : str
        What the workers' records and the log must contain, besides the promises of every cell.
    weaker : dict of tuple
        Steps with other expectations, as ``(plain, keyed)``.
    impossible_at : dict of str
        Steps at which the fault cannot occur, with the reason.
    """

    name: str
    title: str
    domain: str
    plain: str
    keyed: str
    target: str = ""
    log: str = ""
    weaker: dict[str, tuple[str, str]] = {}
    impossible_at: dict[str, str] = {}


class Cell(NamedTuple):
    """One step and the faults that are injected while a request is at that step."""

    step: Step
    faults: tuple[Fault, ...]

    @property
    def name(self) -> str:
        return " + ".join(fault.name for fault in self.faults) + f" at {self.step.name}"

    @property
    def impossible_reason(self) -> str:
        """Reason why the cell cannot occur; empty if it can."""
        return next(
            (
                f.impossible_at[self.step.name]
                for f in self.faults
                if self.step.name in f.impossible_at
            ),
            "",
        )

    @property
    def expected(self) -> tuple[str, str]:
        """Weakest expectation of the faults, for plain and for keyed requests."""
        found = [f.weaker.get(self.step.name, (f.plain, f.keyed)) for f in self.faults]
        order = list(EXPECTATIONS)
        plain, keyed = (max(column, key=order.index) for column in zip(*found, strict=True))
        return plain, keyed


EXPECTATIONS = {
    "answered": "every attempt completes or is rejected as `not-run`, and a retry of it completes",
    "settled": "the request completes, if need be after the caller's own retries",
    "unclear": "completed, `not-run`, or an outcome that the caller cannot know",
}
PROMISES = {
    "at-most-once": "a keyed request runs at most once, and a completed one ran exactly once",
    "not-run": "a request answered `not-run` did not run and never runs",
    "whole-answer": "every answer is the whole answer to its own request",
    "graceful-stop": "a planned stop cuts off no request and ends with status 0",
    "drain": "a draining target is sent no request later than 3 s after the drain",
    "silence": "a silent connection is found within 5 s and repeatable requests are answered",
    "pool": "no request goes to a host of another pool",
    "granted": "the log has one grant for each keyed request that ran, and it names that request",
    "outcome": "callers get what the cell says",
}
# Promises checked only in the cells of one fault; all others are checked in every cell.
PROMISE_FAULTS = {
    "graceful-stop": "planned-stop",
    "drain": "target-drain",
    "silence": "silent",
}
STEPS = tuple(
    Step(*entry)
    for entry in (
        ("accept", "the caller has sent a part of the head"),
        ("admit", "the head and half of a small body have arrived"),
        ("queue", "all slots are in use by other requests"),
        ("pick", "the request was sent up to 5 ms (seeded) before"),
        ("connect", "the request waits in the socket of a target that has read nothing of it"),
        ("send", "the target has received a part of a body too large to be kept for a retry"),
        ("wait", "the target runs the request"),
        ("receive", "the target has finished and holds the answer back"),
        ("answer", "the caller has read the first bytes of an answer of 12 MB"),
    )
)
_RUN_STARTED = "the target has begun to run the request before, and cannot refuse it any more"
_RUN_ENDED = "the run has ended before, so its length is fixed"
_ANSWER_STARTED = "the answer has begun to arrive before"
_CALLER_IDLE = "the caller neither sends nor reads at this step"
_ALREADY_QUEUED = "the declared size is used before, when the request is queued"
_STREAMED = {"answer": ("settled", "unclear"), "send": ("settled", "unclear")}
_TARGET_LOST = {"plain": "answered", "keyed": "unclear", "weaker": _STREAMED}
_FULLY_MASKED = {"plain": "answered", "keyed": "answered"}
_PEERS_CUT = {"plain": "answered", "keyed": "unclear"}
FAULTS = (
    Fault("entry-killed", "entry host killed", "entry", "settled", "unclear"),
    Fault("entry-paused", "entry host paused for 2.5 s", "entry", "answered", "settled"),
    Fault("cut-log", "entry host cut off from the log", "entry", **_FULLY_MASKED),
    Fault("cut-peers", "entry host cut off from its peers", "entry", **_PEERS_CUT),
    Fault("cut-both", "entry host cut off from the log and its peers", "entry", **_PEERS_CUT),
    Fault(
        "planned-stop",
        "planned stop of an entry host",
        "entry",
        "answered",
        "settled",
        log="`member_left` of the stopped incarnation",
    ),
    Fault(
        "log-down",
        "log down",
        "platform",
        **_FULLY_MASKED,
        log="no record during the outage, all grants after it",
    ),
    Fault("log-slow", "log answers 1 s late", "platform", **_FULLY_MASKED),
    Fault("log-answers-lost", "half of the log's answers lost", "platform", **_FULLY_MASKED),
    Fault("hostlist-stale", "host list stale", "platform", **_FULLY_MASKED),
    Fault("hostlist-down", "host list down", "platform", **_FULLY_MASKED),
    Fault("target-killed", "target killed", "target", **_TARGET_LOST),
    Fault("target-paused", "target paused", "target", **_TARGET_LOST),
    Fault(
        "target-slow",
        "target takes 1.5 s longer",
        "target",
        **_FULLY_MASKED,
        impossible_at={"receive": _RUN_ENDED, "answer": _RUN_ENDED},
    ),
    Fault(
        "target-fails",
        "target fails everything at once",
        "target",
        "answered",
        "unclear",
        weaker={"send": ("unclear", "unclear")},
        impossible_at={"wait": _RUN_STARTED, "receive": _RUN_STARTED, "answer": _RUN_STARTED},
    ),
    Fault(
        "target-refuses",
        "target refuses because it drains, which nobody announced",
        "target",
        **_FULLY_MASKED,
        target="refused requests did not run",
        impossible_at={"wait": _RUN_STARTED, "receive": _RUN_STARTED, "answer": _RUN_STARTED},
    ),
    Fault("silent", "the target's connections fall silent for good", "target", **_TARGET_LOST),
    Fault(
        "late",
        "answers 2.5 s late and out of order",
        "target",
        **_TARGET_LOST,
        impossible_at={"answer": _ANSWER_STARTED},
    ),
    Fault(
        "answers-lost",
        "all answers of a target lost",
        "target",
        **_TARGET_LOST,
        impossible_at={"answer": _ANSWER_STARTED},
    ),
    Fault(
        "straggler",
        "the request runs 8 times longer on one target",
        "target",
        **_FULLY_MASKED,
        impossible_at={"receive": _RUN_ENDED, "answer": _RUN_ENDED},
    ),
    Fault(
        "declared-wrong",
        "declared run time 50 times too short or too long",
        "caller",
        **_FULLY_MASKED,
        impossible_at=dict.fromkeys(("connect", "send", "receive", "answer"), _ALREADY_QUEUED),
    ),
    Fault(
        "caller-gone",
        "caller goes away",
        "caller",
        "unclear",
        "settled",
        weaker={"answer": ("unclear", "unclear")},  # Answers above 64 KiB are not kept.
    ),
    Fault(
        "caller-slow",
        "caller sends or reads slowly, for 4 s",
        "caller",
        **_FULLY_MASKED,
        impossible_at=dict.fromkeys(("queue", "pick", "connect", "wait", "receive"), _CALLER_IDLE),
    ),
    Fault(
        "caller-retries",
        "caller sends the same through two other entry hosts",
        "caller",
        **_FULLY_MASKED,
        weaker={"answer": ("answered", "unclear")},  # Answers above 64 KiB are not kept.
    ),
    Fault(
        "deadline-passes",
        "the caller's deadline of 1 s passes",
        "caller",
        "unclear",
        "unclear",
        impossible_at={
            "accept": "the deadline arrives with the head",
            "pick": "the step takes no time",
        },
    ),
    Fault("burst", "burst of 5 times the slots", "caller", **_FULLY_MASKED),
    Fault(
        "configuration",
        "a new configuration is published",
        "operator",
        **_FULLY_MASKED,
        log="`configuration_published` with the next version",
    ),
    Fault(
        "target-drain",
        "drain of the target by an operator",
        "operator",
        **_FULLY_MASKED,
        target="no request later than 3 s after the drain",
        log="`host_drain_started`",
    ),
)
_STEPS_BY_NAME = {step.name: step for step in STEPS}
_FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}
PAIR_FIRSTS = ("entry-killed", "entry-paused", "cut-log", "cut-both", "planned-stop", "log-down")
PAIR_SECONDS = ("target-killed", "target-paused", "silent", "answers-lost", "caller-retries")
PAIR_SECONDS += ("burst", "configuration", "target-drain")
PAIR_STEPS = ("queue", "pick", "connect", "send", "wait", "receive")
# The second fault needs the log, which the first one makes unavailable.
IMPOSSIBLE_PAIRS = {("log-down", "configuration"), ("log-down", "target-drain")}
# Cells that `make test` runs: each fault at its most critical step, and above all keyed requests.
REPRESENTATIVE = (
    "entry-killed at wait",
    "entry-paused at wait",
    "log-down at pick",
    "answers-lost at wait",
    "silent at wait",
    "planned-stop at wait",
    "target-drain at queue",
    "cut-both at wait",
    "cut-log at pick",
    "cut-peers at queue",
    "target-killed at send",
    "target-refuses at pick",
    "caller-gone at wait",
    "caller-retries at wait",
    "burst at queue",
    "configuration at wait",
    "log-down + target-paused at wait",
)


def _is_possible(row: list[str]) -> bool:
    if len(row) >= 2 and (row[0], row[1]) in IMPOSSIBLE_PAIRS:
        return False
    return len(row) < 3 or all(
        row[2] not in _FAULTS_BY_NAME[name].impossible_at for name in row[:2]
    )


def list_singles() -> list[Cell]:
    """Returns a cell for every step and fault, including those that cannot occur."""
    return [Cell(step, (fault,)) for fault in FAULTS for step in STEPS]


def list_pairs() -> list[Cell]:
    """Returns a covering array: every pair of faults occurs, and every fault at every step."""
    lists = [PAIR_FIRSTS, PAIR_SECONDS, PAIR_STEPS]
    rows = [tuple(row) for row in AllPairs(lists, filter_func=_is_possible)]
    # With a filter, allpairspy omits some pairs.
    covered = {row[:2] for row in rows}
    for pair in itertools.product(PAIR_FIRSTS, PAIR_SECONDS):
        if pair not in covered and _is_possible(list(pair)):
            steps = [step for step in PAIR_STEPS if _is_possible([*pair, step])]
            rows.append((*pair, steps[len(rows) % len(steps)]))
    return [
        Cell(_STEPS_BY_NAME[step], (_FAULTS_BY_NAME[a], _FAULTS_BY_NAME[b])) for a, b, step in rows
    ]


def list_cells() -> list[Cell]:
    return [*list_singles(), *list_pairs()]


def find_cell(name: str) -> Cell:
    """Returns the cell named ``fault at step`` or ``fault + fault at step``.

    Raises
    ------
    KeyError
        If the table has no such step or fault.
    """
    faults, _, step = name.partition(" at ")
    return Cell(
        _STEPS_BY_NAME[step], tuple(_FAULTS_BY_NAME[fault] for fault in faults.split(" + "))
    )
