"""Admission of workflows: accept, or reject at once with the time after which to come back.

Load pattern: each queue in its turn asks about five times its mean for some seconds, more than its
pool holds. A workflow that ends late is worth a fraction of one that ends on time, so accepting all
of a burst makes everybody late. Work is accepted while the backlog ahead of it can be done within
the slack that its objective leaves. Work that is due later, or late already, gets its room after
a new workflow that is due sooner and does not count against it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# Share of the slack that the backlog may take; the rest covers the error of the estimates.
SLACK_SHARE = 0.7
# Share of the objective within which all accepted work has to be done.
FINISH_SHARE = 1.2
# Time in which a pool gets a machine from another pool: the move, its discovery, its first report.
COMING_SECONDS = 2.2
# A workflow that can only be late is taken while no task waits for longer than this, in seconds,
# and the pool could do all accepted work within this share of the mean objective.
IDLE_WAIT_SECONDS = 0.1
IDLE_FINISH_SHARE = 0.6
# Bounds in seconds of the time after which a rejected caller is asked to come back.
LEAST_RETRY_SECONDS = 1.0
MOST_RETRY_SECONDS = 30.0
# Rejected callers return spread over this many seconds, so that they do not form another burst.
RETRY_SPREAD_SECONDS = 1.0


class Backlog(NamedTuple):
    """What is ahead of a new workflow in its pool.

    Parameters
    ----------
    cores : float
        Cores of the usable workers that long-running tasks leave.
    coming_cores : float
        Cores that the pool gets, or may get, within ``COMING_SECONDS``.
    ready_core_seconds : float
        Work that could run now if there were room, and would be given room first.
    total_core_seconds : float
        All work of the accepted workflows, that of later steps included.
    sooner_core_seconds : float
        The part of it that is due sooner than the new workflow, and what runs.
    mean_objective_seconds : float
        Of the accepted workflows; 0 if there are none.
    """

    cores: float
    coming_cores: float
    ready_core_seconds: float
    total_core_seconds: float
    sooner_core_seconds: float
    mean_objective_seconds: float

    def estimate_seconds(self, core_seconds: float) -> float:
        """Returns the time in which the pool does some work."""
        first = self.cores * COMING_SECONDS
        if core_seconds <= first and self.cores > 0:
            return core_seconds / self.cores
        cores = self.cores + self.coming_cores
        return COMING_SECONDS + (core_seconds - first) / cores if cores > 0 else math.inf

    @property
    def wait_seconds(self) -> float:
        """Time until work that becomes ready now would find room."""
        return self.estimate_seconds(self.ready_core_seconds)

    @property
    def finish_seconds(self) -> float:
        """Time until all accepted work could be done."""
        return self.estimate_seconds(self.total_core_seconds)


class Request(NamedTuple):
    """What a new workflow needs and by when; ``age`` is the time since its first attempt."""

    chain_seconds: float
    work_core_seconds: float
    objective_seconds: float
    age_seconds: float
    long_running: bool
    scheduled: bool
    fits: bool


class Verdict(NamedTuple):
    admitted: bool
    reason: str
    retry_after_seconds: float = 0.0


def decide_admission(request: Request, backlog: Backlog, jitter: float) -> Verdict:
    """Decides about one submission.

    Parameters
    ----------
    request : Request
    backlog : Backlog
    jitter : float
        Random number from 0 to 1 that spreads the return of rejected callers.
    """
    if not request.fits:
        return Verdict(False, "no worker is large enough", MOST_RETRY_SECONDS)
    if request.long_running or request.scheduled:
        return Verdict(True, "not bound to the backlog")
    if backlog.cores + backlog.coming_cores <= 0:
        return Verdict(False, "no worker is usable", spread_retry(LEAST_RETRY_SECONDS, jitter))
    objective = request.objective_seconds - request.age_seconds
    slack = objective - request.chain_seconds
    sooner = backlog.estimate_seconds(backlog.sooner_core_seconds + request.work_core_seconds)
    finish = backlog.estimate_seconds(backlog.total_core_seconds + request.work_core_seconds)
    usual = max(request.objective_seconds, backlog.mean_objective_seconds)
    excess = max(
        backlog.wait_seconds - slack * SLACK_SHARE,
        sooner - objective * FINISH_SHARE,
        finish - usual * FINISH_SHARE,
    )
    if excess <= 0:
        return Verdict(True, "the backlog fits into the slack")
    if backlog.wait_seconds <= IDLE_WAIT_SECONDS and finish <= usual * IDLE_FINISH_SHARE:
        return Verdict(True, "late, but the pool has room")
    # The backlog drains one second a second while nothing is accepted; beyond the objective only
    # the room that is left counts.
    excess = min(excess, backlog.finish_seconds)
    return Verdict(False, "the backlog exceeds the slack", spread_retry(excess, jitter))


def spread_retry(seconds: float, jitter: float) -> float:
    """Returns the time after which to come back, spread so that not all return at once."""
    spread = jitter * min(seconds, RETRY_SPREAD_SECONDS) if seconds > LEAST_RETRY_SECONDS else 0.0
    return min(max(seconds, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS) + spread
