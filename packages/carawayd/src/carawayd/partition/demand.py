"""Demand and backlog of a partition's services, for admission and the fleet manager."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.admission import Backlog
from carawayshore.workflows.model import ServiceLoad, WorkerLoad
from carawayshore.workflows.state import WAITING

if TYPE_CHECKING:
    from carawayd.partition.workerlink import WorkerLink
    from carawayshore.clock import Clock
    from carawayshore.workflows.placement import Room
    from carawayshore.workflows.runtimes import RuntimeModel
    from carawayshore.workflows.state import StepState, WorkflowState

# Share of the expected run time that a running task still takes, on average.
RUNNING_SHARE = 0.5
# A workflow counts as offered for its expected time, and for this long at least, in seconds.
LEAST_OFFERED_SECONDS = 1.0


class _Offer(NamedTuple):
    """Cores that a submitted workflow uses until a time of the clock in seconds."""

    until: float
    cores: float


class _Waiting(NamedTuple):
    """Work that waits, in core-seconds; see ``Backlog``."""

    ready_first: float
    total: float
    sooner: float
    longest_seconds: float
    mean_objective_seconds: float


class Demand:
    """What runs, waits and was submitted lately, by service.

    Parameters
    ----------
    workflows, links, open_steps
        Tables of the owner, which changes them.
    due : dict
        Time by which each workflow should be done, in seconds of the clock; the owner's table.
    runtimes : RuntimeModel
    clock : Clock
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        links: dict[str, WorkerLink],
        open_steps: dict[tuple[str, int, int], StepState],
        due: dict[str, float],
        runtimes: RuntimeModel,
        clock: Clock,
    ) -> None:
        self._workflows = workflows
        self._links = links
        self._open = open_steps
        self._due = due
        self._runtimes = runtimes
        self._clock = clock
        # Cores that each service may get soon, as the fleet manager told last.
        self.coming: dict[str, float] = {}
        self._offered: dict[str, list[_Offer]] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def note_submission(self, service: str, core_seconds: float, seconds: float) -> None:
        """Counts the cores that a workflow uses on average while it runs, at its first submission.

        Parameters
        ----------
        service : str
        core_seconds : float
            Expected work.
        seconds : float
            Expected time of its longest chain.
        """
        seconds = max(seconds, LEAST_OFFERED_SECONDS)
        offer = _Offer(self._now() + seconds, core_seconds / seconds)
        self._offered.setdefault(service, []).append(offer)

    def measure_backlog(self, service: str, rooms: list[Room], due: float) -> Backlog:
        """Returns what is ahead of a workflow that is due at ``due``."""
        now = self._now()
        usable = [room for room in rooms if room.expected and room.suspect_until <= now]
        cores = sum(room.entry.millicores for room in usable)
        running = 0.0
        for room in usable:
            for usage in room.usages.values():
                if usage.long_running:
                    cores -= usage.millicores
                else:
                    running += usage.millicores
        waiting = self._measure_waiting(service, due)
        remaining = running / 1000 * waiting.longest_seconds * RUNNING_SHARE
        return Backlog(
            cores / 1000,
            self.coming.get(service, 0.0),
            waiting.ready_first,
            waiting.total + remaining,
            waiting.sooner + remaining,
            waiting.mean_objective_seconds,
        )

    def _measure_waiting(self, service: str, due: float) -> _Waiting:
        """Returns the work that waits, apart by whether it goes before what is due at ``due``."""
        now = self._now()
        first = total = sooner = longest = objectives = 0.0
        count = 0
        for workflow in self._workflows.values():
            if workflow.is_terminal or workflow.spec.service != service:
                continue
            other = self._due.get(workflow.identifier)
            if other is None or workflow.is_long_running:
                continue
            count += 1
            objectives += other - workflow.submitted
            for step in workflow.steps.values():
                if step.spec.long_running or step.is_done:
                    continue
                seconds = self._runtimes.expect(workflow.spec.queue, step.spec)
                longest = max(longest, seconds)
                waiting = sum(task.status == WAITING for task in step.tasks)
                work = waiting * step.spec.millicores / 1000 * seconds
                total += work
                # What is late already gets its room last.
                if now + seconds <= other <= due:
                    sooner += work
                    first += work if workflow.is_ready(step) else 0.0
        return _Waiting(first, total, sooner, longest, objectives / count if count else 0.0)

    def survey_service(self, service: str) -> ServiceLoad:
        lasting = running = 0
        workers = []
        for link in self._links.values():
            if link.entry.service != service:
                continue
            usages = link.room.usages.values()
            lasting += sum(usage.millicores for usage in usages if usage.long_running)
            running += sum(usage.millicores for usage in usages if not usage.long_running)
            workers.append(self.describe_worker(link))
        waiting, waiting_long = self._count_waiting(service)
        return ServiceLoad(
            service,
            lasting / 1000 + waiting_long,
            running / 1000,
            waiting,
            self._measure_offered(service),
            tuple(workers),
        )

    def describe_worker(self, link: WorkerLink) -> WorkerLoad:
        return WorkerLoad(
            link.worker,
            len(link.orders),
            sum(usage.long_running for usage in link.room.usages.values()),
            link.entry.millicores,
            link.cordoned,
            not link.is_silent,
        )

    def _count_waiting(self, service: str) -> tuple[float, float]:
        """Returns the core-seconds of short tasks and the cores of long-running ones that wait."""
        short = long_running = 0.0
        for key, step in self._open.items():
            workflow = self._workflows[key[0]]
            if step.spec.best_effort or workflow.spec.service != service:
                continue
            count = sum(task.status == WAITING for task in step.tasks)
            cores = count * step.spec.millicores / 1000
            if step.spec.long_running:
                long_running += cores
            else:
                short += cores * self._runtimes.expect(workflow.spec.queue, step.spec)
        return short, long_running

    def _measure_offered(self, service: str) -> float:
        """Returns the cores that the workflows submitted lately use while they run."""
        now = self._now()
        offered = [offer for offer in self._offered.get(service, ()) if offer.until > now]
        self._offered[service] = offered
        return sum(offer.cores for offer in offered)
