"""A small deployment: the project's entry hosts as processes, and the stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
from carawayshore_standins.platform_store import PlatformStore
from carawayshore_standins.ports import PortReserver

from harness3.worker import Worker

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from harness3.worker import Run

ROOT = Path(__file__).resolve().parents[2]
if not (ROOT / "deploy").exists():
    ROOT = Path(os.environ["REVIEW_ROOT"])
HOST = "bokning.example"
GANG_TIMEOUT_SECONDS = 3.0
GRACE_SECONDS = 6.0
LIMIT_SECONDS = 110.0
# Delay after which the platform restarts a process that has ended, and the interval at which it
# looks at the memory of the processes.
RESTART_SECONDS = 1.0
WATCH_SECONDS = 0.2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEMORY_LIMIT_MB = 300
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not be run."""


class Deployment:
    """Two entry hosts, a store and workers of one service, on loopback addresses.

    Parameters
    ----------
    folder : Path
        Folder of the case; ``record.txt`` is written there.
    """

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self._record = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._ports = PortReserver()
        self._scratch = Path(tempfile.mkdtemp(prefix="review3-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._callers: list[str] = []
        self._ready: list[str] = []
        self._turn = 0
        self.store = PlatformStore(8)

    # -- record ----------------------------------------------------------------------------------

    def note(self, what: str, **fields: Any) -> None:
        """Adds an event to the record."""
        event = {"at": round(time.monotonic() - self.began_at, 3), "what": what} | fields
        self.events.append(event)
        text = " ".join(f"{key}={value!r}" for key, value in fields.items())
        self._record.write(f"{event['at']:8.3f} {what} {text}\n")

    def list_events(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        return [
            event
            for event in self.events
            if event["what"] == what and all(event.get(key) == fields[key] for key in fields)
        ]

    # -- store -----------------------------------------------------------------------------------

    def write_entry(self, identifier: str, entry: dict[str, Any]) -> None:
        self.store.put("keyed.servers", identifier, entry)

    def remove_entry(self, identifier: str) -> None:
        self.store.put("keyed.servers", identifier, None)

    # -- processes -------------------------------------------------------------------------------

    async def open(self, routes: list[dict[str, Any]], workers: dict[str, list[str]]) -> None:
        """Starts the stand-ins and the entry hosts, and waits until the hosts are ready."""
        self._store_address = self._ports.reserve()
        await self.store.start(self._store_address)
        service = {"name": "bokning", "rejectsOverload": True, "standby": False, "healthPath": "/h"}
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": 3,
                "routes": routes,
                "services": [service],
                "limits": {"maxBodyBytes": 262_144},
            },
        )
        for name, labels in workers.items():
            worker = Worker(self, name, "bokning", self._ports.reserve(), labels)
            self.workers[name] = worker
            await worker.start()
        self.session = aiohttp.ClientSession()
        for number in (1, 2):
            self._start_host(f"front-umea-a-{number}")
        await self.wait(self._are_ready, 30.0, "the entry hosts are ready")

    def _start_host(self, member: str) -> None:
        callers, ready = self._ports.reserve(), self._ports.reserve()
        # The fields of deploy/settings.json.template, as for a small deployment.
        settings = {
            "member": member,
            "data_centre": "umea-a",
            "caller_address": callers,
            "ready_address": ready,
            "peer_host": "127.0.0.1",
            "peer_port": int(self._ports.reserve().rpartition(":")[2]),
            "metrics_port": int(self._ports.reserve().rpartition(":")[2]),
            "processor_share": 0.537,
            "processor_speed": 2,
            "memory_mb": MEMORY_LIMIT_MB,
            "max_descriptors": 4100,
            "store": self._store_address,
            "machines": "",
            "advice": "",
            "partitions": 8,
            "record_bytes": 262_144,
            "request_bytes": 2_097_152,
            "least_ttl_ms": 1000,
            "longest_lease_ms": 6000,
            "capacity_age_ms": 3000,
            "status_seconds": 120,
            "drain_ms": 2000,
            "grace_seconds": 6,
            "machine_lease_ms": 3000,
        }
        path = self._scratch / f"{member}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self._spawn(member)
        self._callers.append(callers)
        self._ready.append(ready)

    def _spawn(self, member: str) -> None:
        settings = self._scratch / f"{member}.json"
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"CARAWAYSHORE_SETTINGS": str(settings), "PYTHONPATH": "target/deps"}
        with (self._scratch / f"{member}.log").open("ab") as log:
            # The command of the role in deploy/system.toml.
            self._processes[member] = subprocess.Popen(
                ["python3", "-m", "carawayd", "--platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def watch_memory(self) -> None:
        """Kills a process whose memory exceeds its limit and restarts it, as the platform does."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            for member, process in list(self._processes.items()):
                memory_mb = _measure_memory_mb(process.pid)
                if process.poll() is None and memory_mb > MEMORY_LIMIT_MB:
                    process.kill()
                    process.wait()
                    self.note("memory over the limit; killed", member=member, memory_mb=memory_mb)
                elif process.poll() is not None:
                    self.note("process ended", member=member, status=process.returncode)
                    await asyncio.sleep(RESTART_SECONDS)
                    self._spawn(member)

    async def _are_ready(self) -> bool:
        for address in self._ready:
            try:
                async with self.session.get(f"http://{address}/api/ready") as answer:
                    if answer.status != 200:
                        return False
            except aiohttp.ClientError:
                return False
        return True

    async def close(self) -> None:
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        for process in self._processes.values():
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for worker in self.workers.values():
            if worker.up:
                await worker.crash()
        await self.session.close()
        await self.store.stop()
        self._ports.release()
        self._record.close()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self._scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(self._scratch, ignore_errors=True)

    async def wait(
        self, condition: Callable[[], Awaitable[bool]], seconds: float, what: str
    ) -> None:
        until = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > until:
                raise CaseError(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.1)

    # -- client ----------------------------------------------------------------------------------

    async def call(self, method: str, path: str, document: Any = None) -> tuple[int, Any]:
        """Sends a client's request to the entry hosts by turns; returns status and body.

        The status is 0 if there is no answer.
        """
        self._turn += 1
        address = self._callers[self._turn % len(self._callers)]
        headers = {"Host": HOST, "Timeout-Ms": "3000"}
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with self.session.request(
                method, f"http://{address}{path}", json=document, headers=headers, timeout=timeout
            ) as answer:
                status, body = answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            status, body = 0, repr(error)
        self.note("answered", method=method, path=path, status=status, body=body)
        return status, body

    async def submit(self, path: str, document: dict[str, Any]) -> None:
        """Submits a job as a client does: again after 429, 502, 503, 504 or no answer."""
        identifier = path.rpartition("/")[2]
        self.jobs[identifier] = document
        sent = {
            **document,
            "steps": [
                {key: value for key, value in step.items() if key != "workMs"}
                for step in document["steps"]
            ],
        }
        for _ in range(20):
            status, _ = await self.call("POST", path, sent)
            if status == 200:
                return
            await asyncio.sleep(1.0)
        raise CaseError(f"{path} was not accepted")

    async def read_state(self, path: str) -> str:
        """Returns the state of a job as its caller sees it, empty without an answer."""
        status, body = await self.call("GET", path)
        return body["state"] if status == 200 else "unknown job" if status == 410 else ""

    # -- what workers know of the jobs -----------------------------------------------------------

    def find_step(self, task: str) -> dict[str, Any]:
        identifier, _, step, _ = task.split(".")
        return self.jobs[identifier]["steps"][int(step)]

    def find_run(self, task: str) -> tuple[Worker, Run] | None:
        for worker in self.workers.values():
            if task in worker.runs:
                return worker, worker.runs[task]
        return None

    def _list_gang(self, run: Run) -> list[tuple[Worker, Run]]:
        members = []
        for index in range(run.step["count"]):
            found = self.find_run(f"{run.group}.{index}")
            if found is not None and found[1].number == run.number:
                members.append(found)
        return members

    def advance_gang(self, run: Run, now: float) -> None:
        """Lets a gang work once all its members are present.

        Where members carry different checkpoints, which the protocol excludes, they all go on from
        the lowest one, so that the job can still be done.
        """
        members = self._list_gang(run)
        if run.works and len(members) < run.step["count"]:
            # A member was lost with its worker.
            self.end_gang(run, "broken")
        elif not run.works and len(members) == run.step["count"]:
            done_ms = min(member.done_ms for _, member in members)
            for _, member in members:
                member.works, member.done_ms = True, done_ms
        elif not run.works and now - run.started_at > GANG_TIMEOUT_SECONDS:
            found = self.find_run(run.task)
            if found is not None:
                found[0].end(run, "alone")

    def end_gang(self, run: Run, how: str) -> None:
        for worker, member in self._list_gang(run):
            worker.end(member, how)


def _measure_memory_mb(pid: int) -> int:
    """Returns the resident memory of a process in MB, 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    except (OSError, IndexError):
        return 0
    return pages * PAGE_BYTES // 1_000_000


def run_case(folder: str, play: Callable[[Deployment], Awaitable[str]]) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if it could not run.

    ``play`` returns what broke the rule, empty if nothing did.
    """

    async def run() -> int:
        deployment = Deployment(Path(folder))
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                broken = await play(deployment)
        except (CaseError, TimeoutError) as error:
            deployment.note("case could not run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.close()
        print(f"BROKEN: {broken}" if broken else "held")
        return 1 if broken else 0

    try:
        status = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        status = 2
    sys.exit(status)
