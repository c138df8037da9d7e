"""Steps that append records to a stream and check the folded state and the claims."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when
from builders import StreamBuilder, build_configuration

from carawayshore import records
from carawayshore.claims import ClaimHolder, ClaimSettings
from carawayshore.testing import ManualClock


@given("a stream with the members {names}")
def join_members(context, names):
    context.stream = StreamBuilder()
    context.claims_sent = {}
    for name in names.split(", "):
        context.stream.join(name)


@when("{name} pauses maintenance")
def pause_maintenance(context, name):
    context.stream.append(name, records.MaintenancePaused(name, "test")).unwrap()
    context.paused = context.stream.log[-1]


@when("{name} resumes maintenance")
def resume_maintenance(context, name):
    context.stream.append(name, records.MaintenanceResumed(name)).unwrap()


@when("the append of {name} arrives a second time")
def repeat_pause(context, name):
    context.result = context.stream.repeat(context.paused)


@then("maintenance is not paused")
def expect_not_paused(context):
    assert context.stream.state.pause is None, context.stream.state.pause


@given("a host {host} of the pool {pool}")
def add_host(context, host, pool):
    resources = records.Resources(16, 64)
    body = records.HostAdded(host, pool, "127.0.0.1:1", "r1", 8, 64, resources)
    context.stream.append("umea-1", body).unwrap()


@when("{name} joins again")
def join_again(context, name):
    context.stream.join(name).unwrap()


@when("a join of {name} with its first incarnation arrives late")
def join_late(context, name):
    first = context.stream.first_incarnation(name)
    body = records.MemberJoined(name, first, "127.0.0.1:1", "127.0.0.1:2")
    context.result = context.stream.append(name, body, incarnation=first)


@when("the first process of {name} publishes a configuration")
def publish_late(context, name):
    body = records.ConfigurationPublished(0, build_configuration(), name)
    first = context.stream.first_incarnation(name)
    context.result = context.stream.append(name, body, incarnation=first)


@when("{name} starts the move of {host} to {pool} under its own fence")
def start_move(context, name, host, pool):
    fence = context.stream.fences[name, "fleet"]
    body = records.HostDrainStarted(host, 1, pool, "move", fence)
    context.result = context.stream.append(name, body)


@when("{name} grants the key {key} to the request {request}")
def grant_key(context, name, key, request):
    body = records.KeyGranted(key, request, name, context.stream.first_incarnation(name))
    context.result = context.stream.append(name, body)


@given(
    "{name} competes for the claim {claim}"
    " with a lifetime of {lifetime:g} s and a margin of {margin:g} s"
)
def compete(context, name, claim, lifetime, margin):
    context.clock = ManualClock()
    context.competitor = name
    context.holder = ClaimHolder(
        claim,
        member=name,
        incarnation=context.stream.first_incarnation(name),
        clock=context.clock,
        settings=ClaimSettings(timedelta(seconds=lifetime), timedelta(seconds=margin)),
    )
    context.holder.observe(context.stream.state)


@when("its record is appended and read back after {seconds:g} s")
def append_and_read_back(context, seconds):
    context.stream.append(context.competitor, context.holder.next_record()).unwrap()
    context.clock.advance(timedelta(seconds=seconds))
    context.holder.observe(context.stream.state)


@when("the clock advances by {seconds:g} s")
def advance(context, seconds):
    context.clock.advance(timedelta(seconds=seconds))


@then("it holds the claim")
def expect_holding(context):
    assert context.holder.holds(), context.holder.remaining()


@then("it does not hold the claim")
def expect_not_holding(context):
    assert not context.holder.holds(), context.holder.remaining()


@then("it has nothing to append")
def expect_no_record(context):
    assert context.holder.next_record() is None


@then("it appends a record that takes the claim")
def expect_take(context):
    assert isinstance(context.holder.next_record(), records.ClaimTaken)


@given("{name} takes the claim {claim}")
@when("{name} takes the claim {claim}")
def take_claim(context, name, claim):
    context.result = context.stream.take(name, claim)


@when("{name} publishes a configuration based on version {version:d}")
def publish(context, name, version):
    context.result = context.stream.publish(name, version)


@when("the last record is appended again")
def repeat_last(context):
    context.result = context.stream.repeat_last()


@when("{name} renews the claim {claim} under its own fence")
def renew_claim(context, name, claim):
    fence = context.stream.fences[name, claim]
    context.result = context.stream.append(name, records.ClaimRenewed(claim, fence, 1))


@then("the record is rejected")
def expect_rejected(context):
    assert context.result.failure().reason, context.result


@then("the record is accepted")
def expect_accepted(context):
    context.result.unwrap()


@then("{name} holds the claim {claim}")
def expect_holder(context, name, claim):
    assert context.stream.state.claims[claim].member == name, context.stream.state.claims


@then("version {version:d} is in force")
def expect_version(context, version):
    assert context.stream.state.configuration.version == version


@then("a second process that folds the same records has the same digest")
def expect_same_digest(context):
    first, second = context.stream.state.digest(), context.stream.fold_again().digest()
    assert first == second, (first, second)
