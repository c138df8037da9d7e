"""Steps that run the soak of pools."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from behave import then, when
from soak_pools import PoolSoakPlan, run_pool_seed


@when("the soak of pools is run for {series:d} series with seed {seed:d}")
def run_soak(context, series, seed):
    with tempfile.TemporaryDirectory() as name:
        context.pool_soak = asyncio.run(run_pool_seed(PoolSoakPlan(seed, series), Path(name)))
    print(context.pool_soak.describe())


@then("the soak of pools reports no violation")
def expect_no_findings(context):
    soak = context.pool_soak
    assert not soak.findings, (soak.plan.seed, soak.findings, soak.injected)
    assert soak.longest, "no task was away"
