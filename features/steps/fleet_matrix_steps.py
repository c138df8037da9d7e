"""Steps that run cells of the fault matrix of the fleet."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from behave import then, when
from matrix import fleet_pages, fleet_table
from matrix.fleet_lane import run_cells

TIME_LIMIT_S = 600.0
# Fixed so that CI repeats the same random choices; tools/fleet_matrix.py draws seeds.
SEED = 7


@when("{faults} begins at the fleet's step {step}")
def run_cell(context, faults, step):
    context.seed = SEED
    print(f"seed {context.seed}")
    context.cell = fleet_table.find_cell(f"{faults} at {step}")
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(run_cells([context.cell], Path(folder), context.seed, TIME_LIMIT_S))
    context.problems = results[context.cell.name]


@then("the step {shows} and no promise of the fleet is violated")
def expect_promises(context, shows):
    assert context.cell.expected == shows, context.cell.expected
    assert not context.problems, (context.seed, context.problems)


@then("the files generated from the fleet's table are up to date")
def expect_pages(context):
    outdated = fleet_pages.find_outdated()
    assert not outdated, f"{outdated} differ from the table: run tools/fleet_matrix.py --pages"
