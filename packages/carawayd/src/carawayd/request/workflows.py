"""Callers' requests about workflows: submit, look, cancel, and count what waits in a queue."""

from __future__ import annotations

import logging
import math
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from carawayd.partition.owner import (
    ABSENT,
    ACCEPTED,
    FOUND,
    REJECTED,
    UNKNOWN_OUTCOME,
    UNREADY,
    PartitionOwner,
    Reply,
)
from carawayd.platform.documents import (
    DEADLINE_HEADER,
    decode_submission,
    encode_pending,
    encode_state,
)
from carawayd.process.exchange import PeerUnreached
from carawayshore.workflows.model import Workflow

if TYPE_CHECKING:
    from carawayd.process.discovery import Discovery
    from carawayd.process.exchange import Exchange
    from carawayd.process.ownership import Ownership
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import QueueTerms

logger = logging.getLogger(__name__)

# Longest time in seconds for which a call waits for a new owner, and between its attempts.
LONGEST_WAIT_SECONDS = 1.2
ATTEMPT_SECONDS = 0.6
PAUSE = timedelta(milliseconds=60)
# Share of the caller's own limit that a call may take; one whose outcome is in doubt waits longer,
# since its caller may not repeat it.
DEADLINE_SHARE = 0.6
DOUBT_SHARE = 0.85
DEFAULT_LIMIT_SECONDS = 3.0
# A call that changes nothing may be repeated soon, in seconds.
UNREADY_RETRY_SECONDS = 1


def _answer(status: int, document: Any = None, retry_after: float = 0.0) -> web.Response:
    headers = {"Retry-After": str(max(1, math.ceil(retry_after)))} if retry_after else None
    return web.Response(
        status=status,
        body=msgspec.json.encode(document if document is not None else {}),
        content_type="application/json",
        headers=headers,
    )


