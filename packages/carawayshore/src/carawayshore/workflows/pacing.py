"""Throttling of best-effort tasks that disturb serving tasks beside them.

Load pattern: tasks that serve callers share a worker with tasks that use what is left over. The
tail latency of the serving ones moves within seconds with what runs beside them. Best-effort tasks
give way quickly, at a fraction of the target, and come back slowly.
"""

from __future__ import annotations

from typing import NamedTuple

# Tail latency as a share of the target above which best-effort tasks are halved, or paused.
SLOW_SHARE = 0.75
PAUSE_SHARE = 0.95
# Below this share of the target best-effort tasks get more processor time again.
RAISE_SHARE = 0.55
RAISE_PERCENT = 10


class Serving(NamedTuple):
    """A serving task: its reported tail latency and its target, in ms."""

    latency_ms: float
    target_ms: int


def choose_percent(serving: list[Serving], percent: int) -> int:
    """Returns the share of processor time that best-effort tasks beside may use."""
    loads = [task.latency_ms / task.target_ms for task in serving if task.target_ms > 0]
    if not loads:
        return 100
    worst = max(loads)
    if worst >= PAUSE_SHARE:
        return 0
    if worst >= SLOW_SHARE:
        return percent // 2
    if worst < RAISE_SHARE:
        return min(100, percent + RAISE_PERCENT)
    return percent
