"""Subcommands ``hosts``: list, move, drain and return."""

from __future__ import annotations

import argparse
import asyncio
import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import quote

from carawayctl.errors import ExitStatus, Refused, Unknown
from carawayctl.output import format_table
from carawayctl.registry import Context, option, subcommand
from carawayshore.clock import SystemClock

PATH = "/v1/operator/hosts"
POOLS_SERVICE_LOST = "waits: the pools service does not answer"
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


def _read_wait_limit(text: str) -> timedelta:
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
        type=_read_wait_limit,
        default=timedelta(minutes=10),
        metavar="SECONDS",
        help="longest wait in seconds; default: 600",
    ),
)

# Returns what the host does now, and whether the change is complete.
Progress = Callable[[dict[str, Any]], tuple[str, bool]]


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
    listed = await context.client.get(PATH)
    pool = context.arguments.pool
    pools = sorted({host["pool"] for host in listed["hosts"]})
    if pool is not None and pool not in pools:
        raise Refused(
            f"pool {pool!r} has no hosts in {listed['data_centre']}",
            given=pool,
            accepted=pools,
            next_step="name one of the accepted pools, or an entry host of another data centre",
        )
    hosts = [host for host in listed["hosts"] if pool in (None, host["pool"])]
    rows = [[h["host"], h["pool"], h["rack"], h["address"], _describe_state(h)] for h in hosts]
    table = format_table(["hosts", "pool", "rack", "address", "state"], rows)
    context.output.show({"data_centre": listed["data_centre"], "hosts": hosts}, table)
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
    """Raises the refusal of a change that would exceed a service's budget."""
    over = [item for item in host["budgets"] if not item["within"]]
    if not over or context.arguments.over_budget or host["draining_to"]:
        return
    used = ", ".join(
        f"{item['service']}: {item['unavailable_then']} of {item['max_unavailable']}"
        for item in over
    )
    raise Refused(
        f"refused, nothing changed: without {host['host']} a service would be over its "
        f"availability budget ({used})",
        given={item["service"]: item["unavailable_then"] for item in over},
        accepted={item["service"]: f"at most {item['max_unavailable']} host(s)" for item in over},
        next_step="wait until other hosts serve again (`hosts list`), raise max_unavailable, or "
        "repeat it with --over-budget",
        details={"budgets": host["budgets"]},
    )


def _follow_move(pool: str) -> Progress:
    def judge(host: dict[str, Any]) -> tuple[str, bool]:
        if host["draining_to"] not in ("", pool):
            return "replaced", False
        if host["pools_service"] is None:
            return POOLS_SERVICE_LOST, False
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

    return judge


def _follow_drain(host: dict[str, Any]) -> tuple[str, bool]:
    if host["reason"] != "hold":
        return "replaced", False
    if host["pools_service"] is None:
        return POOLS_SERVICE_LOST, False
    state = host["pools_service"]["state"]
    if state == "drained":
        return "is drained and held", True
    return ("drains: work in progress finishes" if state == "draining" else "waits to drain"), False


async def _poll(context: Context, name: str, judge: Progress) -> int:
    clock, shown = SystemClock(), ""
    limit = clock.elapsed() + context.arguments.wait_limit
    while True:
        host = await context.client.get(_build_path(name))
        step, complete = judge(host)
        if step == "replaced":
            raise Unknown(
                f"another change replaced this one: {name} is {_describe_state(host)} in pool "
                f"{host['pool']}",
                next_step="look at `hosts list` and decide again",
            )
        if step != shown:
            context.output.note(f"{name} {step}")
            shown = step
        if complete:
            context.output.show({"host": name, "complete": True}, f"{name} {step}")
            return ExitStatus.DONE
        if clock.elapsed() > limit:
            raise Unknown(
                f"{name} {step} still after {context.arguments.wait_limit}; the change goes on",
                next_step="follow it with `hosts list` and `status`",
            )
        await clock.sleep(POLL_INTERVAL)


async def _wait(context: Context, name: str, judge: Progress) -> int:
    """Shows the progress of a change that was accepted, until it is complete.

    Raises
    ------
    Unknown
        If the wait ended before the change was complete, by its limit or by an interrupt.
    """
    try:
        return await _poll(context, name, judge)
    except asyncio.CancelledError:
        raise Unknown(
            f"interrupted; the change of {name} was accepted and goes on without this command",
            next_step="follow it with `hosts list` and `status`",
        ) from None


async def _remove(context: Context, verb: str, body: Any, judge: Progress) -> int:
    """Moves or drains a host after a look at the budgets of the services on it."""
    arguments, output = context.arguments, context.output
    host = await context.client.get(_build_path(arguments.host), given=arguments.host)
    result = {"host": arguments.host, "change": verb, "budgets": host["budgets"]}
    if arguments.dry_run:
        text = f"{_format_budgets(host)}\nnothing was changed (--dry-run)"
        output.show(result | {"accepted": False, "dry_run": True}, text)
        return ExitStatus.DONE
    _check_budgets(context, host)
    regardless = "?over_budget=true" if arguments.over_budget else ""
    await context.client.change(
        "POST",
        _build_path(arguments.host, verb) + regardless,
        body,
        given={"host": arguments.host} | (body or {}),
        accepted="a host that is serving, and a pool of the configuration",
    )
    if arguments.wait:
        return await _wait(context, arguments.host, judge)
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
    return await _remove(context, "move", {"pool": pool}, _follow_move(pool))


@subcommand(
    "hosts drain",
    "drain a host and hold it drained until `hosts return`",
    HOST,
    DRY_RUN,
    OVER_BUDGET,
    *WAIT,
)
async def _drain(context: Context) -> int:
    return await _remove(context, "drain", None, _follow_drain)


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
        return await _wait(context, arguments.host, _follow_move(host["draining_to"]))
    text = f"accepted: return of {arguments.host}; follow it with `hosts list`"
    output.show(result | {"accepted": True, "dry_run": False}, text)
    return ExitStatus.DONE
