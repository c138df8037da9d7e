"""Steps on successive holders of the fleet, which order machines."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from fleet_manager_builders import FleetHarness

from carawayd.process.upkeeprecords import UpkeepRecords

WAVE = 4


@given("a holder of the fleet that has ordered machine {machine:w}")
def order_machine(context, machine):
    context.fleet = FleetHarness()
    context.add_cleanup(context.fleet.close)
    context.former = context.fleet.run(context.fleet.start_holder(1))
    context.fleet.run(context.fleet.begin_upkeep(context.former, machine, 3))
    assert [order[0] for order in context.fleet.machines.orders] == [machine]


@given("a holder of the fleet whose order for machine {machine:w} got no response")
def order_machine_unanswered(context, machine):
    context.fleet = FleetHarness()
    context.add_cleanup(context.fleet.close)
    context.fleet.machines.loses_responses = True
    context.former = context.fleet.run(context.fleet.start_holder(1))
    context.fleet.run(context.fleet.begin_upkeep(context.former, machine, 3))


@given("a holder of the fleet that has ordered machine {machine:w} {seconds:d} s ago")
def order_machine_earlier(context, machine, seconds):
    order_machine(context, machine)
    context.fleet.clock.advance += timedelta(seconds=seconds)
    context.fleet.run(context.fleet.remove_settled_orders(context.former))


@given("a holder of the fleet that has begun the upkeep of {machine:w} in wave {wave:d}")
def begin_upkeep(context, machine, wave):
    context.fleet = FleetHarness()
    context.add_cleanup(context.fleet.close)
    context.former = context.fleet.run(context.fleet.start_holder(1))
    context.fleet.run(context.fleet.begin_upkeep(context.former, machine, wave))
    assert [order[0] for order in context.fleet.machines.orders] == [machine]


@when("it repeats the order for {machine:w} and gets a response")
def repeat_order(context, machine):
    context.fleet.machines.loses_responses = False
    context.fleet.run(context.fleet.begin_upkeep(context.former, machine, 3))


@when("another holder takes over at once")
def take_over(context):
    context.holder = context.fleet.run(context.fleet.start_holder(2))


@when("its membership is not renewed in time")
def expire_membership(context):
    context.former._ownership.current = False


@then("it may order {first:w} but not {second:w}")
def expect_orders(context, first, second):
    fleet = context.fleet
    assert fleet.run(fleet.may_order(context.holder, first))
    assert not fleet.run(fleet.may_order(context.holder, second))


@then("after {seconds:d} s it may order {machine:w}")
def expect_order_after(context, seconds, machine):
    context.fleet.clock.advance += timedelta(seconds=seconds)
    assert context.fleet.run(context.fleet.may_order(context.holder, machine))


@then("after {seconds:d} s it may not order {machine:w}")
def expect_no_order_after(context, seconds, machine):
    context.fleet.clock.advance += timedelta(seconds=seconds)
    assert not context.fleet.run(context.fleet.may_order(context.holder, machine))


@then("it may order {machine:w}")
def expect_order(context, machine):
    assert context.fleet.run(context.fleet.may_order(context.holder, machine))


@then("{machine:w} counts as one that an order may still end")
def expect_unanswered(context, machine):
    assert machine in context.holder._orders.list_unanswered()


@when("another holder takes over on a host whose time of day is {seconds:d} s ahead")
def take_over_ahead(context, seconds):
    context.fleet.clock.jump = timedelta(seconds=seconds)
    take_over(context)


@when("its time of day jumps by {seconds:d} s and another holder takes over")
def jump_and_take_over(context, seconds):
    take_over_ahead(context, seconds)


@when("its membership ends while the order for {machine:w} waits for a connection")
def end_membership_before_sending(context, machine):
    ownership = context.former._ownership

    async def act():
        calls = iter([True, True])
        ownership.is_current = lambda: next(calls, False)
        await context.fleet.begin_upkeep(context.former, machine, 3)

    context.fleet.run(act())


@then("no order for {machine:w} was sent")
def expect_not_sent(context, machine):
    assert machine not in [order[0] for order in context.fleet.machines.orders]


@when("another holder takes over and writes to the ledger")
def take_over_and_write(context):
    take_over(context)
    assert context.fleet.run(context.fleet.may_order(context.holder, "m9"))


@then("the former holder has to rejoin the group once it has tried to order {machine:w}")
def expect_fenced(context, machine):
    assert not context.fleet.run(context.fleet.may_order(context.former, machine))
    assert context.former.fenced


@then("the former holder may order neither {first:w} nor {second:w}")
def expect_no_orders(context, first, second):
    fleet = context.fleet
    for machine in (first, second):
        assert not fleet.run(fleet.may_order(context.former, machine)), machine


@then("it knows that the upkeep of {machine:w} in wave {wave:d} has begun")
def expect_begun_upkeep(context, machine, wave):
    assert machine in context.holder._upkeep_records.list_begun(wave)


@given("a wave of {count:d} machines")
def build_wave(context, count):
    context.machines = [f"m-{number}" for number in range(count)]
    context.written = {}
    context.changes = 0

    def mark_dirty(key, encode) -> None:
        context.written[key] = encode

    context.upkeep = UpkeepRecords(SimpleNamespace(mark_dirty=mark_dirty))


@when("the upkeep of all of them begins")
def begin_upkeep(context):
    for machine in context.machines:
        context.upkeep.record(WAVE, machine)


@then("no record has more than {count:d} machines")
def expect_small_records(context, count):
    sizes = [len(msgspec.json.decode(encode())) for encode in context.written.values()]
    assert max(sizes) <= count, sizes
    assert len(sizes) == -(-len(context.machines) // count)


@then("the next holder knows that all of them have begun")
def expect_known(context):
    following = UpkeepRecords(SimpleNamespace(mark_dirty=lambda key, encode: None))
    for key, encode in context.written.items():
        following.restore(key, encode())
    assert following.list_begun(WAVE) == set(context.machines)
