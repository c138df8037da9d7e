"""Errors of the command and the exit status that each one leads to."""

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
  2  bad usage, or a document with findings; nothing changed
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
        Values or description of values that are accepted.
    next_step : str
        What the operator can do about it.
    details : dict
        Further members of the JSON form.
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
        """Returns the error for output as JSON."""
        return {
            "error": self.message,
            "given": self.given,
            "accepted": self.accepted,
            "next_step": self.next_step,
            "exit_status": int(self.status),
            **self.details,
        }


class Refused(CommandError):
    """The entry host or the command itself refused; nothing changed."""


class Unreachable(CommandError):
    """No entry host gave an answer; nothing was sent that could change anything."""

    status = ExitStatus.UNREACHABLE


class Unknown(CommandError):
    """A change was sent, and it is not known whether it took effect."""

    status = ExitStatus.UNKNOWN


class BadDocument(CommandError):
    """A document or the usage of the command has findings."""

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
