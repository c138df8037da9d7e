"""Steps that run cells of the fault matrix of requests and test its table and its checks."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from matrix import pages, table
from matrix.caller import Attempt, Caller, RequestSpec, SyncPoint
from matrix.judge import WorkerRecords, check_safety

from carawayshore.clock import SystemClock


def _record(folder: str, host: str, request: str, key: str) -> None:
    entry = {"entry": "execution", "request": request, "key": key, "pool": "booking"}
    entry |= {"path": "/services/booking/token", "started": "2026-01-01T00:00:01Z"}
    entry |= {"ended": "2026-01-01T00:00:02Z", "result": "succeeded"}
    Path(folder, f"{host}.record").write_text(json.dumps(entry) + "\n")


def _check(mode: str, outcome: str, *runs: tuple[str, str]) -> list[str]:
    clock = SystemClock()
    spec = RequestSpec("token", mode, "POST", 0.1, 0, 0.0, b"", 10.0)
    caller = Caller(spec, [], SyncPoint(), clock)
    caller.attempts.append(Attempt("a:1", clock.now(), clock.now(), 503, outcome, "umea-1.0.1.ab"))
    with tempfile.TemporaryDirectory() as folder:
        for host, request in runs:
            _record(folder, host, request, spec.key)
        worker_records = WorkerRecords(Path(folder))
        worker_records.update()
        return check_safety([caller], worker_records)


@when("{faults} begins while requests are at the step {step}")
def run_cell(context, faults, step):
    context.cell = table.find_cell(f"{faults} at {step}")
    context.problems = context.run_cell(context.cell).problems


@then("plain requests are {plain} and keyed requests are {keyed}")
def expect_outcomes(context, plain, keyed):
    assert context.cell.expected == (plain, keyed), context.cell.expected
    found = [p for p in context.problems if p.startswith("outcome")]
    assert not found, (context.seed, found)


@then("no promise is violated")
def expect_promises(context):
    assert not context.problems, (context.seed, context.problems)


@then("every generated file of the matrix is up to date")
def expect_pages(context):
    outdated = pages.find_outdated()
    assert not outdated, f"{outdated} differ from the table: run tools/matrix.py --pages"


@then("every cell of the matrix has a scenario or a reason why it cannot occur")
def expect_cells(context):
    text = pages.format_feature()
    for cell in table.list_singles():
        listed = f"| {cell.faults[0].name} | {cell.step.name} |" in text
        assert listed is not bool(cell.impossible_reason), cell.name
    missing = set(table.REPRESENTATIVE) - {cell.name for cell in table.list_cells()}
    assert not missing, missing


@then("every sensible pair of faults has a scenario")
def expect_pairs(context):
    covered = {tuple(fault.name for fault in cell.faults) for cell in table.list_pairs()}
    wanted = {
        (a, b) for a in table.PAIR_FIRSTS for b in table.PAIR_SECONDS
    } - table.IMPOSSIBLE_PAIRS
    assert covered == wanted, covered ^ wanted


@given("a keyed request that two workers recorded")
def build_repeated(context):
    runs = (("umea-w1", "umea-1.0.1.ab.1"), ("umea-w2", "umea-2.0.1.cd.1"))
    context.problems = _check("keyed", "unknown", *runs)


@given("a request answered not-run that a worker recorded")
def build_not_run(context):
    context.problems = _check("plain", "not-run", ("umea-w1", "umea-1.0.1.ab.1"))


@then("the judge reports the promise {promise}")
def expect_report(context, promise):
    assert [p for p in context.problems if p.startswith(f"{promise}:")], context.problems
