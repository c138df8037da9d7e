"""Measurements of services and targets, kept in memory and rebuilt after a restart."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from carawayshore.health import HealthSettings, TargetHealth
from carawayshore.prediction import Predictor
from carawayshore.retry import RetryBudget, RetrySettings
from carawayshore.routing import TargetSlowdowns

if TYPE_CHECKING:
    from carawayshore.clock import Clock


class Observations:
    """Run times, target health, refusals and retry budgets.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.predictor = Predictor(clock)
        self.slowdowns = TargetSlowdowns(clock)
        self.health: dict[str, TargetHealth] = {}
        # Pool to the requests refused for lack of slots since the process started.
        self.refusals: Counter[str] = Counter()
        self._budgets: dict[tuple[str, float], RetryBudget] = {}

    def find_health(self, pool: str) -> TargetHealth:
        """Returns the health of the targets of a pool."""
        if pool not in self.health:
            self.health[pool] = TargetHealth(HealthSettings(), self._clock)
        return self.health[pool]

    def get_retry_budget(self, service: str, share: float) -> RetryBudget:
        """Returns the retry budget of a service; a new share replaces the previous budget."""
        key = (service, share)
        if key not in self._budgets:
            self._budgets = {k: b for k, b in self._budgets.items() if k[0] != service}
            self._budgets[key] = RetryBudget(RetrySettings(share=share), self._clock)
        return self._budgets[key]
