"""Subcommands ``config``: the configuration document and its versions."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from carawayctl.difference import compare_configurations, format_changes
from carawayctl.documents import read_configuration
from carawayctl.errors import ExitStatus, Refused
from carawayctl.output import format_table
from carawayctl.registry import AUTHOR, Context, option, subcommand

if TYPE_CHECKING:
    from carawayctl.client import Client
    from carawayctl.difference import Change

PATH = "/v1/operator/configuration"
FILE = option("file", type=Path, metavar="FILE", help="JSON file with a configuration document")


@subcommand("config check", "check a document offline, as the daemon does", FILE, offline=True)
async def _check(context: Context) -> int:
    path = context.arguments.file
    read_configuration(path)
    context.output.show({"file": str(path), "findings": []}, f"{path}: no findings")
    return ExitStatus.DONE


async def _get_document(client: Client, version: int) -> dict[str, Any] | None:
    """Returns the document of a version, or None if the entry host no longer keeps it."""
    if version == 0:
        return {}
    try:
        return (await client.get(f"{PATH}/versions/{version}"))["document"]
    except Refused:
        return None


@subcommand(
    "config show",
    "print the document in force; its version and author go to standard error",
    option("--version", type=int, help="an earlier version that the entry host still keeps"),
)
async def _show(context: Context) -> int:
    client, requested = context.client, context.arguments.version
    current = await client.get(PATH)
    if requested is not None and requested != current["version"]:
        current = await client.get(f"{PATH}/versions/{requested}", given=requested)
    if not context.output.as_json:
        author = f" by {current['author']}" if current.get("author") else ""
        context.output.note(f"version {current['version']}{author}")
    context.output.show(current, json.dumps(current["document"], indent=2))
    return ExitStatus.DONE


def _list_changes(changes: list[Change]) -> list[dict[str, Any]]:
    return [change.describe() for change in changes]


@subcommand("config diff", "show what a document would change", FILE)
async def _diff(context: Context) -> int:
    document = read_configuration(context.arguments.file)
    current = await context.client.get(PATH)
    changes = compare_configurations(current["document"], document)
    context.output.show(
        {"version": current["version"], "changes": _list_changes(changes)},
        f"from version {current['version']} to {context.arguments.file}:\n"
        + format_changes(changes),
    )
    return ExitStatus.DONE


def _build_conflict(
    context: Context, current: dict[str, Any], base: dict[str, Any] | None, document: dict[str, Any]
) -> Refused:
    """Returns the error for a publication whose base version is no longer in force."""
    path, base_version = context.arguments.file, context.arguments.base_version
    version, author = current["version"], current["author"]
    remaining = compare_configurations(current["document"], document)
    details: dict[str, Any] = {"current_version": version, "current_author": author}
    details["changes_of_file"] = _list_changes(remaining)
    lines = [f"nothing changed: version {version} by {author or 'nobody'} is in force"]
    if base is None:
        details["changes_since_base"] = None
        lines.append(f"version {base_version} is not kept by this entry host")
    else:
        changes_since_base = compare_configurations(base, current["document"])
        details["changes_since_base"] = _list_changes(changes_since_base)
        lines.append(f"changed since version {base_version}:\n{format_changes(changes_since_base)}")
    lines.append(f"changes that {path} makes to version {version}:\n{format_changes(remaining)}")
    return Refused(
        "\n".join(lines),
        given=f"--base-version {base_version}",
        accepted=f"--base-version {version}",
        next_step=f"{path} is unchanged; merge the changes shown into it, check it with "
        f"`config diff`, then publish with --base-version {version}",
        details=details,
    )


async def _publish_document(
    context: Context, document: dict[str, Any], base: dict[str, Any]
) -> dict[str, Any]:
    arguments, client = context.arguments, context.client
    body = {
        "base_version": arguments.base_version,
        "document": document,
        "author": arguments.author,
    }
    try:
        given = f"--base-version {arguments.base_version}"
        return await client.change("POST", PATH, body, given=given)
    except Refused as error:
        current = error.details.get("answer", {}).get("current")
        if current is None or current["version"] == arguments.base_version:
            raise
        raise _build_conflict(context, current, base, document) from error


@subcommand(
    "config publish",
    "show what a document changes, then publish it if the base version is still in force",
    FILE,
    option(
        "--base-version",
        type=int,
        required=True,
        metavar="N",
        help="version that the document was made from; see `config show`",
    ),
    AUTHOR,
    option("--dry-run", action="store_true", help="show the difference and publish nothing"),
)
async def _publish(context: Context) -> int:
    arguments, output = context.arguments, context.output
    document = read_configuration(arguments.file)
    current = await context.client.get(PATH)
    if current["version"] != arguments.base_version:
        base = await _get_document(context.client, arguments.base_version)
        raise _build_conflict(context, current, base, document)
    changes = compare_configurations(current["document"], document)
    result = {"base_version": arguments.base_version, "changes": _list_changes(changes)}
    text = f"from version {arguments.base_version} to {arguments.file}:\n{format_changes(changes)}"
    if arguments.dry_run:
        output.show(result | {"published": False}, f"{text}\nnothing was published (--dry-run)")
        return ExitStatus.DONE
    if not output.as_json:
        output.show({}, text)
    response = await _publish_document(context, document, current["document"])
    result |= {"published": True, "version": response["version"], "author": arguments.author}
    output.show(result, f"version {response['version']} by {arguments.author} is published")
    return ExitStatus.DONE


@subcommand("config history", "list the versions that the entry host has seen since it started")
async def _list_history(context: Context) -> int:
    history = await context.client.get(f"{PATH}/versions")
    rows = [
        [
            item["version"],
            item["author"],
            item["seen"],
            "published before" if item["at_start"] else "",
            "yes" if item["document_kept"] else "no",
        ]
        for item in history["versions"]
    ]
    header = ["version", "author", "seen at", "at start", "document kept"]
    heading = f"{history['member']}, running since {history['since']}"
    context.output.show(history, f"{heading}\n{format_table(header, rows)}")
    return ExitStatus.DONE
