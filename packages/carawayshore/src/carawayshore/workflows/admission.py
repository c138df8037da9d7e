"""Admission control for workflows: accept, or reject at once with a retry delay.

Load pattern: the queues burst one after another, each to about five times its mean demand for some
seconds, which exceeds the capacity of its pool. A workflow that finishes late is worth a fraction
of one that finishes on time, and accepting a whole burst would make every workflow late. A workflow
is accepted if the backlog ahead of it can be processed within the slack that its objective leaves.
Work that is due later than the new workflow, or is already late, is scheduled after it and is not
counted in that backlog, and neither is work beyond the weight of its client account. A workflow
beyond the weight of its account is accepted only while the pool has room, and one of an account
that uses more than its part of the pool needs more slack. While the store is slow, each step is
delayed by its records, which reduces the slack.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from carawayshore.workflows.fairness import Standing

# Maximum queue wait as a share of the slack; the rest covers estimation error.
SLACK_SHARE = 0.7
# The same for an account that uses more than its part of the pool: half, so that the other accounts
# are still admitted when it no longer is.
OVER_SHARE_SLACK_SHARE = 0.35
# Maximum time to complete the work that is due sooner, and all accepted work, as a multiple of the
# objective.
FINISH_FACTOR = 1.2
# Time until a pool can use a machine from another pool: move, discovery and first worker report.
MACHINE_ARRIVAL_SECONDS = 2.2
# A workflow that will miss its objective is accepted only if ready work waits at most this long.
IDLE_WAIT_SECONDS = 0.1
# A workflow that will miss its objective is accepted only if all accepted work can be completed
# within this share of its own or the mean objective, whichever is longer.
IDLE_FINISH_SHARE = 0.6
# Appends for which each step of a workflow waits.
APPENDS_PER_STEP = 2
# Time of an append to a store that is not slow, which the learned run times contain.
USUAL_APPEND_SECONDS = 0.05
# Shortest retry delay of a rejected workflow.
MIN_RETRY_SECONDS = 1.0
# Longest retry delay of a rejected workflow, before jitter.
MAX_RETRY_SECONDS = 30.0
# Width of the jitter on retry delays, so that rejected callers do not return as another burst.
RETRY_SPREAD_SECONDS = 1.0


class Backlog(NamedTuple):
    """Capacity of a pool and the accepted work ahead of a new workflow.

    Parameters
    ----------
    cores : float
        Cores of the usable workers, without those reserved by long-running tasks.
    arriving_cores : float
        Cores that the pool is getting, or may get, within ``MACHINE_ARRIVAL_SECONDS``.
    ready_core_seconds : float
        Work that is ready but has no free capacity, and would be started before the new workflow.
    total_core_seconds : float
        Remaining work of all accepted workflows, including later steps.
    due_sooner_core_seconds : float
        Part of that work that is running or due before the new workflow.
    mean_objective_seconds : float
        Mean objective of the accepted workflows, 0 if there are none.
    """

    cores: float
    arriving_cores: float
    ready_core_seconds: float
    total_core_seconds: float
    due_sooner_core_seconds: float
    mean_objective_seconds: float

    def estimate_seconds(self, core_seconds: float) -> float:
        """Returns the time in seconds that the pool needs for an amount of work."""
        early_core_seconds = self.cores * MACHINE_ARRIVAL_SECONDS
        if core_seconds <= early_core_seconds and self.cores > 0:
            return core_seconds / self.cores
        cores = self.cores + self.arriving_cores
        return (
            MACHINE_ARRIVAL_SECONDS + (core_seconds - early_core_seconds) / cores
            if cores > 0
            else math.inf
        )

    @property
    def wait_seconds(self) -> float:
        """Time in seconds until work that becomes ready now could start."""
        return self.estimate_seconds(self.ready_core_seconds)

    @property
    def finish_seconds(self) -> float:
        """Time in seconds until all accepted work could be completed."""
        return self.estimate_seconds(self.total_core_seconds)


class Request(NamedTuple):
    """A workflow that asks for admission.

    Parameters
    ----------
    chain_seconds : float
        Expected run time of the longest chain of steps.
    work_core_seconds : float
        Expected work of all tasks.
    objective_seconds : float
        Time from the first submission attempt until the workflow is due.
    age_seconds : float
        Time since the first submission attempt.
    long_running : bool
        Whether tasks run until the workflow is cancelled.
    scheduled : bool
        Whether the workflow runs at scheduled times.
    fits : bool
        Whether each task fits on at least one worker.
    has_fit : bool
        Whether each task would fit if no worker had shrunk.
    standing : Standing
        Standing of the client account.
    delay_seconds : float
        Expected delay of all steps of the chain by a slow store, beyond the run times.
    """

    chain_seconds: float
    work_core_seconds: float
    objective_seconds: float
    age_seconds: float
    long_running: bool
    scheduled: bool
    fits: bool
    has_fit: bool = False
    standing: Standing = Standing()
    delay_seconds: float = 0.0


def estimate_store_delay(steps: int, append_seconds: float) -> float:
    """Returns the time in seconds by which a slow store delays a chain of steps.

    The start orders of a step are sent once they are recorded, and the next step begins once the
    ends of its tasks are.

    Parameters
    ----------
    steps : int
        Number of steps of the chain.
    append_seconds : float
        Time of an append.
    """
    return steps * APPENDS_PER_STEP * max(0.0, append_seconds - USUAL_APPEND_SECONDS)


class AdmissionDecision(NamedTuple):
    admitted: bool
    reason: str
    retry_after_seconds: float = 0.0


def decide_admission(request: Request, backlog: Backlog, jitter: float) -> AdmissionDecision:
    """Decides whether to accept a submitted workflow.

    Parameters
    ----------
    request : Request
    backlog : Backlog
    jitter : float
        Random number from 0 to 1 that spreads the retries of rejected callers.
    """
    if not request.fits and request.has_fit:
        # Workers shrink for some seconds only, and the pool may get another one.
        return AdmissionDecision(
            False, "no worker is large enough now", spread_retry(MACHINE_ARRIVAL_SECONDS, jitter)
        )
    if not request.fits:
        return AdmissionDecision(False, "no worker is large enough", MAX_RETRY_SECONDS)
    if request.long_running or request.scheduled:
        return AdmissionDecision(True, "not bound to the backlog")
    if backlog.cores + backlog.arriving_cores <= 0:
        return AdmissionDecision(
            False, "no worker is usable", spread_retry(MIN_RETRY_SECONDS, jitter)
        )
    objective = request.objective_seconds - request.age_seconds - request.delay_seconds
    slack = objective - request.chain_seconds
    sooner = backlog.estimate_seconds(backlog.due_sooner_core_seconds + request.work_core_seconds)
    finish = backlog.estimate_seconds(backlog.total_core_seconds + request.work_core_seconds)
    reference_objective = max(request.objective_seconds, backlog.mean_objective_seconds)
    slack_share = OVER_SHARE_SLACK_SHARE if request.standing.over_share else SLACK_SHARE
    excess = max(
        backlog.wait_seconds - slack * slack_share,
        sooner - objective * FINISH_FACTOR,
        finish - reference_objective * FINISH_FACTOR,
    )
    has_room = (
        backlog.wait_seconds <= IDLE_WAIT_SECONDS
        and finish <= reference_objective * IDLE_FINISH_SHARE
    )
    if request.standing.beyond_weight and not has_room:
        retry = min(max(excess, MIN_RETRY_SECONDS), max(backlog.finish_seconds, MIN_RETRY_SECONDS))
        return AdmissionDecision(
            False, "beyond the weight of the account", spread_retry(retry, jitter)
        )
    if excess <= 0:
        return AdmissionDecision(True, "the backlog fits into the slack")
    if has_room:
        return AdmissionDecision(True, "late, but the pool has room")
    # While nothing is accepted, the time to complete the backlog falls by 1 s each second, so a
    # retry delay beyond the completion time of the accepted work would be too long.
    excess = min(excess, backlog.finish_seconds)
    return AdmissionDecision(False, "the backlog exceeds the slack", spread_retry(excess, jitter))


def spread_retry(seconds: float, jitter: float) -> float:
    """Returns a retry delay within its bounds, with jitter that separates concurrent callers."""
    spread = jitter * min(seconds, RETRY_SPREAD_SECONDS) if seconds > MIN_RETRY_SECONDS else 0.0
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS) + spread
