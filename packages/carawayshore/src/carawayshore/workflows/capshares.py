"""Shares of the caps of client accounts that partitions hold.

Load pattern: the queues of an account are in several partitions, each with an owner of its own, and
burst in turn. The account may run only so much on all workers together, which no owner sees. Each
partition therefore holds a share of the cap and starts tasks within it. The sum of the shares grows
only while it is below the cap, so no order of messages, failures or pauses exceeds it. What runs
already when a cap appears or falls is in the shares all the same, so that nobody starts more.

A partition that needs more than its share publishes a goal. Goals are met in the order in which
they were published: whoever holds an unused share returns it to the oldest goal, and a partition
with a younger goal takes only what the older ones leave. A goal is one turn, that is, at most an
equal part of the cap or the first waiting task, so that no partition keeps the others waiting.
It keeps its place until the turn has been used. Serving the oldest goal first, rather than
splitting the cap evenly, also starts tasks that are larger than an even part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.amounts import NOTHING, Amounts

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

# Part of the cap by which a share exceeds its need if nobody else waits, so that a growing demand
# does not change the record with each task.
HEADROOM_PART = 8


class Goal(NamedTuple):
    """Share that a partition needs for its next turn.

    Parameters
    ----------
    amounts : Amounts
    since : int
        End of the log when the goal was published; the lower one is older.
    """

    amounts: Amounts
    since: int


class Holding(NamedTuple):
    """Share of the cap of one account that a partition holds, and its unmet goal if it has one."""

    share: Amounts = NOTHING
    goal: Goal | None = None


class Need(NamedTuple):
    """What a partition needs for one account.

    Parameters
    ----------
    used : Amounts
        What may be running.
    waiting : Amounts
        What the tasks need that wait for the cap although workers have room for them.
    first : Amounts
        What the first of these tasks needs, or all tasks of its gang.
    started : Amounts
        What has been reserved on workers since the goal was published, in sum.
    """

    used: Amounts = NOTHING
    waiting: Amounts = NOTHING
    first: Amounts = NOTHING
    started: Amounts = NOTHING


def limits_nothing(cap: Amounts) -> bool:
    """Returns whether a cap limits none of the resources."""
    return cap == NOTHING


def exceeds(amounts: Amounts, limit: Amounts, cap: Amounts) -> bool:
    """Returns whether amounts exceed a limit in a resource that the cap limits."""
    # Written out, since it is called for each account many times a second.
    return bool(
        (cap.millicores and amounts.millicores > limit.millicores)
        or (cap.memory_mb and amounts.memory_mb > limit.memory_mb)
        or (cap.accelerators and amounts.accelerators > limit.accelerators)
    )


def plan_share(
    partition: int,
    holdings: Mapping[int, Holding],
    need: Need,
    cap: Amounts,
    log_end: int,
    ignored: Collection[int] = (),
) -> Holding:
    """Decides which share of a cap a partition is to hold, and its goal.

    The share is never below what may be running. Beyond that it is raised only by what no partition
    holds.

    Parameters
    ----------
    partition : int
        The partition itself.
    holdings : mapping of int to Holding
        Holdings of all partitions, as recorded.
    need : Need
        Need of the partition.
    cap : Amounts
        Cap of the account; resources with 0 are not limited.
    log_end : int
        End of the log at which the plan is to be recorded.
    ignored : collection of int
        Partitions whose goals are not waited for, since nobody has acted on them for some time.
    """
    own = holdings.get(partition, Holding())
    covered = _map(
        lambda held, used, bound: max(held, used) if bound else 0, own.share, need.used, cap
    )
    own = own._replace(share=covered)
    holdings = {**holdings, partition: own}
    has_waiting = need.waiting != NOTHING
    owed = _measure_owed(partition, holdings, cap, ignored, has_waiting=has_waiting)
    free = _measure_free(holdings, cap)
    returned = _map(
        lambda lack, left, share, used: min(max(0, lack - left), max(0, share - used)),
        owed,
        free,
        own.share,
        need.used,
    )
    share = own.share.add(returned, -1)
    if not has_waiting:
        return Holding(share)
    wanted = _limit(need.used.add(need.waiting), cap)
    headroom = _map(lambda bound: bound // HEADROOM_PART if owed == NOTHING else 0, cap)
    if exceeds(wanted, share, cap):
        share = _map(
            lambda held, aim, left, lack: held + max(0, min(aim - held, left - lack)),
            share,
            _limit(wanted.add(headroom), cap),
            free,
            owed,
        )
    others = sum(item.goal is not None for other, item in holdings.items() if other != partition)
    if not others and not exceeds(wanted, share, cap):
        return Holding(share)
    turn = _map(
        lambda waiting, first, bound: max(first, min(waiting, bound // (1 + others))),
        need.waiting.add(need.started),
        need.first,
        cap,
    )
    amounts = _map(min, _limit(need.used.add(turn), cap), wanted)
    if own.goal is None or exceeds(need.started.add(need.first), turn, cap):
        return Holding(share, Goal(amounts, log_end))
    # The goal keeps its amounts while they serve the need, so that the record rarely changes.
    needed = _limit(need.used.add(need.first), cap)
    is_fitting = not exceeds(needed, own.goal.amounts, cap) and not exceeds(
        own.goal.amounts, wanted, cap
    )
    return Holding(share, own.goal if is_fitting else Goal(amounts, own.goal.since))


def compute_limit(
    partition: int,
    holdings: Mapping[int, Holding],
    cap: Amounts,
    ignored: Collection[int] = (),
    *,
    has_waiting: bool,
) -> Amounts:
    """Returns what a partition may have running with its next start.

    It is the recorded share, less what has to be returned for older goals or for a cap that has
    shrunk. The parameters are those of :func:`plan_share`; ``has_waiting`` tells whether tasks of
    the partition wait for the cap.
    """
    share = holdings.get(partition, Holding()).share
    owed = _measure_owed(partition, holdings, cap, ignored, has_waiting=has_waiting)
    free = _measure_free(holdings, cap)
    return _map(lambda held, lack, left: max(0, held - max(0, lack - left)), share, owed, free)


def may_take(holding: Holding, holdings: Mapping[int, Holding], cap: Amounts) -> bool:
    """Returns whether some of each resource is free that the goal of a holding lacks."""
    lack = _map(lambda aim, held: aim - held, holding.goal.amounts, holding.share)
    free = _measure_free(holdings, cap)
    lacking = [left for missing, left in zip(lack, free, strict=True) if missing > 0]
    return bool(lacking) and min(lacking) > 0


def count_startable(
    requested: Amounts, used: Amounts, limit: Amounts, cap: Amounts, count: int
) -> int:
    """Returns how many of ``count`` like tasks may start within a limit.

    A task that is larger than the cap starts alone, by a partition that holds all of it.
    """
    for place in range(len(cap)):
        amount, bound = requested[place], cap[place]
        if not bound or not amount:
            continue
        if amount > bound:
            fitting = int(used[place] == 0 and limit[place] >= bound)
        else:
            fitting = (limit[place] - used[place]) // amount
        if fitting < count:
            count = fitting
    return max(0, count)


def _measure_owed(
    partition: int,
    holdings: Mapping[int, Holding],
    cap: Amounts,
    ignored: Collection[int],
    *,
    has_waiting: bool,
) -> Amounts:
    """Returns what the other partitions lack for unmet goals that precede the own need.

    A partition without waiting tasks comes after all goals, as does one whose goal is yet to be
    published.
    """
    goal = holdings.get(partition, Holding()).goal
    position = (goal.since, partition) if goal is not None and has_waiting else None
    owed = NOTHING
    for other, item in holdings.items():
        if other == partition or other in ignored or item.goal is None:
            continue
        if position is None or (item.goal.since, other) < position:
            lack = _map(lambda aim, held: max(0, aim - held), item.goal.amounts, item.share)
            owed = owed.add(lack)
    return _limit(owed, cap)


def _measure_free(holdings: Mapping[int, Holding], cap: Amounts) -> Amounts:
    """Returns what no partition holds, 0 where the cap sets no limit; may be negative."""
    held = NOTHING
    for item in holdings.values():
        held = held.add(item.share)
    return _map(lambda bound, amount: bound - amount if bound else 0, cap, held)


def _limit(amounts: Amounts, cap: Amounts) -> Amounts:
    """Returns the amounts, at most those of the cap; 0 where it does not limit."""
    return _map(min, amounts, cap)


def _map(function: Callable[..., int], *operands: Amounts) -> Amounts:
    return Amounts(*(function(*values) for values in zip(*operands, strict=True)))
