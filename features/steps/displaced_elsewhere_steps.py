"""Steps on long-running tasks that are displaced beside other limits than processors."""

from __future__ import annotations

import displaced_elsewhere_scenarios  # noqa: F401  Registers its scenarios.
