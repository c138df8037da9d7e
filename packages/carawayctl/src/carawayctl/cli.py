"""Command line of ``carawayctl``: parser, connection and exit status."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence
from pathlib import Path

from carawayctl import commands
from carawayctl.client import Client
from carawayctl.errors import EXIT_STATUS_HELP, CommandError, ExitStatus
from carawayctl.output import Output
from carawayctl.registry import Context, Subcommand, list_subcommands
from carawayshore.options import Field, check_fields

DESCRIPTION = "Command-line tool for operators of carawayshore."
GROUP_SUMMARIES = commands.GROUP_SUMMARIES


def _parse_address(text: str) -> str:
    field = Field("entry_host", "address", "Operator address.", required=True)
    for finding in check_fields((field,), {"entry_host": text}):
        raise argparse.ArgumentTypeError(f"{text!r} found, accepted: {finding.accepted}")
    return text


def _add_connection_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--entry-host",
        action="append",
        required=True,
        type=_parse_address,
        metavar="ADDRESS",
        help="operator address of an entry host, for example 127.0.0.1:8081; repeat it to name "
        "others, which are tried in turn when one cannot be reached",
    )
    parser.add_argument("--token-file", type=Path, help="file with the operators' bearer token")


def _add_subcommand(subparsers: argparse._SubParsersAction, command: Subcommand) -> None:
    parser = subparsers.add_parser(
        command.path[-1],
        help=command.summary,
        description=command.summary,
        epilog=EXIT_STATUS_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    if not command.offline:
        _add_connection_options(parser)
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    for option in command.options:
        parser.add_argument(*option.names, **option.parameters)
    parser.set_defaults(subcommand=command)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser with all registered subcommands."""
    parser = argparse.ArgumentParser(
        prog="carawayctl",
        description=DESCRIPTION,
        epilog=EXIT_STATUS_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    top = parser.add_subparsers(required=True, metavar="SUBCOMMAND")
    groups: dict[str, argparse._SubParsersAction] = {}
    for command in list_subcommands():
        if len(command.path) == 1:
            _add_subcommand(top, command)
            continue
        name = command.path[0]
        if name not in groups:
            group = top.add_parser(name, help=GROUP_SUMMARIES[name])
            groups[name] = group.add_subparsers(required=True, metavar="ACTION")
        _add_subcommand(groups[name], command)
    return parser


async def _run(arguments: argparse.Namespace, output: Output) -> int:
    command: Subcommand = arguments.subcommand
    if command.offline:
        return await command.run(Context(arguments, output, None))
    async with Client(arguments.entry_host, output, token_file=arguments.token_file) as client:
        return await command.run(Context(arguments, output, client))


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command and returns its exit status.

    Parameters
    ----------
    argv : sequence of str, optional
        Command-line arguments; ``sys.argv[1:]`` by default.

    Raises
    ------
    SystemExit
        With status 2 if the arguments are invalid.
    """
    arguments = build_parser().parse_args(argv)
    output = Output(as_json=arguments.json)
    try:
        return int(asyncio.run(_run(arguments, output)))
    except CommandError as error:
        output.show_error(error)
        return int(error.status)
    except KeyboardInterrupt:
        output.note("interrupted; if a change was being made, check whether it took effect")
        return int(ExitStatus.UNKNOWN)
