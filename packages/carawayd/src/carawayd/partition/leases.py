"""Bound on the lease that a worker may hold, whichever of its incarnations took the calls.

A call names the worker and not its incarnation, and gives a lease until a time of the worker's
clock, at most the longest lease. Each incarnation has a clock of its own, which begins anew. So a
call that was sent by the clock of a former incarnation, and that a later one takes, gives the
longest lease, whatever the owner meant to give.

Load pattern: constant time for each call and each report; the calls without an answer are few.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from carawayd.partition.latestarts import MAX_DELAY_SECONDS

if TYPE_CHECKING:
    from carawayd.process.site import SiteSettings

# Longer than a handover of the partition to another owner, which takes about two seconds.
LEASE_MS = 4_000
# Minimum rate of a worker's clock relative to the local one.
MIN_CLOCK_RATE = 0.98
# Added to the computed end of a lease before the lease is considered expired.
LEASE_MARGIN_SECONDS = 0.3
# A worker's clock is used to renew leases, and to start tasks, for this long after a report: the
# worker may have restarted since.
MAX_CLOCK_AGE_SECONDS = 1.2
# Time from the start of an incarnation in which owners may send calls by the clock of the former
# one: the age of that clock, and the time of a report that does not arrive.
UNKNOWN_INCARNATION_SECONDS = 3.0
# Names of the calls and reports that leases come from, as logged.
RENEWAL, START_ORDER = "renewal", "start order"
FIRST_REPORT, FORMER_CLOCK, UNANSWERED = "first report", "former clock", "unanswered call"


def compute_lease_ms(settings: SiteSettings) -> int:
    """Returns the lease that a renewal gives, in ms of the worker's clock."""
    return min(LEASE_MS, settings.longest_lease_ms)


def compute_lease_seconds(settings: SiteSettings) -> float:
    """Returns the longest time from a renewal by the worker's own clock to the lease's end."""
    return compute_lease_ms(settings) / 1000 / MIN_CLOCK_RATE + LEASE_MARGIN_SECONDS


def compute_longest_seconds(settings: SiteSettings) -> float:
    """Returns the longest time from any call to the certain end of the lease that it gives."""
    return settings.longest_lease_ms / 1000 / MIN_CLOCK_RATE + LEASE_MARGIN_SECONDS


class _Call(NamedTuple):
    """Call that may give a lease, in flight or without an answer."""

    sent_at: float
    incarnation: int


class LeaseEnd(NamedTuple):
    """Certain end of a lease.

    Parameters
    ----------
    seconds : float
        Time until then; 0 if it has passed.
    source : str
        What gave the lease.
    """

    seconds: float
    source: str


