"""Forwarding of job calls to the data centre that owns the name of the job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from carawayd.request.answers import REASON_HEADER, Reason, Refusal
from carawayd.request.plan import HOPS_HEADER
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayd.process.daemon import Parts

# Added to the longest wait of the other side, in seconds.
ANSWER_MARGIN = 5.0
MAX_PEERS_TRIED = 2
KEPT_HEADERS = (OUTCOME_HEADER, REASON_HEADER, "Retry-After", "Content-Type")


def _list_addresses(parts: Parts, home: str) -> list[str]:
    """Returns caller addresses of ready peers of ``home``, in a random order."""
    ready = [
        parts.peers.caller_addresses[peer.header.member]
        for peer in parts.peers.list_live(data_centre=home)
        if peer.heartbeat.ready
    ]
    return parts.rng.sample(ready, min(MAX_PEERS_TRIED, len(ready)))


async def _call(
    session: aiohttp.ClientSession, request: web.BaseRequest, address: str, data: bytes
) -> web.Response:
    url = f"http://{address}{request.raw_path}"
    headers = {HOPS_HEADER: "1"}
    async with session.request(request.method, url, data=data or None, headers=headers) as answer:
        kept = {name: answer.headers[name] for name in KEPT_HEADERS if name in answer.headers}
        return web.Response(body=await answer.read(), status=answer.status, headers=kept)


async def forward_job(
    parts: Parts, request: web.BaseRequest, home: str, *, data: bytes = b"", wait: float = 0.0
) -> web.Response:
    """Sends a job call to its home data centre and returns the answer from there.

    Parameters
    ----------
    parts : Parts
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
        If no entry host there can be reached, or the answer was lost.
    """
    if HOPS_HEADER in request.headers:
        detail = f"the job belongs to data centre {home!r}, the sender has another configuration"
        raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY, detail=detail)
    longest = parts.settings.options.append_wait.total_seconds() + wait + ANSWER_MARGIN
    timeout = aiohttp.ClientTimeout(total=longest, connect=1.0)
    # A new connection each time cannot have gone silent.
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in _list_addresses(parts, home):
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
