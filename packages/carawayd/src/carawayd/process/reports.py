"""Data centres that have stopped reporting their hosts to the global stream."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

# Reports sent in the time after which a data centre counts as silent.
REPORTS_IN_LIMIT = 6


class ReportWatch:
    """Measures on the own monotonic clock for how long each report has stood unchanged.

    A data centre that is silent for ``wave_stall`` is left out of the other ones' budgets: it
    starts nothing without the log and its hosts serve its own callers only, while counting what it
    had out of service when it was cut off would stop maintenance everywhere until it is back.

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
        self._seen: dict[str, tuple[int, timedelta]] = {}
        self._checked = clock.elapsed()

    @property
    def interval(self) -> timedelta:
        """Longest time between two reports of a data centre."""
        return self._settings.options.wave_stall / REPORTS_IN_LIMIT

    def check(self) -> None:
        """Takes note of the reports; call it several times in each interval.

        Time during which this process was paused or had no contact itself does not count.
        """
        now, age = self._clock.elapsed(), self._reader.contact_age()
        limit = max(self.interval / 2, self._settings.options.peer_silence)
        if age is None or age > limit or now - self._checked > limit:
            self._seen = {}
        self._checked = now
        reports = self._reader.folded.reports
        self._seen = {
            name: (
                known
                if (known := self._seen.get(name)) and known[0] == report.offset
                else (report.offset, now)
            )
            for name, report in reports.items()
        }

    def list_silent(self) -> frozenset[str]:
        """Returns the data centres whose report is older than ``wave_stall``."""
        oldest = self._clock.elapsed() - self._settings.options.wave_stall
        return frozenset(name for name, (_, seen) in self._seen.items() if seen < oldest)

    def is_due(self, data_centre: str) -> bool:
        """Returns whether the data centre has to report again although nothing changed."""
        known = self._seen.get(data_centre)
        return known is not None and self._clock.elapsed() - known[1] > self.interval
