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
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from mode import Service

from carawayd.partition.caprecords import PartitionShares, decode_shares, encode_shares
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
from carawayshore.decoding import MalformedDocument, reject
from carawayshore.workflows.amounts import NOTHING, Amounts
from carawayshore.workflows.capshares import (
    Holding,
    Need,
    compute_limit,
    count_startable,
    exceeds,
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
RECORD_INTERVAL = timedelta(milliseconds=60)
# Longest interval between two looks at what the shares should be: while an account has a goal, and
# otherwise.
ADJUST_INTERVAL_SECONDS = 0.1
CALM_ADJUST_INTERVAL_SECONDS = 0.5
# Time after which the unmet goal of a partition that does not take what is free is not waited for:
# its owner may be gone.
GOAL_PATIENCE_SECONDS = 1.5
# Time after which such a goal is waited for again. What was free for it may be in use by then, so
# that the partition could not act although its owner is there.
MAX_STALE_SECONDS = 6.0
REPORT_INTERVAL_SECONDS = 1.0
# Time for which smaller tasks of an account may overtake the first one that waits for its cap.
MAX_OVERTAKING_SECONDS = 1.0
MAX_LOGGED_ACCOUNTS = 10


def _multiply(amounts: Amounts, count: int) -> Amounts:
    return Amounts(*(amount * count for amount in amounts))


class CapShares(Service):
    """Decides how many tasks of an account may start, and keeps the partition's shares.

    Parameters
    ----------
    partition, partitions : int
        Number of the partition, and of all partitions of the workflows.
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
        partitions: int,
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
        self._partitions = partitions
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
        # Partitions that have not taken what is free for their goals, by account: the holding, and
        # since when it has been so. It is kept until the holding changes.
        self._stale: dict[str, dict[int, tuple[Holding, float]]] = {}
        # Limits that have been computed since what they depend on changed.
        self._limits: dict[str, Amounts] = {}
        # What all partitions hold of each account, and the number of their goals.
        self._totals: dict[str, Amounts] = {}
        self._goal_counts: Counter[str] = Counter()
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
            # What runs already has to be in the records before others raise their shares.
            self._wake.set()
        return self._caps[1]

    # -- planning --------------------------------------------------------------------------------

    def begin_plan(self) -> None:
        """Begins to note which tasks wait for a cap."""
        self._found = {}
        self._list_caps()

    def end_plan(self, *, is_complete: bool = True) -> None:
        """Takes over what the plan has found; the shares are adjusted if it is new.

        A plan that has not looked at all steps may have missed some that still wait.
        """
        if not is_complete:
            self._found = self._waiting | self._found
        for account in self._waiting.keys() ^ self._found.keys():
            self._limits.pop(account, None)
        if self._found != self._waiting:
            self._waiting = self._found
            self._wake.set()
        since = self._waiting_since
        self._waiting_since = {name: since.get(name, self._now()) for name in self._waiting}

    def count_startable(
        self, account: str, requested: Amounts, count: int, *, is_gang: bool = False
    ) -> int:
        """Returns how many of ``count`` like tasks of an account may start now.

        The tasks of a gang start together or not at all.
        """
        cap = self._list_caps().get(account) if account else None
        if cap is None:
            return count
        if account in self._found and self._must_keep_order(account):
            return 0
        limit = self._limits.get(account)
        if limit is None:
            limit = self._limits[account] = self._compute_limit(account, cap)
        used = self._usage.measure(account)
        if not is_gang:
            return count_startable(requested, used, limit, cap, count)
        total = _multiply(requested, count)
        # A gang that is larger than the cap would exceed it by more than one task.
        if exceeds(total, cap, cap):
            return 0
        return count * count_startable(total, used, limit, cap, 1)

    def note_waiting(
        self, account: str, requested: Amounts, count: int, *, is_gang: bool = False
    ) -> None:
        """Notes that tasks wait for the cap of their account although workers have room."""
        cap = self._list_caps().get(account)
        total = _multiply(requested, count)
        if cap is None or (is_gang and exceeds(total, cap, cap)):
            return
        found = self._found.get(account)
        if found is None:
            self._found[account] = Need(NOTHING, total, total if is_gang else requested)
            if account not in self._waiting:
                self._limits.pop(account, None)
        else:
            self._found[account] = found._replace(waiting=found.waiting.add(total))

    def _must_keep_order(self, account: str) -> bool:
        """Returns whether no task may pass the first one that waits for the cap of its account.

        Smaller tasks behind it would take each amount that becomes free.
        """
        since = self._waiting_since.get(account)
        return since is not None and self._now() - since > MAX_OVERTAKING_SECONDS

    def is_waiting(self, account: str) -> bool:
        """Returns whether tasks of an account wait for its cap, by the last plan or the present."""
        return account in self._waiting or account in self._found

    def is_held_back(self, account: str) -> bool:
        """Returns whether tasks of an account have waited for its cap for some time.

        A share that is being raised takes less.
        """
        return account in self._waiting_since and self._must_keep_order(account)

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
            for partition, (_, since) in self._stale.get(account, {}).items()
            if now - since > GOAL_PATIENCE_SECONDS
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
        started_at = self._clock.elapsed()
        if self._end is None:
            latest = await self._store.read_latest(CAPS_TOPIC, CAPS_PARTITION)
            for partition in list(self._records):
                self._set_record(partition, None)
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
        elif self._clock.elapsed() - started_at < RETRY_INTERVAL:
            # The store did not wait.
            await self._clock.sleep(RETRY_INTERVAL)

    def _apply(self, records: list[KeyedRecord], end: int) -> None:
        for record in records:
            if not record.key.isdecimal() or int(record.key[:9]) >= self._partitions:
                unreadable_records.note(
                    CAPS_TOPIC, record.key, reject("", record.key, "the number of a partition")
                )
                continue
            partition, decoded = int(record.key), None
            if record.value:
                try:
                    decoded = decode_shares(record.value)
                except MalformedDocument as error:
                    unreadable_records.note(CAPS_TOPIC, record.key, error)
                    decoded = PartitionShares(0, None)
            self._set_record(partition, decoded)
        self._end = end
        if end > self._pending_end:
            # The record at that offset has been read, so no append on its condition can follow.
            self._pending.clear()
            self._limits.clear()
        self._handle_new_shares()

    def _handle_new_shares(self) -> None:
        self._wake.set()
        if self._waiting:
            self._handle_change()

    def _set_record(self, partition: int, record: PartitionShares | None) -> None:
        """Sets the record of a partition, None if it has none, and the sums over all partitions."""
        if partition == self.partition:
            self._limits.clear()
        former = self._records.pop(partition, None)
        if record is not None:
            self._records[partition] = record
        before = (former.holdings if former is not None else None) or {}
        after = (record.holdings if record is not None else None) or {}
        for account in before.keys() | after.keys():
            old, new = before.get(account, Holding()), after.get(account, Holding())
            if old == new:
                continue
            self._limits.pop(account, None)
            total = self._totals.get(account, NOTHING).add(new.share).add(old.share, -1)
            self._totals[account] = total
            self._goal_counts[account] += (new.goal is not None) - (old.goal is not None)
            if total == NOTHING:
                del self._totals[account]
            if not self._goal_counts[account]:
                del self._goal_counts[account]
        if any(item is not None and item.holdings is None for item in (former, record)):
            # What an unreadable record holds is not in the sums.
            self._limits.clear()

    def _note_stale_goals(self, caps: dict[str, Amounts]) -> None:
        """Notes since when partitions have not taken what is free for their goals."""
        now, stale = self._now(), {}
        for account in self._goal_counts:
            cap = caps.get(account)
            if cap is None:
                continue
            holdings = self._list_holdings(account, cap)
            known = self._stale.get(account, {})
            found = {}
            for partition, item in holdings.items():
                if partition == self.partition or item.goal is None:
                    continue
                former = known.get(partition)
                seconds = now - former[1] if former is not None else 0.0
                if former is not None and (former[0] != item or seconds > MAX_STALE_SECONDS):
                    # Its owner has acted, or may be able to act again.
                    former, seconds = None, 0.0
                if seconds > GOAL_PATIENCE_SECONDS or may_take(item, holdings, cap):
                    found[partition] = former or (item, now)
            if found:
                stale[account] = found
            if found or known:
                self._limits.pop(account, None)
        self._stale = stale

    @supervised_task
    async def _adjust_repeatedly(self) -> None:
        while not self.should_stop:
            try:
                is_calm = not self._goal_counts and not self._waiting
                async with asyncio.timeout(
                    CALM_ADJUST_INTERVAL_SECONDS if is_calm else ADJUST_INTERVAL_SECONDS
                ):
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
            self._limits.clear()
        self._note_stale_goals(caps)
        planned = PartitionShares(self._claim, self._plan_holdings(caps))
        self._report(planned)
        end = self._end
        has_pending = bool(self._pending) and end == self._pending_end
        if not has_pending and (own == planned or (own is None and not planned.holdings)):
            return
        if end != self._pending_end:
            self._pending.clear()
        self._pending.append(planned)
        self._pending_end = end
        self._limits.clear()
        record = KeyedRecord(str(self.partition), encode_shares(planned))
        try:
            new_end = await self._store.append(
                CAPS_TOPIC, CAPS_PARTITION, encode_records([record]), expected_end=end
            )
        except OffsetConflict:
            # The pending record holds until the records up to its offset have been read.
            await self._clock.sleep(RETRY_INTERVAL)
            return
        except PlatformRefusal as refusal:
            # Nothing was appended, but an earlier append without an answer may still be.
            if planned in self._pending:
                self._pending.remove(planned)
            self._limits.clear()
            logger.info(
                "the store refused the shares of caps; trying again",
                extra={"fields": {"partition": self.partition, "error": str(refusal)}},
            )
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
        self._set_record(self.partition, planned)
        self._end = new_end
        self._pending.clear()
        self._limits.clear()
        self._handle_new_shares()

    def _plan_holdings(self, caps: dict[str, Amounts]) -> dict[str, Holding]:
        record = self._records.get(self.partition)
        former = (record.holdings or {}) if record is not None else {}
        planned = {}
        names = former.keys() | self._waiting.keys() | self._usage.list_accounts()
        for account in names & caps.keys():
            holding, cap = former.get(account, Holding()), caps[account]
            if self._may_change(account, holding, cap):
                holding = self._plan_holding(account, cap)
            if holding != Holding():
                planned[account] = holding
        return planned

    def _may_change(self, account: str, holding: Holding, cap: Amounts) -> bool:
        """Returns whether the holding of an account may have to change."""
        return (
            account in self._waiting
            or account in self._goal_counts
            or exceeds(self._usage.measure(account), holding.share, cap)
            or exceeds(self._totals.get(account, NOTHING), cap, cap)
        )

    def _plan_holding(self, account: str, cap: Amounts) -> Holding:
        waiting, used = self._waiting.get(account, Need()), self._usage.measure(account)
        holdings = self._list_holdings(account, cap)
        record = self._records.get(self.partition)
        if record is not None and record.holdings is None:
            holdings[self.partition] = Holding(used)
        return plan_share(
            self.partition,
            holdings,
            waiting._replace(used=used, started=self._measure_started(account)),
            cap,
            self._end,
            self._list_ignored(account),
        )

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
