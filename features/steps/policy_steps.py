"""Steps for prediction, admission, retries, health, routing and the availability budget."""

from __future__ import annotations

from datetime import timedelta
from random import Random

from behave import given, then, when
from builders_policy import AdmissionBench, build_hosts

from carawayshore.admission import Refusal
from carawayshore.budget import BudgetSettings, count_unavailable, may_remove
from carawayshore.health import HealthSettings, TargetHealth
from carawayshore.prediction import Predictor
from carawayshore.retry import RetryBudget, RetrySettings, choose_delay
from carawayshore.routing import Candidate, choose_target
from carawayshore.testing import ManualClock

RUN = timedelta(seconds=1)


@given("an entry host with {slots:d} slots, all in use, and room for {room:d} requests")
def build_admission(context, slots, room):
    context.bench = AdmissionBench(slots, room)


@when("requests with {left:g} s left and a run time of {run:g} s arrive until one is refused")
def arrive(context, left, run):
    context.bench.learn(timedelta(seconds=run))
    decision = None
    while not isinstance(decision, Refusal):
        decision = context.bench.arrive(timedelta(seconds=left))
    context.refusal = decision


@then("the reason is {reason} and the retry delay is positive")
def expect_refusal(context, reason):
    assert context.refusal.reason == reason, context.refusal
    assert context.refusal.retry_after > timedelta(), context.refusal


@then("the admitted requests can all end within {seconds:g} s on {slots:d} slots")
def expect_bound(context, seconds, slots):
    count = len(context.bench.queue)
    assert slots * 2 <= count <= slots * seconds, count


@given("a predictor")
def build_predictor(context):
    context.predictor = Predictor(ManualClock())


@when("{count:d} requests that declare {declared:g} s each take {run:g} s, with noise of 10 %")
def observe(context, count, declared, run):
    random = Random(1)
    for _ in range(count):
        duration = timedelta(seconds=run * random.uniform(0.9, 1.1))
        context.predictor.observe("s", "k", duration, timedelta(seconds=declared))


@then("a request that declares {declared:g} s is predicted to take {low:g} s to {high:g} s")
def expect_prediction(context, declared, low, high):
    predicted = context.predictor.predict("s", "k", timedelta(seconds=declared))
    assert low <= predicted.total_seconds() <= high, predicted


@when("requests of {count:d} kinds have run")
def observe_kinds(context, count):
    for number in range(count):
        context.predictor.observe("s", str(number), RUN)


@then("the predictor keeps {count:d} kinds")
def expect_kinds(context, count):
    assert len(context.predictor) == count, len(context.predictor)


@given("a retry budget of {share:g} with at most {rate:g} retries a second")
def build_budget(context, share, rate):
    context.clock = ManualClock()
    settings = RetrySettings(share=share, minimum_per_second=rate)
    context.budget = RetryBudget(settings, context.clock)


@when("{count:d} requests fail within {seconds:g} s and each asks for retries")
def fail_requests(context, count, seconds):
    context.allowed = 0
    for _ in range(count):
        context.clock.advance(timedelta(seconds=seconds / count))
        context.budget.record_request()
        while context.budget.take():
            context.allowed += 1


@then("at most {high:d} retries are allowed, and at least {low:d}")
def expect_retries(context, high, low):
    assert low <= context.allowed <= high, context.allowed


@then("{count:d} random delays with {left:g} s left lie between 0 and {limit:g} s and differ")
def expect_delays(context, count, left, limit):
    random, remaining = Random(1), timedelta(seconds=left)
    delays = [choose_delay(1 + n % 40, remaining, random) for n in range(count)]
    assert all(timedelta() <= delay <= timedelta(seconds=limit) for delay in delays)
    assert len(set(delays)) > count * 0.9, len(set(delays))


@then("no retry is planned without time left")
def expect_no_delay(context):
    assert choose_delay(1, timedelta(), Random(1)) is None


@given("{count:d} targets")
def build_targets(context, count):
    context.clock = ManualClock()
    context.health = TargetHealth(HealthSettings(), context.clock)
    context.targets = [f"w{number}" for number in range(count)]
    context.health.set_targets(context.targets)


@when("{target} fails {count:d} requests")
def fail_target(context, target, count):
    for attempt in [context.health.start(target) for _ in range(count)]:
        context.health.fail(attempt)


@when("{count:d} requests fail at each of the targets")
def fail_all(context, count):
    for target in context.targets:
        fail_target(context, target, count)


@when("a request to {target} is in progress")
def start_request(context, target):
    context.attempt = context.health.start(target)


@when("that request fails")
def fail_request(context):
    context.was_charged = context.health.fail(context.attempt)


@when("that request succeeds")
def succeed_request(context):
    context.health.succeed(context.attempt)


@then("{target} may not be used")
def expect_unusable(context, target):
    assert not context.health.may_use(target)


@then("{target} may be used")
def expect_usable(context, target):
    assert context.health.may_use(target)
    context.health.start(target)
    assert context.health.may_use(target)


@then("{target} may be used by one request only")
def expect_probe(context, target):
    context.attempt = context.health.start(target)
    assert not context.health.may_use(target)


@then("the failure is not charged to the retry budget")
def expect_uncharged(context):
    assert context.was_charged is False


@then("{count:d} targets are ejected")
def expect_ejected(context, count):
    assert len(context.health.list_ejected()) == count, context.health.list_ejected()


@then("of {count:d} choices among an idle, a busy and a slow target the idle one is chosen")
def expect_idle(context, count):
    random = Random(1)
    candidates = [
        Candidate("idle", 8, 8, 0, 0, RUN),
        Candidate("busy", 1, 8, 4, 3, RUN),
        Candidate("slow", 8, 8, 0, 0, RUN * 5),
    ]
    chosen = {choose_target(candidates, random).target for _ in range(count)}
    assert chosen == {"idle"}, chosen


@then("a tried target is chosen only if no other has a free slot")
def expect_untried(context):
    tried = Candidate("tried", 8, 8, 0, 0, RUN, tried=True)
    other = Candidate("other", 1, 8, 7, 7, RUN * 9)
    assert choose_target([tried, other], Random(1)).target == "other"
    assert choose_target([tried, other._replace(free_slots=0)], Random(1)).target == "tried"
    assert choose_target([tried._replace(free_slots=0)], Random(1)) is None


@given("hosts of 2 racks of 4, one failed, one draining and one moving")
def build_pool(context):
    context.hosts = build_hosts(failed=["h0"], draining=["h4"], moving=["h5"])


@then("{count:d} hosts are unavailable")
def expect_unavailable(context, count):
    unavailable = count_unavailable(context.hosts, BudgetSettings())
    assert unavailable == count, unavailable


@then("with a budget of {budget:d} one more host may be removed but not 2")
def expect_removal(context, budget):
    settings = BudgetSettings(max_unavailable=budget)
    assert may_remove(context.hosts, ["h6"], settings)
    assert not may_remove(context.hosts, ["h6", "h7"], settings)


@then("with a second failed host in a rack of 4 the whole rack is counted")
def expect_rack(context):
    hosts = build_hosts(failed=["h0", "h1"], draining=["h4"], moving=["h5"])
    assert count_unavailable(hosts, BudgetSettings()) == 6
    assert not may_remove(hosts, ["h6"], BudgetSettings(max_unavailable=6))
