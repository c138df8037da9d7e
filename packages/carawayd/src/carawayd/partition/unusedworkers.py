"""Workers that are listed as ready and cannot be used for seconds, with what keeps them from it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

# Time after which a worker is logged. It is logged again whenever the time has doubled.
ALERT_SECONDS = 3.0
MAX_LINES_PER_CHECK = 5


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
        # Time since which each worker has not been usable, and the age at which it is logged next.
        self._since: dict[str, float] = {}
        self._log_at: dict[str, float] = {}

    def check(self, epoch: int) -> None:
        """Logs and counts the workers that are listed as ready and have not been usable."""
        now = self._clock.elapsed().total_seconds()
        unused = {
            worker: self._since.get(worker, now)
            for worker, link in self._links.items()
            if link.listed and link.entry.state == "ready" and not link.capacity.usable
        }
        self._since = unused
        self._log_at = {worker: at for worker, at in self._log_at.items() if worker in unused}
        counts = dict.fromkeys(self._list_services(), 0)
        lines = 0
        for worker, since in unused.items():
            seconds, link = now - since, self._links[worker]
            if seconds < ALERT_SECONDS:
                continue
            counts[link.entry.service] = counts.get(link.entry.service, 0) + 1
            if seconds >= self._log_at.get(worker, 0.0) and lines < MAX_LINES_PER_CHECK:
                lines += 1
                self._log_at[worker] = 2 * seconds
                logger.info(
                    "worker is listed as ready and not usable",
                    extra={
                        "fields": {
                            "worker": worker,
                            "epoch": epoch,
                            "seconds": round(seconds, 1),
                            "reasons": link.list_unusable_reasons(),
                            "silent_seconds": round(link.silent_seconds, 1),
                        }
                    },
                )
        for service, count in counts.items():
            self._metrics.unused_workers.labels(service).set(count)

    def clear(self) -> None:
        """Resets the metric, once the partition is no longer owned here."""
        for service in self._list_services():
            self._metrics.unused_workers.labels(service).set(0)
