"""Writes ``docs/SETTINGS.md`` and ``docs/CONFIGURATION.md`` from the field definitions.

``python tools/reference.py`` writes both pages; ``--check`` compares them and exits with status 1
if one is out of date.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from carawayd.process.settings import PEER_FIELDS, SETTINGS_FIELDS
from carawayshore.configuration import CONFIGURATION_FIELDS
from carawayshore.options import Field

DOCS = Path(__file__).resolve().parent.parent / "docs"
GENERATED = "Written by `tools/reference.py`; change the descriptions of the fields instead."
KIND_DESCRIPTIONS = {
    "address": "IPv4 address and port",
    "boolean": "true or false",
    "mapping": "object, one member for each name",
    "name": "name (lower case letters, digits and `-`)",
    "names": "list of names",
    "object": "object",
    "peers": "list of objects",
    "text": "string, at most 1000 characters",
}
PAGES = {
    "SETTINGS.md": (
        "Settings of an entry host",
        "`carawayd --settings FILE` reads the settings of one process once, when it starts. "
        "`carawayd --settings FILE --check` checks a file. An example is "
        "`examples/ugnsrent/settings.json`.",
        SETTINGS_FIELDS,
    ),
    "CONFIGURATION.md": (
        "Configuration document",
        "One document for the whole deployment. `carawayctl config check FILE` checks a file, "
        "`carawayctl config publish FILE --base-version N` puts it in force. An example is "
        "`examples/ugnsrent/configuration.json`.",
        CONFIGURATION_FIELDS,
    ),
}
NESTED_FIELDS = {
    "peers": (Field("member", "name", "Name of the peer.", required=True), *PEER_FIELDS)
}


def _format_accepted(field: Field) -> str:
    if field.kind in ("integer", "number"):
        return f"{field.kind} from {field.minimum:,.12g} to {field.maximum:,.12g}"
    if field.kind == "choice":
        return " or ".join(f"`{choice}`" for choice in field.choices)
    return KIND_DESCRIPTIONS.get(field.kind, field.kind)


def _format_default(field: Field) -> str:
    if field.required:
        return "required"
    empty = {"mapping": "`{}`", "names": "`[]`", "object": "that of each member"}
    return empty.get(field.kind) or f"`{json.dumps(field.default)}`"


def _build_table(fields: tuple[Field, ...]) -> list[str]:
    rows = ["| member | accepted | unit | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for field in fields:
        cells = [f"`{field.name}`", _format_accepted(field), field.unit or "-"]
        rows.append("| " + " | ".join([*cells, _format_default(field), field.help]) + " |")
    return rows


def _build_sections(pointer: str, fields: tuple[Field, ...]) -> list[str]:
    lines = [f"## `{pointer or '/'}`", "", *_build_table(fields), ""]
    for field in fields:
        nested = field.fields or NESTED_FIELDS.get(field.kind, ())
        if nested:
            name = {"mapping": "/{name}", "peers": "/{index}"}.get(field.kind, "")
            lines += _build_sections(f"{pointer}/{field.name}{name}", nested)
    return lines


def build_page(name: str) -> str:
    """Returns the text of a page of ``PAGES``."""
    title, introduction, fields = PAGES[name]
    lines = [f"# {title}", "", introduction, "", GENERATED, "", *_build_sections("", fields)]
    return "\n".join(lines).rstrip() + "\n"


def list_outdated(folder: Path = DOCS) -> list[str]:
    """Returns the names of the pages that differ from the field definitions."""
    return [
        name
        for name in PAGES
        if not (folder / name).exists() or (folder / name).read_text() != build_page(name)
    ]


def main() -> int:
    """Writes or checks the pages; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="compare and write nothing")
    arguments = parser.parse_args()
    outdated = list_outdated()
    if not arguments.check:
        for name in outdated:
            (DOCS / name).write_text(build_page(name))
    for name in outdated:
        print(f"docs/{name} {'is out of date' if arguments.check else 'is written'}")
    return 1 if arguments.check and outdated else 0


if __name__ == "__main__":
    sys.exit(main())
