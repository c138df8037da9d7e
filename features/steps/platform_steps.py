"""Steps that run workflows on the stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta

import msgspec
from behave import given, then, when
from platform_builders import (
    PlatformHarness,
    build_identifier,
    build_job,
    build_operator_configuration,
    build_route,
)
from workflow_builders import build_workflow

from carawayd.partition.owner import Reply
from carawayd.process.exchange import EXPIRED, READ_CLOCK, PeerUnreachable
from carawayd.process.ownercalls import MAX_SUBMISSION_AGE_SECONDS


@given("{hosts:d} entry hosts and {workers:d} workers on the platform")
def start_platform(context, hosts, workers):
    context.platform = PlatformHarness(hosts=hosts, workers=workers)
    context.add_cleanup(context.platform.close)
    context.platform.run(context.platform.await_owner())


@given("tasks run for {seconds:g} s")
def set_run_seconds(context, seconds):
    for worker in context.platform.workers.values():
        worker.run_seconds = seconds


@given("the queue has a placement policy that allows {worker:w}")
def set_placement_policy(context, worker):
    platform = context.platform
    route = build_route() | {"advice": {"decisionMs": 5, "perWorkerMs": 1, "validMs": 3000}}
    platform.store.put("keyed.op", "config", build_operator_configuration(2, route))
    platform.store.allowed_tickets = {worker: "ticket-1"}
    for stand_in in platform.workers.values():
        stand_in.required_ticket = "ticket-1"

    def is_applied() -> bool:
        return all(host.discovery.deployment.version == 2 for host in platform.hosts.values())

    platform.run(platform.wait_until(is_applied, "configuration 2 is applied"))


@when("{worker:w} requires a new ticket, which the policy issues after 1 s")
def change_ticket(context, worker):
    context.platform.workers[worker].required_ticket = "ticket-2"

    async def renew_policy():
        await context.platform.pause(1.0)
        context.platform.store.allowed_tickets = {worker: "ticket-2"}

    context.platform.renewal = context.platform._loop.create_task(renew_policy())


@then("no worker refused a start order for its ticket")
def expect_no_refused_tickets(context):
    assert not sum(worker.refused_tickets for worker in context.platform.workers.values())


@then("the policy was asked at most {count:d} times")
def expect_policy_calls(context, count):
    assert len(context.platform.store.advice_calls) <= count, context.platform.store.advice_calls


@given("{worker:w} refuses every start")
def refuse_starts(context, worker):
    context.platform.workers[worker].refuses_starts = True


@when("{worker:w} accepts starts again")
def accept_starts(context, worker):
    context.platform.workers[worker].refuses_starts = False


@when(
    "gang job {number:d} of {count:d} tasks with at most {most:d} on one worker is submitted"
    " through {member}"
)
def submit_gang(context, number, count, most, member):
    _submit(context, number, count, member, gang=True, maxPerServer=most)


@then("its started tasks are stopped within {seconds:g} s")
def expect_gang_stopped(context, seconds):
    platform = context.platform

    def was_stopped() -> bool:
        return any(
            outcome == "stopped" for w in platform.workers.values() for _, _, outcome, _ in w.ends
        )

    platform.run(platform.wait_until(was_stopped, "members are stopped", seconds))


@then("the members of each run started within {seconds:g} s")
def expect_gang_started_together(context, seconds):
    starts = [start for w in context.platform.workers.values() for start in w.starts]
    last_run = max(start.run for start in starts)
    started_at = [start.started_at for start in starts if start.run == last_run]
    assert len(started_at) == 4 and max(started_at) - min(started_at) < seconds, starts


@given("every run fails")
def fail_runs(context):
    for worker in context.platform.workers.values():
        worker.fails_all_runs = True


@given("appends take {seconds:g} s")
def slow_appends(context, seconds):
    context.platform.store.append_delay_seconds = seconds


def _submit(context, number, count, member, **changes):
    status = context.platform.run(context.platform.submit(member, number, count=count, **changes))
    assert status == 200, status


@when("job {number:d} of {count:d} task is submitted through {member}")
@when("job {number:d} of {count:d} tasks is submitted through {member}")
def submit_job(context, number, count, member):
    _submit(context, number, count, member)


@when("long-running job {number:d} of {count:d} tasks is submitted through {member}")
def submit_long_running(context, number, count, member):
    _submit(context, number, count, member, longRunning=True)


@when("job {number:d} of two steps is submitted through {member}")
def submit_two_steps(context, number, member):
    document = build_job(2)
    document["steps"].append({"count": 2, "cpu": 1000, "memMb": 100, "after": [0]})
    status, _, _ = context.platform.run(
        context.platform.call("POST", member, build_identifier(number), document)
    )
    assert status == 200, status


@when("job {number:d} of {count:d} tasks of {cores:d} cores is submitted through {member}")
def submit_large(context, number, count, cores, member):
    _submit(context, number, count, member, cpu=cores * 1000)


@when(
    "long-running job {number:d} of {count:d} task of {cores:d} cores is submitted through {member}"
)
def submit_large_long_running(context, number, count, cores, member):
    # The admission of long-running work does not depend on the backlog: it waits instead of being
    # rejected.
    _submit(context, number, count, member, cpu=cores * 1000, longRunning=True)


@when("job {number:d} is cancelled through {member}")
def cancel_job(context, number, member):
    platform = context.platform

    async def is_cancelled() -> bool:
        return (await platform.call("DELETE", member, build_identifier(number)))[0] == 200

    platform.run(platform.wait_until(is_cancelled, f"job {number} is cancelled"))


@when("all its tasks run")
def await_running(context):
    platform = context.platform

    def all_run() -> bool:
        return len(platform.count_starts()) >= 2 and all(
            worker.starts or len(platform.count_starts()) >= 2
            for worker in platform.workers.values()
        )

    platform.run(platform.wait_until(all_run, "tasks run"))
    platform.run(platform.pause(0.3))


@when("the owner of the partition is killed")
def kill_owner(context):
    platform = context.platform
    owner = platform.run(platform.await_owner())
    platform.run(platform.kill_host(owner))


@when("both entry hosts are killed")
def kill_all_hosts(context):
    for member in list(context.platform.hosts):
        context.platform.run(context.platform.kill_host(member))


@when("a new entry host starts")
def start_new_host(context):
    context.platform.run(context.platform.start_host("entry-9"))


async def _submit_and_reassign(platform, numbers, count):
    for number in numbers:
        assert await platform.submit("entry-0", number, count=count) == 200
        platform.store.rotate_owners("owners")
        await platform.pause(0.6)


@when(
    "jobs {first:d} to {last:d} of {count:d} tasks are submitted and the partitions are"
    " reassigned after each"
)
def submit_and_reassign(context, first, last, count):
    platform = context.platform
    platform.run(_submit_and_reassign(platform, range(first, last + 1), count))


@when("jobs {first:d} to {last:d} of {count:d} task are submitted while a third entry host joins")
def submit_and_join(context, first, last, count):
    platform = context.platform

    async def submit_all_and_join():
        jobs = [platform.submit("entry-0", n, count=count) for n in range(first, last + 1)]
        return await asyncio.gather(platform.start_host("entry-2"), *jobs)

    statuses = platform.run(submit_all_and_join())[1:]
    assert set(statuses) == {200}, statuses


@when(
    "jobs {first:d} to {last:d} of {count:d} tasks are submitted while the owner stops gracefully"
)
def submit_and_stop(context, first, last, count):
    platform = context.platform

    async def submit_during_stop():
        owner = await platform.await_owner()
        other = next(member for member in platform.hosts if member != owner)
        stop = asyncio.ensure_future(platform.stop_host(owner))
        jobs = []
        for number in range(first, last + 1):
            jobs.append(asyncio.ensure_future(platform.submit(other, number, count=count)))
            await platform.pause(0.15)
        context.statuses = await asyncio.gather(*jobs)
        await stop

    platform.run(submit_during_stop())


@then("every submission was answered")
def expect_answers(context):
    assert set(context.statuses) == {200}, context.statuses


@when("jobs {first:d} to {last:d} of {count:d} tasks are submitted")
def submit_jobs(context, first, last, count):
    platform = context.platform
    member = next(iter(platform.hosts))

    async def submit_all():
        return [await platform.submit(member, n, count=count) for n in range(first, last + 1)]

    assert set(platform.run(submit_all())) == {200}


@when("the next {count:d} answers to writes are lost")
def lose_answers(context, count):
    context.platform.store.lose_answers = count


@when("the store is unavailable")
def begin_store_outage(context):
    context.platform.store.outage = True


@when("the store is available again")
def end_store_outage(context):
    context.platform.store.outage = False


@then("a submission through the owner is answered 429, 503 or 504 within {seconds:g} s")
def expect_rejection(context, seconds):
    platform = context.platform

    async def submit_to_owner():
        owner = platform.find_owner()
        call = platform.call("POST", owner, build_identifier(5), build_job(1))
        return (await asyncio.wait_for(call, seconds))[0]

    status = platform.run(submit_to_owner())
    assert status in (429, 503, 504), status


@when("the history of all topics expires")
def expire_history(context):
    store = context.platform.store
    for topic, number in list(store.latest_values):
        store.expire(topic, number)


@when("configuration {version:d} adds the queue {prefix}")
def add_queue(context, version, prefix):
    document = build_operator_configuration(version, build_route(), build_route(prefix, name="x"))
    context.platform.store.put("keyed.op", "config", document)


@then("the queue {prefix} is served through both entry hosts within {seconds:g} s")
def expect_queue(context, prefix, seconds):
    platform = context.platform

    async def is_served():
        answers = [
            await platform.call("GET", member, "", prefix=prefix) for member in platform.hosts
        ]
        return all(status == 200 for status, _, _ in answers)

    platform.run(platform.wait_until(is_served, f"{prefix} is served", seconds))


@when("the next start order on each worker is executed but not answered")
def lose_start_responses(context):
    for worker in context.platform.workers.values():
        worker.lose_start_responses = 1


@when("start orders on {worker:w} are executed {seconds:g} s late")
def delay_starts(context, worker, seconds):
    context.platform.workers[worker].start_delay_seconds = seconds


@when("w0 and w1 crash and start again at once")
def crash_workers(context):
    async def crash():
        for worker in context.platform.workers.values():
            worker.crash()

    context.platform.run(crash())


@when("all leases last {seconds:g} s more")
def extend_leases(context, seconds):
    async def extend():
        for worker in context.platform.workers.values():
            worker.lease_expiry_ms = worker.clock_ms + seconds * 1000

    context.platform.run(extend())


@when("w0 and w1 are not listed")
def unlist_workers(context):
    for worker in context.platform.workers:
        context.platform.store.put("keyed.servers", worker, None)


@when("w0 and w1 are listed again")
def list_workers(context):
    for worker, stand_in in context.platform.workers.items():
        context.platform.store.put("keyed.servers", worker, stand_in.describe())


@when("{worker:w} stops responding")
def silence_worker(context, worker):
    context.platform.workers[worker].silent = True


@when("{worker:w} reports that it is draining")
def drain_worker(context, worker):
    stand_in = context.platform.workers[worker]
    context.platform.store.put("keyed.servers", worker, stand_in.describe("draining"))
    context.platform.run(context.platform.pause(1.0))
    stand_in.starts.clear()


@when("{worker:w} is cordoned for {seconds:g} s and its owner is killed")
def cordon_worker(context, worker, seconds):
    platform = context.platform

    async def cordon_and_kill():
        member = await platform.await_owner()
        owners = platform.hosts[member].ownership.owners.values()
        owner = next(item for item in owners if item.loaded)
        await platform.wait_until(lambda: worker in owner.links, f"{worker} is known")
        reply = await owner.cordon([worker, seconds])
        assert reply.outcome == "accepted", reply
        await platform.kill_host(member)
        await platform.await_owner(other_than=member)

    platform.run(cordon_and_kill())


@when("a submission of job {number:d} reaches its owner {seconds:g} s after it was forwarded")
def deliver_late(context, number, seconds):
    platform = context.platform

    async def deliver_to_owner():
        host = platform.hosts[await platform.await_owner()]
        partition = next(iter(host.ownership.owners))
        owner = host.ownership.owners[partition]
        await platform.wait_until(lambda: len(owner.links) == 2, "workers are known")
        spec = msgspec.to_builtins(build_workflow(identifier=build_identifier(number)))
        sender = next(item for item in platform.hosts.values() if item is not host)
        address = host.ownership.address

        async def is_connected() -> bool:
            try:
                await sender.peer_rpc.call(address, READ_CLOCK, timeout=1.0)
            except PeerUnreachable:
                return False
            return True

        await platform.wait_until(is_connected, "the hosts are connected")
        link = sender.peer_rpc._links[address]
        # The expiry that the sender gave the call, as if it had been sent earlier.
        process, expiry = link._compute_expiry(MAX_SUBMISSION_AGE_SECONDS - seconds)
        return await link._send_call("submit", (partition, spec), (process, expiry), 1.0)

    outcome, reply = platform.run(deliver_to_owner())
    assert (outcome, reply) == (EXPIRED, None), (outcome, reply)


@when("the time of day on {member} jumps by {seconds:g} s")
def jump_time_of_day(context, member, seconds):
    context.platform.clocks[member].jump = timedelta(seconds=seconds)


@then("jobs {first:d} to {last:d} are accepted through each entry host in turn")
def expect_accepted_in_turn(context, first, last):
    platform = context.platform
    for number in range(first, last + 1):
        member = sorted(platform.hosts)[number % len(platform.hosts)]
        status = platform.run(platform.submit(member, number, count=1))
        assert status == 200, (member, status)


@when("{member} is restarted as another process at its address")
def restart_peer(context, member):
    """Gives the host another process name, as after a restart."""
    rpc = context.platform.hosts[member].peer_rpc
    rpc._process = rpc._process[::-1] + "x"


@when("the first owner does not answer a submission and the second one rejects it")
def reject_second(context):
    replies = iter([(Reply("unready"), True), (Reply("rejected", "full", 1.0), False)])

    async def call_once(*_arguments, **_options):
        return next(replies)

    owners = context.platform.hosts["entry-0"].owner_calls
    owners.call_once = call_once
    context.reply = context.platform.run(owners.call(0, "submit", None, deadline_seconds=3.0))


@then("the caller's entry host reports its outcome as unknown")
def expect_unknown_outcome(context):
    assert context.reply.outcome == "unknown", context.reply


@when("{document} is submitted as job {number:d}")
def submit_malformed(context, document, number):
    context.answer = context.platform.run(
        context.platform.call("POST", "entry-0", build_identifier(number), json.loads(document))
    )


@then("the answer is {status:d} and names {place}")
def expect_error(context, status, place):
    assert context.answer[0] == status, context.answer
    assert place in json.dumps(context.answer[1]), context.answer


@when("the store holds malformed entries of workers and configurations")
def write_malformed_entries(context):
    store = context.platform.store
    store.put("keyed.servers", "w7", {"backend": 5})
    store.put("keyed.servers", "w8", {"backend": "booking", "state": "odd", "capacity": {}})
    store.put("keyed.op", "config", {"version": "x"})
    store.put("keyed.op", "wave/1", {"wave": None})


def _choose_member(context, member):
    if member in context.platform.hosts:
        return member
    return next(iter(context.platform.hosts))


@then("job {number:d} becomes {state:w} through {member}")
def expect_state(context, number, state, member):
    platform = context.platform
    platform.run(platform.await_state(_choose_member(context, member), number, state))


@then("jobs {first:d} to {last:d} become {state:w}")
def expect_states(context, first, last, state):
    platform = context.platform
    for number in range(first, last + 1):
        platform.run(platform.await_state(_choose_member(context, "entry-1"), number, state))


@then("job {number:d} is unknown through either entry host")
def expect_unknown(context, number):
    for member in context.platform.hosts:
        state = context.platform.run(context.platform.read_state(member, number))
        assert state == "410", state


@then("each of its {count:d} tasks completed exactly once")
def expect_completed_once(context, count):
    completions = context.platform.count_completions()
    assert len(completions) == count and set(completions.values()) == {1}, completions


@then("no task completed twice")
def expect_no_second_completion(context):
    completions = context.platform.count_completions()
    assert completions and set(completions.values()) == {1}, completions


@then("no task ever ran twice at the same time")
def expect_no_overlap(context):
    assert not context.platform.find_overlaps(), context.platform.find_overlaps()


@then("no task of the second step started before the first step had ended")
def expect_step_order(context):
    workers = context.platform.workers.values()
    ended = max(at for w in workers for task, _, _, at in w.ends if task.split(".")[2] == "0")
    started_at = min(s.started_at for w in workers for s in w.starts if s.task.split(".")[2] == "1")
    assert started_at >= ended, (started_at, ended)


@then("all its tasks stop within {seconds:g} s and stay stopped")
def expect_stopped(context, seconds):
    platform = context.platform
    platform.run(
        platform.wait_until(
            lambda: not any(worker.running for worker in platform.workers.values()),
            "no task runs",
            seconds,
        )
    )
    platform.run(platform.pause(0.5))
    assert not any(worker.running for worker in platform.workers.values())


@then("no append used a lower epoch than an earlier one in its partition")
def expect_epochs(context):
    """Checks that no append came from an owner that had already lost its partition."""
    highest: dict[tuple[str, int], int] = {}
    for topic, number, _, epoch in context.platform.store.appends:
        assert epoch >= highest.get((topic, number), 0), (topic, number, epoch)
        highest[topic, number] = epoch


@then("no task started on {worker:w}")
def expect_no_starts(context, worker):
    assert not context.platform.workers[worker].starts


@then("each of its {count:d} tasks starts at least {times:d} times")
def expect_restarts(context, count, times):
    platform = context.platform

    def restarted() -> bool:
        starts = platform.count_starts()
        return len(starts) == count and min(starts.values()) >= times

    platform.run(platform.wait_until(restarted, "tasks are restarted"))


@then("it had {count:d} runs")
def expect_runs(context, count):
    assert sum(context.platform.count_starts().values()) == count, context.platform.count_starts()


@then("entry-0 and entry-1 both report {count:d} waiting job")
def expect_waiting(context, count):
    platform = context.platform

    async def is_reported():
        answers = [await platform.call("GET", member, "") for member in ("entry-0", "entry-1")]
        return all(document.get("pending") == count for _, document, _ in answers)

    platform.run(platform.wait_until(is_reported, f"{count} waiting job is reported", 3.0))
