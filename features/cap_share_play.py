"""Seeded plays of partitions that share the caps of client accounts, in virtual time.

The control and the decisions are those of the product; the store and the workers are models. The
store refuses, is slow, loses answers, and carries appends out late. Owners are replaced, and the
former ones go on adjusting shares for some time, although they can start nothing.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import NamedTuple

from virtual import LoopClock
from virtual_time import play

from carawayd.partition.capshares import CapShares
from carawayd.platform.common import PlatformError, PlatformRefusal
from carawayd.platform.store import (
    KeyedRecord,
    LatestRecords,
    OffsetConflict,
    RecordBatch,
    RecordsExpired,
    _decode_records,
)
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.workflows.amounts import NOTHING, Amounts
from carawayshore.workflows.capshares import exceeds
from carawayshore.workflows.model import AccountConfig

PARTITIONS = 4
ACCOUNTS = ("large", "small", "tiny")
CAPS = {
    "large": Amounts(200_000, 400_000, 0),
    "small": Amounts(30_000, 0, 0),
    # Smaller than two tasks: an even split would start nothing.
    "tiny": Amounts(14_000, 40_000, 0),
}
SIZES = (Amounts(6_000, 9_000, 0), Amounts(13_000, 25_000, 0))
# Time after which each owner has read a version of the configuration.
CONFIGURATION_DELAY_S = 0.3
PLAN_INTERVAL_S = 0.05
FAULTS_S = 20.0
# Time within which all work has to be done once the faults are over: the tasks of an account whose
# cap admits two at a time, one after the other.
CALM_S = 120


class ModelStore:
    """One log with conditional appends, and the latest record of each key."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.is_faulty = False
        self.is_down = False
        self._changed = asyncio.Event()

    def _append(self, data: bytes, expected_end: int) -> int:
        if expected_end != len(self.records):
            raise OffsetConflict("the log has another end")
        self.records += _decode_records(data)[0]
        self._changed.set()
        self._changed = asyncio.Event()
        return len(self.records)

    def _append_late(self, data: bytes, expected_end: int) -> None:
        with suppress(OffsetConflict):
            self._append(data, expected_end)

    async def append(self, topic: str, partition: int, data: bytes, *, expected_end: int) -> int:
        await asyncio.sleep(self.rng.choice([0.004, 0.008]))
        if self.is_down:
            raise PlatformError("the store is down")
        if self.is_faulty:
            kind = self.rng.random()
            if kind < 0.1:
                raise PlatformRefusal(503, None)
            if kind < 0.25:
                delay = self.rng.choice([0.0, 0.05, 0.5, 3.0])
                asyncio.get_running_loop().call_later(delay, self._append_late, data, expected_end)
                await asyncio.sleep(0.2)
                raise PlatformError("no answer")
        return self._append(data, expected_end)

    async def read(self, topic: str, partition: int, offset: int, *, wait: float) -> RecordBatch:
        await asyncio.sleep(self.rng.choice([0.004, 0.3]) if self.is_faulty else 0.004)
        if self.is_down:
            raise PlatformError("the store is down")
        if offset < self.first:
            raise RecordsExpired("gone")
        if offset >= len(self.records):
            changed = self._changed
            await asyncio.wait({asyncio.ensure_future(changed.wait())}, timeout=wait)
        end = len(self.records)
        return RecordBatch(self.records[offset:], max(offset, end), end)

    async def read_latest(self, topic: str, partition: int) -> LatestRecords:
        await asyncio.sleep(0.004)
        if self.is_down:
            raise PlatformError("the store is down")
        latest = {record.key: record for record in self.records}
        return LatestRecords(list(latest.values()), len(self.records))


