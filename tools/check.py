"""Runs every behave feature and prints one verdict.

Each feature file runs in a process of its own. Scenarios listed in ``KNOWN-RED.txt`` run too, but
their failures do not count; one that passes again is reported so that its entry can be removed.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_FEATURES = 3  # Several features start whole sets of processes; more would distort timing.
FEATURE_TIMEOUT_S = 600


class Scenario(NamedTuple):
    feature: str
    name: str
    passed: bool
    error: str

    @property
    def identifier(self) -> str:
        return f"{self.feature}: {self.name}"


class FeatureRun(NamedTuple):
    path: Path
    scenarios: list[Scenario]
    output: str
    complete: bool


def read_known_red() -> set[str]:
    """Returns the identifiers on the ``test:`` lines of ``KNOWN-RED.txt``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def _find_error(element: dict) -> str:
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") not in (None, "passed"):
            message = result.get("error_message", result.get("status", ""))
            text = "\n".join(message) if isinstance(message, list) else str(message)
            return f"{step['keyword']} {step['name']}\n{text}"
    return str(element.get("status", "no result"))


def _read_scenarios(path: Path, report: Path) -> list[Scenario]:
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return []
    return [
        Scenario(
            feature=str(path.relative_to(ROOT)),
            name=element["name"],
            passed=element.get("status") == "passed",
            error="" if element.get("status") == "passed" else _find_error(element),
        )
        for feature in features
        for element in feature.get("elements", [])
        if element.get("type") == "scenario"
    ]


def run_feature(path: Path) -> FeatureRun:
    """Runs one feature file and returns its scenarios and output."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)]
        command += ["--no-summary", str(path)]
        try:
            done = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
            )
            output, complete = done.stdout + done.stderr, True
        except subprocess.TimeoutExpired:
            output, complete = f"timed out after {FEATURE_TIMEOUT_S} s", False
        scenarios = _read_scenarios(path, report)
    return FeatureRun(path, scenarios, output, complete and bool(scenarios))


def print_verdict(runs: list[FeatureRun], known_red: set[str]) -> int:
    """Prints failures, passed-over scenarios and the closing line; returns the exit status."""
    scenarios = [scenario for run in runs for scenario in run.scenarios]
    passed = [s for s in scenarios if s.passed]
    failed = [s for s in scenarios if not s.passed and s.identifier not in known_red]
    for run in runs:
        if not run.complete:
            print(f"INCOMPLETE {run.path.relative_to(ROOT)}\n{run.output}")
    for scenario in failed:
        print(f"FAILED {scenario.identifier}\n{scenario.error}\n")
    for scenario in scenarios:
        if scenario.identifier in known_red:
            state = "passes again, remove its entry" if scenario.passed else "failed, known"
            print(f"KNOWN-RED {scenario.identifier}: {state}")
    failures = len(failed) + sum(not run.complete for run in runs)
    print(f"{len(passed)} passed, {failures} failed")
    return 1 if failures or not scenarios else 0


def main() -> int:
    parser = argparse.ArgumentParser(description="Runs the behave features.")
    parser.add_argument("features", nargs="*", type=Path, help="feature files; default: all")
    arguments = parser.parse_args()
    paths = [path.resolve() for path in arguments.features]
    paths = paths or sorted((ROOT / "features").rglob("*.feature"))
    with ThreadPoolExecutor(PARALLEL_FEATURES) as executor:
        runs = list(executor.map(run_feature, paths))
    return print_verdict(runs, read_known_red())


if __name__ == "__main__":
    sys.exit(main())
