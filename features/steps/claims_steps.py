"""Steps that test how claims, placements and stops of short runs act together, without I/O."""

from __future__ import annotations

import math
import random

from behave import given, then, when
from claims_builders import Pool, build_short_step, build_step, list_tasks
from workflow_builders import build_entry

from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.placement import Amounts, WorkerCapacity, compute_usage
from carawayshore.workflows.state import ORDERED

# Time after which a scenario ends whose task has not started.
MAX_PLAY_SECONDS = 60.0
FOREVER = math.inf


def _split(workers: str) -> list[str]:
    return workers.replace(" and ", ", ").split(", ")


def _build_pool(context, cores: list[int], racks: str = "") -> None:
    context.pool = Pool(
        {f"w{i}": (count, racks[i] if racks else "a") for i, count in enumerate(cores)}
    )
    context.draw_seconds = lambda: FOREVER


@given("a pool with workers w0 and w1 in rack a and w2 in rack b, of 4 cores each")
def build_racks(context):
    _build_pool(context, [4, 4, 4], "aab")


@given("a pool with {count:d} workers of {cores:d} cores")
@given("a pool with {count:d} worker of {cores:d} cores")
def build_pool(context, count, cores):
    _build_pool(context, [cores] * count)


@given("a pool with w0 of {first:d} cores and w1 of {second:d} cores")
def build_unequal_pool(context, first, second):
    _build_pool(context, [first, second])


@given("a same-rack job of 2 tasks of {cores:d} cores runs on w0 and w1")
def run_same_rack_job(context, cores):
    context.job = context.pool.add_job(build_step(2, cores, same_rack=True))
    for name in list_tasks(context.job):
        context.pool.run_task(name, f"w{name.index}", FOREVER)


@given("a job of 1 task of {cores:d} cores runs on w0")
def run_job(context, cores):
    # Only the tasks of steps that limit interruptions are moved off cordoned workers.
    context.job = context.pool.add_job(build_step(1, cores, most_away=1))
    context.pool.run_task(list_tasks(context.job)[0], "w0", FOREVER)


@given("{worker:w} refuses long-running tasks")
def refuse_tasks(context, worker):
    context.pool.refusing.add(worker)


def _run_short_tasks(context, counts: dict[str, int]) -> None:
    pool = context.pool
    job = pool.add_job(build_short_step(sum(counts.values())))
    names = iter(list_tasks(job))
    for worker, count in counts.items():
        for _ in range(count):
            pool.run_task(next(names), worker, FOREVER)


@given("{count:d} short tasks of 1 core run on {worker:w}")
def run_short_tasks(context, count, worker):
    _run_short_tasks(context, {worker: count})


