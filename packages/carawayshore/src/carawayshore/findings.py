"""Validation errors of a document, collected with their JSON pointers and reported together."""

from __future__ import annotations

from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One validation error of a document.

    Parameters
    ----------
    pointer : str
        JSON pointer (RFC 6901) of the faulty value.
    found : Any
        The value found, or None if it is missing.
    accepted : str
        Description of the values that are accepted.
    """

    pointer: str
    found: Any
    accepted: str

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: found {self.found!r}, accepted: {self.accepted}"


class FindingsError(ValueError):
    """Raised for a document with at least one finding."""

    def __init__(self, source: str, findings: list[Finding]) -> None:
        self.source = source
        self.findings = findings
        lines = "\n".join(f"  {finding}" for finding in findings)
        super().__init__(f"{source} has {len(findings)} finding(s):\n{lines}")


def join_pointer(pointer: str, token: str | int) -> str:
    """Returns ``pointer`` extended by one reference token, escaped by RFC 6901."""
    return f"{pointer}/{str(token).replace('~', '~0').replace('/', '~1')}"
