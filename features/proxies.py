"""TCP proxy on the loopback interface; base class of the fault-injecting proxies."""

from __future__ import annotations

import asyncio

READ_BYTES = 65_536
# Direction of a connection: outbound is from the client to the upstream.
OUTBOUND, INBOUND = "out", "back"


class Proxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    address : str
        Address on which it listens, as ``host:port``.
    upstream : str
        Address to which it connects, as ``host:port``.
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
            pass  # The other side has closed the connection; this side is closed below.
        self._abort(writer)

    async def _should_forward(self, writer: asyncio.StreamWriter, direction: str) -> bool:
        """Returns whether to forward the bytes just read; may delay them."""
        return True

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    def reset(self) -> None:
        """Aborts all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        self._server.close()
        self.reset()
