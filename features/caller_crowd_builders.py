"""Starts one entry host as a process of its own, in either mode, and measures that process.

The settings state a small machine. Settings that the program under test does not know are left out,
so that the same crowds can be sent to earlier versions.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
from caller_crowds import OpenCrowd
from platform_builders import (
    HOST,
    PREFIX,
    SERVICE,
    build_identifier,
    build_job,
    build_operator_configuration,
)

from carawayd.process.settings import OPTION_FIELDS
from carawayd.process.site import SITE_FIELDS
from carawayshore.options import fill_defaults
from carawayshore_standins.launcher import DESCRIPTION_FIELDS, Launcher
from carawayshore_standins.platform_store import PlatformStore
from carawayshore_standins.platform_worker import PlatformWorker
from carawayshore_standins.ports import PortReserver
from carawayshore_standins.processes import ManagedProcess, ProcessSpec

# The machine of the tests, and the bounds that follow from it: a process may use no more.
MACHINE_MEMORY_MB = 128
MACHINE_DESCRIPTORS = 1024
FEW_DESCRIPTORS = 300
SAMPLE_SECONDS = 0.05
# Time in which the process handles what it has received.
SETTLE_SECONDS = 1.0
READY_SECONDS = 30.0
# An ordinary caller repeats its request after a 429 or 503, as long as this.
CALL_SECONDS = 20.0
RETRY_SECONDS = 0.5
STOP_SECONDS = 3.0
RUN_LIMIT_S = 90.0
# State of a listening socket in the kernel's tables.
LISTENING = "0A"

_modes: dict[str, type[EntryProcess]] = {}


def mode(name: str):
    """Registers the class that starts an entry host in a mode."""

    def register(entry_class: type[EntryProcess]) -> type[EntryProcess]:
        _modes[name] = entry_class
        return entry_class

    return register


def start_entry(name: str, descriptors: int = MACHINE_DESCRIPTORS) -> EntryProcess:
    """Starts the stand-ins and one entry host in a mode, and waits until it serves a request."""
    entry = _modes[name](descriptors)
    entry.run(entry.start())
    return entry


def build_machine(descriptors: int, fields: tuple) -> dict[str, int]:
    """Returns the settings that state the machine, without those that ``fields`` lack."""
    machine = {"memory_mb": MACHINE_MEMORY_MB, "max_descriptors": descriptors}
    known = {field.name for field in fields}
    return {name: value for name, value in machine.items() if name in known}


class EntryProcess:
    """One entry host; ``most_memory_mb`` and ``most_descriptors`` are the highest that were seen.

    Parameters
    ----------
    descriptors : int
        File descriptors of the machine.
    """

    host = ""
    path = ""

    def __init__(self, descriptors: int) -> None:
        self.descriptors = descriptors
        self.most_memory_mb = 0.0
        self.most_descriptors = 0
        self.address = ""
        # Addresses of HTTP listeners other than that for callers, with the path of a request that
        # each one serves, by name; and those of listeners with a protocol of their own.
        self.other_addresses: dict[str, tuple[str, str]] = {}
        self.peer_addresses: list[str] = []
        self.process: ManagedProcess | None = None
        self._crowds: list[OpenCrowd] = []
        self._loop = asyncio.new_event_loop()
        self._folder = tempfile.TemporaryDirectory()
        self._ports = PortReserver()
        self._session: aiohttp.ClientSession | None = None

    def run(self, coroutine: Any) -> Any:
        return self._loop.run_until_complete(asyncio.wait_for(coroutine, RUN_LIMIT_S))

    async def start(self) -> None:
        self._session = aiohttp.ClientSession()
        await self._start_processes()
        status = await self.call_until_served(READY_SECONDS)
        assert status == 200, f"{status}: {self.process.read_log_tail()}"
        self.measure()

    async def _start_processes(self) -> None:
        raise NotImplementedError

    async def _stop_processes(self) -> None:
        raise NotImplementedError

    async def call(self) -> int:
        """Sends one ordinary request on a new connection; returns its status, 0 for none."""
        raise NotImplementedError

    async def call_until_served(self, seconds: float = CALL_SECONDS) -> int:
        """Repeats an ordinary request until it is served; returns its last status."""
        deadline = self._loop.time() + seconds
        while True:
            status = 0
            try:
                async with asyncio.timeout(max(0.1, deadline - self._loop.time())):
                    status = await self.call()
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            if status == 200 or self._loop.time() >= deadline:
                return status
            await asyncio.sleep(RETRY_SECONDS)

    def measure(self) -> None:
        """Reads the peak of the resident memory, and the open descriptors, from ``/proc``."""
        pid = self.process.pid
        if pid is None:
            return
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                self.most_memory_mb = max(self.most_memory_mb, int(line.split()[1]) / 1024)
        self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{pid}/fd")))

    async def _keep_measuring(self) -> None:
        while True:
            self.measure()
            await asyncio.sleep(SAMPLE_SECONDS)

    async def call_other(self, name: str) -> int:
        """Sends one ordinary request to another address; returns its status, 0 for none."""
        address, path = self.other_addresses[name]
        deadline = self._loop.time() + CALL_SECONDS
        while True:
            status = 0
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with (
                    asyncio.timeout(max(0.1, deadline - self._loop.time())),
                    self._session.get(
                        f"http://{address}{path}", headers={"Connection": "close"}
                    ) as answer,
                ):
                    await answer.read()
                    status = answer.status
            if status == 200 or self._loop.time() >= deadline:
                return status
            await asyncio.sleep(RETRY_SECONDS)

    def list_listening_ports(self) -> set[int]:
        """Returns the TCP ports on which the process listens."""
        folder = Path(f"/proc/{self.process.pid}")
        links = [os.readlink(item) for item in (folder / "fd").iterdir()]
        inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
        ports = set()
        for table in ("tcp", "tcp6"):
            for line in (folder / "net" / table).read_text().splitlines()[1:]:
                fields = line.split()
                if fields[3] == LISTENING and fields[9] in inodes:
                    ports.add(int(fields[1].rpartition(":")[2], 16))
        return ports

    def list_bounded_ports(self) -> set[int]:
        """Returns the ports whose connections some bound is stated and tested for."""
        addresses = [self.address, *self.peer_addresses]
        addresses += [address for address, _ in self.other_addresses.values()]
        return {int(address.rpartition(":")[2]) for address in addresses}

    async def send_crowds(self, names: list[str], addresses: list[str] | None = None) -> None:
        """Sends crowds one after the other, to some addresses at once, and measures meanwhile.

        Their connections stay open. Without ``addresses`` they are sent to the address for callers.
        """
        measuring = asyncio.ensure_future(self._keep_measuring())
        crowds = [
            OpenCrowd(address, self.host, self.path) for address in addresses or [self.address]
        ]
        self._crowds += crowds
        for name in names:
            await asyncio.gather(*(crowd.send(name) for crowd in crowds))
        await asyncio.sleep(SETTLE_SECONDS)
        measuring.cancel()
        self.measure()

    def close(self) -> None:
        for crowd in self._crowds:
            crowd.close()
        self.run(self._close())
        self._ports.release()
        self._folder.cleanup()
        self._loop.close()

    async def _close(self) -> None:
        await self._session.close()
        await self._stop_processes()


@mode("platform")
class PlatformEntry(EntryProcess):
    """An entry host of the platform mode, with the stand-in store and one stand-in worker."""

    host = HOST
    path = PREFIX

    def __init__(self, descriptors: int) -> None:
        super().__init__(descriptors)
        self._store = PlatformStore()
        self._worker = PlatformWorker("w0", SERVICE, self._ports.reserve())
        self._numbers = iter(range(1_000_000, 2_000_000))

    async def _start_processes(self) -> None:
        store_address = self._ports.reserve()
        await self._store.start(store_address)
        configuration = build_operator_configuration(1)
        configuration["limits"] = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        }
        self._store.put("keyed.op", "config", configuration)
        await self._worker.start()
        self._store.put("keyed.servers", self._worker.name, self._worker.describe())
        self.address = self._ports.reserve()
        ready, peer, metrics = (self._ports.reserve() for _ in range(3))
        self.other_addresses = {
            "ready": (ready, "/api/ready"),
            "metrics": (metrics, "/metrics"),
        }
        self.peer_addresses = [peer]
        document = {
            "member": "entry-0",
            "data_centre": "umea",
            "caller_address": self.address,
            "ready_address": ready,
            "peer_host": "127.0.0.1",
            "peer_port": int(peer.rpartition(":")[2]),
            "metrics_port": int(metrics.rpartition(":")[2]),
            "store": store_address,
            "partitions": self._store.partition_count,
        } | build_machine(self.descriptors, SITE_FIELDS)
        spec = ProcessSpec("entry-0", "carawayd", document, "", {}, ("--platform",))
        self.process = ManagedProcess(spec, Path(self._folder.name))
        await self.process.start()

    async def call(self) -> int:
        url = f"http://{self.address}{PREFIX}{build_identifier(next(self._numbers))}"
        headers = {"Host": HOST, "Timeout-Ms": "3000", "Connection": "close"}
        async with self._session.post(url, json=build_job(1), headers=headers) as answer:
            await answer.read()
            return answer.status

    async def _stop_processes(self) -> None:
        if self.process is not None:
            await self.process.terminate(0.1)
        await self._worker.stop()
        await self._store.stop()


@mode("embedded")
class EmbeddedEntry(EntryProcess):
    """An entry host of the embedded mode, with the stand-ins that the launcher starts."""

    host = "localhost"
    path = "/services/booking/"

    def __init__(self, descriptors: int) -> None:
        super().__init__(descriptors)
        description = {
            "data_centres": {"umea": {"entry_hosts": 1, "pools": {"booking": {"workers": 2}}}},
            "options": build_machine(descriptors, OPTION_FIELDS),
            "configuration": {
                "data_centres": ["umea"],
                "pools": {"booking": {}},
                "services": {"booking": {"pool": "booking"}},
            },
            "stop_seconds": STOP_SECONDS,
        }
        filled = fill_defaults(DESCRIPTION_FIELDS, description)
        self._launcher = Launcher(filled, Path(self._folder.name))

    async def _start_processes(self) -> None:
        await self._launcher.__aenter__()
        self.address = self._launcher.get_address("umea-1", "caller")
        operators = self._launcher.get_address("umea-1", "operator")
        self.other_addresses = {"operators": (operators, "/v1/operator/status")}
        self.peer_addresses = [self._launcher.get_address("umea-1", "peer")]
        self.process = self._launcher.processes["umea-1"]

    async def call(self) -> int:
        url = f"http://{self.address}{self.path}ordinary"
        async with self._session.get(url, headers={"Connection": "close"}) as answer:
            await answer.read()
            return answer.status

    async def _stop_processes(self) -> None:
        if self.process is not None:
            await self.process.kill()
        await self._launcher.__aexit__(None, None, None)
