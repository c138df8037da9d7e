"""Subcommand ``status``: overview of a data centre."""

from __future__ import annotations

from typing import Any

from carawayctl.errors import ExitStatus
from carawayctl.output import format_table
from carawayctl.registry import Context, subcommand


def _format_entry_host(status: dict[str, Any]) -> str:
    ready = f"not ready: {status['unready']}" if status["unready"] else "ready"
    age = status["log_contact_age_seconds"]
    contact = "never" if age is None else f"{age:.1f} s ago"
    log = "reaches the log" if status["log_reachable"] else "is cut off from the log"
    return (
        f"entry host {status['member']} in {status['data_centre']}: {ready}, {log} "
        f"(last contact: {contact})"
    )


def _format_services(services: dict[str, Any]) -> str:
    rows = [
        [
            name,
            item["pool"],
            item["hosts"],
            f"{item['unavailable']} of {item['max_unavailable']}",
            "OVER BUDGET" if item["unavailable"] > item["max_unavailable"] else "",
        ]
        for name, item in services.items()
    ]
    return format_table(["services", "pool", "hosts", "budget used", ""], rows)


def _format_pools(pools: dict[str, Any]) -> str:
    rows = [
        [
            name,
            len(item["hosts"]),
            len(item["usable"]),
            ", ".join(f"{host} to {d['to']}" for host, d in item["draining"].items()) or "-",
            ", ".join(item["ejected"]) or "-",
        ]
        for name, item in pools.items()
    ]
    return format_table(["pools", "hosts", "usable", "draining", "ejected"], rows)


def _format_versions(status: dict[str, Any]) -> str:
    newest = max(status["versions"].values(), default=0)
    silence_s = status.get("silent_seconds", {})
    rows = [
        [
            name,
            version,
            "" if version == newest else f"behind {newest}",
            f"{silence_s[name]:.1f} s ago" if name in silence_s else "itself",
        ]
        for name, version in status["versions"].items()
    ]
    return format_table(["versions by entry host", "version", "", "heard"], rows)


def format_maintenance(maintenance: dict[str, Any]) -> str:
    """Returns the state of maintenance as lines of text."""
    pause = maintenance.get("pause")
    state = f"paused by {pause['author']}: {pause['reason']}" if pause else "not paused"
    lines = [f"maintenance: {state}; {maintenance.get('maintained', 0)} host(s) maintained"]
    for name, wave in maintenance.get("waves", {}).get("shown", {}).items():
        hosts, done = ", ".join(wave["hosts"]), len(wave["done"])
        lines.append(f"  wave {name} in {wave['data_centre']}: {done} done of {hosts}")
    return "\n".join(lines)


@subcommand("status", "show services, pools, members, versions, jobs and maintenance")
async def _show_status(context: Context) -> int:
    status = context.client.status
    jobs = [[state, count] for state, count in sorted(status["jobs"].items())]
    sections = [
        _format_entry_host(status),
        _format_services(status.get("services", {})),
        _format_pools(status["pools"]),
        "members: " + (", ".join(status["members"]) or "(none)"),
        _format_versions(status),
        format_table(["jobs", "count"], jobs),
        format_maintenance(status["maintenance"]),
    ]
    context.output.show(status, "\n\n".join(sections))
    return ExitStatus.DONE
