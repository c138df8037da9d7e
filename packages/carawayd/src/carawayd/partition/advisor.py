"""Cache of placement tickets, obtained from the placement policy service, for one partition."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from carawayd.platform.common import PlatformError
from carawayd.supervision import start_in_background
from carawayshore.workflows.advice import (
    Answer,
    choose_after_expiry,
    choose_first,
    choose_next,
    measure_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.advice import AdviceClient
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import AdviceConfig
    from carawayshore.workflows.placement import WorkerCapacity

logger = logging.getLogger(__name__)

StepKey = tuple[str, int, int]

# Added to the declared duration of a call, since the service queues the calls of one host.
QUEUE_WAIT_SECONDS = 3.0
# Delay of the next call after one that failed, doubled with each further failure.
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 4.0


class Advisor:
    """Requests tickets from the service ahead of placement and caches its answers.

    Parameters
    ----------
    client : AdviceClient or None
        None if the deployment has no placement policy service.
    clock : Clock
    wake : callable
        Called after each answer, so that the owner plans again.
    """

    def __init__(self, client: AdviceClient | None, clock: Clock, wake: Callable[[], None]) -> None:
        self._client = client
        self._clock = clock
        self._wake = wake
        # For each worker its ticket and the time, in seconds of the clock, until which it is used.
        self._tickets: dict[StepKey, dict[str, tuple[str, float]]] = {}
        self._denied: dict[StepKey, set[str]] = {}
        self._in_progress: set[StepKey] = set()
        # Number of workers that the next call about a step names, and tickets of the step that were
        # refused since the last call.
        self._worker_limits: dict[StepKey, int] = {}
        self._refusals: dict[StepKey, int] = {}
        self._retry_seconds = 0.0
        self._retry_at = 0.0
        self._call_lock = asyncio.Lock()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def find_tickets(self, key: StepKey) -> dict[str, str]:
        """Returns the tickets that may still be used, by worker."""
        now = self._now()
        known = self._tickets.get(key, {})
        return {worker: ticket for worker, (ticket, until) in known.items() if until > now}

    def ask(self, key: StepKey, capacities: list[WorkerCapacity], config: AdviceConfig) -> None:
        """Starts a request about the workers with the most free processor capacity.

        Leaves out workers that have a ticket or were denied one; does nothing while a request
        about the step is in progress, or shortly after a request has failed.
        """
        if self._client is None or key in self._in_progress or self._now() < self._retry_at:
            return
        denied, tickets = self._denied.get(key, set()), self.find_tickets(key)
        limit = self._worker_limits.setdefault(key, choose_first(config))
        candidates = [
            capacity.entry.worker
            for capacity in sorted(capacities, key=lambda capacity: -capacity.free_millicores)
            if capacity.entry.worker not in denied and capacity.entry.worker not in tickets
        ][:limit]
        if candidates:
            self._in_progress.add(key)
            start_in_background(self._request_tickets(key, candidates, config))

    async def _request_tickets(
        self, key: StepKey, candidates: list[str], config: AdviceConfig
    ) -> None:
        timeout = measure_request(config, len(candidates)) + QUEUE_WAIT_SECONDS
        try:
            async with self._call_lock:
                asked_at = self._now()
                self._refusals.pop(key, None)
                advice = await self._client.advise(*key, candidates, timeout=timeout)
        except PlatformError as error:
            self._delay_retry()
            logger.info(
                "request for placement tickets failed",
                extra={
                    "fields": {
                        "workflow": key[0],
                        "error": str(error),
                        "retry_seconds": self._retry_seconds,
                    }
                },
            )
            return
        finally:
            is_wanted = key in self._in_progress
            self._in_progress.discard(key)
        self._retry_seconds = 0.0
        if not is_wanted:
            # The workflow has ended meanwhile.
            return
        valid_seconds = advice.valid_seconds or config.valid_ms / 1000
        answer = Answer(asked_at, self._now(), valid_seconds)
        tickets = self._tickets.setdefault(key, {})
        tickets.update(
            {worker: (ticket, answer.use_until) for worker, ticket in advice.tickets.items()}
        )
        self._denied.setdefault(key, set()).update(set(candidates) - set(advice.tickets))
        self._worker_limits[key] = choose_next(
            config, self._worker_limits[key], has_allowed=bool(advice.tickets)
        )
        logger.info(
            "placement tickets received",
            extra={
                "fields": {
                    "workflow": key[0],
                    "step": key[2],
                    "asked": len(candidates),
                    "allowed": sorted(advice.tickets),
                    "answer_seconds": round(answer.answered_at - asked_at, 3),
                    "use_seconds": round(answer.use_until - answer.answered_at, 3),
                }
            },
        )
        self._wake()

    def describe(self, key: StepKey) -> dict[str, Any]:
        """Describes for the log what is known of the workers that a step may use."""
        return {
            "tickets": len(self.find_tickets(key)),
            "denied": len(self._denied.get(key, ())),
            "asked": key in self._in_progress,
            "workers_to_ask_for": self._worker_limits.get(key),
            "refused_tickets": self._refusals.get(key, 0),
        }

    def handle_refusal(self, key: StepKey, worker: str) -> None:
        """Removes a ticket that a worker has refused; the next call names fewer workers."""
        self._tickets.get(key, {}).pop(worker, None)
        self._refusals[key] = self._refusals.get(key, 0) + 1
        if self._refusals[key] == 1 and key in self._worker_limits:
            self._worker_limits[key] = choose_after_expiry(self._worker_limits[key])

    def forget_worker(self, worker: str) -> None:
        """Removes the tickets of a worker that has restarted, which are valid no longer."""
        for tickets in self._tickets.values():
            tickets.pop(worker, None)

    def forget_workflow(self, workflow: str) -> None:
        """Removes what is known of the steps of an ended workflow."""
        for table in (self._tickets, self._denied, self._worker_limits, self._refusals):
            for key in [key for key in table if key[0] == workflow]:
                del table[key]
        self._in_progress = {key for key in self._in_progress if key[0] != workflow}

    def _delay_retry(self) -> None:
        doubled = max(FIRST_RETRY_SECONDS, 2 * self._retry_seconds)
        self._retry_seconds = min(doubled, MAX_RETRY_SECONDS)
        self._retry_at = self._now() + self._retry_seconds
