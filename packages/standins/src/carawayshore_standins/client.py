"""Client of the demonstration: JSON calls to entry hosts and stand-ins, and bounded waiting."""

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
    """Status, body and headers of an answer; status 0 if there was none."""

    status: int
    body: Any
    headers: Any = {}


async def wait_until(
    condition: Callable[[], Awaitable[Any]], limit: timedelta, clock: Clock, *, what: str
) -> Any:
    """Returns the first true value of the coroutine function ``condition``.

    Raises
    ------
    TimeoutError
        If there is none within ``limit``; the message names ``what``.
    """
    deadline = clock.elapsed() + limit
    while not (value := await condition()):
        if clock.elapsed() >= deadline:
            raise TimeoutError(f"{what}: not so within {limit.total_seconds():g} s")
        await clock.sleep(POLL_INTERVAL)
    return value


class JsonClient:
    """Sends JSON calls, each on a connection of its own; an async context manager."""

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
        self, method: str, address: str, path: str, body: Any = None, *, seconds: float = TIMEOUT_S
    ) -> Reply:
        """Sends one call and returns its answer, with status 0 if the connection broke.

        Parameters
        ----------
        method, address, path : str
        body : Any
            Sent as JSON unless it is None.
        seconds : float
            Longest wait for the answer, in seconds.
        """
        timeout = aiohttp.ClientTimeout(total=seconds)
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, timeout=timeout
            ) as answer:
                text = await answer.text()
                headers, status = answer.headers, answer.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Reply(0, {"error": repr(error)})
        try:
            return Reply(status, json.loads(text), headers)
        except ValueError:
            return Reply(status, {"error": text[:200]}, headers)
