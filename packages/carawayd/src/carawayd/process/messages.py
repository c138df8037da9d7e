"""Messages between entry hosts: a registry of types and their codec.

A message has two frames, the header and the payload, both msgpack arrays of a ``NamedTuple``.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from carawayshore import shares

MAX_FRAME_BYTES = 8 * 1024 * 1024

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


class Header(NamedTuple):
    """Type of the message and identity of its sender."""

    type: str
    member: str
    incarnation: int
    data_centre: str


class Message(NamedTuple):
    header: Header
    body: Any


class MalformedFrame(NamedTuple):
    reason: str


def message(name: str):
    """Registers a ``NamedTuple`` as the payload of the message type ``name``."""

    def register(body_type: type) -> type:
        if name in _types_by_name:
            raise ValueError(f"message type {name!r} is registered twice")
        _types_by_name[name] = body_type
        _names_by_type[body_type] = name
        return body_type

    return register


def encode_message(body: Any, *, member: str, incarnation: int, data_centre: str) -> list[bytes]:
    """Returns the frames of a message."""
    header = Header(_names_by_type[type(body)], member, incarnation, data_centre)
    return [msgspec.msgpack.encode(header), msgspec.msgpack.encode(body)]


def decode_message(frames: list[bytes]) -> Result[Message, MalformedFrame]:
    """Decodes and validates the frames of a message; their content is not trusted."""
    if len(frames) != 2 or any(len(frame) > MAX_FRAME_BYTES for frame in frames):
        return Failure(MalformedFrame(f"{len(frames)} frames, accepted: 2 of at most 8 MiB"))
    try:
        header = msgspec.msgpack.decode(frames[0], type=Header)
        body_type = _types_by_name.get(header.type)
        if body_type is None:
            return Failure(MalformedFrame(f"unknown message type {header.type!r}"))
        return Success(Message(header, msgspec.msgpack.decode(frames[1], type=body_type)))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(MalformedFrame(str(error)))


@message("heartbeat")
class Heartbeat(NamedTuple):
    """State of an entry host, sent at a fixed interval.

    Peers of other data centres get a shorter form: ``loads`` has only the sum, under an empty
    name, ``own_applied`` only the global stream, and ``applied`` and ``pools`` are empty.

    Attributes
    ----------
    sequence : int
        Number of the heartbeat since the start of the process.
    applied : dict of str to int
        Next offset by stream, as reported to barriers; it is held back while key grants are not
        in the log.
    own_applied : dict of str to int
        Next offset by stream in the folded state.
    log_contact_age : float
        Time since the last answer of the log in seconds, -1 if it never answered.
    loads : dict of str to int
        Requests in progress by target.
    ready, stopping, joined : bool
        Whether the process may serve, has begun a planned stop, and is a member.
    version : int
        Configuration version.
    peer_address, caller_address : str
        Addresses that let peers answer an entry host that their settings do not name yet.
    pools : dict of str to tuple of int
        Requests of some pools that are waiting, running, and refused for lack of slots since the
        process started; sent in every fourth heartbeat.
    """

    sequence: int
    applied: dict[str, int]
    own_applied: dict[str, int]
    log_contact_age: float
    loads: dict[str, int]
    ready: bool
    stopping: bool
    joined: bool
    version: int
    peer_address: str
    caller_address: str
    pools: dict[str, tuple[int, int, int]] = {}


@message("state_request")
class StateRequest(NamedTuple):
    """Asks for the folded state of ``stream`` if it is ahead of ``offset``."""

    stream: str
    offset: int


@message("state_reply")
class StateReply(NamedTuple):
    """Encoded folded state up to ``offset``, with its SHA-256 digest in hexadecimal."""

    stream: str
    offset: int
    state: bytes
    digest: str


@message("records")
class Records(NamedTuple):
    """Consecutive records from offset ``first``, relayed to a peer that cannot reach the log."""

    stream: str
    first: int
    envelopes: list[Any]


for _name, _type in (
    ("slot_request", shares.SlotRequest),
    ("slot_loan", shares.SlotLoan),
    ("slot_return", shares.SlotReturn),
    ("slot_recall", shares.SlotRecall),
):
    message(_name)(_type)


@message("key_claim")
class KeyClaim(NamedTuple):
    """Asks the owner of a key whether ``request`` of ``holder`` may be dispatched.

    ``relayed`` is set by a member of the key's home data centre that forwards the claim. With
    ``peek`` nothing is granted; the decision is then ``free`` instead of ``granted``.
    """

    key: str
    request: str
    holder: str
    holder_incarnation: int
    relayed: bool = False
    peek: bool = False


@message("key_answer")
class KeyAnswer(NamedTuple):
    """Decision on a claim; the ``holder`` fields identify the request that has the grant.

    ``decision`` is ``granted``, ``free``, ``held``, ``not-owner``, ``unsafe`` or ``unknown``.
    """

    key: str
    request: str
    decision: str
    holder: str = ""
    holder_incarnation: int = 0
    holder_request: str = ""


@message("key_copy")
class KeyCopy(NamedTuple):
    """Replicates a grant to a peer while the log is unreachable."""

    key: str
    request: str
    member: str
    incarnation: int


@message("key_copied")
class KeyCopied(NamedTuple):
    key: str
    request: str


@message("key_finished")
class KeyDone(NamedTuple):
    """Reports how a request ended: its HTTP status, 0 if unknown, -1 if not dispatched."""

    key: str
    request: str
    status: int
