"""Steps that test how room for long-running tasks is claimed and made, without I/O."""

from __future__ import annotations

import math

from behave import given, then, when
from workflow_builders import add_run, build_short_run, build_worker_capacities

from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.placement import HELD, NO_ROOM, compute_usage, find_obstacle
from carawayshore.workflows.room import (
    choose_preemption,
    choose_worker_to_claim,
    estimate_room_seconds,
)

LONG_JOB, SHORT_JOB, OTHER_JOB = "a" * 16, "f" * 16, "b" * 16
LABEL = "ssd"
OBSTACLES = {"room is held": HELD, "no room": NO_ROOM}
POSITIONS = {"first": 0, "second": 1}
# Number of the tasks that only look for room.
SEEKER = 99


@given("{count:d} workers of 16 cores with these runs")
@given("{count:d} worker of 16 cores with these runs")
def build_workers_with_runs(context, count):
    context.capacities = build_worker_capacities(count)
    context.limits, context.now = {}, 0.0
    context.claimants = []
    context.runs = {capacity.entry.worker: [] for capacity in context.capacities}
    for index, row in enumerate(context.table):
        fields = dict(zip(row.headings, row.cells, strict=True))
        capacity = _find_capacity(context, fields["worker"])
        kind = fields["kind"]
        is_long = kind in ("long-running", "same step")
        step = StepSpec(
            millicores=int(fields["cores"]) * 1000,
            memory_mb=int(fields.get("memory", 0)),
            long_running=is_long,
        )
        job = LONG_JOB if kind == "same step" else OTHER_JOB if is_long else SHORT_JOB
        # The index keeps apart the runs of one job.
        name = TaskName(job, 0, 0, 10 + index)
        add_run(capacity, name, step)
        if not is_long:
            run = build_short_run(
                name,
                step,
                ends_in=float(fields.get("ends in", 0)),
                lost=float(fields.get("lost", 0)),
                is_stopping=kind == "stopping",
            )
            context.runs[fields["worker"]].append((fields["run"], run))


def _find_capacity(context, worker: str):
    return next(item for item in context.capacities if item.entry.worker == worker)


def _build_task(context, cores: int, index: int = SEEKER, memory_mb: int = 0):
    step = StepSpec(
        count=SEEKER + 1,
        millicores=cores * 1000,
        memory_mb=memory_mb,
        long_running=True,
        **context.limits,
    )
    name = TaskName(LONG_JOB, 0, 0, index)
    return name, step, compute_usage(name, step)


def _list_short_runs(context):
    return lambda capacity: [run for _, run in context.runs[capacity.entry.worker]]


def _choose_claim(context, cores: int):
    _, step, usage = _build_task(context, cores)
    return choose_worker_to_claim(
        context.capacities, step, usage, context.now, _list_short_runs(context)
    )


def _choose_preemption(context, cores: int, memory_mb: int = 0):
    _, step, usage = _build_task(context, cores, memory_mb=memory_mb)
    return choose_preemption(
        context.capacities, step, usage, context.now, _list_short_runs(context)
    )


@given("at most {most:d} task of the step is on one worker")
def limit_tasks_per_worker(context, most):
    context.limits["most_per_worker"] = most


@given("only {worker:w} has the label that tasks need")
def set_label(context, worker):
    context.limits["label"] = LABEL
    capacity = _find_capacity(context, worker)
    capacity.resize(capacity.entry._replace(labels=(*capacity.entry.labels, LABEL)))


@given("{count:d} tasks in a row have failed on {worker:w}")
def fail_tasks_there(context, count, worker):
    for _ in range(count):
        _find_capacity(context, worker).record_failure(context.now)


@given("{worker:w} is reserved for another job")
def reserve_worker(context, worker):
    _find_capacity(context, worker).reserved_for = OTHER_JOB


@given("{worker:w} takes no tasks")
def set_unusable(context, worker):
    _find_capacity(context, worker).usable = False


@when("{seconds:g} s have passed since")
def pass_seconds(context, seconds):
    context.now += seconds


@then("room for a task of {cores:d} cores is claimed on {worker:w}")
def expect_claim(context, cores, worker):
    chosen = _choose_claim(context, cores)
    assert chosen is not None and chosen.entry.worker == worker, chosen and chosen.entry


@then("no room for a task of {cores:d} cores can be claimed")
@then("no room for a task of {cores:d} core can be claimed")
def expect_no_claim(context, cores):
    chosen = _choose_claim(context, cores)
    assert chosen is None, chosen.entry


def _expect_seconds(context, cores: int, expected: float) -> None:
    _, _, usage = _build_task(context, cores)
    capacity = context.capacities[0]
    seconds = estimate_room_seconds(capacity, usage, _list_short_runs(context)(capacity))
    assert seconds == expected, seconds


