"""Choice of the machines that go down for upkeep next.

Load pattern: a wave of machines is due within half a minute while each queue in its turn asks for
more than its pool holds. Machines of pools that are quiet at the moment go first, and of each pool
only a part at once; long-running tasks are moved off a machine before it goes down.
"""

from __future__ import annotations

from typing import NamedTuple

from carawayshore.workflows.model import Machine, Wave, WorkerLoad

# Share of a pool's machines that may be out for upkeep at once, at least one.
POOL_SHARE = 0.25
# Share of the time of a wave after which short tasks are not waited for any more.
PATIENCE_SHARE = 0.7


class UpkeepView(NamedTuple):
    """What the choice rests on.

    Parameters
    ----------
    wave : Wave
    age_seconds : float
        Time since the wave became known.
    begun : frozenset of str
        Machines whose upkeep has begun.
    pending : frozenset of str
        Machines that were chosen and whose upkeep has not begun, or is not known to have.
    down : frozenset of str
        Machines of the wave that are down, or may be.
    machines : dict of str to Machine
    loads : dict of str to WorkerLoad
        By worker; a worker without an entry runs nothing that is known.
    """

    wave: Wave
    age_seconds: float
    begun: frozenset[str]
    pending: frozenset[str]
    down: frozenset[str]
    machines: dict[str, Machine]
    loads: dict[str, WorkerLoad]


def choose_upkeep(view: UpkeepView) -> list[Machine]:
    """Returns the machines to take out of service now, the quietest first."""
    room = view.wave.most_down - len(view.pending | view.down)
    if room <= 0:
        return []
    sizes: dict[str, int] = {}
    out: dict[str, int] = {}
    for machine in view.machines.values():
        sizes[machine.pool] = sizes.get(machine.pool, 0) + 1
        if machine.state != "up" or machine.machine in view.pending:
            out[machine.pool] = out.get(machine.pool, 0) + 1
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
        limit = max(1, int(sizes[machine.pool] * POOL_SHARE))
        if cost != (0, 0) and out.get(machine.pool, 0) >= limit:
            continue
        out[machine.pool] = out.get(machine.pool, 0) + 1
        chosen.append(machine)
        if len(chosen) >= room:
            break
    return chosen


def may_begin(view: UpkeepView, load: WorkerLoad | None) -> bool:
    """Whether the upkeep of a cordoned machine may begin with what still runs on it."""
    if load is None or load.tasks == 0:
        return True
    late = view.age_seconds > PATIENCE_SHARE * view.wave.within_seconds
    return late and load.long_running == 0


def is_completed(view: UpkeepView) -> bool:
    """Whether every machine of the wave that is still there has begun its upkeep."""
    return all(name in view.begun or name not in view.machines for name in view.wave.machines)
