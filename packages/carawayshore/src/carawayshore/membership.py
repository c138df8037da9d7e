"""Members of a data centre, and barriers that wait until every member has applied a record."""

from __future__ import annotations

from typing import Any, NamedTuple

from carawayshore import records
from carawayshore.fold import ACCEPTED, Member, StreamState, View, register_handler, reject


class Incarnation(NamedTuple):
    """One process of an entry host."""

    member: str
    incarnation: int

    @property
    def producer(self) -> str:
        return f"{self.member}/{self.incarnation}"


def _change_view(state: StreamState, offset: int, crashed: str = "") -> None:
    """Records a new view; quarantines keys if grants that are not in the log may be lost.

    The owner of a grant and at least one other process keep it in memory until it is in the log. A
    single crash loses no grant, but a second one before the view has settled may lose some.
    """
    state.view = View(offset, [tuple(item) for item in list_members(state)])
    if crashed:
        state.crashed = [*state.crashed, crashed]
        if len(state.crashed) > 1:
            state.quarantine = offset


@register_handler(records.MemberJoined)
def _join(state: StreamState, offset: int, item: records.Record):
    body: records.MemberJoined = item.body
    current = state.members.get(body.member)
    if current is not None and body.incarnation <= current.incarnation:
        # A join that was delayed in the network must not end the member's later process.
        return reject(f"member {body.member!r} has joined as incarnation {current.incarnation}")
    state.members[body.member] = Member(
        body.incarnation, body.caller_address, body.peer_address, joined=offset
    )
    superseded = current is not None and not current.ended
    _change_view(state, offset, crashed=body.member if superseded else "")
    return ACCEPTED


def _end_incarnation(state: StreamState, offset: int, body: Any, *, evidence: str, crashed: bool):
    current = state.members.get(body.member)
    if current is None or current.ended or current.incarnation != body.incarnation:
        return reject(f"{body.member}/{body.incarnation} is not a current incarnation")
    state.members[body.member] = current._replace(ended=True, evidence=evidence)
    _change_view(state, offset, crashed=body.member if crashed else "")
    return ACCEPTED


@register_handler(records.MemberLeft)
def _leave(state: StreamState, offset: int, item: records.Record):
    return _end_incarnation(state, offset, item.body, evidence="left", crashed=False)


@register_handler(records.MemberEvicted)
def _evict(state: StreamState, offset: int, item: records.Record):
    return _end_incarnation(state, offset, item.body, evidence=item.body.evidence, crashed=True)


@register_handler(records.ViewSettled)
def _settle(state: StreamState, offset: int, item: records.Record):
    if item.body.view != state.view.offset:
        return reject(f"view {state.view.offset} is current, not {item.body.view}")
    if state.settled.offset == state.view.offset:
        return reject("the view is settled already")
    state.settled = state.view
    state.crashed = []
    return ACCEPTED


@register_handler(records.QuarantineEnded)
def _end_quarantine(state: StreamState, offset: int, item: records.Record):
    if item.body.offset != state.quarantine:
        return reject(f"the current quarantine has offset {state.quarantine} (-1: none)")
    state.quarantine = -1
    return ACCEPTED


def list_members(state: StreamState) -> list[Incarnation]:
    """Returns the incarnations that have not ended, sorted by name."""
    return [
        Incarnation(name, member.incarnation)
        for name, member in sorted(state.members.items())
        if not member.ended
    ]


class Barrier:
    """Tracks up to which offset each incarnation has applied records, from its heartbeats."""

    def __init__(self) -> None:
        self._applied: dict[Incarnation, int] = {}

    def report(self, incarnation: Incarnation, applied: int) -> None:
        """Records that ``incarnation`` has applied all records below offset ``applied``."""
        self._applied[incarnation] = max(applied, self._applied.get(incarnation, 0))

    def list_pending_members(self, state: StreamState, offset: int) -> list[Incarnation]:
        """Returns the members that may still act on a state without the record at ``offset``."""
        return [
            incarnation
            for incarnation in list_members(state)
            if self._applied.get(incarnation, 0) <= offset
        ]

    def is_complete(self, state: StreamState, offset: int) -> bool:
        """Returns whether every member has applied the record at ``offset``."""
        return not self.list_pending_members(state, offset)

    def forget(self, state: StreamState) -> None:
        """Removes the reports of incarnations that have ended."""
        current = set(list_members(state))
        self._applied = {
            incarnation: at for incarnation, at in self._applied.items() if incarnation in current
        }
