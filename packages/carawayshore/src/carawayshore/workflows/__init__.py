"""Jobs of several steps: their model, state, and the decisions about them."""

from __future__ import annotations
