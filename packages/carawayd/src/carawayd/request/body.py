"""Bodies and headers of forwarded messages; bodies are streamed with bounded memory."""

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
    """Returns the end-to-end headers, without those that apply to one connection only."""
    connection = headers.get("Connection")
    excluded = HOP_BY_HOP
    if connection is not None:
        excluded = excluded.union(name.strip().lower() for name in connection.split(","))
    return CIMultiDict(
        [(name, value) for name, value in headers.items() if name.lower() not in excluded]
    )


class RequestBody:
    """Body of a caller's request: buffered if it is small, so that it can be resent, else streamed.

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
            raise self._build_size_refusal(length)

    def _build_size_refusal(self, length: int) -> Refusal:
        detail = f"the body has {length} bytes or more, accepted: up to {self._limit}"
        return Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=413, detail=detail)

    @property
    def can_send(self) -> bool:
        """Whether the body can still be sent: it is buffered or has not been streamed yet."""
        return self._data is not None or not self._streamed

    @property
    def can_resend(self) -> bool:
        """Whether the body is buffered, so that another attempt could send it again."""
        return self._data is not None

    async def prepare(self, remaining: timedelta) -> None:
        """Buffers a small body, so that it can be sent more than once.

        Raises
        ------
        Refusal
            If the caller does not send it completely within ``remaining``.
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
        """Returns the body for one attempt, or None if it is empty."""
        if self._data is not None:
            return self._data or None
        self._streamed = True
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        sent = 0
        async for chunk in self._request.content.iter_any():
            sent += len(chunk)
            if sent > self._limit:
                raise self._build_size_refusal(sent)
            yield chunk
