"""Judges the promises of the design page, section 7, by what was recorded in a run.

Each judgement counts at the stand-ins and at the callers. A promise for which a run gives no
evidence is not held.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from carawayshore.configuration import complete_configuration
from carawayshore.outcome import Outcome

if TYPE_CHECKING:
    from carawayshore_standins.evidence import Call, Evidence, Execution, Operation, Stop

LONGEST_ROLL_OUT_S = 5.0
LONGEST_NEW_WORK_S = 3.0
LONGEST_SILENCE_S = 5.0
MAX_EXAMPLES = 5
COMPLETED, NOT_RUN = Outcome.COMPLETED.value, Outcome.NOT_RUN.value

Judge = Callable[["Evidence"], "Finding | None"]
_judges: list[tuple[str, Judge]] = []


class Finding(NamedTuple):
    """Result of one judgement.

    Parameters
    ----------
    counted : str
        What was counted, for people.
    evidence : int
        Observations that could have refuted the promise.
    violations : list of str
    figures : dict
        The same as ``counted``, for programs.
    """

    counted: str
    evidence: int
    violations: list[str]
    figures: dict[str, Any]


class Verdict(NamedTuple):
    """One line of the table."""

    promise: str
    counted: str
    held: bool
    violations: list[str]
    figures: dict[str, Any]


def promise(text: str):
    """Registers the judge of one promise."""

    def register(function: Judge) -> Judge:
        _judges.append((text, function))
        return function

    return register


def judge_all(evidence: Evidence) -> list[Verdict]:
    """Returns the verdicts of the promises that the run concerns, in the design page's order."""
    verdicts = []
    for text, judge in _judges:
        found = judge(evidence)
        if found is None:
            continue
        violations = list(found.violations)
        if evidence.dropped:
            violations.append(f"the records have lost {evidence.dropped} executions")
        if not found.evidence:
            violations.append("the run gave no evidence")
        held, shown = not violations, violations[:MAX_EXAMPLES]
        figures = found.figures | {"violations": len(violations)}
        verdicts.append(Verdict(text, found.counted, held, shown, figures))
    return verdicts


def _list_requests(evidence: Evidence) -> list[Execution]:
    return [execution for execution in evidence.executions if execution.kind == "request"]


def _group_by_path(evidence: Evidence) -> dict[str, list[Execution]]:
    groups: dict[str, list[Execution]] = defaultdict(list)
    for execution in _list_requests(evidence):
        groups[execution.path].append(execution)
    return groups


def count_out(operations: list[Operation], pools: dict[str, str]) -> dict[str, int]:
    """Returns the most hosts of each pool that were out of service at one moment.

    A host is out of the pool that it leaves, from the drain to the return.
    """
    pools, out, most = dict(pools), {}, Counter(dict.fromkeys(pools.values(), 0))
    for operation in sorted(operations, key=lambda item: item.at):
        if operation.kind == "return":
            out.pop(operation.host, None)
            pools[operation.host] = operation.pool
            continue
        out[operation.host] = pools[operation.host]
        for pool, count in Counter(out.values()).items():
            most[pool] = max(most[pool], count)
    return dict(most)


@promise("Every service stays within its availability budget")
def _judge_budget(evidence: Evidence) -> Finding:
    most = count_out(evidence.operations, evidence.first_pools)
    services = complete_configuration(evidence.configuration)["services"]
    violations, shown = [], []
    for name, options in sorted(services.items()):
        count = most.get(options["pool"], 0)
        if count > options["max_unavailable"]:
            violations.append(f"{name}: {count} of {options['max_unavailable']} hosts out")
    for pool in sorted(most):
        limits = [o["max_unavailable"] for o in services.values() if o["pool"] == pool]
        shown.append(f"{pool} {most[pool]} of {min(limits)}")
    drains = sum(item.kind == "drain" for item in evidence.operations)
    counted = f"{drains} drains; most hosts out at once: {', '.join(shown)}"
    return Finding(counted, drains, violations, {"drains": drains, "most_out": most})


