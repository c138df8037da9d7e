"""State machine of a control stream: every process derives the same state from the same records.

The state results from applying the records of the stream in order (a fold).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from carawayshore import records

# Producers are kept this long to detect duplicates. A duplicate of an append follows the original
# by fewer offsets, since a producer has one batch in flight and stops retrying after minutes.
PRODUCER_RETENTION_OFFSETS = 1_000_000
# Finished jobs and key grants are kept this long. Limits the memory of the state, since each takes
# about 400 bytes.
ENTRY_RETENTION_OFFSETS = 100_000
PRUNING_INTERVAL_OFFSETS = 1_000
TERMINAL_JOB_STATES = frozenset({"succeeded", "failed", "cancelled", "unknown", "unplaceable"})


class Rejection(NamedTuple):
    """Reason why a record does not change the state."""

    reason: str


class Producer(NamedTuple):
    """Sequence number and offset of the last record of a producer."""

    sequence: int
    offset: int


class ConfigurationVersion(NamedTuple):
    """A version of the configuration."""

    version: int
    document: dict[str, Any]
    author: str


class Claim(NamedTuple):
    """A claim (lease) and its holder; ``fence`` is the offset of the record that took it."""

    member: str
    incarnation: int
    fence: int
    renewal: int
    released: bool = False


class Member(NamedTuple):
    """The current or last incarnation of an entry host.

    ``joined`` is the offset of the record of its join.
    """

    incarnation: int
    caller_address: str
    peer_address: str
    joined: int
    ended: bool = False
    evidence: str = ""


class Host(NamedTuple):
    """Assignment of a host to a pool.

    ``revision`` increases with each change of the host, and ``changed`` is the offset of the last
    drain or join. ``draining_wave`` is the wave for which the host drains, ``wave`` the last one in
    which it was maintained. ``home`` is the pool that lent the host, empty if it is not lent.
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
    """Last attempt of a job; ``lease`` is the offset of the attempt's ``job_placed`` record."""

    attempt: int
    host: str
    fence: int
    lease: int = -1


class Job(NamedTuple):
    """A job; ``submitted`` and ``changed`` are the offsets of its submission and last change."""

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
    """Grant of a key to a request.

    ``offset`` is that of the record of the grant, ``status`` the status of the response, 0 until
    the request has ended.
    """

    request: str
    member: str
    incarnation: int
    offset: int
    status: int = 0


class Wave(NamedTuple):
    """A maintenance wave; ``started`` is the offset and ``at`` the time (RFC 3339) of its start."""

    data_centre: str
    hosts: list[str]
    done: list[str]
    started: int
    fence: int
    at: str


class ReportedHost(NamedTuple):
    """Last report about a host by the holder of the claim ``fleet`` in its data centre.

    ``condition`` is ``failed``, ``draining``, ``moving`` or, for a serving host, empty. ``since``
    is the time of the first report (RFC 3339).
    """

    pool: str
    rack: str
    condition: str
    since: str


class Report(NamedTuple):
    """Reported hosts of one data centre.

    ``fence`` is that of the claim ``fleet`` in the data centre's own stream, ``offset`` that of the
    last report.
    """

    fence: int
    offset: int
    hosts: dict[str, ReportedHost]


class Removal(NamedTuple):
    """Reservation for a host that an operator takes out of service.

    It ends when the host's data centre reports the new condition. ``at`` is the time of the
    reservation (RFC 3339), ``offset`` the offset of its record.
    """

    data_centre: str
    pool: str
    at: str
    offset: int


class Pause(NamedTuple):
    """Pause of maintenance: no wave starts."""

    author: str
    reason: str


class View(NamedTuple):
    """Members of a data centre as of the record at ``offset``, as (name, incarnation) pairs."""

    offset: int
    members: list[tuple[str, int]]


class FoldedState(NamedTuple):
    """State of a stream, as encoded in snapshots.

    Parameters
    ----------
    next_offset : int
        Offset after the last applied record.
    producers : dict of str to Producer
    configuration : ConfigurationVersion
        Configuration in force.
    claims : dict of str to Claim
    members : dict of str to Member
    view : View
        Current view.
    settled : View
        Last view that every member has applied and for which it has logged the keys it granted.
    crashed : list of str
        Members that crashed since a view last settled.
    quarantine : int
        Offset of the last record with which a second or further member crashed before the view had
        settled, -1 for none. Grants may have been lost then, so no keys are granted for some time.
    hosts : dict of str to Host
    jobs : dict of str to Job
    keys : dict of str to KeyGrant
    waves : dict of str to Wave
        Waves in progress.
    pause : Pause or None
        Pause of maintenance.
    maintained : dict of str to str
        Time (RFC 3339) of the last maintenance of each host.
    stalled : dict of str to Wave
        Waves that ended with pending hosts.
    wave_seconds : float
        Moving average of the duration of waves, 0 before the first one has ended.
    reports : dict of str to Report
        Last report of each data centre.
    removals : dict of str to Removal
        Reservations by host.
    """

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
    """Returns the result for a record whose precondition does not hold."""
    return Failure(Rejection(reason))


ACCEPTED: Result[None, Rejection] = Success(None)


@register_handler(records.Snapshot)
def _apply_snapshot(state: StreamState, offset: int, item: records.Record):
    """Accepts a snapshot without effect, since it repeats the state."""
    return ACCEPTED


class StreamState:
    """Mutable state of one stream; the same records give the same state in every process."""

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
        """Returns the state as a tuple, without copying its dictionaries."""
        return FoldedState(*(getattr(self, name) for name in FoldedState._fields))

    def encode(self) -> bytes:
        """Returns the canonical JSON encoding; equal states have equal encodings."""
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
    """Removes old entries; depends only on offsets, so every process removes the same ones."""
    if offset % PRUNING_INTERVAL_OFFSETS:
        return
    min_producer_offset = offset - PRODUCER_RETENTION_OFFSETS
    min_entry_offset = offset - ENTRY_RETENTION_OFFSETS
    state.producers = {
        name: item for name, item in state.producers.items() if item.offset >= min_producer_offset
    }
    state.members = {
        name: item
        for name, item in state.members.items()
        if not item.ended or item.joined >= min_producer_offset
    }
    state.keys = {
        name: item for name, item in state.keys.items() if item.offset >= min_entry_offset
    }
    state.jobs = {
        name: item
        for name, item in state.jobs.items()
        if item.state not in TERMINAL_JOB_STATES or item.changed >= min_entry_offset
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
        Modified in place.
    offset : int
        Offset of the record; must not be below ``state.next_offset``.
    item : Record

    Returns
    -------
    Result[None, Rejection]
        The reason if the record was rejected.

    Raises
    ------
    ValueError
        If the offset was already applied, which is an error of the caller.
    """
    if offset < state.next_offset:
        raise ValueError(f"offset {offset} is already applied, next is {state.next_offset}")
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
        return reject("no handler for this record type")
    return handler(state, offset, item)


def skip_record(state: StreamState, offset: int) -> None:
    """Advances past a malformed record."""
    state.next_offset = max(state.next_offset, offset + 1)
