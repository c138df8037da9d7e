"""HTTP callers that can be paused at a stage of an exchange and that record every answer."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from carawayshore_standins.content import ContentVerifier

if TYPE_CHECKING:
    from datetime import datetime

    from carawayshore.clock import Clock

COMPLETED, NOT_RUN, UNKNOWN = "completed", "not-run", "unknown"
BROKEN, TIMED_OUT, GONE = "broken", "timeout", "gone"
ATTEMPT_TIMEOUT_S = 25.0
CHUNK_BYTES = 64 * 1024
# Number of chunks in which a slow caller sends a head or body.
SLOW_CHUNKS = 8


class RequestSpec(NamedTuple):
    """One request as its caller sends it.

    Parameters
    ----------
    token : str
        Last segment of the path, unique for each request.
    mode : str
        ``plain``, ``repeatable`` or ``keyed``.
    method : str
        HTTP method.
    work_seconds : float
        Run time that the target simulates.
    work_bytes : int
        Size of the answer's body; 0 for a short JSON answer.
    answer_delay_seconds : float
        Time for which the target holds back the finished answer.
    body : bytes
        Body of the request.
    deadline : float
        Time in seconds within which the caller wants an answer.
    declared_seconds : float
        Run time that the caller declares; 0 if it declares none.
    """

    token: str
    mode: str
    method: str
    work_seconds: float
    work_bytes: int
    answer_delay_seconds: float
    body: bytes
    deadline: float
    declared_seconds: float = 0.0

    @property
    def path(self) -> str:
        return f"/services/booking/{self.token}"

    @property
    def key(self) -> str:
        return f"umea:{self.token}" if self.mode == "keyed" else ""

    def build_head(self, address: str) -> bytes:
        headers = {
            "Host": address,
            "Connection": "close",
            "Carawayshore-Kind": f"{self.mode}-{self.work_seconds:g}",
            "Carawayshore-Deadline": f"{self.deadline:g}",
            "Work-Seconds": f"{self.work_seconds:g}",
            "Work-Bytes": str(self.work_bytes or ""),
            "Answer-Delay": f"{self.answer_delay_seconds:g}" if self.answer_delay_seconds else "",
            "Carawayshore-Declared": f"{self.declared_seconds:g}" if self.declared_seconds else "",
            "Idempotency-Key": self.key,
            "Carawayshore-Repeatable": "true" if self.mode == "repeatable" else "",
            "Content-Length": str(len(self.body) or ""),
        }
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items() if value]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass
class Attempt:
    """One HTTP exchange of a caller with one entry host."""

    address: str
    started: datetime
    ended: datetime | None = None
    status: int = 0
    outcome: str = ""
    request: str = ""
    reason: str = ""
    wrong: bool = False
    detail: str = ""

    def describe(self) -> str:
        seconds = (self.ended - self.started).total_seconds() if self.ended else -1
        parts = f"{self.address} {self.status} {self.outcome} {self.reason} {seconds:.2f}s"
        return f"{parts} {self.request} {self.detail}".strip()


@dataclass
class SyncPoint:
    """Pauses an exchange at a stage (``head``, ``body`` or ``answer``) until it is released.

    With ``slow_seconds`` the exchange takes that long at the stage.
    """

    stage: str = ""
    slow_seconds: float = 0.0
    reached: asyncio.Event = field(default_factory=asyncio.Event)
    sent: asyncio.Event = field(default_factory=asyncio.Event)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_at(self, stage: str) -> None:
        if stage == self.stage:
            self.reached.set()
            await self.released.wait()

    def split_chunks(self, data: bytes, stage: str) -> list[bytes]:
        """Returns the chunks in which to send ``data``; the caller pauses after the first."""
        if stage != self.stage:
            return [data]
        count = SLOW_CHUNKS if self.slow_seconds else 2
        step = -(-len(data) // count)
        return [data[at : at + step] for at in range(0, len(data), step)]


async def _send(
    writer: asyncio.StreamWriter, data: bytes, sync_point: SyncPoint, stage: str
) -> None:
    for number, chunk in enumerate(sync_point.split_chunks(data, stage)):
        if number == 1:
            await sync_point.wait_at(stage)
        if number and sync_point.slow_seconds:
            await asyncio.sleep(sync_point.slow_seconds / SLOW_CHUNKS)
        writer.write(chunk)
        with contextlib.suppress(ConnectionError):
            await writer.drain()  # The server may have answered and closed, e.g. after a refusal.


async def _read_body(
    reader: asyncio.StreamReader, spec: RequestSpec, size: int, sync_point: SyncPoint
):
    """Yields the chunks of an answer's body; raises IncompleteReadError if it is truncated."""
    remaining = size
    while remaining:
        chunk = await reader.read(min(remaining, CHUNK_BYTES))
        if not chunk:
            raise asyncio.IncompleteReadError(b"", remaining)
        yield chunk
        if remaining == size and spec.work_bytes:
            await sync_point.wait_at("answer")
        remaining -= len(chunk)
        if sync_point.slow_seconds and spec.work_bytes:
            await asyncio.sleep(sync_point.slow_seconds * CHUNK_BYTES / spec.work_bytes)


