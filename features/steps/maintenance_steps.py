"""Steps for maintenance plans, wave records, drains and maintenance in a whole deployment."""

from __future__ import annotations

from datetime import datetime, timedelta
from types import SimpleNamespace

from behave import given, then, when
from builders import build_configuration
from builders_jobs import (
    HOLDER,
    START,
    Deployment,
    FakeLog,
    JobStream,
    WaveStream,
    build_fleet,
    build_racks,
    build_test_settings,
)

from carawayd.process.waves import WaveExecutor
from carawayshore import records
from carawayshore.configuration import complete_configuration
from carawayshore.maintenance import Planner, find_active_reservations
from carawayshore.testing import ManualClock


@given("{racks:d} racks of 4 hosts with a budget of {budget:d}")
def build_plan(context, racks, budget):
    context.fleet, context.now = build_fleet(build_racks(racks), budget), START


@given("racks of 4 hosts in 2 data centres with a budget of {budget:d}")
def build_two_data_centres(context, budget):
    # The first host of each rack is due first, then the second host of each rack, and so on.
    own = [
        host._replace(since=START + timedelta(hours=int(host.host[-1]))) for host in build_racks(2)
    ]
    other = [host._replace(host="l" + host.host, data_centre="lulea") for host in own]
    context.fleet, context.now = build_fleet(own + other, budget), START


@given("one host is {first} and one is {second}")
def set_conditions(context, first, second):
    hosts = list(context.fleet.hosts)
    hosts[0], hosts[4] = hosts[0]._replace(condition=first), hosts[4]._replace(condition=second)
    context.fleet = context.fleet._replace(hosts=hosts)


@then("no wave is chosen now")
def expect_no_wave(context):
    assert Planner(context.fleet, context.now).choose_wave() is None


@then("the reason names the service booking")
def expect_reason(context):
    reason = Planner(context.fleet, context.now).find_obstacle(context.fleet.hosts[1])
    assert "service booking allows 2" in reason, reason


@then("the chosen wave has 4 hosts of one rack and data centre")
def expect_one_rack(context):
    wave = Planner(context.fleet, context.now).choose_wave()
    assert wave.hosts == [f"h0-{n}" for n in range(4)], wave


@when("waves of {hours:d} hours are carried out for {days:d} days")
def carry_out(context, hours, days):
    context.maintenance_times = {}
    duration = timedelta(hours=hours)
    while context.now < START + timedelta(days=days):
        wave = Planner(context.fleet, context.now).choose_wave()
        context.now += duration
        if wave is None:
            continue
        for name in wave.hosts:
            context.maintenance_times.setdefault(name, []).append(context.now)
        hosts = [
            host._replace(maintained=context.now) if host.host in wave.hosts else host
            for host in context.fleet.hosts
        ]
        context.fleet = context.fleet._replace(hosts=hosts)


@then("every host was maintained, and none twice within {days:d} days")
def expect_each_once(context, days):
    assert set(context.maintenance_times) == {host.host for host in context.fleet.hosts}
    for times in context.maintenance_times.values():
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        assert all(gap >= timedelta(days=days) for gap in gaps), gaps


@when("waves take {hours:d} hours each")
def set_wave_duration(context, hours):
    context.fleet = context.fleet._replace(wave_duration=timedelta(hours=hours))


@then("the last {count:d} hosts are explained as late because the waves take too long")
def expect_late(context, count):
    late = Planner(context.fleet, context.now).explain()
    assert len(late) == count, len(late)
    assert all("the waves before it take until" in host.reason for host in late), late[0]


@then("every host is explained as late because of the service booking")
def expect_all_late(context):
    late = Planner(context.fleet, context.now).explain()
    assert len(late) == len(context.fleet.hosts), late
    assert all("service booking" in host.reason for host in late), late


@when("the data centre umea stops reporting with 1 host out of service")
def stop_reports(context):
    hosts = list(context.fleet.hosts)
    hosts[0] = hosts[0]._replace(condition="draining")
    context.fleet = context.fleet._replace(hosts=hosts, silent=frozenset({"umea"}))


@then("the chosen wave is in lulea")
def expect_lulea(context):
    assert Planner(context.fleet, context.now).choose_wave().data_centre == "lulea"


@given("a global stream with reported hosts")
def build_global(context):
    context.stream = WaveStream()


@when("a wave of {host} has started")
def start_wave(context, host):
    context.stream.start("w", host.partition("-")[0], [host]).unwrap()


@when("maintenance is paused")
def pause(context):
    context.stream.append(HOLDER, records.MaintenancePaused("anna", "peak")).unwrap()


@when("maintenance is disabled")
def disable(context):
    body = records.ConfigurationPublished(1, build_configuration(), HOLDER)
    context.stream.append(HOLDER, body).unwrap()


@when("a wave of {host} has stalled")
def stall(context, host):
    start_wave(context, host)
    _finish_wave(context, stalled=True).unwrap()


def _finish_wave(context, stalled=False):
    body = records.WaveFinished("w", context.stream.fence, START.isoformat(), stalled)
    return context.stream.append(HOLDER, body)


