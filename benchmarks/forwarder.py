"""Minimal aiohttp reverse proxy, the baseline of the forwarding case.

``python -m benchmarks.forwarder LISTEN_ADDRESS TARGET_ADDRESS ...``
"""

from __future__ import annotations

import asyncio
import itertools
import sys

import aiohttp
from aiohttp import web


class Forwarder:
    """Sends each request to the next target in turn and returns its complete response."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = itertools.cycle(targets)
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.BaseRequest) -> web.Response:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        url = f"http://{next(self._targets)}{request.raw_path}"
        data = await request.read() if request.body_exists else None
        async with self._session.request(
            request.method, url, headers=request.headers, data=data
        ) as response:
            body = await response.read()
            headers = {n: v for n, v in response.headers.items() if n != "Content-Length"}
            return web.Response(status=response.status, headers=headers, body=body)


async def serve(address: str, targets: list[str]) -> None:
    """Serves until the process is terminated."""
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(web.Server(Forwarder(targets).handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2:]))
