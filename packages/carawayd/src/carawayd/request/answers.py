"""Refusals that an entry host itself sends to callers, and cached responses of keyed requests."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import web

from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayshore.clock import Clock

MAX_CACHED_BODY_BYTES = 64 * 1024
MAX_CACHE_BYTES = 8 * 1024 * 1024
CACHE_TTL = timedelta(minutes=15)
REASON_HEADER = "Carawayshore-Reason"
REQUEST_HEADER = "Carawayshore-Request"


class Reason(StrEnum):
    """Why an entry host did not return the response of a target."""

    BAD_REQUEST = "bad-request"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    KEY_HELD = "key-held"
    KEY_OWNER = "key-owner"
    KEY_UNSAFE = "key-unsafe"
    JOB_EXISTS = "job-exists"
    LOG_UNREACHABLE = "log-unreachable"
    LOST_ANSWER = "lost-answer"
    NOT_READY = "not-ready"
    NO_JOB = "no-job"
    NO_SERVICE = "no-service"
    NO_TARGET = "no-target"
    QUEUE_FULL = "queue-full"
    STOPPING = "stopping"
    TARGET_REFUSED = "target-refused"
    TEAM_SHARE = "team-share"


class Refusal(Exception):
    """Ends a request without the response of a target.

    Parameters
    ----------
    outcome : Outcome
        Whether the request ran.
    reason : Reason
    status : int
        HTTP status of the response.
    retry_after : timedelta
        Time after which the caller may try again.
    detail : str
        Explanation for the caller.
    verified : bool
        Whether the owner of the request's idempotency key confirms the outcome.
    """

    def __init__(
        self,
        outcome: Outcome,
        reason: Reason,
        *,
        status: int = 503,
        retry_after: timedelta = timedelta(seconds=1),
        detail: str = "",
        verified: bool = False,
    ) -> None:
        super().__init__(f"{outcome}: {reason} {detail}".strip())
        self.outcome = outcome
        self.reason = reason
        self.status = status
        self.retry_after = retry_after
        self.detail = detail
        self.verified = verified


def build_refusal(refusal: Refusal, request: str = "") -> web.Response:
    """Returns the response that reports a refusal to the caller."""
    headers = {
        OUTCOME_HEADER: refusal.outcome.value,
        REASON_HEADER: refusal.reason.value,
        "Retry-After": str(max(1, math.ceil(refusal.retry_after.total_seconds()))),
    }
    if request:
        headers[REQUEST_HEADER] = request
    body = {"outcome": refusal.outcome, "reason": refusal.reason, "detail": refusal.detail}
    return web.json_response(body, status=refusal.status, headers=headers)


class CachedResponse(NamedTuple):
    """Complete response of a target.

    ``released`` is set if the keyed request was never dispatched and has released its key.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    outcome: Outcome
    released: bool = False


class ResponseCache:
    """Responses to the keyed requests that this process dispatched, bounded in size and time.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._responses: OrderedDict[str, tuple[timedelta, CachedResponse]] = OrderedDict()
        self._pending: dict[str, asyncio.Future[CachedResponse]] = {}
        self._bytes = 0

    def begin(self, request: str) -> None:
        """Registers ``request`` as running, so that ``wait`` waits for its response."""
        self._pending[request] = asyncio.get_running_loop().create_future()

    def finish(self, request: str, response: CachedResponse) -> None:
        """Stores the response of ``request`` and passes it to the pending ``wait`` calls.

        A body above ``MAX_CACHED_BODY_BYTES`` is not stored; later ``wait`` calls get the outcome
        ``unknown``.
        """
        future = self._pending.pop(request, None)
        if future is not None and not future.done():
            future.set_result(response)
        if len(response.body) > MAX_CACHED_BODY_BYTES:
            response = response._replace(body=b"", outcome=Outcome.UNKNOWN)
        self._responses[request] = (self._clock.elapsed(), response)
        self._bytes += len(response.body)
        self._expire()

    def _expire(self) -> None:
        cutoff = self._clock.elapsed() - CACHE_TTL
        while self._responses:
            request, (stored_at, response) = next(iter(self._responses.items()))
            if stored_at >= cutoff and self._bytes <= MAX_CACHE_BYTES:
                return
            del self._responses[request]
            self._bytes -= len(response.body)

    async def wait(self, request: str, timeout: timedelta) -> CachedResponse | None:
        """Returns the response of ``request``, or None if there is none within ``timeout``."""
        cached = self._responses.get(request)
        if cached is not None:
            return cached[1]
        future = self._pending.get(request)
        if future is None:
            return None
        done, _ = await asyncio.wait({future}, timeout=max(0.0, timeout.total_seconds()))
        return future.result() if done else None

    @property
    def count(self) -> int:
        return len(self._responses)
