"""Subcommands ``hosts``: list, move, drain and return."""

from __future__ import annotations

import argparse
import asyncio
import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import quote

from carawayctl.errors import ExitStatus, OutcomeUnknown, Refused
from carawayctl.output import format_table
from carawayctl.registry import Context, option, subcommand
from carawayshore.clock import SystemClock

PATH = "/v1/operator/hosts"
POOLS_SERVICE_UNREACHABLE = "waits: the pools service does not answer"
POLL_INTERVAL = timedelta(milliseconds=500)

HOST = option("host", metavar="HOST", help="name of the host; see `hosts list`")
DRY_RUN = option(
    "--dry-run",
    action="store_true",
    help="show the availability budget that the change would use, and change nothing",
)
OVER_BUDGET = option(
    "--over-budget",
    action="store_true",
    help="change it even if a service then is over its availability budget",
)


def _parse_wait_limit(text: str) -> timedelta:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= 86_400:
        accepted = "a number of seconds above 0, at most 86400"
        raise argparse.ArgumentTypeError(f"{text!r} found, accepted: {accepted}")
    return timedelta(seconds=seconds)


WAIT = (
    option(
        "--wait",
        action="store_true",
        help="show progress until the change is complete; safe to interrupt, since the entry "
        "hosts carry the change out without this command",
    ),
    option(
        "--wait-limit",
        type=_parse_wait_limit,
        default=timedelta(minutes=10),
        metavar="SECONDS",
        help="longest wait in seconds; default: 600",
    ),
)

# Returns the current step of the change of a host, and whether the change is complete.
ProgressCheck = Callable[[dict[str, Any]], tuple[str, bool]]


def _build_path(host: str, verb: str = "") -> str:
    return f"{PATH}/{quote(host, safe='')}" + (f"/{verb}" if verb else "")


def _describe_state(host: dict[str, Any]) -> str:
    if host["draining_to"]:
        held = " (held until `hosts return`)" if host["reason"] == "hold" else ""
        return f"draining to {host['draining_to']}, {host['reason']}{held}"
    states = [name for name in ("failed", "leaving") if host[name]]
    return ", ".join(states) or "serving"


@subcommand(
    "hosts list",
    "list the hosts of the data centre",
    option("--pool", help="list the hosts of one pool only"),
)
async def _list(context: Context) -> int:
    response = await context.client.get(PATH)
    pool = context.arguments.pool
    pools = sorted({host["pool"] for host in response["hosts"]})
    if pool is not None and pool not in pools:
        raise Refused(
            f"pool {pool!r} has no hosts in {response['data_centre']}",
            given=pool,
            accepted=pools,
            next_step="name one of the accepted pools, or an entry host of another data centre",
        )
    hosts = [host for host in response["hosts"] if pool in (None, host["pool"])]
    rows = [[h["host"], h["pool"], h["rack"], h["address"], _describe_state(h)] for h in hosts]
    table = format_table(["hosts", "pool", "rack", "address", "state"], rows)
    context.output.show({"data_centre": response["data_centre"], "hosts": hosts}, table)
    return ExitStatus.DONE


def _format_budgets(host: dict[str, Any]) -> str:
    if host["draining_to"]:
        return f"host {host['host']} is {_describe_state(host)} already"
    if not host["budgets"]:
        return f"no service uses pool {host['pool']}"
    rows = [
        [
            item["service"],
            item["max_unavailable"],
            item["unavailable_now"],
            item["unavailable_then"],
            "yes" if item["within"] else "NO",
        ]
        for item in host["budgets"]
    ]
    header = ["services", "budget (hosts)", "used now", "used then", "within"]
    return format_table(header, rows)


def _check_budgets(context: Context, host: dict[str, Any]) -> None:
    """Checks that a change keeps every service within its availability budget.

    Raises
    ------
    Refused
        If a service would exceed its budget, unless ``--over-budget`` is given.
    """
    exceeded = [item for item in host["budgets"] if not item["within"]]
    if not exceeded or context.arguments.over_budget or host["draining_to"]:
        return
    used = ", ".join(
        f"{item['service']}: {item['unavailable_then']} of {item['max_unavailable']}"
        for item in exceeded
    )
    raise Refused(
        f"refused, nothing changed: without {host['host']} a service would be over its "
        f"availability budget ({used})",
        given={item["service"]: item["unavailable_then"] for item in exceeded},
        accepted={
            item["service"]: f"at most {item['max_unavailable']} host(s)" for item in exceeded
        },
        next_step="wait until other hosts serve again (`hosts list`), raise max_unavailable, or "
        "repeat it with --over-budget",
        details={"budgets": host["budgets"]},
    )


def _build_join_check(pool: str) -> ProgressCheck:
    def check_progress(host: dict[str, Any]) -> tuple[str, bool]:
        if host["draining_to"] not in ("", pool):
            return "replaced", False
        if host["pools_service"] is None:
            return POOLS_SERVICE_UNREACHABLE, False
        state = host["pools_service"]["state"]
        if host["draining_to"]:
            steps = {
                "serving": "waits until every entry host has applied the drain",
                "draining": "drains: work in progress finishes",
                "drained": "is drained, joins its pool",
                "rebooting": "reboots",
            }
            return steps[state], False
        if host["pool"] != pool:
            return "replaced", False
        return ("serves", True) if state == "serving" else ("returns to service", False)

    return check_progress


