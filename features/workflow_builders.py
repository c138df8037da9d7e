"""Builders of test data about workflows and their decisions."""

from __future__ import annotations

from typing import Any

from carawayshore.workflows.model import (
    Machine,
    ServiceLoad,
    StepSpec,
    TaskName,
    Wave,
    WorkerEntry,
    WorkerLoad,
    Workflow,
)
from carawayshore.workflows.placement import WorkerCapacity, compute_usage
from carawayshore.workflows.pools import PoolNeed, PoolView
from carawayshore.workflows.room import ShortRun
from carawayshore.workflows.upkeep import UpkeepView

IDENTIFIER = "5c0e7a21d94b36f8"


def build_workflow(*steps: StepSpec, identifier: str = IDENTIFIER, **changes: Any) -> Workflow:
    """Returns a workflow of the service ``booking``."""
    fields: dict[str, Any] = {
        "identifier": identifier,
        "service": "booking",
        "queue": "slots",
        "priority": 0,
        "max_failures": 2,
        "stretch": 1.6,
        "allowance_ms": 600,
        "spec": "text",
        "steps": steps or (StepSpec(count=2, millicores=1000, memory_mb=100),),
    }
    return Workflow(**(fields | changes))


def build_entry(worker: str, **changes: Any) -> WorkerEntry:
    """Returns a ready worker of 16 cores."""
    fields: dict[str, Any] = {
        "worker": worker,
        "service": "booking",
        "address": "127.0.0.1:1",
        "data_centre": "umea",
        "state": "ready",
        "millicores": 16_000,
        "memory_mb": 64_000,
        "accelerators": 0,
        "labels": ("a", "r1-1"),
        "machine": "",
        "born": 0,
    }
    return WorkerEntry(**(fields | changes))


def build_worker_capacities(count: int, **changes: Any) -> list[WorkerCapacity]:
    """Returns usable workers named ``w0``, ``w1`` and so on."""
    capacities = [WorkerCapacity(build_entry(f"w{number}", **changes)) for number in range(count)]
    for capacity in capacities:
        capacity.usable = capacity.expected = True
    return capacities


def add_running_task(
    capacity: WorkerCapacity, millicores: int, *, workflow: str = "f" * 16
) -> None:
    """Places a running task on a worker."""
    index = len(capacity.usages)
    name = TaskName(workflow, 0, 0, index)
    capacity.reserve(name, compute_usage(name, StepSpec(millicores=millicores)))


def add_run(capacity: WorkerCapacity, name: TaskName, step: StepSpec) -> None:
    """Reserves the room of a run on a worker."""
    capacity.reserve(name, compute_usage(name, step))


def build_short_run(
    name: TaskName, step: StepSpec, *, ends_in: float, lost: float, is_stopping: bool = False
) -> ShortRun:
    """Returns a run that ends by itself after some seconds, or is being stopped."""
    return ShortRun(name, compute_usage(name, step), ends_in, lost, is_stopping)


def build_machines(**pools: int) -> list[Machine]:
    """Returns machines of 16 cores that are up, with one worker each."""
    return [
        Machine(f"{pool}-{number}", pool, "up", "umea", ("a",), 16_000, f"w-{pool}-{number}")
        for pool, count in pools.items()
        for number in range(count)
    ]


def build_load(service: str, machines: list[Machine], *, busy: int = 0, **cores: float):
    """Returns the load of a service whose first ``busy`` workers run one task each."""
    workers = tuple(
        WorkerLoad(item.worker, 1 if number < busy else 0, 0, item.millicores, False, True)
        for number, item in enumerate(item for item in machines if item.pool == service)
    )
    fields = dict.fromkeys(
        ("long_running_cores", "running_cores", "waiting_core_seconds", "offered_cores"), 0.0
    )
    fields |= cores
    return ServiceLoad(service, workers=workers, **fields)


def build_pool_view(
    machines: list[Machine],
    needs: dict[str, PoolNeed],
    *,
    busy: int = 0,
    pending_moves: dict[str, str] | None = None,
    unusable: frozenset[str] = frozenset(),
    withdrawn: frozenset[str] = frozenset(),
) -> PoolView:
    """Returns the input of the decision on moves, with ``spare`` as the standby pool.

    ``withdrawn`` are the workers that take no further tasks.
    """
    services = {}
    for name in needs:
        load = build_load(name, machines, busy=busy)
        workers = [item._replace(cordoned=item.worker in withdrawn) for item in load.workers]
        services[name] = load._replace(workers=tuple(workers))
    pending_moves = pending_moves or {}
    return PoolView(
        services,
        machines,
        frozenset({"spare"}),
        frozenset(pending_moves) | unusable,
        needs,
        pending_moves,
        unusable,
    )


def build_upkeep_view(machines: list[Machine], max_down: int, **changes: Any) -> UpkeepView:
    """Returns the input of the decision on upkeep, with all machines in the wave."""
    wave = Wave(1, tuple(item.machine for item in machines), 20.0, max_down)
    fields: dict[str, Any] = {
        "wave": wave,
        "age_seconds": 1.0,
        "begun": frozenset(),
        "pending": frozenset(),
        "down": frozenset(),
        "machines": {item.machine: item for item in machines},
        "loads": {
            item.worker: WorkerLoad(item.worker, 0, 0, item.millicores, False, True)
            for item in machines
        },
    }
    return UpkeepView(**(fields | changes))
