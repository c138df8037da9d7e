"""A rack crashes under a wide step: its record outgrows ``recordBytes`` and the queue stands still.

The store refuses the record each time, and the owner repeats it for ever. A small job that was
accepted before gets nothing started any more, and new ones are rejected.
"""

from __future__ import annotations

import asyncio
import sys

from deployment import CannotRun, Deployment, run_case
from worker import Sizes

SERVICE, PREFIX, RACK = "bokning", "/slots/", "r1-1"
TASKS, CPU = 3_900, 4
DOWN_S, CALM_S = 3.0, 12.0
WIDE, CHAIN, NEW = f"{0xE1:016x}", f"{0xE2:016x}", f"{0xE3:016x}"


async def main(case: Deployment) -> bool:
    case.publish(3, {PREFIX: SERVICE}, [SERVICE])
    await case.start(hosts=3, workers={SERVICE: ["r1-1", "r1-1", "r1-2", "r1-2"]})
    await asyncio.sleep(3.0)
    hosts, workers = list(case.hosts.values()), list(case.workers.values())
    case.sizes[WIDE] = Sizes(CPU, 1, 30.0)
    wide = {"count": TASKS, "cpu": CPU, "memMb": 1, "estimateMs": 30_000}
    wide["requiredLabel"] = RACK
    await case.submit(hosts[0], PREFIX + WIDE, {"spec": "wide", "steps": [wide]})
    await case.wait_until(
        lambda: sum(len(w.running) for w in workers) >= TASKS, "all wide tasks run", 30
    )
    case.say("running by worker:", [len(w.running) for w in workers])
    # Two steps of 8 s: the second one starts after the crash.
    for step in (0, 1):
        case.sizes[f"{CHAIN}.{step}"] = Sizes(880, 100, 8.0)
    step = {"count": 2, "cpu": 880, "memMb": 100, "estimateMs": 8_000}
    chain = {"spec": "chain", "steps": [step, step | {"after": [0]}]}
    if await case.submit(hosts[1], PREFIX + CHAIN, chain) != 200:
        raise CannotRun("the small job was not accepted")
    await asyncio.sleep(3.0)
    if case.trouble:
        rack = [worker for worker in workers if worker.rack == RACK]
        case.say("rack", RACK, "crashes under", sum(len(w.running) for w in rack), "runs")
        await asyncio.gather(*(worker.crash() for worker in rack))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(worker.start() for worker in rack))
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(CALM_S)
    idle = 0.0
    for _ in range(240):
        if any(task.startswith(CHAIN) for worker in workers for task in worker.running):
            idle = 0.0
        else:
            idle += 0.1
        await asyncio.sleep(0.1)
    _, chain_state = await case.call(hosts[1], "GET", PREFIX + CHAIN)
    case.sizes[NEW] = Sizes(880, 100, 1.0)
    small = {"count": 1, "cpu": 880, "memMb": 100, "estimateMs": 1_000}
    new = await case.submit(hosts[2], PREFIX + NEW, {"spec": "new", "steps": [small]}, attempts=6)
    used = [sum(run.sizes.cpu for run in w.running.values()) for w in workers]
    case.say("the small job:", chain_state, f"nothing of it ran for the last {idle:.1f} s")
    case.say("a new job:", new, "; thousandths of a core in use:", used, "of 16000 each")
    case.say("records over the limit:", len(case.store.refused), case.store.refused[-1:])
    unfinished = not (isinstance(chain_state, dict) and chain_state.get("state") == "completed")
    return unfinished and idle > 3.0 and sum(used) < 32_000


sys.exit(run_case(__file__, main, limit=118.0))
