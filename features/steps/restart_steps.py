"""Steps on entry hosts that start again while their group membership still runs."""

from __future__ import annotations

from behave import given, then, when
from platform_builders import build_identifier
from restart_builders import RestartHarness

from carawayd.process.ownership import MEMBERSHIP_TTL_MS


@given("1 entry host and {workers:d} workers on a platform where hosts restart")
def start_platform(context, workers):
    context.platform = RestartHarness(hosts=1, workers=workers)
    context.add_cleanup(context.platform.close)
    context.platform.run(context.platform.await_owner())


@given("workers take {seconds:g} s for each task")
def set_run_seconds(context, seconds):
    for worker in context.platform.workers.values():
        worker.run_seconds = seconds


@when("{member} is killed and started again at once")
def restart(context, member):
    context.members_before = context.platform.list_members()
    context.platform.run(context.platform.restart_host(member))


@when("{member} is killed and started again after its membership has expired")
def restart_later(context, member):
    platform = context.platform
    settings = platform.hosts[member].settings
    platform.run(platform.kill_host(member))
    platform.run(platform.pause(2 * max(MEMBERSHIP_TTL_MS, settings.least_ttl_ms) / 1000))
    platform.run(platform.start_host(member))


@when("job {number:d} is accepted by {member}")
def submit(context, number, member):
    assert context.platform.run(context.platform.submit(member, number)) == 200


@then("it has another member name than before")
def expect_other_member(context):
    assert not context.members_before & context.platform.list_members(), context.members_before


@then("the store has the records of jobs {first:d} and {second:d}")
def expect_records(context, first, second):
    expected = {build_identifier(first), build_identifier(second)}
    stored = context.platform.list_stored_keys()
    assert expected <= stored, (expected, stored)


@then("jobs {first:d} and {second:d} become completed, with one run of each task")
def expect_completion(context, first, second):
    platform = context.platform
    for number in (first, second):
        platform.run(platform.await_state("entry-0", number, "completed"))
    assert set(platform.count_starts().values()) == {1}, platform.count_starts()
