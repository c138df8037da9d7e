"""Steps on entry hosts that lose the connection to the store, or a partition to another host."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when
from platform_builders import SERVICE, build_identifier, build_job
from workflow_builders import build_workflow

from carawayd.partition.ledger import PRODUCER, WORKFLOWS_TOPIC
from carawayd.platform.common import PermissionEnded, PlatformUnreached
from carawayd.platform.store import KeyedRecord, encode_records
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import WorkflowState


@when(
    "a caller that honours Retry-After submits job {number:d} of {count:d} tasks"
    " through {member}"
)
def submit_honouring_retry_after(context, number, count, member):
    platform = context.platform

    async def act():
        # One rejection is correct while the first append after the outage is in progress.
        for _ in range(2):
            identifier, document = build_identifier(number), build_job(count)
            status, _, headers = await platform.call("POST", member, identifier, document)
            if status not in (429, 503):
                break
            await asyncio.sleep(float(headers["Retry-After"]))
        return status

    status = platform.run(act())
    assert status == 200, status


@then("every entry host is {state} within {seconds:g} s")
def expect_readiness(context, state, seconds):
    platform = context.platform
    for host in platform.hosts.values():

        async def has_state(host=host):
            return await platform.is_ready(host) == (state == "ready")

        platform.run(platform.wait_until(has_state, f"{host.settings.member} {state}", seconds))


@then("every entry host is unready within {seconds:g} s and closes its callers' connections")
def expect_closing(context, seconds):
    expect_readiness(context, "unready", seconds)
    platform = context.platform
    for member in platform.hosts:
        _, _, headers = platform.run(platform.call("GET", member, build_identifier(77)))
        assert headers.get("Connection") == "close", headers


@then("each task of job {number:d} completed exactly once")
def expect_job_completed_once(context, number):
    runs = context.platform.count_completions()
    counts = [runs[task] for task in runs if task.startswith(build_identifier(number))]
    assert counts and set(counts) == {1}, runs


@given("the owner of the jobs")
def find_current_owner(context):
    platform = context.platform
    member = platform.run(platform.await_owner())
    owners = platform.hosts[member].ownership.owners.values()
    context.former_owner = next(owner for owner in owners if owner.loaded and not owner.lost)


@then("cancelling job {number:d} at the former owner is answered unready")
def expect_unready(context, number):
    # The former owner still considers itself the owner, as between two renewals of its membership.
    reply = context.platform.run(context.former_owner.cancel(build_identifier(number)))
    assert reply.outcome == "unready", reply


@then("cancelling job {number:d} through {member} is answered {status:d}")
def expect_cancel(context, number, member, status):
    call = context.platform.call("DELETE", member, build_identifier(number))
    found, _, _ = context.platform.run(call)
    assert found == status, found


@when(
    "it sends {worker:w} a start order for which its permission ends before the connection is open"
)
def order_without_permission(context, worker):
    platform, owner = context.platform, context.former_owner
    stand_in = platform.workers[worker]
    task = TaskName(build_identifier(1), 0, 0, 0)

    async def order() -> PlatformUnreached | None:
        try:
            await owner._runs.start(
                stand_in.address,
                worker,
                task,
                1,
                spec="text",
                expires_ms=stand_in.clock_ms + 60_000,
                fence=owner.fence,
                may_send=lambda: False,
            )
        except PlatformUnreached as error:
            return error
        return None

    context.send_error = platform.run(order())


@then("the order was not sent")
def expect_not_sent(context):
    assert isinstance(context.send_error, PermissionEnded), context.send_error


@when("its partition is given a later epoch")
def set_later_epoch(context):
    owner = context.former_owner
    context.platform.run(
        owner.ledger._store.append(
            WORKFLOWS_TOPIC,
            owner.partition,
            b"",
            producer=PRODUCER,
            epoch=owner.fence + 100,
            sequence=0,
        )
    )


@when(
    "its partition is assigned to another owner, which accepts job {number:d}, and back while"
    " it is loading"
)
def reassign_and_back(context, number):
    platform, owner = context.platform, context.former_owner
    workflow = build_workflow(identifier=build_identifier(number), service=SERVICE)
    state = WorkflowState(workflow, 0.0, int(time.time() * 1000))

    async def act():
        owner.loaded = False
        for _ in platform.hosts:
            platform.store.rotate_owners("owners")
        await owner.ledger._store.append(
            WORKFLOWS_TOPIC,
            owner.partition,
            encode_records([KeyedRecord(state.key(), state.encode())]),
            producer=PRODUCER,
            epoch=owner.fence + 1,
            sequence=1,
        )
        await platform.pause(0.6)
        owner.loaded = True
        await platform.pause(0.6)

    platform.run(act())


@then("job {number:d} is known through {member}")
def expect_known(context, number, member):
    call = context.platform.call("GET", member, build_identifier(number))
    status, document, _ = context.platform.run(call)
    assert status == 200, (status, document)
