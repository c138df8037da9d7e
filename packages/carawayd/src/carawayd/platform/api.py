"""Entry point to the platform: builds all clients of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayd.platform import advice, hostlist, log, machines, pools, runs, store, worker
from carawayd.platform.plugins import build_client

if TYPE_CHECKING:
    from carawayd.process.settings import Settings

__all__ = [
    "Platform",
    "advice",
    "hostlist",
    "log",
    "machines",
    "open_platform",
    "pools",
    "runs",
    "store",
    "worker",
]


class Platform(NamedTuple):
    """Clients of one process."""

    log: log.LogClient
    hostlist: hostlist.HostListClient
    pools: pools.PoolsClient
    worker: worker.WorkerClient

    async def close(self) -> None:
        for client in self:
            await client.close()


def open_platform(settings: Settings) -> Platform:
    """Returns clients of the services whose addresses are in the settings."""
    return Platform(
        build_client("log", settings.log, settings),
        build_client("hostlist", settings.hostlist, settings),
        build_client("pools", settings.pools, settings),
        build_client("worker", "", settings),
    )
