"""Controller of the data centre's hosts, run by the holder of the claim ``fleet``."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from mode import Service
from returns.result import Success

from carawayd.platform.common import PlatformError
from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayshore import records
from carawayshore.assignment import HOLD, MAINTENANCE

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.platform.pools import HostStatus, PoolsClient
    from carawayd.process.appender import Appender
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.inventory import Inventory
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock
    from carawayshore.fold import Host

logger = logging.getLogger(__name__)


class ClaimLost(Exception):
    """The claim expired between two steps; its new holder continues."""


class FleetController(Service):
    """Adds and removes hosts, evicts lost members, and carries out drains step by step.

    Parameters
    ----------
    claim : ClaimRenewer
        Of the claim ``fleet``.
    reader, appender
        Of the stream of the own data centre.
    membership : Membership
    peers : Peers
    inventory : Inventory
    pools : PoolsClient
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        claim: ClaimRenewer,
        reader: StreamReader,
        appender: Appender,
        *,
        membership: Membership,
        peers: Peers,
        inventory: Inventory,
        pools: PoolsClient,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._claim = claim
        self._reader = reader
        self._appender = appender
        self._membership = membership
        self._peers = peers
        self._inventory = inventory
        self._pools = pools
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._submitted: set[tuple[str, int]] = set()
        self._drains: dict[str, asyncio.Task[None]] = {}
        self._unconfirmed_returns: list[str] = []
        self._confirmed_fence = -1
        # Set by the daemon: returns whether the recorded drain of a host for a wave may be started.
        self.may_continue_drain: Callable[[str], bool] = lambda _name: True

    @Service.task
    async def _control(self) -> None:
        while not self.should_stop:
            if self._claim.holds():
                self._add_hosts()
                self._remove_hosts()
                self._evict_members()
                self._start_drains()
                await self._confirm_returns()
            await self._clock.sleep(self._settings.options.controller)

    def _submit_once(self, name: str, revision: int, body: Any, priority: Priority) -> None:
        """Submits a record for one revision of a host, unless one is still being appended."""
        if (name, revision) in self._submitted:
            return
        try:
            future = self._appender.submit(body, priority)
        except NotAppended:
            return
        self._submitted.add((name, revision))
        future.add_done_callback(lambda done: self._clear_submitted(done, name, revision))

    def _clear_submitted(self, done: asyncio.Future, name: str, revision: int) -> None:
        self._submitted.discard((name, revision))
        if not done.cancelled():
            done.exception()

    def _add_hosts(self) -> None:
        for listed in self._inventory.list_workers():
            if listed.host in self._reader.folded.hosts or listed.state != "live":
                continue
            resources = records.Resources(listed.processors, listed.memory_gib, listed.accelerators)
            body = records.HostAdded(
                listed.host,
                listed.pool,
                listed.address,
                listed.rack,
                listed.slots,
                listed.connections,
                resources,
            )
            self._submit_once(listed.host, 0, body, Priority.FLEET)

    def _remove_hosts(self) -> None:
        for name, host in list(self._reader.folded.hosts.items()):
            if self._inventory.is_removed(name):
                body = records.HostRemoved(name, host.revision, self._claim.fence)
                self._submit_once(name, host.revision, body, Priority.FLEET)

    def _evict_members(self) -> None:
        for name, member in self._reader.folded.members.items():
            if member.ended or name == self._settings.member or self._peers.is_live(name):
                continue
            if self._inventory.is_removed(name):
                evidence = "absent from the host list"
                body = records.MemberEvicted(name, member.incarnation, evidence)
                self._submit_once(name, member.incarnation, body, Priority.MEMBER)

    def _start_drains(self) -> None:
        for name, host in self._reader.folded.hosts.items():
            task = self._drains.get(name)
            if host.draining_to and (task is None or task.done()):
                self._drains[name] = asyncio.ensure_future(self._drain_host(name))
        self._drains = {name: task for name, task in self._drains.items() if not task.done()}

    def _check_claim(self) -> None:
        if not self._claim.holds():
            raise ClaimLost

    async def _drain_host(self, name: str) -> None:
        """Carries out the drain of one host, from the step that it has reached."""
        try:
            host = self._reader.folded.hosts[name]
            if host.reason == MAINTENANCE and await self._abort_if_blocked(name, host):
                return
            await self._wait_for_barrier(host)
            if host.reason == MAINTENANCE and await self._abort_if_blocked(name, host):
                return
            await self._run_operation(name, host, "drain")
            if host.reason == MAINTENANCE:
                await self._reboot(name, host)
            await self._wait_for_return_request(name)
            await self._join_pool(name)
        except (ClaimLost, KeyError):
            return
        except (NotAppended, AppendOutcomeUnknown, PlatformError) as error:
            logger.warning(
                "drain of host %s failed, retrying: %s",
                name,
                error,
                extra={"fields": {"host": name}},
            )
            await self._clock.sleep(self._settings.options.controller)

    async def _abort_if_blocked(self, name: str, host: Host) -> bool:
        """Aborts a drain that has not started and no longer may; returns whether it was aborted."""
        if self.may_continue_drain(name):
            return False
        status = await self._look_up(name)
        if status.operation.startswith(f"{name}-{host.changed}-") or status.state != "serving":
            return False
        body = records.HostJoined(
            name, host.revision, host.draining_to, self._claim.fence, aborted=True
        )
        self._check_claim()
        result = await self._appender.append(body, Priority.FLEET)
        if not isinstance(result, Success):
            raise ClaimLost
        logger.info(
            "drain of host %s aborted before its start", name, extra={"fields": {"host": name}}
        )
        return True

    async def _wait_for_barrier(self, host: Host) -> None:
        """Waits until no entry host can still send work under the old assignment."""
        while not self._membership.barrier.is_complete(self._reader.folded, host.changed):
            self._check_claim()
            await self._clock.sleep(self._settings.options.controller)

    async def _look_up(self, name: str) -> HostStatus:
        self._check_claim()
        status = await self._pools.look_up(name)
        self._check_claim()
        return status

    async def _run_operation(self, name: str, host: Host, verb: str) -> None:
        operation = f"{name}-{host.changed}-{verb}"
        start = {"drain": self._pools.drain, "reboot": self._pools.reboot}[verb]
        status = await self._look_up(name)
        if status.operation != operation and status.state != "rebooting":
            try:
                await start(name, operation=operation, fence=self._claim.fence)
            except PlatformError as error:
                logger.info("call for operation %s failed, reading its state: %s", operation, error)
        while (status := await self._look_up(name)).state != "drained":
            if status.operation != operation:
                raise PlatformError(
                    f"operation {operation} not started, last operation is {status.operation!r}"
                )
            await self._clock.sleep(self._settings.options.controller)

    async def _reboot(self, name: str, host: Host) -> None:
        status = await self._look_up(name)
        if status.operation != f"{name}-{host.changed}-reboot":
            await self._run_operation(name, host, "reboot")

    async def _wait_for_return_request(self, name: str) -> None:
        while self._reader.folded.hosts[name].reason == HOLD:
            self._check_claim()
            await self._clock.sleep(self._settings.options.controller)

    async def _join_pool(self, name: str) -> None:
        self._check_claim()
        host = self._reader.folded.hosts[name]
        body = records.HostJoined(name, host.revision, host.draining_to, self._claim.fence)
        result = await self._appender.append(body, Priority.FLEET)
        if not isinstance(result, Success):
            raise ClaimLost
        self._metrics.moves.labels(host.reason).inc()
        logger.info(
            "host %s joined pool %s", name, body.pool, extra={"fields": {"reason": host.reason}}
        )
        await self._return_host(name)

    async def _return_host(self, name: str) -> None:
        """Returns a joined host to service, unless it was drained by another party."""
        host = self._reader.folded.hosts.get(name)
        if host is None or host.draining_to:
            return
        status = await self._look_up(name)
        is_own_operation = status.operation.startswith(f"{name}-")
        if status.state == "drained" and is_own_operation:
            operation = f"{name}-{host.changed}-return"
            await self._pools.return_host(
                name, pool=host.pool, operation=operation, fence=self._claim.fence
            )

    async def _confirm_returns(self) -> None:
        """Checks one host per cycle, since a former holder may have ended before its return."""
        if self._confirmed_fence != self._claim.fence:
            self._confirmed_fence = self._claim.fence
            self._unconfirmed_returns = sorted(self._reader.folded.hosts)
        if not self._unconfirmed_returns:
            self._unconfirmed_returns = sorted(self._reader.folded.hosts)
            return
        name = self._unconfirmed_returns.pop()
        try:
            await self._return_host(name)
        except (ClaimLost, PlatformError) as error:
            logger.debug("confirming the return of host %s failed: %s", name, error)

    async def on_stop(self) -> None:
        for task in self._drains.values():
            task.cancel()
