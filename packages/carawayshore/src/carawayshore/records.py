"""Records of the control streams and their wire format.

A record is appended as ``{"id": {"producer": str, "sequence": int}, "type": str, "body": object}``.
Every type is a ``NamedTuple`` registered with :func:`record`.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict, TypeVar

import msgspec
from returns.result import Failure, Result, Success

RecordType = TypeVar("RecordType", bound=type)

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


class RecordId(TypedDict):
    """Identity of a record; a producer's ``sequence`` increases by at least 1 per record."""

    producer: str
    sequence: int


class Envelope(TypedDict):
    """A record as it is appended to the log service."""

    id: RecordId
    type: str
    body: dict[str, Any]


class Record(NamedTuple):
    """A decoded record."""

    producer: str
    sequence: int
    body: Any


class Malformed(NamedTuple):
    """Reason why an envelope could not be decoded."""

    reason: str


def record(name: str):
    """Registers a ``NamedTuple`` as the body of the record type ``name``."""

    def register(body_type: RecordType) -> RecordType:
        if name in _types_by_name:
            raise ValueError(f"record type {name!r} is registered twice")
        _types_by_name[name] = body_type
        _names_by_type[body_type] = name
        return body_type

    return register


def list_record_types() -> dict[str, type]:
    """Returns the registered record types by name."""
    return dict(_types_by_name)


def encode_record(item: Record) -> Envelope:
    """Returns the envelope of ``item``."""
    return {
        "id": {"producer": item.producer, "sequence": item.sequence},
        "type": _names_by_type[type(item.body)],
        "body": {name: msgspec.to_builtins(value) for name, value in item.body._asdict().items()},
    }


def decode_record(envelope: Any) -> Result[Record, Malformed]:
    """Decodes an envelope read from the log.

    Parameters
    ----------
    envelope : Any
        Parsed JSON of any type.

    Returns
    -------
    Result[Record, Malformed]
        The record, or the reason why it is malformed.
    """
    try:
        checked = msgspec.convert(envelope, Envelope)
    except msgspec.ValidationError as error:
        return Failure(Malformed(str(error)))
    body_type = _types_by_name.get(checked["type"])
    if body_type is None:
        accepted = ", ".join(sorted(_types_by_name))
        return Failure(Malformed(f"unknown type {checked['type']!r}, accepted: {accepted}"))
    body = checked["body"]
    missing = [
        name
        for name in body_type._fields
        if name not in body and name not in body_type._field_defaults
    ]
    unknown = sorted(set(body) - set(body_type._fields))
    if missing or unknown:
        return Failure(Malformed(f"{checked['type']}: missing {missing}, unknown {unknown}"))
    values = [body.get(name, body_type._field_defaults.get(name)) for name in body_type._fields]
    try:
        decoded = msgspec.convert(values, body_type)
    except msgspec.ValidationError as error:
        return Failure(Malformed(f"{checked['type']}: {error}"))
    return Success(Record(checked["id"]["producer"], checked["id"]["sequence"], decoded))


@record("configuration_published")
class ConfigurationPublished(NamedTuple):
    base_version: int
    document: dict[str, Any]
    author: str


@record("claim_taken")
class ClaimTaken(NamedTuple):
    claim: str
    member: str
    incarnation: int
    previous_fence: int
    previous_renewal: int


@record("claim_renewed")
class ClaimRenewed(NamedTuple):
    claim: str
    fence: int
    renewal: int


@record("claim_released")
class ClaimReleased(NamedTuple):
    claim: str
    fence: int


@record("member_joined")
class MemberJoined(NamedTuple):
    """A process of an entry host joined.

    ``incarnation`` is the end offset of the stream that the process read before joining.
    """

    member: str
    incarnation: int
    caller_address: str
    peer_address: str


@record("member_left")
class MemberLeft(NamedTuple):
    member: str
    incarnation: int


@record("member_evicted")
class MemberEvicted(NamedTuple):
    member: str
    incarnation: int
    evidence: str


@record("view_settled")
class ViewSettled(NamedTuple):
    """Every member has applied the view of offset ``view`` and logged the keys that it granted."""

    view: int


@record("quarantine_ended")
class QuarantineEnded(NamedTuple):
    """A member has waited out the quarantine that began at ``offset``."""

    offset: int


class Resources(NamedTuple):
    processors: float
    memory_gib: float
    accelerators: int = 0


@record("host_added")
class HostAdded(NamedTuple):
    host: str
    pool: str
    address: str
    rack: str
    slots: int
    connections: int
    resources: Resources


@record("host_removed")
class HostRemoved(NamedTuple):
    host: str
    revision: int
    fence: int


