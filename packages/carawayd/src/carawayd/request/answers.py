"""Answers to callers that the entry host itself makes, and kept answers of keyed requests."""

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

MAX_KEPT_BODY_BYTES = 64 * 1024
MAX_KEPT_TOTAL_BYTES = 8 * 1024 * 1024
KEPT_LIFETIME = timedelta(minutes=15)
REASON_HEADER = "Carawayshore-Reason"
REQUEST_HEADER = "Carawayshore-Request"


class Reason(StrEnum):
    """Why an entry host did not give a target's answer."""

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
    """Ends a request without a target's answer.

    Parameters
    ----------
    outcome : Outcome
    reason : Reason
    status : int
        HTTP status of the answer.
    retry_after : timedelta
        When the caller may try again.
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
    """Returns the answer that tells a caller about a refusal."""
    headers = {
        OUTCOME_HEADER: refusal.outcome.value,
        REASON_HEADER: refusal.reason.value,
        "Retry-After": str(max(1, math.ceil(refusal.retry_after.total_seconds()))),
    }
    if request:
        headers[REQUEST_HEADER] = request
    body = {"outcome": refusal.outcome, "reason": refusal.reason, "detail": refusal.detail}
    return web.json_response(body, status=refusal.status, headers=headers)


class KeptAnswer(NamedTuple):
    """Whole answer of a keyed request; ``released`` if it was never dispatched."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    outcome: Outcome
    released: bool = False


class KeptAnswers:
    """Answers of the keyed requests that this process dispatched, bounded in size and time.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answers: OrderedDict[str, tuple[timedelta, KeptAnswer]] = OrderedDict()
        self._waiting: dict[str, asyncio.Future[KeptAnswer]] = {}
        self._bytes = 0

    def begin(self, request: str) -> None:
        """Notes that ``request`` runs; others may wait for its answer."""
        self._waiting[request] = asyncio.get_running_loop().create_future()

    def finish(self, request: str, answer: KeptAnswer) -> None:
        """Keeps the answer and wakes those who wait for it."""
        future = self._waiting.pop(request, None)
        if future is not None and not future.done():
            future.set_result(answer)
        if len(answer.body) > MAX_KEPT_BODY_BYTES:
            answer = answer._replace(body=b"", outcome=Outcome.UNKNOWN)
        self._answers[request] = (self._clock.elapsed(), answer)
        self._bytes += len(answer.body)
        self._expire()

    def _expire(self) -> None:
        oldest = self._clock.elapsed() - KEPT_LIFETIME
        while self._answers:
            request, (kept, answer) = next(iter(self._answers.items()))
            if kept >= oldest and self._bytes <= MAX_KEPT_TOTAL_BYTES:
                return
            del self._answers[request]
            self._bytes -= len(answer.body)

    async def wait(self, request: str, timeout: timedelta) -> KeptAnswer | None:
        """Returns the answer of ``request``, or None if it is not known in time."""
        kept = self._answers.get(request)
        if kept is not None:
            return kept[1]
        future = self._waiting.get(request)
        if future is None:
            return None
        done, _ = await asyncio.wait({future}, timeout=max(0.0, timeout.total_seconds()))
        return future.result() if done else None

    @property
    def count(self) -> int:
        return len(self._answers)
