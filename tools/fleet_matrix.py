"""Runs the fault matrix of the fleet and writes the files generated from its table.

Examples
--------
``python tools/fleet_matrix.py`` runs all cells, prints the table and writes the page;
``--cell "entry-paused at move"`` runs one cell; ``--pages`` only writes the generated files.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "features"))

from matrix import fleet_pages, fleet_table  # noqa: E402
from matrix.fleet_lane import run_cells  # noqa: E402


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description="Runs the fault matrix of the fleet.")
    parser.add_argument("--cell", action="append", default=[], help="name of a cell; repeatable")
    parser.add_argument("--match", default="", help="run the cells whose name contains this")
    parser.add_argument("--seed", type=int, help="seed of random choices; default: drawn")
    parser.add_argument("--seconds", type=float, default=7200, help="begin no cell after this time")
    parser.add_argument("--folder", type=Path, help="folder of logs; default: temporary")
    parser.add_argument("--pages", action="store_true", help="only write the generated files")
    return parser


def print_table(states: dict[str, str]) -> None:
    """Prints one row for each fault, with its state at each step, and one for each pair."""
    print(f"{'':20}" + "".join(f"{step.name:>11}" for step in fleet_table.STEPS))
    for fault in fleet_table.FAULTS:
        cells = [fleet_table.Cell(step, (fault,)) for step in fleet_table.STEPS]
        row = [
            "-" if cell.impossible_reason else states.get(cell.name, "not run") for cell in cells
        ]
        print(f"{fault.name:20}" + "".join(f"{state:>11}" for state in row))
    for cell in fleet_table.list_pairs():
        print(f"{states.get(cell.name, 'not run'):>8} {cell.name}")


async def run(arguments: argparse.Namespace, folder: Path, seed: int) -> int:
    cells = [fleet_table.find_cell(name) for name in arguments.cell] or fleet_table.list_cells()
    cells = [cell for cell in cells if arguments.match in cell.name]
    possible = [cell for cell in cells if not cell.impossible_reason]
    started = time.monotonic()
    # SIGTERM cancels the run, so that its cleanup terminates all processes that it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    results = await run_cells(possible, folder, seed, arguments.seconds)
    states = {name: "FAIL" if problems else "pass" for name, problems in results.items()}
    print_table(states)
    failed = sum(state == "FAIL" for state in states.values())
    print(
        f"{len(results) - failed} passed, {failed} failed, {len(cells) - len(possible)} cannot "
        f"occur, {len(possible) - len(results)} not run, {time.monotonic() - started:.0f} s, "
        f"seed {seed}"
    )
    return 1 if failed or len(results) < len(possible) else 0


def main() -> int:
    arguments = build_parser().parse_args()
    fleet_pages.write_pages()
    if arguments.pages:
        return 0
    seed = random.SystemRandom().randrange(2**31) if arguments.seed is None else arguments.seed
    print(f"seed {seed}", flush=True)
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(run(arguments, arguments.folder or Path(temporary), seed))


if __name__ == "__main__":
    sys.exit(main())
