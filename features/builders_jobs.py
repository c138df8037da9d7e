"""Builders for jobs and maintenance: folded streams, a fake worker and a small deployment."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from datetime import UTC, datetime, timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import aiohttp
from builders import StreamBuilder, build_configuration

from carawayd.platform.common import PlatformError, PlatformRefusal
from carawayd.platform.worker import WorkerStatus
from carawayd.process.jobindex import JobIndex
from carawayd.process.metrics import Metrics
from carawayd.process.settings import build_settings
from carawayd.process.streams import AppliedRecord
from carawayd.process.tasks import TaskSupervisor
from carawayshore import records
from carawayshore.maintenance import Fleet, FleetHost, PoolLimit
from carawayshore.testing import ManualClock
from carawayshore_standins.launcher import Launcher

START = datetime(2026, 1, 1, tzinfo=UTC)
SIZE = records.Resources(1.0, 1.0, 0)
HOLDER = "umea-1"


def build_submission(job: str, **changes: Any) -> records.JobSubmitted:
    """Returns the record of a small job of the queue ``routes``."""
    body = records.JobSubmitted(
        job, "routes", "crew", "booking", {}, SIZE, False, False, "2026-01-02T00:00:00+00:00", 60.0
    )
    return body._replace(**changes)


class JobStream(StreamBuilder):
    """Stream of a data centre with hosts and one member, which holds the claims fleet and jobs."""

    def __init__(self, hosts: int = 2) -> None:
        super().__init__()
        self.join(HOLDER)
        for claim in ("fleet", "jobs"):
            self.take(HOLDER, claim)
        for number in range(1, hosts + 1):
            size = records.Resources(1_000.0, 1_000.0, 0)
            body = records.HostAdded(
                f"w{number}", "booking", f"127.0.0.1:{number}", "r1", 8, 64, size
            )
            self.add(body)

    def add(self, body: Any):
        return self.append(HOLDER, body)

    def place(self, job: str, host: str = "w1"):
        attempt = self.state.jobs[job].placement.attempt + 1
        fence = self.state.claims["jobs"].fence
        return self.add(records.JobPlaced(job, attempt, host, fence))

    def finish(self, job: str, result: str, checkpoint: dict[str, Any] | None = None):
        attempt = self.state.jobs[job].placement.attempt
        return self.add(records.JobFinished(job, attempt, result, "", checkpoint))


class FakeLog:
    """Reader and appender in one; an appended record is read back immediately."""

    def __init__(self, stream: JobStream) -> None:
        self.stream = stream
        self.listeners: list[Any] = []

    @property
    def folded(self):
        return self.stream.state

    def add_listener(self, listener: Any) -> None:
        self.listeners.append(listener)

    def add_batch_listener(self, listener: Any) -> None:
        """Ignores the listener: each batch has one record, and no snapshot is ever loaded."""

    def submit(self, body: Any, priority: Any = None) -> asyncio.Future:
        result = self.stream.add(body)
        for listener in self.listeners:
            listener(AppliedRecord(len(self.stream.log) - 1, self.stream.log[-1], result))
        future = asyncio.get_running_loop().create_future()
        future.set_result(result)
        return future


class FakeWorker:
    """Worker client with faults set by the test; records every call."""

    def __init__(self, clock: ManualClock) -> None:
        self.latency = timedelta()
        self._clock = clock
        self.calls: Counter[str] = Counter()
        self.order: list[str] = []
        self.tasks: dict[str, dict[str, Any]] = {}
        self.fault = ""

    def _record_call(self, verb: str) -> None:
        self.calls[verb] += 1
        self.order.append(verb)
        if self.fault == "silent":
            raise PlatformError("no answer")

    async def read_status(self, address: str, *, timeout: float) -> WorkerStatus:
        self._record_call("status")
        empty: frozenset[str] = frozenset()
        return WorkerStatus("w", "booking", False, 8, 0, empty, empty, list(self.tasks.values()))

    async def start_task(
        self, address: str, job: str, body: dict[str, Any], pool: str, may_send: Any = None
    ):
        self._record_call("start")
        if self.fault == "refuse":
            raise PlatformRefusal(503, None)
        known = self.tasks.get(job)
        if known is None or known["lease"] < body["lease"]:
            self.calls["executions"] += 1
            self.tasks[job] = {"job": job, "state": "running", "lease": body["lease"], "share": 1.0}
            self.tasks[job] |= {"lease_seconds_left": 20, "run_seconds": 60, "done_seconds": 1}
        if self.fault == "lost answer":
            self.fault = ""
            raise PlatformError("the answer was lost")
        return self.tasks[job]

    async def read_task(self, address: str, job: str):
        self._record_call("look")
        if job not in self.tasks:
            raise PlatformRefusal(404, None)
        return self.tasks[job]

    async def change_task(self, address: str, job: str, verb: str, body: dict[str, Any]):
        self._record_call(verb)
        await self._clock.sleep(self.latency)
        task = self.tasks.setdefault(job, {"job": job, "state": "not-started", **body})
        if verb == "stop" and task["state"] == "running":
            task["state"] = "stopped"
        if verb == "checkpoint":
            task["checkpoint"] = {"done_seconds": task["done_seconds"]}
        return task


class TaskBench:
    """A task supervisor with a fake worker and log, in virtual time."""

    def __init__(self) -> None:
        self.stream, self.clock = JobStream(), ManualClock()
        self.worker = FakeWorker(self.clock)
        self.claim = SimpleNamespace(held=True, fence=self.stream.state.claims["jobs"].fence)
        self.claim.holds = lambda: self.claim.held
        self.log = FakeLog(self.stream)
        self.index = JobIndex(self.log)
        self.results: list[str] = []
        self.supervisor = TaskSupervisor(
            self.claim,
            self.log,
            self.log,
            index=self.index,
            membership=SimpleNamespace(is_log_reachable=lambda: True, is_member=lambda: True),
            peers=None,
            worker=self.worker,
            on_result=lambda name, job, result: self.results.append(result),
            on_usage=lambda job, usage: None,
            settings=build_test_settings(),
            clock=self.clock,
            metrics=Metrics(),
        )

    def submit(self, job: str, **changes: Any) -> None:
        self.log.submit(build_submission(job, **changes))

    def place(self, job: str) -> None:
        attempt = self.index.find(job).placement.attempt + 1
        self.log.submit(records.JobPlaced(job, attempt, "w1", self.claim.fence))

    async def run(self, seconds: float) -> None:
        """Runs the supervisor for ``seconds`` of virtual time."""
        main_task = asyncio.ensure_future(self.supervisor._supervise(self.supervisor))
        for _ in range(int(seconds * 10)):
            for _ in range(20):
                await asyncio.sleep(0)
            self.clock.advance(timedelta(seconds=0.1))
        for task in (main_task, *self.supervisor._monitors.values()):
            task.cancel()


def build_test_settings(**options: Any):
    """Returns the settings of one entry host, with addresses at which nothing listens."""
    urls = dict.fromkeys(("log", "hostlist", "pools"), "http://127.0.0.1:1")
    addresses = {f"{name}_address": "127.0.0.1:1" for name in ("caller", "operator", "peer")}
    document = {"member": HOLDER, "data_centre": "umea", "options": options} | urls | addresses
    return build_settings(document)


def build_host(name: str, **changes: Any) -> FleetHost:
    """Returns a serving host of the pool booking that has never been maintained."""
    host = FleetHost(name, "umea", "r1", "booking", "", START)
    return host._replace(**changes)


def build_racks(racks: int, **changes: Any) -> list[FleetHost]:
    """Returns racks of four hosts each."""
    return [
        build_host(f"h{rack}-{number}", rack=f"r{rack}", **changes)
        for rack in range(racks)
        for number in range(4)
    ]


def build_fleet(hosts: list[FleetHost], budget: int = 1, **changes: Any) -> Fleet:
    """Returns a fleet whose pool booking may have ``budget`` hosts out of service."""
    limits = {"booking": PoolLimit(budget, "booking")}
    fleet = Fleet(hosts, limits, timedelta(days=49), timedelta(minutes=15))
    return fleet._replace(**changes)


class WaveStream(StreamBuilder):
    """Global stream with maintenance enabled, a holder of its claim, and reported hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.join(HOLDER)
        document = build_configuration(maintenance={"enabled": True})
        self.append(HOLDER, records.ConfigurationPublished(0, document, HOLDER))
        self.take(HOLDER, "maintenance")
        for data_centre in ("umea", "lulea"):
            self.report(data_centre, {f"{data_centre}-w{n}": "" for n in range(1, 7)})

    @property
    def fence(self) -> int:
        return self.state.claims["maintenance"].fence

    def report(self, data_centre: str, conditions: dict[str, str], fence: int = 1):
        hosts = {
            name: records.HostReport("booking", f"r{(int(name[-1]) - 1) // 4}", condition)
            for name, condition in conditions.items()
        }
        at = START.isoformat()
        return self.append(HOLDER, records.HostsReported(data_centre, fence, at, hosts))

    def start(self, wave: str, data_centre: str, hosts: list[str], fence: int | None = None):
        fence = self.fence if fence is None else fence
        body = records.WaveStarted(wave, data_centre, hosts, fence, START.isoformat())
        return self.append(HOLDER, body)

    def finish_host(self, wave: str, host: str, fence: int):
        body = records.WaveHostDone(wave, host, fence, START.isoformat())
        return self.append(HOLDER, body)


