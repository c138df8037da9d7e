"""Steps that apply records to folded streams."""

from __future__ import annotations

from behave import given, then, when
from builders import StreamBuilder

from carawayshore import records


@given("a stream with the members {names}")
def join_members(context, names):
    context.stream = StreamBuilder()
    context.claims_sent = {}
    for name in names.split(", "):
        context.stream.join(name)


@when("{name} takes the claim {claim}")
def take_claim(context, name, claim):
    context.result = context.stream.take(name, claim)


@when("{name} publishes a configuration based on version {version:d}")
def publish(context, name, version):
    context.result = context.stream.publish(name, version)


@when("the last record is appended once more")
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
