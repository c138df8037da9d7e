"""Checks the promises of a cell by the records of workers, callers and log."""

from __future__ import annotations

import json
from collections import defaultdict
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from matrix.caller import BROKEN, COMPLETED, NOT_RUN, TIMED_OUT, UNKNOWN

if TYPE_CHECKING:
    from pathlib import Path

    from matrix.caller import Caller
    from matrix.table import Cell

DRAIN_LIMIT = timedelta(seconds=3)
SILENCE_LIMIT = timedelta(seconds=5)
# Allows for the delay from entry host to caller on a busy machine and for the start of a rerun.
SLACK = timedelta(seconds=1)
POOL_HOSTS = ("umea-w1", "umea-w2")


class Run(NamedTuple):
    """One execution recorded by a worker."""

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


class CellEvidence(NamedTuple):
    """Evidence of a cell besides its callers' attempts.

    Parameters
    ----------
    injected_at : dict of datetime
        Time at which each fault was injected.
    target : str
        Target that the faults affect.
    drained : datetime or None
        Time at which the drain of the target began; None if it did not begin.
    stop_status : int or None
        Exit status of a planned stop.
    records : list of dict
        Records of the log's streams since the start of the cell.
    """

    injected_at: dict[str, datetime]
    target: str
    drained: datetime | None
    stop_status: int | None
    records: list[dict[str, Any]]


def _parse(text: str | None) -> datetime | None:
    return datetime.fromisoformat(text) if text else None


