"""Runs the fault matrix and writes the pages that are generated from its table.

Examples
--------
``python tools/matrix.py`` runs all cells, ``--cell "silent at wait"`` one, ``--pages`` writes
``docs/fault-matrix.md``, ``docs/proofs.md`` and the feature file, ``--check`` compares them.
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

from matrix import table  # noqa: E402
from matrix.runner import run_cells  # noqa: E402


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description="Runs the fault matrix of requests.")
    parser.add_argument("--cell", action="append", default=[], help="name of a cell; repeatable")
    parser.add_argument("--match", default="", help="run the cells whose name contains this")
    parser.add_argument("--seed", type=int, help="seed of random choices; default: drawn")
    parser.add_argument("--lanes", type=int, default=4, help="deployments at once; default: 4")
    parser.add_argument(
        "--folder", type=Path, help="folder of logs and records; default: temporary"
    )
    return parser


async def run(arguments: argparse.Namespace, folder: Path, seed: int) -> int:
    cells = [table.find_cell(name) for name in arguments.cell] or table.list_cells()
    cells = [cell for cell in cells if arguments.match in cell.name]
    started = time.monotonic()
    results = await run_cells([c for c in cells if not c.cannot], folder, seed, arguments.lanes)
    for name, result in results.items():
        for problem in result.problems:
            print(f"FAILED {name}: {problem}")
    failed = sum(bool(result.problems) for result in results.values())
    impossible = sum(bool(cell.cannot) for cell in cells)
    print(
        f"{len(results) - failed} passed, {failed} failed, {impossible} cannot occur, "
        f"{len(cells) - impossible - len(results)} not run, "
        f"{time.monotonic() - started:.0f} s, seed {seed}"
    )
    return 1 if failed else 0


def main() -> int:
    arguments = build_parser().parse_args()
    seed = random.SystemRandom().randrange(2**31) if arguments.seed is None else arguments.seed
    print(f"seed {seed}", flush=True)
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.folder or Path(temporary)
        return asyncio.run(run(arguments, folder, seed))


if __name__ == "__main__":
    sys.exit(main())
