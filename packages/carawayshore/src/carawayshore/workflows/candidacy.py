"""Choice of the entry hosts that own partitions.

Load pattern: entry hosts differ by a factor of four in processor time and more in bandwidth, and
the owner of the queue whose turn it is starts hundreds of tasks a second. Partitions are dealt
evenly among the members of the group, so small hosts stay out of it as long as larger ones are
there, and join when partitions have no owner.
"""

from __future__ import annotations

from typing import NamedTuple

# A host with at least this many cores can own the partition of a busy queue.
ENOUGH_CORES = 1.0
# A smaller host stays out of the group for others that have this many times its cores.
LARGER = 1.5
# Number of larger owners that a small host leaves the group to.
ENOUGH_OWNERS = 2
# Time in seconds, times the cores of the host, for which a partition has to be without owner before
# a small host joins: the larger of the small ones come first. Longer than a hand-over's last step.
JOIN_CORE_SECONDS = 0.5
MOST_JOIN_SECONDS = 1.5


class GroupView(NamedTuple):
    """What the choice rests on.

    Parameters
    ----------
    cores : float
        Of this host.
    joined : bool
        Whether this host is a member now.
    owners : dict of str to float
        Cores of the other hosts that own partitions, by member.
    unowned_seconds : float
        For how long some partition has had no owner.
    """

    cores: float
    joined: bool
    owners: dict[str, float]
    unowned_seconds: float


class Candidacy(NamedTuple):
    joins: bool
    reason: str


def decide_candidacy(view: GroupView) -> Candidacy:
    """Decides whether this host is a member of the group of owners."""
    if view.cores >= ENOUGH_CORES:
        return Candidacy(True, "large enough")
    larger = sum(cores >= LARGER * view.cores for cores in view.owners.values())
    if view.joined:
        if larger >= ENOUGH_OWNERS and not view.unowned_seconds:
            return Candidacy(False, "larger hosts own the partitions")
        return Candidacy(True, "too few larger hosts own partitions")
    delay = min(MOST_JOIN_SECONDS, JOIN_CORE_SECONDS / max(view.cores, 0.01))
    if view.unowned_seconds >= delay:
        return Candidacy(True, "a partition has no owner")
    return Candidacy(False, "the partitions have owners, or had them lately")
