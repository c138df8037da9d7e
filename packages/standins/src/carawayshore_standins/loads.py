"""Loads of the demonstration: settings of the load generator, which runs in its own process."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

from carawayshore_standins.evidence import Call, read_calls
from carawayshore_standins.processes import ManagedProcess, ProcessSpec

if TYPE_CHECKING:
    from pathlib import Path

LOAD_SECONDS = 120
MAX_CALLS = 100_000
FINISH_TIMEOUT_S = 45.0
SHORT_SERVICE, LONG_SERVICE = "booking", "office"
DEADLINE_S = 10.0
BURST_WORK_S = 0.5
BURST_DEADLINE_S = 2.0

# The mean demand of the steady load stays below a fifth of the capacity of each pool.
STEADY_KINDS = (
    {"kind": "plain", "rate": 10, "work_seconds": 0.1},
    {"kind": "plain-body", "rate": 3, "work_seconds": 0.05, "body_bytes": 150_000},
    {"kind": "repeatable", "rate": 15, "work_seconds": 0.4, "repeatable": True},
    {"kind": "repeatable-large", "rate": 2, "work_bytes": 400_000, "method": "GET"},
    {"kind": "keyed", "rate": 12, "work_seconds": 0.05, "key_prefix": "", "attempts": 20},
    {"kind": "plain-long", "rate": 6, "work_seconds": 1.5, "service": LONG_SERVICE},
)


def build_steady(addresses: list[str], seed: int) -> dict[str, Any]:
    """Returns the settings of the background load, which runs until it is stopped."""
    common = {"service": SHORT_SERVICE, "deadline_seconds": DEADLINE_S}
    return {
        "addresses": addresses,
        "kinds": [common | kind for kind in STEADY_KINDS],
        "seconds": LOAD_SECONDS,
        "count": MAX_CALLS,
        "timeout_seconds": 30,
        "seed": seed,
    }


def build_burst(addresses: list[str], seed: int, *, slots: int, seconds: float) -> dict[str, Any]:
    """Returns the settings of a burst at five times the capacity of the pool.

    Parameters
    ----------
    addresses : list of str
    seed : int
    slots : int
        Total slots of the pool in all data centres.
    seconds : float
        Length of the burst in seconds.
    """
    capacity = slots / BURST_WORK_S
    kind = {
        "kind": "plain-burst",
        "service": SHORT_SERVICE,
        "rate": 5 * capacity,
        "work_seconds": BURST_WORK_S,
        "deadline_seconds": BURST_DEADLINE_S,
    }
    return {
        "addresses": addresses,
        "kinds": [kind],
        "seconds": seconds,
        "count": MAX_CALLS,
        "in_progress": 10_000,
        "timeout_seconds": 30,
        "seed": seed,
    }


class Load:
    """One run of the load generator in a separate process.

    Parameters
    ----------
    name : str
        Unique name of the process and of its files.
    settings : dict
        Settings of the load generator, without ``output``.
    folder : Path
        Folder for the settings, log and output files.
    """

    def __init__(self, name: str, settings: dict[str, Any], folder: Path) -> None:
        self._output = folder / f"{name}.jsonl"
        settings = settings | {"output": str(self._output)}
        spec = ProcessSpec(name, "carawayshore_standins.callers", settings, "", {})
        self._process = ManagedProcess(spec, folder)

    async def start(self) -> None:
        """Starts the load generator."""
        await self._process.start()

    async def finish(self, *, stop: bool) -> list[Call]:
        """Waits for the load generator to exit and returns all calls.

        Parameters
        ----------
        stop : bool
            Whether to stop sending now instead of at the configured end.

        Raises
        ------
        TimeoutError
            If calls are still in progress after 45 s.
        RuntimeError
            If the load generator failed; the message contains the end of its log.
        """
        if stop and self._process.is_running():
            self._process.send_signal(signal.SIGTERM)
        status = await self._process.wait(FINISH_TIMEOUT_S)
        if status:
            tail = self._process.read_log_tail()
            raise RuntimeError(
                f"load {self._process.spec.name!r} exited with status {status}:\n{tail}"
            )
        return read_calls(self._output)

    async def end(self) -> None:
        """Kills the process if it is still running."""
        await self._process.kill()
