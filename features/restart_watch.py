"""Checks, from what the workers of the model run, that long-running tasks run again in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from worker_model import ModelWorker, World

    from carawayshore.workflows.model import StepSpec

# Rule LOST: a long-running task with room for it runs again this long after its last run, at the
# latest, if the last seconds are calm and there has been room in the last of them.
RESTART_LIMIT_S = 6.0
CALM_S = 7.0
ROOM_S = 3.0
WATCH_INTERVAL_S = 0.1
# Age from which the entry of a worker is not used for placement.
CAPACITY_AGE_S = 3.0


class Absence(NamedTuple):
    """Time since which a task has not been at work, and since when there has been room for it.

    ``free_since`` counts free room only, ``room_since`` also that of short tasks; None while there
    is none. All are in seconds of the event loop.
    """

    since: float
    free_since: float | None
    room_since: float | None


class RestartWatch:
    """Follows the absences of all long-running tasks of a world.

    Attributes
    ----------
    absences : dict
        Present absences.
    longest : dict
        Longest absence of each task in seconds, whatever its cause.
    overdue : list of str
        Absences that break the rule; they are among the violations of the world, too.
    overdue_beside_short : list of str
        Absences that would break it if the room of short tasks were free.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.absences: dict[TaskName, Absence] = {}
        self.longest: dict[TaskName, float] = {}
        self.overdue: list[str] = []
        self.overdue_beside_short: list[str] = []
        self._reported: set[tuple[TaskName, bool]] = set()

    async def watch(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def check(self) -> None:
        """Updates all absences and records those that break the rule."""
        now = self._world.now()
        if any(self._world.links.values()):
            self._world.note_disturbance()
        expected = set(self._iterate_expected())
        running = {task for worker in self._world.workers.values() for task in worker.runs}
        for task in self.absences.keys() - (expected - running):
            del self.absences[task]
        for task in expected - running:
            former = self.absences.get(task, Absence(now, None, None))
            missing = [item for item in expected - running if item.workflow == task.workflow]
            step = self._world.steps[task.workflow]
            needed = len(missing) if step.gang else 1
            is_free = self.count_slots(step, task.workflow) >= needed
            has_room = self.count_slots(step, task.workflow, despite_short=True) >= needed
            absence = self.absences[task] = Absence(
                former.since,
                (now if former.free_since is None else former.free_since) if is_free else None,
                (now if former.room_since is None else former.room_since) if has_room else None,
            )
            self.longest[task] = max(self.longest.get(task, 0.0), now - absence.since)
            self._judge(task, absence, now)

    def _iterate_expected(self) -> Iterator[TaskName]:
        """Yields the long-running tasks that should be at work."""
        world = self._world
        for identifier in world.accepted:
            step = world.steps[identifier]
            if not step.long_running or identifier in world.cancelled:
                continue
            if identifier in world.crash_delays or world.is_shown_as_failed(identifier):
                continue
            for index in range(step.count):
                yield TaskName(identifier, 0, 0, index)

    def _judge(self, task: TaskName, absence: Absence, now: float) -> None:
        seconds = now - absence.since
        if seconds <= RESTART_LIMIT_S or now - self._world.disturbed_at <= CALM_S:
            return
        for since, found, is_free in (
            (absence.free_since, self.overdue, True),
            (absence.room_since, self.overdue_beside_short, False),
        ):
            if (
                since is not None
                and now - since >= ROOM_S
                and (task, is_free) not in self._reported
            ):
                self._reported.add((task, is_free))
                found.append(f"LOST at {now:.3f}: {task} has not run for {seconds:.1f} s")
                if is_free:
                    self._world.violations.append(found[-1])

    def count_slots(self, step: StepSpec, workflow: str, *, despite_short: bool = False) -> int:
        """Returns how many tasks of a step have room on the workers that may start them.

        With ``despite_short``, the room of short tasks counts as free.
        """
        cores = 0 if step.best_effort else step.millicores // 1000
        slots = 0
        for worker in self._world.workers.values():
            if not self._is_usable(worker) or (step.label and step.label not in worker.labels):
                continue
            used = sum(
                run.cores
                for task, run in worker.runs.items()
                if not despite_short or self._world.steps[task.workflow].long_running
            )
            free = min(worker.cores, worker.measure_limit()) - used
            found = step.count if not cores else max(0, free // cores)
            if self._world.counts_memory and step.memory_mb:
                free_mb = self._measure_free_memory(worker, despite_short=despite_short)
                found = min(found, max(0, free_mb // step.memory_mb))
            if step.most_per_worker:
                present = sum(task.workflow == workflow for task in worker.runs)
                found = min(found, max(0, step.most_per_worker - present))
            slots += found
        return slots

    def _measure_free_memory(self, worker: ModelWorker, *, despite_short: bool) -> int:
        used = sum(
            run.memory_mb
            for task, run in worker.runs.items()
            if not despite_short or self._world.steps[task.workflow].long_running
        )
        return worker.entry.memory_mb - used

    def _is_usable(self, worker: ModelWorker) -> bool:
        world, name = self._world, worker.name
        return not (
            worker.gone
            or worker.replaced
            or worker.state != "ready"
            or worker.entry.born != worker.born
            or world.now() - worker.written_at > CAPACITY_AGE_S
            or name in world.unlisted
            or name in world.unheard
            or name in world.cordoned
            or name in world.refusals
            or name in world.denied
            or world.links.get(name)
        )
