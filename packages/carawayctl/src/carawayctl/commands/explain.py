"""Subcommand ``explain``: the decisions about one request, job or task, from the logs."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from carawayctl.errors import CommandError, ExitStatus
from carawayctl.output import format_table
from carawayctl.registry import Context, option, subcommand

# Fields that identify what a line is about.
IDENTIFIERS = ("workflow", "task", "tasks", "request", "job", "subject", "worker", "machine")
# Fields that are columns of their own, or the same in every line.
COMMON = ("time", "level", "member", "logger", "message")


def is_about(line: dict[str, Any], identifier: str) -> bool:
    """Whether a line is about ``identifier``, or about a task of the workflow of that name."""
    for name in IDENTIFIERS:
        value = line.get(name)
        values = value if isinstance(value, list) else [value]
        for item in values:
            if isinstance(item, str) and (
                item == identifier or item.startswith((f"{identifier}.", f"{identifier}/"))
            ):
                return True
    return False


def read_lines(paths: list[Path]) -> Iterator[dict[str, Any]]:
    """Yields the lines of log files that are JSON objects; a prefix before the object is skipped.

    Raises
    ------
    CommandError
        If a file can't be read.
    """
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                for text in file:
                    start = text.find("{")
                    try:
                        line = json.loads(text[start:]) if start >= 0 else None
                    except ValueError:
                        continue
                    if isinstance(line, dict) and "message" in line:
                        yield line
        except OSError as error:
            raise CommandError(f"{path} cannot be read: {error.strerror}") from error


@subcommand(
    "explain",
    "show the decisions about one request, job, task, worker or machine, from log files",
    option(
        "identifier", help="identifier, for example 5c0e7a21d94b36f8 or 5c0e7a21d94b36f8.0.1.17"
    ),
    option("files", nargs="+", type=Path, help="logs of the entry hosts"),
    offline=True,
)
async def _explain(context: Context) -> int:
    wanted = context.arguments.identifier
    lines = [line for line in read_lines(context.arguments.files) if is_about(line, wanted)]
    lines.sort(key=lambda line: str(line.get("time", "")))
    rows = [
        [
            line.get("time", ""),
            line.get("member", ""),
            line["message"],
            ", ".join(f"{key}={value}" for key, value in line.items() if key not in COMMON),
        ]
        for line in lines
    ]
    text = format_table(["time", "entry host", "decision", "inputs and outcome"], rows)
    context.output.show({"identifier": wanted, "lines": lines}, text)
    return ExitStatus.DONE if lines else ExitStatus.REFUSED
