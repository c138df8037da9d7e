"""Steps for the order in which waiting requests start."""

from __future__ import annotations

from datetime import timedelta

from behave import given, then, when
from builders_policy import QueueBench, build_waiting


@given("a queue for {slots:d} slots with half of them reserved for short work")
@given("a queue for {slots:d} slot with half of it reserved for short work")
def build_queue(context, slots):
    context.bench = QueueBench(slots, short_share=0.5)


@given("a queue for {slots:d} slots where the team {team} has a share of {share:g}")
def build_team_queue(context, slots, team, share):
    context.bench = QueueBench(slots, short_share=0.5, team_shares={team: share})


@when("{count:d} short requests have run before")
def run_before(context, count):
    context.bench.push(count, short=True)
    for item in context.bench.start_all():
        context.bench.running.finish(item.request)


@when("{count:d} long requests wait and all permitted ones start")
def push_long(context, count):
    context.bench.push(count, short=False)
    context.started = context.bench.start_all()


@when("{short:d} short and {long:d} long requests wait and all permitted ones start")
def push_both(context, short, long):
    context.bench.push(long, short=False)
    context.bench.push(short, short=True)
    context.started = context.bench.start_all()


@when("{count:d} short requests run for {seconds:g} s")
def run_over(context, count, seconds):
    context.bench.push(count, short=True)
    context.bench.start_all()
    context.bench.clock.advance(timedelta(seconds=seconds))


@when("a short request waits")
def push_short(context):
    context.bench.push(1, short=True)


@when(
    "{first:d} requests of crews and {second:d} request of web wait" " and all permitted ones start"
)
def push_teams(context, first, second):
    context.bench.push(first, short=True, team="crews")
    context.bench.push(second, short=True, team="web")
    context.started = context.bench.start_all()


@when("a request with {left:g} s left has waited for {waited:g} s")
def push_expiring(context, left, waited):
    context.bench.queue.push(build_waiting("late", 0.1, deadline=left))
    context.bench.clock.advance(timedelta(seconds=waited))


@then("{count:d} long requests are running")
def expect_long(context, count):
    assert context.bench.running.count() == (0, count, 0), context.bench.running.count()


@then("the short request starts next")
def expect_short_start(context):
    started = context.bench.start_all()
    assert started and context.bench.is_short(started[0]), started


@then("{short:d} short and {long:d} long requests are running")
def expect_both(context, short, long):
    assert context.bench.running.count() == (short, long, 0), context.bench.running.count()


@then("{count:d} short requests started and no long one")
def expect_only_short(context, count):
    kinds = [context.bench.is_short(item) for item in context.started]
    assert kinds == [True] * count, kinds


@then("over {count:d} starts with short and long work waiting, both classes get half the time")
def expect_equal_time(context, count):
    bench = context.bench
    bench.push(count * 20, short=True)
    bench.push(count, short=False)
    spent = {True: 0.0, False: 0.0}
    for _ in range(count):
        (item,) = bench.start_all()
        spent[bench.is_short(item)] += item.expected.total_seconds()
        bench.running.finish(item.request)
    assert abs(spent[True] - spent[False]) <= bench.LONG_S, spent


@then("{count:d} requests started, with web after the first 2 of crews")
def expect_team_order(context, count):
    teams = [item.team for item in context.started]
    assert teams[:3] == ["crews", "crews", "web"] and len(teams) == count, teams


@then("it is expired and not started")
def expect_expired(context):
    assert context.bench.start_all() == []
    assert [item.request for item in context.bench.queue.expire()] == ["late"]
    assert len(context.bench.queue) == 0
