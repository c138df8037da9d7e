"""Shares of client accounts in a pool that is short of capacity.

Load pattern: twenty accounts, a few of them large, use one pool; one of them sends several times
its usual, while a queue bursts. Each account is owed the work that it submits up to its ``weight``
in workflows per second. What it submits beyond that is served while there is room, and is the first
to be rejected and the last to be placed otherwise. An account that uses more of a full pool than
its part by weight has to leave more slack than the others. The part of a pool is the larger one of
the parts of its processors and of its memory (dominant resource fairness), so that tasks of much
memory are not cheap.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from carawayshore.workflows.amounts import Amounts

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time for which an account may submit faster than its weight if it was silent for that long. Queues
# burst in turns of several seconds, in which an account with a steady mean is far above it.
BURST_SECONDS = 5.0


class Standing(NamedTuple):
    """Standing of an account for one submitted workflow.

    Parameters
    ----------
    beyond_weight : bool
        Whether the workflow is beyond what the account is owed.
    over_share : bool
        Whether the account uses more of the pool than its part by weight.
    """

    beyond_weight: bool = False
    over_share: bool = False


class _Bucket(NamedTuple):
    """Workflows that an account may still submit, as of ``at`` in seconds of the clock."""

    tokens: float
    at: float


class SubmissionRates:
    """Tells which workflows are beyond the weight of their account, by a token bucket for each."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, account: str, weight: float, now: float) -> bool:
        """Counts a workflow; returns whether it is within the weight of its account.

        Parameters
        ----------
        account : str
        weight : float
            Workflows per second.
        now : float
            Seconds of the clock.
        """
        # A weight below one per second allows one workflow after a sufficient pause.
        largest = max(weight * BURST_SECONDS, 1.0) if weight > 0 else 0.0
        bucket = self._buckets.get(account, _Bucket(largest, now))
        tokens = min(largest, bucket.tokens + (now - bucket.at) * weight)
        is_within = tokens >= 1.0
        self._buckets[account] = _Bucket(tokens - 1.0 if is_within else tokens, now)
        return is_within

    def retain(self, accounts: Mapping[str, object]) -> None:
        """Forgets the accounts that are not in the configuration any more."""
        for account in self._buckets.keys() - accounts.keys():
            del self._buckets[account]


def compute_dominant_part(used: Amounts, capacity: Amounts) -> float:
    """Returns the largest part of a resource of a pool that is used, from 0 on."""
    return max(
        (amount / whole for amount, whole in zip(used, capacity, strict=True) if whole > 0),
        default=0.0,
    )


def is_over_share(
    account: str, used: Mapping[str, Amounts], weights: Mapping[str, float], capacity: Amounts
) -> bool:
    """Returns whether an account uses more of a pool than its part by weight.

    Only accounts that use the pool count, so that the whole pool is shared among these.

    Parameters
    ----------
    account : str
    used : mapping of str to Amounts
        What each account uses of the pool.
    weights : mapping of str to float
    capacity : Amounts
        Size of the pool.
    """
    active = sum(weights.get(name, 0.0) for name in used)
    if account not in used:
        return False
    part = weights.get(account, 0.0) / active if active > 0 else 0.0
    return compute_dominant_part(used[account], capacity) > part
