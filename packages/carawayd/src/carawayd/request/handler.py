"""Handling of callers' requests: admission, attempts, retries and forwarding."""

from __future__ import annotations

import itertools
import logging
import secrets
from typing import TYPE_CHECKING

from aiohttp import web

from carawayd.request.answers import CachedResponse, Reason, Refusal, build_refusal
from carawayd.request.attempt import FailedAttempt, ResponseAborted, build_response
from carawayd.request.body import RequestBody
from carawayd.request.plan import KEY_HEADER, build_plan
from carawayshore import admission
from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore.retry import choose_delay

if TYPE_CHECKING:
    import random

    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.observations import Observations
    from carawayd.process.settings import Settings
    from carawayd.request.attempt import AttemptRunner
    from carawayd.request.forward import Forwarder
    from carawayd.request.keyed import KeyedRequests
    from carawayd.request.plan import Plan
    from carawayd.version.configuration import ActiveVersion, Versions
    from carawayd.version.dispatcher import Assignment, Dispatcher
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 16
# Refusals after which another data centre may still serve the request in time.
FORWARDABLE_REASONS = frozenset({Reason.NO_TARGET, Reason.QUEUE_FULL, Reason.DEADLINE})


class RequestHandler:
    """Handles requests of callers.

    Parameters
    ----------
    membership : Membership
    versions : Versions
    observations : Observations
    attempts : AttemptRunner
    forwarder : Forwarder
    settings : Settings
    clock : Clock
    rng : random.Random
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        membership: Membership,
        versions: Versions,
        observations: Observations,
        attempts: AttemptRunner,
        forwarder: Forwarder,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.in_progress = 0
        self.keyed: KeyedRequests | None = None
        self._membership = membership
        self._versions = versions
        self._observations = observations
        self._attempts = attempts
        self._forwarder = forwarder
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._numbers = itertools.count(1)

    def _generate_identifier(self) -> str:
        """Returns an identifier for a request that is unique and cannot be guessed."""
        number = next(self._numbers)
        identity = f"{self._settings.member}.{self._membership.incarnation}"
        return f"{identity}.{number}.{secrets.token_hex(4)}"

    def find_version(self) -> ActiveVersion:
        """Returns the current configuration version.

        Raises
        ------
        Refusal
            If this process is stopping or has no configuration yet.
        """
        if self._membership.refuses_requests:
            raise Refusal(Outcome.NOT_RUN, Reason.STOPPING)
        if self._versions.current is None:
            raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY)
        return self._versions.current

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request: serves or forwards it, and counts its outcome."""
        self.in_progress += 1
        identifier = self._generate_identifier()
        service, started = "", self._clock.elapsed()
        try:
            with self.find_version() as version:
                plan = build_plan(request, identifier, version, started)
                service = plan.service
                response = await self._serve(request, plan, version)
            outcome = response.headers.get(OUTCOME_HEADER, Outcome.COMPLETED)
            self._metrics.requests.labels(service, outcome).inc()
            self._metrics.latency.observe(service, self._clock.elapsed() - started)
            return response
        except Refusal as refusal:
            self._set_unverified_outcome(request, refusal)
            self._metrics.requests.labels(service, refusal.outcome).inc()
            self._metrics.refusals.labels(service, refusal.reason).inc()
            return build_refusal(refusal, identifier)
        except ResponseAborted as error:
            self._metrics.requests.labels(service, "caller-lost").inc()
            logger.debug("request %s: response to the caller aborted: %s", identifier, error)
            raise ConnectionResetError(str(error)) from error
        finally:
            self.in_progress -= 1

    def _set_unverified_outcome(self, request: web.BaseRequest, refusal: Refusal) -> None:
        """Sets the outcome ``unknown`` where an earlier request with the same key may have run.

        The outcome is kept if the owner of the key confirms it (``refusal.verified``).
        """
        keyed = KEY_HEADER in request.headers
        if keyed and not refusal.verified and refusal.status >= 500:
            refusal.outcome = Outcome.UNKNOWN

    async def _serve(
        self, request: web.BaseRequest, plan: Plan, version: ActiveVersion
    ) -> web.StreamResponse:
        self.find_retry_budget(plan).record_request()
        body = RequestBody(request, self._settings.options)
        await body.prepare(plan.deadline - self._clock.elapsed())
        if not self._membership.may_serve():
            return await self._forwarder.forward_to_peer(request, plan, body)
        dispatcher = version.find_dispatcher(plan.options["pool"])
        if plan.key:
            return await self.keyed.serve(request, plan, body, dispatcher)
        response = await self.run_with_retries(request, plan, body, dispatcher)
        if isinstance(response, CachedResponse):
            return build_response(response, request)
        return response

    def find_retry_budget(self, plan: Plan):
        """Returns the retry budget of the plan's service."""
        return self._observations.get_retry_budget(plan.service, plan.options["retry_share"])

    async def acquire(
        self, plan: Plan, dispatcher: Dispatcher, attempt: int, tried: frozenset[str]
    ) -> Assignment:
        """Waits for a slot for one attempt; raises Refusal like ``Dispatcher.acquire``."""
        admission_request = admission.Request(
            f"{plan.request}.{attempt}",
            plan.service,
            plan.kind,
            plan.team,
            plan.deadline - self._clock.elapsed(),
            plan.declared,
        )
        return await dispatcher.acquire(admission_request, tried)

    async def run_with_retries(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        dispatcher: Dispatcher,
        *,
        first_assignment: Assignment | None = None,
    ) -> CachedResponse | web.StreamResponse:
        """Attempts the request until there is a response or it must not be retried.

        Parameters
        ----------
        first_assignment : Assignment, optional
            Slot for the first attempt, if one is already acquired.

        Raises
        ------
        Refusal
            With the outcome of the request over all attempts.
        """
        tried: frozenset[str] = frozenset()
        may_have_run = False
        try:
            for number in itertools.count(1):
                assigned = first_assignment if number == 1 and first_assignment else None
                if assigned is None:
                    try:
                        assigned = await self.acquire(plan, dispatcher, number, tried)
                    except Refusal as refusal:
                        return await self._forward_or_refuse(request, plan, body, refusal)
                result = await self._attempt(request, plan, body, dispatcher, assigned)
                if not isinstance(result, FailedAttempt):
                    return result
                may_have_run = may_have_run or result.outcome is Outcome.UNKNOWN
                tried = tried | {assigned.target}
                self._check_retry(plan, body, result, number)
                await self._back_off(plan, result, number)
        except Refusal as refusal:
            # The refusal covers the last attempt only; an earlier one may have run.
            if may_have_run:
                refusal.outcome = Outcome.UNKNOWN
            raise
        raise AssertionError("unreachable: the loop ends with a return or a Refusal")

    async def _attempt(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        dispatcher: Dispatcher,
        assigned: Assignment,
    ) -> CachedResponse | web.StreamResponse | FailedAttempt:
        failed: bool | None = None
        try:
            result = await self._attempts.run(
                request, plan, body, assigned, pool=dispatcher.pool, buffered=bool(plan.key)
            )
            if isinstance(result, FailedAttempt):
                failed = None if result.reason in _HEALTH_NEUTRAL_REASONS else True
                return result
            failed = result.status >= 500
            if not failed:
                dispatcher.observe(assigned, plan.declared)
            elif plan.repeatable and body.can_send and isinstance(result, CachedResponse):
                return self._convert_error_response(plan, result)
            return result
        finally:
            if failed is not None:
                dispatcher.record_result(assigned, failed=failed)
            dispatcher.release(assigned)

    def _convert_error_response(
        self, plan: Plan, result: CachedResponse
    ) -> CachedResponse | FailedAttempt:
        """Returns a failed attempt, so that a response with an error status leads to a retry.

        Returns the response itself if the retry budget is used up.
        """
        if not self.find_retry_budget(plan).take():
            return result
        return FailedAttempt(
            Outcome.UNKNOWN,
            Reason.LOST_ANSWER,
            budget_exempt=True,
            detail=f"status {result.status}",
        )

    def _check_retry(
        self, plan: Plan, body: RequestBody, result: FailedAttempt, number: int
    ) -> None:
        """Raises a Refusal if the request must not be retried."""
        may_repeat = result.outcome is Outcome.NOT_RUN or plan.repeatable
        in_time = plan.deadline > self._clock.elapsed()
        possible = may_repeat and in_time and body.can_send and number < MAX_ATTEMPTS
        if possible and (result.budget_exempt or self.find_retry_budget(plan).take()):
            self._metrics.retries.labels(result.reason).inc()
            return
        status = 504 if result.reason is Reason.DEADLINE else 503
        if result.outcome is Outcome.UNKNOWN and status == 503:
            status = 502
        raise Refusal(result.outcome, result.reason, status=status, detail=result.detail)

    async def _back_off(self, plan: Plan, result: FailedAttempt, number: int) -> None:
        if result.budget_exempt:
            return
        delay = choose_delay(number, plan.deadline - self._clock.elapsed(), self._rng)
        if delay is not None:
            await self._clock.sleep(delay)

    async def _forward_or_refuse(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, refusal: Refusal
    ) -> CachedResponse | web.StreamResponse:
        """Forwards a request to another data centre if the own one cannot serve it in time.

        Raises
        ------
        Refusal
            If it must not be forwarded, or no other data centre can serve it.
        """
        if refusal.reason not in FORWARDABLE_REASONS or not body.can_send or plan.key:
            raise refusal
        return await self._forwarder.forward_to_other_data_centre(request, plan, body, refusal)


# Failed attempts that are not recorded in the health of the target.
_HEALTH_NEUTRAL_REASONS = frozenset({Reason.TARGET_REFUSED, Reason.DEADLINE, Reason.CANCELLED})
