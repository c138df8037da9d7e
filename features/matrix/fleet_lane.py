"""Runs cells of the fleet one after another, on a new deployment where one was left damaged."""

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
        for at, kind, what in run.notes[-8:]:
            _print(f"  note {at.isoformat()} {kind} {what} (subject {run.subject})")


async def run_cells(
    cells: list[Cell], folder: Path, seed: int, seconds: float
) -> dict[str, list[str]]:
    """Returns the problems of each cell that was begun within ``seconds``."""
    results: dict[str, list[str]] = {}
    waiting, limit = list(cells), time.monotonic() + seconds
    while waiting and time.monotonic() < limit:
        part = folder / f"fleet{len(results)}"
        part.mkdir(parents=True, exist_ok=True)
        async with FleetDeployment(part) as deployment:
            reusable = True
            while reusable and waiting and time.monotonic() < limit:
                cell = waiting.pop(0)
                run = FleetRun(cell, deployment, f"cell{len(results)}", seed)
                started = time.monotonic()
                problems = await run.run()
                results[cell.name] = problems
                _report(run, problems, time.monotonic() - started)
                reusable = run.reusable
    return results
