"""Steps that run random interleavings of displaced tasks and owners on full workers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import os

from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from restart_scenarios import has_long, remove, submit_long
from restart_watch import RESTART_LIMIT_S
from virtual_time import play
from worker_model import WORKER_CORES, World

from carawayshore.workflows.model import TaskName

WORKER_COUNT = 6
MAX_WORKERS = 14
RACKS = ("r1-1", "r2-1")
WORKERS = tuple(f"w{number}" for number in range(WORKER_COUNT))
SHORT_CORES, TASKS_PER_SHORT_JOB = 2, 6
OVERLOAD = 2.5
FILL_S = 3.0
# Time after the steps in which the last calm time is judged under load, and time in which the work
# that remains is done.
LOADED_S, SETTLE_S = 14.0, 90.0
CHECK_S = 0.5
# Bound of one play in virtual seconds.
PLAY_LIMIT_S = 400.0
# Time within which an owner notices that a worker does not answer, and records it.
NOTICE_S = 1.2
# Time before the end of a notice within which a drained worker's tasks have been stopped.
STOPPED_BEFORE_END_S = 0.6
CORDON_S = 300.0

# Play of a worker that refuses every start.
SHORT_S, LONG_CORES, REFUSING_S = 12.0, 4, 12.0

WAITS = st.sampled_from([0.0, 0.05, 0.4, 1.0, 2.5, 6.0, 10.0])
POSITION = st.integers(0, 3)
WORKER = st.sampled_from(WORKERS)
LIMITS = st.sampled_from(
    [
        {},
        {"most_away": 1},
        {"most_away": 2},
        {"gang": True},
        {"gang": True, "most_away": 1},
        {"most_per_worker": 1},
        {"most_per_worker": 2, "most_away": 1},
        {"label": "r1-1"},
        {"label": "r2-1", "most_away": 2},
    ]
)
LONG_JOB = st.one_of(
    st.tuples(st.just(4), st.integers(1, 4), LIMITS),
    st.tuples(st.sampled_from([1, 2, 3]), st.integers(2, 5), LIMITS),
    st.tuples(st.sampled_from([6, 8, 11]), st.integers(1, 2), LIMITS),
)
SHORT_SECONDS = st.sampled_from([(12.0,), (6.0,), (0.3, 2.0, 12.0), (1.0, 12.0), (3.0, 0.3)])


def _list_hosts(world: World) -> list:
    """Returns the workers with long-running tasks that are in service, the fullest first."""
    hosts = [
        worker
        for worker in world.workers.values()
        if has_long(world, worker) and worker.state == "ready" and worker.name not in world.cordoned
    ]
    return sorted(hosts, key=lambda worker: -len(worker.runs))


async def _submit_long(world: World, cores, tasks, limits) -> None:
    await submit_long(world, cores, tasks, **limits)


async def _drain(world: World, index, count) -> None:
    for worker in _list_hosts(world)[index : index + count]:
        worker.drain()


async def _cordon(world: World, index, count) -> None:
    for worker in _list_hosts(world)[index : index + count]:
        await world.cordon(worker.name, CORDON_S)


async def _uncordon(world: World) -> None:
    for name in sorted(world.cordoned):
        await world.current.owner.uncordon(name)
    world.cordoned.clear()


async def _lose(world: World, index) -> None:
    for worker in _list_hosts(world)[index : index + 1]:
        remove(world, worker)


async def _add(world: World) -> None:
    if len(world.workers) < MAX_WORKERS:
        name = f"w{len(world.workers)}"
        world.add_worker(name, ("a", RACKS[len(world.workers) % len(RACKS)]))


async def _set_link(world: World, name, kind) -> None:
    world.links[name] = kind


async def _cancel(world: World, number) -> None:
    long = [name for name in world.accepted if world.steps[name].long_running]
    if long:
        await world.cancel(world.accepted.index(long[number % len(long)]))


async def _wait_for_notice(world: World) -> None:
    """Waits until the owner has noticed the end of each worker that has gone with runs.

    Otherwise the next owner waits for the leases that it has to expect (see ``KNOWN-RED.txt``, a
    worker and the owner of its tasks are killed at once).
    """
    latest = max(worker.ended_at for worker in world.workers.values())
    await asyncio.sleep(max(0.0, latest + NOTICE_S - world.now()))


async def _hand_over(world: World) -> None:
    await _wait_for_notice(world)
    await world.hand_over()


async def _take_over(world: World, count, interval) -> None:
    await _wait_for_notice(world)
    for _ in range(count):
        await world.take_over()
        await asyncio.sleep(interval)


async def _kill_owner(world: World) -> None:
    draining = [item for item in world.workers.values() if item.state == "draining"]
    ends = [item._leaves_at for item in draining if not item.gone]
    if ends:
        await asyncio.sleep(max(0.0, max(ends) - STOPPED_BEFORE_END_S - world.now()))
    await _wait_for_notice(world)
    await world.kill_owner()


ACTIONS = {
    "submit long": _submit_long,
    "drain": _drain,
    "cordon": _cordon,
    "uncordon": _uncordon,
    "lose": _lose,
    "add": _add,
    "link": _set_link,
    "cancel": _cancel,
    "hand over": _hand_over,
    "take over": _take_over,
    "kill owner": _kill_owner,
}


def _build_step(name: str, *arguments):
    return st.tuples(st.just(name), st.tuples(*arguments))


STEP = st.one_of(
    _build_step("drain", POSITION, st.integers(1, 3)),
    _build_step("drain", st.just(0), st.integers(1, 2)),
    _build_step("cordon", POSITION, st.integers(1, 3)),
    _build_step("uncordon"),
    _build_step("lose", POSITION),
    _build_step("add"),
    _build_step("add"),
    _build_step("link", WORKER, st.sampled_from(["", "", "cut", "slow"])),
    _build_step("cancel", POSITION),
    LONG_JOB.map(lambda job: ("submit long", job)),
    _build_step("hand over"),
    _build_step("take over", st.integers(1, 4), st.sampled_from([0.0, 0.4, 1.5, 2.5])),
    _build_step("kill owner"),
)
STEPS = st.lists(st.tuples(STEP, WAITS), min_size=2, max_size=9)
JOBS = st.lists(LONG_JOB, min_size=1, max_size=4)
STOP_SECONDS = st.sampled_from([0.05, 0.3])


async def _submit_short(world: World, durations: tuple[float, ...]) -> None:
    """Submits short tasks without end, at a multiple of the capacity that there was first."""
    mean = sum(durations) / len(durations)
    work = TASKS_PER_SHORT_JOB * SHORT_CORES * mean
    interval = work / (OVERLOAD * sum(worker.cores for worker in world.workers.values()))
    for seconds in itertools.cycle(durations):
        await world.submit(SHORT_CORES, TASKS_PER_SHORT_JOB, seconds)
        await asyncio.sleep(interval)


def _list_remaining(world: World) -> list[str]:
    """Returns the tasks that are not at work and should be, and the reverse."""
    running = {task for worker in world.workers.values() for task in worker.runs}
    found = [f"LOST: {task} is not at work" for task in world.restarts.absences]
    found += [
        f"{task} is at work, its job is cancelled" for task in running if _is_over(world, task)
    ]
    return found


def _is_over(world: World, task: TaskName) -> bool:
    return task.workflow in world.cancelled


def _count_late_workers(world: World) -> int:
    """Returns how many workers have room for all long-running tasks, and as many again."""
    cores = sum(
        world.jobs[name][0] * world.steps[name].count
        for name in world.accepted
        if world.steps[name].long_running and name not in world.cancelled
    )
    return 2 * math.ceil(cores / WORKER_CORES) + len(RACKS)


async def _settle(world: World) -> list[str]:
    """Ends all disturbances and returns what does not come to its end in time."""
    world.links = dict.fromkeys(world.links, "")
    await _uncordon(world)
    for number in range(_count_late_workers(world)):
        world.add_worker(f"late{number}", ("a", RACKS[number % len(RACKS)]))
    end = world.now() + SETTLE_S
    found = ["not looked at"]
    while found and world.now() < end:
        await asyncio.sleep(CHECK_S)
        found = await world.list_unfinished(allow_giving_up=True) + _list_remaining(world)
    return found


async def _interleave(jobs, durations, stop_seconds, steps) -> list[str]:
    world = World(0, stop_seconds)
    world.draining_go_on = True
    for number, name in enumerate(WORKERS):
        world.add_worker(name, ("a", RACKS[number % len(RACKS)]))
    submitting = None
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for job in jobs:
            await _submit_long(world, *job)
        await asyncio.sleep(1.0)
        submitting = asyncio.ensure_future(_submit_short(world, durations))
        await asyncio.sleep(FILL_S)
        for (name, arguments), wait in steps:
            await ACTIONS[name](world, *arguments)
            await asyncio.sleep(wait)
        world.links = dict.fromkeys(world.links, "")
        await asyncio.sleep(LOADED_S)
        submitting.cancel()
        unfinished = await _settle(world)
        return world.violations + world.restarts.overdue_beside_short + unfinished
    finally:
        if submitting is not None:
            submitting.cancel()
        await world.close()


def run_interleaving(jobs, durations, stop_seconds, steps) -> list[str]:
    """Runs the steps in virtual time and returns the violations of promises."""
    return play(asyncio.wait_for(_interleave(jobs, durations, stop_seconds, steps), PLAY_LIMIT_S))


def find_violation(examples: int, first_seed: int) -> tuple | None:
    """Returns the shortest steps found that break a promise, or None."""
    found = []

    @seed(first_seed)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(JOBS, SHORT_SECONDS, STOP_SECONDS, STEPS)
    def check(jobs, durations, stop_seconds, steps):
        violations = run_interleaving(jobs, durations, stop_seconds, steps)
        if violations:
            found.append(((jobs, durations, stop_seconds, steps), violations))

    with contextlib.suppress(AssertionError):
        check()
    return min(found, key=lambda item: len(item[0][-1])) if found else None


async def _start_beside_refusals(tasks: int, reason: str) -> World:
    world = World(4, 0.05)
    submitting = None
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        world.refusals["w3"] = reason
        submitting = asyncio.ensure_future(_submit_short(world, (SHORT_S,)))
        await asyncio.sleep(FILL_S)
        await submit_long(world, LONG_CORES, tasks)
        await asyncio.sleep(REFUSING_S)
        return world
    finally:
        submitting.cancel()
        await world.close()


@when(
    "a long-running job of {tasks:d} tasks starts while 3 workers are full of short tasks and one"
    ' refuses each start with "{reason}"'
)
def start_beside_refusals(context, tasks, reason):
    context.world = play(asyncio.wait_for(_start_beside_refusals(tasks, reason), PLAY_LIMIT_S))


@then("each of the {tasks:d} tasks runs within 6 s, in room that short runs have left")
def expect_started(context, tasks):
    restarts = context.world.restarts
    violations = context.world.violations + restarts.overdue_beside_short
    assert not violations, (violations, restarts.longest)
    assert not restarts.absences, restarts.absences
    assert len(restarts.longest) == tasks, restarts.longest
    assert max(restarts.longest.values()) <= RESTART_LIMIT_S, restarts.longest


@when("{examples:d} random interleavings of displaced tasks and owners run with seed {number:d}")
def run_examples(context, examples, number):
    examples = int(os.environ.get("DISPLACED_TASK_EXAMPLES", examples))
    number = int(os.environ.get("DISPLACED_TASK_SEED", number))
    print(f"seed {number}, {examples} examples")
    context.violation = find_violation(examples, number)


@then("each displaced task ran again in time and no owner broke a promise")
def expect_no_violation(context):
    assert context.violation is None, context.violation
