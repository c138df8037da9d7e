"""Cache of placement tickets, obtained from the placement policy service, for one partition."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from carawayd.platform.common import PlatformError
from carawayd.supervision import start_in_background

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.advice import AdviceClient
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import AdviceConfig
    from carawayshore.workflows.placement import WorkerCapacity

logger = logging.getLogger(__name__)

StepKey = tuple[str, int, int]

# Limit of workers in one call, since each of them makes the call take longer.
MAX_WORKERS_PER_CALL = 12
# Added to the declared duration of a call, since the service queues the calls of one host.
QUEUE_WAIT_SECONDS = 3.0
# Share of its lifetime for which a ticket is used, so that it is still valid on arrival.
TICKET_LIFETIME_SHARE = 0.7


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
        about the step is in progress.
        """
        if self._client is None or key in self._in_progress:
            return
        denied, tickets = self._denied.get(key, set()), self.find_tickets(key)
        candidates = [
            capacity.entry.worker
            for capacity in sorted(capacities, key=lambda capacity: -capacity.free_millicores)
            if capacity.entry.worker not in denied and capacity.entry.worker not in tickets
        ][:MAX_WORKERS_PER_CALL]
        if candidates:
            self._in_progress.add(key)
            start_in_background(self._request_tickets(key, candidates, config))

    async def _request_tickets(
        self, key: StepKey, candidates: list[str], config: AdviceConfig
    ) -> None:
        timeout = (
            config.decision_ms + config.per_worker_ms * len(candidates)
        ) / 1000 + QUEUE_WAIT_SECONDS
        try:
            async with self._call_lock:
                asked_at = self._now()
                advice = await self._client.advise(*key, candidates, timeout=timeout)
        except PlatformError as error:
            logger.info(
                "request for placement tickets failed",
                extra={"fields": {"workflow": key[0], "error": str(error)}},
            )
            return
        finally:
            self._in_progress.discard(key)
        until = asked_at + advice.valid_seconds * TICKET_LIFETIME_SHARE
        tickets = self._tickets.setdefault(key, {})
        tickets.update({worker: (ticket, until) for worker, ticket in advice.tickets.items()})
        self._denied.setdefault(key, set()).update(set(candidates) - set(advice.tickets))
        logger.info(
            "placement tickets received",
            extra={
                "fields": {
                    "workflow": key[0],
                    "step": key[2],
                    "asked": len(candidates),
                    "allowed": sorted(advice.tickets),
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
        }

    def forget_ticket(self, key: StepKey, worker: str) -> None:
        """Removes a ticket that a worker has refused."""
        self._tickets.get(key, {}).pop(worker, None)

    def forget_workflow(self, workflow: str) -> None:
        """Removes the tickets and denials of an ended workflow."""
        for table in (self._tickets, self._denied):
            for key in [key for key in table if key[0] == workflow]:
                del table[key]
