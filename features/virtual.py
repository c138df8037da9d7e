"""Several entry hosts over in-memory fakes of the log, the peers' network and the platform.

The services of the daemon run in virtual time. A host that is killed loses its memory; a host that
is paused sends and receives nothing until it resumes.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from datetime import UTC, datetime, timedelta
from typing import Any

from mode import Service

from carawayd.platform.api import Platform
from carawayd.platform.common import PlatformError
from carawayd.platform.hostlist import ListedHost
from carawayd.platform.log import Appended, LoggedRecord, OffsetRemoved, Page
from carawayd.platform.pools import HostStatus
from carawayd.process.daemon import Components, build_components
from carawayd.process.metrics import Metrics
from carawayd.process.peers import Peers
from carawayd.process.settings import build_settings

DATA_CENTRE = "umea"
POOLS = ("booking", "office")
LATENCY_S = 0.002


class LoopClock:
    """Clock that reads the virtual time of the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self._loop.time())

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())


class FakeLog:
    """Log with streams in memory, outages, lost answers and retention."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.down = False
        self.lose_share = 0.0
        self.streams: dict[str, deque[tuple[int, Any]]] = {}
        self.ends: dict[str, int] = {}
        self._appended = asyncio.Event()

    def append(self, stream: str, envelopes: list[Any]) -> Appended:
        first = self.ends.get(stream, 0)
        records = self.streams.setdefault(stream, deque())
        records.extend((first + index, item) for index, item in enumerate(envelopes))
        self.ends[stream] = first + len(envelopes)
        self._appended.set()
        self._appended = asyncio.Event()
        return Appended(first, self.ends[stream])

    def delay_append(self, stream: str, envelopes: list[Any]) -> None:
        """Appends at once or up to 8 s later, even if the sender has ended by then."""
        delay = self.rng.choice([0.0, 0.0, 0.4, 3.0, 8.0])
        asyncio.get_running_loop().call_later(delay, self.append, stream, envelopes)

    def first(self, stream: str) -> int:
        records = self.streams.get(stream)
        return records[0][0] if records else self.ends.get(stream, 0)

    async def read(self, stream: str, offset: int, wait: float) -> Page:
        if offset < self.first(stream):
            raise OffsetRemoved(self.first(stream), self.ends.get(stream, 0))
        if offset >= self.ends.get(stream, 0) and wait:
            appended = self._appended
            await asyncio.wait({asyncio.ensure_future(appended.wait())}, timeout=wait)
        found = [LoggedRecord(*item) for item in self.streams.get(stream, ()) if item[0] >= offset]
        return Page(found[:1000], self.first(stream), self.ends.get(stream, 0))

    def trim(self, keep: int) -> None:
        """Removes the oldest records of every stream, as retention does."""
        for records in self.streams.values():
            while len(records) > keep:
                records.popleft()


class HostLink:
    """Connections of one entry host to the log, its peers and the platform, and their faults."""

    def __init__(self) -> None:
        self.dead = False
        self.log_cut = False
        self.peers_cut = False
        self.running = asyncio.Event()
        self.running.set()

    async def wait_until_passable(self) -> None:
        """Waits for the latency and the end of a pause; never returns once the host was killed."""
        await asyncio.sleep(LATENCY_S)
        await self.running.wait()
        if self.dead:
            await asyncio.get_running_loop().create_future()


class FakeLogClient:
    def __init__(self, log: FakeLog, link: HostLink) -> None:
        self._log, self._link = log, link

    def _check(self) -> None:
        if self._log.down or self._link.log_cut:
            raise PlatformError("the log cannot be reached")

    async def append(self, stream: str, envelopes: list[Any]) -> Appended:
        await self._link.wait_until_passable()
        self._check()
        if self._log.rng.random() < self._log.lose_share:
            self._log.delay_append(stream, envelopes)
            await self._link.wait_until_passable()
            raise PlatformError("the answer was lost")
        answer = self._log.append(stream, envelopes)
        await self._link.wait_until_passable()
        return answer

    async def read(self, stream: str, offset: int, *, wait: float) -> Page:
        await self._link.wait_until_passable()
        self._check()
        page = await self._log.read(stream, offset, wait)
        await self._link.wait_until_passable()
        self._check()
        return page

    async def close(self) -> None:
        """Does nothing, as no connection is open."""


class FakePools:
    """Pools service in memory; calls take the latency of a link, and answers may be lost."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.lose_share = 0.0
        self.hosts: dict[str, HostStatus] = {}

    def client(self, link: HostLink) -> FakePools:
        """Returns a client of this pools service over ``link``."""
        bound = FakePools(self.rng)
        bound.hosts, bound.owner, bound.link = self.hosts, self, link
        return bound

    async def _change(self, host: str, operation: str, state: str, pool: str) -> None:
        await self.link.wait_until_passable()
        if self.hosts[host].operation != operation:
            self.hosts[host] = HostStatus(host, pool, state, operation)
        if self.rng.random() < self.owner.lose_share:
            raise PlatformError("the answer was lost")

    async def drain(self, host: str, *, operation: str, fence: int) -> None:
        await self._change(host, operation, "drained", self.hosts[host].pool)

    async def reboot(self, host: str, *, operation: str, fence: int) -> None:
        await self._change(host, operation, "drained", self.hosts[host].pool)

    async def return_host(self, host: str, *, pool: str, operation: str, fence: int) -> None:
        await self._change(host, operation, "serving", pool)

    async def look_up(self, host: str) -> HostStatus:
        await self.link.wait_until_passable()
        return self.hosts[host]

    async def close(self) -> None:
        """Does nothing, as no connection is open."""


