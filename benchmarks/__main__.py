"""Runs the benchmark cases: ``python -m benchmarks [case ...]``."""

from __future__ import annotations

import argparse
import sys

from benchmarks import (
    accounts,
    capacity,
    claims_cost,
    forwarding,
    goodput,
    lending,
    load_cost,
    lookahead_plan,
    owner_plan,
    placement_replay,
    planners,
    refusal_cost,
    short_behind_long,
    slow_targets,
    spread_cost,
    wide_step,
    wrong_sizes,
)
from benchmarks.report import list_cases

MODULES = (
    accounts,
    capacity,
    claims_cost,
    forwarding,
    goodput,
    lending,
    load_cost,
    lookahead_plan,
    owner_plan,
    placement_replay,
    planners,
    refusal_cost,
    short_behind_long,
    slow_targets,
    spread_cost,
    wide_step,
    wrong_sizes,
)


def main() -> int:
    cases = list_cases()
    parser = argparse.ArgumentParser(description="Runs benchmark cases in virtual time.")
    parser.add_argument("cases", nargs="*", help="default: all; one of " + ", ".join(cases))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    unknown = set(arguments.cases) - set(cases)
    if unknown:
        parser.error(f"unknown cases {sorted(unknown)}, accepted: {', '.join(cases)}")
    for name in arguments.cases or cases:
        for line in cases[name](arguments.seed):
            print(line.format(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
