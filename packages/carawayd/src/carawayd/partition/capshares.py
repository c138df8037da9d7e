"""Holds the partition's shares of the caps of client accounts, recorded in the store.

All partitions have a record in one partition of a topic. It names the epoch of the owner that wrote
it, the shares and the unmet goals. Records are appended on condition of the end of the log, so that
whoever raises a share has read all others. An owner uses the shares of its partition only after it
has written the record under its own epoch, and no longer once a later epoch has.

A share is lowered in memory before the record is sent, and raised once the record is durable. If an
append gets no answer, the lower one of both values holds until a later append or read settles it.
"""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from mode import Service

from carawayd.platform.common import PlatformError, PlatformRefusal
from carawayd.platform.store import (
    KeyedRecord,
    OffsetConflict,
    RecordsExpired,
    encode_records,
)
from carawayd.process.workflowmetrics import MAX_COUNTED_ACCOUNTS, OTHER_ACCOUNTS
from carawayd.supervision import supervised_task
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import Count, MalformedDocument, decode_json, parse_count
from carawayshore.workflows.amounts import NOTHING, Amounts
from carawayshore.workflows.capshares import (
    Goal,
    Holding,
    Need,
    compute_limit,
    count_startable,
    limits_nothing,
    may_take,
    plan_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from carawayd.partition.accountusage import AccountUsage
    from carawayd.platform.store import StoreClient
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import AccountConfig

logger = logging.getLogger(__name__)

CAPS_TOPIC = "keyed.caps"
CAPS_PARTITION = 0
# Long-poll limit for reads of the records.
READ_WAIT_SECONDS = 2.0
RETRY_INTERVAL = timedelta(milliseconds=150)
# Interval at which it is looked whether there are caps.
IDLE_INTERVAL = timedelta(milliseconds=250)
# Shortest interval between two records of a partition.
RECORD_INTERVAL = timedelta(milliseconds=40)
# Longest interval between two looks at what the shares should be.
ADJUST_INTERVAL_SECONDS = 0.1
# Time after which the unmet goal of a partition that does not take what is free is not waited for:
# its owner may be gone.
GOAL_PATIENCE_SECONDS = 1.5
REPORT_INTERVAL_SECONDS = 1.0
# Time for which smaller tasks of an account may overtake the first one that waits for its cap.
MAX_OVERTAKING_SECONDS = 1.0
MAX_LOGGED_ACCOUNTS = 10


class _HoldingRow(msgspec.Struct, array_like=True):
    share: tuple[Count, Count, Count]
    goal: tuple[Count, Count, Count] | None = None
    since: Count = 0


class _ShareRecord(msgspec.Struct, array_like=True):
    epoch: Count
    accounts: dict[str, _HoldingRow]


class PartitionShares(NamedTuple):
    """Record of one partition; ``holdings`` is None if it cannot be read."""

    epoch: int
    holdings: dict[str, Holding] | None


def _encode(record: PartitionShares) -> bytes:
    rows = {
        account: [item.share, *((item.goal.amounts, item.goal.since) if item.goal else ())]
        for account, item in record.holdings.items()
    }
    return msgspec.json.encode([record.epoch, rows])


def _decode(value: bytes) -> PartitionShares:
    record = decode_json(value, _ShareRecord)
    return PartitionShares(
        record.epoch,
        {
            account: Holding(
                Amounts(*row.share), Goal(Amounts(*row.goal), row.since) if row.goal else None
            )
            for account, row in record.accounts.items()
        },
    )


class CapShares(Service):
    """Decides how many tasks of an account may start, and keeps the partition's shares.

    Parameters
    ----------
    partition : int
    store : StoreClient
    usage : AccountUsage
    list_accounts : callable
        Returns the accounts of the configuration in force, None if it has none.
    get_epoch : callable
        Returns the epoch of the owner, None while it may not order anything.
    handle_change : callable
        Called when a limit may have been raised.
    clock : Clock
    metrics : WorkflowMetrics
    """

    def __init__(
        self,
        partition: int,
        *,
        store: StoreClient,
        usage: AccountUsage,
        list_accounts: Callable[[], Mapping[str, AccountConfig] | None],
        get_epoch: Callable[[], int | None],
        handle_change: Callable[[], None],
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        super().__init__()
        self.partition = partition
        self._store = store
        self._usage = usage
        self._list_accounts = list_accounts
        self._get_epoch = get_epoch
        self._handle_change = handle_change
        self._clock = clock
        self._metrics = metrics
        self._records: dict[int, PartitionShares] = {}
        # End of the log up to which the records have been read, None before the first read.
        self._end: int | None = None
        # Epoch under which the record of the partition is claimed, None before that.
        self._claim: int | None = None
        # Records that were sent without a known outcome, on condition of the same end of the log.
        self._pending: list[PartitionShares] = []
        self._pending_end = 0
        # Needs as of the last complete plan, and those that the present plan has found so far.
        self._waiting: dict[str, Need] = {}
        self._found: dict[str, Need] = {}
        # Time since which tasks of an account have waited for its cap without interruption.
        self._waiting_since: dict[str, float] = {}
        # For each account with a goal, when it was published and what had been started in sum.
        self._bases: dict[str, tuple[int, Amounts]] = {}
        # Time since which each partition has not taken what is free for its goal.
        self._stale_since: dict[tuple[int, str], float] = {}
        # Limits that have been computed since the records or the plan changed.
        self._limits: dict[str, Amounts] = {}
        # Caps of the accounts of one version of the configuration.
        self._caps: tuple[Mapping[str, AccountConfig] | None, dict[str, Amounts]] = (None, {})
        self._reported_at = -REPORT_INTERVAL_SECONDS
        self._reported: set[str] = set()
        self._wake = asyncio.Event()

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def _list_caps(self) -> dict[str, Amounts]:
        accounts = self._list_accounts()
        if accounts is not self._caps[0]:
            caps = {name: item.cap for name, item in (accounts or {}).items()}
            self._caps = (
                accounts,
                {name: cap for name, cap in caps.items() if not limits_nothing(cap)},
            )
            self._limits.clear()
        return self._caps[1]

    # -- planning --------------------------------------------------------------------------------

    def begin_plan(self) -> None:
        """Begins to note which tasks wait for a cap."""
        self._found = {}
        self._limits.clear()

    def end_plan(self) -> None:
        """Takes over what the plan has found; the shares are adjusted if it is new."""
        if self._found != self._waiting:
            self._waiting = self._found
            self._wake.set()
        since = self._waiting_since
        self._waiting_since = {name: since.get(name, self._now()) for name in self._waiting}

    def count_startable(
        self, account: str, requested: Amounts, count: int, *, only_all: bool = False
    ) -> int:
        """Returns how many of ``count`` like tasks of an account may start now.

        ``only_all`` tells that the tasks start together or not at all.
        """
        cap = self._list_caps().get(account) if account else None
        if cap is None:
            return count
        used = self._usage.measure(account)
        limit = self._limits.get(account)
        if limit is None:
            limit = self._limits[account] = self._compute_limit(account, cap)
        startable = count_startable(requested, used, limit, cap, count)
        if account in self._found and self._must_keep_order(account):
            startable = 0
        if startable < count and only_all:
            startable = 0
        if startable < count:
            self._note_waiting(account, requested, count - startable)
        return startable

    def _must_keep_order(self, account: str) -> bool:
        """Returns whether no task may pass the first one that waits for the cap of its account.

        Smaller tasks behind it would take each amount that becomes free.
        """
        since = self._waiting_since.get(account)
        return since is not None and self._now() - since > MAX_OVERTAKING_SECONDS

    def is_waiting(self, account: str) -> bool:
        """Returns whether tasks of an account wait for its cap alone."""
        return account in self._waiting

    def describe(self, account: str) -> dict[str, object]:
        """Describes for the log what a task of an account waits for."""
        cap = self._list_caps().get(account)
        if cap is None:
            return {}
        return {
            "account": account,
            "cap": cap,
            "used": self._usage.measure(account),
            "limit": self._compute_limit(account, cap),
        }

    def _note_waiting(self, account: str, requested: Amounts, count: int) -> None:
        found = self._found.get(account)
        waiting = Amounts(*(amount * count for amount in requested))
        if found is not None:
            waiting, requested = waiting.add(found.waiting), found.first
        self._found[account] = Need(NOTHING, waiting, requested)

    def _compute_limit(self, account: str, cap: Amounts) -> Amounts:
        if not self._is_claimed:
            return NOTHING
        holdings = self._list_holdings(account, cap)
        limit = compute_limit(
            self.partition,
            holdings,
            cap,
            self._list_ignored(account),
            has_waiting=account in self._waiting or account in self._found,
        )
        for record in self._pending:
            limit = Amounts(*map(min, limit, record.holdings.get(account, Holding()).share))
        return limit

    def _list_holdings(self, account: str, cap: Amounts) -> dict[int, Holding]:
        """Returns the holdings of an account; an unreadable record may hold all of the cap."""
        return {
            partition: Holding(cap) if record.holdings is None else record.holdings[account]
            for partition, record in self._records.items()
            if record.holdings is None or account in record.holdings
        }

    def _list_ignored(self, account: str) -> list[int]:
        now = self._now()
        return [
            partition
            for (partition, name), since in self._stale_since.items()
            if name == account and now - since > GOAL_PATIENCE_SECONDS
        ]

    # -- records ---------------------------------------------------------------------------------

    @property
    def _is_claimed(self) -> bool:
        """Whether the record of the partition was last written by this owner."""
        record = self._records.get(self.partition)
        return self._claim is not None and record is not None and record.epoch == self._claim

    @supervised_task
    async def _follow(self) -> None:
        while not self.should_stop:
            if not self._list_caps():
                self._end = None
                await self._clock.sleep(IDLE_INTERVAL)
                continue
            try:
                await self._read()
            except PlatformError:
                await self._clock.sleep(RETRY_INTERVAL)

    async def _read(self) -> None:
        if self._end is None:
            latest = await self._store.read_latest(CAPS_TOPIC, CAPS_PARTITION)
            self._records.clear()
            self._apply(latest.records, latest.end)
            return
        try:
            tail = await self._store.read(
                CAPS_TOPIC, CAPS_PARTITION, self._end, wait=READ_WAIT_SECONDS
            )
        except RecordsExpired:
            self._end = None
            return
        # An append of this process may have moved the end on meanwhile.
        if self._end is not None and tail.end > self._end:
            self._apply(tail.records, tail.end)

    def _apply(self, records: list[KeyedRecord], end: int) -> None:
        for record in records:
            try:
                partition = parse_count(record.key)
                self._records[partition] = _decode(record.value)
            except MalformedDocument as error:
                unreadable_records.note(CAPS_TOPIC, record.key, error)
                if record.key.isdecimal() and len(record.key) < 10:
                    self._records[int(record.key)] = PartitionShares(0, None)
        self._end = end
        if end > self._pending_end:
            # The record at that offset has been read, so no append on its condition can follow.
            self._pending.clear()
        self._handle_new_shares()

    def _handle_new_shares(self) -> None:
        self._limits.clear()
        self._wake.set()
        if self._waiting:
            self._handle_change()

    def _note_stale_goals(self) -> None:
        """Notes since when partitions have not taken what is free for their goals."""
        now, stale, caps = self._now(), {}, self._list_caps()
        for partition, record in self._records.items():
            for account, item in (record.holdings or {}).items():
                cap = caps.get(account)
                if partition == self.partition or cap is None or item.goal is None:
                    continue
                if may_take(item, self._list_holdings(account, cap), cap):
                    key = (partition, account)
                    stale[key] = self._stale_since.get(key, now)
        self._stale_since = stale

    @supervised_task
    async def _adjust_repeatedly(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(ADJUST_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            caps = self._list_caps()
            if not caps or self._end is None:
                await self._clock.sleep(IDLE_INTERVAL)
                continue
            await self._adjust(caps)
            await self._clock.sleep(RECORD_INTERVAL)

    async def _adjust(self, caps: dict[str, Amounts]) -> None:
        """Records what the shares of the partition should be, if that has changed."""
        epoch = self._get_epoch()
        own = self._records.get(self.partition)
        if epoch is None or (own is not None and own.epoch > epoch):
            return
        if not self._is_claimed:
            self._claim = epoch
        self._note_stale_goals()
        planned = PartitionShares(self._claim, self._plan_holdings(caps))
        self._report(planned)
        if own == planned or (own is None and not planned.holdings):
            return
        end = self._end
        if end != self._pending_end:
            self._pending.clear()
        self._pending.append(planned)
        self._pending_end = end
        self._limits.clear()
        record = KeyedRecord(str(self.partition), _encode(planned))
        try:
            new_end = await self._store.append(
                CAPS_TOPIC, CAPS_PARTITION, encode_records([record]), expected_end=end
            )
        except OffsetConflict:
            # The pending record holds until the records up to its offset have been read.
            await self._clock.sleep(RETRY_INTERVAL)
            return
        except PlatformRefusal:
            # Nothing was appended, but an earlier append without an answer may still be.
            if planned in self._pending:
                self._pending.remove(planned)
            await self._clock.sleep(RETRY_INTERVAL)
            return
        except PlatformError as error:
            logger.info(
                "recording the shares of caps failed; the lower ones hold until it is settled",
                extra={"fields": {"partition": self.partition, "error": str(error)}},
            )
            await self._clock.sleep(RETRY_INTERVAL)
            return
        self._log_change(own, planned)
        if self._end is None or self._end > end:
            # The records have been read anew meanwhile, this one among them.
            return
        self._records[self.partition] = planned
        self._end = new_end
        self._pending.clear()
        self._handle_new_shares()

    def _plan_holdings(self, caps: dict[str, Amounts]) -> dict[str, Holding]:
        record = self._records.get(self.partition)
        former = (record.holdings or {}) if record is not None else {}
        planned = {}
        names = former.keys() | self._waiting.keys() | self._usage.list_accounts()
        for account in sorted(names & caps.keys()):
            waiting = self._waiting.get(account, Need())
            cap = caps[account]
            holdings = self._list_holdings(account, cap)
            if record is not None and record.holdings is None:
                holdings[self.partition] = Holding(self._usage.measure(account))
            holding = plan_share(
                self.partition,
                holdings,
                waiting._replace(
                    used=self._usage.measure(account), started=self._measure_started(account)
                ),
                cap,
                self._end,
                self._list_ignored(account),
            )
            if holding != Holding():
                planned[account] = holding
        return planned

    def _measure_started(self, account: str) -> Amounts:
        """Returns what has been started since the goal of an account was published."""
        record = self._records.get(self.partition)
        holding = (record.holdings or {}).get(account) if record is not None else None
        if holding is None or holding.goal is None:
            self._bases.pop(account, None)
            return NOTHING
        started, known = self._usage.measure_started(account), self._bases.get(account)
        if known is None or known[0] != holding.goal.since:
            known = self._bases[account] = (holding.goal.since, started)
        return started.add(known[1], -1)

    def _log_change(self, own: PartitionShares | None, planned: PartitionShares) -> None:
        former = (own.holdings if own is not None else None) or {}
        changed = {
            account: [item.share, item.goal.amounts if item.goal else None]
            for account, item in planned.holdings.items()
            if former.get(account) != item
        }
        returned = [account for account in former if account not in planned.holdings]
        logger.info(
            "shares of caps recorded",
            extra={
                "fields": {
                    "partition": self.partition,
                    "epoch": planned.epoch,
                    "accounts": dict(list(changed.items())[:MAX_LOGGED_ACCOUNTS]),
                    "changed": len(changed),
                    "returned": returned[:MAX_LOGGED_ACCOUNTS],
                }
            },
        )

    def _report(self, planned: PartitionShares) -> None:
        """Sets the metrics of the accounts with the largest shares, and of the others together."""
        now = self._now()
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        ranked = sorted(planned.holdings.items(), key=lambda item: item[1].share, reverse=True)
        figures: dict[str, list[float]] = {}
        for number, (account, holding) in enumerate(ranked):
            name = account if number < MAX_COUNTED_ACCOUNTS else OTHER_ACCOUNTS
            sums = figures.setdefault(name, [0.0, 0.0, 0.0])
            waiting = self._waiting.get(account, Need()).waiting
            amounts = (holding.share, self._usage.measure(account), waiting)
            for place, amount in enumerate(amounts):
                sums[place] += amount.millicores / 1000
        for name in self._reported - figures.keys():
            self._metrics.remove_account(self.partition, name)
        self._reported = set(figures)
        for name, sums in figures.items():
            self._metrics.set_account(self.partition, name, *sums)

    async def on_stop(self) -> None:
        for name in self._reported:
            self._metrics.remove_account(self.partition, name)
        self._wake.set()
