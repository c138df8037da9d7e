"""Steps on orders to machines that wait for a connection or fail in an unexpected way."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_manager_builders import FleetHarness
from held_machines_builders import HeldMachines, regain_while_order_waits

from carawayshore.workflows.model import Wave


@given("a holder of the fleet whose orders wait for a connection")
def hold_orders(context):
    context.fleet = FleetHarness()
    context.add_cleanup(context.fleet.close)
    context.fleet.machines = HeldMachines("entry-1")
    context.former = context.fleet.run(context.fleet.start_holder(1))


@when(
    "it loses the fleet to a holder that orders {machine:w},"
    " and gets it back while its order for {again:w} waits"
)
def regain(context, machine, again):
    context.fleet.run(regain_while_order_waits(context.fleet, context.former, machine))


@when("its order for {machine:w} ends in an unexpected error")
def fail_unexpectedly(context, machine):
    context.fleet.machines.error = RuntimeError("unexpected")
    manager = context.former

    async def order() -> None:
        manager._start_order(machine, manager._start_upkeep(Wave(3, (machine,), 20.0, 1), machine))
        await asyncio.wait(list(manager._order_tasks.values()))

    context.fleet.run(order())


@then("only the other holder has ordered {machine:w}")
def expect_other_holder(context, machine):
    assert context.fleet.machines.orders == [(machine, "entry-2", 2)], context.fleet.machines.orders


@then("the holder counts {machine:w} as one that an order may still end")
def expect_unanswered_order(context, machine):
    assert machine in context.former._orders.list_unanswered()