def _find_pool(history: list[tuple[float, str, str]], moment: float) -> str:
    """Returns the pool that the log gave a host at ``moment``, or an empty string."""
    return next((pool for at, pool, _ in reversed(history) if at <= moment), "")


@promise("A host belongs to exactly one pool at any moment")
def _judge_pools(evidence: Evidence) -> Finding:
    services = evidence.configuration["services"]
    violations = []
    for host, history in evidence.assignments.items():
        streams = {stream for _, _, stream in history}
        if len(streams) > 1:
            violations.append(f"{host} is in the streams {sorted(streams)}")
    for execution in _list_requests(evidence):
        wanted = services[execution.service]["pool"] if execution.service in services else "?"
        logged = _find_pool(evidence.assignments.get(execution.host, []), execution.started)
        if not execution.pool == wanted == logged:
            violations.append(
                f"{execution.name} of pool {wanted} ran on {execution.host}, which the log has in"
                f" {logged!r} and the worker in {execution.pool!r}"
            )
    moves = sum(len(history) - 1 for history in evidence.assignments.values())
    requests = len(_list_requests(evidence))
    hosts = len(evidence.assignments)
    counted = f"{requests} requests ran on {hosts} hosts with {moves} move(s); "
    counted += f"{len(violations)} in another pool"
    figures = {"requests": requests, "hosts": hosts, "moves": moves}
    return Finding(counted, requests if moves else 0, violations, figures)


def _is_down(call: Call, stops: list[Stop]) -> bool:
    """Returns whether the entry host of a call was down at some time while the call lasted."""
    return any(
        call.address == stop.address and call.sent <= stop.back and call.ended >= stop.began
        for stop in stops
    )


@promise("A caller receives the whole answer to its own request")
def _judge_answers(evidence: Evidence) -> Finding:
    ran = _group_by_path(evidence)
    violations = []
    completed = [call for call in evidence.calls if call.outcome == COMPLETED]
    for call in completed:
        if call.status == 200 and not call.verified:
            violations.append(f"{call.path}: wrong or partial answer")
        elif not any(execution.finished for execution in ran.get(call.path, [])):
            violations.append(f"{call.path}: an answer without an execution")
    for call in evidence.calls:
        if call.outcome not in (COMPLETED, NOT_RUN, Outcome.UNKNOWN.value, "broken"):
            violations.append(f"{call.path}: {call.outcome} after {call.ended - call.sent:.1f} s")
        if call.outcome == "broken" and not _is_down(call, evidence.stops):
            violations.append(f"{call.path}: broken by {call.address}, {call.error}")
    outcomes = dict(Counter(call.outcome for call in evidence.calls))
    others = ", ".join(f"{count} {name}" for name, count in sorted(outcomes.items()))
    counted = f"{len(evidence.calls)} calls: {others}; {len(violations)} wrong, partial or lost"
    return Finding(counted, len(completed), violations, {"outcomes": outcomes})


@promise("A request rejected as safe to retry (not-run) did not run")
def _judge_rejections(evidence: Evidence) -> Finding:
    by_path, by_request = _group_by_path(evidence), defaultdict(list)
    for execution in _list_requests(evidence):
        by_request[execution.name.rpartition(".")[0]].append(execution)
    sendings = Counter(call.path for call in evidence.calls)
    rejected = [call for call in evidence.calls if call.outcome == NOT_RUN]
    violations = []
    for call in rejected:
        # The path tells more, as it also shows a request that another entry host passed on.
        ran = by_path[call.path] if sendings[call.path] == 1 else by_request[call.request]
        if ran:
            hosts = sorted({execution.host for execution in ran})
            violations.append(f"{call.path} ({call.request}) ran on {hosts}")
    once = sum(sendings[call.path] == 1 for call in rejected)
    counted = f"{len(rejected)} rejections ({len(rejected) - once} of them sent again); "
    counted += f"{len(violations)} ran"
    figures = {"rejections": len(rejected), "ran": len(violations)}
    return Finding(counted, len(rejected), violations, figures)


