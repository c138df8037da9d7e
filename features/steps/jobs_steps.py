"""Steps for job planning, job records, task supervision and jobs in a whole deployment."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from datetime import datetime, timedelta

from behave import given, then, when
from builders_jobs import SIZE, Deployment, JobStream, TaskBench, build_submission

from carawayshore import records
from carawayshore.placement import HostCapacity, PlacedTask, QueuedJob, SizeCorrector, plan_jobs
from carawayshore.records import Resources


def _queued_job(job, processors=1.0, **changes):
    size = Resources(processors, 1.0, 0)
    return QueuedJob(job, "p", "t", size, size, False, "2026", 0)._replace(**changes)


@given("{count:d} random jobs for {hosts:d} random hosts")
def build_random(context, count, hosts):
    seed = random.randrange(10**6)
    print(f"seed {seed}")
    rng = random.Random(seed)

    def draw_size(largest):
        return Resources(rng.uniform(0, largest), rng.uniform(0, largest), rng.randrange(3))

    context.hosts = [HostCapacity(f"h{n}", "p", draw_size(30)) for n in range(hosts)]
    sizes = [draw_size(8) for _ in range(count)]
    context.queued_jobs = [
        QueuedJob(f"j{n}", "p", f"t{n % 3}", size, size, n % 5 == 0, f"{rng.random()}", n)
        for n, size in enumerate(sizes)
    ]


@when("they are planned with a quota of {quota:d} for each team")
def plan_with_quota(context, quota):
    context.quota = quota
    context.plan = plan_jobs(context.queued_jobs, context.hosts, {f"t{n}": quota for n in range(3)})


@then("no host and no quota is exceeded")
def expect_within_limits(context):
    placements = context.plan.placements
    assert len({placed.job for placed in placements}) == len(placements) > 10
    for host in context.hosts:
        used = [placed.resources for placed in placements if placed.host == host.host]
        for index, size in enumerate(host.resources):
            assert sum(resources[index] for resources in used) <= size + 1e-6, host
    teams = Counter(d.team for d in context.queued_jobs if d.job in {p.job for p in placements})
    assert max(teams.values()) <= context.quota, teams


@given("a host with room for 2 jobs")
def build_small_host(context):
    context.hosts = [HostCapacity("h", "p", Resources(2, 2, 0))]


@given("queued jobs late, soon, urgent where urgent is urgent and soon is due first")
def queue_three(context):
    context.queued_jobs = [
        _queued_job("late", deadline="2028"),
        _queued_job("soon", deadline="2026"),
        _queued_job("urgent", deadline="2029", urgent=True),
    ]


@given("a host with 4 processors of which 3 are in use")
def build_used_host(context):
    task = PlacedTask("running", Resources(3, 1, 0), False, False, 1)
    context.hosts = [HostCapacity("h", "p", Resources(4, 9, 0), tasks=(task,))]


@given("a job of 4 processors due before one of 1 processor")
def queue_large(context):
    context.queued_jobs = [_queued_job("large", 4.0), _queued_job("small", deadline="2027")]


@given("a host filled by the tasks once and again where only again is repeatable")
def fill_host(context):
    once = PlacedTask("once", Resources(2, 1, 0), False, False, 9)
    again = PlacedTask("again", Resources(2, 1, 0), False, True, 1)
    context.hosts = [HostCapacity("h", "p", Resources(4, 9, 0), tasks=(once, again))]


@given("an urgent job of the size of one task")
def queue_urgent(context):
    context.queued_jobs = [_queued_job("urgent", 2.0, urgent=True)]


@when("they are planned")
def plan(context):
    context.plan = plan_jobs(context.queued_jobs, context.hosts, {})


@then("the jobs {names} are placed")
def expect_placed(context, names):
    assert [placed.job for placed in context.plan.placements] == names.split(", "), context.plan


@then("no job is placed")
def expect_nothing(context):
    assert not context.plan.placements, context.plan


@then("the tasks {names} are stopped")
def expect_preempted(context, names):
    assert context.plan.preemptions == names.split(", "), context.plan


@given("20 reports that tasks use {used:d} of 8 declared processors")
def report_usage(context, used):
    context.declared = Resources(8, 1, 0)
    context.corrector = SizeCorrector()
    for _ in range(20):
        context.corrector.record_usage("q", context.declared, processors=used, memory=1)
    for _ in range(60):
        context.corrector.record_usage("q", context.declared, processors=used, memory=1)


@given("a host with room for 2 jobs as declared")
def build_declared_host(context):
    context.hosts = [HostCapacity("h", "p", Resources(16, 16, 0))]


@when("{count:d} jobs of that queue are planned")
def plan_corrected(context, count):
    size = context.corrector.correct("q", context.declared)
    queued_jobs = [
        _queued_job(f"j{n}", declared=context.declared, resources=size) for n in range(count)
    ]
    context.plan = plan_jobs(queued_jobs, context.hosts, {})


@then("{count:d} jobs are placed")
def expect_count(context, count):
    assert len(context.plan.placements) == count, context.plan


@given("a stream of jobs with the queued job {job}")
def build_stream(context, job):
    context.stream = JobStream()
    context.stream.add(build_submission(job))


@given("a stream of jobs with the placed job {job}, repeatable: {repeatable}")
def build_placed(context, job, repeatable):
    context.stream = JobStream()
    context.stream.add(build_submission(job, repeatable=repeatable == "yes"))
    context.stream.place(job).unwrap()


@when("{job} is reported as unplaceable")
def report_unplaceable(context, job):
    context.stream.add(records.JobUnplaceable(job, "too large")).unwrap()


@then("placing {job} is rejected")
def expect_not_placed(context, job):
    assert context.stream.place(job).failure().reason
    assert context.stream.state.jobs[job].state == "unplaceable"


@when("another member takes the claim jobs and the former holder places a")
def place_as_former_holder(context):
    stream = context.stream
    fence = stream.state.claims["jobs"].fence
    stream.join("umea-2")
    stream.take("umea-2", "jobs").unwrap()
    stream.add(records.JobPlaced("a", 1, "w1", fence))


@when("the host w1 drains and a is placed on w1")
def place_on_draining(context):
    fence = context.stream.state.claims["fleet"].fence
    context.stream.add(records.HostDrainStarted("w1", 1, "booking", "hold", fence)).unwrap()
    context.stream.place("a")


@when("its attempt ends as {result}")
def end_attempt(context, result):
    context.stream.finish("a", result).unwrap()


@then("the job a is {state}")
def expect_state(context, state):
    stream = context.bench.stream if "bench" in context else context.stream
    job = stream.state.jobs["a"]
    if state.endswith(" with a checkpoint"):
        assert job.checkpoint, job
    assert job.state == state.removesuffix(" with a checkpoint"), job


@given("a task supervisor with the job a, repeatable: {repeatable}")
def note_repeatable(context, repeatable):
    context.repeatable = repeatable == "yes"


def _run_bench(context, scenario):
    async def run():
        context.bench = TaskBench()
        context.bench.submit("a", repeatable=getattr(context, "repeatable", False))
        await scenario(context.bench)

    asyncio.run(run())


@when('the worker has the fault "{fault}" and a is placed for {seconds:d} s')
def place_with_fault(context, fault, seconds):
    async def scenario(bench):
        bench.worker.fault = fault
        bench.place("a")
        await bench.run(seconds)

    _run_bench(context, scenario)


@then("a has started once and is placed")
def expect_one_start(context):
    bench = context.bench
    assert bench.worker.calls["executions"] == 1, bench.worker.calls
    job = bench.stream.state.jobs["a"]
    assert (job.state, job.placement.attempt) == ("placed", 1), job


@then("the worker was asked to start and then to stop, and a is queued")
def expect_start_then_stop(context):
    calls = [verb for verb in context.bench.worker.order if verb in ("start", "stop")]
    assert calls == ["start", "stop"], calls
    assert context.bench.stream.state.jobs["a"].state == "queued"


@when("the claim expires right after a was placed and 30 s pass")
def expire_claim(context):
    async def scenario(bench):
        bench.place("a")
        bench.claim.held = False
        await bench.run(30)

    _run_bench(context, scenario)


@then("the worker was not called to start")
def expect_no_start(context):
    assert context.bench.worker.calls["start"] == 0, context.bench.worker.calls


@when("a runs and its host drains")
def drain_host(context):
    async def scenario(bench):
        bench.place("a")
        await bench.run(2)
        fence = bench.stream.state.claims["fleet"].fence
        bench.log.submit(records.HostDrainStarted("w1", 1, "booking", "hold", fence))
        await bench.run(2)

    _run_bench(context, scenario)


@then("the worker was asked to throttle, checkpoint and stop in this order")
def expect_stop_order(context):
    verbs = ("throttle", "checkpoint", "stop")
    calls = [verb for verb in context.bench.worker.order if verb in verbs]
    assert calls == list(verbs), calls


@given("a task supervisor with {count:d} running jobs")
def note_count(context, count):
    context.count = count


@when("all of them are cancelled at once")
def cancel_all(context):
    names = [f"b{n}" for n in range(context.count)]

    async def scenario(bench):
        for name in names:
            bench.submit(name)
            bench.place(name)
        await bench.run(5)
        bench.worker.latency = timedelta(seconds=0.5)
        context.length_before = len(bench.stream.log)
        for name in names:
            bench.log.submit(records.JobCancelled(name))
        await bench.run(30)

    _run_bench(context, scenario)


@then("the worker got {count:d} slow stops and the log {results:d} results, and all are cancelled")
def expect_cancellations(context, count, results):
    bench = context.bench
    assert bench.worker.calls["stop"] == count, bench.worker.calls
    assert len(bench.stream.log) - context.length_before == count + results
    states = Counter(job.state for name, job in bench.stream.state.jobs.items() if name != "a")
    assert states == {"cancelled": count}, states


QUEUES = {
    "routes": {"pool": "booking", "service": "booking"},
    "alarms": {"pool": "booking", "service": "booking", "urgent": True},
}


@given("a running deployment for jobs where one of 4 workers fails everything")
def start_deployment(context):
    configuration = {
        "data_centres": ["umea", "lulea"],
        "pools": {"booking": {}},
        "services": {"booking": {"pool": "booking"}},
        "queues": QUEUES,
    }
    sizes = {"umea": 4, "lulea": 1}
    context.deployment = Deployment(sizes, configuration=configuration, worker={"processors": 8})
    context.add_cleanup(context.deployment.close)
    launcher = context.deployment.launcher
    context.deployment.run(launcher.set_faults("umea-w1", fail_all=True))


def _submit(context, job, member="umea-1", **changes):
    body = {"job": f"umea:{job}", "queue": "routes", "team": "crew"} | changes
    return context.deployment.call("POST", member, "/v1/jobs", body=body)


def _wait(context, job, seconds=60):
    return context.deployment.call("GET", "umea-2", f"/v1/jobs/umea:{job}?wait={seconds}")[2]


@when("a submission with 3 faults is made")
def submit_faulty(context):
    context.answer = _submit(context, "x", queue="none", repeatable="yes", surplus=1)


@then("it is refused as not run with {count:d} findings")
def expect_findings(context, count):
    status, outcome, document = context.answer
    assert (status, outcome, len(document["findings"])) == (400, "not-run", count), document


@when("{repeatable:d} repeatable jobs and {others:d} others are submitted while answers are lost")
def submit_many(context, repeatable, others):
    run, launcher = context.deployment.run, context.deployment.launcher
    for name in context.deployment.list_workers():
        fails = name == "umea-w1"
        run(launcher.set_faults(name, lose_answers_share=0.2, seed=7, fail_all=fails))
    context.repeatable_jobs = [f"again-{n}" for n in range(repeatable)]
    context.other_jobs = [f"once-{n}" for n in range(others)]
    for name in (*context.repeatable_jobs, *context.other_jobs):
        payload = {"run_seconds": 1.5}
        answer = _submit(context, name, repeatable=name in context.repeatable_jobs, payload=payload)
        assert answer[:2] == (201, "completed"), answer


@when("the holder of the claim jobs is paused for 8 s")
def pause_holder(context):
    deployment = context.deployment
    dump = deployment.call("GET", "umea-1", "/v1/operator/dump", role="operator")[2]
    holder = dump["streams"]["dc.umea"]["claims"]["shown"]["jobs"]["member"]
    deployment.launcher.pause(holder)
    deployment.sleep(8)
    deployment.launcher.resume(holder)


@then("every repeatable job succeeds, and no other job ran twice")
def expect_results(context):
    states = {
        name: _wait(context, name)["state"]
        for name in (*context.repeatable_jobs, *context.other_jobs)
    }
    assert all(states[name] == "succeeded" for name in context.repeatable_jobs), states
    assert all(states[name] in ("succeeded", "failed") for name in context.other_jobs), states
    runs = Counter(entry["job"] for entry in context.deployment.list_executions())
    assert all(runs[f"umea:{name}"] == 1 for name in context.other_jobs), runs


@then("the failing worker was given at most {count:d} tasks")
def expect_ejected(context, count):
    executions = context.deployment.list_executions()
    given_tasks = [entry for entry in executions if entry["worker"] == "umea-w1"]
    assert 0 < len(given_tasks) <= count, len(given_tasks)


@when("a submission is repeated at the other data centre's entry host")
def repeat_submission(context):
    context.first = _submit(context, "same", payload={"run_seconds": 0.1})
    context.second = _submit(context, "same", member="lulea-1", payload={"run_seconds": 0.1})
    context.third = _submit(context, "same", member="lulea-1", payload={"run_seconds": 0.2})


@then("it is answered as the first one, and other content is refused")
def expect_same_answer(context):
    assert context.first == context.second and context.first[0] == 201, context.second
    assert context.third[:2] == (409, "not-run"), context.third


@when("the pool is filled with repeatable jobs and an urgent one is submitted")
def submit_urgent(context):
    for number in range(6):
        size = {"processors": 8}
        _submit(context, f"fill-{number}", repeatable=True, resources=size, run_seconds=30)
    context.deployment.sleep(1)
    context.sent = time.time()
    _submit(context, "urgent", queue="alarms", resources=SIZE._asdict(), run_seconds=1)


@then("the urgent one starts within {limit:g} s")
def expect_fast_start(context, limit):
    _wait(context, "urgent")
    started = [
        datetime.fromisoformat(entry["started"]).timestamp()
        for entry in context.deployment.list_executions()
        if entry["job"] == "umea:urgent"
    ]
    waited = started[0] - context.sent
    print(f"waited {waited:.3f} s")
    assert len(started) == 1 and waited <= limit, started


@when("the log is down")
def stop_log(context):
    context.deployment.run(context.deployment.launcher.set_faults("log", outage=True))
    context.deployment.sleep(2)


@then("a submission is refused as not run")
def expect_refused(context):
    status, outcome, _ = _submit(context, "too-late")
    assert (status, outcome) == (503, "not-run"), (status, outcome)
