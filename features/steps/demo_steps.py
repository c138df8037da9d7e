"""Steps that check the promises against evidence and that run the demonstration."""

from __future__ import annotations

import json
import subprocess
import sys

from behave import given, then, when
from evidence_builders import apply_fault, build_evidence

from carawayshore_standins.promises import check_promises

DEMO_TIMEOUT_S = 240  # Limits a run that hangs; a run usually takes about 20 s.


@given("the evidence of a sound run")
def build_run(context):
    context.evidence = build_evidence()


@given("with {fault}")
def add_fault(context, fault):
    context.evidence = apply_fault(fault, context.evidence)


def _list_broken(context) -> list:
    return [verdict for verdict in check_promises(context.evidence) if not verdict.held]


@then("every promise is held")
def expect_all_held(context):
    assert not _list_broken(context), _list_broken(context)


@then('exactly the promise "{beginning}" is not held')
def expect_broken(context, beginning):
    broken = _list_broken(context)
    assert len(broken) == 1 and broken[0].promise.startswith(beginning), broken


@then("no promise is held")
def expect_none_held(context):
    assert len(_list_broken(context)) == len(check_promises(context.evidence)) > 0


@when("the short demonstration runs")
def run_demonstration(context):
    command = [sys.executable, "-m", "carawayshore_standins.demo", "--short", "--json"]
    context.completed = subprocess.run(
        command, capture_output=True, text=True, timeout=DEMO_TIMEOUT_S, check=False
    )
    print(context.completed.stderr)


@then("it ends with status {status:d} and its last line is one JSON object")
def expect_status(context, status):
    assert context.completed.returncode == status, (
        context.completed.stdout + context.completed.stderr
    )
    context.report = json.loads(context.completed.stdout.splitlines()[-1])


@then("{count:d} promises held, and none was broken")
def expect_held(context, count):
    held = [promise["held"] for promise in context.report["promises"]]
    assert held == [True] * count, context.report
