"""What the stand-ins and the callers recorded in a run, in the form that promises are judged by.

Every process of a run shares the clock of one machine, so times of different records compare.
"""

from __future__ import annotations

import bisect
import json
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from returns.result import Success

from carawayshore import StreamState, apply_record
from carawayshore.records import decode_record

if TYPE_CHECKING:
    from carawayshore_standins.client import JsonClient

PAGE_RECORDS = 1000


def parse_time(text: str | None) -> float | None:
    """Returns an RFC 3339 time in seconds since 1970, or None for None."""
    return None if text is None else datetime.fromisoformat(text).timestamp()


class Call(NamedTuple):
    """One sending of one request, as its caller saw it. Times are in seconds since 1970."""

    path: str
    kind: str
    key: str
    address: str
    status: int
    outcome: str
    verified: bool | None
    error: str
    request: str
    sent: float
    ended: float


class Execution(NamedTuple):
    """A request or task that a worker ran. Times are in seconds since 1970."""

    host: str
    kind: str
    name: str
    key: str | None
    path: str
    service: str
    pool: str
    seconds_after_drain: float | None
    started: float
    ended: float | None
    finished: bool
    result: str


class Operation(NamedTuple):
    """An operation that had an effect at the pools service, ``at`` seconds since 1970."""

    host: str
    kind: str
    at: float
    pool: str


class Stop(NamedTuple):
    """An entry host that was ended; times in seconds since 1970, ``back`` once it is ready again.

    ``status`` is the exit status, and negative after a kill.
    """

    member: str
    address: str
    began: float
    ended: float
    back: float
    status: int


class JobStory(NamedTuple):
    """What a caller was told about one job.

    Parameters
    ----------
    insisted : bool
        Whether the caller submitted the job until it was accepted, and awaited its end.
    accepted : bool
        Whether a submission was answered with 201.
    refusals : int
        Submissions answered as safe to retry.
    unclear : int
        Submissions without an answer, or with an unknown outcome.
    state : str
        Last state that the caller was told; empty before the first answer.
    """

    job: str
    repeatable: bool
    fits: bool = True
    insisted: bool = False
    accepted: bool = False
    refusals: int = 0
    unclear: int = 0
    state: str = ""


class RollOut(NamedTuple):
    """A published version: seconds from the operator's answer until each entry host served it."""

    service: str
    seconds: dict[str, float]
    reverts: int
    probes: int


class Race(NamedTuple):
    """Operators who published on the same base version."""

    accepted: list[str]
    refused: list[str]
    refused_in_force: int


class Evidence(NamedTuple):
    """All that was recorded in one run.

    Parameters
    ----------
    calls : list of Call
    executions : list of Execution
    rejections : list of dict
        Of all workers, each with its ``host``.
    dropped : int
        Executions that the workers' records no longer hold.
    operations : list of Operation
    first_pools : dict of str
        Pool of each host at the start.
    assignments : dict of str to list
        For each host, time, pool and stream of each assignment in the log.
    configuration : dict
        Document in force at the end.
    stops : list of Stop
    jobs : list of JobStory
    roll_outs : list of RollOut
    races : list of Race
    spans : dict of str to tuple
        Begin and end of faults, in seconds since 1970.
    silenced : dict of str to int
        Connections silenced by host.
    revocations : list of tuple
        Host, identifier of the attempt, and time of each revocation at a worker.
    """

    calls: list[Call]
    executions: list[Execution]
    rejections: list[dict[str, Any]]
    dropped: int
    operations: list[Operation]
    first_pools: dict[str, str]
    assignments: dict[str, list[tuple[float, str, str]]]
    configuration: dict[str, Any]
    stops: list[Stop]
    jobs: list[JobStory]
    roll_outs: list[RollOut]
    races: list[Race]
    spans: dict[str, tuple[float, float]]
    silenced: dict[str, int]
    revocations: list[tuple[str, str, float]]


def read_calls(path: Path) -> list[Call]:
    """Returns the calls in an output file of the load tool."""
    calls = []
    for line in path.read_text().splitlines():
        entry = json.loads(line)
        sent = parse_time(entry.pop("sent"))
        ended = sent + entry.pop("latency_seconds")
        calls.append(Call(**entry, sent=sent, ended=ended))
    return calls


def read_executions(record: dict[str, Any]) -> list[Execution]:
    """Returns the executions in the record of a worker."""
    return [
        Execution(
            host=record["host"],
            kind=entry["kind"],
            name=entry["request"] if entry["kind"] == "request" else entry["job"],
            key=entry.get("key"),
            path=entry.get("path", ""),
            service=entry["service"],
            pool=entry["pool"],
            seconds_after_drain=entry["seconds_after_drain"],
            started=parse_time(entry["started"]),
            ended=parse_time(entry["ended"]),
            finished=entry["finished"],
            result=entry.get("result", ""),
        )
        for entry in record["executions"]
    ]


def read_operations(record: dict[str, Any]) -> list[Operation]:
    """Returns the operations with an effect in the record of the pools service."""
    return [
        Operation(entry["host"], entry["kind"], parse_time(entry["at"]), entry.get("pool", ""))
        for entry in record["operations"]
        if not entry["repeated"]
    ]


async def read_stream(client: JsonClient, address: str, stream: str, end: int) -> list[Any]:
    """Returns the records of a stream up to ``end`` from the log stand-in at ``address``."""
    records: list[Any] = []
    while len(records) < end:
        path = f"/v1/streams/{stream}/records?from={len(records)}&limit={PAGE_RECORDS}"
        page = await client.call("GET", address, path)
        records += [entry["record"] for entry in page.body["records"]]
    return records


def _find_times(appends: list[dict[str, Any]], stream: str) -> tuple[list[int], list[float]]:
    own = [entry for entry in appends if entry["stream"] == stream]
    return [entry["first"] for entry in own], [parse_time(entry["at"]) for entry in own]


def list_assignments(
    stream: str, records: list[Any], appends: list[dict[str, Any]]
) -> dict[str, list[tuple[float, str, str]]]:
    """Returns when the log put each host into which pool.

    The records are folded, so that those without an effect (repeated or late ones) do not count.
    """
    firsts, times = _find_times(appends, stream)
    state = StreamState()
    found: dict[str, list[tuple[float, str, str]]] = {}
    for offset, envelope in enumerate(records):
        decoded = decode_record(envelope)
        if not isinstance(decoded, Success):
            continue
        apply_record(state, offset, decoded.unwrap())
        for host, known in state.hosts.items():
            told = found.setdefault(host, [])
            if not told or told[-1][1] != known.pool:
                at = times[bisect.bisect_right(firsts, offset) - 1]
                told.append((at, known.pool, stream))
    return found
