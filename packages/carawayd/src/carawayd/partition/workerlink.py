"""Connection to one worker: its lease, its running tasks, and the ends that it reports."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple, Protocol

from mode import Service

from carawayd.partition.ledger import OwnershipLost
from carawayd.platform.common import PlatformError, PlatformUnreached
from carawayd.platform.runs import OrderRefused, OtherIncarnation
from carawayshore.workflows.placement import Room

if TYPE_CHECKING:
    from carawayd.platform.runs import EndedRun, RunningTask, RunsClient, WorkerReport
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import TaskName, WorkerEntry

logger = logging.getLogger(__name__)

# A lease outlives a hand-over to another owner, which takes about two seconds.
LEASE_MS = 4_000
# A start order that the worker carries out later than this has no effect.
ORDER_MS = 1_500
# An order whose answer was lost may reach the next life of the worker, whose clock starts anew, so
# that its expiry does not hold there; it is waited for this long.
LATE_ORDER_MS = 13_000
# Longest time a worker holds back a report while tasks run, in seconds.
REPORT_SECONDS = 1.0
# The same where best-effort tasks run beside serving ones, whose latency moves within seconds.
SHARED_REPORT_SECONDS = 0.5
# Interval of looks at a worker without tasks, in seconds.
IDLE_SECONDS = 4.0
# Pause after a failed look, in seconds.
RETRY_SECONDS = 0.25
# Workers' clocks may be this much slower than ours.
SLOWEST_CLOCK = 0.98
LAPSE_MARGIN_SECONDS = 0.3
# Interval at which a stop order is repeated while the run is still listed, in seconds.
STOP_REPEAT_SECONDS = 0.5
# A task whose progress stands still for this long is taken for stuck.
STUCK_SECONDS = 1.5


def bound_lease(settings: SiteSettings) -> float:
    """Returns the time in seconds after which no lease that a former owner renewed is left."""
    lease = min(LEASE_MS, settings.longest_lease_ms) / 1000 / SLOWEST_CLOCK
    return settings.abandon_seconds + lease + LAPSE_MARGIN_SECONDS


# Why a run is missing whose ticket the worker has refused.
UNADVISED = "refused: the ticket is not valid"
SENDING, UNKNOWN, STARTED = "sending", "unknown", "started"


class Order:
    """One run that was ordered on this worker and whose end is not known."""

    __slots__ = (
        "checkpoint",
        "figure",
        "moved_at",
        "ordered_at",
        "percent",
        "run",
        "state",
        "stop_sent",
        "stopping",
        "valid_ms",
    )

    def __init__(self, run: int, state: str, valid_ms: int, now: float) -> None:
        self.run = run
        self.state = state
        # A report after this time of the worker's clock that does not list the run proves that it
        # is not there: the time of the start, or the time at which the order expires.
        self.valid_ms = valid_ms
        self.ordered_at = now
        self.percent = -1
        self.moved_at = now
        self.figure = 0.0
        self.checkpoint = ""
        self.stopping = False
        self.stop_sent = -STOP_REPEAT_SECONDS


class StartOrder(NamedTuple):
    """What a start order says besides the name of the task."""

    run: int
    spec: str
    checkpoint: str
    ticket: str = ""


class LinkOwner(Protocol):
    """What a link tells the owner of its partition."""

    fence: int

    def note_end(self, link: WorkerLink, end: EndedRun, seconds: float) -> None: ...

    def note_missing(self, link: WorkerLink, task: TaskName, run: int, why: str) -> None: ...

    def note_stuck(self, link: WorkerLink, task: TaskName) -> None: ...

    def note_report(self, link: WorkerLink) -> None: ...

    def is_expected(self, task: TaskName, run: int, worker: str) -> bool: ...

    def note_fenced(self) -> None: ...

    def note_silence(self, link: WorkerLink) -> None: ...

    async def note_return(self, link: WorkerLink) -> None: ...

    def may_renew(self) -> bool: ...

    def count_silence(self, worker: str) -> float: ...

    def flushed(self) -> asyncio.Future[None]: ...


class WorkerLink(Service):
    """Renews the lease of one worker, reads its reports and sends it orders.

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
        self.room = Room(entry)
        self.listed = True
        self.orders: dict[TaskName, Order] = {}
        self.closed = False
        self.cordoned = False
        self._cordoned_until = 0.0
        self._owner = owner
        self._runs = runs
        self._settings = settings
        self._clock = clock
        self._lease_ms = min(LEASE_MS, settings.longest_lease_ms)
        self._work = asyncio.Event()
        self._acknowledged = 0
        self._born = 0
        self._clock_ms: int | None = None
        self._heard_at = self._now()
        self._failures = 0
        self._longest_lease = 0
        self.percent = 100
        self._update_room()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    @property
    def worker(self) -> str:
        return self.entry.worker

    @property
    def is_silent(self) -> bool:
        return self._failures > 0

    def update(self, entry: WorkerEntry | None) -> None:
        """Takes a new entry of the worker, None once it is listed no more."""
        self.listed = entry is not None
        if entry is not None:
            self.entry = self.room.entry = entry
        self._update_room()
        self._work.set()

    def _update_room(self) -> None:
        self.room.expected = (
            self.listed
            and not self.closed
            and not self.cordoned
            and self.entry.state == "ready"
            and not self._failures
        )
        self.room.usable = self.room.expected and self._clock_ms is not None

    def cordon(self, until: float) -> None:
        """Gives the worker no new tasks until a time of the monotonic clock."""
        self._cordoned_until = until
        self.cordoned = until > self._now()
        self._update_room()

    def expire_cordon(self, now: float) -> bool:
        """Ends a cordon that nobody has renewed; returns whether it did."""
        if self.cordoned and now > self._cordoned_until:
            self.cordon(0.0)
            return True
        return False

    def adopt(self, task: TaskName, run: int) -> None:
        """Expects a run that an earlier owner ordered; the first report tells if it is there."""
        self.orders[task] = Order(run, UNKNOWN, -1, self._now())

    def _estimate_clock(self) -> int:
        elapsed = self._now() - self._heard_at
        return int((self._clock_ms or 0) + elapsed * 1000)

    @property
    def lapsed(self) -> bool:
        """Whether the worker has been silent for so long that its lease has lapsed."""
        now = self._now()
        if self._clock_ms is None:
            return self._owner.count_silence(self.worker) > bound_lease(self._settings)
        remaining = max(0, self._longest_lease - self._clock_ms) / 1000 / SLOWEST_CLOCK
        return now - self._heard_at > remaining + LAPSE_MARGIN_SECONDS

    async def start_task(self, task: TaskName, order: StartOrder) -> None:
        """Sends one start order whose intent is durable."""
        entry = self.orders.get(task)
        if entry is None or entry.run != order.run:
            return
        if self._clock_ms is None or self.closed:
            self._drop(task, entry, "worker left before the order was sent")
            return
        entry.valid_ms = self._estimate_clock() + ORDER_MS
        try:
            clock_ms = await self._runs.start(
                self.entry.address,
                self.worker,
                task,
                order.run,
                spec=order.spec,
                expires_ms=entry.valid_ms,
                fence=self._owner.fence,
                checkpoint=order.checkpoint,
                ticket=order.ticket,
            )
        except OrderRefused as refusal:
            if refusal.reason == "fenced":
                self._drop(task, entry, "fenced")
                self._owner.note_fenced()
                return
            if refusal.reason not in ("full", "superseded", "expired", "unadvised"):
                self.room.note_failure(self._now())
            why = UNADVISED if refusal.reason == "unadvised" else f"refused: {refusal.reason}"
            self._drop(task, entry, why)
            return
        except OtherIncarnation:
            self._drop(task, entry, "another incarnation answered")
            self._work.set()
            return
        except PlatformUnreached:
            self.room.note_failure(self._now())
            self._drop(task, entry, "worker not reached")
            return
        except PlatformError as error:
            logger.info(
                "outcome of a start order is unknown",
                extra={"fields": {"task": str(task), "worker": self.worker, "error": str(error)}},
            )
            # A worker that leaves orders unanswered is avoided like one that fails its tasks.
            self.room.note_failure(self._now())
            if self.orders.get(task) is entry:
                entry.state = UNKNOWN
                self._work.set()
            return
        if self.orders.get(task) is entry:
            entry.state, entry.valid_ms = STARTED, clock_ms
            self._work.set()

    def _drop(self, task: TaskName, order: Order, why: str) -> None:
        """Reports a run that is not on the worker and never will be."""
        if self.orders.get(task) is order:
            del self.orders[task]
            self._owner.note_missing(self, task, order.run, why)

    def stop_task(self, task: TaskName) -> None:
        """Orders a run to stop; repeated until its end is known."""
        order = self.orders.get(task)
        if order is not None and not order.stopping:
            order.stopping = True
            asyncio.ensure_future(self._send_stop(task, order))

    async def _send_stop(self, task: TaskName, order: Order) -> None:
        order.stop_sent = self._now()
        try:
            await self._runs.stop(
                self.entry.address, self.worker, task, order.run, self._owner.fence
            )
        except PlatformError as error:
            logger.info(
                "stop order failed",
                extra={"fields": {"task": str(task), "worker": self.worker, "error": str(error)}},
            )
        self._work.set()

    async def pace_task(self, task: TaskName, percent: int) -> None:
        """Throttles a run; a failure is noticed by the next report."""
        order = self.orders.get(task)
        if order is None:
            return
        try:
            await self._runs.pace(
                self.entry.address,
                self.worker,
                task,
                order.run,
                percent=percent,
                fence=self._owner.fence,
            )
        except PlatformError as error:
            logger.info(
                "pace order failed",
                extra={"fields": {"task": str(task), "worker": self.worker, "error": str(error)}},
            )

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop and not self.closed:
            if not self.orders and self._clock_ms is not None and not self._failures:
                await self._wait_for_work()
                if self.should_stop:
                    return
            try:
                report = await self._look()
            except OtherIncarnation:
                self._close("another incarnation has the address")
                return
            except OrderRefused as refusal:
                if refusal.reason == "fenced":
                    self._owner.note_fenced()
                    return
                await self._note_failure(str(refusal))
                continue
            except PlatformError as error:
                await self._note_failure(str(error))
                continue
            try:
                await self._take_report(report)
            except OwnershipLost:
                return

    async def _wait_for_work(self) -> None:
        self._work.clear()
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                await self._work.wait()
        except TimeoutError:
            pass
        if not self.listed and not self.orders:
            self._close("not listed any more")

    async def _look(self) -> WorkerReport:
        expires_ms = None
        wait = 0.0
        if self._clock_ms is not None and not self._failures and self._owner.may_renew():
            expires_ms = self._estimate_clock() + self._lease_ms
            self._longest_lease = max(self._longest_lease, expires_ms)
            shared = self.room.best_effort and self.room.serving
            wait = SHARED_REPORT_SECONDS if shared else REPORT_SECONDS
            if not any(order.state == STARTED for order in self.orders.values()):
                wait = 0.1
        return await self._runs.renew(
            self.entry.address,
            self.worker,
            fence=self._owner.fence,
            # After a failure the worker may have been born again, and its numbers start anew.
            acknowledged=0 if self._failures else self._acknowledged,
            expires_ms=expires_ms,
            wait=wait,
        )

    async def _note_failure(self, error: str) -> None:
        if not self._failures:
            logger.info(
                "worker fell silent",
                extra={"fields": {"worker": self.worker, "error": error}},
            )
            self._owner.note_silence(self)
        self._failures += 1
        self._update_room()
        if self.lapsed:
            self._close("lease lapsed")
            return
        await asyncio.sleep(RETRY_SECONDS)

    def _close(self, why: str) -> None:
        """Gives all runs up: none of them is on the worker any more."""
        self.closed = True
        self._update_room()
        logger.info(
            "worker given up",
            extra={"fields": {"worker": self.worker, "why": why, "orders": len(self.orders)}},
        )
        for task, order in list(self.orders.items()):
            self._drop(task, order, why)

    async def _take_report(self, report: WorkerReport) -> None:
        if self._born and report.born != self._born:
            logger.info("worker was born again", extra={"fields": {"worker": self.worker}})
            self._acknowledged, self._longest_lease = 0, 0
            for order in self.orders.values():
                if order.state == STARTED:
                    # The new life may have carried the order out before it was known here; then
                    # this report or the next one lists the run.
                    order.state, order.valid_ms = UNKNOWN, report.clock_ms
                else:
                    order.valid_ms = report.clock_ms + LATE_ORDER_MS
        self._born = report.born
        first = self._clock_ms is None
        self._clock_ms, self._heard_at = report.clock_ms, self._now()
        if self._failures or first:
            await self._owner.note_return(self)
        if self._failures:
            logger.info("worker is back", extra={"fields": {"worker": self.worker}})
        self._failures = 0
        self._update_room()
        ended = [end for end in report.ended if end.number > self._acknowledged]
        for end in ended:
            order = self.orders.get(end.task)
            seconds = 0.0
            if order is not None and order.run == end.run:
                del self.orders[end.task]
                seconds = self._now() - order.ordered_at
            self._owner.note_end(self, end, seconds)
        self._compare(report)
        self._owner.note_report(self)
        if ended:
            await self._owner.flushed()
            self._acknowledged = max(self._acknowledged, ended[-1].number)

    def _compare(self, report: WorkerReport) -> None:
        """Compares the runs that the worker lists with those that were ordered."""
        now = self._now()
        listed = {row.task: row for row in report.running}
        for task, order in list(self.orders.items()):
            row = listed.get(task)
            if row is not None and row.run == order.run:
                self._note_progress(task, order, row, now)
            elif order.state != SENDING and report.clock_ms > order.valid_ms:
                self._drop(task, order, "not listed by the worker")
        for task, row in listed.items():
            if task not in self.orders:
                self._stop_stray(task, row)

    def _note_progress(self, task: TaskName, order: Order, row: RunningTask, now: float) -> None:
        if order.state == UNKNOWN:
            order.state = STARTED
        order.figure, order.checkpoint = row.figure, row.checkpoint
        if row.percent != order.percent:
            order.percent, order.moved_at = row.percent, now
        elif now - order.moved_at > STUCK_SECONDS:
            self._owner.note_stuck(self, task)
        if order.stopping and now - order.stop_sent > STOP_REPEAT_SECONDS:
            asyncio.ensure_future(self._send_stop(task, order))

    def _stop_stray(self, task: TaskName, row: RunningTask) -> None:
        """Adopts a run that is known to the ledger, and stops one that is not."""
        order = Order(row.run, STARTED, 0, self._now())
        self.orders[task] = order
        if not self._owner.is_expected(task, row.run, self.worker):
            logger.info(
                "stray run is stopped",
                extra={"fields": {"task": str(task), "run": row.run, "worker": self.worker}},
            )
            self.stop_task(task)

    async def on_stop(self) -> None:
        self._work.set()
