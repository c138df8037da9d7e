"""Since when tasks are kept from starting, and the bound on that.

Load pattern: a task meets one reason to wait after the other, or one whose end never comes: a
reserved worker that gets no room, workers that are suspected in turn, reservations that follow each
other. Each reason has a limit of its own, but limits that begin anew add up without end. So the
time is measured for each task, from the first reason until it is placed, whatever comes in between.
A task has waited before that, for the lease of its last worker, for the end of its run, or for
placements that were refused. So the time for which a long-running task has not been at work bounds
the precautions as well, and for short tasks that for which nothing of their workflow has been.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayd.partition.rejections import REJECTION_SECONDS
from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from carawayd.partition.absences import Absences
    from carawayshore.clock import Clock

# Longest time for which precautions keep a task from a worker on which it could start: the
# isolation of a suspected task, the suspicion of a worker, its reservation for another workflow,
# and the preference for one rack.
MAX_DEFERRAL_SECONDS = 2.0
# Time without work after which they no longer keep a long-running task from starting. It has to run
# again 6 s after its last run, of which an absence takes up to 1.1 s to be noticed.
MAX_ABSENCE_SECONDS = 4.5

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
    measure_absence : callable, optional
        Returns for how long a long-running task has not been at work in seconds.
    absences : Absences, optional
        Tells for how long nothing of a workflow has been at work.
    lease_seconds : float
        Duration of the lease of a lost worker.
    """

    def __init__(
        self,
        clock: Clock,
        measure_absence: Callable[[TaskName], float] = lambda _: 0.0,
        absences: Absences | None = None,
        lease_seconds: float = 0.0,
    ) -> None:
        self._clock = clock
        self._measure_absence = measure_absence
        self._absences = absences
        # The lease of a lost worker and one deferral. When the lease counted for the deferral, five
        # jobs that crash workers took two others with them (features/worker_crashes).
        self._max_isolated_absence = lease_seconds + MAX_DEFERRAL_SECONDS
        self._since: dict[Subject, float] = {}
        # Times at which subjects that had waited were placed.
        self._placed_at: dict[Subject, float] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def begin(self, subject: Subject) -> None:
        """Starts measuring, unless the subject waits already.

        A long-running task that was placed a moment ago was rejected, so its wait goes on.
        """
        placed_at = self._placed_at.pop(subject, None)
        if placed_at is not None and self._now() - placed_at > REJECTION_SECONDS:
            del self._since[subject]
        self._since.setdefault(subject, self._now())
        self._begin_absence(subject)

    def _begin_absence(self, subject: Subject) -> None:
        if self._absences is not None and not isinstance(subject, TaskName):
            self._absences.begin(subject)

    def is_waiting(self, subject: Subject) -> bool:
        """Returns whether the wait of a subject is measured."""
        return subject in self._since and subject not in self._placed_at

    def measure(self, subject: Subject) -> float:
        """Returns for how long a subject has waited in seconds, 0 if it does not wait."""
        since = None if subject in self._placed_at else self._since.get(subject)
        return 0.0 if since is None else self._now() - since

    def is_over(self, subject: Subject, *, is_isolated: bool = False) -> bool:
        """Returns whether the subject has waited for so long that precautions no longer count.

        Parameters
        ----------
        subject : str or TaskName
        is_isolated : bool
            Whether its tasks are suspected, so that their isolation is a reason to wait.
        """
        if self.measure(subject) > MAX_DEFERRAL_SECONDS:
            return True
        if isinstance(subject, TaskName):
            return self._measure_absence(subject) > MAX_ABSENCE_SECONDS
        return self.is_absent(subject, is_isolated=is_isolated)

    def is_absent(self, workflow: str, *, is_isolated: bool = False) -> bool:
        """Returns whether nothing of a workflow has been at work for that long in all."""
        limit = self._max_isolated_absence if is_isolated else MAX_DEFERRAL_SECONDS
        return self._absences is not None and self._absences.measure(workflow) > limit

    def note_due(self, workflows: Collection[str]) -> None:
        """Notes the workflows with waiting tasks whose turn has come."""
        if self._absences is not None:
            self._absences.note_due(workflows)

    def place(self, subject: Subject) -> None:
        """Notes that the subject, or a task of it, has been placed."""
        self._begin_absence(subject)
        if not isinstance(subject, TaskName):
            self.end(subject)
        elif subject in self._since:
            self._placed_at[subject] = self._now()

    def end(self, subject: Subject) -> None:
        """Notes that the subject is no longer waiting."""
        self._since.pop(subject, None)
        self._placed_at.pop(subject, None)

    def end_workflow(self, workflow: str) -> None:
        """Ends the waits of all tasks of a workflow."""
        for subject in [item for item in self._since if get_workflow(item) == workflow]:
            self.end(subject)

    def expire(self) -> None:
        """Ends the waits of the subjects whose placement has lasted, and updates the absences."""
        now = self._now()
        if self._absences is not None:
            self._absences.update()
        for subject, placed_at in list(self._placed_at.items()):
            if now - placed_at > REJECTION_SECONDS:
                self.end(subject)
