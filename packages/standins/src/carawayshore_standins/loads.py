"""Loads of the demonstration: settings for the load tool, which runs as a process of its own."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

from carawayshore_standins.evidence import Call, read_calls
from carawayshore_standins.processes import ManagedProcess, ProcessPlan

if TYPE_CHECKING:
    from pathlib import Path

LOAD_SECONDS = 120
MOST_CALLS = 100_000
FINISH_SECONDS = 45.0
SHORT_SERVICE, LONG_SERVICE = "booking", "office"
DEADLINE_S = 10.0
BURST_WORK_S = 0.5
BURST_DEADLINE_S = 2.0

# The mean demand of the steady load is below a fifth of the capacity of each pool.
STEADY_KINDS = (
    {"kind": "plain", "rate": 10, "work_seconds": 0.1},
    {"kind": "plain-body", "rate": 3, "work_seconds": 0.05, "body_bytes": 150_000},
    {"kind": "repeatable", "rate": 15, "work_seconds": 0.4, "repeatable": True},
    {"kind": "repeatable-large", "rate": 2, "work_bytes": 400_000, "method": "GET"},
    {"kind": "keyed", "rate": 12, "work_seconds": 0.05, "key_prefix": "", "attempts": 20},
    {"kind": "plain-long", "rate": 6, "work_seconds": 1.5, "service": LONG_SERVICE},
)


def build_steady(addresses: list[str], seed: int) -> dict[str, Any]:
    """Returns the settings of the load that lasts until it is stopped."""
    common = {"service": SHORT_SERVICE, "deadline_seconds": DEADLINE_S}
    return {
        "addresses": addresses,
        "kinds": [common | kind for kind in STEADY_KINDS],
        "seconds": LOAD_SECONDS,
        "count": MOST_CALLS,
        "timeout_seconds": 30,
        "seed": seed,
    }


def build_burst(addresses: list[str], seed: int, *, slots: int, seconds: float) -> dict[str, Any]:
    """Returns the settings of a burst at five times the capacity of ``slots`` slots.

    Parameters
    ----------
    addresses : list of str
    seed : int
    slots : int
        Slots of the pool in all data centres.
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
        "count": MOST_CALLS,
        "in_progress": 10_000,
        "timeout_seconds": 30,
        "seed": seed,
    }


class Load:
    """One run of the load tool.

    Parameters
    ----------
    name : str
        Unique name, also of the files.
    settings : dict
    folder : Path
    """

    def __init__(self, name: str, settings: dict[str, Any], folder: Path) -> None:
        self._output = folder / f"{name}.jsonl"
        settings = settings | {"output": str(self._output)}
        plan = ProcessPlan(name, "carawayshore_standins.callers", settings, "", {})
        self._process = ManagedProcess(plan, folder)

    async def start(self) -> None:
        """Starts to send."""
        await self._process.start()

    async def finish(self, *, stop: bool) -> list[Call]:
        """Returns all calls once each has been answered.

        Parameters
        ----------
        stop : bool
            Whether to end the sending now instead of at its time.

        Raises
        ------
        TimeoutError
            If calls are still in progress after 45 s.
        RuntimeError
            If the load tool failed; the message has its last output.
        """
        if stop and self._process.is_running():
            self._process.send_signal(signal.SIGTERM)
        status = await self._process.wait(FINISH_SECONDS)
        if status:
            tail = self._process.read_log_tail()
            raise RuntimeError(f"load {self._process.plan.name!r} ended with {status}:\n{tail}")
        return read_calls(self._output)

    async def end(self) -> None:
        """Ends the process if it still runs."""
        await self._process.kill()
