"""Cordons of workers, which outlive the owner that set them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayshore.clock import Clock

# Prefix of ledger keys for the lifetime of a worker's cordon.
CORDON_PREFIX = "!"
# Limit of a recorded lifetime; earlier versions recorded a time of day instead.
MAX_LIFETIME_SECONDS = 30.0
# Interval at which the lifetimes that have passed are recorded, so that a later owner continues.
RECORD_INTERVAL_SECONDS = 1.0
# The same after a takeover, so that owners that follow each other quickly make progress together.
FIRST_RECORD_SECONDS = 0.2


class _Cordon(NamedTuple):
    """State of a cordon.

    Parameters
    ----------
    until : float
        End in seconds of the local clock.
    recorded_seconds : float
        Lifetime that was recorded last.
    is_durable : bool
        Whether a record of that lifetime or of a longer one is known to be in the store.
    is_restored : bool
        Whether an earlier owner set the cordon, and nobody has renewed it since.
    """

    until: float
    recorded_seconds: float
    is_durable: bool = False
    is_restored: bool = False


class Cordons:
    """Ends of the cordons of workers, and their records.

    A record holds the lifetime that is left at the time of recording. A later owner applies it from
    its takeover, so the cordon ends later than its holder asked for, never sooner, whatever the
    time of day of either host. It is recorded anew while it passes, so that owners that follow each
    other do not prolong the cordon by its whole lifetime each.

    Parameters
    ----------
    clock : Clock
    ledger : Ledger
    """

    def __init__(self, clock: Clock, ledger: Ledger) -> None:
        self._clock = clock
        self._ledger = ledger
        self._cordons: dict[str, _Cordon] = {}
        self._recorded_at = self._now()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def restore(self, worker: str, value: bytes) -> None:
        """Applies a cordon that an earlier owner recorded.

        A record that cannot be read, or holds a longer lifetime, counts as the longest one.
        """
        if not value:
            return
        lifetime = MAX_LIFETIME_SECONDS
        try:
            lifetime = min(parse_count(value) / 1000, MAX_LIFETIME_SECONDS)
        except MalformedDocument as error:
            unreadable_records.note(self._ledger.topic, CORDON_PREFIX + worker, error)
        now = self._now()
        self._cordons[worker] = _Cordon(now + lifetime, lifetime, is_durable=True, is_restored=True)
        self._recorded_at = now + FIRST_RECORD_SECONDS - RECORD_INTERVAL_SECONDS

    def find_end(self, worker: str) -> float | None:
        """Returns the end of a worker's cordon, None if it has none."""
        cordon = self._cordons.get(worker)
        return cordon.until if cordon is not None else None

    def extend(self, worker: str, seconds: float) -> float:
        """Sets or renews a cordon; returns the lifetime whose record has to become durable first.

        It is 0 if none has to. Renewals arrive several times a second. One is recorded only if the
        recorded lifetime, which a later owner applies from its takeover, is shorter.
        """
        until = self._now() + seconds
        cordon = self._cordons.get(worker, _Cordon(0.0, 0.0))
        until = max(until, cordon.until)
        cordon = self._cordons[worker] = cordon._replace(until=until, is_restored=False)
        if cordon.recorded_seconds < seconds:
            cordon = self._cordons[worker] = cordon._replace(is_durable=False)
            self._record(worker, seconds)
        return 0.0 if cordon.is_durable else self._cordons[worker].recorded_seconds

    def note_durable(self, worker: str, seconds: float) -> None:
        """Notes that the record of a cordon's lifetime has been written."""
        cordon = self._cordons.get(worker)
        if cordon is not None and cordon.recorded_seconds <= seconds:
            self._cordons[worker] = cordon._replace(is_durable=True)

    def record_progress(self) -> None:
        """Records what is left of restored cordons, and of others once an interval has passed.

        Cordons that are renewed have their whole lifetime left, and need no record.
        """
        now = self._now()
        if now - self._recorded_at < RECORD_INTERVAL_SECONDS:
            return
        self._recorded_at = now
        for worker, cordon in list(self._cordons.items()):
            left = cordon.until - now
            passed = cordon.recorded_seconds - left
            if left > 0.0 and (cordon.is_restored or passed >= RECORD_INTERVAL_SECONDS):
                self._record(worker, left)

    def _record(self, worker: str, lifetime: float) -> None:
        self._cordons[worker] = self._cordons[worker]._replace(recorded_seconds=lifetime)
        self._ledger.mark_dirty(
            CORDON_PREFIX + worker, lambda: str(math.ceil(lifetime * 1000)).encode()
        )

    def end(self, worker: str) -> None:
        """Removes the cordon of a worker."""
        if self._cordons.pop(worker, None) is not None:
            self._ledger.mark_dirty(CORDON_PREFIX + worker, bytes)
