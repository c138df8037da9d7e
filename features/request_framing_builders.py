"""Streams of requests as callers send them, and what the framer makes of them."""

from __future__ import annotations

from random import Random

from carawayshore.requestframing import FramingError, FramingLimits, RequestFramer

LIMITS = FramingLimits(max_head=2_000, max_body=6_000, max_collected=6_000)
STREAM_LIMITS = LIMITS._replace(max_collected=300)
SHORT_BYTES = 3_000
CHUNK_SIZES = (1, 1, 1, 2, 3, 15, 16, 17, 100, 1_500)


def build_head(*fields: str, line: str = "POST /slots/1 HTTP/1.1") -> bytes:
    """Returns a head with a request line and fields."""
    return "\r\n".join([line, "Host: a.example", *fields, "", ""]).encode()


def build_counted(body: bytes, *fields: str) -> bytes:
    """Returns a request whose head tells the length of the body."""
    return build_head(f"Content-Length: {len(body)}", *fields) + body


def build_chunked(
    body: bytes, sizes: list[int], *, extension: str = "", trailer: str = ""
) -> bytes:
    """Returns a request in chunks, whose sizes are used in turn."""
    data, start, number = bytearray(build_head("Transfer-Encoding: chunked")), 0, 0
    while start < len(body):
        piece = body[start : start + sizes[number % len(sizes)]]
        data += b"%x%s\r\n%s\r\n" % (len(piece), extension.encode(), piece)
        start += len(piece)
        number += 1
    return bytes(data) + f"0\r\n{trailer}\r\n".encode()


def frame(pieces: list[bytes], limits: FramingLimits = LIMITS) -> list:
    """Returns the requests that the framer passes on, as (head, body), and the error at the end.

    A body that is passed on in parts is put together again.
    """
    framer, found, parts = RequestFramer(), [], []
    for piece in pieces:
        framer.receive(piece)
        while (part := framer.take(limits)) is not None or framer.has_more:
            if part is None:
                continue
            if isinstance(part, FramingError):
                return [*found, part]
            if part.begins:
                parts = []
            parts += part.pieces
            if part.ends:
                found.append(_join(b"".join(parts)))
    return found


def _join(wire: bytes) -> tuple[bytes, bytes]:
    head, _, body = wire.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return head, body
    # A body that was passed on in parts: its chunks are joined for the comparison.
    joined = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        joined += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    length = f"Content-Length: {len(joined)}"
    return head.replace(b"Transfer-Encoding: chunked", length.encode()), joined


def split(data: bytes, rng: Random) -> list[bytes]:
    """Returns a random split of bytes, of short ones at times into single bytes."""
    largest = rng.choice((1, 2, 7, 50, 1_000) if len(data) < SHORT_BYTES else (90, 1_000, 20_000))
    pieces, start = [], 0
    while start < len(data):
        size = rng.randint(1, largest)
        pieces.append(data[start : start + size])
        start += size
    return pieces


def build_stream(rng: Random) -> bytes:
    """Returns some requests one after the other, at times with a fault in the last one."""
    stream = b"".join(_build_request(rng) for _ in range(rng.randint(1, 4)))
    if rng.random() < 0.4:
        position = rng.randrange(len(stream))
        fault = rng.choice((b"\r\n", b"\n", b"\0", b"f", b"9", b":", b" ", b"\r\n\r\n", b";"))
        stream = stream[:position] + fault + stream[position + rng.randint(0, 2) :]
    return stream


def _build_request(rng: Random) -> bytes:
    body = rng.randbytes(rng.choice((0, 1, 5, 299, 300, 301, 2_000, 5_999, 6_000, 6_001)))
    empty_lines = b"\r\n" * rng.choice((0, 0, 1, 3, 900))
    if rng.random() < 0.4:
        return empty_lines + build_counted(body)
    sizes = rng.choices(CHUNK_SIZES, k=rng.randint(1, 3))
    extension = rng.choice(("", "", ";a=b", " ;name=" + "x" * 1_010))
    trailer = rng.choice(("", "", "Sum: 1\r\n", "Sum: " + "1" * 1_980 + "\r\n"))
    return empty_lines + build_chunked(body, sizes, extension=extension, trailer=trailer)


# Requests that could be read in two ways, or exceed a limit, with the status of the refusal.
REFUSED = {
    "a length and chunks": (build_head("Content-Length: 3", "Transfer-Encoding: chunked"), 400),
    "conflicting lengths": (build_head("Content-Length: 3", "Content-Length: 4"), 400),
    "a list of lengths": (build_head("Content-Length: 3, 4"), 400),
    "a negative length": (build_head("Content-Length: -3"), 400),
    "another transfer encoding": (build_head("Transfer-Encoding: gzip, chunked"), 400),
    "chunks in HTTP/1.0": (
        build_head("Transfer-Encoding: chunked", line="POST / HTTP/1.0"),
        400,
    ),
    "a folded field": (build_head("Length: 3", " more"), 400),
    "a space before the colon": (build_head("Content-Length : 3"), 400),
    "a tunnel": (build_head(line="CONNECT a:80 HTTP/1.1"), 400),
    "a malformed chunk size": (build_head("Transfer-Encoding: chunked") + b"-1\r\n", 400),
    "a chunk longer than its size": (
        build_head("Transfer-Encoding: chunked") + b"3\r\nabcd\r\n",
        400,
    ),
    "an endless chunk size": (build_head("Transfer-Encoding: chunked") + b"1;" + b"a" * 1_100, 400),
    "a large body": (build_head("Content-Length: 6001"), 413),
    "large chunks": (build_head("Transfer-Encoding: chunked") + b"1771\r\n", 413),
    "a large head": (build_head("Field: " + "a" * 2_000), 431),
    "a head without end": (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 400, 431),
    "empty lines without end": (b"\r\n" * 1_001, 431),
    "trailers without end": (
        build_head("Transfer-Encoding: chunked") + b"0\r\n" + b"A: b\r\n" * 400,
        431,
    ),
}
