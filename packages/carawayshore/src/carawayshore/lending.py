"""Lending of spare hosts: which hosts to move to a pool with a shortage, and when to return them.

Demand arrives in bursts that alternate between pools, so each pool is regularly short of hosts for
a few seconds. Decisions therefore use averages over a window longer than a burst, and compare costs
that are weighted by the operator's settings.
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

# A pool has a shortage if requests waited during at least this share of the window. High
# enough for a queue that receives bursts during a fifth of the time and drains between them.
SHORTAGE_THRESHOLD = 0.5
# A lent host is returned if its pool would use at most this share of its slots without the host.
# About twice the mean utilisation, so that a pool with regular bursts returns the host.
MAX_RETURN_UTILISATION = 0.4
# Share of slots in use that a pool is sized for; below 1 because requests spread unevenly.
TARGET_UTILISATION = 0.7
# Maximum weight of one sample: the demand in a longer gap between samples is unknown.
MAX_SAMPLE_GAP = timedelta(seconds=5)
# Time constant of the exponential decay of the distribution of the spare pool's own need.
NEED_TIME_CONSTANT = timedelta(minutes=10)
# Entries of that distribution that have decayed to this duration or less are removed.
MIN_HISTORY_SECONDS = 0.01
# Lower bound of the divisor for the rate of refused requests.
MIN_SAMPLE_SECONDS = 1e-3
# Subtracted before rounding up a number of hosts.
ROUNDING_TOLERANCE = 1e-6

SHORTAGE = "shortage"
UNNEEDED = "unneeded"
SPARE_SHORT = "spare-short"


class Demand(NamedTuple):
    """Demand on one pool at one time, summed over the entry hosts of the data centre.

    Parameters
    ----------
    waiting, running : int
        Number of requests that wait for a slot, and that are in progress.
    refused : int
        Number of requests refused for lack of slots since the previous sample.
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
        Pool that lent the host, empty if the host is not lent.
    draining_to : str
        Pool that the host is moving to, empty if it serves.
    running : int
        Number of requests in progress on the host.
    """

    host: str
    slots: int
    home: str = ""
    draining_to: str = ""
    running: int = 0


class LendingPool(NamedTuple):
    """A pool in the data centre of this process.

    Parameters
    ----------
    hosts : list of LendingHost
    budget : BudgetSettings
        Strictest availability budget of the services of the pool.
    min_serving : int
        Minimum number of serving hosts of the pool.
    spare : bool
        Whether hosts of the pool may be lent to other pools.
    """

    hosts: list[LendingHost]
    budget: BudgetSettings
    min_serving: int = 1
    spare: bool = False


ListConditions = Callable[[str], list[HostCondition]]


class Move(NamedTuple):
    """A move to start now; ``reason`` is a constant and ``explanation`` a text with the figures."""

    host: str
    from_pool: str
    to_pool: str
    reason: str
    explanation: str


class _DemandAverages:
    """Exponentially weighted averages of one pool's demand, with the window as time constant.

    Attributes
    ----------
    shortage : float
        Share of the time during which requests waited or were refused.
    waiting : float
        Mean number of waiting requests, plus the requests refused per second.
    running : float
        Mean number of requests in progress.
    """

    def __init__(self) -> None:
        self.shortage = 0.0
        self.waiting = 0.0
        self.running = 0.0

    def add(self, sample: Demand, seconds: float, window: float) -> None:
        weight = 1 - math.exp(-seconds / window)
        has_shortage = bool(sample.waiting or sample.refused)
        waiting = sample.waiting + sample.refused / max(seconds, MIN_SAMPLE_SECONDS)
        self.shortage += weight * (has_shortage - self.shortage)
        self.waiting += weight * (waiting - self.waiting)
        self.running += weight * (sample.running - self.running)


class _NeedHistory:
    """Distribution over recent time of the number of hosts that the spare pool itself needed."""

    def __init__(self) -> None:
        self._seconds_by_need: dict[int, float] = {}

    def add(self, hosts: int, seconds: float) -> None:
        decay = math.exp(-seconds / NEED_TIME_CONSTANT.total_seconds())
        self._seconds_by_need = {
            n: duration * decay
            for n, duration in self._seconds_by_need.items()
            if duration * decay > MIN_HISTORY_SECONDS
        }
        self._seconds_by_need[hosts] = self._seconds_by_need.get(hosts, 0.0) + seconds

    def find_quantile(self, probability: float) -> int:
        total, found = 0.0, 0
        limit = probability * sum(self._seconds_by_need.values())
        for found in sorted(self._seconds_by_need):
            total += self._seconds_by_need[found]
            if total >= limit:
                break
        return found


class Lender:
    """Decides which spare hosts of one data centre to lend and to return.

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
        self._last_sample_at = clock.elapsed()
        self._averages: dict[str, _DemandAverages] = {}
        self._own_need = _NeedHistory()
        self._pool_of: dict[str, str] = {}
        self._moved_at: dict[str, timedelta] = {}

    def observe(self, demand: Mapping[str, Demand], pools: Mapping[str, LendingPool]) -> None:
        """Records a sample of the current demand; a pool without an entry has no demand."""
        now = self._clock.elapsed()
        seconds = min(now - self._last_sample_at, MAX_SAMPLE_GAP).total_seconds()
        self._last_sample_at = now
        self._averages = {name: self._averages.get(name, _DemandAverages()) for name in pools}
        for name, average in self._averages.items():
            average.add(demand.get(name, Demand()), seconds, self.options["window_seconds"])
        self._track_moves(pools, now)
        spare = find_spare_pool(pools)
        if spare:
            self._own_need.add(self._compute_own_need(spare, pools[spare]), seconds)

    def _compute_own_need(self, name: str, pool: LendingPool) -> int:
        """Returns how many hosts the spare pool's own mean demand needs."""
        slots = max((host.slots for host in pool.hosts), default=1)
        need = math.ceil(
            self._averages[name].running / slots / TARGET_UTILISATION - ROUNDING_TOLERANCE
        )
        return min(need, len(pool.hosts))

    def _track_moves(self, pools: Mapping[str, LendingPool], now: timedelta) -> None:
        """Records when hosts changed pools; a lent host counts as moved when first observed."""
        current = {host.host: name for name, pool in pools.items() for host in pool.hosts}
        lent = {host.host for pool in pools.values() for host in pool.hosts if host.home}
        for name, pool in current.items():
            known = self._pool_of.get(name)
            if known != pool and (known is not None or name in lent):
                self._moved_at[name] = now
                # The average was measured with fewer hosts, so it starts again from zero.
                self._averages[pool].shortage = 0.0
        self._pool_of = current
        self._moved_at = {name: at for name, at in self._moved_at.items() if name in current}

    def _has_completed_min_stay(self, host: str) -> bool:
        stay = timedelta(seconds=self.options["min_stay_seconds"])
        return host not in self._moved_at or self._clock.elapsed() - self._moved_at[host] >= stay

    def compute_buffer_size(self, pools: Mapping[str, LendingPool]) -> int:
        """Returns how many hosts the spare pool keeps for itself as a buffer.

        This is the number of hosts for which the cost of one more idle host equals the cost of the
        requests that would wait without it: a quantile of the pool's own need.
        """
        spare = find_spare_pool(pools)
        if not spare:
            return 0
        waiting, buffer = self.options["waiting_weight"], self.options["buffer_weight"]
        probability = waiting / (waiting + buffer) if waiting + buffer else 0.5
        return max(pools[spare].min_serving, self._own_need.find_quantile(probability))

    def decide(
        self, pools: Mapping[str, LendingPool], list_conditions: ListConditions
    ) -> list[Move]:
        """Returns the moves to start now; sets ``obstacles`` to the reasons against other moves.

        Parameters
        ----------
        pools : mapping of str to LendingPool
        list_conditions : callable
            Returns the conditions of a pool's hosts in all data centres. Called only for pools
            that a host may leave.
        """
        self.obstacles = {}
        spare = find_spare_pool(pools)
        if not self.options["enabled"] or not spare:
            self.obstacles[""] = (
                "no spare pool is configured" if not spare else "lending is disabled"
            )
            return []
        selection = _MoveSelection(self, pools, spare, list_conditions)
        selection.choose_returns()
        selection.choose_loans()
        return selection.moves

    def has_shortage(self, pool: str) -> bool:
        """Returns whether requests waited in the pool for most of the window."""
        return self.get_average(pool).shortage >= SHORTAGE_THRESHOLD

    def get_average(self, pool: str) -> _DemandAverages:
        return self._averages.get(pool) or _DemandAverages()

    def may_move(self, host: LendingHost) -> bool:
        """Returns whether the host is serving and has completed the minimum stay in its pool."""
        return not host.draining_to and self._has_completed_min_stay(host.host)

    def describe(self) -> dict[str, dict[str, float]]:
        """Returns the averages of each pool for the state dump."""
        return {
            name: {field: round(value, 3) for field, value in vars(average).items()}
            for name, average in sorted(self._averages.items())
        }


