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
    """Decodes the frames of a message; nothing about them is assumed."""
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

    ``applied`` gives the next offset of each stream that barriers may count on, ``own_applied``
    the one that was folded. ``log_contact_age`` is in seconds, -1 if the log never answered.
    ``loads`` maps a target to the requests in progress there; peers of other data centres get
    their sum alone, under an empty name, and only the offset of the global stream. The addresses
    let peers answer an entry host that their settings do not name yet. ``pools`` maps some pools,
    in every fourth heartbeat, to the requests that wait, run, and were refused for lack of slots
    since the process started.
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
    """``state`` is empty if the sender is not ahead."""

    stream: str
    offset: int
    state: bytes
    digest: str


@message("records")
class Records(NamedTuple):
    """Relays records, in order, to a peer that has lost the log."""

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

    ``relayed`` is set by a member of the key's home data centre that passes the claim on. With
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
    """Decision about a claim; the holder is the one that the key is granted to.

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
    """Copy of a grant, kept by a peer while the log is down."""

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
    """Tells the owner how a request ended: its HTTP status, 0 if unknown, -1 if not dispatched."""

    key: str
    request: str
    status: int
