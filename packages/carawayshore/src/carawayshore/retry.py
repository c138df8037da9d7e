"""Retry budget as a share of requests, and retry delays with full jitter."""

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
        Retries allowed per request, from 0 to 1.
    minimum_per_second : float
        Retries per second that are allowed regardless of the number of requests.
    max_saved : float
        Maximum number of retries that unused budget can accumulate.
    first_delay, max_delay : timedelta
        First and longest delay of the exponential back-off, before jitter.
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
    ...     budget.record_request()
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, settings: RetrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._available = min(1.0, settings.minimum_per_second)
        self._refilled_at = clock.elapsed()

    def _add(self, retries: float) -> None:
        self._available = min(self._available + retries, self._settings.max_saved)

    def record_request(self) -> None:
        """Adds the budget of a request; call once per request."""
        self._add(self._settings.share)

    def take(self) -> bool:
        """Takes a retry from the budget; returns False if none is left."""
        now = self._clock.elapsed()
        elapsed_seconds = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._add(elapsed_seconds * self._settings.minimum_per_second)
        # Tolerance for rounding: the sum of ten times 0.1 is just below 1 in floating point.
        if self._available < 1 - 1e-9:
            return False
        self._available -= 1
        return True


def choose_delay(
    attempt: int,
    remaining: timedelta,
    random: Random,
    settings: RetrySettings = DEFAULT_SETTINGS,
) -> timedelta | None:
    """Returns the delay before a retry, or None if the deadline has passed.

    Parameters
    ----------
    attempt : int
        Number of attempts made so far, at least 1.
    remaining : timedelta
        Time until the deadline; the delay does not exceed it.
    random : random.Random
    settings : RetrySettings

    Raises
    ------
    ValueError
        If ``attempt`` is below 1.
    """
    if attempt < 1:
        raise ValueError(f"attempt must be at least 1, got {attempt}")
    if remaining <= timedelta():
        return None
    # The exponent is bounded because a timedelta overflows at about 2**70 microseconds.
    longest = min(settings.first_delay * 2 ** min(attempt - 1, 30), settings.max_delay, remaining)
    return longest * random.random()
