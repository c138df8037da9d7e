"""Interface to the clock, so that tests and benchmarks can run in virtual time."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time, passed to every component that needs one."""

    def now(self) -> datetime:
        """Returns the current time of day in UTC."""

    def elapsed(self) -> timedelta:
        """Returns the monotonic time since an arbitrary starting point."""

    async def sleep(self, duration: timedelta) -> None:
        """Waits for ``duration``."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        # Positional arguments take a third less time than keyword arguments (0.7 us, not 1.0 us).
        return timedelta(0, time.monotonic())

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())