class LeaseBound:
    """Calls to one worker, by all links of one owner, and the lease that they may have given.

    Times are those of the local clock in seconds; those that end in ``_ms`` are times of the clock
    of the present incarnation.

    Parameters
    ----------
    settings : SiteSettings
    """

    def __init__(self, settings: SiteSettings) -> None:
        self._lease_ms = compute_lease_ms(settings)
        self._longest_lease_ms = settings.longest_lease_ms
        self._longest_seconds = settings.longest_lease_ms / 1000 / MIN_CLOCK_RATE
        self._incarnation = 0
        # Latest end of a lease that was given by the present clock, and what gave it.
        self._expiry_ms = 0
        self._expiry_source = FIRST_REPORT
        # Latest end of a lease that was given by a former clock.
        self._former_until = 0.0
        # Time at which a call that gives a lease was last answered, and was last answered by an
        # incarnation that may be later than the last one that has reported.
        self._answered_at = self._doubtful_at = -self._longest_seconds
        self._calls: dict[int, _Call] = {}
        self._numbers = itertools.count(1)

    def record_sending(self, now: float, expires_ms: int, source: str) -> int:
        """Counts a call that gives a lease, by the present clock; returns its number."""
        self.extend(expires_ms, source)
        number = next(self._numbers)
        self._calls[number] = _Call(now, self._incarnation)
        return number

    def extend(self, expires_ms: int, source: str) -> None:
        """Counts a lease until a time of the present clock."""
        if expires_ms > self._expiry_ms:
            self._expiry_ms, self._expiry_source = expires_ms, source

    def record_answer(self, number: int, now: float, *, is_later: bool = False) -> None:
        """Notes that a call was carried out, or refused, by some incarnation before now.

        ``is_later`` tells that the answer is, or may be, that of a later incarnation than the one
        whose clock the call was sent by.
        """
        call = self._calls.pop(number, None)
        if call is None:
            return
        self._answered_at = max(self._answered_at, now)
        if is_later:
            self._doubtful_at = now
        if call.incarnation != self._incarnation:
            self._former_until = max(self._former_until, now + self._longest_seconds)

    def record_failure(self, number: int) -> None:
        """Notes that a call cannot be carried out any more."""
        self._calls.pop(number, None)

    def begin_incarnation(self, incarnation: int, asked_at: float) -> None:
        """Notes the incarnation that has reported, whose clock is used from now on.

        What was answered before the report was asked for was answered by no later one.
        """
        if asked_at >= self._doubtful_at:
            self._doubtful_at = -self._longest_seconds
        if incarnation != self._incarnation:
            # The new incarnation may have taken any of the calls that were answered.
            self._former_until = max(self._former_until, self._answered_at + self._longest_seconds)
            self._incarnation, self._expiry_ms = incarnation, 0

    def count_earlier_owners(self, now: float, clock_ms: int, recorded: float | None) -> None:
        """Counts the calls of earlier owners, at the first report to this owner.

        They have renewed the lease until just before it. By a former clock they have sent calls in
        the first seconds of the present incarnation only. ``recorded`` is the time in seconds for
        which the last of them has recorded that the leases last, None if it has not.
        """
        self.extend(clock_ms + self._lease_ms, FIRST_REPORT)
        if recorded is not None:
            self._former_until = max(self._former_until, now + recorded - LEASE_MARGIN_SECONDS)
            return
        unknown_ms = int((UNKNOWN_INCARNATION_SECONDS + MAX_DELAY_SECONDS) * 1000)
        self.extend(min(clock_ms, unknown_ms) + self._longest_lease_ms, FORMER_CLOCK)

    def measure(self, now: float, clock_ms: int, reported_at: float) -> LeaseEnd:
        """Returns when every lease on the worker has certainly ended.

        ``clock_ms`` is the worker's clock as of the report that arrived at ``reported_at``.
        """
        left = max(0, self._expiry_ms - clock_ms) / 1000 / MIN_CLOCK_RATE
        ends = [
            (reported_at + left, self._expiry_source),
            (self._former_until, FORMER_CLOCK),
            (self._doubtful_at + self._longest_seconds, FORMER_CLOCK),
        ]
        ends += [
            (call.sent_at + MAX_DELAY_SECONDS + self._longest_seconds, UNANSWERED)
            for call in self._calls.values()
            if call.incarnation != self._incarnation
        ]
        until, source = max(ends)
        return LeaseEnd(max(0.0, until + LEASE_MARGIN_SECONDS - now), source)

    def expire(self, now: float) -> None:
        """Forgets the calls that can no longer be carried out.

        The longest lease that one of them may have given last counts as given by a former clock.
        """
        for number, call in list(self._calls.items()):
            if now - call.sent_at > MAX_DELAY_SECONDS:
                del self._calls[number]
                if call.incarnation != self._incarnation:
                    until = call.sent_at + MAX_DELAY_SECONDS + self._longest_seconds
                    self._former_until = max(self._former_until, until)

    def is_needed(self, now: float) -> bool:
        """Returns whether calls may still give a lease that a next link has to count."""
        until = max(self._former_until, self._doubtful_at + self._longest_seconds)
        return bool(self._calls) or until > now
