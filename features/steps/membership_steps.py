"""Steps on a member of the owner group whose partitions change."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from membership_builders import build_member

LIMIT_S = 5.0
# Time in which an owner takes over and writes its first record.
START_S = 0.3
RECORD = ("k", b"value")


def _run(context, work) -> None:
    async def run() -> None:
        await asyncio.wait_for(work, LIMIT_S)
        # Lets stopped owners end.
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(run())


def _start(context, partitions: set[int]) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.member, context.store = build_member()
    context.store.assigned = partitions


@given("a member of the owner group that owns partition 1")
def own(context):
    async def renew() -> None:
        await context.member._renew()
        await asyncio.sleep(START_S)
        assert context.member.owners[1]._has_written

    _start(context, {1})
    _run(context, renew())


@when("the partition is no longer assigned to it while a record waits")
def unassign(context):
    key, value = RECORD
    context.member.owners[1].ledger.mark_dirty(key, lambda: value)
    context.store.assigned, context.store.generation = set(), 2
    _run(context, context.member._renew())


@then("the member has no owner and the record is durable")
def expect_durable(context):
    assert not context.member.owners, context.member.owners
    key, value = RECORD
    assert context.store.partitions[1].records.get(key) == value
