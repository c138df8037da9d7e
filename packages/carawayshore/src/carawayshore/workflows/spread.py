"""Number of workers that the long-running tasks of a pool need.

Load pattern: steps of a few small long-running tasks, of which one worker may have one, or tasks
that need most of a worker's memory, in pools that shrink to what their cores need while their queue
is quiet. When a worker ends, its task needs another one that may take it. While there is none, no
short task can make room for it, and no wait ends by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.placement import Amounts

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Tasks of up to this share of a worker fill what larger ones leave, so only their sum counts.
SMALL_SHARE = 0.25


class TaskGroup(NamedTuple):
    """Tasks of one step, which are alike.

    Parameters
    ----------
    count : int
    amounts : Amounts
        Resources that each of them reserves.
    most_per_worker : int
        Maximum number of them on one worker, 0 for no limit.
    """

    count: int
    amounts: Amounts
    most_per_worker: int


def count_needed_workers(groups: Iterable[TaskGroup], worker: Amounts) -> int:
    """Returns how many workers of one size take all tasks at once.

    The limits of the steps, the sum of the resources, and the packing of the large tasks each give
    a number, of which the largest counts. Tasks that are larger than a worker count for nothing, as
    no number of workers takes them.
    """
    fitting = [group for group in groups if group.count and _count_fitting(group, worker)]
    if not fitting:
        return 0
    by_limit = max(-(-group.count // _count_fitting(group, worker)) for group in fitting)
    large = [group for group in fitting if _measure_share(group.amounts, worker) > SMALL_SHARE]
    return max(by_limit, _count_by_sum(fitting, worker), _count_by_packing(large, worker))


def _count_by_sum(groups: Sequence[TaskGroup], worker: Amounts) -> int:
    totals = [
        sum(group.count * amount for group, amount in zip(groups, amounts, strict=True))
        for amounts in zip(*(group.amounts for group in groups), strict=True)
    ]
    return max(
        -(-total // whole) if whole else 0 for total, whole in zip(totals, worker, strict=True)
    )


def _count_by_packing(groups: Sequence[TaskGroup], worker: Amounts) -> int:
    """Returns the number of workers for tasks that are placed one by one, the largest first."""
    groups = sorted(groups, key=lambda item: _measure_share(item.amounts, worker), reverse=True)
    least = _list_least_amounts(groups, worker)
    count = 0
    # Room on the workers that can take a further task.
    rooms: list[Amounts] = []
    for group, following in zip(groups, least, strict=True):
        left = group.count
        for number, room in enumerate(rooms):
            if left <= 0:
                break
            placed = min(left, _count_fitting(group, room))
            if placed:
                rooms[number] = _take(room, group.amounts, placed)
                left -= placed
        most = _count_fitting(group, worker)
        while left > 0:
            placed = min(left, most)
            rooms.append(_take(worker, group.amounts, placed))
            count += 1
            left -= placed
        rooms = [room for room in rooms if all(map(int.__ge__, room, following))]
    return count


def _list_least_amounts(groups: Sequence[TaskGroup], worker: Amounts) -> list[Amounts]:
    """Returns for each group the least amount of each resource among the groups after it."""
    found: list[Amounts] = []
    least = worker
    for group in reversed(groups):
        found.append(least)
        least = Amounts(*map(min, least, group.amounts))
    return found[::-1]


def _measure_share(amounts: Amounts, worker: Amounts) -> float:
    """Returns the largest share of a worker's resources that a task takes."""
    return max(
        (part / whole for part, whole in zip(amounts, worker, strict=True) if whole), default=0.0
    )


def _count_fitting(group: TaskGroup, room: Amounts) -> int:
    """Returns how many tasks of a group fit into the room on one worker."""
    limit = group.most_per_worker or group.count
    for part, whole in zip(group.amounts, room, strict=True):
        if part > 0:
            limit = min(limit, whole // part)
    return max(0, limit)


def _take(room: Amounts, amounts: Amounts, count: int) -> Amounts:
    return Amounts(*(whole - part * count for part, whole in zip(amounts, room, strict=True)))
