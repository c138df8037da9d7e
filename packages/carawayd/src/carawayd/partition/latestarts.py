"""Start orders to one worker that got no answer and may still be carried out.

An order may be carried out seconds after it was sent, while its worker ends and starts again under
its identifier, perhaps more than once. The incarnation to which an order was sent knows by its
clock that the order has expired; the next ones do not, since theirs begins anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayshore.workflows.model import TaskName

    RunKey = tuple[TaskName, int]

# Time after its sending in which an order may be carried out.
MAX_DELAY_SECONDS = 13.0
# Interval at which a revocation is repeated until it has an answer.
REPEAT_SECONDS = 1.0


class _LateStart:
    """Order that was sent at ``sent_at``, in seconds of the local clock.

    ``refused_by`` is the incarnation that refuses it: the one to which it was sent, since it knows
    the expiry, or the last one at which it was revoked.
    """

    __slots__ = ("refused_by", "sent_at", "tried_at")

    def __init__(self, sent_at: float, incarnation: int) -> None:
        self.sent_at = sent_at
        self.refused_by = incarnation
        self.tried_at = -REPEAT_SECONDS


class LateStarts:
    """Remembers the start orders to one worker that may still be carried out."""

    def __init__(self) -> None:
        self._starts: dict[RunKey, _LateStart] = {}

    def record(self, run: RunKey, sent_at: float, incarnation: int) -> None:
        """Notes that an order to an incarnation of the worker got no answer.

        An order that is known already keeps the incarnation that refuses it.
        """
        self._starts.setdefault(run, _LateStart(sent_at, incarnation))

    def remove_carried_out(self, listed: Collection[RunKey]) -> None:
        """Forgets the orders of runs that the worker lists: they have been carried out."""
        for run in self._starts.keys() & set(listed):
            del self._starts[run]

    def expire(self, now: float) -> None:
        """Forgets the orders that can no longer be carried out."""
        for run, start in list(self._starts.items()):
            if now - start.sent_at > MAX_DELAY_SECONDS:
                del self._starts[run]

    def __bool__(self) -> bool:
        return bool(self._starts)

    def list_runs(self) -> list[RunKey]:
        """Returns the runs whose orders may still be carried out."""
        return list(self._starts)

    def list_sent_times(self) -> list[float]:
        """Returns when the orders were sent, in seconds of the local clock."""
        return [start.sent_at for start in self._starts.values()]

    def list_due(self, now: float, incarnation: int) -> list[RunKey]:
        """Returns the runs to revoke now at the present incarnation, and notes the attempt."""
        due = [
            run
            for run, start in self._starts.items()
            if start.refused_by != incarnation and now - start.tried_at >= REPEAT_SECONDS
        ]
        for run in due:
            self._starts[run].tried_at = now
        return due

    def note_revoked(self, run: RunKey, incarnation: int) -> None:
        """Notes that an incarnation of the worker refuses a run from now on."""
        if run in self._starts:
            self._starts[run].refused_by = incarnation
