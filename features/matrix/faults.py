"""How each fault of the table begins."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from matrix.caller import Hold, Wire
from matrix.deployment import DOCUMENT, MEMBERS, SLOTS, TARGETS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from matrix.cell import CellRun

PAUSE_SECONDS = 2.5  # Beyond the lifetime of a loan and the silence after which a peer is lost.
STOP_LIMIT_S = 25.0
TRICKLE_SECONDS = 4.0
SHORT_DEADLINE_S = 1.0
_injectors: dict[str, Callable[[CellRun], Awaitable[None]]] = {}
# Faults that the target applies when it starts a run, so they are set before a request is placed.
EARLY = ("target-slow", "straggler", "declared-wrong")
# Faults that begin with a call to the target.
CONTROLLED = ("target-fails", "target-refuses", "silent", "late", "answers-lost")


def injects(name: str):
    def register(function):
        _injectors[name] = function
        return function

    return register


async def inject(run: CellRun, name: str) -> None:
    """Begins the fault ``name``; returns when it is in force."""
    run.moments[name] = run.clock.now()
    await _injectors[name](run)


@injects("entry-killed")
async def _kill_entry(run: CellRun) -> None:
    await run.deployment.kill(MEMBERS[0])


@injects("entry-paused")
async def _pause_entry(run: CellRun) -> None:
    run.deployment.pause(MEMBERS[0])
    run.spawn(_resume_entry(run))


async def _resume_entry(run: CellRun) -> None:
    await asyncio.sleep(PAUSE_SECONDS)
    if run.deployment.processes[MEMBERS[0]].is_running():
        run.deployment.resume(MEMBERS[0])


@injects("cut-log")
async def _cut_log(run: CellRun) -> None:
    await run.deployment.add_fault("log", drop_listeners=[MEMBERS[0]])


@injects("cut-peers")
async def _cut_peers(run: CellRun) -> None:
    for relay in run.deployment.relays:
        relay.cut = relay.cut or MEMBERS[0] in relay.ends


@injects("cut-both")
async def _cut_both(run: CellRun) -> None:
    await _cut_log(run)
    await _cut_peers(run)


@injects("planned-stop")
async def _stop_entry(run: CellRun) -> None:
    run.spawn(_await_stop(run))
    await asyncio.sleep(0)


async def _await_stop(run: CellRun) -> None:
    run.stop_status = await run.deployment.stop(MEMBERS[0])


@injects("log-down")
async def _stop_log(run: CellRun) -> None:
    await run.deployment.add_fault("log", outage=True)


@injects("log-slow")
async def _slow_log(run: CellRun) -> None:
    await run.deployment.add_fault("log", slow=1.0)


@injects("log-answers-lost")
async def _lose_log_answers(run: CellRun) -> None:
    await run.deployment.add_fault("log", lose_answers_share=0.5, seed=run.seed)


@injects("hostlist-stale")
async def _freeze_hostlist(run: CellRun) -> None:
    await run.deployment.add_fault("hostlist", stale=True)


@injects("hostlist-down")
async def _stop_hostlist(run: CellRun) -> None:
    await run.deployment.add_fault("hostlist", outage=True)


@injects("target-killed")
async def _kill_target(run: CellRun) -> None:
    await run.deployment.kill(run.target)


@injects("target-paused")
async def _pause_target(run: CellRun) -> None:
    run.paused_targets.add(run.target)
    run.deployment.pause(run.target)


@injects("target-slow")
async def _slow_target(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, slow=1.5)


@injects("target-fails")
async def _fail_target(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, fail_all=True)


@injects("target-refuses")
async def _drain_worker(run: CellRun) -> None:
    url = f"{run.deployment.get_address(run.target)}/v1/control/drain"
    await run.deployment.call("POST", url)


@injects("silent")
async def _silence(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, silent=True)


@injects("late")
async def _delay_answers(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, late_share=1.0, late_seconds=2.5, reorder=2)


@injects("answers-lost")
async def _lose_answers(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, lose_answers_share=1.0)


@injects("straggler")
async def _straggle(run: CellRun) -> None:
    await run.deployment.add_fault(run.target, straggle_share=1.0, straggle_factor=8.0)


@injects("declared-wrong")
async def _declare_wrong(run: CellRun) -> None:
    """The requests carry the wrong size already."""


@injects("deadline-passes")
async def _pass_deadline(run: CellRun) -> None:
    await asyncio.sleep(SHORT_DEADLINE_S + 0.2)


@injects("caller-gone")
async def _leave(run: CellRun) -> None:
    for talk in run.talks:
        talk.leave()


@injects("caller-slow")
async def _slow_caller(run: CellRun) -> None:
    """The callers are slow from the start."""


@injects("caller-retries")
async def _duplicate(run: CellRun) -> None:
    for talk in run.talks:
        talk.duplicate()


@injects("burst")
async def _burst(run: CellRun) -> None:
    for number in range(5 * SLOTS * len(TARGETS)):
        mode = run.modes[number % len(run.modes)]
        wire = Wire(f"{run.token}-burst{number}", mode, "POST", 0.05, 0, 0.0, b"", 10.0)
        run.start_other(wire._replace(method="GET") if mode == "plain" else wire, number)


@injects("configuration")
async def _publish(run: CellRun) -> None:
    member = MEMBERS[1]
    url = f"{run.deployment.get_address(member, 'operator')}/v1/operator/configuration"
    _, current = await run.deployment.call("GET", url)
    waiting = 256 + (current["version"] + 1) % 2
    document = DOCUMENT | {"pools": DOCUMENT["pools"] | {"booking": {"max_waiting": waiting}}}
    body = {"base_version": current["version"], "document": document, "author": "matrix"}
    run.spawn(run.deployment.operate(member, "configuration", **body))


@injects("target-drain")
async def _drain_target(run: CellRun) -> None:
    run.spawn(run.deployment.operate(MEMBERS[1], f"hosts/{run.target}/drain"))
    run.spawn(_trickle(run))


async def _trickle(run: CellRun) -> None:
    """Sends requests for longer than the time within which a draining target must be left alone."""
    for number in range(int(TRICKLE_SECONDS / 0.1)):
        wire = Wire(f"{run.token}-trickle{number}", "plain", "GET", 0.01, 0, 0.0, b"", 10.0)
        run.start_other(wire, number)
        await asyncio.sleep(0.1)


def start_hold(stage: str) -> Hold:
    """Returns a hold at a stage; one without a stage is released from the start."""
    hold = Hold(stage)
    if not stage:
        hold.released.set()
    return hold
