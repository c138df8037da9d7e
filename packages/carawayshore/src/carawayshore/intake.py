"""Which connections of callers an entry host closes, so that it stays within its machine.

Handles callers that open many connections, send parts of requests, and stop before the end: the sum
of what is held for all connections and their number stay bounded, and connections that have been
without progress for longest are closed first. Requests in progress are never closed for others.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.workflows.model import CallerLimits

MEGABYTE = 1_048_576
# Part of the machine's memory that may be held for requests of callers. The process needs about
# 50 MB without any; the rest is for what it does with complete requests and for the allocator.
MEMORY_DIVISOR = 4
# Memory of the machine if the settings do not tell it.
DEFAULT_MEMORY_MB = 256
# Descriptors that the process needs for files (200), links to some hundreds of workers, other entry
# hosts and the store. A machine with few descriptors keeps half of them.
OWN_DESCRIPTORS = 800
# Memory of a connection without a request, and what the handling of requests adds to it as long as
# the connection is open. Measured with Python 3.11 and aiohttp 3.14: 2.3 KB, and 8.4 KB after one
# request; a request in progress needs some KB more.
CONNECTION_BYTES = 4_096
HANDLER_BYTES = 16_384
# The bytes of a request are held twice while it is handled: as received, and as the handler has
# read them.
HANDLED_COPIES = 2
# Memory of a request whose body is compressed, while it is handled: aiohttp decompresses up to 1 MB
# of it, in several copies.
COMPRESSED_BYTES = 4_194_304
# Memory of one header field of a request that is handled, in addition to its bytes.
FIELD_BYTES = 320
# Received bytes that count as progress of a request. Callers that send single bytes to keep a
# connection open make no progress.
PROGRESS_BYTES = 4_096
# Time without progress after which an unfinished request counts as stalled. Callers within the
# limits end a call within about 3 s.
STALL_SECONDS = 3.0
# Time without progress after which the body of a request is no longer awaited, or a caller that
# does not read its response is disconnected. Ten times the duration of a call within the limits.
BODY_SECONDS = 30.0
# Time for which a refused caller may still send, so that it reads the response before the
# connection is reset.
LINGER_SECONDS = 2.0
# Calm time after which shedding counts as ended.
CALM_SECONDS = 5.0


class Stage(StrEnum):
    """What a connection is doing.

    ``IDLE``: no request. ``HEAD``, ``BODY``: a request is incomplete, and not handled yet.
    ``STREAM``: it is handled, and its body incomplete. ``HANDLED``: it is complete, and handled.
    ``REFUSED``: a refusal was sent, and the caller may still send.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    STREAM = "stream"
    HANDLED = "handled"
    REFUSED = "refused"


