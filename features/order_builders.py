"""Clients of the workers that hold back a start order, or fail in a way that nobody expects."""

from __future__ import annotations

import asyncio
from typing import Any

from owner_builders import OwnerHarness, ScriptedRuns

from carawayd.platform.common import PermissionEnded
from carawayshore.workflows.model import TaskName


class HeldRuns(ScriptedRuns):
    """Sends a start order once ``connected`` is set, if its permission still holds then."""

    def __init__(self) -> None:
        super().__init__()
        self.connected = asyncio.Event()

    async def start(self, address: str, worker: str, task: TaskName, run: int, **rest: Any) -> int:
        await self.connected.wait()
        if not rest["may_send"]():
            raise PermissionEnded("the permission to send ended")
        return await self._call("start", task, run)


def build_held_owner() -> tuple[OwnerHarness, HeldRuns]:
    """Returns an owner whose start orders wait for a connection."""
    harness = OwnerHarness()
    runs = harness.runs = harness.owner._runs = HeldRuns()
    return harness, runs
