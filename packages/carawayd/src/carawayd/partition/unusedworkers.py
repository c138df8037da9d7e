"""Workers that are listed as ready and cannot be used for seconds, with what keeps them from it."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.5
# Time after which a worker counts as unused.
ALERT_SECONDS = 3.0
# Interval at which the unused workers are logged, and the number of them that the line names.
LOG_INTERVAL_SECONDS = 3.0
MAX_NAMED_WORKERS = 5


class UnusedWorkers:
    """Watches the workers of one partition.

    Parameters
    ----------
    links : dict
        Table of the partition owner, which updates it.
    list_services : callable
        Returns the services of the partition.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        list_services: Callable[[], set[str]],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self._links = links
        self._list_services = list_services
        self._clock = clock
        self._metrics = metrics
        # Time since which each worker has not been usable.
        self._since: dict[str, float] = {}
        self._checked_at = -CHECK_INTERVAL_SECONDS
        self._logged_at = -LOG_INTERVAL_SECONDS

    def check(self, epoch: int) -> None:
        """Logs and counts the workers that are listed as ready and have not been usable."""
        now = self._clock.elapsed().total_seconds()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        self._since = {
            worker: self._since.get(worker, now)
            for worker, link in self._links.items()
            if link.listed and link.entry.state == "ready" and not link.capacity.usable
        }
        unused = {
            worker: now - since
            for worker, since in self._since.items()
            if now - since >= ALERT_SECONDS
        }
        counts = Counter(self._links[worker].entry.service for worker in unused)
        for service in self._list_services():
            self._metrics.unused_workers.labels(service).set(counts[service])
        if unused and now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            self._log(epoch, unused)

    def _log(self, epoch: int, unused: dict[str, float]) -> None:
        reasons = {worker: self._links[worker].list_unusable_reasons() for worker in unused}
        longest = sorted(unused, key=lambda worker: -unused[worker])[:MAX_NAMED_WORKERS]
        logger.info(
            "workers are listed as ready and not usable",
            extra={
                "fields": {
                    "epoch": epoch,
                    "workers": len(unused),
                    "of": len(self._links),
                    "reasons": dict(Counter(", ".join(names) for names in reasons.values())),
                    "longest": [
                        [worker, round(unused[worker], 1), reasons[worker]] for worker in longest
                    ],
                }
            },
        )

    def clear(self) -> None:
        """Resets the metric, once the partition is no longer owned here."""
        for service in self._list_services():
            self._metrics.unused_workers.labels(service).set(0)
