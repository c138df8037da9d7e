"""A task supervisor of the embedded mode whose calls wait for a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from builders_jobs import FakeWorker, TaskBench

from carawayd.platform.common import PermissionEnded, PlatformUnreached

if TYPE_CHECKING:
    from collections.abc import Callable


class HeldWorker(FakeWorker):
    """Starts a task once ``connected`` is set, if the call may still be sent then.

    Attributes
    ----------
    refuses : bool
        Let the connection fail instead.
    """

    def __init__(self, bench: TaskBench) -> None:
        super().__init__(bench.clock)
        self.connected, self.waiting = asyncio.Event(), asyncio.Event()
        self.refuses = False

    async def start_task(
        self,
        address: str,
        job: str,
        body: dict[str, Any],
        pool: str,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Any:
        self.waiting.set()
        await self.connected.wait()
        if self.refuses:
            raise PlatformUnreached("connection refused")
        if not may_send():
            raise PermissionEnded("the permission to send ended")
        return await super().start_task(address, job, body, pool)


def build_bench() -> TaskBench:
    """Returns a supervisor that has placed a job whose start waits for a connection."""
    bench = TaskBench()
    bench.supervisor._worker = bench.worker = HeldWorker(bench)
    return bench


async def lose_claim_while_start_waits(bench: TaskBench, *, refuses: bool) -> None:
    """Places a job, and ends the claim while the call that starts it waits for a connection."""
    bench.submit("a")
    bench.place("a")
    running = asyncio.ensure_future(bench.run(2.0))
    await bench.worker.waiting.wait()
    bench.claim.held = False
    bench.worker.refuses = refuses
    bench.worker.connected.set()
    await running


async def fail_connection(bench: TaskBench) -> None:
    """Places a job, and lets the connection for its start fail."""
    bench.submit("a")
    bench.place("a")
    bench.worker.refuses = True
    bench.worker.connected.set()
    await bench.run(2.0)