def find_spare_pool(pools: Mapping[str, LendingPool]) -> str:
    """Returns the name of the spare pool, or an empty string."""
    return next((name for name, pool in sorted(pools.items()) if pool.spare), "")


def _sum_serving_slots(hosts: Iterable[LendingHost]) -> int:
    return sum(host.slots for host in hosts if not host.draining_to)


class _MoveSelection:
    """Selection of moves in one decision; each chosen move restricts the following ones."""

    def __init__(
        self,
        lender: Lender,
        pools: Mapping[str, LendingPool],
        spare: str,
        list_conditions: ListConditions,
    ) -> None:
        self._lender = lender
        self._options = lender.options
        self._pools = pools
        self._spare = spare
        self._buffer_hosts = lender.compute_buffer_size(pools)
        self._list_conditions = list_conditions
        self._conditions: dict[str, list[HostCondition]] = {}
        self.moves: list[Move] = []
        moving = [
            host.draining_to
            for name, pool in pools.items()
            for host in pool.hosts
            if host.draining_to not in ("", name)
        ]
        self._receiving_pools = set(moving)
        self._allowed_moves = self._options["max_moves"] - len(moving)

    def _get_conditions(self, pool: str) -> list[HostCondition]:
        if pool not in self._conditions:
            self._conditions[pool] = self._list_conditions(pool)
        return self._conditions[pool]

    def _list_available(self, pool: str) -> set[str]:
        return {item.host for item in self._get_conditions(pool) if item.available}

    def _list_leaving(self, pool: str) -> list[str]:
        return [move.host for move in self.moves if move.from_pool == pool]

    def _find_obstacle(self, name: str, host: LendingHost) -> str:
        """Returns the reason why a host may not leave its pool now, or an empty string."""
        pool, leaving = self._pools[name], self._list_leaving(name)
        if len(self.moves) >= self._allowed_moves:
            return f"the maximum of {self._options['max_moves']} moves is in progress or chosen"
        available = self._list_available(name)
        if host.host not in available:
            return f"host {host.host} is failed, draining or moving"
        staying = [
            item.host
            for item in pool.hosts
            if item.host in available
            and not item.draining_to
            and item.host not in (host.host, *leaving)
        ]
        min_hosts = self._buffer_hosts if name == self._spare else pool.min_serving
        if len(staying) < min_hosts:
            return f"pool {name} must keep {min_hosts} serving hosts"
        if not may_remove(self._get_conditions(name), [*leaving, host.host], pool.budget):
            return f"pool {name} may have at most {pool.budget.max_unavailable} unavailable hosts"
        return ""

    def _add_move(
        self, name: str, host: LendingHost, to_pool: str, reason: str, explanation: str
    ) -> str:
        obstacle = self._find_obstacle(name, host)
        if not obstacle:
            self.moves.append(Move(host.host, name, to_pool, reason, explanation))
        return obstacle

    def choose_returns(self) -> None:
        """Chooses lent hosts that their pool does not need or that the spare pool needs more."""
        for name, pool in sorted(self._pools.items()):
            if name in self._receiving_pools or self._lender.has_shortage(name):
                continue
            for host in pool.hosts:
                if host.home == self._spare and self._lender.may_move(host):
                    reason, explanation = self._find_return_reason(name, host)
                    obstacle = (
                        self._add_move(name, host, self._spare, reason, explanation)
                        if reason
                        else explanation
                    )
                    if obstacle:
                        self._lender.obstacles[name] = obstacle

    def _find_return_reason(self, name: str, host: LendingHost) -> tuple[str, str]:
        average = self._lender.get_average(name)
        leaving = set(self._list_leaving(name))
        staying = [item for item in self._pools[name].hosts if item.host not in leaving]
        slots = max(_sum_serving_slots(staying) - host.slots, 1)
        utilisation = average.running / slots
        explanation = (
            f"pool {name} would use {utilisation:.2f} of its {slots} slots without {host.host}"
        )
        if utilisation <= MAX_RETURN_UTILISATION:
            return UNNEEDED, f"{explanation}, at most {MAX_RETURN_UTILISATION}"
        if self._lender.has_shortage(self._spare) and utilisation <= TARGET_UTILISATION:
            return SPARE_SHORT, f"{explanation}, and pool {self._spare} has a shortage"
        return "", f"{explanation}, more than {MAX_RETURN_UTILISATION}"

    def choose_loans(self) -> None:
        """Chooses hosts for the pools with a shortage, those with most waiting requests first."""
        short_pools = [
            name
            for name in self._pools
            if name != self._spare
            and name not in self._receiving_pools
            and self._lender.has_shortage(name)
        ]
        for name in sorted(short_pools, key=lambda pool: -self._lender.get_average(pool).waiting):
            obstacle = self._choose_loans_to(name)
            if obstacle:
                self._lender.obstacles[name] = obstacle

    def _choose_loans_to(self, name: str) -> str:
        """Chooses hosts until one may not leave or costs more than it saves; returns the reason."""
        hosts = [host for host in self._pools[self._spare].hosts if self._lender.may_move(host)]
        free = self._list_available(self._spare) - set(self._list_leaving(self._spare))
        slots = _sum_serving_slots(self._pools[name].hosts)
        for host in sorted(hosts, key=lambda item: (item.running, item.host)):
            if host.host not in free:
                continue
            saved, cost = self._estimate_saving_and_cost(name, host, slots)
            explanation = (
                f"pool {name} has a shortage; one more host saves {saved:.0f} and costs {cost:.0f}"
                " (weighted)"
            )
            if saved <= cost:
                return explanation
            obstacle = self._add_move(self._spare, host, name, SHORTAGE, explanation)
            if obstacle:
                return obstacle
            slots += host.slots
        return f"pool {self._spare} has no further host available for lending"

    def _estimate_saving_and_cost(
        self, name: str, host: LendingHost, slots: int
    ) -> tuple[float, float]:
        """Returns the weighted saving and cost of lending the host for the minimum stay."""
        average, stay = self._lender.get_average(name), self._options["min_stay_seconds"]
        relief = host.slots / (slots + host.slots)
        saved = self._options["waiting_weight"] * average.waiting * relief * stay
        idle = host.slots * (1 - average.shortage) * stay
        return saved, self._options["move_weight"] + self._options["buffer_weight"] * idle
