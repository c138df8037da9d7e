"""Dispatch of one pool: which queued request gets the next free slot, and at which target."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayd.request.answers import Reason, Refusal
from carawayshore import admission
from carawayshore.admission import Admission, RefusalReason
from carawayshore.outcome import Outcome
from carawayshore.queueing import ClassQueue, QueueSettings, RunningWork, WaitingRequest
from carawayshore.routing import Candidate, choose_target

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from carawayd.process.metrics import Metrics
    from carawayd.process.observations import Observations
    from carawayd.process.slots import AcquiredSlot, Slots
    from carawayshore.clock import Clock
    from carawayshore.health import Attempt
    from carawayshore.prediction import Predictor

_REASON_OF_REFUSAL = {
    RefusalReason.QUEUE_FULL: Reason.QUEUE_FULL,
    RefusalReason.DEADLINE: Reason.DEADLINE,
    RefusalReason.TEAM_SHARE: Reason.TEAM_SHARE,
    RefusalReason.NO_SLOTS: Reason.NO_TARGET,
}

# How long a retry waits for a slot at an untried target. A loan of a slot arrives within some tens
# of milliseconds; after this time, a target that was tried before is better than none.
RETRY_WAIT = timedelta(seconds=1)


class Assignment(NamedTuple):
    """A slot that is assigned to a request.

    Parameters
    ----------
    waiting : WaitingRequest
        Request as it was queued.
    target : str
    held : AcquiredSlot
        Slot, to be released after the attempt.
    attempt : Attempt
        Attempt as it is recorded in the health of the target.
    started : timedelta
        Value of ``Clock.elapsed`` at which the slot was assigned.
    """

    waiting: WaitingRequest
    target: str
    held: AcquiredSlot
    attempt: Attempt
    started: timedelta


class _QueueEntry(NamedTuple):
    waiting: WaitingRequest
    tried: frozenset[str]
    future: asyncio.Future[Assignment]


class Dispatcher:
    """Admits and queues the requests of one pool and assigns slots to them.

    Parameters
    ----------
    pool : str
    queue_settings : QueueSettings
    slots : Slots
    observations : Observations
    clock : Clock
    rng : random.Random
    metrics : Metrics
    """

    def __init__(
        self,
        pool: str,
        queue_settings: QueueSettings,
        *,
        slots: Slots,
        observations: Observations,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.pool = pool
        self.queue_settings = queue_settings
        self._slots = slots
        self._observations = observations
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._health = observations.find_health(pool)
        self._queue = ClassQueue(queue_settings, clock)
        self._running = RunningWork(queue_settings, clock)
        self._entries: dict[str, _QueueEntry] = {}
        self._known_targets: list[str] = []
        self._deferred: list[WaitingRequest] = []
        self._admission = Admission(self._queue, self._predictor, clock, rng, queue_settings)

    @property
    def _predictor(self) -> Predictor:
        return self._observations.predictor

    @property
    def waiting_count(self) -> int:
        return len(self._queue)

    @property
    def running_count(self) -> int:
        return len(self._running)

    @property
    def blocked_count(self) -> int:
        """Number of short requests that wait while long ones run."""
        return self._queue.count_waiting().short if self._running.count().long else 0

    def _list_usable(self) -> list[str]:
        targets = self._slots.list_targets(self.pool)
        if targets != self._known_targets:
            self._known_targets = targets
            self._health.set_targets(targets)
        return [target for target in targets if self._health.may_use(target)]

    async def acquire(
        self, request: admission.Request, tried: frozenset[str] = frozenset()
    ) -> Assignment:
        """Waits for a slot.

        Parameters
        ----------
        request : admission.Request
        tried : frozenset of str
            Targets of earlier attempts, which a retry avoids.

        Raises
        ------
        Refusal
            If the request is not admitted, or its deadline passes while it waits.
        """
        usable = self._list_usable()
        if not usable:
            raise Refusal(Outcome.NOT_RUN, Reason.NO_TARGET, detail=f"pool {self.pool}")
        in_use = self._running.count()
        free = self._count_free(usable)
        # If peers hold all slots of the pool, one of them lends a slot soon, so count one slot.
        slots = max(1, sum(free.values()) + in_use.total)
        decision = self._admission.decide(request, slots, in_use)
        if isinstance(decision, admission.Refusal):
            self._note_refusal(decision.reason, has_free_slots=any(free.values()))
            raise Refusal(
                Outcome.NOT_RUN,
                _REASON_OF_REFUSAL[decision.reason],
                retry_after=decision.retry_after,
            )
        future = asyncio.get_running_loop().create_future()
        self._queue.push(decision)
        self._entries[decision.request] = _QueueEntry(decision, tried, future)
        self._requeue_deferred()
        self._refuse_expired()
        self._assign_waiting(free)
        try:
            assigned = await future
        except asyncio.CancelledError:
            if not self._queue.remove(decision) and decision in self._deferred:
                self._deferred.remove(decision)
            if future.done() and not future.cancelled() and future.exception() is None:
                self.release(future.result())
            raise
        finally:
            self._entries.pop(decision.request, None)
        work_class = self._queue.classify(decision.predicted)
        self._metrics.wait.observe(work_class, assigned.started - decision.since)
        return assigned

    def _note_refusal(self, reason: RefusalReason, *, has_free_slots: bool) -> None:
        """Counts a refusal if more slots would have avoided it."""
        lacked_slots = reason is RefusalReason.DEADLINE and not has_free_slots
        if lacked_slots or reason in (RefusalReason.QUEUE_FULL, RefusalReason.NO_SLOTS):
            self._observations.refusals[self.pool] += 1

    def _count_free(self, usable: list[str]) -> dict[str, int]:
        return self._slots.count_available(usable)

    def assign_slots(self) -> None:
        """Assigns free slots to waiting requests and refuses those whose deadline has passed."""
        self._requeue_deferred()
        if not len(self._queue):
            return
        self._refuse_expired()
        self._assign_waiting(self._count_free(self._list_usable()))

    def _assign_waiting(self, free: dict[str, int]) -> None:
        while len(self._queue):
            waiting = self._queue.pop(
                sum(free.values()), self._running.count(), self._running.by_team
            )
            if waiting is None:
                return
            entry = self._entries[waiting.request]
            if entry.future.done():
                continue
            if self._should_defer(entry, free):
                self._deferred.append(waiting)
                continue
            if not self._assign(entry, free):
                # The slot has been acquired elsewhere since it was counted.
                entry.future.set_exception(
                    Refusal(Outcome.NOT_RUN, Reason.NO_TARGET, detail=f"pool {self.pool}")
                )
            if len(self._queue):
                free = self._count_free(self._list_usable())

    def _should_defer(self, entry: _QueueEntry, free: Mapping[str, int]) -> bool:
        """Returns whether a retry should wait for a loan of a slot at an untried target."""
        if not entry.tried or self._clock.elapsed() - entry.waiting.since > RETRY_WAIT:
            return False
        untried = free.keys() - entry.tried
        return bool(untried) and not any(free[target] for target in untried)

    def _requeue_deferred(self) -> None:
        """Puts deferred retries back into the queue."""
        deferred, self._deferred = self._deferred, []
        for waiting in deferred:
            entry = self._entries.get(waiting.request)
            if entry is None or entry.future.done():
                continue
            if self._queue.is_full:
                entry.future.set_exception(Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL))
            else:
                self._queue.push(waiting)

    def _refuse_expired(self) -> None:
        for waiting in self._queue.expire():
            entry = self._entries.get(waiting.request)
            if entry is not None and not entry.future.done():
                self._observations.refusals[self.pool] += 1
                entry.future.set_exception(Refusal(Outcome.NOT_RUN, Reason.DEADLINE, status=504))

    def _assign(self, entry: _QueueEntry, free: Mapping[str, int]) -> bool:
        candidates = [self._build_candidate(target, free[target], entry) for target in free]
        chosen = choose_target(candidates, self._rng)
        held = self._slots.acquire(chosen.target) if chosen else None
        if held is None:
            return False
        self._running.start(entry.waiting)
        attempt = self._health.start(chosen.target)
        entry.future.set_result(
            Assignment(entry.waiting, chosen.target, held, attempt, self._clock.elapsed())
        )
        return True

    def _build_candidate(self, target: str, free: int, entry: _QueueEntry) -> Candidate:
        return Candidate(
            target,
            free,
            self._slots.count_slots(target),
            self._slots.in_use.get(target, 0),
            self._slots.count_peer_load(target),
            entry.waiting.expected * self._observations.slowdowns.find_factor(target),
            target in entry.tried,
        )

    def release(self, assigned: Assignment) -> None:
        """Releases a slot and assigns it to the next waiting request."""
        self._slots.release(assigned.held)
        self._running.finish(assigned.waiting.request)
        self.assign_slots()

    def observe(self, assigned: Assignment, declared: timedelta | None) -> None:
        """Updates the predictions with the run time of a request that a target completed.

        Parameters
        ----------
        assigned : Assignment
        declared : timedelta, optional
            Run time that the caller declared.
        """
        duration = self._clock.elapsed() - assigned.started
        waiting = assigned.waiting
        self._predictor.observe(waiting.service, waiting.kind, duration, declared)
        self._observations.slowdowns.observe(assigned.target, duration, waiting.expected)

    def record_result(self, assigned: Assignment, *, failed: bool) -> None:
        """Records whether an attempt failed, for the health of its target."""
        if failed:
            self._health.fail(assigned.attempt)
        else:
            self._health.succeed(assigned.attempt)

    def count_demand(self) -> dict[str, int]:
        """Returns the number of waiting requests per usable target, spread evenly, rounded up."""
        waiting = len(self._queue) + len(self._deferred)
        if not waiting:
            return {}
        usable = self._list_usable()
        per_target = -(-waiting // max(1, len(usable)))
        return dict.fromkeys(usable, per_target)
