"""Runs cells on a limited number of parallel deployments (lanes)."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from matrix.cell import CellRun
from matrix.deployment import Deployment
from matrix.judge import WorkerRecords

if TYPE_CHECKING:
    from pathlib import Path

    from matrix.table import Cell


class CellResult(NamedTuple):
    """Problems found in a cell; ``reusable`` is whether the deployment has fully recovered."""

    problems: list[str]
    seconds: float
    reusable: bool


class Lane:
    """One deployment that runs cells sequentially; an async context manager."""

    def __init__(self, folder: Path, name: str, seed: int) -> None:
        folder = folder / name
        folder.mkdir(parents=True, exist_ok=True)
        self.deployment = Deployment(folder)
        self._worker_records = WorkerRecords(folder)
        self._seed = seed
        self._name = name
        self._runs: list[CellRun] = []

    async def __aenter__(self) -> Lane:
        await self.deployment.__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.deployment.__aexit__(*details)

    async def run(self, cell: Cell) -> CellResult:
        token = f"{self._name}-{len(self._runs)}"
        run = CellRun(cell, self.deployment, self._worker_records, token, self._seed)
        self._runs.append(run)
        started = time.monotonic()
        problems = await run.run()
        return CellResult(problems, time.monotonic() - started, run.reusable)

    def recheck_safety(self) -> dict[str, list[str]]:
        """Checks the safety promises of all cells again with the workers' complete records."""
        found = {run.cell.name: run.recheck_safety() for run in self._runs}
        return {name: problems for name, problems in found.items() if problems}


async def _run_lane(
    folder: Path, number: int, seed: int, cells: list[Cell], results: dict[str, CellResult]
) -> None:
    generation = 0
    while cells:
        generation += 1
        async with Lane(folder, f"lane{number}-{generation}", seed) as lane:
            while cells:
                cell = cells.pop(0)
                result = await lane.run(cell)
                results[cell.name] = result
                verdict = "FAILED" if result.problems else "passed"
                print(f"{verdict} {cell.name} {result.seconds:.1f}s", flush=True)
                for problem in result.problems:
                    print(f"  {problem}", flush=True)
                if not result.reusable:
                    break
            for name, problems in lane.recheck_safety().items():
                previous = results[name]
                new_problems = [p for p in problems if p not in previous.problems]
                results[name] = previous._replace(problems=previous.problems + new_problems)


async def run_cells(
    cells: list[Cell], folder: Path, seed: int, lanes: int
) -> dict[str, CellResult]:
    """Runs ``cells`` on ``lanes`` parallel deployments and returns the results by cell name."""
    results: dict[str, CellResult] = {}
    pending_cells = list(cells)
    count = min(lanes, len(pending_cells))
    await asyncio.gather(
        *(_run_lane(folder, n, seed, pending_cells, results) for n in range(count))
    )
    return results
