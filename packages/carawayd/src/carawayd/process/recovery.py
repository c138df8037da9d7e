"""Recovery of a folded state from the snapshots of a stream."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from carawayshore import records
from carawayshore.fold import StreamState

if TYPE_CHECKING:
    from carawayd.platform.log import LoggedRecord

# An append takes at most 256 KiB; JSON escapes can make a part up to twice as long.
PART_CHARACTERS = 96 * 1024


def split_snapshot(through: int, data: bytes) -> list[records.Snapshot]:
    """Returns the records of a snapshot of the encoded state ``data``."""
    text = data.decode()
    digest = hashlib.sha256(data).hexdigest()
    parts = [text[at : at + PART_CHARACTERS] for at in range(0, len(text), PART_CHARACTERS)]
    return [
        records.Snapshot(through, digest, number, len(parts), part)
        for number, part in enumerate(parts)
    ]


class SnapshotAssembler:
    """Collects snapshot parts and returns the newest whole one whose digest is right."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self._parts: dict[tuple[int, str, int], dict[int, str]] = {}

    def add(self, item: LoggedRecord) -> None:
        """Takes note of a record read from the stream."""
        decoded = records.decode_record(item.record)
        if not isinstance(decoded, Success):
            return
        body = decoded.unwrap().body
        if isinstance(body, records.Snapshot):
            key = (body.through, body.digest, body.parts)
            self._parts.setdefault(key, {})[body.part] = body.data

    def choose(self, *, oldest: int) -> StreamState | None:
        """Returns the newest whole state that continues at offset ``oldest`` or later."""
        for (through, digest, parts), found in sorted(self._parts.items(), reverse=True):
            if through < oldest or len(found) != parts:
                continue
            data = "".join(found[number] for number in range(parts)).encode()
            if hashlib.sha256(data).hexdigest() != digest:
                continue
            try:
                return StreamState.decode(data)
            except msgspec.MsgspecError:
                continue
        return None
