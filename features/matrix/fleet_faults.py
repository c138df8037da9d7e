"""Injects the faults of the fleet matrix; ``fleet_run`` ends all of them together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from matrix.fleet_deployment import (
    MEMBERS,
    PLATFORM,
    REMOTE_MEMBER,
    RETENTION_RECORDS,
    STREAM,
    WORKERS,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from matrix.fleet_run import FleetRun

CANCELLED_JOBS = 20
TAKEOVER_TIMEOUT_S = 20.0
_injectors: dict[str, Callable[[FleetRun], Awaitable[None]]] = {}


def register_injector(name: str):
    def register(function):
        _injectors[name] = function
        return function

    return register


async def inject(run: FleetRun, name: str) -> None:
    """Injects the fault ``name``; returns once it is in effect and has been detected."""
    run.log_event("fault", name)
    await _injectors[name](run)


async def _wait_for_takeover(run: FleetRun, since: int) -> None:
    """Waits until another member has taken over the step's claim, if the step has one."""
    if run.claim:
        await run.deployment.wait_until(
            lambda: run.has_claim_moved(since), "take-over of the claim", TAKEOVER_TIMEOUT_S
        )


@register_injector("entry-killed")
async def _kill_entry(run: FleetRun) -> None:
    since = run.get_next_offset(STREAM)
    await run.deployment.kill(run.affected_member)
    if run.affected_holds_claim:
        await _wait_for_takeover(run, since)


@register_injector("entry-paused")
async def _pause_entry(run: FleetRun) -> None:
    """Pauses the affected member until another holds its claim; ``heal`` resumes it."""
    since = run.get_next_offset(STREAM)
    run.deployment.pause(run.affected_member)
    if run.affected_holds_claim:
        await _wait_for_takeover(run, since)
    run.log_event("taken-over", run.affected_member)


@register_injector("cut-log")
async def _cut_log(run: FleetRun) -> None:
    since = run.get_next_offset(STREAM)
    await run.deployment.add_fault("log", drop_listeners=[run.affected_member])
    if run.affected_holds_claim:
        await _wait_for_takeover(run, since)


@register_injector("cut-peers")
async def _cut_peers(run: FleetRun) -> None:
    for relay in run.deployment.relays:
        relay.cut = relay.cut or run.affected_member in relay.endpoints


@register_injector("cut-both")
async def _cut_both(run: FleetRun) -> None:
    await _cut_peers(run)
    await _cut_log(run)


@register_injector("dc-cut")
async def _cut_data_centre(run: FleetRun) -> None:
    for relay in run.deployment.relays:
        relay.cut = relay.cut or REMOTE_MEMBER in relay.endpoints
    for name in PLATFORM:
        await run.deployment.add_fault(name, drop_listeners=list(MEMBERS))


@register_injector("log-down")
async def _stop_log(run: FleetRun) -> None:
    await run.deployment.add_fault("log", outage=True)


@register_injector("log-slow")
async def _slow_log(run: FleetRun) -> None:
    await run.deployment.add_fault("log", slow=0.5)


@register_injector("log-answers-lost")
async def _lose_log_answers(run: FleetRun) -> None:
    await run.deployment.add_fault("log", lose_answers_share=0.5, seed=run.seed)


@register_injector("retention")
async def _expire_unread_records(run: FleetRun) -> None:
    """Pauses a reader and waits until retention has removed records that it has not read."""
    if run.cell.step.name != "rejoin":
        run.deployment.pause(run.affected_member)
    await run.deployment.add_fault("log", retention=RETENTION_RECORDS)
    await run.expire_records(run.get_next_offset(STREAM))


@register_injector("hostlist-stale")
async def _freeze_hostlist(run: FleetRun) -> None:
    await run.deployment.add_fault("hostlist", stale=True)


@register_injector("hostlist-down")
async def _stop_hostlist(run: FleetRun) -> None:
    await run.deployment.add_fault("hostlist", outage=True)


@register_injector("pools-answers-lost")
async def _lose_pools_answers(run: FleetRun) -> None:
    """Loses the next two answers and half of the later ones."""
    await run.deployment.add_fault("pools", lose_answers=2, lose_answers_share=0.5, seed=run.seed)


@register_injector("pools-down")
async def _stop_pools(run: FleetRun) -> None:
    await run.deployment.add_fault("pools", outage=True)


@register_injector("worker-killed")
async def _kill_worker(run: FleetRun) -> None:
    run.killed.add(run.target)
    await run.deployment.kill(run.target)


@register_injector("worker-fails")
async def _fail_worker(run: FleetRun) -> None:
    await run.deployment.add_fault(run.target, fail_all=True)


@register_injector("worker-late")
async def _delay_workers(run: FleetRun) -> None:
    await asyncio.gather(*(run.deployment.add_fault(name, slow=0.5) for name in WORKERS))


@register_injector("operators-racing")
async def _start_operator_race(run: FleetRun) -> None:
    run.racing = True


@register_injector("cancellations")
async def _cancel_jobs(run: FleetRun) -> None:
    names = [f"{run.token}-wave{number}" for number in range(CANCELLED_JOBS)]
    await asyncio.gather(*(run.submit(name, seconds=30.0) for name in names))
    await asyncio.gather(*(run.cancel(name) for name in names))
