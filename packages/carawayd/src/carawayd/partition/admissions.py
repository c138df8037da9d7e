"""Admission of the workflows that are submitted to one partition."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.replies import REJECTED, Reply
from carawayshore.workflows.admission import Request, decide_admission, estimate_store_delay
from carawayshore.workflows.runtimes import count_chain_steps

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from carawayd.partition.accountstandings import AccountStandings
    from carawayd.partition.demand import Demand
    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import Workflow
    from carawayshore.workflows.runtimes import RuntimeModel

logger = logging.getLogger(__name__)

# Retention period of the first attempt of a rejected submission.
FIRST_ATTEMPT_RETENTION_SECONDS = 20.0


class Admission(NamedTuple):
    """Outcome of a submission.

    Parameters
    ----------
    rejection : Reply or None
        Answer to the caller if the workflow is rejected.
    first_attempt_at : float
        Time of the first attempt to submit the workflow, in seconds of the clock.
    beyond_weight : bool
        Whether the workflow is beyond what its client account is owed.
    """

    rejection: Reply | None
    first_attempt_at: float
    beyond_weight: bool = False


class AdmissionControl:
    """Measures what a submission meets, and decides on it.

    Parameters
    ----------
    links : dict of str to WorkerLink
        Table of the partition owner.
    demand : Demand
    runtimes : RuntimeModel
    standings : AccountStandings
    measure_append : callable
        Returns the time in seconds that an append to the store takes now.
    random : Random
        Draws the number that spreads the retries of rejected callers.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        demand: Demand,
        runtimes: RuntimeModel,
        standings: AccountStandings,
        measure_append: Callable[[], float],
        *,
        random: Random,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._links = links
        self._demand = demand
        self._runtimes = runtimes
        self._standings = standings
        self._measure_append = measure_append
        self._random = random
        self._clock = clock
        self._metrics = metrics
        self._first_attempts: dict[str, float] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def expire(self) -> None:
        """Forgets the first attempts whose retention period is over."""
        now = self._now()
        for identifier, at in list(self._first_attempts.items()):
            if now - at > FIRST_ATTEMPT_RETENTION_SECONDS:
                del self._first_attempts[identifier]
        self._standings.expire()

    def decide(self, spec: Workflow, account: str, epoch: int) -> Admission:
        """Decides whether to accept a workflow of a client account, empty for none.

        ``epoch`` is that of the owner, for the log.
        """
        now = self._now()
        first = self._first_attempts.get(spec.identifier, now)
        capacities = [
            link.capacity for link in self._links.values() if link.entry.service == spec.service
        ]
        standing = self._standings.judge(spec.identifier, account, capacities)
        request = Request(
            chain_seconds=self._runtimes.estimate_chain_seconds(spec),
            work_core_seconds=self._runtimes.estimate_core_seconds(spec),
            objective_seconds=self._runtimes.estimate_objective_seconds(spec),
            age_seconds=now - first,
            long_running=any(step.long_running for step in spec.steps),
            scheduled=spec.repeats > 0,
            fits=not capacities
            or all(any(capacity.could_fit(step) for capacity in capacities) for step in spec.steps),
            has_fit=all(
                any(capacity.could_have_fit(step) for capacity in capacities) for step in spec.steps
            ),
            standing=standing,
            delay_seconds=estimate_store_delay(count_chain_steps(spec), self._measure_append()),
        )
        bound = not (request.long_running or request.scheduled)
        may_fit = request.fits or request.has_fit
        if spec.identifier not in self._first_attempts and may_fit and bound:
            self._demand.record_submission(
                spec.service, request.work_core_seconds, request.chain_seconds
            )
        due = first + request.objective_seconds
        backlog = self._demand.measure_backlog(
            spec.service,
            capacities,
            due,
            account=account,
            with_beyond_weight=standing.beyond_weight,
        )
        decision = decide_admission(request, backlog, self._random.random())
        fields = {
            "workflow": spec.identifier,
            "admitted": decision.admitted,
            "why": decision.reason,
            "retry_after": round(decision.retry_after_seconds, 2),
            "cores": round(backlog.cores, 1),
            "wait_seconds": round(backlog.wait_seconds, 2),
            "finish_seconds": round(backlog.finish_seconds, 2),
            "objective_seconds": round(request.objective_seconds, 2),
            "chain_seconds": round(request.chain_seconds, 2),
            "age_seconds": round(request.age_seconds, 2),
            "store_delay_seconds": round(request.delay_seconds, 2),
            "epoch": epoch,
        }
        if account:
            fields |= {"account": account} | standing._asdict()
        logger.info("submission considered", extra={"fields": fields})
        outcome = "admitted" if decision.admitted else "rejected"
        self._metrics.submissions.labels(spec.service, outcome).inc()
        if decision.admitted:
            self._first_attempts.pop(spec.identifier, None)
            return Admission(None, first, standing.beyond_weight)
        self._first_attempts.setdefault(spec.identifier, now)
        self._metrics.count_account_rejection(account)
        rejection = Reply(REJECTED, decision.reason, decision.retry_after_seconds)
        return Admission(rejection, first, standing.beyond_weight)
