"""Steps that run random interleavings of owners, workers and their links."""

from __future__ import annotations

import asyncio
import contextlib

import looptime
from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from worker_model import World

SETTLE_SECONDS = 45.0
WORKERS = ("w0", "w1", "w2")

WAITS = st.sampled_from([0.0, 0.01, 0.05, 0.3, 1.0, 2.5, 6.0])
worker = st.sampled_from(WORKERS)
number = st.integers(0, 20)
STEP = st.one_of(
    st.tuples(st.just("submit"), st.integers(1, 10), st.sampled_from([0.2, 1.0, 4.0])),
    st.tuples(st.just("submit"), st.integers(4, 10), st.sampled_from([1.0, 4.0])),
    st.tuples(st.just("cancel"), number, st.just(0)),
    st.tuples(st.just("take_over"), st.just(0), st.just(0)),
    st.tuples(st.just("bounce"), st.sampled_from([0.0, 0.02, 0.05, 0.3]), st.just(0)),
    st.tuples(st.just("link"), worker, st.sampled_from(["", "cut", "late", "lost", "refused"])),
    st.tuples(st.just("store"), st.just(0), st.sampled_from(["", "cut"])),
    st.tuples(st.just("jump"), st.just(0), st.sampled_from([-3600.0, -9.0, 9.0, 3600.0])),
    st.tuples(st.just("resize"), worker, st.sampled_from([2, 6, 12, 16])),
    st.tuples(st.just("unhear"), worker, st.just(0)),
    st.tuples(st.just("hear"), worker, st.just(0)),
    st.tuples(st.just("restart"), worker, st.sampled_from([2, 6, 12, 16])),
    st.tuples(st.just("leave"), worker, st.just(0)),
    st.tuples(st.just("unlist"), worker, st.just(0)),
    st.tuples(st.just("list"), worker, st.just(0)),
)
SHORT_WAITS = st.sampled_from([0.0, 0.01, 0.05, 0.3])


@st.composite
def build_cancel_at_takeover(draw):
    """Builds a job that is cancelled right after a takeover, and work that wants its room."""
    work = ("submit", draw(st.integers(5, 10)), 4.0)
    take_over, cancel = ("take_over", 0, 0), ("cancel", -1, 0)
    return [
        (work, 0.3), (take_over, 0.0), (cancel, draw(SHORT_WAITS)), (work, 0.0), (work, 1.0)
    ]  # fmt: skip


@st.composite
def build_bounce(draw):
    """Builds tasks whose ends are reported while the partition is elsewhere and comes back."""
    work = ("submit", draw(st.integers(1, 6)), draw(st.sampled_from([0.2, 1.0])))
    bounce = ("bounce", draw(st.sampled_from([0.0, 0.02, 0.05, 0.3])), 0)
    cancel = ("cancel", draw(number), 0)
    return [
        (work, draw(st.sampled_from([0.15, 0.25, 0.9, 1.0]))),
        (draw(st.sampled_from([work, cancel])), 0.0),
        (bounce, draw(SHORT_WAITS)),
        (work, 0.3),
    ]


@st.composite
def build_smaller_restart(draw):
    """Builds a worker that starts again with another size, and work that arrives then."""
    restart = ("restart", draw(worker), draw(st.sampled_from([2, 6])))
    work = ("submit", draw(st.integers(1, 5)), 1.0)
    return [(restart, draw(st.sampled_from([1.3, 1.35, 1.6, 2.2]))), (work, 0.0), (work, 0.3)]


@st.composite
def build_shrink(draw):
    """Builds a full worker that shrinks, heard or not, and work that arrives afterwards."""
    name, work = draw(worker), (
        "submit",
        draw(st.integers(2, 6)),
        draw(st.sampled_from([0.2, 4.0])),
    )
    unheard = [(("unhear", name, 0), draw(WAITS))] if draw(st.booleans()) else []
    shrink = (("resize", name, draw(st.sampled_from([1, 2, 6]))), draw(WAITS))
    later = [(work, wait) for wait in (2.5, 2.5, 1.0, 1.0, 0.3)]
    return [(work, 0.3), *unheard, shrink, *later, (("hear", name, 0), 0.0)]


@st.composite
def build_takeover_without_links(draw):
    """Builds a takeover by an owner that cannot reach the workers on which tasks run."""
    work, cut = ("submit", draw(st.integers(2, 8)), 4.0), draw(
        st.sampled_from(["cut", "late", "refused"])
    )
    cuts = [(("link", name, cut), 0.0) for name in draw(st.permutations(WORKERS))[:2]]
    return [(work, 0.3), *cuts, (("take_over", 0, 0), draw(st.sampled_from([2.5, 6.0])))]


STEPS = st.lists(
    st.one_of(
        st.lists(st.tuples(STEP, WAITS), min_size=1, max_size=6),
        build_cancel_at_takeover(),
        build_bounce(),
        build_smaller_restart(),
        build_shrink(),
        build_takeover_without_links(),
    ),
    min_size=2,
    max_size=6,
).map(lambda parts: [step for part in parts for step in part])


async def _act(world: World, kind: str, first, second) -> None:
    if kind == "submit":
        await world.submit(first, 1 + first % 3, second)
    elif kind == "cancel":
        await world.cancel(first)
    elif kind == "take_over":
        await world.take_over()
    elif kind == "bounce":
        await world.bounce(first)
    elif kind == "link":
        world.links[first] = second
    elif kind == "store":
        world.links["store"] = second
    elif kind == "jump":
        world.current.clock.jump_seconds += second
    elif kind == "resize":
        world.workers[first].resize(second)
    elif kind == "unhear":
        world.unheard.add(first)
    elif kind == "hear":
        world.unheard.discard(first)
    elif kind == "restart":
        world.workers[first].restart(second)
    elif kind == "leave":
        world.workers[first].leave()
        world.unlisted.add(first)
    elif kind == "unlist":
        world.unlisted.add(first)
    elif kind == "list":
        world.unlisted.discard(first)


async def _interleave(steps, stop_seconds: float) -> list[str]:
    world = World(len(WORKERS), stop_seconds)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        for (kind, first, second), wait in steps:
            await _act(world, kind, first, second)
            await asyncio.sleep(wait)
        world.links = dict.fromkeys(world.links, "")
        world.unlisted.clear()
        world.unheard.clear()
        for item in world.workers.values():
            item.restart(16)
        await asyncio.sleep(SETTLE_SECONDS)
        return world.violations + await world.list_unfinished(allow_giving_up=True)
    finally:
        await world.close()


def run_interleaving(steps, stop_seconds: float) -> list[str]:
    """Runs the steps in virtual time and returns the violations of promises."""
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        return loop.run_until_complete(_interleave(steps, stop_seconds))
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
    @given(STEPS, st.sampled_from([0.05, 0.9]))
    def check(steps, stop_seconds):
        violations = run_interleaving(steps, stop_seconds)
        if violations:
            found.append((steps, stop_seconds, violations))

    with contextlib.suppress(AssertionError):
        check()
    return min(found, key=lambda item: len(item[0])) if found else None


@when("{examples:d} random interleavings of owners and workers run with seed {first_seed:d}")
def run_examples(context, examples, first_seed):
    print(f"seed {first_seed}")
    context.violation = find_violation(examples, first_seed)


@then("the owners kept every promise")
def expect_no_violation(context):
    assert context.violation is None, context.violation
