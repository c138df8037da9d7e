"""Runs entry hosts of the platform mode against the platform's stand-ins, in one event loop."""

from __future__ import annotations

import asyncio
from collections import Counter
from datetime import datetime, timedelta
from typing import Any

import aiohttp

from carawayd.process.entryhost import EntryHost
from carawayd.process.site import SITE_FIELDS, SiteSettings
from carawayshore.clock import SystemClock
from carawayshore.options import fill_defaults
from carawayshore_standins.platform_store import PlatformStore
from carawayshore_standins.platform_worker import PlatformWorker
from carawayshore_standins.ports import PortReserver

HOST = "booking.example"
PREFIX = "/slots/"
SERVICE = "booking"
RUN_LIMIT_S = 60.0
POLL_S = 0.03
SEED = 7


def build_route(prefix: str = PREFIX, *, name: str = "slots") -> dict[str, Any]:
    """Returns one queue in the format of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetDurationMs": 600,
        "priority": 0,
        "backend": SERVICE,
        "maxAttempts": 2,
        "stretch": 1.6,
    }


def build_operator_configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration in the operator's format."""
    services = [
        {"name": SERVICE, "healthPath": "/health", "rejectsOverload": True, "standby": False}
    ]
    return {
        "version": version,
        "routes": list(routes) or [build_route()],
        "services": services,
        "limits": {"maxBodyBytes": 262144},
    }


def build_job(count: int = 2, **changes: Any) -> dict[str, Any]:
    """Returns the document with which callers submit a job of one step."""
    step = {"count": count, "cpu": 1000, "memMb": 100, "estimateMs": 100} | changes
    return {"spec": "text", "steps": [step]}


def build_lasting_job(count: int, *, cores: float, most_per_worker: int, most_away: int) -> dict:
    """Returns the document of a job of one long-running step."""
    limits = {"maxPerServer": most_per_worker, "mayMiss": most_away}
    return build_job(
        count,
        cpu=int(cores * 1000),
        longRunning=True,
        **{name: limit for name, limit in limits.items() if limit},
    )


def build_wave(number: int, machines: list[str], seconds: float, max_down: int) -> dict[str, Any]:
    """Returns the operator's request for the upkeep of machines."""
    return {"wave": number, "machines": machines, "withinS": seconds, "cap": max_down}


def build_identifier(number: int) -> str:
    """Returns the identifier of a job."""
    return f"{number:016x}"


class JumpingClock(SystemClock):
    """System clock whose time of day tests can shift."""

    def __init__(self) -> None:
        self.jump = timedelta()

    def now(self) -> datetime:
        return super().now() + self.jump


