"""Reasons for which a long-running task may have to wait, each kept up for 30 s in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from carawayshore.workflows.model import AdviceConfig

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from worker_model import ModelWorker, World

PLAY_S = 30.0
LONG_S = 1_000.0
WORKER_CORES = 12
SHORT_S = 2.0
# Age from which the end of a run does not count against its worker.
SETTLED_S = 5.0
OVERLOAD = 5
TASKS_PER_SHORT_JOB = 12

SCENARIOS: dict[str, Callable[[World], Awaitable[None]]] = {}


def scenario(text: str) -> Callable:
    """Registers a scenario under the words of the feature."""

    def register(play: Callable) -> Callable:
        SCENARIOS[text] = play
        return play

    return register


async def submit_long(world: World, cores: int, tasks: int, **step) -> str:
    return await world.submit(cores, tasks, LONG_S, long_running=True, **step)


def list_busy(world: World) -> list[ModelWorker]:
    """Returns the workers with runs, the fullest first."""
    busy = [worker for worker in world.workers.values() if worker.runs]
    return sorted(busy, key=lambda worker: -len(worker.runs))


def remove(world: World, worker: ModelWorker) -> None:
    """Ends a worker for good; its entry expires."""
    worker.leave()
    loop = asyncio.get_running_loop()
    loop.call_later(4.5, world.unlisted.add, worker.name)


async def submit_short(world: World, cores: int, seconds: float, overload: float) -> None:
    """Submits short tasks without end, at a multiple of the capacity of all workers."""
    capacity = sum(worker.cores for worker in world.workers.values())
    interval = TASKS_PER_SHORT_JOB * cores * seconds / (overload * capacity)
    while True:
        await world.submit(cores, TASKS_PER_SHORT_JOB, seconds)
        await asyncio.sleep(interval)


@contextlib.asynccontextmanager
async def overload_workers(world: World, cores: int, seconds: float = SHORT_S):
    submitting = asyncio.ensure_future(submit_short(world, cores, seconds, OVERLOAD))
    await asyncio.sleep(3.0)
    try:
        yield
    finally:
        submitting.cancel()


async def lose_siblings(world: World) -> ModelWorker:
    """Starts 19 tasks of one job; returns the worker with the 7 that did not fit on the first."""
    await submit_long(world, 1, 19)
    await asyncio.sleep(2.0)
    busy = list_busy(world)
    assert [len(worker.runs) for worker in busy] == [12, 7], busy
    return busy[1]


@scenario("a worker with 7 tasks of a job is gone for good, and another one is full of the others")
async def play_gone(world: World) -> None:
    remove(world, await lose_siblings(world))
    await asyncio.sleep(PLAY_S)


@scenario("a worker with 7 tasks of a job returns under a new name, and another one is full")
async def play_renamed(world: World) -> None:
    (await lose_siblings(world)).crash()
    await asyncio.sleep(PLAY_S)


@scenario("owners hand over every 0.4 s after a worker is gone for good")
async def play_handovers(world: World) -> None:
    remove(world, await lose_siblings(world))
    end = world.now() + PLAY_S
    while world.now() < end:
        await asyncio.sleep(0.4)
        await world.hand_over()


@scenario("owners are replaced every 0.4 s after a worker is gone for good")
async def play_takeovers(world: World) -> None:
    remove(world, await lose_siblings(world))
    end = world.now() + PLAY_S
    while world.now() < end:
        await asyncio.sleep(0.4)
        await world.take_over()


@scenario("owners are killed every 4 s after a worker is gone for good")
async def play_killed_owners(world: World) -> None:
    remove(world, await lose_siblings(world))
    end = world.now() + PLAY_S
    while world.now() < end:
        await asyncio.sleep(2.3)
        await world.kill_owner()


@scenario("workers leave in order while owners hand over")
async def play_leave_at_handover(world: World) -> None:
    await submit_long(world, 5, 8)
    for number in range(4):
        await asyncio.sleep(PLAY_S / 5)
        list_busy(world)[0].drain()
        world.add_worker(f"new{number}")
        await asyncio.sleep(0.02)
        await world.hand_over()
    await asyncio.sleep(PLAY_S / 5)


@scenario("workers leave in order while owners are killed")
async def play_leave_at_kill(world: World) -> None:
    await submit_long(world, 5, 8)
    for number in range(3):
        await asyncio.sleep(2.0)
        list_busy(world)[0].drain()
        world.add_worker(f"new{number}")
        await world.kill_owner()
        await asyncio.sleep(PLAY_S / 3)


@scenario("a worker and the owner are killed at once")
async def play_both_killed(world: World) -> None:
    remove(world, await lose_siblings(world))
    await world.kill_owner()
    await asyncio.sleep(PLAY_S)


@scenario("the owner hands over 1 s after a worker is gone for good")
async def play_gone_before_handover(world: World) -> None:
    remove(world, await lose_siblings(world))
    await asyncio.sleep(1.0)
    await world.hand_over()
    await asyncio.sleep(PLAY_S)


@scenario("a former owner goes on renewing leases of a worker that the next two do not reach")
async def play_cut_off_owner(world: World) -> None:
    await submit_long(world, 2, 4)
    await asyncio.sleep(2.0)
    busy = list_busy(world)[0].name
    former = world.current
    former.cut.update(world.workers.keys() - {busy})
    for _ in range(2):
        await world.take_over(stop_former=world.current is not former)
        world.current.cut.add(busy)
        await asyncio.sleep(2.0)
    await asyncio.sleep(PLAY_S)


@scenario("the pool gives away one worker after the other and gets new ones")
async def play_pool(world: World) -> None:
    await submit_long(world, 5, 6)
    await submit_long(world, 1, 6, most_per_worker=1)
    for number in range(15):
        await asyncio.sleep(2.0)
        world.add_worker(f"new{number}")
        await asyncio.sleep(0.2)
        list_busy(world)[number % 2].drain()


@scenario("workers are cordoned and removed for upkeep one after the other")
async def play_upkeep(world: World) -> None:
    await submit_long(world, 5, 6, most_away=1)
    for _ in range(3):
        await asyncio.sleep(2.0)
        worker = list_busy(world)[0]
        await world.cordon(worker.name)
        await asyncio.sleep(6.0)
        worker.drain()
        await asyncio.sleep(4.0)
        world.unlisted.discard(worker.name)
        world.cordoned.discard(worker.name)
        worker.state = "ready"
        worker._start_again(WORKER_CORES, worker.born)
        await world.current.owner.uncordon(worker.name)


@scenario("the entries of all workers but one in turn are out of date")
async def play_unheard(world: World) -> None:
    await submit_long(world, 3, 6)
    await asyncio.sleep(2.0)
    remove(world, list_busy(world)[-1])
    names = [item.name for item in world.workers.values() if not item.runs and not item.gone]
    for number in range(5):
        world.unheard = set(world.workers) - {names[number % len(names)]}
        await asyncio.sleep(PLAY_S / 5)
    world.unheard.clear()


def register_refusals(reason: str, count: int) -> None:
    @scenario(f"{count} workers with room refuse every start with {reason}")
    async def play(world: World) -> None:
        await submit_long(world, 2, 6 * count)
        await asyncio.sleep(SETTLED_S)
        for worker in list_busy(world)[:count]:
            # Leaves room on what is then the fullest worker.
            worker.end(next(iter(worker.runs)), "stopped")
            world.refusals[worker.name] = reason
        await asyncio.sleep(PLAY_S)


@scenario("the only worker with room refuses every start with full")
async def play_single_refusal(world: World) -> None:
    workers = list(world.workers.values())
    await submit_long(world, 6, 2 * len(workers))
    await asyncio.sleep(SETTLED_S)
    workers[0].end(next(iter(workers[0].runs)), "stopped")
    world.refusals[workers[0].name] = "full"
    await asyncio.sleep(PLAY_S)
    world.refusals.clear()


@scenario("all idle workers but one refuse suspected tasks with full")
async def play_refused_suspects(world: World) -> None:
    await submit_long(world, 2, 3, most_per_worker=1)
    await submit_long(world, 2, 3, most_per_worker=1)
    await asyncio.sleep(SETTLED_S)
    idle = [worker.name for worker in world.workers.values() if not worker.runs]
    world.refusals = dict.fromkeys(idle[:-1], "full")
    remove(world, list_busy(world)[0])
    await asyncio.sleep(PLAY_S)


for _reason in ("full", "status 429", "superseded", "unadvised"):
    for _count in (1, 2):
        register_refusals(_reason, _count)


def register_undecodable(text: str, carries_out: bool) -> None:
    @scenario(f"the answers of a worker to starts cannot be decoded, and it {text} them out")
    async def play(world: World) -> None:
        await submit_long(world, 2, 6)
        await asyncio.sleep(SETTLED_S)
        worker = list_busy(world)[0]
        worker.end(next(iter(worker.runs)), "stopped")
        world.undecodable[worker.name] = carries_out
        await asyncio.sleep(PLAY_S)


register_undecodable("carries", True)
register_undecodable("does not carry", False)


def register_links(kind: str) -> None:
    @scenario(f"the fullest worker's orders are {kind}")
    async def play(world: World) -> None:
        await submit_long(world, 3, 6)
        await asyncio.sleep(2.0)
        busy = list_busy(world)
        world.links[busy[0].name] = kind
        remove(world, busy[-1])
        await asyncio.sleep(PLAY_S)
        world.links.clear()
        await asyncio.sleep(7.0)


for _kind in ("late", "lost", "cut", "refused"):
    register_links(_kind)


def register_steps(text: str, cores: int, tasks: int, **step) -> None:
    @scenario(f"workers under {text} are gone for good one after the other")
    async def play(world: World) -> None:
        await submit_long(world, cores, tasks, **step)
        for number in range(3):
            await asyncio.sleep(PLAY_S / 3)
            world.add_worker(f"new{number}", ("a", f"r{number}"))
            remove(world, list_busy(world)[0])
        await asyncio.sleep(PLAY_S / 3)


register_steps("a gang", 4, 4, gang=True)
register_steps("tasks of one rack", 4, 4, same_rack=True)
register_steps("tasks with a label", 4, 4, label="a")
register_steps("tasks of which each worker may have one", 2, 4, most_per_worker=1)
register_steps("best-effort tasks", 4, 6, best_effort=True)
register_steps("serving tasks", 4, 4, latency_target_ms=50)
register_steps("tasks that need tickets", 2, 4, advice=AdviceConfig(100, 5, 60_000))
register_steps(
    "tasks that need tickets, one per worker",
    2,
    4,
    most_per_worker=1,
    advice=AdviceConfig(100, 5, 60_000),
)


@scenario("many workers crash at once under tasks of different jobs")
async def play_suspects(world: World) -> None:
    for _ in range(10):
        await submit_long(world, 2, 2, most_per_worker=1)
    for _ in range(3):
        await asyncio.sleep(PLAY_S / 3)
        for worker in list_busy(world)[:2]:
            worker.crash()
    await asyncio.sleep(PLAY_S / 3)


@scenario("workers crash again and again under suspected tasks that need most of a worker")
async def play_large_suspects(world: World) -> None:
    for _ in range(4):
        await submit_long(world, 9, 1)
    await submit_long(world, 1, 6, most_per_worker=1)
    for _ in range(4):
        await asyncio.sleep(PLAY_S / 4)
        list_busy(world)[0].crash()
    await asyncio.sleep(PLAY_S / 4)


def register_overload(short_cores: int, cores: int) -> None:
    @scenario(
        f"short tasks of {short_cores} cores take each room, and a worker under a task of {cores}"
        " cores is gone"
    )
    async def play(world: World) -> None:
        await submit_long(world, cores, 1)
        await asyncio.sleep(1.0)
        async with overload_workers(world, short_cores):
            busy = next(worker for worker in world.workers.values() if has_long(world, worker))
            remove(world, busy)
            await asyncio.sleep(PLAY_S)


def has_long(world: World, worker: ModelWorker) -> bool:
    return any(world.steps[task.workflow].long_running for task in worker.runs)


for _short_cores, _cores in ((1, 11), (2, 7), (3, 1)):
    register_overload(_short_cores, _cores)


@scenario("a worker is kept for a large task, and a small one waits")
async def play_small_beside_hold(world: World) -> None:
    # One worker has room for the small task; the large one waits for the short tasks there.
    workers = list(world.workers.values())
    for _ in workers[1:]:
        await submit_long(world, 12, 1)
    await asyncio.sleep(1.0)
    await world.submit(6, 1, PLAY_S)
    await asyncio.sleep(1.0)
    await submit_long(world, 10, 1)
    await asyncio.sleep(4.0)
    await submit_long(world, 2, 1)
    await asyncio.sleep(PLAY_S)
