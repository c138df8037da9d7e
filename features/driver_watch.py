"""Checks, once a second of virtual time, that something drives each task whose turn has come."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawayd.platform.runs import format_task

if TYPE_CHECKING:
    from worker_model import ModelOwner, World

    from carawayd.partition.drivers import Undriven

WATCH_INTERVAL_S = 1.0
# An owner looks once a second; one that has not looked for longer has stopped working.
MAX_LOOK_AGE_S = 3.0


class DriverWatch:
    """Adds each task that the present owner finds without a driver to the world's violations."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._found: set[str] = set()

    async def watch(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def check(self) -> None:
        item = self._world.owners[-1] if self._world.owners else None
        if item is None or not item.owner.loaded or item.owner.lost or item.owner.should_stop:
            return
        self._check_age(item)
        for undriven in item.owner._drivers.undriven:
            self._add(format_task(undriven.absence.name), _describe(undriven))

    def _check_age(self, item: ModelOwner) -> None:
        """Guards against an owner whose loop has ended, which would find nothing."""
        watch = item.owner._drivers
        now = item.clock.elapsed().total_seconds()
        if now - max(watch.checked_at, item.owner._loaded_at) > MAX_LOOK_AGE_S:
            self._add(f"owner {item.owner.fence}", "looks at no tasks")

    def _add(self, subject: str, text: str) -> None:
        if subject not in self._found:
            self._found.add(subject)
            self._world.violations.append(f"UNDRIVEN at {self._world.now():.3f}: {subject} {text}")


def _describe(undriven: Undriven) -> str:
    driver, task = undriven.absence.driver, undriven.absence.task
    return (
        f"by {driver.kind} ({driver.reason}), overdue for {undriven.overdue_seconds:.1f} s;"
        f" status {task.status}, runs {task.list_runs()}"
    )


def watch_drivers(world: World) -> None:
    """Checks the owners of a world until it is closed."""
    world._tickers.append(asyncio.ensure_future(DriverWatch(world).watch()))
