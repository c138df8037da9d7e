"""Health of targets: ejection after failures and probes with back-off."""

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
        Failures in a row that eject a target.
    failure_share : float
        Decayed share of failures that ejects a target although some requests succeed.
    min_results : int
        Results before ``failure_share`` applies.
    max_ejected_share : float
        Share of the pool's targets that may be ejected at once, from 0 to 1.
    first_backoff, max_backoff : timedelta
        Time from an ejection to the probe; it doubles with each failed probe.
    probe_timeout : timedelta
        A probe without result counts as lost after this time.
    """

    consecutive_failures: int = 5
    failure_share: float = 0.8
    min_results: int = 20
    max_ejected_share: float = 0.5
    first_backoff: timedelta = timedelta(seconds=1)
    max_backoff: timedelta = timedelta(seconds=60)
    probe_timeout: timedelta = timedelta(seconds=30)


class Attempt(NamedTuple):
    """One request at a target; ``ejection`` numbers the ejection that it probes, 0 if none."""

    target: str
    ejection: int
    number: int


class _Target:
    def __init__(self) -> None:
        self.failures = 0
        self.results = 0
        self.failed_share = 0.0
        self.ejected = False
        self.ejections = 0
        self.failed_probes = 0
        self.probe_at = timedelta()
        self.probe = 0

    def note(self, failed: bool) -> None:
        self.results += 1
        self.failures = self.failures + 1 if failed else 0
        self.failed_share += (failed - self.failed_share) / min(self.results, 20)

    def clear(self) -> None:
        self.ejected = False
        self.failures = self.results = self.failed_probes = self.probe = 0
        self.failed_share = 0.0


class TargetHealth:
    """Decides which targets of one pool may be given work.

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
        self._targets: dict[str, _Target] = {}
        self._numbers = 0

    def set_targets(self, targets: Iterable[str]) -> None:
        """Names the pool's targets; what is known of the ones that stay is kept."""
        self._targets = {name: self._targets.get(name) or _Target() for name in targets}

    def list_ejected(self) -> list[str]:
        return [name for name, target in self._targets.items() if target.ejected]

    def may_use(self, target: str) -> bool:
        """Returns whether a request may be started at ``target`` now, as a probe if ejected."""
        known = self._targets.get(target)
        if known is None:
            return False
        return not known.ejected or self._clock.elapsed() >= known.probe_at

    def start(self, target: str) -> Attempt:
        """Counts the start of a request; at an ejected target it becomes the only probe.

        Raises
        ------
        ValueError
            If :meth:`may_use` is false for the target.
        """
        if not self.may_use(target):
            raise ValueError(f"target {target!r} is ejected or not one of the pool's targets")
        known = self._targets[target]
        self._numbers += 1
        if not known.ejected:
            return Attempt(target, 0, self._numbers)
        known.probe_at = self._clock.elapsed() + self._settings.probe_timeout
        known.probe = self._numbers
        return Attempt(target, known.ejections, self._numbers)

    def _is_probe(self, known: _Target, attempt: Attempt) -> bool:
        return known.ejected and attempt.number == known.probe

    def succeed(self, attempt: Attempt) -> None:
        """Takes note of a success; a successful probe brings the target back."""
        known = self._targets.get(attempt.target)
        if known is None:
            return
        if self._is_probe(known, attempt):
            known.clear()
        elif not known.ejected:
            known.note(False)

    def fail(self, attempt: Attempt) -> bool:
        """Takes note of a failure.

        Returns
        -------
        bool
            Whether a retry has to be taken from the retry budget. It has not if the target was
            ejected already: such failures are few, and they say nothing about the pool.
        """
        known = self._targets.get(attempt.target)
        if known is None:
            return True
        if self._is_probe(known, attempt):
            known.failed_probes += 1
            self._set_backoff(known)
            return False
        if known.ejected:
            return False
        known.note(True)
        if self._should_eject(known):
            known.ejected = True
            known.ejections += 1
            self._set_backoff(known)
        return True

    def _set_backoff(self, known: _Target) -> None:
        settings = self._settings
        backoff = settings.first_backoff * 2 ** min(known.failed_probes, 30)
        known.probe_at = self._clock.elapsed() + min(backoff, settings.max_backoff)
        known.probe = 0

    def _should_eject(self, known: _Target) -> bool:
        settings = self._settings
        in_a_row = known.failures >= settings.consecutive_failures
        mostly = known.results >= settings.min_results
        mostly = mostly and known.failed_share >= settings.failure_share
        allowed = int(settings.max_ejected_share * len(self._targets) + 1e-9)
        return (in_a_row or mostly) and len(self.list_ejected()) < allowed
