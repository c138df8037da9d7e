"""Runs the soak test with injected faults for one or more seeds; prints one JSON line for each.

tools/soak.py --seeds 50            random seeds, printed with each result
tools/soak.py --seed 7 --logs DIR   a given seed, keeping the logs of its entry hosts
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from soak_run import SoakPlan, run_seed_in_folder


def build_parser() -> argparse.ArgumentParser:
    parser = build_seed_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="duration of the faults, in s")
    parser.add_argument("--hosts", type=int, default=4, help="number of entry hosts")
    parser.add_argument("--edition", type=int, default=6, help="set of faults; default: 6")
    return parser


def build_seed_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the arguments of all soaks."""
    parser = argparse.ArgumentParser(description=description, allow_abbrev=False)
    parser.add_argument("--seed", type=int, action="append", help="a seed to run; may be repeated")
    parser.add_argument("--seeds", type=int, default=1, help="number of random seeds")
    parser.add_argument("--jobs", type=int, default=2, help="seeds run in parallel")
    parser.add_argument("--logs", type=Path, help="folder for the logs of the entry hosts")
    return parser


def run_seed(plan: SoakPlan, logs: Path | None) -> dict:
    """Runs one seed and returns its result, with the injected faults if there are findings."""
    folder = logs / str(plan.seed) if logs else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    run = run_seed_in_folder(plan, folder)
    result = run.describe()
    return result | {"injected": run.faults} if run.findings else result


def draw_seeds(arguments: argparse.Namespace) -> list[int]:
    """Returns the seeds of the command line, random ones if it has none."""
    return arguments.seed or [random.randrange(1, 10**6) for _ in range(arguments.seeds)]


def run_plans(run: Callable, plans: list[Any], arguments: argparse.Namespace) -> int:
    """Runs a plan for each seed and prints the results; returns the exit status."""
    failed = []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(run, plans, [arguments.logs] * len(plans)):
            print(json.dumps(result), flush=True)
            if result["findings"]:
                failed.append(result["seed"])
    print(f"{len(plans) - len(failed)} passed, {len(failed)} failed" + f": {failed}" * bool(failed))
    return 1 if failed else 0


def main() -> int:
    arguments = build_parser().parse_args()
    plans = [
        SoakPlan(seed, arguments.seconds, arguments.hosts, edition=arguments.edition)
        for seed in draw_seeds(arguments)
    ]
    return run_plans(run_seed, plans, arguments)


if __name__ == "__main__":
    sys.exit(main())
