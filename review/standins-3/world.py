"""Stand-ins of the users' platform for the cases of the third review: workers, clients and hosts.

Workers follow the section "Running tasks" of the protocol page. All of them live in the process of
the play, so that it can tell which runs exist at one time. The store is the project's own stand-in.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
for part in ("target/deps", "packages/standins/src", "packages/carawayshore/src"):
    sys.path.insert(0, str(ROOT / part))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

from carawayshore_standins.platform_store import PlatformStore  # noqa: E402

HOST = "127.0.0.1"
# Bounds of the site file ugnsrent-slots.
MAX_HOLD_MS = 6_000
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 2.0
RESTORE_S = 0.1
STOP_S = 0.05
HEARTBEAT_S = 1.5
# Longer than any call waits for an answer.
SILENCE_S = 30.0
# Interval at which a worker looks at its runs.
TICK_S = 0.01
FAR_FACTOR = 1.5
CLIENT_HOST = "pule25.example"


_ports: set[int] = set()


def find_port() -> int:
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as opened:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                opened.bind((HOST, port))
            except OSError:
                continue
        if port not in _ports:
            _ports.add(port)
            return port


class Record:
    """Events of one play, written to a file in the order in which they happened."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w")
        self.broken: list[str] = []

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()

    def breach(self, rule: str, text: str) -> None:
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")


class Run:
    def __init__(self, worker: Worker, task: str, number: int, checkpoint: str, now: float) -> None:
        self.worker, self.task, self.number = worker, task, number
        self.started = now
        self.checkpoint = checkpoint
        self.base = float(checkpoint or 0)
        self.work_from: float | None = None
        self.needed = 1.0
        self.stopping_at: float | None = None