def _check_drain_progress(host: dict[str, Any]) -> tuple[str, bool]:
    if host["reason"] != "hold":
        return "replaced", False
    if host["pools_service"] is None:
        return POOLS_SERVICE_UNREACHABLE, False
    state = host["pools_service"]["state"]
    if state == "drained":
        return "is drained and held", True
    return ("drains: work in progress finishes" if state == "draining" else "waits to drain"), False


async def _poll(context: Context, name: str, check_progress: ProgressCheck) -> int:
    clock, shown_step = SystemClock(), ""
    limit = clock.elapsed() + context.arguments.wait_limit
    while True:
        host = await context.client.get(_build_path(name))
        step, complete = check_progress(host)
        if step == "replaced":
            raise OutcomeUnknown(
                f"another change replaced this one: {name} is {_describe_state(host)} in pool "
                f"{host['pool']}",
                next_step="check `hosts list`, then decide again",
            )
        if step != shown_step:
            context.output.note(f"{name} {step}")
            shown_step = step
        if complete:
            context.output.show({"host": name, "complete": True}, f"{name} {step}")
            return ExitStatus.DONE
        if clock.elapsed() > limit:
            raise OutcomeUnknown(
                f"{name} {step} still after {context.arguments.wait_limit}; the change continues",
                next_step="follow it with `hosts list` and `status`",
            )
        await clock.sleep(POLL_INTERVAL)


async def _wait(context: Context, name: str, check_progress: ProgressCheck) -> int:
    """Prints the progress of an accepted change until it is complete.

    Raises
    ------
    OutcomeUnknown
        If the wait limit passed, the command was interrupted, or another change replaced this one.
    """
    try:
        return await _poll(context, name, check_progress)
    except asyncio.CancelledError:
        raise OutcomeUnknown(
            f"interrupted; the change of {name} was accepted and continues without this command",
            next_step="follow it with `hosts list` and `status`",
        ) from None


async def _take_out_of_service(
    context: Context, verb: str, body: Any, check_progress: ProgressCheck
) -> int:
    """Moves or drains a host after checking the availability budgets of its services."""
    arguments, output = context.arguments, context.output
    host = await context.client.get(_build_path(arguments.host), given=arguments.host)
    result = {"host": arguments.host, "change": verb, "budgets": host["budgets"]}
    if arguments.dry_run:
        text = f"{_format_budgets(host)}\nnothing was changed (--dry-run)"
        output.show(result | {"accepted": False, "dry_run": True}, text)
        return ExitStatus.DONE
    _check_budgets(context, host)
    query = "?over_budget=true" if arguments.over_budget else ""
    await context.client.change(
        "POST",
        _build_path(arguments.host, verb) + query,
        body,
        given={"host": arguments.host} | (body or {}),
        accepted="a host that is serving, and a pool of the configuration",
    )
    if arguments.wait:
        return await _wait(context, arguments.host, check_progress)
    text = f"accepted: {verb} of {arguments.host}; follow it with `hosts list`"
    output.show(result | {"accepted": True, "dry_run": False}, text)
    return ExitStatus.DONE


@subcommand(
    "hosts move",
    "move a host to another pool once its work in progress is finished",
    HOST,
    option("--pool", required=True, help="pool that the host joins"),
    DRY_RUN,
    OVER_BUDGET,
    *WAIT,
)
async def _move(context: Context) -> int:
    pool = context.arguments.pool
    return await _take_out_of_service(context, "move", {"pool": pool}, _build_join_check(pool))


@subcommand(
    "hosts drain",
    "drain a host and hold it drained until `hosts return`",
    HOST,
    DRY_RUN,
    OVER_BUDGET,
    *WAIT,
)
async def _drain(context: Context) -> int:
    return await _take_out_of_service(context, "drain", None, _check_drain_progress)


@subcommand("hosts return", "let a host that was drained serve again", HOST, DRY_RUN, *WAIT)
async def _return(context: Context) -> int:
    arguments, output = context.arguments, context.output
    host = await context.client.get(_build_path(arguments.host), given=arguments.host)
    result = {"host": arguments.host, "change": "return"}
    if arguments.dry_run:
        text = f"{arguments.host} is {_describe_state(host)}; its return uses no budget"
        output.show(result | {"accepted": False, "dry_run": True}, f"{text}\nnothing was changed")
        return ExitStatus.DONE
    await context.client.change(
        "POST",
        _build_path(arguments.host, "return"),
        given=arguments.host,
        accepted="a host that `hosts drain` holds",
    )
    if arguments.wait:
        return await _wait(context, arguments.host, _build_join_check(host["draining_to"]))
    text = f"accepted: return of {arguments.host}; follow it with `hosts list`"
    output.show(result | {"accepted": True, "dry_run": False}, text)
    return ExitStatus.DONE
