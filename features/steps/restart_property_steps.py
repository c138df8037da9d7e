"""Steps that run random interleavings of what may keep long-running tasks from starting."""

from __future__ import annotations

import asyncio
import contextlib

import looptime
from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from restart_scenarios import AdviceConfig, list_busy, remove, submit_long
from worker_model import DRAIN_S, World

SETTLE_SECONDS = 25.0
WORKER_COUNT = 5
WORKERS = tuple(f"w{number}" for number in range(WORKER_COUNT))
STOP_S = 0.05
# Time within which an owner notices that a worker does not answer, and records it.
NOTICE_S = 1.2

WAITS = st.sampled_from([0.0, 0.05, 0.4, 1.0, 2.5, 6.0])
worker = st.sampled_from(WORKERS)
position = st.integers(0, 2)
LIMITS = st.sampled_from(
    [
        {},
        {"most_per_worker": 1},
        {"most_away": 1},
        {"same_rack": True},
        {"label": "a"},
        {"gang": True},
        {"best_effort": True},
        {"latency_target_ms": 50},
        {"advice": AdviceConfig(100, 5, 60_000)},
        {"most_per_worker": 1, "advice": AdviceConfig(100, 5, 60_000)},
    ]
)
ACTIONS = {}


def action(name: str):
    """Registers an action on the world under the name that the steps use."""

    def register(function):
        ACTIONS[name] = function
        return function

    return register


@action("submit long")
async def submit_long_running(world, cores, tasks, limits):
    await submit_long(world, cores, tasks, **limits)


@action("submit short")
async def submit_short_job(world, cores, tasks, seconds):
    await world.submit(cores, tasks, seconds)


@action("lose")
async def lose_worker(world, index):
    for item in list_busy(world)[index : index + 1]:
        remove(world, item)


@action("crash")
async def crash_worker(world, index):
    for item in list_busy(world)[index : index + 1]:
        item.crash()


@action("drain")
async def drain_worker(world, index):
    for item in list_busy(world)[index : index + 1]:
        item.drain()


@action("add")
async def add_worker(world, _):
    world.add_worker(f"new{len(world.workers)}", ("a", "r2-1"))


@action("cordon")
async def cordon_worker(world, index):
    for item in list_busy(world)[index : index + 1]:
        await world.cordon(item.name)


@action("uncordon")
async def uncordon_workers(world, _):
    for name in sorted(world.cordoned):
        await world.current.owner.uncordon(name)
    world.cordoned.clear()


async def wait_for_notice(world) -> None:
    """Waits until the owner has noticed the ends of all workers.

    Otherwise the next owner waits for the leases that it has to expect (see ``KNOWN-RED.txt``, a
    worker and the owner of its tasks are killed at once).
    """
    workers = world.workers.values()
    latest = max(item.ended_at for item in workers)
    if any(item.state == "draining" and not item.gone for item in workers):
        latest = world.now() + DRAIN_S
    await asyncio.sleep(max(0.0, latest + NOTICE_S - world.now()))


@action("hand over")
async def hand_over(world, _):
    await wait_for_notice(world)
    await world.hand_over()


@action("take over")
async def take_over(world, _):
    await wait_for_notice(world)
    await world.take_over()


@action("refuse")
async def refuse_starts(world, name, reason):
    world.refusals[name] = reason


@action("accept")
async def accept_starts(world, name):
    world.refusals.pop(name, None)


@action("link")
async def set_link(world, name, kind):
    world.links[name] = kind


@action("unhear")
async def ignore_entries(world, name):
    world.unheard.add(name)


@action("hear")
async def read_entries(world, name):
    world.unheard.discard(name)


@action("resize")
async def resize_worker(world, name, cores):
    world.workers[name].resize(cores)


def build_step(name: str, *arguments):
    return st.tuples(st.just(name), st.tuples(*arguments))


STEP = st.one_of(
    build_step("submit long", st.integers(1, 11), st.integers(1, 6), LIMITS),
    build_step("submit long", st.integers(1, 4), st.integers(3, 12), LIMITS),
    build_step(
        "submit short", st.integers(1, 6), st.integers(4, 30), st.sampled_from([0.5, 2.0, 8.0])
    ),
    build_step("lose", position),
    build_step("crash", position),
    build_step("drain", position),
    build_step("add", st.just(0)),
    build_step("cordon", position),
    build_step("uncordon", st.just(0)),
    build_step("hand over", st.just(0)),
    build_step("take over", st.just(0)),
    build_step("refuse", worker, st.sampled_from(["full", "status 429", "superseded"])),
    build_step("accept", worker),
    build_step("link", worker, st.sampled_from(["", "", "cut", "late", "lost", "refused"])),
    build_step("unhear", worker),
    build_step("hear", worker),
    build_step("resize", worker, st.sampled_from([6, 12, 16])),
)
STEPS = st.lists(st.tuples(STEP, WAITS), min_size=4, max_size=16)


async def _interleave(steps) -> list[str]:
    world = World(WORKER_COUNT, STOP_S)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for (name, arguments), wait in steps:
            await ACTIONS[name](world, *arguments)
            await asyncio.sleep(wait)
        world.links = dict.fromkeys(world.links, "")
        world.unheard.clear()
        world.refusals.clear()
        await asyncio.sleep(SETTLE_SECONDS)
        return world.violations
    finally:
        await world.close()


def run_interleaving(steps) -> list[str]:
    """Runs the steps in virtual time and returns the violations of promises."""
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        return loop.run_until_complete(_interleave(steps))
    finally:
        loop.close()


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
    @given(STEPS)
    def check(steps):
        violations = run_interleaving(steps)
        if violations:
            found.append((steps, violations))

    with contextlib.suppress(AssertionError):
        check()
    return min(found, key=lambda item: len(item[0])) if found else None


@when("{examples:d} random interleavings of reasons to wait run with seed {first_seed:d}")
def run_examples(context, examples, first_seed):
    context.violation = find_violation(examples, first_seed)


@then("no long-running task was kept from starting")
def expect_no_violation(context):
    assert context.violation is None, context.violation
