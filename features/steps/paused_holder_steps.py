"""Steps on a holder of the embedded mode that is paused between its check and its call."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from paused_holder_builders import build_bench, fail_connection, lose_claim_while_start_waits


def _run(context, work) -> None:
    context.loop.run_until_complete(work)


@given("a holder of the claim whose start of a job waits for a connection")
def hold(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.bench = build_bench()


@when("its claim ends and the connection is open")
def connect(context):
    _run(context, lose_claim_while_start_waits(context.bench, refuses=False))


@when("its claim ends and the connection fails")
def refuse(context):
    _run(context, lose_claim_while_start_waits(context.bench, refuses=True))


@when("the connection fails")
def refuse_holder(context):
    _run(context, fail_connection(context.bench))


@then("the job was not started, and nothing is recorded about the attempt")
def expect_nothing(context):
    assert not context.bench.worker.calls["executions"]
    assert not context.bench.results, context.bench.results


@then("it is recorded that the attempt has not started")
def expect_result(context):
    assert context.bench.results == ["not-started"], context.bench.results
