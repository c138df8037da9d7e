"""Entries of the workers on which tasks were ordered, kept for later owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayd.unreadable import unreadable_records
from carawayshore.decoding import (
    MalformedDocument,
    check_address,
    check_bounds,
    decode_json,
    reject,
)
from carawayshore.workflows.model import WorkerEntry

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger

# Prefix of ledger keys for the entry of a worker.
WORKER_PREFIX = "@"


class KnownWorkers:
    """Entries of workers that have been ordered tasks.

    A worker may leave the worker list, or be missing there, while the partition has no owner. The
    next owner then reads its address from the ledger.

    Parameters
    ----------
    ledger : Ledger
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._entries: dict[str, WorkerEntry] = {}

    def restore(self, worker: str, value: bytes) -> None:
        """Applies the record of an earlier owner; one that cannot be read is noted."""
        if not value:
            return
        try:
            entry = decode_json(value, WorkerEntry)
            check_bounds(entry)
            check_address(entry.address, "/2")
            capacity = (entry.millicores, entry.memory_mb, entry.accelerators)
            if min(capacity) < 0:
                raise reject("/5", min(capacity), "a capacity from 0")
            if entry.worker != worker:
                raise reject("/0", entry.worker, f"the worker of the record, {worker}")
        except MalformedDocument as error:
            unreadable_records.note(self._ledger.topic, WORKER_PREFIX + worker, error)
            return
        self._entries[worker] = entry

    def find_entry(self, worker: str) -> WorkerEntry | None:
        return self._entries.get(worker)

    def record(self, entry: WorkerEntry) -> None:
        """Records the entry of a worker, unless its address and start are already recorded."""
        known = self._entries.get(entry.worker)
        if known is None or (known.address, known.born) != (entry.address, entry.born):
            self._write(entry)

    def record_state(self, entry: WorkerEntry) -> None:
        """Records that a worker has begun to leave, or leaves no more, if its entry is recorded.

        A later owner would take the end of a worker that was ready for a crash.
        """
        known = self._entries.get(entry.worker)
        if known is not None and known.born == entry.born and known.state != entry.state:
            self._write(entry)

    def _write(self, entry: WorkerEntry) -> None:
        self._entries[entry.worker] = entry
        # Hosts of an earlier version read no record with the time left, which is not needed.
        self._ledger.mark_dirty(
            WORKER_PREFIX + entry.worker, lambda: msgspec.json.encode(entry[:-1])
        )

    def list_workers(self) -> list[str]:
        return list(self._entries)

    def forget(self, worker: str) -> None:
        """Removes the entry of a worker on which no tasks can run."""
        if self._entries.pop(worker, None) is not None:
            self._ledger.mark_dirty(WORKER_PREFIX + worker, bytes)
