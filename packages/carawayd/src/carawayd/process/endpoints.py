"""HTTP endpoints of an entry host for callers, other entry hosts and the balancer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from aiohttp import web

from carawayd.request.answers import REQUEST_HEADER, Reason, Refusal, build_refusal
from carawayd.request.keyed import encode_cached_response
from carawayd.request.plan import HOPS_HEADER, PREFIX
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayd.process.daemon import Components

Endpoint = Callable[["CallerEndpoints", web.BaseRequest, list[str]], Awaitable[web.StreamResponse]]

MAX_WAIT = timedelta(seconds=300)

_endpoints: dict[tuple[str, str], Endpoint] = {}


def endpoint(method: str, pattern: str):
    """Registers a function for a path pattern; ``*`` matches one segment."""

    def register(function: Endpoint) -> Endpoint:
        _endpoints[method, pattern] = function
        return function

    return register


def _find_endpoint(method: str, path: str) -> tuple[Endpoint | None, list[str], bool]:
    """Returns the endpoint, the segments that match ``*``, and whether another method exists."""
    segments = path.strip("/").split("/")
    has_other_method = False
    for (known_method, pattern), function in _endpoints.items():
        parts = pattern.strip("/").split("/")
        if len(parts) != len(segments):
            continue
        if all(part in ("*", segment) for part, segment in zip(parts, segments, strict=True)):
            if known_method == method:
                found = [s for p, s in zip(parts, segments, strict=True) if p == "*"]
                return function, found, False
            has_other_method = True
    return None, [], has_other_method


def read_wait(request: web.BaseRequest) -> timedelta:
    """Returns the value of the query parameter ``wait``, 0 if it is absent.

    Raises
    ------
    Refusal
        If it is not a number of seconds from 0 to ``MAX_WAIT``.
    """
    text = request.query.get("wait", "0")
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= MAX_WAIT.total_seconds():
        accepted = f"0 to {MAX_WAIT.total_seconds():g}"
        raise Refusal(
            Outcome.NOT_RUN,
            Reason.BAD_REQUEST,
            status=400,
            detail=f"wait is {text!r}, accepted: {accepted} s",
        )
    return timedelta(seconds=seconds)


class CallerEndpoints:
    """Serves the HTTP address for callers.

    Parameters
    ----------
    components : Components
    """

    def __init__(self, components: Components) -> None:
        self.components = components

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one HTTP request."""
        if request.raw_path.startswith(PREFIX):
            return await self._serve_service(request)
        function, segments, has_other_method = _find_endpoint(request.method, request.path)
        if function is None:
            status = 405 if has_other_method else 404
            paths = sorted({f"{method} {pattern}" for method, pattern in _endpoints})
            detail = f"{request.method} {request.path} does not exist, accepted: {paths}"
            refusal = Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=status, detail=detail)
            return build_refusal(refusal)
        try:
            return await function(self, request, segments)
        except Refusal as refusal:
            self.components.metrics.refusals.labels(
                request.path.split("/")[2], refusal.reason
            ).inc()
            return build_refusal(refusal)

    async def _serve_service(self, request: web.BaseRequest) -> web.StreamResponse:
        forwarded = HOPS_HEADER in request.headers and request.headers.get(REQUEST_HEADER)
        if not forwarded:
            return await self.components.handler.handle(request)
        if not self.components.inbound.begin(forwarded):
            return build_refusal(Refusal(Outcome.NOT_RUN, Reason.CANCELLED))
        try:
            return await self.components.handler.handle(request)
        finally:
            self.components.inbound.finish(forwarded)


@endpoint("GET", "/v1/ready")
async def _get_ready(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    reason = endpoints.components.find_unready_reason()
    return web.json_response({"ready": not reason, "reason": reason}, status=503 if reason else 200)


@endpoint("POST", "/v1/tickets")
async def _issue_ticket(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    endpoints.components.handler.find_version()
    ticket = endpoints.components.keys.issue_ticket()
    headers = {OUTCOME_HEADER: Outcome.COMPLETED.value}
    return web.json_response({"ticket": str(ticket)}, status=201, headers=headers)


@endpoint("GET", "/v1/kept/*")
async def _get_kept_answer(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    answer = await endpoints.components.response_cache.wait(segments[0], read_wait(request))
    if answer is None:
        return web.json_response({"error": "the answer is not kept here"}, status=404)
    return web.Response(body=encode_cached_response(answer), content_type="application/json")


@endpoint("GET", "/v1/status")
async def _get_status(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    """Returns the status in a worker's format, for the silence probes of other entry hosts."""
    components = endpoints.components
    return web.json_response(
        {
            "host": components.settings.member,
            "pool": "",
            "draining": components.membership.stopping,
            "slots": 0,
            "in_use": components.handler.in_progress,
            "running": components.inbound.list_running(),
            "finished": components.inbound.list_finished(),
            "tasks": [],
        }
    )


@endpoint("POST", "/v1/requests/*/revoke")
async def _revoke(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    return web.json_response({"state": endpoints.components.inbound.revoke(segments[0])})
