"""Registry of the subcommands."""

from __future__ import annotations

import argparse
import getpass
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from carawayctl.client import Client
    from carawayctl.output import Output


class Context(NamedTuple):
    """Arguments, output and client of a run; ``client`` is None for offline subcommands."""

    arguments: argparse.Namespace
    output: Output
    client: Client | None


class Option(NamedTuple):
    """One argument of a subcommand, with the parameters of ``ArgumentParser.add_argument``."""

    names: tuple[str, ...]
    parameters: dict[str, Any]


SubcommandFunction = Callable[[Context], Awaitable[int]]


class Subcommand(NamedTuple):
    """A registered subcommand; ``path`` holds its words, for example ``("config", "show")``."""

    path: tuple[str, ...]
    summary: str
    options: tuple[Option, ...]
    offline: bool
    run: SubcommandFunction


_subcommands: dict[tuple[str, ...], Subcommand] = {}


def option(*names: str, **parameters: Any) -> Option:
    """Returns an ``Option``; the parameters are those of ``ArgumentParser.add_argument``."""
    return Option(names, parameters)


def _get_login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _parse_author(text: str) -> str:
    if not text.strip():
        raise argparse.ArgumentTypeError(f"{text!r} found, accepted: a name that is not empty")
    return text


AUTHOR = option(
    "--author",
    type=_parse_author,
    default=_get_login_name(),
    help="name that the record keeps; default: the login name",
)


def subcommand(path: str, summary: str, *options: Option, offline: bool = False):
    """Registers a function that runs the subcommand ``path``, for example ``config show``.

    Raises
    ------
    ValueError
        If the path is registered already.
    """

    def register(function: SubcommandFunction) -> SubcommandFunction:
        key = tuple(path.split())
        if key in _subcommands:
            raise ValueError(f"subcommand {path!r} is registered twice")
        _subcommands[key] = Subcommand(key, summary, options, offline, function)
        return function

    return register


def list_subcommands() -> list[Subcommand]:
    """Returns all registered subcommands in the order of their paths."""
    return [_subcommands[key] for key in sorted(_subcommands)]
