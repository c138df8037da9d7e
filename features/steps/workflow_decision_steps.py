"""Steps that test the decisions about workflows without I/O."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when
from workflow_builders import (
    add_running_task,
    build_load,
    build_machines,
    build_pool_view,
    build_upkeep_view,
    build_worker_capacities,
    build_workflow,
)

from carawayd.partition.demand import Demand
from carawayshore.testing import ManualClock
from carawayshore.workflows.admission import Backlog, Request, decide_admission
from carawayshore.workflows.candidacy import GroupView, decide_candidacy
from carawayshore.workflows.model import StepSpec, TaskName, WorkerLoad
from carawayshore.workflows.ordering import Candidate, rank_candidate
from carawayshore.workflows.pacing import ServingTask, choose_cpu_percent
from carawayshore.workflows.placement import choose_worker, compute_usage
from carawayshore.workflows.pools import (
    PoolHistory,
    PoolNeed,
    choose_cancelled_moves,
    choose_moves,
    estimate_short_task_cores,
)
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import WorkflowState
from carawayshore.workflows.turns import TurnForecast
from carawayshore.workflows.upkeep import choose_upkeep_machines, may_start_upkeep


@given(
    "a pool of {cores:g} cores with {ready:g} core-seconds of ready and {total:g} of accepted work"
)
def build_backlog(context, cores, ready, total):
    context.backlog = Backlog(cores, 0.0, ready, total, total, 0.0)


@given("{sooner:g} core-seconds of it are due sooner, and the mean objective is {mean:g} s")
def set_due_sooner(context, sooner, mean):
    context.backlog = context.backlog._replace(
        due_sooner_core_seconds=sooner, mean_objective_seconds=mean
    )


@given("{cores:g} more cores are arriving")
def set_arriving_cores(context, cores):
    context.backlog = context.backlog._replace(arriving_cores=cores)


@when(
    "a workflow with a chain of {chain:g} s, {work:g} core-seconds and an objective of"
    " {objective:g} s is submitted after {age:g} s"
)
def submit(context, chain, work, objective, age):
    request = Request(chain, work, objective, age, False, False, True)
    context.verdict = decide_admission(request, context.backlog, 0.0)


@when("a workflow that fits no worker is submitted")
def submit_unplaceable(context):
    request = Request(1.0, 8.0, 2.2, 0.0, False, False, False)
    context.verdict = decide_admission(request, context.backlog, 0.0)


@then("it is admitted")
def expect_admitted(context):
    assert context.verdict.admitted, context.verdict


@then("it is rejected with a retry after {seconds:g} s")
def expect_rejected(context, seconds):
    assert not context.verdict.admitted, context.verdict
    assert round(context.verdict.retry_after_seconds) == seconds, context.verdict


@when("{count:d} workflows with an objective of {objective:g} s are rejected")
def reject_many(context, count, objective):
    request = Request(1.0, 8.0, objective, 0.0, False, False, True)
    context.retry_delays = [
        decide_admission(request, context.backlog, number / count).retry_after_seconds
        for number in range(count)
    ]


@then("their retry delays are spread over at least {seconds:g} s")
def expect_spread(context, seconds):
    assert max(context.retry_delays) - min(context.retry_delays) >= seconds, context.retry_delays


@given("steps of 1 s that are due after these seconds")
def build_steps(context):
    context.ranks = {
        row["name"]: rank_candidate(
            Candidate(
                row["long_running"] == "yes",
                0,
                float(row["due"]),
                1.0,
                row["best_effort"] == "yes",
            ),
            0.0,
        )
        for row in context.table
    }


@then("they are placed in the order {names}")
def expect_order(context, names):
    order = sorted(context.ranks, key=context.ranks.get)
    assert order == names.split(", "), order


@given("{count:d} workers of 16 cores of which the second runs {cores:d} cores")
def build_workers(context, count, cores):
    context.capacities = build_worker_capacities(count)
    add_running_task(context.capacities[1], cores * 1000)
    context.placed = []


@when("{count:d} tasks in a row have failed on {worker:w}")
def fail_tasks(context, count, worker):
    capacity = next(capacity for capacity in context.capacities if capacity.entry.worker == worker)
    for _ in range(count):
        capacity.record_failure(0.0)


def _place(context, step: StepSpec, index: int = 0, avoided: tuple[str, ...] = ()) -> None:
    name = TaskName("a" * 16, 0, 0, index)
    usage = compute_usage(name, step)
    capacity = choose_worker(context.capacities, step, usage, 0.0, avoided=avoided)
    assert capacity is not None
    capacity.reserve(name, usage)
    context.placed.append(capacity.entry.worker)


@when("a task of {cores:d} cores is placed")
def place_task(context, cores):
    _place(context, StepSpec(millicores=cores * 1000))


@when("a task of {cores:d} cores that failed on {worker:w} is placed")
def place_again(context, cores, worker):
    _place(context, StepSpec(millicores=cores * 1000), avoided=(worker,))


@when("{count:d} tasks of {cores:d} core with at most {most:d} on one worker are placed")
def place_with_limit(context, count, cores, most):
    step = StepSpec(count=count, millicores=cores * 1000, most_per_worker=most)
    for index in range(count):
        _place(context, step, index)


@then("it is on {worker:w}")
def expect_worker(context, worker):
    assert context.placed == [worker], context.placed


@then("{count:d} are on each worker")
def expect_each(context, count):
    assert set(Counter(context.placed).values()) == {count}, context.placed


@given("a serving task with a target of {target:d} ms whose tail latency is {latency:g} ms")
def build_serving(context, target, latency):
    context.serving = [ServingTask(latency, target)]


@when("best-effort tasks beside it use {percent:d} percent")
def choose_next_percent(context, percent):
    context.percent = choose_cpu_percent(context.serving, percent)


@then("they may use {percent:d} percent")
def expect_percent(context, percent):
    assert context.percent == percent, context.percent


@given("pools booking with {booking:d}, office with {office:d} and spare with {spare:d} machines")
def build_pools(context, booking, office, spare):
    context.machines = build_machines(booking=booking, office=office, spare=spare)
    context.pending_moves, context.unusable, context.withdrawn = {}, frozenset(), frozenset()


@given("{count:d} machines of {pool:w} to which an order may yet be carried out")
def set_unusable(context, count, pool):
    names = [item.machine for item in context.machines if item.pool == pool]
    context.unusable = frozenset(names[-count:])


@given("{count:d} machines of {pool:w} whose workers take no further tasks")
def withdraw_machines(context, count, pool):
    workers = [item.worker for item in context.machines if item.pool == pool]
    context.withdrawn = frozenset(workers[:count])


@given("{count:d} moves from {source:w} to {target:w} that are not yet carried out")
def add_pending_moves(context, count, source, target):
    names = [item.machine for item in context.machines if item.pool == source]
    context.pending_moves |= dict.fromkeys(names[-count:], target)


def _choose_moves(context, booking: PoolNeed, office: PoolNeed) -> None:
    view = build_pool_view(
        context.machines,
        {"booking": booking, "office": office},
        busy=1,
        pending_moves=context.pending_moves,
        unusable=context.unusable,
        withdrawn=context.withdrawn,
    )
    context.cancelled = choose_cancelled_moves(view, frozenset(context.pending_moves))
    context.moves = Counter((move.machine.pool, move.pool) for move in choose_moves(view))


@when("booking needs {booking:d} and office needs {office:d}")
def need_machines(context, booking, office):
    _choose_moves(context, PoolNeed(booking, booking), PoolNeed(office, office))


@when(
    "booking needs {booking:d}, {taking:d} of them for long-running tasks, and office needs "
    "{office:d}"
)
def need_places(context, booking, taking, office):
    _choose_moves(context, PoolNeed(booking, booking, taking), PoolNeed(office, office))


@when("booking needs {booking:d} and office needs {office:d} and keeps {kept:d}")
def need_and_keep(context, booking, office, kept):
    _choose_moves(context, PoolNeed(booking, booking), PoolNeed(office, kept))


@when("booking needs {booking:d} and keeps {kept:d} and office needs {office:d}")
def need_and_keep_booking(context, booking, kept, office):
    _choose_moves(context, PoolNeed(booking, kept), PoolNeed(office, office))


@then("the moves are {moves}")
def expect_moves(context, moves):
    expected = Counter()
    for text in moves.split(", "):
        count, _, source, _, target = text.split()
        expected[source, target] = int(count)
    to_standby = {key: count for key, count in context.moves.items() if key[1] == "spare"}
    expected_to_standby = {key: count for key, count in expected.items() if key[1] == "spare"}
    others = {key: count for key, count in context.moves.items() if key[1] != "spare"}
    assert others == {k: c for k, c in expected.items() if k[1] != "spare"}, context.moves
    assert not expected_to_standby or to_standby == expected_to_standby, context.moves


@then("no machine is moved")
def expect_no_moves(context):
    assert not context.moves, context.moves


@then("{count:d} of the moves are cancelled")
def expect_cancelled(context, count):
    assert len(context.cancelled) == count, context.cancelled


@given("a pool that needed {cores:g} cores")
def build_history(context, cores):
    context.history = PoolHistory()
    context.pool = build_machines(booking=2)
    context.history.update(0.0, build_load("booking", context.pool, running_cores=cores), 16_000, 1)


@when("within 1 s {cores:g} cores are offered of which {running:g} run and nothing waits yet")
def raise_offered_load(context, cores, running):
    load = build_load("booking", context.pool, running_cores=running, offered_cores=cores)
    context.need = context.history.update(0.9, load, 16_000, 1)


@then("it needs at least {count:d} machines of 16 cores")
def expect_need(context, count):
    assert context.need.needed >= count, context.need


@given(
    "{count:d} machines due for upkeep of which {busy:d} run tasks, at most {most:d} down at once"
)
def build_wave(context, count, busy, most):
    machines = build_machines(booking=count)
    loads = {
        item.worker: WorkerLoad(item.worker, int(number < busy), 0, 16_000, False, True)
        for number, item in enumerate(machines)
    }
    context.view = build_upkeep_view(machines, most, loads=loads)


@when("{count:d} of them is down already")
def mark_down(context, count):
    names = context.view.wave.machines[-count:]
    context.view = context.view._replace(down=frozenset(names), begun=frozenset(names))


@then("{count:d} machines without tasks are chosen")
def expect_chosen(context, count):
    chosen = choose_upkeep_machines(context.view)
    assert len(chosen) == count, chosen
    assert all(context.view.loads[item.worker].tasks == 0 for item in chosen), chosen


@then("upkeep of a machine with {kind} {verdict} begin after {age:g} s")
def expect_begin(context, kind, verdict, age):
    long_running = int("long-running" in kind)
    load = WorkerLoad("w", 1, long_running, 16_000, True, True)
    allowed = may_start_upkeep(context.view._replace(age_seconds=age), load)
    assert allowed == (verdict == "may"), (kind, verdict, age)


@given("a queue whose tasks took {seconds:g} s, {count:d} times")
def learn_runtimes(context, seconds, count):
    context.runtimes = RuntimeModel()
    for _ in range(count):
        context.runtimes.learn("slots", StepSpec(), seconds)


@when("one task takes {seconds:g} s")
def learn_straggler(context, seconds):
    context.runtimes.learn("slots", StepSpec(), seconds)


@then("the next is expected to take at most {seconds:g} s")
def expect_runtime(context, seconds):
    expected = context.runtimes.estimate_task_seconds("slots", StepSpec())
    assert expected <= seconds, expected


@given(
    "a queue whose tasks take {factor:g} times their estimates of {estimates} ms, {count:d} times"
)
def learn_estimates(context, factor, estimates, count):
    context.runtimes = RuntimeModel()
    for number in range(count):
        for estimate in map(int, estimates.split(", ")):
            step = StepSpec(estimate_ms=estimate)
            # The noise makes estimates too low and too high in turn.
            noise = context.noise if number % 2 else 1 / context.noise
            context.runtimes.learn("slots", step, factor * noise * estimate / 1000)


@given("estimates that are off by a factor of {noise:g}")
def set_noise(context, noise):
    context.noise = noise


@then("a task with an estimate of {estimate:d} ms is expected to take {least:g} to {most:g} s")
def expect_estimate(context, estimate, least, most):
    expected = context.runtimes.estimate_task_seconds("slots", StepSpec(estimate_ms=estimate))
    assert least <= expected <= most, expected


@given("a queue whose steps have {count:d} tasks that took 1 s and one that took {seconds:g} s")
def learn_steps(context, count, seconds):
    context.runtimes = RuntimeModel()
    for _ in range(60):
        run_times = [1.0] * count + [seconds]
        for run_time in run_times:
            context.runtimes.learn("slots", StepSpec(), run_time)
        context.runtimes.learn_step("slots", run_times)


@then("a chain of {steps:d} steps is expected to take {least:g} to {most:g} s")
def expect_chain(context, steps, least, most):
    chain = [StepSpec(count=8, after=(number - 1,) if number else ()) for number in range(steps)]
    expected = context.runtimes.estimate_chain_seconds(build_workflow(*chain))
    assert least <= expected <= most, expected


SAMPLE_INTERVAL_SECONDS = 0.25


def _observe_turns(context, seconds, spike_cores=0.0):
    """Adds samples of the cores offered to each pool to the forecast, until ``seconds``.

    Pools whose turn it is not are offered ``spike_cores`` in the first sample of every second.
    """
    turns = context.turns
    while context.now < seconds:
        active = int(context.now / turns.seconds) % len(turns.pools)
        quiet = spike_cores if context.now % 1 < SAMPLE_INTERVAL_SECONDS else 0.0
        offered = {
            pool: turns.cores if number == active else quiet
            for number, pool in enumerate(turns.pools)
        }
        context.forecast.record_demand(context.now, offered, turns.all_cores)
        context.now += SAMPLE_INTERVAL_SECONDS


def _read_names(text):
    return set(text.replace(" and ", ", ").split(", "))


@given(
    "pools {names} whose demand takes turns of {seconds:g} s at {cores:g} of {all_cores:g} cores"
)
def build_turns(context, names, seconds, cores, all_cores):
    context.turns = SimpleNamespace(
        pools=names.replace(" and ", ", ").split(", "),
        seconds=seconds,
        cores=cores,
        all_cores=all_cores,
    )
    context.forecast, context.now = TurnForecast(), 0.0


@when("the forecast has observed the turns for {seconds:g} s")
def observe_turns(context, seconds):
    _observe_turns(context, seconds)


@when("a job of {cores:g} cores is offered to each quiet pool every second for {seconds:g} s")
def observe_spikes(context, cores, seconds):
    _observe_turns(context, seconds, cores)


@when("no pool has demand for {seconds:g} s")
def offer_nothing(context, seconds):
    for _ in range(int(seconds / SAMPLE_INTERVAL_SECONDS)):
        offered = dict.fromkeys(context.turns.pools, 0.0)
        context.forecast.record_demand(context.now, offered, context.turns.all_cores)
        context.now += SAMPLE_INTERVAL_SECONDS


@then("a turn is recorded for {served}, not for {waiting}")
def expect_recorded_turns(context, served, waiting):
    recorded = {pool for pool in context.turns.pools if context.forecast.has_had_turn(pool)}
    assert recorded == _read_names(served), recorded
    assert recorded.isdisjoint(_read_names(waiting)), recorded


@then("at {now:g} s {pool} is predicted to need at least {cores:g} cores")
def expect_predicted_cores(context, now, pool, cores):
    assert (
        context.forecast.predict_cores(now).get(pool, 0.0) >= cores
    ), context.forecast.predict_cores(now)


@then("at {now:g} s no demand is predicted for {pool}")
def expect_no_predicted_cores(context, now, pool):
    assert pool not in context.forecast.predict_cores(now), context.forecast.predict_cores(now)


@then("no demand is predicted for any pool")
def expect_no_prediction(context):
    assert not context.forecast.predict_cores(context.now)


@given(
    "a pool with tasks running on {running:g} cores and tasks of {seconds:g} s waiting for"
    " {cores:g} cores"
)
def build_backlogged_pool(context, running, seconds, cores):
    step = StepSpec(count=int(cores), millicores=1000, estimate_ms=int(seconds * 1000))
    state = WorkflowState(build_workflow(step), 0.0)
    capacities = build_worker_capacities(1)
    add_running_task(capacities[0], int(running * 1000))
    link = SimpleNamespace(
        worker="w0",
        entry=capacities[0].entry,
        capacity=capacities[0],
        orders={},
        run_count=0,
        is_departing=False,
        is_unresponsive=False,
    )
    context.demand = Demand(
        {state.identifier: state},
        {"w0": link},
        {(state.identifier, 0, 0): state.steps[0, 0]},
        {state.identifier: 5.0},
        RuntimeModel(),
        ManualClock(),
    )


@then("it needs at most {cores:g} cores")
def expect_limited_demand(context, cores):
    load = context.demand.measure_load("booking")
    assert load.running_cores <= estimate_short_task_cores(load) <= cores, load


@given("an entry host of {cores:g} cores that {state} a member")
def build_candidate(context, cores, state):
    context.group = GroupView(cores, state == "is", {}, 0.0)


@given("others of {owners} cores own partitions, one of which has had no owner for {unowned:g} s")
def add_owners(context, owners, unowned):
    cores = {f"m{number}": float(text) for number, text in enumerate(owners.split(", "))}
    context.group = context.group._replace(owners=cores, unowned_seconds=unowned)


@then("it {state} a member")
def expect_member(context, state):
    decision = decide_candidacy(context.group)
    assert decision.should_join == (state != "is not"), decision


@given("a quiet pool")
def build_quiet_pool(context):
    context.clock = ManualClock()
    context.demand = Demand({}, {}, {}, {}, RuntimeModel(), context.clock)


@when("{count:d} workflows of {work:g} core-seconds with a chain of {chain:g} s are submitted")
def submit_several(context, count, work, chain):
    for _ in range(count):
        context.demand.record_submission("booking", work, chain)


@when("{seconds:g} s have passed")
def advance(context, seconds):
    context.clock.advance(timedelta(seconds=seconds))


@then("its offered load is {cores:g} cores")
def expect_offered(context, cores):
    assert context.demand.measure_load("booking").offered_cores == cores
