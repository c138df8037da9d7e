"""CPU time and memory of the planners for 100, 1,000 and 8,000 workers in 54 pools."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta

from benchmarks.report import Line, case
from carawayshore.maintenance import Fleet, FleetHost, Planner, PoolLimit
from carawayshore.placement import HostCapacity, QueuedJob, plan_jobs
from carawayshore.records import Resources

SIZES = (100, 1_000, 8_000)
POOLS = 54
DATA_CENTRES = 11
RACK_HOSTS = 4
QUEUED_JOBS = 200
ROUNDS = 3
NOW = datetime(2026, 6, 1, tzinfo=UTC)
PERIOD = timedelta(weeks=7)
# Share of a core that control may use.
MAX_CONTROL_SHARE = 0.029
# The control share is averaged over a minute; one plan may use at most a minute's share.
PLAN_GOAL_SECONDS = 60 * MAX_CONTROL_SHARE
MEMORY_GOAL_BYTES = 32 * 1024 * 1024
HOST_SIZE = Resources(32, 128, 2)
JOB_SIZE = Resources(2, 8, 0)


def _build_fleet(count: int) -> Fleet:
    hosts = [
        FleetHost(
            f"w{number}",
            f"dc-{number % DATA_CENTRES}",
            f"r{number // (RACK_HOSTS * DATA_CENTRES)}",
            f"pool-{number % POOLS}",
            "failed" if number % 150 == 0 else "",
            NOW - PERIOD,
            NOW - PERIOD * (number % 100) / 100,
        )
        for number in range(count)
    ]
    limits = {f"pool-{number}": PoolLimit(4, f"service-{number}") for number in range(POOLS)}
    return Fleet(hosts, limits, PERIOD, timedelta(minutes=15))


def _plan_wave(count: int) -> None:
    Planner(_build_fleet(count), NOW).choose_wave()


def _plan_placements(count: int) -> None:
    """Plans the queued jobs on the hosts of one data centre."""
    worker_count = max(1, count // DATA_CENTRES)
    hosts = [
        HostCapacity(f"w{number}", f"pool-{number % POOLS}", HOST_SIZE)
        for number in range(worker_count)
    ]
    queued_jobs = [
        QueuedJob(
            f"j{number}", f"pool-{number % POOLS}", "team", JOB_SIZE, JOB_SIZE, number % 10 == 0,
            "2026-06-01T07:00:00+00:00", number,
        )
        for number in range(QUEUED_JOBS)
    ]  # fmt: skip
    plan_jobs(queued_jobs, hosts, {})


def _measure(call: Callable[[], None]) -> tuple[float, int]:
    """Returns the minimum CPU time in seconds and the peak memory in bytes."""
    times = []
    for _ in range(ROUNDS):
        start = time.process_time_ns()
        call()
        times.append((time.process_time_ns() - start) / 1e9)
    tracemalloc.start()
    call()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return min(times), peak


@case("capacity-planners")
def run_planners(seed: int) -> Iterator[Line]:
    """Measures the planning of the next wave and of the jobs of one data centre."""
    for name, plan in (("wave", _plan_wave), ("placement", _plan_placements)):
        figures = [_measure(lambda n=size, p=plan: p(n)) for size in SIZES]
        seconds = [item[0] for item in figures]
        slope = (seconds[-1] - seconds[0]) / (SIZES[-1] - SIZES[0])
        met = seconds[-1] <= PLAN_GOAL_SECONDS and figures[-1][1] <= MEMORY_GOAL_BYTES
        goal = f"<= {PLAN_GOAL_SECONDS:.2f} s and <= {MEMORY_GOAL_BYTES} bytes at 8,000 workers"
        detail = {
            "unit": "s",
            "sizes": SIZES,
            "seconds": [round(item, 6) for item in seconds],
            "peak_bytes": [item[1] for item in figures],
            "slope": slope,
        }
        ratio = seconds[-1] / seconds[0]
        yield Line(
            f"capacity-planners/{name}", seed, seconds[0], seconds[-1], ratio, goal, met, detail
        )
