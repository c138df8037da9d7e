"""Workers are added, and the tickets for a step are no longer used: its job never starts."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from small_platform import Advice, Deployment, Worker, configuration, main  # noqa: E402

SERVICE = "booking"
PATH = "/slots/5c0e7a21d94b36f8"
STEP = {"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 800}
WORKERS, ADDED = 10, 2
FINISH_S, IDLE_S = 14.0, 3.0


def build(folder: Path) -> Deployment:
    system = Deployment(folder, hosts=3, workers={SERVICE: WORKERS})
    system.advice = Advice(system.record, 300, 160, 3000)
    for host in system.hosts:
        host.settings["advice"] = system.ports.reserve()
    terms = {"advice": system.advice.terms}
    document = configuration(1, {"/slots/": SERVICE}, [SERVICE], **terms)
    system.store.put("keyed.op", "config", document)
    return system


async def play(system: Deployment, trouble: bool) -> str:
    system.advice.workers = system.workers
    for host in system.hosts:
        await system.advice.start(host.settings["advice"])
    for number in range(WORKERS, WORKERS + (ADDED if trouble else 0)):
        name = f"i-{SERVICE}-{number}"
        worker = Worker(name, SERVICE, system.ports.reserve(), system.store, system.record)
        await system.add_worker(worker)
        system.record.write(f"worker {name} is added, empty")
    for worker in system.workers:
        worker.run_seconds, worker.accepts_ticket = 0.8, system.advice.is_valid
    await asyncio.sleep(5.0)
    if await system.submit(system.hosts[0], PATH, {"spec": "slot", "steps": [STEP]}) != 200:
        raise RuntimeError("the job was not accepted")
    accepted = time.monotonic()
    await asyncio.sleep(FINISH_S)
    # The 3 s of the rule, each 0.1 s: nothing of the job runs, and there is capacity for it.
    until, idle = time.monotonic() + IDLE_S, True
    while time.monotonic() < until:
        runs = any(worker.running for worker in system.workers)
        idle = idle and not runs and system.has_spare_capacity(STEP, system.workers)
        await asyncio.sleep(0.1)
    status, document = await system.call("GET", system.hosts[1], PATH)
    system.record.write(f"runs {len(system.runs)}, calls for advice {system.advice.calls}")
    if status == 200 and document["state"] in ("queued", "running") and idle:
        return (
            f"LOST: {time.monotonic() - accepted:.0f} s after its acceptance the job has nothing"
            f" running for {IDLE_S:.0f} s, while all {len(system.workers)} workers are idle: {document}"
        )
    return ""


main(str(FOLDER), build, play)
