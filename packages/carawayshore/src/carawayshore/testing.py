"""Utilities for tests and benchmarks: a clock that is advanced manually."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from datetime import UTC, datetime, timedelta


class ManualClock:
    """Clock whose time advances only by :meth:`advance`.

    Examples
    --------
    >>> from datetime import timedelta
    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.elapsed()
    datetime.timedelta(seconds=2)
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    def now(self) -> datetime:
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        if duration <= timedelta():
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._elapsed + duration, next(self._numbers), future))
        await future

    def advance(self, duration: timedelta) -> None:
        """Advances the time and wakes every sleeper whose wake-up time is reached."""
        self._elapsed += duration
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
