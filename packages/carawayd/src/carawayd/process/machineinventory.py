"""Machines as last listed; one that a list lacks is kept until further lists lack it, too."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayd.platform.machines import MachineList
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import Machine

# A machine that lists have lacked for this long has left. Longer than reading several lists takes.
MISSING_MACHINE_RETENTION = timedelta(seconds=2)


class MachineInventory:
    """Machines of the successive lists of the machines service.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self.machines: dict[str, Machine] = {}
        self._clock = clock
        # Time of the first of the consecutive complete lists that lack a machine.
        self._missing_since: dict[str, timedelta] = {}

    def update(self, listing: MachineList, expected: Iterable[str]) -> None:
        """Applies a list.

        Parameters
        ----------
        listing : MachineList
        expected : iterable of str
            Machines whose absence matters even if no list has shown them.
        """
        now = self._clock.elapsed()
        former, self.machines = self.machines, {item.machine: item for item in listing.machines}
        missing = (former.keys() | set(expected)) - self.machines.keys()
        self._missing_since = {
            name: since for name, since in self._missing_since.items() if name in missing
        }
        if listing.is_complete:
            for name in missing:
                self._missing_since.setdefault(name, now)
        for name in former.keys() & missing:
            if not self.is_gone(name):
                self.machines[name] = _hide(former[name])

    def is_gone(self, name: str) -> bool:
        """Returns whether complete lists have lacked a machine for the retention period."""
        since = self._missing_since.get(name)
        return since is not None and self._clock.elapsed() - since > MISSING_MACHINE_RETENTION


def _hide(machine: Machine) -> Machine:
    """Returns a machine that gets no order, in upkeep or moving if it was when last listed."""
    return machine._replace(state="down") if machine.state == "up" else machine
