"""Checks a cell of the fleet by the records of log, workers and pools service and by answers."""

from __future__ import annotations

from collections import Counter
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from matrix.fleet_deployment import DOCUMENT, MEMBERS, REMOTE_MEMBER, UNAVAILABLE_BUDGET

if TYPE_CHECKING:
    from matrix.fleet_run import FleetRun

ROLL_OUT_LIMIT = timedelta(seconds=5)
SLACK = timedelta(seconds=1)  # Sampling interval of the observers on a busy machine.
LIMITS = {"booking": UNAVAILABLE_BUDGET, "office": 1}
# With the log unavailable or slow, a version cannot take effect within seconds.
LOG_FAULTS = {"log-down", "log-slow", "log-answers-lost", "dc-cut", "retention"}
Entries = list[dict[str, Any]]


def check_cell(
    run: FleetRun, executions: Entries, operations: Entries, pools: dict[str, str]
) -> list[str]:
    """Returns the violated promises; each line starts with the name of the promise.

    Parameters
    ----------
    run : FleetRun
        The finished run of the cell.
    executions : list of dict
        Executions that the workers recorded since the start of the cell.
    operations : list of dict
        Operations of the pools service in order.
    pools : dict of str
        Pool of each host before the cell.
    """
    found = _check_pools(executions, operations, pools) + _check_budget(operations, pools)
    found += _check_added(run) + check_versions(run) + _check_roll_out(run)
    found += check_jobs(run, executions) + check_fences(operations) + check_effects(operations)
    found += _check_reboots(run, executions, operations) + _check_answers(run, executions)
    return found + _check_race(run)


def _find_pool(host: str, moment: str, operations: Entries, initial_pool: str) -> str:
    """Returns the pool to which the pools service had assigned a host at ``moment``."""
    at = datetime.fromisoformat(moment)
    returns = [o for o in operations if o["kind"] == "return" and o["host"] == host]
    earlier = [o for o in returns if datetime.fromisoformat(o["at"]) <= at]
    return earlier[-1]["pool"] if earlier else initial_pool


def _check_pools(executions: Entries, operations: Entries, pools: dict[str, str]) -> list[str]:
    found = []
    for entry in executions:
        service = entry.get("service") or entry.get("path", "").split("/")[2]
        required = DOCUMENT["services"][service]["pool"]
        host = entry["worker"]
        assigned = _find_pool(host, entry["started"], operations, pools[host])
        if not required == entry["pool"] == assigned:
            name = entry.get("job") or entry.get("path")
            found.append(
                f"pools: {name} of pool {required} ran on {host}, in {entry['pool']} by the worker"
                f" and in {assigned} by the pools service, at {entry['started']}"
            )
    return found


def _check_added(run: FleetRun) -> list[str]:
    streams: dict[str, set[str]] = {}
    for stream in ("dc.umea", "dc.lulea"):
        for kind in ("host_added", "host_drain_started", "host_joined"):
            for body in run.observer.list_bodies(stream, kind):
                streams.setdefault(body["host"], set()).add(stream)
    return [f"pools: {h} is in the streams {sorted(s)}" for h, s in streams.items() if len(s) > 1]


def _check_budget(operations: Entries, pools: dict[str, str]) -> list[str]:
    """Checks the budget; a host counts as out of its pool from its drain to its return."""
    current, out, found = dict(pools), {}, []
    for item in operations:
        if item["repeated"]:
            continue
        if item["kind"] == "return":
            out.pop(item["host"], None)
            current[item["host"]] = item["pool"]
            continue
        out[item["host"]] = current[item["host"]]
        for pool, count in Counter(out.values()).items():
            if count > LIMITS[pool]:
                found.append(f"budget: {count} hosts of {pool} out at {item['at']}: {sorted(out)}")
    return found


def check_versions(run: FleetRun) -> list[str]:
    """Checks that a ready entry host never serves an older version than it did before."""
    highest: dict[str, int] = {}
    found = []
    for sample in sorted(run.observer.samples, key=lambda item: item.at):
        if not sample.ready or sample.version < 0:
            continue
        previous = highest.get(sample.member, 0)
        if sample.version < previous:
            found.append(f"revert: {sample.member} serves {sample.version} after {previous}")
        highest[sample.member] = max(previous, sample.version)
    return found


