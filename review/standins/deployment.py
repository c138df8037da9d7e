"""A small deployment for the scripts of the cases: store, workers, entry hosts, client.

Entry hosts run with the command of the deploy file and settings in the form of its template. All
addresses are loopback addresses with free ports; logs and settings are in a temporary folder.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import random
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
from store import Store
from worker import Sizes, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "booking.example"
IP = "127.0.0.1"
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


class CannotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


def _die_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Ports:
    """Free ports, each handed out once."""

    def __init__(self) -> None:
        self._used: set[int] = set()

    def take(self) -> int:
        """Returns a port below the range from which outgoing connections get theirs."""
        for _ in range(1_000):
            port = random.randrange(12_000, 30_000)
            if port in self._used:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((IP, port))
                except OSError:
                    continue
            self._used.add(port)
            return port
        raise CannotRun("no free port")


class EntryHost:
    """One process of the role in the deploy file."""

    def __init__(self, name: str, settings: dict[str, Any], folder: Path) -> None:
        self.name = name
        self.settings = settings
        self.log = folder / f"{name}.log"
        self._file = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self._file.write_text(json.dumps(self.settings, indent=2))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["entry"]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CARAWAYSHORE_SETTINGS"] = str(self._file)
        program = sys.executable if program == "python3" else program
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                preexec_fn=_die_with_parent,
            )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        if self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.running:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """Starts and ends everything; ``record`` appends a line with the time to record.txt."""

    def __init__(self, case: str) -> None:
        self.case_folder = Path(case).resolve().parent
        self._lines = (self.case_folder / "record.txt").open("w", buffering=1)
        self._temporary = tempfile.TemporaryDirectory(prefix="carawayshore-review-")
        self.folder = Path(self._temporary.name)
        self.ports = Ports()
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, EntryHost] = {}
        self.sizes: dict[str, Sizes] = {}
        self.worker_class: type[Worker] = Worker
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._origin: float | None = None
        self._session: aiohttp.ClientSession | None = None

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def record(self, *words: Any) -> None:
        if self._origin is None:
            self._origin = self.now()
        text = " ".join(str(word) for word in words)
        self._lines.write(f"{self.now() - self._origin:8.3f} {text}\n")

    def say(self, *words: Any) -> None:
        """Records a line and prints it."""
        self.record(*words)
        print(*words, flush=True)

    def find_sizes(self, task: str) -> Sizes:
        """Returns what a task needs; by its step's name ID.K.STEP, or its job's ID."""
        job, _, step, _ = task.split(".")
        return self.sizes.get(f"{job}.{step}") or self.sizes[job]

    async def start(self, *, hosts: int, workers: dict[str, list[str]], **options: Any) -> None:
        """Starts the store, the workers (service to racks, one worker each) and entry hosts."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self.store.start(f"{IP}:{self.ports.take()}")
        for service, racks in workers.items():
            for number, rack in enumerate(racks):
                worker = self.worker_class(
                    f"i-{service}-{number}",
                    service,
                    f"{IP}:{self.ports.take()}",
                    self.store,
                    self.find_sizes,
                    self.record,
                    rack=rack,
                    **options,
                )
                self.workers[worker.name] = worker
                await worker.start()
        for number in range(hosts):
            host = EntryHost(f"front-umea-a-{number + 1}", self._settings(number), self.folder)
            self.hosts[host.name] = host
            await host.start()
        await asyncio.gather(*(self.wait_ready(host) for host in self.hosts.values()))

    def _settings(self, number: int) -> dict[str, Any]:
        return {
            "member": f"front-umea-a-{number + 1}",
            "data_centre": "umea-a",
            "caller_address": f"{IP}:{self.ports.take()}",
            "ready_address": f"{IP}:{self.ports.take()}",
            "peer_host": IP,
            "peer_port": self.ports.take(),
            "metrics_port": self.ports.take(),
            "processor_share": 0.537,
            "processor_speed": 2,
            "store": self.store.address,
            "machines": "",
            "advice": "",
            "partitions": self.store.parts,
            "least_ttl_ms": 1000,
            "longest_lease_ms": 6000,
            "capacity_age_ms": 3000,
            "status_seconds": 120,
            "drain_ms": 2000,
            "grace_seconds": 6,
            "machine_lease_ms": 3000,
        }

    async def is_ready(self, host: EntryHost) -> bool:
        try:
            async with self._session.get(
                f"http://{host.settings['ready_address']}/api/ready",
                timeout=aiohttp.ClientTimeout(total=0.5),
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self, host: EntryHost, seconds: float = 15.0) -> None:
        await self.wait_until(lambda: self.is_ready(host), f"{host.name} is ready", seconds)

    async def wait_until(self, condition: Callable[[], Any], what: str, seconds: float) -> None:
        deadline = self.now() + seconds
        while self.now() < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def publish(self, version: int, routes: dict[str, str], services: list[str]) -> None:
        """Writes a configuration as the operator does: path prefix to service."""
        document = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{prefix.strip('/')}-{service}",
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
                for prefix, service in routes.items()
            ],
            "services": [
                {"name": name, "healthPath": "/health", "rejectsOverload": True, "standby": False}
                for name in services
            ],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("keyed.op", "config", document)
        self.record("configuration", version, "acknowledged:", routes)

    async def call(
        self,
        host: EntryHost,
        method: str,
        path: str,
        document: Any = None,
        *,
        timeout: float = 3.0,
        quiet: bool = False,
    ) -> tuple[int, Any]:
        """Sends a client's request; the status is 0 if there was no complete answer."""
        headers = {"Host": HOST, "Timeout-Ms": str(int(timeout * 1000))}
        url = f"http://{host.settings['caller_address']}{path}"
        sent = self.now()
        try:
            async with self._session.request(
                method,
                url,
                json=document,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as answer:
                result = answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            result = 0, type(error).__name__
        if not quiet:
            self.record(
                method, path, "at", host.name, "->", *result, f"after {self.now() - sent:.3f} s"
            )
        return result

    async def submit(self, host: EntryHost, path: str, document: Any, attempts: int = 20) -> int:
        """Hands a job in, again after each answer that isn't 200, as clients do."""
        status = 0
        for _ in range(attempts):
            status, _ = await self.call(host, "POST", path, document)
            if status == 200:
                return status
            await asyncio.sleep(0.5)
        return status

    def find_owner(self) -> EntryHost | None:
        """Returns the running entry host that gave the last start orders, by its log."""
        newest: tuple[str, EntryHost] | None = None
        for host in self.hosts.values():
            if not host.running:
                continue
            for line in host.log.read_text(errors="replace").splitlines():
                if '"tasks ordered"' in line:
                    stamp = json.loads(line)["time"]
                    if newest is None or stamp > newest[0]:
                        newest = (stamp, host)
        return newest[1] if newest else None

    async def stop(self) -> None:
        for host in self.hosts.values():
            await host.kill()
        for worker in self.workers.values():
            if worker.up:
                await worker.crash()
        await self.store.stop()
        if self._session is not None:
            await self._session.close()
        if os.environ.get("KEEP_LOGS"):
            for host in self.hosts.values():
                target = Path(os.environ["KEEP_LOGS"]) / host.log.name
                target.write_bytes(host.log.read_bytes())
        self._lines.close()
        self._temporary.cleanup()


def find_double_runs(workers: list[Worker]) -> tuple[list[str], list[str]]:
    """Returns the breaches of TWICE: overlapping runs, and starts after an end that was noted.

    An end counts if it is ``done`` and was taken note of; leases that lapsed end as ``lapsed``.
    """
    overlaps, again = [], []
    starts: dict[str, list[tuple[float, int, str]]] = {}
    ends: dict[tuple[str, int], float] = {}
    done: dict[str, list[tuple[float, int]]] = {}
    for worker in workers:
        for task, run, at in worker.starts:
            starts.setdefault(task, []).append((at, run, worker.name))
        for task, run, how, at in worker.ends:
            ends[task, run] = at
            if how == "done" and (task, run) in worker.noted:
                done.setdefault(task, []).append((at, run))
    for task, runs in starts.items():
        runs.sort()
        for (_, first, _), (at, second, name) in zip(runs, runs[1:], strict=False):
            if at < ends.get((task, first), float("inf")):
                overlaps.append(f"{task}: run {second} began on {name} while run {first} ran")
        for ended, first in done.get(task, ()):
            again += [
                f"{task}: run {run} began on {name} {at - ended:.3f} s after run {first} was done"
                for at, run, name in runs
                if at > ended
            ]
    return overlaps, again


def run_case(case: str, main: Callable[[Deployment], Any], limit: float = 110.0) -> int:
    """Runs a case and returns its exit status: 1 broken, 0 held, 2 could not run."""

    async def run() -> int:
        deployment = Deployment(case)
        try:
            async with asyncio.timeout(limit):
                broken = await main(deployment)
            deployment.say("RESULT:", "the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError, OSError) as error:
            deployment.say("RESULT: the case could not run:", repr(error))
            return 2
        finally:
            await deployment.stop()

    return asyncio.run(run())
