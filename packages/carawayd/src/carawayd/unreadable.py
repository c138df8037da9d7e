"""Records that this process could not read or apply, counted and logged within bounds.

Load pattern: the list of workers is read four times a second, and a malformed record stays in it
until its writer replaces it. So each record is logged once for each fault, and counted each time.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from carawayd.supervision import unexpected_errors
from carawayshore.decoding import MalformedDocument, shorten

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayd.platform.store import KeyedRecord

logger = logging.getLogger(__name__)

# Distinct faults that are logged in the life of a process; further ones are only counted.
MAX_LOGGED_FAULTS = 1_000


class UnreadableRecords:
    """Counts by topic of the records that were skipped."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        # Topic, key and fault of the records that were logged.
        self.logged_faults: set[tuple[str, str, str]] = set()

    def note(self, topic: str, key: str, error: Exception) -> None:
        """Counts a record, and logs it unless the same fault of the record was logged before."""
        self.counts[topic] += 1
        is_malformed = isinstance(error, MalformedDocument)
        kind = error.finding.pointer if is_malformed else type(error).__name__
        if not is_malformed:
            unexpected_errors.count += 1
        fault = (topic, key, kind)
        if fault in self.logged_faults or len(self.logged_faults) >= MAX_LOGGED_FAULTS:
            return
        self.logged_faults.add(fault)
        logger.warning(
            "record cannot be read; skipping it",
            extra={"fields": {"topic": topic, "key": shorten(key), "error": str(error)}},
            exc_info=None if is_malformed else error,
        )

    def apply_each(
        self, topic: str, records: Iterable[KeyedRecord], apply: Callable[[str, bytes], None]
    ) -> set[str]:
        """Applies records one by one and returns the keys of those that were skipped.

        A record whose application fails, for whatever reason, does not keep the others from being
        applied.
        """
        skipped = set()
        for key, value in records:
            try:
                apply(key, value)
            except Exception as error:
                self.note(topic, key, error)
                skipped.add(key)
        return skipped


unreadable_records = UnreadableRecords()