@given("short tasks of 1 core fill {workers}")
def fill_workers(context, workers):
    names = list(context.pool.links) if workers == "all workers" else _split(workers)
    _run_short_tasks(
        context, {name: context.pool.links[name].entry.millicores // 1000 for name in names}
    )


@given("{seconds:g} s later, short tasks of 1 core fill {worker:w}")
def fill_worker_later(context, seconds, worker):
    context.pool.clock.seconds += seconds
    fill_workers(context, worker)


@given(
    "short tasks of {cores:d} cores and about {length:g} s fill the other workers again and again, "
    "seed {seed:d}"
)
def fill_again_and_again(context, cores, length, seed):
    source, pool = random.Random(seed), context.pool
    context.draw_seconds = lambda: (
        source.expovariate(1 / length) if source.random() < 0.8 else 3 * length
    )
    job = pool.add_job(build_short_step(3000, cores))
    pool.open_steps[job.identifier, 0, 0] = job.steps[0, 0]
    _play(context, 30)


@given(
    "a gang of 2 tasks of {cores:d} cores has secured room for task 0 on w0 and claimed room for "
    "task 1 there"
)
def secure_gang(context, cores):
    pool = context.pool
    context.job = pool.add_job(build_step(2, cores, gang=True))
    first, second = list_tasks(context.job)
    step = context.job.steps[0, 0].spec
    _secure(pool, first, step)
    pool.claims.set(second, step, pool.links["w0"].capacity)


@given("a gang of 2 tasks of {cores:d} cores has secured room for task 0 on w0")
def secure_gang_member(context, cores):
    context.job = context.pool.add_job(build_step(2, cores, gang=True))
    _secure(context.pool, list_tasks(context.job)[0], context.job.steps[0, 0].spec)


@when("another job of 1 task of {cores:d} cores is displaced")
def displace_other_job(context, cores):
    context.pool.displace(context.pool.add_job(build_step(1, cores)))


def _secure(pool: Pool, name: TaskName, step: StepSpec) -> None:
    outcome = pool.claims.secure(name, step, [pool.links["w0"].capacity])
    assert outcome == "secured", outcome


@given("a job of 1 task of {cores:d} cores has secured room on w0")
def secure_job(context, cores):
    context.job = context.pool.add_job(build_step(1, cores))
    _secure(context.pool, list_tasks(context.job)[0], context.job.steps[0, 0].spec)


@given(
    "a job of 2 tasks of {cores:d} cores, at most 1 per worker, has claimed room for task 0 on w0"
)
def claim_with_limit(context, cores):
    pool = context.pool
    context.job = pool.add_job(build_step(2, cores, most_per_worker=1))
    name = list_tasks(context.job)[0]
    pool.claims.set(name, context.job.steps[0, 0].spec, pool.links["w0"].capacity)


@when("a stray run of task 1 is found on w0")
def find_stray_run(context):
    pool, name = context.pool, list_tasks(context.job)[1]
    usage = compute_usage(name, context.job.steps[0, 0].spec)
    pool.links["w0"].capacity.reserve((name, 1), usage)
    task = pool.find_task(name)[2]
    task.status, task.worker = ORDERED, "w0"


@when("{worker:w} leaves in {seconds:g} s")
def announce_departure(context, worker, seconds):
    context.pool.announce_departure(worker, notice_seconds=seconds)


@when("{worker:w} is cordoned")
def cordon_worker(context, worker):
    context.cordoned_at = context.pool.clock.seconds
    context.pool.announce_departure(worker, notice_seconds=None)


@when("{worker:w} shrinks to {cores:d} cores")
def shrink_worker(context, worker, cores):
    link = context.pool.links[worker]
    link.entry = link.entry._replace(millicores=cores * 1000)
    link.capacity.resize(link.entry)


@when("the link to {worker:w} is replaced")
def replace_link(context, worker):
    link = context.pool.links[worker]
    context.former = link.capacity
    context.former.usable = False
    link.capacity = WorkerCapacity(link.entry)
    link.capacity.usable = True


@then("the former capacity of w0 holds no claim")
def expect_no_former_claim(context):
    assert not context.former.claims and not context.former.secured, context.former.claims


@when("a job of {count:d} task of {cores:d} cores is displaced")
@when("a job of {count:d} tasks of {cores:d} core is displaced")
def displace_new_job(context, count, cores):
    context.job = context.pool.add_job(build_step(count, cores))
    context.pool.displace(context.job)


@when("a job of 1 task of {cores:d} cores that has a ticket for {worker:w} is displaced")
def displace_advised_job(context, cores, worker):
    context.job = context.pool.add_job(build_step(1, cores), advised=True)
    context.pool.tickets[context.job.identifier] = {worker: "ticket"}
    context.pool.displace(context.job)


@when("a gang of {count:d} tasks of {cores:d} cores is displaced")
def displace_new_gang(context, count, cores):
    context.job = context.pool.add_job(build_step(count, cores, gang=True))
    context.pool.displace(context.job)


@when("the gang is displaced")
@when("the job is displaced")
@when("task 0 is displaced")
def displace_job(context):
    context.pool.displace(context.job)


def _play(context, seconds: float, is_over=lambda: False) -> None:
    pool = context.pool
    end = pool.clock.seconds + seconds
    while pool.clock.seconds < end and not is_over():
        pool.scan(context.draw_seconds)


@when("plans go on for {seconds:g} s")
def pass_seconds(context, seconds):
    _play(context, seconds)


def _find_start(context, index: int):
    """Returns the last start of a task of the job that was not refused."""
    pool = context.pool
    for start in reversed(pool.starts):
        if start.name == list_tasks(context.job)[index] and start.worker not in pool.refusing:
            return start
    return None


def _expect_start(context, index: int, workers: list[str], seconds: float):
    pool, name = context.pool, list_tasks(context.job)[index]
    _play(context, MAX_PLAY_SECONDS, lambda: _find_start(context, index))
    start = _find_start(context, index)
    claim = pool.claims.find(name)
    assert start is not None, ("not started", pool.starts[-5:], claim and claim.entry.worker)
    assert start.worker in workers, start
    assert start.at - pool.ended_at[name] <= seconds + 1e-6, (start, pool.ended_at[name])


@then("task {index:d} starts on {worker:w} within {seconds:g} s after its end")
def expect_start_on(context, index, worker, seconds):
    _expect_start(context, index, [worker], seconds)


@then("task {index:d} starts on one of {workers} within {seconds:g} s after its end")
def expect_start_on_one(context, index, workers, seconds):
    _expect_start(context, index, _split(workers), seconds)


@then("task {index:d} starts within {seconds:g} s after its end")
def expect_start(context, index, seconds):
    _expect_start(context, index, list(context.pool.links), seconds)


@then("all its tasks start on {worker:w} within {seconds:g} s after their end")
def expect_starts_on(context, worker, seconds):
    for name in list_tasks(context.job):
        _expect_start(context, name.index, [worker], seconds)


@then("all its tasks start within {seconds:g} s after their end")
def expect_starts(context, seconds):
    for name in list_tasks(context.job):
        _expect_start(context, name.index, list(context.pool.links), seconds)


@then("its claim stays on one worker until short runs are stopped for it")
def expect_steady_claim(context):
    pool, name = context.pool, list_tasks(context.job)[0]
    _play(context, MAX_PLAY_SECONDS, lambda: bool(pool.list_stopped() or _find_start(context, 0)))
    history = pool.claim_history[name]
    assert len(history) == 1, history


@then("task {index:d} starts elsewhere within {seconds:g} s after the cordon")
def expect_move(context, index, seconds):
    _play(context, MAX_PLAY_SECONDS, lambda: _find_start(context, index))
    start = _find_start(context, index)
    assert start is not None and start.worker != "w0", start
    assert start.at - context.cordoned_at <= seconds + 1e-6, (start, context.cordoned_at)


@then("no short run is stopped")
def expect_no_stop(context):
    stopped = context.pool.list_stopped()
    assert not stopped, stopped


@then("at most {count:d} short runs are stopped")
def expect_few_stops(context, count):
    stopped = context.pool.list_stopped()
    assert len(stopped) <= count, stopped


@then("there is no claim")
def expect_no_claim_left(context):
    kept = context.pool.claims.list_tasks()
    assert not kept, kept
    assert not any(link.capacity.claims for link in context.pool.links.values())


@then("each task has had a claim for {seconds:g} s, on one worker")
def expect_old_claims(context, seconds):
    pool = context.pool
    for name in list_tasks(context.job):
        age = pool.claims.measure_age(name)
        assert age >= seconds - 1e-6, (name.index, age)
        assert len(pool.claim_history[name]) == 1, pool.claim_history[name]


@then("no worker has more runs than it has room for")
def expect_no_overcommitment(context):
    for link in context.pool.links.values():
        assert not link.capacity.is_overcommitted, link.worker


@then("the next 4 plans make claims for {numbers} tasks")
def expect_bounded_plans(context, numbers):
    found = []
    for _ in range(4):
        context.pool.plan(context.draw_seconds)
        found.append(len(context.pool.claims.list_tasks()))
    assert found == [int(number) for number in _split(numbers)], found


@when("a worker goes through {count:d} random claims, reservations and ends with seed {seed:d}")
def change_claims_at_random(context, count, seed):
    source, capacity = random.Random(seed), WorkerCapacity(build_entry("w0"))
    names = [TaskName("a" * 16, 0, 0, index) for index in range(6)]
    context.differences = []
    for number in range(count):
        name = source.choice(names)
        step = StepSpec(
            millicores=source.randint(1, 9),
            memory_mb=source.randint(1, 9),
            accelerators=source.randint(0, 2),
            long_running=source.random() < 0.5,
        )
        change = source.randrange(5)
        if change == 0:
            capacity.claim(name, compute_usage(name, step))
        elif change == 1 and name in capacity.claims:
            capacity.secure_claim(name)
        elif change == 2:
            capacity.release_claim(name)
        elif change == 3:
            capacity.reserve(name, compute_usage(name, step))
        elif change == 4:
            capacity.release(name)
        _compare_sums(context, capacity, number)


def _sum_amounts(usages) -> Amounts:
    total = Amounts(0, 0, 0)
    for usage in usages:
        total = total.add(usage)
    return total


def _compare_sums(context, capacity: WorkerCapacity, number: int) -> None:
    """Notes where the sums that a worker keeps differ from its claims and runs."""
    claimed = _sum_amounts(capacity.claims.values())
    secured = _sum_amounts(capacity.claims[name] for name in capacity.secured)
    reserved = _sum_amounts(capacity.usages.values())
    long_running = _sum_amounts(u for u in capacity.usages.values() if u.long_running)
    found = (
        capacity._claimed,
        capacity._secured,
        capacity._long_running,
        Amounts(capacity.millicores, capacity.memory_mb, capacity.accelerators),
    )
    if found != (claimed, secured, long_running, reserved):
        context.differences.append((number, found))


@then("its sums agree with its claims and runs after each of them")
def expect_equal_sums(context):
    assert not context.differences, context.differences[0]
