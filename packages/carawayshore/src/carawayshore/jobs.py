"""Handlers of job records: states of a job in the folded state."""

from __future__ import annotations

from carawayshore import records
from carawayshore.assignment import is_current_fence
from carawayshore.fold import (
    ACCEPTED,
    TERMINAL_JOB_STATES,
    Job,
    Placement,
    StreamState,
    register_handler,
    reject,
)

JOBS_CLAIM = "jobs"
NOT_PLACED = Placement(0, "", -1)
RESULTS = ("succeeded", "failed", "not-started", "stopped", "unknown")
# Failed attempts after which a repeatable job has failed. Fewer failures may be caused by faulty
# hosts, so the job is placed again.
MAX_FAILURES = 3


@register_handler(records.JobSubmitted)
def _submit(state: StreamState, offset: int, item: records.Record):
    body: records.JobSubmitted = item.body
    if body.job in state.jobs:
        return reject(f"job {body.job!r} exists already")
    given = {name: value for name, value in body._asdict().items() if name != "job"}
    state.jobs[body.job] = Job(
        **given, submitted=offset, state="queued", placement=NOT_PLACED, changed=offset
    )
    return ACCEPTED


@register_handler(records.JobPlaced)
def _place(state: StreamState, offset: int, item: records.Record):
    body: records.JobPlaced = item.body
    job = state.jobs.get(body.job)
    if job is None or job.state != "queued":
        return reject(f"job {body.job!r} is not queued")
    if not is_current_fence(state, JOBS_CLAIM, body.fence):
        return reject(f"claim {JOBS_CLAIM!r} is not held under fence {body.fence}")
    if body.attempt != job.placement.attempt + 1:
        return reject(f"attempt {job.placement.attempt + 1} is next, not {body.attempt}")
    host = state.hosts.get(body.host)
    if host is None or host.draining_to:
        return reject(f"host {body.host!r} is unknown or draining")
    placement = Placement(body.attempt, body.host, body.fence, offset)
    state.jobs[body.job] = job._replace(state="placed", placement=placement, changed=offset)
    return ACCEPTED


def _find_next_state(job: Job, result: str) -> str:
    """Returns the state after an attempt of ``job`` ended with ``result``."""
    if result == "failed" and job.repeatable and job.state == "placed":
        return "queued" if job.failures + 1 < MAX_FAILURES else "failed"
    if result in ("succeeded", "failed"):
        return result
    if job.state == "cancelling":
        ended = result in ("not-started", "stopped")
        return "cancelled" if ended or job.repeatable else "unknown"
    if result == "not-started" or job.repeatable:
        return "queued"
    return "unknown"


@register_handler(records.JobFinished)
def _finish(state: StreamState, offset: int, item: records.Record):
    body: records.JobFinished = item.body
    job = state.jobs.get(body.job)
    if job is None or job.state not in ("placed", "cancelling"):
        return reject(f"job {body.job!r} is not placed")
    if body.attempt != job.placement.attempt:
        return reject(f"attempt {job.placement.attempt} is current, not {body.attempt}")
    if body.result not in RESULTS:
        return reject(f"result {body.result!r}, accepted: {', '.join(RESULTS)}")
    state.jobs[body.job] = job._replace(
        state=_find_next_state(job, body.result),
        detail=body.detail,
        changed=offset,
        failures=job.failures + (body.result == "failed"),
        checkpoint=body.checkpoint or job.checkpoint,
    )
    return ACCEPTED


@register_handler(records.JobCancelled)
def _cancel(state: StreamState, offset: int, item: records.Record):
    job = state.jobs.get(item.body.job)
    if job is None:
        return reject(f"job {item.body.job!r} does not exist")
    if job.state in TERMINAL_JOB_STATES or job.state == "cancelling":
        return reject(f"job {item.body.job!r} is {job.state}")
    state.jobs[item.body.job] = job._replace(
        state="cancelled" if job.state == "queued" else "cancelling", changed=offset
    )
    return ACCEPTED


@register_handler(records.JobUnplaceable)
def _report_unplaceable(state: StreamState, offset: int, item: records.Record):
    job = state.jobs.get(item.body.job)
    if job is None or job.state != "queued":
        return reject(f"job {item.body.job!r} is not queued")
    state.jobs[item.body.job] = job._replace(
        state="unplaceable", detail=item.body.reason, changed=offset
    )
    return ACCEPTED
