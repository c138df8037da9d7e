"""Injects the faults of the request matrix."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from matrix.caller import RequestSpec, SyncPoint
from matrix.deployment import DOCUMENT, MEMBERS, SLOTS, TARGETS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from matrix.cell import CellRun

PAUSE_S = 2.5  # Longer than the lifetime of a loan and the silence time-out of a peer.
STOP_TIMEOUT_S = 25.0
TRICKLE_DURATION_S = 4.0
SHORT_DEADLINE_S = 1.0
_injectors: dict[str, Callable[[CellRun], Awaitable[None]]] = {}
# The target applies these when it starts a run, so they are injected before the placement.
BEFORE_PLACEMENT = ("target-slow", "straggler", "declared-wrong")
# Injected by a call to the target.
VIA_TARGET_CALL = ("target-fails", "target-refuses", "silent", "late", "answers-lost")


def register_injector(name: str):
    def register(function):
        _injectors[name] = function
        return function

    return register


async def inject(run: CellRun, name: str) -> None:
    """Injects the fault ``name``; returns once it is in effect."""
    run.injected_at[name] = run.clock.now()
    await _injectors[name](run)


@register_injector("entry-killed")
async def _kill_entry(run: CellRun) -> None:
    await run.deployment.kill(MEMBERS[0])


@register_injector("entry-paused")
async def _pause_entry(run: CellRun) -> None:
    run.deployment.pause(MEMBERS[0])
    run.spawn(_resume_entry(run))


async def _resume_entry(run: CellRun) -> None:
    await asyncio.sleep(PAUSE_S)
    if run.deployment.processes[MEMBERS[0]].is_running():
        run.deployment.resume(MEMBERS[0])


@register_injector("cut-log")
async def _cut_log(run: CellRun) -> None:
    await run.deployment.add_fault("log", drop_listeners=[MEMBERS[0]])


@register_injector("cut-peers")
async def _cut_peers(run: CellRun) -> None:
    for relay in run.deployment.relays:
        relay.cut = relay.cut or MEMBERS[0] in relay.endpoints


@register_injector("cut-both")
async def _cut_both(run: CellRun) -> None:
    await _cut_log(run)
    await _cut_peers(run)


@register_injector("planned-stop")
async def _stop_entry(run: CellRun) -> None:
    run.spawn(_await_stop(run))
    await asyncio.sleep(0)


async def _await_stop(run: CellRun) -> None:
    run.stop_status = await run.deployment.stop(MEMBERS[0])


@register_injector("log-down")
async def _stop_log(run: CellRun) -> None:
    await run.deployment.add_fault("log", outage=True)


@register_injector("log-slow")
async def _slow_log(run: CellRun) -> None:
    await run.deployment.add_fault("log", slow=1.0)


@register_injector("log-answers-lost")
async def _lose_log_answers(run: CellRun) -> None:
    await run.deployment.add_fault("log", lose_answers_share=0.5, seed=run.seed)


@register_injector("hostlist-stale")
async def _freeze_hostlist(run: CellRun) -> None:
    await run.deployment.add_fault("hostlist", stale=True)


@register_injector("hostlist-down")
async def _stop_hostlist(run: CellRun) -> None:
    await run.deployment.add_fault("hostlist", outage=True)


@register_injector("target-killed")
async def _kill_target(run: CellRun) -> None:
    await run.deployment.kill(run.target)


@register_injector("target-paused")
async def _pause_target(run: CellRun) -> None:
    run.paused_targets.add(run.target)
    run.deployment.pause(run.target)


@register_injector("target-slow")
async def _slow_target(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, slow=1.5)


@register_injector("target-fails")
async def _fail_target(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, fail_all=True)


@register_injector("target-refuses")
async def _drain_target_directly(run: CellRun) -> None:
    url = f"{run.deployment.get_address(run.target)}/v1/control/drain"
    await run.deployment.call("POST", url)


@register_injector("silent")
async def _silence_target(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, silent=True)


@register_injector("late")
async def _delay_answers(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, late_share=1.0, late_seconds=2.5, reorder=2)


@register_injector("answers-lost")
async def _lose_answers(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, lose_answers_share=1.0)


@register_injector("straggler")
async def _slow_runs(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, straggle_share=1.0, straggle_factor=8.0)


@register_injector("declared-wrong")
async def _declare_wrong(run: CellRun) -> None:
    """Does nothing: the requests already declare a wrong run time."""


@register_injector("deadline-passes")
async def _pass_deadline(run: CellRun) -> None:
    await asyncio.sleep(SHORT_DEADLINE_S + 0.2)


@register_injector("caller-gone")
async def _disconnect_callers(run: CellRun) -> None:
    for caller in run.callers:
        caller.disconnect()


@register_injector("caller-slow")
async def _slow_caller(run: CellRun) -> None:
    """Does nothing: the callers are slow from the start."""


@register_injector("caller-retries")
async def _duplicate_requests(run: CellRun) -> None:
    for caller in run.callers:
        caller.duplicate()


@register_injector("burst")
async def _send_burst(run: CellRun) -> None:
    for number in range(5 * SLOTS * len(TARGETS)):
        mode = run.modes[number % len(run.modes)]
        spec = RequestSpec(f"{run.token}-burst{number}", mode, "POST", 0.05, 0, 0.0, b"", 10.0)
        run.start_background_caller(
            spec._replace(method="GET") if mode == "plain" else spec, number
        )


@register_injector("configuration")
async def _publish_configuration(run: CellRun) -> None:
    member = MEMBERS[1]
    url = f"{run.deployment.get_address(member, 'operator')}/v1/operator/configuration"
    _, current = await run.deployment.call("GET", url)
    waiting = 256 + (current["version"] + 1) % 2
    document = DOCUMENT | {"pools": DOCUMENT["pools"] | {"booking": {"max_waiting": waiting}}}
    body = {"base_version": current["version"], "document": document, "author": "matrix"}
    run.spawn(run.deployment.operate(member, "configuration", **body))


@register_injector("target-drain")
async def _drain_target(run: CellRun) -> None:
    run.spawn(run.deployment.operate(MEMBERS[1], f"hosts/{run.target}/drain"))
    run.spawn(_send_trickle(run))


async def _send_trickle(run: CellRun) -> None:
    """Sends requests beyond the time after which a draining target must get no more of them."""
    for number in range(int(TRICKLE_DURATION_S / 0.1)):
        spec = RequestSpec(f"{run.token}-trickle{number}", "plain", "GET", 0.01, 0, 0.0, b"", 10.0)
        run.start_background_caller(spec, number)
        await asyncio.sleep(0.1)


def create_sync_point(stage: str) -> SyncPoint:
    """Returns a sync point at a stage; without a stage it is already released."""
    sync_point = SyncPoint(stage)
    if not stage:
        sync_point.released.set()
    return sync_point
