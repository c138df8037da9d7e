"""Hosts in the platform's host list, which lags behind the actual state."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from mode import Service

from carawayd.platform.common import PlatformError

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayd.platform.hostlist import HostListClient, ListedHost
    from carawayd.process.settings import Settings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)


class Inventory(Service):
    """Polls the host list and records when each host was last listed.

    Parameters
    ----------
    client : HostListClient
    settings : Settings
    clock : Clock
    """

    def __init__(self, client: HostListClient, *, settings: Settings, clock: Clock) -> None:
        super().__init__()
        self.hosts: dict[str, ListedHost] = {}
        self.read_at: timedelta | None = None
        self._last_seen: dict[str, timedelta] = {}
        self._client = client
        self._settings = settings
        self._clock = clock
        self._failing = False

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            try:
                hosts = await self._client.list_hosts(self._settings.data_centre)
            except PlatformError as error:
                if not self._failing:
                    logger.warning("could not read host list, retrying: %s", error)
                self._failing = True
            else:
                self._apply_hosts(hosts)
            await self._clock.sleep(self._settings.options.hostlist_interval)

    def _apply_hosts(self, hosts: list[ListedHost]) -> None:
        if self._failing:
            logger.info("reading the host list succeeds again")
        self._failing = False
        self.read_at = self._clock.elapsed()
        self.hosts = {host.host: host for host in hosts}
        for host in self.hosts:
            self._last_seen[host] = self.read_at

    def list_workers(self) -> list[ListedHost]:
        """Returns the listed workers, sorted by name."""
        return [host for _, host in sorted(self.hosts.items()) if host.kind == "worker"]

    def is_leaving(self, host: str) -> bool:
        """Whether the host list shows a host as leaving."""
        listed = self.hosts.get(host)
        return listed is not None and listed.state == "leaving"

    def is_removed(self, host: str) -> bool:
        """Whether a previously listed host is missing from a recent list for more than the lag."""
        seen, now = self._last_seen.get(host), self._clock.elapsed()
        lag = self._settings.options.hostlist_lag
        if seen is None or self.read_at is None or host in self.hosts:
            return False
        return self.read_at - seen > lag and now - self.read_at < lag
