"""Steps on workers whose capacity changes while they run."""

from __future__ import annotations

import asyncio

import looptime
import msgspec
from behave import given, then, when
from owner_builders import BORN, WORKER, ManualClock, OwnerHarness, build_settings
from platform_builders import SERVICE, build_operator_configuration
from worker_model import World
from workflow_builders import (
    build_entry,
    build_load,
    build_machines,
    build_pool_view,
    build_workflow,
)

from carawayd.partition.owner import REJECTED
from carawayd.partition.workerlink import STARTED, StartOrder
from carawayd.platform.runs import RunningTask, WorkerReport
from carawayd.platform.store import KeyedRecord
from carawayd.process.discovery import Discovery
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.placement import (
    MAX_SUSPECT_SECONDS,
    WorkerCapacity,
    compute_usage,
    rank_relief,
)
from carawayshore.workflows.pools import PoolSizer

JOB = "a" * 16
TASK = TaskName(JOB, 0, 0, 0)
OTHER_WORKER = "w1"
STOP_S = 0.05
LONG_S = 1_000.0
# Interval at which runs are counted.
CHECK_S = 0.05


def _run(play) -> None:
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        loop.run_until_complete(play)
    finally:
        loop.close()


@when("its entry tells {cores:d} cores")
def resize(context, cores):
    context.harness.list_worker(millicores=cores * 1000)


@when("a start order is due and the worker shrinks to {cores:d} core before it reports")
@when("a start order is due and the worker shrinks to {cores:d} cores before it reports")
def order_while_shrinking(context, cores):
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.order(TASK, 1, state="sending", absence_certain_after_ms=0)

    async def act() -> None:
        sending = asyncio.ensure_future(link.start_task(TASK, StartOrder(1, "text", "")))
        await asyncio.sleep(0)
        await link._request_report()
        link.update(link.entry._replace(millicores=cores * 1000))
        await link._process_report(WorkerReport(70_000, BORN, [], []))
        await sending

    harness.run(act())


@when("its entry is too old to rely on")
def age_entry(context):
    context.harness.discovery.has_current_capacities = False
    context.harness.list_worker()


@when("its entry is recent again")
def renew_entry(context):
    context.harness.discovery.has_current_capacities = True
    context.harness.list_worker()


def _encode_entry() -> list[KeyedRecord]:
    value = (
        b'{"backend":"%s","address":"127.0.0.1:1","state":"ready",'
        b'"capacity":{"cpu":16000,"memMb":64000}}' % SERVICE.encode()
    )
    return [KeyedRecord(WORKER, value)]


@given("a service whose workers {guard} and an entry that was {read}")
def read_entry(context, guard, read):
    context.clock = ManualClock(1_000.0)
    discovery = context.discovery = Discovery(None, build_settings(), context.clock)
    discovery._is_recording_layout = True
    configuration = build_operator_configuration(1)
    configuration["services"][0]["rejectsOverload"] = guard == "refuse overload"
    discovery.apply_configuration(msgspec.json.encode(configuration))
    if read == "found after an outage":
        discovery._worker_tailer.recovered_at = context.clock.elapsed()
    discovery._apply_workers(_encode_entry(), read != "written while it was followed")


@when("{seconds:g} s pass without another entry")
def pass_time(context, seconds):
    context.clock.seconds += seconds


@then("its capacity is {use}")
def expect_use(context, use):
    entry = context.discovery._worker_entries[WORKER]
    assert context.discovery.is_capacity_current(entry) == (use == "used")


@given("a worker with a serving, a plain and a best-effort long-running task of 4 cores and 8 GB")
def build_shared_worker(context):
    context.capacity = WorkerCapacity(build_entry(WORKER))
    steps = {
        "serving": StepSpec(latency_target_ms=100),
        "plain": StepSpec(),
        "best-effort": StepSpec(best_effort=True),
    }
    context.kinds = {}
    for number, (kind, step) in enumerate(steps.items()):
        name = TaskName(JOB, 0, number, 0)
        spec = step._replace(millicores=4_000, memory_mb=8_000, long_running=True)
        context.capacity.reserve(name, compute_usage(name, spec))
        context.kinds[name] = kind


@when("its capacity shrinks to {cores:d} cores and {memory:d} GB")
def shrink_capacity(context, cores, memory):
    entry = context.capacity.entry
    context.capacity.entry = entry._replace(millicores=cores * 1000, memory_mb=memory * 1000)


@then("these tasks are moved, in this order: {order}")
def expect_relief(context, order):
    kinds = [context.kinds[name] for name in rank_relief(context.capacity)]
    assert kinds == ([] if order == "none" else order.split(", ")), kinds


