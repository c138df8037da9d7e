"""Queues that have moved away from the services of a partition, as known to its owners.

An entry host submits a workflow to the present owner of a queue once the former owners do not know
it. Their answer has to hold from then on: another entry host may repeat the submission by an
earlier configuration. So an owner that has been asked accepts no submissions by versions before
that of the question, and records it for its successors.

Load pattern: one record for each move of a queue that is followed by a submission, whatever the
number of submissions.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayshore.workflows.model import QueueVersion

# Prefix of ledger keys for the version by which a queue has moved away.
MOVED_PREFIX = ">"


def _build_key(queue: QueueVersion) -> str:
    address = msgspec.json.encode([queue.host, queue.prefix])
    return MOVED_PREFIX + hashlib.blake2b(address, digest_size=16).hexdigest()


class MovedQueues:
    """Versions by which queues have moved away.

    Parameters
    ----------
    ledger : Ledger
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._versions: dict[str, int] = {}

    def restore(self, key: str, value: bytes) -> None:
        """Applies the record of an earlier owner; one that cannot be read is noted."""
        try:
            self._versions[key] = parse_count(value)
        except MalformedDocument as error:
            unreadable_records.note(self._ledger.topic, key, error)

    def find_version(self, queue: QueueVersion) -> int:
        """Returns the version before which submissions to a queue are refused, 0 for none."""
        return self._versions.get(_build_key(queue), 0)

    def record(self, queue: QueueVersion) -> str:
        """Refuses submissions by earlier versions from now on; returns the key of the record."""
        key = _build_key(queue)
        if queue.version > self._versions.get(key, 0):
            self._versions[key] = queue.version
            self._ledger.mark_dirty(key, lambda: str(self._versions[key]).encode())
        return key