@then("starting a wave of {host} is rejected")
def expect_rejected(context, host):
    assert context.stream.start("x", host.partition("-")[0], [host]).failure().reason


@then("a wave of {hosts} under {fence} is {result}")
def expect_result(context, hosts, fence, result):
    number = context.stream.fence if fence == "its fence" else 0
    started = context.stream.start("w", "umea", hosts.split(", "), number)
    assert (started.value_or("rejected") or "accepted") == result, started


@when("a wave of umea-w1 and umea-w2 has started and the claim changes hands")
def start_and_hand_over(context):
    context.wave_fence = context.stream.fence
    context.stream.start("w", "umea", ["umea-w1", "umea-w2"]).unwrap()
    context.stream.take(HOLDER, "maintenance").unwrap()


@then("finishing umea-w1 under the fence of the wave is accepted once")
def expect_finished_once(context):
    stream = context.stream
    assert stream.finish_host("w", "umea-w1", stream.fence).failure().reason
    stream.finish_host("w", "umea-w1", context.wave_fence).unwrap()
    assert stream.finish_host("w", "umea-w1", context.wave_fence).failure().reason
    assert set(stream.state.maintained) == {"umea-w1"}


@then("the wave can be ended only when umea-w2 is finished or the wave has stalled")
def expect_wave_end(context):
    stream = context.stream
    assert _finish_wave(context).failure().reason
    _finish_wave(context, stalled=True).unwrap()
    assert set(stream.state.stalled) == {"w"} and not stream.state.waves
    stream.finish_host("w", "umea-w2", context.wave_fence).unwrap()
    assert not stream.state.stalled


@given("a data centre whose host w1 has started to drain for a wave")
def build_executor(context):
    context.local_stream, context.stream = JobStream(hosts=3), WaveStream()
    names = {f"w{n}": "" for n in range(1, 4)}
    context.stream.report("umea", names)
    context.stream.start("wave", "umea", ["w1", "w2"]).unwrap()
    version = SimpleNamespace(configuration=complete_configuration(build_configuration()))
    health = SimpleNamespace(list_ejected=list)
    reader = FakeLog(context.stream)
    reader.contact_age = timedelta
    context.executor = WaveExecutor(
        SimpleNamespace(holds=lambda: True, fence=context.local_stream.state.claims["fleet"].fence),
        FakeLog(context.local_stream),
        FakeLog(context.local_stream),
        global_reader=reader,
        global_appender=reader,
        inventory=SimpleNamespace(hosts=names, read_at=None),
        observations=SimpleNamespace(find_health=lambda pool: health),
        versions=SimpleNamespace(current=version),
        watch=SimpleNamespace(list_silent=lambda: frozenset({"lulea"})),
        pools=None,
        worker=None,
        settings=build_test_settings(),
        clock=ManualClock(),
    )
    assert context.executor.may_start_drain("w1", "wave")
    _change_host(context, records.HostDrainStarted, "booking", "maintenance", wave="wave")


def _change_host(context, kind, *values, wave=None):
    """Appends a record about w1 at its current revision."""
    state = context.local_stream.state
    fence, revision = state.claims["fleet"].fence, state.hosts["w1"].revision
    extra = {"wave": wave} if wave else {}
    context.local_stream.add(kind("w1", revision, *values, fence, **extra)).unwrap()


@then("the drain may continue")
def expect_drain_allowed(context):
    assert context.executor.may_continue_drain("w1")


@then("the drain may not continue")
def expect_drain_revoked(context):
    assert not context.executor.may_continue_drain("w1")


@when("another host of the pool fails")
def fail_host(context):
    context.executor.probes._missed_probes["w3"] = 2


@when("that host has recovered and the wave has ended")
def end_wave(context):
    context.executor.probes._missed_probes.clear()
    assert context.executor.may_continue_drain("w1")
    body = records.WaveFinished("wave", context.stream.fence, START.isoformat(), True)
    context.stream.append(HOLDER, body).unwrap()


@when("w1 has joined and is not confirmed yet")
def join_host(context):
    _change_host(context, records.HostJoined, "booking")


@when("w1 is confirmed")
def confirm_host(context):
    context.stream.finish_host("wave", "w1", context.stream.fence).unwrap()


@then("w2 may not begin to drain")
def expect_no_next_drain(context):
    assert not context.executor.may_start_drain("w2", "wave")


@then("w2 may begin to drain")
def expect_next_drain(context):
    assert context.executor.may_start_drain("w2", "wave")


@given("a running deployment for maintenance with a job of 12 s that runs once")
def start_deployment(context):
    configuration = {
        "data_centres": ["umea", "lulea"],
        "pools": {"booking": {}},
        "services": {"booking": {"pool": "booking", "max_unavailable": 2}},
        "queues": {"routes": {"pool": "booking", "service": "booking"}},
        "maintenance": {"enabled": True},
    }
    context.deployment = Deployment({"umea": 4, "lulea": 3}, configuration=configuration)
    context.add_cleanup(context.deployment.close)
    payload = {"run_seconds": 12}
    body = {"job": "umea:long", "queue": "routes", "team": "crew", "payload": payload}
    assert context.deployment.call("POST", "umea-1", "/v1/jobs", body=body)[0] == 201
    context.statuses = []
    for _ in range(50):
        _call_both_data_centres(context)
        if context.statuses[-2:] == [200, 200]:
            break
        # Hosts are added to the log within 1 s of the start, before any wave.
        context.deployment.sleep(0.1)
    context.statuses = []


