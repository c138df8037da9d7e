"""Since when tasks are kept from starting, and the bound on that.

Load pattern: a task meets one reason to wait after the other, or one whose end never comes: a
reserved worker that gets no room, workers that are suspected in turn, reservations that follow each
other. Each reason has a limit of its own, but limits that begin anew add up without end. So the
time is measured for each task, from the first reason until it is placed, whatever comes in between.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from carawayshore.clock import Clock

# Longest time for which precautions keep a task from a worker on which it could start: the
# isolation of a suspected task, the suspicion of a worker, its reservation for another workflow,
# and the preference for one rack. A long-running task without room waits as long before room is
# kept for it.
MAX_DEFERRAL_SECONDS = 2.0

# What waits: the short tasks of a workflow together, or one long-running task.
Subject = str | TaskName


def get_workflow(subject: Subject) -> str:
    """Returns the workflow of a subject."""
    return subject.workflow if isinstance(subject, TaskName) else subject


class Deferrals:
    """Times since which subjects have been kept from starting.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: dict[Subject, float] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def begin(self, subject: Subject) -> None:
        """Starts measuring, unless the subject waits already."""
        self._since.setdefault(subject, self._now())

    def measure(self, subject: Subject) -> float:
        """Returns for how long a subject has waited in seconds, 0 if it does not wait."""
        since = self._since.get(subject)
        return 0.0 if since is None else self._now() - since

    def is_over(self, subject: Subject) -> bool:
        """Returns whether the subject has waited for so long that precautions no longer count."""
        return self.measure(subject) > MAX_DEFERRAL_SECONDS

    def end(self, subject: Subject) -> None:
        """Notes that the subject has been placed or is no longer waiting."""
        self._since.pop(subject, None)

    def end_workflow(self, workflow: str) -> None:
        """Ends the waits of all tasks of a workflow."""
        for subject in [item for item in self._since if get_workflow(item) == workflow]:
            del self._since[subject]
