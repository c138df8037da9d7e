"""Choice of machines to move between pools.

Load pattern: each queue in its turn asks for several times its mean for some seconds, more than its
pool holds, and for little in between. A machine in a pool costs money each second, used or not; one
in the standby pool costs none; a move costs as much as some three seconds in a pool. So a pool that
is short gets machines at once, from pools that would give theirs back or from the standby pool, and
a pool that has had idle machines for a while gives them back. While the order of the turns is not
known, each pool keeps enough for the first seconds of its turn.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from carawayshore.workflows.model import Machine, ServiceLoad
from carawayshore.workflows.turns import TurnForecast

# Room kept free above the work that is submitted.
HEADROOM = 1.15
SPARE_MACHINES = 1
# Time in seconds in which a pool should do the work that waits; about the slack of an objective.
CLEAR_SECONDS = 1.5
# A pool whose turn may be next keeps this share of an equal part of all machines, to take the first
# of a burst; one that has had its turn keeps less.
FLOOR_SHARE = 0.5
RESTED_FLOOR_SHARE = 0.15
# Time in seconds for which a pool's need must have been lower before it gives a machine back.
IDLE_SECONDS = 2.0
# Most machines that one pool gives back at a time.
MOST_RETURNED = 2


class Move(NamedTuple):
    """A machine to move; ``idle`` machines need no cordon first."""

    machine: Machine
    pool: str
    why: str


class PoolNeed(NamedTuple):
    """Machines of a pool: those that it needs now, and those that it keeps if nobody needs them."""

    needed: int
    kept: int


class PoolView(NamedTuple):
    """What the choice rests on.

    Parameters
    ----------
    services : dict of str to ServiceLoad
        Services in use; pools of others are left alone.
    machines : list of Machine
    standby : frozenset of str
        Pools whose machines cost nothing.
    busy : frozenset of str
        Machines that are being moved or taken to upkeep.
    needs : dict of str to PoolNeed
    """

    services: dict[str, ServiceLoad]
    machines: list[Machine]
    standby: frozenset[str]
    busy: frozenset[str]
    needs: dict[str, PoolNeed]


class PoolHistory:
    """Machines that one pool needed lately."""

    def __init__(self) -> None:
        self._needs: deque[tuple[float, int]] = deque()

    def add(
        self,
        now: float,
        load: ServiceLoad,
        machine_millicores: int,
        floor: int,
        expected_cores: float = 0.0,
    ) -> PoolNeed:
        """Adds what a survey found and returns the number of machines that the pool needs.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        load : ServiceLoad
        machine_millicores : int
            Size of a machine.
        floor : int
            Machines that the pool keeps in any case.
        expected_cores : float
            Cores for a turn that is about to begin.
        """
        machines = floor
        if machine_millicores > 0:
            cores = load.long_running_cores + max(measure_short(load), expected_cores)
            machines = math.ceil(cores * 1000 / machine_millicores) + SPARE_MACHINES
        self._needs.append((now, machines))
        while now - self._needs[0][0] > IDLE_SECONDS:
            self._needs.popleft()
        recent = max(need for _, need in self._needs)
        return PoolNeed(max(1, recent), max(floor, recent))


def measure_short(load: ServiceLoad) -> float:
    """Returns the cores that a pool's short tasks need.

    What is submitted decides, before it has become a backlog; running tasks keep their machines.
    """
    waiting = load.waiting_core_seconds / CLEAR_SECONDS
    return max(load.running_cores, load.offered_cores * HEADROOM + waiting)


class PoolSizes:
    """Number of machines that each pool needs, from its demand and the turns that are foreseen."""

    def __init__(self) -> None:
        self._forecast = TurnForecast()
        self._histories: dict[str, PoolHistory] = {}

    def add(self, now: float, view: PoolView) -> dict[str, PoolNeed]:
        """Adds what a survey of all pools found; ``now`` is in seconds of the clock."""
        all_cores = sum(item.millicores for item in view.machines) / 1000
        offered = {name: item.offered_cores for name, item in view.services.items()}
        self._forecast.add(now, offered, all_cores)
        expected = self._forecast.expect(now)
        needs = {}
        for name, load in view.services.items():
            share = RESTED_FLOOR_SHARE if self._forecast.has_rested(name) else FLOOR_SHARE
            sizes = [item.millicores for item in view.machines if item.pool == name]
            needs[name] = self._histories.setdefault(name, PoolHistory()).add(
                now,
                load,
                sum(sizes) // len(sizes) if sizes else 0,
                find_floor(view, share),
                expected.get(name, 0.0) * HEADROOM,
            )
        return needs


def find_floor(view: PoolView, share: float) -> int:
    """Returns a number of machines as a share of an equal part of all machines."""
    pools = len(view.services) + len(view.standby)
    return max(1, math.ceil(len(view.machines) / max(1, pools) * share))


def choose_moves(view: PoolView) -> list[Move]:
    """Returns the moves to begin now."""
    by_pool: dict[str, list[Machine]] = {}
    for machine in view.machines:
        by_pool.setdefault(machine.pool, []).append(machine)
    loads = {load.worker: load for item in view.services.values() for load in item.workers}
    idle = {pool: _list_idle(view, items, loads) for pool, items in by_pool.items()}
    counts = {
        name: sum(machine.state in ("up", "moving") for machine in by_pool.get(name, ()))
        for name in view.services
    }
    short = {name: view.needs[name].needed - counts[name] for name in view.services}
    moves = _fill_pools(view, short, idle)
    if not view.standby:
        return moves
    target = min(view.standby)
    for name in view.services:
        # Negative for a pool that has more than it needs, after what it gives to others.
        excess = -short[name] - (view.needs[name].kept - view.needs[name].needed)
        for _ in range(min(MOST_RETURNED, max(0, excess))):
            if idle.get(name):
                moves.append(Move(idle[name].pop(), target, "pool has had idle machines"))
    return moves


def _fill_pools(
    view: PoolView, short: dict[str, int], idle: dict[str, list[Machine]]
) -> list[Move]:
    """Returns moves into the pools that are short, the shortest first; takes from ``idle``.

    Machines that another pool would give back come first, since a way over the standby pool takes
    two moves; then standby machines, then those that other pools merely keep.
    """
    moves: list[Move] = []
    spare = [machine for pool in sorted(view.standby) for machine in idle.get(pool, ())]
    reserve = {name: view.needs[name].kept - view.needs[name].needed for name in short}
    for name in sorted(short, key=lambda item: -short[item]):
        for _ in range(max(0, short[name])):
            donor = _find_donor(short, idle, reserve)
            if donor is None and spare:
                moves.append(Move(spare.pop(), name, "pool is short, from standby"))
                continue
            donor = donor or _find_donor(short, idle, {})
            if donor is None:
                return moves
            moves.append(Move(idle[donor].pop(), name, f"pool is short, from {donor}"))
            short[donor] += 1
    return moves


def _find_donor(
    short: dict[str, int], idle: dict[str, list[Machine]], reserve: dict[str, int]
) -> str | None:
    """Returns the pool with most machines above its need and ``reserve``, None if there is none."""
    excess = {
        name: -count - reserve.get(name, 0) for name, count in short.items() if idle.get(name)
    }
    best = max(excess, key=lambda name: excess[name], default=None)
    return best if best is not None and excess[best] > 0 else None


def _list_idle(view: PoolView, machines: list[Machine], loads: dict) -> list[Machine]:
    """Returns the machines of a pool that nothing runs on, the best to take last."""
    found = []
    for machine in machines:
        if machine.state != "up" or machine.machine in view.busy:
            continue
        if machine.pool in view.standby:
            found.append(machine)
            continue
        load = loads.get(machine.worker)
        if load is not None and load.heard and load.tasks == 0 and not load.cordoned:
            found.append(machine)
    return sorted(found, key=lambda machine: machine.machine)
