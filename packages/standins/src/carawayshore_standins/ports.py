"""Reservation of free loopback ports for the lifetime of the processes that use them."""

from __future__ import annotations

import os
import socket

# Below the usual ephemeral port range, so that outgoing connections do not take these ports.
FIRST_PORT = 10_000
LAST_PORT = 31_999
LOOPBACK = "127.0.0.1"


class PortReserver:
    """Reserves TCP ports by binding the UDP ports of the same number.

    Several launchers can run at once. The UDP socket keeps the others from taking a port, even
    while the process that listens on the TCP port restarts.
    """

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []
        span = LAST_PORT - FIRST_PORT + 1
        self._next = FIRST_PORT + (os.getpid() * 97) % span

    def reserve(self) -> str:
        """Reserves a free port and returns its address.

        Raises
        ------
        OSError
            If every port of the range is in use.
        """
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            port = self._next
            self._next = port + 1 if port < LAST_PORT else FIRST_PORT
            if self._try_reserve(port):
                return f"{LOOPBACK}:{port}"
        raise OSError(f"all ports from {FIRST_PORT} to {LAST_PORT} are in use")

    def _try_reserve(self, port: int) -> bool:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((LOOPBACK, port))
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((LOOPBACK, port))
        except OSError:
            lock.close()
            return False
        self._reservations.append(lock)
        return True

    def release(self) -> None:
        """Releases all reserved ports."""
        for lock in self._reservations:
            lock.close()
        self._reservations.clear()
