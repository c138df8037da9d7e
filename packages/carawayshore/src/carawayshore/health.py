"""Passive health checks of targets: ejection after failures, and probes with back-off."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.clock import Clock


class HealthSettings(NamedTuple):
    """Settings of :class:`TargetHealth`.

    Parameters
    ----------
    consecutive_failures : int
        Consecutive failures after which a target is ejected.
    failure_share : float
        Moving average of the share of failures from which a target is ejected even if some requests
        succeed.
    min_results : int
        Minimum number of results before ``failure_share`` applies.
    max_ejected_share : float
        Maximum share of the targets of the pool that are ejected at once, from 0 to 1.
    first_backoff, max_backoff : timedelta
        Initial and maximum delay before the next probe; the delay doubles with each failed probe.
    probe_timeout : timedelta
        Time after which another probe may be sent if a probe has no result.
    """

    consecutive_failures: int = 5
    failure_share: float = 0.8
    min_results: int = 20
    max_ejected_share: float = 0.5
    first_backoff: timedelta = timedelta(seconds=1)
    max_backoff: timedelta = timedelta(seconds=60)
    probe_timeout: timedelta = timedelta(seconds=30)


class Attempt(NamedTuple):
    """A request sent to a target.

    ``ejection``: if the request is a probe, how often its target has been ejected so far, else 0.
    """

    target: str
    ejection: int
    number: int


class _TargetState:
    def __init__(self) -> None:
        self.failures = 0
        self.results = 0
        self.failure_average = 0.0
        self.ejected = False
        self.ejections = 0
        self.failed_probes = 0
        self.next_probe_at = timedelta()
        self.probe = 0

    def record_result(self, failed: bool) -> None:
        self.results += 1
        self.failures = self.failures + 1 if failed else 0
        self.failure_average += (failed - self.failure_average) / min(self.results, 20)

    def clear(self) -> None:
        self.ejected = False
        self.failures = self.results = self.failed_probes = self.probe = 0
        self.failure_average = 0.0


class TargetHealth:
    """Decides which targets of one pool may receive requests.

    Examples
    --------
    >>> from carawayshore.testing import ManualClock
    >>> health = TargetHealth(HealthSettings(consecutive_failures=1), ManualClock())
    >>> health.set_targets(["a", "b"])
    >>> health.fail(health.start("a"))
    True
    >>> health.may_use("a"), health.may_use("b")
    (False, True)
    """

    def __init__(self, settings: HealthSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._targets: dict[str, _TargetState] = {}
        self._attempt_count = 0

    def set_targets(self, targets: Iterable[str]) -> None:
        """Sets the targets of the pool; targets that remain keep their state."""
        self._targets = {name: self._targets.get(name) or _TargetState() for name in targets}

    def list_ejected(self) -> list[str]:
        return [name for name, target in self._targets.items() if target.ejected]

    def may_use(self, target: str) -> bool:
        """Returns whether a request may be started at ``target`` now, as a probe if ejected."""
        state = self._targets.get(target)
        if state is None:
            return False
        return not state.ejected or self._clock.elapsed() >= state.next_probe_at

    def start(self, target: str) -> Attempt:
        """Records the start of a request; at an ejected target it becomes the only probe.

        Raises
        ------
        ValueError
            If :meth:`may_use` is false for the target.
        """
        if not self.may_use(target):
            raise ValueError(f"target {target!r} is ejected or not one of the pool's targets")
        state = self._targets[target]
        self._attempt_count += 1
        if not state.ejected:
            return Attempt(target, 0, self._attempt_count)
        state.next_probe_at = self._clock.elapsed() + self._settings.probe_timeout
        state.probe = self._attempt_count
        return Attempt(target, state.ejections, self._attempt_count)

    def _is_probe(self, state: _TargetState, attempt: Attempt) -> bool:
        return state.ejected and attempt.number == state.probe

    def succeed(self, attempt: Attempt) -> None:
        """Records a success; a successful probe ends the ejection."""
        state = self._targets.get(attempt.target)
        if state is None:
            return
        if self._is_probe(state, attempt):
            state.clear()
        elif not state.ejected:
            state.record_result(False)

    def fail(self, attempt: Attempt) -> bool:
        """Records a failure.

        Returns
        -------
        bool
            Whether a retry counts against the retry budget. It does not if the target was already
            ejected: such failures are few and say nothing about the health of the pool.
        """
        state = self._targets.get(attempt.target)
        if state is None:
            return True
        if self._is_probe(state, attempt):
            state.failed_probes += 1
            self._schedule_probe(state)
            return False
        if state.ejected:
            return False
        state.record_result(True)
        if self._should_eject(state):
            state.ejected = True
            state.ejections += 1
            self._schedule_probe(state)
        return True

    def _schedule_probe(self, state: _TargetState) -> None:
        settings = self._settings
        backoff = settings.first_backoff * 2 ** min(state.failed_probes, 30)
        state.next_probe_at = self._clock.elapsed() + min(backoff, settings.max_backoff)
        state.probe = 0

    def _should_eject(self, state: _TargetState) -> bool:
        settings = self._settings
        consecutive = state.failures >= settings.consecutive_failures
        mostly_failed = state.results >= settings.min_results
        mostly_failed = mostly_failed and state.failure_average >= settings.failure_share
        allowed = int(settings.max_ejected_share * len(self._targets) + 1e-9)
        return (consecutive or mostly_failed) and len(self.list_ejected()) < allowed
