"""Entries of the workers on which tasks were ordered, kept for later owners."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from carawayshore.workflows.model import WorkerEntry

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
logger = logging.getLogger(__name__)

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
        if not value:
            return
        try:
            self._entries[worker] = msgspec.json.decode(value, type=WorkerEntry)
        except msgspec.MsgspecError as error:
            logger.warning(
                "recorded entry of a worker is unreadable; skipping it",
                extra={"fields": {"worker": worker, "error": str(error)}},
            )

    def find_entry(self, worker: str) -> WorkerEntry | None:
        return self._entries.get(worker)

    def record(self, entry: WorkerEntry) -> None:
        """Records the entry of a worker, unless its address and start are already recorded."""
        known = self._entries.get(entry.worker)
        if known is None or (known.address, known.born) != (entry.address, entry.born):
            self._entries[entry.worker] = entry
            self._ledger.mark_dirty(
                WORKER_PREFIX + entry.worker, lambda: msgspec.json.encode(entry)
            )

    def list_workers(self) -> list[str]:
        return list(self._entries)

    def forget(self, worker: str) -> None:
        """Removes the entry of a worker on which no tasks can run."""
        if self._entries.pop(worker, None) is not None:
            self._ledger.mark_dirty(WORKER_PREFIX + worker, bytes)
