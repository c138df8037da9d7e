"""Steps for operators' drains sent at the same moment."""

from __future__ import annotations

from behave import given, then, when
from race_builders import OperatorHarness

from carawayshore_standins.promises import count_max_out_of_service


@given("a running deployment of two data centres")
def start_data_centres(context):
    context.operators = OperatorHarness()
    context.add_cleanup(context.operators.close)


@when("{host:S} is drained through {first:S} and {other:S} through {second:S} at the same moment")
def drain_two(context, host, first, other, second):
    operators = context.operators
    replies = operators.run(operators.drain_at_once({host: first, other: second}))
    reply_of = dict(zip((host, other), replies, strict=True))
    context.drained = [name for name, reply in reply_of.items() if reply.status == 200]
    print({name: reply.status for name, reply in reply_of.items()})


@when("the pools service has completed every accepted drain")
def await_drains(context):
    operators = context.operators
    assert context.drained
    context.operations = operators.run(operators.await_drains(context.drained))


@then("at most {count:d} host of {pool} was out of service at once")
def expect_max_out(context, count, pool):
    max_out = count_max_out_of_service(context.operations, context.operators.list_initial_pools())[
        pool
    ]
    assert (
        max_out <= count
    ), f"{max_out} hosts of {pool} were out of service at once: {context.drained}"
