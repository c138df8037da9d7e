"""Small stand-ins of the users' platform for the cases of the second review.

They follow PROTOCOL.md: the metadata store with keyed topics, producer epochs and groups, workers
with leases and fencing tokens, and the list of machines. Everything that is observed goes to a
``Record``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
GANG_TIMEOUT_S = 3.0
CHECKPOINT_INTERVAL_S = 2.0


def read_progress(checkpoint: str) -> float:
    """Returns the seconds of work that a checkpoint saves."""
    return int(checkpoint or "0", 16) / 1000


class Record:
    """Observations of one run, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Ports:
    """Free loopback ports, kept apart by open UDP sockets of the same numbers."""

    def __init__(self) -> None:
        self._locks: list[socket.socket] = []
        self._next = 12_000 + (os.getpid() * 61) % 18_000

    def reserve(self) -> str:
        while True:
            port = self._next
            self._next = port + 1 if port < 31_000 else 12_000
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind(("127.0.0.1", port))
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            return f"127.0.0.1:{port}"


async def serve(address: str, routes: list, middlewares: tuple = ()) -> web.AppRunner:
    application = web.Application(client_max_size=4_000_000, middlewares=list(middlewares))
    application.add_routes(routes)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


class _Part:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.producers: dict[str, list] = {}
        self.changed = asyncio.Event()

    def append(self, records: list[bytes]) -> tuple[int, int]:
        first = len(self.records)
        for record in records:
            self.records.append(record)
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, len(self.records) - 1)
        self.changed.set()
        self.changed = asyncio.Event()
        return first, len(self.records)


