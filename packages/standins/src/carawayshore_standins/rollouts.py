"""Publishes configuration versions and measures when each takes effect at every entry host.

Each version adds a new service, which is probed at every entry host. A version is in force at an
entry host once the host serves its service, and counts as reverted if the host later answers 404.
"""

from __future__ import annotations

import asyncio
import copy
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayshore_standins.client import wait_until
from carawayshore_standins.evidence import Race, RollOut

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore_standins.client import JsonClient, Reply
    from carawayshore_standins.launcher import Launcher

PENDING_PROBE_INTERVAL = timedelta(milliseconds=50)
REVERT_PROBE_INTERVAL = timedelta(milliseconds=250)
PROBE_TIMEOUT_S = 2.0
ROLL_OUT_TIMEOUT = timedelta(seconds=20)
PUBLISH_TIMEOUT = timedelta(seconds=20)
CONFIGURATION_PATH = "/v1/operator/configuration"


class _RollOutMonitor:
    """Probe results for the service that one version added.

    Parameters
    ----------
    service : str
    accepted_at : timedelta
        Clock time when the publication was accepted.
    """

    def __init__(self, service: str, accepted_at: timedelta) -> None:
        self.service = service
        self.accepted_at = accepted_at
        self.seconds: dict[str, float] = {}
        self.reverts = 0
        self.probes = 0

    def describe(self) -> RollOut:
        return RollOut(self.service, self.seconds, self.reverts, self.probes)


class ConfigurationPublisher:
    """Publishes configuration versions and probes their services at every entry host.

    Parameters
    ----------
    launcher : Launcher
    client : JsonClient
    clock : Clock
    pool : str
        Pool of the services that the versions add.
    """

    def __init__(self, launcher: Launcher, client: JsonClient, clock: Clock, *, pool: str) -> None:
        self.document: dict[str, Any] = copy.deepcopy(launcher.description["configuration"])
        self.races: list[Race] = []
        self._version = 1
        self._launcher = launcher
        self._client = client
        self._clock = clock
        self._pool = pool
        self._monitors: list[_RollOutMonitor] = []
        self._probe_numbers = itertools.count(1)
        self._probe_tasks: list[asyncio.Task[None]] = []

    async def await_initial_configuration(self) -> None:
        """Waits until every entry host serves a service of the first version."""
        service = min(self.document["services"])

        async def is_served() -> bool:
            members = self._launcher.list_members()
            probes = await asyncio.gather(*(self._probe(m, service) for m in members))
            return all(reply.status == 200 for reply in probes)

        await wait_until(is_served, ROLL_OUT_TIMEOUT, self._clock, description=f"service {service}")

    def start(self) -> None:
        """Starts a background probe task for each entry host."""
        members = self._launcher.list_members()
        self._probe_tasks = [
            asyncio.ensure_future(self._probe_continuously(member)) for member in members
        ]

    async def stop(self) -> list[RollOut]:
        """Stops the probe tasks and returns the roll-outs of all versions."""
        for task in self._probe_tasks:
            task.cancel()
        await asyncio.gather(*self._probe_tasks, return_exceptions=True)
        return [monitor.describe() for monitor in self._monitors]

    async def roll_out(self, service: str, member: str, **changes: Any) -> RollOut:
        """Publishes a version with a new service and waits until all entry hosts serve it.

        Parameters
        ----------
        service : str
        member : str
            Entry host to publish through, by its operator address.
        changes : dict
            Further members of the document.

        Raises
        ------
        TimeoutError
            If the version is not accepted within ``PUBLISH_TIMEOUT``, or the service is not served
            by all entry hosts within ``ROLL_OUT_TIMEOUT``.
        """
        document = self._add_service(service) | changes

        async def publish() -> bool:
            return (await self._publish(member, document)).status == 200

        await wait_until(
            publish, PUBLISH_TIMEOUT, self._clock, description=f"publication of {service}"
        )
        return await self._await_service(service, document)

    async def publish_concurrently(self, services: dict[str, str]) -> Race:
        """Publishes one version for each service concurrently, all on the same base version.

        Parameters
        ----------
        services : dict of str
            Service that each version adds, by the entry host that it is published through.
        """
        documents = {s: self._add_service(s) for s in services.values()}
        replies = await asyncio.gather(
            *(self._publish(member, documents[s]) for member, s in services.items())
        )
        replies_by_service = dict(zip(services.values(), replies, strict=True))
        accepted = [service for service, reply in replies_by_service.items() if reply.status == 200]
        refused = [service for service, reply in replies_by_service.items() if reply.status == 409]
        in_force = 0
        for service in accepted:
            await self._await_service(service, documents[service])
        for service in refused:
            members = self._launcher.list_members()
            probes = await asyncio.gather(*(self._probe(m, service) for m in members))
            in_force += sum(reply.status != 404 for reply in probes)
        self.races.append(Race(accepted, refused, in_force))
        return self.races[-1]

    def _add_service(self, service: str) -> dict[str, Any]:
        document = copy.deepcopy(self.document)
        document["services"][service] = {"pool": self._pool}
        return document

    async def _publish(self, member: str, document: dict[str, Any]) -> Reply:
        address = self._launcher.get_address(member, "operator")
        body = {"base_version": self._version, "document": document, "author": f"at-{member}"}
        return await self._client.call("POST", address, CONFIGURATION_PATH, body)

    async def _await_service(self, service: str, document: dict[str, Any]) -> RollOut:
        self.document, self._version = document, self._version + 1
        monitor = _RollOutMonitor(service, self._clock.elapsed())
        self._monitors.append(monitor)
        members = set(self._launcher.list_members())

        async def is_served() -> bool:
            return members <= set(monitor.seconds)

        await wait_until(is_served, ROLL_OUT_TIMEOUT, self._clock, description=f"service {service}")
        return monitor.describe()

    async def _probe(self, member: str, service: str) -> Reply:
        address = self._launcher.get_address(member, "caller")
        path = f"/services/{service}/probe-{member}-{next(self._probe_numbers)}"
        return await self._client.call("GET", address, path, timeout_s=PROBE_TIMEOUT_S)

    async def _probe_continuously(self, member: str) -> None:
        """Probes versions that the host does not serve yet; if there are none, all in turn."""
        for number in itertools.count():
            pending = [m for m in self._monitors if member not in m.seconds]
            if self._monitors:
                monitor = pending[0] if pending else self._monitors[number % len(self._monitors)]
                await self._record_probe(member, monitor)
            await self._clock.sleep(PENDING_PROBE_INTERVAL if pending else REVERT_PROBE_INTERVAL)

    async def _record_probe(self, member: str, monitor: _RollOutMonitor) -> None:
        reply = await self._probe(member, monitor.service)
        monitor.probes += 1
        if reply.status == 200:
            elapsed = self._clock.elapsed() - monitor.accepted_at
            monitor.seconds.setdefault(member, elapsed.total_seconds())
        elif reply.status == 404 and member in monitor.seconds:
            monitor.reverts += 1
