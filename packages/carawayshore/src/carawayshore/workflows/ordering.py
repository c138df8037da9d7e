"""Order in which ready tasks are given capacity.

Load pattern: at the peak of a burst some workflows can no longer meet their objective. Running
them first would make the next workflows late as well, so workflows that can still be on time go
first, by latest possible start time. Long-running tasks go before both, since lost uptime cannot
be made up. Work beyond the weight of its client account goes after work that is owed.
"""

from __future__ import annotations

from typing import NamedTuple


class Candidate(NamedTuple):
    """A ready step; ``due`` is in seconds of the monotonic clock of ``now``."""

    long_running: bool
    priority: int
    due: float
    remaining_seconds: float
    best_effort: bool = False
    beyond_weight: bool = False


class Rank(NamedTuple):
    """Sort key of a ready step, ascending.

    ``late`` also explains why a step waits behind others.
    """

    best_effort: bool
    beyond_weight: bool
    late: bool
    priority: int
    latest_start: float


def rank_candidate(candidate: Candidate, now: float) -> Rank:
    """Returns the sort key of a ready step."""
    if candidate.long_running:
        return Rank(candidate.best_effort, False, False, -1, candidate.due)
    latest_start = candidate.due - candidate.remaining_seconds
    return Rank(
        candidate.best_effort,
        candidate.beyond_weight,
        latest_start < now,
        candidate.priority,
        latest_start,
    )
