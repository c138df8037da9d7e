"""A worker crashes under one member of a gang that checkpoints its progress."""

from __future__ import annotations

import asyncio
from pathlib import Path

from harness3.deployment import TROUBLE, Deployment, run_case

JOB = "5c0e7a21d94b36f8"
PATH = f"/train/{JOB}"
MEMBERS = 3
WORK_SECONDS = 6.0
DOWN_SECONDS = 4.5


async def play(deployment: Deployment) -> str:
    route = {
        "name": "train",
        "host": "bokning.example",
        "pathPrefix": "/train/",
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
    step = {"count": MEMBERS, "cpu": 4000, "memMb": 8400, "estimateMs": 12_000, "gang": True}
    step |= {"checkpointing": True, "maxPerServer": 1, "workMs": 12_000}
    await deployment.submit(PATH, {"spec": "train", "steps": [step]})

    async def is_working() -> bool:
        found = deployment.find_run(f"{JOB}.0.0.0")
        return found is not None and found[1].works

    await deployment.wait(is_working, 15.0, "the gang works")
    await asyncio.sleep(WORK_SECONDS)
    if TROUBLE:
        worker = deployment.find_run(f"{JOB}.0.0.0")[0]
        deployment.note("worker crashes", worker=worker.identifier)
        await worker.crash()
        asyncio.get_running_loop().call_later(
            DOWN_SECONDS, lambda: asyncio.ensure_future(worker.start())
        )

    async def is_completed() -> bool:
        return await deployment.read_state(PATH) == "completed"

    await deployment.wait(is_completed, 60.0, "the job is completed")
    by_run: dict[int, dict[str, str]] = {}
    for event in deployment.list_events("started"):
        by_run.setdefault(event["run"], {})[event["task"]] = event["checkpoint"]
    for run, checkpoints in sorted(by_run.items()):
        if len(set(checkpoints.values())) > 1:
            return f"UNASKED: the members of run {run} were started with {checkpoints}"
    return ""


run_case(str(Path(__file__).parent), play)
