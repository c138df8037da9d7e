"""Lending of spare hosts: which hosts to move to a pool that is short, and when to bring them back.

Demand takes turns, so that each pool is short for some seconds now and then. Decisions rest on
averages over a window that is longer than a turn, and compare costs whose weights the operator
sets.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.budget import BudgetSettings, HostCondition, may_remove

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore.configuration import LendingOptions

# A pool is short when work waited during this share of the window. A queue that takes a fifth of
# the time for its turn and then works off the rest stays below it.
LASTING_SHORTAGE = 0.5
# A host is not needed when its pool would use at most this share of its slots without it. It is
# about twice the mean use, so that a pool with the usual turns gives a host back.
UNNEEDED_USE = 0.4
# Slots of the spare pool are counted as needed at this use, since work does not spread evenly.
NEED_USE = 0.7
# A sample stands for at most this time: after a pause nothing is known about the time before it.
MAX_SAMPLE_GAP = timedelta(seconds=5)
# The distribution of the spare pool's need is forgotten with this time constant.
NEED_MEMORY = timedelta(minutes=10)

SHORTAGE = "shortage"
UNNEEDED = "unneeded"
SPARE_SHORT = "spare-short"


class Demand(NamedTuple):
    """Demand on one pool at one moment, summed over the entry hosts of the data centre.

    Parameters
    ----------
    waiting, running : int
        Requests.
    refused : int
        Requests refused for lack of slots since the last sample.
    """

    waiting: int = 0
    running: int = 0
    refused: int = 0


class LendingHost(NamedTuple):
    """A host of a pool.

    Parameters
    ----------
    host : str
    slots : int
    home : str
        Pool that lent it, empty while it is not lent.
    draining_to : str
        Pool that it is moving to, empty if it serves.
    running : int
        Requests in progress on it.
    """

    host: str
    slots: int
    home: str = ""
    draining_to: str = ""
    running: int = 0


class LendingPool(NamedTuple):
    """A pool in the own data centre.

    Parameters
    ----------
    hosts : list of LendingHost
    budget : BudgetSettings
        Strictest availability budget of the services of the pool.
    min_serving : int
        Hosts that stay in the pool.
    spare : bool
    """

    hosts: list[LendingHost]
    budget: BudgetSettings
    min_serving: int = 1
    spare: bool = False


Conditions = Callable[[str], list[HostCondition]]


class Move(NamedTuple):
    """A move to start now; ``reason`` is a name and ``explanation`` gives the figures."""

    host: str
    from_pool: str
    to_pool: str
    reason: str
    explanation: str


class _Average:
    """Averages of one pool's demand, with the window as time constant."""

    def __init__(self) -> None:
        self.shortage = 0.0
        self.waiting = 0.0
        self.running = 0.0

    def add(self, sample: Demand, seconds: float, window: float) -> None:
        gain = 1 - math.exp(-seconds / window)
        short = bool(sample.waiting or sample.refused)
        waiting = sample.waiting + sample.refused / max(seconds, 1e-3)
        self.shortage += gain * (short - self.shortage)
        self.waiting += gain * (waiting - self.waiting)
        self.running += gain * (sample.running - self.running)


class _NeedHistory:
    """Share of the recent time during which the spare pool itself needed a number of hosts."""

    def __init__(self) -> None:
        self._seconds: dict[int, float] = {}

    def add(self, hosts: int, seconds: float) -> None:
        kept = math.exp(-seconds / NEED_MEMORY.total_seconds())
        self._seconds = {n: held * kept for n, held in self._seconds.items() if held * kept > 0.01}
        self._seconds[hosts] = self._seconds.get(hosts, 0.0) + seconds

    def find_quantile(self, share: float) -> int:
        total, found = 0.0, 0
        limit = share * sum(self._seconds.values())
        for found in sorted(self._seconds):
            total += self._seconds[found]
            if total >= limit:
                break
        return found


