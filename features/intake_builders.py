"""Connections of callers as the account of an entry host knows them."""

from __future__ import annotations

from carawayshore.intake import CONNECTION_BYTES, Caller, Cause, Intake, IntakeBounds, Stage
from carawayshore.workflows.model import CallerLimits

LIMITS = CallerLimits(head_seconds=3.0, idle_seconds=15.0)


class IntakeHarness:
    """An account whose connections tests open by name, at times that they choose."""

    def __init__(self, *, bytes_held: int = 1_000_000, connections: int = 1_000) -> None:
        self.intake = Intake(IntakeBounds(bytes_held, connections))
        self.callers: dict[str, Caller] = {}

    def add(self, name: str, stage: Stage, at: float, held: int = 0) -> Caller:
        """Opens a connection and brings it to a stage."""
        caller = self.intake.open(name, at)
        self.callers[name] = caller
        self.intake.set_stage(caller, stage, at)
        self.intake.set_held(caller, CONNECTION_BYTES + held)
        return caller

    def shed_all(self, now: float, more: int = 0) -> list[tuple[str, Cause]]:
        """Closes connections until the bounds are kept; returns their names and causes."""
        shed = []
        while (found := self.intake.choose_excess(now, more)) is not None:
            caller, cause = found
            shed.append((caller.owner, cause))
            self.intake.close(caller)
        return shed

    def list_expired(self, now: float) -> dict[str, Cause]:
        """Returns the connections whose time is over, with the cause."""
        return {c.owner: cause for c, cause in self.intake.find_expired(LIMITS, now)}
