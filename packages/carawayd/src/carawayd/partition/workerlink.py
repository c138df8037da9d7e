"""Connection to one worker: its lease, its running tasks, and the ended runs that it reports."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from mode import Service

from carawayd.partition.latestarts import MAX_DELAY_SECONDS, LateStarts
from carawayd.partition.leases import (
    MAX_CLOCK_AGE_SECONDS,
    RENEWAL,
    START_ORDER,
    LeaseBound,
    compute_lease_ms,
)
from carawayd.partition.ledger import OwnershipLost
from carawayd.partition.stops import Stops
from carawayd.platform.common import (
    PermissionEnded,
    PlatformError,
    PlatformTimedOut,
    PlatformUnreached,
)
from carawayd.platform.runs import OrderRefused, OtherIncarnation, format_task
from carawayd.supervision import start_in_background, supervised_task
from carawayshore.workflows.placement import WorkerCapacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayd.partition.leases import LeaseEnd
    from carawayd.platform.runs import EndedRun, RunningTask, RunsClient, WorkerReport
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName, WorkerEntry
    from carawayshore.workflows.placement import Usage

logger = logging.getLogger(__name__)

# Age that the entry of a draining worker may have when a new owner reads it; workers write theirs
# about every 1.5 s.
MAX_FIRST_ENTRY_AGE_SECONDS = 2.0
# Time after which a worker no longer executes a start order.
ORDER_VALIDITY_MS = 1_500
# Wait for an unanswered start order after the worker has restarted, unless it can be revoked. The
# order may reach the new incarnation, whose clock starts anew, so that its expiry does not apply.
LATE_ORDER_WAIT_MS = int(MAX_DELAY_SECONDS * 1000)
# Start orders to one worker that are sent at a time. Each one has a connection, and must reach the
# worker within its validity.
MAX_STARTS_IN_FLIGHT = 16
# Longest wait for other start orders to the worker, after which the task is placed anew.
MAX_START_QUEUE_SECONDS = 1.0
# Long-poll wait for a report while tasks run.
REPORT_WAIT_SECONDS = 1.0
# Long-poll wait for a report of a worker with both best-effort and serving tasks. Shorter, since
# the latency of serving tasks changes within seconds.
SHARED_REPORT_WAIT_SECONDS = 0.5
# Long-poll wait for a report of a worker that is reserved for a suspected workflow.
ISOLATED_REPORT_WAIT_SECONDS = 0.2
# Long-poll wait for a report while it is not known whether a run has started.
UNSETTLED_REPORT_WAIT_SECONDS = 0.1
# Interval at which a worker without tasks is polled.
IDLE_POLL_SECONDS = 4.0
# The same while a start order may be carried out at a later start of the worker.
LATE_START_POLL_SECONDS = 0.25
# Delay after a failed poll.
RETRY_SECONDS = 0.25
# Maximum wait for a recent report before a start order.
FRESH_REPORT_TIMEOUT_SECONDS = 1.0
# Interval at which a stop order is resent while the worker still lists the run.
STOP_REPEAT_SECONDS = 0.5
# A task that makes no progress for this long is considered stuck.
STUCK_TASK_SECONDS = 1.5
# ``Order.absence_certain_after_ms`` of a run that an earlier owner ordered. Any report shows
# whether it exists: the worker refuses orders of that owner once it has seen a call of this one.
ADOPTED = -1
# Reason of a missing run whose placement ticket the worker refused; compared by the owner.
TICKET_REFUSED = "refused: the ticket is not valid"
SENDING, UNKNOWN, STARTED = "sending", "unknown", "started"


class Order:
    """One run that was ordered on this worker and has not been reported as ended.

    Parameters
    ----------
    run : int
        Number of the run of its task.
    state : str
        ``sending`` until the start order is answered, ``unknown`` while it is not known whether
        the run started, ``started`` afterwards.
    absence_certain_after_ms : int
        Time of the worker's clock: the start of the run, or the expiry of the start order. If a
        report made later does not list the run, the run is not on the worker.
    now : float
        Time of the order, in seconds of the local clock.

    Attributes
    ----------
    progress_percent : int
        Progress that the worker last reported, -1 before the first report.
    last_progress_at : float
        Time at which ``progress_percent`` last changed, in seconds of the local clock.
    figure : float
        Tail latency in ms of a serving task, else the processor use; as last reported.
    checkpoint : str
        Checkpoint that the worker last reported.
    listed : bool
        Whether a report has listed the run.
    sent_at : float
        Time at which the start order was sent or the run adopted, in seconds of the local clock.
    stopping : bool
        Whether a stop order has been issued.
    stop_sent : float
        Time at which the stop order was last sent, in seconds of the local clock.
    is_adopted : bool
        Whether the run was ordered before it was tracked here, so that its age is not known.
    lease_call : int
        Number of the start order among the calls that give leases, 0 if it was not sent here.
    """

    __slots__ = (
        "absence_certain_after_ms",
        "checkpoint",
        "figure",
        "is_adopted",
        "last_progress_at",
        "lease_call",
        "listed",
        "ordered_at",
        "progress_percent",
        "run",
        "sent_at",
        "state",
        "stop_sent",
        "stopping",
    )

    def __init__(self, run: int, state: str, absence_certain_after_ms: int, now: float) -> None:
        self.run = run
        self.state = state
        self.absence_certain_after_ms = absence_certain_after_ms
        self.ordered_at = self.sent_at = now
        self.progress_percent = -1
        self.last_progress_at = now
        self.figure = 0.0
        self.checkpoint = ""
        self.listed = False
        self.stopping = False
        self.stop_sent = -STOP_REPEAT_SECONDS
        self.is_adopted = False
        self.lease_call = 0

    @property
    def may_have_started(self) -> bool:
        """Whether the start order has been sent, as far as is known."""
        return self.state != SENDING or self.absence_certain_after_ms != 0


class StartOrder(NamedTuple):
    """Content of a start order, apart from the name of the task."""

    run: int
    spec: str
    checkpoint: str
    ticket: str = ""
    validity_ms: int = ORDER_VALIDITY_MS


class LostRun(NamedTuple):
    """Run that was, or may have been, on a worker when contact to its incarnation was lost.

    Parameters
    ----------
    task : TaskName
    run : int
    state : str
        State of the order.
    listed : bool
        Whether a report had listed the run.
    seconds : float
        Time from the sending of the order, or from its adoption, to the loss of contact.
    is_adopted : bool
        Whether the run was ordered before it was tracked, so that it is older than that.
    """

    task: TaskName
    run: int
    state: str
    listed: bool
    seconds: float
    is_adopted: bool = False


class CallHistory(NamedTuple):
    """What the next link to a worker has to know of the calls of the last one."""

    late_starts: LateStarts
    leases: LeaseBound

    def expire(self, now: float) -> None:
        self.late_starts.expire(now)
        self.leases.expire(now)

    def is_needed(self, now: float) -> bool:
        return bool(self.late_starts) or self.leases.is_needed(now)


class LinkOwner(Protocol):
    """Interface of the partition owner that a link calls."""

    fence: int

    def handle_start(self, task: TaskName, percent: int = 0) -> None: ...

    def handle_end(self, link: WorkerLink, end: EndedRun, seconds: float) -> None: ...

    def handle_missing_run(self, link: WorkerLink, task: TaskName, run: int, why: str) -> None: ...

    def handle_stuck_task(self, link: WorkerLink, task: TaskName) -> None: ...

    def find_recorded_start(self, worker: str) -> int: ...

    def handle_loss(self, link: WorkerLink, runs: list[LostRun], *, restarted: bool) -> None: ...

    def handle_report(self, link: WorkerLink) -> None: ...

    def adopt_if_ordered(self, task: TaskName, run: int, worker: str) -> bool: ...

    def find_usage(self, task: TaskName) -> Usage | None: ...

    def describe_job(self, task: TaskName) -> str: ...

    def is_wanted(self, task: TaskName) -> bool: ...

    def handle_fenced(self) -> None: ...

    def handle_unresponsive(self, link: WorkerLink) -> None: ...

    async def handle_recovery(self, link: WorkerLink) -> None: ...

    def may_renew(self) -> bool: ...

    def are_leases_over(self, worker: str) -> bool: ...

    def find_recorded_lease(self, worker: str, born: int) -> float | None: ...

    def flush(self) -> asyncio.Future[None]: ...

    def are_recorded(self, tasks: Iterable[TaskName]) -> bool: ...


class WorkerLink(Service):
    """Renews the lease of one worker, processes its reports and sends it orders.

    Parameters
    ----------
    entry : WorkerEntry
    owner : LinkOwner
    runs : RunsClient
    settings : SiteSettings
    clock : Clock
    """

    def __init__(
        self,
        entry: WorkerEntry,
        owner: LinkOwner,
        runs: RunsClient,
        settings: SiteSettings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.entry = entry
        self.capacity = WorkerCapacity(entry)
        self.listed = True
        self.orders: dict[TaskName, Order] = {}
        # Time of the last stop order for each run on the worker that the ledger does not know as
        # ordered there, in seconds of the local clock. Such a run keeps its resources reserved
        # until it has ended.
        self.unordered_runs: dict[tuple[TaskName, int], float] = {}
        self.closed = False
        # Whether the worker is to be asked although it is not listed and no run is known there.
        self.is_awaited = False
        # Whether the entry is recent enough to place tasks by its capacity.
        self.is_capacity_current = True
        self.cordoned = False
        # Time from which the worker may end, in seconds of the local clock; endless unless it
        # drains.
        self.leaves_at = math.inf
        self._cordoned_until = 0.0
        self._owner = owner
        self._runs = runs
        self._settings = settings
        self._clock = clock
        self._lease_ms = compute_lease_ms(settings)
        self._wake = asyncio.Event()
        self._acknowledged = 0
        self._incarnation = 0
        # Whether the runs of the worker's last report are all reserved.
        self._is_reconciled = False
        # Whether the worker has more ends than it could list in its last report.
        self._has_further_ends = False
        self._worker_clock_ms: int | None = None
        # Fencing tokens of the last request for a report, and of the last one that was answered.
        self._requested_fence = self._reported_fence = -1
        # Number of the last request for a report among the calls that give leases, 0 if it gives
        # none.
        self._renewal = 0
        self._reported_at = self._now()
        # Time at which the worker's clock was last known to be that of its present incarnation.
        self._clock_known_at = self._reported_at
        # Time of the request for the next report, and time until which its answer counts as read
        # when it arrived.
        self._requested_at = self._report_due_at = math.inf
        # Set at each report and each failed poll; orders that need a recent report wait for it.
        self._reported = asyncio.Event()
        self._waiting_for_report = 0
        self._starts_in_flight = asyncio.Semaphore(MAX_STARTS_IN_FLIGHT)
        self._stops = Stops()
        # Survives the link, if the owner passes it on to the next link to the worker.
        self.history = CallHistory(LateStarts(), LeaseBound(settings))
        self._failures = 0
        # Time of the first of the consecutive failures.
        self._failing_since = 0.0
        self.throttle_percent = 100
        self._note_departure(entry)
        self._update_capacity()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    @property
    def late_starts(self) -> LateStarts:
        return self.history.late_starts

    @property
    def leases(self) -> LeaseBound:
        return self.history.leases

    @property
    def worker(self) -> str:
        return self.entry.worker

    @property
    def incarnation(self) -> int:
        """Start of the process that last reported, in Unix milliseconds; 0 before a report."""
        return self._incarnation

    @property
    def is_unresponsive(self) -> bool:
        return self._failures > 0

    @property
    def had_contact(self) -> bool:
        """Whether the worker has seen the present fencing token."""
        return self._reported_fence == self._owner.fence

    @property
    def silent_seconds(self) -> float:
        """Time since the last report, or since the link was opened."""
        return self._now() - self._reported_at

    def update(self, entry: WorkerEntry | None) -> None:
        """Sets the worker's entry in the worker list; None if it is no longer listed."""
        self.listed = entry is not None
        if entry is not None:
            self._note_departure(entry)
            self.entry = entry
            self.capacity.resize(entry)
        self._update_capacity()
        self._wake.set()

    def _note_departure(self, entry: WorkerEntry) -> None:
        leaves_at = self._now() + entry.drain_seconds
        if entry.state == "ready":
            self.leaves_at = math.inf
        elif self.entry is entry:
            # The entry was written before this process began to follow it.
            self.leaves_at = leaves_at - MAX_FIRST_ENTRY_AGE_SECONDS
        else:
            self.leaves_at = min(self.leaves_at, leaves_at)

    @property
    def is_departing(self) -> bool:
        """Whether the worker leaves, or is taken out of service."""
        return self.cordoned or self.entry.state != "ready"

    def _list_exclusions(self) -> list[str]:
        """Returns why no task is to be placed on the worker, whatever it reports."""
        reasons = {
            "not listed": not self.listed,
            "closed": self.closed,
            "cordoned": self.cordoned,
            "draining": self.entry.state != "ready",
            "unresponsive": self._failures > 0,
        }
        return [reason for reason, applies in reasons.items() if applies]

    def _list_unknowns(self) -> list[str]:
        """Returns why it is not known how much room the worker has."""
        # A restarted worker may have another size, which only an entry of the same start tells.
        described = self.entry.born in (0, self._incarnation) or not self._incarnation
        # Runs without known usage may fill the whole worker.
        unknown = any(key not in self.capacity.usages for key in self.unordered_runs)
        reasons = {
            "old entry": not self.is_capacity_current,
            "no report": not self._is_reconciled,
            "entry of another start": not described,
            "runs of unknown size": unknown,
        }
        return [reason for reason, applies in reasons.items() if applies]

    def list_unusable_reasons(self) -> list[str]:
        """Returns why no task can be placed on the worker now, empty if one can."""
        return self._list_exclusions() + self._list_unknowns()

    def _update_capacity(self) -> None:
        self.capacity.expected = not self._list_exclusions()
        self.capacity.usable = self.capacity.expected and not self._list_unknowns()

    def set_capacity_current(self, is_current: bool) -> None:
        """Sets whether the entry is recent enough to place tasks by its capacity."""
        if is_current != self.is_capacity_current:
            self.is_capacity_current = is_current
            self._update_capacity()

    def cordon(self, until: float) -> None:
        """Excludes the worker from new tasks until ``until``, in seconds of the monotonic clock."""
        self._cordoned_until = until
        self.cordoned = until > self._now()
        self._update_capacity()

    def expire_cordon(self, now: float) -> bool:
        """Ends the cordon if it has expired; returns whether it did."""
        if self.cordoned and now > self._cordoned_until:
            self.cordon(0.0)
            return True
        return False

    def adopt(self, task: TaskName, run: int) -> None:
        """Tracks a run that an earlier owner ordered; the first report shows whether it exists."""
        order = self.orders[task] = Order(run, UNKNOWN, ADOPTED, self._now())
        order.is_adopted = True

    def track_stray_run(self, task: TaskName, run: int) -> None:
        """Tracks a run that may have been ordered a moment ago.

        An order that is still on its way expires before the time from which its absence is certain.
        """
        order = self.orders[task] = Order(run, UNKNOWN, 0, self._now())
        order.absence_certain_after_ms = self._estimate_worker_clock() + ORDER_VALIDITY_MS
        order.is_adopted = True
        self._wake.set()

    @property
    def run_count(self) -> int:
        """Number of runs that are or may be on the worker."""
        return len(self.orders) + len(self.unordered_runs)

    @property
    def is_needed(self) -> bool:
        """Whether the worker may be used, or may run something."""
        return not self.closed and (self.listed or self.run_count > 0 or self.is_awaited)

    def _may_send(self) -> bool:
        return not self.closed and self._owner.may_renew()

    def _estimate_worker_clock(self) -> int:
        elapsed = self._now() - self._reported_at
        return int((self._worker_clock_ms or 0) + elapsed * 1000)

    def measure_lease_seconds(self) -> float | None:
        """Returns for how long leases on the worker may last unless they are renewed.

        None if the worker has not reported to this link.
        """
        if self._worker_clock_ms is None:
            return None
        return self._measure_lease().seconds

    def _measure_lease(self) -> LeaseEnd:
        return self.leases.measure(self._now(), self._worker_clock_ms or 0, self._reported_at)

    @property
    def is_lease_expired(self) -> bool:
        """Whether the worker has been unresponsive for so long that its lease has expired."""
        remaining = self.measure_lease_seconds()
        if remaining is not None:
            return remaining <= 0
        return self._owner.are_leases_over(self.worker)

    @property
    def _is_clock_recent(self) -> bool:
        """Whether calls may be sent by the worker's clock, as far as is known of a restart."""
        return self._now() - self._clock_known_at <= MAX_CLOCK_AGE_SECONDS

    async def _ensure_recent_report(self) -> bool:
        """Waits for a report if the last one is old; returns whether a start order may be sent."""
        if self._failures or self.closed:
            return False
        incarnation = self._incarnation
        if not self._is_clock_recent:
            self._reported.clear()
            self._waiting_for_report += 1
            self._wake.set()
            try:
                async with asyncio.timeout(FRESH_REPORT_TIMEOUT_SECONDS):
                    await self._reported.wait()
            except TimeoutError:
                return False
            finally:
                self._waiting_for_report -= 1
        # The report may have been read late, after a pause of this process.
        return self.capacity.usable and self._incarnation == incarnation and self._is_clock_recent

    def abandon_sending(self, task: TaskName, run: int) -> None:
        """Counts a start order as unanswered after an unexpected error while it was sent.

        A later report shows whether the run exists.
        """
        order = self.orders.get(task)
        if order is not None and order.run == run and order.state == SENDING:
            if order.may_have_started:
                self.late_starts.record((task, run), order.sent_at, self._incarnation)
            order.state = UNKNOWN
            self._wake.set()

    async def start_task(self, task: TaskName, order: StartOrder) -> None:
        """Sends a start order, which must already be recorded durably.

        An order whose run is to stop before it has been sent is not sent at all.
        """
        queued_at = self._now()
        async with self._starts_in_flight:
            entry = self.orders.get(task)
            if entry is None or entry.run != order.run:
                return
            if self._now() - queued_at > MAX_START_QUEUE_SECONDS:
                self._report_missing(task, entry, "waited for other orders; order not sent")
                return
            await self._start_task(task, entry, order)

    async def _start_task(self, task: TaskName, entry: Order, order: StartOrder) -> None:
        if not entry.stopping and not await self._ensure_recent_report():
            self._report_missing(task, entry, "no recent report of the worker; order not sent")
            return
        if self.orders.get(task) is not entry:
            return
        if entry.stopping:
            self._report_missing(task, entry, "stopped before its start order was sent")
            return
        if self.capacity.is_overcommitted:
            self._report_missing(task, entry, "the worker's capacity has shrunk; order not sent")
            return
        entry.sent_at = self._now()
        entry.absence_certain_after_ms = self._estimate_worker_clock() + order.validity_ms
        incarnation = self._incarnation
        # The expiry of a start order also renews the lease of everything on the worker.
        entry.lease_call = self.leases.record_sending(
            entry.sent_at, entry.absence_certain_after_ms, START_ORDER
        )
        # A worker without other tasks is renewed at once, since the order gives a short lease.
        self._wake.set()
        fence = self._owner.fence
        try:
            clock_ms = await self._runs.start(
                self.entry.address,
                self.worker,
                task,
                order.run,
                spec=order.spec,
                expires_ms=entry.absence_certain_after_ms,
                fence=fence,
                may_send=lambda: not entry.stopping and self._may_send(),
                checkpoint=order.checkpoint,
                ticket=order.ticket,
            )
        except OrderRefused as refusal:
            # A refused order may give a lease as well.
            self.leases.record_answer(entry.lease_call, self._now())
            if refusal.reason == "fenced":
                self._report_missing(task, entry, "fenced")
                # An order under an earlier epoch of the same owner may arrive after a later one.
                if fence == self._owner.fence:
                    self._owner.handle_fenced()
                return
            if refusal.reason not in ("full", "superseded", "expired", "unadvised"):
                self.capacity.record_failure(self._now())
            why = TICKET_REFUSED if refusal.reason == "unadvised" else f"refused: {refusal.reason}"
            self._report_missing(task, entry, why)
            return
        except OtherIncarnation:
            self.leases.record_failure(entry.lease_call)
            self._report_missing(task, entry, "another incarnation answered")
            self._wake.set()
            return
        except PlatformUnreached as error:
            self.leases.record_failure(entry.lease_call)
            if not isinstance(error, PermissionEnded):
                self.capacity.record_failure(self._now())
            self._report_missing(task, entry, f"order not sent: {error}")
            return
        except PlatformError as error:
            logger.info(
                "start order failed; it is unknown whether the run started",
                extra={"fields": self._describe_failure(task, error)},
            )
            # A worker that does not answer orders is avoided like one whose tasks fail.
            self.capacity.record_failure(self._now())
            self.late_starts.record((task, entry.run), entry.sent_at, incarnation)
            if self.orders.get(task) is entry:
                entry.state = UNKNOWN
                self._wake.set()
            return
        is_later = self._may_have_restarted(clock_ms)
        if clock_ms < (self._worker_clock_ms or 0):
            # The worker has restarted, and has to report before its clock is used again.
            self._clock_known_at = -math.inf
        self.leases.record_answer(entry.lease_call, self._now(), is_later=is_later)
        if self.orders.get(task) is entry:
            if self._incarnation == incarnation:
                entry.state, entry.absence_certain_after_ms = STARTED, clock_ms
            else:
                # The answer may be that of the former incarnation, whose clock tells nothing now.
                self.late_starts.record((task, entry.run), entry.sent_at, incarnation)
                entry.state = UNKNOWN
            self._wake.set()
        self._owner.handle_start(task)

    def _may_have_restarted(self, clock_ms: int) -> bool:
        """Returns whether an answer may be that of a later incarnation than the last report.

        The clock of a later one is behind that of the last report, or tells less than its age.
        """
        reported_ms = self._worker_clock_ms or 0
        age_ms = (self._now() - self._reported_at) * 1000
        return clock_ms < reported_ms or reported_ms <= age_ms

    def _report_missing(self, task: TaskName, order: Order, why: str) -> None:
        """Reports to the owner that a run is not on the worker and will not start there."""
        if self.orders.get(task) is order:
            del self.orders[task]
            self._owner.handle_missing_run(self, task, order.run, why)

    def stop_task(self, task: TaskName) -> None:
        """Sends a stop order, which is resent until the worker reports the end of the run.

        A run whose start order has not been sent needs none, since the order is dropped.
        """
        order = self.orders.get(task)
        if order is not None and not order.stopping:
            order.stopping = True
            if order.may_have_started:
                order.stop_sent = self._now()
                start_in_background(self._send_stop(task, order.run))

    async def _revoke_start(self, task: TaskName, run: int) -> None:
        """Has the worker refuse a start order that was sent to a former incarnation.

        Once it does, a report that does not list the run shows that it never will be there.
        """
        incarnation = self._incarnation
        clock_ms = await self._send_stop(task, run)
        if clock_ms is None or self._incarnation != incarnation:
            return
        self.late_starts.note_revoked((task, run), incarnation)
        order = self.orders.get(task)
        if order is not None and order.run == run:
            # Also of an order whose call has not ended yet: it is settled once that has.
            order.absence_certain_after_ms = min(order.absence_certain_after_ms, clock_ms)

    async def _send_stop(self, task: TaskName, run: int) -> int | None:
        """Sends a stop order; returns the worker's clock in ms, None if there was no answer."""
        self._stops.record_sending((task, run), self._now())
        error_text, clock_ms = "", None
        try:
            clock_ms = await self._runs.stop(
                self.entry.address,
                self.worker,
                task,
                run,
                fence=self._owner.fence,
                may_send=self._may_send,
            )
        except PlatformError as error:
            error_text = str(error)
            logger.info(
                "stop order failed; it is sent again while it is needed",
                extra={
                    "fields": {
                        "task": format_task(task),
                        "worker": self.worker,
                        "error": error_text,
                    }
                },
            )
        self._stops.record_outcome((task, run), error_text)
        self._wake.set()
        return clock_ms

    async def throttle_task(self, task: TaskName, percent: int) -> None:
        """Limits a run to a percentage of its processor time; a failed call is only logged."""
        order = self.orders.get(task)
        if order is None:
            return
        try:
            await self._runs.throttle(
                self.entry.address,
                self.worker,
                task,
                order.run,
                percent=percent,
                fence=self._owner.fence,
                may_send=self._may_send,
            )
        except PlatformError as error:
            logger.info(
                "throttle order failed; the next one is sent when the limit changes",
                extra={"fields": self._describe_failure(task, error)},
            )

    def _describe_failure(self, task: TaskName, error: Exception) -> dict[str, str]:
        return {"task": format_task(task), "worker": self.worker, "error": str(error)}

    @supervised_task
    async def _poll_reports(self) -> None:
        while not self.should_stop and not self.closed:
            if self._is_idle:
                await self._wait_while_idle()
                if self.should_stop:
                    return
            try:
                report = await self._request_report()
            except OtherIncarnation:
                self._close("another incarnation has the address", restarted=True)
                return
            except OrderRefused as refusal:
                self.leases.record_answer(self._renewal, self._now())
                if refusal.reason == "fenced":
                    # A call under an earlier epoch of the same owner may arrive after a later one.
                    if self._requested_fence != self._owner.fence:
                        continue
                    self._owner.handle_fenced()
                    return
                await self._handle_poll_failure(str(refusal))
                continue
            except PermissionEnded:
                self.leases.record_failure(self._renewal)
                # The next call does not renew the lease, and needs no permission.
                continue
            except PlatformError as error:
                self._settle_renewal(error)
                await self._handle_poll_failure(str(error))
                continue
            self.leases.record_answer(self._renewal, self._now())
            try:
                await self._process_report(report)
            except OwnershipLost:
                return

    def _settle_renewal(self, error: PlatformError) -> None:
        """Notes whether a renewal that failed may have given a lease, or may do so later."""
        if isinstance(error, PlatformUnreached):
            self.leases.record_failure(self._renewal)
        elif not isinstance(error, PlatformTimedOut):
            # The connection was lost, or the answer could not be read.
            self.leases.record_answer(self._renewal, self._now())

    @property
    def _is_idle(self) -> bool:
        """Whether the worker has reported, runs nothing, and has no further end to report."""
        return (
            not self.run_count
            and not self._has_further_ends
            and self._worker_clock_ms is not None
            and not self._failures
        )

    async def _wait_while_idle(self) -> None:
        self._wake.clear()
        interval = LATE_START_POLL_SECONDS if self.late_starts else IDLE_POLL_SECONDS
        try:
            async with asyncio.timeout(interval):
                await self._wake.wait()
        except TimeoutError:
            pass
        if not self.listed and not self.run_count:
            self._close("no longer in the worker list", restarted=False)

    async def _request_report(self) -> WorkerReport:
        expires_ms, self._renewal = None, 0
        wait = 0.0
        if self._worker_clock_ms is not None and not self._failures and self._owner.may_renew():
            until_ms = self._estimate_worker_clock() + self._lease_ms
            if self._is_clock_recent:
                expires_ms, wait = until_ms, self._choose_report_wait()
                self._renewal = self.leases.record_sending(self._now(), until_ms, RENEWAL)
            else:
                # A lease by the clock of a former incarnation would be the longest one, so the call
                # that follows this one renews it. The link is kept as if this one did.
                self.leases.extend(until_ms, RENEWAL)
        self._requested_fence = self._owner.fence
        self._requested_at = self._now()
        self._report_due_at = self._requested_at + wait + MAX_CLOCK_AGE_SECONDS
        return await self._runs.renew(
            self.entry.address,
            self.worker,
            fence=self._requested_fence,
            # After a failure the worker may have restarted, which resets the numbers of its ends.
            acknowledged=0 if self._failures else self._acknowledged,
            expires_ms=expires_ms,
            wait=wait,
            may_send=self._may_send if expires_ms is not None else self._is_open,
        )

    def _choose_report_wait(self) -> float:
        """Returns for how many seconds the worker may delay the report until a run ends."""
        states = {order.state for order in self.orders.values()}
        if self._waiting_for_report:
            return 0.0
        if UNKNOWN in states or STARTED not in states:
            return UNSETTLED_REPORT_WAIT_SECONDS
        if self.capacity.reserved_for:
            return ISOLATED_REPORT_WAIT_SECONDS
        shared = self.capacity.best_effort and self.capacity.serving
        return SHARED_REPORT_WAIT_SECONDS if shared else REPORT_WAIT_SECONDS

    def _is_open(self) -> bool:
        return not self.closed

    async def _handle_poll_failure(self, error: str) -> None:
        # A refused connection proves no more than a silent one: a path that is cut may refuse it.
        if not self._failures:
            logger.info(
                "worker unresponsive; retrying until its lease expires",
                extra={"fields": {"worker": self.worker, "error": error}},
            )
            self._failing_since = self._now()
            self._owner.handle_unresponsive(self)
        self._failures += 1
        self._update_capacity()
        # Orders that wait for a report are not sent; their tasks may start on other workers.
        self._reported.set()
        if self.is_lease_expired:
            source = self._measure_lease().source if self._worker_clock_ms is not None else None
            self._close("lease expired", restarted=False, lease_from=source)
            return
        await asyncio.sleep(RETRY_SECONDS)

    def _list_runs(self) -> list[LostRun]:
        """Returns the runs that are or may be on the worker."""
        until = self._failing_since if self._failures else self._now()
        return [
            LostRun(
                task,
                order.run,
                order.state,
                order.listed,
                max(0.0, until - order.sent_at),
                order.is_adopted,
            )
            for task, order in self.orders.items()
            if order.may_have_started
        ]

    def _close(self, why: str, *, restarted: bool, lease_from: str | None = None) -> None:
        """Closes the link and reports all its runs as missing, since none is left on the worker.

        ``restarted`` tells whether another incarnation has answered, ``lease_from`` what gave the
        last lease.
        """
        self.closed = True
        runs = self._list_runs()
        for task, order in self.orders.items():
            if order.state != STARTED and order.may_have_started:
                self.late_starts.record((task, order.run), order.sent_at, self._incarnation)
        self._update_capacity()
        logger.info(
            "link to worker closed; its runs are treated as missing",
            extra={
                "fields": {
                    "worker": self.worker,
                    "why": why,
                    "orders": len(self.orders),
                    "born": self._incarnation,
                    "silent_seconds": round(self.silent_seconds, 3),
                    "lease_from": lease_from,
                }
            },
        )
        for task, order in list(self.orders.items()):
            self._report_missing(task, order, why)
        self.unordered_runs.clear()
        self._owner.handle_loss(self, runs, restarted=restarted)

    def _has_ended_before_contact(self, report: WorkerReport) -> bool:
        """Returns whether adopted runs were ordered on an earlier incarnation of the worker."""
        recorded = self._owner.find_recorded_start(self.worker)
        return not self._incarnation and bool(recorded) and report.born not in (0, recorded)

    def _list_runs_before(self, report: WorkerReport) -> list[LostRun]:
        """Returns the runs that were on the former incarnation of a worker that has restarted.

        A run that the present one lists was ordered while the restart was not known.
        """
        listed = {(item.task, item.run) for item in (*report.running, *report.ended)}
        return [run for run in self._list_runs() if (run.task, run.run) not in listed]

    async def _process_report(self, report: WorkerReport) -> None:
        if self._has_ended_before_contact(report):
            logger.info(
                "worker has restarted since it was sent its last order",
                extra={"fields": {"worker": self.worker, "born": report.born}},
            )
            self._owner.handle_loss(self, self._list_runs_before(report), restarted=True)
        if self._incarnation and report.born != self._incarnation:
            logger.info(
                "worker restarted",
                extra={
                    "fields": {
                        "worker": self.worker,
                        "born": report.born,
                        "former": self._incarnation,
                        "clock_ms": report.clock_ms,
                    }
                },
            )
            self._owner.handle_loss(self, self._list_runs_before(report), restarted=True)
            self._acknowledged, self._is_reconciled = 0, False
            unanswered = {
                (task, order.run): order
                for task, order in self.orders.items()
                if order.state != STARTED and order.may_have_started
            }
            for order in self.orders.values():
                order.listed = False
                if order.state == STARTED:
                    # The new incarnation may have executed the order before it was known here; if
                    # so, this report or the next one lists the run.
                    order.state, order.absence_certain_after_ms = UNKNOWN, report.clock_ms
            for task, order in list(self.orders.items()):
                if not order.may_have_started:
                    # The room of the new incarnation may be another one.
                    self._report_missing(task, order, "the worker has restarted; order not sent")
            for run, order in unanswered.items():
                late_wait_ms = self._measure_late_wait_ms(order.sent_at)
                order.absence_certain_after_ms = report.clock_ms + late_wait_ms
                self.late_starts.record(run, order.sent_at, self._incarnation)
        self._incarnation = report.born
        self.is_awaited = False
        first = self._worker_clock_ms is None
        self._worker_clock_ms, self._reported_at = report.clock_ms, self._now()
        # A report that was read late, since this process was paused, may be older than it seems.
        is_late = self._reported_at > self._report_due_at
        self._clock_known_at = self._requested_at if is_late else self._reported_at
        self._reported_fence = self._requested_fence
        self.leases.begin_incarnation(report.born, self._requested_at)
        if first:
            recorded = self._owner.find_recorded_lease(self.worker, report.born)
            self.leases.count_earlier_owners(self._reported_at, report.clock_ms, recorded)
        if self._failures or first:
            await self._owner.handle_recovery(self)
        if self._failures:
            logger.info("worker responsive again", extra={"fields": {"worker": self.worker}})
        self._failures = 0
        ended = [end for end in report.ended if end.number > self._acknowledged]
        for end in ended:
            order = self.orders.get(end.task)
            seconds = 0.0
            if order is not None and order.run == end.run:
                del self.orders[end.task]
                seconds = self._now() - order.ordered_at
            self._owner.handle_end(self, end, seconds)
        self._reconcile(report)
        self._is_reconciled = True
        self._has_further_ends = not report.lists_all_ends
        self._update_capacity()
        self._reported.set()
        self._owner.handle_report(self)
        if ended:
            await self._owner.flush()
            if self._owner.are_recorded([end.task for end in ended]):
                self._acknowledged = max(self._acknowledged, ended[-1].number)
            else:
                # The worker lists the ends again at once.
                self._has_further_ends = True
                await asyncio.sleep(RETRY_SECONDS)

    def _measure_late_wait_ms(self, sent_at: float) -> int:
        """Returns for how long a call without an answer may reach a later incarnation.

        Counted from its sending, so that a worker that restarts repeatedly does not prolong it.
        """
        elapsed_ms = int((self._now() - sent_at) * 1000)
        return max(0, LATE_ORDER_WAIT_MS - elapsed_ms)

    def _reconcile(self, report: WorkerReport) -> None:
        """Reconciles the ordered runs with those that the worker lists."""
        now = self._now()
        listed = {(row.task, row.run): row for row in report.running}
        for key in self.unordered_runs.keys() - listed.keys():
            self._forget_unordered_run(key)
        for task, order in list(self.orders.items()):
            row = listed.get((task, order.run))
            if row is not None:
                self._update_order(task, order, row, now)
            elif order.state == SENDING or not report.lists_all_ends:
                # The end of the run may be among those that the report could not list.
                continue
            elif report.clock_ms > order.absence_certain_after_ms:
                self._report_missing(task, order, "not listed by the worker")
        for (task, run), row in listed.items():
            order = self.orders.get(task)
            if order is None or order.run != run:
                self._handle_unordered_run(task, run, now)
            self._owner.handle_start(task, row.percent)
        self._stops.retain(listed)
        self._log_overdue_stops(now)
        self.late_starts.remove_carried_out(listed)
        self.history.expire(now)
        for task, run in self.late_starts.list_due(now, self._incarnation):
            start_in_background(self._revoke_start(task, run))

    def _log_overdue_stops(self, now: float) -> None:
        """Reports runs that go on although they are stopped; their lease is renewed with others."""
        for (task, run), stop in self._stops.take_overdue(now):
            logger.warning(
                "a run goes on although it was stopped",
                extra={
                    "fields": {
                        "task": format_task(task),
                        "run": run,
                        "worker": self.worker,
                        "job": self._owner.describe_job(task),
                        "seconds": round(now - stop.since, 3),
                        "stops": stop.sent,
                        "error": stop.error,
                        "epoch": self._owner.fence,
                    }
                },
            )

    def _update_order(self, task: TaskName, order: Order, row: RunningTask, now: float) -> None:
        if order.state == UNKNOWN:
            order.state = STARTED
            self.leases.record_answer(order.lease_call, now)
        order.listed = True
        order.figure, order.checkpoint = row.figure, row.checkpoint
        if row.percent != order.progress_percent:
            order.progress_percent, order.last_progress_at = row.percent, now
        elif now - order.last_progress_at > STUCK_TASK_SECONDS:
            self._owner.handle_stuck_task(self, task)
        if not order.stopping and not self._owner.is_wanted(task):
            logger.warning(
                "stopping a run whose job has ended or is not known",
                extra={
                    "fields": {
                        "task": format_task(task),
                        "run": order.run,
                        "worker": self.worker,
                        "job": self._owner.describe_job(task),
                        "epoch": self._owner.fence,
                    }
                },
            )
            self.stop_task(task)
        elif order.stopping and now - order.stop_sent > STOP_REPEAT_SECONDS:
            order.stop_sent = now
            start_in_background(self._send_stop(task, order.run))

    def _handle_unordered_run(self, task: TaskName, run: int, now: float) -> None:
        """Adopts a listed run that has no order here if the ledger knows it, else stops it."""
        if task not in self.orders and self._owner.adopt_if_ordered(task, run, self.worker):
            order = self.orders[task] = Order(run, STARTED, 0, now)
            order.listed = order.is_adopted = True
            return
        key = (task, run)
        if key not in self.unordered_runs:
            usage = self._owner.find_usage(task)
            if usage is not None:
                self.capacity.reserve(key, usage)
            logger.info(
                "stopping a run that the ledger does not show as ordered on the worker",
                extra={
                    "fields": {
                        "task": format_task(task),
                        "run": run,
                        "worker": self.worker,
                        "known_size": usage is not None,
                    }
                },
            )
        elif now - self.unordered_runs[key] < STOP_REPEAT_SECONDS:
            return
        self.unordered_runs[key] = now
        start_in_background(self._send_stop(task, run))

    def _forget_unordered_run(self, key: tuple[TaskName, int]) -> None:
        del self.unordered_runs[key]
        self.capacity.release(key)

    async def on_stop(self) -> None:
        self._wake.set()
