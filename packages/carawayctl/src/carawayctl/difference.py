"""Differences between two configuration documents after defaults are filled in."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from carawayshore.configuration import complete_configuration
from carawayshore.findings import join_pointer


class _Absent:
    """Sentinel for a member that does not exist, as opposed to null."""

    def __repr__(self) -> str:
        return "(absent)"


ABSENT = _Absent()


class Change(NamedTuple):
    """One difference; ``before`` or ``after`` is ABSENT where the member does not exist."""

    pointer: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: {_format(self.before)} -> {_format(self.after)}"

    def describe(self) -> dict[str, Any]:
        """Returns the change for JSON output, without a side that is absent."""
        sides = {"before": self.before, "after": self.after}
        existing = {name: value for name, value in sides.items() if value is not ABSENT}
        return {"pointer": self.pointer} | existing


def _format(value: Any) -> str:
    return repr(value) if value is ABSENT else json.dumps(value, sort_keys=True)


def _compare(before: Any, after: Any, pointer: str) -> list[Change]:
    if isinstance(before, dict) and isinstance(after, dict):
        return [
            change
            for name in sorted(set(before) | set(after))
            for change in _compare(
                before.get(name, ABSENT), after.get(name, ABSENT), join_pointer(pointer, name)
            )
        ]
    return [] if before == after else [Change(pointer, before, after)]


def compare_configurations(before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    """Returns the differences between two valid documents after defaults are filled in.

    Parameters
    ----------
    before, after : dict
        Configuration documents; an empty one represents the state before the first version.
    """
    return _compare(complete_configuration(before), complete_configuration(after), "")


def format_changes(changes: list[Change]) -> str:
    """Returns the changes as text, one per line."""
    return "\n".join(f"  {change}" for change in changes) or "  (no difference in effect)"
