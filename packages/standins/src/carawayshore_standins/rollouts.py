"""Operators who publish configurations, and callers who find out when each is in force.

Every version adds a service of its own. A caller sees a version in force at an entry host once that
host serves its service, and sees it reverted if the service does not exist there any more.
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

PROBE_INTERVAL = timedelta(milliseconds=50)
WATCH_INTERVAL = timedelta(milliseconds=250)
PROBE_SECONDS = 2.0
ROLL_OUT_LIMIT = timedelta(seconds=20)
PUBLISH_LIMIT = timedelta(seconds=20)
CONFIGURATION_PATH = "/v1/operator/configuration"


class _Watched:
    """A service that one version added, and when each entry host first served it."""

    def __init__(self, service: str, answered: timedelta) -> None:
        self.service = service
        self.answered = answered
        self.seconds: dict[str, float] = {}
        self.reverts = 0
        self.probes = 0

    def describe(self) -> RollOut:
        return RollOut(self.service, self.seconds, self.reverts, self.probes)


class Operators:
    """Publishes versions and watches them at every entry host.

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
        self._watched: list[_Watched] = []
        self._numbers = itertools.count(1)
        self._watchers: list[asyncio.Task[None]] = []

    async def await_first(self) -> None:
        """Waits until every entry host serves a service of the first version."""
        service = min(self.document["services"])

        async def is_served() -> bool:
            members = self._launcher.list_members()
            probes = await asyncio.gather(*(self._probe(m, service) for m in members))
            return all(reply.status == 200 for reply in probes)

        await wait_until(is_served, ROLL_OUT_LIMIT, self._clock, what=f"service {service}")

    def start(self) -> None:
        """Begins to watch all entry hosts."""
        members = self._launcher.list_members()
        self._watchers = [asyncio.ensure_future(self._watch(member)) for member in members]

    async def stop(self) -> list[RollOut]:
        """Ends the watching and returns what was seen of every version."""
        for watcher in self._watchers:
            watcher.cancel()
        await asyncio.gather(*self._watchers, return_exceptions=True)
        return [watched.describe() for watched in self._watched]

    async def roll_out(self, service: str, member: str, **changes: Any) -> RollOut:
        """Publishes a version with a new service and waits until all entry hosts serve it.

        Parameters
        ----------
        service : str
        member : str
            Entry host whose operators' address is used.
        changes : dict
            Further members of the document.

        Raises
        ------
        TimeoutError
            If it was not accepted, or is not served everywhere after ``ROLL_OUT_LIMIT``.
        """
        document = self._add_service(service) | changes

        async def publish() -> bool:
            return (await self._publish(member, document)).status == 200

        await wait_until(publish, PUBLISH_LIMIT, self._clock, what=f"publication of {service}")
        return await self._await_service(service, document)

    async def race(self, services: dict[str, str]) -> Race:
        """Lets one operator for each service publish on the same version at the same moment.

        Parameters
        ----------
        services : dict of str
            Service added by each operator, by the entry host that the operator uses.
        """
        documents = {s: self._add_service(s) for s in services.values()}
        replies = await asyncio.gather(
            *(self._publish(member, documents[s]) for member, s in services.items())
        )
        told = dict(zip(services.values(), replies, strict=True))
        accepted = [service for service, reply in told.items() if reply.status == 200]
        refused = [service for service, reply in told.items() if reply.status == 409]
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
        watched = _Watched(service, self._clock.elapsed())
        self._watched.append(watched)
        members = set(self._launcher.list_members())

        async def is_served() -> bool:
            return members <= set(watched.seconds)

        await wait_until(is_served, ROLL_OUT_LIMIT, self._clock, what=f"service {service}")
        return watched.describe()

    async def _probe(self, member: str, service: str) -> Reply:
        address = self._launcher.get_address(member, "caller")
        path = f"/services/{service}/probe-{member}-{next(self._numbers)}"
        return await self._client.call("GET", address, path, seconds=PROBE_SECONDS)

    async def _watch(self, member: str) -> None:
        """Probes the versions that the host does not serve yet, and the others in turn."""
        for number in itertools.count():
            waiting = [w for w in self._watched if member not in w.seconds]
            if self._watched:
                watched = waiting[0] if waiting else self._watched[number % len(self._watched)]
                await self._look(member, watched)
            await self._clock.sleep(PROBE_INTERVAL if waiting else WATCH_INTERVAL)

    async def _look(self, member: str, watched: _Watched) -> None:
        reply = await self._probe(member, watched.service)
        watched.probes += 1
        if reply.status == 200:
            elapsed = self._clock.elapsed() - watched.answered
            watched.seconds.setdefault(member, elapsed.total_seconds())
        elif reply.status == 404 and member in watched.seconds:
            watched.reverts += 1
