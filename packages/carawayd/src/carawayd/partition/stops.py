"""Stop orders whose runs are still listed by their worker.

Checked at each report of a worker with such runs; costs nothing for the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayshore.workflows.model import TaskName

    RunKey = tuple[TaskName, int]

# A run that is listed for longer than this after its first stop order is reported. Longer than a
# stop order that gets no answer and the one that follows it.
OVERDUE_SECONDS = 2.0
# Interval at which the same run is reported again.
LOG_INTERVAL_SECONDS = 5.0


class PendingStop(NamedTuple):
    """Stop orders for one run, which its worker still lists.

    Parameters
    ----------
    since : float
        Time of the first one, in seconds of the local clock.
    sent : int
        Number of stop orders.
    error : str
        Why the last one failed, empty if it was answered.
    logged_at : float or None
        Time at which the run was last reported, None if it was not.
    """

    since: float
    sent: int = 0
    error: str = ""
    logged_at: float | None = None


class Stops:
    """Stop orders to one worker, until the runs are no longer listed."""

    def __init__(self) -> None:
        self._pending: dict[RunKey, PendingStop] = {}

    def record_sending(self, run: RunKey, now: float) -> None:
        stop = self._pending.get(run, PendingStop(now))
        self._pending[run] = stop._replace(sent=stop.sent + 1)

    def record_outcome(self, run: RunKey, error: str) -> None:
        """Records the failure of the last stop order, or its success if ``error`` is empty."""
        if run in self._pending:
            self._pending[run] = self._pending[run]._replace(error=error)

    def retain(self, listed: Collection[RunKey]) -> None:
        """Forgets the runs that the worker does not list."""
        for run in self._pending.keys() - set(listed):
            del self._pending[run]

    def take_overdue(self, now: float) -> list[tuple[RunKey, PendingStop]]:
        """Returns the runs to report now, each once per ``LOG_INTERVAL_SECONDS``."""
        overdue = [
            (run, stop)
            for run, stop in self._pending.items()
            if now - stop.since > OVERDUE_SECONDS
            and (stop.logged_at is None or now - stop.logged_at >= LOG_INTERVAL_SECONDS)
        ]
        for run, stop in overdue:
            self._pending[run] = stop._replace(logged_at=now)
        return overdue
