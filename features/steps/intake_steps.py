"""Steps on the account of callers' connections."""

from __future__ import annotations

from behave import given, then, when
from intake_builders import IntakeHarness

from carawayshore.intake import MEGABYTE, Cause, Stage, choose_bounds


@given("an account of {count:d} bytes")
def open_account(context, count):
    context.account = IntakeHarness(bytes_held=count)


@given("an account of {count:d} connections")
def open_account_of_connections(context, count):
    context.account = IntakeHarness(connections=count)


@given('an idle connection "{name}" since {at:g} s')
def add_idle(context, name, at):
    context.account.add(name, Stage.IDLE, at)


@given('a head "{name}" since {at:g} s')
def add_head(context, name, at):
    context.account.add(name, Stage.HEAD, at)


@given('an unfinished request "{name}" since {at:g} s that holds {held:d} bytes')
@when('an unfinished request "{name}" since {at:g} s that holds {held:d} bytes')
def add_unfinished(context, name, at, held):
    context.account.add(name, Stage.BODY, at, held)


@given('a handled request "{name}" since {at:g} s that holds {held:d} bytes')
def add_handled(context, name, at, held):
    context.account.add(name, Stage.HANDLED, at, held)


@when('"{name}" receives {size:d} bytes at {at:g} s')
def receive(context, name, size, at):
    context.account.intake.record_received(context.account.callers[name], size, at)


@then('"{name}" is shed for {cause} at {at:g} s')
def check_shed(context, name, cause, at):
    shed = context.account.shed_all(at)
    assert shed == [(name, Cause(cause))], shed


@then('"{first}" and "{second}" are shed for {cause} at {at:g} s')
def check_two_shed(context, first, second, cause, at):
    shed = context.account.shed_all(at)
    assert shed == [(first, Cause(cause)), (second, Cause(cause))], shed


@then("nothing is shed at {at:g} s")
def check_nothing_shed(context, at):
    assert context.account.shed_all(at) == []


@then(
    "these expire: at 2.9 s none, at 3 s head, at 15 s head and idle, at 30 s head, idle and body"
)
def check_expiry(context):
    expected = {2.9: set(), 3: {"head"}, 15: {"head", "idle"}, 30: {"head", "idle", "body"}}
    for at, names in expected.items():
        assert set(context.account.list_expired(at)) == names, at
    assert context.account.list_expired(30) == {
        "head": Cause.HEAD_TIMEOUT,
        "idle": Cause.IDLE,
        "body": Cause.BODY_TIMEOUT,
    }


@then("nothing expires at {at:g} s")
def check_nothing_expires(context, at):
    assert context.account.list_expired(at) == {}


@then("a machine of 200 MB holds 50 MB for callers, and one of unknown memory 64 MB")
def check_memory_bounds(context):
    assert choose_bounds(200, 4100).held_bytes == 50 * MEGABYTE
    assert choose_bounds(0, 4100).held_bytes == 64 * MEGABYTE


@then("4100 descriptors allow 3300 connections, and 300 descriptors allow 150")
def check_descriptor_bounds(context):
    assert choose_bounds(200, 4100).connections == 3300
    assert choose_bounds(200, 300).connections == 150


@then("of sheds at 1, 2 and 3 s only the first begins, and the end is told once, at 8 s")
def check_shedding_told_once(context):
    intake = context.account.intake
    assert [intake.record_shed(at) for at in (1.0, 2.0, 3.0)] == [True, False, False]
    assert [intake.has_calmed(at) for at in (5.0, 7.9, 8.0, 9.0)] == [False, False, True, False]
