"""Output of the command: text tables or one JSON object."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from carawayctl.errors import CommandError

COLUMN_GAP = "  "


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a table with left-aligned columns, or ``(no <first column>)`` without rows."""
    lines = [[str(cell) for cell in row] for row in rows]
    if not lines:
        return f"(no {header[0]})"
    widths = [max(len(line[i]) for line in [list(header), *lines]) for i in range(len(header))]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in [list(header), *lines]
    )


def format_values(values: Any) -> str:
    """Returns given or accepted values as one line of text."""
    if isinstance(values, dict):
        return ", ".join(f"{name}: {value}" for name, value in values.items())
    if isinstance(values, list):
        return ", ".join(str(item) for item in values) or "(none)"
    return str(values)


class Output:
    """Writes results to standard output, and notes and errors to standard error.

    Parameters
    ----------
    as_json : bool
        Whether to print each result or error as one JSON object.
    """

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json
        self.entry_host: dict[str, Any] | None = None

    def show(self, document: dict[str, Any], text: str) -> None:
        """Prints a result: ``document`` in JSON mode, otherwise ``text``."""
        if not self.as_json:
            print(text, flush=True)
            return
        if self.entry_host is not None:
            document = document | {"entry_host": self.entry_host}
        print(json.dumps(document, indent=2), flush=True)

    def note(self, text: str) -> None:
        """Prints a warning or progress message to standard error."""
        print(f"carawayctl: {text}", file=sys.stderr, flush=True)

    def show_error(self, error: CommandError) -> None:
        """Prints the error that ends the command."""
        if self.as_json:
            document = error.describe()
            if self.entry_host is not None:
                document["entry_host"] = self.entry_host
            print(json.dumps(document, indent=2), file=sys.stderr, flush=True)
            return
        self.note(error.message)
        for finding in error.details.get("findings", []):
            pointer = finding["pointer"] or "/"
            found, accepted = json.dumps(finding["found"]), finding["accepted"]
            print(f"  {pointer}: found {found}, accepted: {accepted}", file=sys.stderr)
        for name, value in (("given", error.given), ("accepted", error.accepted)):
            if value is not None:
                print(f"  {name}: {format_values(value)}", file=sys.stderr)
        if error.next_step:
            print(f"  next: {error.next_step}", file=sys.stderr, flush=True)
