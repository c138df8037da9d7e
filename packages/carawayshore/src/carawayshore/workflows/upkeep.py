"""Chooses the machines to take down next for upkeep, the maintenance that the platform orders.

Load pattern: a wave of machines is due within half a minute, while the queues burst in turn beyond
the capacity of their pools. Machines with the fewest tasks go first, which are those of quiet
pools, and only part of each pool at a time. Long-running tasks are moved off a machine before it
goes down.
"""

from __future__ import annotations

from typing import NamedTuple

from carawayshore.workflows.model import Machine, Wave, WorkerLoad

# Share of the machines of a pool that may be out of service at once, at least one; machines without
# tasks are not limited.
MAX_POOL_SHARE = 0.25
# Share of the time of a wave after which running short tasks no longer delay upkeep.
MAX_DRAIN_SHARE = 0.7


class UpkeepView(NamedTuple):
    """State of a wave and its machines.

    Parameters
    ----------
    wave : Wave
    age_seconds : float
        Time since the wave was discovered.
    begun : frozenset of str
        Machines whose upkeep has started.
    pending : frozenset of str
        Machines that were chosen and whose upkeep is not known to have started.
    down : frozenset of str
        Machines of the wave that are down, or may be.
    machines : dict of str to Machine
    loads : dict of str to WorkerLoad
        Loads by worker; a worker without an entry has no known tasks.
    gone : frozenset of str
        Machines of the wave that have left for good.
    """

    wave: Wave
    age_seconds: float
    begun: frozenset[str]
    pending: frozenset[str]
    down: frozenset[str]
    machines: dict[str, Machine]
    loads: dict[str, WorkerLoad]
    gone: frozenset[str] = frozenset()


def choose_upkeep_machines(view: UpkeepView) -> list[Machine]:
    """Returns the machines to take out of service now, those with the fewest tasks first."""
    free_places = view.wave.max_down - len(view.pending | view.down)
    if free_places <= 0:
        return []
    sizes: dict[str, int] = {}
    out_of_service: dict[str, int] = {}
    for machine in view.machines.values():
        sizes[machine.pool] = sizes.get(machine.pool, 0) + 1
        if machine.state != "up" or machine.machine in view.pending:
            out_of_service[machine.pool] = out_of_service.get(machine.pool, 0) + 1
    candidates = []
    for name in view.wave.machines:
        machine = view.machines.get(name)
        if machine is None or name in view.begun or name in view.pending or machine.state != "up":
            continue
        load = view.loads.get(machine.worker)
        cost = (load.long_running, load.tasks) if load else (0, 0)
        candidates.append((cost, name, machine))
    candidates.sort(key=lambda item: item[:2])
    chosen = []
    for cost, _, machine in candidates:
        limit = max(1, int(sizes[machine.pool] * MAX_POOL_SHARE))
        if cost != (0, 0) and out_of_service.get(machine.pool, 0) >= limit:
            continue
        out_of_service[machine.pool] = out_of_service.get(machine.pool, 0) + 1
        chosen.append(machine)
        if len(chosen) >= free_places:
            break
    return chosen


def may_start_upkeep(view: UpkeepView, load: WorkerLoad | None) -> bool:
    """Returns whether the upkeep of a cordoned machine may start despite its running tasks."""
    if load is None or load.tasks == 0:
        return True
    late = view.age_seconds > MAX_DRAIN_SHARE * view.wave.window_seconds
    return late and load.long_running == 0


def is_wave_complete(view: UpkeepView) -> bool:
    """Returns whether upkeep has started on every machine of the wave that still exists."""
    return all(name in view.begun or name in view.gone for name in view.wave.machines)
