"""Throttles best-effort tasks that raise the latency of serving tasks on the same worker.

Load pattern: tasks that serve callers share a worker with best-effort tasks that use idle processor
time. The tail latency of the serving tasks follows the load of the worker within seconds.
Best-effort tasks are throttled quickly, before the latency reaches its target, and are given
processor time back slowly.
"""

from __future__ import annotations

from typing import NamedTuple

# Tail latency, as a share of the target, from which best-effort processor time is halved.
HALVE_SHARE = 0.75
# Tail latency, as a share of the target, from which best-effort tasks are paused.
PAUSE_SHARE = 0.95
# Tail latency, as a share of the target, below which best-effort processor time is raised.
RAISE_SHARE = 0.55
# Percentage points by which best-effort processor time is raised at a time.
RAISE_PERCENT = 10


class ServingTask(NamedTuple):
    """A serving task: its reported tail latency and its target, in ms."""

    latency_ms: float
    target_ms: int


def choose_cpu_percent(serving: list[ServingTask], percent: int) -> int:
    """Returns the percentage of processor time that best-effort tasks may use.

    Parameters
    ----------
    serving : list of ServingTask
        Serving tasks on the same worker.
    percent : int
        Percentage that best-effort tasks may use now.
    """
    latency_ratios = [task.latency_ms / task.target_ms for task in serving if task.target_ms > 0]
    if not latency_ratios:
        return 100
    highest_ratio = max(latency_ratios)
    if highest_ratio >= PAUSE_SHARE:
        return 0
    if highest_ratio >= HALVE_SHARE:
        return percent // 2
    if highest_ratio < RAISE_SHARE:
        return min(100, percent + RAISE_PERCENT)
    return percent
