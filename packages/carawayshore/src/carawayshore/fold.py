"""The fold of a control stream: every process derives the same state from the same records."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from carawayshore import records

# A late duplicate of an append cannot be this many offsets behind the original: a producer
# has one batch in flight and retries for minutes, not for days.
PRODUCER_RETENTION_OFFSETS = 1_000_000
# Bounds the memory of the state: a finished job or a granted key takes about 400 bytes.
ENTRY_RETENTION_OFFSETS = 100_000
PRUNING_INTERVAL_OFFSETS = 1_000
TERMINAL_JOB_STATES = frozenset({"succeeded", "failed", "cancelled", "unknown", "unplaceable"})


class Rejection(NamedTuple):
    """Reason why a record has no effect on the state."""

    reason: str


class Producer(NamedTuple):
    sequence: int
    offset: int


class ConfigurationVersion(NamedTuple):
    version: int
    document: dict[str, Any]
    author: str


class Claim(NamedTuple):
    """A lapsing claim. ``fence`` is the offset of the record that took it."""

    member: str
    incarnation: int
    fence: int
    renewal: int
    released: bool = False


class Member(NamedTuple):
    """The current or last incarnation of an entry host."""

    incarnation: int
    caller_address: str
    peer_address: str
    joined: int
    ended: bool = False
    evidence: str = ""


class Host(NamedTuple):
    """Assignment of a host. ``revision`` grows with each change of the host.

    ``draining_wave`` is the wave that it drains for, ``wave`` the last one that it went through.
    ``home`` is the pool that lent it, empty while it is not lent.
    """

    pool: str
    address: str
    rack: str
    slots: int
    connections: int
    resources: records.Resources
    revision: int
    draining_to: str = ""
    reason: str = ""
    changed: int = 0
    draining_wave: str = ""
    wave: str = ""
    home: str = ""


class Placement(NamedTuple):
    """Last attempt of a job; ``lease`` is the offset of its ``job_placed`` record."""

    attempt: int
    host: str
    fence: int
    lease: int = -1


class Job(NamedTuple):
    queue: str
    team: str
    service: str
    payload: dict[str, Any]
    resources: records.Resources
    urgent: bool
    repeatable: bool
    deadline: str
    declared_seconds: float
    submitted: int
    state: str
    placement: Placement
    changed: int
    detail: str = ""
    content: str = ""
    failures: int = 0
    checkpoint: dict[str, Any] | None = None


class KeyGrant(NamedTuple):
    request: str
    member: str
    incarnation: int
    offset: int
    status: int = 0


class Wave(NamedTuple):
    """A rolling batch. ``started`` is an offset, ``at`` the time of its start (RFC 3339)."""

    data_centre: str
    hosts: list[str]
    done: list[str]
    started: int
    fence: int
    at: str


class ReportedHost(NamedTuple):
    """A host as the holder of ``fleet`` in its data centre last reported it.

    ``condition`` is empty for a serving host, or ``failed``, ``draining`` or ``moving``. ``since``
    is the time of the first report (RFC 3339).
    """

    pool: str
    rack: str
    condition: str
    since: str


class Report(NamedTuple):
    """Hosts of one data centre; ``fence`` is that of the claim ``fleet`` in its own stream."""

    fence: int
    offset: int
    hosts: dict[str, ReportedHost]


class Removal(NamedTuple):
    """A host that an operator takes out of service, until its data centre reports it so.

    ``at`` is the time of the reservation (RFC 3339), ``offset`` that of its record.
    """

    data_centre: str
    pool: str
    at: str
    offset: int


class Pause(NamedTuple):
    author: str
    reason: str


class View(NamedTuple):
    """Members of a data centre as of the record at ``offset``, as (name, incarnation) pairs."""

    offset: int
    members: list[tuple[str, int]]


class FoldedState(NamedTuple):
    """All that a stream's records amount to; encoded in snapshots."""

    next_offset: int
    producers: dict[str, Producer]
    configuration: ConfigurationVersion
    claims: dict[str, Claim]
    members: dict[str, Member]
    view: View
    settled: View
    crashed: list[str]
    quarantine: int
    hosts: dict[str, Host]
    jobs: dict[str, Job]
    keys: dict[str, KeyGrant]
    waves: dict[str, Wave]
    pause: Pause | None
    maintained: dict[str, str]
    stalled: dict[str, Wave]
    wave_seconds: float
    reports: dict[str, Report]
    removals: dict[str, Removal] = {}


Handler = Callable[["StreamState", int, records.Record], Result[None, Rejection]]
_handlers: dict[type, Handler] = {}


