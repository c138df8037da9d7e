"""Forecast of the pool whose demand rises next.

Load pattern: the queues take turns. Each in its turn asks for several times its mean for some
seconds, and for little until all others have had theirs. A machine needs about two seconds to come
from another pool, so a pool that grows only when its demand has risen turns away the first seconds
of its turn; but machines that wait in every pool cost more than they earn. So pools that have not
had their turn in this round keep machines, the others do not, and the machines come ahead of a turn
when its time and its pool can be told.
"""

from __future__ import annotations

from typing import NamedTuple

# A turn begins when a pool is offered more than this share of the most that any pool was offered,
BEGIN_SHARE = 0.35
# and more than this share of all cores, so that a single large job is no turn.
LEAST_SHARE = 0.08
# A pool rests again when it is offered less than this share of the most that any was offered.
REST_SHARE = 0.2
# Time in seconds after which the highest offer is half forgotten, so that the load may fall.
PEAK_HALF_LIFE = 60.0
# Time in seconds before the expected beginning at which machines are asked for: a move, the
# discovery of its worker, the worker's first report, and the rise before a beginning is noticed.
LEAD_SECONDS = 2.8
# A turn that has not begun this long after it was expected, in seconds, is not waited for.
PATIENCE_SECONDS = 2.0
# Share of the peak that is made ready ahead of a turn, for all pools that may be next together,
AHEAD_SHARE = 0.6
# unless more pools than this may be next.
MOST_NEXT = 2


class Turn(NamedTuple):
    """``began`` is in seconds of the clock."""

    pool: str
    began: float


class TurnForecast:
    """Learns from what the pools are offered whose turn it is, and how long turns are."""

    def __init__(self) -> None:
        self._peak = 0.0
        self._peak_at = 0.0
        self._pools: set[str] = set()
        self._active: set[str] = set()
        # Pools that have had their turn in this round.
        self._done: set[str] = set()
        self._last: Turn | None = None
        self._length = 0.0

    def add(self, now: float, offered: dict[str, float], all_cores: float) -> None:
        """Adds the cores that each pool was offered at one moment."""
        self._pools = set(offered)
        highest = max(offered.values(), default=0.0)
        if highest >= self._find_peak(now):
            self._peak, self._peak_at = highest, now
        peak = self._find_peak(now)
        for pool, cores in offered.items():
            if cores >= max(BEGIN_SHARE * peak, LEAST_SHARE * all_cores):
                if pool not in self._active:
                    self._active.add(pool)
                    self._begin(pool, now)
            elif cores < REST_SHARE * peak:
                self._active.discard(pool)

    def _find_peak(self, now: float) -> float:
        return self._peak * 0.5 ** ((now - self._peak_at) / PEAK_HALF_LIFE)

    def _begin(self, pool: str, now: float) -> None:
        if self._last is not None and self._last.pool == pool:
            return
        if self._last is not None:
            self._length = now - self._last.began
        if pool in self._done or self._pools <= self._done:
            self._done = set()
        self._done.add(pool)
        self._last = Turn(pool, now)

    def _list_next(self) -> set[str]:
        """Returns the pools whose turn may be next."""
        following = self._pools - self._done
        if following or self._last is None:
            return following
        return self._pools - {self._last.pool}

    def has_rested(self, pool: str) -> bool:
        """Whether others have their turn before the pool has its next one."""
        return self._last is not None and pool not in self._list_next()

    def expect(self, now: float) -> dict[str, float]:
        """Returns the cores that pools should get ahead of their turns."""
        if self._last is None or not self._length:
            return {}
        wait = self._last.began + self._length - now
        if not -PATIENCE_SECONDS < wait < LEAD_SECONDS:
            return {}
        following = self._list_next()
        if len(following) > MOST_NEXT:
            return {}
        cores = AHEAD_SHARE * self._find_peak(now) / max(1, len(following))
        return dict.fromkeys(following, cores)
