"""Bodies of requests and answers, streamed with bounded memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from carawayd.request.answers import Reason, Refusal
from carawayshore.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from datetime import timedelta

    from carawayd.process.settings import Options

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
    }
)


def copy_headers(headers) -> CIMultiDict[str]:
    """Returns the headers that concern the message and not one connection."""
    connection = headers.get("Connection")
    left_out = HOP_BY_HOP
    if connection is not None:
        left_out = left_out.union(name.strip().lower() for name in connection.split(","))
    return CIMultiDict(
        [(name, value) for name, value in headers.items() if name.lower() not in left_out]
    )


class RequestBody:
    """Body of a caller's request: kept whole if it is small, else streamed once.

    Parameters
    ----------
    request : web.BaseRequest
    options : Options
    """

    def __init__(self, request: web.BaseRequest, options: Options) -> None:
        self._request = request
        self._limit = options.max_request_bytes
        self._replay_limit = options.replay_bytes
        self._data: bytes | None = None
        self._streamed = False
        length = request.content_length
        if length is not None and length > self._limit:
            raise self._refuse_size(length)

    def _refuse_size(self, length: int) -> Refusal:
        detail = f"the body has {length} bytes or more, accepted: up to {self._limit}"
        return Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=413, detail=detail)

    @property
    def can_send(self) -> bool:
        """Whether the body can be sent (again)."""
        return self._data is not None or not self._streamed

    async def prepare(self, remaining: timedelta) -> None:
        """Reads a small body, so that it can be sent more than once.

        Raises
        ------
        Refusal
            If the caller does not send it in time.
        """
        if not self._request.body_exists:
            self._data = b""
            return
        length = self._request.content_length
        if length is None or length > self._replay_limit:
            return
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                self._data = await self._request.content.readexactly(length)
        except TimeoutError:
            raise Refusal(Outcome.NOT_RUN, Reason.DEADLINE, status=408) from None
        except asyncio.IncompleteReadError as error:
            detail = f"the body ends after {len(error.partial)} of {length} bytes"
            raise Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=400, detail=detail) from None

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body for one attempt."""
        if self._data is not None:
            return self._data or None
        self._streamed = True
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        sent = 0
        async for piece in self._request.content.iter_any():
            sent += len(piece)
            if sent > self._limit:
                raise self._refuse_size(sent)
            yield piece
