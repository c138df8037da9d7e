"""The one worker that may run some jobs turns their starts away; nobody has begun them."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from harness3.deployment import TROUBLE, CaseError, Deployment, run_case

PREFIX = "/stock/"
JOBS = 6
# The site file: srv_grey with how = "errors", share = 0.085, x = 1.0, for_s = 6.5.
GREY_SECONDS = 6.5
# visible_ms and 2 s: later than this after its acceptance a job counts.
COUNTED_AFTER_SECONDS = 5.0


async def play(deployment: Deployment) -> str:
    route = {
        "name": "stock",
        "host": "bokning.example",
        "pathPrefix": PREFIX,
        "backend": "bokning",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "priority": 0,
        "maxAttempts": 4,
        "stretch": 1.6,
        "targetDurationMs": 600,
    }
    workers = {f"w{number}": ["a", f"r1-{1 + number // 4}"] for number in range(11)}
    workers["w11"] = ["b", "r1-3"]
    await deployment.open([route], workers)
    step = {"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": 850, "workMs": 850}
    job = {"spec": "stock order", "steps": [step | {"requiredLabel": "b"}]}
    only = deployment.workers["w11"]
    # A first job shows that the queue works.
    await deployment.submit(f"{PREFIX}{JOBS + 1:016x}", job)

    async def is_completed() -> bool:
        return await deployment.read_state(f"{PREFIX}{JOBS + 1:016x}") == "completed"

    await deployment.wait(is_completed, 15.0, "the first job is completed")
    if TROUBLE:
        only.refusal_status = 503
        deployment.note("worker sheds", worker=only.identifier)
        asyncio.get_running_loop().call_later(
            GREY_SECONDS, lambda: setattr(only, "refusal_status", 0)
        )
    grey_until = time.monotonic() + GREY_SECONDS
    paths = [f"{PREFIX}{number:016x}" for number in range(1, JOBS + 1)]
    await asyncio.gather(*(deployment.submit(path, job) for path in paths))
    accepted_at = time.monotonic()
    await asyncio.sleep(COUNTED_AFTER_SECONDS + 0.2)
    broken = ""
    while time.monotonic() < grey_until - 0.2:
        begun = {event["task"].partition(".")[0] for event in deployment.list_events("started")}
        waiting = [path for path in paths if path.rpartition("/")[2] not in begun]
        status, body = await deployment.call("GET", PREFIX)
        age = time.monotonic() - accepted_at
        if status == 200 and body["pending"] < len(waiting) / 2:
            deployment.note("wrong count", pending=body["pending"], not_begun=len(waiting))
            broken = (
                f"MIXED: pending is {body['pending']}, and {len(waiting)} jobs that were accepted "
                f"{age:.1f} s before and more have not begun"
            )
        await asyncio.sleep(0.2)

    async def are_completed() -> bool:
        return all([await deployment.read_state(path) == "completed" for path in paths])

    await deployment.wait(are_completed, 40.0, "all jobs are completed")
    if len(deployment.list_events("answered", method="GET", path=PREFIX)) < 3:
        raise CaseError("the submissions took too long to ask for the count")
    return broken


run_case(str(Path(__file__).parent), play)
