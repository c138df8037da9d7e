"""Stand-in of a worker, as the users' page PROTOCOL describes it (section "Running tasks").

A task's behaviour is chosen by the script: how long it runs and whether it lasts. The worker guards
its capacity (``rejectsOverload``), keeps the highest fencing token, ends everything when the lease
lapses, and lists at most 500 ends that have not been acknowledged.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

ENDS_PER_RESPONSE = 500
MAX_HOLD_MS = 6_000
HEARTBEAT_S = 1.5


class Sizes(NamedTuple):
    """Resources of one task, and its run time in seconds (0 for one that lasts)."""

    cpu: int
    mem_mb: int
    seconds: float


class Run:
    def __init__(self, run: int, sizes: Sizes, now: float) -> None:
        self.run = run
        self.sizes = sizes
        self.started = now
        self.timer: asyncio.TimerHandle | None = None


class Worker:
    """One machine's worker; ``record`` gets a line for each start, end and acknowledged end."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        store: Any,
        sizes: Callable[[str], Sizes],
        record: Callable[..., None],
        *,
        cpu: int = 16_000,
        rack: str = "r1-1",
    ) -> None:
        self.name, self.service, self.address, self.rack = name, service, address, rack
        self.cpu = cpu
        self._store = store
        self._sizes = sizes
        self._record = record
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task] = []
        self.up = False
        # Observations: (task, run, start time), (task, run, how, end time), and the time at which
        # an end was taken note of.
        self.starts: list[tuple[str, int, float]] = []
        self.ends: list[tuple[str, int, str, float]] = []
        self.noted: dict[tuple[str, int], float] = {}
        self._reset()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _reset(self) -> None:
        self.running: dict[str, Run] = {}
        self.finished: list[list[Any]] = []
        self._last_run: dict[str, int] = {}
        self._count = 0
        self.fence = 0
        self.lease_ms = 0
        self.born = int(time.time() * 1000)
        self._origin = 0.0
        self._changed: asyncio.Event | None = None
        self._seq = 0

    @property
    def clock_ms(self) -> int:
        return int((self._now() - self._origin) * 1000)

    async def start(self) -> None:
        self._reset()
        self._origin = self._now() - 0.05
        self._changed = asyncio.Event()
        app = web.Application()
        app.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
                web.post("/api/pace", self._pace),
                web.get("/health", self._health),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), backlog=1024).start()
        self.up = True
        self._tasks = [
            asyncio.ensure_future(self._watch_lease()),
            asyncio.ensure_future(self._beat()),
        ]
        self._record("worker", self.name, "is up, born", self.born)

    async def crash(self) -> None:
        """Ends the worker at once; nothing of it is left, and its port refuses connections."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        for name, run in self.running.items():
            if run.timer:
                run.timer.cancel()
            self.ends.append((name, run.run, "crashed", self._now()))
        self.running = {}
        runner, self._runner = self._runner, None
        self._record("worker", self.name, "crashes")
        if runner is not None:
            for site in list(runner.sites):
                await site.stop()
            for protocol in list(runner.server.connections):
                if protocol.transport is not None:
                    protocol.transport.abort()
            await runner.cleanup()

    def describe(self) -> dict[str, Any]:
        self._seq += 1
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "umea-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpus": 0},
            "labels": ["a", self.rack],
            "machine": f"m-{self.name}",
            "born": self.born,
            "clockMs": self.clock_ms,
            "seq": self._seq,
        }

    async def _beat(self) -> None:
        while True:
            self._store.put("keyed.servers", self.name, self.describe())
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.running and self.clock_ms > self.lease_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response(
            {"clockMs": self.clock_ms, "born": self.born} | fields, status=status
        )

    def _refuse(self, request: web.Request, body: dict[str, Any]) -> web.Response | None:
        if request.headers.get("Expect-Instance") not in (None, self.name):
            return self._answer(421)
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self._answer(409, reason="fence")
        self.fence = token
        return None

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            limited = min(int(deadline_ms), self.clock_ms + MAX_HOLD_MS)
            self.lease_ms = max(self.lease_ms, limited)

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task, None)
        if run is None:
            return
        if run.timer:
            run.timer.cancel()
        self._count += 1
        self._last_run[task] = max(self._last_run.get(task, 0), run.run)
        self.finished.append([self._count, task, run.run, how, ""])
        self.ends.append((task, run.run, how, self._now()))
        self._record("end", task, "run", run.run, "on", self.name, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(body["deadlineMs"])
        present = self.running.get(task)
        if present is not None and present.run == number:
            return self._answer()
        if number <= max(self._last_run.get(task, 0), present.run if present else 0):
            return self._answer(409, reason="old")
        sizes = self._sizes(task)
        used_cpu = sum(run.sizes.cpu for run in self.running.values())
        used_mem = sum(run.sizes.mem_mb for run in self.running.values())
        if used_cpu + sizes.cpu > self.cpu or used_mem + sizes.mem_mb > 65_536 or present:
            return self._answer(409, reason="room")
        run = self.running[task] = Run(number, sizes, self._now())
        if sizes.seconds:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(sizes.seconds, self._end, task, "done")
        self.starts.append((task, number, self._now()))
        self._record("start", task, "run", number, "on", self.name, "token", body["fencingToken"])
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        self._last_run[task] = max(self._last_run.get(task, 0), number)
        if present is not None and present.run == number:
            asyncio.get_running_loop().call_later(0.05, self._end, task, "stopped")
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request, await request.json())
        return refusal if refusal is not None else self._answer()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(status=200, headers={"Instance-Id": self.name})

    def _percent(self, run: Run) -> int:
        elapsed = self._now() - run.started
        if not run.sizes.seconds:
            return 100 if elapsed > 0.9 else int(100 * elapsed)
        return min(99, int(100 * elapsed / run.sizes.seconds))

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        self._extend(body.get("deadlineMs"))
        last = body.get("lastSeen", 0)
        for number, task, run, how, _ in self.finished:
            if number <= last and (task, run) not in self.noted:
                self.noted[task, run] = self._now()
                self._record("noted", task, "run", run, "on", self.name, how)
        self.finished = [row for row in self.finished if row[0] > last]
        if not self.finished and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
        rows = [[t, r.run, "", self._percent(r), r.sizes.cpu] for t, r in self.running.items()]
        return self._answer(running=rows, finished=self.finished[:ENDS_PER_RESPONSE])