class ModelUsage:
    """What may be running of each account in one partition; survives its owners."""

    def __init__(self) -> None:
        self.used: dict[str, Amounts] = {}
        self.started: dict[str, Amounts] = {}

    def add(self, account: str, amounts: Amounts, sign: int = 1) -> None:
        self.used[account] = self.used.get(account, NOTHING).add(amounts, sign)
        if sign > 0:
            self.started[account] = self.started.get(account, NOTHING).add(amounts)

    def measure_started(self, account: str) -> Amounts:
        return self.started.get(account, NOTHING)

    def measure(self, account: str) -> Amounts:
        return self.used.get(account, NOTHING)

    def list_accounts(self) -> set[str]:
        return {account for account, used in self.used.items() if used != NOTHING}


class Task(NamedTuple):
    """A task, or the tasks of a gang."""

    account: str
    amounts: Amounts
    seconds: float
    count: int = 1


class Violation(NamedTuple):
    at: float
    account: str
    used: Amounts
    cap: Amounts


class CapWorld:
    """Partitions with their owners, and the caps in force."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.clock = LoopClock()
        self.store = ModelStore(rng)
        self.usages = [ModelUsage() for _ in range(PARTITIONS)]
        self.queues: list[list[Task]] = [[] for _ in range(PARTITIONS)]
        self.owners: list[CapShares | None] = [None] * PARTITIONS
        self.epochs = [0] * PARTITIONS
        self.accounts = {name: AccountConfig(name, 1.0, cap) for name, cap in CAPS.items()}
        # Versions of the accounts that may be in force, with the time at which they were replaced.
        self.former: list[tuple[float, dict[str, AccountConfig]]] = []
        self.violations: list[Violation] = []
        self.started = 0
        self.retired: list[CapShares] = []

    async def open_owner(self, partition: int) -> None:
        self.epochs[partition] += 1
        epoch = self.epochs[partition]
        owner = CapShares(
            partition,
            PARTITIONS,
            store=self.store,
            usage=self.usages[partition],
            list_accounts=lambda: self._see_accounts(partition),
            get_epoch=lambda: epoch,
            handle_change=lambda: None,
            clock=self.clock,
            metrics=WorkflowMetrics(),
        )
        self.owners[partition] = owner
        await owner.start()

    def _see_accounts(self, partition: int) -> dict[str, AccountConfig]:
        """Returns the accounts as the owner of a partition has read them."""
        now = self.clock.elapsed().total_seconds()
        for replaced_at, accounts in self.former:
            if now < replaced_at + CONFIGURATION_DELAY_S * partition / PARTITIONS:
                return accounts
        return self.accounts

    def change_cap(self, account: str, cap: Amounts) -> None:
        now = self.clock.elapsed().total_seconds()
        self.former.append((now, self.accounts))
        self.accounts = self.accounts | {account: AccountConfig(account, 1.0, cap)}

    def _measure(self, account: str) -> Amounts:
        total = NOTHING
        for usage in self.usages:
            total = total.add(usage.measure(account))
        return total

    def plan(self, partition: int) -> None:
        """Starts the waiting tasks that may start, each account's tasks in order."""
        owner = self.owners[partition]
        if owner is None:
            return
        owner.begin_plan()
        waiting = []
        for task in self.queues[partition]:
            is_gang = task.count > 1
            if owner.count_startable(task.account, task.amounts, task.count, is_gang=is_gang):
                self._start(partition, task)
            else:
                owner.note_waiting(task.account, task.amounts, task.count, is_gang=is_gang)
                waiting.append(task)
        owner.end_plan()
        self.queues[partition] = waiting

    def _start(self, partition: int, task: Task) -> None:
        usage, loop = self.usages[partition], asyncio.get_running_loop()
        self.started += 1
        for _ in range(task.count):
            usage.add(task.account, task.amounts)
            loop.call_later(task.seconds, usage.add, task.account, task.amounts, -1)
        self._check(task.account)

    def _check(self, account: str) -> None:
        now = self.clock.elapsed().total_seconds()
        caps = [self.accounts[account].cap]
        # The rule allows the highest cap of the versions that may be in force.
        caps += [
            accounts[account].cap
            for at, accounts in self.former
            if now - at < CONFIGURATION_DELAY_S
        ]
        used = self._measure(account)
        if all(exceeds(used, cap, cap) for cap in caps):
            self.violations.append(Violation(now, account, used, caps[0]))

    async def run_planners(self) -> None:
        while True:
            for partition in range(PARTITIONS):
                self.plan(partition)
            await asyncio.sleep(PLAN_INTERVAL_S)

    def submit(self) -> None:
        partition = self.rng.randrange(PARTITIONS)
        account = self.rng.choice(ACCOUNTS)
        for _ in range(self.rng.choice([1, 2, 4])):
            seconds = self.rng.choice([0.3, 0.8, 2.1])
            # The other caps are too small for a gang.
            count = self.rng.choice([1, 1, 1, 3]) if account == "large" else 1
            self.queues[partition].append(Task(account, self.rng.choice(SIZES), seconds, count))

    async def replace_owner(self, partition: int) -> None:
        """Ends an owner; the former one adjusts shares for some time beside its successor."""
        former, self.owners[partition] = self.owners[partition], None
        await asyncio.sleep(self.rng.choice([0.05, 1.5]))
        if self.owners[partition] is not None or former is None:
            return
        self.retired.append(former)
        await self.open_owner(partition)
        await asyncio.sleep(self.rng.choice([0.0, 1.0, 4.0]))
        await former.stop()


