"""Stand-in for a worker: leases, fencing tokens, numbered ends, checkpoints and gangs.

It follows the sections on running tasks and on discovery of the users' protocol. A crash closes its
listener and all connections and forgets everything; the next life has another identifier, as
``Expect-Instance`` then shows, and the same address.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from harness3.deployment import Deployment

HEARTBEAT_SECONDS = 1.5
# An entry is removed after three heartbeat intervals of silence.
ENTRY_LIFETIME_SECONDS = 3 * HEARTBEAT_SECONDS
MAX_HOLD_MS = 6_000
CHECKPOINT_INTERVAL_MS = 2_000
STARTUP_SECONDS = 0.5
TICK_SECONDS = 0.05


class Run:
    """One run of a task on a worker."""

    def __init__(self, task: str, number: int, checkpoint: str, step: dict[str, Any]) -> None:
        self.task = task
        self.number = number
        self.checkpoint = checkpoint
        self.step = step
        self.started_at = time.monotonic()
        # Progress in ms of work; it starts from the checkpoint.
        self.done_ms = int(checkpoint, 16) if checkpoint else 0
        self.works = not step.get("gang")

    @property
    def group(self) -> str:
        return self.task.rpartition(".")[0]

    @property
    def percent(self) -> int:
        if self.step.get("longRunning"):
            return 100 if time.monotonic() - self.started_at > STARTUP_SECONDS else 50
        return min(100, int(100 * self.done_ms / self.step["workMs"]))


class Worker:
    """One machine's worker; ``lives`` counts its lives.

    Parameters
    ----------
    deployment : Deployment
    name, service, address : str
    labels : list of str
    """

    def __init__(
        self, deployment: Deployment, name: str, service: str, address: str, labels: list[str]
    ) -> None:
        self._deployment = deployment
        self.name = name
        self.service = service
        self.address = address
        self.labels = labels
        self.lives = 0
        self.identifier = ""
        self.up = False
        # Answers every start order with this status and does nothing, 0 to carry it out.
        self.refusal_status = 0
        self.runs: dict[str, Run] = {}
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._began_at) * 1000)

    async def start(self) -> None:
        """Begins a life."""
        self.lives += 1
        self.identifier = f"{self.name}-{self.lives}"
        self._began_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self._fence = self._lease_ms = self._last_end = self._sequence = 0
        self.runs = {}
        self._ends: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._changed = asyncio.Event()
        application = web.Application()
        application.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
                web.post("/api/pace", self._pace),
            ]
        )
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.01)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self.up = True
        self._tasks = [
            asyncio.ensure_future(self._write_entries()),
            asyncio.ensure_future(self._advance()),
        ]

    async def crash(self) -> None:
        """Ends the life: nothing runs, nothing is remembered, connections are closed."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            self._deployment.note("lost", task=run.task, run=run.number, worker=self.identifier)
        self.runs = {}
        runner, self._runner = self._runner, None
        asyncio.get_running_loop().call_later(
            ENTRY_LIFETIME_SECONDS, self._deployment.remove_entry, self.identifier
        )
        if runner is not None:
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await runner.cleanup()

    async def _write_entries(self) -> None:
        while True:
            self._sequence += 1
            self._deployment.write_entry(
                self.identifier,
                {
                    "backend": self.service,
                    "address": self.address,
                    "zone": "umea-a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "seq": self._sequence,
                    "capacity": {"cpu": 16_000, "memMb": 65_536, "gpus": 0},
                    "labels": self.labels,
                    "machine": f"m-{self.name}",
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _advance(self) -> None:
        """Lets the runs work, ends them, and keeps the lease."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            elapsed_ms, before = (now - before) * 1000, now
            if self.runs and self.clock_ms > self._lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.step.get("gang"):
                    self._deployment.advance_gang(run, now)
                if run.works and run.task in self.runs:
                    self._work(run, elapsed_ms)

    def _work(self, run: Run, elapsed_ms: float) -> None:
        run.done_ms += int(elapsed_ms)
        if run.step.get("checkpointing"):
            kept = run.done_ms // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
            if kept > (int(run.checkpoint, 16) if run.checkpoint else 0):
                run.checkpoint = f"{kept:08x}"
        if not run.step.get("longRunning") and run.done_ms >= run.step["workMs"]:
            if run.step.get("gang"):
                self._deployment.end_gang(run, "done")
            else:
                self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        if self.runs.pop(run.task, None) is None:
            return
        if run.step.get("checkpointing") and how != "done" and run.works:
            run.checkpoint = f"{run.done_ms:08x}"
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, run.checkpoint])
        self._deployment.note(
            "ended",
            task=run.task,
            run=run.number,
            worker=self.identifier,
            how=how,
            saved=run.checkpoint,
        )
        self._changed.set()
        if run.step.get("gang") and how in ("stopped", "lapsed", "failed"):
            self._deployment.end_gang(run, "broken")

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response(
            {"clockMs": self.clock_ms, "born": self.born} | fields, status=status
        )

    async def _read(self, request: web.Request) -> dict[str, Any] | web.Response:
        """Returns the body of a call, or the answer that refuses the call."""
        if request.headers.get("Expect-Instance", self.identifier) != self.identifier:
            return self._answer(421)
        body = await request.json()
        token = body.get("fencingToken", 0)
        if token < self._fence:
            return self._answer(409, reason="fence")
        self._fence = token
        return body

    def _prolong(self, body: dict[str, Any]) -> None:
        until = min(body.get("deadlineMs", 0), self.clock_ms + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, until)

    async def _start(self, request: web.Request) -> web.Response:
        if self.refusal_status:
            body = await request.json()
            self._deployment.note(
                "refused", task=body["task"], worker=self.identifier, status=self.refusal_status
            )
            return self._answer(self.refusal_status)
        body = await self._read(request)
        if isinstance(body, web.Response):
            return body
        if body["deadlineMs"] < self.clock_ms:
            return self._answer(409, reason="late")
        self._prolong(body)
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            return self._answer()
        if number <= self._highest.get(task, 0) or task in self.runs:
            return self._answer(409, reason="old")
        step = self._deployment.find_step(task)
        used = sum(run.step["cpu"] for run in self.runs.values())
        memory = sum(run.step["memMb"] for run in self.runs.values())
        if used + step["cpu"] > 16_000 or memory + step["memMb"] > 65_536:
            return self._answer(409, reason="room")
        self.runs[task] = Run(task, number, body.get("checkpoint", ""), step)
        self._deployment.note(
            "started",
            task=task,
            run=number,
            worker=self.identifier,
            checkpoint=body.get("checkpoint", ""),
        )
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        if isinstance(body, web.Response):
            return body
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self.end(run, "stopped")
        else:
            self._highest[task] = max(number, self._highest.get(task, 0))
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        return body if isinstance(body, web.Response) else self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        if isinstance(body, web.Response):
            return body
        self._prolong(body)
        self._ends = [row for row in self._ends if row[0] > body.get("lastSeen", 0)]
        if not self._ends and body.get("waitMs"):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
        running = [
            [run.task, run.number, run.checkpoint, run.percent, run.step["cpu"]]
            for run in self.runs.values()
        ]
        return self._answer(running=running, finished=self._ends[:500])
