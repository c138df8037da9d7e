"""Content of large responses, generated from the path so that a caller can verify every byte."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

PAGE_BYTES = 64 * 1024
_COUNTER_BYTES = 8


def generate_pages(path: str, size: int) -> Iterator[bytes]:
    """Yields the ``size`` bytes of content for ``path``, in pages of 64 KiB.

    Each page is the SHAKE-256 digest of the path, with its first 8 bytes replaced by the page
    number (big-endian), so that missing, repeated and reordered pages are detected.
    """
    page = hashlib.shake_256(path.encode()).digest(PAGE_BYTES)
    for number in range(-(-size // PAGE_BYTES)):
        length = min(PAGE_BYTES, size - number * PAGE_BYTES)
        yield (number.to_bytes(_COUNTER_BYTES, "big") + page[_COUNTER_BYTES:])[:length]


class ContentVerifier:
    """Compares a streamed response with the content of its path, chunk by chunk.

    Parameters
    ----------
    path : str
    size : int
        Expected number of bytes.
    """

    def __init__(self, path: str, size: int) -> None:
        self._pages = generate_pages(path, size)
        self._expected = b""
        self._remaining = size
        self._matches = True

    def feed(self, chunk: bytes) -> None:
        self._remaining -= len(chunk)
        while chunk and self._matches:
            self._expected = self._expected or next(self._pages, b"")
            length = min(len(chunk), len(self._expected))
            self._matches = length > 0 and chunk[:length] == self._expected[:length]
            chunk, self._expected = chunk[length:], self._expected[length:]

    def is_prefix(self) -> bool:
        """Returns whether the bytes fed so far are a prefix of the expected content."""
        return self._matches

    def is_complete(self) -> bool:
        """Returns whether exactly the expected content was fed."""
        return self._matches and self._remaining == 0
