"""Pools that lack machines: since when, and where the machines are that could help."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from carawayshore.workflows.pools import compute_shortages

if TYPE_CHECKING:
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.pools import PoolView

logger = logging.getLogger(__name__)

# Time after which a shortage is logged. It is logged again whenever the time has doubled.
ALERT_SECONDS = 2.0


class PoolShortages:
    """Follows the shortages of all pools, logs the long ones, and publishes the present ones.

    Parameters
    ----------
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(self, clock: Clock, metrics: WorkflowMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        # Time since which each pool lacks machines, and the age at which that is logged next.
        self._since: dict[str, float] = {}
        self._log_at: dict[str, float] = {}

    def check(self, view: PoolView) -> None:
        """Updates the shortages, moves that have been chosen counting as done."""
        now = self._clock.elapsed().total_seconds()
        for pool, lacking in compute_shortages(view).items():
            self._metrics.pool_shortage.labels(pool).set(max(0, lacking))
            if lacking <= 0:
                self._since.pop(pool, None)
                self._log_at.pop(pool, None)
                continue
            seconds = now - self._since.setdefault(pool, now)
            if seconds >= self._log_at.get(pool, ALERT_SECONDS):
                self._log_at[pool] = 2 * seconds
                self._log(view, pool, lacking, seconds)

    def _log(self, view: PoolView, pool: str, lacking: int, seconds: float) -> None:
        load = view.services[pool]
        logger.warning(
            "pool lacks machines",
            extra={
                "fields": {
                    "pool": pool,
                    "lacking": lacking,
                    "seconds": round(seconds, 1),
                    "need": view.needs[pool]._asdict(),
                    "machines": Counter(
                        machine.state for machine in view.machines if machine.pool == pool
                    ),
                    "on_standby": sum(
                        machine.pool in view.standby and machine.state == "up"
                        for machine in view.machines
                    ),
                    "coming": sum(to == pool for to in view.pending_moves.values()),
                    "unusable": len(view.unusable),
                    "long_running_tasks": sum(worker.long_running for worker in load.workers),
                    "cordoned": sum(worker.cordoned for worker in load.workers),
                }
            },
        )

    def clear(self) -> None:
        """Resets the metrics, once the fleet is no longer managed here."""
        for pool in self._since:
            self._metrics.pool_shortage.labels(pool).set(0)
        self._since.clear()
        self._log_at.clear()
