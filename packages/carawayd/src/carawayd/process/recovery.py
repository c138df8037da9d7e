"""Recovery of the state of a stream from its snapshots."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from carawayshore import records
from carawayshore.fold import StreamState

if TYPE_CHECKING:
    from carawayd.platform.log import LoggedRecord

# An append is limited to 256 KiB, and JSON escapes can double the length of a part.
MAX_PART_CHARACTERS = 96 * 1024


def split_snapshot(through: int, data: bytes) -> list[records.Snapshot]:
    """Returns the records of a snapshot of the encoded state ``data``."""
    text = data.decode()
    digest = hashlib.sha256(data).hexdigest()
    parts = [text[at : at + MAX_PART_CHARACTERS] for at in range(0, len(text), MAX_PART_CHARACTERS)]
    return [
        records.Snapshot(through, digest, number, len(parts), part)
        for number, part in enumerate(parts)
    ]


class SnapshotAssembler:
    """Collects snapshot parts and returns the newest complete snapshot with a correct digest."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self._parts: dict[tuple[int, str, int], dict[int, str]] = {}

    def add(self, item: LoggedRecord) -> None:
        """Adds a record read from the stream; records other than snapshots are ignored."""
        decoded = records.decode_record(item.record)
        if not isinstance(decoded, Success):
            return
        body = decoded.unwrap().body
        if isinstance(body, records.Snapshot):
            key = (body.through, body.digest, body.parts)
            self._parts.setdefault(key, {})[body.part] = body.data

    def choose(self, *, oldest: int) -> StreamState | None:
        """Returns the newest complete state after which reading starts at ``oldest`` or later."""
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
