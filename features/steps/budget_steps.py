"""Steps that call the operators' endpoints without sockets."""

from __future__ import annotations

import asyncio

from aiohttp.test_utils import make_mocked_request
from behave import given, then, when
from key_steps import start_cluster

from carawayd.process.operators import OperatorEndpoints


@given("the operators' endpoints of an entry host with two hosts in the pool booking")
def start_endpoints(context):
    start_cluster(context)
    host = context.cluster.hosts[context.others[0]]
    context.application = OperatorEndpoints(host.components).build_application()


def _drain(context, host: str, query: str = ""):
    async def call():
        request = make_mocked_request("POST", f"/v1/operator/hosts/{host}/drain{query}")
        route = await context.application.router.resolve(request)
        request._match_info = route
        answer = await route.handler(request)
        await asyncio.sleep(1)
        return answer

    context.answer = context.loop.run_until_complete(call())


@when("{host} is drained")
def drain(context, host):
    _drain(context, host)


@when("{host} is drained beyond the budget")
def drain_over_budget(context, host):
    _drain(context, host, "?over_budget=true")


@then("the answer has the status {status:d}")
def expect_status(context, status):
    assert context.answer.status == status, context.answer.text
