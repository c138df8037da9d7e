"""What aiohttp sees of a caller's connection, and what it tells the connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

if TYPE_CHECKING:
    import asyncio

    from carawayd.connection.callers import CallerConnection


async def read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Returns the body, None if it exceeds the limit, which a compressed one may do.

    The exception that ``request.read`` raises then keeps the body alive until a garbage collection.
    """
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


class HandlerTransport:
    """Transport as the handler of aiohttp sees it: its reading pauses only the passing on."""

    __slots__ = (
        "_connection",
        "_transport",
        "write",
        "writelines",
        "is_closing",
        "get_extra_info",
        "close",
        "abort",
    )

    def __init__(self, connection: CallerConnection, transport: asyncio.Transport) -> None:
        self._connection = connection
        self._transport = transport
        self.write = transport.write
        self.writelines = transport.writelines
        self.is_closing = transport.is_closing
        self.get_extra_info = transport.get_extra_info
        self.close = transport.close
        self.abort = transport.abort

    def pause_reading(self) -> None:
        self._connection.pause_handler()

    def resume_reading(self) -> None:
        self._connection.resume_handler()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class CallerRequestHandler(RequestHandler):
    """Handler of aiohttp that reports the end of each response to its connection."""

    __slots__ = ("connection",)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Refuses what is framed correctly and malformed otherwise, without a log line for each."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self.connection.count_malformed()
        response = web.Response(
            status=status,
            body=msgspec.json.encode({"error": message or "the request is malformed"}),
            content_type="application/json",
        )
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        finished, reset = await super().finish_response(request, resp, start_time)
        if not reset and finished.keep_alive:
            self.connection.finish_request()
        return finished, reset
