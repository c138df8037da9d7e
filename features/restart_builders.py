"""Entry hosts that start again with the same settings, as a process supervisor does."""

from __future__ import annotations

from platform_builders import PlatformHarness

from carawayd.partition.ledger import WORKFLOWS_TOPIC
from carawayd.process.entryhost import EntryHost


class RestartHarness(PlatformHarness):
    """A platform whose entry hosts can be killed and started again within milliseconds."""

    async def restart_host(self, member: str) -> None:
        """Kills an entry host and starts it again before its group membership expires."""
        settings = self.hosts[member].settings
        await self.kill_host(member)
        host = EntryHost(settings, self.clocks[member])
        self.hosts[member] = host
        await host.start()
        await self.wait_until(lambda: self.is_ready(host), f"{member} is ready")

    def list_stored_keys(self) -> set[str]:
        """Returns the keys of the workflow records that the store has."""
        return {
            key
            for (topic, _), values in self.store.latest_values.items()
            if topic == WORKFLOWS_TOPIC
            for key in values
        }

    def list_members(self) -> set[str]:
        """Returns the names under which the entry hosts are members of the owners' group."""
        return {host.ownership.member for host in self.hosts.values()}
