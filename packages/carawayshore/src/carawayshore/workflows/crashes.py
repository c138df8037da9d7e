"""Which tasks are suspected of crashing their workers, and when one is given up.

Load pattern: a queue in which a few tasks crash every worker that starts them, most of them within
milliseconds, beside many that do not. A crash ends everything on the worker, so a count of crashes
alone would give up innocent tasks as well. The runs that started last are suspected, and a
suspected workflow is started again on a worker of its own, where a further crash has no other
explanation. A run that outlives its earlier crashes is no longer suspected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

# Runs of up to this multiple of the age of the youngest run on a crashed worker are suspected, and
# a run that lives for this multiple of the age at a crash has outlived that crash.
AGE_FACTOR = 2.0
# Ages of runs that differ by no more than this at two crashes are taken to be alike.
AGE_TOLERANCE_MS = 250
# Crashes after which a task is isolated although other runs were always more suspicious.
MAX_UNSUSPECTED_CRASHES = 3
# Suspected crashes after which a task is given up if it was isolated in the last one, which came
# within ``CONCLUSIVE_AGE_MS`` of its start and hardly had another cause, and otherwise.
MAX_CONCLUSIVE_CRASHES = 2
CONCLUSIVE_AGE_MS = 300
MAX_SUSPECTED_CRASHES = 3
# Crashes of any kind after which a task is given up if it was isolated in one of them.
MAX_CRASHES = 4
# Losses after which a suspected task is given up although some workers may only be unreachable.
MAX_LOSSES = 5
# Longest time for which a worker is reserved for one suspected run.
MAX_ISOLATION_SECONDS = 3.0
# Longest time for which other short runs on a reserved worker are waited for.
MAX_DRAIN_SECONDS = 2.0
# Largest share of the workers of a service that are reserved if the next one has short runs of
# other workflows, and if it has none.
MAX_RESERVED_SHARE = 0.25
MAX_RESERVED_IDLE_SHARE = 0.75


class WorkerLoss(NamedTuple):
    """Loss of a worker under a run, as recorded with the task.

    Parameters
    ----------
    worker : str
    born : int
        Start of its incarnation in Unix milliseconds, 0 if unknown.
    age_ms : int
        Age of the run at the loss of contact.
    confirmed : bool
        Whether the incarnation has certainly ended; otherwise it only became unreachable.
    suspected : bool
        Whether the run may be the cause: it was isolated, among the youngest, or never listed.
    isolated : bool
        Whether no other workflow had a run on the worker.
    started : bool
        Whether the run had certainly started. A start order without an answer may never have
        arrived; if the run was isolated, nothing else can have ended the worker.
    """

    worker: str
    born: int
    age_ms: int
    confirmed: bool
    suspected: bool
    isolated: bool
    started: bool


class RunOnWorker(NamedTuple):
    """Run on a worker at the time of its loss.

    Parameters
    ----------
    workflow : str
    age_seconds : float
    started : bool
        Whether the worker had answered the start order or listed the run.
    listed : bool
        Whether a report of the worker had listed the run.
    reserved : bool
        Whether the worker was reserved for the workflow.
    is_adopted : bool
        Whether an earlier owner ordered the run, so that it is older than ``age_seconds``.
    """

    workflow: str
    age_seconds: float
    started: bool
    listed: bool
    reserved: bool
    is_adopted: bool = False

    @property
    def recorded_age_seconds(self) -> float:
        """Age for the record; with a lower one, the next run would seem to have outlived it."""
        least = MAX_ISOLATION_SECONDS if self.is_adopted else 0.0
        return max(least, self.age_seconds)


def assess_loss(
    worker: str, born: int, confirmed: bool, runs: Sequence[RunOnWorker]
) -> list[WorkerLoss]:
    """Returns what to record for each of the runs that were on a lost worker."""
    isolated = len({run.workflow for run in runs}) == 1
    youngest = min((run.age_seconds for run in runs), default=0.0)
    return [
        WorkerLoss(
            worker,
            born,
            int(run.recorded_age_seconds * 1000),
            confirmed,
            isolated or run.reserved or not run.listed or run.age_seconds <= AGE_FACTOR * youngest,
            isolated,
            isolated or run.started,
        )
        for run in runs
    ]


def add_loss(losses: Sequence[WorkerLoss], loss: WorkerLoss) -> tuple[WorkerLoss, ...]:
    """Returns the losses of a task with a further one.

    An incarnation is lost once, but may be found lost again before the task is reset, also by the
    next owner, which knows the run only since its takeover. So the age of the first time counts.
    """
    known = [(other.worker, other.born) for other in losses]
    if not loss.born or (loss.worker, loss.born) not in known:
        return (*losses, loss)
    index = known.index((loss.worker, loss.born))
    first = losses[index]
    merged = first._replace(
        confirmed=first.confirmed or loss.confirmed, started=first.started or loss.started
    )
    return (*losses[:index], merged, *losses[index + 1 :])


def needs_isolation(losses: Sequence[WorkerLoss]) -> bool:
    """Returns whether a task is started only on a worker without other workflows."""
    return any(loss.suspected for loss in losses) or len(losses) >= MAX_UNSUSPECTED_CRASHES


def should_give_up(losses: Sequence[WorkerLoss]) -> bool:
    """Returns whether a task is taken to crash every worker that starts it.

    Such a task does so after about the same time in each run, unlike crashes that have another
    cause.
    """
    crashes = [loss for loss in losses if loss.confirmed and loss.started]
    suspected = [
        loss for loss in crashes if loss.suspected and _is_alike(loss.age_ms, crashes[-1].age_ms)
    ]
    isolated = [loss for loss in suspected if loss.isolated]
    is_conclusive = bool(isolated) and isolated[-1].age_ms <= CONCLUSIVE_AGE_MS
    return (
        (is_conclusive and len(suspected) >= MAX_CONCLUSIVE_CRASHES)
        or len(suspected) >= MAX_SUSPECTED_CRASHES
        or (bool(isolated) and len(crashes) >= MAX_CRASHES)
        or (len(losses) >= MAX_LOSSES and any(loss.suspected for loss in losses))
    )


def _is_alike(age_ms: int, other_ms: int) -> bool:
    shorter, longer = sorted((age_ms, other_ms))
    return longer <= max(AGE_FACTOR * shorter, shorter + AGE_TOLERANCE_MS)


def has_outlived(losses: Sequence[WorkerLoss], age_seconds: float) -> bool:
    """Returns whether a run is older than one that crashes its worker would have become.

    One of the losses may have had another cause and come early, so the run has to outlive all of
    them, or ``MAX_ISOLATION_SECONDS`` and the earliest one.
    """
    ages = [loss.age_ms / 1000 for loss in losses] or [0.0]
    longest = min(AGE_FACTOR * max(ages), MAX_ISOLATION_SECONDS)
    return age_seconds > max(AGE_FACTOR * min(ages), longest)


def needs_reservation(losses: Sequence[WorkerLoss], age_seconds: float) -> bool:
    """Returns whether the worker of a suspected run stays reserved for it."""
    return age_seconds <= MAX_ISOLATION_SECONDS and not has_outlived(losses, age_seconds)
