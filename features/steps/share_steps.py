"""Steps for slots shared between entry hosts."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when
from builders_policy import TARGETS, NetworkFaults, ShareNetwork
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from carawayshore.hashing import choose_candidate
from carawayshore.membership import Incarnation
from carawayshore.shares import ShareLedger, ShareSettings, SlotRecall, SlotRequest, SlotReturn
from carawayshore.testing import ManualClock

NO_FAULTS = NetworkFaults(0, 0, 0.02, 0, 0, 0)
FAULTS = st.builds(
    NetworkFaults,
    loss=st.sampled_from([0.0, 0.1, 0.4]),
    duplication=st.sampled_from([0.0, 0.3]),
    delay_s=st.sampled_from([0.1, 1.5, 4.0]),
    view_lag_s=st.sampled_from([0.1, 3.0, 8.0]),
    pause_s=st.sampled_from([0.5, 3.0, 6.0]),
    restarts=st.sampled_from([0.0, 0.005, 0.02]),
)


def _check_examples(function, count):
    """Checks a property with ``count`` generated examples, the same ones in each run."""
    checked_property = hypothesis_given(st.integers(0, 2**32), FAULTS)(function)
    hypothesis_settings(max_examples=count, derandomize=True, database=None, deadline=None)(
        checked_property
    )()


def _run_scenario(seed, faults, settings, seconds):
    network = ShareNetwork(seed, faults, settings)
    for member in "abc":
        network.start(member)
    for _ in range(round(seconds / network.STEP_S)):
        network.disturb()
        network.step()
        assert not network.conflicts, (seed, faults, network.conflicts[0])
    return network


def _run_for(network, seconds, demands=None):
    for _ in range(round(seconds / network.STEP_S)):
        network.now += network.STEP_S
        for name, process in network.processes.items():
            process.clock.advance(timedelta(seconds=network.STEP_S))
            if process.paused_until <= network.now:
                demand = (demands or {}).get(name, {})
                network.send(process, process.ledger.tick(demand))
        network.deliver()
        network.check()


def _count_own(network, name, target):
    ledger = network.processes[name].ledger
    return sum(not held.borrowed for held in ledger.list_usable_slots(target))


@given("ledgers that take slots over only after every peer has answered")
def use_strict_settings(context):
    context.settings = ShareSettings(takeover_timeout=timedelta(days=1))


@then("no slot is held twice in any of {count:d} generated scenarios of {seconds:d} s")
def expect_no_conflict(context, count, seconds):
    def check_slots(seed, faults):
        _run_scenario(seed, faults, context.settings, seconds)

    _check_examples(check_slots, count)


@then(
    "every slot is free {wait:d} s after the end of the faults"
    " in each of {count:d} generated scenarios"
)
def expect_recovery(context, wait, count):
    def check_recovery(seed, faults):
        network = _run_scenario(seed, faults, context.settings, 10)
        network.faults = NO_FAULTS
        for process in network.processes.values():
            process.paused_until = 0
        network.step({})
        for process in network.processes.values():
            for _, permit in process.permits:
                process.ledger.release(permit)
            process.permits.clear()
            network.apply_view(process, len(network.views) - 1)
        _run_for(network, wait)
        free = {target: network.count_available(target) for target in TARGETS}
        assert free == TARGETS, (seed, faults, free)

    _check_examples(check_recovery, count)


@given("the processes a, b, c without faults")
def start_processes(context):
    context.network = ShareNetwork(1, NO_FAULTS, ShareSettings())
    for member in "abc":
        context.network.start(member)
    for process in context.network.processes.values():
        context.network.apply_view(process, 2)
    _run_for(context.network, 3)
    context.own = {name: _count_own(context.network, name, "w1") for name in "abc"}
    assert sum(context.own.values()) == TARGETS["w1"], context.own


@when("a has demand for {slots:d} slots of w1 during {seconds:d} s")
def demand_slots(context, slots, seconds):
    _run_for(context.network, seconds, {"a": {"w1": slots}})


@when("a has no more demand during {seconds:d} s")
def end_demand(context, seconds):
    _run_for(context.network, seconds)


@when("a stops responding for {seconds:d} s")
def stop_responses(context, seconds):
    context.network.processes["a"].paused_until = 1e9
    _run_for(context.network, seconds)


@when("a is replaced while b does not respond")
def replace_process(context):
    network = context.network
    network.processes["b"].paused_until = 1e9
    network.end("a")
    network.start("a")
    network.apply_view(network.processes["c"], len(network.views) - 1)


@when("b is replaced {seconds:g} s later")
def replace_unresponsive(context, seconds):
    network = context.network
    _run_for(network, seconds)
    network.end("b")
    network.start("b")
    network.processes["b"].paused_until = 1e9
    for name in "ac":
        network.apply_view(network.processes[name], len(network.views) - 1)


@when("a borrows all slots of b before and after a restart of b")
def borrow_twice(context):
    clock = ManualClock()
    a, first, second = Incarnation("a", 1), Incarnation("b", 2), Incarnation("b", 3)
    context.loans = []
    for process in (first, second):
        ledger = ShareLedger(process, clock, ShareSettings(takeover_timeout=timedelta()))
        ledger.set_view([a, process], TARGETS)
        clock.advance(timedelta(seconds=3))
        answers = ledger.handle(SlotRequest("w1", 8, 1), a)
        assert answers, "b lent no slot"
        context.loans.append([answer.message.loan for answer in answers])
    context.ledger, context.borrower = ledger, a


@when("the returns of the loans of the first process of b arrive at the second")
def return_to_successor(context):
    for loan in context.loans[0]:
        context.ledger.handle(SlotReturn("w1", loan), context.borrower)


@then("the second process of b holds none of the slots that it lent")
def expect_still_lent(context):
    assert context.ledger.list_usable_slots("w1") == [], context.ledger.list_usable_slots("w1")


@when("e joins and asks the former owners of its slots of w1")
def ask_former_owners(context):
    network = context.network
    slots = range(TARGETS["w1"])
    before = [choose_candidate(f"w1/{slot}", "abc") for slot in slots]
    after = [choose_candidate(f"w1/{slot}", "abce") for slot in slots]
    lenders = {old for old, new in zip(before, after, strict=True) if new == "e" and old != "a"}
    assert lenders, (before, after)
    network.start("e")
    for name in "abc":
        network.apply_view(network.processes[name], len(network.views) - 1)
    context.lenders = [network.processes[name] for name in sorted(lenders)]


@then("each of them that lent such a slot answers only after the loan has expired")
def expect_answer_after_loan(context):
    peer = context.network.processes["e"].name
    for lender in context.lenders:
        recall = SlotRecall("w1", 1)
        assert lender.ledger.handle(recall, peer) == [], lender.name
        lender.clock.advance(timedelta(seconds=2))
        answer = [outgoing.message for outgoing in lender.ledger.handle(recall, peer)]
        assert answer == [SlotReturn("w1", 1)], answer


@then("a may use {slots:d} slots of w1")
def expect_available(context, slots):
    assert context.network.processes["a"].ledger.count_available_at("w1") == slots


@then("every process has its own slots of w1 again")
def expect_own_slots(context):
    own = {name: _count_own(context.network, name, "w1") for name in "abc"}
    assert own == context.own, (own, context.own)


@then("b and c may use all their own slots of w1")
def expect_returned_slots(context):
    for name in "bc":
        own = _count_own(context.network, name, "w1")
        assert own == context.own[name], (name, own, context.own)


@then("the new a may use no slot of w1 within {seconds:g} s")
def expect_no_slot(context, seconds):
    _run_for(context.network, seconds)
    assert context.network.processes["a"].ledger.count_available_at("w1") == 0


@then("the new a may use its own slots of w1 after {seconds:d} s more")
def expect_takeover(context, seconds):
    _run_for(context.network, seconds)
    own = _count_own(context.network, "a", "w1")
    assert own == context.own["a"], (own, context.own)