class _Group:
    """Group whose partitions are handed over: the former holder joins with the new generation."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, list] = {}  # name: [last join, ttl, generation]
        self.target: dict[tuple[str, int], str] = {}
        self.holder: dict[tuple[str, int], str] = {}

    def rearrange(self, parts: list[tuple[str, int]]) -> None:
        self.generation += 1
        names = sorted(self.members)
        counts = dict.fromkeys(names, 0)
        kept = {}
        limit = -(-len(parts) // len(names)) if names else 0
        for part in parts:
            name = self.target.get(part)
            if name in counts and counts[name] < limit:
                kept[part] = name
                counts[name] += 1
        for part in parts:
            if part not in kept and names:
                name = min(names, key=lambda item: counts[item])
                kept[part] = name
                counts[name] += 1
        self.target = kept


class Store:
    """The platform's metadata store."""

    def __init__(self, address: str, parts: int) -> None:
        self.address = address
        self.parts = parts
        self._partitions: dict[tuple[str, int], _Part] = {}
        self._groups: dict[str, _Group] = {}

    async def start(self) -> None:
        routes = [
            web.post("/api/log-append", self._append),
            web.get("/api/log-read", self._read),
            web.get("/api/log-newest", self._newest),
            web.post("/api/log-join", self._join),
            web.post("/api/log-leave", self._leave),
            web.get("/api/log-owners", self._owners),
        ]
        self._runner = await serve(self.address, routes)

    async def stop(self) -> None:
        await self._runner.cleanup()

    def put(self, topic: str, key: str, value) -> None:
        data = b"" if value is None else json.dumps(value).encode()
        self._part(topic, 0).append([bytes([len(key)]) + key.encode() + data])

    def get(self, topic: str, key: str):
        found = self._part(topic, 0).newest.get(key)
        return json.loads(found[0]) if found else None

    def find_holder(self, topic: str, number: int) -> str:
        """Returns the member that holds a partition, empty if none does."""
        groups = self._groups.values()
        return next((g.holder[topic, number] for g in groups if (topic, number) in g.holder), "")

    def _part(self, topic: str, number: int) -> _Part:
        return self._partitions.setdefault((topic, number), _Part())

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        await asyncio.sleep(0.004)
        query = request.query
        part = self._part(query["topic"], int(query["part"]))
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        if "at" in query and int(query["at"]) != len(part.records):
            return web.json_response({"endOffset": len(part.records)}, status=412)
        if query.get("producer"):
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = part.producers.setdefault(query["producer"], [-1, None, {}])
            if epoch < state[0]:
                return web.json_response({"reason": "fenced"}, status=409)
            if epoch > state[0]:
                state[:] = [epoch, None, {}]
            if records:
                if seq in state[2]:
                    first, end = state[2][seq]
                    return web.json_response({"offset": first, "endOffset": end})
                if state[1] is not None and seq != state[1] + 1:
                    document = {"reason": "seq", "expected": state[1] + 1}
                    return web.json_response(document, status=409)
        first, end = part.append(records)
        if query.get("producer") and records:
            state[1] = seq
            state[2] = dict(list(state[2].items())[-4:]) | {seq: (first, end)}
        return web.json_response({"offset": first, "endOffset": end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        part = self._part(query["topic"], int(query["part"]))
        offset, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if offset >= len(part.records) and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(part.changed.wait(), wait)
        await asyncio.sleep(0.002)
        end = len(part.records)
        data = b"".join(struct.pack(">I", len(item)) + item for item in part.records[offset:end])
        return web.Response(body=struct.pack(">QQ", end, 0) + data)

    async def _newest(self, request: web.Request) -> web.Response:
        query = request.query
        part = self._part(query["topic"], int(query["part"]))
        keys = [key for key in sorted(part.newest) if key > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key in keys[:500]
            for value, offset in [part.newest[key]]
        ]
        document = {"items": items, "hasMore": len(keys) > 500, "endOffset": len(part.records)}
        return web.json_response(document)

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], _Group())
        now, name = time.monotonic(), body["member"]
        parts = [(topic, number) for topic in body["topics"] for number in range(self.parts)]
        gone = [
            other
            for other, (last, ttl, _) in group.members.items()
            if other != name and now - last > ttl
        ]
        for other in gone:
            del group.members[other]
        is_new = name not in group.members
        group.members[name] = [now, body["ttlMs"] / 1000, body.get("generation", 0)]
        if gone or is_new:
            group.rearrange(parts)
        for part in parts:
            holder = group.holder.get(part)
            if holder == group.target.get(part):
                continue
            member = group.members.get(holder)
            if member is None or member[2] >= group.generation:
                group.holder[part] = group.target[part]
        rows = [
            [*part, 0]
            for part in parts
            if group.holder.get(part) == name and group.target.get(part) == name
        ]
        return web.json_response(
            {"generation": group.generation, "ttlMs": body["ttlMs"], "parts": rows}
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(body["group"], _Group())
        if group.members.pop(body["member"], None) is not None:
            group.rearrange(list(group.target))
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._groups.setdefault(request.query["group"], _Group())
        rows = [[topic, number, name, 0] for (topic, number), name in group.holder.items()]
        return web.json_response({"owners": rows})


class Gangs:
    """Runs of gangs on all workers.

    The members of one run work from the moment when all of them are present with the same
    checkpoint, and end together. ``sizes`` gives the number of members by the task's name without
    its index.
    """

    def __init__(self) -> None:
        self.sizes: dict[str, int] = {}
        self.members: dict[tuple[str, int], dict[str, Worker]] = {}

    def add(self, worker: Worker, task: str, run: int) -> None:
        key = (task.rpartition(".")[0], run)
        self.members.setdefault(key, {})[task] = worker
        self._work(key)

    def _list_present(self, key: tuple[str, int]) -> list[tuple[str, Worker]]:
        return [
            (task, worker)
            for task, worker in self.members.get(key, {}).items()
            if worker.up and worker.get_run(task) == key[1]
        ]

    def _work(self, key: tuple[str, int]) -> None:
        present = self._list_present(key)
        checkpoints = {worker.get_checkpoint(task) for task, worker in present}
        if len(present) == self.sizes[key[0]] and len(checkpoints) == 1:
            for task, worker in present:
                worker.work(task)

    def end(self, task: str, run: int, how: str) -> None:
        """Ends the other members of a run, one of which has ended."""
        if how == "alone":
            return
        for other, worker in self._list_present((task.rpartition(".")[0], run)):
            if other != task:
                worker.end(other, "done" if how == "done" else "broken")


class Worker:
    """One worker, which may crash and start again under its id and address."""

    def __init__(self, name: str, service: str, address: str, store: Store, record: Record) -> None:
        self.name, self.service, self.address = name, service, address
        self.machine = "m-" + name
        self.store, self.record = store, record
        self.run_seconds = 0.5
        self.labels = ["a", "r1-1"]
        self.millicores = 16000
        self.lasts = False
        # [task, run, worker, born, started, ended or None, how]
        self.runs: list[list] = []
        self.fails = lambda task, run: False
        self.gangs = Gangs()
        self.has_checkpoints = False
        # Returns whether a start of a step carries a valid ticket of this life of the worker.
        self.accepts_ticket = lambda worker, step, ticket: True
        # Millicores of a task by its name without the index; the same table for all workers.
        self.sizes: dict[str, int] = {}
        # Returns after how many seconds a start order is carried out, without an answer; 0 at once.
        self.find_delay = lambda worker, task, run: 0.0
        # Time from a start of the process to its first entry in the store.
        self.first_beat_s = 0.0
        self._tasks: list[asyncio.Task] = []
        self._runner: web.AppRunner | None = None
        self.up = False

    async def start(self) -> None:
        self.born = int(time.time() * 1000)
        self._origin = time.monotonic()
        self._fence = 0
        self._lease = 0
        self._running: dict[str, dict] = {}
        self._finished: list[list] = []
        self._count = 0
        self._highest: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._seq = 0
        self.up = True
        routes = [
            web.post("/api/run-start", self._start),
            web.post("/api/run-stop", self._stop),
            web.post("/api/hold", self._hold),
            web.post("/api/pace", self._pace),
            web.get("/health", lambda _: web.Response(headers={"Instance-Id": self.name})),
        ]
        self._runner = await serve(self.address, routes, (self._check,))
        self._tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._watch())]

    async def crash(self) -> None:
        """Ends everything at once; the entry expires after three heartbeat intervals."""
        self.record.write(f"worker {self.name} crashes, running {sorted(self._running)}")
        self.up = False
        for task in self._tasks:
            task.cancel()
        ended, self._running = self._running, {}
        for task, entry in ended.items():
            entry["timer"].cancel()
            entry["row"][5:7] = [time.monotonic(), "crashed"]
            if self._is_gang(task):
                self.gangs.end(task, entry["run"], "crashed")
        self._changed.set()
        await self._runner.cleanup()

    def describe(self) -> dict:
        self._seq += 1
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.millicores, "memMb": 65536, "gpus": 0},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "seq": self._seq,
        }

    async def _beat(self) -> None:
        await asyncio.sleep(self.first_beat_s)
        while True:
            self.store.put("keyed.servers", self.name, self.describe())
            await asyncio.sleep(1.5)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self._running and self.clock_ms > self._lease:
                for task in list(self._running):
                    self.end(task, "lapsed")

    def _find_size(self, task: str) -> int:
        return self.sizes.get(task.rpartition(".")[0], 0)

    def measure_use(self) -> int:
        """Returns the millicores of what runs."""
        return sum(self._find_size(task) for task in self._running)

    @property
    def running(self) -> list[str]:
        return sorted(self._running)

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._origin) * 1000)

    @web.middleware
    async def _check(self, request: web.Request, handler) -> web.Response:
        if request.headers.get("Expect-Instance") not in (None, self.name):
            return web.json_response({}, status=421)
        born = self.born
        response = await handler(request)
        if not self.up or self.born != born:
            # The process ended before it answered.
            request.transport.abort()
        return response

    def _answer(self, status: int = 200, **fields) -> web.Response:
        document = {"clockMs": self.clock_ms, "born": self.born} | fields
        return web.json_response(document, status=status)

    def _accepts(self, body: dict) -> bool:
        if body.get("fencingToken", 0) < self._fence:
            return False
        self._fence = body.get("fencingToken", 0)
        return True

    def _extend(self, body: dict) -> None:
        limit = self.clock_ms + 6000
        self._lease = max(self._lease, min(limit, body.get("deadlineMs", 0)))

    def _find_checkpoint(self, entry: dict, *, at_stop: bool = False) -> str:
        """Returns the last checkpoint: a new one each ``checkpointIntervalS`` of work, and at a stop.

        It tells the progress in ms, so members that began together have the same one.
        """
        if not (self.has_checkpoints and entry["works"]):
            return entry["checkpoint"]
        worked = time.monotonic() - entry["since"]
        if not at_stop:
            worked -= worked % CHECKPOINT_INTERVAL_S
        if not worked:
            return entry["checkpoint"]
        return f"{int(1000 * (read_progress(entry['checkpoint']) + worked)):016x}"

    def _is_gang(self, task: str) -> bool:
        return task.rpartition(".")[0] in self.gangs.sizes

    def get_run(self, task: str) -> int | None:
        entry = self._running.get(task)
        return entry["run"] if entry else None

    def get_checkpoint(self, task: str) -> str:
        return self._running[task]["checkpoint"]

    def work(self, task: str) -> None:
        """Lets a member of a gang work, since all of them are present."""
        entry = self._running[task]
        entry["timer"].cancel()
        entry["works"], entry["since"] = True, time.monotonic()
        entry["timer"] = asyncio.get_running_loop().call_later(
            max(0.0, self.run_seconds - read_progress(entry["checkpoint"])), self.end, task, "done"
        )

    def end(self, task: str, how: str) -> None:
        entry = self._running.pop(task, None)
        if entry is None:
            return
        entry["timer"].cancel()
        if self._is_gang(task):
            asyncio.get_running_loop().call_soon(self.gangs.end, task, entry["run"], how)
        self._highest[task] = max(entry["run"], self._highest.get(task, 0))
        self._count += 1
        saved = self._find_checkpoint(entry, at_stop=how == "stopped")
        self._finished.append([self._count, task, entry["run"], how, saved])
        entry["row"][5:7] = [time.monotonic(), how]
        self.record.write(f"worker {self.name}: {task} run {entry['run']} ends {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        delay = self.find_delay(self, body["task"], body["run"])
        if delay:
            self.record.write(
                f"worker {self.name}: start order of {body['task']} run {body['run']} gets no answer"
                f" and is carried out {delay:.1f} s later"
            )
            asyncio.ensure_future(self._carry_out(body, delay))
            await asyncio.sleep(30.0)
        return self._begin(body)

    async def _carry_out(self, body: dict, delay: float) -> None:
        await asyncio.sleep(delay)
        if self.up:
            answer = self._begin(body)
            self.record.write(f"worker {self.name}: late order: {answer.status} {answer.text}")

    def _begin(self, body: dict) -> web.Response:
        task, run = body["task"], body["run"]
        if not self._accepts(body):
            return self._answer(409, reason="fence")
        if body["deadlineMs"] < self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(body)
        running = self._running.get(task)
        if running and running["run"] == run:
            return self._answer()
        if running or run <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        if self.measure_use() + self._find_size(task) > self.millicores:
            return self._answer(409, reason="room")
        if not self.accepts_ticket(self, task.rpartition(".")[0], body.get("ticket", "")):
            return self._answer(409, reason="ticket")
        checkpoint = body.get("checkpoint", "")
        row = [task, run, self.name, self.born, time.monotonic(), None, "", checkpoint]
        self.runs.append(row)
        loop = asyncio.get_running_loop()
        how = "failed" if self.fails(task, run) else "done"
        seconds = 3600 if self.lasts and how == "done" else self.run_seconds
        is_gang = self._is_gang(task)
        if is_gang:
            seconds, how = GANG_TIMEOUT_S, "alone"
        self._running[task] = {
            "run": run,
            "row": row,
            "checkpoint": checkpoint,
            "works": not is_gang,
            "since": time.monotonic(),
            "timer": loop.call_later(seconds, self.end, task, how),
        }
        self.record.write(
            f"worker {self.name} ({self.service}): starts {task} run {run}"
            f" token {body.get('fencingToken', 0)}" + f" checkpoint {checkpoint!r}" * bool(is_gang)
        )
        if is_gang:
            self.gangs.add(self, task, run)
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accepts(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        if task in self._running and self._running[task]["run"] <= run:
            self.end(task, "stopped")
        self._highest[task] = max(run, self._highest.get(task, 0))
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return self._answer() if self._accepts(body) else self._answer(409, reason="fence")

    def _measure_percent(self, entry: dict) -> int:
        if not entry["works"]:
            return 0
        worked = time.monotonic() - entry["since"]
        if self.lasts:
            return 100 if worked > 0.3 else 0
        done = read_progress(entry["checkpoint"]) + worked
        return min(99, int(100 * done / self.run_seconds))

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accepts(body):
            return self._answer(409, reason="fence")
        self._extend(body)
        seen = body.get("lastSeen", 0)
        self._finished = [row for row in self._finished if row[0] > seen]
        if not self._finished and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["waitMs"] / 1000)
        running = [
            [task, entry["run"], self._find_checkpoint(entry), self._measure_percent(entry), 1]
            for task, entry in self._running.items()
        ]
        return self._answer(running=running, finished=self._finished[:500])


class Machines:
    """Lists one machine for each worker. A case in which a machine is ordered does not count."""

    def __init__(self, address: str, workers: list[Worker]) -> None:
        self.address, self.workers = address, workers
        self.orders = 0

    async def start(self) -> None:
        routes = [
            web.get("/api/machines", self._list),
            web.post("/api/machine-move", self._refuse),
            web.post("/api/machine-upkeep", self._refuse),
        ]
        self._runner = await serve(self.address, routes)

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _list(self, request: web.Request) -> web.Response:
        machines = [
            {
                "machine": worker.machine,
                "pool": worker.service,
                "state": "up" if worker.up else "down",
                "zone": "z1",
                "labels": worker.labels,
                "capacity": {"cpu": worker.millicores, "memMb": 65536, "gpus": 0},
                "id": worker.name if worker.up else "",
            }
            for worker in self.workers
        ]
        return web.json_response({"machines": machines, "nextPageToken": None})

    async def _refuse(self, request: web.Request) -> web.Response:
        self.orders += 1
        return web.Response(status=503)


class Advice:
    """The service that knows which workers may run a step; here, all that it is asked about.

    It answers after ``decision_ms`` and ``per_worker_ms`` for each worker, one call at a time for
    each entry host, which has an address of its own here. A ticket is valid for ``valid_ms`` from
    the answer on, for one step during one life of its worker.
    """

    def __init__(self, record: Record, decision_ms: int, per_worker_ms: int, valid_ms: int) -> None:
        self.record = record
        self.terms = {
            "decisionMs": decision_ms,
            "perWorkerMs": per_worker_ms,
            "validMs": valid_ms,
        }
        self.workers: list[Worker] = []
        self._issued: dict[tuple[str, str, str], tuple[float, int]] = {}
        self.calls = 0

    async def start(self, address: str) -> None:
        lock, waiting = asyncio.Lock(), []

        async def advise(request: web.Request) -> web.Response:
            body = await request.json()
            if len(waiting) >= 32:
                return web.json_response({}, status=429)
            waiting.append(body)
            try:
                async with lock:
                    return await self._advise(body)
            finally:
                waiting.remove(body)

        await serve(address, [web.post("/api/advise", advise)])

    async def _advise(self, body: dict) -> web.Response:
        names = body["workers"][:100]
        seconds = (self.terms["decisionMs"] + self.terms["perWorkerMs"] * len(names)) / 1000
        await asyncio.sleep(seconds)
        self.calls += 1
        lives = {worker.name: worker.born for worker in self.workers}
        rows = [[name, f"t{self.calls}-{name}"] for name in names if name in lives]
        for name, ticket in rows:
            self._issued[body["step"], name, ticket] = (time.monotonic(), lives[name])
        self.record.write(f"advice on {body['step']}: {len(rows)} tickets, after {seconds:.2f} s")
        return web.json_response({"allowed": rows, "validMs": self.terms["validMs"]})

    def is_valid(self, worker: Worker, step: str, ticket: str) -> bool:
        issued, born = self._issued.get((step, worker.name, ticket), (0.0, 0))
        return born == worker.born and time.monotonic() - issued <= self.terms["validMs"] / 1000


class Proxy:
    """Forwards connections; while ``cut``, nothing passes in either direction, silently."""

    def __init__(self, address: str, target: str) -> None:
        self.address, self.target = address, target
        self.cut = False
        self._open = asyncio.Event()
        self._open.set()

    def set_cut(self, cut: bool) -> None:
        self.cut = cut
        if cut:
            self._open.clear()
        else:
            self._open.set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        self._server.close()

    async def _accept(self, reader, writer) -> None:
        await self._open.wait()
        host, _, port = self.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, upstream_writer), self._pump(upstream_reader, writer)
        )

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(Exception):
            writer.close()


