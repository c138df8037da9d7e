"""Records of the stand-ins and callers of one run, converted for the verification of promises.

All processes of a run share the clock of one machine, so times of different records are comparable.
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
    """One attempt at a request, as observed by its caller. Times are in seconds since 1970."""

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
    """An operation that took effect at the pools service, ``at`` seconds since 1970."""

    host: str
    kind: str
    at: float
    pool: str


class Stop(NamedTuple):
    """A planned stop or kill of an entry host, followed by a restart.

    Parameters
    ----------
    member, address : str
        Name and caller address of the entry host.
    began, ended, ready : float
        Times of the start of the stop, of the exit, and of readiness after the restart, in seconds
        since 1970.
    status : int
        Exit status; negative after a kill.
    """

    member: str
    address: str
    began: float
    ended: float
    ready: float
    status: int


class JobResult(NamedTuple):
    """One job, as observed by its caller.

    Parameters
    ----------
    placeable : bool
        Whether some worker is large enough for the job.
    retried_until_accepted : bool
        Whether the caller submitted the job until it was accepted, and awaited its end.
    accepted : bool
        Whether a submission was answered with 201.
    rejections : int
        Submissions that were rejected as safe to retry.
    unknown_outcomes : int
        Submissions without a response, or with an unknown outcome.
    state : str
        Last state returned to the caller; empty before the first response.
    """

    job: str
    repeatable: bool
    placeable: bool = True
    retried_until_accepted: bool = False
    accepted: bool = False
    rejections: int = 0
    unknown_outcomes: int = 0
    state: str = ""


class RollOut(NamedTuple):
    """Roll-out of one configuration version that added ``service``.

    Parameters
    ----------
    service : str
    seconds : dict of str to float
        Seconds from the acceptance of the version until each entry host served the service.
    reverts : int
        Probes answered with 404 by an entry host that had served the service before.
    probes : int
        Probes sent.
    """

    service: str
    seconds: dict[str, float]
    reverts: int
    probes: int


class Race(NamedTuple):
    """Concurrent publications on the same base version by several operators.

    Parameters
    ----------
    accepted, refused : list of str
        Services of the versions that were accepted, and of those refused with 409.
    refused_in_force : int
        Probes of refused services that were not answered with 404.
    """

    accepted: list[str]
    refused: list[str]
    refused_in_force: int


class Evidence(NamedTuple):
    """Everything recorded in one run.

    Parameters
    ----------
    calls : list of Call
    executions : list of Execution
    rejections : list of dict
        Rejections by all workers, each with its ``host``.
    dropped : int
        Executions that the workers dropped from their records.
    operations : list of Operation
    initial_pools : dict of str
        Pool of each host at the start.
    assignments : dict of str to list
        Time, pool and stream of each assignment in the log, by host.
    configuration : dict
        Configuration document in force at the end.
    stops : list of Stop
    jobs : list of JobResult
    roll_outs : list of RollOut
    races : list of Race
    fault_intervals : dict of str to tuple
        Start and end of each fault by its name, in seconds since 1970.
    silenced_connections : dict of str to int
        Number of connections that were silenced, by host.
    revocations : list of tuple
        Host, identifier of the attempt, and time of each revocation at a worker.
    """

    calls: list[Call]
    executions: list[Execution]
    rejections: list[dict[str, Any]]
    dropped: int
    operations: list[Operation]
    initial_pools: dict[str, str]
    assignments: dict[str, list[tuple[float, str, str]]]
    configuration: dict[str, Any]
    stops: list[Stop]
    jobs: list[JobResult]
    roll_outs: list[RollOut]
    races: list[Race]
    fault_intervals: dict[str, tuple[float, float]]
    silenced_connections: dict[str, int]
    revocations: list[tuple[str, str, float]]


def read_calls(path: Path) -> list[Call]:
    """Returns the calls in an output file of the load generator."""
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
    """Returns the operations that took effect, from the record of the pools service."""
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


def _list_append_times(appends: list[dict[str, Any]], stream: str) -> tuple[list[int], list[float]]:
    own = [entry for entry in appends if entry["stream"] == stream]
    return [entry["first"] for entry in own], [parse_time(entry["at"]) for entry in own]


def list_assignments(
    stream: str, records: list[Any], appends: list[dict[str, Any]]
) -> dict[str, list[tuple[float, str, str]]]:
    """Returns time, pool and stream of each change of a host's pool, by host.

    The records are applied to a stream state, so that records without effect (repeated or late
    ones) do not count.
    """
    first_offsets, times = _list_append_times(appends, stream)
    state = StreamState()
    assignments: dict[str, list[tuple[float, str, str]]] = {}
    for offset, envelope in enumerate(records):
        decoded = decode_record(envelope)
        if not isinstance(decoded, Success):
            continue
        apply_record(state, offset, decoded.unwrap())
        for host, known in state.hosts.items():
            history = assignments.setdefault(host, [])
            if not history or history[-1][1] != known.pool:
                at = times[bisect.bisect_right(first_offsets, offset) - 1]
                history.append((at, known.pool, stream))
    return assignments
