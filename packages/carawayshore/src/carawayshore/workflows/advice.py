"""Decides how many workers a request for placement tickets names, and how long tickets are used.

The placement policy service answers after a time that grows with the number of workers that are
named, and its tickets are valid for a limited time. It is not known whether that time is counted
from the request or from the answer.

Load pattern: few workers that take long to decide on, as well as hundreds that take a moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.workflows.model import AdviceConfig

# Limit of the workers in one request, set by the platform.
MAX_WORKERS = 100
# Workers in the first request of a step. More of them would delay its first tickets.
FIRST_WORKERS = 12
# Maximum share of the tickets' lifetime that the service may take to answer.
MAX_ANSWER_SHARE = 0.5
# Share of its lifetime for which a ticket is certainly valid on arrival, counted from the request.
CERTAIN_SHARE = 0.7


class Answer(NamedTuple):
    """Answer to a request for tickets.

    Parameters
    ----------
    asked_at, answered_at : float
        Times in seconds.
    valid_seconds : float
        Lifetime of the tickets.
    """

    asked_at: float
    answered_at: float
    valid_seconds: float

    @property
    def use_until(self) -> float:
        """Time until which the tickets are used, in seconds.

        They are used while they are certainly valid if that leaves half of the time, and otherwise
        for as long as they may be valid: a start with a ticket that has expired has no effect.
        """
        certain = self.asked_at + self.valid_seconds * CERTAIN_SHARE
        if certain - self.answered_at >= self.valid_seconds * CERTAIN_SHARE / 2:
            return certain
        return self.answered_at + self.valid_seconds


def measure_request(config: AdviceConfig, workers: int) -> float:
    """Returns the time in seconds that the service takes for a request about some workers."""
    return (config.decision_ms + config.per_worker_ms * workers) / 1000


def limit_workers(config: AdviceConfig) -> int:
    """Returns the most workers that a request may name, at least 1."""
    available_ms = config.valid_ms * MAX_ANSWER_SHARE - config.decision_ms
    if not config.valid_ms:
        # Only the answers tell how long the tickets are valid.
        return FIRST_WORKERS
    if not config.per_worker_ms:
        return MAX_WORKERS if available_ms >= 0 else 1
    return int(min(max(available_ms / config.per_worker_ms, 1), MAX_WORKERS))


def choose_first(config: AdviceConfig) -> int:
    """Returns how many workers the first request about a step names."""
    return min(FIRST_WORKERS, limit_workers(config))


def choose_next(config: AdviceConfig, named: int, *, has_allowed: bool) -> int:
    """Returns how many workers the next request names, after an answer about ``named`` workers.

    A step that may run on few of many workers finds them in fewer requests.
    """
    return named if has_allowed else max(named, min(2 * named, limit_workers(config)))


def choose_after_expiry(named: int) -> int:
    """Returns how many workers the next request names, after tickets could not be used in time."""
    return max(1, named // 2)
