"""Base of the platform clients: an HTTP session each, typed errors, a timeout for every call."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from carawayshore.decoding import MalformedDocument, convert, decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.process.settings import Settings

# The only server error after which nothing was done.
SERVICE_UNAVAILABLE = 503
# Responses to a call that is malformed or too large.
FINAL_STATUSES = frozenset({400, 413})
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
RETRY_AFTER = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
MAX_RETRY_AFTER_SECONDS = 3_600.0
# Longer than the intervals between calls to one service, so that connections are reused.
KEEPALIVE_SECONDS = 60.0
# Delay before a replaced session is closed; its pending calls time out within this.
SESSION_CLOSE_DELAY_SECONDS = 10.0


class PlatformError(Exception):
    """A call failed, and it is unknown whether it took effect."""


class PlatformTimedOut(PlatformError):
    """There was no response in time; the call may still be carried out later."""


class PlatformUnreached(PlatformError):
    """The request was not sent, so the call had no effect."""


class PermissionEnded(PlatformUnreached):
    """The caller's permission ended before the request was sent."""


class PlatformFailure(PlatformError):
    """The service responded with a server error; it is unknown whether the call took effect."""


class PlatformRefusal(PlatformError):
    """The service rejected the call, which had no effect.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    document : Any
        Decoded JSON of the response, or None.
    retry_after : float
        Seconds after which the call may be repeated, 0 if the response does not say.
    """

    def __init__(self, status: int, document: Any, retry_after: float = 0.0) -> None:
        super().__init__(f"the service answered with status {status}: {document!r}")
        self.status = status
        self.document = document
        self.retry_after = retry_after

    @property
    def is_final(self) -> bool:
        """Whether the call itself is at fault, so that repeating it cannot succeed."""
        return self.status in FINAL_STATUSES

    @property
    def reason(self) -> str:
        """Reason that the service gave, empty if it gave none."""
        reason = self.document.get("reason") if isinstance(self.document, dict) else None
        return reason if isinstance(reason, str) else ""


class _Attempt:
    """State of one request: the permission to send it, and whether sending has begun."""

    __slots__ = ("may_send", "sent")

    def __init__(self, may_send: Callable[[], bool] | None) -> None:
        self.may_send = may_send
        self.sent = False


_current_attempt: ContextVar[_Attempt] = ContextVar("attempt")


class _GuardedRequest(aiohttp.ClientRequest):
    """Request that is sent only if its permission still holds once a connection is available."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        attempt = _current_attempt.get()
        if attempt.may_send is not None and not attempt.may_send():
            raise PermissionEnded(f"{self.method} {self.url.path}: the permission to send ended")
        attempt.sent = True
        return await super().send(conn)


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Opens a socket that discards unsent data when it is closed.

    Otherwise, the system would deliver a request that has timed out once a partition heals.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return opened


class PlatformClient:
    """HTTP client of one service of the platform."""

    # True for clients that open a new connection for each call, since an idle one may be dead.
    force_close = False

    def __init__(self, url: str, settings: Settings) -> None:
        self.url = url.rstrip("/")
        self.settings = settings
        self._session = self._open_session()

    def _open_session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=self.settings.options.log_timeout.total_seconds())
        if self.force_close:
            connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_open_socket)
        else:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEPALIVE_SECONDS, socket_factory=_open_socket
            )
        return aiohttp.ClientSession(
            timeout=timeout, connector=connector, request_class=_GuardedRequest
        )

    async def close(self) -> None:
        await self._session.close()

    def _replace_session(self) -> None:
        """Replaces the session after a timeout, since all its pooled connections may be dead."""
        stale, self._session = self._session, self._open_session()
        asyncio.get_running_loop().call_later(
            SESSION_CLOSE_DELAY_SECONDS, lambda: asyncio.ensure_future(stale.close())
        )

    async def send_request(
        self,
        method: str,
        path: str,
        *,
        data: bytes | None = None,
        timeout: float | None = None,
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Sends one request and returns the response with its complete body.

        Parameters
        ----------
        method, path : str
        data : bytes, optional
        timeout : float, optional
            Seconds for the whole call.
        headers : dict of str to str, optional
        may_send : callable, optional
            Returns whether the request may still be sent; called once a connection is available.

        Raises
        ------
        PlatformUnreached
            If the request was not sent.
        PlatformError
            If there was no complete response.
        """
        extra: dict[str, Any] = {"headers": headers, "data": data}
        if timeout:
            extra["timeout"] = aiohttp.ClientTimeout(total=timeout)
        session = self._session
        attempt = _Attempt(may_send)
        _current_attempt.set(attempt)
        try:
            async with session.request(method, self.url + path, **extra) as response:
                body = await response.content.read(MAX_RESPONSE_BYTES)
                while chunk := await response.content.read(MAX_RESPONSE_BYTES):
                    body += chunk
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise PlatformError(
                            f"response of {path} exceeds {MAX_RESPONSE_BYTES} bytes"
                        )
                return response, body
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnreached(f"{method} {path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            # A ValueError tells of an address, header or response that the HTTP library rejects.
            if isinstance(error, TimeoutError) and session is self._session:
                self._replace_session()
            kind = PlatformTimedOut if isinstance(error, TimeoutError) else PlatformError
            if not attempt.sent:
                kind = PlatformUnreached
            raise kind(f"{method} {path}: {type(error).__name__}: {error}") from error

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        timeout: float | None = None,
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] | None = None,
        kind: Any = Any,
    ) -> Any:
        """Calls the service and returns the decoded JSON of the response.

        The other parameters are those of :meth:`send_request`.

        Parameters
        ----------
        kind : Any, optional
            Type of the response.

        Raises
        ------
        PlatformRefusal
            If the service rejected the call, with a status of 400 to 499, or 503.
        PlatformUnreached
            If the request was not sent.
        PlatformError
            If there was no valid response.
        """
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers = {**(headers or {}), "Content-Type": "application/json"}
        response, text = await self.send_request(
            method, path, data=data, timeout=timeout, headers=headers, may_send=may_send
        )
        return self._decode_response(response, text, kind)

    def _decode_response(
        self, response: aiohttp.ClientResponse, data: bytes, kind: Any = Any
    ) -> Any:
        if response.status >= 400:
            self._raise_refusal(response, data)
        if not data and kind is Any:
            return None
        return decode_response(data, kind)

    def _raise_refusal(self, response: aiohttp.ClientResponse, data: bytes) -> None:
        if response.status >= 500 and response.status != SERVICE_UNAVAILABLE:
            raise PlatformFailure(f"the service failed with status {response.status}")
        try:
            document = decode_json(data)
        except MalformedDocument:
            document = None
        retry_after = _parse_retry_after(response.headers.get("Retry-After", ""))
        raise PlatformRefusal(response.status, document, retry_after)


def decode_response(data: bytes, kind: Any) -> Any:
    """Returns the JSON of a response; raises PlatformError if it is malformed."""
    try:
        return decode_json(data, kind)
    except MalformedDocument as error:
        raise PlatformError(f"malformed response: {error}") from error


def convert_response(document: Any, kind: Any) -> Any:
    """Returns a decoded response as the type ``kind``; raises PlatformError if it has another."""
    try:
        return convert(document, kind)
    except MalformedDocument as error:
        raise PlatformError(f"malformed response: {error}") from error


def _parse_retry_after(text: str) -> float:
    if not RETRY_AFTER.fullmatch(text):
        return 0.0
    return min(float(text), MAX_RETRY_AFTER_SECONDS)
