"""Steps on successive holders of the fleet, which order machines."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when
from fleet_manager_builders import FleetHarness


@given("a holder of the fleet that has ordered machine {machine:w}")
def order_machine(context, machine):
    context.fleet = FleetHarness()
    context.add_cleanup(context.fleet.close)
    context.former = context.fleet.run(context.fleet.start_holder(1))
    assert context.fleet.run(context.fleet.may_order(context.former, machine))


@given("a holder of the fleet that has begun the upkeep of {machine:w} in wave {wave:d}")
def begin_upkeep(context, machine, wave):
    context.fleet = FleetHarness()
    context.add_cleanup(context.fleet.close)
    context.former = context.fleet.run(context.fleet.start_holder(1))
    context.fleet.run(context.fleet.begin_upkeep(context.former, machine, wave))
    assert [order[0] for order in context.fleet.machines.orders] == [machine]


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
    context.fleet.clock.shift = timedelta(seconds=seconds)
    assert context.fleet.run(context.fleet.may_order(context.holder, machine))


@then("the former holder may order neither {first:w} nor {second:w}")
def expect_no_orders(context, first, second):
    fleet = context.fleet
    for machine in (first, second):
        assert not fleet.run(fleet.may_order(context.former, machine)), machine


@then("it knows that the upkeep of {machine:w} in wave {wave:d} has begun")
def expect_begun_upkeep(context, machine, wave):
    assert machine in context.holder._begun_by_wave[wave]
