"""Scheduled jobs with many occurrences come in; the first of them are due in an hour."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

from harness3.deployment import TROUBLE, Deployment, run_case

PREFIX = "/plan/"
# Below the ordinary rate of a class of jobs (the site file: 0.865 a second).
SECONDS_BETWEEN_JOBS = 1.2
# Every five minutes for thirty days; without the trouble the number in the site files.
OCCURRENCES = 8640 if TROUBLE else 8
INTERVAL_MS = 300_000
FIRST_DUE_MS = 3_600_000
SUBMISSION_SECONDS = 60.0
# Time after the last submission in which the accepted jobs are asked for (finish_s).
FINISH_SECONDS = 14.0
OBSERVED_SECONDS = 20.0


def count_ends(deployment: Deployment) -> Counter[str]:
    return Counter(
        event["member"] for event in deployment.list_events("memory over the limit; killed")
    )


def have_ended(deployment: Deployment) -> bool:
    """Returns whether both processes have ended three times."""
    return len([count for count in count_ends(deployment).values() if count >= 3]) >= 2


async def play(deployment: Deployment) -> str:
    route = {
        "name": "route-plan",
        "host": "bokning.example",
        "pathPrefix": PREFIX,
        "backend": "bokning",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "priority": 0,
        "maxAttempts": 2,
        "stretch": 1.6,
        "targetDurationMs": 600,
    }
    workers = {f"w{number}": ["a", f"r1-{1 + number // 4}"] for number in range(8)}
    await deployment.open([route], workers)
    watch = asyncio.ensure_future(deployment.watch_memory())
    step = {"count": 5, "cpu": 880, "memMb": 1000, "estimateMs": 850, "workMs": 850}
    job = {"spec": "plan", "steps": [step, step | {"after": [0]}]}
    job |= {"repeatCount": OCCURRENCES, "intervalMs": INTERVAL_MS}
    job["startAtMs"] = int(time.time() * 1000) + FIRST_DUE_MS
    accepted = []
    number = 0
    until = time.monotonic() + SUBMISSION_SECONDS
    while time.monotonic() < until and not have_ended(deployment):
        number += 1
        path = f"{PREFIX}{number:016x}"
        status, _ = await deployment.call("POST", path, job)
        if status == 200:
            accepted.append(path)
        await asyncio.sleep(SECONDS_BETWEEN_JOBS)
    await asyncio.sleep(FINISH_SECONDS)
    asked = unanswered = 0
    until = time.monotonic() + OBSERVED_SECONDS
    while time.monotonic() < until:
        state = await deployment.read_state(accepted[asked % len(accepted)])
        asked += 1
        unanswered += not state
        await asyncio.sleep(0.5)
    watch.cancel()
    deployment.note("summary", accepted=len(accepted), asked=asked, unanswered=unanswered)
    if have_ended(deployment):
        ends = count_ends(deployment)
        return (
            f"Fault: processes ended for their memory {dict(ends)} times; "
            f"{unanswered} of {asked} questions for accepted jobs were not answered"
        )
    return ""


run_case(str(Path(__file__).parent), play)
