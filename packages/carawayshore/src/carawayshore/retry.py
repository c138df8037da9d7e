"""Retries: a budget as a share of requests, and delays with full jitter."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

    from carawayshore.clock import Clock


class RetrySettings(NamedTuple):
    """Settings of retries.

    Parameters
    ----------
    share : float
        Retries allowed for each request, from 0 to 1.
    minimum_per_second : float
        Retries a second that are allowed whatever the number of requests.
    max_saved : float
        Retries that unused budget may add up to.
    first_delay, max_delay : timedelta
        Bounds of the exponential back-off before jitter.
    """

    share: float = 0.1
    minimum_per_second: float = 0.5
    max_saved: float = 20.0
    first_delay: timedelta = timedelta(milliseconds=25)
    max_delay: timedelta = timedelta(seconds=1)


DEFAULT_SETTINGS = RetrySettings()


class RetryBudget:
    """Allows retries up to a share of requests.

    Examples
    --------
    >>> from carawayshore.testing import ManualClock
    >>> budget = RetryBudget(RetrySettings(minimum_per_second=0), ManualClock())
    >>> for _ in range(10):
    ...     budget.note_request()
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, settings: RetrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._saved = min(1.0, settings.minimum_per_second)
        self._refilled = clock.elapsed()

    def _add(self, retries: float) -> None:
        self._saved = min(self._saved + retries, self._settings.max_saved)

    def note_request(self) -> None:
        """Counts a first attempt; call once for each request."""
        self._add(self._settings.share)

    def take(self) -> bool:
        """Returns whether a retry is allowed now, and counts it if it is."""
        now = self._clock.elapsed()
        passed = (now - self._refilled).total_seconds()
        self._refilled = now
        self._add(passed * self._settings.minimum_per_second)
        # Ten times 0.1 sums to just below 1 in floating point.
        if self._saved < 1 - 1e-9:
            return False
        self._saved -= 1
        return True


def choose_delay(
    attempt: int,
    remaining: timedelta,
    random: Random,
    settings: RetrySettings = DEFAULT_SETTINGS,
) -> timedelta | None:
    """Returns how long to wait before a retry, or None if the deadline leaves no time for one.

    Parameters
    ----------
    attempt : int
        Number of attempts made so far, at least 1.
    remaining : timedelta
        Time left until the deadline.
    random : random.Random
    settings : RetrySettings

    Raises
    ------
    ValueError
        If ``attempt`` is below 1.
    """
    if attempt < 1:
        raise ValueError(f"attempt is {attempt}, accepted: at least 1")
    if remaining <= timedelta():
        return None
    # The exponent is bounded because a timedelta overflows at about 2**70 microseconds.
    longest = min(settings.first_delay * 2 ** min(attempt - 1, 30), settings.max_delay, remaining)
    return longest * random.random()
