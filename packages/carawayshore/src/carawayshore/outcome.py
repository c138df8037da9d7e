"""What became of a request, in the three values that every answer carries."""

from __future__ import annotations

from enum import StrEnum

OUTCOME_HEADER = "Carawayshore-Outcome"


class Outcome(StrEnum):
    """Fate of a request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
