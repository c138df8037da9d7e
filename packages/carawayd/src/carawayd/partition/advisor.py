"""Tickets of the placement policy service for the steps of one partition."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from carawayd.platform.common import PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.advice import AdviceClient
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import AdviceTerms
    from carawayshore.workflows.placement import Room

logger = logging.getLogger(__name__)

StepKey = tuple[str, int, int]

# Most workers that one call names; a call takes longer for each of them.
MOST_NAMED = 12
# Added to the time that the service says a call takes, in seconds, since calls wait in turn.
QUEUE_SECONDS = 3.0
# A ticket is used up to this share of its lifetime, so that it is still valid on arrival.
VALID_SHARE = 0.7


class Advisor:
    """Asks the service ahead of placement and remembers its answers.

    Parameters
    ----------
    client : AdviceClient or None
        None where the deployment has no such service.
    clock : Clock
    wake : callable
        Called when an answer has come.
    """

    def __init__(self, client: AdviceClient | None, clock: Clock, wake: Callable[[], None]) -> None:
        self._client = client
        self._clock = clock
        self._wake = wake
        # Worker to its ticket and the time at which that is not used any more.
        self._tickets: dict[StepKey, dict[str, tuple[str, float]]] = {}
        self._denied: dict[StepKey, set[str]] = {}
        self._asking: set[StepKey] = set()
        self._turn = asyncio.Lock()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def find_tickets(self, key: StepKey) -> dict[str, str]:
        """Returns the tickets that are valid now, by worker."""
        now = self._now()
        known = self._tickets.get(key, {})
        return {worker: ticket for worker, (ticket, until) in known.items() if until > now}

    def ask(self, key: StepKey, rooms: list[Room], terms: AdviceTerms) -> None:
        """Asks about the workers with most room that are not known to be denied."""
        if self._client is None or key in self._asking:
            return
        denied, tickets = self._denied.get(key, set()), self.find_tickets(key)
        named = [
            room.entry.worker
            for room in sorted(rooms, key=lambda room: -room.free_millicores)
            if room.entry.worker not in denied and room.entry.worker not in tickets
        ][:MOST_NAMED]
        if named:
            self._asking.add(key)
            asyncio.ensure_future(self._ask(key, named, terms))

    async def _ask(self, key: StepKey, named: list[str], terms: AdviceTerms) -> None:
        timeout = (terms.decision_ms + terms.per_worker_ms * len(named)) / 1000 + QUEUE_SECONDS
        try:
            async with self._turn:
                asked_at = self._now()
                advice = await self._client.advise(*key, named, timeout=timeout)
        except PlatformError as error:
            logger.info("no advice", extra={"fields": {"workflow": key[0], "error": str(error)}})
            return
        finally:
            self._asking.discard(key)
        until = asked_at + advice.valid_seconds * VALID_SHARE
        tickets = self._tickets.setdefault(key, {})
        tickets.update({worker: (ticket, until) for worker, ticket in advice.tickets.items()})
        self._denied.setdefault(key, set()).update(set(named) - set(advice.tickets))
        logger.info(
            "advice taken",
            extra={
                "fields": {
                    "workflow": key[0],
                    "step": key[2],
                    "asked": len(named),
                    "allowed": sorted(advice.tickets),
                }
            },
        )
        self._wake()

    def forget_ticket(self, key: StepKey, worker: str) -> None:
        """Drops a ticket that a worker has refused."""
        self._tickets.get(key, {}).pop(worker, None)

    def forget_workflow(self, workflow: str) -> None:
        """Drops all that is known about an ended workflow."""
        for table in (self._tickets, self._denied):
            for key in [key for key in table if key[0] == workflow]:
                del table[key]
