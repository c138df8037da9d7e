"""At-most-once execution of requests with an idempotency key.

The owner of a key grants it to one request. Rendezvous hashing chooses the owner among the members
of the key's home data centre. A member grants a key only if it is the owner in both the last
settled view and the current view, since then no other process can consider itself the owner.
"""

from __future__ import annotations

from typing import NamedTuple

from carawayshore import records
from carawayshore.fold import ACCEPTED, KeyGrant, StreamState, View, register_handler, reject
from carawayshore.hashing import choose_candidate

RELEASED = -1


@register_handler(records.KeyGranted)
def _grant(state: StreamState, offset: int, item: records.Record):
    body: records.KeyGranted = item.body
    if body.key in state.keys:
        return reject(f"key {body.key!r} was granted before")
    state.keys[body.key] = KeyGrant(body.request, body.member, body.incarnation, offset)
    return ACCEPTED


@register_handler(records.KeyFinished)
def _finish(state: StreamState, offset: int, item: records.Record):
    body: records.KeyFinished = item.body
    grant = state.keys.get(body.key)
    if grant is None or grant.request != body.request:
        return reject(f"key {body.key!r} is not granted to request {body.request!r}")
    if body.status == RELEASED:
        del state.keys[body.key]
    else:
        state.keys[body.key] = grant._replace(status=body.status)
    return ACCEPTED


class Ticket(NamedTuple):
    """A key that only the process that issued it keeps track of."""

    data_centre: str
    member: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        return f"{self.data_centre}:{self.member}.{self.incarnation}.{self.number}"


def parse_ticket(key: str) -> Ticket | None:
    """Parses ``key`` as a ticket; returns None if it is another kind of key."""
    data_centre, colon, remainder = key.partition(":")
    parts = remainder.split(".")
    if not colon or len(parts) != 3 or not parts[0]:
        return None
    member, incarnation, number = parts
    if not incarnation.lstrip("-").isdigit() or not number.isdigit():
        return None
    return Ticket(data_centre, member, int(incarnation), int(number))


def choose_home_data_centre(key: str, data_centres: list[str]) -> str:
    """Returns the data centre whose members may grant ``key``.

    Raises
    ------
    ValueError
        If there is no data centre.
    """
    prefix, colon, _ = key.partition(":")
    if colon and prefix in data_centres:
        return prefix
    return choose_candidate(key, data_centres)


def choose_owner(key: str, view: View) -> tuple[str, int] | None:
    """Returns the member that owns ``key`` in a view, or None if the view is empty."""
    if not view.members:
        return None
    incarnations = dict(view.members)
    name = choose_candidate(key, incarnations)
    return name, incarnations[name]


def may_grant(key: str, state: StreamState, member: str, incarnation: int) -> bool:
    """Returns whether no process but the given one can consider itself the owner of ``key``."""
    own = (member, incarnation)
    return choose_owner(key, state.settled) == own and choose_owner(key, state.view) == own
