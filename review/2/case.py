"""A queue moves to another service, then the entry hosts are restarted in turn.

The jobs that were accepted before the move are unknown afterwards (410), a repeated submission runs
a second time, and a cancelled job runs on.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from deployment import Deployment, EntryHost, find_double_runs, run_case
from worker import Sizes

OLD, NEW, PREFIX = "bokning", "offert", "/slots/"
CONTACT_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.2
GAP_S = 1.3
LASTING, LONG, CANCELLED = f"{0xC1:016x}", f"{0xC2:016x}", f"{0xC3:016x}"


async def restart(case: Deployment, host: EntryHost) -> None:
    case.say("SIGTERM to", host.name)
    host.signal(signal.SIGTERM)
    await asyncio.wait_for(host.process.wait(), 6.0)
    case.record(host.name, "has exited with", host.process.returncode)
    await asyncio.sleep(0.3)
    await host.start()
    await case.wait_ready(host)
    case.record(host.name, "is ready again")


async def main(case: Deployment) -> bool:
    services = [OLD, NEW]
    case.publish(3, {PREFIX: OLD, "/other/": NEW}, services)
    await case.start(hosts=3, workers={OLD: ["r1-1", "r1-2"], NEW: ["r2-1", "r2-2"]})
    await asyncio.sleep(3.0)
    hosts = list(case.hosts.values())
    lasting = {"count": 2, "cpu": 1300, "memMb": 400, "longRunning": True}
    long = {"count": 2, "cpu": 1300, "memMb": 400, "estimateMs": 60_000}
    documents = {
        LASTING: {"spec": "lasting", "steps": [lasting]},
        LONG: {"spec": "long", "steps": [long]},
        CANCELLED: {"spec": "cancelled", "steps": [lasting]},
    }
    for job, document in documents.items():
        case.sizes[job] = Sizes(1300, 400, 60.0 if job == LONG else 0.0)
        if await case.submit(hosts[0], PREFIX + job, document) != 200:
            case.record("job", job, "was not accepted")
    await case.wait_until(
        lambda: sum(len(w.running) for w in case.workers.values()) == 6, "all tasks run", 8
    )
    case.say("all 6 tasks of the 3 accepted jobs run")
    # Versions remove a route and add one: the queue is now sent to another service.
    case.publish(4, {"/other/": NEW}, services)
    await asyncio.sleep(2.5)
    case.publish(5, {PREFIX: NEW, "/other/": NEW}, services)
    await asyncio.sleep(2.5)
    if case.trouble:
        tasks = []
        for host in hosts:
            tasks.append(asyncio.ensure_future(restart(case, host)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
    await asyncio.sleep(CONTACT_S + 1.0)
    unknown = []
    for host in hosts:
        for job in (LASTING, LONG, CANCELLED):
            status, _ = await case.call(host, "GET", PREFIX + job)
            if status == 410:
                unknown.append(f"{job} at {host.name}")
    case.say("LOST: GET answered 410 for accepted jobs that nobody has cancelled:", unknown)
    status, _ = await case.call(hosts[1], "DELETE", PREFIX + CANCELLED)
    case.record("the client cancels", CANCELLED, "->", status)
    status, _ = await case.call(hosts[2], "POST", PREFIX + LONG, documents[LONG])
    case.record("the submission of", LONG, "arrives again ->", status)
    await asyncio.sleep(CANCEL_S + STOP_S + 1.0)
    runs_on = [
        f"{task} on {worker.name}"
        for worker in case.workers.values()
        for task in worker.running
        if task.startswith(CANCELLED)
    ]
    case.say("UNASKED: tasks that run on after the cancel was answered:", runs_on)
    overlaps, again = find_double_runs(list(case.workers.values()))
    for line in overlaps + again:
        case.record("TWICE:", line)
    case.say("TWICE: two runs of one task at a time:", len(overlaps), overlaps)
    return bool(unknown or overlaps or runs_on)


sys.exit(run_case(__file__, main))
