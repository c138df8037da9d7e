"""Workers on which tasks were placed without a run, and for how long they are avoided.

Load pattern: a worker refuses every start although it seems to have room, or does not answer.
Tasks are packed on the fullest workers, so without a memory each task would be placed there again
within milliseconds, while others have room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName

# A placement counts as rejected if its task waits again within this time, without a failure. An
# order without an answer is known not to have been carried out after up to 3.5 s: the call, the
# validity of the order, and a report.
REJECTION_SECONDS = 4.0
# First time for which a worker is not used for a task that it rejected; doubled each
# time up to the maximum.
RETRY_SECONDS = 0.25
MAX_RETRY_DOUBLINGS = 10
MAX_RETRY_SECONDS = 2.0
# Time for which such a worker is used for the task only if no other one has room.
MEMORY_SECONDS = 10.0


class _Placement(NamedTuple):
    """Placement of a task, with the number of its failures until then."""

    worker: str
    at: float
    failures: int


class _Rejection(NamedTuple):
    """Number of rejected placements on one worker, and the time of the last one."""

    count: int
    at: float

    @property
    def retry_at(self) -> float:
        delay = RETRY_SECONDS * 2 ** min(self.count - 1, MAX_RETRY_DOUBLINGS)
        return self.at + min(delay, MAX_RETRY_SECONDS)


class Rejections:
    """Remembers the placements of tasks that wait again soon afterwards.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # In the order of their times.
        self._placements: dict[TaskName, _Placement] = {}
        self._rejections: dict[TaskName, dict[str, _Rejection]] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def record_placement(self, name: TaskName, worker: str, failures: int) -> None:
        """Notes that a task, which has failed so often, has been placed on a worker."""
        self._placements.pop(name, None)
        self._placements[name] = _Placement(worker, self._now(), failures)

    def expire(self) -> None:
        """Forgets what no longer counts."""
        now = self._now()
        for name, placement in list(self._placements.items()):
            if now - placement.at <= REJECTION_SECONDS:
                break
            del self._placements[name]
        for name, workers in list(self._rejections.items()):
            if all(now - rejection.at > MEMORY_SECONDS for rejection in workers.values()):
                del self._rejections[name]

    def note_waiting(self, name: TaskName, failures: int) -> None:
        """Notes that a task waits, and a rejection if its last placement is only a moment ago."""
        placement = self._placements.pop(name, None)
        now = self._now()
        if (
            placement is None
            or placement.failures != failures
            or now - placement.at > REJECTION_SECONDS
        ):
            return
        workers = self._rejections.setdefault(name, {})
        former = workers.get(placement.worker)
        is_recent = former is not None and now - former.at <= MEMORY_SECONDS
        workers[placement.worker] = _Rejection(former.count + 1 if is_recent else 1, now)

    def list_avoided(self, name: TaskName) -> list[str]:
        """Returns the workers that are used for a task only if no other one has room."""
        workers = self._rejections.get(name)
        if workers is None:
            return []
        now = self._now()
        return [worker for worker, item in workers.items() if now - item.at <= MEMORY_SECONDS]

    def list_excluded(self, name: TaskName) -> list[str]:
        """Returns the workers on which a task is not placed for now."""
        workers = self._rejections.get(name)
        if workers is None:
            return []
        now = self._now()
        return [worker for worker, item in workers.items() if now < item.retry_at]
