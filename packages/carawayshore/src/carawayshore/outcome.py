"""Outcome of a request, which every answer states as one of three values."""

from __future__ import annotations

from enum import StrEnum

OUTCOME_HEADER = "Carawayshore-Outcome"


class Outcome(StrEnum):
    """Outcome of a request: completed, not run for certain, or not known."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
