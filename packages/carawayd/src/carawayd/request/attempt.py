"""One attempt of a request at one target, and what became of it."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from carawayd.connection.target import Exchange, ExchangeError, Failure, Outgoing
from carawayd.request.answers import REQUEST_HEADER, KeptAnswer, Reason
from carawayd.request.body import copy_headers
from carawayd.request.plan import DEADLINE_HEADER
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayd.connection.target import Connections
    from carawayd.process.settings import Settings
    from carawayd.process.slots import Slots
    from carawayd.request.body import RequestBody
    from carawayd.request.plan import Plan
    from carawayd.version.dispatcher import Assigned
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

POOL_HEADER = "Carawayshore-Pool"
WHOLE_ANSWER_BYTES = 64 * 1024
LARGEST_KEYED_ANSWER_BYTES = 16 * 1024 * 1024
MISDIRECTED = 421
# Refusals for lack of room; every other one says that the target takes no work for a while.
BUSY_REASONS = frozenset({"slots", "connections", "queue-full"})


class Unanswered(NamedTuple):
    """An attempt without an answer for the caller.

    ``excusable`` is set if the target rightly refused, which uses no retry budget.
    """

    outcome: Outcome
    reason: Reason
    excusable: bool = False
    detail: str = ""


class CallerLost(Exception):
    """The caller went away or reads too slowly; its connection was closed."""


class Attempts:
    """Carries out attempts.

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

    def build_outgoing(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        address: str,
        extra: dict[str, str],
    ) -> Outgoing:
        """Returns the request as it is sent on, with the deadline that is left."""
        headers = copy_headers(request.headers)
        remaining = max(0.001, (plan.deadline - self._clock.elapsed()).total_seconds())
        headers[DEADLINE_HEADER] = f"{remaining:.3f}"
        headers.update(extra)
        return Outgoing(request.method, f"http://{address}{request.raw_path}", headers, body.open())

    async def run(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        assigned: Assigned,
        *,
        pool: str,
        whole: bool,
    ) -> KeptAnswer | web.StreamResponse | Unanswered:
        """Sends the request to the assigned target.

        Returns
        -------
        KeptAnswer
            If the answer was read whole.
        web.StreamResponse
            If it was streamed to the caller.
        Unanswered

        Raises
        ------
        CallerLost
            If the answer could not be given to the caller.
        """
        address = self._slots.find_address(assigned.target)
        if address is None:
            return Unanswered(Outcome.NOT_RUN, Reason.NO_TARGET, excusable=True)
        identifier = assigned.waiting.request
        outgoing = self.build_outgoing(
            request,
            plan,
            body,
            address,
            {REQUEST_HEADER: identifier, POOL_HEADER: pool},
        )
        return await self.exchange(
            request, plan, outgoing, identifier, assigned.target, address, whole=whole
        )

    async def exchange(
        self,
        request: web.BaseRequest,
        plan: Plan,
        outgoing: Outgoing,
        identifier: str,
        target: str,
        address: str,
        *,
        whole: bool,
    ) -> KeptAnswer | web.StreamResponse | Unanswered:
        """Sends a request to an address and gives its answer to the caller."""
        remaining = plan.deadline - self._clock.elapsed()
        try:
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                exchange = await self._connections.open_exchange(
                    identifier, target, address, outgoing
                )
                try:
                    return await self._answer(request, plan, exchange, whole=whole)
                finally:
                    self._connections.close_exchange(exchange)
        except TimeoutError:
            return await self._find_fate(identifier, address, Reason.DEADLINE)
        except ExchangeError as error:
            if error.failure is Failure.NOT_SENT:
                return Unanswered(Outcome.NOT_RUN, Reason.NO_TARGET, detail=str(error))
            fate = await self._find_fate(identifier, address, Reason.LOST_ANSWER)
            if error.failure is Failure.UNREACHABLE:
                # A free slot of its own would draw the retry to the same target.
                self._slots.note_refusal(target)
            return fate

    async def _find_fate(self, identifier: str, address: str, reason: Reason) -> Unanswered:
        state = await self._connections.revoke(identifier, address)
        outcome = Outcome.NOT_RUN if state == "not-run" else Outcome.UNKNOWN
        return Unanswered(outcome, reason, detail=f"the target says {state}")

    async def _answer(
        self, request: web.BaseRequest, plan: Plan, exchange: Exchange, *, whole: bool
    ) -> KeptAnswer | web.StreamResponse | Unanswered:
        response = exchange.response
        if response.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
            return await self._note_refusal(exchange)
        if response.status == MISDIRECTED:
            return await self._note_refusal(exchange)
        headers = copy_headers(response.headers)
        headers.setdefault(OUTCOME_HEADER, Outcome.COMPLETED.value)
        headers[REQUEST_HEADER] = plan.request
        length = response.content_length
        small = length is not None and length <= WHOLE_ANSWER_BYTES and request.method != "HEAD"
        if whole or small:
            return await self._read_whole(exchange, headers)
        return await self._stream(request, exchange, headers)

    async def _note_refusal(self, exchange: Exchange) -> Unanswered:
        status = exchange.response.status
        reason = await self._read_reason(exchange)
        busy = reason in BUSY_REASONS
        if not busy:
            self._slots.note_refusal(exchange.target)
        return Unanswered(
            Outcome.NOT_RUN,
            Reason.TARGET_REFUSED,
            excusable=not busy,
            detail=f"status {status} {reason}".strip(),
        )

    async def _read_reason(self, exchange: Exchange) -> str:
        """Returns the member ``reason`` of a refusal's body, empty if it cannot be had."""
        body = b""
        try:
            while len(body) <= WHOLE_ANSWER_BYTES and (piece := await exchange.read()):
                body += piece
            document = msgspec.json.decode(body)
        except (ExchangeError, msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return ""
        reason = document.get("reason", "") if isinstance(document, dict) else ""
        return reason if isinstance(reason, str) else ""

    async def _read_whole(
        self, exchange: Exchange, headers: CIMultiDict[str]
    ) -> KeptAnswer | Unanswered:
        pieces = []
        size = 0
        while piece := await exchange.read():
            pieces.append(piece)
            size += len(piece)
            if size > LARGEST_KEYED_ANSWER_BYTES:
                detail = f"the answer exceeds {LARGEST_KEYED_ANSWER_BYTES} bytes"
                return Unanswered(Outcome.UNKNOWN, Reason.LOST_ANSWER, detail=detail)
        outcome = Outcome(headers[OUTCOME_HEADER])
        return KeptAnswer(
            exchange.response.status, list(headers.items()), b"".join(pieces), outcome
        )

    async def _stream(
        self, request: web.BaseRequest, exchange: Exchange, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        answer = web.StreamResponse(status=exchange.response.status, headers=headers)
        stall = self._settings.options.slow_caller.total_seconds()
        try:
            await answer.prepare(request)
            while piece := await exchange.read():
                async with asyncio.timeout(stall):
                    await answer.write(piece)
            await answer.write_eof()
        except (ExchangeError, TimeoutError, ConnectionError) as error:
            # The head has been sent, so only a closed connection tells that the body is not whole.
            if request.transport is not None:
                request.transport.abort()
            raise CallerLost(repr(error)) from error
        except asyncio.CancelledError:
            # The deadline passed. A refusal that followed now would become part of the body.
            if request.transport is not None:
                request.transport.abort()
            raise
        return answer


def build_answer(kept: KeptAnswer, request: web.BaseRequest) -> web.StreamResponse:
    """Returns the answer to a caller from a whole answer of a target."""
    headers = CIMultiDict(kept.headers)
    headers.pop("Content-Length", None)
    return web.Response(status=kept.status, headers=headers, body=kept.body)