def register_handler(body_type: type):
    """Registers the handler of a record type."""

    def register(handler: Handler) -> Handler:
        if body_type in _handlers:
            raise ValueError(f"record type {body_type.__name__} has two handlers")
        _handlers[body_type] = handler
        return handler

    return register


def reject(reason: str) -> Result[None, Rejection]:
    """Returns the failure of a record whose precondition does not hold."""
    return Failure(Rejection(reason))


ACCEPTED: Result[None, Rejection] = Success(None)


@register_handler(records.Snapshot)
def _note_snapshot(state: StreamState, offset: int, item: records.Record):
    """A snapshot repeats the state and does not change it."""
    return ACCEPTED


class StreamState:
    """Mutable state of one stream; the same records give the same state everywhere."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.producers: dict[str, Producer] = {}
        self.configuration = ConfigurationVersion(0, {}, "")
        self.claims: dict[str, Claim] = {}
        self.members: dict[str, Member] = {}
        self.view = View(-1, [])
        self.settled = View(-1, [])
        self.crashed: list[str] = []
        self.quarantine = -1
        self.hosts: dict[str, Host] = {}
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, KeyGrant] = {}
        self.waves: dict[str, Wave] = {}
        self.pause: Pause | None = None
        self.maintained: dict[str, str] = {}
        self.stalled: dict[str, Wave] = {}
        self.wave_seconds = 0.0
        self.reports: dict[str, Report] = {}
        self.removals: dict[str, Removal] = {}

    def export(self) -> FoldedState:
        """Returns the state as data; the tables are shared, not copied."""
        return FoldedState(*(getattr(self, name) for name in FoldedState._fields))

    def encode(self) -> bytes:
        """Returns the canonical encoding, equal for equal states."""
        return msgspec.json.encode(self.export(), order="sorted")

    def digest(self) -> str:
        """Returns the SHA-256 of the canonical encoding as hexadecimal digits."""
        return hashlib.sha256(self.encode()).hexdigest()

    @classmethod
    def decode(cls, data: bytes) -> StreamState:
        """Returns the state encoded in ``data``.

        Raises
        ------
        msgspec.ValidationError
            If ``data`` is not the encoding of a state.
        """
        state = cls()
        folded = msgspec.json.decode(data, type=FoldedState)
        for name, value in zip(FoldedState._fields, folded, strict=True):
            setattr(state, name, value)
        return state


def _prune(state: StreamState, offset: int) -> None:
    """Drops old entries; depends on offsets alone, so that every process drops the same ones."""
    if offset % PRUNING_INTERVAL_OFFSETS:
        return
    oldest_producer = offset - PRODUCER_RETENTION_OFFSETS
    oldest_entry = offset - ENTRY_RETENTION_OFFSETS
    state.producers = {
        name: item for name, item in state.producers.items() if item.offset >= oldest_producer
    }
    state.members = {
        name: item
        for name, item in state.members.items()
        if not item.ended or item.joined >= oldest_producer
    }
    state.keys = {name: item for name, item in state.keys.items() if item.offset >= oldest_entry}
    state.jobs = {
        name: item
        for name, item in state.jobs.items()
        if item.state not in TERMINAL_JOB_STATES or item.changed >= oldest_entry
    }


def _is_current_producer(state: StreamState, item: records.Record) -> bool:
    """Returns whether the producer may change a stream that has members."""
    if not state.members or isinstance(item.body, records.MemberJoined):
        return True
    name, _, incarnation = item.producer.rpartition("/")
    member = state.members.get(name)
    return member is not None and not member.ended and str(member.incarnation) == incarnation


def apply_record(state: StreamState, offset: int, item: records.Record) -> Result[None, Rejection]:
    """Applies one record; the state advances past ``offset`` in any case.

    Parameters
    ----------
    state : StreamState
        Changed in place.
    offset : int
        Offset of the record; must not be below ``state.next_offset``.
    item : Record

    Returns
    -------
    Result[None, Rejection]
        The reason if the record has no effect.

    Raises
    ------
    ValueError
        If the offset was applied before, which is a fault of the caller.
    """
    if offset < state.next_offset:
        raise ValueError(f"offset {offset} applied already, next is {state.next_offset}")
    state.next_offset = offset + 1
    _prune(state, offset)
    known = state.producers.get(item.producer)
    if known is not None and item.sequence <= known.sequence:
        return reject("duplicate")
    state.producers[item.producer] = Producer(item.sequence, offset)
    if not _is_current_producer(state, item):
        return reject("the producer is not a current member")
    handler = _handlers.get(type(item.body))
    if handler is None:
        return reject("no handler")
    return handler(state, offset, item)


def skip_record(state: StreamState, offset: int) -> None:
    """Advances past a malformed record."""
    state.next_offset = max(state.next_offset, offset + 1)
