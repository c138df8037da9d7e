"""Builds evidence of a run, sound or with a named fault, for the checks of the promises."""

from __future__ import annotations

from collections.abc import Callable

from carawayshore_standins.evidence import (
    Call,
    Evidence,
    Execution,
    JobResult,
    Operation,
    Race,
    RollOut,
    Stop,
)

UMEA, LULEA = "127.0.0.1:1", "127.0.0.1:2"
Change = Callable[[Evidence], Evidence]
_faults: dict[str, Change] = {}


def build_call(name: str, sent: float, **members) -> Call:
    """Returns a completed call of 1 s to the entry host ``umea-1``."""
    call = Call(
        path=f"/services/booking/{name}",
        kind="plain",
        key="",
        address=UMEA,
        status=200,
        outcome="completed",
        verified=True,
        error="",
        request=name,
        sent=sent,
        ended=sent + 1,
    )
    return call._replace(**members)


def build_execution(request: str, started: float, **members) -> Execution:
    """Returns the execution, 0.5 s long, of the first attempt of a request on host ``w1``."""
    execution = Execution(
        host="w1",
        kind="request",
        name=f"{request}.1",
        key=None,
        path=f"/services/booking/{request}",
        service="booking",
        pool="booking",
        seconds_after_drain=None,
        started=started,
        ended=started + 0.5,
        finished=True,
        result="succeeded",
    )
    return execution._replace(**members)


def build_task(job: str, started: float, **members) -> Execution:
    """Returns a successful task on host ``w3``."""
    return build_execution(
        job, started, host="w3", kind="task", name=job, path="", pool="office", **members
    )


def build_evidence() -> Evidence:
    """Returns the evidence of a run that holds every promise."""
    return Evidence(
        calls=[
            build_call("a", 10, verified=True),
            build_call("k", 50, kind="keyed", key="k1"),
            build_call("n", 12, status=503, outcome="not-run", verified=None),
            build_call("s", 30.5),
            build_call("r", 60, kind="repeatable", ended=64),
        ],
        executions=[
            build_execution("a", 10),
            build_execution("k", 50, key="k1"),
            build_execution("s", 30.6),
            build_execution("r", 60),
            build_execution("r", 63, name="r.2", host="w2"),
            build_task("j1", 10),
        ],
        rejections=[],
        dropped=0,
        operations=[
            Operation("w4", "drain", 20, ""),
            Operation("w4", "return", 24, "booking"),
            Operation("w2", "drain", 25, ""),
            Operation("w2", "return", 25.5, "booking"),
        ],
        initial_pools={"w1": "booking", "w2": "booking", "w3": "office", "w4": "office"},
        assignments={
            "w1": [(1, "booking", "dc.umea")],
            "w2": [(1, "booking", "dc.umea")],
            "w3": [(1, "office", "dc.umea")],
            "w4": [(1, "office", "dc.umea"), (23, "booking", "dc.umea")],
        },
        configuration={
            "data_centres": ["umea"],
            "pools": {"booking": {}, "office": {}},
            "services": {"booking": {"pool": "booking"}, "office": {"pool": "office"}},
        },
        stops=[Stop("umea-1", UMEA, 31, 32, 33, 0), Stop("lulea-1", LULEA, 40, 41, 42, -9)],
        jobs=[
            JobResult("j1", False, retried_until_accepted=True, accepted=True, state="succeeded"),
            JobResult("j2", False),
        ],
        roll_outs=[RollOut("quotes", {"umea-1": 0.2}, 0, 10)],
        races=[Race(["north"], ["south"], 0)],
        fault_intervals={"log outage": (49, 52), "silence": (60.2, 66)},
        silenced_connections={"w1": 3},
        revocations=[("w1", "r.1", 63)],
    )


def apply_fault(name: str, evidence: Evidence) -> Evidence:
    """Returns the evidence with the named fault; raises KeyError if the name is unknown."""
    return _faults[name](evidence)


def _fault(name: str):
    def register(change: Change) -> Change:
        _faults[name] = change
        return change

    return register


def _add(evidence: Evidence, member: str, *items) -> Evidence:
    return evidence._replace(**{member: [*getattr(evidence, member), *items]})


def _change_call(evidence: Evidence, request: str, **members) -> Evidence:
    calls = [c._replace(**members) if c.request == request else c for c in evidence.calls]
    return evidence._replace(calls=calls)


