"""Calls to the owner of a partition, wherever it runs."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from carawayd.partition.owner import (
    ABSENT,
    REJECTED,
    UNKNOWN_OUTCOME,
    UNREADY,
    PartitionOwner,
    Reply,
)
from carawayd.process.exchange import PeerUnreached
from carawayshore.workflows.model import Workflow

if TYPE_CHECKING:
    from carawayd.process.exchange import Exchange
    from carawayd.process.ownership import Ownership
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

# Longest time in seconds for one attempt, and for all while no owner is known.
ATTEMPT_SECONDS = 0.6
LONGEST_WAIT_SECONDS = 1.2
PAUSE = timedelta(milliseconds=60)
# Share of the caller's own limit that a call may take; one whose outcome is in doubt waits longer,
# since its caller may not repeat it.
DEADLINE_SHARE = 0.6
DOUBT_SHARE = 0.8

# A submission that a cut connection held back for longer than this is dropped: its sender has given
# it up, and its caller may have been told since that it never runs.
STALE_MS = 2_000

SUBMIT, LOOK, CANCEL, COUNT = "submit", "look", "cancel", "count"
SURVEY, CORDON, UNCORDON = "survey", "cordon", "uncordon"
CHANGES = frozenset({SUBMIT, CANCEL})


class OwnerCalls:
    """Asks the own owner of a partition, or the entry host that has it.

    Parameters
    ----------
    ownership : Ownership
    exchange : Exchange
    clock : Clock
    """

    def __init__(self, ownership: Ownership, exchange: Exchange, clock: Clock) -> None:
        self._ownership = ownership
        self._exchange = exchange
        self._clock = clock
        exchange.handler = self._serve_peer

    async def ask(self, partition: int, operation: str, subject: Any, *, limit: float) -> Reply:
        """Asks until an owner answers or the time is over.

        Parameters
        ----------
        partition : int
        operation : str
        subject : Any
            Argument of the operation, of plain types.
        limit : float
            Time in seconds within which the caller wants its answer.
        """
        began = self._clock.elapsed()
        patience = min(LONGEST_WAIT_SECONDS, limit * DEADLINE_SHARE)
        reply = Reply(UNREADY)
        unknown = False
        refresh = False
        while True:
            allowed = limit * DOUBT_SHARE if unknown and operation in CHANGES else patience
            remaining = allowed - (self._clock.elapsed() - began).total_seconds()
            if remaining <= 0:
                return Reply(UNKNOWN_OUTCOME) if unknown else reply
            timeout = min(remaining, ATTEMPT_SECONDS)
            reply, sent = await self.call_once(
                partition, operation, subject, timeout, refresh=refresh
            )
            if reply.outcome == REJECTED and unknown:
                # An earlier attempt may still be taken in, so "never runs" would not be true.
                return Reply(UNKNOWN_OUTCOME)
            if reply.outcome not in (UNREADY, UNKNOWN_OUTCOME):
                return reply
            unknown = unknown or sent
            refresh = True
            await self._clock.sleep(PAUSE)

    async def call_once(
        self, partition: int, operation: str, subject: Any, timeout: float, *, refresh: bool = False
    ) -> tuple[Reply, bool]:
        """Returns the reply, and whether the call may have taken effect without one."""
        owner = self._ownership.find_owner(partition)
        if owner is not None:
            try:
                # A call that is given up goes on, so that its record is not torn.
                reply = await asyncio.wait_for(
                    asyncio.shield(self._ask_owner(owner, operation, subject)), timeout
                )
            except TimeoutError:
                return Reply(UNREADY), True
            return reply, reply.outcome == UNKNOWN_OUTCOME
        address = await self._ownership.find_address(partition, refresh=refresh)
        if address is None or address == self._ownership.address:
            return Reply(UNREADY), False
        try:
            answer = await self._exchange.call(
                address, operation, partition, subject, self._unix_ms(), timeout=timeout
            )
        except PeerUnreached as error:
            return Reply(UNREADY), error.sent
        reply = Reply(*answer)
        return reply, reply.outcome == UNKNOWN_OUTCOME

    async def _serve_peer(self, operation: str, arguments: list[Any]) -> Reply:
        """Answers a call that another entry host passed on."""
        partition, subject, sent_ms = arguments
        owner = self._ownership.find_owner(partition)
        if owner is None:
            return Reply(UNREADY)
        if operation == SUBMIT and self._unix_ms() - sent_ms > STALE_MS:
            logger.info(
                "submission is dropped, it was passed on too long ago",
                extra={"fields": {"partition": partition, "age_ms": self._unix_ms() - sent_ms}},
            )
            return Reply(UNREADY)
        return await self._ask_owner(owner, operation, subject)

    def _unix_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    async def _ask_owner(self, owner: PartitionOwner, operation: str, subject: Any) -> Reply:
        if operation == SUBMIT:
            return await owner.submit(msgspec.convert(subject, Workflow))
        handlers = {
            LOOK: owner.look,
            CANCEL: owner.cancel,
            COUNT: owner.count_pending,
            SURVEY: owner.survey,
            CORDON: owner.cordon,
            UNCORDON: owner.uncordon,
        }
        reply = await handlers[operation](subject)
        # A deposed owner does not know what its successor has taken in.
        if reply.outcome == ABSENT and not self._ownership.is_current():
            return Reply(UNREADY)
        return reply
