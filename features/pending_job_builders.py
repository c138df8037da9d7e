"""Plays in virtual time that compare the count of pending jobs with what workers have started."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from owner_builders import WORKER, OwnerHarness
from worker_model import World
from workflow_builders import build_workflow

from carawayd.partition.replies import FOUND
from carawayd.partition.workerlink import UNKNOWN
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.state import COMPLETED, WorkflowState

if TYPE_CHECKING:
    from collections.abc import Callable

QUEUE = "slots"
JOBS = 6
RUN_S = 0.85
FAULT_S = 7.0
CHANGE_AFTER_S = 2.0
SETTLE_S = 25.0
WATCH_INTERVAL_S = 0.05
# Age that the value may have.
VALUE_AGE_S = 2.0
LONG_S = 60.0
IDENTIFIER = "5c0e7a21d94b36f8"


class Count(NamedTuple):
    """Count that an owner gave; ``waiting`` jobs had not been started by any worker."""

    at: float
    pending: int
    waiting: int


class CountWatch:
    """Asks the present owner for the count at short intervals."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.counts: list[Count] = []

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            pending = await self.ask()
            if pending is not None:
                waiting = sum(not self._world.has_started(job) for job in self._world.accepted)
                self.counts.append(Count(self._world.now(), pending, waiting))

    async def ask(self) -> int | None:
        """Returns the count, None without an owner that knows it."""
        reply = await self._world.current.owner.count_pending(QUEUE)
        return reply.detail if reply.outcome == FOUND else None


def _refuse(world: World) -> None:
    world.refusals["w0"] = "unhealthy"


def _expire(world: World) -> None:
    world.late_starts["w0"] = FAULT_S


def _delay(world: World) -> None:
    world.late_starts["w0"] = 1.2


def _disconnect(world: World) -> None:
    world.links["w0"] = "refused"


def _refuse_records(world: World) -> None:
    world.store.refused_keys.update(f"{number:016x}/0/0" for number in range(1, JOBS + 1))


def _raise_error(world: World) -> None:
    world.undecodable["w0"] = False


def _lose_worker(world: World) -> None:
    _expire(world)
    world.crash_downtime_s = FAULT_S
    asyncio.get_running_loop().call_later(0.5, world.workers["w0"].crash)


def _drain_worker(world: World) -> None:
    _expire(world)
    asyncio.get_running_loop().call_later(0.1, world.workers["w0"].drain)
    asyncio.get_running_loop().call_later(FAULT_S, world.add_worker, "w1")


FAULTS: dict[str, Callable[[World], None]] = {
    "are refused": _refuse,
    "get no answer and expire": _expire,
    "get no answer and are carried out late": _delay,
    "find no worker": _disconnect,
    "are dropped unrecorded": _refuse_records,
    "cause an unexpected error": _raise_error,
    "are lost with the worker": _lose_worker,
    "come as the worker drains": _drain_worker,
}
CHANGES = {
    "no change": "",
    "a takeover": "take_over",
    "a handover": "hand_over",
    "a killed owner": "kill_owner",
}


async def _change_owner(world: World, change: str) -> None:
    if CHANGES[change]:
        await getattr(world, CHANGES[change])()


def _end_fault(world: World) -> None:
    world.refusals.clear()
    world.late_starts.clear()
    world.undecodable.clear()
    world.store.refused_keys.clear()
    world.links["w0"] = ""


async def play_orders_without_start(fault: str, change: str) -> tuple[list[Count], list[str]]:
    """Returns the counts, and the states of the jobs in the end."""
    world = World(1, 0.05)
    world.crashed_return_as_new = False
    watch = CountWatch(world)
    watching = asyncio.ensure_future(watch.watch())
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        # A first job shows that the worker answers.
        await world.submit(1, 1, RUN_S)
        await asyncio.sleep(2.0)
        FAULTS[fault](world)
        # All at once, before the owner learns of the fault and rejects some of them.
        await asyncio.gather(*(world.submit(1, 1, RUN_S) for _ in range(JOBS)))
        await asyncio.sleep(CHANGE_AFTER_S)
        await _change_owner(world, change)
        await asyncio.sleep(FAULT_S - CHANGE_AFTER_S)
        _end_fault(world)
        await asyncio.sleep(SETTLE_S)
        watch.counts.append(Count(world.now(), await watch.ask(), 0))
        states = [(await world.current.owner.read_state(job)).detail for job in world.accepted]
        return watch.counts, [state for state in states if state != COMPLETED]
    finally:
        watching.cancel()
        await world.close()


