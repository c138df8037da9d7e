"""Framing of HTTP/1.1 requests in bounded memory, without input and output.

Handles callers whose heads exceed the limit or never end, whose bodies stop before their end, and
whose chunks are very small: what is held is at most one head, one compact body, and the bytes that
were received after the request that is being taken.
"""

from __future__ import annotations

import re
from typing import NamedTuple

# Longest line with the size of a chunk and its extensions, and most bytes of all extensions of a
# body. Senders of chunks rarely use extensions.
MAX_CHUNK_LINE_BYTES = 1_024
MAX_EXTENSION_BYTES = 16_384
# Bodies whose chunks carry fewer bytes than this on average are fragmented: decoding them takes
# longer for each byte received, so that they are read in smaller pieces.
FRAGMENTED_CHUNK_BYTES = 64
# Up to this size, adjoining chunks of one size are decoded together.
MAX_BATCH_CHUNK_BYTES = 16
MIN_BATCH_CHUNKS = 8
# Steps of decoding, three for each chunk, after which `take` returns, so that very small chunks of
# different sizes delay others by a few milliseconds only.
MAX_DECODE_STEPS = 1_000

# Bodies are held in blocks of one size after a small first one. Buffers that grow in place, many at
# once, left five times their size unusable in the allocator.
FIRST_BLOCK_BYTES = 1_024
# Bodies up to this size are joined with their head, since aiohttp takes longer for two pieces than
# for one.
JOINED_BYTES = 16_384
BLOCK_BYTES = 16_384

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_HEAD = re.compile(
    rb"(" + _TOKEN + rb") [\x21-\x7e\x80-\xff]++ HTTP/1\.([01])\r\n"
    rb"(?:" + _TOKEN + rb":[^\r\n\0]*+\r\n)*+\r\n"
)
_FRAMING_FIELD = re.compile(
    rb"\r\n(content-(?:length|encoding)|transfer-encoding|expect|upgrade):[ \t]*+([^\r\n]*+)",
    re.IGNORECASE,
)
_TRANSFER_ENCODING = re.compile(rb"\r\ntransfer-encoding:[^\r\n]*+", re.IGNORECASE)
_UPGRADE = re.compile(rb"\r\nupgrade:[^\r\n]*+", re.IGNORECASE)
_LENGTH = re.compile(rb"[0-9]{1,15}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*+(;[^\r\n\0]*+)?+")
_EMPTY_LINES = re.compile(rb"(?:\r\n)++")


class FramingLimits(NamedTuple):
    """Limits of requests in bytes.

    Parameters
    ----------
    max_head, max_body : int
        Largest head, with the empty lines before it, and largest body.
    max_collected : int
        Largest body that is held until it is complete; a larger one is passed on in parts.
    """

    max_head: int
    max_body: int
    max_collected: int


class RequestPart(NamedTuple):
    """Bytes of a request in the form in which they are passed on.

    Parameters
    ----------
    pieces : tuple of bytes
    begins, ends : bool
        Whether it contains the head, and whether it contains the end of the request.
    fields : int
        Number of lines of the head.
    compressed : bool
        Whether the body is encoded, so that it may be larger than what is passed on.
    """

    pieces: tuple[bytes, ...]
    begins: bool
    ends: bool
    fields: int
    compressed: bool


class FramingError(NamedTuple):
    """Why a request is refused; ``status`` is that of the response."""

    status: int
    detail: str


class _Head(NamedTuple):
    data: bytes
    length: int | None
    chunked: bool
    expects_continue: bool
    compressed: bool


