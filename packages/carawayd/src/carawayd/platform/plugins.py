"""Registry of the platform clients; the decorator registers those of another platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayd.platform.common import PlatformClient
    from carawayd.process.settings import Settings

_clients: dict[str, type[PlatformClient]] = {}


def platform_client(name: str):
    """Registers the client class of a platform service."""

    def register(client: type[PlatformClient]) -> type[PlatformClient]:
        _clients[name] = client
        return client

    return register


def build_client(name: str, url: str, settings: Settings) -> PlatformClient:
    """Returns a client of the service ``name``.

    Raises
    ------
    KeyError
        If no client is registered under the name.
    """
    if name not in _clients:
        raise KeyError(f"no client {name!r}, accepted: {', '.join(sorted(_clients))}")
    return _clients[name](url, settings)