def read_command() -> list[str]:
    """Returns the command of the role, as in the deploy file."""
    document = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return document["roles"]["entry"]["run"].split()


class EntryHost:
    """One process of the role ``entry``, with the command of the deploy file."""

    def __init__(
        self, name: str, ports: Ports, store: str, machines: str, parts: int, folder: Path
    ):
        self.name, self.folder = name, folder
        self.caller, self.ready = ports.reserve(), ports.reserve()
        peer, metrics = ports.reserve(), ports.reserve()
        self.peer = peer
        self.settings = {
            "member": name,
            "data_centre": "z1",
            "caller_address": self.caller,
            "ready_address": self.ready,
            "peer_host": "127.0.0.1",
            "peer_port": int(peer.rpartition(":")[2]),
            "metrics_port": int(metrics.rpartition(":")[2]),
            "processor_share": 0.537,
            "processor_speed": 2,
            "store": store,
            "machines": machines,
            "advice": "",
            "partitions": parts,
            "record_bytes": 262144,
            "request_bytes": 2097152,
            "least_ttl_ms": 1000,
            "longest_lease_ms": 6000,
            "capacity_age_ms": 3000,
            "status_seconds": 120,
            "drain_ms": 2000,
            "grace_seconds": 6,
            "machine_lease_ms": 3000,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CARAWAYSHORE_SETTINGS": str(path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *read_command(),
                cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def restart_as_planned(self) -> None:
        """Sends SIGTERM, SIGKILL after ``graceS``, and starts the process again after its end."""
        self.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), 6.0)
        await self.stop()
        await asyncio.sleep(0.5)
        await self.start()


