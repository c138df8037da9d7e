"""Runs the deployment of the demonstration for one scenario, with operators' calls."""

from __future__ import annotations

import asyncio
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

from carawayshore.clock import SystemClock
from carawayshore_standins.client import JsonClient, Reply, wait_until
from carawayshore_standins.evidence import Operation, read_operations
from carawayshore_standins.launcher import Launcher
from carawayshore_standins.rollouts import ConfigurationPublisher
from carawayshore_standins.scenario import DESCRIPTION

DRAIN_TIMEOUT = timedelta(seconds=30)
CALL_TIMEOUT_S = 90.0


class OperatorHarness:
    """A running deployment in which all entry hosts serve."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._folder = tempfile.TemporaryDirectory()
        self._launcher = Launcher(DESCRIPTION, Path(self._folder.name))
        self._client = JsonClient()
        self._clock = SystemClock()
        self.run(self._open())

    async def _open(self) -> None:
        await self._launcher.__aenter__()
        await self._client.__aenter__()
        publisher = ConfigurationPublisher(self._launcher, self._client, self._clock, pool="office")
        await publisher.await_initial_configuration()

    def run(self, work: Any) -> Any:
        return self._loop.run_until_complete(asyncio.wait_for(work, CALL_TIMEOUT_S))

    async def drain_at_once(self, hosts: dict[str, str]) -> list[Reply]:
        """Drains the hosts at the same moment, each through the entry host given as its value."""
        calls = [
            self._client.call(
                "POST",
                self._launcher.get_address(member, "operator"),
                f"/v1/operator/hosts/{host}/drain",
                {},
            )
            for host, member in hosts.items()
        ]
        return await asyncio.gather(*calls)

    async def await_drains(self, hosts: list[str]) -> list[Operation]:
        """Returns the operations of the pools service once it has drained ``hosts``."""

        async def is_drained() -> bool:
            known = (await self._launcher.read_record("pools"))["hosts"]
            return all(known[host]["state"] == "drained" for host in hosts)

        await wait_until(is_drained, DRAIN_TIMEOUT, self._clock, description=f"drain of {hosts}")
        return read_operations(await self._launcher.read_record("pools"))

    def list_initial_pools(self) -> dict[str, str]:
        """Returns the pool of each host at the start."""
        spec = self._launcher.processes["pools"].spec
        return {entry["host"]: entry["pool"] for entry in spec.settings["hosts"]}

    def close(self) -> None:
        self.run(self._client.__aexit__(None, None, None))
        self.run(self._launcher.__aexit__(None, None, None))
        self._folder.cleanup()
        self._loop.close()
