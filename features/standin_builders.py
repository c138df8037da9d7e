"""Runs stand-ins inside the test process, on free ports and with a manual clock."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from carawayshore.testing import ManualClock
from carawayshore_standins.common import Standin, read_fields
from carawayshore_standins.hostlist import HostList
from carawayshore_standins.launcher import Launcher
from carawayshore_standins.log import LogService
from carawayshore_standins.pools import PoolsService
from carawayshore_standins.worker import Worker

STANDINS = {"log": LogService, "hostlist": HostList, "pools": PoolsService, "worker": Worker}
ANY_PORT = "127.0.0.1:0"
# Ends a hanging test; no assertion depends on it.
ANSWER_TIMEOUT_S = 10.0

DEPLOYMENT_TIMEOUT_S = 60.0
# Each attempt is a request over loopback, during which the event loop makes progress.
MAX_ATTEMPTS = 1000


class Answer:
    """Status, headers and body of an answer; status 0 if the connection closed without one."""

    def __init__(self, status: int, headers: Any, body: Any) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def __repr__(self) -> str:
        return f"Answer({self.status}, {self.body!r})"


class StandinHarness:
    """Runs the stand-ins of one scenario in an event loop of its own."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.loop = asyncio.new_event_loop()
        self.addresses: dict[str, list[str]] = {}
        self._standins: dict[str, Standin] = {}
        self._sessions: list[aiohttp.ClientSession] = []

    def run(self, coroutine: Any) -> Any:
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, ANSWER_TIMEOUT_S))

    def start(self, name: str, **settings: Any) -> None:
        standin_type = STANDINS[name]
        filled = read_fields(
            standin_type.settings_fields, {"address": ANY_PORT} | settings, f"settings of {name}"
        )
        self._standins[name] = standin_type(filled, self.clock)
        self.addresses[name] = self.run(self._standins[name].start_server())

    def stop(self, name: str) -> None:
        self.run(self._standins.pop(name).stop())

    def open_session(self) -> aiohttp.ClientSession:
        """Returns a session whose connections stay open between requests."""

        async def build() -> aiohttp.ClientSession:
            return aiohttp.ClientSession()

        self._sessions.append(self.run(build()))
        return self._sessions[-1]

    async def exchange(
        self,
        method: str,
        name: str,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
        session: aiohttp.ClientSession | None = None,
        listener: int = 0,
    ) -> Answer:
        """Sends one request to a stand-in, on a new connection unless ``session`` is given."""
        url = f"http://{self.addresses[name][listener]}{path}"
        client = session or aiohttp.ClientSession()
        try:
            async with client.request(method, url, json=body, headers=headers) as answer:
                content = await answer.json() if "json" in answer.content_type else None
                return Answer(answer.status, answer.headers, content)
        except aiohttp.ServerDisconnectedError:
            return Answer(0, {}, None)
        finally:
            if session is None:
                await client.close()

    def call(self, *arguments: Any, **options: Any) -> Answer:
        return self.run(self.exchange(*arguments, **options))

    def begin(self, *arguments: Any, **options: Any) -> asyncio.Task[Answer]:
        """Starts a request whose answer is awaited later."""

        async def spawn() -> asyncio.Task[Answer]:
            return asyncio.ensure_future(self.exchange(*arguments, **options))

        return self.run(spawn())

    def wait_until(self, condition: Any) -> None:
        """Awaits the coroutine function ``condition`` until it returns true.

        Raises
        ------
        AssertionError
            If it has not returned true after ``MAX_ATTEMPTS`` attempts.
        """
        for _ in range(MAX_ATTEMPTS):
            if self.run(condition()):
                return
        raise AssertionError(
            f"condition false after {MAX_ATTEMPTS} attempts: {condition.__qualname__}"
        )

    def close(self) -> None:
        for session in self._sessions:
            self.run(session.close())
        for name in list(self._standins):
            self.stop(name)
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


class DeploymentHarness:
    """Runs a deployment of stand-in processes without entry hosts.

    Parameters
    ----------
    workers : int
        Number of workers in the data centre ``umea``.
    """

    def __init__(self, workers: int) -> None:
        self._loop = asyncio.new_event_loop()
        self._folder = tempfile.TemporaryDirectory()
        pools = {"booking": {"workers": workers}}
        description = {"data_centres": {"umea": {"entry_hosts": 0, "pools": pools}}}
        self.launcher = Launcher(description, Path(self._folder.name))
        self.run(self.launcher.__aenter__())

    def run(self, coroutine: Any) -> Any:
        return self._loop.run_until_complete(asyncio.wait_for(coroutine, DEPLOYMENT_TIMEOUT_S))

    def close(self) -> None:
        if self._loop.is_closed():
            return
        self.run(self.launcher.__aexit__(None, None, None))
        self._folder.cleanup()
        self._loop.close()