class _Blocks:
    """Bytes in blocks that do not grow; ``size`` of them are in use of ``allocated``."""

    __slots__ = ("size", "allocated", "_blocks", "_free")

    def __init__(self) -> None:
        self.size = self.allocated = self._free = 0
        self._blocks: list[bytearray] = []

    def append(self, data: bytes | bytearray | memoryview) -> None:
        start, count = 0, len(data)
        while start < count:
            if not self._free:
                self._free = BLOCK_BYTES if self._blocks else FIRST_BLOCK_BYTES
                self._blocks.append(bytearray(self._free))
                self.allocated += self._free
            block = self._blocks[-1]
            used = min(self._free, count - start)
            at = len(block) - self._free
            block[at : at + used] = data[start : start + used]
            self._free -= used
            start += used
        self.size += count

    def take(self) -> bytes:
        """Returns all bytes, and holds none any more."""
        if self._free:
            del self._blocks[-1][-self._free :]
        data = b"".join(self._blocks)
        self._blocks.clear()
        self.size = self.allocated = self._free = 0
        return data


class RequestFramer:
    """Frames the requests of one connection.

    ``receive`` takes bytes, and ``take`` returns the next part of a request. The parts of a request
    do not depend on how its bytes were split, except for the parts of a body above
    ``max_collected``. After a ``FramingError`` the connection cannot be used any more.

    Attributes
    ----------
    wants_continue : bool
        Whether the sender waits for ``100 Continue``; the caller of this class clears it.
    has_more : bool
        Whether ``take`` stopped decoding early, and is to be called again without further bytes.
    """

    def __init__(self) -> None:
        self.wants_continue = False
        self.has_more = False
        self._buffer = bytearray()
        self._scanned = 0
        self._empty_lines = 0
        self._head: _Head | None = None
        self._passes_on = False
        self._remaining = 0
        self._body = _Blocks()
        # State of a chunked body.
        # Unbound, since a bound method would keep the framer alive until a garbage collection.
        self._decode = RequestFramer._decode_size
        self._decoded = 0
        self._chunks = 0
        self._extensions = 0
        self._trailers = 0
        self._body_ended = False

    @property
    def held(self) -> int:
        """Bytes that are held."""
        head = len(self._head.data) if self._head is not None else 0
        return len(self._buffer) + self._body.allocated + head

    @property
    def has_begun(self) -> bool:
        """Whether bytes of a request were received whose end was not taken yet."""
        return bool(self._buffer) or self._head is not None or self._empty_lines > 0

    @property
    def has_head(self) -> bool:
        """Whether the head of the current request is complete."""
        return self._head is not None

    @property
    def is_fragmented(self) -> bool:
        """Whether the current body consists of very small chunks."""
        return self._chunks > 0 and self._decoded < self._chunks * FRAGMENTED_CHUNK_BYTES

    def receive(self, data: bytes | memoryview) -> None:
        """Takes bytes that were received."""
        self._buffer += data

    def take(self, limits: FramingLimits) -> RequestPart | FramingError | None:
        """Returns the next part of a request, an error, or None if more bytes are needed."""
        if self._head is None:
            found = self._take_head(limits)
            if not isinstance(found, _Head):
                return found
            self._head = found
            if found.length is not None and found.length > limits.max_body:
                return FramingError(413, f"the body exceeds {limits.max_body} bytes")
            self._remaining = found.length or 0
            self.wants_continue = (
                found.expects_continue and (found.chunked or found.length) and not self._buffer
            )
        if self._head.chunked:
            return self._take_chunked(limits)
        return self._take_counted(limits)

    def _take_head(self, limits: FramingLimits) -> _Head | FramingError | None:
        buffer = self._buffer
        if buffer.startswith(b"\r\n"):
            end = _EMPTY_LINES.match(buffer).end()
            self._empty_lines += end
            del buffer[:end]
            self._scanned = 0
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        size = (end + 4 if end >= 0 else len(buffer) + 1) + self._empty_lines
        if size > limits.max_head:
            return FramingError(431, f"the head exceeds {limits.max_head} bytes")
        if end < 0:
            self._scanned = len(buffer)
            return None
        data = bytes(memoryview(buffer)[: end + 4])
        del buffer[: end + 4]
        self._scanned = self._empty_lines = 0
        return _parse_head(data)

    def _take_counted(self, limits: FramingLimits) -> RequestPart | None:
        """Takes a body of known length, or a request without a body."""
        buffer, body = self._buffer, self._body
        available = min(len(buffer), self._remaining)
        self._remaining -= available
        complete = not self._remaining
        if not self._passes_on and not complete:
            body.append(memoryview(buffer)[:available])
            del buffer[:available]
            if body.size + self._remaining <= limits.max_collected:
                return None
            if body.size < limits.max_collected:
                return None
            return self._pass_on((self._head.data, body.take()), True, False)
        if self._passes_on and not available:
            return None
        data = b""
        if available:
            data = bytes(memoryview(buffer)[:available])
            del buffer[:available]
        if body.size:
            data = body.take() + data
        if not self._passes_on:
            return self._pass_on(_join(self._head.data, data), True, True)
        return self._pass_on((data,), False, complete)

    def _pass_on(self, pieces: tuple[bytes, ...], begins: bool, ends: bool) -> RequestPart:
        self._passes_on = not ends
        head = self._head
        if ends:
            if head.chunked:
                self._decode = RequestFramer._decode_size
                self._decoded = self._chunks = self._extensions = self._trailers = 0
                self._body_ended = False
            self._head = None
            self.wants_continue = False
        return RequestPart(pieces, begins, ends, head.data.count(b"\r\n"), head.compressed)

    def _take_chunked(self, limits: FramingLimits) -> RequestPart | FramingError | None:
        """Decodes what was received of a chunked body, and takes it if it is due."""
        position = steps = 0
        self.has_more = False
        while not self._body_ended:
            steps += 1
            if steps > MAX_DECODE_STEPS:
                self.has_more = True
                break
            step = self._decode(self, position, limits)
            if isinstance(step, FramingError):
                return step
            if step is None:
                break
            position = step
        del self._buffer[:position]
        if self._body_ended and not self._passes_on:
            body = self._body.take()
            length = b"\r\nContent-Length: %d" % len(body)
            head = _TRANSFER_ENCODING.sub(length, self._head.data)
            return self._pass_on(_join(head, body), True, True)
        if not self._passes_on and self._body.size <= limits.max_collected:
            return None
        pieces = []
        begins = not self._passes_on
        if begins:
            pieces.append(self._head.data)
        if self._body.size:
            pieces.append(b"%x\r\n%s\r\n" % (self._body.size, self._body.take()))
        if self._body_ended:
            pieces.append(b"0\r\n\r\n")
        return self._pass_on(tuple(pieces), begins, self._body_ended) if pieces else None

    # Each of the following decodes from a position of the buffer. It returns the position from
    # which to continue, None if more bytes are needed, or an error.

    def _decode_size(self, position: int, limits: FramingLimits) -> int | FramingError | None:
        buffer = self._buffer
        end = buffer.find(b"\r\n", position, position + MAX_CHUNK_LINE_BYTES + 2)
        if end < 0:
            if len(buffer) - position >= MAX_CHUNK_LINE_BYTES + 2:
                return FramingError(400, "the line with the size of a chunk is too long")
            return None
        match = _CHUNK_SIZE.fullmatch(buffer, position, end)
        if match is None:
            return FramingError(400, "the size of a chunk is malformed")
        if match[2] is not None:
            self._extensions += len(match[2])
            if self._extensions > MAX_EXTENSION_BYTES:
                return FramingError(400, "the extensions of the chunks are too long")
        size = int(match[1], 16)
        if size == 0:
            self._decode = RequestFramer._decode_trailer
            return end + 2
        if self._decoded + size > limits.max_body:
            return FramingError(413, f"the body exceeds {limits.max_body} bytes")
        if size <= MAX_BATCH_CHUNK_BYTES and match[2] is None:
            batch = self._decode_batch(position, end + 2 - position, size, limits)
            if batch:
                return position + batch
        self._chunks += 1
        self._decoded += size
        self._remaining = size
        self._decode = RequestFramer._decode_data
        return end + 2

    def _decode_batch(self, position: int, line: int, size: int, limits: FramingLimits) -> int:
        """Decodes adjoining complete chunks whose size lines are the same.

        Returns the number of bytes used, 0 if there are fewer than ``MIN_BATCH_CHUNKS``.
        """
        buffer = self._buffer
        period = line + size + 2
        count = (len(buffer) - position) // period
        count = min(count, (limits.max_body - self._decoded) // size)
        if count < MIN_BATCH_CHUNKS:
            return 0
        window = bytes(buffer[position : position + count * period])
        for offset in (*range(line), period - 2, period - 1):
            expected = b"\r" if offset == period - 2 else b"\n"
            if offset < line:
                expected = window[offset : offset + 1]
            column = window[offset : count * period : period]
            same = len(column) - len(column.lstrip(expected))
            count = min(count, same)
        if count < MIN_BATCH_CHUNKS:
            return 0
        window = window[: count * period]
        data = bytearray(count * size)
        for offset in range(size):
            data[offset::size] = window[line + offset :: period]
        self._body.append(data)
        self._chunks += count
        self._decoded += count * size
        return count * period

    def _decode_data(self, position: int, limits: FramingLimits) -> int | FramingError | None:
        available = min(len(self._buffer) - position, self._remaining)
        if not available:
            return None
        self._body.append(memoryview(self._buffer)[position : position + available])
        self._remaining -= available
        if not self._remaining:
            self._decode = RequestFramer._decode_data_end
        return position + available

    def _decode_data_end(self, position: int, limits: FramingLimits) -> int | FramingError | None:
        if len(self._buffer) - position < 2:
            return None
        if self._buffer[position : position + 2] != b"\r\n":
            return FramingError(400, "a chunk does not end where its size tells")
        self._decode = RequestFramer._decode_size
        return position + 2

    def _decode_trailer(self, position: int, limits: FramingLimits) -> int | FramingError | None:
        """Skips one field after the last chunk."""
        left = limits.max_head - self._trailers
        end = self._buffer.find(b"\r\n", position, position + max(left, 0) + 2)
        if end < 0:
            if len(self._buffer) - position >= left + 2:
                return FramingError(431, f"the trailers exceed {limits.max_head} bytes")
            return None
        self._trailers += end + 2 - position
        if end == position:
            self._body_ended = True
        return end + 2


def _join(head: bytes, body: bytes) -> tuple[bytes, ...]:
    return (head + body,) if len(body) <= JOINED_BYTES else (head, body)


def _parse_head(data: bytes) -> _Head | FramingError:
    """Returns the head with what it tells of the body; refuses what could be read in two ways."""
    match = _HEAD.fullmatch(data)
    if match is None:
        return FramingError(400, "the head is malformed")
    if match[1] == b"CONNECT":
        return FramingError(400, "tunnels are not served")
    length: int | None = None
    chunked = expects_continue = compressed = upgrades = False
    for name, value in _FRAMING_FIELD.findall(data):
        name, value = name.lower(), value.rstrip(b" \t")
        if name == b"content-length":
            if length is not None or not _LENGTH.fullmatch(value):
                return FramingError(400, "the length of the body is malformed or given twice")
            length = int(value)
        elif name == b"transfer-encoding":
            if chunked or value.lower() != b"chunked" or match[2] == b"0":
                return FramingError(400, "the transfer encoding is not served")
            chunked = True
        elif name == b"content-encoding":
            compressed = True
        elif name == b"expect":
            expects_continue = value.lower() == b"100-continue" and match[2] == b"1"
        else:
            upgrades = True
    if chunked and length is not None:
        return FramingError(400, "the length of the body is given in two ways")
    if upgrades:
        # No other protocol is served, and bytes after such a head would not be framed.
        data = _UPGRADE.sub(b"", data)
    return _Head(data, length, chunked, expects_continue, compressed)
