"""Observes a cell: log records, versions that entry hosts serve, and answers to a load."""

from __future__ import annotations

import asyncio
import json
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from matrix.fleet_deployment import MEMBERS, REMOTE_MEMBER

if TYPE_CHECKING:
    from pathlib import Path

    from matrix.fleet_deployment import FleetDeployment

SAMPLE_INTERVAL = timedelta(milliseconds=100)
STREAMS = ("global", "dc.umea", "dc.lulea")
LOAD_CALLERS = 6


class VersionSample(NamedTuple):
    """Readiness and version that an entry host reported; the version is -1 without an answer."""

    at: datetime
    member: str
    ready: bool
    version: int


class LoadRequest(NamedTuple):
    """One request of the load, with status and outcome of its answer."""

    token: str
    status: int
    outcome: str


class DeploymentObserver:
    """Samples a deployment from outside while a cell runs.

    Parameters
    ----------
    deployment : FleetDeployment
        Deployment to observe and to load.
    token : str
        Prefix of the load's requests.
    """

    def __init__(self, deployment: FleetDeployment, token: str) -> None:
        self.records: dict[str, dict[int, dict[str, Any]]] = {name: {} for name in STREAMS}
        self.next_offsets = dict.fromkeys(STREAMS, 0)
        self.samples: list[VersionSample] = []
        self.load_requests: list[LoadRequest] = []
        self._deployment = deployment
        self._token = token
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        record = await self._deployment.read_record("log")
        for name in STREAMS:
            self.next_offsets[name] = record["streams"].get(name, {"end": 0})["end"]
        work = [self._follow(name) for name in STREAMS]
        work += [self._observe(member) for member in (*MEMBERS, REMOTE_MEMBER)]
        work += [self._send_load(number) for number in range(LOAD_CALLERS)]
        self._tasks = [asyncio.create_task(item) for item in work]

    async def stop(self) -> None:
        """Cancels the load and the observers, then reads the log to its end."""
        for task in self._tasks:
            task.cancel()
        done = await asyncio.gather(*self._tasks, return_exceptions=True)
        for error in done:
            if isinstance(error, Exception):
                raise error
        for name in STREAMS:
            await self._read_records(name)

    async def _follow(self, stream: str) -> None:
        while True:
            await self._read_records(stream)
            await self._deployment.clock.sleep(SAMPLE_INTERVAL)

    async def _read_records(self, stream: str) -> None:
        address, start = self._deployment.get_address("log"), self.next_offsets[stream]
        url = f"{address}/v1/streams/{stream}/records?from={start}&limit=10000"
        status, answer = await self._deployment.call("GET", url)
        if status == 410:
            self.next_offsets[stream] = answer["first"]
        elif status == 200:
            found = {item["offset"]: item["record"] for item in answer["records"]}
            self.records[stream] |= found
            self.next_offsets[stream] = max(found, default=start - 1) + 1

    async def _observe(self, member: str) -> None:
        """Reads readiness before the version, so that a sample of a ready host has its version."""
        while True:
            at = self._deployment.clock.now()
            status, _, _ = await self._deployment.call_caller_api("GET", member, "/v1/ready")
            version = await self._deployment.read_version(member)
            self.samples.append(VersionSample(at, member, status == 200, version))
            await self._deployment.clock.sleep(SAMPLE_INTERVAL)

    async def _send_load(self, caller: int) -> None:
        number = 0
        while True:
            number += 1
            token = f"{self._token}-load{caller}-{number}"
            pool = "office" if caller == 0 else "booking"
            work = {"Work-Seconds": "1.0", "Carawayshore-Deadline": "4"}
            member = MEMBERS[(caller + number) % 3]
            answer = await self._deployment.send_request(member, f"{pool}/{token}", **work)
            self.load_requests.append(LoadRequest(token, *answer))
            await self._deployment.clock.sleep(SAMPLE_INTERVAL)

    def list_bodies(self, stream: str, kind: str) -> list[dict[str, Any]]:
        items = sorted(self.records[stream].items())
        return [record["body"] for _, record in items if record["type"] == kind]


def read_executions(folder: Path, since: datetime) -> list[dict[str, Any]]:
    """Returns the executions in the workers' record files that started at ``since`` or later."""
    found: dict[tuple[str, int], dict[str, Any]] = {}
    for path in sorted(folder.glob("*.record")):
        for line in path.read_bytes().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue  # A killed worker may leave a truncated line.
            if entry["entry"] != "execution":
                continue
            if datetime.fromisoformat(entry["started"]) >= since:
                found[path.stem, entry["number"]] = entry | {"worker": path.stem}
    return list(found.values())
