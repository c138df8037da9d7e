"""Free ports on loopback, reserved for as long as their processes may use them."""

from __future__ import annotations

import os
import socket

# Below the usual range of ephemeral ports, so that no outgoing connection takes one of them.
FIRST_PORT = 10_000
LAST_PORT = 31_999
LOOPBACK = "127.0.0.1"


class PortReserver:
    """Reserves TCP ports by holding the UDP ports of the same number.

    Several launchers run at once. The UDP socket keeps the others away from a port even while the
    process that uses it is being restarted.
    """

    def __init__(self) -> None:
        self._locks: list[socket.socket] = []
        span = LAST_PORT - FIRST_PORT + 1
        self._next = FIRST_PORT + (os.getpid() * 97) % span

    def reserve(self) -> str:
        """Returns a free address.

        Raises
        ------
        OSError
            If every port of the range is in use.
        """
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            port = self._next
            self._next = port + 1 if port < LAST_PORT else FIRST_PORT
            if self._lock(port):
                return f"{LOOPBACK}:{port}"
        raise OSError(f"no free port from {FIRST_PORT} to {LAST_PORT}")

    def _lock(self, port: int) -> bool:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((LOOPBACK, port))
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((LOOPBACK, port))
        except OSError:
            lock.close()
            return False
        self._locks.append(lock)
        return True

    def release(self) -> None:
        """Gives all ports back."""
        for lock in self._locks:
            lock.close()
        self._locks.clear()
