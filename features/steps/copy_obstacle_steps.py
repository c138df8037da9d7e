"""Steps on what keeps a late run from being copied, and on the records of tasks with copies."""

from __future__ import annotations

import asyncio
import math
from functools import partial

import msgspec
from behave import given, then, when
from copy_builders import LATE_S, POLL_S, CopyPlay, open_play
from worker_model import ADVICE
from workflow_builders import build_workflow

from carawayd.partition.copies import allows_copies
from carawayd.partition.workerlink import UNKNOWN
from carawayshore.workflows.crashes import WorkerLoss
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.state import DONE, ORDERED, TaskState, WorkflowState

STEPS = {
    "no copies": {"speculative": False},
    "a gang": {"gang": True},
    "long-running": {"long_running": True},
    "best effort": {"best_effort": True},
    "a placement policy": {"advice": ADVICE},
}
OBSTACLE_S = 4.0


@given("a late run of a step with {step}")
def begin_without_copies(context, step):
    open_play(context).submit(20.0, **STEPS[step])


@given("2 late runs of a queue of which {count:d} copies were lost")
def begin_low_gain(context, count):
    play_ = open_play(context)
    gains = play_.world.current.owner._copies._gains
    for _ in range(count):
        gains.learn("slots", is_won=False)
    other = TaskName(f"{len(play_.world.jobs):016x}", 0, 0, 1)
    play_.world.planned_seconds[other] = [LATE_S, LATE_S]
    play_.submit(LATE_S, LATE_S)


@then("{count:d} copies were started after {seconds:g} s")
def expect_copy_count(context, count, seconds):
    context.play.wait(seconds)
    assert context.play.world.second_runs == count, context.play.world.second_runs


@given("a late run in a full pool with tasks that wait")
def fill_pool(context):
    play_ = open_play(context)
    play_.submit()
    play_.wait(0.1)

    async def fill() -> None:
        # Each worker has room for one of these, and for a copy beside it.
        context.filler = await play_.world.submit(8, 20, 60.0)

    play_.run(fill())


@when("the tasks that wait are cancelled")
def empty_pool(context):
    world = context.play.world
    context.play.run(world.cancel(world.accepted.index(context.filler)))


def _silence(play_: CopyPlay, link) -> None:
    if link.worker != play_.state.worker:
        link.unordered_runs[play_.task._replace(index=1), 0] = play_.loop.time()
        link.capacity.reserve((play_.task._replace(index=1), 0), link._owner.find_usage(play_.task))
        link._reported_at = link._now() - 3.0


def _keep_former_run(play_: CopyPlay, link) -> None:
    if link.worker != play_.state.worker:
        link.unordered_runs[play_.task, 0] = play_.loop.time()
        link.capacity.reserve((play_.task, 0), link._owner.find_usage(play_.task))


def _exclude(play_: CopyPlay, link) -> None:
    link._owner._copies._list_excluded = lambda _: list(play_.world.workers)


def _suspect(play_: CopyPlay, link) -> None:
    workflow = link._owner.workflows[play_.task.workflow]
    link._owner._isolation._suspects[workflow.identifier] = workflow


def _change_order(play_: CopyPlay, link, **changes) -> None:
    order = link.orders.get(play_.task)
    if link.worker == play_.state.worker and order is not None:
        for field, value in changes.items():
            setattr(order, field, value)


# What keeps a copy from being made, applied to each link again and again.
OBSTACLES = {
    "the other workers are silent": _silence,
    "an earlier run may be on the other workers": _keep_former_run,
    "the other workers have rejected the task": _exclude,
    "its job is suspected of crashes": _suspect,
    "it is not known whether it has started": partial(_change_order, state=UNKNOWN),
    "it is being stopped": partial(_change_order, stopping=True, stop_sent=math.inf),
}


@given("a late run for which {obstacle}")
def begin_with_obstacle(context, obstacle):
    play_ = open_play(context)
    play_.submit()
    assert play_.wait_until(lambda: bool(play_.find_workers()))

    async def apply() -> None:
        until = play_.world.now() + OBSTACLE_S
        while play_.world.now() < until:
            for link in play_.world.current.owner.links.values():
                OBSTACLES[obstacle](play_, link)
            await asyncio.sleep(POLL_S)

    play_.run(apply())


def _begin_changed(context, **changes) -> None:
    play_ = open_play(context)
    play_.submit()
    assert play_.wait_until(lambda: bool(play_.find_workers()))
    for field, value in changes.items():
        setattr(play_.state, field, value)


@given("a late run of a task that has lost a worker")
def begin_with_loss(context):
    _begin_changed(context, losses=(WorkerLoss("w9", 1, 0.1, True, False, False, False),))


@given("a late run of a task with one attempt left")
def begin_last_attempt(context):
    _begin_changed(context, failures=2)


@then("copies of tasks are allowed for {kind}: {is_allowed}")
def expect_allowed(context, kind, is_allowed):
    changes = dict(STEPS.get(kind, {}))
    advice = changes.pop("advice", None)
    spec = StepSpec(**({"count": 2, "speculative": True} | changes))
    state = WorkflowState(build_workflow(spec, advice=advice), 0.0)
    assert allows_copies(state, state.steps[0, 0]) == (is_allowed == "yes")


@given("a late run on the first of 6 workers, of which the next {count:d} are slow")
def begin_with_slow_workers(context, count):
    play_ = open_play(context)
    play_.submit()
    speeds = play_.world.current.owner._copies._speeds
    for number in range(6):
        speeds._logarithms[f"w{number}"] = 1.0 if 0 < number <= count else 0.0


@then("the copy is on none of the slow workers w1 and w2")
def expect_other_worker(context):
    context.play.wait_for_copy()
    assert context.play.copy not in ("w1", "w2"), context.play.copy


@then("no second run was started")
def expect_no_second_run(context):
    play_ = context.play
    assert not play_.world.second_runs
    assert not play_.state.has_copy and not play_.count_copies()


class _FormerRow(msgspec.Struct, array_like=True):
    """Record of a task as the version before copies reads it."""

    status: int = 0
    run: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    losses: tuple = ()


@then("tasks without a copy have the records of the earlier version")
def expect_former_records(context):
    rows = {
        "[]": TaskState(),
        '[1,3,0,"w1"]': TaskState(ORDERED, 3, 0, "w1"),
        "[0,3,1]": TaskState(0, 3, 1),
        '[1,3,1,"w1","c"]': TaskState(ORDERED, 3, 1, "w1", "c"),
        "[2,3]": TaskState(DONE, 3, 0, "w1"),
    }
    for text, task in rows.items():
        assert msgspec.json.encode(task.to_row()).decode() == text, task.to_row()


@then("the earlier version reads the record of a task with a copy")
def read_as_former(context):
    task = TaskState(ORDERED, 3, 0, "w1", copy=(4, "w2"))
    value = msgspec.json.encode([task.to_row()])
    (row,) = msgspec.json.decode(value, type=list[_FormerRow])
    assert (row.status, row.run, row.worker) == (ORDERED, 3, "w1")
    # An owner of the earlier version may have given the number of the copy again.
    assert task.has_run(3, "w1") and task.has_run(4, "w2") and not task.has_run(4, "w1")
    task.end_copy()
    assert not task.has_run(4, "w2") and not task.has_run(4, "") and task.last_run == 4
