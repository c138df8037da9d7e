"""Command line of the daemon."""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from carawayd.process.daemon import Daemon, build_components
from carawayd.process.dump import build_dump
from carawayd.process.entryhost import EntryHost
from carawayd.process.logs import configure_logging, configure_queued_logging
from carawayd.process.settings import Settings, read_settings
from carawayd.process.site import SiteSettings, read_site
from carawayshore.clock import Clock, SystemClock
from carawayshore.findings import FindingsError

logger = logging.getLogger(__name__)

EXIT_INVALID_SETTINGS = 2
# Environment variable in which the platform passes the path of the settings file.
SETTINGS_VARIABLE = "CARAWAYSHORE_SETTINGS"
# Thresholds of the garbage collector. With those of the interpreter, it goes through the tasks of a
# wide step again after each few hundred new objects.
COLLECTION_THRESHOLDS = (10_000, 20, 20)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="carawayd",
        description="Entry host daemon of carawayshore. SIGTERM stops it gracefully, SIGUSR1 "
        "prints its state to standard error. Exit status 2 means that the settings have findings.",
    )
    parser.add_argument("--settings", type=Path, help="JSON settings file")
    parser.add_argument(
        "--platform",
        action="store_true",
        help="run on the platform; the settings are those of docs/platform.md",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    levels = ("debug", "info", "warning", "error")
    parser.add_argument("--log-level", choices=levels, default="info", help="default: info")
    return parser


def install_stop_handlers(stop: Callable[[], Awaitable[None]]) -> None:
    """Installs signal handlers that start a planned stop at the first SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop_tasks: list[asyncio.Task[None]] = []

    def start() -> None:
        if not stop_tasks:
            stop_tasks.append(asyncio.ensure_future(stop()))

    loop.add_signal_handler(signal.SIGTERM, start)
    loop.add_signal_handler(signal.SIGINT, start)


async def run_daemon(settings: Settings) -> int:
    """Runs the daemon until it is stopped; returns the exit status."""
    clock = SystemClock()
    daemon = Daemon(build_components(settings, clock))

    def dump() -> None:
        print(json.dumps(build_dump(daemon.components), default=str), file=sys.stderr)

    install_stop_handlers(daemon.stop_gracefully)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, dump)
    async with daemon:
        await daemon.wait_until_stopped()
    return 1 if daemon.crashed or daemon.components.membership.superseded.is_set() else 0


async def run_entry_host(settings: SiteSettings, clock: Clock) -> int:
    """Runs an entry host on the platform until it is stopped; returns the exit status."""
    host = EntryHost(settings, clock)

    def log_reload() -> None:
        logger.info("received SIGHUP; changed addresses take effect at the next start")

    install_stop_handlers(host.stop_gracefully)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, log_reload)
    async with host:
        await host.wait_until_stopped()
    return 1 if host.crashed else 0


def run_on_platform(arguments: argparse.Namespace, clock: Clock) -> int:
    """Runs an entry host with the settings file of the platform; returns the exit status."""
    path = arguments.settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_site(path)
    except FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        print(f"{path}: no findings")
        return 0
    handler = configure_queued_logging(
        settings.member, clock, level=arguments.log_level, stream=sys.stdout
    )
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    try:
        return asyncio.run(run_entry_host(settings, clock))
    finally:
        handler.finish()


def main() -> int:
    parser = build_parser()
    arguments = parser.parse_args()
    if arguments.platform:
        return run_on_platform(arguments, SystemClock())
    if arguments.settings is None:
        parser.error("--settings is required")
    try:
        settings = read_settings(arguments.settings)
    except FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: no findings")
        return 0
    configure_logging(settings.member, SystemClock(), level=arguments.log_level)
    return asyncio.run(run_daemon(settings))


if __name__ == "__main__":
    sys.exit(main())
