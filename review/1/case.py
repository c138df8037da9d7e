"""The owner is killed while over 500 short tasks of one worker end: some of them run again."""

from __future__ import annotations

import asyncio
import sys

from deployment import Deployment, find_double_runs, run_case
from worker import Sizes

SERVICE, PREFIX = "bokning", "/slots/"
JOBS, TASKS = 7, 100
# All tasks fit on one worker: 700 x 20 of 16,000 thousandths of a core.
SIZES = Sizes(cpu=20, mem_mb=10, seconds=3.0)


async def main(case: Deployment) -> bool:
    case.publish(3, {PREFIX: SERVICE}, [SERVICE])
    await case.start(hosts=3, workers={SERVICE: ["r1-1", "r1-2"]})
    await asyncio.sleep(3.0)
    hosts = list(case.hosts.values())
    ids = [f"{0xa0 + number:016x}" for number in range(JOBS)]
    steps = [{"count": TASKS, "cpu": 20, "memMb": 10, "estimateMs": 3000}]
    for number, job in enumerate(ids):
        case.sizes[job] = SIZES
        status = await case.submit(hosts[number % 3], PREFIX + job, {"spec": job, "steps": steps})
        case.record("job", job, "accepted" if status == 200 else f"not accepted: {status}")
    workers = list(case.workers.values())
    total = JOBS * TASKS
    await case.wait_until(
        lambda: sum(len(worker.starts) for worker in workers) >= total, "all tasks started", 10
    )
    case.say(f"{total} tasks started, {max(len(w.running) for w in workers)} on one worker")
    await asyncio.sleep(1.5)
    ended = sum(len(worker.ends) for worker in workers)
    case.say(f"{ended} of them have ended")
    if case.trouble:
        owner = case.find_owner()
        case.say("SIGKILL to", owner.name, "which gave the last orders")
        await owner.kill()
        await asyncio.sleep(1.0)
        await owner.start()
    await asyncio.sleep(20.0)
    states = [await case.call(hosts[0], "GET", PREFIX + job) for job in ids]
    overlaps, again = find_double_runs(workers)
    lapsed = sum(how == "lapsed" for worker in workers for _, _, how, _ in worker.ends)
    for line in (overlaps + again)[:20]:
        case.record("TWICE:", line)
    case.say(f"states: {states}; runs that lapsed: {lapsed}")
    case.say(
        f"tasks that began again after a noted 'done': {len(again)}; overlaps: {len(overlaps)}"
    )
    return bool(overlaps or again)


sys.exit(run_case(__file__, main))