class World:
    """What all workers know of the jobs, and the checks of the rules on starts."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.jobs: dict[str, dict[str, Any]] = {}
        self.workers: list[Worker] = []
        self.starts: dict[str, list[tuple[float, int, str]]] = {}
        self.begun: dict[str, float] = {}
        # Task to the ends of its runs, as (time, run, how, acknowledged at or None).
        self.ends: dict[str, list[dict[str, Any]]] = {}
        self.now = asyncio.get_running_loop().time

    def add_job(self, identifier: str, service: str, body: dict[str, Any], **extra: Any) -> None:
        self.jobs[identifier] = {"service": service, "body": body, "cancelled": None} | extra

    def step(self, task: str) -> dict[str, Any]:
        identifier, _, step, _ = task.split(".")
        return self.jobs[identifier]["body"]["steps"][int(step)]

    def list_runs(self, prefix: str) -> list[Run]:
        return [
            run
            for worker in self.workers
            if worker.up
            for run in worker.running.values()
            if run.task.startswith(prefix)
        ]

    def find_done(self, task: str, *, lapsed: bool = False) -> dict[str, Any] | None:
        identifier, occurrence, step, _ = task.split(".")
        if self.step(task).get("gang"):
            for index in range(self.step(task)["count"]):
                found = [
                    end
                    for end in self.ends.get(f"{identifier}.{occurrence}.{step}.{index}", ())
                    if end["how"] == "done" and (lapsed or not end["lapsed"])
                ]
                if found:
                    return found[0]
            return None
        found = [
            e for e in self.ends.get(task, ()) if e["how"] == "done" and (lapsed or not e["lapsed"])
        ]
        return found[0] if found else None

    def check_start(self, worker: Worker, task: str, run: int, body: dict[str, Any]) -> None:
        now = self.now()
        identifier, occurrence, number, _ = task.split(".")
        self.record.note(f"start {task} run {run} on {worker.name} fence {body['fencingToken']}")
        self.starts.setdefault(task, []).append((now, run, worker.name))
        self.begun.setdefault(identifier, now)
        job = self.jobs.get(identifier)
        if job is None:
            self.record.breach("UNASKED", f"{task} of a job that nobody sent")
            return
        if body.get("spec", "") != job["body"].get("spec", ""):
            self.record.breach("UNASKED", f"{task} with another spec")
        if job["service"] != worker.service:
            self.record.breach("ROUTE", f"{task} on {worker.name} of {worker.service}")
        step = self.step(task)
        if step.get("requiredLabel") and step["requiredLabel"] not in worker.labels:
            self.record.breach("ROUTE", f"{task} on {worker.name} without its label")
        most = step.get("maxPerServer")
        prefix = f"{identifier}.{occurrence}.{number}."
        here = [r for r in worker.running.values() if r.task.startswith(prefix)]
        if most and len(here) + 1 > most:
            self.record.breach("ROUTE", f"{task} beyond maxPerServer on {worker.name}")
        for other in self.list_runs(task):
            if other.task == task:
                self.record.breach(
                    "TWICE",
                    f"{task} run {run} on {worker.name} beside run {other.number} on "
                    f"{other.worker.name}",
                )
        done = self.find_done(task)
        if done is not None:
            job.setdefault("late_starts", []).append((task, run, done))
            self.record.note(f"start after done: {task} run {run}")
        for before in step.get("after", ()):
            for index in range(job["body"]["steps"][before].get("count", 1)):
                if (
                    self.find_done(f"{identifier}.{occurrence}.{before}.{index}", lapsed=True)
                    is None
                ):
                    self.record.breach("ORDER", f"{task} before step {before} has ended")
                    break
        due = job["body"].get("startAtMs", 0) + int(occurrence) * job["body"].get("intervalMs", 0)
        if job["body"].get("repeatCount") and time.time() * 1000 < due - 250:
            self.record.breach("ORDER", f"{task} before its time")
        failed = [e for e in self.ends.get(task, ()) if e["how"] == "failed" and not e["lapsed"]]
        if not step.get("longRunning") and len(failed) >= job.get("attempts", 2):
            job.setdefault("over_budget", []).append((task, run, failed))
        if job["cancelled"] is not None and now - job["cancelled"] > 3.0:
            self.record.breach("UNASKED", f"{task} started after its job was cancelled")

    def check_end(self) -> None:
        """Checks what depends on later acknowledgements."""
        for job in self.jobs.values():
            for task, run, done in job.get("late_starts", ()):
                if done["acknowledged"] is not None:
                    self.record.breach(
                        "TWICE", f"{task} run {run} started after run " f"{done['run']} was done"
                    )
            for task, run, failed in job.get("over_budget", ()):
                if sum(e["acknowledged"] is not None for e in failed) >= job.get("attempts", 2):
                    self.record.breach("BUDGET", f"{task} run {run}")


class Worker:
    """One worker. With the fault ``busy`` it answers 503 to each start; ``cut`` is a partition."""

    def __init__(
        self,
        world: World,
        store: PlatformStore,
        name: str,
        service: str,
        *,
        kind: str = "a",
        rack: str = "r1-1",
        cpu: int = 16_000,
        memory_mb: int = 65_536,
    ) -> None:
        self.world, self.store, self.name, self.service = world, store, name, service
        self.labels = [kind, rack]
        self.cpu, self.memory_mb = cpu, memory_mb
        self.machine = f"m-{name}"
        self.address = f"{HOST}:{find_port()}"
        self.state = "ready"
        self.up = False
        self.fault = ""
        self.refused = 0
        self._transports: set[Any] = set()
        self._runner: web.AppRunner | None = None
        self._task: asyncio.Task[None] | None = None
        self._reset()
        world.workers.append(self)

    def _reset(self) -> None:
        self.running: dict[str, Run] = {}
        self.finished: list[list[Any]] = []
        self.number = 0
        self.fence = 0
        self.lease_ms = 0.0
        self.highest: dict[str, int] = {}
        self.origin = self.world.now()
        self.born = int(time.time() * 1000)
        self.changed = asyncio.Event()
        self.seq = 0

    @property
    def clock_ms(self) -> int:
        return int((self.world.now() - self.origin) * 1000)

    def put_entry(self) -> None:
        self.seq += 1
        self.store.put(
            "keyed.servers",
            self.name,
            {
                "backend": self.service,
                "address": self.address,
                "zone": "umea-a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "seq": self.seq,
                "born": self.born,
                "machine": self.machine,
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpus": 0},
                "labels": self.labels,
            },
        )

    async def start(self) -> None:
        self._reset()
        application = web.Application(middlewares=[self._guard])
        application.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
                web.post("/api/pace", self._pace),
            ]
        )
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, HOST, int(self.address.split(":")[1]), reuse_address=True
        ).start()
        self.up = True
        self.put_entry()
        self._task = asyncio.ensure_future(self._live())

    async def crash(self) -> None:
        """Ends the process: all runs are gone and nothing is told."""
        self.world.record.note(f"crash of {self.name}")
        self.up = False
        for run in self.running.values():
            self._note_end(run, "crashed")
        self.running = {}
        if self._task is not None:
            self._task.cancel()
        for transport in list(self._transports):
            transport.abort()
        await self._runner.cleanup()

    def remove_entry(self) -> None:
        self.store.put("keyed.servers", self.name, None)

    async def _live(self) -> None:
        beat_at = self.world.now() + HEARTBEAT_S
        while True:
            await asyncio.sleep(TICK_S)
            now = self.world.now()
            if now >= beat_at:
                if self.fault != "cut":
                    self.put_entry()
                beat_at += HEARTBEAT_S
            if self.running and self.clock_ms > self.lease_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")
                for ends in self.world.ends.values():
                    for end in ends:
                        if end["worker"] == self.name and end["acknowledged"] is None:
                            end["lapsed"] = True
            for run in list(self.running.values()):
                if run.task in self.running:
                    self._advance(run, now)

    def _advance(self, run: Run, now: float) -> None:
        if run.stopping_at is not None:
            if now >= run.stopping_at:
                self._end(run.task, "stopped")
            return
        step = self.world.step(run.task)
        if step.get("gang"):
            self._advance_gang(run, step, now)
            return
        if run.work_from is None:
            run.work_from = now + (RESTORE_S if run.base else 0.0)
        worked = run.base + max(0.0, now - run.work_from)
        self._keep_checkpoint(run, step, worked)
        if not step.get("longRunning") and worked >= run.needed:
            self._end(run.task, "done")

    def _keep_checkpoint(self, run: Run, step: dict[str, Any], worked: float) -> None:
        if step.get("checkpointing"):
            saved = int(worked / CHECKPOINT_S) * CHECKPOINT_S
            if saved > float(run.checkpoint or 0):
                run.checkpoint = str(saved)

    def _advance_gang(self, run: Run, step: dict[str, Any], now: float) -> None:
        members = [
            other
            for other in self.world.list_runs(run.task.rpartition(".")[0] + ".")
            if other.number == run.number
        ]
        if run.work_from is None:
            if len(members) == step["count"]:
                for member in members:
                    member.work_from = now
                racks = {member.worker.labels[-1] for member in members}
                if step.get("sameRack") and len(racks) > 1:
                    for member in members:
                        member.needed *= FAR_FACTOR
            elif now - run.started > GANG_TIMEOUT_S:
                self._end(run.task, "alone")
            return
        if len(members) < step["count"]:
            self._end(run.task, "broken")
        elif now - run.work_from >= run.needed:
            for member in members:
                member.worker._end(member.task, "done")

    def _note_end(self, run: Run, how: str) -> dict[str, Any]:
        end = {
            "at": self.world.now(),
            "run": run.number,
            "how": how,
            "worker": self.name,
            "acknowledged": None,
            "lapsed": False,
        }
        self.world.ends.setdefault(run.task, []).append(end)
        self.world.record.note(f"end {run.task} run {run.number} on {self.name} {how}")
        return end

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self.highest[task] = max(run.number, self.highest.get(task, 0))
        self.number += 1
        end = self._note_end(run, how)
        self.finished.append([self.number, task, run.number, how, run.checkpoint, end])
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self._transports.add(request.transport)
        if self.fault == "cut":
            # What a partition holds up is lost, since the sender resets its connection.
            await asyncio.sleep(SILENCE_S)
        if request.headers.get("Expect-Instance") not in (None, self.name):
            return web.json_response({}, status=421)
        return await handler(request)

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response(
            {"clockMs": self.clock_ms, "born": self.born} | fields, status=status
        )

    def _take_token(self, body: dict[str, Any]) -> bool:
        if body.get("fencingToken", 0) < self.fence:
            return False
        self.fence = body.get("fencingToken", 0)
        return True

    def _take_deadline(self, body: dict[str, Any]) -> None:
        deadline = min(body.get("deadlineMs", 0), self.clock_ms + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, deadline)

    def has_room(self, step: dict[str, Any]) -> bool:
        steps = [self.world.step(run.task) for run in self.running.values()]
        cpu = sum(0 if other.get("fills") else other.get("cpu", 0) for other in steps)
        memory = sum(other.get("memMb", 0) for other in steps)
        mine = 0 if step.get("fills") else step.get("cpu", 0)
        return cpu + mine <= self.cpu and memory + step.get("memMb", 0) <= self.memory_mb

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        task, number = body["task"], body["run"]
        if self.fault == "busy":
            self.refused += 1
            self.world.record.note(f"refused {task} run {number} on {self.name} 503")
            return self._answer(503)
        status, reason = self._carry_out(body)
        return self._answer(status, **({"reason": reason} if reason else {}))

    def _carry_out(self, body: dict[str, Any]) -> tuple[int, str]:
        task, number = body["task"], body["run"]
        if not self._take_token(body):
            return 409, "fence"
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, ""
        if body["deadlineMs"] < self.clock_ms:
            return 409, "late"
        self._take_deadline(body)
        if number <= self.highest.get(task, 0) or present is not None:
            return 409, "old"
        step = self.world.step(task) if task.split(".")[0] in self.world.jobs else {}
        if not self.has_room(step):
            self.refused += 1
            self.world.record.note(f"refused {task} run {number} on {self.name} room")
            return 409, "room"
        self.world.check_start(self, task, number, body)
        run = Run(self, task, number, body.get("checkpoint", ""), self.world.now())
        job = self.world.jobs.get(task.split(".")[0], {})
        run.needed = job.get("seconds", 1.0)
        self.running[task] = run
        return 200, ""

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        run = self.running.get(body["task"])
        if run is not None and run.number == body["run"]:
            if run.stopping_at is None:
                run.stopping_at = self.world.now() + STOP_S
        else:
            self.highest[body["task"]] = max(body["run"], self.highest.get(body["task"], 0))
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._apply_hold(body):
            return self._answer(409, reason="fence")
        if not self.finished and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
        if self.fault == "cut":
            await asyncio.sleep(SILENCE_S)
        now = self.world.now()
        running = [
            [run.task, run.number, run.checkpoint, self._measure_percent(run, now), 0]
            for run in self.running.values()
        ]
        return self._answer(running=running, finished=[row[:5] for row in self.finished[:500]])

    def _apply_hold(self, body: dict[str, Any]) -> bool:
        if not self._take_token(body):
            return False
        if "deadlineMs" in body:
            self._take_deadline(body)
        seen = body.get("lastSeen", 0)
        for row in self.finished:
            if row[0] <= seen:
                row[5]["acknowledged"] = self.world.now()
        self.finished = [row for row in self.finished if row[0] > seen]
        return True

    def _measure_percent(self, run: Run, now: float) -> int:
        if run.work_from is None:
            return 0
        if self.world.step(run.task).get("longRunning"):
            return 100 if now - run.work_from > 0.3 else 50
        return min(99, int(100 * (run.base + max(0.0, now - run.work_from)) / run.needed))


class Entry:
    """One entry host, a process of its own with the command of the deploy file."""

    def __init__(self, folder: Path, name: str, store: str, options: dict[str, Any]) -> None:
        self.name = name
        self.front = f"{HOST}:{find_port()}"
        self._log = (folder / f"{name}.log").open("ab")
        self._settings = folder / f"{name}.json"
        settings = {
            "member": name,
            "data_centre": "umea-a",
            "caller_address": self.front,
            "ready_address": f"{HOST}:{find_port()}",
            "peer_host": HOST,
            "peer_port": find_port(),
            "metrics_port": find_port(),
            "processor_share": 0.537,
            "processor_speed": 2,
            "store": store,
            "machines": "",
            "advice": "",
            "partitions": 8,
            "record_bytes": 262_144,
            "request_bytes": 2_097_152,
            "least_ttl_ms": 1000,
            "longest_lease_ms": MAX_HOLD_MS,
            "capacity_age_ms": 3000,
            "status_seconds": 120,
            "drain_ms": 2000,
            "grace_seconds": 6,
            "machine_lease_ms": 3000,
        }
        self._settings.write_text(json.dumps(settings | options))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "CARAWAYSHORE_SETTINGS": str(self._settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "carawayd",
            "--platform",
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        await self.process.wait()


class Deployment:
    """Store, entry hosts and clients of one play."""

    def __init__(
        self, folder: Path, entries: int = 3, options: dict[str, Any] | None = None
    ) -> None:
        self.record = Record(folder / "record.txt")
        keep = os.environ.get("KEEP_LOGS")
        self._temporary = None if keep else tempfile.TemporaryDirectory()
        self.work = Path(keep or self._temporary.name)
        self.work.mkdir(parents=True, exist_ok=True)
        self.store = PlatformStore(8)
        self.store_address = f"{HOST}:{find_port()}"
        self.world = World(self.record)
        self.entries = [
            Entry(self.work, f"front-{n}", self.store_address, options or {})
            for n in range(entries)
        ]
        self._session: aiohttp.ClientSession | None = None
        self.version = 1

    async def start(self, configuration: dict[str, Any], workers: list[Worker]) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        await self.store.start(self.store_address)
        self.configure(configuration)
        for worker in workers:
            await worker.start()
        for entry in self.entries:
            await entry.start()

    def configure(self, configuration: dict[str, Any]) -> None:
        self.version += 3
        self.store.put("keyed.op", "config", {"version": self.version} | configuration)

    async def stop(self) -> None:
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.send(signal.SIGCONT)
                entry.send(signal.SIGKILL)
                await entry.process.wait()
        await self._session.close()
        for worker in self.world.workers:
            if worker.up:
                worker._task.cancel()
                await worker._runner.cleanup()
        await self.store.stop()

    async def call(
        self, entry: Entry, method: str, path: str, body: Any = None, timeout_s: float = 3.0
    ) -> tuple[int, Any]:
        """Returns status and document; status 0 if there was no response."""
        headers = {"Host": CLIENT_HOST, "Timeout-Ms": str(int(timeout_s * 1000))}
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            async with self._session.request(
                method,
                f"http://{entry.front}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                text = await response.read()
                return response.status, json.loads(text) if text else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None

    async def submit(
        self, path: str, identifier: str, body: dict[str, Any], tries: int = 20, first: int = 0
    ) -> bool:
        """Submits a job as a client does, at one host after the other; returns if it was accepted."""
        for number in range(tries):
            entry = self.entries[(first + number) % len(self.entries)]
            status, _ = await self.call(entry, "POST", path + identifier, body)
            self.record.note(f"POST {identifier} at {entry.name}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def look(self, path: str, identifier: str = "") -> tuple[int, Any]:
        for entry in self.entries:
            status, document = await self.call(entry, "GET", path + identifier)
            if status in (200, 410):
                self.record.note(f"GET {path}{identifier} at {entry.name}: {status} {document}")
                return status, document
        self.record.note(f"GET {path}{identifier}: no answer")
        return 0, None

    async def wait_ready(self, path: str, seconds: float = 20.0) -> bool:
        """Waits until each entry host answers for a queue."""
        until = self.world.now() + seconds
        waiting = list(self.entries)
        while waiting and self.world.now() < until:
            for entry in list(waiting):
                status, _ = await self.call(entry, "GET", path, timeout_s=1.0)
                if status == 200:
                    waiting.remove(entry)
            await asyncio.sleep(0.2)
        return not waiting


def build_route(name: str, prefix: str, backend: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": CLIENT_HOST,
        "pathPrefix": prefix,
        "backend": backend,
        "priority": 0,
        "maxAttempts": 2,
        "stretch": 3.0,
        "targetDurationMs": 60_000,
        "timeoutMs": 3_000,
    } | fields


def build_service(name: str) -> dict[str, Any]:
    return {"name": name, "rejectsOverload": True}


def conclude(record: Record, ready: bool) -> int:
    """Returns the exit status of a play: 1 if a rule was broken, 0 if none was, 2 if it did not run."""
    if not ready:
        record.note("the play could not run")
        return 2
    for text in record.broken:
        print(text)
    return 1 if record.broken else 0
