"""Owner of one partition: accepts workflows, runs their tasks on workers, and records the outcomes.

Every change is recorded before it takes effect: a start order is sent, an end acknowledged to the
worker, and a caller answered only after the store has acknowledged the record. The records carry
the owner's epoch, so that a deposed owner can neither write records nor issue orders.
"""

from __future__ import annotations

import asyncio
import logging
import math
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec
from mode import Service

from carawayd.partition.absences import Absences
from carawayd.partition.accountstandings import AccountStandings
from carawayd.partition.accountusage import AccountUsage
from carawayd.partition.admissions import AdmissionControl
from carawayd.partition.advisor import Advisor
from carawayd.partition.capshares import CapShares
from carawayd.partition.claims import Claims
from carawayd.partition.contactloss import UNRESPONSIVE_PREFIX, ContactLoss, LeaseBounds
from carawayd.partition.copies import Copies
from carawayd.partition.cordons import CORDON_PREFIX, Cordons
from carawayd.partition.deferrals import Deferrals
from carawayd.partition.delays import log_delay
from carawayd.partition.demand import Demand
from carawayd.partition.departures import Departures
from carawayd.partition.drivers import DriverWatch, Tables
from carawayd.partition.interruptions import list_interrupted_tasks, may_stop
from carawayd.partition.isolation import Isolation
from carawayd.partition.knownworkers import WORKER_PREFIX, KnownWorkers
from carawayd.partition.leases import compute_lease_seconds, compute_longest_seconds
from carawayd.partition.ledger import WORKFLOWS_TOPIC, Ledger, OwnershipLost
from carawayd.partition.losses import Losses
from carawayd.partition.movedqueues import MOVED_PREFIX, MovedQueues
from carawayd.partition.planner import Planner
from carawayd.partition.preemption import PreemptionControl
from carawayd.partition.relief import Relief
from carawayd.partition.replies import (
    ABSENT,
    ACCEPTED,
    FOUND,
    MOVED,
    REJECTED,
    TOO_LARGE,
    UNKNOWN_OUTCOME,
    UNREADY,
    Reply,
)
from carawayd.partition.shortwaits import ShortTaskWaits
from carawayd.partition.starts import Starts
from carawayd.partition.strayorders import StrayOrders
from carawayd.partition.throttling import throttle_best_effort
from carawayd.partition.unusedworkers import UnusedWorkers
from carawayd.partition.waitreasons import WaitReasons
from carawayd.partition.waits import LongRunningWaits
from carawayd.partition.workerlink import (
    SENDING,
    TICKET_REFUSED,
    Order,
    StartOrder,
    WorkerLink,
)
from carawayd.platform.runs import format_task
from carawayd.platform.store import MAX_KEY_BYTES
from carawayd.supervision import start_in_background, supervised_task, unexpected_errors
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument
from carawayshore.workflows.model import TaskName, encode_load
from carawayshore.workflows.placement import compute_usage
from carawayshore.workflows.runtimes import RuntimeModel, decode_statistics
from carawayshore.workflows.state import (
    CANCELLED,
    COMPLETED,
    DONE,
    FAILED,
    MAX_CHECKPOINT_BYTES,
    ORDERED,
    QUEUED,
    RUNNING,
    WAITING,
    StepState,
    TaskState,
    WorkflowState,
    count_part_tasks,
    fits_checkpoint,
    restore_workflows,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from carawayd.partition.planner import StepPlacement
    from carawayd.partition.strayorders import StrayOrder
    from carawayd.partition.workerlink import CallHistory, LostRun
    from carawayd.platform.advice import AdviceClient
    from carawayd.platform.runs import EndedRun, RunsClient
    from carawayd.platform.store import StoreClient
    from carawayd.process.discovery import Discovery
    from carawayd.process.site import SiteSettings
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock, SteadyTimeOfDay
    from carawayshore.workflows.crashes import WorkerLoss
    from carawayshore.workflows.model import AbsenceQuery, QueueVersion, WorkerEntry, Workflow
    from carawayshore.workflows.placement import Usage, WorkerCapacity

logger = logging.getLogger(__name__)

# Changes made within this time are planned together.
PLAN_DELAY = timedelta(milliseconds=4)
# Maximum interval between plans; needed for scheduled start times and for workers that become
# usable again some time after failures.
PLAN_INTERVAL_SECONDS = 0.25
# Start orders that are recorded or sent at a time. Further tasks wait for their turn, so that none
# queues behind a wide step, and so that the process keeps up with its calls.
MAX_PENDING_STARTS = 256
# Interval at which the list of workers is read.
SCAN_INTERVAL = timedelta(milliseconds=100)
# Time after a takeover within which the workers of a service are discovered.
WORKER_DISCOVERY_SECONDS = 1.5
# Maximum wait of a planned handover for the store.
HANDOVER_TIMEOUT_SECONDS = 0.5
# Prefix of ledger keys for the learned run times of a queue.
RUNTIME_PREFIX = "="
# The statistics of a queue are recorded once per this many measured run times.
RUNTIME_RECORD_INTERVAL = 8
# Key of an empty record, whose append proves that the writer still owns the partition.
PROBE_KEY = "?"
# Added to the promised time for which the state of an ended workflow can be read.
STATUS_MARGIN_SECONDS = 30.0


class PartitionOwner(Service):
    """Runs all workflows of one partition, which belong to one or a few services.

    Parameters
    ----------
    partition : int
        Number of the partition in the topic of the workflows.
    epoch : int
        Generation of the store's group in which the partition was assigned to this process. The
        same number is the epoch of all its records and, as ``fence``, the fencing token of all
        its orders.
    store : StoreClient
        Holds the records of the partition; used by the ledger.
    runs : RunsClient
        Used by the links to call the workers.
    discovery : Discovery
        Lists the services of the partition and their workers.
    settings : SiteSettings
        Settings of the process, among them those that bound the leases of runs.
    clock : Clock
        Gives the monotonic time, and waits.
    time_of_day : SteadyTimeOfDay
        Gives the time of day, for scheduled start times and the ages of workflows only.
    random : Random
        Passed to the admission of submissions.
    may_renew : callable
        Returns whether the last contact with the store is recent enough to renew leases.
    metrics : WorkflowMetrics
        Counts submissions and ends of runs and workflows, and records durations; also passed to
        the ledger.
    advice : AdviceClient, optional
        Client of the placement policy service, None if the deployment has none.
    has_former_hosts : callable, optional
        Returns whether hosts of an earlier version, which read no parts of steps, own partitions.
    """

    def __init__(
        self,
        partition: int,
        epoch: int,
        *,
        store: StoreClient,
        runs: RunsClient,
        discovery: Discovery,
        settings: SiteSettings,
        clock: Clock,
        time_of_day: SteadyTimeOfDay,
        random: Random,
        may_renew: Callable[[], bool],
        metrics: WorkflowMetrics,
        advice: AdviceClient | None = None,
        has_former_hosts: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self.partition = partition
        self.fence = epoch
        self.loaded = False
        self.lost = False
        # Whether a record of this owner is durable, apart from the epoch.
        self._has_written = False
        self.ledger = Ledger(store, WORKFLOWS_TOPIC, partition, settings, clock, metrics)
        self.workflows: dict[str, WorkflowState] = {}
        self.links: dict[str, WorkerLink] = {}
        self._runs = runs
        self._discovery = discovery
        self._settings = settings
        self._clock = clock
        self._time_of_day = time_of_day
        self._may_renew = may_renew
        self._has_former_hosts = has_former_hosts
        self._had_former_hosts = False
        self._metrics = metrics
        self._runtimes = RuntimeModel()
        # Ready steps that may have waiting tasks, by workflow, occurrence and step.
        self._open_steps: dict[tuple[str, int, int], StepState] = {}
        self._scheduled: set[tuple[str, int, int]] = set()
        # Worker of each task that an earlier owner ordered, until the link to the worker tracks it.
        self._orphans: dict[TaskName, str] = {}
        self._lease_bounds = LeaseBounds(
            compute_lease_seconds(settings),
            settings.abandon_seconds,
            compute_longest_seconds(settings),
        )
        self._contact_loss = ContactLoss(clock, self.ledger, self._lease_bounds)
        # Steps whose records could not be read.
        self._closed_steps: list[tuple[WorkflowState, StepState]] = []
        self._known_workers = KnownWorkers(self.ledger)
        self._moved_queues = MovedQueues(self.ledger)
        # Calls that may still take effect, of workers without a link.
        self._call_histories: dict[str, CallHistory] = {}
        # Entries of incarnations that have certainly ended but are still listed.
        self._ended_workers: dict[str, WorkerEntry] = {}
        # Workflows of which a checkpoint was left out.
        self._large_checkpoints: set[str] = set()
        self._deadlines: dict[str, float] = {}
        self._loaded_at = 0.0
        self._cordons = Cordons(clock, self.ledger)
        self._absences = Absences(self.workflows, self.links, clock)
        self._deferrals = Deferrals(
            clock,
            lambda name: self._waits.measure(name),
            self._absences,
            compute_lease_seconds(settings),
        )
        self._isolation = Isolation(self.links, self._deferrals, clock)
        self._losses = Losses(
            self._find_task,
            self._record_tasks,
            self._give_up,
            self._isolation,
            clock,
            metrics,
            lambda *run: self._copies.was_run(*run),
        )
        self._claims = Claims(self.links, self._find_task, self._runtimes, clock)
        self._starts = Starts(self._find_task, self.links, self._record_tasks, clock, metrics)
        self._account_usage = AccountUsage(self.workflows, self.find_usage)
        self._demand = Demand(
            self.workflows,
            self.links,
            self._open_steps,
            self._deadlines,
            self._runtimes,
            clock,
            lambda account: self._cap_shares.is_held_back(account),
        )
        self._admissions = AdmissionControl(
            self.links,
            self._demand,
            self._runtimes,
            AccountStandings(self._account_usage, discovery.list_accounts, clock),
            lambda: self.ledger.append_seconds,
            random=random,
            clock=clock,
            metrics=metrics,
        )
        # Steps whose records the store has refused, each with the number of a task that waits.
        self._suspended_steps: dict[tuple[str, int, int], tuple[WorkflowState, StepState, int]] = {}
        # Number of start orders that are being recorded or sent.
        self._pending_starts = 0
        self._wake = asyncio.Event()
        self._advisor = Advisor(advice, clock, self._wake.set)
        self._cap_shares = CapShares(
            partition,
            settings.partitions,
            store=store,
            usage=self._account_usage,
            list_accounts=discovery.list_accounts,
            get_epoch=lambda: self.fence if self.may_renew() else None,
            handle_change=self._wake.set,
            clock=clock,
            metrics=metrics,
        )
        self._planner = Planner(
            self.workflows,
            self.links,
            self._open_steps,
            self._deadlines,
            runtimes=self._runtimes,
            isolation=self._isolation,
            deferrals=self._deferrals,
            claims=self._claims,
            advisor=self._advisor,
            cap_shares=self._cap_shares,
            clock=clock,
            time_of_day=time_of_day,
        )
        self._copies = Copies(
            self.workflows,
            self.links,
            self._open_steps,
            runtimes=self._runtimes,
            isolation=self._isolation,
            known_workers=self._known_workers,
            record_tasks=self._record_tasks,
            start_sending=self._start_sending,
            is_due=self._planner.is_due,
            list_excluded=self._planner.rejections.list_excluded,
            orphans=self._orphans,
            clock=clock,
            metrics=metrics,
            has_cap_left=lambda *asked: self._cap_shares.count_startable(*asked, 1) > 0,
        )
        orphans = (self._orphans, self._copies.orphans)
        self._stray_orders = StrayOrders(self.workflows, self.links, orphans, clock)
        reasons = WaitReasons(self.links, self._isolation, self._describe_step, clock)
        self._waits = LongRunningWaits(
            self.workflows,
            self.links,
            reasons,
            list_services=self._list_services,
            is_due=self._planner.is_due,
            clock=clock,
            metrics=metrics,
        )
        tables = Tables(
            self.workflows,
            self.links,
            self._open_steps,
            self._suspended_steps,
            self._closed_steps,
            orphans,
            self._contact_loss,
            self.ledger,
            self._lease_bounds.longest,
            lambda: self._loaded_at,
        )
        self._drivers = DriverWatch(
            tables,
            reasons,
            list_services=self._list_services,
            is_due=self._planner.is_due,
            clock=clock,
            metrics=metrics,
        )
        self._short_waits = ShortTaskWaits(
            self.workflows,
            self.links,
            self._orphans,
            reasons,
            find_driver=self._drivers.find_driver,
            list_services=self._list_services,
            is_due=self._planner.is_due,
            clock=clock,
            metrics=metrics,
        )
        self._unused_workers = UnusedWorkers(self.links, self._list_services, clock, metrics)
        self._relief = Relief(
            self.links,
            self._find_task,
            partial(may_stop, self.links),
            self._planner.list_candidates,
            self._claims,
        )
        self._departures = Departures(
            self.links,
            self._find_task,
            partial(may_stop, self.links),
            self._planner.list_candidates,
            self._claims,
            self._may_place,
            clock,
        )
        self._preemption = PreemptionControl(
            self.links,
            self._find_task,
            self._planner.list_candidates,
            self._claims,
            self._waits.measure,
            clock,
            metrics,
        )

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def _unix_ms(self) -> int:
        return int(self._time_of_day.now().timestamp() * 1000)

    # -- takeover and handover -------------------------------------------------------------------

    @supervised_task
    async def _run(self) -> None:
        if not self.loaded:
            try:
                await self.ledger.take_over(self.fence)
                await self._load()
            except OwnershipLost:
                self._mark_lost(
                    "the store rejected the epoch, because a later owner has taken over"
                )
                return
            await self.add_runtime_dependency(self.ledger)
            await self.add_runtime_dependency(self._cap_shares)
            start_in_background(
                self._announce(), lambda: self._mark_lost("its first record could not be written")
            )
        scanned_at = self._now()
        while not self.should_stop and not self.lost:
            # First, so that an error in what follows does not keep the partition without an owner.
            if self.ledger.lost:
                self._mark_lost("a later owner has written to the partition")
                return
            seconds = self._now() - scanned_at - SCAN_INTERVAL.total_seconds()
            log_delay(seconds, self.partition, self.fence)
            scanned_at = self._now()
            self._scan_workers()
            self._contact_loss.record_progress()
            self._cordons.record_progress()
            self._expire_entries()
            self._open_closed_steps()
            self._starts.record_due()
            self._resume_steps()
            self._stray_orders.check(self._track_stray_order)
            self._count_unsettled_runs()
            self._follow_former_hosts()
            self._waits.check(self.fence)
            self._short_waits.check(self.fence)
            self._drivers.check(self.fence)
            self._unused_workers.check(self.fence)
            if self._may_place():
                self._preemption.make_room(self.fence)
                self._copies.make(self.fence)
            await self._clock.sleep(SCAN_INTERVAL)

    def _may_place(self) -> bool:
        """Returns whether a stopped task could be started again at once."""
        return self.loaded and not self.ledger.is_stalled and self.may_renew()

    def _follow_former_hosts(self) -> None:
        """Records wide steps as a whole when a host of an earlier version joins the group."""
        had_former_hosts, self._had_former_hosts = self._had_former_hosts, self._has_former_hosts()
        if self._had_former_hosts and not had_former_hosts:
            self._record_whole_steps()

    async def _announce(self) -> None:
        """Writes a first record, before which no lease is renewed.

        By it, a former owner that gets the partition back notices that leases may have been renewed
        meanwhile.
        """
        self.ledger.mark_dirty(PROBE_KEY, bytes)
        try:
            await self.ledger.flush()
        except OwnershipLost:
            return
        self._has_written = True

    async def _load(self) -> None:
        now = self._now()
        records = []
        for key, value in await self.ledger.read_records():
            if key.startswith(RUNTIME_PREFIX):
                self._restore_runtime(key.removeprefix(RUNTIME_PREFIX), value)
            elif key.startswith(CORDON_PREFIX):
                self._cordons.restore(key.removeprefix(CORDON_PREFIX), value)
            elif key.startswith(UNRESPONSIVE_PREFIX):
                self._contact_loss.restore(key.removeprefix(UNRESPONSIVE_PREFIX), value)
            elif key.startswith(WORKER_PREFIX):
                self._known_workers.restore(key.removeprefix(WORKER_PREFIX), value)
            elif key.startswith(MOVED_PREFIX):
                self._moved_queues.restore(key, value)
            else:
                records.append((key, value))
        restored = restore_workflows(records, now, self._unix_ms())
        self.workflows.update(restored.workflows)
        self._closed_steps += restored.closed_steps
        for workflow in self.workflows.values():
            if workflow.is_terminal:
                continue
            self._set_deadline(workflow)
            self._absences.restore(workflow)
            self._isolation.update(workflow)
            self._losses.restore(workflow)
            for name, task in workflow.iterate_ordered_tasks():
                self._orphans[name] = task.worker
            self._copies.restore(workflow)
            for step in workflow.steps.values():
                if (workflow, step) not in self._closed_steps:
                    self._open_step(workflow, step)
                self._preemption.restore(list_interrupted_tasks(workflow, step))
        for key in restored.leftovers:
            self.ledger.mark_dirty(key, bytes)
        for key in restored.unreadable:
            unreadable_records.counts[WORKFLOWS_TOPIC] += 1
            logger.error(
                "record of a workflow or step cannot be read",
                extra={"fields": {"key": key, "partition": self.partition, "epoch": self.fence}},
            )
        self._account_usage.restore(now, self._unix_ms())
        self._count_unsettled_runs()
        self.loaded = True
        self._loaded_at = self._now()
        self._wake.set()
        logger.info(
            "partition taken over",
            extra={
                "fields": {
                    "partition": self.partition,
                    "epoch": self.fence,
                    "workflows": len(self.workflows),
                    "ordered": len(self._orphans),
                    "unreadable": len(restored.unreadable),
                    "leftovers": len(restored.leftovers),
                }
            },
        )

    def _count_unsettled_runs(self) -> None:
        if self._discovery.list_accounts() is not None:
            self._account_usage.count_unsettled(
                self._now(),
                [*self._orphans, *self._copies.orphans],
                self.links.values(),
                self._call_histories.values(),
            )

    def _open_closed_steps(self) -> None:
        """Opens the steps whose records could not be read, once no earlier run can be left.

        Their tasks count as never started, but may run until the leases of the last owner are over.
        """
        if self._closed_steps and self._now() - self._loaded_at > self._lease_bounds.longest:
            for workflow, step in self._closed_steps:
                self._open_step(workflow, step)
            self._closed_steps.clear()
            self._wake.set()

    def _restore_runtime(self, queue: str, value: bytes) -> None:
        try:
            times = decode_statistics(value)
        except MalformedDocument as error:
            unreadable_records.note(WORKFLOWS_TOPIC, RUNTIME_PREFIX + queue, error)
            return
        self._runtimes.restore(queue, times)

    def _learn_runtime(self, workflow: WorkflowState, step: StepState, seconds: float) -> None:
        queue = workflow.spec.queue
        self._runtimes.learn(queue, step.spec, seconds)
        step.run_seconds.append(seconds)
        if len(step.run_seconds) == len(step.tasks):
            self._runtimes.learn_step(queue, step.run_seconds)
        if self._runtimes.get_statistics(queue).count % RUNTIME_RECORD_INTERVAL == 1:
            self.ledger.mark_dirty(
                RUNTIME_PREFIX + queue,
                lambda: msgspec.json.encode(self._runtimes.get_statistics(queue)),
            )

    async def raise_epoch(self, epoch: int) -> bool:
        """Moves to a later epoch; returns False if another owner has written to the partition."""
        try:
            unchanged = await self.ledger.take_over(epoch)
        except OwnershipLost:
            self._mark_lost("the store rejected the epoch, because a later owner has taken over")
            return False
        self.fence = epoch
        if not unchanged:
            self._mark_lost("another member has written to the partition in between")
        return unchanged

    async def hand_over(self) -> None:
        """Stops accepting calls and waits until all records are durable.

        Among them is how long the leases last, none of which this owner renews any more.
        """
        if not self.lost:
            self._record_leases()
            self._starts.record()
            self._record_whole_steps()
        self.lost = True
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                await self.ledger.flush()
        except (TimeoutError, OwnershipLost) as error:
            logger.info(
                "writing all records before the handover failed or timed out; the next owner "
                "continues from those in the store",
                extra={"fields": {"partition": self.partition, "error": repr(error)}},
            )

    def _record_leases(self) -> None:
        """Records how long the leases on each worker last, which this owner no longer renews."""
        for link in self.links.values():
            seconds = link.measure_lease_seconds()
            if link.run_count and seconds is not None:
                self._contact_loss.record_lease(link.worker, seconds)

    def _mark_lost(self, why: str) -> None:
        if not self.lost:
            self.lost = True
            logger.info(
                "partition lost",
                extra={"fields": {"partition": self.partition, "epoch": self.fence, "why": why}},
            )

    def handle_fenced(self) -> None:
        """Gives up the partition, since a worker has seen a higher fencing token."""
        self._mark_lost("a worker has seen a higher fencing token")

    def flush(self) -> asyncio.Future[None]:
        return self.ledger.flush()

    # -- workers ---------------------------------------------------------------------------------

    def _scan_workers(self) -> None:
        entries = self._discovery.list_workers(self._list_services())
        if entries is None:
            return
        self._remove_links(entries)
        for worker, entry in entries.items():
            link = self.links.get(worker)
            if link is None:
                if not entry.born or self._ended_workers.get(worker) != entry:
                    self._open_link(entry)
            elif link.entry != entry or not link.listed:
                link.update(entry)
                self._known_workers.record_state(entry)
        for worker in self._ended_workers.keys() - entries.keys():
            del self._ended_workers[worker]
        self._open_links_of_unlisted_workers()
        self._planner.end_needless_claims()
        for link in self.links.values():
            link.set_capacity_current(self._discovery.is_capacity_current(link.entry))
            if link.capacity.is_overcommitted:
                self._relief.relieve(link, self.fence)
            if link.is_departing:
                if link.expire_cordon(self._now()):
                    self._cordons.end(link.worker)
                self._departures.evacuate(link, self.fence)
        for worker, history in list(self._call_histories.items()):
            history.expire(self._now())
            if not history.is_needed(self._now()):
                del self._call_histories[worker]
        self._release_orphans()

    def _remove_links(self, entries: dict[str, WorkerEntry]) -> None:
        """Removes the links that are closed, or whose workers are neither listed nor used."""
        for worker, link in list(self.links.items()):
            if worker not in entries and link.listed:
                link.update(None)
            if not link.is_needed:
                del self.links[worker]
                link.capacity.release_all()
                self._call_histories[worker] = link.history
                self._cordons.end(worker)
                self._contact_loss.end(worker)
                self._known_workers.forget(worker)
                start_in_background(link.stop())

    def _open_links_of_unlisted_workers(self) -> None:
        """Opens links to workers that are missing in the list although an earlier owner used them.

        An answer shows at once whether the tasks still run, or that another worker has the address.
        Without an answer, the owner has to wait for the leases.
        """
        for worker in self._known_workers.list_workers():
            if worker not in self.links:
                self._open_link(self._known_workers.find_entry(worker))
                link = self.links[worker]
                link.update(None)
                # Tasks of ended workflows may run there, which no record tells.
                link.is_awaited = True

    def _list_services(self) -> set[str]:
        return self._discovery.list_services(self.partition)

    def _open_link(self, entry) -> None:
        link = WorkerLink(entry, self, self._runs, self._settings, self._clock)
        link.capacity.observer = self._account_usage.count
        link.history = self._call_histories.pop(entry.worker, link.history)
        for name, worker in list(self._orphans.items()):
            if worker == entry.worker:
                del self._orphans[name]
                found = self._find_task(name)
                # Tasks of ended workflows are not adopted, so that the link stops their runs.
                if found is not None and not found[0].is_terminal:
                    _, step, task = found
                    link.adopt(name, task.run)
                    link.capacity.reserve(name, compute_usage(name, step.spec))
        self._copies.adopt(link)
        self.links[entry.worker] = link
        self._restore_cordon(link)
        start_in_background(
            self.add_runtime_dependency(link),
            lambda: self._mark_lost("the link to a worker could not be started"),
        )

    def _release_orphans(self) -> None:
        """Resets tasks whose worker is not listed, once every lease on it has expired."""
        for name, worker in list(self._orphans.items()):
            self._contact_loss.begin(worker)
            if not self.are_leases_over(worker):
                continue
            del self._orphans[name]
            found = self._find_task(name)
            # Another run may have succeeded meanwhile.
            if found is not None and found[2].status == ORDERED:
                self._lose_run(found, name, found[2].run, "its worker is no longer listed")
        self._copies.release_orphans(self._contact_loss)

    def _track_stray_order(self, stray: StrayOrder) -> None:
        """Takes a run that nothing tracks as possibly running, so that its end will be known."""
        self._log_task(
            stray.task,
            "ordered run is not tracked; taking it as possibly running",
            run=stray.run,
            worker=stray.worker,
            unanswered=stray.is_unanswered,
        )
        link = self.links.get(stray.worker)
        if link is None or link.closed:
            is_copy = self._find_task(stray.task)[2].is_copy(stray.run, stray.worker)
            orphans = self._copies.orphans if is_copy else self._orphans
            orphans[stray.task] = stray.worker
        elif stray.is_unanswered:
            link.abandon_sending(stray.task, stray.run)
        else:
            _, step, _ = self._find_task(stray.task)
            link.track_stray_run(stray.task, stray.run)
            link.capacity.reserve(stray.task, compute_usage(stray.task, step.spec))

    def handle_unresponsive(self, link: WorkerLink) -> None:
        """Records since when a worker with ordered tasks has been unresponsive."""
        if link.run_count or link.is_awaited:
            lease_left = link.measure_lease_seconds() if link.had_contact else None
            self._contact_loss.begin(link.worker, lease_left_seconds=lease_left)

    def find_recorded_start(self, worker: str) -> int:
        """Returns the start of the incarnation of a worker that was last sent an order.

        In Unix milliseconds; 0 if it is not known.
        """
        entry = self._known_workers.find_entry(worker)
        return entry.born if entry is not None else 0

    def handle_loss(self, link: WorkerLink, runs: list[LostRun], *, restarted: bool) -> None:
        """Records that an incarnation of a worker has ended, or has been unreachable for too long.

        Parameters
        ----------
        link : WorkerLink
        runs : list of LostRun
            Runs that were, or may have been, on the worker.
        restarted : bool
            Whether another incarnation has answered, so that the former one has certainly ended.
        """
        if restarted:
            self._advisor.forget_worker(link.worker)
        if restarted and link.closed:
            self._ended_workers[link.worker] = link.entry
        born = self.find_recorded_start(link.worker)
        self._losses.handle_loss(link, runs, born, self.fence, restarted=restarted)
        # Orders without an answer no longer hold room on the link, but may still be carried out.
        self._count_unsettled_runs()

    def _give_up(
        self, workflow: WorkflowState, name: TaskName, losses: Sequence[WorkerLoss]
    ) -> None:
        """Ends a workflow whose task is taken to crash every worker that starts it."""
        if workflow.is_terminal:
            return
        self._metrics.crashing_tasks.labels(workflow.spec.service).inc()
        self._log_task(
            name,
            "task crashes its workers; giving up its workflow",
            losses=[loss._asdict() for loss in losses],
        )
        crashed = [f"{loss.worker} (born {loss.born})" for loss in losses if loss.confirmed]
        why = f"workers crashed under {format_task(name)}: {', '.join(crashed)}"
        self._end_workflow(workflow, FAILED, why)

    async def handle_recovery(self, link: WorkerLink) -> None:
        """Records that a worker is responsive again, before its leases are renewed."""
        self._losses.retract(link.worker, link.incarnation)
        if self._contact_loss.end(link.worker):
            await self.ledger.flush()

    def are_leases_over(self, worker: str) -> bool:
        """Returns whether every lease that any owner has renewed on a worker has expired."""
        return self._contact_loss.are_leases_over(worker)

    def find_recorded_lease(self, worker: str, born: int) -> float | None:
        """Returns for how many seconds leases on a worker may last that nobody has renewed since.

        None if no earlier owner that had contact to this incarnation of the worker has recorded it.
        """
        if not born or born != self.find_recorded_start(worker):
            return None
        return self._contact_loss.find_lease_left(worker)

    def may_renew(self) -> bool:
        """Returns whether orders may be sent and leases renewed."""
        return not self.lost and self._has_written and self._may_renew()

    def handle_report(self, link: WorkerLink) -> None:
        """Throttles the best-effort tasks of a worker by the tail latency of its serving tasks."""
        self._wake.set()
        self._losses.clear_survivors(link, self.fence)
        throttle_best_effort(link, self._find_task)

    def handle_stuck_task(self, link: WorkerLink, task: TaskName) -> None:
        """Stops a task that makes no progress, to restart it elsewhere."""
        found = self._find_task(task)
        order = link.orders.get(task)
        if found is None or order is None or order.stopping:
            return
        spec = found[1].spec
        if spec.long_running or spec.gang or order.progress_percent >= 100:
            return
        link.capacity.record_failure(self._now())
        self._log_task(
            task,
            "task makes no progress; stopping it",
            worker=link.worker,
            percent=order.progress_percent,
        )
        link.stop_task(task)

    def adopt_if_ordered(self, task: TaskName, run: int, worker: str) -> bool:
        """Reserves the resources of a run that is recorded as ordered on the worker.

        Returns whether it is; otherwise the link stops the run.
        """
        found = self._find_task(task)
        if found is None or found[0].is_terminal:
            return False
        state = found[2]
        expected = state.status == ORDERED and state.has_run(run, worker)
        if expected:
            is_copy = state.is_copy(run, worker)
            (self._copies.orphans if is_copy else self._orphans).pop(task, None)
            self.links[worker].capacity.reserve(task, compute_usage(task, found[1].spec))
        return expected

    def find_usage(self, task: TaskName) -> Usage | None:
        """Returns the resources that a run of a task uses, None if the task is not known."""
        found = self._find_task(task)
        return compute_usage(task, found[1].spec) if found is not None else None

    def describe_job(self, task: TaskName) -> str:
        """Returns the state of a task's workflow, ``unknown`` if there is no record of it."""
        workflow = self.workflows.get(task.workflow)
        return workflow.state if workflow is not None else "unknown"

    def is_wanted(self, task: TaskName) -> bool:
        """Returns whether a task may go on: its workflow is known and has not ended early."""
        return self.describe_job(task) not in (CANCELLED, FAILED, "unknown")

    def handle_missing_run(self, link: WorkerLink, task: TaskName, run: int, why: str) -> None:
        """Resets the task of a run that is not on its worker and will not start there."""
        link.capacity.release(task)
        found = self._find_task(task)
        if found is None:
            return
        if why == TICKET_REFUSED:
            self._advisor.handle_refusal(task[:3], link.worker)
        if found[2].status == ORDERED and found[2].has_run(run, link.worker):
            self._lose_run(found, task, run, why)

    def handle_start(self, task: TaskName, percent: int = 0) -> None:
        """Notes that a worker has started a task, by its answer or in a report."""
        self._starts.note(task, percent)

    def handle_end(self, link: WorkerLink, end: EndedRun, seconds: float) -> None:
        """Records the end of a run before the link acknowledges it.

        ``seconds`` is the time since the run was ordered, 0 if that is unknown.
        """
        if end.task not in link.orders:
            link.capacity.release(end.task)
        self._metrics.ends.labels(link.entry.service, end.kind).inc()
        now = self._now()
        if end.kind == "done":
            link.capacity.record_success()
        elif end.kind == "failed":
            link.capacity.record_failure(now)
        found = self._find_task(end.task)
        if found is None:
            return
        workflow, step, task = found
        self._starts.note_end(end)
        if not task.has_run(end.run, link.worker):
            if end.kind == "done":
                self._accept_other_success(workflow, step, end)
            return
        # A run whose worker was taken to be lost may have succeeded all the same.
        if task.status != ORDERED and not (task.status == WAITING and end.kind == "done"):
            return
        if end.checkpoint and step.spec.checkpointing:
            self._keep_checkpoint(end, task)
        if end.kind == "done" and not step.spec.long_running:
            if seconds > 0:
                self._copies.learn(workflow, step, link.worker, seconds)
                self._learn_runtime(workflow, step, seconds)
            self._finish_task(workflow, step, end.task, (end.run, link.worker))
        elif end.kind == "failed" and not step.spec.long_running:
            task.failures += 1
            if task.failures >= workflow.spec.max_failures and not workflow.is_terminal:
                if not self._copies.keep_other(workflow, step, end.task, end.run, "failed"):
                    task.status = WAITING
                self._end_workflow(workflow, FAILED, f"{end.task} failed {task.failures} times")
                return
            self._lose_run(found, end.task, end.run, "failed")
        else:
            self._lose_run(found, end.task, end.run, end.kind)

    def _accept_other_success(
        self, workflow: WorkflowState, step: StepState, end: EndedRun
    ) -> None:
        """Takes a run that succeeded although another one has been ordered, or is recorded, since.

        Its worker may have been taken to be lost, or its record may have been unreadable. The other
        run is stopped, and not begun if its order has not been sent.
        """
        task = step.tasks[end.task.index]
        if workflow.is_terminal or step.spec.long_running or task.status == DONE:
            return
        self._log_task(end.task, "an earlier run has succeeded", run=end.run, last_run=task.run)
        indexes = range(len(step.tasks)) if step.spec.gang else [end.task.index]
        for index in indexes:
            link = self.links.get(step.tasks[index].worker)
            if step.tasks[index].status == ORDERED and link is not None:
                link.stop_task(end.task._replace(index=index))
        task.run = max(task.last_run, end.run)
        self._finish_task(workflow, step, end.task, (end.run, ""))

    def _keep_checkpoint(self, end: EndedRun, task: TaskState) -> None:
        """Keeps the checkpoint of a run, or the one before it if it is too large to be recorded."""
        if fits_checkpoint(end.checkpoint):
            task.checkpoint = end.checkpoint
        elif end.task.workflow not in self._large_checkpoints:
            self._large_checkpoints.add(end.task.workflow)
            self._log_task(
                end.task,
                "checkpoint is too large to be recorded; keeping the one before it",
                characters=len(end.checkpoint),
                limit_bytes=MAX_CHECKPOINT_BYTES,
            )

    def _finish_task(
        self, workflow: WorkflowState, step: StepState, name: TaskName, winner: tuple[int, str]
    ) -> None:
        self._copies.finish(workflow, name, step.tasks[name.index], winner)
        indexes = range(len(step.tasks)) if step.spec.gang else [name.index]
        for task in (step.tasks[index] for index in indexes):
            if task.status != DONE:
                task.status = DONE
                task.losses = ()
                step.done_count += 1
        self._record_tasks(workflow, step, indexes)
        if workflow.identifier in self._isolation:
            self._isolation.update(workflow)
        if step.is_done:
            self._open_steps.pop((workflow.identifier, step.occurrence, step.number), None)
            for other in workflow.steps.values():
                if step.number in other.spec.after:
                    self._open_step(workflow, other)
            if not workflow.is_terminal and workflow.is_complete():
                self._end_workflow(workflow, COMPLETED, "all tasks are done")
        self._wake.set()

    def _lose_run(
        self,
        found: tuple[WorkflowState, StepState, TaskState],
        name: TaskName,
        run: int,
        why: str,
    ) -> None:
        """Resets a task one of whose runs has ended without success, unless it has another run."""
        if not self._copies.keep_other(found[0], found[1], name, run, why):
            self._reset_task(*found, name, why)

    def _reset_task(
        self, workflow: WorkflowState, step: StepState, task: TaskState, name: TaskName, why: str
    ) -> None:
        task.status = WAITING
        self._record_tasks(workflow, step, [name.index])
        if step.spec.gang:
            self._stop_gang(step, name)
        if not workflow.is_terminal:
            message = f"task reset: {why}"
            self._log_task(name, message, run=task.run, worker=task.worker, failures=task.failures)
            self._open_step(workflow, step)
            self._wake.set()

    def _stop_gang(self, step: StepState, name: TaskName) -> None:
        """Stops the other tasks of a gang, which would wait for the missing one."""
        for index, task in enumerate(step.tasks):
            link = self.links.get(task.worker)
            if task.status == ORDERED and link is not None:
                link.stop_task(name._replace(index=index))

    def _find_task(self, name: TaskName) -> tuple[WorkflowState, StepState, TaskState] | None:
        workflow = self.workflows.get(name.workflow)
        found = workflow and workflow.find_task(name)
        return (workflow, *found) if found else None

    def _describe_step(self, name: TaskName) -> dict[str, Any]:
        """Describes for the log what keeps the step of a waiting task from being placed."""
        key = name[:3]
        state = {
            "open": key in self._open_steps,
            "suspended": key in self._suspended_steps,
            **self._planner.describe_step(name),
            "pending_starts": self._pending_starts,
            "store_stalled": self.ledger.is_stalled,
        }
        workflow = self.workflows.get(name.workflow)
        if workflow is not None and workflow.spec.advice is not None:
            state |= self._advisor.describe(key)
        if workflow is not None and self._cap_shares.is_waiting(workflow.account):
            state |= self._cap_shares.describe(workflow.account)
        return state

    def _log_task(self, name: TaskName, message: str, **fields: Any) -> None:
        task = f"{name.workflow}.{name.occurrence}.{name.step}.{name.index}"
        logger.info(message, extra={"fields": {"task": task, "epoch": self.fence} | fields})

    # -- records ---------------------------------------------------------------------------------

    def _record_tasks(
        self, workflow: WorkflowState, step: StepState, indexes: Iterable[int]
    ) -> None:
        if not workflow.is_terminal:
            for key, encode in self._list_step_records(workflow, step, indexes):
                self.ledger.mark_dirty(key, encode)
            self._starts.note_recorded((workflow.identifier, step.occurrence, step.number))

    def _list_step_records(
        self, workflow: WorkflowState, step: StepState, indexes: Iterable[int]
    ) -> list[tuple[str, Callable[[], bytes]]]:
        limit = self.ledger.max_record_bytes
        part_tasks = count_part_tasks(limit)
        # Hosts of an earlier version read no parts, and may own the partition next.
        if part_tasks < len(step.tasks) and self._has_former_hosts() and _fits_whole(step, limit):
            part_tasks = len(step.tasks)
        return list(workflow.list_step_records(step, indexes, part_tasks))

    def _record_whole_steps(self) -> None:
        """Records each wide step as a whole, for an owner of an earlier version."""
        limit = self.ledger.max_record_bytes
        for workflow in self.workflows.values():
            for step in () if workflow.is_terminal else workflow.steps.values():
                is_wide = len(step.tasks) > count_part_tasks(limit)
                if is_wide and any(task.run for task in step.tasks) and _fits_whole(step, limit):
                    self.ledger.mark_dirty(workflow.step_key(step), step.encode)

    def _is_recorded(self, name: TaskName) -> bool:
        """Returns whether the flushed state of a task is durable."""
        if not self.ledger.has_refused_records:
            return True
        found = self._find_task(name)
        if found is None or found[0].is_terminal:
            return True
        workflow, step, _ = found
        keys = [key for key, _ in self._list_step_records(workflow, step, [name.index])]
        return self.ledger.is_durable(keys)

    def are_recorded(self, tasks: Iterable[TaskName]) -> bool:
        """Returns whether the flushed ends of runs are durable."""
        return all(self._is_recorded(task) for task in tasks)

    def _end_workflow(self, workflow: WorkflowState, state: str, why: str) -> None:
        """Records the end of a workflow and stops its running tasks."""
        workflow.note_remaining(self._unix_ms())
        workflow.state = state
        workflow.ended = self._now()
        self._advisor.forget_workflow(workflow.identifier)
        self._large_checkpoints.discard(workflow.identifier)
        self._deferrals.end_workflow(workflow.identifier)
        self._isolation.update(workflow)
        self.ledger.mark_dirty(workflow.key(), workflow.encode)
        for step in workflow.steps.values():
            self._open_steps.pop((workflow.identifier, step.occurrence, step.number), None)
            started = [index for index, task in enumerate(step.tasks) if task.run]
            if started:
                # A wide step may have been recorded as a whole as well as in parts.
                self.ledger.mark_dirty(workflow.step_key(step), bytes)
            part_tasks = count_part_tasks(self.ledger.max_record_bytes)
            for key, _ in workflow.list_step_records(step, started, part_tasks):
                self.ledger.mark_dirty(key, bytes)
        start_in_background(self._publish_state(workflow, state))
        for name, _, worker in workflow.iterate_ordered_runs():
            link = self.links.get(worker)
            if link is not None:
                link.stop_task(name)
        self._copies.end_workflow(workflow)
        late = self._now() - self._deadlines.pop(workflow.identifier, math.inf)
        duration = timedelta(seconds=workflow.ended - workflow.submitted)
        self._metrics.workflows.labels(workflow.spec.service, state, str(late <= 0)).inc()
        self._metrics.duration.observe(workflow.spec.service, duration)
        logger.info(
            "workflow ended",
            extra={
                "fields": {
                    "workflow": workflow.identifier,
                    "state": state,
                    "why": why,
                    "seconds": round(workflow.ended - workflow.submitted, 3),
                    "late_seconds": round(late, 3) if late > 0 else 0,
                }
            },
        )

    async def _publish_state(self, workflow: WorkflowState, state: str) -> None:
        """Makes a state visible to callers once it is durable."""
        try:
            await self.ledger.flush()
        except OwnershipLost:
            return
        workflow.durable_state = state

    def _expire_entries(self) -> None:
        """Removes what has been kept for its time: ended workflows and attempts to submit."""
        now = self._now()
        keep = self._settings.status_seconds + STATUS_MARGIN_SECONDS
        for identifier, workflow in list(self.workflows.items()):
            if workflow.is_terminal and now - workflow.ended > keep:
                del self.workflows[identifier]
                self.ledger.mark_dirty(identifier, bytes)
        self._admissions.expire()

    # -- callers ---------------------------------------------------------------------------------

    async def submit(
        self, spec: Workflow, queue: QueueVersion | None = None, account: str = ""
    ) -> Reply:
        """Accepts a workflow, answering once it is recorded, or rejects it at once.

        ``queue`` is the queue as the entry host knows it, None from a host of an earlier version;
        ``account`` the client account of the caller, empty for none.
        """
        if not self.loaded or self.lost:
            return Reply(UNREADY)
        known = self.workflows.get(spec.identifier)
        if known is None:
            if queue is not None and self._has_moved(spec, queue):
                return Reply(MOVED)
            limit = self.ledger.max_record_bytes - MAX_KEY_BYTES
            if len(WorkflowState(spec, 0.0, self._unix_ms()).encode()) > limit:
                return Reply(TOO_LARGE, f"its record exceeds {limit} bytes")
            if self.ledger.is_stalled:
                return Reply(REJECTED, "the store does not answer", 1.0)
            if not self._has_discovered_workers(spec.service):
                return Reply(UNREADY)
            admission = self._admissions.decide(spec, account, self.fence)
            if admission.rejection is not None:
                return admission.rejection
            known = WorkflowState(spec, admission.first_attempt_at, self._unix_ms(), account)
            known.beyond_weight = admission.beyond_weight
            self.workflows[spec.identifier] = known
            self._set_deadline(known)
            self.ledger.mark_dirty(known.key(), known.encode)
            try:
                await self.ledger.flush()
            except OwnershipLost:
                return Reply(UNKNOWN_OUTCOME)
            if not self.ledger.is_durable([known.key()]):
                return self._withdraw(known)
            if not known.durable_state:
                known.durable_state = QUEUED
            if not known.is_terminal:
                for step in known.steps.values():
                    self._open_step(known, step)
                self._wake.set()
        elif not known.durable_state:
            try:
                await self.ledger.flush()
            except OwnershipLost:
                return Reply(UNKNOWN_OUTCOME)
            if not self.ledger.is_durable([known.key()]):
                return Reply(TOO_LARGE, "the store refuses its record")
        return Reply(ACCEPTED)

    def _has_moved(self, spec: Workflow, queue: QueueVersion) -> bool:
        """Returns whether a queue has moved away since the version by which it was submitted to.

        Either an entry host that knows the move has asked for a workflow here, or this process
        knows it.
        """
        moved_by = self._moved_queues.find_version(queue)
        present = self._discovery.find_route(queue)
        is_elsewhere = present is not None and present.service != spec.service
        if queue.version >= moved_by and not is_elsewhere:
            return False
        self._metrics.submissions.labels(spec.service, "moved").inc()
        logger.info(
            "submission refused: its queue has moved to another service",
            extra={
                "fields": {
                    "workflow": spec.identifier,
                    "service": spec.service,
                    "version": queue.version,
                    "moved_by": moved_by,
                    "present_version": present.version if present is not None else None,
                    "epoch": self.fence,
                }
            },
        )
        return True

    async def confirm_absence(self, query: AbsenceQuery) -> Reply:
        """Answers whether a workflow is known; if not, it is not accepted by earlier versions.

        The answer that it is not known is given once that is durable.
        """
        reply = await self.read_state(query.workflow)
        if reply.outcome != ABSENT:
            return reply
        key = self._moved_queues.record(query.queue)
        try:
            await self.ledger.flush()
        except OwnershipLost:
            return Reply(UNREADY)
        return reply if self.ledger.is_durable([key]) else Reply(UNREADY)

    def _withdraw(self, workflow: WorkflowState) -> Reply:
        """Rejects a workflow that the store refused to record, although it is not too large."""
        del self.workflows[workflow.identifier]
        self._deadlines.pop(workflow.identifier, None)
        self.ledger.mark_dirty(workflow.key(), bytes)
        return Reply(TOO_LARGE, "the store refuses its record")

    def _has_discovered_workers(self, service: str) -> bool:
        """Returns whether the workers of a service have been discovered since the takeover."""
        return (
            any(link.entry.service == service for link in self.links.values())
            or self._now() - self._loaded_at > WORKER_DISCOVERY_SECONDS
        )

    def _set_deadline(self, workflow: WorkflowState) -> None:
        self._deadlines[workflow.identifier] = (
            workflow.submitted + self._runtimes.estimate_objective_seconds(workflow.spec)
        )

    async def read_state(self, identifier: str) -> Reply:
        """Returns the state of a workflow as far as it is durable."""
        if not self.loaded or self.lost:
            return Reply(UNREADY)
        workflow = self.workflows.get(identifier)
        if workflow is None:
            return Reply(ABSENT)
        if not workflow.durable_state:
            return Reply(UNREADY)
        state = workflow.durable_state
        if state == QUEUED and workflow.has_started and not workflow.is_terminal:
            state = RUNNING
        return Reply(FOUND, state)

    async def cancel(self, identifier: str) -> Reply:
        """Cancels a workflow; answers once the cancellation is durable."""
        if not self.loaded or self.lost:
            return Reply(UNREADY)
        workflow = self.workflows.get(identifier)
        if workflow is None:
            # A later owner may have accepted the workflow; an append shows whether there is one.
            self.ledger.mark_dirty(PROBE_KEY, bytes)
        elif not workflow.is_terminal:
            self._end_workflow(workflow, CANCELLED, "cancelled by its caller")
        try:
            await self.ledger.flush()
        except OwnershipLost:
            return Reply(UNREADY if workflow is None else UNKNOWN_OUTCOME)
        return Reply(ACCEPTED if workflow is not None else ABSENT)

    async def count_pending(self, queue: str) -> Reply:
        """Returns the number of accepted workflows of a queue that have not started."""
        if not self.loaded or self.lost:
            return Reply(UNREADY)
        count = sum(
            workflow.spec.queue == queue
            and not workflow.is_terminal
            and not workflow.has_started
            and bool(workflow.durable_state)
            for workflow in self.workflows.values()
        )
        return Reply(FOUND, count)

    # -- fleet -----------------------------------------------------------------------------------

    async def report_load(self, upcoming: dict[str, float]) -> Reply:
        """Returns the load of the partition's services.

        Parameters
        ----------
        upcoming : dict of str to float
            Cores that each service may get soon, which admission counts.
        """
        if not self.loaded or self.lost:
            return Reply(UNREADY)
        self._demand.upcoming_cores = upcoming
        loads = [self._demand.measure_load(name) for name in self._list_services()]
        return Reply(FOUND, [encode_load(load) for load in loads])

    async def cordon(self, argument: list) -> Reply:
        """Cordons a worker and moves its long-running tasks elsewhere, within the steps' limits.

        Answers with the worker's load once the cordon is durable.

        Parameters
        ----------
        argument : list
            Worker, and the time in seconds after which the cordon ends unless it is renewed.
        """
        worker, seconds = argument
        if not self.loaded or self.lost:
            return Reply(UNREADY)
        link = self.links.get(worker)
        if link is None or link.is_unresponsive or not link.capacity.expected and not link.cordoned:
            return Reply(ABSENT)
        link.cordon(self._now() + seconds)
        recorded_seconds = self._cordons.extend(worker, seconds)
        if recorded_seconds:
            try:
                await self.ledger.flush()
            except OwnershipLost:
                return Reply(UNREADY)
            if not self.ledger.is_durable([CORDON_PREFIX + worker]):
                return Reply(UNREADY)
            self._cordons.note_durable(worker, recorded_seconds)
        self._departures.evacuate(link, self.fence)
        return Reply(ACCEPTED, self._demand.describe_worker(link))

    async def uncordon(self, worker: str) -> Reply:
        """Ends the cordon of a worker."""
        self._cordons.end(worker)
        link = self.links.get(worker)
        if link is not None:
            link.cordon(0.0)
            self._wake.set()
        return Reply(ACCEPTED)

    def _restore_cordon(self, link: WorkerLink) -> None:
        """Applies a cordon that an earlier owner recorded."""
        until = self._cordons.find_end(link.worker)
        if until is not None:
            link.cordon(until)

    # -- planning --------------------------------------------------------------------------------

    def _open_step(self, workflow: WorkflowState, step: StepState) -> None:
        if step.is_done or workflow.is_terminal or not workflow.is_ready(step):
            return
        self._open_steps[workflow.identifier, step.occurrence, step.number] = step
        self._copies.watch(workflow, step)

    @supervised_task
    async def _plan_repeatedly(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(PLAN_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await self._clock.sleep(PLAN_DELAY)
            self._wake.clear()
            if self.loaded and not self.lost and not self.ledger.is_stalled:
                self._plan()

    def _plan(self) -> None:
        """Places the waiting tasks on workers, the most urgent first, and orders their starts."""
        orders: list[tuple[WorkerLink, TaskName, StartOrder]] = []
        try:
            for placement in self._planner.place_tasks(MAX_PENDING_STARTS - self._pending_starts):
                orders += self._order_placement(placement)
            self._drivers.note_plan()
        finally:
            # An error that ends the plan leaves the orders before it valid and recorded.
            if orders:
                self._start_sending(orders)

    def _order_placement(
        self, placement: StepPlacement
    ) -> list[tuple[WorkerLink, TaskName, StartOrder]]:
        """Creates and records the start orders of one step; none if an unexpected error occurs."""
        workflow, step = placement.workflow, placement.step
        orders: list[tuple[WorkerLink, TaskName, StartOrder]] = []
        try:
            for capacity, name in placement.chosen:
                ticket = placement.tickets.get(capacity.entry.worker, "")
                orders.append(
                    self._create_order(workflow, step, capacity, name, placement.gang_run, ticket)
                )
            self._record_tasks(workflow, step, [name.index for _, name in placement.chosen])
            self._log_orders(placement)
        except Exception:
            unexpected_errors.count += 1
            logger.exception(
                "unexpected error while the tasks of a step were ordered",
                extra={"fields": {"workflow": workflow.identifier, "step": step.number}},
            )
            _abandon_orders(orders)
            ordered = {name for _, name, _ in orders}
            for capacity, name in placement.chosen:
                if name not in ordered:
                    capacity.release(name)
            return []
        return orders

    def _start_sending(self, orders: list[tuple[WorkerLink, TaskName, StartOrder]]) -> None:
        self._pending_starts += len(orders)
        start_in_background(self._send_orders(orders), lambda: _abandon_orders(orders))

    def _log_orders(self, placement: StepPlacement) -> None:
        workflow, step = placement.workflow, placement.step
        placed: dict[str, list[int]] = {}
        for capacity, name in placement.chosen:
            placed.setdefault(capacity.entry.worker, []).append(name.index)
        now = self._now()
        logger.info(
            "tasks ordered",
            extra={
                "fields": {
                    "workflow": workflow.identifier,
                    "occurrence": step.occurrence,
                    "step": step.number,
                    "workers": placed,
                    "still_waiting": placement.still_waiting,
                    "due_in_seconds": round(self._deadlines.get(workflow.identifier, now) - now, 3),
                    "epoch": self.fence,
                }
            },
        )

    def _create_order(
        self,
        workflow: WorkflowState,
        step: StepState,
        capacity: WorkerCapacity,
        name: TaskName,
        gang_run: int,
        ticket: str,
    ) -> tuple[WorkerLink, TaskName, StartOrder]:
        task = step.tasks[name.index]
        link = self.links[capacity.entry.worker]
        task.begin_run(gang_run or task.last_run + 1, link.worker)
        link.orders[name] = Order(task.run, SENDING, 0, self._now())
        self._known_workers.record(link.entry)
        checkpoint = task.checkpoint if step.spec.checkpointing else ""
        return link, name, StartOrder(task.run, workflow.spec.spec, checkpoint, ticket)

    async def _send_orders(self, orders: list[tuple[WorkerLink, TaskName, StartOrder]]) -> None:
        """Sends start orders once they are recorded durably."""
        sending = 0
        try:
            await self.ledger.flush()
            for link, name, order in orders:
                if self._may_start(link, name, order.run):
                    start_in_background(
                        self._send_order(link, name, order),
                        partial(link.abandon_sending, name, order.run),
                    )
                    sending += 1
        except OwnershipLost:
            return
        finally:
            self._settle_starts(len(orders) - sending)

    def _may_start(self, link: WorkerLink, name: TaskName, run: int) -> bool:
        """Returns whether a recorded start order is to be sent; otherwise it is dropped."""
        found = self._find_task(name)
        if found is None or found[0].is_terminal or self.lost:
            link.capacity.release(name)
            link.orders.pop(name, None)
            return False
        if not found[2].has_run(run, link.worker):
            # The link was closed meanwhile, and the task has been ordered elsewhere, or the other
            # run of the task has succeeded.
            if name in link.orders and link.orders[name].run == run:
                link.capacity.release(name)
                del link.orders[name]
            return False
        if not self._is_recorded(name):
            self._suspend_order(link, name)
            return False
        return True

    async def _send_order(self, link: WorkerLink, name: TaskName, order: StartOrder) -> None:
        try:
            await link.start_task(name, order)
        finally:
            self._settle_starts(1)

    def _settle_starts(self, count: int) -> None:
        """Counts start orders whose outcome is known, or not going to be known soon."""
        was_busy = self._pending_starts > MAX_PENDING_STARTS // 2
        self._pending_starts -= count
        if was_busy and self._pending_starts <= MAX_PENDING_STARTS // 2:
            self._wake.set()

    def _suspend_order(self, link: WorkerLink, name: TaskName) -> None:
        """Drops an order that could not be recorded; its step waits until its record is written."""
        workflow, step, task = self._find_task(name)
        link.capacity.release(name)
        order = link.orders.pop(name, None)
        run = order.run if order is not None else task.run
        if self._copies.keep_other(workflow, step, name, run, "it could not be recorded"):
            return
        task.status = WAITING
        key = (workflow.identifier, step.occurrence, step.number)
        self._open_steps.pop(key, None)
        self._suspended_steps[key] = (workflow, step, name.index)

    def _resume_steps(self) -> None:
        """Opens the steps whose records have been written after all."""
        for key, (workflow, step, index) in list(self._suspended_steps.items()):
            if self._is_recorded(TaskName(*key, index)):
                del self._suspended_steps[key]
                self._open_step(workflow, step)
                self._wake.set()

    async def on_stop(self) -> None:
        self.lost = True
        self._waits.clear()
        self._short_waits.clear()
        self._drivers.clear()
        self._unused_workers.clear()
        self._wake.set()
        for link in self.links.values():
            link.closed = True


def _abandon_orders(orders: list[tuple[WorkerLink, TaskName, StartOrder]]) -> None:
    """Leaves it to the workers' reports whether the runs of some start orders exist."""
    for link, name, order in orders:
        link.abandon_sending(name, order.run)


def _fits_whole(step: StepState, limit: int) -> bool:
    """Returns whether all tasks of a step fit into one record."""
    return len(step.encode()) <= limit - MAX_KEY_BYTES
