"""Steps that test reservations for large short tasks, and fragmentation, without I/O."""

from __future__ import annotations

import re

from behave import given, then, when
from lookahead_builders import NEVER_S, WaitingPool, build_task_step
from workflow_builders import build_worker_capacities

from carawayd.partition.fragmentation import publish_fragmentation
from carawayd.partition.waitreasons import KEPT, WaitReasons
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.lookahead import measure_fragmentation
from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.placement import compute_usage

SERVICE = "booking"
URGENT_PRIORITY = 0


def _parse(text: str) -> list[float]:
    return [float(item) for item in re.split(r", | and ", text)]


def _build(context, count: int, cores: int) -> None:
    context.pool = WaitingPool(count, cores)


def _add_runs(context, cores: int, ends: list[float], estimate_ms: int | None = None) -> None:
    """Adds one run to each worker, or all to the only one, or all to each of several."""
    workers = list(context.pool.links)
    one_each = len(workers) > 1 and len(ends) == len(workers)
    for index, worker in enumerate(workers):
        for seconds in [ends[index]] if one_each else ends:
            estimate = int(seconds * 1000) if estimate_ms is None else estimate_ms
            context.pool.run_short(worker, cores, estimate_ms=estimate, seconds=seconds)


@given("{count:d} workers of 16 cores")
def build_idle_pool(context, count):
    _build(context, count, 16)


@given("{count:d} workers of 16 cores with runs of {cores:d} cores that end after {ends} s")
@given("{count:d} worker of 16 cores with runs of {cores:d} cores that end after {ends} s")
def build_busy_pool(context, count, cores, ends):
    _build(context, count, 16)
    _add_runs(context, cores, _parse(ends))


@given(
    "{count:d} workers of 16 cores with runs of {cores:d} cores, estimated at {ms:d} ms, that end "
    "after {ends} s"
)
def build_pool_with_estimates(context, count, cores, ms, ends):
    _build(context, count, 16)
    _add_runs(context, cores, _parse(ends), ms)


@given("1 worker of 16 cores with a run of {cores:d} cores that ends after {seconds:g} s")
def build_pool_with_run(context, cores, seconds):
    _build(context, 1, 16)
    _add_runs(context, cores, [seconds])


@given(
    "1 worker of 16 cores with a run of {cores:d} cores that is estimated at {seconds:g} s and "
    "never ends"
)
def build_pool_with_endless_run(context, cores, seconds):
    _build(context, 1, 16)
    _add_runs(context, cores, [NEVER_S], int(seconds * 1000))


def _submit(context, cores, due, seconds, *, count=1, estimate_ms=None, **options):
    pool = context.pool
    estimate = int(seconds * 1000) if estimate_ms is None else estimate_ms
    step = build_task_step(cores, estimate, count=count)
    return pool.submit(step, due=pool.clock.seconds + due, seconds=seconds, **options)


@given("a waiting task of {cores:d} cores, due in {due:g} s, that runs for {seconds:g} s")
@when("a large task of {cores:d} cores is submitted, due in {due:g} s, that runs for {seconds:g} s")
def submit_large(context, cores, due, seconds):
    context.large = _submit(context, cores, due, seconds)


@given(
    "a waiting task of {cores:d} cores with an allowance of {allowance:g} s, due in {due:g} s, "
    "that runs for {seconds:g} s"
)
def submit_large_with_allowance(context, cores, allowance, due, seconds):
    allowance_ms = int(allowance * 1000)
    context.large = _submit(context, cores, due, seconds, allowance_ms=allowance_ms)


@given(
    "a waiting task of {cores:d} cores, estimated at {ms:d} ms, due in {due:g} s, that runs for "
    "{seconds:g} s"
)
def submit_large_with_estimate(context, cores, ms, due, seconds):
    context.large = _submit(context, cores, due, seconds, estimate_ms=ms)


@given("{count:d} waiting tasks of {cores:d} cores, due in {due:g} s, that run for {seconds:g} s")
@given("{count:d} waiting task of {cores:d} cores, due in {due:g} s, that runs for {seconds:g} s")
def submit_small(context, count, cores, due, seconds):
    job = _submit(context, cores, due, seconds, count=count)
    context.jobs = [*getattr(context, "jobs", []), job]


@given(
    "{count:d} waiting tasks of {cores:d} cores, due in {due:g} s, that run for {shortest:g} to "
    "{longest:g} s"
)
def submit_different_small(context, count, cores, due, shortest, longest):
    job = _submit(context, cores, due, shortest, count=count)
    context.pool.longest_seconds[job.identifier] = longest
    context.jobs = [job]


@given(
    "{count:d} waiting tasks of {cores:d} cores, estimated at {ms:d} ms, due in {due:g} s, that "
    "run for {seconds:g} s"
)
def submit_small_with_estimate(context, count, cores, ms, due, seconds):
    context.jobs = [_submit(context, cores, due, seconds, count=count, estimate_ms=ms)]


@given("an urgent waiting task of {cores:d} cores, due in {due:g} s, that runs for {seconds:g} s")
@when(
    "an urgent task of {cores:d} cores is submitted, due in {due:g} s, that runs for {seconds:g} s"
)
def submit_urgent(context, cores, due, seconds):
    context.urgent = _submit(context, cores, due, seconds, priority=URGENT_PRIORITY)