async def _lose(world: World, loss: str) -> None:
    worker = world.workers["w0"]
    if loss == "a cut of its worker":
        world.links["w0"] = "cut"
    elif loss != "no loss":
        worker.crash()


async def play_work_that_is_lost(seconds: float, loss: str, change: str) -> list[Count]:
    """Returns the counts from 2 s after the start of the job and the change of its owner on."""
    world = World(1, 0.05)
    world.crash_downtime_s = LONG_S
    watch = CountWatch(world)
    watching = asyncio.ensure_future(watch.watch())
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        step_ends = loss.startswith("an end")
        if loss.startswith("a failure"):
            world.failing.add("w0")
        ends_early = step_ends or loss.startswith("a failure")
        run_seconds = 0.3 if ends_early else LONG_S
        job = await world.submit(1, 1, run_seconds, chain=2 if step_ends else 1, max_failures=9)
        await asyncio.sleep(0.1)
        assert world.has_started(job)
        started_at = world.now() - 0.1
        if ends_early:
            await asyncio.sleep(0.4)
            _refuse(world)
        await asyncio.sleep(seconds - (world.now() - started_at))
        since = world.now() if CHANGES[change] else started_at
        await _lose(world, loss)
        await _change_owner(world, change)
        await asyncio.sleep(12.0)
        return [count for count in watch.counts if count.at > since + VALUE_AGE_S]
    finally:
        watching.cancel()
        await world.close()


async def play_quiet_starts(jobs: int) -> int:
    """Returns the number of appends after the orders of jobs that run on."""
    world = World(1, 0.05)
    world.workers["w0"].resize(jobs)
    world.workers["w0"].write_entry()
    appends = []
    append = world.store.append

    async def count_append(*args, **options):
        appends.append((world.now(), args))
        return await append(*args, **options)

    try:
        await world.take_over()
        await asyncio.sleep(2.0)
        for _ in range(jobs):
            await world.submit(1, 1, LONG_S)
            await asyncio.sleep(2.0 / jobs)
        world.store.append = count_append
        await asyncio.sleep(10.0)
        return len(appends)
    finally:
        await world.close()


class OrderedJob:
    """An owner with one job whose tasks are ordered on its worker."""

    def __init__(self, *, count: int, run: int = 1, **changes: object) -> None:
        self.harness = OwnerHarness()
        self.harness.list_worker()
        self.harness.report()
        step = StepSpec(count=count, millicores=1_000, **changes)
        workflow = WorkflowState(build_workflow(step, identifier=IDENTIFIER), 1_000.0, 1)
        workflow.durable_state = workflow.state
        self.harness.owner.workflows[IDENTIFIER] = workflow
        self.tasks = [TaskName(IDENTIFIER, 0, 0, index) for index in range(count)]
        for task in self.tasks:
            self.harness.order(task, run, state=UNKNOWN, absence_certain_after_ms=90_000)

    def add_copy(self) -> None:
        """Makes the ordered run the copy of one on a worker that nobody reaches."""
        task = self.harness.owner.workflows[IDENTIFIER].steps[0, 0].tasks[0]
        task.run, task.worker = 1, "w9"
        assert task.begin_copy(WORKER) == 2
        self.harness.owner.links[WORKER].orders[self.tasks[0]].run = 2

    def count_pending(self) -> int:
        return self.harness.run(self.harness.owner.count_pending(QUEUE)).detail


def count_restored(row: str) -> int:
    """Returns the count of an owner that has read one job, whose task has this record."""
    workflow = WorkflowState(
        build_workflow(StepSpec(count=1, millicores=1_000), identifier=IDENTIFIER), 0.0, 1
    )
    records = {workflow.key(): workflow.encode(), f"{IDENTIFIER}/0/0": f"[{row}]".encode()}
    msgspec.json.decode(records[f"{IDENTIFIER}/0/0"])
    harness = OwnerHarness(records)
    try:
        return harness.run(harness.owner.count_pending(QUEUE)).detail
    finally:
        harness.close()
