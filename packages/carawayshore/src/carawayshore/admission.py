"""Admission control for requests: refuses early those that cannot be served in time."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.queueing import ClassCount, ClassQueue, QueueSettings, WaitingRequest, WorkClass

if TYPE_CHECKING:
    from random import Random

    from carawayshore.clock import Clock
    from carawayshore.prediction import Predictor

ZERO = timedelta()


class RefusalReason(StrEnum):
    """Why a request was refused."""

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    TEAM_SHARE = "team-share"
    NO_SLOTS = "no-slots"


class Refusal(NamedTuple):
    """Refusal of a request, before any part of it is sent to a target.

    Parameters
    ----------
    reason : RefusalReason
    retry_after : timedelta
        Time after which the caller should retry, with jitter.
    """

    reason: RefusalReason
    retry_after: timedelta


class AdmissionSettings(NamedTuple):
    """Settings of :class:`Admission`.

    Parameters
    ----------
    min_retry_after, max_retry_after : timedelta
        Bounds of ``Refusal.retry_after``, before jitter.
    wait_factor : float
        Safety factor on the predicted wait.
    max_run_factor : float
        A request that has to wait is admitted only if its predicted wait plus the high quantile of
        its run time fits before its deadline. This caps that quantile, as a multiple of the
        predicted run time. Without the cap, stragglers raise the quantile so far that every request
        that has to wait is refused.
    """

    min_retry_after: timedelta = timedelta(seconds=0.1)
    max_retry_after: timedelta = timedelta(seconds=30)
    wait_factor: float = 1.1
    max_run_factor: float = 2.0


DEFAULT_SETTINGS = AdmissionSettings()


class Request(NamedTuple):
    """A request that asks for admission.

    Parameters
    ----------
    request, service, kind, team : str
    remaining : timedelta
        Time left until the deadline.
    declared : timedelta, optional
        Run time that the caller declared.
    """

    request: str
    service: str
    kind: str
    team: str
    remaining: timedelta
    declared: timedelta | None = None


class Admission:
    """Admits requests to a queue or refuses them.

    Parameters
    ----------
    queue : ClassQueue
    predictor : Predictor
    clock : Clock
    random : random.Random
        Source of the jitter of ``Refusal.retry_after``.
    queue_settings : QueueSettings
        The settings of ``queue``.
    settings : AdmissionSettings

    Examples
    --------
    >>> import random
    >>> from datetime import timedelta
    >>> from carawayshore.prediction import Predictor
    >>> from carawayshore.testing import ManualClock
    >>> clock, settings = ManualClock(), QueueSettings(max_waiting=0)
    >>> admission = Admission(
    ...     ClassQueue(settings, clock), Predictor(clock), clock, random.Random(1), settings
    ... )
    >>> request = Request("r", "booking", "GET /slots", "web", timedelta(seconds=5))
    >>> admission.decide(request, 8, ClassCount()).reason
    <RefusalReason.QUEUE_FULL: 'queue-full'>
    """

    def __init__(
        self,
        queue: ClassQueue,
        predictor: Predictor,
        clock: Clock,
        random: Random,
        queue_settings: QueueSettings,
        settings: AdmissionSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._queue = queue
        self._predictor = predictor
        self._clock = clock
        self._random = random
        self._queue_settings = queue_settings
        self._settings = settings

    def decide(self, request: Request, slots: int, in_use: ClassCount) -> WaitingRequest | Refusal:
        """Returns the entry to push to the queue, or the refusal.

        Parameters
        ----------
        request : Request
        slots : int
            Slots of the pool that this process uses or may use.
        in_use : ClassCount
            Slots in use by class.
        """
        queue = self._queue
        if queue.is_full:
            total_work = queue.sum_work(WorkClass.SHORT) + queue.sum_work(WorkClass.LONG)
            return self._refuse(RefusalReason.QUEUE_FULL, total_work / max(slots, 1) / 4)
        if self._is_over_team_share(request.team):
            total_work = queue.sum_work(WorkClass.SHORT) + queue.sum_work(WorkClass.LONG)
            return self._refuse(RefusalReason.TEAM_SHARE, total_work / max(slots, 1))
        if slots < 1:
            return self._refuse(RefusalReason.NO_SLOTS, ZERO)
        predicted = self._predictor.predict(request.service, request.kind, request.declared)
        wait = self.predict_wait(queue.classify(predicted), slots, in_use)
        if request.remaining <= ZERO:
            return self._refuse(RefusalReason.DEADLINE, wait)
        if wait:
            lateness = self._find_lateness(request, predicted, wait)
            if lateness > ZERO:
                return self._refuse(RefusalReason.DEADLINE, min(lateness, wait))
        now = self._clock.elapsed()
        expected = self._predictor.predict_mean(request.service, request.kind, request.declared)
        return WaitingRequest(
            request.request,
            request.service,
            request.kind,
            request.team,
            predicted,
            expected,
            now + request.remaining,
            now,
        )

    def _find_lateness(self, request: Request, predicted: timedelta, wait: timedelta) -> timedelta:
        """Returns the predicted delay past the deadline, negative if the request is in time."""
        run_time = min(
            self._predictor.predict_high(request.service, request.kind, request.declared),
            predicted * self._settings.max_run_factor,
        )
        return wait * self._settings.wait_factor + run_time - request.remaining

    def predict_wait(self, work_class: WorkClass, slots: int, in_use: ClassCount) -> timedelta:
        """Returns the predicted wait of a request that is queued in a class now."""
        work = self._queue.sum_work(work_class)
        usable = self._queue.count_usable_slots(work_class, slots, in_use)
        used = in_use[work_class is WorkClass.LONG]
        if not work and used < usable and in_use.total < slots:
            return ZERO
        return work / max(usable, 1)

    def _is_over_team_share(self, team: str) -> bool:
        share = self._queue_settings.team_shares.get(team, 1.0)
        if share >= 1:
            return False
        waiting = self._queue.count_waiting_of_team(team)
        others_wait = waiting < len(self._queue)
        return others_wait and waiting >= max(1, share * self._queue_settings.max_waiting)

    def _refuse(self, reason: RefusalReason, wait: timedelta) -> Refusal:
        settings = self._settings
        if wait < settings.min_retry_after:
            wait = settings.min_retry_after
        elif wait > settings.max_retry_after:
            wait = settings.max_retry_after
        return Refusal(reason, wait * (1 + 0.5 * self._random.random()))