@given("room of {cores:d} cores on {worker} is claimed for a long-running task")
def claim_room(context, cores, worker):
    pool = context.pool
    job = pool.add_job(StepSpec(millicores=cores * 1000, memory_mb=1, long_running=True))
    name, step = TaskName(job.identifier, 0, 0, 0), job.steps[0, 0].spec
    pool.claims.set(name, step, pool.links[worker].capacity)


@when("the pool runs for {seconds:g} s")
def play(context, seconds):
    context.pool.play(seconds)


@when("{worker} becomes unusable")
def remove_worker(context, worker):
    context.pool.links[worker].capacity.usable = False


def _describe(context, job) -> dict:
    return context.pool.planner.describe_step(TaskName(job.identifier, 0, 0, 0))


@then("room is reserved on {worker}")
def check_worker(context, worker):
    found = _describe(context, context.large)
    assert found["reservation"]["worker"] == worker, found
    assert found["reservation"]["own"], found


@then("no room is reserved")
def check_none(context):
    found = _describe(context, context.jobs[0])
    assert "reservation" not in found, found


@then("the description of a waiting task of {cores:d} cores names the large task and {worker}")
def check_description(context, cores, worker):
    found = _describe(context, context.jobs[0])["reservation"]
    assert found["worker"] == worker, found
    assert found["task"].startswith(context.large.identifier), found
    assert not found["own"], found


@then("w0 is shown as kept for a large task to the tasks of 6 cores, which is no unexplained wait")
def check_wait_reason(context):
    pool, job = context.pool, context.jobs[0]
    for link in pool.links.values():
        link.silent_seconds = 0.0
    planner = pool.planner
    reasons = WaitReasons(pool.links, planner._isolation, planner.describe_step, pool.clock)
    step = job.steps[0, 0]
    choice = reasons.describe_choice(job, step, TaskName(job.identifier, 0, 0, 0))
    assert choice.obstacles == {KEPT: 1}, choice
    assert not choice.has_room


@then("the large task has started after at most {seconds:g} s")
def check_large(context, seconds):
    start = context.pool.find_start(context.large)
    assert start <= seconds, f"started at {start:.1f} s"


@then("the urgent task has started after at most {seconds:g} s")
def check_urgent(context, seconds):
    start = context.pool.find_start(context.urgent)
    assert start <= seconds, f"started at {start:.1f} s"


@then("the {which} task has started within {seconds:g} s of its submission")
def check_wait(context, which, seconds):
    job = {"large": context.large, "urgent": context.urgent}[which]
    wait = context.pool.find_start(job) - job.submitted
    assert wait <= seconds, f"waited for {wait:.1f} s"


def _count_small(context, before: float = NEVER_S) -> int:
    names = {job.identifier for job in context.jobs}
    return sum(start.name.workflow in names and start.at < before for start in context.pool.starts)


@then("no small task has started before it")
def check_no_small_before(context):
    count = _count_small(context, context.pool.find_start(context.large))
    assert count == 0, f"{count} started"


@then("at least {least:d} small tasks have started before it")
def check_small_before(context, least):
    count = _count_small(context, context.pool.find_start(context.large))
    assert count >= least, f"{count} started"


@then("{expected:d} small task has started before it")
def check_small_count_before(context, expected):
    count = _count_small(context, context.pool.find_start(context.large))
    assert count == expected, f"{count} started"


@then("at least {least:d} small tasks have started")
@then("at least {least:d} small task has started")
def check_small(context, least):
    count = _count_small(context)
    assert count >= least, f"{count} started"


@then("no small task has started beyond the spare room of {cores:d} cores")
def check_spare(context, cores):
    count = _count_small(context)
    assert count * 4 <= cores, f"{count} started"


@given("workers of 64 cores and 128 GB with {free} free cores and {memory} GB of free memory")
def build_fragmented(context, free, memory):
    cores, amounts = _parse(free), _parse(memory)
    context.capacities = build_worker_capacities(len(cores), millicores=64_000, memory_mb=128_000)
    for capacity, core, amount in zip(context.capacities, cores, amounts, strict=True):
        name = TaskName("f" * 16, 0, 0, 0)
        step = StepSpec(
            millicores=64_000 - int(core) * 1000, memory_mb=128_000 - int(amount) * 1000
        )
        capacity.reserve(name, compute_usage(name, step))


@then("their fragmentation for tasks of 13 cores and 25 GB is {share:g}")
def check_fragmentation(context, share):
    found = measure_fragmentation(context.capacities, Amounts(13_000, 25_000, 0))
    assert abs(found - share) < 0.005, found


def _read_metric(metrics: WorkflowMetrics) -> float:
    return metrics.registry.get_sample_value("caraway_pool_fragmentation", {"service": SERVICE})


@then("the metric of fragmentation of the service is {share:g}")
def check_metric(context, share):
    context.metrics, pool = WorkflowMetrics(), context.pool
    publish_fragmentation([SERVICE], pool.workflows, pool.links, context.metrics)
    assert _read_metric(context.metrics) == share


@then("it is {share:g} once the partition is no longer owned")
def check_cleared_metric(context, share):
    publish_fragmentation([SERVICE], {}, {}, context.metrics)
    assert _read_metric(context.metrics) == share