@then("a task of {cores:d} cores is expected to have room there after {seconds:g} s")
def expect_room_after(context, cores, seconds):
    _expect_seconds(context, cores, seconds)


@then("a task of {cores:d} cores is expected to have room there at no time")
def expect_room_never(context, cores):
    _expect_seconds(context, cores, math.inf)


def _claim(context, capacity, cores: int, index: int) -> None:
    name, _, usage = _build_task(context, cores, index)
    capacity.claim(name, usage)
    context.claimants.append((capacity, name))


@when("room for a task of {cores:d} cores is claimed on {worker:w}")
def claim_room(context, cores, worker):
    _claim(context, _find_capacity(context, worker), cores, len(context.claimants))


@when("the same task claims room of {cores:d} cores on {worker:w}")
def claim_again(context, cores, worker):
    _, name = context.claimants.pop()
    _claim(context, _find_capacity(context, worker), cores, name.index)


@when("{count:d} tasks of {cores:d} cores claim room one after the other")
def claim_in_turn(context, count, cores):
    for index in range(count):
        chosen = _choose_claim(context, cores)
        assert chosen is not None, index
        _claim(context, chosen, cores, index)


@then("the claims are on {workers}")
def expect_claims(context, workers):
    found = [capacity.entry.worker for capacity, _ in context.claimants]
    assert found == workers.replace(" and ", ", ").split(", "), found


@when("that room is secured")
def secure_room(context):
    capacity, name = context.claimants[-1]
    capacity.secure_claim(name)


@when("the room of the {position:w} task is secured")
def secure_room_of(context, position):
    capacity, name = context.claimants[POSITIONS[position]]
    capacity.secure_claim(name)


@when("the claim ends")
def end_claim(context):
    capacity, name = context.claimants[-1]
    capacity.release_claim(name)


@when("the {position:w} task ends its claim")
def end_claim_of(context, position):
    capacity, name = context.claimants[POSITIONS[position]]
    capacity.release_claim(name)


def _list_free_claims(context) -> list[int]:
    return [
        number
        for number, (capacity, name) in enumerate(context.claimants)
        if name in capacity.claims and capacity.has_claimed_room(name)
    ]


@then("the claimed room of each task is free")
def expect_all_free(context):
    found = _list_free_claims(context)
    assert found == list(range(len(context.claimants))), found


@then("the claimed room of the {position:w} task alone is free")
@then("the claimed room of the {position:w} task is free")
def expect_one_free(context, position):
    found = _list_free_claims(context)
    assert found == [POSITIONS[position]], found


def _find_obstacle(context, cores: int, *, long_running: bool) -> str:
    step = StepSpec(millicores=cores * 1000, long_running=long_running)
    name = TaskName(OTHER_JOB if long_running else SHORT_JOB, 0, 0, SEEKER)
    return find_obstacle(context.capacities[0], step, compute_usage(name, step), context.now)


@then("a short task of {cores:d} cores fits on w0")
def expect_short_fits(context, cores):
    found = _find_obstacle(context, cores, long_running=False)
    assert not found, found


@then("a short task of {cores:d} cores does not, since {obstacle}")
def expect_short_does_not_fit(context, cores, obstacle):
    found = _find_obstacle(context, cores, long_running=False)
    assert found == OBSTACLES[obstacle], found


@then("a long-running task of {cores:d} core does not fit on w0, since {obstacle}")
def expect_long_does_not_fit(context, cores, obstacle):
    found = _find_obstacle(context, cores, long_running=True)
    assert found == OBSTACLES[obstacle], found


def _expect_preemption(context, cores, worker, runs, memory_mb=0):
    preemption = _choose_preemption(context, cores, memory_mb)
    assert preemption is not None
    names = {run.name: name for name, run in context.runs[preemption.capacity.entry.worker]}
    stopped = {names[run.name] for run in preemption.runs}
    expected = set() if runs == "nothing" else set(runs.split(" and "))
    assert (preemption.capacity.entry.worker, stopped) == (worker, expected), (
        preemption.capacity.entry.worker,
        stopped,
    )


@then("a task of {cores:d} cores gets room on {worker:w} if {runs} is stopped")
@then("a task of {cores:d} cores gets room on {worker:w} if {runs} are stopped")
def expect_preemption(context, cores, worker, runs):
    _expect_preemption(context, cores, worker, runs)


@then("a task of {cores:d} cores and {memory:d} MB gets room on {worker:w} if {runs} is stopped")
def expect_preemption_with_memory(context, cores, memory, worker, runs):
    _expect_preemption(context, cores, worker, runs, memory)


@then("a task of {cores:d} cores gets no room")
def expect_no_preemption(context, cores):
    preemption = _choose_preemption(context, cores)
    assert preemption is None, preemption