class PlatformHarness:
    """Entry hosts that run against a stand-in store and stand-in workers.

    Tests observe task runs and appends at the stand-ins.
    """

    def __init__(self, *, hosts: int = 2, workers: int = 2) -> None:
        self._loop = asyncio.new_event_loop()
        self._ports = PortReserver()
        self._clock = SystemClock()
        self.clocks: dict[str, JumpingClock] = {}
        self.store = PlatformStore()
        self._store_address = self._ports.reserve()
        self.workers: dict[str, PlatformWorker] = {}
        self.hosts: dict[str, EntryHost] = {}
        self.run(self._open(hosts, workers))

    async def _open(self, hosts: int, workers: int) -> None:
        await self.store.start(self._store_address)
        self._session = aiohttp.ClientSession()
        self.store.put("keyed.op", "config", build_operator_configuration(1))
        for number in range(workers):
            worker = PlatformWorker(f"w{number}", SERVICE, self._ports.reserve())
            self.workers[worker.name] = worker
            await worker.start()
            self.store.put("keyed.servers", worker.name, worker.describe())
        for number in range(hosts):
            await self.start_host(f"entry-{number}")

    def run(self, coroutine: Any) -> Any:
        return self._loop.run_until_complete(asyncio.wait_for(coroutine, RUN_LIMIT_S))

    def _build_settings(self, member: str) -> SiteSettings:
        document = {
            "member": member,
            "data_centre": "umea",
            "caller_address": self._ports.reserve(),
            "ready_address": self._ports.reserve(),
            "peer_host": "127.0.0.1",
            "peer_port": int(self._ports.reserve().rpartition(":")[2]),
            "metrics_port": int(self._ports.reserve().rpartition(":")[2]),
            "store": self._store_address,
            "advice": self._store_address,
            "partitions": self.store.partition_count,
            "seed": SEED + len(self.hosts),
        }
        return SiteSettings(**fill_defaults(SITE_FIELDS, document))

    async def start_host(self, member: str) -> None:
        self.clocks[member] = JumpingClock()
        host = EntryHost(self._build_settings(member), self.clocks[member])
        self.hosts[member] = host
        await host.start()
        await self.wait_until(lambda: self.is_ready(host), f"{member} is ready")

    async def is_ready(self, host: EntryHost) -> bool:
        async with self._session.get(f"http://{host.settings.ready_address}/api/ready") as answer:
            return answer.status == 200

    async def wait_until(self, condition: Any, description: str, seconds: float = 20.0) -> None:
        """Waits until a condition, which may be a coroutine function, holds."""
        deadline = self._loop.time() + seconds
        while self._loop.time() < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError(f"condition not met within {seconds} s: {description}")

    async def call(
        self, method: str, member: str, identifier: str, document: Any = None, **options: Any
    ) -> tuple[int, Any, dict[str, str]]:
        """Sends a caller's request to an entry host; returns status, document and headers."""
        address = self.hosts[member].settings.caller_address
        path = options.get("prefix", PREFIX) + identifier
        headers = {"Host": HOST, "Timeout-Ms": str(options.get("timeout_ms", 3000))}
        async with self._session.request(
            method, f"http://{address}{path}", json=document, headers=headers
        ) as answer:
            return answer.status, await answer.json(), dict(answer.headers)

    async def submit(self, member: str, number: int, **changes: Any) -> int:
        """Submits a job, again after each 503 and 504 up to 40 times; returns the last status."""
        for _ in range(40):
            status, _, _ = await self.call(
                "POST", member, build_identifier(number), build_job(**changes)
            )
            if status not in (503, 504):
                return status
            await asyncio.sleep(0.1)
        return status

    async def read_state(self, member: str, number: int) -> str:
        status, document, _ = await self.call("GET", member, build_identifier(number))
        return document.get("state", str(status))

    async def await_state(self, member: str, number: int, state: str) -> None:
        async def has_state() -> bool:
            return await self.read_state(member, number) == state

        await self.wait_until(has_state, f"job {number} is {state}")

    def find_owner(self) -> str:
        """Returns the entry host that owns the partition of the service."""
        for member, host in self.hosts.items():
            if any(owner.loaded and not owner.lost for owner in host.ownership.owners.values()):
                return member
        return ""

    async def await_owner(self, *, other_than: str = "") -> str:
        await self.wait_until(
            lambda: self.find_owner() not in ("", other_than), "a partition has an owner"
        )
        return self.find_owner()

    async def kill_host(self, member: str) -> None:
        """Stops an entry host without a handover of its partitions."""
        host = self.hosts.pop(member)
        host.ownership.leaving = True
        for owner in host.ownership.owners.values():
            owner.lost = True
            await owner.stop()
        await host.stop()

    async def stop_host(self, member: str) -> None:
        await self.hosts.pop(member).stop_gracefully()

    def count_starts(self) -> Counter:
        """Returns the number of starts of each task, over all workers."""
        return Counter(start.task for worker in self.workers.values() for start in worker.starts)

    def find_overlaps(self) -> list[str]:
        """Returns the tasks of which two runs overlapped in time."""
        spans: dict[str, list[tuple[float, float]]] = {}
        for worker in self.workers.values():
            ends = {(task, run): at for task, run, _, at in worker.ends}
            for start in worker.starts:
                end = ends.get((start.task, start.run), float("inf"))
                spans.setdefault(start.task, []).append((start.started_at, end))
        return [
            task
            for task, items in spans.items()
            if any(a[0] < b[1] and b[0] < a[1] for i, a in enumerate(items) for b in items[:i])
        ]

    def count_completions(self) -> Counter:
        """Returns the number of successful runs of each task, over all workers."""
        return Counter(
            task
            for worker in self.workers.values()
            for task, _, outcome, _ in worker.ends
            if outcome == "done"
        )

    def close(self) -> None:
        self.run(self._close())
        self._ports.release()
        self._loop.close()

    async def _close(self) -> None:
        for host in self.hosts.values():
            await host.stop()
        for worker in self.workers.values():
            await worker.stop()
        await self._session.close()
        await self.store.stop()

    async def pause(self, seconds: float) -> None:
        await self._clock.sleep(timedelta(seconds=seconds))
