"""Base of the platform clients: one HTTP session each, typed errors, a timeout on every call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

if TYPE_CHECKING:
    from carawayd.process.settings import Settings

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Longer than the pauses between calls to one service, so that connections are reused.
KEEPALIVE_SECONDS = 60.0
# Calls in progress on an abandoned session end within their own timeouts before this.
ABANDONED_SECONDS = 10.0


class PlatformError(Exception):
    """A call failed, and it is not known whether it took effect."""


class PlatformUnreached(PlatformError):
    """No connection was made, so the call had no effect."""


class PlatformRefusal(PlatformError):
    """The service answered that it did not do what was asked.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    document : Any
        Parsed JSON of the answer, or None.
    retry_after : float
        Seconds after which the call may succeed, 0 if the answer does not tell.
    """

    def __init__(self, status: int, document: Any, retry_after: float = 0.0) -> None:
        super().__init__(f"the service answered with status {status}: {document!r}")
        self.status = status
        self.document = document
        self.retry_after = retry_after


class PlatformClient:
    """One service of the platform."""

    # True where a call must not reuse a connection that may have gone silent.
    force_close = False

    def __init__(self, url: str, settings: Settings) -> None:
        self.url = url.rstrip("/")
        self.settings = settings
        self._session = self._open_session()

    def _open_session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=self.settings.options.log_timeout.total_seconds())
        if self.force_close:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
        else:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
        return aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        await self._session.close()

    def _replace_session(self) -> None:
        """Abandons pooled connections, which may all have gone silent like the one that did."""
        stale, self._session = self._session, self._open_session()
        asyncio.get_running_loop().call_later(
            ABANDONED_SECONDS, lambda: asyncio.ensure_future(stale.close())
        )

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        data: bytes | None = None,
        timeout: float | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Sends one call and returns the answer with its whole body.

        Raises
        ------
        PlatformUnreached
            If no connection was made.
        PlatformError
            If there was no whole answer.
        """
        extra: dict[str, Any] = {"headers": headers, "data": data}
        if timeout:
            extra["timeout"] = aiohttp.ClientTimeout(total=timeout)
        session = self._session
        try:
            async with session.request(method, self.url + path, **extra) as answer:
                body = await answer.content.read(MAX_ANSWER_BYTES)
                while chunk := await answer.content.read(MAX_ANSWER_BYTES):
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        raise PlatformError(f"answer of {path} exceeds {MAX_ANSWER_BYTES} bytes")
                return answer, body
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnreached(f"{method} {path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if isinstance(error, TimeoutError) and session is self._session:
                self._replace_session()
            raise PlatformError(f"{method} {path}: {type(error).__name__}: {error}") from error

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        timeout: float | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Calls the service and returns the parsed answer.

        Raises
        ------
        PlatformRefusal
            If the service answered with a status of 400 or more.
        PlatformError
            If there was no valid answer.
        """
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers = {**(headers or {}), "Content-Type": "application/json"}
        answer, text = await self.exchange(
            method, path, data=data, timeout=timeout, headers=headers
        )
        return self._read_answer(answer, text)

    def _read_answer(self, answer: aiohttp.ClientResponse, data: bytes) -> Any:
        try:
            document = msgspec.json.decode(data) if data else None
        except msgspec.DecodeError as error:
            if answer.status < 400:
                raise PlatformError(f"answer is not JSON: {error}") from error
            document = None
        if answer.status >= 400:
            retry_after = answer.headers.get("Retry-After", "0")
            seconds = float(retry_after) if retry_after.replace(".", "", 1).isdigit() else 0.0
            raise PlatformRefusal(answer.status, document, seconds)
        return document
