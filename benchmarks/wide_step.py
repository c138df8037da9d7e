"""Time until all tasks of one wide step run, and what is written meanwhile.

Load pattern: one job of a single step with thousands of small tasks on four calm workers. One entry
host runs as a process of its own, the stand-ins of the store and the workers in this one.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from benchmarks.report import Line, case
from carawayd.partition.ledger import WORKFLOWS_TOPIC
from carawayshore_standins.platform_store import PlatformStore
from carawayshore_standins.platform_worker import MILLICORES, PlatformWorker
from carawayshore_standins.ports import LOOPBACK, PortReserver

WIDTHS = (1_000, 3_000, 10_000)
WORKERS = 4
# The tasks of the widest step take half of the workers.
TASK_MILLICORES = WORKERS * MILLICORES // 2 // max(WIDTHS)
RUN_SECONDS = 100.0
LIMIT_SECONDS = 60.0
SETTLE_SECONDS = 3.0
SERVICE, HOST, PREFIX = "booking", "jobs.example", "/wide/"
JOB = "00000000000000e1"
# The time may grow with the width, not faster.
GOAL_RATIO = 1.0


class Measurement(NamedTuple):
    """Result for one width.

    Parameters
    ----------
    seconds : float
        Time from the submission until all tasks run.
    records, written_bytes : int
        Records of the partition that were written meanwhile, and their size.
    """

    seconds: float
    records: int
    written_bytes: int


def _build_settings(ports: PortReserver, store: str) -> dict[str, Any]:
    return {
        "member": "entry",
        "data_centre": "umea",
        "caller_address": ports.reserve(),
        "ready_address": ports.reserve(),
        "peer_host": LOOPBACK,
        "peer_port": int(ports.reserve().rpartition(":")[2]),
        "metrics_port": int(ports.reserve().rpartition(":")[2]),
        "store": store,
        "partitions": 1,
    }


async def _start_host(settings: dict[str, Any], folder: Path) -> asyncio.subprocess.Process:
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    command = (sys.executable, "-m", "carawayd", "--platform", "--settings", str(path))
    return await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL
    )


def _build_configuration() -> dict[str, Any]:
    route = {"name": "wide", "host": HOST, "pathPrefix": PREFIX, "backend": SERVICE, "stretch": 9.0}
    service = {"name": SERVICE, "rejectsOverload": True}
    return {"version": 1, "routes": [route], "services": [service]}


async def measure(width: int) -> Measurement:
    """Starts a step of ``width`` tasks on a new deployment."""
    ports = PortReserver()
    store = PlatformStore(partition_count=1)
    store_address = ports.reserve()
    await store.start(store_address)
    store.put("keyed.op", "config", _build_configuration())
    workers = [
        PlatformWorker(f"w{number}", SERVICE, ports.reserve(), run_seconds=RUN_SECONDS)
        for number in range(WORKERS)
    ]
    for worker in workers:
        worker.task_millicores = TASK_MILLICORES
        await worker.start()
        store.put("keyed.servers", worker.name, worker.describe())
    settings = _build_settings(ports, store_address)
    folder = tempfile.TemporaryDirectory()
    host = await _start_host(settings, Path(folder.name))
    await asyncio.sleep(SETTLE_SECONDS)
    partition = store.get_partition(WORKFLOWS_TOPIC, 0)
    first = len(partition.records)
    try:
        started_at = time.monotonic()
        await _submit(settings, width)
        while sum(len(worker.starts) for worker in workers) < width:
            if time.monotonic() - started_at > LIMIT_SECONDS:
                raise TimeoutError(f"{width} tasks do not run after {LIMIT_SECONDS} s")
            await asyncio.sleep(0.01)
        seconds = time.monotonic() - started_at
        written = partition.records[first:]
        return Measurement(seconds, len(written), sum(map(len, written)))
    finally:
        host.kill()
        await host.wait()
        folder.cleanup()
        for worker in workers:
            await worker.stop()
        await store.stop()
        ports.release()


async def _submit(settings: dict[str, Any], width: int) -> None:
    estimate_ms = int(RUN_SECONDS * 1000)
    step = {"count": width, "cpu": TASK_MILLICORES, "memMb": 1, "estimateMs": estimate_ms}
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{settings['caller_address']}{PREFIX}{JOB}",
            json={"spec": "wide", "steps": [step]},
            headers={"Host": HOST},
        ) as response,
    ):
        if response.status != 200:
            raise RuntimeError(f"the job was rejected with status {response.status}")


@case("wide-step")
def run(seed: int) -> Iterator[Line]:
    """Compares each width with the narrowest one, per task."""
    baseline = asyncio.run(measure(WIDTHS[0]))
    for width in WIDTHS:
        result = baseline if width == WIDTHS[0] else asyncio.run(measure(width))
        ratio = (result.seconds / width) / (baseline.seconds / WIDTHS[0])
        detail = {
            "tasks": width,
            "seconds": round(result.seconds, 2),
            "records": result.records,
            "written_bytes": result.written_bytes,
        }
        yield Line(
            "wide-step",
            seed,
            baseline.seconds / WIDTHS[0],
            result.seconds / width,
            ratio,
            f"at most {GOAL_RATIO} times the time per task of {WIDTHS[0]} tasks",
            ratio <= GOAL_RATIO,
            detail,
        )
