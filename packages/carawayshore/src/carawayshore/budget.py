"""Availability budget of a service: how many hosts of its pool may be out of service at once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple


class HostCondition(NamedTuple):
    """Condition of a host in the pool of a service that the availability budget depends on."""

    host: str
    rack: str
    failed: bool = False
    draining: bool = False
    moving: bool = False

    @property
    def available(self) -> bool:
        return not (self.failed or self.draining or self.moving)


class BudgetSettings(NamedTuple):
    """Settings of the availability budget.

    Parameters
    ----------
    max_unavailable : int
        Maximum number of hosts that are out of service at once.
    rack_failures : int
        Number of failed hosts in a rack from which all its hosts count as unavailable.
    """

    max_unavailable: int = 1
    rack_failures: int = 2


def _list_unavailable(hosts: Iterable[HostCondition], settings: BudgetSettings) -> set[str]:
    hosts = list(hosts)
    failures = Counter(host.rack for host in hosts if host.failed)
    at_risk = {rack for rack, count in failures.items() if count >= settings.rack_failures}
    return {host.host for host in hosts if not host.available or host.rack in at_risk}


def count_unavailable(hosts: Iterable[HostCondition], settings: BudgetSettings) -> int:
    """Returns the number of hosts that are failed, draining, moving or in a rack at risk.

    Parameters
    ----------
    hosts : iterable of HostCondition
        All hosts of the pool of the service, including hosts that are moving to another pool.
    settings : BudgetSettings

    Examples
    --------
    >>> hosts = [HostCondition("a", "r1", failed=True), HostCondition("b", "r1")]
    >>> count_unavailable(hosts, BudgetSettings())
    1
    """
    return len(_list_unavailable(hosts, settings))


def may_remove(
    hosts: Iterable[HostCondition], removed: Collection[str], settings: BudgetSettings
) -> bool:
    """Returns whether the hosts ``removed`` may be taken out of service at once.

    Raises
    ------
    ValueError
        If ``removed`` names a host that is not one of ``hosts``.
    """
    hosts = list(hosts)
    unknown = set(removed) - {host.host for host in hosts}
    if unknown:
        raise ValueError(f"hosts {sorted(unknown)} are not in the pool")
    return len(_list_unavailable(hosts, settings) | set(removed)) <= settings.max_unavailable
