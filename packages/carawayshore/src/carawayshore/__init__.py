"""Coordination parts for fleet capacity and maintenance, usable without the daemons."""

from __future__ import annotations

# Importing these modules registers the handlers of their record types.
from carawayshore import assignment, claims, configuration, jobs, keys, membership, waves
from carawayshore.clock import Clock, SystemClock
from carawayshore.findings import Finding, FindingsError
from carawayshore.fold import StreamState, apply_record
from carawayshore.outcome import OUTCOME_HEADER, Outcome

__all__ = [
    "OUTCOME_HEADER",
    "Clock",
    "Finding",
    "FindingsError",
    "Outcome",
    "StreamState",
    "SystemClock",
    "apply_record",
    "assignment",
    "claims",
    "configuration",
    "jobs",
    "keys",
    "membership",
    "waves",
]
