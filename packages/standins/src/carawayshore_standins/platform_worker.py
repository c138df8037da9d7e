"""Stand-in for a worker of the users' platform, with leases and fencing tokens."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, NamedTuple

from aiohttp import web

# A capacity that has shrunk counts from this time later: ``contactMs`` and one heartbeat.
SHRINK_GRACE_S = 4.5
# Longest lease that a call gives, whatever time it names.
MAX_LEASE_MS = 6_000
# Time for which a response is held back by a worker that does not answer; callers give up sooner.
SILENCE_S = 30.0
MILLICORES = 16_000
TASK_MILLICORES = 1_000


class RunStart(NamedTuple):
    """Start of a run; ``started_at`` is in seconds of event-loop time."""

    task: str
    run: int
    worker: str
    started_at: float


class PlatformWorker:
    """One worker; records every start and end of a run in ``starts`` and ``ends``.

    Parameters
    ----------
    name, service, address : str
    run_seconds : float
        Run time of every task, in seconds.

    Attributes
    ----------
    silent : bool
        Delay every response by 30 s.
    lose_start_responses : int
        Number of start orders that take effect but lose their response.
    start_delay_seconds : float
        Delay before a start order is handled.
    fails_all_runs : bool
        End every run as failed.
    refuses_starts : bool
        Refuse start orders for lack of capacity.
    unhealthy_status : int
        Status, 429 or 503, with which start orders are answered without any effect; 0 if healthy.
    ignores_starts : bool
        Leave start orders unanswered, without any effect.
    millicores : int
        Capacity, which may change while the worker runs. Every task takes ``task_millicores``.
    overloads : list of tuple
        Task and time of every start beyond the capacity.
    crashing_tasks : set of str
        Names of the tasks that crash the worker ``crash_delay_seconds`` after their start.
        ends : list of tuple
        Task, run, outcome and time of every end.
    """

    def __init__(self, name: str, service: str, address: str, *, run_seconds: float = 0.1) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.run_seconds = run_seconds
        self.silent = False
        self.lose_start_responses = 0
        self.start_delay_seconds = 0.0
        self.fails_all_runs = False
        # Ticket that start orders must carry; empty if none is required.
        self.required_ticket = ""
        self.refused_tickets = 0
        self.refuses_starts = False
        self.unhealthy_status = 0
        self.ignores_starts = False
        self.millicores = MILLICORES
        self.task_millicores = TASK_MILLICORES
        self.overloads: list[tuple[str, float]] = []
        # Earlier capacities, with the time until which each of them counts.
        self._former_millicores: list[tuple[int, float]] = []
        self.crashing_tasks: set[str] = set()
        self.crash_delay_seconds = 0.01
        self.crash_count = 0
        self.starts: list[RunStart] = []
        self.ends: list[tuple[str, int, str, float]] = []
        # Time at which the end of each (task, run) was acknowledged.
        self.acknowledged: dict[tuple[str, int], float] = {}
        self.fence = 0
        self.incarnation = 1
        self.lease_expiry_ms = 0.0
        self._clock_origin = 0.0
        self._running: dict[str, dict[str, Any]] = {}
        self._finished: list[list[Any]] = []
        self._end_count = 0
        # Highest run of each task that has ended or was stopped; later orders for it are refused.
        self._highest_ended: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._lease_watcher: asyncio.Task[None] | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def clock_ms(self) -> int:
        """Time of the worker's own clock, in ms since its start."""
        return int((self._now() - self._clock_origin) * 1000)

    @property
    def running(self) -> list[str]:
        return sorted(self._running)

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Returns the worker's entry in the topic of workers of the store."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "umea",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.millicores, "memMb": 65536, "gpus": 0},
            "labels": ["a", "r1-1"],
            "seq": 1,
        }

    def resize(self, millicores: int) -> None:
        """Changes the capacity, which the next entry tells."""
        self._former_millicores.append((self.millicores, self._now() + SHRINK_GRACE_S))
        self.millicores = millicores

    def _measure_limit(self) -> int:
        """Returns the capacity that starts may fill now, in millicores."""
        now = self._now()
        former = [size for size, until in self._former_millicores if now < until]
        return max([self.millicores, *former])

    async def start(self) -> None:
        self._clock_origin = self._now()
        application = web.Application(middlewares=[self._check_instance])
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
        self._lease_watcher = asyncio.ensure_future(self._watch_lease())

    async def stop(self) -> None:
        if self._lease_watcher is not None:
            self._lease_watcher.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Ends all runs and restarts with a new incarnation under the same name."""
        for entry in self._running.values():
            entry["timer"].cancel()
        for task, entry in self._running.items():
            self.ends.append((task, entry["run"], "crashed", self._now()))
        self._running, self._finished, self._end_count = {}, [], 0
        self._highest_ended.clear()
        self.fence, self.lease_expiry_ms = 0, 0.0
        self.incarnation += 1
        self._clock_origin = self._now()

    def _crash_under(self, task: str) -> None:
        if task in self._running:
            self.crash_count += 1
            self.crash()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self._running and self.clock_ms > self.lease_expiry_ms:
                for task in list(self._running):
                    self._end(task, "lapsed")

    @web.middleware
    async def _check_instance(self, request: web.Request, handler) -> web.StreamResponse:
        if self.silent:
            await asyncio.sleep(SILENCE_S)
        if request.headers.get("Expect-Instance") not in (None, self.name):
            return web.json_response({}, status=421)
        return await handler(request)

    def _respond(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response(
            {"clockMs": self.clock_ms, "born": self.incarnation} | fields, status=status
        )

    def _accept_fencing_token(self, body: dict[str, Any]) -> bool:
        """Raises the fence to the token of the call; returns False if the token is outdated."""
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return False
        self.fence = token
        return True

    def _renew_lease(self, body: dict[str, Any]) -> None:
        """Prolongs the lease to the time that a call names, which may be of a former clock."""
        expiry_ms = min(body.get("deadlineMs", 0), self.clock_ms + MAX_LEASE_MS)
        self.lease_expiry_ms = max(self.lease_expiry_ms, expiry_ms)

    def _end(self, task: str, outcome: str) -> None:
        entry = self._running.pop(task, None)
        if entry is None:
            return
        entry["timer"].cancel()
        self._refuse_run(task, entry["run"])
        self._end_count += 1
        self._finished.append([self._end_count, task, entry["run"], outcome, ""])
        self.ends.append((task, entry["run"], outcome, self._now()))
        self._changed.set()
        self._changed = asyncio.Event()

    def _refuse_run(self, task: str, run: int) -> None:
        self._highest_ended[task] = max(run, self._highest_ended.get(task, 0))

    def _measure_percent(self, started_at: float) -> int:
        return min(100, int(100 * (self._now() - started_at) / self.run_seconds))

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.start_delay_seconds:
            await asyncio.sleep(self.start_delay_seconds)
        if self.ignores_starts:
            await asyncio.sleep(SILENCE_S)
            return self._respond(503)
        if self.unhealthy_status:
            return self._respond(self.unhealthy_status)
        if not self._accept_fencing_token(body):
            return self._respond(409, reason="fence")
        if body["deadlineMs"] < self.clock_ms:
            return self._respond(409, reason="late")
        # Also an order that is refused below renews the lease.
        self._renew_lease(body)
        if body["run"] <= self._highest_ended.get(body["task"], 0):
            return self._respond(409, reason="old")
        if self.refuses_starts:
            return self._respond(409, reason="room")
        if self.required_ticket and body.get("ticket") != self.required_ticket:
            self.refused_tickets += 1
            return self._respond(409, reason="ticket")
        task = body["task"]
        if task not in self._running:
            outcome = "failed" if self.fails_all_runs else "done"
            timer = asyncio.get_running_loop().call_later(
                self.run_seconds, self._end, task, outcome
            )
            self._running[task] = {"run": body["run"], "timer": timer, "started_at": self._now()}
            self.starts.append(RunStart(task, body["run"], self.name, self._now()))
            if len(self._running) * self.task_millicores > self._measure_limit():
                self.overloads.append((task, self._now()))
            if task in self.crashing_tasks:
                asyncio.get_running_loop().call_later(
                    self.crash_delay_seconds, self._crash_under, task
                )
        if self.lose_start_responses > 0:
            self.lose_start_responses -= 1
            request.transport.close()
        return self._respond()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accept_fencing_token(body):
            return self._respond(409, reason="fence")
        task, run = body["task"], body["run"]
        if task in self._running and self._running[task]["run"] == run:
            self._end(task, "stopped")
        else:
            self._refuse_run(task, run)
        return self._respond()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return (
            self._respond()
            if self._accept_fencing_token(body)
            else self._respond(409, reason="fence")
        )

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accept_fencing_token(body):
            return self._respond(409, reason="fence")
        self._renew_lease(body)
        last_seen = body.get("lastSeen", 0)
        for number, task, run, *_ in self._finished:
            if number <= last_seen:
                self.acknowledged.setdefault((task, run), self._now())
        self._finished = [row for row in self._finished if row[0] > last_seen]
        if not self._finished and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
        running = [
            [task, item["run"], "", self._measure_percent(item["started_at"]), 0]
            for task, item in self._running.items()
        ]
        return self._respond(running=running, finished=self._finished[:500])