def _check_roll_out(run: FleetRun) -> list[str]:
    """Checks the time from the first sample of a version to the one of each unaffected host."""
    names = {fault.name for fault in run.cell.faults}
    if run.cell.step.name != "publish" or names & LOG_FAULTS:
        return []
    affected = {run.affected_member} if names else set()
    first_seen: dict[str, dict[int, datetime]] = {m: {} for m in (*MEMBERS, REMOTE_MEMBER)}
    for sample in run.observer.samples:
        first_seen[sample.member].setdefault(sample.version, sample.at)
    versions = {version for times in first_seen.values() for version in times if version > 0}
    found = []
    for version in versions:
        begin = min(times[version] for times in first_seen.values() if version in times)
        for member in set(first_seen) - affected:
            served_at = [
                at
                for observed_version, at in first_seen[member].items()
                if observed_version >= version
            ]
            first_served_at = min(served_at, default=None)
            if first_served_at is None or first_served_at - begin > ROLL_OUT_LIMIT + SLACK:
                found.append(
                    f"roll-out: version {version} of {begin} at {member}: {first_served_at}"
                )
    return found


def check_jobs(run: FleetRun, executions: Entries) -> list[str]:
    runs: dict[str, Entries] = {}
    for entry in executions:
        if entry["kind"] == "task":
            runs.setdefault(entry["job"], []).append(entry)
    found = []
    for name, report in run.jobs.items():
        starts = runs.get(name, [])
        attempts = [(e["worker"], e["lease"], e.get("result")) for e in starts]
        succeeded = sum(e.get("result") == "succeeded" for e in starts)
        if len(starts) > 1 and not report.repeatable:
            found.append(f"jobs: {name} may not be repeated and started as {attempts}")
        if succeeded > 1:
            found.append(f"jobs: {name} succeeded {succeeded} times: {attempts}")
        if report.state == "succeeded" and not succeeded:
            found.append(f"jobs: {name} is reported as succeeded and ran as {attempts}")
        if starts and not report.accepted and not report.unclear:
            found.append(f"jobs: {name} was rejected as not run and ran as {attempts}")
        if report.accepted and report.state in ("", "queued", "placed", "cancelling"):
            found.append(f"jobs: {name} is accepted and still {report.state!r}, ran as {attempts}")
        running = [e for e in starts if not e["ended"] and e["worker"] not in run.killed]
        if report.state == "cancelled" and running:
            found.append(f"jobs: {name} is reported as cancelled and still runs: {attempts}")
    return found


def check_fences(operations: Entries) -> list[str]:
    """Checks that no operation has a lower fence than an earlier one, from a lapsed holder."""
    highest, found = -1, []
    for item in operations:
        # The claims of the other data centre are in another stream, with their own fences.
        if not item["host"].startswith("umea"):
            continue
        if item["fence"] < highest:
            found.append(f"fence: {item['operation']} under {item['fence']} after {highest}")
        highest = max(highest, item["fence"])
    return found


def check_effects(operations: Entries) -> list[str]:
    """Checks that a host is drained and rebooted at most once between two returns."""
    effects: Counter[tuple[str, str]] = Counter()
    found = []
    for item in operations:
        if item["repeated"]:
            continue
        if item["kind"] == "return":
            for kind in ("drain", "reboot"):
                effects.pop((item["host"], kind), None)
            continue
        effects[item["host"], item["kind"]] += 1
        if effects[item["host"], item["kind"]] > 1:
            found.append(f"once: {item['operation']} is a second {item['kind']} before a return")
    return found


def _check_reboots(run: FleetRun, executions: Entries, operations: Entries) -> list[str]:
    rebooted = {item["host"] for item in operations if item["kind"] == "reboot"}
    return [
        f"reboot: {entry.get('job') or entry['path']} was cut off on {entry['worker']}"
        for entry in executions
        if entry["worker"] in rebooted - run.killed and entry.get("result") == "cut-off"
    ]


def _check_answers(run: FleetRun, executions: Entries) -> list[str]:
    paths = {entry.get("path", "").rpartition("/")[2] for entry in executions}
    return [
        f"reboot: {request.token} was answered not-run and ran"
        for request in run.observer.load_requests
        if request.outcome == "not-run" and request.token in paths
    ]


def _check_race(run: FleetRun) -> list[str]:
    if run.race_accepted and sum(run.race_accepted) != 1:
        return [f"step: of two racing operators {sum(run.race_accepted)} were accepted"]
    return []
