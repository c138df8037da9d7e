"""Steps on cordons and on the measured waits of workflows."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when
from large_task_builders import build_large_task_view
from unbounded_wait_scenarios import SETTLE_S, SLOW_STOP_S, find_workers, measure_wait
from virtual_time import play
from worker_model import World, build_workflow

from carawayd.partition.absences import Absences
from carawayd.partition.cordons import Cordons
from carawayd.partition.deferrals import Deferrals
from carawayd.partition.workerlink import STARTED
from carawayd.process.machineorders import ORDER_PREFIX, MachineOrders
from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.largetasks import LargeTasks, WorkerRoom
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.pools import choose_moves

WORKER = "w0"
WORKFLOW = "job"
MACHINE = "m0"
CONTROL_INTERVAL_S = 0.15
TICK = timedelta(microseconds=1)
MEMORY_MB = 64_000
# Number of machines at which the scenario of a growing pool ends.
MAX_MACHINES = 60


class SteppedClock:
    """Clock that a test sets; it may advance with each reading, as that of a host does."""

    def __init__(self, tick: timedelta = timedelta()) -> None:
        self._now = timedelta(seconds=100)
        self._tick = tick

    def elapsed(self) -> timedelta:
        self._now += self._tick
        return self._now

    def advance(self, seconds: float) -> None:
        self._now += timedelta(seconds=seconds)


class CountingLedger:
    """Ledger that counts the records."""

    topic = "test"

    def __init__(self) -> None:
        self.record_count = 0

    def mark_dirty(self, key, encode) -> None:
        self.record_count += 1


class Waits:
    """Measured waits of one workflow whose only run is known to one worker."""

    def __init__(self) -> None:
        self.clock = SteppedClock()
        self.orders: dict = {}
        link = SimpleNamespace(is_unresponsive=False, orders=self.orders)
        workflow = SimpleNamespace(
            identifier=WORKFLOW, is_terminal=False, iterate_ordered_tasks=lambda: iter(())
        )
        self.absences = Absences({WORKFLOW: workflow}, {WORKER: link}, self.clock)
        self.deferrals = Deferrals(self.clock, absences=self.absences, lease_seconds=4.4)


@when(
    "a cordon of {seconds:g} s is renewed each {interval:g} s for {total:g} s by a clock that "
    "advances with each reading"
)
def renew_cordon(context, seconds, interval, total):
    clock, ledger = SteppedClock(TICK), CountingLedger()
    cordons = Cordons(clock, ledger)
    for _ in range(int(total / interval)):
        recorded = cordons.extend(WORKER, seconds)
        if recorded:
            cordons.note_durable(WORKER, recorded)
        cordons.record_progress()
        clock.advance(interval)
    context.record_count = ledger.record_count


@then("at most {count:d} records are written for it")
def expect_few_records(context, count):
    assert context.record_count <= count, context.record_count


async def _cordon_with_refusal(seconds: float) -> str:
    world = World(1, 0.05)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        owner = world.current.owner
        world.store.refused_keys = {"!" + WORKER}
        return (await owner.cordon([WORKER, seconds])).outcome
    finally:
        await world.close()


@when("a worker is cordoned for {seconds:g} s and the store refuses the record")
def cordon_with_refusal(context, seconds):
    context.outcome = play(_cordon_with_refusal(seconds))


@then("the owner does not confirm the cordon")
def expect_no_confirmation(context):
    assert context.outcome != "accepted", context.outcome


@when("a workflow has been at work, and its next turn comes {seconds:g} s later")
def pass_time_between_occurrences(context, seconds):
    waits = context.waits = Waits()
    waits.orders[TaskName(WORKFLOW, 0, 0, 0)] = SimpleNamespace(state=STARTED)
    waits.deferrals.expire()
    waits.orders.clear()
    waits.clock.advance(seconds)
    waits.deferrals.expire()
    waits.deferrals.begin(WORKFLOW)


@then("it has not waited for too long when its first precaution begins")
def expect_short_wait(context):
    measured = context.waits.absences.measure(WORKFLOW)
    assert not context.waits.deferrals.is_over(WORKFLOW), measured
    assert not context.waits.deferrals.is_over(WORKFLOW, is_isolated=True), measured


@given(
    "a pool of {count:d} workers of {cores:d} cores, each with {room:d} cores beside "
    "long-running runs"
)
def set_pool(context, count, cores, room):
    context.sizes = [cores] * count
    context.rooms = [
        WorkerRoom(f"b{number}", Amounts(room * 1000, MEMORY_MB, 0), False)
        for number in range(count)
    ]


@when("a task of {cores:d} cores waits, and each machine that comes has {size:d} cores")
def add_machines(context, cores, size):
    step = StepSpec(count=1, millicores=cores * 1000, memory_mb=1)
    context.come = 0
    while context.come < MAX_MACHINES:
        mean = sum(context.sizes) * 1000 // len(context.sizes)
        tasks = LargeTasks(context.rooms, Amounts(mean, MEMORY_MB, 0))
        tasks.add(step, 1)
        missing = tasks.measure().missing
        if not missing:
            break
        for _ in range(missing):
            context.come += 1
            context.sizes.append(size)
            room = Amounts(size * 1000, MEMORY_MB, 0)
            context.rooms.append(WorkerRoom(f"n{context.come}", room, True))


@then("at most {count:d} machine has come")
def expect_few_machines(context, count):
    assert context.come <= count, context.come


@given("a pool that lacks 1 machine for large tasks, and a machine that has come")
def set_lacking_pool(context):
    context.view = build_large_task_view(5, 4, 4, missing=1, coming=0, idle=1, kept=0)


@when("its worker is listed, and has never answered the owner")
def silence_worker(context):
    load = context.view.services["booking"]
    newest = load.workers[-1]._replace(heard=False, tasks=0)
    load = load._replace(workers=(*load.workers[:-1], newest))
    context.moves = choose_moves(context.view._replace(services={"booking": load}))


@then("no further machine moves into the pool")
def expect_no_moves(context):
    assert not [move for move in context.moves if move.pool == "booking"], context.moves


class RecordingLedger:
    """Ledger that writes each record at once."""

    topic = "test"

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}

    def mark_dirty(self, key, encode) -> None:
        self.records[key] = encode()


@when(
    "an order to a machine is answered, and {count:d} holders follow each other after "
    "{interval:g} s each"
)
def answer_and_take_over(context, count, interval):
    clock, ledger = SteppedClock(), RecordingLedger()
    settings = SimpleNamespace(machine_lease_ms=3000)
    orders = MachineOrders(clock, settings, ledger)
    orders.record_sending(MACHINE)
    orders.record_answer(MACHINE)
    for _ in range(count):
        orders = MachineOrders(clock, settings, ledger)
        orders.restore(MACHINE, ledger.records[ORDER_PREFIX + MACHINE])
        for _ in range(int(interval / CONTROL_INTERVAL_S)):
            clock.advance(CONTROL_INTERVAL_S)
            orders.update_records()
    context.is_blocked = orders.is_blocked(MACHINE)


@when(
    "a holder orders a machine after the wait for its predecessor, and is followed by another one "
    "{seconds:g} s later"
)
def order_after_wait(context, seconds):
    clock, ledger = SteppedClock(), RecordingLedger()
    settings = SimpleNamespace(machine_lease_ms=3000)
    orders = MachineOrders(clock, settings, ledger)
    orders.record_sending(MACHINE)
    orders.record_answer(MACHINE)
    orders = MachineOrders(clock, settings, ledger)
    orders.restore(MACHINE, ledger.records[ORDER_PREFIX + MACHINE])
    while orders.is_blocked(MACHINE):
        clock.advance(CONTROL_INTERVAL_S)
    orders.record_sending(MACHINE)
    orders.record_answer(MACHINE)
    for _ in range(int(seconds / CONTROL_INTERVAL_S)):
        clock.advance(CONTROL_INTERVAL_S)
        orders.update_records()
    orders = MachineOrders(clock, settings, ledger)
    orders.restore(MACHINE, ledger.records[ORDER_PREFIX + MACHINE])
    clock.advance(CONTROL_INTERVAL_S)
    context.is_blocked = orders.is_blocked(MACHINE)


@then("the last holder may not order the machine")
def expect_blocked(context):
    assert context.is_blocked


@then("the last holder may order the machine")
def expect_not_blocked(context):
    assert not context.is_blocked


async def _wait_beside_step_without_room() -> float:
    world = World(8, SLOW_STOP_S)
    world.add_worker("wb", ("b", "r1-1"))
    try:
        await world.take_over()
        await asyncio.sleep(SETTLE_S)
        long_job = await world.submit(
            7, 4, 1e6, long_running=True, most_per_worker=1, most_away=1, label="a"
        )
        # Uses the only worker of the parallel step.
        await world.submit(12, 1, 60.0, label="b")
        await asyncio.sleep(SETTLE_S)
        for name in find_workers(world, long_job).values():
            await world.cordon(name, 25.0)
        await asyncio.sleep(0.1)
        small = StepSpec(count=1, millicores=6000, memory_mb=1, estimate_ms=500, label="a")
        large = small._replace(millicores=12000, label="b")
        job, since = "parallel", world.now()
        world.steps[job], world.chains[job] = small, (small, large)
        world.jobs[job], world.max_failures[job] = (6, 30.0), 2
        workflow = build_workflow(small, large, identifier=job, stretch=50.0, max_failures=2)
        assert (await world.current.owner.submit(workflow)).outcome == "accepted"
        return await measure_wait(world, job, since, 40.0)
    finally:
        await world.close()


@when("a short task of half a worker waits beside claims, with a parallel step that has no room")
def wait_beside_step_without_room(context):
    context.seconds = play(_wait_beside_step_without_room())


@then("its job is at work after {seconds:g} s at the latest")
def expect_early_start(context, seconds):
    assert context.seconds <= seconds, context.seconds
