"""Runs fleet cells sequentially; replaces a deployment that did not recover from a cell."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from matrix.fleet_deployment import FleetDeployment
from matrix.fleet_run import FleetRun

if TYPE_CHECKING:
    from pathlib import Path

    from matrix.fleet_table import Cell


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def _report(run: FleetRun, problems: list[str], seconds: float) -> None:
    _print(f"{'FAILED' if problems else 'passed'} {run.cell.name} {seconds:.1f}s")
    for problem in problems:
        _print(f"  {problem}")
    if problems:
        for at, kind, detail in run.events[-8:]:
            _print(
                f"  note {at.isoformat()} {kind} {detail} (affected member {run.affected_member})"
            )


async def run_cells(
    cells: list[Cell], folder: Path, seed: int, seconds: float
) -> dict[str, list[str]]:
    """Returns the problems of each cell that was started within ``seconds``."""
    results: dict[str, list[str]] = {}
    pending_cells, deadline = list(cells), time.monotonic() + seconds
    while pending_cells and time.monotonic() < deadline:
        lane_folder = folder / f"fleet{len(results)}"
        lane_folder.mkdir(parents=True, exist_ok=True)
        async with FleetDeployment(lane_folder) as deployment:
            reusable = True
            while reusable and pending_cells and time.monotonic() < deadline:
                cell = pending_cells.pop(0)
                run = FleetRun(cell, deployment, f"cell{len(results)}", seed)
                started = time.monotonic()
                problems = await run.run()
                results[cell.name] = problems
                _report(run, problems, time.monotonic() - started)
                reusable = run.reusable
    return results
