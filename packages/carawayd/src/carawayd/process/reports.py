"""Data centres that have stopped reporting their hosts to the global stream."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

# Reports due within ``wave_stall``, the time after which a data centre counts as silent.
REPORTS_PER_STALL_LIMIT = 6


class ReportWatch:
    """Measures how long each data centre's report has been unchanged, on the monotonic clock.

    A data centre that is silent for ``wave_stall`` is excluded from the budgets of the others. It
    starts no drain without the log, and its hosts serve its own callers only. Counting the hosts
    that it had out of service when it was cut off would stop maintenance everywhere until it
    reconnects.

    Parameters
    ----------
    reader : StreamReader
        Of the global stream.
    settings : Settings
    clock : Clock
    """

    def __init__(self, reader: StreamReader, *, settings: Settings, clock: Clock) -> None:
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._unchanged_since: dict[str, tuple[int, timedelta]] = {}
        self._last_check = clock.elapsed()

    @property
    def interval(self) -> timedelta:
        """Longest time between two reports of a data centre."""
        return self._settings.options.wave_stall / REPORTS_PER_STALL_LIMIT

    def update(self) -> None:
        """Records which reports have changed; has to be called several times per interval.

        The measurement restarts if this process itself was paused or lost contact with the log.
        """
        now, age = self._clock.elapsed(), self._reader.contact_age()
        limit = max(self.interval / 2, self._settings.options.peer_silence)
        if age is None or age > limit or now - self._last_check > limit:
            self._unchanged_since = {}
        self._last_check = now
        reports = self._reader.folded.reports
        self._unchanged_since = {
            name: (
                known
                if (known := self._unchanged_since.get(name)) and known[0] == report.offset
                else (report.offset, now)
            )
            for name, report in reports.items()
        }

    def list_silent(self) -> frozenset[str]:
        """Returns the data centres whose report is older than ``wave_stall``."""
        oldest = self._clock.elapsed() - self._settings.options.wave_stall
        return frozenset(
            name for name, (_, since) in self._unchanged_since.items() if since < oldest
        )

    def is_due(self, data_centre: str) -> bool:
        """Returns whether the data centre has to report again although nothing changed."""
        known = self._unchanged_since.get(data_centre)
        return known is not None and self._clock.elapsed() - known[1] > self.interval
