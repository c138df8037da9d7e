"""Content of large answers: a function of the path, so that a caller can verify every byte."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

PAGE_BYTES = 64 * 1024
_COUNTER_BYTES = 8


def generate_pages(path: str, size: int) -> Iterator[bytes]:
    """Yields the ``size`` bytes that belong to ``path``, in pages of 64 KiB.

    Each page is SHAKE-256 of the path, with its first 8 bytes replaced by the number of the page
    (big-endian), so that a page that is missing, repeated or out of order is noticed.
    """
    page = hashlib.shake_256(path.encode()).digest(PAGE_BYTES)
    for number in range(-(-size // PAGE_BYTES)):
        length = min(PAGE_BYTES, size - number * PAGE_BYTES)
        yield (number.to_bytes(_COUNTER_BYTES, "big") + page[_COUNTER_BYTES:])[:length]


class ContentVerifier:
    """Compares a streamed answer with the content of its path, piece by piece.

    Parameters
    ----------
    path : str
    size : int
        Expected number of bytes.
    """

    def __init__(self, path: str, size: int) -> None:
        self._pages = generate_pages(path, size)
        self._expected = b""
        self._missing = size
        self._equal = True

    def feed(self, piece: bytes) -> None:
        self._missing -= len(piece)
        while piece and self._equal:
            self._expected = self._expected or next(self._pages, b"")
            length = min(len(piece), len(self._expected))
            self._equal = length > 0 and piece[:length] == self._expected[:length]
            piece, self._expected = piece[length:], self._expected[length:]

    def is_equal(self) -> bool:
        """Returns whether the bytes fed so far are the first ones of the content."""
        return self._equal

    def is_whole(self) -> bool:
        """Returns whether exactly the expected bytes were fed."""
        return self._equal and self._missing == 0
