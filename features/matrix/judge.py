"""The judge: reads what workers recorded, what callers got and what the log holds."""

from __future__ import annotations

import json
from collections import defaultdict
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from matrix.caller import BROKEN, COMPLETED, NOT_RUN, TIMED_OUT, UNKNOWN

if TYPE_CHECKING:
    from pathlib import Path

    from matrix.caller import Conversation
    from matrix.table import Cell

DRAIN_LIMIT = timedelta(seconds=3)
SILENCE_LIMIT = timedelta(seconds=5)
# Time for the way from entry host to caller on a busy machine, and for the repeated run to begin.
SLACK = timedelta(seconds=1)
POOL_HOSTS = ("umea-w1", "umea-w2")


class Run(NamedTuple):
    """One execution as its worker recorded it."""

    host: str
    request: str
    key: str
    pool: str
    started: datetime
    ended: datetime | None
    result: str


class Rejection(NamedTuple):
    host: str
    request: str
    reason: str
    at: datetime


class Facts(NamedTuple):
    """What a cell left behind besides its conversations.

    Parameters
    ----------
    moments : dict of datetime
        When each fault began.
    drained : datetime or None
        When the drain of the target began; None if it did not.
    stop_status : int or None
        Exit status of a planned stop.
    records : list of dict
        Records of the log's streams since the cell began.
    """

    moments: dict[str, datetime]
    target: str
    drained: datetime | None
    stop_status: int | None
    records: list[dict[str, Any]]


def _parse(text: str | None) -> datetime | None:
    return datetime.fromisoformat(text) if text else None


class WorkerRecords:
    """Follows the record files of all workers, which outlive a killed worker.

    Parameters
    ----------
    folder : Path
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._read: dict[str, int] = {}
        self._runs: dict[str, dict[tuple[str, str], Run]] = defaultdict(dict)
        self.rejections: list[Rejection] = []

    def update(self) -> None:
        for path in sorted(self._folder.glob("*.record")):
            with path.open("rb") as file:
                file.seek(self._read.get(path.name, 0))
                data = file.read()
            whole = data.rfind(b"\n") + 1
            self._read[path.name] = self._read.get(path.name, 0) + whole
            for line in data[:whole].splitlines():
                self._take(path.stem, line)

    def _take(self, host: str, line: bytes) -> None:
        try:
            entry = json.loads(line)
        except ValueError:
            return  # A kill may cut a line short.
        if entry["entry"] == "execution":
            token = entry["path"].rpartition("/")[2]
            parts = (entry["request"], entry["key"] or "", entry["pool"])
            times = (_parse(entry["started"]), _parse(entry["ended"]))
            run = Run(host, *parts, *times, entry.get("result", ""))
            self._runs[token][host, f"{run.request}/{entry['started']}"] = run
        elif entry["entry"] == "rejection":
            item = Rejection(host, entry["request"], entry["reason"], _parse(entry["at"]))
            self.rejections.append(item)

    def list_runs(self, token: str) -> list[Run]:
        """Returns the executions of a token in the order in which they started."""
        return sorted(self._runs.get(token, {}).values(), key=lambda run: run.started)


def _is_attempt_of(run_request: str, request: str) -> bool:
    return bool(request) and run_request.startswith(request + ".")


def check_once(talk: Conversation, runs: list[Run]) -> list[str]:
    """At most once for keyed requests; a completed request ran."""
    found = []
    if talk.wire.key and len(runs) > 1:
        hosts = ", ".join(f"{run.host} {run.request}" for run in runs)
        found.append(f"at-most-once: {talk.wire.key} ran {len(runs)} times: {hosts}")
    if talk.outcome == COMPLETED and not runs:
        found.append(f"at-most-once: {talk.wire.token} is answered completed and did not run")
    return found


def check_not_run(talk: Conversation, runs: list[Run]) -> list[str]:
    """A request answered ``not-run`` did not run, nor had its key run before it was sent."""
    found = []
    for attempt in talk.attempts:
        if attempt.outcome != NOT_RUN:
            continue
        for run in runs:
            earlier = talk.wire.key and run.started < attempt.started
            if _is_attempt_of(run.request, attempt.request) or earlier:
                found.append(f"not-run: {attempt.describe()} but {run.host} ran {run.request}")
    return found


def check_answers(talk: Conversation) -> list[str]:
    return [
        f"whole-answer: {a.describe()} is not of {talk.wire.token}"
        for a in talk.attempts
        if a.wrong
    ]


def check_pool(talk: Conversation, runs: list[Run], rejections: list[Rejection]) -> list[str]:
    found = [
        f"pool: {run.host} ran {run.request} for pool {run.pool}"
        for run in runs
        if run.host not in POOL_HOSTS or run.pool != "booking"
    ]
    mine = [
        r for r in rejections if any(_is_attempt_of(r.request, a.request) for a in talk.attempts)
    ]
    return found + [f"pool: {r.host} was sent {r.request}" for r in mine if r.reason == "pool"]


def check_granted(talk: Conversation, runs: list[Run], grants: dict[str, list[str]]) -> list[str]:
    """The log has the grant of what ran; the first one counts, later ones are rejected."""
    if not talk.wire.key or not runs:
        return []
    granted = grants.get(talk.wire.key, [])
    if any(_is_attempt_of(runs[0].request, request) for request in granted):
        return []
    return [f"granted: {runs[0].request} ran {talk.wire.key}, the log grants it to {granted}"]


def check_outcome(talk: Conversation, expected: str) -> list[str]:
    told = [a.outcome for a in talk.attempts]
    story = "; ".join(a.describe() for a in talk.attempts)
    if expected == "answered" and {UNKNOWN, BROKEN, TIMED_OUT} & set(told):
        return [f"outcome: {talk.wire.token} is to be answered: {story}"]
    if expected in ("answered", "settled") and talk.outcome != COMPLETED:
        return [f"outcome: {talk.wire.token} is to complete: {story}"]
    if TIMED_OUT in told:
        return [f"outcome: {talk.wire.token} has no answer in time: {story}"]
    return []


def check_statuses(talk: Conversation, expected: str) -> list[str]:
    """A request that is to be answered is not answered with a target's failure."""
    failed = [a for a in talk.attempts if a.outcome == COMPLETED and a.status >= 500]
    return [f"outcome: {a.describe()}" for a in failed if expected == "answered"]


