"""Start and end of waves in all data centres, by the holder of the claim ``maintenance``."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from mode import Service

from carawayd.process.appender import NotAppended, Priority
from carawayshore import records
from carawayshore.maintenance import Fleet, Planner, build_fleet, find_stop_reason

if TYPE_CHECKING:
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.metrics import Metrics
    from carawayd.process.reports import ReportWatch
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock
    from carawayshore.fold import Wave

logger = logging.getLogger(__name__)

# Pause after planning, as a multiple of its duration, which keeps planning below 1% of a core: a
# plan for 8,000 hosts takes tens of milliseconds.
PLAN_PAUSE_FACTOR = 100


def format_time(clock: Clock) -> str:
    """Returns the time of day as RFC 3339 in UTC with microseconds."""
    return clock.now().isoformat(timespec="microseconds")


class MaintenanceController(Service):
    """Starts one wave at a time and ends it when all its hosts are completed or it has stalled.

    Parameters
    ----------
    claim : ClaimRenewer
        Of the claim ``maintenance``.
    reader, appender
        Of the global stream.
    versions : Versions
    watch : ReportWatch
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        claim: ClaimRenewer,
        reader: StreamReader,
        appender: Appender,
        *,
        versions: Versions,
        watch: ReportWatch,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._claim = claim
        self._reader = reader
        self._appender = appender
        self._versions = versions
        self._watch = watch
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._append_pending = False
        self._progress: tuple[str, int] = ("", 0)
        self._last_progress = clock.elapsed()

    @Service.task
    async def _control(self) -> None:
        while not self.should_stop:
            start = self._clock.elapsed()
            if (
                self._claim.holds()
                and self._versions.current is not None
                and not self._append_pending
            ):
                self._take_step()
            duration = self._clock.elapsed() - start
            pause = max(self._settings.options.controller, duration * PLAN_PAUSE_FACTOR)
            await self._clock.sleep(pause)

    def build_fleet(self) -> Fleet:
        """Returns the fleet in the folded state; this does not require holding the claim."""
        configuration = self._versions.current.configuration
        return build_fleet(self._reader.folded, configuration, silent=self._watch.list_silent())

    def build_planner(self) -> Planner:
        """Returns a planner for the current fleet and time."""
        return Planner(self.build_fleet(), self._clock.now())

    def _take_step(self) -> None:
        state = self._reader.folded
        for name, wave in state.waves.items():
            self._end_wave(name, wave)
            return
        planned = self.build_planner().choose_wave()
        if planned is None:
            return
        name = f"{planned.data_centre}-{planned.rack}-{state.next_offset}"
        fence, at = self._claim.fence, format_time(self._clock)
        self._submit(records.WaveStarted(name, planned.data_centre, planned.hosts, fence, at))

    def _end_wave(self, name: str, wave: Wave) -> None:
        """Ends a wave that is complete, or that made no progress within ``wave_stall``.

        A data centre that is cut off must not block the others. The hosts that it started to drain
        stay counted as unavailable, and it skips the others when it reconnects.
        """
        complete = len(wave.done) == len(wave.hosts)
        if not complete and not self._is_stalled(name, wave):
            return
        if not complete:
            left = sorted(set(wave.hosts) - set(wave.done))
            logger.warning(
                "wave %s made no progress within its limit, ending it as stalled",
                name,
                extra={"fields": {"left": left}},
            )
        at = format_time(self._clock)
        body = records.WaveFinished(name, self._claim.fence, at, stalled=not complete)
        self._submit(body)

    def _is_stalled(self, name: str, wave: Wave) -> bool:
        """Returns whether no host was completed within ``wave_stall``.

        Time during which maintenance is stopped does not count.
        """
        progress = (name, len(wave.done))
        if progress != self._progress or find_stop_reason(self._reader.folded):
            self._progress, self._last_progress = progress, self._clock.elapsed()
        return self._clock.elapsed() - self._last_progress > self._settings.options.wave_stall

    def _submit(self, body: Any) -> None:
        """Submits one step; the next one follows once the outcome of the append is known."""
        try:
            future = self._appender.submit(body, Priority.FLEET)
        except NotAppended:
            return
        self._append_pending = True
        future.add_done_callback(self._handle_append_done)

    def _handle_append_done(self, done: Any) -> None:
        self._append_pending = False
        if not done.cancelled():
            done.exception()

    def describe(self) -> dict[str, Any]:
        """Returns the state of planning for the dump."""
        idle = self._clock.elapsed() - self._last_progress
        return {
            "silent_data_centres": sorted(self._watch.list_silent()),
            "stopped": find_stop_reason(self._reader.folded),
            "append_pending": self._append_pending,
            "wave": self._progress[0],
            "hosts_done": self._progress[1],
            "seconds_without_progress": idle.total_seconds(),
        }
