"""Starts the stand-ins and entry hosts of a complete deployment on loopback.

Examples
--------
``python -m carawayshore_standins.launcher [--description FILE] [--folder FOLDER] [--json]``

>>> async with Launcher(description, folder) as launcher:  # doctest: +SKIP
...     await launcher.kill("umea-1")
...     await launcher.restart("umea-1")
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from carawayshore.clock import SystemClock
from carawayshore.findings import FindingsError
from carawayshore.options import Field
from carawayshore_standins.common import load_settings, read_fields
from carawayshore_standins.overview import format_overview
from carawayshore_standins.ports import PortReserver
from carawayshore_standins.processes import ManagedProcess, ProcessSpec

if TYPE_CHECKING:
    from carawayshore.clock import Clock

POLL_INTERVAL = timedelta(milliseconds=50)
REQUEST_TIMEOUT_S = 5.0
STANDIN_STOP_TIMEOUT_S = 5.0
PACKAGE = "carawayshore_standins"
PLATFORM = ("log", "hostlist", "pools")

POOL_FIELDS = (
    Field("workers", "integer", "Workers of the pool.", required=True, maximum=200),
    Field("rack_size", "integer", "Workers in a rack.", default=4, minimum=1),
)
DATA_CENTRE_FIELDS = (
    Field("entry_hosts", "integer", "Entry hosts.", default=2, maximum=50),
    Field("pools", "mapping", "Pools by name.", required=True, fields=POOL_FIELDS),
)
DESCRIPTION_FIELDS = (
    Field(
        "data_centres", "mapping", "Data centres by name.", required=True, fields=DATA_CENTRE_FIELDS
    ),
    Field("log", "optional_object", "Additional settings of the log service."),
    Field("hostlist", "optional_object", "Additional settings of the host list."),
    Field("pools", "optional_object", "Additional settings of the pools service."),
    Field("worker", "optional_object", "Additional settings of every worker."),
    Field("options", "optional_object", "Member `options` of every entry host's settings."),
    Field("configuration", "optional_object", "Configuration to publish at the start."),
    Field("entry_module", "text", "Module run on entry hosts.", default="carawayd"),
    Field("ready_seconds", "number", "Timeout for readiness.", unit="s", default=30),
    Field("stop_seconds", "number", "Timeout for a planned stop.", unit="s", default=30),
)
DEFAULT_DESCRIPTION = {
    "data_centres": {
        name: {"entry_hosts": 2, "pools": {"booking": {"workers": 4}, "office": {"workers": 2}}}
        for name in ("umea", "lulea")
    },
    "configuration": {
        "data_centres": ["umea", "lulea"],
        "pools": {"booking": {}, "office": {"spare": True}},
        "services": {"booking": {"pool": "booking"}, "office": {"pool": "office"}},
        "queues": {"nightly": {"pool": "office", "service": "office"}},
        "teams": {"billing": {}},
    },
}


async def _run(description: dict[str, Any], folder: Path, *, as_json: bool) -> None:
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    running = asyncio.ensure_future(_run_until_cancelled(description, folder, as_json=as_json))
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    waiting = asyncio.ensure_future(interrupted.wait())
    await asyncio.wait({running, waiting}, return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


async def _run_until_cancelled(description: dict[str, Any], folder: Path, *, as_json: bool) -> None:
    async with Launcher(description, folder) as launcher:
        if as_json:
            print(json.dumps({"event": "ready", "processes": launcher.describe()}), flush=True)
        else:
            is_default = description is DEFAULT_DESCRIPTION
            print(format_overview(launcher, commands=is_default), flush=True)
        await asyncio.Event().wait()


def main() -> int:
    parser = argparse.ArgumentParser(description="Runs a complete deployment on loopback.")
    parser.add_argument("--description", type=Path, help="JSON file; default: two data centres")
    parser.add_argument("--folder", type=Path, help="folder for files; default: a temporary one")
    parser.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    arguments = parser.parse_args()
    try:
        description = DEFAULT_DESCRIPTION
        if arguments.description:
            description = load_settings(DESCRIPTION_FIELDS, arguments.description)
        with tempfile.TemporaryDirectory() as temporary:
            folder = arguments.folder or Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            asyncio.run(_run(description, folder, as_json=arguments.json))
    except FindingsError as error:
        print(error, file=sys.stderr)
        return 2
    except RuntimeError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


class Planner:
    """Derives the settings of every process from a description.

    Parameters
    ----------
    description : dict
        Validated description with the defaults filled in.
    folder : Path
        Folder for the record files of the workers.
    ports : PortReserver
    """

    def __init__(self, description: dict[str, Any], folder: Path, ports: PortReserver) -> None:
        self._description = description
        self._folder = folder
        self._ports = ports
        self._members = self._plan_members()
        self._platform = {name: self._plan_listeners() for name in PLATFORM}
        self._workers = self._list_workers()

    def plan_all(self) -> list[list[ProcessSpec]]:
        """Returns the groups of processes in start order."""
        platform = [
            self._plan_platform("log", {}),
            self._plan_platform("hostlist", {"hosts": self._list_hosts()}),
            self._plan_platform("pools", self._build_pools_settings()),
        ]
        workers = [self._plan_worker(entry) for entry in self._workers]
        return [platform, workers, [self._plan_entry_host(member) for member in self._members]]

    def _plan_members(self) -> list[dict[str, str]]:
        return [
            {
                "member": f"{name}-{number + 1}",
                "data_centre": name,
                "peer_address": self._ports.reserve(),
                "caller_address": self._ports.reserve(),
                "operator_address": self._ports.reserve(),
            }
            for name, data_centre in self._description["data_centres"].items()
            for number in range(data_centre["entry_hosts"])
        ]

    def _plan_listeners(self) -> dict[str, str]:
        """Returns listener addresses of a platform service by the name of the client.

        Each entry host has a listener of its own, so that tests can partition it from the service.
        """
        names = ["main", *(member["member"] for member in self._members)]
        return {name: self._ports.reserve() for name in names}

    def _list_workers(self) -> list[dict[str, str]]:
        workers = []
        for name, data_centre in self._description["data_centres"].items():
            number = 0
            for pool, options in data_centre["pools"].items():
                for index in range(options["workers"]):
                    number += 1
                    workers.append(
                        {
                            "host": f"{name}-w{number}",
                            "data_centre": name,
                            "rack": f"{name}-{pool}-{index // options['rack_size'] + 1}",
                            "pool": pool,
                            "address": self._ports.reserve(),
                        }
                    )
        return workers

    def _list_hosts(self) -> list[dict[str, Any]]:
        size_keys = ("processors", "memory_gib", "accelerators", "slots", "connections")
        size = {k: v for k, v in (self._description["worker"] or {}).items() if k in size_keys}
        workers = [entry | {"kind": "worker"} | size for entry in self._workers]
        entries = [
            {
                "host": member["member"],
                "kind": "entry",
                "data_centre": member["data_centre"],
                "address": member["caller_address"],
            }
            for member in self._members
        ]
        return workers + entries

    def _build_pools_settings(self) -> dict[str, Any]:
        hosts = [{k: entry[k] for k in ("host", "pool", "address")} for entry in self._workers]
        return {"hosts": hosts, "hostlist": f"http://{self._platform['hostlist']['main']}"}

    def _plan_platform(self, name: str, settings: dict[str, Any]) -> ProcessSpec:
        addresses = self._platform[name]
        listeners = {k: {"address": v} for k, v in addresses.items() if k != "main"}
        settings |= {"address": addresses["main"], "listeners": listeners}
        settings |= self._description[name] or {}
        ready_url = f"http://{addresses['main']}/v1/record"
        return ProcessSpec(name, f"{PACKAGE}.{name}", settings, ready_url, addresses)

    def _plan_worker(self, entry: dict[str, str]) -> ProcessSpec:
        settings = {k: entry[k] for k in ("host", "pool", "address")} | {
            "pools": f"http://{self._platform['pools']['main']}",
            "record_file": str(self._folder / f"{entry['host']}.record"),
        }
        settings |= self._description["worker"] or {}
        address = entry["address"]
        ready_url = f"http://{address}/v1/status"
        return ProcessSpec(
            entry["host"], f"{PACKAGE}.worker", settings, ready_url, {"main": address}
        )

    def _plan_entry_host(self, member: dict[str, str]) -> ProcessSpec:
        name = member["member"]
        peer_keys = ("member", "data_centre", "peer_address", "caller_address")
        settings: dict[str, Any] = dict(member)
        settings |= {k: f"http://{self._platform[k][name]}" for k in PLATFORM}
        settings["peers"] = [
            {k: peer[k] for k in peer_keys} for peer in self._members if peer is not member
        ]
        if self._description["options"] is not None:
            settings["options"] = self._description["options"]
        addresses = {
            "caller": member["caller_address"],
            "operator": member["operator_address"],
            "peer": member["peer_address"],
        }
        ready_url = f"http://{member['caller_address']}/v1/ready"
        return ProcessSpec(name, self._description["entry_module"], settings, ready_url, addresses)


class Launcher:
    """Runs the processes of one deployment; an async context manager.

    Parameters
    ----------
    description : dict
    folder : Path
        Folder for settings, log and record files.
    clock : Clock

    Raises
    ------
    FindingsError
        If the description is not valid.
    """

    def __init__(
        self, description: dict[str, Any], folder: Path, *, clock: Clock | None = None
    ) -> None:
        self.description = read_fields(DESCRIPTION_FIELDS, description, "description")
        self.folder = folder
        self.processes: dict[str, ManagedProcess] = {}
        self._clock = clock or SystemClock()
        self._ports = PortReserver()
        self._session: aiohttp.ClientSession | None = None
        self._groups = Planner(self.description, folder, self._ports).plan_all()

    async def __aenter__(self) -> Launcher:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )
        try:
            for group in self._groups:
                for spec in group:
                    self.processes[spec.name] = ManagedProcess(spec, self.folder)
                    await self.processes[spec.name].start()
                if group is self._groups[-1]:
                    await self._publish_configuration()
                await asyncio.gather(*(self.wait_ready(spec.name) for spec in group))
        except BaseException:
            await self._stop_all()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stop_all()

    def list_members(self, data_centre: str = "") -> list[str]:
        """Returns the names of the entry hosts of one or all data centres."""
        return [
            spec.name
            for spec in self._groups[-1]
            if data_centre in ("", spec.settings["data_centre"])
        ]

    def get_address(self, name: str, role: str = "main") -> str:
        """Returns an address of a process.

        Parameters
        ----------
        name : str
        role : str
            ``caller``, ``operator`` or ``peer`` of an entry host; ``main`` of a stand-in.
        """
        return self.processes[name].spec.addresses[role]

    def list_caller_addresses(self, data_centre: str = "") -> list[str]:
        return [self.get_address(name, "caller") for name in self.list_members(data_centre)]

    async def wait_ready(self, name: str) -> None:
        """Waits until a process is ready.

        Raises
        ------
        RuntimeError
            If the process exited or is not ready after ``ready_seconds``; the message contains the
            end of its log.
        """
        process = self.processes[name]
        deadline = self._clock.elapsed() + timedelta(seconds=self.description["ready_seconds"])
        while not await self._is_ready(process):
            if not process.is_running():
                reason = f"exited with status {process.exit_status} before it was ready"
            elif self._clock.elapsed() > deadline:
                reason = f"was not ready within {self.description['ready_seconds']} s"
            else:
                await self._clock.sleep(POLL_INTERVAL)
                continue
            raise RuntimeError(f"process {name!r} {reason}:\n{process.read_log_tail()}")

    async def start(self, name: str, *, wait: bool = True) -> None:
        """Starts a stopped process; by default waits until it is ready."""
        await self.processes[name].start()
        if wait:
            await self.wait_ready(name)

    async def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        await self.processes[name].kill()

    def pause(self, name: str) -> None:
        """Pauses a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    async def stop(self, name: str) -> int:
        """Stops a process with SIGTERM and returns its exit status.

        Raises
        ------
        TimeoutError
            If the process has not exited after ``stop_seconds``.
        """
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        return await process.wait(self.description["stop_seconds"])

    async def restart(self, name: str, *, wait: bool = True) -> None:
        """Restarts a process; stops it with SIGTERM first if it is running."""
        if self.processes[name].is_running():
            await self.stop(name)
        await self.start(name, wait=wait)

    async def set_faults(self, name: str, **faults: Any) -> dict[str, Any]:
        """Sets the faults of a stand-in; clears them if none are given."""
        url = f"http://{self.get_address(name)}/v1/faults"
        async with self._session.post(url, json=faults) as response:
            body = await response.json()
        if response.status != 200:
            raise ValueError(body["error"])
        return body

    async def read_record(self, name: str) -> dict[str, Any]:
        """Returns the record of a stand-in."""
        url = f"http://{self.get_address(name)}/v1/record"
        async with self._session.get(url) as response:
            return await response.json()

    def describe(self) -> dict[str, Any]:
        """Returns process id, addresses and log file of every process."""
        return {
            name: {
                "pid": process.pid,
                "addresses": process.spec.addresses,
                "log_file": str(process.log_file),
            }
            for name, process in self.processes.items()
        }

    async def _is_ready(self, process: ManagedProcess) -> bool:
        try:
            async with self._session.get(process.spec.ready_url) as response:
                if response.status != 200 or not process.spec.ready_url.endswith("/v1/status"):
                    return response.status == 200
                return not (await response.json())["draining"]
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return False

    async def _publish_configuration(self) -> None:
        document = self.description["configuration"]
        if document is None or not self._groups[-1]:
            return
        name = self._groups[-1][0].name
        url = f"http://{self.get_address(name, 'operator')}/v1/operator/configuration"
        body = {"base_version": 0, "document": document, "author": "launcher"}
        deadline = self._clock.elapsed() + timedelta(seconds=self.description["ready_seconds"])
        last_response = "none"
        while self.processes[name].is_running() and self._clock.elapsed() < deadline:
            try:
                async with self._session.post(url, json=body) as response:
                    last_response = f"{response.status} {await response.text()}"
                    # 409 means that an earlier attempt took effect but its response was lost.
                    if response.status < 300 or response.status == 409:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await self._clock.sleep(POLL_INTERVAL)
        tail = self.processes[name].read_log_tail()
        raise RuntimeError(
            f"publishing the configuration failed, last response: {last_response}\n{tail}"
        )

    async def _stop_all(self) -> None:
        """Stops all processes; entry hosts first, since their planned stop needs the platform."""
        for group in reversed(self._groups):
            last = group is self._groups[-1]
            seconds = self.description["stop_seconds"] if last else STANDIN_STOP_TIMEOUT_S
            started = [self.processes[p.name] for p in group if p.name in self.processes]
            await asyncio.gather(*(process.terminate(seconds) for process in started))
        if self._session:
            await self._session.close()
        self._ports.release()


if __name__ == "__main__":
    sys.exit(main())
