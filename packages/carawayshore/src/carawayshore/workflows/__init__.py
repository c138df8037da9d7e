"""Multi-step workflows: data model, persisted state and scheduling decisions."""

from __future__ import annotations