async def _verify(
    reader: asyncio.StreamReader,
    spec: RequestSpec,
    size: int,
    sync_point: SyncPoint,
    attempt: Attempt,
) -> None:
    """Sets ``attempt.wrong`` if a 200 answer has wrong content, even if it is truncated later."""
    if spec.work_bytes:
        verifier = ContentVerifier(spec.path, spec.work_bytes)
        async for chunk in _read_body(reader, spec, size, sync_point):
            verifier.feed(chunk)
            attempt.wrong = not verifier.is_prefix()
        attempt.wrong = not verifier.is_complete()
        return
    data = b"".join([chunk async for chunk in _read_body(reader, spec, size, sync_point)])
    try:
        answer = json.loads(data)
        digest = hashlib.sha256(spec.body).hexdigest()
        attempt.wrong = (answer["path"], answer["sha256"]) != (spec.path, digest)
    except (ValueError, KeyError, TypeError):
        attempt.wrong = True


async def _read_answer(
    reader: asyncio.StreamReader, spec: RequestSpec, sync_point: SyncPoint, attempt: Attempt
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    attempt.status = int(head[0].split()[1])
    attempt.request = headers.get("carawayshore-request", "")
    attempt.reason = headers.get("carawayshore-reason", "")
    size = int(headers.get("content-length", 0))
    if attempt.status == 200:
        await _verify(reader, spec, size, sync_point, attempt)
    else:
        attempt.detail = (await reader.readexactly(size)).decode(errors="replace")[:120]
    attempt.outcome = headers.get("carawayshore-outcome", "unmarked")


class Caller:
    """Sends one request, with a first attempt and retries.

    A keyed request without an answer within its run time plus ``duplicate_after_seconds`` after its
    release is also sent through another entry host, while the first attempt stays open.
    """

    def __init__(
        self, spec: RequestSpec, addresses: list[str], sync_point: SyncPoint, clock: Clock
    ) -> None:
        self.spec = spec
        self.sync_point = sync_point
        self.attempts: list[Attempt] = []
        self.duplicate_after_seconds = 1.5
        self.max_retries = 6 if spec.key else 12
        self.has_left = False
        self._addresses = addresses
        self._clock = clock
        self._writers: list[asyncio.StreamWriter] = []
        self._duplicates: list[asyncio.Task[Attempt]] = []
        self._first_attempt: asyncio.Task[Attempt] | None = None
        self._retry_deadline = clock.elapsed().total_seconds() + 20.0

    @property
    def outcome(self) -> str:
        """Best outcome of all attempts; ``none`` if no attempt has ended."""
        outcomes = [attempt.outcome for attempt in self.attempts]
        precedence = (COMPLETED, NOT_RUN, UNKNOWN, BROKEN, TIMED_OUT, GONE)
        return next((outcome for outcome in precedence if outcome in outcomes), "none")

    async def _attempt(self, address: str, sync_point: SyncPoint) -> Attempt:
        attempt = Attempt(address, self._clock.now())
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await self._exchange(attempt, sync_point)
        except TimeoutError:
            attempt.outcome = TIMED_OUT
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            attempt.outcome = GONE if self.has_left and sync_point is self.sync_point else BROKEN
            attempt.detail = repr(error)[:120]
        finally:
            sync_point.sent.set()
            sync_point.reached.set()
        attempt.ended = self._clock.now()
        return attempt

    async def _exchange(self, attempt: Attempt, sync_point: SyncPoint) -> None:
        host, _, port = attempt.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        try:
            await _send(writer, self.spec.build_head(attempt.address), sync_point, "head")
            await _send(writer, self.spec.body, sync_point, "body")
            sync_point.sent.set()
            await _read_answer(reader, self.spec, sync_point, attempt)
        finally:
            writer.close()

    def disconnect(self) -> None:
        """Aborts the first attempt's connection, as a caller that disconnects does."""
        self.has_left = True
        if self._writers:
            self._writers[0].transport.abort()
        self.sync_point.released.set()

    def duplicate(self, count: int = 2) -> None:
        """Also sends the request through ``count`` other entry hosts."""
        for address in self._addresses[1 : 1 + count]:
            self._duplicates.append(asyncio.create_task(self._attempt(address, SyncPoint())))

    async def _await_first(self) -> None:
        self._first_attempt = asyncio.create_task(
            self._attempt(self._addresses[0], self.sync_point)
        )
        await self.sync_point.sent.wait()
        await self.sync_point.released.wait()
        timeout = self.duplicate_after_seconds + self.spec.work_seconds if self.spec.key else None
        await asyncio.wait({self._first_attempt}, timeout=timeout)
        if not self._first_attempt.done():
            self.duplicate(1)

    def _may_retry(self, attempt: Attempt, unclear_count: int) -> bool:
        if attempt.outcome == NOT_RUN:
            return self._clock.elapsed().total_seconds() < self._retry_deadline
        if attempt.outcome == GONE and not self.spec.key:
            return False
        return attempt.outcome != COMPLETED and unclear_count < self.max_retries

    async def run(self) -> Caller:
        """Sends the request until it completes or the retries are exhausted."""
        await self._await_first()
        await asyncio.gather(self._first_attempt, *self._duplicates)
        retry, unclear_count = 0, 0
        while self.outcome != COMPLETED and self._may_retry(self.attempts[-1], unclear_count):
            unclear_count += self.attempts[-1].outcome != NOT_RUN
            retry += 1
            await asyncio.sleep(0.2)
            await self._attempt(self._addresses[retry % len(self._addresses)], SyncPoint())
        await asyncio.gather(*self._duplicates)
        return self
