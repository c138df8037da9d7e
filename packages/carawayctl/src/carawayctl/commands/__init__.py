"""Subcommands; importing a module registers its subcommands."""

from __future__ import annotations

from carawayctl.commands import config, dump, explain, hosts, jobs, maintenance, status

GROUP_SUMMARIES = {
    "config": "check, show, compare and publish the configuration",
    "hosts": "list hosts, move, drain and return them",
    "jobs": "submit, list, show and cancel jobs",
    "maintenance": "show, pause, resume and explain maintenance",
}

__all__ = ["GROUP_SUMMARIES", "config", "dump", "explain", "hosts", "jobs", "maintenance", "status"]
