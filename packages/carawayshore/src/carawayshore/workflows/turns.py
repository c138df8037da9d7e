"""Forecast of the pool whose demand rises next.

Load pattern: the queues take turns. Each in its turn asks for several times its mean for some
seconds, in an order that repeats. A machine needs about two seconds to come from another pool, so a
pool that grows only when its demand has risen turns away the first seconds of each turn. Once a
pool has been seen to follow another one, its machines are moved ahead of its next turn.
"""

from __future__ import annotations

from typing import NamedTuple

# A turn begins when a pool's demand exceeds this share of its own peak,
BEGIN_SHARE = 0.5
# after it was below this share of it.
REST_SHARE = 0.25
# Pools whose peak is below this share of the highest one have no turns that matter.
LEAST_PEAK_SHARE = 0.2
# Time in seconds after which a peak is half forgotten, so that the forecast follows the load down.
PEAK_HALF_LIFE = 60.0
# Time in seconds before the expected beginning at which machines are asked for: a move, the
# discovery of its worker, the worker's first report, and the rise before a beginning is noticed.
LEAD_SECONDS = 2.8
# A turn that has not begun this long after it was expected, in seconds, does not come.
PATIENCE_SECONDS = 1.5
# Share of its peak that a pool is given ahead of its turn; the rest follows its demand.
AHEAD_SHARE = 0.8


class Succession(NamedTuple):
    """A pool whose turn followed another one's, and the seconds between their beginnings."""

    pool: str
    seconds: float


class Turn(NamedTuple):
    pool: str
    began: float


class TurnForecast:
    """Learns from the pools' demand in cores which turn follows which, and after what time."""

    def __init__(self) -> None:
        self._peaks: dict[str, tuple[float, float]] = {}
        self._resting: set[str] = set()
        self._last: Turn | None = None
        self._next: dict[str, Succession] = {}

    def add(self, now: float, cores: dict[str, float]) -> None:
        """Adds the demand of all pools at one moment."""
        for pool, value in cores.items():
            if pool not in self._peaks:
                self._resting.add(pool)
            if value >= self._find_peak(pool, now):
                self._peaks[pool] = (now, value)
        highest = max((self._find_peak(pool, now) for pool in cores), default=0.0)
        for pool, value in cores.items():
            peak = self._find_peak(pool, now)
            if value < REST_SHARE * max(peak, LEAST_PEAK_SHARE * highest):
                self._resting.add(pool)
            elif pool in self._resting and value >= BEGIN_SHARE * peak:
                self._resting.discard(pool)
                if peak >= LEAST_PEAK_SHARE * highest:
                    self._begin(pool, now)
        self._forget_missed(now)

    def _find_peak(self, pool: str, now: float) -> float:
        at, value = self._peaks.get(pool, (now, 0.0))
        return value * 0.5 ** ((now - at) / PEAK_HALF_LIFE)

    def _begin(self, pool: str, now: float) -> None:
        if self._last is not None and self._last.pool != pool:
            self._next[self._last.pool] = Succession(pool, now - self._last.began)
        self._last = Turn(pool, now)

    def _forget_missed(self, now: float) -> None:
        if self._last is None:
            return
        following = self._next.get(self._last.pool)
        if following and now > self._last.began + following.seconds + PATIENCE_SECONDS:
            del self._next[self._last.pool]

    @property
    def is_learned(self) -> bool:
        """Whether the turn that follows the present one is known."""
        return self._last is not None and self._last.pool in self._next

    def expect(self, now: float) -> dict[str, float]:
        """Returns the cores that pools should get ahead of their turns."""
        if self._last is None or self._last.pool not in self._next:
            return {}
        following = self._next[self._last.pool]
        if now < self._last.began + following.seconds - LEAD_SECONDS:
            return {}
        return {following.pool: AHEAD_SHARE * self._find_peak(following.pool, now)}