class Deployment:
    """A running deployment, called from the synchronous steps of a feature."""

    def __init__(self, data_centres: dict[str, int], **members: Any) -> None:
        self._runner = asyncio.Runner()
        self._folder = tempfile.TemporaryDirectory()
        pools = {name: {"booking": {"workers": n}} for name, n in data_centres.items()}
        description = {
            "data_centres": {n: {"entry_hosts": 2, "pools": p} for n, p in pools.items()},
            "pools": {"reboot_seconds": 0.3},
        }
        self.launcher = Launcher(description | members, Path(self._folder.name))
        self.run(self.launcher.__aenter__())

    def run(self, coroutine: Any) -> Any:
        return self._runner.run(coroutine)

    def call(self, method: str, member: str, path: str, *, role: str = "caller", body: Any = None):
        """Returns status, outcome header and document of one call to an entry host."""
        url = f"http://{self.launcher.get_address(member, role)}{path}"

        async def _call():
            async with (
                aiohttp.ClientSession() as session,
                session.request(method, url, json=body) as answer,
            ):
                outcome = answer.headers.get("Carawayshore-Outcome")
                return answer.status, outcome, await answer.json()

        return self.run(_call())

    def list_workers(self) -> list[str]:
        return [name for name in self.launcher.processes if "-w" in name]

    def list_executions(self) -> list[dict[str, Any]]:
        """Returns the executions of all workers, each with the name of its worker."""
        return [
            entry | {"worker": name}
            for name in self.list_workers()
            for entry in self.run(self.launcher.read_record(name))["executions"]
        ]

    def sleep(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def close(self) -> None:
        self.run(self.launcher.__aexit__())
        self._runner.close()
        self._folder.cleanup()
