"""Calls to the owner of a partition, in this process or on another entry host."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayd.partition.replies import (
    ABSENT,
    MOVED,
    REJECTED,
    UNKNOWN_OUTCOME,
    UNREADY,
    Reply,
)
from carawayd.process.exchange import PeerUnreachable
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import Count, MalformedDocument, Quantity, Seconds, convert
from carawayshore.workflows.model import AbsenceQuery, Submission, Workflow

if TYPE_CHECKING:
    from carawayd.partition.owner import PartitionOwner
    from carawayd.process.exchange import PeerRpc
    from carawayd.process.ownership import Ownership
    from carawayshore.clock import Clock

# Timeout of one attempt.
ATTEMPT_SECONDS = 0.6
# Timeout of all attempts, unless a change may already have taken effect.
MAX_WAIT_SECONDS = 1.2
RETRY_INTERVAL = timedelta(milliseconds=60)
# Share of the time to the caller's deadline that a call may use.
DEADLINE_SHARE = 0.6
# Share of that time that a change may use once it may have taken effect. Larger, since the caller
# may not repeat it.
UNKNOWN_OUTCOME_SHARE = 0.8

# Submissions that reach the owner later, delayed by an interrupted connection, do not run: the
# sender has given up, and the caller may have a response saying that the workflow never runs.
MAX_SUBMISSION_AGE_SECONDS = 2.0

SUBMIT, CONFIRM_ABSENCE = "submit-version", "confirm-absence"
GET_STATE, CANCEL, COUNT_PENDING = "look", "cancel", "count"
REPORT_LOAD, CORDON, UNCORDON = "survey", "cordon", "uncordon"
# Submission to, or by, an entry host of an earlier version, without the version of the queue.
SUBMIT_WORKFLOW = "submit"
FORMER_OPERATIONS = {SUBMIT: SUBMIT_WORKFLOW, CONFIRM_ABSENCE: GET_STATE}
SUBMISSIONS = frozenset({SUBMIT, SUBMIT_WORKFLOW})
MUTATING_OPERATIONS = SUBMISSIONS | {CANCEL}
# Type of the argument of each operation.
ARGUMENT_TYPES = {
    SUBMIT: Submission,
    SUBMIT_WORKFLOW: Workflow,
    CONFIRM_ABSENCE: AbsenceQuery,
    GET_STATE: str,
    CANCEL: str,
    COUNT_PENDING: str,
    REPORT_LOAD: dict[str, Quantity],
    CORDON: tuple[str, Seconds],
    UNCORDON: str,
}
# Name of the peers' replies in metrics and log lines.
PEER_REPLIES = "peers"


class OwnerCalls:
    """Calls the local owner of a partition, or the entry host that owns it.

    Parameters
    ----------
    ownership : Ownership
    peer_rpc : PeerRpc
    clock : Clock
    """

    def __init__(self, ownership: Ownership, peer_rpc: PeerRpc, clock: Clock) -> None:
        self._ownership = ownership
        self._peer_rpc = peer_rpc
        self._clock = clock
        peer_rpc.handler = self._serve_peer

    async def call(
        self, partition: int, operation: str, argument: Any, *, deadline_seconds: float
    ) -> Reply:
        """Repeats a call until an owner replies or the time limit is reached.

        Parameters
        ----------
        partition : int
        operation : str
        argument : Any
            Argument of the operation, composed of built-in types.
        deadline_seconds : float
            Time to the caller's deadline.
        """
        started_at = self._clock.elapsed()
        max_wait = min(MAX_WAIT_SECONDS, deadline_seconds * DEADLINE_SHARE)
        reply = Reply(UNREADY)
        unknown = False
        refresh = False
        while True:
            time_limit = (
                deadline_seconds * UNKNOWN_OUTCOME_SHARE
                if unknown and operation in MUTATING_OPERATIONS
                else max_wait
            )
            remaining = time_limit - (self._clock.elapsed() - started_at).total_seconds()
            if remaining <= 0:
                return Reply(UNKNOWN_OUTCOME) if unknown else reply
            timeout = min(remaining, ATTEMPT_SECONDS)
            reply, sent = await self.call_once(
                partition, operation, argument, timeout, refresh=refresh
            )
            if reply.outcome in (REJECTED, MOVED) and unknown:
                # An earlier attempt may have been accepted, so the rejection is not final.
                return Reply(UNKNOWN_OUTCOME)
            if reply.outcome not in (UNREADY, UNKNOWN_OUTCOME):
                return reply
            unknown = unknown or sent
            refresh = True
            await self._clock.sleep(RETRY_INTERVAL)

    async def call_once(
        self,
        partition: int,
        operation: str,
        argument: Any,
        timeout: float,
        *,
        refresh: bool = False,
    ) -> tuple[Reply, bool]:
        """Returns the reply, and whether the call may have taken effect without a reply."""
        owner = self._ownership.find_owner(partition)
        if owner is not None:
            try:
                # shield: the owner completes the call after a timeout, so that no change is left
                # half applied.
                reply = await asyncio.wait_for(
                    asyncio.shield(self._call_local_owner(owner, operation, argument)), timeout
                )
            except TimeoutError:
                return Reply(UNREADY), True
            return reply, reply.outcome == UNKNOWN_OUTCOME
        address = await self._ownership.find_address(partition, refresh=refresh)
        if address is None or address == self._ownership.address:
            return Reply(UNREADY), False
        if operation in FORMER_OPERATIONS and not self._ownership.reads_queue_versions(partition):
            operation, argument = FORMER_OPERATIONS[operation], argument[0]
        elif operation == SUBMIT and not self._ownership.reads_accounts(partition):
            argument = argument[:2]
        try:
            answer = await self._peer_rpc.call(
                address,
                operation,
                partition,
                argument,
                timeout=timeout,
                max_age=MAX_SUBMISSION_AGE_SECONDS if operation in SUBMISSIONS else None,
            )
            reply = convert(answer, Reply)
        except PeerUnreachable as error:
            return Reply(UNREADY), error.sent
        except MalformedDocument as error:
            unreadable_records.note(PEER_REPLIES, address, error)
            return Reply(UNREADY), True
        return reply, reply.outcome == UNKNOWN_OUTCOME

    async def _serve_peer(self, operation: str, arguments: list[Any]) -> Reply:
        """Handles a call that another entry host forwarded."""
        partition, argument = convert(arguments, tuple[Count, Any])
        owner = self._ownership.find_owner(partition)
        if owner is None:
            return Reply(UNREADY)
        return await self._call_local_owner(owner, operation, argument)

    async def _call_local_owner(
        self, owner: PartitionOwner, operation: str, argument: Any
    ) -> Reply:
        argument = convert(argument, ARGUMENT_TYPES[operation])
        if operation == SUBMIT:
            return await owner.submit(argument.workflow, argument.queue, argument.account)
        if operation == SUBMIT_WORKFLOW:
            return await owner.submit(argument)
        handlers = {
            CONFIRM_ABSENCE: owner.confirm_absence,
            GET_STATE: owner.read_state,
            CANCEL: owner.cancel,
            COUNT_PENDING: owner.count_pending,
            REPORT_LOAD: owner.report_load,
            CORDON: owner.cordon,
            UNCORDON: owner.uncordon,
        }
        reply = await handlers[operation](argument)
        # An owner that lost its partition does not know the workflows that its successor accepted.
        needs_all_workflows = reply.outcome == ABSENT or operation == COUNT_PENDING
        if needs_all_workflows and not self._ownership.is_current():
            return Reply(UNREADY)
        return reply
