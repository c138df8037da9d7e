"""Subcommands ``jobs``: submit, list, show and cancel."""

from __future__ import annotations

import argparse
import json
import math
import secrets
from datetime import timedelta
from pathlib import Path
from typing import Any
from urllib.parse import quote

from carawayctl.documents import read_json
from carawayctl.errors import BadDocument, ExitStatus, Refused, Unknown
from carawayctl.output import format_table
from carawayctl.registry import Context, option, subcommand
from carawayshore.clock import SystemClock
from carawayshore.configuration import complete_configuration
from carawayshore.findings import Finding

LIST_PATH = "/v1/operator/jobs"
PATH = "/v1/jobs"
KNOWN_JOB = "a job of this data centre that has not ended; see `jobs list`"

JOB = option("job", metavar="JOB", help="identifier of the job; see `jobs list`")


def _read_amount(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= 1e9:
        raise argparse.ArgumentTypeError(f"{text!r} found, accepted: a number from 0 to 1e9")
    return value


def _find_caller_address(context: Context) -> str:
    """Returns where the entry host in use serves callers; its jobs have no operators' endpoint.

    Raises
    ------
    Refused
        If the entry host does not tell.
    """
    address = context.client.status.get("caller_address")
    if not address:
        member = context.client.status["member"]
        raise Refused(
            f"entry host {member} does not tell its caller address",
            next_step="name an --entry-host that runs a later version",
        )
    return address


async def _find_queue(context: Context, name: str) -> dict[str, Any]:
    """Returns the options of a queue of the configuration in force.

    Raises
    ------
    Refused
        If the queue does not exist.
    """
    current = await context.client.get("/v1/operator/configuration")
    queues = complete_configuration(current["document"])["queues"]
    if name not in queues:
        raise Refused(
            f"refused, nothing changed: queue {name!r} does not exist",
            given=name,
            accepted=sorted(queues),
            next_step="name one of the accepted queues, or publish a configuration with this one",
        )
    return queues[name]


def _read_payload(path: Path | None) -> dict[str, Any]:
    if path is None:
        return {}
    payload = read_json(path)
    if not isinstance(payload, dict):
        finding = Finding("", payload, "a JSON object")
        raise BadDocument(str(path), [finding], next_step="put the payload into an object")
    return payload


def _build_submission(arguments: argparse.Namespace, queue: dict[str, Any]) -> dict[str, Any]:
    seconds = arguments.deadline_seconds
    if seconds is None:
        seconds = queue["deadline_seconds"]
    deadline = SystemClock().now() + timedelta(seconds=seconds)
    return {
        "job": arguments.job or f"{arguments.queue}-{secrets.token_hex(8)}",
        "queue": arguments.queue,
        "team": arguments.team,
        "service": queue["service"],
        "payload": _read_payload(arguments.payload),
        "resources": {
            "processors": arguments.processors,
            "memory_gib": arguments.memory_gib,
            "accelerators": arguments.accelerators,
        },
        "urgent": queue["urgent"],
        "repeatable": arguments.repeatable,
        "deadline": deadline.isoformat(),
        "declared_seconds": arguments.declared_seconds,
    }


@subcommand(
    "jobs submit",
    "submit a job; it is accepted once it is in the log",
    option("--queue", required=True, help="queue of the configuration"),
    option("--team", required=True, help="team that the job counts for"),
    option(
        "--job",
        help="identifier, so that a submission whose answer was lost can be looked up; "
        "default: a random one",
    ),
    option("--payload", type=Path, metavar="FILE", help="JSON file with an object"),
    option("--processors", type=_read_amount, default=1.0, help="default: 1"),
    option("--memory-gib", type=_read_amount, default=1.0, help="memory in GiB; default: 1"),
    option("--accelerators", type=int, default=0, help="default: 0"),
    option(
        "--declared-seconds", type=_read_amount, default=60.0, help="run time in s; default: 60"
    ),
    option(
        "--deadline-seconds", type=_read_amount, help="deadline in s; default: that of the queue"
    ),
    option("--repeatable", action="store_true", help="the job may be started more than once"),
)
async def _submit(context: Context) -> int:
    queue = await _find_queue(context, context.arguments.queue)
    body = _build_submission(context.arguments, queue)
    address = _find_caller_address(context)
    try:
        answer = await context.client.change("POST", PATH, body, address=address, given=body)
    except Unknown as error:
        error.next_step = f"look it up with `jobs show {body['job']}` before you submit it again"
        error.details["job"] = body["job"]
        raise
    context.output.show({"job": body["job"], "answer": answer}, f"job {body['job']} is accepted")
    return ExitStatus.DONE


def _list_rows(jobs: list[dict[str, Any]]) -> list[list[Any]]:
    names = ("job", "queue", "team", "state")
    rows = []
    for job in jobs:
        placement = job.get("placement") or {}
        host = placement.get("host") if isinstance(placement, dict) else ""
        rows.append([*(job.get(name, "") for name in names), host or "-", job.get("detail") or "-"])
    return rows


@subcommand(
    "jobs list",
    "list the jobs of the data centre",
    option("--state", help="list the jobs in one state only, for example queued"),
)
async def _list(context: Context) -> int:
    answer = await context.client.get(LIST_PATH)
    listed = answer["jobs"]
    if isinstance(listed, dict):
        listed = [{"job": name} | item for name, item in listed.items()]
    wanted = context.arguments.state
    jobs = [job for job in listed if wanted in (None, job.get("state"))]
    header = ["jobs", "queue", "team", "state", "host", "detail"]
    context.output.show(answer | {"jobs": jobs}, format_table(header, _list_rows(jobs)))
    return ExitStatus.DONE


@subcommand("jobs show", "show one job", JOB)
async def _show(context: Context) -> int:
    path = f"{PATH}/{quote(context.arguments.job, safe='')}"
    address, name = _find_caller_address(context), context.arguments.job
    job = await context.client.get(path, address=address, given=name, accepted=KNOWN_JOB)
    context.output.show(job, json.dumps(job, indent=2))
    return ExitStatus.DONE


@subcommand("jobs cancel", "cancel a job; one that has started may still end by itself", JOB)
async def _cancel(context: Context) -> int:
    name = context.arguments.job
    path = f"{PATH}/{quote(name, safe='')}"
    address = _find_caller_address(context)
    answer = await context.client.change(
        "DELETE", path, address=address, given=name, accepted=KNOWN_JOB
    )
    context.output.show({"job": name, "answer": answer}, f"cancellation of job {name} is accepted")
    return ExitStatus.DONE
