"""Forecasts which pool bursts next and when.

Load pattern: the queues burst in turn. In its turn, a queue asks for several times its mean demand
for some seconds, and then for little until each other queue has had its turn: a round. Moving a
machine from another pool takes about two seconds, so a pool that gets machines only after its
demand has risen rejects work in the first seconds of its turn. Keeping enough machines in every
pool at all times costs more than this work is worth. Pools that have not had their turn in this
round therefore keep machines, other pools do not, and machines are moved ahead of a turn if its
time and its pool can be predicted.
"""

from __future__ import annotations

from typing import NamedTuple

# A turn starts when the cores offered to a pool reach this share of the peak of all pools.
START_SHARE = 0.35
# A turn starts only at this share of all cores or more, so that a single large job does
# not count as a turn.
MIN_START_SHARE = 0.08
# A turn ends when the cores offered to the pool fall below this share of the peak.
END_SHARE = 0.2
# Half-life in seconds of the peak, so that it follows a falling load.
PEAK_HALF_LIFE_SECONDS = 60.0
# Machines are requested this long before the expected start of a turn. Covers the move, the
# discovery of the worker, its first report, and the rise in demand before a start is detected.
LEAD_SECONDS = 2.8
# Time after which an expected turn that has not started is no longer prepared for.
MAX_DELAY_SECONDS = 2.0
# Share of the peak that is provided ahead of a turn, divided among the pools that may be next.
AHEAD_SHARE = 0.6
# Maximum number of pools that may be next for machines to be provided ahead of a turn.
MAX_NEXT_POOLS = 2


class Turn(NamedTuple):
    """Start of a turn of a pool; ``started_at`` is in seconds of the clock."""

    pool: str
    started_at: float


class TurnForecast:
    """Learns the order and the length of the turns from the cores offered to each pool."""

    def __init__(self) -> None:
        self._peak = 0.0
        self._peak_at = 0.0
        self._pools: set[str] = set()
        self._active: set[str] = set()
        # Pools that have started their turn in this round.
        self._had_turn: set[str] = set()
        self._last_turn: Turn | None = None
        self._turn_seconds = 0.0

    def record_demand(self, now: float, offered: dict[str, float], all_cores: float) -> None:
        """Records the cores that each pool is offered at time ``now``."""
        self._pools = set(offered)
        highest = max(offered.values(), default=0.0)
        if highest >= self._compute_decayed_peak(now):
            self._peak, self._peak_at = highest, now
        peak = self._compute_decayed_peak(now)
        for pool, cores in offered.items():
            if cores >= max(START_SHARE * peak, MIN_START_SHARE * all_cores):
                if pool not in self._active:
                    self._active.add(pool)
                    self._start_turn(pool, now)
            elif cores < END_SHARE * peak:
                self._active.discard(pool)

    def _compute_decayed_peak(self, now: float) -> float:
        return self._peak * 0.5 ** ((now - self._peak_at) / PEAK_HALF_LIFE_SECONDS)

    def _start_turn(self, pool: str, now: float) -> None:
        if self._last_turn is not None and self._last_turn.pool == pool:
            return
        if self._last_turn is not None:
            self._turn_seconds = now - self._last_turn.started_at
        if pool in self._had_turn or self._pools <= self._had_turn:
            self._had_turn = set()
        self._had_turn.add(pool)
        self._last_turn = Turn(pool, now)

    def _find_next_pools(self) -> set[str]:
        """Returns the pools that may have the next turn."""
        next_pools = self._pools - self._had_turn
        if next_pools or self._last_turn is None:
            return next_pools
        return self._pools - {self._last_turn.pool}

    def has_had_turn(self, pool: str) -> bool:
        """Returns whether the pool has had its turn, so that others come before its next one."""
        return self._last_turn is not None and pool not in self._find_next_pools()

    def predict_cores(self, now: float) -> dict[str, float]:
        """Returns the cores to provide for each pool ahead of its turn."""
        if self._last_turn is None or not self._turn_seconds:
            return {}
        seconds_to_start = self._last_turn.started_at + self._turn_seconds - now
        if not -MAX_DELAY_SECONDS < seconds_to_start < LEAD_SECONDS:
            return {}
        next_pools = self._find_next_pools()
        if len(next_pools) > MAX_NEXT_POOLS:
            return {}
        cores = AHEAD_SHARE * self._compute_decayed_peak(now) / max(1, len(next_pools))
        return dict.fromkeys(next_pools, cores)
