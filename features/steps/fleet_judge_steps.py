"""Steps that test the table and the checks of the fleet matrix."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from itertools import combinations
from types import SimpleNamespace

from behave import given, then, when
from matrix import fleet_pages, fleet_table
from matrix.fleet_deployment import MEMBERS, REMOTE_MEMBER, WORKERS
from matrix.fleet_judge import check_cell
from matrix.fleet_run import JobReport
from matrix.fleet_watch import VersionSample

START = datetime(2026, 1, 1, tzinfo=UTC)


def _at(seconds: float) -> str:
    return (START + timedelta(seconds=seconds)).isoformat()


def _build_sample(seconds: float, member: str, version: int) -> VersionSample:
    return VersionSample(START + timedelta(seconds=seconds), member, True, version)


def _build_operation(
    seconds: float, kind: str, host: str = "umea-w1", fence: int = 5, pool: str = ""
):
    entry = {"at": _at(seconds), "kind": kind, "host": host, "fence": fence, "repeated": False}
    return entry | {"operation": f"{host}-{seconds}-{kind}", "pool": pool}


def _build_task(job: str, host: str, result: str | None) -> dict:
    entry = {"kind": "task", "job": job, "service": "booking", "pool": "booking", "worker": host}
    ended = _at(2) if result else None
    return entry | {"started": _at(1), "ended": ended, "result": result, "lease": 9}


def _build_request(host: str, pool: str, seconds: float) -> dict:
    entry = {"kind": "request", "path": "/services/booking/token", "pool": pool, "worker": host}
    return entry | {"started": _at(seconds), "ended": _at(seconds + 1), "result": "succeeded"}


@given("the records of a sound cell of the fleet")
def build_valid_records(context):
    bodies: dict[str, list[dict]] = {"dc.umea": [{"host": "umea-w1"}], "dc.lulea": []}
    context.bodies = bodies
    observer = SimpleNamespace(list_bodies=lambda stream, kind: bodies[stream], load_requests=[])
    observer.samples = [_build_sample(n, m, n) for n in (1, 2) for m in (*MEMBERS, REMOTE_MEMBER)]
    context.run = SimpleNamespace(
        observer=observer,
        cell=fleet_table.Cell(fleet_table.STEPS[0], ()),
        affected_member="umea-1",
        killed=set(),
        race_accepted=[],
        jobs={"a": JobReport(repeatable=False, accepted=True, state="succeeded")},
    )
    context.executions = [_build_task("a", "umea-w2", "succeeded")]
    context.executions.append(_build_request("umea-w2", "booking", 0))
    kinds = (("drain", ""), ("reboot", ""), ("return", "booking"))
    context.operations = [
        _build_operation(n, kind, pool=pool) for n, (kind, pool) in enumerate(kinds)
    ]


def _check(context) -> list[str]:
    pools = {host: "office" if n in (4, 5) else "booking" for n, host in enumerate(WORKERS)}
    return check_cell(context.run, context.executions, context.operations, pools)


@then("the fleet's judge finds nothing")
def expect_no_findings(context):
    assert not _check(context), _check(context)


@when("the cell of the fleet has {fault}")
def add_violation(context, fault):
    run, jobs = context.run, context.run.jobs
    report = jobs["a"]
    if fault == "a request on a host of another pool":
        context.executions.append(_build_request("umea-w5", "office", 1))
    elif fault == "a request during a move":
        context.operations[-1]["pool"] = "office"
        context.executions.append(_build_request("umea-w1", "booking", 3))
    elif fault == "a host in two streams":
        context.bodies["dc.lulea"].append({"host": "umea-w1"})
    elif fault == "three hosts out at once":
        context.operations = [
            _build_operation(n, "drain", host) for n, host in enumerate(WORKERS[:3])
        ]
    elif fault == "a version that decreases":
        run.observer.samples.append(_build_sample(3, MEMBERS[1], 1))
    elif fault == "a version that reaches one host":
        run.observer.samples += [_build_sample(3, MEMBERS[1], 3), _build_sample(10, MEMBERS[0], 2)]
    elif fault == "a job that started twice":
        context.executions.append(_build_task("a", "umea-w3", "stopped"))
    elif fault == "a job that never ended":
        jobs["a"] = report._replace(state="placed")
    elif fault == "a rejected job that ran":
        jobs["a"] = report._replace(accepted=False, state="")
    elif fault == "a success that nobody ran":
        jobs["b"] = report
    elif fault == "a cancelled job that still runs":
        jobs["a"] = report._replace(state="cancelled")
        context.executions[0] = _build_task("a", "umea-w2", None)
    elif fault == "an operation of a lapsed holder":
        context.operations.append(_build_operation(4, "drain", fence=4))
    elif fault == "a second reboot":
        context.operations.insert(2, _build_operation(1.5, "reboot"))
    elif fault == "a task cut off by a reboot":
        context.executions[0] = _build_task("a", "umea-w1", "cut-off")
        jobs["a"] = report._replace(state="unknown")
    elif fault == "two winners of a race":
        run.race_accepted = [True, True]
    else:
        raise ValueError(f"unknown fault {fault!r}")


@then("the fleet's judge reports the promise {promise}")
def expect_report(context, promise):
    names = {problem.partition(":")[0] for problem in _check(context)}
    assert names == {promise}, _check(context)


@then("every cell of the fleet's table has a scenario or a reason why it cannot occur")
def expect_cells(context):
    text = fleet_pages.format_feature()
    for cell in fleet_table.list_singles():
        listed = f"| {cell.faults[0].name} | {cell.step.name} |" in text
        assert listed is not bool(cell.impossible_reason), cell.name
    missing = set(fleet_table.REPRESENTATIVE) - {c.name for c in fleet_table.list_cells()}
    assert not missing, missing


@then("every possible pair of a step and two faults is covered")
def expect_pairs(context):
    covered = {
        pair
        for cell in fleet_table.list_pairs()
        for pair in combinations((cell.step.name, *(fault.name for fault in cell.faults)), 2)
    }
    by_name = {fault.name: fault for fault in fleet_table.FAULTS}
    firsts, seconds = fleet_table.PAIR_FIRSTS, fleet_table.PAIR_SECONDS
    wanted = {(first, second) for first in firsts for second in seconds}
    wanted |= {
        (step.name, name)
        for step in fleet_table.STEPS
        for name in (*firsts, *seconds)
        if not fleet_table.find_reason(step, by_name[name])
    }
    assert wanted <= covered, wanted - covered
