"""Loopback proxy between two processes, the base of those that inject faults."""

from __future__ import annotations

import asyncio

READ_BYTES = 65_536
# Directions of a connection: from the one who opened it, and back.
OUTBOUND, INBOUND = "out", "back"


class Proxy:
    """Carries connections from one address to another.

    Parameters
    ----------
    address : str
        Where it listens.
    onward : str
        Where it connects to.
    """

    def __init__(self, address: str, upstream: str) -> None:
        self.address = address
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, upstream_writer}
        self._writers |= pair
        await asyncio.gather(
            self._forward(reader, upstream_writer, OUTBOUND),
            self._forward(upstream_reader, writer, INBOUND),
        )
        self._writers -= pair

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if await self._should_forward(writer, direction):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass  # The other side has gone; the connection ends below.
        self._end(writer)

    async def _should_forward(self, writer: asyncio.StreamWriter, direction: str) -> bool:
        """Whether the bytes that have just been read go on; may delay them."""
        return True

    def _end(self, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    def reset(self) -> None:
        """Ends all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        self._server.close()
        self.reset()