def configuration(version: int, routes: dict[str, str], services: list[str], **fields) -> dict:
    """Returns a configuration; ``routes`` gives the service of each path prefix."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-" + prefix.strip("/"),
                "host": HOST,
                "pathPrefix": prefix,
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetDurationMs": 2500,
                "priority": 0,
                "backend": service,
                "maxAttempts": 2,
                "stretch": 2.2,
            }
            | fields
            for prefix, service in routes.items()
        ],
        "services": [
            {"name": name, "healthPath": "/health", "rejectsOverload": True, "standby": False}
            for name in services
        ],
        "limits": {"maxBodyBytes": 262144},
    }


class Deployment:
    """A small deployment: store, machines, workers and entry hosts."""

    def __init__(
        self, folder: Path, *, hosts: int, workers: dict[str, int], parts: int = 4
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = Ports()
        self.store = Store(self.ports.reserve(), parts)
        self.workers = [
            Worker(f"i-{service}-{number}", service, self.ports.reserve(), self.store, self.record)
            for service, count in workers.items()
            for number in range(count)
        ]
        self.sizes: dict[str, int] = {}
        for worker in self.workers:
            worker.sizes = self.sizes
        self.machines = Machines(self.ports.reserve(), self.workers)
        self.proxies = [Proxy(self.ports.reserve(), self.store.address) for _ in range(hosts)]
        self.hosts = [
            EntryHost(
                f"front-{number}", self.ports, proxy.address, self.machines.address, parts,
                self.temporary,
            )
            for number, proxy in enumerate(self.proxies)
        ]  # fmt: skip

    async def start(self) -> None:
        await self.store.start()
        await self.machines.start()
        for worker in self.workers:
            await worker.start()
        for proxy in self.proxies:
            await proxy.start()
        for host in self.hosts:
            await host.start()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        for host in self.hosts:
            await self.await_ready(host, 30)

    def find_owner(self, service: str) -> EntryHost | None:
        """Returns the entry host that holds the partition of a service."""
        partition = self.store.get("keyed.layout", service)
        holder = "" if partition is None else self.store.find_holder("keyed.jobs", partition)
        peer = holder.partition("#")[0]
        return next((host for host in self.hosts if host.peer == peer), None)

    async def is_ready(self, host: EntryHost) -> bool:
        try:
            async with self.session.get(
                f"http://{host.ready}/api/ready", timeout=aiohttp.ClientTimeout(total=1)
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def await_ready(self, host: EntryHost, seconds: float) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready(host):
            if time.monotonic() > until:
                raise RuntimeError(f"{host.name} is not ready")
            await asyncio.sleep(0.1)

    async def call(self, method: str, host: EntryHost, path: str, body=None, session=None):
        """Sends one request of a client; returns its status and document, 0 for no answer."""
        url = f"http://{host.caller}{path}"
        headers = {"Host": HOST, "Timeout-Ms": "3000"}
        started = time.monotonic()
        if method == "POST":
            self.note_sizes(path, body)
        self.record.write(f"client: {method} {path} to {host.name}")
        try:
            async with (session or self.session).request(
                method, url, json=body, headers=headers, timeout=aiohttp.ClientTimeout(total=3)
            ) as answer:
                status, document = answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, document = 0, repr(error)
        self.record.write(
            f"client: {method} {path} at {host.name} -> {status} {document}"
            f" after {time.monotonic() - started:.3f} s"
        )
        return status, document

    async def add_worker(self, worker: Worker) -> None:
        worker.sizes = self.sizes
        await worker.start()
        self.workers.append(worker)

    def note_sizes(self, path: str, body: dict) -> None:
        """Tells the workers how large the tasks of a job are."""
        for number, step in enumerate(body["steps"]):
            self.sizes[f"{path.rpartition('/')[2]}.0.{number}"] = step["cpu"]

    def has_spare_capacity(self, step: dict, workers: list[Worker]) -> bool:
        """Returns whether there is capacity for a step twice over on the workers that may run it.

        Also, under half of the capacity of the service has to be in use, as in the rule.
        """
        used = sum(worker.measure_use() for worker in self.workers)
        free = sum(worker.millicores - worker.measure_use() for worker in workers)
        total = sum(worker.millicores for worker in self.workers)
        return free >= 2 * step["count"] * step["cpu"] and used < total / 2

    async def submit(self, host: EntryHost, path: str, body: dict, attempts: int = 20) -> int:
        """Hands a job in, again after 0, 502, 503, 504 and 429; returns the last status."""
        status = 0
        for _ in range(attempts):
            status, _ = await self.call("POST", host, path, body)
            if 200 <= status < 300 or status == 404:
                break
            await asyncio.sleep(0.5)
        return status

    @property
    def runs(self) -> list[list]:
        return sorted((run for worker in self.workers for run in worker.runs), key=lambda r: r[4])

    def find_overlaps(self) -> list[tuple[list, list]]:
        """Returns the pairs of runs of one task that were there at the same time."""
        runs, now = self.runs, time.monotonic()
        return [
            (a, b)
            for i, a in enumerate(runs)
            for b in runs[i + 1 :]
            if a[0] == b[0] and b[4] < (a[5] or now)
        ]

    async def stop(self) -> None:
        for host in self.hosts:
            await host.stop()
        with contextlib.suppress(Exception):
            await self.session.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for path in self.temporary.glob("*.log"):
                shutil.copy(path, keep)
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder: str, deployment, play) -> None:
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        # Ends the processes of the case, also if the case itself is ended.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        system = deployment(Path(folder))
        try:
            await system.start()
            broken = await asyncio.wait_for(play(system, trouble), 100)
        except (Exception, asyncio.CancelledError) as error:
            system.record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await system.stop()
        if system.machines.orders:
            system.record.write("a machine was ordered, which the stand-in does not carry out")
            return 2
        system.record.write(f"rule broken: {broken or 'no'}")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