def _call_both_data_centres(context):
    path = "/services/booking/slots"
    context.statuses += [context.deployment.call("GET", m, path)[0] for m in ("umea-1", "lulea-1")]


def _list_operations(context, kind=""):
    record = context.deployment.run(context.deployment.launcher.read_record("pools"))
    return [entry for entry in record["operations"] if kind in ("", entry["kind"])]


@when("requests are sent until maintenance is paused after the first drain")
def pause_after_drain(context):
    for _ in range(300):
        _call_both_data_centres(context)
        if _list_operations(context, "drain"):
            break
        context.deployment.sleep(0.1)
    path, body = "/v1/operator/maintenance/pause", {"author": "anna", "reason": "peak"}
    answer = context.deployment.call("POST", "umea-1", path, role="operator", body=body)
    assert answer[0] == 200, answer
    # Drains logged before the pause may still be sent to the pools service.
    context.deployment.sleep(1)
    context.drains = len(_list_operations(context, "drain"))


@then("no further drain begins within {seconds:d} s")
def expect_no_drain(context, seconds):
    context.deployment.sleep(seconds)
    assert len(_list_operations(context, "drain")) == context.drains


@when("maintenance is resumed while 2 workers are paused for {seconds:d} s")
def resume(context, seconds):
    deployment = context.deployment
    for name in ("umea-w3", "umea-w4"):
        deployment.launcher.pause(name)
    path = "/v1/operator/maintenance/resume"
    deployment.call("POST", "umea-1", path, role="operator", body={"author": "anna"})
    # The failure is detected within 3 s: two probes with a timeout of 1 s each, then the report.
    deployment.sleep(3)
    drains_before = len(_list_operations(context, "drain"))
    deployment.sleep(seconds - 3)
    assert (
        len(_list_operations(context, "drain")) == drains_before
    ), "a drain began with no budget left"
    for name in ("umea-w3", "umea-w4"):
        deployment.launcher.resume(name)


@then("all hosts are maintained within {seconds:d} s, never more than {budget:d} at once")
def expect_all_maintained(context, seconds, budget):
    workers = set(context.deployment.list_workers())
    for _ in range(seconds * 2):
        _call_both_data_centres(context)
        if {entry["host"] for entry in _list_operations(context, "return")} == workers:
            break
        context.deployment.sleep(0.5)
    operations = sorted(_list_operations(context), key=lambda entry: entry["at"])
    assert {entry["host"] for entry in operations if entry["kind"] == "reboot"} == workers
    unavailable: set[str] = set()
    for entry in operations:
        (unavailable.discard if entry["kind"] == "return" else unavailable.add)(entry["host"])
        assert len(unavailable) <= budget, operations
    first, last = (datetime.fromisoformat(operations[n]["at"]) for n in (0, -1))
    print(f"{len(workers)} hosts in {(last - first).total_seconds():.0f} s")


@then("the job has succeeded in one run, and no request was cut off")
def expect_uninterrupted(context):
    answer = context.deployment.call("GET", "umea-1", "/v1/jobs/umea:long?wait=30")
    assert answer[2]["state"] == "succeeded", answer
    runs = [entry["result"] for entry in context.deployment.list_executions() if "job" in entry]
    assert runs == ["succeeded"], runs
    assert set(context.statuses) == {200} and len(context.statuses) > 20, context.statuses


def _reserve(context, host, last_seen_offset):
    body = records.RemovalReserved(
        host.partition("-")[0], host, "booking", START.isoformat(), last_seen_offset
    )
    return context.stream.append(HOLDER, body)


@when("{first} and {second} are reserved by operators who saw no other reservation")
def reserve_both(context, first, second):
    _reserve(context, first, -1).unwrap()
    context.refused = _reserve(context, second, -1).failure().reason


@then("only {host} is reserved")
def expect_reserved(context, host):
    assert set(context.stream.state.removals) == {host}, context.refused


@then("another reservation is accepted once the first is released or reported")
def expect_next_reservation(context):
    state = context.stream.state
    first = state.removals["umea-w1"].offset
    context.stream.append(HOLDER, records.RemovalReleased("umea-w1", first)).unwrap()
    _reserve(context, "lulea-w1", -1).unwrap()
    context.stream.report("lulea", {"lulea-w1": "draining"}).unwrap()
    _reserve(context, "umea-w2", -1).unwrap()


@then("{host} counts as out of service for {seconds:d} seconds")
def expect_counted(context, host, seconds):
    state, age = context.stream.state, timedelta(seconds=seconds)
    assert set(find_active_reservations(state, "booking", START + age - timedelta(seconds=1))) == {
        host
    }
    assert not find_active_reservations(state, "office", START)
    assert not find_active_reservations(state, "booking", START + age)
