"""Callers that can be held at a stage of an exchange, and that keep what they got."""

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
ATTEMPT_LIMIT_S = 25.0
PIECE_BYTES = 64 * 1024
SLOW_PIECES = 8


class Wire(NamedTuple):
    """One request as its caller sends it; ``token`` makes its path unique."""

    token: str
    mode: str
    method: str
    work_seconds: float
    work_bytes: int
    answer_delay: float
    body: bytes
    deadline: float
    declared: float = 0.0

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
            "Answer-Delay": f"{self.answer_delay:g}" if self.answer_delay else "",
            "Carawayshore-Declared": f"{self.declared:g}" if self.declared else "",
            "Idempotency-Key": self.key,
            "Carawayshore-Repeatable": "true" if self.mode == "repeatable" else "",
            "Content-Length": str(len(self.body) or ""),
        }
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items() if value]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass
class Attempt:
    """One exchange of a caller with one entry host."""

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
class Hold:
    """Stops an exchange at a stage (``head``, ``body`` or ``answer``) until it is released."""

    stage: str = ""
    slow_seconds: float = 0.0
    reached: asyncio.Event = field(default_factory=asyncio.Event)
    sent: asyncio.Event = field(default_factory=asyncio.Event)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def stop_at(self, stage: str) -> None:
        if stage == self.stage:
            self.reached.set()
            await self.released.wait()

    def list_cuts(self, data: bytes, stage: str) -> list[bytes]:
        """Returns the pieces in which ``data`` is sent; a held stage stops after the first."""
        if stage != self.stage:
            return [data]
        count = SLOW_PIECES if self.slow_seconds else 2
        step = -(-len(data) // count)
        return [data[at : at + step] for at in range(0, len(data), step)]


async def _send(writer: asyncio.StreamWriter, data: bytes, hold: Hold, stage: str) -> None:
    for number, piece in enumerate(hold.list_cuts(data, stage)):
        if number == 1:
            await hold.stop_at(stage)
        if number and hold.slow_seconds:
            await asyncio.sleep(hold.slow_seconds / SLOW_PIECES)
        writer.write(piece)
        with contextlib.suppress(ConnectionError):
            await writer.drain()  # The answer may be there already, for example a refusal.


async def _read_body(reader: asyncio.StreamReader, wire: Wire, size: int, hold: Hold):
    """Yields the pieces of an answer's body; raises IncompleteReadError if it is cut off."""
    left = size
    while left:
        piece = await reader.read(min(left, PIECE_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(b"", left)
        yield piece
        if left == size and wire.work_bytes:
            await hold.stop_at("answer")
        left -= len(piece)
        if hold.slow_seconds and wire.work_bytes:
            await asyncio.sleep(hold.slow_seconds * PIECE_BYTES / wire.work_bytes)


async def _verify(
    reader: asyncio.StreamReader, wire: Wire, size: int, hold: Hold, attempt: Attempt
) -> None:
    """Notes whether the answer with status 200 is wrong, also if it is cut off later."""
    if wire.work_bytes:
        verifier = ContentVerifier(wire.path, wire.work_bytes)
        async for piece in _read_body(reader, wire, size, hold):
            verifier.feed(piece)
            attempt.wrong = not verifier.is_prefix()
        attempt.wrong = not verifier.is_whole()
        return
    data = b"".join([piece async for piece in _read_body(reader, wire, size, hold)])
    try:
        answer = json.loads(data)
        digest = hashlib.sha256(wire.body).hexdigest()
        attempt.wrong = (answer["path"], answer["sha256"]) != (wire.path, digest)
    except (ValueError, KeyError, TypeError):
        attempt.wrong = True


async def _read_answer(
    reader: asyncio.StreamReader, wire: Wire, hold: Hold, attempt: Attempt
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    attempt.status = int(head[0].split()[1])
    attempt.request = headers.get("carawayshore-request", "")
    attempt.reason = headers.get("carawayshore-reason", "")
    size = int(headers.get("content-length", 0))
    if attempt.status == 200:
        await _verify(reader, wire, size, hold, attempt)
    else:
        attempt.detail = (await reader.readexactly(size)).decode(errors="replace")[:120]
    attempt.outcome = headers.get("carawayshore-outcome", "unmarked")


class Conversation:
    """A caller with one request: its first attempt and its own retries.

    A keyed request that is not answered within ``patience`` seconds of its release is sent through
    another entry host as well, while the first attempt stays open.
    """

    def __init__(self, wire: Wire, addresses: list[str], hold: Hold, clock: Clock) -> None:
        self.wire = wire
        self.hold = hold
        self.attempts: list[Attempt] = []
        self.patience = 1.5
        self.retries = 6 if wire.key else 12
        self.leaves = False
        self._addresses = addresses
        self._clock = clock
        self._writers: list[asyncio.StreamWriter] = []
        self._duplicates: list[asyncio.Task[Attempt]] = []
        self._first: asyncio.Task[Attempt] | None = None
        self._give_up = clock.elapsed().total_seconds() + 20.0

    @property
    def outcome(self) -> str:
        """The best that the caller was told."""
        told = [attempt.outcome for attempt in self.attempts]
        order = (COMPLETED, NOT_RUN, UNKNOWN, BROKEN, TIMED_OUT, GONE)
        return next((outcome for outcome in order if outcome in told), "none")

    async def _attempt(self, address: str, hold: Hold) -> Attempt:
        attempt = Attempt(address, self._clock.now())
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(ATTEMPT_LIMIT_S):
                await self._exchange(attempt, hold)
        except TimeoutError:
            attempt.outcome = TIMED_OUT
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            attempt.outcome = GONE if self.leaves and hold is self.hold else BROKEN
            attempt.detail = repr(error)[:120]
        finally:
            hold.sent.set()
            hold.reached.set()
        attempt.ended = self._clock.now()
        return attempt

    async def _exchange(self, attempt: Attempt, hold: Hold) -> None:
        host, _, port = attempt.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        try:
            await _send(writer, self.wire.build_head(attempt.address), hold, "head")
            await _send(writer, self.wire.body, hold, "body")
            hold.sent.set()
            await _read_answer(reader, self.wire, hold, attempt)
        finally:
            writer.close()

    def leave(self) -> None:
        """Breaks the first attempt's connection, as a caller does that goes away."""
        self.leaves = True
        if self._writers:
            self._writers[0].transport.abort()
        self.hold.released.set()

    def duplicate(self, count: int = 2) -> None:
        """Sends the request through other entry hosts as well."""
        for address in self._addresses[1 : 1 + count]:
            self._duplicates.append(asyncio.create_task(self._attempt(address, Hold())))

    async def _await_first(self) -> None:
        self._first = asyncio.create_task(self._attempt(self._addresses[0], self.hold))
        await self.hold.sent.wait()
        await self.hold.released.wait()
        patience = self.patience + self.wire.work_seconds if self.wire.key else None
        await asyncio.wait({self._first}, timeout=patience)
        if not self._first.done():
            self.duplicate(1)

    def _may_retry(self, attempt: Attempt, unclear: int) -> bool:
        if attempt.outcome == NOT_RUN:
            return self._clock.elapsed().total_seconds() < self._give_up
        if attempt.outcome == GONE and not self.wire.key:
            return False
        return attempt.outcome != COMPLETED and unclear < self.retries

    async def run(self) -> Conversation:
        """Sends the request until it is answered or the caller has tried often enough."""
        await self._await_first()
        await asyncio.gather(self._first, *self._duplicates)
        turn, unclear = 0, 0
        while self.outcome != COMPLETED and self._may_retry(self.attempts[-1], unclear):
            unclear += self.attempts[-1].outcome != NOT_RUN
            turn += 1
            await asyncio.sleep(0.2)
            await self._attempt(self._addresses[turn % len(self._addresses)], Hold())
        await asyncio.gather(*self._duplicates)
        return self
