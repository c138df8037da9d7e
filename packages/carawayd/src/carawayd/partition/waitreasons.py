"""What a task that is not at work waits for, as far as its owner knows; for the log."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayshore.workflows.placement import (
    NO_LABEL,
    NO_ROOM,
    STEP_LIMIT,
    UNUSABLE,
    compute_usage,
    find_obstacle,
    summarize_room,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.partition.isolation import Isolation
    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import StepSpec, TaskName
    from carawayshore.workflows.placement import Usage
    from carawayshore.workflows.state import StepState, TaskState, WorkflowState

# A worker that could take a task, but has room reserved for a large task that waits.
KEPT = "kept for a large task"
# Obstacles of workers that cannot take a task, whatever the owner decides; a reservation ends
# within seconds.
SHORTAGES = frozenset({UNUSABLE, NO_ROOM, NO_LABEL, STEP_LIMIT, KEPT})
# A worker that could take a task, but is cordoned for upkeep or a move to another pool.
CORDONED = "cordoned"


class Choice(NamedTuple):
    """What the workers of a service offer to a waiting task.

    Parameters
    ----------
    obstacles : Counter
        Number of workers with each reason for which the task cannot start there, ``free`` for none.
    detail : dict
        Fields for the log.
    """

    obstacles: Counter[str]
    detail: dict[str, Any]

    @property
    def has_room(self) -> bool:
        """Whether the task fits on a worker, so that only the owner's decision keeps it waiting."""
        return any(obstacle not in SHORTAGES for obstacle in self.obstacles)

    @property
    def has_usable_worker(self) -> bool:
        """Whether the room of any worker is known."""
        return any(obstacle != UNUSABLE for obstacle in self.obstacles)


class WaitReasons:
    """Describes what the tasks of one partition wait for.

    Parameters
    ----------
    links : dict
        Table of the partition owner, which updates it.
    isolation : Isolation
    describe_step : callable
        Returns what the planner and the ledger of the partition know of the step of a task.
    clock : Clock
    """

    def __init__(
        self,
        links: dict[str, WorkerLink],
        isolation: Isolation,
        describe_step: Callable[[TaskName], dict[str, Any]],
        clock: Clock,
    ) -> None:
        self._links = links
        self._isolation = isolation
        self._describe_step = describe_step
        self._clock = clock

    def describe_run(self, name: TaskName, task: TaskState) -> dict[str, Any]:
        """Describes what is known of a run that was ordered."""
        link = self._links.get(task.worker)
        if link is None:
            return {"link": "none"}
        order = link.orders.get(name)
        return {
            "link": "closed" if link.closed else "unresponsive" if link.is_unresponsive else "open",
            "silent_seconds": round(link.silent_seconds, 1),
            "order": order and [order.run, order.state, order.listed, order.stopping],
            "sent": bool(order and order.may_have_started),
        }

    def describe_choice(self, workflow: WorkflowState, step: StepState, name: TaskName) -> Choice:
        """Describes why the last look for a worker found none, and what room there will be.

        Reports that are old at all workers tell of a delay of this process rather than of theirs.
        """
        now = self._clock.elapsed().total_seconds()
        usage = compute_usage(name, step.spec)
        links = [
            link for link in self._links.values() if link.entry.service == workflow.spec.service
        ]
        state = self._describe_step(name)
        reservation = state.get("reservation")
        kept = "" if reservation is None or reservation["own"] else reservation["worker"]
        obstacles = Counter(_find_obstacle(link, step.spec, usage, now, kept) for link in links)
        silences = [round(link.silent_seconds, 1) for link in links]
        detail = {
            "workers": dict(obstacles),
            "room": summarize_room([link.capacity for link in links], usage),
            "report_age_seconds": [min(silences, default=0.0), max(silences, default=0.0)],
            "isolation": self._isolation.describe(
                name if step.spec.long_running else name.workflow, step.spec
            ),
        }
        return Choice(obstacles, detail | state)


def _find_obstacle(link: WorkerLink, step: StepSpec, usage: Usage, now: float, kept: str) -> str:
    """Returns why a task cannot start on a worker; ``kept`` is the one with a reservation."""
    obstacle = find_obstacle(link.capacity, step, usage, now)
    if obstacle == UNUSABLE and link.cordoned and link.capacity.fits(usage):
        return CORDONED if link.list_unusable_reasons() == [CORDONED] else UNUSABLE
    if not obstacle and link.worker == kept:
        return KEPT
    return obstacle or "free"