class Lender:
    """Decides about the spare hosts of one data centre.

    Parameters
    ----------
    clock : Clock
    options : LendingOptions
        The object ``lending`` of the configuration.

    Examples
    --------
    >>> from datetime import timedelta
    >>> from carawayshore.configuration import complete_configuration
    >>> from carawayshore.testing import ManualClock
    >>> clock = ManualClock()
    >>> options = complete_configuration({"pools": {}, "services": {}})["lending"]
    >>> lender = Lender(clock, options)
    >>> def build_pool(name, spare):
    ...     hosts = [LendingHost(f"{name}{n}", 8) for n in range(4)]
    ...     return LendingPool(hosts, BudgetSettings(2), 2, spare)
    >>> def list_conditions(name):
    ...     return [HostCondition(host.host, "r1") for host in pools[name].hosts]
    >>> pools = {"a": build_pool("a", False), "s": build_pool("s", True)}
    >>> for _ in range(30):
    ...     clock.advance(timedelta(seconds=1))
    ...     lender.observe({"a": Demand(waiting=20, running=32)}, pools)
    >>> [(move.host, move.to_pool, move.reason) for move in lender.decide(pools, list_conditions)]
    [('s0', 'a', 'shortage'), ('s1', 'a', 'shortage')]
    """

    def __init__(self, clock: Clock, options: LendingOptions) -> None:
        self.options = options
        self.obstacles: dict[str, str] = {}
        self._clock = clock
        self._observed = clock.elapsed()
        self._averages: dict[str, _Average] = {}
        self._need = _NeedHistory()
        self._pools: dict[str, str] = {}
        self._moved: dict[str, timedelta] = {}

    def observe(self, demand: Mapping[str, Demand], pools: Mapping[str, LendingPool]) -> None:
        """Takes in the demand of this moment; a pool without entry has none."""
        now = self._clock.elapsed()
        seconds = min(now - self._observed, MAX_SAMPLE_GAP).total_seconds()
        self._observed = now
        self._averages = {name: self._averages.get(name, _Average()) for name in pools}
        for name, average in self._averages.items():
            average.add(demand.get(name, Demand()), seconds, self.options["window_seconds"])
        self._note_hosts(pools, now)
        spare = find_spare(pools)
        if spare:
            self._need.add(self._count_own_need(spare, pools[spare]), seconds)

    def _count_own_need(self, name: str, pool: LendingPool) -> int:
        """Returns the hosts that the spare pool's own demand takes on average."""
        slots = max((host.slots for host in pool.hosts), default=1)
        need = math.ceil(self._averages[name].running / slots / NEED_USE - 1e-6)
        return min(need, len(pool.hosts))

    def _note_hosts(self, pools: Mapping[str, LendingPool], now: timedelta) -> None:
        """Notes when hosts changed pools; a lent host counts from when it was first seen."""
        current = {host.host: name for name, pool in pools.items() for host in pool.hosts}
        lent = {host.host for pool in pools.values() for host in pool.hosts if host.home}
        for name, pool in current.items():
            known = self._pools.get(name)
            if known != pool and (known is not None or name in lent):
                self._moved[name] = now
                # The shortage was one of fewer hosts; it has to show again.
                self._averages[pool].shortage = 0.0
        self._pools = current
        self._moved = {name: at for name, at in self._moved.items() if name in current}

    def _has_stayed(self, host: str) -> bool:
        stay = timedelta(seconds=self.options["min_stay_seconds"])
        return host not in self._moved or self._clock.elapsed() - self._moved[host] >= stay

    def count_kept(self, pools: Mapping[str, LendingPool]) -> int:
        """Returns the hosts that the spare pool keeps for itself as buffer.

        It is the quantile of its own need at which one more idle host would cost as much as the
        requests that wait without it.
        """
        spare = find_spare(pools)
        if not spare:
            return 0
        waiting, buffer = self.options["waiting_weight"], self.options["buffer_weight"]
        share = waiting / (waiting + buffer) if waiting + buffer else 0.5
        return max(pools[spare].min_serving, self._need.find_quantile(share))

    def decide(self, pools: Mapping[str, LendingPool], list_conditions: Conditions) -> list[Move]:
        """Returns the moves to start now; ``obstacles`` then tells why others are not.

        Parameters
        ----------
        pools : mapping of str to LendingPool
        list_conditions : callable
            Returns the conditions of a pool's hosts in all data centres. It is called only for
            pools that a host may leave.
        """
        self.obstacles = {}
        spare = find_spare(pools)
        if not self.options["enabled"] or not spare:
            self.obstacles[""] = "no pool is spare" if not spare else "lending is not enabled"
            return []
        round_ = _Round(self, pools, spare, list_conditions)
        round_.bring_back()
        round_.lend()
        return round_.moves

    def is_short(self, pool: str) -> bool:
        """Returns whether work waited in the pool for most of the window."""
        return self.find_average(pool).shortage >= LASTING_SHORTAGE

    def find_average(self, pool: str) -> _Average:
        return self._averages.get(pool) or _Average()

    def may_move(self, host: LendingHost) -> bool:
        """Returns whether the host is not moving and has stayed for the minimum time."""
        return not host.draining_to and self._has_stayed(host.host)

    def describe(self) -> dict[str, dict[str, float]]:
        """Returns the averages of each pool for the state dump."""
        return {
            name: {field: round(value, 3) for field, value in vars(average).items()}
            for name, average in sorted(self._averages.items())
        }


def find_spare(pools: Mapping[str, LendingPool]) -> str:
    """Returns the name of the spare pool, or an empty string."""
    return next((name for name, pool in sorted(pools.items()) if pool.spare), "")


def _sum_slots(hosts: Iterable[LendingHost]) -> int:
    return sum(host.slots for host in hosts if not host.draining_to)