async def _act(world: CapWorld) -> None:
    rng, store = world.rng, world.store
    action = rng.choice(["submit"] * 8 + ["owner"] * 2 + ["cap", "faults", "down", "forget"])
    if action == "submit":
        world.submit()
    elif action == "owner":
        asyncio.ensure_future(world.replace_owner(rng.randrange(PARTITIONS)))
    elif action == "cap":
        account = rng.choice(ACCOUNTS)
        factor = rng.choice([0.5, 1.0, 1.0, 2.0])
        cap = Amounts(*(int(amount * factor) for amount in CAPS[account]))
        if account != "tiny":
            world.change_cap(account, cap)
    elif action == "faults":
        store.is_faulty = not store.is_faulty
    elif action == "down":
        store.is_down = True
        asyncio.get_running_loop().call_later(
            rng.choice([0.3, 2.0]), setattr, store, "is_down", False
        )
    else:
        store.first = len(store.records)


class CapPlay(NamedTuple):
    violations: list[Violation]
    waiting: int
    started: int
    held: list[str]


async def _play_caps(seed: int) -> CapPlay:
    rng = Random(seed)
    world = CapWorld(rng)
    for partition in range(PARTITIONS):
        await world.open_owner(partition)
    planners = asyncio.ensure_future(world.run_planners())
    until = asyncio.get_running_loop().time() + FAULTS_S
    while asyncio.get_running_loop().time() < until:
        await _act(world)
        await asyncio.sleep(rng.choice([0.01, 0.1, 0.4]))
    world.store.is_faulty = world.store.is_down = False
    # A cap that is smaller than a task lets it start alone, which is another rule.
    for account, cap in CAPS.items():
        if world.accounts[account].cap != cap:
            world.change_cap(account, cap)
    for _ in range(CALM_S):
        if any(world.queues):
            await asyncio.sleep(1.0)
    # Longer than any task runs.
    await asyncio.sleep(3.0)
    waiting = sum(len(queue) for queue in world.queues)
    used = [account for account in ACCOUNTS if world._measure(account) != NOTHING]
    planners.cancel()
    for owner in (*world.owners, *world.retired):
        if owner is not None:
            await owner.stop()
    return CapPlay(world.violations, waiting, world.started, used)


def play_caps(seed: int) -> CapPlay:
    """Plays twenty seconds of faults and then a calm time."""
    return play(_play_caps(seed))
