"""Loopback proxy between two processes, the base of those that inject faults."""

from __future__ import annotations

import asyncio

READ_BYTES = 65_536
# Directions of a connection: from the one who opened it, and back.
OUT, BACK = "out", "back"


class Proxy:
    """Carries connections from one address to another.

    Parameters
    ----------
    address : str
        Where it listens.
    onward : str
        Where it connects to.
    """

    def __init__(self, address: str, onward: str) -> None:
        self.address = address
        self._onward = onward
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._onward.rpartition(":")
        try:
            onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, onward_writer}
        self._writers |= pair
        await asyncio.gather(
            self._pump(reader, onward_writer, OUT), self._pump(onward_reader, writer, BACK)
        )
        self._writers -= pair

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if await self._passes(writer, way):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass  # The other side has gone; the connection ends below.
        self._end(writer)

    async def _passes(self, writer: asyncio.StreamWriter, way: str) -> bool:
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
