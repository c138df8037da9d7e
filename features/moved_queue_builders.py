"""Entry hosts in virtual time whose queues move to other services; the test plays the owners."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import looptime
from malformed_builders import MemoryStore
from owner_builders import build_settings
from platform_builders import build_job, build_operator_configuration, build_route
from virtual import LoopClock

from carawayd.partition.owner import ABSENT, ACCEPTED, FOUND, UNREADY, Reply
from carawayd.platform.documents import CONFIGURATION_KEY
from carawayd.platform.store import OPERATOR_TOPIC
from carawayd.process.discovery import Discovery
from carawayd.process.ownercalls import CANCEL, CONFIRM_ABSENCE, COUNT_PENDING, GET_STATE
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayd.request.workflows import WorkflowHandler

HOST = "jobs.example"
PREFIX = "/slots/"
# Time in which a version is applied and its routes are recorded.
APPLY_S = 2.5


def identify(number: int) -> str:
    return f"{number:016x}"


class PlayedOwners:
    """Answers calls to the owners of partitions from their jobs.

    Attributes
    ----------
    jobs : dict of int to dict
        Queue of each job, by partition and job.
    unreached : set of int
        Partitions whose owners can't be reached.
    """

    def __init__(self) -> None:
        self.jobs: dict[int, dict[str, str]] = defaultdict(dict)
        self.cancelled: set[str] = set()
        self.unreached: set[int] = set()

    async def call(self, partition, operation, subject, *, deadline_seconds) -> Reply:
        if partition in self.unreached:
            return Reply(UNREADY)
        jobs = self.jobs[partition]
        if operation == CONFIRM_ABSENCE:
            operation, subject = GET_STATE, subject[0]
        if operation == GET_STATE:
            return Reply(FOUND, "running") if subject in jobs else Reply(ABSENT)
        if operation == CANCEL:
            if subject in jobs:
                self.cancelled.add(subject)
            return Reply(ACCEPTED if subject in jobs else ABSENT)
        if operation == COUNT_PENDING:
            return Reply(FOUND, sum(queue == subject for queue in jobs.values()))
        workflow, *_ = subject
        jobs[workflow[0]] = workflow[2]
        return Reply(ACCEPTED)

    def count_runs(self, job: str) -> int:
        """Returns how many partitions run a job."""
        return sum(job in jobs for jobs in self.jobs.values())


class QueueHost:
    """One entry host, without sockets."""

    def __init__(self, store: MemoryStore, owners: PlayedOwners, name: str) -> None:
        settings = build_settings()._replace(member=name)
        self.discovery = Discovery(store, settings, LoopClock())
        self.handler = WorkflowHandler(
            self.discovery, owners, WorkflowMetrics(), keeps_connections=lambda: True
        )

    async def send(self, method: str, path: str, document: Any = None) -> Any:
        """Returns the answer to a caller's request."""

        async def iter_any() -> AsyncIterator[bytes]:
            yield json.dumps(document).encode()

        request = SimpleNamespace(
            method=method,
            path=path,
            headers={"Host": HOST},
            content_length=10,
            content=SimpleNamespace(iter_any=iter_any),
        )
        return await self.handler._handle(request)


class QueueWorld:
    """Entry hosts that share a store, and the operator's configurations.

    Parameters
    ----------
    services : tuple of str
        Services of the first configuration.
    """

    def __init__(self, *services: str) -> None:
        self.loop = looptime.new_event_loop(start=0, noop_cycles=2)
        self.store = MemoryStore()
        self.owners = PlayedOwners()
        self.hosts: dict[str, QueueHost] = {}
        self.services = services
        self.version = 0

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    async def start(self, *names: str) -> None:
        """Starts entry hosts together and waits until they have applied the configuration."""
        for name in names:
            self.hosts[name] = QueueHost(self.store, self.owners, name)
            await self.hosts[name].discovery.maybe_start()
        await asyncio.sleep(APPLY_S)

    async def stop(self, *names: str) -> None:
        for name in names:
            await self.hosts.pop(name).discovery.stop()

    async def restart_in_turn(self) -> None:
        for name in list(self.hosts):
            await self.stop(name)
            await self.start(name)

    async def restart_at_once(self) -> None:
        names = list(self.hosts)
        await self.stop(*names)
        await self.start(*names)

    def publish(self, service: str | None, *, name: str = "slots", prefix: str = PREFIX) -> None:
        """Publishes a configuration that sends the queue to a service, or has no queue."""
        self.version += 1
        route = build_route(prefix, name=name) | {"host": HOST, "backend": service or ""}
        other = build_route("/other/", name="other") | {"host": HOST, "backend": self.services[-1]}
        routes = [other] if service is None else [route, other]
        document = build_operator_configuration(self.version, *routes)
        document["services"] = [{"name": item} for item in self.services]
        self.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, json.dumps(document).encode())

    async def apply(self, service: str | None, **changes: Any) -> None:
        """Publishes a configuration and waits until the entry hosts have applied it."""
        self.publish(service, **changes)
        await asyncio.sleep(APPLY_S)

    async def submit(self, number: int, host: str | None = None) -> int:
        answer = await self.send(f"POST of job {number}", host)
        return answer.status

    async def send(self, call: str, host: str | None = None) -> Any:
        """Sends a call such as ``GET of job 1`` or ``GET of the queue`` to an entry host."""
        method, _, subject = call.split(" ", 2)
        number = subject.removeprefix("job ")
        path = PREFIX + (identify(int(number)) if number.isdigit() else "")
        chosen = self.hosts[host] if host else next(iter(self.hosts.values()))
        return await chosen.send(method, path, build_job())

    def find_partition(self, service: str) -> int:
        [partition] = {host.discovery.find_partition(service) for host in self.hosts.values()}
        return partition

    def close(self) -> None:
        self.run(self.stop(*self.hosts))
        self.loop.close()
