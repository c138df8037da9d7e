"""Job calls: submission, state and cancellation."""

from __future__ import annotations

import hashlib
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web
from returns.result import Success

from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayd.process.endpoints import endpoint, read_wait
from carawayd.request.answers import REASON_HEADER, Reason, Refusal
from carawayd.request.jobhome import forward_job
from carawayshore import records
from carawayshore.findings import Finding
from carawayshore.fold import TERMINAL_JOB_STATES
from carawayshore.keys import choose_home_data_centre
from carawayshore.options import Field, check_fields, fill_defaults
from carawayshore.outcome import OUTCOME_HEADER, Outcome

if TYPE_CHECKING:
    from carawayd.process.daemon import Components
    from carawayd.process.endpoints import CallerEndpoints
    from carawayshore.configuration import Configuration
    from carawayshore.fold import Job, Rejection

# Maximum lag between two entry hosts in reading the log while the log is reachable.
MAX_READ_LAG = timedelta(seconds=0.5)
# Small enough that several records fit into one batch of the log.
MAX_BODY_BYTES = 64 * 1024
RESOURCE_FIELDS = (
    Field("processors", "number", "Processors.", "", 1.0, maximum=100_000),
    Field("memory_gib", "number", "Memory.", "GiB", 1.0, maximum=1_000_000),
    Field("accelerators", "integer", "Accelerators.", "", 0, maximum=100_000),
)
JOB_FIELDS = (
    Field(
        "job",
        "homed_name",
        "Name of the job, after its data centre and ':' if it must run there; a repeated "
        "submission under it runs once.",
    ),
    Field("queue", "name", "Queue of the configuration.", required=True),
    Field("team", "name", "Team whose quota the job counts against.", required=True),
    Field("payload", "members", "Content of the job, passed to the worker.", default={}),
    Field("resources", "object", "Resources that the job needs.", fields=RESOURCE_FIELDS),
    Field("repeatable", "boolean", "Whether the job may be started again.", default=False),
    Field("run_seconds", "number", "Declared run time.", "s", 60.0, maximum=31_536_000),
    Field(
        "deadline_seconds",
        "number",
        "Time to the deadline; by default that of the queue.",
        "s",
        maximum=31_536_000,
    ),
)


def _build_response(document: Any, status: int = 200, outcome: Outcome = Outcome.COMPLETED):
    headers = {OUTCOME_HEADER: outcome.value}
    if status >= 400:
        headers[REASON_HEADER] = Reason.BAD_REQUEST.value
    return web.json_response(document, status=status, headers=headers)


def _build_findings_response(found: list[Finding]) -> web.Response:
    findings = [
        {"pointer": item.pointer, "found": repr(item.found)[:200], "accepted": item.accepted}
        for item in found
    ]
    document = {"outcome": Outcome.NOT_RUN, "reason": Reason.BAD_REQUEST, "findings": findings}
    return _build_response(document, 400, Outcome.NOT_RUN)


def validate_submission(document: Any, configuration: Configuration) -> list[Finding]:
    """Returns all validation errors of a submission."""
    found = check_fields(JOB_FIELDS, document)
    queue = document.get("queue") if isinstance(document, dict) else None
    if isinstance(queue, str) and queue not in configuration["queues"]:
        accepted = ", ".join(sorted(configuration["queues"])) or "(none is defined)"
        if all(item.pointer != "/queue" for item in found):
            found.append(Finding("/queue", queue, "one of " + accepted))
    name = document.get("job") if isinstance(document, dict) else None
    if isinstance(name, str) and name.count(":") == 1:
        data_centres = configuration["data_centres"]
        if name.partition(":")[0] not in data_centres:
            accepted = "a name after one of the data centres " + ", ".join(data_centres)
            found.append(Finding("/job", name, accepted))
    return found