class Cause(StrEnum):
    """Why a connection is closed, or its request refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_TIMEOUT = "head-timeout"
    BODY_TIMEOUT = "body-timeout"
    RESPONSE_TIMEOUT = "response-timeout"
    IDLE = "idle"
    LINGER = "linger"
    HEAD_SIZE = "head-size"
    BODY_SIZE = "body-size"
    MALFORMED = "malformed"


# Causes by the status of the response to a request that is not framed correctly.
CAUSES_BY_STATUS = {431: Cause.HEAD_SIZE, 413: Cause.BODY_SIZE, 400: Cause.MALFORMED}


class IntakeBounds(NamedTuple):
    """Bounds of all connections together: bytes held, and their number."""

    held_bytes: int
    connections: int


def choose_bounds(memory_mb: int, descriptors: int) -> IntakeBounds:
    """Returns the bounds for a machine; ``memory_mb`` is 0 if it is not known."""
    held = (memory_mb or DEFAULT_MEMORY_MB) * MEGABYTE // MEMORY_DIVISOR
    return IntakeBounds(held, max(descriptors - OWN_DESCRIPTORS, descriptors // 2, 1))


class Caller:
    """State of one connection; times are in seconds.

    Attributes
    ----------
    began_at : float
        When the stage began.
    progressed_at : float
        When the request last made progress.
    unread_since : float
        Since when the caller has not read its response, 0 if it reads.
    held : int
        Bytes that are held for the connection.
    """

    __slots__ = ("stage", "began_at", "progressed_at", "unread_since", "held", "_counted", "owner")

    def __init__(self, owner: object, now: float) -> None:
        self.owner = owner
        self.stage = Stage.IDLE
        self.began_at = self.progressed_at = now
        self.unread_since = 0.0
        self.held = CONNECTION_BYTES
        self._counted = 0

    def count_received(self, size: int) -> bool:
        """Counts received bytes; returns whether they make progress."""
        self._counted += size
        if self._counted < PROGRESS_BYTES:
            return False
        self._counted = 0
        return True


class Intake:
    """Account of the connections of callers.

    Parameters
    ----------
    bounds : IntakeBounds
    """

    def __init__(self, bounds: IntakeBounds) -> None:
        self.bounds = bounds
        self.held = 0
        self.sheds = False
        self._last_shed_at = 0.0
        self._callers: dict[Caller, None] = {}
        # Callers by whether they have begun a request; those without progress for longest first.
        self._idle: OrderedDict[Caller, None] = OrderedDict()
        self._unfinished: OrderedDict[Caller, None] = OrderedDict()
        self._refused: OrderedDict[Caller, None] = OrderedDict()

    @property
    def count(self) -> int:
        """Number of connections."""
        return len(self._callers)

    @property
    def unfinished_count(self) -> int:
        """Number of requests that have begun and are not complete."""
        return len(self._unfinished)

    def list_owners(self) -> list:
        """Returns the owners of all connections."""
        return [caller.owner for caller in self._callers]

    def list_unfinished_owners(self) -> list:
        """Returns the owners of the connections whose requests are incomplete."""
        return [caller.owner for caller in self._unfinished]

    def open(self, owner: object, now: float) -> Caller:
        """Adds a connection."""
        caller = Caller(owner, now)
        self._callers[caller] = None
        self._idle[caller] = None
        self.held += caller.held
        return caller

    def close(self, caller: Caller) -> None:
        """Removes a connection."""
        if caller in self._callers:
            del self._callers[caller]
            self.held -= caller.held
            queue = self._find_queue(caller.stage)
            if queue is not None:
                queue.pop(caller, None)

    def _find_queue(self, stage: Stage) -> OrderedDict[Caller, None] | None:
        if stage is Stage.HANDLED:
            return None
        if stage is Stage.IDLE:
            return self._idle
        return self._refused if stage is Stage.REFUSED else self._unfinished

    def set_stage(self, caller: Caller, stage: Stage, now: float) -> None:
        """Records that a connection has entered a stage, which counts as progress."""
        former, queue = self._find_queue(caller.stage), self._find_queue(stage)
        if former is not None:
            former.pop(caller, None)
        if queue is not None:
            queue[caller] = None
        caller.stage = stage
        caller.began_at = caller.progressed_at = now

    def record_received(self, caller: Caller, size: int, now: float) -> None:
        """Records bytes that were received for an unfinished request."""
        if caller.count_received(size):
            caller.progressed_at = now
            if caller in self._unfinished:
                self._unfinished.move_to_end(caller)

    def set_held(self, caller: Caller, held: int) -> None:
        """Records how much is held for a connection."""
        self.held += held - caller.held
        caller.held = held

    def choose_excess(self, now: float, more: int = 0) -> tuple[Caller, Cause] | None:
        """Returns the connection to close next while a bound is exceeded, or None.

        Parameters
        ----------
        more : int
            Bytes that are to be held in addition.
        """
        if self.held + more > self.bounds.held_bytes:
            cause = Cause.MEMORY
            queues = (self._unfinished, self._refused, self._idle)
        elif len(self._callers) > self.bounds.connections:
            cause = Cause.CONNECTIONS
            stalled = self._is_first_stalled(now)
            queues = (self._refused, self._idle, self._unfinished)
            queues = (self._unfinished, *queues) if stalled else queues
        else:
            return None
        for queue in queues:
            if queue:
                return next(iter(queue)), cause
        return None

    def _is_first_stalled(self, now: float) -> bool:
        first = next(iter(self._unfinished), None)
        return first is not None and now - first.progressed_at >= STALL_SECONDS

    def find_expired(self, limits: CallerLimits, now: float) -> list[tuple[Caller, Cause]]:
        """Returns the connections whose time is over."""
        expired = []
        for caller in self._callers:
            cause = self._find_expiry(caller, limits, now)
            if cause is not None:
                expired.append((caller, cause))
        return expired

    def _find_expiry(self, caller: Caller, limits: CallerLimits, now: float) -> Cause | None:
        stage, age = caller.stage, now - caller.began_at
        if caller.unread_since and now - caller.unread_since >= BODY_SECONDS:
            return Cause.RESPONSE_TIMEOUT
        if stage is Stage.IDLE:
            return Cause.IDLE if age >= limits.idle_seconds else None
        if stage is Stage.HEAD:
            return Cause.HEAD_TIMEOUT if age >= limits.head_seconds else None
        if stage is Stage.BODY or stage is Stage.STREAM:
            return Cause.BODY_TIMEOUT if now - caller.progressed_at >= BODY_SECONDS else None
        if stage is Stage.REFUSED:
            return Cause.LINGER if age >= LINGER_SECONDS else None
        return None

    def record_shed(self, now: float) -> bool:
        """Records that a connection was closed for another; returns whether shedding begins."""
        self._last_shed_at = now
        begins = not self.sheds
        self.sheds = True
        return begins

    def has_calmed(self, now: float) -> bool:
        """Returns, once, whether shedding has ended."""
        if not self.sheds or now - self._last_shed_at < CALM_SECONDS:
            return False
        self.sheds = False
        return True
