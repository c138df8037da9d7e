"""A repeat of a submission reaches an entry host that has not seen its queue move."""

import asyncio
import sys
from pathlib import Path

import aiohttp

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from small_platform import Deployment, configuration, main  # noqa: E402

SERVICES = ["booking", "planning"]
PATH = "/slots/5c0e7a21d94b36f8"
JOB = {"spec": "one oven", "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 8000}]}


def build(folder: Path) -> Deployment:
    system = Deployment(folder, hosts=3, workers={name: 2 for name in SERVICES})
    system.store.put("keyed.op", "config", configuration(1, {"/slots/": "booking"}, SERVICES))
    return system


async def play(system: Deployment, trouble: bool) -> str:
    for worker in system.workers:
        worker.run_seconds = 8.0
    await asyncio.sleep(3.0)
    # The host that is cut off owns neither service, as most hosts of a deployment.
    owners = [system.find_owner(name) for name in SERVICES]
    stale = next(host for host in system.hosts if host not in owners)
    fresh = next(host for host in system.hosts if host is not stale)
    proxy = system.proxies[system.hosts.index(stale)]
    # An earlier client, whose connection to the host stays open.
    session = aiohttp.ClientSession()
    for number in range(20):
        path = f"/slots/{number:016x}"
        if (await system.call("POST", stale, path, JOB | {"steps": [JOB["steps"][0] | {"count": 1}]},
                              session))[0] == 200:  # fmt: skip
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(1.0)
    if trouble:
        system.record.write(f"{stale.name} is cut off from the store for 5.5 s")
        proxy.set_cut(True)
    await asyncio.sleep(0.5)
    system.store.put("keyed.op", "config", configuration(2, {"/slots/": "planning"}, SERVICES))
    system.record.write("operator: version 2 sends the queue to planning; acknowledged")
    await asyncio.sleep(1.0)
    status, _ = await system.call("POST", fresh, PATH, JOB)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1.0)
    # PROTOCOL.md: such a request also arrives seconds after the 2xx response.
    await system.call("POST", stale, PATH, JOB, session)
    await asyncio.sleep(3.0)
    if trouble:
        proxy.set_cut(False)
        system.record.write(f"{stale.name} reaches the store again")
    await asyncio.sleep(12.0)
    await session.close()
    for run in system.runs:
        system.record.write(f"run: {run[0]} run {run[1]} on {run[2]}: {run[6]}")
    return "; ".join(
        f"TWICE: {a[0]} ran on {a[2]} and {b[2]} at the same time"
        for a, b in system.find_overlaps()
    )


main(str(FOLDER), build, play)
