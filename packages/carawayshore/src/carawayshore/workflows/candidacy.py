"""Decides whether an entry host joins the group of partition owners.

Load pattern: entry hosts differ by a factor of four in processor time, and by more in bandwidth,
and the owner of a queue in a demand peak starts hundreds of tasks per second. Partitions are
assigned evenly to the members of the group, so small hosts stay out of the group while larger
hosts are members, and join when partitions have no owner.
"""

from __future__ import annotations

from typing import NamedTuple

# Hosts with at least this many cores can own the partition of a busy queue and always join.
MIN_OWNER_CORES = 1.0
# An owner counts as larger than a small host if it has at least this many times its cores.
LARGER_HOST_RATIO = 1.5
# Number of larger owners at which a small host leaves the group.
MIN_LARGER_OWNERS = 2
# A small host joins after a partition has had no owner for this time divided by the host's cores:
# larger hosts join first, and no host joins during the last step of a handover.
JOIN_DELAY_CORE_SECONDS = 0.5
# Maximum time without an owner before a small host joins.
MAX_JOIN_DELAY_SECONDS = 1.5


class GroupView(NamedTuple):
    """State of the group as seen by this host.

    Parameters
    ----------
    cores : float
        Cores of this host.
    joined : bool
        Whether this host is a member of the group.
    owners : dict of str to float
        Cores of the other hosts that own partitions, by member.
    unowned_seconds : float
        Time for which a partition has had no owner, 0 if each has one.
    """

    cores: float
    joined: bool
    owners: dict[str, float]
    unowned_seconds: float


class Candidacy(NamedTuple):
    should_join: bool
    reason: str


def decide_candidacy(view: GroupView) -> Candidacy:
    """Decides whether this host should be a member of the group of partition owners."""
    if view.cores >= MIN_OWNER_CORES:
        return Candidacy(True, "large enough")
    larger_owners = sum(cores >= LARGER_HOST_RATIO * view.cores for cores in view.owners.values())
    if view.joined:
        if larger_owners >= MIN_LARGER_OWNERS and not view.unowned_seconds:
            return Candidacy(False, "larger hosts own the partitions")
        return Candidacy(True, "too few larger hosts own partitions")
    delay = min(MAX_JOIN_DELAY_SECONDS, JOIN_DELAY_CORE_SECONDS / max(view.cores, 0.01))
    if view.unowned_seconds >= delay:
        return Candidacy(True, "a partition has no owner")
    return Candidacy(False, "no partition has been without an owner for long enough")
