"""Stand-in of a worker of the users' platform: runs under leases and fencing tokens."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, NamedTuple

from aiohttp import web


class Start(NamedTuple):
    """A run that began; ``ended`` is the time of its end, None while it runs."""

    task: str
    run: int
    worker: str
    began: float


class PlatformWorker:
    """One worker; every start and end is kept in ``starts`` and ``ends``.

    Parameters
    ----------
    worker, service, address : str
    seconds : float
        Run time of every task.
    """

    def __init__(self, worker: str, service: str, address: str, *, seconds: float = 0.1) -> None:
        self.worker = worker
        self.service = service
        self.address = address
        self.seconds = seconds
        self.silent = False
        self.lose_starts = 0
        self.late_starts = 0.0
        self.fails_all = False
        # The ticket that every start order must carry, empty for none.
        self.ticket = ""
        self.refused_tickets = 0
        self.refuses_starts = False
        self.starts: list[Start] = []
        self.ends: list[tuple[str, int, str, float]] = []
        # Ends that were acknowledged, as (task, run), with the time.
        self.acknowledged: dict[tuple[str, int], float] = {}
        self.fence = 0
        self.born = 1
        self.lease = 0.0
        self._zero = 0.0
        self._running: dict[str, dict[str, Any]] = {}
        self._finished: list[list[Any]] = []
        self._count = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._lapses: asyncio.Task[None] | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def clock_ms(self) -> int:
        return int((self._now() - self._zero) * 1000)

    @property
    def running(self) -> list[str]:
        return sorted(self._running)

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Returns the entry of the worker in the store."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "umea",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16000, "memMb": 65536, "gpus": 0},
            "labels": ["a", "r1-1"],
            "seq": 1,
        }

    async def start(self) -> None:
        self._zero = self._now()
        application = web.Application(middlewares=[self._guard])
        application.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
                web.post("/api/pace", self._pace),
            ]
        )
        host, _, port = self.address.rpartition(":")
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        self._lapses = asyncio.ensure_future(self._watch_lease())

    async def stop(self) -> None:
        if self._lapses is not None:
            self._lapses.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Ends everything and starts a new life under the same identifier."""
        for entry in self._running.values():
            entry["timer"].cancel()
        for task, entry in self._running.items():
            self.ends.append((task, entry["run"], "crashed", self._now()))
        self._running, self._finished, self._count = {}, [], 0
        self.fence, self.lease = 0, 0.0
        self.born += 1
        self._zero = self._now()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self._running and self.clock_ms > self.lease:
                for task in list(self._running):
                    self._end(task, "lapsed")

    @web.middleware
    async def _guard(self, request: web.Request, handler) -> web.StreamResponse:
        if self.silent:
            await asyncio.sleep(30)
        if request.headers.get("Expect-Instance") not in (None, self.worker):
            return web.json_response({}, status=421)
        return await handler(request)

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response(
            {"clockMs": self.clock_ms, "born": self.born} | fields, status=status
        )

    def _admit(self, body: dict[str, Any]) -> bool:
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return False
        self.fence = token
        return True

    def _end(self, task: str, how: str) -> None:
        entry = self._running.pop(task, None)
        if entry is None:
            return
        entry["timer"].cancel()
        self._count += 1
        self._finished.append([self._count, task, entry["run"], how, ""])
        self.ends.append((task, entry["run"], how, self._now()))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.late_starts:
            await asyncio.sleep(self.late_starts)
        if not self._admit(body):
            return self._answer(409, reason="fence")
        if body["deadlineMs"] < self.clock_ms:
            return self._answer(409, reason="late")
        if self.refuses_starts:
            return self._answer(409, reason="room")
        if self.ticket and body.get("ticket") != self.ticket:
            self.refused_tickets += 1
            return self._answer(409, reason="ticket")
        self.lease = max(self.lease, body["deadlineMs"])
        task = body["task"]
        if task not in self._running:
            how = "failed" if self.fails_all else "done"
            timer = asyncio.get_running_loop().call_later(self.seconds, self._end, task, how)
            self._running[task] = {"run": body["run"], "timer": timer}
            self.starts.append(Start(task, body["run"], self.worker, self._now()))
        if self.lose_starts > 0:
            self.lose_starts -= 1
            request.transport.close()
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._admit(body):
            return self._answer(409, reason="fence")
        self._end(body["task"], "stopped")
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return self._answer() if self._admit(body) else self._answer(409, reason="fence")

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._admit(body):
            return self._answer(409, reason="fence")
        if "deadlineMs" in body:
            self.lease = max(self.lease, body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        for number, task, run, *_ in self._finished:
            if number <= seen:
                self.acknowledged.setdefault((task, run), self._now())
        self._finished = [row for row in self._finished if row[0] > seen]
        if not self._finished and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
        running = [[task, item["run"], "", 50, 0] for task, item in self._running.items()]
        return self._answer(running=running, finished=self._finished[:500])
