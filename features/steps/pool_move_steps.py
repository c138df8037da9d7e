"""Steps on a fleet manager that moves machines between pools."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when
from log_lines import collect_lines
from pool_move_builders import SERVICE, STANDBY, PoolBench


def _build_bench(context, count: int, on_standby: int = 0) -> None:
    context.bench = PoolBench(count, on_standby)
    context.add_cleanup(context.bench.close)


def _list_workers(context) -> set[str]:
    machines = context.bench.machines.machines.values()
    return {item.worker for item in machines if item.pool == SERVICE}


@given("a pool of {count:d} machines without demand, whose owner confirms no cordon")
def build_pool_without_confirmation(context, count):
    _build_bench(context, count)
    context.bench.owner.answers_cordons = False


@given("a pool of {count:d} machines with demand for {needed:d}, whose owner confirms no cordon")
def build_pool_with_demand(context, count, needed):
    build_pool_without_confirmation(context, count)
    # One machine is provided beyond those for the cores.
    context.bench.owner.load = {"running_cores": 16.0 * (needed - 1)}


@given("a pool of {count:d} machines with demand for {needed:d}, and none on standby")
def build_pool_without_help(context, count, needed):
    _build_bench(context, count)
    context.bench.owner.load = {"running_cores": 16.0 * (needed - 1)}


@given(
    "a pool of {count:d} machines with demand for {needed:d}, and {standby:d} on standby of which "
    "the last one refuses to move"
)
def build_pool_with_refusing_machine(context, count, needed, standby):
    _build_bench(context, count, standby)
    context.bench.owner.load = {"running_cores": 16.0 * (needed - 1)}
    machines = context.bench.machines
    machines.refusing = {max(name for name in machines.machines if name.startswith(STANDBY))}


@given(
    "a pool of {count:d} machines without demand, whose orders wait for {seconds:d} s before they "
    "are sent"
)
def build_pool_with_held_orders(context, count, seconds):
    _build_bench(context, count)

    def hold_up() -> None:
        context.bench.fleet.clock.advance += timedelta(seconds=seconds)

    context.bench.machines.before_sending = hold_up


@given("a pool of {count:d} machines without demand, whose moves are refused")
def build_pool_with_refusals(context, count):
    _build_bench(context, count)
    context.bench.machines.is_refusing = True


@given(
    "a pool of {count:d} machines without demand, whose machines the former holder has just ordered"
)
def build_pool_of_ordered_machines(context, count):
    _build_bench(context, count)
    context.bench.fleet.run(context.bench.order_all_machines(answered=True))
    context.bench.take_over()


@given(
    "a pool of {count:d} machines with demand for all, whose former holder got no answer to its "
    "orders"
)
def build_pool_of_unanswered_orders(context, count):
    _build_bench(context, count)
    # One machine is provided beyond those for the cores.
    context.bench.owner.load = {"running_cores": 16.0 * (count - 1)}
    context.bench.fleet.run(context.bench.order_all_machines(answered=False))
    context.bench.take_over()


@when("the fleet is managed for {seconds:g} s")
def pass_time(context, seconds):
    with collect_lines("carawayd.process.poolshortages") as context.shortage_lines:
        context.bench.manage(seconds)


@when("the next holder takes over and the fleet is managed for {seconds:g} s")
def manage_by_next_holder(context, seconds):
    context.bench.take_over()
    context.bench.manage(seconds)


@when("the pool gets work for all its machines and the fleet is managed for {seconds:g} s")
def raise_demand(context, seconds):
    machines = context.bench.count_machines(SERVICE)
    context.bench.owner.load = {"waiting_core_seconds": 16.0 * 2 * machines}
    context.bench.manage(seconds)


@when("the next {count:d} calls to end a cordon are lost")
def lose_uncordons(context, count):
    context.bench.owner.lost_uncordons = count


@when("the owner does not reach the workers and the fleet is managed for {seconds:g} s")
def cut_workers(context, seconds):
    context.bench.owner.unresponsive = _list_workers(context)
    context.bench.manage(seconds)


@then("some of its workers are cordoned")
def expect_cordons(context):
    assert context.bench.owner.cordons


@then("all of its workers are cordoned")
def expect_all_cordoned(context):
    assert context.bench.owner.cordons == _list_workers(context), context.bench.owner.cordons


@then("none of its workers is cordoned")
def expect_no_cordon(context):
    assert not context.bench.owner.cordons, context.bench.owner.cordons


@then("at least {count:d} of its workers are not cordoned")
def expect_uncordoned(context, count):
    free = _list_workers(context) - context.bench.owner.cordons
    assert len(free) >= count, free


@then("no move is pending")
def expect_no_pending_move(context):
    assert not context.bench.manager._pending_moves, context.bench.manager._pending_moves


@then("no machine has moved")
def expect_no_moves(context):
    assert not context.bench.machines.orders, context.bench.machines.orders


@then("{count:d} machines or more have moved")
def expect_moves(context, count):
    assert context.bench.count_machines(STANDBY) >= count, context.bench.machines.orders


@then("no machine has been ordered twice, but some once")
def expect_single_orders(context):
    names = [order[0] for order in context.bench.machines.orders]
    assert names, "no move was ordered"
    assert len(names) == len(set(names)), names


@then("the log tells twice that the pool lacks {lacking:d} machines and none comes")
def expect_shortage_lines(context, lacking):
    found = context.shortage_lines.find("pool lacks machines")
    assert len(found) == 2, found
    assert all(fields["lacking"] == lacking for fields in found), found
    assert all(fields["coming"] == fields["on_standby"] == 0 for fields in found), found


@then("the metrics show that the pool lacks {lacking:d} machines")
def expect_shortage_metric(context, lacking):
    value = context.bench.manager._metrics.pool_shortage.labels(SERVICE)._value.get()
    assert value == lacking, value


@then("the pool has {count:d} machines")
def expect_pool_size(context, count):
    assert context.bench.count_machines(SERVICE) == count, context.bench.machines.orders


@then("the one that refuses has been ordered at most {count:d} times")
def expect_few_orders(context, count):
    machines = context.bench.machines
    orders = [name for name, _, _ in machines.orders if name in machines.refusing]
    assert 1 <= len(orders) <= count, machines.orders