def _list_doubled(groups: dict[str, list[Execution]]) -> Iterator[str]:
    for name, group in groups.items():
        if len(group) > 1:
            where = ", ".join(f"{e.name} on {e.host}" for e in group)
            yield f"{name} ran {len(group)} times: {where}"


@promise("A non-idempotent request runs at most once")
def _judge_at_most_once(evidence: Evidence) -> Finding:
    keyed: dict[str, list[Execution]] = defaultdict(list)
    for execution in _list_requests(evidence):
        if execution.key:
            keyed[execution.key].append(execution)
    keys = {call.key for call in evidence.calls if call.key}
    plain = {call.path for call in evidence.calls if call.kind.startswith("plain")}
    ran = {path: group for path, group in _group_by_path(evidence).items() if path in plain}
    violations = [*_list_doubled(keyed), *_list_doubled(ran)]
    again = Counter(call.key for call in evidence.calls if call.key)
    repeated = sum(count > 1 for count in again.values())
    begin, end = evidence.spans.get("log outage", (0.0, 0.0))
    during = [call for call in evidence.calls if call.key and begin <= call.sent < end]
    served = sum(call.outcome == COMPLETED for call in during)
    if not served:
        violations.append("no request with a key was completed during the outage of the log")
    counted = f"{len(keys)} keys ({repeated} sent again), {len(plain)} without a key; "
    counted += f"{len(violations)} ran twice; {served} of {len(during)} completed in the log outage"
    figures = {"keys": len(keys), "keys_sent_again": repeated, "plain": len(plain)}
    figures |= {"keyed_in_outage": len(during), "keyed_in_outage_completed": served}
    return Finding(counted, len(keys) if plain else 0, violations, figures)


@promise("A draining target receives no new work after 3 s")
def _judge_draining(evidence: Evidence) -> Finding:
    late, early = [], 0
    for execution in evidence.executions:
        if execution.seconds_after_drain is not None:
            late.append(f"{execution.name} ran on {execution.host} while it was draining")
    for entry in evidence.rejections:
        after = entry["seconds_after_drain"]
        if after is None or entry["reason"] != "draining":
            continue
        if after > LONGEST_NEW_WORK_S:
            name = entry.get("request") or entry.get("job")
            late.append(f"{name} came to {entry['host']} {after:.1f} s after its drain began")
        else:
            early += 1
    lasted = _list_drains(evidence.operations)
    lasting = sum(seconds > LONGEST_NEW_WORK_S for seconds in lasted)
    longest = max(lasted, default=0.0)
    counted = f"{len(lasted)} drains, the longest {longest:.1f} s; {early} refused within 3 s, "
    counted += f"{len(late)} later"
    figures = {"drains": len(lasted), "longest_seconds": longest, "refused_in_time": early}
    return Finding(counted, lasting, late, figures)


def _list_drains(operations: list[Operation]) -> list[float]:
    """Returns for each drain the time in seconds until the return of the host."""
    began, lasted = {}, []
    for operation in sorted(operations, key=lambda item: item.at):
        if operation.kind == "drain":
            began[operation.host] = operation.at
        elif operation.kind == "return" and operation.host in began:
            lasted.append(operation.at - began.pop(operation.host))
    return lasted


@promise("Every planned stop is graceful")
def _judge_stops(evidence: Evidence) -> Finding:
    planned = [stop for stop in evidence.stops if stop.status >= 0]
    violations = [f"{s.member} ended with status {s.status}" for s in planned if s.status]
    in_progress = 0
    for stop in planned:
        for call in evidence.calls:
            if call.address != stop.address or call.ended < stop.began or call.sent > stop.ended:
                continue
            in_progress += call.sent < stop.began
            # A connection that was refused had not taken up the request.
            if call.outcome == "broken" and "ClientConnectorError" not in call.error:
                violations.append(f"{call.path} was cut off by {stop.member}: {call.error}")
    seconds = max((stop.ended - stop.began for stop in planned), default=0.0)
    counted = f"{len(planned)} stop(s), {seconds:.1f} s; {in_progress} requests in progress, "
    counted += f"{len(violations)} cut off"
    figures = {"stops": len(planned), "seconds": seconds, "in_progress": in_progress}
    return Finding(counted, in_progress, violations, figures)