@given("an owner with two workers, on one of which two long-running tasks of 4 cores run")
def start_long_running(context):
    harness = context.harness = OwnerHarness()
    context.add_cleanup(harness.close)
    names = [
        harness.add_workflow(f"{number:016x}", 4_000, long_running=True, most_away=1)
        for number in range(2)
    ]
    harness.discovery.entries[OTHER_WORKER] = build_entry(OTHER_WORKER, born=BORN)
    harness.list_worker()
    other = harness.owner.links[OTHER_WORKER]
    harness.run(other._process_report(WorkerReport(50_000, BORN, [], [])))
    harness.report()
    for name in names:
        harness.order(name, 1, state=STARTED, absence_certain_after_ms=40_000)
    rows = [RunningTask(name, 1, "", 100, 0.0) for name in names]
    link = harness.owner.links[WORKER]
    harness.run(link._process_report(WorkerReport(51_000, BORN, rows, [])))


@when("that worker shrinks to {cores:d} cores")
def shrink_worker(context, cores):
    context.harness.list_worker(millicores=cores * 1000)


@then("one of the two tasks is stopped")
def expect_one_stop(context):
    stops = [call for call in context.harness.runs.calls if call[0] == "stop"]
    assert len(stops) == 1, stops


@given(
    "3 workers of 12 cores, each with two long-running tasks of 5 cores, and one with 5 cores free"
)
def set_shared_room(context):
    context.shrinking = 3


@when("the three shrink to {cores:d} cores")
def shrink_several(context, cores):
    async def play() -> None:
        world = World(context.shrinking + 1, STOP_S)
        try:
            await world.take_over()
            await asyncio.sleep(1.0)
            for _ in range(2 * context.shrinking):
                await world.submit(5, 1, LONG_S, long_running=True, most_away=1)
                await asyncio.sleep(0.1)
            await world.submit(7, 1, LONG_S, long_running=True)
            await asyncio.sleep(2.0)
            workers = sorted(world.workers.values(), key=lambda worker: len(worker.runs))
            free, *full = workers
            assert [len(worker.runs) for worker in workers] == [1, 2, 2, 2]
            for worker in full:
                worker.resize(cores)
                worker.write_entry()
            context.absent = []
            for _ in range(int(10 / CHECK_S)):
                await asyncio.sleep(CHECK_S)
                context.absent.append(7 - sum(len(worker.runs) for worker in workers))
            context.moved = len(free.runs) - 1
            context.violations = world.violations
        finally:
            await world.close()

    _run(play())


@then("at most one of the tasks is not at work at any time in 10 s")
def expect_few_absent(context):
    assert max(context.absent) <= 1, max(context.absent)


@then("all of them are at work then, one of them on the worker with free room")
def expect_move(context):
    assert (context.absent[-1], context.moved) == (0, 1), (context.absent[-1], context.moved)
    assert not context.violations, context.violations


@given("an owner whose only worker of 16 cores has shrunk to {cores:d} cores")
def shrink_only_worker(context, cores):
    harness = context.harness = OwnerHarness()
    context.add_cleanup(harness.close)
    harness.list_worker()
    harness.report()
    harness.list_worker(millicores=cores * 1000)


@when("a job with a task of {cores:d} cores is submitted")
def submit_large(context, cores):
    workflow = build_workflow(StepSpec(millicores=cores * 1000), identifier=JOB)
    context.reply = context.harness.run(context.harness.owner.submit(workflow))


@then("it is rejected with a Retry-After of {least:d} to {most:d} s")
def expect_retry(context, least, most):
    reply = context.reply
    assert reply.outcome == REJECTED and least <= reply.retry_after <= most, reply


@given("a pool of {count:d} machines of 16 cores with work for {cores:d} cores")
def build_pool(context, count, cores):
    context.machines = build_machines(booking=count)
    context.load = build_load("booking", context.machines, running_cores=float(cores))


@when("its workers tell {cores:d} cores each")
def shrink_pool(context, cores):
    workers = tuple(item._replace(millicores=cores * 1000) for item in context.load.workers)
    context.load = context.load._replace(workers=workers)


@then("it needs {count:d} machines")
def expect_need(context, count):
    view = build_pool_view(context.machines, {})._replace(services={"booking": context.load})
    need = PoolSizer().update(1.0, view)["booking"]
    assert need.needed == count, need


@given("a worker with {count:d} consecutive failures")
def fail_often(context, count):
    context.capacity = WorkerCapacity(build_entry("w0"))
    for _ in range(count):
        context.capacity.record_failure(100.0)


@then("it is suspected for no longer than the maximum")
def expect_bounded_suspicion(context):
    assert context.capacity.suspect_until == 100.0 + MAX_SUSPECT_SECONDS
