"""Workers, tasks and pools for the decisions on large short tasks."""

from __future__ import annotations

from workflow_builders import build_load, build_machines

from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.largetasks import LargeTasks, WorkerRoom
from carawayshore.workflows.model import LargeTaskNeed, ServiceLoad, StepSpec
from carawayshore.workflows.pools import PoolNeed, PoolView

CORES, MEMORY_MB = 12, 64_000
WORKER = Amounts(CORES * 1000, MEMORY_MB, 0)
# Cores beside long-running runs or claims, and whether nothing runs there, by what a worker has.
ROOMS = {
    "long-running runs": (6, False),
    "short runs": (CORES, False),
    "claims": (6, True),
    "nothing": (CORES, True),
}


def build_rooms(*states: str) -> list[WorkerRoom]:
    """Returns the workers that may take tasks, named by their number; a cordoned one may not."""
    return [
        WorkerRoom(
            str(number),
            Amounts(ROOMS[state][0] * 1000, MEMORY_MB, 0),
            ROOMS[state][1],
            has_claims=state == "claims",
        )
        for number, state in enumerate(states)
        if state in ROOMS
    ]


def measure_tasks(rooms: list[WorkerRoom], cores: int, waiting: int, later: int) -> LargeTaskNeed:
    """Returns what the pool needs for a step whose turn has come, and for a later one."""
    tasks = LargeTasks(rooms, WORKER)
    step = StepSpec(millicores=cores * 1000, memory_mb=100)
    if not tasks.are_held(step):
        if waiting:
            tasks.add(step, waiting)
        if later:
            tasks.add(step, 0)
    return tasks.measure()


def build_lacking_load(missing: int) -> ServiceLoad:
    load = build_load("booking", build_machines(booking=2), busy=1)
    return load._replace(large_tasks=LargeTaskNeed(missing))


def build_large_task_view(
    in_service: int,
    needed: int,
    on_standby: int,
    *,
    missing: int,
    coming: int,
    idle: int,
    kept: int,
) -> PoolView:
    """Returns a pool of which the last machines are idle, and the very last are kept."""
    machines = build_machines(booking=in_service, spare=on_standby)
    load = build_load("booking", machines, busy=in_service - idle)
    names = [item.worker for item in machines if item.pool == "booking"]
    load = load._replace(large_tasks=LargeTaskNeed(missing, tuple(names[in_service - kept :])))
    moving = [item.machine for item in machines if item.pool == "spare"][:coming]
    return PoolView(
        {"booking": load},
        machines,
        frozenset({"spare"}),
        frozenset(moving),
        {"booking": PoolNeed(needed, needed, 0, missing)},
        dict.fromkeys(moving, "booking"),
    )