def check_silence(talk: Conversation, runs: list[Run], facts: Facts) -> list[str]:
    """Attempts end within 5 s of the silence, or of the end of the run that it concealed."""
    began = facts.moments["silent"]
    found = []
    for attempt in talk.attempts:
        mine = [run for run in runs if _is_attempt_of(run.request, attempt.request)]
        ends = [run.ended for run in mine[:1] if run.ended]
        start = max([began, attempt.started, *ends])
        work = timedelta(seconds=talk.wire.work_seconds + talk.wire.answer_delay)
        if attempt.ended - start > SILENCE_LIMIT + work + SLACK:
            found.append(f"silence: {attempt.describe()}, silent since {began.isoformat()}")
    return found


def check_drain(facts: Facts, runs: list[Run], rejections: list[Rejection]) -> list[str]:
    if facts.drained is None:
        started = any(record["type"] == "host_drain_started" for record in facts.records)
        return [] if started else ["drain: the log has no host_drain_started"]
    limit = facts.drained + DRAIN_LIMIT
    late = [(run.request, run.started) for run in runs if run.host == facts.target]
    late += [(r.request, r.at) for r in rejections if r.host == facts.target]
    return [
        f"drain: {request} at {at}, drained at {facts.drained}"
        for request, at in late
        if at > limit
    ]


def check_stop(facts: Facts, talks: list[Conversation]) -> list[str]:
    cut = [a for talk in talks for a in talk.attempts if a.outcome in (BROKEN, TIMED_OUT)]
    found = [f"graceful-stop: {attempt.describe()}" for attempt in cut]
    if facts.stop_status != 0:
        found.append(f"graceful-stop: exit status {facts.stop_status}")
    if not any(record["type"] == "member_left" for record in facts.records):
        found.append("graceful-stop: the log has no member_left")
    return found


def list_grants(records: list[dict[str, Any]]) -> dict[str, list[str]]:
    grants: dict[str, list[str]] = defaultdict(list)
    for record in records:
        if record["type"] == "key_granted":
            grants[record["body"]["key"]].append(record["body"]["request"])
    return grants


def judge_safety(talks: list[Conversation], worker_records: WorkerRecords) -> list[str]:
    """Returns violations of the promises that hold under every fault."""
    found = []
    for talk in talks:
        runs = worker_records.list_runs(talk.wire.token)
        found += check_once(talk, runs) + check_not_run(talk, runs) + check_answers(talk)
        found += check_pool(talk, runs, worker_records.rejections)
    return found


def judge_cell(
    cell: Cell,
    talks: list[Conversation],
    others: list[Conversation],
    worker_records: WorkerRecords,
    facts: Facts,
) -> list[str]:
    """Returns everything that a cell violated, each line with the name of the promise first."""
    found = judge_safety([*talks, *others], worker_records)
    names = {fault.name for fault in cell.faults}
    grants = list_grants(facts.records)
    for talk in talks:
        runs = worker_records.list_runs(talk.wire.token)
        expected = cell.expected[bool(talk.wire.key)]
        found += check_granted(talk, runs, grants)
        found += check_outcome(talk, expected) + check_statuses(talk, expected)
        if "silent" in names:
            found += check_silence(talk, runs, facts)
    if "target-drain" in names:
        runs = [r for t in (*talks, *others) for r in worker_records.list_runs(t.wire.token)]
        found += check_drain(facts, runs, worker_records.rejections)
    if names == {"planned-stop"}:
        found += check_stop(facts, [*talks, *others])
    if "configuration" in names and "configuration_published" not in {
        r["type"] for r in facts.records
    }:
        found.append("outcome: the log has no configuration_published")
    return found
