"""Forwarding of requests to other entry hosts."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayd.request.answers import REQUEST_HEADER, KeptAnswer, Reason, Refusal
from carawayd.request.attempt import Unanswered, build_answer
from carawayd.request.plan import HOPS_HEADER
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    import random

    from aiohttp import web

    from carawayd.process.peers import Peers, PeerState
    from carawayd.process.settings import Settings
    from carawayd.request.attempt import Attempts
    from carawayd.request.body import RequestBody
    from carawayd.request.plan import Plan
    from carawayshore.clock import Clock

MAX_HOPS = 1
# Time that another data centre needs at least, for the way there and back.
LEAST_REMAINING = timedelta(milliseconds=20)
REMEMBERED = timedelta(seconds=60)


class Forwarder:
    """Sends requests to other entry hosts.

    Parameters
    ----------
    attempts : Attempts
    peers : Peers
    settings : Settings
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        attempts: Attempts,
        *,
        peers: Peers,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._attempts = attempts
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._rng = rng

    def _choose_peer(self, *, home: bool) -> PeerState | None:
        own = self._settings.data_centre
        ready = [
            peer
            for peer in self._peers.list_live()
            if peer.heartbeat.ready and (peer.header.data_centre == own) is home
        ]
        if not ready:
            return None
        # The less loaded of two random peers; the best one would draw everybody's requests.
        chosen = self._rng.sample(ready, min(2, len(ready)))
        return min(chosen, key=lambda peer: sum(peer.heartbeat.loads.values()))

    async def forward_home(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody
    ) -> web.StreamResponse:
        """Sends a request to a joined peer of the own data centre."""
        refusal = Refusal(Outcome.NOT_RUN, Reason.NOT_READY)
        peer = self._choose_peer(home=True) or self._choose_peer(home=False)
        answer = await self._forward(request, plan, body, peer, refusal)
        return build_answer(answer, request) if isinstance(answer, KeptAnswer) else answer

    async def forward_away(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, refusal: Refusal
    ) -> KeptAnswer | web.StreamResponse:
        """Sends a request to another data centre.

        Raises
        ------
        Refusal
            The given one if no other data centre can serve the request, or with the outcome
            ``unknown`` if an answer was lost.
        """
        return await self._forward(request, plan, body, self._choose_peer(home=False), refusal)

    async def _forward(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        peer: PeerState | None,
        refusal: Refusal,
    ) -> KeptAnswer | web.StreamResponse:
        remaining = plan.deadline - self._clock.elapsed()
        if peer is None or plan.hops >= MAX_HOPS or remaining < LEAST_REMAINING:
            raise refusal
        member = peer.header.member
        address = self._peers.caller_addresses[member]
        identifier = f"{plan.request}.forward"
        outgoing = self._attempts.build_outgoing(
            request,
            plan,
            body,
            address,
            {REQUEST_HEADER: identifier, HOPS_HEADER: str(plan.hops + 1)},
        )
        result = await self._attempts.exchange(
            request, plan, outgoing, identifier, f"entry {member}", address, whole=False
        )
        if isinstance(result, Unanswered):
            if result.outcome is Outcome.NOT_RUN:
                raise refusal
            raise Refusal(result.outcome, result.reason, status=502, detail=result.detail)
        if isinstance(result, KeptAnswer):
            return self._pass_on(result)
        return result

    def _pass_on(self, answer: KeptAnswer) -> KeptAnswer:
        names = [name.lower() for name, _ in answer.headers]
        if OUTCOME_HEADER.lower() not in names:
            return answer._replace(outcome=Outcome.UNKNOWN)
        return answer


class Inbound:
    """Requests that other entry hosts forwarded here, for their silence probes.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: set[str] = set()
        self._ended: OrderedDict[str, tuple[timedelta, str]] = OrderedDict()

    def begin(self, request: str) -> bool:
        """Notes the start of a forwarded request; returns false if it was revoked before."""
        ended = self._ended.get(request)
        if ended is not None and ended[1] == "not-run":
            return False
        self._running.add(request)
        return True

    def finish(self, request: str) -> None:
        """Notes the end of a forwarded request."""
        self._running.discard(request)
        self._note(request, "finished")

    def revoke(self, request: str) -> str:
        """Returns the state of a request, which does not start any more."""
        if request in self._running:
            return "running"
        if request not in self._ended:
            self._note(request, "not-run")
        return self._ended[request][1]

    def _note(self, request: str, state: str) -> None:
        self._ended[request] = (self._clock.elapsed(), state)
        oldest = self._clock.elapsed() - REMEMBERED
        while next(iter(self._ended.values()))[0] < oldest:
            self._ended.popitem(last=False)

    def list_running(self) -> list[str]:
        return sorted(self._running)

    def list_finished(self) -> list[str]:
        return [name for name, (_, state) in self._ended.items() if state == "finished"]
