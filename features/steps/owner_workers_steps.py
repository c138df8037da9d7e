"""Steps on the owner's view of its workers: capacity, leases, and workers that are gone."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from owner_builders import BORN, WORKER, OwnerHarness

from carawayd.partition.contactloss import UNRESPONSIVE_PREFIX
from carawayd.partition.workerlink import STARTED, UNKNOWN, StartOrder
from carawayd.platform.common import PermissionEnded, PlatformError, PlatformUnreached
from carawayd.platform.runs import OrderRefused, OtherIncarnation, WorkerReport
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import CANCELLED, ORDERED, WAITING

JOB = "a" * 16
TASK = TaskName(JOB, 0, 0, 0)
POLL_S = 0.25


def _start(context) -> OwnerHarness:
    context.harness = OwnerHarness()
    context.add_cleanup(context.harness.close)
    return context.harness


def _succeed(context) -> OwnerHarness:
    context.harness = context.harness.succeed()
    context.add_cleanup(context.harness.close)
    return context.harness


@given("an owner whose worker of {cores:d} cores lists run 1 of a cancelled job of {size:d} cores")
def list_cancelled(context, cores, size):
    harness = _start(context)
    task = harness.add_workflow(JOB, size * 1000)
    harness.owner.workflows[JOB].state = CANCELLED
    harness.list_worker(millicores=cores * 1000)
    harness.report([(task, 1)])


@given("an owner whose worker of {cores:d} cores lists run 1 of an unknown job")
def list_unknown(context, cores):
    harness = _start(context)
    harness.list_worker(millicores=cores * 1000)
    harness.report([(TASK, 1)])


@given(
    "an owner that has started run {run:d} of a job of {size:d} cores"
    " on a worker of {cores:d} cores"
)
def start_run(context, run, size, cores):
    harness = _start(context)
    task = harness.add_workflow(JOB, size * 1000)
    harness.list_worker(millicores=cores * 1000)
    harness.report(clock_ms=40_000)
    harness.order(task, run, state=STARTED, absence_certain_after_ms=40_000)


@given("an owner with a worker that has not reported")
def list_silent(context):
    _start(context).list_worker()


@given("an owner whose worker reported {seconds:g} s ago and has no tasks")
def report_earlier(context, seconds):
    harness = _start(context)
    harness.add_workflow(JOB, 2000)
    link = harness.list_worker()
    harness.report(clock_ms=50_000)
    # The renewal that follows a report.
    harness.run(link._request_report())
    harness.clock.seconds += seconds


@given("an owner whose membership is not current and whose worker has reported once")
def report_once(context):
    harness = _start(context)
    harness.may_renew = False
    link = harness.list_worker()
    harness.report(clock_ms=50_000)
    harness.run(link._request_report())


@given("an owner whose start order of run 1 got no response")
def lose_response(context):
    harness = _start(context)
    task = harness.add_workflow(JOB, 2000)
    harness.list_worker()
    harness.report(clock_ms=40_000)
    harness.order(task, 1, state=UNKNOWN, absence_certain_after_ms=41_500)


@given("an owner with a worker that was cordoned for {seconds:g} s")
def cordon(context, seconds):
    harness = _start(context)
    harness.list_worker()
    harness.report()
    harness.run(harness.owner.cordon([WORKER, seconds]))


@when("the worker lists nothing more")
def list_nothing(context):
    context.harness.report(clock_ms=51_000)


@when("the worker lists run {run:d}")
def list_run(context, run):
    context.harness.report([(TASK, run)])


@when("the worker lists run {run:d} and the end of run {ended:d}")
def list_end(context, run, ended):
    context.harness.report([(TASK, run)], [(TASK, ended, "stopped")])


@when("the worker lists runs {first:d} and {second:d}")
def list_both(context, first, second):
    context.harness.report([(TASK, first), (TASK, second)])


@when("a report shows that the worker was born again")
def report_birth(context):
    context.harness.report(clock_ms=100, born=BORN + 7)


@when("its entry tells the new birth and {cores:d} cores")
def update_entry(context, cores):
    context.harness.list_worker(millicores=cores * 1000, born=BORN + 7)


@when("the response to a start order is lost")
def lose_start_response(context):
    harness = context.harness
    harness.order(TASK, 1, state="sending", absence_certain_after_ms=0)
    harness.runs.error = PlatformError("no response")
    harness.assume_recent_report()
    harness.run(harness.owner.links[WORKER].start_task(TASK, StartOrder(1, "text", "")))


@given("an owner whose worker reported {seconds:g} s ago, {clock:d} ms after its start")
def report_young(context, seconds, clock):
    harness = _start(context)
    harness.add_workflow(JOB, 2000)
    harness.list_worker()
    harness.report(clock_ms=clock)
    harness.clock.seconds += seconds


@when("a start order is answered by a worker whose clock shows {clock:d} ms")
def answer_start(context, clock):
    harness = context.harness
    harness.order(TASK, 1, state="sending", absence_certain_after_ms=0)
    harness.runs.clock_ms = clock
    harness.assume_recent_report()
    harness.run(harness.owner.links[WORKER].start_task(TASK, StartOrder(1, "text", "")))


@when("the next report is read {seconds:g} s after it was asked for")
def read_report(context, seconds):
    harness = context.harness
    harness.run(harness.owner.links[WORKER]._request_report())
    harness.clock.seconds += seconds
    harness.report()
    harness.run(harness.owner.links[WORKER]._request_report())


@then("the request after it renews no lease")
def expect_no_renewal(context):
    assert context.harness.runs.renewals[-1] is None


@then("the request after it renews the lease")
def expect_renewal(context):
    assert context.harness.runs.renewals[-1] is not None


@when("the same life of the worker reports, and its clock shows {clock:d} ms")
def report_same_life(context, clock):
    context.harness.report(running=[(TASK, 1)], clock_ms=clock)


@when("its epoch rises while a start order is refused for its fencing token")
def refuse_earlier_epoch(context):
    harness = context.harness
    harness.order(TASK, 1, state="sending", absence_certain_after_ms=0)

    async def refuse(*_arguments, **_options):
        harness.owner.fence += 1
        raise OrderRefused("fenced")

    harness.runs.start = refuse
    harness.run(harness.owner.links[WORKER].start_task(TASK, StartOrder(1, "text", "")))


def _refuse_renewal(context, raised: int) -> None:
    """Has the next renewal refused, while the epoch rises, and ends the link after it."""
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.order(TASK, 1, state=STARTED, absence_certain_after_ms=0)

    async def renew(*_arguments, **_options):
        if harness.runs.calls:
            link.closed = True
            raise PermissionEnded("the test ends")
        harness.runs.calls.append(("renew", "", 0))
        harness.owner.fence += raised
        raise OrderRefused("fenced")

    harness.runs.calls.clear()
    harness.runs.renew = renew
    harness.run(link._poll_reports.fun(link))


@when("its epoch rises while a renewal is refused for its fencing token")
def refuse_earlier_renewal(context):
    _refuse_renewal(context, 1)


@when("a renewal is refused for its fencing token")
def refuse_renewal(context):
    _refuse_renewal(context, 0)


@then("the owner has lost the partition")
def expect_partition_lost(context):
    assert context.harness.owner.lost


@when("a start order is due and the worker reports {outcome}")
def order_after_report(context, outcome):
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.order(TASK, 1, state="sending", absence_certain_after_ms=0)

    async def act() -> None:
        sending = asyncio.ensure_future(link.start_task(TASK, StartOrder(1, "text", "")))
        await asyncio.sleep(0)
        await link._request_report()
        born = BORN + 7 if outcome == "another birth" else BORN
        await link._process_report(WorkerReport(70_000, born, [], []))
        await sending

    harness.run(act())


@then("the start order was sent")
def expect_start(context):
    assert ("start", JOB, 1) in context.harness.runs.calls


@then("no start order was sent and the task waits")
def expect_no_start(context):
    expect_no_orders(context)
    assert context.harness.owner._find_task(TASK)[2].status == WAITING


def _poll(context, error) -> None:
    harness = context.harness
    link = harness.owner.links[WORKER]
    harness.runs.error = error

    async def poll() -> None:
        polling = asyncio.ensure_future(link._poll_reports.fun(link))
        await asyncio.sleep(POLL_S / 2)
        polling.cancel()

    harness.run(poll())


@when("a call to the worker is refused")
def refuse_connection(context):
    _poll(context, PlatformUnreached("connection refused"))


@when("another worker answers at its address")
def answer_as_another(context):
    _poll(context, OtherIncarnation("w7"))


@when("a call to the worker gets no response")
def lose_poll(context):
    _poll(context, PlatformError("no response"))


@when("the worker falls silent and the next owner takes over after {seconds:g} s")
def fall_silent(context, seconds):
    harness = context.harness
    lose_poll(context)
    harness.clock.seconds += seconds
    harness.owner._contact_loss.record_progress()
    following = _succeed(context)
    following.list_worker()
    lose_poll(context)


@when("the next owner reads since when the worker has been silent as a time of day")
def read_earlier_version(context):
    context.harness.written[UNRESPONSIVE_PREFIX + WORKER] = lambda: b"1700000000000"
    following = _succeed(context)
    following.list_worker()
    lose_poll(context)


@when("the time of day jumps by {seconds:g} s")
def jump(context, seconds):
    context.harness.clock.jump_seconds = seconds


@when("the next owner takes over and the time of day jumps by {seconds:g} s")
def take_over_and_jump(context, seconds):
    following = _succeed(context)
    following.list_worker()
    following.report()
    following.clock.jump_seconds = seconds


def _scan(harness) -> None:
    async def scan() -> None:
        harness.owner._scan_workers()

    harness.run(scan())


@when("the worker leaves the list and the next owner takes over")
def leave_list(context):
    _scan(_succeed(context))


@when("the list of workers is read again")
def read_list(context):
    for _ in range(2):
        _scan(context.harness)


@then("the owner has no link to it")
def expect_no_link(context):
    assert WORKER not in context.harness.owner.links


@then("the owner has a link to it")
def expect_link(context):
    assert WORKER in context.harness.owner.links


@then("a stop of run {run:d} was sent")
def expect_stop(context, run):
    assert ("stop", JOB, run) in context.harness.runs.calls, context.harness.runs.calls


@then("a task of {fitting:d} cores fits, one of {larger:d} cores does not")
def expect_room(context, fitting, larger):
    assert context.harness.fits(fitting * 1000)
    assert not context.harness.fits(larger * 1000)


@then("a task of {cores:d} cores fits")
def expect_fit(context, cores):
    assert context.harness.fits(cores * 1000)


@then("no task fits")
def expect_no_fit(context):
    assert not context.harness.fits(1)


def _is_expired_after(context, seconds) -> bool:
    harness = context.harness
    if not hasattr(context, "contact_lost_at"):
        context.contact_lost_at = harness.clock.seconds
    harness.clock.seconds = context.contact_lost_at + seconds
    return harness.owner.links[WORKER].is_lease_expired


@then("after {seconds:g} s without contact the lease is not taken to be over")
def expect_lease(context, seconds):
    assert not _is_expired_after(context, seconds)


@then("after {seconds:g} s without contact it is")
def expect_no_lease(context, seconds):
    assert _is_expired_after(context, seconds)


@then("the next owner waits at least {least:g} s and at most {most:g} s more for the leases")
def expect_wait(context, least, most):
    harness = context.harness
    harness.clock.seconds += least - POLL_S
    lose_poll(context)
    assert harness.owner._find_task(TASK)[2].status == ORDERED
    harness.clock.seconds += most - least
    lose_poll(context)
    assert harness.owner._find_task(TASK)[2].status == WAITING


@then("the worker stays cordoned for {least:g} s and is free after {most:g} s")
def expect_cordon(context, least, most):
    harness = context.harness
    started_at = harness.clock.seconds
    for seconds, cordoned in ((least, True), (most, False)):
        harness.clock.seconds = started_at + seconds
        link = harness.list_worker()
        assert link.cordoned == cordoned, seconds


@then("run {run:d} is taken to be missing")
def expect_missing(context, run):
    task = context.harness.owner._find_task(TASK)[2]
    assert (task.status, task.run) == (WAITING, run), (task.status, task.run)


@then("run {run:d} is not taken to be missing")
def expect_kept(context, run):
    task = context.harness.owner._find_task(TASK)[2]
    assert (task.status, task.run) == (ORDERED, run), (task.status, task.run)


@then("no task was ordered anew")
def expect_no_orders(context):
    assert not [call for call in context.harness.runs.calls if call[0] == "start"]


@then("the owner keeps the partition")
def expect_partition_kept(context):
    assert not context.harness.owner.lost