class _Round:
    """One decision over all pools; each chosen move counts for the ones after it."""

    def __init__(
        self,
        lender: Lender,
        pools: Mapping[str, LendingPool],
        spare: str,
        list_conditions: Conditions,
    ) -> None:
        self._lender = lender
        self._options = lender.options
        self._pools = pools
        self._spare = spare
        self._kept = lender.count_kept(pools)
        self._list_conditions = list_conditions
        self._conditions: dict[str, list[HostCondition]] = {}
        self.moves: list[Move] = []
        moving = [
            host.draining_to
            for name, pool in pools.items()
            for host in pool.hosts
            if host.draining_to not in ("", name)
        ]
        self._arriving = set(moving)
        self._room = self._options["max_moves"] - len(moving)

    def _find_conditions(self, pool: str) -> list[HostCondition]:
        if pool not in self._conditions:
            self._conditions[pool] = self._list_conditions(pool)
        return self._conditions[pool]

    def _list_available(self, pool: str) -> set[str]:
        return {item.host for item in self._find_conditions(pool) if item.available}

    def _list_taken(self, pool: str) -> list[str]:
        return [move.host for move in self.moves if move.from_pool == pool]

    def _find_obstacle(self, name: str, host: LendingHost) -> str:
        """Returns why a host may not leave its pool now, or an empty string."""
        pool, taken = self._pools[name], self._list_taken(name)
        if len(self.moves) >= self._room:
            return f"{self._options['max_moves']} moves are in progress or chosen"
        available = self._list_available(name)
        if host.host not in available:
            return f"host {host.host} is failed, draining or moving"
        staying = [
            item.host
            for item in pool.hosts
            if item.host in available
            and not item.draining_to
            and item.host not in (host.host, *taken)
        ]
        least = self._kept if name == self._spare else pool.min_serving
        if len(staying) < least:
            return f"pool {name} keeps {least} serving hosts"
        if not may_remove(self._find_conditions(name), [*taken, host.host], pool.budget):
            return f"pool {name} may miss {pool.budget.max_unavailable} hosts at once"
        return ""

    def _take(self, name: str, host: LendingHost, to_pool: str, reason: str, why: str) -> str:
        obstacle = self._find_obstacle(name, host)
        if not obstacle:
            self.moves.append(Move(host.host, name, to_pool, reason, why))
        return obstacle

    def bring_back(self) -> None:
        """Chooses lent hosts that their pool does not need, or that the spare pool needs more."""
        for name, pool in sorted(self._pools.items()):
            if name in self._arriving or self._lender.is_short(name):
                continue
            for host in pool.hosts:
                if host.home == self._spare and self._lender.may_move(host):
                    reason, why = self._find_return_reason(name, host)
                    obstacle = self._take(name, host, self._spare, reason, why) if reason else why
                    if obstacle:
                        self._lender.obstacles[name] = obstacle

    def _find_return_reason(self, name: str, host: LendingHost) -> tuple[str, str]:
        average = self._lender.find_average(name)
        taken = set(self._list_taken(name))
        staying = [item for item in self._pools[name].hosts if item.host not in taken]
        rest = max(_sum_slots(staying) - host.slots, 1)
        use = average.running / rest
        why = f"pool {name} would use {use:.2f} of its {rest} slots without {host.host}"
        if use <= UNNEEDED_USE:
            return UNNEEDED, f"{why}, at most {UNNEEDED_USE}"
        if self._lender.is_short(self._spare) and use <= NEED_USE:
            return SPARE_SHORT, f"{why}, and pool {self._spare} is short"
        return "", why

    def lend(self) -> None:
        """Chooses hosts for the pools that are short, the most costly shortage first."""
        short = [
            name
            for name in self._pools
            if name != self._spare and name not in self._arriving and self._lender.is_short(name)
        ]
        for name in sorted(short, key=lambda pool: -self._lender.find_average(pool).waiting):
            obstacle = self._lend_to(name)
            if obstacle:
                self._lender.obstacles[name] = obstacle

    def _lend_to(self, name: str) -> str:
        """Chooses hosts until one may not be taken or costs more than it saves; returns why."""
        hosts = [host for host in self._pools[self._spare].hosts if self._lender.may_move(host)]
        free = self._list_available(self._spare) - set(self._list_taken(self._spare))
        slots = _sum_slots(self._pools[name].hosts)
        for host in sorted(hosts, key=lambda item: (item.running, item.host)):
            if host.host not in free:
                continue
            saved, cost = self._weigh(name, host, slots)
            why = f"pool {name} is short; a host saves {saved:.0f} and costs {cost:.0f}"
            if saved <= cost:
                return why
            obstacle = self._take(self._spare, host, name, SHORTAGE, why)
            if obstacle:
                return obstacle
            slots += host.slots
        return f"pool {self._spare} has no host left that may be lent"

    def _weigh(self, name: str, host: LendingHost, slots: int) -> tuple[float, float]:
        """Returns what lending the host saves and costs during the minimum stay, in weights."""
        average, stay = self._lender.find_average(name), self._options["min_stay_seconds"]
        relief = host.slots / (slots + host.slots)
        saved = self._options["waiting_weight"] * average.waiting * relief * stay
        idle = host.slots * (1 - average.shortage) * stay
        return saved, self._options["move_weight"] + self._options["buffer_weight"] * idle
