"""Forwarding of job calls to the home data centre of the job, which owns its name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from carawayd.request.answers import REASON_HEADER, Reason, Refusal
from carawayd.request.plan import HOPS_HEADER
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayd.process.daemon import Components

# Added to the longest time that the other side may wait.
RESPONSE_MARGIN_SECONDS = 5.0
MAX_PEERS_TRIED = 2
FORWARDED_HEADERS = (OUTCOME_HEADER, REASON_HEADER, "Retry-After", "Content-Type")


def _list_addresses(components: Components, home: str) -> list[str]:
    """Returns the caller addresses of up to ``MAX_PEERS_TRIED`` random ready peers of ``home``."""
    ready = [
        components.peers.caller_addresses[peer.header.member]
        for peer in components.peers.list_live(data_centre=home)
        if peer.heartbeat.ready
    ]
    return components.rng.sample(ready, min(MAX_PEERS_TRIED, len(ready)))


async def _call(
    session: aiohttp.ClientSession, request: web.BaseRequest, address: str, data: bytes
) -> web.Response:
    url = f"http://{address}{request.raw_path}"
    headers = {HOPS_HEADER: "1"}
    async with session.request(request.method, url, data=data or None, headers=headers) as answer:
        response_headers = {
            name: answer.headers[name] for name in FORWARDED_HEADERS if name in answer.headers
        }
        return web.Response(
            body=await answer.read(), status=answer.status, headers=response_headers
        )


async def forward_job(
    components: Components,
    request: web.BaseRequest,
    home: str,
    *,
    data: bytes = b"",
    wait: float = 0.0,
) -> web.Response:
    """Sends a job call to the job's home data centre and returns the response from there.

    Parameters
    ----------
    components : Components
    request : BaseRequest
    home : str
        Data centre that owns the job's name.
    data : bytes
        Body of the call.
    wait : float
        Seconds that the other side may wait for the end of the job.

    Raises
    ------
    Refusal
        If no entry host there can be reached, the response was lost, or the call has been forwarded
        before.
    """
    if HOPS_HEADER in request.headers:
        detail = f"the job belongs to data centre {home!r}, the sender has another configuration"
        raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY, detail=detail)
    longest = (
        components.settings.options.append_wait.total_seconds() + wait + RESPONSE_MARGIN_SECONDS
    )
    timeout = aiohttp.ClientTimeout(total=longest, connect=1.0)
    # A pooled connection may be silent (its packets are lost without an error), so open a new one
    # for each call.
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in _list_addresses(components, home):
            try:
                return await _call(session, request, address, data)
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                outcome = Outcome.NOT_RUN if request.method == "GET" else Outcome.UNKNOWN
                detail = f"no answer from data centre {home!r}: {error!r}"
                raise Refusal(outcome, Reason.LOST_ANSWER, status=504, detail=detail) from error
    detail = f"no entry host of data centre {home!r} can be reached"
    raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY, detail=detail)
