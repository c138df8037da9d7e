"""Runs the fault matrix of requests and writes the pages generated from its table.

Examples
--------
``python tools/matrix.py`` runs all cells, prints the table and writes ``docs/fault-matrix.md``,
``docs/proofs.md`` and the feature file; ``--cell "silent at wait"`` runs one cell and writes
nothing; ``--pages`` writes the files from the table and the states of the last complete run.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "features"))

from matrix import pages, table  # noqa: E402
from matrix.runner import CellResult, run_cells  # noqa: E402


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description="Runs the fault matrix of requests.")
    parser.add_argument("--cell", action="append", default=[], help="name of a cell; repeatable")
    parser.add_argument("--match", default="", help="run the cells whose name contains this")
    parser.add_argument("--seed", type=int, help="seed of random choices; default: drawn")
    parser.add_argument("--lanes", type=int, default=8, help="deployments at once; default: 8")
    parser.add_argument(
        "--folder", type=Path, help="folder of logs and records; default: temporary"
    )
    parser.add_argument("--pages", action="store_true", help="only write the generated files")
    return parser


def _format_state(cell: table.Cell, results: dict[str, CellResult]) -> str:
    if cell.impossible_reason:
        return "-"
    if cell.name not in results:
        return "?"
    return "FAIL" if results[cell.name].problems else "pass"


def print_table(results: dict[str, CellResult]) -> None:
    """Prints one row for each fault, with its state at each step, and one for each pair."""
    print(f"{'':18}" + "".join(f"{step.name:>9}" for step in table.STEPS))
    for fault in table.FAULTS:
        cells = [table.Cell(step, (fault,)) for step in table.STEPS]
        print(f"{fault.name:18}" + "".join(f"{_format_state(c, results):>9}" for c in cells))
    for cell in table.list_pairs():
        print(f"{_format_state(cell, results):5} {cell.name}")


def write_results(cells: list[table.Cell], results: dict[str, CellResult], seed: int) -> None:
    """Stores the states of a complete run and writes the generated files."""
    failing = {
        name: sorted({problem.partition(":")[0] for problem in result.problems})
        for name, result in sorted(results.items())
        if result.problems
    }
    not_run = [
        cell.name for cell in cells if not cell.impossible_reason and cell.name not in results
    ]
    pages.write_states(seed, failing, not_run)
    pages.write_pages()


async def run(arguments: argparse.Namespace, folder: Path, seed: int) -> int:
    cells = [table.find_cell(name) for name in arguments.cell] or table.list_cells()
    cells = [cell for cell in cells if arguments.match in cell.name]
    started = time.monotonic()
    results = await run_cells(
        [c for c in cells if not c.impossible_reason], folder, seed, arguments.lanes
    )
    for name, result in results.items():
        for problem in result.problems:
            print(f"FAILED {name}: {problem}")
    if len(cells) == len(table.list_cells()):
        print_table(results)
        write_results(cells, results, seed)
    failed = sum(bool(result.problems) for result in results.values())
    impossible = sum(bool(cell.impossible_reason) for cell in cells)
    print(
        f"{len(results) - failed} passed, {failed} failed, {impossible} cannot occur, "
        f"{len(cells) - impossible - len(results)} not run, "
        f"{time.monotonic() - started:.0f} s, seed {seed}"
    )
    return 1 if failed else 0


def main() -> int:
    arguments = build_parser().parse_args()
    if arguments.pages:
        pages.write_pages()
        return 0
    seed = random.SystemRandom().randrange(2**31) if arguments.seed is None else arguments.seed
    print(f"seed {seed}", flush=True)
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.folder or Path(temporary)
        return asyncio.run(run(arguments, folder, seed))


if __name__ == "__main__":
    sys.exit(main())
