"""Growth of state, CPU time and traffic with the number of hosts, for docs/CAPACITY.md.

Each line gives the figure at a small and a large size and, as ``slope``, the growth per unit
between them. The goals are the resources that control may use on one entry host at its part of the
target size: 8,000 workers in 11 data centres are 728 workers in each.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

import msgspec

from benchmarks.report import Line, case
from carawayd.process.demand import MAX_POOLS_PER_HEARTBEAT
from carawayd.process.messages import Heartbeat, encode_message
from carawayd.process.slots import LOADS_PER_HEARTBEAT
from carawayshore import records
from carawayshore.fold import StreamState, apply_record
from carawayshore.membership import Incarnation
from carawayshore.records import Record, decode_record, encode_record
from carawayshore.shares import ShareLedger, ShareSettings
from carawayshore.testing import ManualClock

SMALL, LARGE = 100, 1_000
WORKERS_PER_DATA_CENTRE = 728
MEMBERS = 8
ROUNDS = 5
SLOTS = 8
MEMORY_GOAL_BYTES = 32 * 1024 * 1024
# Share of one core: seconds of CPU time per second.
CPU_GOAL_SHARE = 0.029
TRAFFIC_GOAL_BYTES = 9 * 1024
HEARTBEATS_PER_SECOND = 4
TICKS_PER_SECOND = 4
# Overhead of ZMTP framing, TCP and IP for a message of two frames.
WIRE_OVERHEAD_BYTES = 70
RESOURCES = records.Resources(32, 128, 2)

Builder = Callable[[int], Any]


def _build_host(number: int) -> records.HostAdded:
    address = f"10.0.{number // 250}.{number % 250}:8080"
    rack = f"umea-r{number // 4}"
    return records.HostAdded(f"umea-w{number}", "booking", address, rack, SLOTS, 64, RESOURCES)


def _build_job(number: int) -> records.JobSubmitted:
    return records.JobSubmitted(
        f"umea-job-{number}", "nightly", "routes", "booking", {"task": number}, RESOURCES, False,
        False, "2026-01-02T07:00:00+00:00", 600.0,
    )  # fmt: skip


def _build_key(number: int) -> records.KeyGranted:
    return records.KeyGranted(f"8f7e21aa-{number:012d}", f"umea-1.12.{number}", "umea-1", 12)


BUILDERS: dict[str, Builder] = {"host": _build_host, "job": _build_job, "key": _build_key}


def _build_state(builder: Builder, count: int) -> StreamState:
    state = StreamState()
    for offset in range(count):
        # All entries are younger than their retention, so pruning removes none of them.
        apply_record(state, offset, Record("umea-1/0", offset + 1, builder(offset))).unwrap()
    return state


def _measure_memory(builder: Builder, count: int) -> int:
    gc.collect()
    tracemalloc.start()
    state = _build_state(builder, count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size


def _measure_best_time(call: Callable[[], Any]) -> float:
    """Returns the minimum CPU time of several rounds in seconds."""
    times = []
    for _ in range(ROUNDS):
        start = time.process_time_ns()
        call()
        times.append((time.process_time_ns() - start) / 1e9)
    return min(times)


def _build_line(
    name: str, seed: int, small: float, large: float, unit: str, at_target_size: float, goal: float,
    steps: int = LARGE - SMALL,
) -> Line:  # fmt: skip
    detail = {
        "unit": unit,
        "slope": (large - small) / steps,
        "at_size": at_target_size,
        "limit": goal,
    }
    text = f"{unit} at the target size <= {goal:g}"
    return Line(name, seed, small, large, large / small, text, at_target_size <= goal, detail)


@case("capacity-memory")
def run_memory(seed: int) -> Iterator[Line]:
    """Measures the memory of the folded state per entry; retention bounds jobs and keys."""
    counts = {"host": WORKERS_PER_DATA_CENTRE, "job": 20_000, "key": 20_000}
    for name, builder in BUILDERS.items():
        small, large = (_measure_memory(builder, count) for count in (SMALL, LARGE))
        at_target_size = (large - small) / (LARGE - SMALL) * counts[name]
        yield _build_line(
            f"capacity-memory/{name}",
            seed,
            small,
            large,
            "bytes",
            at_target_size,
            MEMORY_GOAL_BYTES,
        )


@case("capacity-fold")
def run_fold(seed: int) -> Iterator[Line]:
    """Measures the CPU time to decode and fold a record, and to encode a snapshot."""
    envelopes = [
        encode_record(Record("umea-1/0", number + 1, _build_job(number))) for number in range(LARGE)
    ]

    def fold(count: int) -> None:
        state = StreamState()
        for offset, envelope in enumerate(envelopes[:count]):
            apply_record(state, offset, decode_record(envelope).unwrap())

    small, large = (_measure_best_time(lambda n=count: fold(n)) for count in (SMALL, LARGE))
    # 50 records/s is far above a data centre's part of the jobs and of the fleet's 1,300 restarts
    # and 55 failures a day.
    each = (large - small) / (LARGE - SMALL)
    yield _build_line("capacity-fold", seed, small, large, "s", each * 50, CPU_GOAL_SHARE)
    states = [_build_state(_build_host, count) for count in (SMALL, LARGE)]
    small, large = (_measure_best_time(lambda s=state: s.digest()) for state in states)
    per_host = (large - small) / (LARGE - SMALL)
    # One snapshot per 1,000 records, at 50 records/s.
    at_target_size = per_host * WORKERS_PER_DATA_CENTRE / 20
    yield _build_line("capacity-snapshot", seed, small, large, "s", at_target_size, CPU_GOAL_SHARE)


def _build_ledger(targets: int, members: int) -> tuple[ShareLedger, ManualClock]:
    clock = ManualClock()
    view = [Incarnation(f"umea-{number}", number) for number in range(members)]
    ledger = ShareLedger(view[0], clock, ShareSettings())
    ledger.set_view(view, {f"umea-w{number}": SLOTS for number in range(targets)})
    clock.advance(timedelta(seconds=20))
    ledger.tick({})
    return ledger, clock


@case("capacity-shares")
def run_shares(seed: int) -> Iterator[Line]:
    """Measures the CPU time of a tick of the slot ledger and of a change of the view."""
    ledgers = [_build_ledger(count, MEMBERS)[0] for count in (SMALL, LARGE)]
    small, large = (_measure_best_time(lambda item=ledger: item.tick({})) for ledger in ledgers)
    per_target = (large - small) / (LARGE - SMALL)
    at_target_size = per_target * WORKERS_PER_DATA_CENTRE * TICKS_PER_SECOND
    yield _build_line(
        "capacity-shares/tick", seed, small, large, "s", at_target_size, CPU_GOAL_SHARE
    )
    small, large = (
        _measure_best_time(lambda n=count: _build_ledger(n, MEMBERS)) for count in (SMALL, LARGE)
    )
    # 1,300 restarts a day over all hosts change a view less than once a minute.
    at_target_size = (large - small) / (LARGE - SMALL) * WORKERS_PER_DATA_CENTRE / 60
    yield _build_line(
        "capacity-shares/view", seed, small, large, "s", at_target_size, CPU_GOAL_SHARE
    )


def _measure_heartbeat(
    loads: dict[str, int],
    streams: dict[str, int],
    pools: dict[str, tuple[int, int, int]] | None = None,
) -> int:
    addresses = ("10.0.200.200:7000", "10.0.200.200:8080")
    heartbeat = Heartbeat(
        1, streams, streams, 0.5, loads, True, False, True, 1, *addresses, pools or {}
    )
    frames = encode_message(heartbeat, member="umea-1", incarnation=10**6, data_centre="umea")
    return sum(len(frame) for frame in frames) + WIRE_OVERHEAD_BYTES


@case("capacity-heartbeats")
def run_heartbeats(seed: int) -> Iterator[Line]:
    """Computes the bytes/s that an entry host sends to its peers.

    There are 11 data centres with 2 and with 8 entry hosts each.
    """
    streams = {"global": 10**6, "dc.umea": 10**6}
    remote_rate = _measure_heartbeat({"": 100}, {"global": 10**6}) * HEARTBEATS_PER_SECOND / 4
    rates = []
    for members in (2, MEMBERS):
        # All targets of the data centre are in use, spread over its entry hosts.
        busy = min(WORKERS_PER_DATA_CENTRE // members, LOADS_PER_HEARTBEAT)
        loads = {f"umea-w{number}": 4 for number in range(busy)}
        pools = {f"customer-line-{n}": (200, 400, 10**6) for n in range(MAX_POOLS_PER_HEARTBEAT)}
        local_rate = _measure_heartbeat(loads, streams) * (HEARTBEATS_PER_SECOND - 1)
        local_rate += _measure_heartbeat(loads, streams, pools)
        rates.append((members - 1) * local_rate + 10 * members * remote_rate)
    for members, rate in zip((2, MEMBERS), rates, strict=True):
        yield _build_line(
            f"capacity-heartbeats/{members}-entry-hosts", seed, rates[0], rates[1],
            "bytes a second", rate, TRAFFIC_GOAL_BYTES, MEMBERS - 2,
        )  # fmt: skip


@case("capacity-log")
def run_log(seed: int) -> Iterator[Line]:
    """Computes the bytes/s that an entry host reads from its two streams at the target size."""
    sizes = {
        name: len(msgspec.json.encode(encode_record(Record("umea-1/1000000", 10**6, body))))
        for name, body in {
            "claim": records.ClaimRenewed("fleet", 10**6, 10**4),
            "configuration": records.ConfigurationPublished(1, _build_document(), "operator"),
            "host": _build_host(1),
            "job": _build_job(1),
        }.items()
    }
    # Three claims renewed every 1.5 s; per day 3,600 configuration versions, 4 records for each of
    # 1,355 host changes over 11 data centres, and 3 records for each of 10,000 jobs.
    rate = (
        3 / 1.5 * sizes["claim"]
        + 3_600 / 86_400 * sizes["configuration"]
        + 1_355 * 4 / 11 / 86_400 * sizes["host"]
        + 10_000 * 3 / 86_400 * sizes["job"]
    )
    detail = {"unit": "bytes a second", "record_bytes": sizes}
    goal = f"bytes a second at the target size <= {TRAFFIC_GOAL_BYTES}"
    yield Line(
        "capacity-log", seed, 0.0, rate, rate / TRAFFIC_GOAL_BYTES, goal,
        rate <= TRAFFIC_GOAL_BYTES, detail,
    )  # fmt: skip


def _build_document() -> dict[str, Any]:
    """Returns a document of the target size: 54 pools and services, 91 teams."""
    return {
        "data_centres": [f"dc-{number}" for number in range(11)],
        "pools": {f"pool-{number}": {"min_serving": 2} for number in range(54)},
        "services": {
            f"service-{number}": {"pool": f"pool-{number}", "max_unavailable": 4}
            for number in range(54)
        },
        "teams": {f"team-{number}": {"max_jobs": 100} for number in range(91)},
    }
