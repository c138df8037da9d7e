"""Requests/s per core through ``carawayd`` and through a bare forwarder, over sockets.

Requests/s per core are requests divided by the CPU time of the process, so the load generator and
the workers, which run on other cores, do not count.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp

from benchmarks.report import Line, case
from carawayshore_standins.launcher import Launcher

ROUNDS = 5
REQUESTS = 2_000
CONCURRENCY = 8
WARM_UP = 500
MEMORY_WARM_UP = 20_000
MEMORY_REQUESTS = 100_000
MEMORY_BATCH_REQUESTS = 5_000
# Growth that the allocator and caches of bounded size may cause.
MAX_GROWTH_KIB = 2 * 1024
IDLE_SETTLE_SECONDS = 5
IDLE_SECONDS = 30
MAX_CONTROL_SHARE = 0.029
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DESCRIPTION = {
    "data_centres": {"umea": {"entry_hosts": 1, "pools": {"booking": {"workers": 4}}}},
    "configuration": {
        "data_centres": ["umea"],
        "pools": {"booking": {}},
        "services": {"booking": {"pool": "booking"}},
    },
}


def _read_processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def _read_resident_kib(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"status of process {pid} has no VmRSS line")


def _find_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


async def _send_requests(session: aiohttp.ClientSession, address: str, count: int) -> None:
    remaining = iter(range(count))
    url = f"http://{address}/services/booking/slots"

    async def send() -> None:
        for number in remaining:
            # Workers require both headers; the bare forwarder passes them through.
            headers = {
                "Carawayshore-Request": f"{address}.{number}",
                "Carawayshore-Pool": "booking",
            }
            async with session.get(url, headers=headers) as response:
                await response.read()
                if response.status != 200:
                    raise ValueError(f"status {response.status} from {address}")

    await asyncio.gather(*(send() for _ in range(CONCURRENCY)))


@contextlib.asynccontextmanager
async def _run_forwarder(launcher: Launcher) -> AsyncIterator[tuple[int, str]]:
    targets = [
        process.spec.addresses["main"]
        for name, process in launcher.processes.items()
        if "-w" in name
    ]
    address = f"127.0.0.1:{_find_port()}"
    command = [sys.executable, "-m", "benchmarks.forwarder", address, *targets]
    process = await asyncio.create_subprocess_exec(*command)
    try:
        for _ in range(200):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address.split(":"))
                writer.close()
                break
            await asyncio.sleep(0.05)
        yield process.pid, address
    finally:
        process.terminate()
        await process.wait()


async def _measure(
    session: aiohttp.ClientSession, pid: int, address: str, count: int = REQUESTS
) -> float:
    before = _read_processor_seconds(pid)
    await _send_requests(session, address, count)
    return count / (_read_processor_seconds(pid) - before)


async def _run_rounds() -> list[list[float]]:
    with tempfile.TemporaryDirectory() as folder:
        async with (
            Launcher(DESCRIPTION, Path(folder)) as launcher,
            _run_forwarder(launcher) as (forwarder_pid, forwarder_address),
            aiohttp.ClientSession() as session,
        ):
            address = launcher.get_address("umea-1", "caller")
            pid = launcher.processes["umea-1"].pid
            for warmed_address in (forwarder_address, address):
                await _send_requests(session, warmed_address, WARM_UP)
            # Measured at the same time, so that other load on the machine affects both alike.
            return [
                await asyncio.gather(
                    _measure(session, forwarder_pid, forwarder_address),
                    _measure(session, pid, address),
                )
                for _ in range(ROUNDS)
            ]


@case("forwarding")
def run_forwarding(seed: int) -> Iterator[Line]:
    """Reports the round with the median ratio; both processes serve at the same time."""
    rounds = sorted(asyncio.run(_run_rounds()), key=lambda pair: pair[1] / pair[0])
    baseline, change = rounds[len(rounds) // 2]
    ratio = change / baseline
    goal = "requests a second on one core >= 0.5 of a bare forwarder's"
    ratios = [round(own / bare, 3) for bare, own in rounds]
    yield Line("forwarding", seed, baseline, change, ratio, goal, ratio >= 0.5, {"rounds": ratios})


async def _sample_resident_memory(requests: int) -> list[int]:
    """Returns the resident memory in KiB after each batch of requests."""
    with tempfile.TemporaryDirectory() as folder:
        async with Launcher(DESCRIPTION, Path(folder)) as launcher, aiohttp.ClientSession() as s:
            address = launcher.get_address("umea-1", "caller")
            pid = launcher.processes["umea-1"].pid
            await _send_requests(s, address, MEMORY_WARM_UP)
            samples = []
            for _ in range(requests // MEMORY_BATCH_REQUESTS):
                await _send_requests(s, address, MEMORY_BATCH_REQUESTS)
                samples.append(_read_resident_kib(pid))
            return samples


@case("memory")
def run_memory(seed: int) -> Iterator[Line]:
    """Compares the minimum resident memory of the first and the last third of many requests.

    Resident memory fluctuates by about 5 MiB, so a comparison of two single samples is no evidence.
    """
    samples = asyncio.run(_sample_resident_memory(MEMORY_REQUESTS))
    third = len(samples) // 3
    before, after = min(samples[:third]), min(samples[-third:])
    grown = after - before
    goal = f"resident memory grows by at most {MAX_GROWTH_KIB} KiB over {MEMORY_REQUESTS} requests"
    detail = {"unit": "KiB", "grown": grown, "samples": samples}
    yield Line("memory", seed, before, after, after / before, goal, grown <= MAX_GROWTH_KIB, detail)


async def _measure_idle() -> tuple[float, int]:
    description = DESCRIPTION | {
        "data_centres": {
            name: {"entry_hosts": 2, "pools": {"booking": {"workers": 2}}}
            for name in ("umea", "lulea", "pitea")
        }
    }
    with tempfile.TemporaryDirectory() as folder:
        async with Launcher(description, Path(folder)) as launcher:
            pids = [launcher.processes[name].pid for name in launcher.list_members()]
            await asyncio.sleep(IDLE_SETTLE_SECONDS)
            before = [_read_processor_seconds(pid) for pid in pids]
            await asyncio.sleep(IDLE_SECONDS)
            shares = [
                (_read_processor_seconds(pid) - start) / IDLE_SECONDS
                for pid, start in zip(pids, before, strict=True)
            ]
            return max(shares), max(_read_resident_kib(pid) for pid in pids)


@case("idle")
def run_idle(seed: int) -> Iterator[Line]:
    """Measures the CPU share of idle entry hosts: the highest of six in three data centres."""
    share, resident = asyncio.run(_measure_idle())
    goal = f"processor time of control <= {MAX_CONTROL_SHARE} of a core"
    ratio = share / MAX_CONTROL_SHARE
    detail = {"unit": "share of a core", "resident_kib": resident}
    yield Line("idle", seed, MAX_CONTROL_SHARE, share, ratio, goal, ratio <= 1, detail)