def build_record(
    document: dict[str, Any], components: Components, configuration: Configuration
) -> records.JobSubmitted:
    """Returns the record of a valid submission.

    Its digest ``content`` covers the submitted fields and their defaults, not the values that
    depend on the time of the submission, so that a repeated submission has the same digest.
    """
    fields = fill_defaults(JOB_FIELDS, document)
    name = fields.pop("job") or f"{components.settings.data_centre}:j{secrets.token_hex(16)}"
    content = hashlib.sha256(msgspec.json.encode(fields, order="sorted")).hexdigest()
    queue = configuration["queues"][fields["queue"]]
    seconds = fields["deadline_seconds"]
    seconds = queue["deadline_seconds"] if seconds is None else seconds
    deadline = components.clock.now() + timedelta(seconds=seconds)
    return records.JobSubmitted(
        job=name,
        queue=fields["queue"],
        team=fields["team"],
        service=queue["service"],
        payload=fields["payload"],
        resources=records.Resources(**fields["resources"]),
        urgent=queue["urgent"],
        repeatable=fields["repeatable"],
        deadline=deadline.isoformat(timespec="microseconds"),
        declared_seconds=float(fields["run_seconds"]),
        content=content,
    )


def describe_job(name: str, job: Job) -> dict[str, Any]:
    """Returns the document of a job for callers and operators."""
    outcomes = {"succeeded": Outcome.COMPLETED, "failed": Outcome.COMPLETED}
    never_ran = job.state in TERMINAL_JOB_STATES and job.placement.attempt == 0
    outcome = Outcome.NOT_RUN if never_ran else outcomes.get(job.state, Outcome.UNKNOWN)
    return {
        "job": name,
        "state": job.state,
        "ended": job.state in TERMINAL_JOB_STATES,
        "outcome": outcome if job.state in TERMINAL_JOB_STATES else None,
        "queue": job.queue,
        "team": job.team,
        "urgent": job.urgent,
        "repeatable": job.repeatable,
        "deadline": job.deadline,
        "submitted": job.submitted,
        "attempt": job.placement.attempt,
        "host": job.placement.host,
        "detail": job.detail,
    }


async def _read_document(request: web.BaseRequest) -> tuple[bytes, Any]:
    """Returns the body and the document decoded from it.

    Raises
    ------
    Refusal
        If the body is too large or not JSON.
    """
    data = await request.content.read(MAX_BODY_BYTES + 1)
    while chunk := await request.content.read(MAX_BODY_BYTES + 1):
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            break
    if len(data) > MAX_BODY_BYTES:
        detail = f"the body exceeds {MAX_BODY_BYTES} bytes"
        raise Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=413, detail=detail)
    try:
        return data, msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        detail = f"the body is not JSON: {error}"
        raise Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=400, detail=detail) from error


def _check_ready(components: Components) -> None:
    """Refuses a change of jobs that cannot be appended to the log now.

    Raises
    ------
    Refusal
        If this process is not a member, or the log has not answered recently.
    """
    if not components.membership.is_member():
        raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY)
    if not components.membership.is_log_reachable():
        raise Refusal(Outcome.NOT_RUN, Reason.LOG_UNREACHABLE)


async def _append(components: Components, body: Any) -> Rejection | None:
    """Appends a record; returns the rejection by the fold, or None if the record took effect.

    Raises
    ------
    Refusal
        With the outcome ``not-run`` if the record was not sent, ``unknown`` if it was sent but not
        read back from the log.
    """
    try:
        result = await components.appender.append(body, Priority.JOB)
    except NotAppended as error:
        raise Refusal(Outcome.NOT_RUN, Reason.LOG_UNREACHABLE, detail=str(error)) from error
    except AppendOutcomeUnknown as error:
        detail = f"job {body.job!r}: {error}"
        raise Refusal(Outcome.UNKNOWN, Reason.LOST_ANSWER, status=504, detail=detail) from error
    return None if isinstance(result, Success) else result.failure()


