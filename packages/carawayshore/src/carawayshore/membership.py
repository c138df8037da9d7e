"""Members of a data centre, and barriers that wait out whoever may act on older state."""

from __future__ import annotations

from typing import NamedTuple

from carawayshore import records
from carawayshore.fold import ACCEPTED, Member, StreamState, folds, reject


class Incarnation(NamedTuple):
    """One process of an entry host."""

    member: str
    incarnation: int

    @property
    def producer(self) -> str:
        return f"{self.member}/{self.incarnation}"


@folds(records.MemberJoined)
def _join(state: StreamState, offset: int, item: records.Record):
    body: records.MemberJoined = item.body
    current = state.members.get(body.member)
    if current is not None and body.incarnation <= current.incarnation:
        # A join that was delayed in the network must not end a later process.
        return reject("a later incarnation of the member joined before")
    state.members[body.member] = Member(
        body.incarnation, body.caller_address, body.peer_address, joined=offset
    )
    return ACCEPTED


def _end(state: StreamState, member: str, incarnation: int, evidence: str):
    current = state.members.get(member)
    if current is None or current.ended or current.incarnation != incarnation:
        return reject("the incarnation is not current")
    state.members[member] = current._replace(ended=True, evidence=evidence)
    return ACCEPTED


@folds(records.MemberLeft)
def _leave(state: StreamState, offset: int, item: records.Record):
    return _end(state, item.body.member, item.body.incarnation, "left")


@folds(records.MemberEvicted)
def _evict(state: StreamState, offset: int, item: records.Record):
    return _end(state, item.body.member, item.body.incarnation, item.body.evidence)


def list_members(state: StreamState) -> list[Incarnation]:
    """Returns the incarnations that have not ended, in the order of their names."""
    return [
        Incarnation(name, member.incarnation)
        for name, member in sorted(state.members.items())
        if not member.ended
    ]


class Barrier:
    """Knows which offset each incarnation has applied, as told in its heartbeats."""

    def __init__(self) -> None:
        self._applied: dict[Incarnation, int] = {}

    def report(self, incarnation: Incarnation, applied: int) -> None:
        """Notes that ``incarnation`` applied all records below offset ``applied``."""
        self._applied[incarnation] = max(applied, self._applied.get(incarnation, 0))

    def list_missing(self, state: StreamState, offset: int) -> list[Incarnation]:
        """Returns the members that may still act on a state without the record at ``offset``."""
        return [
            incarnation
            for incarnation in list_members(state)
            if self._applied.get(incarnation, 0) <= offset
        ]

    def is_complete(self, state: StreamState, offset: int) -> bool:
        """Returns whether every member has applied the record at ``offset``."""
        return not self.list_missing(state, offset)

    def forget(self, state: StreamState) -> None:
        """Drops the reports of incarnations that have ended."""
        current = set(list_members(state))
        self._applied = {who: at for who, at in self._applied.items() if who in current}
