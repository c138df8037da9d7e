"""Steps on the decision which runs get a copy."""

from __future__ import annotations

from behave import given, then, when
from copy_load import LoadReplay
from workflow_builders import add_running_task, build_worker_capacities

from carawayshore.workflows.copies import (
    CopyGains,
    PoolView,
    RunView,
    StepView,
    WorkerSpeeds,
    choose_copies,
    choose_copy_worker,
)
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.runtimes import RuntimeModel

JOB = "a" * 16
LATE = {"age": 1.2, "percent": 15}
POOL = PoolView(960_000, 0, False)
REASONS = {"progress": "progress", "age": "age", "silence": "silent"}


def _run(index, age, percent=-1, *, report_age=0.0, silent=False, may=True, copy=None, **at):
    name = TaskName(at.get("job", JOB), 0, at.get("step", 0), index)
    return RunView(name, "w0", age, report_age, percent, silent, may, copy)


def _step(runs=(), *, after=(), ended=(1.0,) * 7, done=False, slowest=1.3, cores=4):
    return StepView(after, done, tuple(runs), ended, 1.0, 0.3, slowest, cores * 1000, "slots")


@given("a step whose other {others}")
def begin_step(context, others):
    context.others, context.ended = [], (1.0,) * 7
    if "take" in others:
        # They have done 1.2 s of their work.
        left = float(others.split()[2])
        percent = int(100 * 1.2 / (1.2 + left))
        context.others = [_run(index, 1.2, percent, may=left < 7) for index in (1, 2)]
        context.ended = (1.0,) * 5


@given("a run of {age:g} s with {progress}")
def begin_run(context, age, progress):
    words = progress.split()
    percent = int(words[0]) if words[0].isdigit() else -1
    run = _run(
        0,
        age,
        percent,
        silent="silent" in progress,
        report_age=1.9 if "silent" in progress else 0.0,
        may="stopped" not in progress and "copy" not in progress,
        copy=0.2 if "copy" in progress else None,
    )
    step = _step([run, *context.others], ended=context.ended)
    context.jobs, context.pool = [[step]], POOL


def _choose(context):
    return choose_copies(context.jobs, context.pool)


@then("the run is not copied")
def expect_no_copy(context):
    names = [choice.name.index for choice in _choose(context)]
    assert 0 not in names, _choose(context)


@then("the run is copied after its {reason}")
def expect_copy(context, reason):
    choices = {choice.name.index: choice for choice in _choose(context)}
    assert choices[0].reason == REASONS[reason], choices
    assert choices[0].left_seconds > choices[0].copy_seconds


@given("a step with 2 late runs")
def begin_two(context):
    runs = [_run(0, **LATE), _run(1, 1.2, 14)]
    context.jobs, context.pool = [[_step(runs, ended=(1.0,) * 6)]], POOL


@given("a job with a late run in each of 2 steps before a third one")
def begin_two_steps(context):
    steps = [_step([_run(0, step=number, **LATE)]) for number in (0, 1)]
    context.jobs, context.pool = [[*steps, _step(after=(0, 1))]], POOL


@given("a job with a late run in one step, while another one takes 30 s")
def begin_beside(context):
    other = _step([_run(0, 1.2, 4, step=1, may=False)], ended=())
    context.jobs, context.pool = [[_step([_run(0, **LATE)]), other]], POOL


@given(
    "20 steps with a late run of 4 cores each in a pool of {cores:d} cores, of which {used:d} run"
    " copies"
)
def begin_many(context, cores, used):
    context.jobs = [[_step([_run(0, job=f"{number:016x}", **LATE)])] for number in range(20)]
    context.pool = PoolView(cores * 1000, used * 1000, False)


@given("tasks that wait: {waiting}")
def begin_waiting(context, waiting):
    context.pool = context.pool._replace(has_waiting_tasks=waiting == "yes")


@when("{count:d} copies of their queue were {outcome:w}")
def settle_copies(context, count, outcome):
    context.gains = getattr(context, "gains", CopyGains())
    for _ in range(count):
        context.gains.learn("slots", is_won=outcome == "won")
    context.pool = context.pool._replace(copies_left=context.gains.limit_copies({}))


