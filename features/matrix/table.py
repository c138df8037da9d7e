"""The one table of the fault matrix: steps of a request, faults, and what each cell must show."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from allpairspy import AllPairs


class Step(NamedTuple):
    """A step of a request, and how a request is held there when the fault begins."""

    name: str
    placement: str


class Fault(NamedTuple):
    """A fault of the environment, or something that callers and operators do.

    Parameters
    ----------
    name, title : str
    domain : str
        ``entry``, ``platform``, ``target``, ``caller`` or ``operator``; pairs join two domains.
    plain : str
        What callers of plain (GET) and repeatable requests must get, a name of `EXPECTATIONS`.
    keyed : str
        The same for requests with an idempotency key.
    target, log : str
        What the workers' record and the log must show besides the promises of every cell.
    weaker : dict of tuple
        Other expectations ``(plain, keyed)`` by step.
    cannot : dict of str
        Why the fault cannot occur, by step.
    """

    name: str
    title: str
    domain: str
    plain: str
    keyed: str
    target: str = ""
    log: str = ""
    weaker: dict[str, tuple[str, str]] = {}
    cannot: dict[str, str] = {}


class Cell(NamedTuple):
    """One step and the faults that begin while a request is at that step."""

    step: Step
    faults: tuple[Fault, ...]

    @property
    def name(self) -> str:
        return " + ".join(fault.name for fault in self.faults) + f" at {self.step.name}"

    @property
    def cannot(self) -> str:
        """Why the cell cannot occur; empty if it can."""
        return next(
            (f.cannot[self.step.name] for f in self.faults if self.step.name in f.cannot), ""
        )

    @property
    def expected(self) -> tuple[str, str]:
        """What callers must get: the weakest expectation of the faults, for plain and keyed."""
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
# Promises that are checked in the cells of one fault only; all others are checked in every cell.
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
_STARTED = "the target has begun to run the request before, and cannot refuse it any more"
_RAN = "the run has ended before, so its length is fixed"
_GIVEN = "the answer has begun to arrive before"
_IDLE = "the caller neither sends nor reads at this step"
_USED = "the declared size is used before, when the request is queued"
_ON_STREAM = {"answer": ("settled", "unclear"), "send": ("settled", "unclear")}
_LOST = {"plain": "answered", "keyed": "unclear", "weaker": _ON_STREAM}
_NONE = {"plain": "answered", "keyed": "answered"}
_CUT = {"plain": "answered", "keyed": "unclear"}
FAULTS = (
    Fault("entry-killed", "entry host killed", "entry", "settled", "unclear"),
    Fault("entry-paused", "entry host paused for 2.5 s", "entry", "answered", "settled"),
    Fault("cut-log", "entry host cut off from the log", "entry", **_NONE),
    Fault("cut-peers", "entry host cut off from its peers", "entry", **_CUT),
    Fault("cut-both", "entry host cut off from the log and its peers", "entry", **_CUT),
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
        **_NONE,
        log="no record during the outage, all grants after it",
    ),
    Fault("log-slow", "log answers 1 s late", "platform", **_NONE),
    Fault("log-answers-lost", "half of the log's answers lost", "platform", **_NONE),
    Fault("hostlist-stale", "host list stale", "platform", **_NONE),
    Fault("hostlist-down", "host list down", "platform", **_NONE),
    Fault("target-killed", "target killed", "target", **_LOST),
    Fault("target-paused", "target paused", "target", **_LOST),
    Fault(
        "target-slow",
        "target takes 1.5 s longer",
        "target",
        **_NONE,
        cannot={"receive": _RAN, "answer": _RAN},
    ),
    Fault(
        "target-fails",
        "target fails everything at once",
        "target",
        "answered",
        "unclear",
        weaker={"send": ("unclear", "unclear")},
        cannot={"wait": _STARTED, "receive": _STARTED, "answer": _STARTED},
    ),
    Fault(
        "target-refuses",
        "target refuses because it drains, which nobody announced",
        "target",
        **_NONE,
        target="refused requests did not run",
        cannot={"wait": _STARTED, "receive": _STARTED, "answer": _STARTED},
    ),
    Fault("silent", "the target's connections fall silent for good", "target", **_LOST),
    Fault(
        "late", "answers 2.5 s late and out of order", "target", **_LOST, cannot={"answer": _GIVEN}
    ),
    Fault(
        "answers-lost", "all answers of a target lost", "target", **_LOST, cannot={"answer": _GIVEN}
    ),
    Fault(
        "straggler",
        "the request runs 8 times longer on one target",
        "target",
        **_NONE,
        cannot={"receive": _RAN, "answer": _RAN},
    ),
    Fault(
        "declared-wrong",
        "declared run time 50 times too short or too long",
        "caller",
        **_NONE,
        cannot=dict.fromkeys(("connect", "send", "receive", "answer"), _USED),
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
        **_NONE,
        cannot=dict.fromkeys(("queue", "pick", "connect", "wait", "receive"), _IDLE),
    ),
    Fault(
        "caller-retries",
        "caller sends the same through two other entry hosts",
        "caller",
        **_NONE,
        weaker={"answer": ("answered", "unclear")},  # Answers above 64 KiB are not kept.
    ),
    Fault(
        "deadline-passes",
        "the caller's deadline of 1 s passes",
        "caller",
        "unclear",
        "unclear",
        cannot={
            "accept": "the deadline arrives with the head",
            "pick": "the step takes no time",
        },
    ),
    Fault("burst", "burst of 5 times the slots", "caller", **_NONE),
    Fault(
        "configuration",
        "a new configuration is published",
        "operator",
        **_NONE,
        log="`configuration_published` with the next version",
    ),
    Fault(
        "target-drain",
        "drain of the target by an operator",
        "operator",
        **_NONE,
        target="no request later than 3 s after the drain",
        log="`host_drain_started`",
    ),
)
_STEP = {step.name: step for step in STEPS}
_FAULT = {fault.name: fault for fault in FAULTS}
PAIR_FIRSTS = ("entry-killed", "entry-paused", "cut-log", "cut-both", "planned-stop", "log-down")
PAIR_SECONDS = ("target-killed", "target-paused", "silent", "answers-lost", "caller-retries")
PAIR_SECONDS += ("burst", "configuration", "target-drain")
PAIR_STEPS = ("queue", "pick", "connect", "send", "wait", "receive")
# Pairs in which the second fault needs what the first one takes away.
SENSELESS = {("log-down", "configuration"), ("log-down", "target-drain")}
# Cells that `make test` runs: each fault at its most dangerous step, and the keyed cells at all.
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


def _is_sensible(row: list[str]) -> bool:
    if len(row) >= 2 and (row[0], row[1]) in SENSELESS:
        return False
    return len(row) < 3 or all(row[2] not in _FAULT[name].cannot for name in row[:2])


def list_singles() -> list[Cell]:
    """Returns every step with every fault, also those that cannot occur."""
    return [Cell(step, (fault,)) for fault in FAULTS for step in STEPS]


def list_pairs() -> list[Cell]:
    """Returns pairs of faults; each pair occurs, and each fault occurs at each step."""
    lists = [PAIR_FIRSTS, PAIR_SECONDS, PAIR_STEPS]
    rows = [tuple(row) for row in AllPairs(lists, filter_func=_is_sensible)]
    # With a filter, the library leaves some pairs out.
    covered = {row[:2] for row in rows}
    for pair in itertools.product(PAIR_FIRSTS, PAIR_SECONDS):
        if pair not in covered and _is_sensible(list(pair)):
            steps = [step for step in PAIR_STEPS if _is_sensible([*pair, step])]
            rows.append((*pair, steps[len(rows) % len(steps)]))
    return [Cell(_STEP[step], (_FAULT[a], _FAULT[b])) for a, b, step in rows]


def list_cells() -> list[Cell]:
    return [*list_singles(), *list_pairs()]


def find_cell(name: str) -> Cell:
    """Returns the cell ``fault at step`` or ``fault + fault at step``.

    Raises
    ------
    KeyError
        If it does not exist.
    """
    faults, _, step = name.partition(" at ")
    return Cell(_STEP[step], tuple(_FAULT[fault] for fault in faults.split(" + ")))
