"""Requests with an idempotency key, which are dispatched at most once over all entry hosts."""

from __future__ import annotations

import asyncio
import base64
import logging
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import msgspec
from mode import Service

from carawayd.process.keys import Grant
from carawayd.request.answers import CachedResponse, Reason, Refusal
from carawayd.request.attempt import build_response
from carawayshore.keys import RELEASED
from carawayshore.outcome import Outcome

if TYPE_CHECKING:
    from datetime import timedelta

    from aiohttp import web

    from carawayd.process.keys import KeyOwner
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayd.request.answers import ResponseCache
    from carawayd.request.body import RequestBody
    from carawayd.request.handler import RequestHandler
    from carawayd.request.plan import Plan
    from carawayd.version.dispatcher import Assignment, Dispatcher
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

MAX_CLAIM_ATTEMPTS = 3
# Added to the time that the holder's entry host may wait for the response.
RESPONSE_MARGIN_SECONDS = 0.5


class CachedResponseDocument(NamedTuple):
    """Cached response as entry hosts send it to each other; ``body`` is encoded in base64."""

    status: int
    headers: list[tuple[str, str]]
    body: str
    outcome: str
    released: bool


def encode_cached_response(response: CachedResponse) -> bytes:
    """Encodes a cached response for another entry host."""
    body = base64.b64encode(response.body).decode()
    # msgspec cannot encode the subclass of str that the HTTP library uses for header names.
    headers = [(str(name), str(value)) for name, value in response.headers]
    document = CachedResponseDocument(
        response.status, headers, body, response.outcome, response.released
    )
    return msgspec.json.encode(document)


def decode_cached_response(data: bytes) -> CachedResponse:
    """Decodes a cached response; raises msgspec.MsgspecError or ValueError if it is malformed."""
    document = msgspec.json.decode(data, type=CachedResponseDocument)
    return CachedResponse(
        document.status,
        document.headers,
        base64.b64decode(document.body),
        Outcome(document.outcome),
        document.released,
    )


