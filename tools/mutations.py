"""Mutation test: disables one guard at a time and lists the scenarios that fail without it.

``python tools/mutations.py`` writes docs/mutations.md; ``--run NAME`` runs the scenarios with one
guard disabled.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import json
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import msgspec
from behave.__main__ import main as run_behave

from carawayd import unreadable
from carawayd.partition import (
    advisor,
    contactloss,
    cordons,
    deferrals,
    demand,
    departures,
    isolation,
    knownworkers,
    leases,
    ledger,
    losses,
    movedqueues,
    owner,
    planner,
    starts,
    workerlink,
)
from carawayd.partition import claims as room_claims
from carawayd.platform import common, documents
from carawayd.process import (
    discovery,
    exchange,
    fleet,
    fleetmanager,
    keys,
    machineorders,
    membership,
    ownercalls,
    streams,
    tasks,
)
from carawayshore import assignment, claims, decoding, fold, records
from carawayshore import keys as key_rules
from carawayshore import membership as members
from carawayshore.workflows import advice, placement, pools, state

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "mutations.md"
# Features that guard the embedded mode, the owners of the platform mode, and its entry hosts.
EMBEDDED = ("log_order", "at_most_once", "fleet", "log_property")
OWNERS = ("owner_workers", "owner_property", "fleet_manager")
CRASHES = ("worker_crashes",)
HANDOVERS = ("handover",)
PENDING_JOBS = ("pending_jobs",)
CAPACITIES = ("worker_capacity", "owner_property")
RESTARTS = ("long_running_restart",)
LEDGERS = ("ledger", "owner_property")
DOCUMENTS = ("malformed_documents",)
# What drives the waits of long-running tasks without a worker (docs/incidents/020).
PLACES = ("pool_width", "displaced_elsewhere", "workflow_decisions")
LEASES = ("late_starts",)
# Calls by the clock of a former life of a worker, moves of queues, and placement tickets.
LIVES = ("former_clock",)
QUEUE_MOVES = ("queue_moves",)
TICKETS = ("placement_tickets",)
DEPARTURES = ("displaced_tasks",)
POOL_MOVES = ("pool_moves",)
ENTRY_HOSTS = ("platform",)
FEATURES = tuple(
    dict.fromkeys(
        (
            *EMBEDDED,
            *OWNERS,
            *CRASHES,
            *RESTARTS,
            *CAPACITIES,
            *LEDGERS,
            *DOCUMENTS,
            *PLACES,
            *LIVES,
            *QUEUE_MOVES,
            *TICKETS,
            *POOL_MOVES,
            *ENTRY_HOSTS,
        )
    )
)
PARALLEL_MUTATIONS = 3
RUN_TIMEOUT_SECONDS = 600


class Mutation(NamedTuple):
    """A disabled guard and the features that are run without it."""

    guard: str
    disable: Callable[[], None]
    features: tuple[str, ...]


_mutations: dict[str, Mutation] = {}


def mutation(guard: str, features: tuple[str, ...] = EMBEDDED):
    """Registers a function that disables the guard; its name and ``guard`` appear on the page."""

    def register(function: Callable[[], None]) -> Callable[[], None]:
        _mutations[function.__name__] = Mutation(guard, function, features)
        return function

    return register


@mutation("a grant needs the last settled view to agree")
def grant_by_view() -> None:
    keys.may_grant = lambda key, state, member, incarnation: (
        key_rules.choose_owner(key, state.view) == (member, incarnation)
    )


@mutation("a grant needs a second holder while the log is down")
def grant_without_copy() -> None:
    async def copy(self, key, holder) -> bool:
        return True

    keys.KeyOwner._replicate_grant = copy


@mutation("no later offset is reported while grants are not in the log")
def report_at_once() -> None:
    original = membership.Membership._update_reported_offset

    def note(self) -> None:
        self.has_unlogged_grants = lambda: False
        original(self)

    membership.Membership._update_reported_offset = note


@mutation("two crashes before a view has settled bring a quarantine")
def skip_quarantine() -> None:
    keys.KeyOwner._is_quarantined = lambda self: False


@mutation("a claim is taken over only after its lifetime")
def take_early() -> None:
    original = claims.ClaimHolder.next_record

    def next_record(self):
        self._unchanged_since = timedelta(days=-1)
        return original(self)

    claims.ClaimHolder.next_record = next_record


@mutation("a claim is valid from the sending of its renewal")
def count_from_reading() -> None:
    original = claims.ClaimHolder.observe

    def observe(self, state) -> None:
        before = self._last_claim
        original(self, state)
        if self._last_claim != before and self._is_mine(self._last_claim):
            self._valid_until = self._clock.elapsed() + self._settings.lifetime

    claims.ClaimHolder.observe = observe


@mutation("a drain waits until every member has applied it")
def drain_without_barrier() -> None:
    async def wait(self, host) -> None:
        """Returns immediately."""

    fleet.FleetController._wait_for_barrier = wait


@mutation("a view settles only when every member has applied it")
def settle_at_once() -> None:
    members.Barrier.is_complete = lambda self, state, offset: True


@mutation("a repeated append has no second effect")
def fold_duplicates() -> None:
    original = fold.apply_record

    def apply_record(state, offset, item):
        state.producers.pop(item.producer, None)
        return original(state, offset, item)

    streams.apply_record = fold.apply_record = apply_record


@mutation("records of ended processes are rejected")
def accept_ended_producers() -> None:
    fold._is_current_producer = lambda state, item: True


@mutation("a configuration is published on condition of its base version")
def publish_unconditionally() -> None:
    def publish(state, offset, item):
        version = state.configuration.version + 1
        state.configuration = fold.ConfigurationVersion(version, item.body.document, "")
        return fold.ACCEPTED

    fold._handlers[records.ConfigurationPublished] = publish


@mutation("changes of hosts carry the fence of the claim")
def ignore_fences() -> None:
    assignment.is_current_fence = lambda state, claim, fence: True


@mutation("a key that was granted is not granted again")
def grant_again() -> None:
    def grant(state, offset, item):
        state.keys[item.body.key] = fold.KeyGrant(*item.body[1:], offset)
        return fold.ACCEPTED

    fold._handlers[records.KeyGranted] = grant


@mutation("a join needs a greater incarnation")
def join_in_any_order() -> None:
    def join(state, offset, item):
        body = item.body
        state.members[body.member] = fold.Member(
            body.incarnation, body.caller_address, body.peer_address, joined=offset
        )
        members._change_view(state, offset)
        return fold.ACCEPTED

    fold._handlers[records.MemberJoined] = join


@mutation("a run that the ledger does not show keeps its resources", OWNERS)
def reserve_nothing() -> None:
    def handle(self, task, run, now) -> None:
        if task not in self.orders and self._owner.adopt_if_ordered(task, run, self.worker):
            self.orders[task] = workerlink.Order(run, workerlink.STARTED, 0, now)
        else:
            asyncio.ensure_future(self._send_stop(task, run))

    workerlink.WorkerLink._handle_unordered_run = handle


@mutation("a worker with a run of unknown size gets no tasks", OWNERS)
def assume_small() -> None:
    original = owner.PartitionOwner.find_usage
    smallest = placement.Usage(0, 0, 0, ("", 0, 0), False, False, False)
    owner.PartitionOwner.find_usage = lambda self, task: original(self, task) or smallest


@mutation("the end of an earlier run releases nothing", OWNERS)
def release_at_any_end() -> None:
    original = owner.PartitionOwner.handle_end

    def handle_end(self, link, end, seconds) -> None:
        link.capacity.release(end.task)
        original(self, link, end, seconds)

    owner.PartitionOwner.handle_end = handle_end


@mutation("a worker gets tasks by the entry of its present start only", OWNERS)
def trust_any_entry() -> None:
    original = workerlink.WorkerLink._update_capacity

    def update_capacity(self) -> None:
        original(self)
        unknown = any(key not in self.capacity.usages for key in self.unordered_runs)
        self.capacity.usable = self.capacity.expected and self._is_reconciled and not unknown

    workerlink.WorkerLink._update_capacity = update_capacity


@mutation("a worker gets tasks only once its runs are known", OWNERS)
def use_before_report() -> None:
    original = workerlink.WorkerLink._update_capacity

    def update_capacity(self) -> None:
        self._is_reconciled = True
        original(self)

    workerlink.WorkerLink._update_capacity = update_capacity


@mutation("a worker is asked before an order if its last report is old", OWNERS)
def send_unasked() -> None:
    async def ensure(self) -> bool:
        return self.capacity.usable

    workerlink.WorkerLink._ensure_recent_report = ensure


@mutation("a start order counts as a renewal of the lease", OWNERS)
def ignore_start_leases() -> None:
    original = workerlink.WorkerLink.start_task

    async def start_task(self, task, order) -> None:
        before = self.leases._expiry_ms
        await original(self, task, order)
        self.leases._expiry_ms = before

    workerlink.WorkerLink.start_task = start_task


@mutation("a lease that the answer to a start order shows to be longer is waited for", OWNERS)
def trust_answers_to_orders() -> None:
    workerlink.WorkerLink._may_have_restarted = lambda self, clock_ms: False


@mutation("leases that a former clock has given are waited for after a restart", LIVES)
def ignore_former_clocks() -> None:
    original = leases.LeaseBound.begin_incarnation

    def begin_incarnation(self, incarnation, asked_at) -> None:
        original(self, incarnation, asked_at)
        self._former_until = 0.0

    leases.LeaseBound.begin_incarnation = begin_incarnation


@mutation("leases by the former clocks of earlier owners are waited for", LIVES)
def ignore_former_clocks_of_earlier_owners() -> None:
    def count_earlier_owners(self, now, clock_ms, recorded) -> None:
        self.extend(clock_ms + self._lease_ms, leases.FIRST_REPORT)

    leases.LeaseBound.count_earlier_owners = count_earlier_owners


@mutation("a recorded lease counts for the incarnation that was ordered only", LIVES)
def trust_recorded_leases() -> None:
    def find_recorded_lease(self, worker, born) -> float | None:
        return self._contact_loss.find_lease_left(worker)

    owner.PartitionOwner.find_recorded_lease = find_recorded_lease


@mutation("a lease is renewed by a recent clock of the worker only", LIVES)
def renew_by_old_clocks() -> None:
    workerlink.MAX_CLOCK_AGE_SECONDS = 10.0


@mutation("a report that was read late tells no recent clock", OWNERS)
def trust_late_reports() -> None:
    original = workerlink.WorkerLink._process_report

    async def process(self, report) -> None:
        self._report_due_at = float("inf")
        await original(self, report)

    workerlink.WorkerLink._process_report = process


@mutation("a run that the next incarnation lists did not crash the former one", LIVES)
def blame_next_runs() -> None:
    workerlink.WorkerLink._list_runs_before = lambda self, report: self._list_runs()


@mutation("a former owner that was asked about a workflow refuses earlier versions", QUEUE_MOVES)
def forget_questions() -> None:
    movedqueues.MovedQueues.find_version = lambda self, queue: 0


@mutation("the successor of an owner that was asked refuses earlier versions", QUEUE_MOVES)
def forget_questions_at_takeover() -> None:
    movedqueues.MovedQueues.restore = lambda self, key, value: None


@mutation("an owner refuses submissions by versions that it knows to be over", QUEUE_MOVES)
def ignore_own_configuration() -> None:
    discovery.Discovery.find_route = lambda self, queue: None


@mutation("a request for tickets names as many workers as their lifetime allows", TICKETS)
def name_twelve_workers() -> None:
    advisor.choose_first = lambda config: advice.FIRST_WORKERS


@mutation("a ticket is used while it may be valid", TICKETS)
def use_certain_tickets() -> None:
    advice.Answer.use_until = property(
        lambda self: self.asked_at + self.valid_seconds * advice.CERTAIN_SHARE
    )


@mutation("a refused ticket makes the next request name fewer workers", TICKETS)
def repeat_request() -> None:
    advisor.choose_after_expiry = lambda named: named


@mutation("an answer that allows no worker makes the next request name more", TICKETS)
def name_as_many_again() -> None:
    advisor.choose_next = lambda config, named, *, has_allowed: named


@mutation("tickets of a restarted worker are not used", TICKETS)
def keep_tickets_of_former_incarnations() -> None:
    advisor.Advisor.forget_worker = lambda self, worker: None


@mutation("failed requests for tickets are repeated after a delay", TICKETS)
def repeat_failed_requests_at_once() -> None:
    advisor.Advisor._delay_retry = lambda self: None


@mutation("an earlier owner's renewals are waited for", OWNERS)
def ignore_earlier_leases() -> None:
    contactloss.LeaseBounds.longest = property(lambda self: self.lease_seconds)


@mutation("silence is measured without the time of day", OWNERS)
def measure_by_time_of_day() -> None:
    contactloss.ContactLoss._now = lambda self: self._clock.now().timestamp()


@mutation("cordons end without the time of day", OWNERS)
def end_cordons_by_time_of_day() -> None:
    cordons.Cordons._now = lambda self: self._clock.now().timestamp()


@mutation("a worker that cannot be reached keeps its runs", OWNERS)
def give_up_unreached() -> None:
    original = workerlink.WorkerLink._handle_poll_failure

    async def handle(self, error) -> None:
        for task, order in list(self.orders.items()):
            self._report_missing(task, order, error)
        await original(self, error)

    workerlink.WorkerLink._handle_poll_failure = handle


@mutation("a new holder waits before it orders what its predecessor ordered", OWNERS)
def order_at_once() -> None:
    machineorders.MachineOrders.is_blocked = lambda self, machine: False


@mutation("an order without a response may still be executed", OWNERS)
def settle_unanswered() -> None:
    machineorders.MachineOrders._is_unanswered = lambda self, machine: False


@mutation("a call is not sent once its permission has ended", ENTRY_HOSTS)
def send_without_permission() -> None:
    async def send(self, conn):
        return await super(common._GuardedRequest, self).send(conn)

    common._GuardedRequest.send = send


@mutation("a submission that arrives too late does not run", ENTRY_HOSTS)
def run_late_calls() -> None:
    exchange.PeerRpc._is_expired = lambda self, process, seconds: False


@mutation("a task that crashes its workers is given up", CRASHES)
def never_give_up() -> None:
    losses.should_give_up = lambda _: False


@mutation("a task counts as the cause of crashes only if it was suspected", CRASHES)
def count_all_losses() -> None:
    losses.should_give_up = lambda found: len(found) >= 2


@mutation("a suspected task starts on a worker of its own", CRASHES)
def start_suspects_anywhere() -> None:
    isolation.Isolation.select = lambda self, subject, step, usage, capacities: capacities


@mutation("suspected long-running tasks do not wait for each other", CRASHES)
def isolate_by_workflow() -> None:
    original = isolation.Isolation.select

    def select(self, subject, step, usage, capacities):
        return original(self, deferrals.get_workflow(subject), step, usage, capacities)

    isolation.Isolation.select = select


@mutation("precautions keep a task from starting for a limited time", RESTARTS)
def defer_forever() -> None:
    deferrals.Deferrals.is_over = lambda self, subject: False


@mutation("room is kept for a large task that short ones would keep from starting", RESTARTS)
def keep_no_room() -> None:
    planner.Planner._keep_room = lambda self, key, step, waiting, capacities: None


@mutation("an owner writes a record before it renews a lease", HANDOVERS)
def renew_without_record() -> None:
    async def announce(self) -> None:
        self._has_written = True

    owner.PartitionOwner._announce = announce


@mutation("how long leases last is no longer recorded once they are renewed", HANDOVERS)
def keep_record_of_leases() -> None:
    contactloss.ContactLoss.end = lambda self, worker: self._losses.pop(worker, None) and None


@mutation("an owner that hands over records how long its leases last", HANDOVERS)
def record_expired_leases() -> None:
    original = contactloss.ContactLoss.record_lease
    contactloss.ContactLoss.record_lease = lambda self, worker, _: original(self, worker, 0.0)


@mutation("a start order whose run is to stop is not sent", ("unsent_orders",))
def send_order_of_stopped_run() -> None:
    original = workerlink.WorkerLink.stop_task

    def stop_task(self, task) -> None:
        order = self.orders.get(task)
        if order is not None and order.may_have_started:
            original(self, task)

    workerlink.WorkerLink.stop_task = stop_task


@mutation("an order counts as unknown after an unexpected error", ("unsent_orders",))
def keep_order_after_error() -> None:
    workerlink.WorkerLink.abandon_sending = lambda self, task, run: None


@mutation("workers of ended jobs are asked though they are not listed", ("cancel_at_takeover",))
def forget_workers_of_ended_jobs() -> None:
    workerlink.WorkerLink.is_needed = property(
        lambda self: not self.closed and (self.listed or self.run_count > 0)
    )


@mutation("the loss of a worker that was only silent is taken back", ("silent_workers",))
def keep_loss_of_silent_worker() -> None:
    losses.Losses.retract = lambda self, worker, born: None


@mutation("an order to a machine is sent under its own token only", ("fleet_manager",))
def send_order_of_former_token() -> None:
    fleetmanager.FleetManager._permit = lambda self, fence: self._may_order


@mutation("the claim is checked once the connection to a worker is open", ("paused_holder",))
def start_under_former_claim() -> None:
    tasks.TaskSupervisor._is_current = lambda self, name, job: True


@mutation("the losses of workers are part of a step's record", CRASHES)
def forget_losses() -> None:
    original = state.TaskState.to_row
    state.TaskState.to_row = lambda self, **options: original(self, **options)[:5]


@mutation("an order is no start", PENDING_JOBS)
def count_order_as_start() -> None:
    original = owner.PartitionOwner._create_order

    def create(self, workflow, step, capacity, name, *args):
        self._starts._note(workflow, step, name)
        return original(self, workflow, step, capacity, name, *args)

    owner.PartitionOwner._create_order = create


@mutation("a start is recorded although nothing else changes", PENDING_JOBS)
def leave_starts_unrecorded() -> None:
    starts.Starts.record_due = lambda self: None


@mutation("a handover records the starts", PENDING_JOBS)
def hand_over_without_starts() -> None:
    original = owner.PartitionOwner.hand_over

    async def hand_over(self):
        self._starts._unrecorded.clear()
        await original(self)

    owner.PartitionOwner.hand_over = hand_over


@mutation("the record of a step tells that its workflow has started", PENDING_JOBS)
def leave_out_start_field() -> None:
    original = state.TaskState.to_row
    state.TaskState.to_row = lambda self, **options: original(self)


@mutation("a run that is listed is a start, also without an answer", PENDING_JOBS)
def ignore_listed_runs() -> None:
    owner.PartitionOwner.handle_start = lambda self, task, percent=0: None


@mutation("a gang has not started before all its members are present", PENDING_JOBS)
def start_gang_early() -> None:
    starts.Starts._is_gang_present = lambda self, name, step: True


@mutation("a count is given only while the membership is current", PENDING_JOBS)
def count_as_former_owner() -> None:
    ownercalls.COUNT_PENDING = ""


@mutation("an order is sent only while the worker has room for it", CAPACITIES)
def send_without_room() -> None:
    placement.WorkerCapacity.is_overcommitted = False


@mutation("tasks are placed by recent entries only, unless the worker refuses overload", CAPACITIES)
def use_old_entries() -> None:
    workerlink.WorkerLink.set_capacity_current = lambda self, is_current: None


@mutation("a ledger that has seen another process's records is lost", LEDGERS)
def write_over_successor() -> None:
    original = ledger.Ledger._take_over

    async def take_over(self, epoch: int) -> bool:
        unchanged = await original(self, epoch)
        self.lost = False
        return unchanged

    ledger.Ledger._take_over = take_over


@mutation("a record that cannot be read or applied costs that record alone", DOCUMENTS)
def stop_at_unreadable_record() -> None:
    def apply_each(self, topic, records, apply) -> set[str]:
        for key, value in records:
            apply(key, value)
        return set()

    unreadable.UnreadableRecords.apply_each = apply_each


@mutation("a document that is nested too deeply is rejected like any malformed one", DOCUMENTS)
def let_recursion_errors_pass() -> None:
    original = decoding._decode

    def decode(get_decoder, data, kind):
        try:
            return original(get_decoder, data, kind)
        except decoding.MalformedDocument as error:
            if isinstance(error.__cause__, RecursionError):
                raise error.__cause__ from None
            raise

    decoding._decode = decode


@mutation("an entry needs an address with a host and a port from 1 to 65535", DOCUMENTS)
def accept_any_address() -> None:
    documents.check_address = lambda value, pointer="": value


@mutation("no task is placed by the entry before an unreadable one", DOCUMENTS)
def use_entry_before_unreadable() -> None:
    discovery.Discovery._note_unreadable_worker = lambda self, worker: None


@mutation("a service whose record cannot be read gets no other partition", DOCUMENTS)
def assign_unreadable_service_again() -> None:
    def apply_each(self, topic, records, apply) -> set[str]:
        original(self, topic, records, apply)
        return set()

    original = unreadable.UnreadableRecords.apply_each
    unreadable.UnreadableRecords.apply_each = apply_each


@mutation("numbers of others are finite", DOCUMENTS)
def accept_any_number() -> None:
    exchange.decode_msgpack = lambda data, kind=None: msgspec.msgpack.decode(data)


@mutation("a pool has the workers that its long-running tasks need", PLACES)
def size_pools_by_cores() -> None:
    demand.Demand._count_long_running_workers = lambda self, service: 0


@mutation("a machine that is withdrawn is replaced while its place is needed", PLACES)
def count_withdrawn_machines() -> None:
    original = pools.PoolHistory.update

    def update(self, *arguments):
        return original(self, *arguments)._replace(taking_tasks=0)

    pools.PoolHistory.update = update
    pools.compute_shortages = _ignore_places(pools.compute_shortages)


def _ignore_places(compute):
    def compute_without(view):
        needs = {name: need._replace(taking_tasks=0) for name, need in view.needs.items()}
        return compute(view._replace(needs=needs))

    return compute_without


@mutation("a task at work yields its claim to one that is away", PLACES)
def keep_claims_of_tasks_at_work() -> None:
    room_claims.Claims.take_over = lambda self, name, step, capacities, may_yield: False


@mutation("a task works on while a cordon lasts that ends by itself", PLACES)
def stop_for_each_cordon() -> None:
    departures.MAX_CORDON_WAIT_SECONDS = 3.0


@mutation("precautions count for a task only until it has been away for long", LEASES)
def isolate_after_leases() -> None:
    deferrals.MAX_ABSENCE_SECONDS = 1e9


@mutation("a departure is recorded for the next owner", DEPARTURES)
def forget_departures() -> None:
    knownworkers.KnownWorkers.record_state = lambda self, entry: None


@mutation("another machine on standby is chosen while one refuses", POOL_MOVES)
def order_refusing_machine_again() -> None:
    fleetmanager.STANDBY_REFUSAL_DELAY = timedelta()


def run_scenarios(name: str) -> list[str]:
    """Disables one guard in this process and returns the names of the scenarios that failed."""
    features = FEATURES
    if name != "none":
        _mutations[name].disable()
        features = _mutations[name].features
    paths = [str(ROOT / "features" / f"{feature}.feature") for feature in features]
    report = ROOT / "build" / f"mutation-{name}.json"
    report.parent.mkdir(exist_ok=True)
    with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(io.StringIO()):
        run_behave(["--format", "json", "--outfile", str(report), "--no-summary", *paths])
    return [
        element["name"]
        for feature in json.loads(report.read_text())
        for element in feature.get("elements", [])
        if element.get("type") == "scenario" and element.get("status") != "passed"
    ]


def _run_in_process(name: str) -> list[str]:
    command = [sys.executable, __file__, "--run", name]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_SECONDS
    )
    if completed.returncode:
        raise RuntimeError(
            f"mutation {name!r} exited with status {completed.returncode}:\n{completed.stderr}"
        )
    return json.loads(completed.stdout.splitlines()[-1])


def write_page(detecting_scenarios: dict[str, list[str]]) -> None:
    """Writes the table of guards and of the scenarios that fail without each of them."""
    lines = [
        "# Guards taken out one at a time",
        "",
        "Written by `python tools/mutations.py`, which runs the features "
        + ", ".join(f"`{feature}`" for feature in FEATURES)
        + " with one guard taken out. Guards of the embedded mode, of owners and of entry hosts "
        "run with their own features.",
        "",
        "| guard | taken out by | noticed by |",
        "| --- | --- | --- |",
    ]
    for name, (guard, _, _) in _mutations.items():
        noticed = "; ".join(detecting_scenarios[name]) or "**nothing**"
        lines.append(f"| {guard} | `{name}` | {noticed} |")
    PAGE.write_text("\n".join(lines) + "\n")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--run", choices=["none", *_mutations], help="run one mutation only")
    arguments = parser.parse_args()
    if arguments.run:
        print(json.dumps(run_scenarios(arguments.run)))
        return 0
    if failed := _run_in_process("none"):
        print(f"scenarios fail with all guards in place: {failed}")
        return 1
    with ThreadPoolExecutor(PARALLEL_MUTATIONS) as executor:
        detecting_scenarios = dict(
            zip(_mutations, executor.map(_run_in_process, _mutations), strict=True)
        )
    write_page(detecting_scenarios)
    undetected = [name for name, scenarios in detecting_scenarios.items() if not scenarios]
    print(f"{len(_mutations) - len(undetected)} of {len(_mutations)} noticed; not: {undetected}")
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
