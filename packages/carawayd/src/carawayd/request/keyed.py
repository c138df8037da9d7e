"""Requests with an idempotency key: dispatched at most once, whichever entry host they reach."""

from __future__ import annotations

import asyncio
import base64
import logging
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import msgspec
from mode import Service

from carawayd.process.keys import Grant
from carawayd.request.answers import KeptAnswer, Reason, Refusal
from carawayd.request.attempt import build_answer
from carawayshore.keys import RELEASED
from carawayshore.outcome import Outcome

if TYPE_CHECKING:
    from datetime import timedelta

    from aiohttp import web

    from carawayd.process.keys import KeyOwner
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayd.request.answers import KeptAnswers
    from carawayd.request.body import RequestBody
    from carawayd.request.handler import RequestHandler
    from carawayd.request.plan import Plan
    from carawayd.version.dispatcher import Assigned, Dispatcher
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

MAX_CLAIMS = 3
GRACE_SECONDS = 0.5


class KeptDocument(NamedTuple):
    """Kept answer as one entry host gives it to another; ``body`` is in base64."""

    status: int
    headers: list[tuple[str, str]]
    body: str
    outcome: str
    released: bool


def encode_kept(answer: KeptAnswer) -> bytes:
    """Returns the document of a kept answer."""
    body = base64.b64encode(answer.body).decode()
    # The codec refuses the string type of header names that the HTTP library uses.
    headers = [(str(name), str(value)) for name, value in answer.headers]
    document = KeptDocument(answer.status, headers, body, answer.outcome, answer.released)
    return msgspec.json.encode(document)


def decode_kept(data: bytes) -> KeptAnswer:
    """Returns the kept answer of a document; raises msgspec.MsgspecError or ValueError."""
    document = msgspec.json.decode(data, type=KeptDocument)
    return KeptAnswer(
        document.status,
        document.headers,
        base64.b64decode(document.body),
        Outcome(document.outcome),
        document.released,
    )


