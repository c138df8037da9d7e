"""Client of the platform's host list, which lags behind the actual state."""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict

from carawayd.platform.common import PlatformClient, convert_response
from carawayd.platform.plugins import platform_client


class ListedHost(NamedTuple):
    host: str
    kind: str
    data_centre: str
    rack: str
    pool: str
    address: str
    state: str
    processors: float
    memory_gib: float
    accelerators: int
    slots: int
    connections: int


class _HostList(TypedDict):
    hosts: list[dict[str, Any]]


def _decode_host(item: dict[str, Any]) -> ListedHost:
    return convert_response([item.get(name) for name in ListedHost._fields], ListedHost)


@platform_client("hostlist")
class HostListClient(PlatformClient):
    """Reads the host list."""

    async def list_hosts(self, data_centre: str) -> list[ListedHost]:
        """Returns the hosts of a data centre.

        Raises
        ------
        PlatformError
            If there was no valid response.
        """
        path = f"/v1/hosts?data_centre={data_centre}"
        response = await self.call("GET", path, kind=_HostList)
        return [_decode_host(item) for item in response["hosts"]]
