"""Test doubles (stand-ins) of the platform services, the workers and the callers."""

from __future__ import annotations

import importlib
from typing import Any

_MODULES = {
    "Balancer": "callers",
    "Call": "callers",
    "CallResult": "callers",
    "Caller": "callers",
    "HostList": "hostlist",
    "Launcher": "launcher",
    "LogService": "log",
    "PoolsService": "pools",
    "Worker": "worker",
    "run_load": "callers",
}

__all__ = [  # noqa: F822
    "Balancer",
    "Call",
    "CallResult",
    "Caller",
    "HostList",
    "Launcher",
    "LogService",
    "PoolsService",
    "Worker",
    "run_load",
]


def __getattr__(name: str) -> Any:
    # Imported lazily: runpy warns when `python -m` runs a module that its package has already
    # imported.
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)
