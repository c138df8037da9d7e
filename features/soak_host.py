"""Entry host whose time of day the soak can shift; everything else is the real program.

The shift in seconds is read from a file beside the settings, with the suffix ``.jump``.
"""

from __future__ import annotations

import sys
from datetime import datetime, timedelta
from pathlib import Path

from carawayd.__main__ import build_parser, run_on_platform
from carawayshore.clock import SystemClock


class ShiftedClock(SystemClock):
    """System clock whose time of day is shifted by the seconds in a file."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def now(self) -> datetime:
        try:
            seconds = float(self._path.read_text())
        except (OSError, ValueError):
            seconds = 0.0
        return super().now() + timedelta(seconds=seconds)


if __name__ == "__main__":
    arguments = build_parser().parse_args()
    sys.exit(run_on_platform(arguments, ShiftedClock(arguments.settings.with_suffix(".jump"))))
