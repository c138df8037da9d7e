"""Applications of aiohttp behind the server that bounds what is held for their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.connection.callers import CallerServer


async def serve_application(
    application: web.Application, address: str, build_server: Callable[..., CallerServer]
) -> list[web.BaseRunner]:
    """Serves an application; returns the runners that stop it, in the order of their cleanup.

    Parameters
    ----------
    application : web.Application
    address : str
        Host and port to listen on.
    build_server : callable
        Returns a server for a handler and a request factory.
    """
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    inner = runner.server
    server = build_server(inner.request_handler, request_factory=inner.request_factory)
    return [await server.listen(address), runner]