class WorkerRecords:
    """Reads the record files of all workers incrementally; they survive a killed worker.

    Parameters
    ----------
    folder : Path
        Folder of the ``*.record`` files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._offsets: dict[str, int] = {}
        self._runs: dict[str, dict[tuple[str, str], Run]] = defaultdict(dict)
        self.rejections: list[Rejection] = []

    def update(self) -> None:
        for path in sorted(self._folder.glob("*.record")):
            with path.open("rb") as file:
                file.seek(self._offsets.get(path.name, 0))
                data = file.read()
            complete = data.rfind(b"\n") + 1
            self._offsets[path.name] = self._offsets.get(path.name, 0) + complete
            for line in data[:complete].splitlines():
                self._add_entry(path.stem, line)

    def _add_entry(self, host: str, line: bytes) -> None:
        try:
            entry = json.loads(line)
        except ValueError:
            return  # A killed worker may leave a truncated line.
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
        """Returns the executions of a token, ordered by start time."""
        return sorted(self._runs.get(token, {}).values(), key=lambda run: run.started)


def _is_attempt_of(run_request: str, request: str) -> bool:
    return bool(request) and run_request.startswith(request + ".")


def check_at_most_once(caller: Caller, runs: list[Run]) -> list[str]:
    """Checks that a keyed request ran at most once and that a completed request ran."""
    found = []
    if caller.spec.key and len(runs) > 1:
        hosts = ", ".join(f"{run.host} {run.request}" for run in runs)
        found.append(f"at-most-once: {caller.spec.key} ran {len(runs)} times: {hosts}")
    if caller.outcome == COMPLETED and not runs:
        found.append(f"at-most-once: {caller.spec.token} is answered completed and did not run")
    return found


def check_not_run(caller: Caller, runs: list[Run]) -> list[str]:
    """Checks that an attempt answered ``not-run`` did not run, nor its key before that attempt."""
    found = []
    for attempt in caller.attempts:
        if attempt.outcome != NOT_RUN:
            continue
        for run in runs:
            earlier = caller.spec.key and run.started < attempt.started
            if _is_attempt_of(run.request, attempt.request) or earlier:
                found.append(f"not-run: {attempt.describe()} but {run.host} ran {run.request}")
    return found


def check_whole_answers(caller: Caller) -> list[str]:
    return [
        f"whole-answer: {a.describe()} does not match {caller.spec.token}"
        for a in caller.attempts
        if a.wrong
    ]


def check_pool(caller: Caller, runs: list[Run], rejections: list[Rejection]) -> list[str]:
    found = [
        f"pool: {run.host} ran {run.request} for pool {run.pool}"
        for run in runs
        if run.host not in POOL_HOSTS or run.pool != "booking"
    ]
    own = [
        r for r in rejections if any(_is_attempt_of(r.request, a.request) for a in caller.attempts)
    ]
    return found + [f"pool: {r.host} was sent {r.request}" for r in own if r.reason == "pool"]


def check_granted(caller: Caller, runs: list[Run], grants: dict[str, list[str]]) -> list[str]:
    """Checks that the log grants the key to the first run; later grants are rejected."""
    if not caller.spec.key or not runs:
        return []
    granted = grants.get(caller.spec.key, [])
    if any(_is_attempt_of(runs[0].request, request) for request in granted):
        return []
    return [f"granted: {runs[0].request} ran {caller.spec.key}, the log grants it to {granted}"]


def check_outcome(caller: Caller, expected: str) -> list[str]:
    outcomes = [a.outcome for a in caller.attempts]
    history = "; ".join(a.describe() for a in caller.attempts)
    if expected == "answered" and {UNKNOWN, BROKEN, TIMED_OUT} & set(outcomes):
        return [
            f"outcome: {caller.spec.token} has an attempt without a definite outcome: {history}"
        ]
    if expected in ("answered", "settled") and caller.outcome != COMPLETED:
        return [f"outcome: {caller.spec.token} did not complete: {history}"]
    if TIMED_OUT in outcomes:
        return [f"outcome: {caller.spec.token} has no answer in time: {history}"]
    return []


def check_statuses(caller: Caller, expected: str) -> list[str]:
    """Checks that a request with the expectation ``answered`` gets no failure of the target."""
    failed = [a for a in caller.attempts if a.outcome == COMPLETED and a.status >= 500]
    return [f"outcome: {a.describe()}" for a in failed if expected == "answered"]


def check_silence(caller: Caller, runs: list[Run], evidence: CellEvidence) -> list[str]:
    """Checks that attempts end within 5 s of the silence or of the end of a run hidden by it."""
    silent_since = evidence.injected_at["silent"]
    found = []
    for attempt in caller.attempts:
        own = [run for run in runs if _is_attempt_of(run.request, attempt.request)]
        ends = [run.ended for run in own[:1] if run.ended]
        start = max([silent_since, attempt.started, *ends])
        work = timedelta(seconds=caller.spec.work_seconds + caller.spec.answer_delay_seconds)
        if attempt.ended - start > SILENCE_LIMIT + work + SLACK:
            found.append(f"silence: {attempt.describe()}, silent since {silent_since.isoformat()}")
    return found


def check_drain(evidence: CellEvidence, runs: list[Run], rejections: list[Rejection]) -> list[str]:
    if evidence.drained is None:
        started = any(record["type"] == "host_drain_started" for record in evidence.records)
        return [] if started else ["drain: the log has no host_drain_started"]
    limit = evidence.drained + DRAIN_LIMIT
    late = [(run.request, run.started) for run in runs if run.host == evidence.target]
    late += [(r.request, r.at) for r in rejections if r.host == evidence.target]
    return [
        f"drain: {request} at {at}, drained at {evidence.drained}"
        for request, at in late
        if at > limit
    ]


def check_graceful_stop(evidence: CellEvidence, callers: list[Caller]) -> list[str]:
    cut = [a for caller in callers for a in caller.attempts if a.outcome in (BROKEN, TIMED_OUT)]
    found = [f"graceful-stop: {attempt.describe()}" for attempt in cut]
    if evidence.stop_status != 0:
        found.append(f"graceful-stop: exit status {evidence.stop_status}")
    if not any(record["type"] == "member_left" for record in evidence.records):
        found.append("graceful-stop: the log has no member_left")
    return found


def list_grants(records: list[dict[str, Any]]) -> dict[str, list[str]]:
    grants: dict[str, list[str]] = defaultdict(list)
    for record in records:
        if record["type"] == "key_granted":
            grants[record["body"]["key"]].append(record["body"]["request"])
    return grants


def check_safety(callers: list[Caller], worker_records: WorkerRecords) -> list[str]:
    """Returns the violations of the promises that hold under every fault."""
    found = []
    for caller in callers:
        runs = worker_records.list_runs(caller.spec.token)
        found += (
            check_at_most_once(caller, runs)
            + check_not_run(caller, runs)
            + check_whole_answers(caller)
        )
        found += check_pool(caller, runs, worker_records.rejections)
    return found


def check_cell(
    cell: Cell,
    callers: list[Caller],
    background_callers: list[Caller],
    worker_records: WorkerRecords,
    evidence: CellEvidence,
) -> list[str]:
    """Returns the violations of a cell; each starts with the name of the promise."""
    found = check_safety([*callers, *background_callers], worker_records)
    names = {fault.name for fault in cell.faults}
    grants = list_grants(evidence.records)
    for caller in callers:
        runs = worker_records.list_runs(caller.spec.token)
        expected = cell.expected[bool(caller.spec.key)]
        found += check_granted(caller, runs, grants)
        found += check_outcome(caller, expected) + check_statuses(caller, expected)
        if "silent" in names:
            found += check_silence(caller, runs, evidence)
    if "target-drain" in names:
        runs = [
            r
            for c in (*callers, *background_callers)
            for r in worker_records.list_runs(c.spec.token)
        ]
        found += check_drain(evidence, runs, worker_records.rejections)
    if names == {"planned-stop"}:
        found += check_graceful_stop(evidence, [*callers, *background_callers])
    if "configuration" in names and "configuration_published" not in {
        r["type"] for r in evidence.records
    }:
        found.append("outcome: the log has no configuration_published")
    return found
