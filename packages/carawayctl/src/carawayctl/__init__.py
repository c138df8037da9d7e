"""``carawayctl``, the operators' command-line tool."""

from __future__ import annotations

from carawayctl.cli import build_parser, main
from carawayctl.errors import ExitStatus
from carawayctl.registry import subcommand

__all__ = ["ExitStatus", "build_parser", "main", "subcommand"]