@record("host_drain_started")
class HostDrainStarted(NamedTuple):
    """Starts to drain a host, which then joins ``to_pool``, its own pool unless it moves.

    ``reason`` is one of ``move``, ``lend``, ``maintenance`` and ``hold``; a held host stays drained
    until its return is requested. ``wave`` is set only with the reason ``maintenance``. If
    ``draining_seen`` is not -1, the record is accepted only while exactly this number of hosts of
    the pool is draining, so that two drains that are each within an availability budget do not
    exceed it together.
    """

    host: str
    revision: int
    to_pool: str
    reason: str
    fence: int
    wave: str = ""
    draining_seen: int = -1


@record("host_return_requested")
class HostReturnRequested(NamedTuple):
    """Ends a drain that holds the host until an operator returns it."""

    host: str
    revision: int
    fence: int


@record("host_joined")
class HostJoined(NamedTuple):
    """Ends a drain; ``aborted`` if the host stays in service because it may not be drained now."""

    host: str
    revision: int
    pool: str
    fence: int
    aborted: bool = False


@record("job_submitted")
class JobSubmitted(NamedTuple):
    """A job was submitted.

    ``content`` is a digest of the submission, by which a repeated submission is recognised.
    ``deadline`` is an RFC 3339 time in UTC with microseconds, so that its text sorts by time.
    """

    job: str
    queue: str
    team: str
    service: str
    payload: dict[str, Any]
    resources: Resources
    urgent: bool
    repeatable: bool
    deadline: str
    declared_seconds: float
    content: str = ""


@record("job_placed")
class JobPlaced(NamedTuple):
    job: str
    attempt: int
    host: str
    fence: int


@record("job_finished")
class JobFinished(NamedTuple):
    """An attempt of a job ended.

    ``result`` is ``succeeded``, ``failed``, ``not-started``, ``stopped`` or ``unknown``; with
    ``stopped`` the worker confirmed the end of the task. A repeatable job resumes from
    ``checkpoint`` in its next attempt.
    """

    job: str
    attempt: int
    result: str
    detail: str
    checkpoint: dict[str, Any] | None = None


@record("job_cancelled")
class JobCancelled(NamedTuple):
    job: str


@record("job_unplaceable")
class JobUnplaceable(NamedTuple):
    job: str
    reason: str


@record("key_granted")
class KeyGranted(NamedTuple):
    key: str
    request: str
    member: str
    incarnation: int


@record("key_finished")
class KeyFinished(NamedTuple):
    """The request of a granted key ended.

    ``status`` is the HTTP status of the answer, 0 if unknown, -1 if the request was never
    dispatched.
    """

    key: str
    request: str
    status: int


@record("wave_started")
class WaveStarted(NamedTuple):
    """A maintenance wave started; ``at`` is the time of the start (RFC 3339)."""

    wave: str
    data_centre: str
    hosts: list[str]
    fence: int
    at: str


@record("wave_host_done")
class WaveHostDone(NamedTuple):
    """A host of a wave is done; appended by the holder of ``fleet`` in its data centre.

    ``fence`` is the one under which the wave started, since the claim ``maintenance`` may be held
    in another data centre. ``skipped`` if the host was removed, or if its maintenance had not
    started when the wave stalled.
    """

    wave: str
    host: str
    fence: int
    at: str
    skipped: bool = False


@record("wave_finished")
class WaveFinished(NamedTuple):
    """A wave ended; ``stalled`` if hosts are still pending.

    A stalled wave does not block waves in other data centres.
    """

    wave: str
    fence: int
    at: str
    stalled: bool = False


class HostReport(NamedTuple):
    """Reported state of a host; ``pool`` is empty if the host was removed."""

    pool: str
    rack: str = ""
    condition: str = ""


@record("hosts_reported")
class HostsReported(NamedTuple):
    """Changes of a data centre's hosts; ``fence`` is that of the data centre's claim ``fleet``."""

    data_centre: str
    fence: int
    at: str
    hosts: dict[str, HostReport]


@record("removal_reserved")
class RemovalReserved(NamedTuple):
    """An operator is about to take a host out of service.

    ``reserved_seen`` is the offset of the pool's last reservation when the budget was checked for
    the operator, -1 for none; None if the operator exceeds the budget on purpose.
    """

    data_centre: str
    host: str
    pool: str
    at: str
    reserved_seen: int | None


@record("removal_released")
class RemovalReleased(NamedTuple):
    """Cancels a reservation whose host was not taken out of service.

    ``reserved`` is the offset of the reservation.
    """

    host: str
    reserved: int


@record("maintenance_paused")
class MaintenancePaused(NamedTuple):
    author: str
    reason: str


@record("maintenance_resumed")
class MaintenanceResumed(NamedTuple):
    author: str


@record("snapshot")
class Snapshot(NamedTuple):
    """Part ``part`` of ``parts`` of the folded state of the records below offset ``through``."""

    through: int
    digest: str
    part: int
    parts: int
    data: str
