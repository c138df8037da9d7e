"""HTTP client of the demo: JSON calls to entry hosts and stand-ins, and polling with a time-out."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayshore.clock import Clock

TIMEOUT_S = 10.0
POLL_INTERVAL = timedelta(milliseconds=100)


class Reply(NamedTuple):
    """Status, body and headers of a response; status 0 if there was none."""

    status: int
    body: Any
    headers: Any = {}


async def wait_until(
    condition: Callable[[], Awaitable[Any]], limit: timedelta, clock: Clock, *, description: str
) -> Any:
    """Polls the coroutine function ``condition`` and returns its first true value.

    Raises
    ------
    TimeoutError
        If the value is not true within ``limit``; the message contains ``description``.
    """
    deadline = clock.elapsed() + limit
    while not (value := await condition()):
        if clock.elapsed() >= deadline:
            raise TimeoutError(
                f"{description}: condition not met within {limit.total_seconds():g} s"
            )
        await clock.sleep(POLL_INTERVAL)
    return value


class JsonClient:
    """Async context manager that sends JSON calls, each on a new connection."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> JsonClient:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float = TIMEOUT_S,
    ) -> Reply:
        """Sends one call and returns the response, with status 0 if the call failed or timed out.

        Parameters
        ----------
        method, address, path : str
        body : Any
            Sent as JSON unless it is None.
        timeout_s : float
            Time-out of the call, in seconds.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, timeout=timeout
            ) as response:
                text = await response.text()
                headers, status = response.headers, response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Reply(0, {"error": repr(error)})
        try:
            return Reply(status, json.loads(text), headers)
        except ValueError:
            return Reply(status, {"error": text[:200]}, headers)
