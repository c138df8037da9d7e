"""Builders for configuration documents and folded streams."""

from __future__ import annotations

from typing import Any

from carawayshore import records
from carawayshore.fold import StreamState, apply_record
from carawayshore.records import Record


def build_configuration(**changes: Any) -> dict[str, Any]:
    """Returns a valid configuration document."""
    document: dict[str, Any] = {
        "data_centres": ["umea", "lulea"],
        "pools": {"booking": {}, "office": {"spare": True}},
        "services": {"booking": {"pool": "booking"}, "office": {"pool": "office"}},
    }
    return document | changes


class StreamBuilder:
    """A stream and its folded state, built record by record."""

    def __init__(self) -> None:
        self.state = StreamState()
        self.log: list[Record] = []
        self.fences: dict[tuple[str, str], int] = {}
        self._incarnations: dict[str, int] = {}
        self._first_incarnations: dict[str, int] = {}
        self._sequences: dict[str, int] = {}

    def _apply(self, item: Record):
        self.log.append(item)
        return apply_record(self.state, len(self.log) - 1, item)

    def append(self, member: str, body: Any, *, incarnation: int | None = None):
        """Appends ``body`` as the next record of ``member`` and returns the fold's result."""
        current = self._incarnations[member] if incarnation is None else incarnation
        producer = f"{member}/{current}"
        self._sequences[producer] = self._sequences.get(producer, 0) + 1
        return self._apply(Record(producer, self._sequences[producer], body))

    def repeat_last(self):
        return self.repeat(self.log[-1])

    def repeat(self, item: Record):
        """Appends a record again, as a producer does after its answer was lost."""
        return self._apply(item)

    def join(self, member: str):
        """Appends the join of a new incarnation of ``member``."""
        self._incarnations[member] = len(self.log)
        self._first_incarnations.setdefault(member, len(self.log))
        body = records.MemberJoined(member, len(self.log), "127.0.0.1:1", "127.0.0.1:2")
        return self.append(member, body)

    def first_incarnation(self, member: str) -> int:
        return self._first_incarnations[member]

    def take(self, member: str, claim: str):
        current = self.state.claims.get(claim)
        previous = (current.fence, current.renewal) if current else (-1, 0)
        body = records.ClaimTaken(claim, member, self._incarnations[member], *previous)
        self.fences[member, claim] = len(self.log)
        return self.append(member, body)

    def publish(self, member: str, base_version: int):
        body = records.ConfigurationPublished(base_version, build_configuration(), member)
        return self.append(member, body)

    def fold_again(self) -> StreamState:
        """Returns a new state folded from the whole log."""
        state = StreamState()
        for offset, item in enumerate(self.log):
            apply_record(state, offset, item)
        return state
