"""Cordons of workers, which outlive the owner that set them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayshore.clock import Clock

# Prefix of ledger keys for the lifetime of a worker's cordon.
CORDON_PREFIX = "!"
# Limit of a recorded lifetime; earlier versions recorded a time of day instead.
MAX_LIFETIME_SECONDS = 30.0
# A cordon is recorded anew once less than this share of its lifetime is left in the record.
RENEWAL_SHARE = 0.5


class Cordons:
    """Ends of the cordons of workers, and their records.

    The record holds the lifetime at the time of recording. A later owner applies it from its
    takeover, so the cordon ends later than its holder asked for, never sooner, whatever the time
    of day of either host.

    Parameters
    ----------
    clock : Clock
    ledger : Ledger
    """

    def __init__(self, clock: Clock, ledger: Ledger) -> None:
        self._clock = clock
        self._ledger = ledger
        # End of each cordon as recorded, in seconds of the monotonic clock.
        self._ends: dict[str, float] = {}

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
        self._ends[worker] = self._now() + lifetime

    def find_end(self, worker: str) -> float | None:
        """Returns the recorded end of a worker's cordon, None if it has none."""
        return self._ends.get(worker)

    def extend(self, worker: str, seconds: float) -> bool:
        """Sets or renews a cordon; returns whether a record has to become durable for it.

        Renewals arrive several times a second, so only those are recorded that are needed.
        """
        left = self._ends.get(worker, 0.0) - self._now()
        if left >= seconds * RENEWAL_SHARE:
            return False
        self._ends[worker] = self._now() + seconds
        self._ledger.mark_dirty(CORDON_PREFIX + worker, lambda: str(int(seconds * 1000)).encode())
        return True

    def end(self, worker: str) -> None:
        """Removes the cordon of a worker."""
        if self._ends.pop(worker, None) is not None:
            self._ledger.mark_dirty(CORDON_PREFIX + worker, bytes)
