"""Callers' requests about workflows: submission, state, cancellation and count of a queue."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from aiohttp import web

from carawayd.connection.callerhandler import read_body
from carawayd.partition.replies import (
    ABSENT,
    ACCEPTED,
    FOUND,
    MOVED,
    REJECTED,
    TOO_LARGE,
    UNKNOWN_OUTCOME,
    UNREADY,
    Reply,
)
from carawayd.platform.documents import (
    AUTHORIZATION_HEADER,
    TIMEOUT_HEADER,
    decode_submission,
    encode_pending,
    encode_state,
)
from carawayd.process.discovery import LAYOUT_MAX_AGE
from carawayd.process.ownercalls import CANCEL, CONFIRM_ABSENCE, COUNT_PENDING, GET_STATE, SUBMIT
from carawayshore.decoding import MalformedDocument, parse_count
from carawayshore.workflows.accounts import identify_caller
from carawayshore.workflows.model import AbsenceQuery, QueueVersion, Submission

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayd.process.discovery import Discovery
    from carawayd.process.ownercalls import OwnerCalls
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.workflows.model import QueueConfig

logger = logging.getLogger(__name__)

# Time to respond for a caller that sends no deadline.
DEFAULT_TIMEOUT_SECONDS = 3.0
# A call that changed nothing may be repeated soon.
UNREADY_RETRY_SECONDS = 1
# Time within which callers repeat a submission. It may have been accepted by the service to which
# its queue was sent before.
REPEAT_TIME = timedelta(seconds=30)
# Share of the time to the caller's deadline in which the layout has to be read or recorded.
LAYOUT_SHARE = 0.3


def _build_response(status: int, document: Any = None, retry_after: float = 0.0) -> web.Response:
    headers = {"Retry-After": str(max(1, round(retry_after)))} if retry_after else None
    return web.Response(
        status=status,
        body=msgspec.json.encode(document if document is not None else {}),
        content_type="application/json",
        headers=headers,
    )


class Origin(NamedTuple):
    """Queue and version of the configuration by which a call was admitted, and its account."""

    queue: QueueConfig
    version: int
    account: str


class WorkflowHandler:
    """Handles workflow requests, with the owner of the partition in this or another entry host.

    Parameters
    ----------
    discovery : Discovery
    owners : OwnerCalls
    metrics : WorkflowMetrics
    keeps_connections : callable
        Whether connections of callers stay open. Otherwise they are closed after the response, so
        that the load balancer chooses another entry host.
    """

    def __init__(
        self,
        discovery: Discovery,
        owners: OwnerCalls,
        metrics: WorkflowMetrics,
        keeps_connections: Callable[[], bool],
    ) -> None:
        self.in_progress = 0
        self._keeps_connections = keeps_connections
        self._discovery = discovery
        self._owners = owners
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        self.in_progress += 1
        try:
            answer = await self._handle(request)
        finally:
            self.in_progress -= 1
        self._metrics.answers.labels(request.method, str(answer.status)).inc()
        if not self._keeps_connections():
            answer.force_close()
        return answer

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        deployment = self._discovery.deployment
        if deployment is None:
            return _build_response(503, {"error": "no configuration yet"}, UNREADY_RETRY_SECONDS)
        host = request.headers.get("Host", "").partition(":")[0]
        queue = deployment.find_queue(host, request.path)
        if queue is None:
            return _build_response(404, {"error": "no such queue"})
        caller = identify_caller(deployment, queue, request.headers.get(AUTHORIZATION_HEADER, ""))
        if not caller.accepted:
            response = _build_response(401, {"error": "the key is not known"})
            response.headers["WWW-Authenticate"] = "Token"
            return response
        identifier = request.path[len(queue.prefix) :].strip("/")
        timeout = self._read_timeout(request)
        if request.method == "GET" and not identifier:
            return await self._count(queue, timeout)
        if request.method == "GET":
            return await self._read_state(queue, identifier, timeout)
        if request.method == "DELETE" and identifier:
            return await self._cancel(queue, identifier, timeout)
        if request.method == "POST" and identifier:
            limit = deployment.limits.max_body_bytes
            if (request.content_length or 0) > limit:
                return _build_response(413, {"error": f"the body exceeds {limit} bytes"})
            body = await read_body(request, limit)
            if body is None:
                return _build_response(413, {"error": f"the body exceeds {limit} bytes"})
            origin = Origin(queue, deployment.version, caller.account)
            return await self._submit(origin, identifier, body, timeout)
        return _build_response(405, {"error": "accepted: POST, GET and DELETE"})

    def _read_timeout(self, request: web.BaseRequest) -> float:
        """Returns the time in seconds within which the caller wants the response."""
        text = request.headers.get(TIMEOUT_HEADER, "")
        try:
            return parse_count(text) / 1000
        except MalformedDocument:
            return DEFAULT_TIMEOUT_SECONDS

    async def _submit(
        self, origin: Origin, identifier: str, body: bytes, timeout: float
    ) -> web.Response:
        queue = origin.queue
        workflow, findings = decode_submission(identifier, queue, body)
        if workflow is None:
            return _build_response(
                400, {"error": "bad job", "findings": [str(item) for item in findings]}
            )
        if not await self._wait_for(self._discovery.prepare_submission(queue), timeout):
            return self._build_failure_response(Reply(UNREADY), identifier)
        present = QueueVersion(queue.host, queue.prefix, origin.version)
        partition, *former = self._discovery.list_partitions(queue, moved_within=REPEAT_TIME)
        query = msgspec.to_builtins(AbsenceQuery(identifier, present))
        for other in former:
            reply = await self._call_owner(other, CONFIRM_ABSENCE, query, timeout)
            if reply.outcome == FOUND:
                return _build_response(200)
            if reply.outcome != ABSENT:
                return self._build_failure_response(Reply(UNREADY), identifier)
        submission = msgspec.to_builtins(Submission(workflow, present, origin.account))
        reply = await self._call_owner(partition, SUBMIT, submission, timeout)
        if reply.outcome == ACCEPTED:
            return _build_response(200)
        if reply.outcome == TOO_LARGE:
            return _build_response(413, {"error": reply.detail})
        if reply.outcome == MOVED:
            error = {"error": "the configuration of this entry host is out of date"}
            return _build_response(503, error, UNREADY_RETRY_SECONDS)
        if reply.outcome == REJECTED:
            return _build_response(429, {"error": reply.detail}, reply.retry_after)
        return self._build_failure_response(reply, identifier)

    async def _read_state(
        self, queue: QueueConfig, identifier: str, timeout: float
    ) -> web.Response:
        reply = await self._call_first(queue, GET_STATE, identifier, timeout)
        if reply.outcome == FOUND:
            return _build_response(200, encode_state(reply.detail))
        if reply.outcome == ABSENT:
            return _build_response(410, {"error": "no such job"})
        return self._build_failure_response(Reply(UNREADY), identifier)

    async def _cancel(self, queue: QueueConfig, identifier: str, timeout: float) -> web.Response:
        reply = await self._call_first(queue, CANCEL, identifier, timeout)
        if reply.outcome == ACCEPTED:
            return _build_response(200)
        if reply.outcome == ABSENT:
            return _build_response(410, {"error": "no such job"})
        return self._build_failure_response(reply, identifier)

    async def _count(self, queue: QueueConfig, timeout: float) -> web.Response:
        if not await self._wait_for(self._discovery.settle_routes(), timeout):
            return self._build_failure_response(Reply(UNREADY), queue.name)
        replies = [
            await self._call_owner(partition, COUNT_PENDING, name, timeout)
            for partition, name in self._discovery.list_names(queue)
        ]
        if all(reply.outcome == FOUND for reply in replies):
            return _build_response(200, encode_pending(sum(reply.detail for reply in replies)))
        return self._build_failure_response(Reply(UNREADY), queue.name)

    def _build_failure_response(self, reply: Reply, subject: str) -> web.Response:
        """Returns the response to a failed call: 504 if it may have taken effect, else 503."""
        may_have_effect = reply.outcome == UNKNOWN_OUTCOME
        logger.info(
            "workflow call failed: no response from the partition owner",
            extra={"fields": {"subject": subject, "outcome": reply.outcome}},
        )
        if may_have_effect:
            return _build_response(504, {"error": "the outcome is not known"})
        return _build_response(
            503, {"error": "the partition owner cannot be reached"}, UNREADY_RETRY_SECONDS
        )

    async def _call_first(
        self, queue: QueueConfig, operation: str, identifier: str, timeout: float
    ) -> Reply:
        """Calls the owners that may know a workflow until one of them does, or can't be reached.

        Only a recent layout tells that no other owner may know it.
        """
        asked: set[int | None] = {None}
        for partition in self._discovery.list_partitions(queue):
            if partition not in asked:
                asked.add(partition)
                reply = await self._call_owner(partition, operation, identifier, timeout)
                if reply.outcome != ABSENT:
                    return reply
        if not await self._wait_for(self._discovery.refresh_layout(LAYOUT_MAX_AGE), timeout):
            return Reply(UNREADY)
        for partition in self._discovery.list_partitions(queue):
            if partition is None:
                return Reply(UNREADY)
            if partition not in asked:
                reply = await self._call_owner(partition, operation, identifier, timeout)
                if reply.outcome != ABSENT:
                    return reply
        return Reply(ABSENT)

    async def _wait_for(self, work: Awaitable[bool], timeout: float) -> bool:
        """Returns the result of ``work``, False if it takes too much of the caller's time."""
        try:
            return await asyncio.wait_for(work, timeout * LAYOUT_SHARE)
        except TimeoutError:
            return False

    async def _call_owner(
        self, partition: int | None, operation: str, subject: Any, timeout: float
    ) -> Reply:
        if partition is None:
            return Reply(UNREADY)
        return await self._owners.call(partition, operation, subject, deadline_seconds=timeout)
