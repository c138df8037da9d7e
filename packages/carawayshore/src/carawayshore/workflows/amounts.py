"""Amounts of the resources of a machine: processors, memory and accelerators."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.workflows.placement import Usage


class Amounts(NamedTuple):
    """Processors in millicores, memory in MB, and accelerators."""

    millicores: int
    memory_mb: int
    accelerators: int

    def add(self, usage: Usage | Amounts, sign: int = 1) -> Amounts:
        """Returns the sum with the resources of a run, or the difference if ``sign`` is -1."""
        return Amounts(
            self.millicores + sign * usage.millicores,
            self.memory_mb + sign * usage.memory_mb,
            self.accelerators + sign * usage.accelerators,
        )


NOTHING = Amounts(0, 0, 0)
