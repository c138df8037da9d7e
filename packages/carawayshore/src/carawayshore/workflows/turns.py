"""Forecasts which pool bursts next and when.

Load pattern: the queues burst in turn. In its turn, a queue asks for several times its mean demand
for some seconds, and then for little until each other queue has had its turn: a round. Moving a
machine from another pool takes about two seconds, so a pool that grows only after its demand has
risen rejects the work of the first seconds of its turn, but machines that wait in every pool cost
more than they earn. Pools that have not had their turn in this round therefore keep machines, other
pools do not, and machines are moved ahead of a turn if its time and its pool can be predicted.
"""

from __future__ import annotations

from typing import NamedTuple

# A turn starts when the cores offered to a pool reach this share of the peak of all pools.
START_SHARE = 0.35
# A turn starts only at this share of all cores or more, so that a single large job is no turn.
MIN_START_SHARE = 0.08
# A turn ends when the cores offered to the pool fall below this share of the peak.
END_SHARE = 0.2
# Half-life in seconds of the peak, so that it follows a falling load.
PEAK_HALF_LIFE_SECONDS = 60.0
# Time before the expected start of a turn at which machines are requested: move, discovery of the
# worker, its first report, and the rise in demand before a start is detected.
LEAD_SECONDS = 2.8
# Time after which an expected turn that has not started is no longer prepared for.
MAX_DELAY_SECONDS = 2.0
# Share of the peak that is provided ahead of a turn, divided among the pools that may be next.
AHEAD_SHARE = 0.6
# Maximum number of pools that may be next for machines to be provided ahead of a turn.
MAX_NEXT_POOLS = 2


class Turn(NamedTuple):
    """Start of a turn of a pool; ``began`` is in seconds of the clock."""

    pool: str
    began: float


class TurnForecast:
    """Learns the order and the length of the turns from the cores offered to each pool."""

    def __init__(self) -> None:
        self._peak = 0.0
        self._peak_at = 0.0
        self._pools: set[str] = set()
        self._active: set[str] = set()
        # Pools that have started their turn in this round.
        self._had_turn: set[str] = set()
        self._last: Turn | None = None
        self._turn_seconds = 0.0

    def add(self, now: float, offered: dict[str, float], all_cores: float) -> None:
        """Adds the cores that each pool is offered at time ``now``."""
        self._pools = set(offered)
        highest = max(offered.values(), default=0.0)
        if highest >= self._find_peak(now):
            self._peak, self._peak_at = highest, now
        peak = self._find_peak(now)
        for pool, cores in offered.items():
            if cores >= max(START_SHARE * peak, MIN_START_SHARE * all_cores):
                if pool not in self._active:
                    self._active.add(pool)
                    self._start_turn(pool, now)
            elif cores < END_SHARE * peak:
                self._active.discard(pool)

    def _find_peak(self, now: float) -> float:
        return self._peak * 0.5 ** ((now - self._peak_at) / PEAK_HALF_LIFE_SECONDS)

    def _start_turn(self, pool: str, now: float) -> None:
        if self._last is not None and self._last.pool == pool:
            return
        if self._last is not None:
            self._turn_seconds = now - self._last.began
        if pool in self._had_turn or self._pools <= self._had_turn:
            self._had_turn = set()
        self._had_turn.add(pool)
        self._last = Turn(pool, now)

    def _list_next(self) -> set[str]:
        """Returns the pools that may have the next turn."""
        next_pools = self._pools - self._had_turn
        if next_pools or self._last is None:
            return next_pools
        return self._pools - {self._last.pool}

    def has_had_turn(self, pool: str) -> bool:
        """Returns whether other pools have their turn before the next turn of ``pool``."""
        return self._last is not None and pool not in self._list_next()

    def predict_cores(self, now: float) -> dict[str, float]:
        """Returns the cores to provide for each pool ahead of its turn."""
        if self._last is None or not self._turn_seconds:
            return {}
        seconds_to_start = self._last.began + self._turn_seconds - now
        if not -MAX_DELAY_SECONDS < seconds_to_start < LEAD_SECONDS:
            return {}
        next_pools = self._list_next()
        if len(next_pools) > MAX_NEXT_POOLS:
            return {}
        cores = AHEAD_SHARE * self._find_peak(now) / max(1, len(next_pools))
        return dict.fromkeys(next_pools, cores)
