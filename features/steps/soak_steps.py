"""Steps that run the fault soak."""

from __future__ import annotations

from behave import given, then, when
from soak_run import SoakPlan, run_seed_in_folder


@given("a soak of edition {edition:d} of {seconds:g} s with seed {seed:d}")
def plan_soak(context, edition, seconds, seed):
    context.plan = SoakPlan(seed, seconds, edition=edition)


@when("the soak is run")
def run_soak(context):
    context.run = run_seed_in_folder(context.plan)
    print(context.run.describe())


@then("the soak reports no violation")
def expect_no_findings(context):
    run = context.run
    assert not run.findings, (run.plan.seed, run.findings, run.faults)
    assert any(job.completed for job in run.jobs), run.describe()
