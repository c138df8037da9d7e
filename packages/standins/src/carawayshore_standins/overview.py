"""Text overview of a running deployment, with example commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayshore_standins.launcher import Launcher

ROW = "{:12}  {:12}  {:16}  {:16}"
PLATFORM = ("log", "hostlist", "pools")


def _list_entry_hosts(launcher: Launcher) -> list[str]:
    lines = [ROW.format("entry host", "data centre", "callers", "operators")]
    for name in launcher.list_members():
        data_centre = launcher.processes[name].spec.settings["data_centre"]
        addresses = (launcher.get_address(name, role) for role in ("caller", "operator"))
        lines.append(ROW.format(name, data_centre, *addresses))
    return lines


def _list_standins(launcher: Launcher) -> list[str]:
    lines = [ROW.format("stand-in", "pool", "address", "process")]
    members = launcher.list_members()
    for name, process in launcher.processes.items():
        if name not in members:
            pool = process.spec.settings.get("pool", "")
            lines.append(ROW.format(name, pool, launcher.get_address(name), str(process.pid)))
    return lines


def _list_commands(launcher: Launcher) -> list[str]:
    """Returns example commands for the default deployment."""
    first = launcher.list_members()[0]
    caller = launcher.get_address(first, "caller")
    operator = launcher.get_address(first, "operator")
    job = '{"job": "bill-1", "queue": "nightly", "team": "billing", "run_seconds": 2}'
    return [
        f"curl -i -X POST -H 'Idempotency-Key: order-1' http://{caller}/services/booking/orders",
        f"curl -d '{job}' http://{caller}/v1/jobs",
        f"curl http://{operator}/v1/operator/status",
    ]


def format_overview(launcher: Launcher, *, commands: bool) -> str:
    """Returns the addresses of all processes as a table.

    Parameters
    ----------
    launcher : Launcher
        Must be running.
    commands : bool
        Whether to add example commands, which work on the default deployment only.
    """
    lines = [*_list_entry_hosts(launcher), "", *_list_standins(launcher), ""]
    if commands:
        lines += ["Try, in another terminal:", *(f"  {c}" for c in _list_commands(launcher)), ""]
    lines.append(
        f"Settings, logs and records are in {launcher.folder}. Ctrl-C ends the deployment."
    )
    return "\n".join(line.rstrip() for line in lines)
