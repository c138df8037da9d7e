"""One attempt of a request at one target, and its result."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from carawayd.connection.target import Exchange, ExchangeError, FailureKind, OutgoingRequest
from carawayd.request.answers import REQUEST_HEADER, CachedResponse, Reason
from carawayd.request.body import copy_headers
from carawayd.request.plan import DEADLINE_HEADER
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayd.connection.target import Connections
    from carawayd.process.settings import Settings
    from carawayd.process.slots import Slots
    from carawayd.request.body import RequestBody
    from carawayd.request.plan import Plan
    from carawayd.version.dispatcher import Assignment
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

POOL_HEADER = "Carawayshore-Pool"
# Responses up to this size are read completely before the caller gets them.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Limit for each response that is read completely.
MAX_FULL_RESPONSE_BYTES = 16 * 1024 * 1024
MISDIRECTED_REQUEST_STATUS = 421
# Refusal reasons that mean a lack of capacity. Every other reason means that the target accepts no
# work for a while.
BUSY_REASONS = frozenset({"slots", "connections", "queue-full"})


class FailedAttempt(NamedTuple):
    """Result of an attempt that gave no response for the caller.

    Parameters
    ----------
    outcome : Outcome
        Whether the attempt ran.
    reason : Reason
    budget_exempt : bool
        Whether a retry is not charged to the retry budget, for example because the target refused
        for another reason than a lack of capacity.
    detail : str
        Explanation for the caller.
    """

    outcome: Outcome
    reason: Reason
    budget_exempt: bool = False
    detail: str = ""


class ResponseAborted(Exception):
    """A response could not be streamed to its end; the connection to the caller was closed.

    The caller disconnected or read too slowly, or the connection to the target failed.
    """


class AttemptRunner:
    """Runs attempts: sends a request to a target and its response to the caller.

    Parameters
    ----------
    connections : Connections
    slots : Slots
    settings : Settings
    clock : Clock
    """

    def __init__(
        self, connections: Connections, *, slots: Slots, settings: Settings, clock: Clock
    ) -> None:
        self._connections = connections
        self._slots = slots
        self._settings = settings
        self._clock = clock

    def build_outgoing_request(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        address: str,
        extra: dict[str, str],
    ) -> OutgoingRequest:
        """Returns the request to send, with the remaining time in its deadline header."""
        headers = copy_headers(request.headers)
        remaining = max(0.001, (plan.deadline - self._clock.elapsed()).total_seconds())
        headers[DEADLINE_HEADER] = f"{remaining:.3f}"
        headers.update(extra)
        return OutgoingRequest(
            request.method, f"http://{address}{request.raw_path}", headers, body.open()
        )

    async def run(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        assigned: Assignment,
        *,
        pool: str,
        buffered: bool,
    ) -> CachedResponse | web.StreamResponse | FailedAttempt:
        """Sends the request to the assigned target.

        Parameters
        ----------
        pool : str
            Name of the target's pool.
        buffered : bool
            Whether the response must be read completely, not streamed.

        Returns
        -------
        CachedResponse
            If the response was read completely.
        web.StreamResponse
            If it was streamed to the caller.
        FailedAttempt
            If there is no response for the caller.

        Raises
        ------
        ResponseAborted
            If the response could not be streamed completely to the caller.
        """
        address = self._slots.find_address(assigned.target)
        if address is None:
            return FailedAttempt(Outcome.NOT_RUN, Reason.NO_TARGET, budget_exempt=True)
        if not body.can_resend and not await self._connections.responds(address):
            # A body that cannot be sent again is sent only to a target that answers.
            self._slots.suspend_target(assigned.target)
            detail = f"target {assigned.target} did not answer a probe; nothing was sent"
            return FailedAttempt(Outcome.NOT_RUN, Reason.NO_TARGET, True, detail)
        identifier = assigned.waiting.request
        outgoing = self.build_outgoing_request(
            request,
            plan,
            body,
            address,
            {REQUEST_HEADER: identifier, POOL_HEADER: pool},
        )
        return await self.exchange(
            request, plan, outgoing, identifier, assigned.target, address, buffered=buffered
        )

    async def exchange(
        self,
        request: web.BaseRequest,
        plan: Plan,
        outgoing: OutgoingRequest,
        identifier: str,
        target: str,
        address: str,
        *,
        buffered: bool,
    ) -> CachedResponse | web.StreamResponse | FailedAttempt:
        """Sends a request to an address and returns or streams its response, as ``run`` does."""
        remaining = plan.deadline - self._clock.elapsed()
        try:
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                exchange = await self._connections.open_exchange(
                    identifier, target, address, outgoing
                )
                try:
                    return await self._handle_response(request, plan, exchange, buffered=buffered)
                finally:
                    self._connections.close_exchange(exchange)
        except TimeoutError:
            return await self._determine_outcome(identifier, address, Reason.DEADLINE)
        except ExchangeError as error:
            if error.failure is FailureKind.NOT_SENT:
                return FailedAttempt(Outcome.NOT_RUN, Reason.NO_TARGET, detail=str(error))
            result = await self._determine_outcome(identifier, address, Reason.LOST_ANSWER)
            if error.failure is FailureKind.UNREACHABLE:
                # Otherwise the retry could get the slot of this target that is now free.
                self._slots.suspend_target(target)
            return result

    async def _determine_outcome(
        self, identifier: str, address: str, reason: Reason
    ) -> FailedAttempt:
        state = await self._connections.revoke(identifier, address)
        outcome = Outcome.NOT_RUN if state == "not-run" else Outcome.UNKNOWN
        return FailedAttempt(outcome, reason, detail=f"state of the request at the target: {state}")

    async def _handle_response(
        self, request: web.BaseRequest, plan: Plan, exchange: Exchange, *, buffered: bool
    ) -> CachedResponse | web.StreamResponse | FailedAttempt:
        response = exchange.response
        if response.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
            return await self._handle_refusal(exchange)
        if response.status == MISDIRECTED_REQUEST_STATUS:
            return await self._handle_refusal(exchange)
        headers = copy_headers(response.headers)
        headers.setdefault(OUTCOME_HEADER, Outcome.COMPLETED.value)
        headers[REQUEST_HEADER] = plan.request
        length = response.content_length
        small = (
            length is not None
            and length <= MAX_BUFFERED_RESPONSE_BYTES
            and request.method != "HEAD"
        )
        if buffered or small:
            return await self._read_full_response(exchange, headers)
        return await self._stream_response(request, exchange, headers)

    async def _handle_refusal(self, exchange: Exchange) -> FailedAttempt:
        status = exchange.response.status
        reason = await self._read_reason(exchange)
        busy = reason in BUSY_REASONS
        if not busy:
            self._slots.suspend_target(exchange.target)
        return FailedAttempt(
            Outcome.NOT_RUN,
            Reason.TARGET_REFUSED,
            budget_exempt=not busy,
            detail=f"status {status} {reason}".strip(),
        )

    async def _read_reason(self, exchange: Exchange) -> str:
        """Returns the field ``reason`` of a refusal's body, empty if it cannot be read."""
        body = b""
        try:
            while len(body) <= MAX_BUFFERED_RESPONSE_BYTES and (chunk := await exchange.read()):
                body += chunk
            document = msgspec.json.decode(body)
        except (ExchangeError, msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return ""
        reason = document.get("reason", "") if isinstance(document, dict) else ""
        return reason if isinstance(reason, str) else ""

    async def _read_full_response(
        self, exchange: Exchange, headers: CIMultiDict[str]
    ) -> CachedResponse | FailedAttempt:
        chunks = []
        size = 0
        while chunk := await exchange.read():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_FULL_RESPONSE_BYTES:
                detail = f"the response exceeds {MAX_FULL_RESPONSE_BYTES} bytes"
                return FailedAttempt(Outcome.UNKNOWN, Reason.LOST_ANSWER, detail=detail)
        outcome = Outcome(headers[OUTCOME_HEADER])
        return CachedResponse(
            exchange.response.status, list(headers.items()), b"".join(chunks), outcome
        )

    async def _stream_response(
        self, request: web.BaseRequest, exchange: Exchange, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        answer = web.StreamResponse(status=exchange.response.status, headers=headers)
        write_timeout = self._settings.options.slow_caller.total_seconds()
        try:
            await answer.prepare(request)
            while chunk := await exchange.read():
                async with asyncio.timeout(write_timeout):
                    await answer.write(chunk)
            await answer.write_eof()
        except (ExchangeError, TimeoutError, ConnectionError) as error:
            # The headers have been sent, so only a closed connection can show the caller that the
            # body is incomplete.
            if request.transport is not None:
                request.transport.abort()
            raise ResponseAborted(repr(error)) from error
        except asyncio.CancelledError:
            # The deadline passed. The headers have been sent, so a refusal would become part of the
            # body.
            if request.transport is not None:
                request.transport.abort()
            raise
        return answer


def build_response(cached: CachedResponse, request: web.BaseRequest) -> web.StreamResponse:
    """Returns the response to a caller from the complete response of a target."""
    headers = CIMultiDict(cached.headers)
    headers.pop("Content-Length", None)
    return web.Response(status=cached.status, headers=headers, body=cached.body)
