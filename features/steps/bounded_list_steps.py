"""Steps on lists that lack some of their items."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from bounded_list_builders import PagedRecords, WaveHarness

from carawayd.platform.common import PlatformError


@given("a wave of machines {machines} with upkeep begun on {begun}")
def build_wave(context, machines, begun):
    context.waves = WaveHarness(machines.split(), cap=1)
    context.waves.begin(*begun.split())
    assert context.waves.manage()


@given("a wave of machines {machines} with cap {cap:d}, and {machine} in upkeep")
def build_wave_in_upkeep(context, machines, cap, machine):
    names = machines.split()
    context.waves = WaveHarness(names, cap=cap)
    context.waves.begin(machine)
    context.waves.list(*names, state="upkeep")
    assert context.waves.manage()


@when("the machines service lists {machines} and an item without a name after {seconds:g} s")
def list_unreadable_later(context, machines, seconds):
    context.waves.list(*machines.split())
    context.waves.client.items.append({"machine": 7, "state": "up"})
    assert context.waves.manage(seconds)


@when("the machines service lists {machines} and an item without a name")
def list_unreadable(context, machines):
    list_unreadable_later(context, machines, 0.2)


@when("the machines service lists {machines} on pages without end")
def list_endlessly(context, machines):
    context.waves.list(*machines.split())
    context.waves.client.is_endless = True
    context.was_used = context.waves.manage(0.2)


@when("the machines service lists {machines} after {seconds:g} s")
def list_later(context, machines, seconds):
    context.waves.list(*machines.split())
    assert context.waves.manage(seconds)


@when("the machines service lists {machines}")
def list_now(context, machines):
    list_later(context, machines, 0.2)


@then("the wave is completed")
def expect_completed(context):
    assert context.waves.is_completed


@then("the wave was not shown as running")
def expect_not_running(context):
    assert not any(b"running" in data for data in context.waves.store.published)


@then("the wave is not completed")
def expect_not_completed(context):
    assert not context.waves.is_completed


@then("the list was not used")
def expect_unused(context):
    assert not context.was_used


@then("no machine is chosen for upkeep")
def expect_none_chosen(context):
    assert not context.waves.chosen, context.waves.chosen


@given("pages of newest records of which the second one is empty and says that more follow")
def build_empty_page(context):
    context.records = PagedRecords(["a", "b"], [])


@given("pages of newest records of which the second one repeats the first")
def build_repeated_page(context):
    context.records = PagedRecords(["a", "b"], ["a", "b"])


@then("reading them fails")
def expect_failed_read(context):
    try:
        latest = asyncio.run(context.records.read_latest("keyed.jobs", 0))
    except PlatformError:
        return
    raise AssertionError(latest)
