"""Runs two data centres on loopback with faults and checks the promises of the design page.

Examples
--------
``python -m carawayshore_standins.demo [--seed N] [--short] [--json] [--folder FOLDER]``

The exit status is 0 if every promise held, 1 if one did not, and 2 if the run did not complete.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import textwrap
from collections import Counter
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from carawayshore.clock import SystemClock
from carawayshore_standins.client import JsonClient
from carawayshore_standins.launcher import Launcher
from carawayshore_standins.promises import check_promises
from carawayshore_standins.scenario import DESCRIPTION, Scenario

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore_standins.evidence import Evidence
    from carawayshore_standins.promises import Verdict

# The stand-ins accept only seeds below this limit.
SEED_LIMIT = 1_000_000_000
PROMISE_WIDTH, COUNTED_WIDTH = 38, 52
ROW = f"{{:{PROMISE_WIDTH}}}  {{:{COUNTED_WIDTH}}}  {{}}"


async def _run(folder: Path, clock: Clock, *, seed: int, short: bool) -> tuple[Evidence, timedelta]:
    """Returns the evidence and the duration of the run, including start-up and shutdown."""
    began = clock.elapsed()
    async with Launcher(DESCRIPTION, folder) as launcher, JsonClient() as client:
        scenario = Scenario(launcher, client, clock, seed=seed, short=short)
        processes = len(launcher.processes)
        scenario.report(f"{processes} processes started; their files are in {folder}")
        evidence = await scenario.run()
    return evidence, clock.elapsed() - began


def _format_row(verdict: Verdict) -> list[str]:
    """Returns the lines of one row of the table."""
    promise = textwrap.wrap(verdict.promise, PROMISE_WIDTH)
    counted = textwrap.wrap(verdict.counted, COUNTED_WIDTH)
    held = ["yes" if verdict.held else "NO"]
    height = max(len(promise), len(counted))
    cells = [cell + [""] * (height - len(cell)) for cell in (promise, counted, held)]
    return [ROW.format(*parts).rstrip() for parts in zip(*cells, strict=True)]


def format_table(verdicts: list[Verdict]) -> str:
    """Returns the verdicts as a text table."""
    lines = [ROW.format("promise", "counted at the stand-ins and callers", "held")]
    lines.append(ROW.format("-" * PROMISE_WIDTH, "-" * COUNTED_WIDTH, "----"))
    for verdict in verdicts:
        lines += _format_row(verdict)
        lines += [f"    ! {violation}" for violation in verdict.violations]
    return "\n".join(lines)


def build_report(
    verdicts: list[Verdict], evidence: Evidence, *, seed: int, seconds: float
) -> dict[str, Any]:
    """Returns the result as one JSON object; ``seconds`` is the duration of the run."""
    outcomes: dict[str, Counter[str]] = {}
    for call in evidence.calls:
        outcomes.setdefault(call.kind, Counter())[call.outcome] += 1
    return {
        "seed": seed,
        "seconds": round(seconds, 1),
        "held": all(verdict.held for verdict in verdicts),
        "promises": [verdict._asdict() for verdict in verdicts],
        "calls": {kind: dict(counts) for kind, counts in sorted(outcomes.items())},
    }


def main() -> int:
    parser = argparse.ArgumentParser(description="Runs two data centres and checks the promises.")
    parser.add_argument("--seed", type=int, help="random seed; default: chosen at random")
    parser.add_argument("--short", action="store_true", help="fewer steps, about 20 s")
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--folder", type=Path, help="folder for files; default: a temporary one")
    arguments = parser.parse_args()
    seed = random.SystemRandom().randrange(SEED_LIMIT) if arguments.seed is None else arguments.seed
    if not 0 <= seed < SEED_LIMIT:
        parser.error(f"--seed is {seed}, accepted: 0 to {SEED_LIMIT - 1}")
    print(f"seed {seed}", file=sys.stderr, flush=True)
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.folder or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            run = _run(folder, SystemClock(), seed=seed, short=arguments.short)
            evidence, duration = asyncio.run(run)
        except (RuntimeError, TimeoutError) as error:
            print(f"the run with seed {seed} did not complete: {error}", file=sys.stderr)
            return 2
    verdicts, seconds = check_promises(evidence), duration.total_seconds()
    held = sum(verdict.held for verdict in verdicts)
    if arguments.json:
        print(json.dumps(build_report(verdicts, evidence, seed=seed, seconds=seconds)))
    else:
        print(format_table(verdicts))
        print(f"{held} of {len(verdicts)} promises held; seed {seed}, {seconds:.1f} s")
    return 0 if held == len(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