@promise("An accepted configuration is in force everywhere within 5 s and never reverts")
def _judge_roll_outs(evidence: Evidence) -> Finding:
    violations, slowest, probes = [], 0.0, 0
    for roll_out in evidence.roll_outs:
        probes += roll_out.probes
        for member, seconds in roll_out.seconds.items():
            slowest = max(slowest, seconds)
            if seconds > LONGEST_ROLL_OUT_S:
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
    return Finding(counted, versions if races else 0, violations, figures | {"probes": probes})


@promise("No job is lost and none is doubled")
def _judge_jobs(evidence: Evidence) -> Finding:
    runs: dict[str, list[Execution]] = defaultdict(list)
    for execution in evidence.executions:
        if execution.kind == "task":
            runs[execution.name].append(execution)
    violations = []
    for story in evidence.jobs:
        starts = len(runs[story.job])
        succeeded = sum(run.result == "succeeded" for run in runs[story.job])
        told = f"job {story.job}, told {story.state or 'nothing'}: {starts} starts, "
        told += f"{succeeded} successes"
        expected = ("succeeded", 1) if story.fits else ("unplaceable", 0)
        if story.insisted and not story.accepted:
            violations.append(told + ", was never accepted")
        elif story.accepted and (story.state, succeeded) != expected:
            violations.append(told)
        elif starts > 1 and not story.repeatable:
            violations.append(told + ", may not be repeated")
        elif not story.accepted and not story.unclear and starts:
            violations.append(told + ", was rejected")
    accepted = sum(story.accepted for story in evidence.jobs)
    refused = sum(story.refusals for story in evidence.jobs)
    starts = sum(len(group) for group in runs.values())
    unclear = sum(story.unclear for story in evidence.jobs)
    counted = f"{accepted} accepted, {refused} submissions rejected, {unclear} unclear, "
    counted += f"{starts} starts; "
    counted += f"{len(violations)} lost or doubled"
    figures = {"accepted": accepted, "rejected_submissions": refused, "starts": starts}
    figures |= {"unclear_submissions": unclear}
    return Finding(counted, accepted, violations, figures)


def _list_detections(evidence: Evidence, begin: float) -> Iterator[tuple[str, float]]:
    """Yields the attempts that an entry host revoked at a silenced worker, with the time it took.

    The time counts from the end of the attempt at the worker; if the attempt never arrived, from
    the sending of the request or the revocation of the attempt before.
    """
    ended = {e.name: e.ended for e in _list_requests(evidence) if e.ended}
    sent = {call.request: call.sent for call in evidence.calls if call.request}
    for host, attempt, at in sorted(evidence.revocations, key=lambda item: item[2]):
        request = attempt.rpartition(".")[0]
        base = max(ended.get(attempt, sent.get(request, at)), begin)
        sent[request] = at
        if host in evidence.silenced and at >= begin:
            yield attempt, at - base


@promise("A silent connection is noticed within 5 s, and repeatable requests on it are answered")
def _judge_silence(evidence: Evidence) -> Finding | None:
    if "silence" not in evidence.spans:
        return None
    begin, end = evidence.spans["silence"]
    detections = dict(_list_detections(evidence, begin))
    violations = [
        f"{attempt}: the silence was noticed after {seconds:.1f} s"
        for attempt, seconds in detections.items()
        if seconds > LONGEST_SILENCE_S
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
    connections, longest = sum(evidence.silenced.values()), max(detections.values(), default=0.0)
    counted = f"{connections} connections fell silent with {len(detections)} requests, noticed "
    counted += f"after at most {longest:.1f} s; {len(repeatable)} repeatable requests meanwhile"
    figures = {"connections": connections, "requests": len(detections)}
    figures |= {"longest_seconds": longest, "repeatable": len(repeatable)}
    return Finding(counted, len(detections), violations, figures)
