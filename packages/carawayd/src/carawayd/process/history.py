"""Configuration versions that this process has read since it started, bounded in size."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from datetime import datetime

    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

MAX_VERSIONS = 256
# Holds about 100 documents: one with 54 pools takes about 20 KB.
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024


class ObservedVersion(NamedTuple):
    """A configuration version and the time at which this process read it.

    Parameters
    ----------
    version : int
    author : str
    seen : datetime
        Wall clock time of this entry host, since log records have no timestamp.
    at_start : bool
        Whether it was read during catch-up, in which case it may be much older than ``seen``.
    text : str
        The document as JSON, empty after it was dropped to limit memory use.
    """

    version: int
    author: str
    seen: datetime
    at_start: bool
    text: str

    def describe(self) -> dict[str, Any]:
        """Returns the version without its document."""
        return {
            "version": self.version,
            "author": self.author,
            "seen": self.seen.isoformat(),
            "at_start": self.at_start,
            "document_kept": bool(self.text),
        }


class VersionHistory:
    """Collects the configuration versions of the global stream.

    Parameters
    ----------
    reader : StreamReader
        Reader of the global stream.
    clock : Clock
    """

    def __init__(self, reader: StreamReader, clock: Clock) -> None:
        self.since = clock.now()
        self._reader = reader
        self._clock = clock
        self._versions: deque[ObservedVersion] = deque(maxlen=MAX_VERSIONS)
        reader.add_listener(lambda applied: self._add_current())
        # A state adopted from a peer or a snapshot skips the records before it.
        reader.add_batch_listener(self._add_current)

    def _add_current(self) -> None:
        current = self._reader.folded.configuration
        if current.version <= (self._versions[-1].version if self._versions else 0):
            return
        text = json.dumps(current.document)
        at_start = not self._reader.caught_up.is_set()
        observed = ObservedVersion(
            current.version, current.author, self._clock.now(), at_start, text
        )
        self._versions.append(observed)
        self._drop_documents()

    def _drop_documents(self) -> None:
        left = MAX_DOCUMENT_BYTES
        for index in range(len(self._versions) - 1, -1, -1):
            left -= len(self._versions[index].text)
            if left < 0:
                self._versions[index] = self._versions[index]._replace(text="")

    def list_versions(self) -> list[ObservedVersion]:
        """Returns the observed versions, oldest first, at most ``MAX_VERSIONS``."""
        return list(self._versions)

    def find_version(self, version: int) -> ObservedVersion | None:
        """Returns a version with its document, None if the document is not kept."""
        for observed in self._versions:
            if observed.version == version and observed.text:
                return observed
        return None
