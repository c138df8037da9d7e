"""Time for which workers have been unresponsive, measured across successive owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayshore.clock import Clock

# Prefix of ledger keys for the time for which a worker has been unresponsive.
UNRESPONSIVE_PREFIX = "~"
# Marks a duration in ms; earlier versions recorded a time of day without it.
DURATION_MARK = b"+"
# Owners stop recording within seconds of the bound on leases, so a longer duration is an error.
MAX_DURATION_MS = 24 * 3_600_000
# Interval at which the time is recorded anew, so that a later owner continues from it.
RECORD_INTERVAL_SECONDS = 1.0


class _Loss(NamedTuple):
    """Loss of contact: seconds measured by earlier owners, and local times in seconds."""

    earlier_seconds: float
    since: float
    recorded_at: float


class ContactLoss:
    """Measures how long each worker has been unresponsive and records it.

    Each owner measures with its own monotonic clock. A later owner continues from the recorded
    duration, so that repeated handovers do not restart the wait for the worker's leases and jumps
    of the time of day do not shorten it. The time between two owners is not counted.

    Parameters
    ----------
    clock : Clock
    ledger : Ledger
    """

    def __init__(self, clock: Clock, ledger: Ledger) -> None:
        self._clock = clock
        self._ledger = ledger
        self._losses: dict[str, _Loss] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def restore(self, worker: str, value: bytes) -> None:
        """Continues from the duration that an earlier owner recorded.

        From a record that cannot be read, the whole time is waited again.
        """
        seconds = 0.0
        if value.startswith(DURATION_MARK):
            try:
                seconds = parse_count(value.removeprefix(DURATION_MARK), MAX_DURATION_MS) / 1000
            except MalformedDocument as error:
                unreadable_records.note(self._ledger.topic, UNRESPONSIVE_PREFIX + worker, error)
        now = self._now()
        self._losses[worker] = _Loss(seconds, now, now)

    def begin(self, worker: str) -> None:
        """Starts measuring, unless the worker is known as unresponsive."""
        if worker not in self._losses:
            now = self._now()
            self._losses[worker] = _Loss(0.0, now, now)
            self._record(worker)

    def end(self, worker: str) -> bool:
        """Stops measuring; returns whether the worker was known as unresponsive."""
        if self._losses.pop(worker, None) is None:
            return False
        self._record(worker)
        return True

    def measure_seconds(self, worker: str) -> float:
        """Returns for how long the worker has been unresponsive, 0 if it responds."""
        loss = self._losses.get(worker)
        return loss.earlier_seconds + self._now() - loss.since if loss else 0.0

    def record_progress(self, limit_seconds: float) -> None:
        """Records the durations whose last record is older than ``RECORD_INTERVAL_SECONDS``.

        Durations beyond ``limit_seconds`` need no further record.
        """
        now = self._now()
        for worker, loss in list(self._losses.items()):
            recorded_seconds = loss.earlier_seconds + loss.recorded_at - loss.since
            if (
                now - loss.recorded_at >= RECORD_INTERVAL_SECONDS
                and recorded_seconds <= limit_seconds
            ):
                self._losses[worker] = loss._replace(recorded_at=now)
                self._record(worker)

    def _record(self, worker: str) -> None:
        def encode() -> bytes:
            if worker not in self._losses:
                return b""
            return DURATION_MARK + str(int(self.measure_seconds(worker) * 1000)).encode()

        self._ledger.mark_dirty(UNRESPONSIVE_PREFIX + worker, encode)
