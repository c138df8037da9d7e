"""Records of the machines whose upkeep has begun, by wave.

The machines of a wave are recorded in parts of bounded size, so that the record of one more machine
does not grow with the wave.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from carawayd.platform.documents import WAVE_PREFIX
from carawayshore.decoding import MalformedDocument, decode_json, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger

logger = logging.getLogger(__name__)

# Machines in one record. Earlier versions read the first record of a wave only.
MACHINES_PER_RECORD = 64


class UpkeepRecords:
    """Machines of each wave whose upkeep has begun.

    Parameters
    ----------
    ledger : Ledger
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._parts: dict[int, dict[int, list[str]]] = {}
        self._begun: dict[int, set[str]] = {}

    def list_begun(self, wave: int) -> frozenset[str]:
        return frozenset(self._begun.get(wave, ()))

    def restore(self, key: str, value: bytes) -> None:
        """Applies the record of an earlier holder; one that cannot be read is skipped."""
        try:
            wave, *part = (parse_count(text) for text in key.removeprefix(WAVE_PREFIX).split("/"))
            machines = decode_json(value, list[str])
        except MalformedDocument as error:
            logger.error(
                "could not decode wave record; skipping it",
                extra={"fields": {"key": key, "error": str(error)}},
            )
            return
        self._parts.setdefault(wave, {})[part[0] if part else 0] = machines
        self._begun.setdefault(wave, set()).update(machines)

    def record(self, wave: int, machine: str) -> None:
        """Queues the record that the upkeep of a machine has begun."""
        begun = self._begun.setdefault(wave, set())
        if machine in begun:
            return
        begun.add(machine)
        parts = self._parts.setdefault(wave, {})
        number = max(parts, default=0)
        if len(parts.setdefault(number, [])) >= MACHINES_PER_RECORD:
            number += 1
            parts[number] = []
        machines = parts[number]
        machines.append(machine)
        key = f"{WAVE_PREFIX}{wave}" + (f"/{number}" if number else "")
        self._ledger.mark_dirty(key, lambda: msgspec.json.encode(machines))