@_fault("two hosts of one pool out at once")
def _drain_two_hosts(evidence: Evidence) -> Evidence:
    return _add(
        evidence,
        "operations",
        Operation("w1", "drain", 25.2, ""),
        Operation("w1", "return", 25.8, "booking"),
    )


@_fault("a request on a host of no pool")
def _run_on_foreign_host(evidence: Evidence) -> Evidence:
    execution = build_execution("m", 22, host="w4")
    return _add(_add(evidence, "executions", execution), "calls", build_call("m", 22))


@_fault("a host in two streams")
def _assign_twice(evidence: Evidence) -> Evidence:
    history = [*evidence.assignments["w2"], (2, "booking", "dc.lulea")]
    return evidence._replace(assignments=evidence.assignments | {"w2": history})


@_fault("a foreign answer")
def _fail_verification(evidence: Evidence) -> Evidence:
    return _change_call(evidence, "a", verified=False)


@_fault("an answer that nobody ran")
def _add_answer_without_execution(evidence: Evidence) -> Evidence:
    return _add(evidence, "calls", build_call("b", 14))


@_fault("a connection broken by a live one")
def _break_connection(evidence: Evidence) -> Evidence:
    broken = build_call("b", 14, status=0, outcome="broken", verified=None, error="reset")
    return _add(evidence, "calls", broken)


@_fault("a rejected request that ran")
def _run_rejected(evidence: Evidence) -> Evidence:
    return _add(evidence, "executions", build_execution("n", 12))


@_fault("a key that ran twice")
def _run_key_twice(evidence: Evidence) -> Evidence:
    return _add(evidence, "executions", build_execution("k", 51, key="k1", host="w2"))


@_fault("no key served in the outage")
def _refuse_keys(evidence: Evidence) -> Evidence:
    return _change_call(evidence, "k", outcome="unknown", status=503, verified=None)


@_fault("new work 4 s after a drain")
def _send_after_drain(evidence: Evidence) -> Evidence:
    entry = {"host": "w4", "request": "x.1", "reason": "draining", "seconds_after_drain": 4.0}
    return _add(evidence, "rejections", entry)


@_fault("drains that are all short")
def _shorten_drains(evidence: Evidence) -> Evidence:
    operations = [o for o in evidence.operations if o.host != "w4"]
    return evidence._replace(operations=operations)


@_fault("a request cut off by a stop")
def _cut_off(evidence: Evidence) -> Evidence:
    members = {"status": 0, "outcome": "broken", "verified": None}
    return _change_call(evidence, "s", error="ServerDisconnectedError()", **members)


@_fault("a stop with status 1")
def _fail_stop(evidence: Evidence) -> Evidence:
    planned, killed = evidence.stops
    return evidence._replace(stops=[planned._replace(status=1), killed])


@_fault("a roll-out of 6 s")
def _delay_roll_out(evidence: Evidence) -> Evidence:
    return evidence._replace(roll_outs=[RollOut("quotes", {"umea-1": 6.0}, 0, 10)])


@_fault("a configuration that reverts")
def _revert(evidence: Evidence) -> Evidence:
    return evidence._replace(roll_outs=[RollOut("quotes", {"umea-1": 0.2}, 1, 10)])


@_fault("two winners of a race")
def _accept_both(evidence: Evidence) -> Evidence:
    return evidence._replace(races=[Race(["north", "south"], [], 0)])


@_fault("a lost job")
def _lose_job(evidence: Evidence) -> Evidence:
    return evidence._replace(executions=[e for e in evidence.executions if e.kind == "request"])


@_fault("a job that is never accepted")
def _reject_job(evidence: Evidence) -> Evidence:
    return _add(
        evidence, "jobs", JobResult("j3", False, retried_until_accepted=True, rejections=100)
    )


@_fault("a doubled job")
def _run_job_twice(evidence: Evidence) -> Evidence:
    return _add(evidence, "executions", build_task("j1", 11, result="cut-off"))


@_fault("a rejected job that ran")
def _run_rejected_job(evidence: Evidence) -> Evidence:
    return _add(evidence, "executions", build_task("j2", 11))


@_fault("a silence noticed after 6 s")
def _notice_late(evidence: Evidence) -> Evidence:
    return evidence._replace(revocations=[("w1", "r.1", 66.6)])


@_fault("a repeatable request left unknown")
def _leave_unknown(evidence: Evidence) -> Evidence:
    return _change_call(evidence, "r", outcome="unknown", status=502, verified=None)


@_fault("1 execution dropped from the records")
def _drop_execution(evidence: Evidence) -> Evidence:
    return evidence._replace(dropped=1)