def _find_home_data_centre(components: Components, name: str | None) -> str:
    """Returns the data centre that owns the name, or the own one for a job without a name.

    A name has one home data centre, so that a submission that is repeated in another data centre is
    recognised as a repetition.
    """
    if not name:
        return components.settings.data_centre
    return choose_home_data_centre(
        name, components.handler.find_version().configuration["data_centres"]
    )


async def _find_job(components: Components, name: str) -> Job:
    """Returns a job.

    Waits up to ``MAX_READ_LAG`` for it, since another entry host may just have accepted it.

    Raises
    ------
    Refusal
        If the job is still not known after that time.
    """
    deadline = components.clock.elapsed() + MAX_READ_LAG
    while (
        job := components.job_index.find(name)
    ) is None and components.clock.elapsed() < deadline:
        await components.clock.sleep(MAX_READ_LAG / 20)
    if job is None:
        detail = f"job {name!r} is not known in data centre {components.settings.data_centre!r}"
        raise Refusal(Outcome.NOT_RUN, Reason.NO_JOB, status=404, detail=detail)
    return job


def _build_submission_response(body: records.JobSubmitted, job: Job) -> web.Response:
    """Returns the same response to a first submission and to its repetitions.

    Raises
    ------
    Refusal
        If the job exists with other content.
    """
    if job.content != body.content:
        detail = f"job {body.job!r} exists with other content"
        raise Refusal(Outcome.NOT_RUN, Reason.JOB_EXISTS, status=409, detail=detail)
    return _build_response({"job": body.job, "submitted": job.submitted}, 201)


@endpoint("POST", "/v1/jobs")
async def _submit(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    components = endpoints.components
    version = components.handler.find_version()
    data, document = await _read_document(request)
    found = validate_submission(document, version.configuration)
    if found:
        return _build_findings_response(found)
    home = _find_home_data_centre(components, document.get("job"))
    if home != components.settings.data_centre:
        return await forward_job(components, request, home, data=data)
    body = build_record(document, components, version.configuration)
    existing = components.job_index.find(body.job)
    if existing is not None:
        return _build_submission_response(body, existing)
    _check_ready(components)
    rejection = await _append(components, body)
    job = components.job_index.find(body.job)
    if job is None:
        reason = rejection.reason if rejection else "the job was removed right after its submission"
        raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY, detail=reason)
    return _build_submission_response(body, job)


@endpoint("GET", "/v1/jobs/*")
async def _read_job(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    components, wait = endpoints.components, read_wait(request)
    home = _find_home_data_centre(components, segments[0])
    if home != components.settings.data_centre:
        return await forward_job(components, request, home, wait=wait.total_seconds())
    await _find_job(components, segments[0])
    await components.job_index.wait_for_end(segments[0], wait)
    return _build_response(describe_job(segments[0], await _find_job(components, segments[0])))


@endpoint("DELETE", "/v1/jobs/*")
async def _cancel(
    endpoints: CallerEndpoints, request: web.BaseRequest, segments: list[str]
) -> web.Response:
    """Cancels a job; a running job ends only when its worker has stopped it."""
    components, name = endpoints.components, segments[0]
    home = _find_home_data_centre(components, name)
    if home != components.settings.data_centre:
        return await forward_job(components, request, home)
    job = await _find_job(components, name)
    if job.state not in TERMINAL_JOB_STATES and job.state != "cancelling":
        _check_ready(components)
        await _append(components, records.JobCancelled(name))
        job = await _find_job(components, name)
    if job.state in ("cancelled", "cancelling"):
        return _build_response(describe_job(name, job), 200 if job.state == "cancelled" else 202)
    if job.state in TERMINAL_JOB_STATES:
        detail = f"job {name!r} is {job.state}"
        raise Refusal(Outcome.NOT_RUN, Reason.CANCELLED, status=409, detail=detail)
    raise Refusal(Outcome.NOT_RUN, Reason.NOT_READY, detail=f"job {name!r} is {job.state}")
