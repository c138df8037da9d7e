"""Steps on machines for short tasks that no worker of a pool can hold."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from large_task_builders import (
    build_lacking_load,
    build_large_task_view,
    build_rooms,
    measure_tasks,
)

from carawayd.process.fleetmanager import _convert_reply
from carawayshore.workflows.model import ServiceLoad, encode_load
from carawayshore.workflows.pools import choose_moves


@given("a worker of 12 cores with {first}, and one with {second}")
def set_workers(context, first, second):
    context.rooms = build_rooms(first, second)


@when("{waiting:d} tasks of {cores:d} cores wait, and {later:d} such tasks follow in a later step")
def measure_need(context, waiting, cores, later):
    context.need = measure_tasks(context.rooms, cores, waiting, later)


@then("the pool lacks {missing:d} machines")
def expect_missing(context, missing):
    assert context.need.missing == missing, context.need


@then("it keeps {kept}")
def expect_kept(context, kept):
    expected = {"no worker": (), "the second one": ("1",)}[kept]
    assert context.need.kept == expected, context.need


@given("a load whose pool lacks {missing:d} machines for large tasks")
def set_load(context, missing):
    context.load = build_lacking_load(missing)


@when("the load is reported")
def report_load(context):
    context.report = msgspec.to_builtins([encode_load(context.load)])


@then("the report has {count:d} fields")
def expect_fields(context, count):
    assert len(context.report[0]) == count, context.report


@then("a holder of the fleet reads the same load")
def expect_load(context):
    assert _convert_reply(context.report, list[ServiceLoad], "report_load") == [context.load]


@given("a pool of {count:d} machines that needs {needed:d}, and {standby:d} on standby")
def set_need(context, count, needed, standby):
    context.pool = (count, needed, standby)


@when(
    "it lacks {missing:d} machines for large tasks, {coming:d} are coming, and {idle:d} of its"
    " workers are idle, of which {kept:d} are kept"
)
def choose(context, missing, coming, idle, kept):
    view = build_large_task_view(
        *context.pool, missing=missing, coming=coming, idle=idle, kept=kept
    )
    context.moves = choose_moves(view)


@then("{chosen:d} machines move into the pool, and {returned:d} to standby")
def expect_moves(context, chosen, returned):
    pools = [move.pool for move in context.moves]
    assert (pools.count("booking"), pools.count("spare")) == (chosen, returned), context.moves
