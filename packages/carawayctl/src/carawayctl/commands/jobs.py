"""Subcommands ``jobs``: submit, list, show and cancel."""

from __future__ import annotations

import argparse
import json
import math
import secrets
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from carawayctl.documents import read_json
from carawayctl.errors import BadDocument, ExitStatus, OutcomeUnknown, Refused
from carawayctl.output import format_table
from carawayctl.registry import Context, option, subcommand
from carawayshore.findings import Finding

LIST_PATH = "/v1/operator/jobs"
PATH = "/v1/jobs"
FILTERS = ("state", "team", "queue")
COLUMNS = ("job", "queue", "team", "state", "host", "detail")
ACCEPTED_SUBMISSION = "a name of --job that is not in use, or the content first submitted under it"
ACCEPTED_CANCELLATION = "a job of this data centre that has not ended; see `jobs list`"

JOB = option("job", metavar="JOB", help="identifier of the job; see `jobs list`")


def _parse_amount(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= 1e9:
        raise argparse.ArgumentTypeError(f"{text!r} found, accepted: a number from 0 to 1e9")
    return value


def _get_caller_address(context: Context) -> str:
    """Returns the caller address of the entry host in use.

    The operator address has no endpoints to submit, show or cancel jobs.

    Raises
    ------
    Refused
        If the entry host does not report its caller address.
    """
    address = context.client.status.get("caller_address")
    if not address:
        member = context.client.status["member"]
        raise Refused(
            f"entry host {member} does not report its caller address",
            next_step="name an --entry-host that runs a later version",
        )
    return address


def _read_payload(path: Path | None) -> dict[str, Any]:
    if path is None:
        return {}
    payload = read_json(path)
    if not isinstance(payload, dict):
        finding = Finding("", payload, "a JSON object")
        raise BadDocument(str(path), [finding], next_step="put the payload into an object")
    return payload


def _build_submission(arguments: argparse.Namespace, data_centre: str) -> dict[str, Any]:
    # The client chooses the name, so that a submission whose response was lost can be looked up.
    body = {
        "job": arguments.job or f"{data_centre}:j{secrets.token_hex(8)}",
        "queue": arguments.queue,
        "team": arguments.team,
        "payload": _read_payload(arguments.payload),
        "resources": {
            "processors": arguments.processors,
            "memory_gib": arguments.memory_gib,
            "accelerators": arguments.accelerators,
        },
        "repeatable": arguments.repeatable,
        "run_seconds": arguments.run_seconds,
    }
    if arguments.deadline_seconds is not None:
        body["deadline_seconds"] = arguments.deadline_seconds
    return body


@subcommand(
    "jobs submit",
    "submit a job; it is accepted once it is in the log",
    option("--queue", required=True, help="queue of the configuration"),
    option("--team", required=True, help="team that the job counts for"),
    option(
        "--job",
        help="name, after its data centre and ':' if it must run there; the same name is never "
        "submitted twice; default: a random one in the data centre of the entry host",
    ),
    option("--payload", type=Path, metavar="FILE", help="JSON file with an object"),
    option("--processors", type=_parse_amount, default=1.0, help="default: 1"),
    option("--memory-gib", type=_parse_amount, default=1.0, help="memory in GiB; default: 1"),
    option("--accelerators", type=int, default=0, help="default: 0"),
    option(
        "--run-seconds",
        type=_parse_amount,
        default=60.0,
        help="expected run time in s; default: 60",
    ),
    option(
        "--deadline-seconds", type=_parse_amount, help="deadline in s; default: that of the queue"
    ),
    option("--repeatable", action="store_true", help="the job may be started more than once"),
)
async def _submit(context: Context) -> int:
    body = _build_submission(context.arguments, context.client.status["data_centre"])
    address = _get_caller_address(context)
    try:
        response = await context.client.change(
            "POST", PATH, body, address=address, given=body, accepted=ACCEPTED_SUBMISSION
        )
    except OutcomeUnknown as error:
        error.next_step = f"check with `jobs show {body['job']}` before you submit it again"
        error.details["job"] = body["job"]
        raise
    context.output.show({"job": body["job"], "answer": response}, f"job {body['job']} is accepted")
    return ExitStatus.DONE


@subcommand(
    "jobs list",
    "list the jobs of the data centre, the newest first",
    *(option(f"--{name}", help=f"list the jobs of one {name} only") for name in FILTERS),
    option("--limit", type=int, default=200, help="longest list; default: 200"),
)
async def _list(context: Context) -> int:
    arguments = vars(context.arguments)
    query = {name: arguments[name] for name in FILTERS if arguments[name] is not None}
    query["limit"] = arguments["limit"]
    response = await context.client.get(f"{LIST_PATH}?{urlencode(query)}", given=query)
    rows = [[job[name] or "-" for name in COLUMNS] for job in response["jobs"]]
    text = format_table(["jobs", *COLUMNS[1:]], rows)
    if response["count"] > len(rows):
        text += f"\n{len(rows)} of {response['count']} shown; --limit shows more"
    context.output.show(response, text)
    return ExitStatus.DONE


@subcommand("jobs show", "show one job", JOB)
async def _show(context: Context) -> int:
    path = f"{PATH}/{quote(context.arguments.job, safe='')}"
    address, name = _get_caller_address(context), context.arguments.job
    accepted = "a job that its data centre knows; see `jobs list`"
    job = await context.client.get(path, address=address, given=name, accepted=accepted)
    context.output.show(job, json.dumps(job, indent=2))
    return ExitStatus.DONE


@subcommand("jobs cancel", "cancel a job; one that has started may still end by itself", JOB)
async def _cancel(context: Context) -> int:
    name = context.arguments.job
    path = f"{PATH}/{quote(name, safe='')}"
    address = _get_caller_address(context)
    response = await context.client.change(
        "DELETE", path, address=address, given=name, accepted=ACCEPTED_CANCELLATION
    )
    context.output.show(
        {"job": name, "answer": response}, f"cancellation of job {name} is accepted"
    )
    return ExitStatus.DONE