class KeyedRequests(Service):
    """Serves requests with an idempotency key.

    The request that claims a key is its holder. Other requests with the key get its response.

    Parameters
    ----------
    handler : RequestHandler
    keys : KeyOwner
    cache : ResponseCache
        Responses of the keyed requests that this process dispatched.
    peers : Peers
    reader : StreamReader
        Reader of the stream of the own data centre.
    settings : Settings
    clock : Clock
    """

    def __init__(
        self,
        handler: RequestHandler,
        *,
        keys: KeyOwner,
        cache: ResponseCache,
        peers: Peers,
        reader: StreamReader,
        settings: Settings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._handler = handler
        self._keys = keys
        self._cache = cache
        self._peers = peers
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._session = aiohttp.ClientSession()
        self._tasks: set[asyncio.Task[CachedResponse]] = set()

    async def serve(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, dispatcher: Dispatcher
    ) -> web.StreamResponse:
        """Serves one request, which continues if the caller disconnects."""
        task = asyncio.ensure_future(self._run(request, plan, body, dispatcher))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        response = await asyncio.shield(task)
        return build_response(response, request)

    def _on_task_done(self, task: asyncio.Task[CachedResponse]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # If the caller has disconnected, nothing else retrieves the exception and asyncio would
            # log it.
            task.exception()

    async def _run(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, dispatcher: Dispatcher
    ) -> CachedResponse:
        for _ in range(MAX_CLAIM_ATTEMPTS):
            holder = self._keys.find_grant(plan.key)
            if holder is not None:
                response = await self._wait_for_holder(plan, holder)
            else:
                response = await self._claim_and_run(request, plan, body, dispatcher)
            if response is not None:
                return response
        raise Refusal(Outcome.UNKNOWN, Reason.KEY_HELD)

    async def _claim_and_run(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, dispatcher: Dispatcher
    ) -> CachedResponse | None:
        """Returns the response, or None if another holder released the key in the meantime."""
        # Acquire the slot before the key, so that a request that cannot be served does not use up a
        # grant.
        try:
            assigned = await self._handler.acquire(plan, dispatcher, 1, frozenset())
        except Refusal as refusal:
            return await self._resolve_refusal(plan, refusal)
        claimed = False
        try:
            self._cache.begin(plan.request)
            claim_answer = await self._keys.claim(plan.key, plan.request)
            claimed = claim_answer.decision == "granted"
        finally:
            if not claimed:
                dispatcher.release(assigned)
                self._publish_release(plan)
        if claimed:
            return await self._run_granted(request, plan, body, dispatcher, assigned)
        if claim_answer.decision == "held":
            holder = Grant(
                claim_answer.holder_request, claim_answer.holder, claim_answer.holder_incarnation
            )
            return await self._wait_for_holder(plan, holder)
        if claim_answer.decision == "unsafe":
            raise Refusal(Outcome.NOT_RUN, Reason.KEY_UNSAFE, verified=True)
        raise Refusal(Outcome.UNKNOWN, Reason.KEY_OWNER)

    async def _resolve_refusal(self, plan: Plan, refusal: Refusal) -> CachedResponse | None:
        """Handles the refusal of a request that has not claimed its key.

        Raises the refusal if the key is free. If another request holds the key, returns the
        response of that request, or None if it released the key.

        An earlier request with the key may have run, so the outcome is ``not-run`` only if the
        key's owner confirms that the key is free.
        """
        peek_answer = await self._keys.peek(plan.key, plan.request)
        if peek_answer.decision == "free":
            refusal.verified = True
            raise refusal
        if peek_answer.decision == "held":
            holder = Grant(
                peek_answer.holder_request, peek_answer.holder, peek_answer.holder_incarnation
            )
            return await self._wait_for_holder(plan, holder)
        raise Refusal(Outcome.UNKNOWN, refusal.reason, retry_after=refusal.retry_after)

    def _publish_release(self, plan: Plan) -> None:
        """Reports to waiting requests that this one was not and never will be dispatched."""
        released = CachedResponse(503, [], b"", Outcome.NOT_RUN, released=True)
        self._cache.finish(plan.request, released)

    async def _run_granted(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        dispatcher: Dispatcher,
        assigned: Assignment,
    ) -> CachedResponse:
        response = CachedResponse(502, [], b"", Outcome.UNKNOWN)
        try:
            response = await self._handler.run_with_retries(
                request, plan, body, dispatcher, first_assignment=assigned
            )
            return response
        except Refusal as refusal:
            refusal.verified = True
            if refusal.outcome is Outcome.NOT_RUN:
                response = CachedResponse(503, [], b"", Outcome.NOT_RUN, released=True)
            raise
        finally:
            self._cache.finish(plan.request, response)
            status = RELEASED if response.released else response.status
            self._keys.report_completion(plan.key, plan.request, status)

    async def _wait_for_holder(self, plan: Plan, holder: Grant) -> CachedResponse | None:
        """Returns the response of the request that holds the key, or None if it released the key.

        Raises
        ------
        Refusal
            With the outcome ``unknown`` if the response is not available before the deadline.
        """
        remaining = plan.deadline - self._clock.elapsed()
        if holder.member == self._settings.member:
            response = await self._cache.wait(holder.request, remaining)
        else:
            response = await self._fetch_holder_response(holder, remaining)
        if response is None or (response.outcome is Outcome.UNKNOWN and not response.released):
            raise Refusal(Outcome.UNKNOWN, Reason.KEY_HELD)
        if response.released:
            self._keys.report_completion(plan.key, holder.request, RELEASED)
            await self._clock.sleep(self._settings.options.heartbeat)
            return None
        return response

    async def _fetch_holder_response(
        self, holder: Grant, remaining: timedelta
    ) -> CachedResponse | None:
        address = self._find_address(holder.member)
        if address is None:
            return None
        seconds = max(0.0, remaining.total_seconds())
        url = f"http://{address}/v1/kept/{holder.request}?wait={seconds:.3f}"
        timeout = aiohttp.ClientTimeout(total=seconds + RESPONSE_MARGIN_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                return decode_cached_response(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError, ValueError):
            return None

    def _find_address(self, member: str) -> str | None:
        known = self._reader.folded.members.get(member)
        return known.caller_address if known else self._peers.caller_addresses.get(member)

    async def on_shutdown(self) -> None:
        await self._session.close()
