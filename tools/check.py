"""Runs all behave features and prints a summary.

Each feature file runs in a separate process. Scenarios listed in ``KNOWN-RED.txt`` run too, but
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
PARALLEL_FEATURES = 2
# Features with these tags start whole deployments and run one at a time, in parallel with the other
# features: two at once delayed each other's processes enough to fail a cell of the fleet matrix.
DEPLOYMENT_TAGS = ("@process", "@representative")
ERROR_LINES = 40
FEATURE_TIMEOUT_S = 600


class Scenario(NamedTuple):
    """Result of a scenario; ``error`` is empty if it passed."""

    feature: str
    name: str
    passed: bool
    error: str

    @property
    def identifier(self) -> str:
        return f"{self.feature}: {self.name}"


class FeatureRun(NamedTuple):
    """Results of a feature file; ``complete`` is false after a time-out or without any scenario."""

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


def _describe_error(element: dict) -> str:
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") not in (None, "passed"):
            message = result.get("error_message", result.get("status", ""))
            text = "\n".join(message) if isinstance(message, list) else str(message)
            return f"{step['keyword']} {step['name']}\n{text}"
    return str(element.get("status", "no result"))


def _extract_traceback(text: str, name: str) -> str:
    """Returns the traceback of a scenario from the plain report; the JSON report lacks it."""
    _, _, remaining = text.partition(f"Scenario: {name}")
    remaining = remaining or text
    start = remaining.find("Traceback")
    lines = remaining[max(start, 0) :].splitlines()
    return "\n".join(lines[:ERROR_LINES]) if start >= 0 else ""


def _read_scenarios(path: Path, report: Path, text: str) -> list[Scenario]:
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return []
    return [
        Scenario(
            feature=str(path.relative_to(ROOT)),
            name=element["name"],
            passed=element.get("status") == "passed",
            error=(
                ""
                if element.get("status") == "passed"
                else f"{_describe_error(element)}\n{_extract_traceback(text, element['name'])}"
            ),
        )
        for feature in features
        for element in feature.get("elements", [])
        if element.get("type") == "scenario"
    ]


def run_feature(path: Path) -> FeatureRun:
    """Runs one feature file and returns its scenarios and output."""
    with tempfile.TemporaryDirectory() as folder:
        report, plain = Path(folder) / "report.json", Path(folder) / "report.txt"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)]
        command += ["--format", "plain", "--outfile", str(plain), "--no-summary", str(path)]
        try:
            completed = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
            )
            output, complete = completed.stdout + completed.stderr, True
        except subprocess.TimeoutExpired:
            output, complete = f"timed out after {FEATURE_TIMEOUT_S} s", False
        text = plain.read_text() if plain.exists() else ""
        scenarios = _read_scenarios(path, report, text)
    return FeatureRun(path, scenarios, output, complete and bool(scenarios))


def run_features(paths: list[Path]) -> list[FeatureRun]:
    """Runs features in parallel, but those that start whole deployments one at a time."""
    deployments = [path for path in paths if _needs_deployment(path)]
    others = [path for path in paths if path not in deployments]
    with (
        ThreadPoolExecutor(1) as deployment_executor,
        ThreadPoolExecutor(PARALLEL_FEATURES) as other_executor,
    ):
        runs = [deployment_executor.submit(run_feature, path) for path in deployments]
        runs += [other_executor.submit(run_feature, path) for path in others]
        return [run.result() for run in runs]


def _needs_deployment(path: Path) -> bool:
    text = path.read_text()
    return any(tag in text for tag in DEPLOYMENT_TAGS)


def print_verdict(runs: list[FeatureRun], known_red: set[str]) -> int:
    """Prints failures, known-red scenarios and the totals; returns the exit status."""
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
    return print_verdict(run_features(paths), read_known_red())


if __name__ == "__main__":
    sys.exit(main())
