"""Runs a play in virtual time, in an event loop of its own."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

Result = TypeVar("Result")


def play(scene: Coroutine[Any, Any, Result]) -> Result:
    """Returns the result of ``scene``; its waits take no time."""
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        return loop.run_until_complete(scene)
    finally:
        loop.close()
