"""Checks the promises of the design page, section 7, against the evidence recorded in a run.

Each check counts events recorded by the stand-ins and by the callers. A promise without
evidence in a run counts as broken.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayshore.configuration import complete_configuration
from carawayshore.outcome import Outcome

if TYPE_CHECKING:
    from carawayshore_standins.evidence import Call, Evidence, Execution, Operation, Stop

MAX_ROLL_OUT_S = 5.0
MAX_NEW_WORK_AFTER_DRAIN_S = 3.0
MAX_SILENCE_DETECTION_S = 5.0
MAX_EXAMPLES = 5
COMPLETED, NOT_RUN = Outcome.COMPLETED.value, Outcome.NOT_RUN.value

Check = Callable[["Evidence"], "CheckResult | None"]
_checks: list[tuple[str, Check]] = []


class CheckResult(NamedTuple):
    """Result of the check of one promise.

    Parameters
    ----------
    counted : str
        Counts as text, for the table.
    evidence : int
        Number of observations that could have refuted the promise.
    violations : list of str
        Descriptions of the observations that refute the promise.
    figures : dict
        Counts in machine-readable form.
    """

    counted: str
    evidence: int
    violations: list[str]
    figures: dict[str, Any]


class Verdict(NamedTuple):
    """Verdict on one promise: one row of the table and one entry of the JSON report."""

    promise: str
    counted: str
    held: bool
    violations: list[str]
    figures: dict[str, Any]


def promise(text: str):
    """Registers a function as the check of the promise ``text``."""

    def register(function: Check) -> Check:
        _checks.append((text, function))
        return function

    return register


def check_promises(evidence: Evidence) -> list[Verdict]:
    """Returns the verdicts in the order of the design page.

    Promises that the run does not exercise are left out.
    """
    verdicts = []
    for text, check in _checks:
        result = check(evidence)
        if result is None:
            continue
        violations = list(result.violations)
        if evidence.dropped:
            violations.append(f"the records have lost {evidence.dropped} executions")
        if not result.evidence:
            violations.append("the run gave no evidence")
        held, shown = not violations, violations[:MAX_EXAMPLES]
        figures = result.figures | {"violations": len(violations)}
        verdicts.append(Verdict(text, result.counted, held, shown, figures))
    return verdicts


def _list_requests(evidence: Evidence) -> list[Execution]:
    return [execution for execution in evidence.executions if execution.kind == "request"]


def _group_by_path(evidence: Evidence) -> dict[str, list[Execution]]:
    groups: dict[str, list[Execution]] = defaultdict(list)
    for execution in _list_requests(evidence):
        groups[execution.path].append(execution)
    return groups


def count_max_out_of_service(operations: list[Operation], pools: dict[str, str]) -> dict[str, int]:
    """Returns for each pool the maximum number of hosts out of service at the same time.

    A host is out of service from its drain to its return, and counts towards the pool that it
    leaves.
    """
    pools, out, max_out = dict(pools), {}, Counter(dict.fromkeys(pools.values(), 0))
    for operation in sorted(operations, key=lambda item: item.at):
        if operation.kind == "return":
            out.pop(operation.host, None)
            pools[operation.host] = operation.pool
            continue
        out[operation.host] = pools[operation.host]
        for pool, count in Counter(out.values()).items():
            max_out[pool] = max(max_out[pool], count)
    return dict(max_out)


@promise("Every service stays within its availability budget")
def _check_budget(evidence: Evidence) -> CheckResult:
    max_out = count_max_out_of_service(evidence.operations, evidence.initial_pools)
    services = complete_configuration(evidence.configuration)["services"]
    violations, shown = [], []
    for name, options in sorted(services.items()):
        count = max_out.get(options["pool"], 0)
        if count > options["max_unavailable"]:
            violations.append(f"{name}: {count} of {options['max_unavailable']} hosts out")
    for pool in sorted(max_out):
        limits = [o["max_unavailable"] for o in services.values() if o["pool"] == pool]
        shown.append(f"{pool} {max_out[pool]} of {min(limits)}")
    drains = sum(item.kind == "drain" for item in evidence.operations)
    counted = f"{drains} drains; most hosts out at once: {', '.join(shown)}"
    return CheckResult(counted, drains, violations, {"drains": drains, "most_out": max_out})


def _find_logged_pool(history: list[tuple[float, str, str]], moment: float) -> str:
    """Returns the pool of a host at time ``moment`` by the log, or an empty string."""
    return next((pool for at, pool, _ in reversed(history) if at <= moment), "")


@promise("A host belongs to exactly one pool at any moment")
def _check_pools(evidence: Evidence) -> CheckResult:
    services = evidence.configuration["services"]
    violations = []
    for host, history in evidence.assignments.items():
        streams = {stream for _, _, stream in history}
        if len(streams) > 1:
            violations.append(f"{host} is in the streams {sorted(streams)}")
    for execution in _list_requests(evidence):
        expected = services[execution.service]["pool"] if execution.service in services else "?"
        logged = _find_logged_pool(evidence.assignments.get(execution.host, []), execution.started)
        if not execution.pool == expected == logged:
            violations.append(
                f"{execution.name} of pool {expected} ran on {execution.host}, which the log has in"
                f" {logged!r} and the worker in {execution.pool!r}"
            )
    moves = sum(len(history) - 1 for history in evidence.assignments.values())
    requests = len(_list_requests(evidence))
    hosts = len(evidence.assignments)
    counted = f"{requests} requests ran on {hosts} hosts with {moves} move(s); "
    counted += f"{len(violations)} in another pool"
    figures = {"requests": requests, "hosts": hosts, "moves": moves}
    return CheckResult(counted, requests if moves else 0, violations, figures)


def _is_down(call: Call, stops: list[Stop]) -> bool:
    """Returns whether the entry host of a call was down at some time during the call."""
    return any(
        call.address == stop.address and call.sent <= stop.ready and call.ended >= stop.began
        for stop in stops
    )


@promise("A caller receives the whole answer to its own request")
def _check_answers(evidence: Evidence) -> CheckResult:
    executions_by_path = _group_by_path(evidence)
    violations = []
    completed = [call for call in evidence.calls if call.outcome == COMPLETED]
    for call in completed:
        if call.status == 200 and not call.verified:
            violations.append(f"{call.path}: wrong or partial answer")
        elif not any(execution.finished for execution in executions_by_path.get(call.path, [])):
            violations.append(f"{call.path}: an answer without an execution")
    for call in evidence.calls:
        if call.outcome not in (COMPLETED, NOT_RUN, Outcome.UNKNOWN.value, "broken"):
            violations.append(f"{call.path}: {call.outcome} after {call.ended - call.sent:.1f} s")
        if call.outcome == "broken" and not _is_down(call, evidence.stops):
            violations.append(f"{call.path}: broken by {call.address}, {call.error}")
    outcomes = dict(Counter(call.outcome for call in evidence.calls))
    totals = ", ".join(f"{count} {name}" for name, count in sorted(outcomes.items()))
    counted = f"{len(evidence.calls)} calls: {totals}; {len(violations)} wrong, partial or lost"
    return CheckResult(counted, len(completed), violations, {"outcomes": outcomes})


@promise("A request rejected as safe to retry (not-run) did not run")
def _check_rejections(evidence: Evidence) -> CheckResult:
    by_path, by_request = _group_by_path(evidence), defaultdict(list)
    for execution in _list_requests(evidence):
        by_request[execution.name.rpartition(".")[0]].append(execution)
    attempts = Counter(call.path for call in evidence.calls)
    rejected = [call for call in evidence.calls if call.outcome == NOT_RUN]
    violations = []
    for call in rejected:
        # Where possible, match by path, which also finds executions of a request that another
        # entry host forwarded. The path of a call that was sent again matches all its attempts.
        ran = by_path[call.path] if attempts[call.path] == 1 else by_request[call.request]
        if ran:
            hosts = sorted({execution.host for execution in ran})
            violations.append(f"{call.path} ({call.request}) ran on {hosts}")
    sent_once = sum(attempts[call.path] == 1 for call in rejected)
    counted = f"{len(rejected)} rejections ({len(rejected) - sent_once} of them sent again); "
    counted += f"{len(violations)} ran"
    figures = {"rejections": len(rejected), "ran": len(violations)}
    return CheckResult(counted, len(rejected), violations, figures)


def _list_duplicates(groups: dict[str, list[Execution]]) -> Iterator[str]:
    for name, group in groups.items():
        if len(group) > 1:
            where = ", ".join(f"{e.name} on {e.host}" for e in group)
            yield f"{name} ran {len(group)} times: {where}"


@promise("A non-idempotent request runs at most once")
def _check_at_most_once(evidence: Evidence) -> CheckResult:
    keyed: dict[str, list[Execution]] = defaultdict(list)
    for execution in _list_requests(evidence):
        if execution.key:
            keyed[execution.key].append(execution)
    keys = {call.key for call in evidence.calls if call.key}
    plain = {call.path for call in evidence.calls if call.kind.startswith("plain")}
    ran = {path: group for path, group in _group_by_path(evidence).items() if path in plain}
    violations = [*_list_duplicates(keyed), *_list_duplicates(ran)]
    attempts = Counter(call.key for call in evidence.calls if call.key)
    repeated = sum(count > 1 for count in attempts.values())
    begin, end = evidence.fault_intervals.get("log outage", (0.0, 0.0))
    in_outage = [call for call in evidence.calls if call.key and begin <= call.sent < end]
    served = sum(call.outcome == COMPLETED for call in in_outage)
    if not served:
        violations.append("no request with a key was completed during the outage of the log")
    counted = f"{len(keys)} keys ({repeated} sent again), {len(plain)} without a key; "
    counted += (
        f"{len(violations)} ran twice; {served} of {len(in_outage)} completed in the log outage"
    )
    figures = {"keys": len(keys), "keys_sent_again": repeated, "plain": len(plain)}
    figures |= {"keyed_in_outage": len(in_outage), "keyed_in_outage_completed": served}
    return CheckResult(counted, len(keys) if plain else 0, violations, figures)


@promise("A draining target receives no new work after 3 s")
def _check_draining(evidence: Evidence) -> CheckResult:
    violations, in_time = [], 0
    for execution in evidence.executions:
        if execution.seconds_after_drain is not None:
            violations.append(f"{execution.name} ran on {execution.host} while it was draining")
    for entry in evidence.rejections:
        after = entry["seconds_after_drain"]
        if after is None or entry["reason"] != "draining":
            continue
        if after > MAX_NEW_WORK_AFTER_DRAIN_S:
            name = entry.get("request") or entry.get("job")
            violations.append(f"{name} came to {entry['host']} {after:.1f} s after its drain began")
        else:
            in_time += 1
    durations = _list_drain_durations(evidence.operations)
    exceeding = sum(seconds > MAX_NEW_WORK_AFTER_DRAIN_S for seconds in durations)
    longest = max(durations, default=0.0)
    counted = (
        f"{len(durations)} drains, the longest {longest:.1f} s; {in_time} refused within 3 s, "
    )
    counted += f"{len(violations)} later"
    figures = {"drains": len(durations), "longest_seconds": longest, "refused_in_time": in_time}
    return CheckResult(counted, exceeding, violations, figures)


def _list_drain_durations(operations: list[Operation]) -> list[float]:
    """Returns the duration of each drain in seconds, from the drain to the return of the host."""
    began, durations = {}, []
    for operation in sorted(operations, key=lambda item: item.at):
        if operation.kind == "drain":
            began[operation.host] = operation.at
        elif operation.kind == "return" and operation.host in began:
            durations.append(operation.at - began.pop(operation.host))
    return durations


@promise("Every planned stop is graceful")
def _check_stops(evidence: Evidence) -> CheckResult:
    planned = [stop for stop in evidence.stops if stop.status >= 0]
    violations = [f"{s.member} ended with status {s.status}" for s in planned if s.status]
    in_progress = 0
    for stop in planned:
        for call in evidence.calls:
            if call.address != stop.address or call.ended < stop.began or call.sent > stop.ended:
                continue
            in_progress += call.sent < stop.began
            # A refused connection never carried the request, so it does not count as cut off.
            if call.outcome == "broken" and "ClientConnectorError" not in call.error:
                violations.append(f"{call.path} was cut off by {stop.member}: {call.error}")
    seconds = max((stop.ended - stop.began for stop in planned), default=0.0)
    counted = f"{len(planned)} stop(s), {seconds:.1f} s; {in_progress} requests in progress, "
    counted += f"{len(violations)} cut off"
    figures = {"stops": len(planned), "seconds": seconds, "in_progress": in_progress}
    return CheckResult(counted, in_progress, violations, figures)


@promise("An accepted configuration is in force everywhere within 5 s and never reverts")
def _check_roll_outs(evidence: Evidence) -> CheckResult:
    violations, slowest, probes = [], 0.0, 0
    for roll_out in evidence.roll_outs:
        probes += roll_out.probes
        for member, seconds in roll_out.seconds.items():
            slowest = max(slowest, seconds)
            if seconds > MAX_ROLL_OUT_S:
                violations.append(f"{roll_out.service} took {seconds:.1f} s to {member}")
        if roll_out.reverts:
            violations.append(f"{roll_out.service} was unknown again {roll_out.reverts} times")
    for race in evidence.races:
        if len(race.accepted) != 1 or race.refused_in_force:
            violations.append(f"racing operators: {race}")
    versions, races = len(evidence.roll_outs), len(evidence.races)
    reverts = sum(roll_out.reverts for roll_out in evidence.roll_outs)
    counted = f"{versions} versions, slowest {slowest:.2f} s; {reverts} reverts in {probes} probes;"
    counted += f" {races} race with one winner" if not violations else f" {races} race"
    figures = {"versions": versions, "slowest_seconds": slowest, "reverts": reverts}
    return CheckResult(counted, versions if races else 0, violations, figures | {"probes": probes})


@promise("No job is lost and none is doubled")
def _check_jobs(evidence: Evidence) -> CheckResult:
    runs: dict[str, list[Execution]] = defaultdict(list)
    for execution in evidence.executions:
        if execution.kind == "task":
            runs[execution.name].append(execution)
    violations = []
    for job_result in evidence.jobs:
        starts = len(runs[job_result.job])
        succeeded = sum(run.result == "succeeded" for run in runs[job_result.job])
        summary = f"job {job_result.job}, told {job_result.state or 'nothing'}: {starts} starts, "
        summary += f"{succeeded} successes"
        expected = ("succeeded", 1) if job_result.placeable else ("unplaceable", 0)
        if job_result.retried_until_accepted and not job_result.accepted:
            violations.append(summary + ", was never accepted")
        elif job_result.accepted and (job_result.state, succeeded) != expected:
            violations.append(summary)
        elif starts > 1 and not job_result.repeatable:
            violations.append(summary + ", may not be repeated")
        elif not job_result.accepted and not job_result.unknown_outcomes and starts:
            violations.append(summary + ", was rejected")
    accepted = sum(job_result.accepted for job_result in evidence.jobs)
    refused = sum(job_result.rejections for job_result in evidence.jobs)
    starts = sum(len(group) for group in runs.values())
    unknown_outcomes = sum(job_result.unknown_outcomes for job_result in evidence.jobs)
    counted = f"{accepted} accepted, {refused} submissions rejected, {unknown_outcomes} unclear, "
    counted += f"{starts} starts; "
    counted += f"{len(violations)} lost or doubled"
    figures = {"accepted": accepted, "rejected_submissions": refused, "starts": starts}
    figures |= {"unclear_submissions": unknown_outcomes}
    return CheckResult(counted, accepted, violations, figures)


def _list_detection_delays(evidence: Evidence, begin: float) -> Iterator[tuple[str, float]]:
    """Yields each attempt revoked at a silenced worker, with the detection time in seconds.

    The detection time is measured from the end of the attempt at the worker or, if the attempt
    never arrived, from the sending of the request or the revocation of its previous attempt. It is
    measured from ``begin`` if that is later.
    """
    ended = {e.name: e.ended for e in _list_requests(evidence) if e.ended}
    sent = {call.request: call.sent for call in evidence.calls if call.request}
    for host, attempt, at in sorted(evidence.revocations, key=lambda item: item[2]):
        request = attempt.rpartition(".")[0]
        measured_from = max(ended.get(attempt, sent.get(request, at)), begin)
        sent[request] = at
        if host in evidence.silenced_connections and at >= begin:
            yield attempt, at - measured_from


@promise("A silent connection is noticed within 5 s, and repeatable requests on it are answered")
def _check_silence(evidence: Evidence) -> CheckResult | None:
    if "silence" not in evidence.fault_intervals:
        return None
    begin, end = evidence.fault_intervals["silence"]
    delays = dict(_list_detection_delays(evidence, begin))
    violations = [
        f"{attempt}: the silence was noticed after {seconds:.1f} s"
        for attempt, seconds in delays.items()
        if seconds > MAX_SILENCE_DETECTION_S
    ]
    repeatable = [
        call
        for call in evidence.calls
        if call.kind.startswith("repeatable") and call.ended >= begin and call.sent <= end
    ]
    violations += [
        f"{call.path}: repeatable, {call.outcome} {call.error}"
        for call in repeatable
        if call.outcome not in (COMPLETED, NOT_RUN)
    ]
    silenced, longest = sum(evidence.silenced_connections.values()), max(
        delays.values(), default=0.0
    )
    counted = f"{silenced} connections fell silent with {len(delays)} requests, noticed "
    counted += f"after at most {longest:.1f} s; {len(repeatable)} repeatable requests meanwhile"
    figures = {"connections": silenced, "requests": len(delays)}
    figures |= {"longest_seconds": longest, "repeatable": len(repeatable)}
    return CheckResult(counted, len(delays), violations, figures)
