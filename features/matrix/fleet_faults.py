"""How each fault of the fleet's table begins; ``fleet_run`` ends them together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from matrix.fleet_deployment import MEMBERS, PLATFORM, REMOTE, RETENTION, STREAM, WORKERS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from matrix.fleet_run import FleetRun

CANCELLED_JOBS = 20
TAKE_OVER_LIMIT_S = 20.0
_injectors: dict[str, Callable[[FleetRun], Awaitable[None]]] = {}


def injects(name: str):
    def register(function):
        _injectors[name] = function
        return function

    return register


async def inject(run: FleetRun, name: str) -> None:
    """Begins the fault ``name``; returns when it is in force and has been noticed."""
    run.note("fault", name)
    await _injectors[name](run)


async def _wait_taken_over(run: FleetRun, since: int) -> None:
    """Waits until another member has taken the step's claim, if the step has one."""
    if run.claim:
        await run.deployment.wait_until(
            lambda: run.has_claim_moved(since), "take-over of the claim", TAKE_OVER_LIMIT_S
        )


@injects("entry-killed")
async def _kill_entry(run: FleetRun) -> None:
    since = run.find_end(STREAM)
    await run.deployment.kill(run.subject)
    if run.subject_held:
        await _wait_taken_over(run, since)


@injects("entry-paused")
async def _pause_entry(run: FleetRun) -> None:
    """Stops the subject until another holds its claim; the end of the faults continues it."""
    since = run.find_end(STREAM)
    run.deployment.pause(run.subject)
    if run.subject_held:
        await _wait_taken_over(run, since)
    run.note("taken-over", run.subject)


@injects("cut-log")
async def _cut_log(run: FleetRun) -> None:
    since = run.find_end(STREAM)
    await run.deployment.add_fault("log", drop_listeners=[run.subject])
    if run.subject_held:
        await _wait_taken_over(run, since)


@injects("cut-peers")
async def _cut_peers(run: FleetRun) -> None:
    for relay in run.deployment.relays:
        relay.cut = relay.cut or run.subject in relay.ends


@injects("cut-both")
async def _cut_both(run: FleetRun) -> None:
    await _cut_peers(run)
    await _cut_log(run)


@injects("dc-cut")
async def _cut_data_centre(run: FleetRun) -> None:
    for relay in run.deployment.relays:
        relay.cut = relay.cut or REMOTE in relay.ends
    for name in PLATFORM:
        await run.deployment.add_fault(name, drop_listeners=list(MEMBERS))


@injects("log-down")
async def _stop_log(run: FleetRun) -> None:
    await run.deployment.add_fault("log", outage=True)


@injects("log-slow")
async def _slow_log(run: FleetRun) -> None:
    await run.deployment.add_fault("log", slow=0.5)


@injects("log-answers-lost")
async def _lose_log_answers(run: FleetRun) -> None:
    await run.deployment.add_fault("log", lose_answers_share=0.5, seed=run.seed)


@injects("retention")
async def _pass_reader(run: FleetRun) -> None:
    """Stops a reader and lets retention remove what it has not read."""
    if run.cell.step.name != "rejoin":
        run.deployment.pause(run.subject)
    await run.deployment.add_fault("log", retention=RETENTION)
    await run.overrun(run.find_end(STREAM))


@injects("hostlist-stale")
async def _freeze_hostlist(run: FleetRun) -> None:
    await run.deployment.add_fault("hostlist", stale=True)


@injects("hostlist-down")
async def _stop_hostlist(run: FleetRun) -> None:
    await run.deployment.add_fault("hostlist", outage=True)


@injects("pools-answers-lost")
async def _lose_pools_answers(run: FleetRun) -> None:
    """Loses the next answers for certain and a share of those after them."""
    await run.deployment.add_fault("pools", lose_answers=2, lose_answers_share=0.5, seed=run.seed)


@injects("pools-down")
async def _stop_pools(run: FleetRun) -> None:
    await run.deployment.add_fault("pools", outage=True)


@injects("worker-killed")
async def _kill_worker(run: FleetRun) -> None:
    run.killed.add(run.target)
    await run.deployment.kill(run.target)


@injects("worker-fails")
async def _fail_worker(run: FleetRun) -> None:
    await run.deployment.add_fault(run.target, fail_all=True)


@injects("worker-late")
async def _delay_workers(run: FleetRun) -> None:
    await asyncio.gather(*(run.deployment.add_fault(name, slow=0.5) for name in WORKERS))


@injects("operators-racing")
async def _race(run: FleetRun) -> None:
    run.racing = True


@injects("cancellations")
async def _cancel_many(run: FleetRun) -> None:
    names = [f"{run.token}-wave{number}" for number in range(CANCELLED_JOBS)]
    await asyncio.gather(*(run.submit(name, seconds=30.0) for name in names))
    await asyncio.gather(*(run.cancel(name) for name in names))
