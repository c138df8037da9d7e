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
    """Identity of a record: ``sequence`` grows by one or more with each record of a producer."""

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
        Parsed JSON; nothing about its shape is assumed.

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
    """``incarnation`` is the end offset of the stream that the process read before joining."""

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
    """Every member applied the view of offset ``view`` and logged the keys that it granted."""

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
    """Starts a move to ``to_pool``; the host's own pool for a drain that ends in its return.

    ``reason`` is one of ``move``, ``lend``, ``maintenance`` and ``hold``; a held host stays drained
    until its return is requested. ``wave`` is given with the reason ``maintenance``. With
    ``draining_seen`` the record is valid only while so many hosts of the pool drain, so that two
    drains that were each within an availability budget do not exceed it together.
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
    """Ends a drain; ``aborted`` if a host serves on because it may not be missed now."""

    host: str
    revision: int
    pool: str
    fence: int
    aborted: bool = False


@record("job_submitted")
class JobSubmitted(NamedTuple):
    """``content`` is a digest of the submission, by which a repeated one is recognised.

    ``deadline`` is RFC 3339 in UTC with microseconds, so that texts compare as times do.
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
    """``result`` is ``succeeded``, ``failed``, ``not-started``, ``stopped`` or ``unknown``.

    ``stopped`` means that the worker confirmed the end of the task. A repeatable job goes on from
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
    """``status`` is the HTTP status of the answer, 0 if unknown, -1 if it was never dispatched."""

    key: str
    request: str
    status: int


@record("wave_started")
class WaveStarted(NamedTuple):
    """``at`` is the time of the start (RFC 3339)."""

    wave: str
    data_centre: str
    hosts: list[str]
    fence: int
    at: str


@record("wave_host_done")
class WaveHostDone(NamedTuple):
    """Appended by the holder of ``fleet`` in the host's data centre.

    ``fence`` is the one under which the wave started, since the claim ``maintenance`` may be held
    elsewhere. ``skipped`` if the host was removed, or was not begun before the wave stalled.
    """

    wave: str
    host: str
    fence: int
    at: str
    skipped: bool = False


@record("wave_finished")
class WaveFinished(NamedTuple):
    """``stalled`` if hosts are left over, so that other data centres need not wait for them."""

    wave: str
    fence: int
    at: str
    stalled: bool = False


class HostReport(NamedTuple):
    """``pool`` is empty for a host that was removed."""

    pool: str
    rack: str = ""
    condition: str = ""


@record("hosts_reported")
class HostsReported(NamedTuple):
    """Changes of a data centre's hosts; ``fence`` is that of its claim ``fleet``."""

    data_centre: str
    fence: int
    at: str
    hosts: dict[str, HostReport]


@record("removal_reserved")
class RemovalReserved(NamedTuple):
    """An operator is about to take a host out of service.

    ``reserved_seen`` is the offset of the pool's last reservation that the operator's check knew,
    -1 for none; it is None for an operator who exceeds the budget on purpose.
    """

    data_centre: str
    host: str
    pool: str
    at: str
    reserved_seen: int | None


@record("removal_released")
class RemovalReleased(NamedTuple):
    """The host of a reservation was not taken out of service."""

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
    """Part ``part`` of ``parts`` of the state folded up to, not including, offset ``through``."""

    through: int
    digest: str
    part: int
    parts: int
    data: str
