"""Client of the pools service, which drains, reboots and returns hosts."""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict

from carawayd.platform.common import PlatformClient, PlatformError
from carawayd.platform.plugins import platform_client

STATES = ("serving", "draining", "drained", "rebooting")


class HostStatus(NamedTuple):
    host: str
    pool: str
    state: str
    operation: str


class _StatusDocument(TypedDict):
    host: str | None
    pool: str | None
    state: str | None
    operation: str | int | None


@platform_client("pools")
class PoolsClient(PlatformClient):
    """Drains, reboots and returns hosts; idempotent for one operation identifier."""

    async def _start(self, host: str, verb: str, body: dict[str, Any]) -> None:
        await self.call("POST", f"/v1/hosts/{host}/{verb}", body=body)

    async def drain(self, host: str, *, operation: str, fence: int) -> None:
        """Starts draining; raises PlatformError if it is unknown whether it started."""
        await self._start(host, "drain", {"operation": operation, "fence": fence})

    async def reboot(self, host: str, *, operation: str, fence: int) -> None:
        """Starts a reboot; raises PlatformError if it is unknown whether it started."""
        await self._start(host, "reboot", {"operation": operation, "fence": fence})

    async def return_host(self, host: str, *, pool: str, operation: str, fence: int) -> None:
        """Returns the host to ``pool``; raises PlatformError if it is unknown whether it did."""
        body = {"operation": operation, "fence": fence, "pool": pool}
        await self._start(host, "return", body)

    async def look_up(self, host: str) -> HostStatus:
        """Returns the state of a host.

        Raises
        ------
        PlatformError
            If there was no valid response.
        """
        response = await self.call("GET", f"/v1/hosts/{host}", kind=_StatusDocument)
        status = HostStatus(*(str(response[name] or "") for name in HostStatus._fields))
        if status.state not in STATES:
            raise PlatformError(f"host state {status.state!r}, accepted: {', '.join(STATES)}")
        return status
