"""Runs the soak of pools for one or more seeds; prints one JSON line for each.

tools/pool_soak.py --seeds 10             random seeds, printed with each result
tools/pool_soak.py --seed 7 --logs DIR    a given seed, keeping the logs of its entry hosts
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from soak import build_seed_parser, draw_seeds, run_plans

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from soak_pools import PoolSoakPlan, run_pool_seed


def build_parser() -> argparse.ArgumentParser:
    parser = build_seed_parser(__doc__)
    parser.add_argument("--series", type=int, default=2, help="series of disruptions of a run")
    return parser


def run_seed(plan: PoolSoakPlan, logs: Path | None) -> dict:
    """Runs one seed and returns its result, with the disruptions if there are findings."""
    with tempfile.TemporaryDirectory() as name:
        folder = logs / str(plan.seed) if logs else Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        soak = asyncio.run(run_pool_seed(plan, folder))
    result = soak.describe()
    return result | {"injected": soak.injected} if soak.findings else result


def main() -> int:
    arguments = build_parser().parse_args()
    plans = [PoolSoakPlan(seed, arguments.series) for seed in draw_seeds(arguments)]
    return run_plans(run_seed, plans, arguments)


if __name__ == "__main__":
    sys.exit(main())
