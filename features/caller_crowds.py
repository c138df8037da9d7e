"""Callers outside the limits: what each kind of them sends, and where it stops."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import NamedTuple

LEGAL_BODY_BYTES = 262_144
# The bodies of the crowds stop this many bytes before their end.
MISSING_BYTES = 1
PIECE_BYTES = 16_384
LARGE_CHUNK_BYTES = 65_536
# A field that is within the limit of one line, and a number of them that exceeds that of a head.
FIELD_BYTES = 7_900
FIELDS_PER_HEAD = 120
# "Without end" sends this much on each connection, and leaves it open.
ENDLESS_BYTES = 1_048_576
SEND_TIMEOUT_S = 20.0


class Crowd(NamedTuple):
    """Callers of one kind; ``build`` returns the parts that each of them sends."""

    count: int
    build: Callable[[str, str], Iterator[bytes]]


_crowds: dict[str, Crowd] = {}


def crowd(name: str, count: int):
    """Registers a function that returns what one caller of a crowd of ``count`` sends."""

    def register(function: Callable[[str, str], Iterator[bytes]]):
        _crowds[name] = Crowd(count, function)
        return function

    return register


def get_crowd(name: str) -> Crowd:
    """Returns the registered crowd of a name."""
    return _crowds[name]


def _build_start(host: str, path: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: {host}\r\nTimeout-Ms: 3000\r\n".encode()


@crowd("heads over the limit", 150)
def _send_large_head(host: str, path: str) -> Iterator[bytes]:
    yield _build_start(host, path)
    for number in range(FIELDS_PER_HEAD):
        yield b"X-Field-%d: %s\r\n" % (number, b"a" * FIELD_BYTES)


@crowd("heads without end", 150)
def _send_endless_head(host: str, path: str) -> Iterator[bytes]:
    yield _build_start(host, path)
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield b"X-Field: " + b"a" * FIELD_BYTES + b"\r\nX-Next: " + b"b" * FIELD_BYTES + b"\r\n"


@crowd("empty lines without end", 150)
def _send_empty_lines(host: str, path: str) -> Iterator[bytes]:
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield b"\r\n" * (PIECE_BYTES // 2)


@crowd("whole bodies", 400)
def _send_whole_body(host: str, path: str) -> Iterator[bytes]:
    head = _build_start(host, path) + b"Content-Length: %d\r\n\r\n" % LEGAL_BODY_BYTES
    yield head + b" " * (LEGAL_BODY_BYTES - MISSING_BYTES)


@crowd("bodies in pieces", 400)
def _send_body_in_pieces(host: str, path: str) -> Iterator[bytes]:
    yield _build_start(host, path) + b"Content-Length: %d\r\n\r\n" % LEGAL_BODY_BYTES
    yield from _split(b" " * (LEGAL_BODY_BYTES - MISSING_BYTES))


@crowd("bodies in large chunks", 400)
def _send_large_chunks(host: str, path: str) -> Iterator[bytes]:
    yield _build_start(host, path) + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(LEGAL_BODY_BYTES // LARGE_CHUNK_BYTES - 1):
        yield b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, b" " * LARGE_CHUNK_BYTES)
    yield b"%x\r\n%s" % (LARGE_CHUNK_BYTES, b" " * (LARGE_CHUNK_BYTES - MISSING_BYTES))


@crowd("bodies in very small chunks", 150)
def _send_small_chunks(host: str, path: str) -> Iterator[bytes]:
    yield _build_start(host, path) + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _split(b"1\r\n \r\n" * (LEGAL_BODY_BYTES - MISSING_BYTES))


@crowd("idle connections", 400)
def _send_nothing(host: str, path: str) -> Iterator[bytes]:
    yield from ()


def _split(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


class OpenCrowd:
    """The connections of a crowd, which stay open until ``close``.

    Parameters
    ----------
    address, host, path : str
        Address of the entry host, and host name and path prefix of the requests.
    """

    def __init__(self, address: str, host: str, path: str) -> None:
        name, _, port = address.rpartition(":")
        self._address = (name, int(port))
        self._host = host
        self._path = path
        self._sockets: list[socket.socket] = []

    async def send(self, name: str) -> None:
        """Opens all connections of a crowd, and sends on each of them until it takes no more."""
        members = get_crowd(name)
        await asyncio.gather(
            *(
                self._send_one(members.build(self._host, f"{self._path}{number:016x}"))
                for number in range(members.count)
            )
        )

    async def _send_one(self, parts: Iterator[bytes]) -> None:
        loop = asyncio.get_running_loop()
        opened = socket.socket()
        opened.setblocking(False)
        self._sockets.append(opened)
        # An entry host may refuse a connection or close it, and need not read what it refuses.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(opened, self._address)
                for part in parts:
                    await loop.sock_sendall(opened, part)

    def close(self) -> None:
        for opened in self._sockets:
            opened.close()
        self._sockets.clear()
