"""Subcommand ``explain``: decisions about one request, job or task, from log files."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from carawayctl.errors import CommandError, ExitStatus
from carawayctl.output import format_table
from carawayctl.registry import Context, option, subcommand

# Log fields that hold the identifier of the subject of a line.
IDENTIFIER_FIELDS = ("workflow", "task", "tasks", "request", "job", "subject", "worker", "machine")
# Log fields that have a column of their own or are the same in every line.
COMMON_FIELDS = ("time", "level", "member", "logger", "message")


def mentions_identifier(line: dict[str, Any], identifier: str) -> bool:
    """Returns whether a line is about ``identifier`` or, for a workflow, about one of its tasks."""
    for name in IDENTIFIER_FIELDS:
        value = line.get(name)
        values = value if isinstance(value, list) else [value]
        for item in values:
            if isinstance(item, str) and (
                item == identifier or item.startswith((f"{identifier}.", f"{identifier}/"))
            ):
                return True
    return False


def read_log_lines(paths: list[Path]) -> Iterator[dict[str, Any]]:
    """Yields the log lines that hold a JSON object; text before the object is skipped.

    Raises
    ------
    CommandError
        If a file cannot be read.
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
    subject = context.arguments.identifier
    lines = [
        line
        for line in read_log_lines(context.arguments.files)
        if mentions_identifier(line, subject)
    ]
    lines.sort(key=lambda line: str(line.get("time", "")))
    rows = [
        [
            line.get("time", ""),
            line.get("member", ""),
            line["message"],
            ", ".join(f"{key}={value}" for key, value in line.items() if key not in COMMON_FIELDS),
        ]
        for line in lines
    ]
    text = format_table(["time", "entry host", "decision", "inputs and outcome"], rows)
    context.output.show({"identifier": subject, "lines": lines}, text)
    return ExitStatus.DONE if lines else ExitStatus.REFUSED
