"""Time for which workers have been unresponsive, measured across successive owners."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.leases import UNKNOWN_INCARNATION_SECONDS
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayshore.clock import Clock

# Prefix of ledger keys for the time for which a worker has been unresponsive.
UNRESPONSIVE_PREFIX = "~"
# Marks a duration in ms; earlier versions recorded a time of day without it.
DURATION_MARK = b"+"
# Marks a duration that an owner measured which had ordered the worker before.
CONTACT_MARK = b"="
# Marks the longest time in ms for which the leases of a worker last, as recorded by an owner that
# handed over. Earlier versions read it as a worker that has just become unresponsive.
LEASE_MARK = b"-"
# Owners stop recording within seconds of the bound on leases, so a longer duration is an error.
MAX_DURATION_MS = 24 * 3_600_000
# Interval at which the time is recorded anew, so that a later owner continues from it.
RECORD_INTERVAL_SECONDS = 1.0
# Time after which an owner that continues a measurement records it first, so that owners that
# follow each other quickly make progress together.
FIRST_RECORD_SECONDS = 0.2


class LeaseBounds(NamedTuple):
    """Times that bound the leases of a worker.

    Parameters
    ----------
    lease_seconds : float
        Longest time from the renewal of a lease to its certain end.
        The renewal is sent by the clock of the worker's present incarnation.
    abandon_seconds : float
        Longest time for which a former owner goes on renewing.
    longest_lease_seconds : float
        Longest time from a call by the clock of a former incarnation to the lease's certain end.
    """

    lease_seconds: float
    abandon_seconds: float
    longest_lease_seconds: float

    @property
    def longest(self) -> float:
        """Longest time from a takeover to the end of all leases by former owners.

        They send no start order that they have not recorded before the takeover, and renew leases
        by the clock of a former incarnation only until a report that follows it.
        """
        return max(
            self.lease_seconds + self.abandon_seconds,
            self.longest_lease_seconds + UNKNOWN_INCARNATION_SECONDS,
        )


class _Loss(NamedTuple):
    """Loss of contact.

    Parameters
    ----------
    earlier_seconds : float
        Time measured by earlier owners, or since the last renewal; negative if a late order may
        give a longer lease than a renewal.
    since, recorded_at : float
        Local times in seconds.
    had_contact : bool
        Whether the worker had seen the fencing token of the owner that lost the contact. Owners
        before that one can no longer renew its leases, and that one did not renew them since.
    """

    earlier_seconds: float
    since: float
    recorded_at: float
    had_contact: bool


class ContactLoss:
    """Measures how long each worker has been unresponsive and records it.

    Each owner measures with its own monotonic clock. A later owner continues from the recorded
    duration, so that repeated handovers do not restart the wait for the worker's leases and jumps
    of the time of day do not shorten it. The time between two owners is not counted.

    Parameters
    ----------
    clock : Clock
    ledger : Ledger
    bounds : LeaseBounds
    """

    def __init__(self, clock: Clock, ledger: Ledger, bounds: LeaseBounds) -> None:
        self._clock = clock
        self._ledger = ledger
        self._bounds = bounds
        self._losses: dict[str, _Loss] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def restore(self, worker: str, value: bytes) -> None:
        """Continues from the duration that an earlier owner recorded.

        If that owner recorded how long the leases last, the worker counts as unresponsive for so
        long that the rest of a lease covers them. From a record that cannot be read, the whole
        time is waited again.
        """
        earlier_seconds, had_contact = 0.0, False
        mark = value[:1]
        if mark in (DURATION_MARK, CONTACT_MARK, LEASE_MARK):
            try:
                earlier_seconds = parse_count(value[1:], MAX_DURATION_MS) / 1000
                had_contact = mark in (CONTACT_MARK, LEASE_MARK)
                if mark == LEASE_MARK:
                    # Negative if a late order may give a longer lease.
                    earlier_seconds = self._bounds.lease_seconds - earlier_seconds
            except MalformedDocument as error:
                unreadable_records.note(self._ledger.topic, UNRESPONSIVE_PREFIX + worker, error)
        now = self._now()
        recorded_at = now + FIRST_RECORD_SECONDS - RECORD_INTERVAL_SECONDS
        self._losses[worker] = _Loss(earlier_seconds, now, recorded_at, had_contact)

    def record_lease(self, worker: str, seconds: float) -> None:
        """Records the longest time for which leases last that are no longer renewed."""
        until = self._now() + seconds

        self._ledger.mark_dirty(
            UNRESPONSIVE_PREFIX + worker, lambda: _encode_lease(until - self._now())
        )

    def begin(self, worker: str, *, lease_left_seconds: float | None = None) -> None:
        """Starts measuring, unless the worker is known as unresponsive.

        ``lease_left_seconds`` is the longest time for which its leases last, None if the worker has
        not seen this owner's fencing token.
        """
        if worker not in self._losses:
            now = self._now()
            had_contact = lease_left_seconds is not None
            elapsed = self._bounds.lease_seconds - lease_left_seconds if had_contact else 0.0
            self._losses[worker] = _Loss(elapsed, now, now, had_contact)
            self._record(worker)

    def end(self, worker: str) -> bool:
        """Stops measuring; returns whether the worker was known as unresponsive."""
        if self._losses.pop(worker, None) is None:
            return False
        self._record(worker)
        return True

    def measure_seconds(self, worker: str) -> float:
        """Returns for how long the worker has been unresponsive, 0 if it responds."""
        loss = self._losses.get(worker)
        return loss.earlier_seconds + self._now() - loss.since if loss else 0.0

    def are_leases_over(self, worker: str) -> bool:
        """Returns whether every lease that any owner has renewed on the worker has expired."""
        loss = self._losses.get(worker)
        if loss is None:
            return False
        bounds = self._bounds
        bound = bounds.lease_seconds if loss.had_contact else bounds.longest
        return self.measure_seconds(worker) > bound

    def find_lease_left(self, worker: str) -> float | None:
        """Returns the longest time in seconds for which the leases of a silent worker last.

        None unless the owner that lost the contact had it before, so that it knows.
        """
        loss = self._losses.get(worker)
        if loss is None or not loss.had_contact:
            return None
        return max(0.0, self._bounds.lease_seconds - self.measure_seconds(worker))

    def record_progress(self) -> None:
        """Records the durations whose last record is older than ``RECORD_INTERVAL_SECONDS``.

        Durations beyond the longest wait need no further record.
        """
        now = self._now()
        for worker, loss in list(self._losses.items()):
            recorded_seconds = loss.earlier_seconds + loss.recorded_at - loss.since
            if (
                now - loss.recorded_at >= RECORD_INTERVAL_SECONDS
                and recorded_seconds <= self._bounds.longest
            ):
                self._losses[worker] = loss._replace(recorded_at=now)
                self._record(worker)

    def _record(self, worker: str) -> None:
        def encode() -> bytes:
            if worker not in self._losses:
                return b""
            measured = self.measure_seconds(worker)
            if measured < 0:
                return _encode_lease(self._bounds.lease_seconds - measured)
            mark = CONTACT_MARK if self._losses[worker].had_contact else DURATION_MARK
            return mark + str(int(measured * 1000)).encode()

        self._ledger.mark_dirty(UNRESPONSIVE_PREFIX + worker, encode)


def _encode_lease(seconds: float) -> bytes:
    return LEASE_MARK + str(math.ceil(max(0.0, seconds) * 1000)).encode()