class WorkflowCalls:
    """Answers callers, from the own owner of a partition or from the entry host that has it.

    Parameters
    ----------
    discovery : Discovery
    ownership : Ownership
    exchange : Exchange
    clock : Clock
    """

    def __init__(
        self, discovery: Discovery, ownership: Ownership, exchange: Exchange, clock: Clock
    ) -> None:
        self.in_progress = 0
        self.stopping = False
        self._discovery = discovery
        self._ownership = ownership
        self._exchange = exchange
        self._clock = clock
        exchange.handler = self._serve_peer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        self.in_progress += 1
        try:
            answer = await self._handle(request)
        finally:
            self.in_progress -= 1
        if self.stopping:
            answer.force_close()
        return answer

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        deployment = self._discovery.deployment
        if deployment is None:
            return _answer(503, {"error": "no configuration yet"}, UNREADY_RETRY_SECONDS)
        host = request.headers.get("Host", "").partition(":")[0]
        queue = deployment.find_queue(host, request.path)
        if queue is None:
            return _answer(404, {"error": "no such queue"})
        rest = request.path[len(queue.prefix) :].strip("/")
        limit = self._read_limit(request)
        if request.method == "GET" and not rest:
            return await self._count(queue, limit)
        if request.method == "GET":
            return await self._look(queue, rest, limit)
        if request.method == "DELETE" and rest:
            return await self._cancel(queue, rest, limit)
        if request.method == "POST" and rest:
            if (request.content_length or 0) > deployment.most_body_bytes:
                return _answer(413, {"error": f"at most {deployment.most_body_bytes} bytes"})
            return await self._submit(queue, rest, await request.read(), limit)
        return _answer(405, {"error": "accepted: POST, GET and DELETE"})

    def _read_limit(self, request: web.BaseRequest) -> float:
        """Returns the time in seconds within which the caller wants its answer."""
        text = request.headers.get(DEADLINE_HEADER, "")
        return int(text) / 1000 if text.isdecimal() else DEFAULT_LIMIT_SECONDS

    async def _submit(
        self, queue: QueueTerms, identifier: str, body: bytes, limit: float
    ) -> web.Response:
        workflow, found = decode_submission(identifier, queue, body)
        if workflow is None:
            return _answer(400, {"error": "bad job", "findings": [str(item) for item in found]})
        reply = await self._ask(queue, "submit", msgspec.to_builtins(workflow), limit=limit)
        if reply.outcome == ACCEPTED:
            return _answer(200)
        if reply.outcome == REJECTED:
            return _answer(429, {"error": reply.detail}, reply.retry_after)
        return self._refuse(reply, identifier)

    async def _look(self, queue: QueueTerms, identifier: str, limit: float) -> web.Response:
        reply = await self._ask(queue, "look", identifier, limit=limit)
        if reply.outcome == FOUND:
            return _answer(200, encode_state(reply.detail))
        if reply.outcome == ABSENT:
            return _answer(410, {"error": "no such job"})
        return self._refuse(Reply(UNREADY), identifier)

    async def _cancel(self, queue: QueueTerms, identifier: str, limit: float) -> web.Response:
        reply = await self._ask(queue, "cancel", identifier, limit=limit)
        if reply.outcome == ACCEPTED:
            return _answer(200)
        if reply.outcome == ABSENT:
            return _answer(410, {"error": "no such job"})
        return self._refuse(reply, identifier)

    async def _count(self, queue: QueueTerms, limit: float) -> web.Response:
        reply = await self._ask(queue, "count_pending", queue.name, limit=limit)
        if reply.outcome == FOUND:
            return _answer(200, encode_pending(reply.detail))
        return self._refuse(Reply(UNREADY), queue.name)

    def _refuse(self, reply: Reply, subject: str) -> web.Response:
        """Answers a call whose owner is not reached: 504 if it may have taken effect."""
        unknown = reply.outcome == UNKNOWN_OUTCOME
        logger.info(
            "call is not answered by an owner",
            extra={"fields": {"subject": subject, "outcome": reply.outcome}},
        )
        if unknown:
            return _answer(504, {"error": "the outcome is not known"})
        return _answer(503, {"error": "no owner is reached"}, UNREADY_RETRY_SECONDS)

    async def _ask(self, queue: QueueTerms, operation: str, subject: Any, *, limit: float) -> Reply:
        """Asks the owner of the queue's partition until it answers or the time is over."""
        began = self._clock.elapsed()
        patience = min(LONGEST_WAIT_SECONDS, limit * DEADLINE_SHARE)
        reply = Reply(UNREADY)
        unknown = False
        refresh = False
        while True:
            allowed = limit * DOUBT_SHARE if unknown and operation in ("submit", "cancel") else patience
            remaining = allowed - (self._clock.elapsed() - began).total_seconds()
            if remaining <= 0:
                return Reply(UNKNOWN_OUTCOME) if unknown else reply
            reply, sent = await self._ask_once(queue, operation, subject, remaining, refresh)
            if reply.outcome not in (UNREADY, UNKNOWN_OUTCOME):
                return reply
            unknown = unknown or sent
            refresh = True
            await self._clock.sleep(PAUSE)

    async def _ask_once(
        self, queue: QueueTerms, operation: str, subject: Any, remaining: float, refresh: bool
    ) -> tuple[Reply, bool]:
        """Returns the reply, and whether the call may have taken effect without one."""
        partition = self._discovery.find_partition(queue.service)
        if partition is None:
            return Reply(UNREADY), False
        owner = self._ownership.find_owner(partition)
        if owner is not None:
            reply = await self._ask_owner(owner, operation, subject)
            return reply, reply.outcome == UNKNOWN_OUTCOME
        address = await self._ownership.find_address(partition, refresh=refresh)
        if address is None or address == self._ownership.member.partition("#")[0]:
            return Reply(UNREADY), False
        try:
            timeout = min(remaining, ATTEMPT_SECONDS)
            answer = await self._exchange.call(
                address, operation, partition, subject, timeout=timeout
            )
            reply = Reply(*answer)
        except PeerUnreached as error:
            return Reply(UNREADY), error.sent
        return reply, reply.outcome == UNKNOWN_OUTCOME

    async def _serve_peer(self, operation: str, arguments: list[Any]) -> Reply:
        """Answers a call that another entry host passed on."""
        partition, subject = arguments
        owner = self._ownership.find_owner(partition)
        if owner is None:
            return Reply(UNREADY)
        return await self._ask_owner(owner, operation, subject)

    async def _ask_owner(self, owner: PartitionOwner, operation: str, subject: Any) -> Reply:
        if operation == "submit":
            return await owner.submit(msgspec.convert(subject, Workflow))
        if operation == "cancel":
            return await owner.cancel(subject)
        reply = await (
            owner.look(subject) if operation == "look" else owner.count_pending(subject)
        )
        # A deposed owner does not know what its successor has taken in.
        if reply.outcome == ABSENT and not self._ownership.is_current():
            return Reply(UNREADY)
        return reply
