"""Checks, from what the workers of the model run, that short jobs with room are at work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from worker_model import World

# Rule LOST: nothing of a job runs for this long although a task's turn has come, there is room for
# it twice over, and under half of the service is in use.
IDLE_LIMIT_S = 3.0
# Time without a disturbance from which a job is judged: the lease of a lost worker has ended, and
# the limit of the rule has passed since.
CALM_S = 4.4 + IDLE_LIMIT_S
# The same after a change of owner: the leases of the former owner have ended (issue 31).
CALM_AFTER_TAKEOVER_S = 9.4 + IDLE_LIMIT_S
ROOM_FACTOR = 2
WATCH_INTERVAL_S = 0.1


class ShortWatch:
    """Follows for how long nothing has run of each accepted short job that could run.

    Attributes
    ----------
    longest : dict
        Longest time without a run of each job in seconds, whatever its cause.
    overdue : list of str
        Times that break the rule; they are among the violations of the world, too.
    is_judging : bool
        False where cordons of the fleet's holder, which may last for 14 s, are not known to it.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.longest: dict[str, float] = {}
        self.overdue: list[str] = []
        self.is_judging = True
        # Time since which nothing of a job has run, and since which there has been room as well.
        self._idle_since: dict[str, float] = {}
        self._room_since: dict[str, float] = {}
        self._changed_owner_at = world.now()

    async def watch(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def check(self) -> None:
        """Updates all times and records those that break the rule."""
        now = self._world.now()
        if not (self._world.owners and self._world.current.owner.loaded):
            self._changed_owner_at = now
        is_calm = (
            now - self._world.disturbed_at > CALM_S
            and now - self._changed_owner_at > CALM_AFTER_TAKEOVER_S
        )
        idle = set(self._list_idle_jobs())
        has_room = self._is_half_empty()
        for identifier in self._idle_since.keys() - idle:
            del self._idle_since[identifier]
            self._room_since.pop(identifier, None)
        for identifier in idle:
            since = self._idle_since.setdefault(identifier, now)
            self.longest[identifier] = max(self.longest.get(identifier, 0.0), now - since)
            step = self._world.steps[identifier]
            slots = self._world.restarts.count_slots(step, identifier)
            if not has_room or slots < ROOM_FACTOR * step.count:
                self._room_since.pop(identifier, None)
                continue
            since = self._room_since.setdefault(identifier, now)
            if (
                self.is_judging
                and is_calm
                and now - since > IDLE_LIMIT_S
                and identifier not in self.overdue
            ):
                self.overdue.append(identifier)
                self._world.violations.append(
                    f"LOST at {now:.3f}: {identifier} has had nothing at work for"
                    f" {now - self._idle_since[identifier]:.1f} s"
                )

    def _list_idle_jobs(self) -> list[str]:
        """Returns the short jobs that have neither ended nor any run, nor an end not yet taken.

        Tasks whose records the store refuses wait until it takes them.
        """
        world = self._world
        busy = {task.workflow for worker in world.workers.values() for task in worker.runs}
        busy |= {end.task.workflow for worker in world.workers.values() for end in worker.ended}
        return [
            identifier
            for identifier in world.accepted
            if identifier not in busy
            and identifier not in world.cancelled
            and identifier not in world.crash_delays
            and not world.steps[identifier].long_running
            and not world.is_shown_as_failed(identifier)
            and not self._is_done(identifier)
            and not any(key.startswith(identifier) for key in world.store.refused_keys)
        ]

    def _is_done(self, identifier: str) -> bool:
        """Returns whether an owner has seen the end of the job."""
        known = (item.owner.workflows.get(identifier) for item in self._world.owners)
        return any(workflow is not None and workflow.is_terminal for workflow in known)

    def _is_half_empty(self) -> bool:
        workers = [worker for worker in self._world.workers.values() if not worker.gone]
        used = sum(run.cores for worker in workers for run in worker.runs.values())
        return 2 * used < sum(worker.cores for worker in workers)
