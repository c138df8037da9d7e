"""Workers whose room is kept for the long-running tasks of one step.

Load pattern: short tasks arrive at several times the capacity and take each room that comes free,
while a long-running task needs more room than any of them leaves. On a kept worker no others start
until the task fits. How long the short tasks there still take is not known, so after some time
another worker is kept instead, for twice as long.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.placement import choose_worker_to_hold

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import StepSpec
    from carawayshore.workflows.placement import Usage, WorkerCapacity

StepKey = tuple[str, int, int]

# Time for which the first worker is kept before another one is tried.
FIRST_HOLD_SECONDS = 3.0


class _Hold(NamedTuple):
    """Kept worker, the time since which it is kept, and for how long, in seconds."""

    capacity: WorkerCapacity
    since: float
    seconds: float


class Holds:
    """Keeps one worker at a time for each step that waits for room.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holds: dict[StepKey, _Hold] = {}

    def list_steps(self) -> list[StepKey]:
        """Returns the steps for which a worker is kept."""
        return list(self._holds)

    def keep(
        self, key: StepKey, step: StepSpec, usage: Usage, capacities: list[WorkerCapacity]
    ) -> None:
        """Keeps the worker on which a task of the step is likely to get room first."""
        now = self._clock.elapsed().total_seconds()
        hold = self._holds.get(key)
        seconds, candidates = FIRST_HOLD_SECONDS, capacities
        if hold is not None:
            seconds = hold.seconds
            if now - hold.since > seconds:
                seconds *= 2
                candidates = [item for item in capacities if item is not hold.capacity]
        chosen = choose_worker_to_hold(candidates, step, usage)
        if chosen is None and candidates is not capacities:
            chosen = choose_worker_to_hold(capacities, step, usage)
        if hold is not None and chosen is hold.capacity and seconds == hold.seconds:
            return
        self.end(key)
        if chosen is not None:
            self._holds[key] = _Hold(chosen, now, seconds)
            chosen.held_for = key

    def end(self, key: StepKey) -> None:
        """Gives the worker that is kept for a step free again."""
        hold = self._holds.pop(key, None)
        if hold is not None:
            hold.capacity.held_for = None