class FakeHostList:
    def __init__(self, hosts: dict[str, ListedHost], link: HostLink) -> None:
        self._hosts, self._link = hosts, link

    async def list_hosts(self, data_centre: str) -> list[ListedHost]:
        await self._link.wait_until_passable()
        return list(self._hosts.values())

    async def close(self) -> None:
        """Does nothing, as no connection is open."""


class FakeWorker:
    async def close(self) -> None:
        """Does nothing, as no connection is open."""


class FakePeerLink:
    def __init__(self, source: FakePeers, member: str) -> None:
        self.address = ""
        self._source, self._member = source, member

    def send(self, frames: list[bytes]) -> bool:
        asyncio.ensure_future(self._source.cluster.deliver(self._source, self._member, frames))
        return True


class FakePeers(Peers):
    """Peers whose messages are delivered by the cluster instead of sockets."""

    def __init__(self, cluster: Cluster, link: HostLink, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.cluster, self.link = cluster, link

    async def on_start(self) -> None:
        for peer in self._settings.peers:
            if peer.member != self._settings.member:
                self.links[peer.member] = FakePeerLink(self, peer.member)
                self.data_centres[peer.member] = peer.data_centre

    async def connect(self, peer: Any) -> None:
        """Does nothing, as all members are connected from the start."""

    @Service.task
    async def _receive(self) -> None:
        """Does nothing, as the cluster delivers messages directly."""

    async def on_shutdown(self) -> None:
        """Does nothing, as no socket is open."""


class EntryHost:
    """One process of an entry host."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.name = name
        self._cluster = cluster
        self.link = HostLink()
        self.accepted_version = 0
        settings = cluster.build_settings(name)
        clock = LoopClock()
        metrics = Metrics()
        self.peers = FakePeers(cluster, self.link, settings, clock=clock, metrics=metrics)
        platform = Platform(
            FakeLogClient(cluster.log, self.link),
            FakeHostList(cluster.listed, self.link),
            cluster.pools.client(self.link),
            FakeWorker(),
        )
        self.components: Components = build_components(
            settings, clock, platform=platform, peers=self.peers, metrics=metrics
        )

    async def start(self) -> None:
        self.components.reader.add_batch_listener(self._cluster.check)
        for service in self.components.list_services():
            await service.start()

    async def kill(self) -> None:
        self.link.dead = True
        self.link.running.set()
        for service in reversed(self.components.list_services()):
            await service.stop()


class Cluster:
    """Entry hosts of one data centre, their log, and the promises checked over all of them."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.names = names
        self.rng = random.Random(seed)
        self.log = FakeLog(self.rng)
        self.pools = FakePools(self.rng)
        self.listed = {
            f"w{n}": ListedHost(
                f"w{n}", "worker", DATA_CENTRE, "r1", "booking", f"127.0.0.1:{n}", "live",
                *(16.0, 64.0, 0, 8, 64),
            )
            for n in range(1, 3)
        }  # fmt: skip
        self.pools.hosts = {
            name: HostStatus(name, host.pool, "serving", "") for name, host in self.listed.items()
        }
        for name in names:
            address = "127.0.0.1:1"
            self.listed[name] = ListedHost(
                name, "entry", DATA_CENTRE, "", "", address, "live", 0, 0, 0, 0, 0
            )
        self.hosts: dict[str, EntryHost] = {}
        self.granted: dict[str, set[str]] = {}
        self.published: dict[int, str] = {}
        self.violations: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self._requests = 0

    def build_settings(self, name: str):
        options = {
            "snapshot_records": 100,
            "seed": self.rng.randrange(1, 999),
        }
        peers = [
            {"member": peer, "data_centre": DATA_CENTRE, "peer_address": f"127.0.0.1:{n}",
             "caller_address": f"127.0.0.1:{n}"}
            for n, peer in enumerate(self.names, 1)
        ]  # fmt: skip
        addresses = dict.fromkeys(
            ("caller_address", "operator_address", "peer_address"), "127.0.0.1:1"
        )
        urls = dict.fromkeys(("log", "hostlist", "pools"), "http://127.0.0.1:1")
        return build_settings(
            {"member": name, "data_centre": DATA_CENTRE, "peers": peers, "options": options}
            | addresses
            | urls
        )

    async def deliver(self, source: FakePeers, member: str, frames: list[bytes]) -> None:
        await source.link.wait_until_passable()
        target = self.hosts.get(member)
        if target is None or source.link.peers_cut or target.link.peers_cut:
            return
        await target.link.running.wait()
        if not target.link.dead and target is self.hosts.get(member):
            target.peers.receive(frames)

    async def start(self, name: str) -> None:
        if name not in self.hosts:
            self.hosts[name] = EntryHost(self, name)
            await self.hosts[name].start()

    async def kill(self, name: str) -> None:
        host = self.hosts.pop(name, None)
        if host is not None:
            self.run(host.kill())

    def run(self, coroutine: Any) -> None:
        """Runs a coroutine concurrently with the scenario."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def claim(self, name: str, key: str) -> None:
        """Claims a key for a new request; a granted key counts as an execution of the request."""
        host = self.hosts.get(name)
        if host is None:
            return
        self._requests += 1
        request = f"{name}.{self._requests}"
        answer = await host.components.keys.claim(key, request)
        await host.link.running.wait()
        if answer.decision == "granted" and not host.link.dead:
            self.granted.setdefault(key, set()).add(request)
            if len(self.granted[key]) > 1:
                self.violations.append(f"key {key} ran as {sorted(self.granted[key])}")

    def check(self) -> None:
        """Records each promise that is violated at this moment."""
        holders = [name for name, host in self.hosts.items() if host.components.claims[0].holds()]
        if len(holders) > 1:
            self.violations.append(f"claim fleet is held by {holders}")
        for name, host in self.hosts.items():
            version = host.components.global_reader.folded.configuration.version
            if version < host.accepted_version:
                self.violations.append(f"{name} reverted to version {version}")
            host.accepted_version = version
            for reader in (host.components.reader, host.components.global_reader):
                if reader.digest_mismatches:
                    self.violations.append(f"{name} has digest mismatches in {reader.stream}")
            if host.components.membership.may_serve():
                self._check_pools(name, host)

    def _check_pools(self, name: str, host: EntryHost) -> None:
        for pool in POOLS:
            for worker in host.components.slots.list_targets(pool):
                status = self.pools.hosts[worker]
                if status.state == "serving" and status.pool != pool:
                    self.violations.append(f"{name} sends work of {pool} to {worker} of {status}")
