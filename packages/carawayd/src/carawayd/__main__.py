"""Command line of the daemon."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from pathlib import Path

from carawayd.process.daemon import Daemon, build_parts
from carawayd.process.dump import build_dump
from carawayd.process.logs import configure_logging
from carawayd.process.settings import Settings, read_settings
from carawayshore.clock import SystemClock
from carawayshore.findings import FindingsError

BAD_SETTINGS = 2


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="carawayd",
        description="Entry host daemon of carawayshore. SIGTERM stops it gracefully, SIGUSR1 "
        "prints its state to standard error. Exit status 2 means that the settings have findings.",
    )
    parser.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    levels = ("debug", "info", "warning", "error")
    parser.add_argument("--log-level", choices=levels, default="info", help="default: info")
    return parser


async def run_daemon(settings: Settings) -> int:
    """Runs the daemon until it is stopped; returns the exit status."""
    clock = SystemClock()
    daemon = Daemon(build_parts(settings, clock))
    loop = asyncio.get_running_loop()
    stops: list[asyncio.Task[None]] = []

    def stop() -> None:
        if not stops:
            stops.append(asyncio.ensure_future(daemon.stop_gracefully()))

    def dump() -> None:
        print(json.dumps(build_dump(daemon.parts), default=str), file=sys.stderr)

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGUSR1, dump)
    async with daemon:
        await daemon.wait_until_stopped()
    return 1 if daemon.crashed or daemon.parts.membership.superseded.is_set() else 0


def main() -> int:
    arguments = build_parser().parse_args()
    try:
        settings = read_settings(arguments.settings)
    except FindingsError as error:
        print(error, file=sys.stderr)
        return BAD_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: no findings")
        return 0
    configure_logging(settings.member, SystemClock(), level=arguments.log_level)
    return asyncio.run(run_daemon(settings))


if __name__ == "__main__":
    sys.exit(main())
