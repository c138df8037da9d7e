"""Coordination of fleet capacity and maintenance, usable as a library without the daemons."""

from __future__ import annotations

# Importing these modules also registers the handlers of their record types.
from carawayshore import (
    admission,
    assignment,
    budget,
    claims,
    clock,
    configuration,
    findings,
    fold,
    hashing,
    health,
    jobs,
    keys,
    maintenance,
    membership,
    options,
    outcome,
    placement,
    prediction,
    queueing,
    records,
    retry,
    routing,
    shares,
    waves,
)
from carawayshore.admission import Admission, AdmissionSettings
from carawayshore.budget import BudgetSettings, HostCondition, count_unavailable, may_remove
from carawayshore.claims import ClaimHolder, ClaimSettings
from carawayshore.clock import Clock, SystemClock
from carawayshore.findings import Finding, FindingsError
from carawayshore.fold import StreamState, apply_record
from carawayshore.health import HealthSettings, TargetHealth
from carawayshore.membership import Barrier, Incarnation
from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore.prediction import Predictor
from carawayshore.queueing import ClassQueue, QueueSettings
from carawayshore.retry import RetryBudget, RetrySettings
from carawayshore.shares import ShareLedger, ShareSettings

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Barrier",
    "BudgetSettings",
    "ClaimHolder",
    "ClaimSettings",
    "ClassQueue",
    "Clock",
    "Finding",
    "FindingsError",
    "HealthSettings",
    "HostCondition",
    "Incarnation",
    "OUTCOME_HEADER",
    "Outcome",
    "Predictor",
    "QueueSettings",
    "RetryBudget",
    "RetrySettings",
    "ShareLedger",
    "ShareSettings",
    "StreamState",
    "SystemClock",
    "TargetHealth",
    "admission",
    "apply_record",
    "assignment",
    "budget",
    "claims",
    "clock",
    "configuration",
    "count_unavailable",
    "findings",
    "fold",
    "hashing",
    "health",
    "jobs",
    "keys",
    "maintenance",
    "may_remove",
    "membership",
    "options",
    "outcome",
    "placement",
    "prediction",
    "queueing",
    "records",
    "retry",
    "routing",
    "shares",
    "waves",
]
