"""Answers of a partition owner to the calls of entry hosts."""

from __future__ import annotations

from typing import Any, NamedTuple

ACCEPTED, REJECTED, TOO_LARGE, UNREADY, UNKNOWN_OUTCOME, FOUND, ABSENT, MOVED = (
    "accepted",
    "rejected",
    "too-large",
    "unready",
    "unknown",
    "found",
    "absent",
    "moved",
)


class Reply(NamedTuple):
    """Answer to a call to the partition owner.

    Parameters
    ----------
    outcome : str
        One of the outcomes above.
    detail : Any
        Result of the call, or the reason of a rejection.
    retry_after : float
        Seconds after which a rejected call may be repeated.
    """

    outcome: str
    detail: Any = None
    retry_after: float = 0.0
