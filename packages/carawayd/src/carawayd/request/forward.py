"""Forwarding of requests to other entry hosts."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayd.request.answers import REQUEST_HEADER, CachedResponse, Reason, Refusal
from carawayd.request.attempt import FailedAttempt, build_response
from carawayd.request.plan import HOPS_HEADER
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    import random

    from aiohttp import web

    from carawayd.process.peers import Peers, PeerState
    from carawayd.process.settings import Settings
    from carawayd.request.attempt import AttemptRunner
    from carawayd.request.body import RequestBody
    from carawayd.request.plan import Plan
    from carawayshore.clock import Clock

MAX_HOPS = 1
# A request is forwarded only if this much time is left, for the round trip to another data centre.
MIN_REMAINING_TIME = timedelta(milliseconds=20)
# How long the state of an ended request is kept, so that its sender can query it.
STATE_RETENTION = timedelta(seconds=60)


class Forwarder:
    """Sends requests to other entry hosts.

    Parameters
    ----------
    attempts : AttemptRunner
    peers : Peers
    settings : Settings
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        attempts: AttemptRunner,
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

    def _choose_peer(self, *, same_data_centre: bool) -> PeerState | None:
        own_data_centre = self._settings.data_centre
        ready = [
            peer
            for peer in self._peers.list_live()
            if peer.heartbeat.ready
            and (peer.header.data_centre == own_data_centre) is same_data_centre
        ]
        if not ready:
            return None
        # The less loaded of two random peers: if every entry host chose the least loaded one, all
        # would send their requests to the same peer.
        chosen = self._rng.sample(ready, min(2, len(ready)))
        return min(chosen, key=lambda peer: sum(peer.heartbeat.loads.values()))

    async def forward_to_peer(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody
    ) -> web.StreamResponse:
        """Sends a request to a ready peer, in the own data centre if there is one there.

        Raises
        ------
        Refusal
            If no peer can serve the request, or with the outcome ``unknown`` if a response was
            lost.
        """
        refusal = Refusal(Outcome.NOT_RUN, Reason.NOT_READY)
        peer = self._choose_peer(same_data_centre=True) or self._choose_peer(same_data_centre=False)
        response = await self._forward(request, plan, body, peer, refusal)
        return (
            build_response(response, request) if isinstance(response, CachedResponse) else response
        )

    async def forward_to_other_data_centre(
        self, request: web.BaseRequest, plan: Plan, body: RequestBody, refusal: Refusal
    ) -> CachedResponse | web.StreamResponse:
        """Sends a request to another data centre.

        Raises
        ------
        Refusal
            ``refusal`` if no other data centre can serve the request, or a Refusal with the outcome
            ``unknown`` if a response was lost.
        """
        return await self._forward(
            request, plan, body, self._choose_peer(same_data_centre=False), refusal
        )

    async def _forward(
        self,
        request: web.BaseRequest,
        plan: Plan,
        body: RequestBody,
        peer: PeerState | None,
        refusal: Refusal,
    ) -> CachedResponse | web.StreamResponse:
        remaining = plan.deadline - self._clock.elapsed()
        if peer is None or plan.hops >= MAX_HOPS or remaining < MIN_REMAINING_TIME:
            raise refusal
        member = peer.header.member
        address = self._peers.caller_addresses[member]
        identifier = f"{plan.request}.forward"
        outgoing = self._attempts.build_outgoing_request(
            request,
            plan,
            body,
            address,
            {REQUEST_HEADER: identifier, HOPS_HEADER: str(plan.hops + 1)},
        )
        result = await self._attempts.exchange(
            request, plan, outgoing, identifier, f"entry {member}", address, buffered=False
        )
        if isinstance(result, FailedAttempt):
            if result.outcome is Outcome.NOT_RUN:
                raise refusal
            raise Refusal(result.outcome, result.reason, status=502, detail=result.detail)
        if isinstance(result, CachedResponse):
            return self._set_missing_outcome(result)
        return result

    def _set_missing_outcome(self, response: CachedResponse) -> CachedResponse:
        """Returns the response, with the outcome ``unknown`` if it has no outcome header."""
        names = [name.lower() for name, _ in response.headers]
        if OUTCOME_HEADER.lower() not in names:
            return response._replace(outcome=Outcome.UNKNOWN)
        return response


class ForwardedRequests:
    """States of the requests that other entry hosts forwarded here, which their probes ask for.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: set[str] = set()
        self._ended: OrderedDict[str, tuple[timedelta, str]] = OrderedDict()

    def begin(self, request: str) -> bool:
        """Records the start of a forwarded request; returns False if it has been revoked."""
        ended = self._ended.get(request)
        if ended is not None and ended[1] == "not-run":
            return False
        self._running.add(request)
        return True

    def finish(self, request: str) -> None:
        """Records the end of a forwarded request."""
        self._running.discard(request)
        self._record_state(request, "finished")

    def revoke(self, request: str) -> str:
        """Returns the state of a request; one that has not started cannot start after this call."""
        if request in self._running:
            return "running"
        if request not in self._ended:
            self._record_state(request, "not-run")
        return self._ended[request][1]

    def _record_state(self, request: str, state: str) -> None:
        self._ended[request] = (self._clock.elapsed(), state)
        cutoff = self._clock.elapsed() - STATE_RETENTION
        while next(iter(self._ended.values()))[0] < cutoff:
            self._ended.popitem(last=False)

    def list_running(self) -> list[str]:
        return sorted(self._running)

    def list_finished(self) -> list[str]:
        return [name for name, (_, state) in self._ended.items() if state == "finished"]
