"""Calls that are held up and carried out by a later incarnation of their worker."""

from __future__ import annotations

import asyncio

import msgspec
from builders_jobs import TaskBench
from handover_builders import build_busy_world
from restart_scenarios import overload_workers
from worker_model import CALL_TIMEOUT_S, World

from carawayd.platform.common import PlatformTimedOut
from carawayd.platform.runs import OrderRefused

STOP_S = 0.05
UPTIME_S = 30.0
LONG_S = 1_000.0
HELD_S = 12.0
# The lease of the embedded mode is 20 s, and counts as over after 25 s of silence.
CLAIM_PERIOD_S = 22.0
CLAIM_GAP_S = 2.5


class HeldCall:
    """Holds up the next call of one kind by the current owner; carried out ``HELD_S`` later."""

    def __init__(self, world: World, kind: str, worker: str | None = None) -> None:
        self.worker = ""
        self.is_sent = asyncio.Event()
        self.was_carried_out = False
        self._world = world
        self._runs = world.current.owner._runs
        self._call, self._method = self._runs._call, getattr(self._runs, kind)
        self._kind, self._wanted = kind, worker
        setattr(self._runs, kind, self._hold)

    async def _hold(self, address, worker, *args, **options):
        if self._wanted not in (None, worker) or options.get("expires_ms") is None:
            return await self._method(address, worker, *args, **options)
        setattr(self._runs, self._kind, self._method)
        self.worker = worker
        model = self._world.workers[worker]
        fence, expires_ms = options["fence"], options["expires_ms"]

        def carry_out() -> None:
            if model.gone:
                return
            try:
                if self._kind == "start":
                    task, run = args
                    model.start(task, run, expires_ms, fence)
                else:
                    model.renew(fence, 0, expires_ms)
                self.was_carried_out = True
            except OrderRefused:
                return

        asyncio.get_running_loop().call_later(HELD_S, carry_out)
        self.is_sent.set()
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise PlatformTimedOut("no response")


def lose_stop_orders(world: World) -> None:
    """Loses the stop orders that would make a worker refuse a late start order."""

    async def lose(*_, **__) -> int:
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise PlatformTimedOut("no response")

    world.current.owner._runs.stop = lose


async def build_world(workers: int) -> World:
    world = World(workers, STOP_S)
    await world.take_over()
    await asyncio.sleep(UPTIME_S)
    return world


async def hold_start(*, kill: bool) -> tuple[list[str], bool]:
    """Holds up a start order; returns the broken promises and whether it was carried out."""
    world = await build_world(3)
    try:
        held = HeldCall(world, "start")
        lose_stop_orders(world)
        await world.submit(2, 1, LONG_S, long_running=True)
        await held.is_sent.wait()
        worker = world.workers[held.worker]
        await asyncio.sleep(0.3)
        worker.restart(worker.cores)
        await asyncio.sleep(2.7)
        world.links[worker.name] = "cut"
        await asyncio.sleep(1.5)
        if kill:
            await world.kill_owner()
        await asyncio.sleep(20.0)
        return world.violations, held.was_carried_out
    finally:
        await world.close()


async def hold_renewal() -> tuple[list[str], bool]:
    """Holds up a renewal; returns the broken promises and whether it was carried out."""
    world = await build_world(2)
    try:
        await world.submit(12, 1, LONG_S, long_running=True)
        await asyncio.sleep(2.0)
        [worker] = [worker for worker in world.workers.values() if worker.runs]
        held = HeldCall(world, "renew", worker.name)
        await held.is_sent.wait()
        sent_at = world.now()
        worker.restart(worker.cores)
        await asyncio.sleep(6.0)
        await world.submit(12, 1, LONG_S, long_running=True)
        await asyncio.sleep(2.0)
        assert worker.runs, "the next incarnation runs nothing"
        world.add_worker("idle")
        await asyncio.sleep(HELD_S - (world.now() - sent_at) + 0.01)
        world.links[worker.name] = "cut"
        await asyncio.sleep(20.0)
        return world.violations, held.was_carried_out
    finally:
        await world.close()


async def wait_beside_long_run() -> float | None:
    """Returns the wait of a long-running task while one worker has a long short task, else None."""
    world = World(2, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        await world.submit(6, 1, 60.0)
        await asyncio.sleep(0.5)
        async with overload_workers(world, 1):
            identifier = await world.submit(12, 1, LONG_S, long_running=True)
            submitted = world.now()
            while world.now() - submitted < 30.0:
                await asyncio.sleep(0.1)
                if any(
                    task.workflow == identifier
                    for worker in world.workers.values()
                    for task in worker.runs
                ):
                    return world.now() - submitted
        return None
    finally:
        await world.close()


async def read_record(change) -> tuple[list[str], bool]:
    """Kills the owner of a job, whose record of a step is changed before the next one reads it."""
    world = await build_busy_world(3)
    try:
        killing = asyncio.ensure_future(world.kill_owner())
        await asyncio.sleep(0.5)
        [key] = [key for key in world.store.records if key.endswith("/0/0")]
        world.store.records[key] = change(world.store.records[key])
        await killing
        await asyncio.sleep(15.0)
        return world.violations, True
    finally:
        await world.close()


def add_field(record: bytes) -> bytes:
    """Returns the record of a step with a field more in each row, as a later version writes it."""
    rows = msgspec.json.decode(record)
    return msgspec.json.encode(
        [[*row, *["", [], None, False][len(row) - 4 :], "later"] for row in rows]
    )


def damage(record: bytes) -> bytes:
    """Returns the record of a step without its end."""
    return record[:-2]


async def lose_claim_repeatedly() -> str:
    """Returns the state of a job on a silent worker after the claim was lost several times."""
    bench = TaskBench()
    bench.submit("a", repeatable=True)
    bench.place("a")
    await bench.run(2.0)
    bench.worker.fault = "silent"
    began = bench.clock.elapsed()

    async def change_claim() -> None:
        while True:
            elapsed = (bench.clock.elapsed() - began).total_seconds()
            bench.claim.held = elapsed % CLAIM_PERIOD_S > CLAIM_GAP_S
            await asyncio.sleep(0)

    changing = asyncio.ensure_future(change_claim())
    await bench.run(200.0)
    changing.cancel()
    return bench.index.find("a").state
