"""Fault: open connections stop responding for good, while new connections work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from aiohttp.web_protocol import RequestHandler


class SilentTransport:
    """Replaces a transport; stops reading, discards writes and never closes the socket."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.pause_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.transport.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def is_reading(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        pass

    def writelines(self, data: Iterable[bytes]) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        pass

    def abort(self) -> None:
        pass


class ConnectionSilencer:
    """Makes connections silent and keeps their sockets open until the process stops.

    The sockets stay open so that the peer sees neither data nor the end of the connection.
    """

    def __init__(self) -> None:
        self._silent: list[SilentTransport] = []

    @property
    def count(self) -> int:
        return len(self._silent)

    def silence(self, connections: Iterable[RequestHandler], excluded: Any) -> int:
        """Silences all ``connections`` except ``excluded``; returns the number silenced."""
        silenced = 0
        for connection in connections:
            transport = connection.transport
            if connection is excluded or transport is None or transport.is_closing():
                continue
            if isinstance(transport, SilentTransport):
                continue
            connection.transport = SilentTransport(transport)
            self._silent.append(connection.transport)
            silenced += 1
        return silenced

    def close(self) -> None:
        for silent in self._silent:
            silent.transport.abort()
        self._silent.clear()
