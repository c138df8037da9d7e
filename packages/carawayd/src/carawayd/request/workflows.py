"""Callers' requests about workflows: submit, look, cancel, and count what waits in a queue."""

from __future__ import annotations

import logging
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
    Reply,
)
from carawayd.platform.documents import (
    DEADLINE_HEADER,
    decode_submission,
    encode_pending,
    encode_state,
)
from carawayd.process.ownercalls import CANCEL, COUNT, LOOK, SUBMIT

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.process.discovery import Discovery
    from carawayd.process.ownercalls import OwnerCalls
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.workflows.model import QueueTerms

logger = logging.getLogger(__name__)

# Time within which a caller is taken to want its answer if it does not say.
DEFAULT_LIMIT_SECONDS = 3.0
# A call that changes nothing may be repeated soon, in seconds.
UNREADY_RETRY_SECONDS = 1


def _answer(status: int, document: Any = None, retry_after: float = 0.0) -> web.Response:
    headers = {"Retry-After": str(max(1, round(retry_after)))} if retry_after else None
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
    owners : OwnerCalls
    metrics : WorkflowMetrics
    keeps_callers : callable
        Whether callers may go on using their connections; otherwise they are closed after the
        answer, so that the balancer chooses another entry host.
    """

    def __init__(
        self,
        discovery: Discovery,
        owners: OwnerCalls,
        metrics: WorkflowMetrics,
        keeps_callers: Callable[[], bool],
    ) -> None:
        self.in_progress = 0
        self._keeps_callers = keeps_callers
        self._discovery = discovery
        self._owners = owners
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        self.in_progress += 1
        try:
            answer = await self._handle(request)
        finally:
            self.in_progress -= 1
        self._metrics.answers.labels(request.method, str(answer.status)).inc()
        if not self._keeps_callers():
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
        reply = await self._ask(queue, SUBMIT, msgspec.to_builtins(workflow), limit)
        if reply.outcome == ACCEPTED:
            return _answer(200)
        if reply.outcome == REJECTED:
            return _answer(429, {"error": reply.detail}, reply.retry_after)
        return self._refuse(reply, identifier)

    async def _look(self, queue: QueueTerms, identifier: str, limit: float) -> web.Response:
        reply = await self._ask(queue, LOOK, identifier, limit)
        if reply.outcome == FOUND:
            return _answer(200, encode_state(reply.detail))
        if reply.outcome == ABSENT:
            return _answer(410, {"error": "no such job"})
        return self._refuse(Reply(UNREADY), identifier)

    async def _cancel(self, queue: QueueTerms, identifier: str, limit: float) -> web.Response:
        reply = await self._ask(queue, CANCEL, identifier, limit)
        if reply.outcome == ACCEPTED:
            return _answer(200)
        if reply.outcome == ABSENT:
            return _answer(410, {"error": "no such job"})
        return self._refuse(reply, identifier)

    async def _count(self, queue: QueueTerms, limit: float) -> web.Response:
        reply = await self._ask(queue, COUNT, queue.name, limit)
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

    async def _ask(self, queue: QueueTerms, operation: str, subject: Any, limit: float) -> Reply:
        partition = self._discovery.find_partition(queue.service)
        if partition is None:
            return Reply(UNREADY)
        return await self._owners.ask(partition, operation, subject, limit=limit)
