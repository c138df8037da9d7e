"""Checks at the end of a play, by the list of room of rule LOST, that each due task is at work.

The list is that of the workers, not that of the owner: each worker that is listed, up and ready
counts with its free cores and memory, whether its owner has cordoned, suspected, reserved or
excluded it, or has claimed its room for other tasks.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from short_watch import WATCH_INTERVAL_S

from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import DONE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from worker_model import ModelWorker, World

    from carawayshore.workflows.model import StepSpec

# ``finish_s`` of the rule: from this time after the last disturbance and submission on it judges.
FINISH_S = 14.0
# Time for which nothing of a job runs although a task's turn has come, there is room for it twice
# over, and under half of the service's capacity is in use.
IDLE_LIMIT_S = 3.0
# Time after its last run from which a long-running task is judged.
RESTART_S = 6.0
ROOM_FACTOR = 2
# A task may be ordered again this long after its worker was lost: the lease has ended.
LEASE_S = 4.4


class EndWatch:
    """Follows for how long the jobs of a world have been without work that could run.

    Parameters
    ----------
    world : World
    describe : callable
        Returns what the owner knows of a task, for the report.

    Attributes
    ----------
    findings : list of str
        Waits that break the rule.
    longest : dict
        Longest wait with room of each subject in the judged time, in seconds.
    """

    def __init__(self, world: World, describe: Callable[[TaskName], str] = str) -> None:
        self._world = world
        self._describe = describe
        self.findings: list[str] = []
        self.longest: dict[str | TaskName, float] = {}
        self._judges_from = math.inf
        # Time since which a job, or a long-running task, has not been at work, and since which it
        # has had room as well.
        self._idle_since: dict[str | TaskName, float] = {}
        self._room_since: dict[str | TaskName, float] = {}
        self._reported: set[str | TaskName] = set()
        # Tasks that have succeeded and whose end an owner knows, which need not run again.
        self._known_done: set[TaskName] = set()

    def begin(self) -> None:
        """Notes that the last disturbance and submission are over."""
        self._judges_from = self._world.now() + FINISH_S

    async def watch(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def check(self) -> None:
        """Updates all waits, and records those that break the rule."""
        now = self._world.now()
        self._update_known_ends()
        idle = dict(self._iterate_idle())
        for subject in self._idle_since.keys() - idle.keys():
            del self._idle_since[subject]
            self._room_since.pop(subject, None)
        has_room = self._is_half_empty()
        for subject, tasks in idle.items():
            idle_since = self._idle_since.setdefault(subject, now)
            task = next((task for task in tasks if has_room and self._fits_twice(task)), None)
            if task is None:
                self._room_since.pop(subject, None)
                continue
            since = max(self._room_since.setdefault(subject, now), self._judges_from)
            if isinstance(subject, TaskName):
                since = max(since, idle_since + RESTART_S)
            else:
                lost_at = max(self._world.lost_at.get(item, -math.inf) for item in tasks)
                since = max(since, lost_at + LEASE_S)
            self.longest[subject] = max(self.longest.get(subject, 0.0), now - since)
            if now - since > IDLE_LIMIT_S and subject not in self._reported:
                self._reported.add(subject)
                self.findings.append(
                    f"LOST at {now:.3f}: {task} could run and does not; nothing of it has been at"
                    f" work for {now - idle_since:.1f} s; {self._describe(task)}"
                )

    def _update_known_ends(self) -> None:
        """Notes the ends that an owner has taken although their worker was not told so."""
        world = self._world
        self._known_done |= world.acknowledged
        if not (world.owners and world.current.owner.loaded):
            return
        workflows = world.current.owner.workflows
        for task in world.done - self._known_done:
            workflow = workflows.get(task.workflow)
            found = workflow.find_task(task) if workflow is not None else None
            if found is not None and found[1].status == DONE:
                self._known_done.add(task)

    def _iterate_idle(self) -> Iterator[tuple[str | TaskName, list[TaskName]]]:
        """Yields the jobs and long-running tasks without a run, with the tasks that are due."""
        world = self._world
        running = {
            task for worker in world.workers.values() if not worker.gone for task in worker.runs
        }
        busy = {task.workflow for task in running}
        ended = {
            end.task
            for worker in world.workers.values()
            for end in worker.ended
            if end.kind == "done" and not worker.gone
        }
        for identifier in world.accepted:
            if identifier in world.cancelled or world.is_shown_as_failed(identifier):
                continue
            if self._has_ended(identifier):
                continue
            step = world.steps[identifier]
            if step.long_running:
                for index in range(step.count):
                    task = TaskName(identifier, 0, 0, index)
                    if task not in running:
                        yield task, [task]
            elif identifier not in busy:
                tasks = self._list_due(identifier, ended | self._known_done)
                if tasks:
                    yield identifier, tasks

    def _has_ended(self, identifier: str) -> bool:
        """Returns whether all tasks of a job have succeeded and an owner has seen its end."""
        world = self._world
        known = (item.owner.workflows.get(identifier) for item in world.owners)
        return any(workflow is not None and workflow.is_terminal for workflow in known) and all(
            TaskName(identifier, 0, number, index) in world.done
            for number, step in enumerate(world.chains.get(identifier, ()))
            for index in range(step.count)
        )

    def _list_due(self, identifier: str, done: set[TaskName]) -> list[TaskName]:
        """Returns the tasks of the first step that has not ended, by what its workers told."""
        chain = self._world.chains.get(identifier, (self._world.steps[identifier],))
        for number, step in enumerate(chain):
            tasks = [TaskName(identifier, 0, number, index) for index in range(step.count)]
            due = [task for task in tasks if task not in done]
            if due:
                return due
        return []

    def _fits_twice(self, task: TaskName) -> bool:
        step = self._world.find_step(task)
        slots = sum(
            self._count_slots(worker, step, task.workflow) for worker in self.list_counted()
        )
        return slots >= ROOM_FACTOR

    def list_counted(self) -> list[ModelWorker]:
        """Returns the workers that are listed, up and ready."""
        world = self._world
        return [
            worker
            for name, worker in world.workers.items()
            if not worker.gone
            and not worker.replaced
            and worker.state == "ready"
            and worker.entry.born == worker.born
            and name not in world.unlisted
        ]

    def _count_slots(self, worker: ModelWorker, step: StepSpec, workflow: str) -> int:
        if step.label and step.label not in worker.labels:
            return 0
        slots = ROOM_FACTOR
        if step.millicores and not step.best_effort:
            cores = min(worker.cores, worker.measure_limit()) - sum(
                run.cores for run in worker.runs.values()
            )
            slots = min(slots, max(0, cores * 1000 // step.millicores))
        if step.memory_mb:
            memory_mb = worker.entry.memory_mb - sum(run.memory_mb for run in worker.runs.values())
            slots = min(slots, max(0, memory_mb // step.memory_mb))
        if step.most_per_worker:
            present = sum(task.workflow == workflow for task in worker.runs)
            slots = min(slots, max(0, step.most_per_worker - present))
        return slots

    def _is_half_empty(self) -> bool:
        """Returns whether under half of the cores and of the memory of the service is in use."""
        workers = self.list_counted()
        runs = [run for worker in workers for run in worker.runs.values()]
        return 2 * sum(run.cores for run in runs) < sum(worker.cores for worker in workers) and (
            2 * sum(run.memory_mb for run in runs)
            < sum(worker.entry.memory_mb for worker in workers)
        )
