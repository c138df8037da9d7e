"""The count of pending jobs, while the only worker with room refuses every start."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import Deployment, Worker, build_route, build_service, conclude  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/puxa400/"
WORKERS = 12
# visible_ms and 2 s, after which a job counts.
COUNTS_S = 5.0


def build_job(estimate_ms: int) -> dict:
    step = {"count": 1, "cpu": 16000, "memMb": 256, "estimateMs": estimate_ms}
    return {"spec": "whole worker", "steps": [step]}


async def main() -> int:
    play = Deployment(HERE)
    world = play.world
    workers = [
        Worker(world, play.store, f"w{n:02}", "bokning", rack=f"r1-{n // 4}")
        for n in range(WORKERS)
    ]
    configuration = {
        "routes": [build_route("q1", PREFIX, "bokning")],
        "services": [build_service("bokning")],
        "limits": {},
    }
    ready = False
    try:
        await play.start(configuration, workers)
        ready = await play.wait_ready(PREFIX)
        await asyncio.sleep(2)
        for number in range(WORKERS - 1):
            identifier, body = f"{number:016x}", build_job(25_000)
            world.add_job(identifier, "bokning", body, seconds=25.0)
            ready = await play.submit(PREFIX, identifier, body) and ready
        await asyncio.sleep(2)
        free = [worker for worker in workers if not worker.running]
        ready = ready and len(free) == 1
        if TROUBLE:
            free[0].fault = "busy"
        accepted: dict[str, float] = {}
        for number in range(2):
            identifier, body = f"{0xA0 + number:016x}", build_job(12_000)
            world.add_job(identifier, "bokning", body, seconds=12.0)
            ready = await play.submit(PREFIX, identifier, body) and ready
            accepted[identifier] = world.now()
        await asyncio.sleep(COUNTS_S + 0.3)
        for _ in range(3):
            now = world.now()
            owed = [
                name
                for name, at in accepted.items()
                if now - at > COUNTS_S and name not in world.begun
            ]
            status, document = await play.look(PREFIX)
            play.record.note(f"not begun: {owed}")
            if status == 200 and 2 * document["pending"] < len(owed):
                play.record.breach("MIXED", f"pending {document['pending']} for {len(owed)} jobs")
            await asyncio.sleep(0.2)
        for identifier in accepted:
            await play.look(PREFIX, identifier)
    finally:
        await play.stop()
    world.check_end()
    return conclude(play.record, ready)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
