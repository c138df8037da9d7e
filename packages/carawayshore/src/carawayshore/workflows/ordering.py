"""Order in which ready tasks get room.

Load pattern: at the height of a burst some workflows can no longer meet their objective. Serving
them first would make the next ones late as well, so those that can still be on time go first, by
the latest moment at which they may start; long-running tasks go before both, since each second that
they are down is lost for good.
"""

from __future__ import annotations

from typing import NamedTuple


class Candidate(NamedTuple):
    """A ready step; ``due`` and ``now`` are seconds of one monotonic clock."""

    long_running: bool
    priority: int
    due: float
    remaining_seconds: float
    best_effort: bool = False


class Rank(NamedTuple):
    """Sorts ascending; ``late`` also says why a step waits behind others."""

    best_effort: bool
    late: bool
    priority: int
    latest_start: float


def rank_candidate(candidate: Candidate, now: float) -> Rank:
    """Returns the place of a step in the order."""
    if candidate.long_running:
        return Rank(candidate.best_effort, False, -1, candidate.due)
    latest_start = candidate.due - candidate.remaining_seconds
    return Rank(candidate.best_effort, latest_start < now, candidate.priority, latest_start)