@when("one copy of their queue is at work")
def begin_copy(context):
    context.pool = context.pool._replace(copies_left=context.gains.limit_copies({"slots": 1}))


@then("{count:d} runs are copied")
def expect_count(context, count):
    found = len(_choose(context))
    assert found == count, found


@given("a late run on w0, and workers w0 and w1 of which w1 {state}")
def begin_workers(context, state):
    capacities = build_worker_capacities(2)
    other, excluded, step = capacities[1], {"w0"}, StepSpec(millicores=4000)
    if state == "is excluded as slow or silent":
        excluded.add("w1")
    elif state == "is suspected":
        other.suspect_until = 100.0
    elif state == "has failed a task just now":
        other.record_failure(1.0)
    elif state == "is reserved":
        other.reserved_for = "b" * 16
    elif state == "is full":
        add_running_task(other, 14_000)
    elif state == "is in another rack":
        step = step._replace(same_rack=True)
        other.resize(other.entry._replace(labels=("a", "r1-2")))
    elif state == "is not usable":
        other.usable = False
    rack = capacities[0].entry.rack
    context.choice = lambda: choose_copy_worker(
        capacities, step, TaskName(JOB, 0, 0, 0), 2.0, excluded=excluded, racks={rack}
    )


@then("no worker is chosen for the copy")
def expect_no_worker(context):
    chosen = context.choice()
    assert chosen is None, chosen.entry


@given("10 workers with runs of 1 s, of which w3 takes 2 s, and w5 has a straggler of 7 s")
def learn_speeds(context):
    context.speeds = WorkerSpeeds()
    for number in range(10):
        for turn in range(8):
            seconds = 2.0 if number == 3 else 7.0 if (number, turn) == (5, 7) else 1.0
            # The estimate of the queue is off by half for all of them.
            context.speeds.learn(f"w{number}", seconds, 1.5)


@then("the slow workers are {workers}")
def expect_slow(context, workers):
    found = context.speeds.list_slow({})
    assert found == set(workers.split(", ")), found


@then("with 2 overdue runs on w6, w6 is slow as well")
def expect_overdue(context):
    assert context.speeds.list_slow({"w6": 2, "w7": 1}) == {"w3", "w6"}


@given("a queue whose declared run times are right")
def learn_queue(context):
    context.model = RuntimeModel()
    for number in range(60):
        estimate = 800 + 20 * number
        context.model.learn("slots", StepSpec(estimate_ms=estimate), estimate / 1000)


@then("the expected spread of its run times is below {bound:g}")
def expect_spread(context, bound):
    found = context.model.estimate_log_deviation("slots", StepSpec(estimate_ms=1000))
    assert found < bound, found


def _replay(seeds, *, is_inherent=False):
    results = {}
    for makes_copies in (False, True):
        results[makes_copies] = [
            LoadReplay(seed, makes_copies=makes_copies, is_inherent=is_inherent).replay()
            for seed in seeds
        ]
        print(makes_copies, *results[makes_copies], sep="\n")
    return results


@when("the load is replayed with and without copies on seeds 1 to 6")
def replay(context):
    context.results = _replay(range(1, 7))


@when("the load is replayed with tasks that are late on every worker")
def replay_inherent(context):
    context.results = _replay(range(1, 7), is_inherent=True)


def _sum(context, field):
    return [sum(getattr(r, field) for r in context.results[copies]) for copies in (False, True)]


@then("more jobs are in time in calm, and no fewer in the burst")
def expect_in_time(context):
    without, with_copies = _sum(context, "calm_on_time")
    assert with_copies > without, (without, with_copies)
    without, with_copies = _sum(context, "burst_on_time")
    assert with_copies >= without, (without, with_copies)


@then("the copies never had more than 5 percent of the cores, and none was made while tasks waited")
def expect_share(context):
    for result in context.results[True]:
        assert result.most_copy_share <= 0.05, result
        assert not result.copies_in_queue and result.copies, result


@then("the core-seconds grew by at most {percent:d} percent")
def expect_cost(context, percent):
    without, with_copies = _sum(context, "core_seconds")
    assert with_copies <= without * (1 + percent / 100), (without, with_copies)
