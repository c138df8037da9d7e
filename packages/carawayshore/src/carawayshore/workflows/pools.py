"""Choice of machines to move between pools.

Load pattern: the queues burst one after another, each to several times its mean demand for some
seconds (its turn), which exceeds the capacity of its pool, with little demand in between. A machine
in a pool costs money each second, used or not; a machine in the standby pool costs nothing; a move
costs about as much as three seconds in a pool. A pool with too few machines therefore gets more at
once, from pools with surplus machines or from the standby pool, and a pool returns machines that
have been idle for some time. While the order of the bursts is unknown, each pool keeps enough
machines for the first seconds of its burst.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import NamedTuple

from carawayshore.workflows.model import Machine, ServiceLoad
from carawayshore.workflows.turns import TurnForecast

# Ratio of planned to offered cores.
HEADROOM_FACTOR = 1.15
# Machines of a pool beyond those that its demand requires.
EXTRA_MACHINES = 1
# Time in which a pool should process its waiting work; about the delay that the objectives of
# workflows allow.
BACKLOG_DRAIN_SECONDS = 1.5
# Minimum size of a pool that may burst next, as a share of the mean pool size (all machines divided
# by all pools). Enough for the start of a burst.
MIN_SIZE_SHARE = 0.5
# Minimum size of a pool that burst in this round, as a share of the mean pool size.
REDUCED_MIN_SIZE_SHARE = 0.15
# Time for which the demand of a pool must have been lower before machines are returned.
IDLE_SECONDS = 2.0
# Time for which a machine that is up counts as about to take tasks while the owner does not know
# its worker yet. Workers are known within a second of the end of a move.
START_SECONDS = 2.0
# Maximum number of machines that one pool returns at a time.
MAX_RETURNED_MACHINES = 2


class Move(NamedTuple):
    """Move of an idle machine to another pool."""

    machine: Machine
    pool: str
    why: str


class PoolNeed(NamedTuple):
    """Number of machines that a pool needs.

    Parameters
    ----------
    needed : int
        Machines that it needs now.
    retained : int
        Machines that it keeps while no other pool needs them.
    taking_tasks : int
        Machines among them whose workers have to take tasks, for its long-running tasks.
    additional : int
        Machines that it needs beyond those whose workers take tasks now, for short tasks that none
        of these workers can hold.
    """

    needed: int
    retained: int
    taking_tasks: int = 0
    additional: int = 0


class PoolView(NamedTuple):
    """State of all pools and their demand.

    Parameters
    ----------
    services : dict of str to ServiceLoad
        Services in use; the pools of other services are not changed.
    machines : list of Machine
    standby : frozenset of str
        Standby pools, whose machines cost nothing.
    busy : frozenset of str
        Machines that are being moved or taken out of service for upkeep.
    needs : dict of str to PoolNeed
    pending_moves : dict of str to str
        Destination pool of each machine whose move has been chosen. Until it is listed there, the
        machine counts for the destination.
    unusable : frozenset of str
        Machines that get no tasks for some time, since an order to them may yet be carried out.
        They count for no pool.
    released : frozenset of str
        Machines whose move was cancelled and whose cordon is being ended.
    unknown : frozenset of str
        Machines that have been up for some time without a worker that the owner knows.
    """

    services: dict[str, ServiceLoad]
    machines: list[Machine]
    standby: frozenset[str]
    busy: frozenset[str]
    needs: dict[str, PoolNeed]
    pending_moves: dict[str, str]
    unusable: frozenset[str] = frozenset()
    released: frozenset[str] = frozenset()
    unknown: frozenset[str] = frozenset()


class PoolHistory:
    """Number of machines that one pool needed during the last ``IDLE_SECONDS``."""

    def __init__(self) -> None:
        self._needs: deque[tuple[float, int]] = deque()

    def update(
        self,
        now: float,
        load: ServiceLoad,
        machine_millicores: int,
        min_size: int,
        expected_cores: float = 0.0,
    ) -> PoolNeed:
        """Records the demand of the pool and returns the number of machines that it needs.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        load : ServiceLoad
        machine_millicores : int
            Size of a machine.
        min_size : int
            Minimum number of machines of the pool.
        expected_cores : float
            Cores for a burst that is about to begin.
        """
        machines = min_size
        if machine_millicores > 0:
            cores = load.long_running_cores + max(estimate_short_task_cores(load), expected_cores)
            machines = math.ceil(cores * 1000 / machine_millicores)
            # The extra one takes what the loss of any other one leaves without a worker.
            machines = max(machines, load.long_running_workers) + EXTRA_MACHINES
        self._needs.append((now, machines))
        while now - self._needs[0][0] > IDLE_SECONDS:
            self._needs.popleft()
        recent = max(need for _, need in self._needs)
        return PoolNeed(
            max(1, recent),
            max(min_size, recent),
            load.long_running_workers,
            load.large_tasks.missing,
        )


def estimate_short_task_cores(load: ServiceLoad) -> float:
    """Returns the cores that the short tasks of a pool need.

    Submitted work counts before it has become a backlog. The result is at least the cores of the
    running tasks, which therefore keep their machines.
    """
    waiting = load.waiting_core_seconds / BACKLOG_DRAIN_SECONDS
    return max(load.running_cores, load.offered_cores * HEADROOM_FACTOR + waiting)


class PoolSizer:
    """Computes the number of machines of each pool from its demand and the forecast bursts."""

    def __init__(self) -> None:
        self._forecast = TurnForecast()
        self._histories: dict[str, PoolHistory] = {}
        # Time since which each machine has been up without a known worker.
        self._unknown_since: dict[str, float] = {}

    def list_unknown(self, now: float, view: PoolView) -> frozenset[str]:
        """Returns the machines that are up, and whose workers no owner has known for some time.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        view : PoolView
        """
        known = {worker.worker for load in view.services.values() for worker in load.workers}
        self._unknown_since = {
            item.machine: self._unknown_since.get(item.machine, now)
            for item in view.machines
            if item.pool in view.services and item.state == "up" and item.worker not in known
        }
        return frozenset(
            name for name, since in self._unknown_since.items() if now - since > START_SECONDS
        )

    def update(self, now: float, view: PoolView) -> dict[str, PoolNeed]:
        """Records the demand of all pools and returns the machines that each pool needs.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        view : PoolView
        """
        all_cores = sum(item.millicores for item in view.machines) / 1000
        offered = {name: item.offered_cores for name, item in view.services.items()}
        self._forecast.record_demand(now, offered, all_cores)
        expected = self._forecast.predict_cores(now)
        # The capacity of a worker may have shrunk below the size of its machine.
        reported = {
            worker.worker: worker.millicores
            for load in view.services.values()
            for worker in load.workers
        }
        needs = {}
        for name, load in view.services.items():
            share = REDUCED_MIN_SIZE_SHARE if self._forecast.has_had_turn(name) else MIN_SIZE_SHARE
            sizes = [
                reported.get(item.worker, item.millicores)
                for item in view.machines
                if item.pool == name
            ]
            needs[name] = self._histories.setdefault(name, PoolHistory()).update(
                now,
                load,
                sum(sizes) // len(sizes) if sizes else 0,
                compute_min_size(view, share),
                expected.get(name, 0.0) * HEADROOM_FACTOR,
            )
        return needs


def compute_min_size(view: PoolView, share: float) -> int:
    """Returns the minimum size of a pool, which is ``share`` of the mean pool size."""
    pools = len(view.services) + len(view.standby)
    return max(1, math.ceil(len(view.machines) / max(1, pools) * share))


def choose_moves(view: PoolView) -> list[Move]:
    """Returns the moves to start now."""
    by_pool: dict[str, list[Machine]] = {}
    for machine in view.machines:
        by_pool.setdefault(machine.pool, []).append(machine)
    loads = {load.worker: load for item in view.services.values() for load in item.workers}
    idle = {pool: _list_idle(view, items, loads) for pool, items in by_pool.items()}
    shortages = compute_shortages(view)
    moves = _fill_pools(view, shortages, idle)
    if not view.standby:
        return moves
    target = min(view.standby)
    for name in view.services:
        # ``shortages`` is negative for a pool with surplus machines and includes the moves above.
        excess = -shortages[name] - (view.needs[name].retained - view.needs[name].needed)
        for _ in range(min(MAX_RETURNED_MACHINES, max(0, excess))):
            if idle.get(name):
                moves.append(Move(idle[name].pop(), target, "pool has surplus machines"))
    return moves


def choose_cancelled_moves(view: PoolView, cancellable: frozenset[str]) -> list[str]:
    """Returns the machines whose pending move is to be cancelled, since their pool needs them.

    A cancelled move costs nothing and takes no time, unlike a move back.

    Parameters
    ----------
    view : PoolView
    cancellable : frozenset of str
        Machines whose move has not been ordered yet.
    """
    sources = {item.machine: item.pool for item in view.machines if item.state == "up"}
    shortages = compute_shortages(view)
    cancelled = []
    for name in sorted(cancellable & view.pending_moves.keys()):
        source = sources.get(name)
        if source in shortages and shortages[source] > 0:
            shortages[source] -= 1
            cancelled.append(name)
    return cancelled


def compute_shortages(view: PoolView) -> dict[str, int]:
    """Returns the number of machines that each pool lacks, negative for a surplus.

    Machines that are about to take tasks count for what a pool needs beyond its present workers.
    """
    present = [
        machine
        for machine in view.machines
        if machine.state in ("up", "moving")
        and (machine.machine not in view.unusable or machine.machine in view.pending_moves)
    ]
    withdrawn = {
        worker.worker
        for load in view.services.values()
        for worker in load.workers
        if worker.cordoned
    }
    known = {worker.worker for load in view.services.values() for worker in load.workers}
    # Further machines would be out of the owner's reach as well, one after the other.
    silent = {
        worker.worker
        for load in view.services.values()
        for worker in load.workers
        if not worker.heard and not worker.tasks and not worker.cordoned
    }
    counts, taking, coming = Counter(), Counter(), Counter()
    for machine in present:
        pool = view.pending_moves.get(machine.machine, machine.pool)
        counts[pool] += 1
        taking[pool] += machine.machine in view.pending_moves or machine.worker not in withdrawn
        coming[pool] += (
            machine.machine in view.pending_moves
            or machine.machine in view.released
            or (machine.worker not in known and machine.machine not in view.unknown)
            or machine.worker in silent
        )
    shortages = {
        name: max(need.needed - counts[name], need.taking_tasks - taking[name])
        for name, need in view.needs.items()
        if name in view.services
    }
    for name, shortage in shortages.items():
        if view.needs[name].additional:
            shortages[name] = max(shortage, view.needs[name].additional - coming[name])
    return shortages


def _fill_pools(
    view: PoolView, shortages: dict[str, int], idle: dict[str, list[Machine]]
) -> list[Move]:
    """Returns moves into the pools with too few machines, the largest shortage first.

    Removes the moved machines from ``idle``. Machines that another pool would return to standby are
    used first, since moving them through the standby pool takes two moves; then standby machines,
    then machines that other pools retain without need.
    """
    moves: list[Move] = []
    standby_machines = [machine for pool in sorted(view.standby) for machine in idle.get(pool, ())]
    reserve = {name: view.needs[name].retained - view.needs[name].needed for name in shortages}
    for name in sorted(shortages, key=lambda item: -shortages[item]):
        for _ in range(max(0, shortages[name])):
            donor = _find_donor(shortages, idle, reserve)
            if donor is None and standby_machines:
                moves.append(
                    Move(
                        standby_machines.pop(),
                        name,
                        "pool has too few machines; taken from standby",
                    )
                )
                continue
            donor = donor or _find_donor(shortages, idle, {})
            if donor is None:
                return moves
            moves.append(
                Move(idle[donor].pop(), name, f"pool has too few machines; taken from {donor}")
            )
            shortages[donor] += 1
    return moves


def _find_donor(
    shortages: dict[str, int], idle: dict[str, list[Machine]], reserve: dict[str, int]
) -> str | None:
    """Returns the pool with most idle machines beyond its need and ``reserve``, or None."""
    excess = {
        name: -count - reserve.get(name, 0) for name, count in shortages.items() if idle.get(name)
    }
    best = max(excess, key=lambda name: excess[name], default=None)
    return best if best is not None and excess[best] > 0 else None


def _list_idle(view: PoolView, machines: list[Machine], loads: dict) -> list[Machine]:
    """Returns the idle machines of a pool; callers take from the end of the list."""
    kept = {worker for load in view.services.values() for worker in load.large_tasks.kept}
    found = []
    for machine in machines:
        if machine.state != "up" or machine.machine in view.busy:
            continue
        if machine.pool in view.standby:
            found.append(machine)
            continue
        if machine.worker in kept:
            continue
        load = loads.get(machine.worker)
        if load is not None and load.heard and load.tasks == 0 and not load.cordoned:
            found.append(machine)
    return sorted(found, key=lambda machine: machine.machine)