class KeyedRequests(Service):
    """Serves requests with a key.

    Parameters
    ----------
    handler : RequestHandler
    keys : KeyOwner
    kept : KeptAnswers
    peers : Peers
    reader : StreamReader
        Of the stream of the own data centre.
    settings : Settings
    clock : Clock
    """

    def __init__(
        self,
        handler: RequestHandler,
        *,
        keys: KeyOwner,
        kept: KeptAnswers,
        peers: Peers,
        reader: StreamReader,
        settings: Settings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._handler = handler
        self._keys = keys
        self._kept = kept
        self._peers = peers
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._session = aiohttp.ClientSession()
        self._tasks: set[asyncio.Task[KeptAnswer]] = set()

    async def serve(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, dispatcher: Dispatcher
    ) -> web.StreamResponse:
        """Serves one request; its execution goes on if the caller goes away."""
        task = asyncio.ensure_future(self._run(request, plan, body, dispatcher))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        answer = await asyncio.shield(task)
        return build_answer(answer, request)

    def _forget(self, task: asyncio.Task[KeptAnswer]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # The caller may have gone away, and then nobody else reads the exception.
            task.exception()

    async def _run(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, dispatcher: Dispatcher
    ) -> KeptAnswer:
        for _ in range(MAX_CLAIMS):
            known = self._keys.look_up(plan.key)
            if known is not None:
                answer = await self._await_holder(plan, known)
            else:
                answer = await self._claim_and_run(request, plan, body, dispatcher)
            if answer is not None:
                return answer
        raise Refusal(Outcome.UNKNOWN, Reason.KEY_HELD)

    async def _claim_and_run(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, dispatcher: Dispatcher
    ) -> KeptAnswer | None:
        """Returns the answer, or None if another holder released the key meanwhile."""
        # The slot comes first, so that no grant is used up by a request that cannot be served.
        try:
            assigned = await self._handler.acquire(plan, dispatcher, 1, frozenset())
        except Refusal as refusal:
            return await self._refuse(plan, refusal)
        claimed = False
        try:
            self._kept.begin(plan.request)
            decision = await self._keys.claim(plan.key, plan.request)
            claimed = decision.decision == "granted"
        finally:
            if not claimed:
                dispatcher.release(assigned)
                self._release(plan)
        if claimed:
            return await self._run_granted(request, plan, body, dispatcher, assigned)
        if decision.decision == "held":
            holder = Grant(decision.holder_request, decision.holder, decision.holder_incarnation)
            return await self._await_holder(plan, holder)
        if decision.decision == "unsafe":
            raise Refusal(Outcome.NOT_RUN, Reason.KEY_UNSAFE, verified=True)
        raise Refusal(Outcome.UNKNOWN, Reason.KEY_OWNER)

    async def _refuse(self, plan: Plan, refusal: Refusal) -> KeptAnswer | None:
        """Refuses a request before it claimed its key, or gives the answer of an earlier one.

        An earlier request with the key may have run, so ``not-run`` needs the owner's word.
        """
        decision = await self._keys.peek(plan.key, plan.request)
        if decision.decision == "free":
            refusal.verified = True
            raise refusal
        if decision.decision == "held":
            holder = Grant(decision.holder_request, decision.holder, decision.holder_incarnation)
            return await self._await_holder(plan, holder)
        raise Refusal(Outcome.UNKNOWN, refusal.reason, retry_after=refusal.retry_after)

    def _release(self, plan: Plan) -> None:
        """Lets others know that this request was not dispatched and never will be."""
        released = KeptAnswer(503, [], b"", Outcome.NOT_RUN, released=True)
        self._kept.finish(plan.request, released)

    async def _run_granted(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        dispatcher: Dispatcher,
        assigned: Assigned,
    ) -> KeptAnswer:
        answer = KeptAnswer(502, [], b"", Outcome.UNKNOWN)
        try:
            answer = await self._handler.attempt_until_answered(
                request, plan, body, dispatcher, first=assigned
            )
            return answer
        except Refusal as refusal:
            refusal.verified = True
            if refusal.outcome is Outcome.NOT_RUN:
                answer = KeptAnswer(503, [], b"", Outcome.NOT_RUN, released=True)
            raise
        finally:
            self._kept.finish(plan.request, answer)
            status = RELEASED if answer.released else answer.status
            self._keys.finish(plan.key, plan.request, status)

    async def _await_holder(self, plan: Plan, holder: Grant) -> KeptAnswer | None:
        """Returns the answer of the request that has the key, or None if it released the key.

        Raises
        ------
        Refusal
            With the outcome ``unknown`` if the answer cannot be had.
        """
        remaining = plan.deadline - self._clock.elapsed()
        if holder.member == self._settings.member:
            answer = await self._kept.wait(holder.request, remaining)
        else:
            answer = await self._ask_holder(holder, remaining)
        if answer is None or (answer.outcome is Outcome.UNKNOWN and not answer.released):
            raise Refusal(Outcome.UNKNOWN, Reason.KEY_HELD)
        if answer.released:
            self._keys.finish(plan.key, holder.request, RELEASED)
            await self._clock.sleep(self._settings.options.heartbeat)
            return None
        return answer

    async def _ask_holder(self, holder: Grant, remaining: timedelta) -> KeptAnswer | None:
        address = self._find_address(holder.member)
        if address is None:
            return None
        seconds = max(0.0, remaining.total_seconds())
        url = f"http://{address}/v1/kept/{holder.request}?wait={seconds:.3f}"
        timeout = aiohttp.ClientTimeout(total=seconds + GRACE_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                return decode_kept(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError, ValueError):
            return None

    def _find_address(self, member: str) -> str | None:
        known = self._reader.folded.members.get(member)
        return known.caller_address if known else self._peers.caller_addresses.get(member)

    async def on_shutdown(self) -> None:
        await self._session.close()
