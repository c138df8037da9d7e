"""Errors of the command and their exit statuses."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from carawayshore.findings import Finding


class ExitStatus(IntEnum):
    """Exit statuses, the same for every subcommand."""

    DONE = 0
    REFUSED = 1
    FINDINGS = 2
    UNREACHABLE = 3
    UNKNOWN = 4


EXIT_STATUS_HELP = """exit status:
  0  done
  1  refused, nothing changed
  2  bad usage, or an invalid document; nothing changed
  3  no entry host can be reached; nothing changed
  4  not known whether the change took effect, or the wait ended before the change did
"""


class CommandError(Exception):
    """Ends the command with a message and an exit status.

    Parameters
    ----------
    message : str
    given : Any
        Value that was not accepted, if there is one.
    accepted : Any
        Accepted values, or a description of them.
    next_step : str
        Action that the operator can take.
    details : dict
        Further members of the JSON output.
    """

    status = ExitStatus.REFUSED

    def __init__(
        self,
        message: str,
        *,
        given: Any = None,
        accepted: Any = None,
        next_step: str = "",
        details: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.given = given
        self.accepted = accepted
        self.next_step = next_step
        self.details = details or {}

    def describe(self) -> dict[str, Any]:
        """Returns the error for JSON output."""
        return {
            "error": self.message,
            "given": self.given,
            "accepted": self.accepted,
            "next_step": self.next_step,
            "exit_status": int(self.status),
            **self.details,
        }


class Refused(CommandError):
    """The entry host or the command itself refused the request; nothing changed."""


class Unreachable(CommandError):
    """No entry host could be reached; no change was sent."""

    status = ExitStatus.UNREACHABLE


class OutcomeUnknown(CommandError):
    """It is not known whether a change took effect, or the wait ended before it completed."""

    status = ExitStatus.UNKNOWN


class BadDocument(CommandError):
    """A document failed validation."""

    status = ExitStatus.FINDINGS

    def __init__(
        self, source: str, findings: list[Finding], *, next_step: str = "correct all of them"
    ) -> None:
        listed = [finding._asdict() for finding in findings]
        super().__init__(
            f"{source} has {len(findings)} finding(s)",
            next_step=next_step,
            details={"findings": listed},
        )
        self.findings = findings
