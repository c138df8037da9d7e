"""Subcommands ``maintenance``: plan, pause, resume and explain."""

from __future__ import annotations

import json
from typing import Any

from carawayctl.commands.status import format_maintenance
from carawayctl.errors import ExitStatus
from carawayctl.output import format_table
from carawayctl.registry import AUTHOR, Context, option, subcommand
from carawayshore.configuration import complete_configuration

PATH = "/v1/operator/maintenance"
CLAIM = "maintenance"


@subcommand("maintenance plan", "show the rolling batches that are planned and in progress")
async def _plan(context: Context) -> int:
    plan = await context.client.get(f"{PATH}/plan")
    context.output.show(plan, json.dumps(plan, indent=2))
    return ExitStatus.DONE


@subcommand(
    "maintenance pause",
    "start no further rolling batch; hosts already draining finish theirs",
    option("--reason", required=True, help="reason that other operators see"),
    AUTHOR,
)
async def _pause(context: Context) -> int:
    body = {"author": context.arguments.author, "reason": context.arguments.reason}
    accepted = "a pause while maintenance is not paused"
    await context.client.change("POST", f"{PATH}/pause", body, given=body, accepted=accepted)
    context.output.show({"paused": True} | body, f"maintenance is paused by {body['author']}")
    return ExitStatus.DONE


@subcommand("maintenance resume", "let rolling batches start again", AUTHOR)
async def _resume(context: Context) -> int:
    body = {"author": context.arguments.author}
    accepted = "a resumption while maintenance is paused"
    await context.client.change("POST", f"{PATH}/resume", body, given=body, accepted=accepted)
    context.output.show({"paused": False} | body, f"maintenance is resumed by {body['author']}")
    return ExitStatus.DONE


def list_obstacles(
    status: dict[str, Any], configuration: dict[str, Any], claim: dict[str, Any] | None
) -> list[dict[str, str]]:
    """Returns the reasons why no rolling batch can start now, each with a next step.

    Parameters
    ----------
    status : dict
        Response of the status endpoint.
    configuration : dict
        Configuration in force with the defaults filled in.
    claim : dict or None
        Claim ``maintenance`` of the folded state; None if it was never acquired.
    """
    obstacles = []
    if not status["log_reachable"]:
        obstacles.append(("the entry host is cut off from the log", "look at the log service"))
    if not configuration["maintenance"]["enabled"]:
        obstacles.append(
            ("/maintenance/enabled is false in the configuration", "publish it with true")
        )
    pause = status["maintenance"]["pause"]
    if pause:
        obstacles.append(
            (f"{pause['author']} paused it: {pause['reason']}", "`maintenance resume` ends that")
        )
    if claim is None or claim["released"]:
        obstacles.append(
            ("no entry host holds the claim maintenance", "wait some seconds; then see `dump`")
        )
    for name, item in status.get("services", {}).items():
        if item["unavailable"] >= item["max_unavailable"]:
            used = f"{item['unavailable']} of {item['max_unavailable']} host(s)"
            obstacles.append(
                (f"the availability budget of {name} is used: {used}", "see `hosts list`")
            )
    return [{"reason": reason, "next_step": step} for reason, step in obstacles]


def _format_late(late: dict[str, Any]) -> str:
    """Returns a table of hosts that are or will be overdue for maintenance, with the reasons."""
    rows = [[h["host"], h["data_centre"], h["rack"], h["due"], h["reason"]] for h in late["hosts"]]
    table = format_table(["late hosts", "data centre", "rack", "due", "reason"], rows)
    return f"{table}\n{late['count']} host(s) late"


@subcommand("maintenance explain", "tell why no rolling batch starts, or that nothing prevents it")
async def _explain(context: Context) -> int:
    client = context.client
    status, dump = client.status, await client.get("/v1/operator/dump")
    document = (await client.get("/v1/operator/configuration"))["document"]
    claim = dump["streams"]["global"]["claims"]["shown"].get(CLAIM)
    obstacles = list_obstacles(status, complete_configuration(document), claim)
    lines = [f"  {item['reason']}; next: {item['next_step']}" for item in obstacles]
    late = await client.get(f"{PATH}/explain")
    text = "\n".join(["no rolling batch starts, because:", *lines])
    if not obstacles:
        text = f"nothing prevents rolling batches; {claim['member']} plans them"
    context.output.show(
        {"obstacles": obstacles, "maintenance": status["maintenance"], "claim": claim}
        | {"late": late},
        f"{format_maintenance(status['maintenance'])}\n{text}\n{_format_late(late)}",
    )
    return ExitStatus.DONE
