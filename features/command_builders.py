"""Builders of documents, commands and deployments for the features of the operators' command."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from builders import build_configuration

from carawayshore.clock import SystemClock
from carawayshore_standins.launcher import Launcher

COMMAND_TIMEOUT_S = 60
POLL_INTERVAL = timedelta(milliseconds=50)
WORKERS = 5
DEPLOYMENT = {
    "data_centres": {
        "umea": {
            "entry_hosts": 2,
            "pools": {"booking": {"workers": 3}, "office": {"workers": 2}},
        }
    },
    "configuration": build_configuration(data_centres=["umea"]),
}


class CommandResult(NamedTuple):
    """Exit status, standard output and standard error of a run of the command."""

    status: int
    output: str
    errors: str


def start_command(*arguments: str) -> subprocess.Popen[str]:
    """Starts the command, which handles SIGINT even if this process was started to ignore it."""
    code = (
        "import signal, sys; signal.signal(signal.SIGINT, signal.default_int_handler);"
        "from carawayctl import main; sys.exit(main())"
    )
    return subprocess.Popen(
        [sys.executable, "-c", code, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )


def finish_command(process: subprocess.Popen[str]) -> CommandResult:
    """Waits until the command ends and returns its result."""
    output, errors = process.communicate(timeout=COMMAND_TIMEOUT_S)
    return CommandResult(process.returncode, output, errors)


def run_command(*arguments: str) -> CommandResult:
    return finish_command(start_command(*arguments))


def _count_hosts(status: dict[str, Any]) -> int:
    return sum(len(pool["hosts"]) for pool in status["pools"].values())


class Deployment:
    """A deployment on loopback whose event loop runs in a separate thread."""

    def __init__(self) -> None:
        self._clock = SystemClock()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.launcher = Launcher(DEPLOYMENT, self.folder)

    def call(self, awaitable: Any) -> Any:
        """Runs an awaitable in the event loop of the deployment and returns its result."""
        return asyncio.run_coroutine_threadsafe(awaitable, self._loop).result(COMMAND_TIMEOUT_S)

    def start(self) -> None:
        self._thread.start()
        self.call(self.launcher.__aenter__())
        # An entry host may be ready before the hosts of its data centre are in the log.
        for name in self.launcher.list_members():
            self.wait_for(name, lambda status: _count_hosts(status) == WORKERS)

    def stop(self) -> None:
        for name in self.launcher.list_members():
            self.launcher.resume(name)
        self.call(self.launcher.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._folder.cleanup()

    def get_operator_option(self, name: str) -> list[str]:
        return ["--entry-host", self.launcher.get_address(name, "operator")]

    def read_status(self, name: str) -> dict[str, Any]:
        """Returns the status document of an entry host."""
        return self.call(self._read_status(self.launcher.get_address(name, "operator")))

    async def _read_status(self, address: str) -> dict[str, Any]:
        url = f"http://{address}/v1/operator/status"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return await answer.json()

    async def _wait(self, name: str, condition: Any) -> None:
        address = self.launcher.get_address(name, "operator")
        async with asyncio.timeout(COMMAND_TIMEOUT_S / 2):
            while not condition(await self._read_status(address)):
                await self._clock.sleep(POLL_INTERVAL)

    def wait_for(self, name: str, condition: Any) -> None:
        """Waits until the status of an entry host meets a condition.

        Raises
        ------
        TimeoutError
            If the condition is not met within 30 s.
        """
        self.call(self._wait(name, condition))

    def write_document(self, name: str, document: Any) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return path


def interrupt(process: subprocess.Popen[str]) -> None:
    process.send_signal(signal.SIGINT)
