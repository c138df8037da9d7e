"""Client of the platform's host list, which lags behind the actual state."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from carawayd.platform.common import PlatformClient, PlatformError
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


def _decode_host(item: Any) -> ListedHost:
    return msgspec.convert([item[name] for name in ListedHost._fields], ListedHost)


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
        response = await self.call("GET", f"/v1/hosts?data_centre={data_centre}")
        try:
            return [_decode_host(item) for item in response["hosts"]]
        except (KeyError, TypeError, msgspec.ValidationError) as error:
            raise PlatformError(f"malformed host list: {error!r}") from error
