"""Steps on ledgers whose partition has been elsewhere."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from behave import given, then, when
from owner_builders import build_settings
from worker_model import ModelStore

from carawayd.partition.ledger import Ledger, OwnershipLost
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SystemClock
from carawayshore.workflows.model import TaskName

TOPIC = "keyed.jobs"
KEY = "k"
JOB = "a" * 16


class _Ledgers:
    """Two ledgers of one partition, in an event loop of their own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.store = ModelStore()
        self.epoch = 0
        self.first = self._build()
        self.second = self._build()
        self.refused = False

    def _build(self) -> Ledger:
        return Ledger(self.store, TOPIC, 0, build_settings(), SystemClock(), WorkflowMetrics())

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def take_over(self, ledger: Ledger) -> bool:
        self.epoch += 1
        return await ledger.take_over(self.epoch)

    async def begin(self, ledger: Ledger, value: str) -> None:
        await ledger.maybe_start()
        await self.take_over(ledger)
        await self.write(ledger, value)

    async def write(self, ledger: Ledger, value: str) -> None:
        ledger.mark_dirty(KEY, value.encode)
        await ledger.flush()

    async def try_to_write(self, ledger: Ledger, value: str) -> None:
        try:
            await self.write(ledger, value)
        except OwnershipLost:
            self.refused = True
        # Time in which a batch that was not refused would be appended.
        await SystemClock().sleep(timedelta(milliseconds=50))

    def close(self) -> None:
        self.run(self.first.stop())
        self.run(self.second.stop())
        self.loop.close()


@given('a ledger that has written "{value}"')
def build_ledger(context, value):
    context.ledgers = _Ledgers()
    context.add_cleanup(context.ledgers.close)
    context.ledgers.run(context.ledgers.begin(context.ledgers.first, value))


@given('a ledger that has written "{value}" and another one that has written "{other}" since')
def build_ledgers(context, value, other):
    build_ledger(context, value)
    context.ledgers.run(context.ledgers.begin(context.ledgers.second, other))


@when('the first one takes the partition over again and has "{value}" to write')
@when('it takes the partition over again and has "{value}" to write')
def return_and_write(context, value):
    ledgers = context.ledgers

    async def act() -> None:
        await ledgers.take_over(ledgers.first)
        await ledgers.try_to_write(ledgers.first, value)

    ledgers.run(act())


@when('the first one has "{value}" to write while it takes the partition over again')
def write_while_returning(context, value):
    ledgers = context.ledgers

    async def act() -> None:
        returning = asyncio.ensure_future(ledgers.take_over(ledgers.first))
        await asyncio.sleep(0)
        await ledgers.try_to_write(ledgers.first, value)
        await returning

    ledgers.run(act())


@then("its write is {outcome}")
def expect_outcome(context, outcome):
    assert context.ledgers.refused == (outcome == "refused")


@then('the store holds "{value}"')
def expect_value(context, value):
    assert context.ledgers.store.records == {KEY: value.encode()}, context.ledgers.store.records


@then("taking over once more is refused")
def expect_no_takeover(context):
    ledgers = context.ledgers
    try:
        ledgers.run(ledgers.take_over(ledgers.first))
    except OwnershipLost:
        return
    raise AssertionError("the lost ledger took over")


@when("its partition comes back after another owner has written to it")
def return_partition(context):
    harness = context.harness

    async def take_over(epoch: int) -> bool:
        return False

    harness.owner.ledger.take_over = take_over
    assert harness.run(harness.owner.raise_epoch(3)) is False
    del harness.owner.ledger.mark_dirty
    harness.owner.ledger.lost = True


@when("the worker lists the end of run {run:d}")
def list_end(context, run):
    context.harness.report([], [(TaskName(JOB, 0, 0, 0), run, "done")])


@then("the owner has given up the partition and records nothing more")
def expect_nothing_recorded(context):
    assert context.harness.owner.lost
    assert not context.harness.owner.ledger._dirty, context.harness.owner.ledger._dirty
