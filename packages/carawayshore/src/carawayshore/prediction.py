"""Prediction of run times from observed ones, with declared sizes as a first guess."""

from __future__ import annotations

import math
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.clock import Clock

BUCKETS_PER_DOUBLING = 8  # Neighbouring buckets differ by 9 %.
SHORTEST_S = 1e-4
RENORMALISE_AT = 1e12  # Weights grow with time; far below the largest float.


class PredictionSettings(NamedTuple):
    """Settings of :class:`Predictor`.

    Parameters
    ----------
    max_kinds : int
        Pairs of service and kind that are remembered; the least recently used is dropped.
    half_life : timedelta
        Age at which an observation counts half.
    initial : timedelta
        Prediction for a kind without observation or declared size.
    high_quantile : float
        Quantile of :meth:`Predictor.predict_high`, from 0 to 1.
    """

    max_kinds: int = 512
    half_life: timedelta = timedelta(seconds=60)
    initial: timedelta = timedelta(seconds=0.1)
    high_quantile: float = 0.95


DEFAULT_SETTINGS = PredictionSettings()


class _Sketch:
    """Decayed histogram of positive numbers with logarithmic buckets."""

    def __init__(self) -> None:
        self.count = 0
        self._weights: dict[int, float] = {}
        self._total = self._sum = 0.0
        self._stale = 0
        self._quantiles: dict[float, float] = {}
        self._times: dict[float, timedelta] = {}

    def add(self, value: float, weight: float) -> None:
        bucket = round(math.log2(max(value, SHORTEST_S)) * BUCKETS_PER_DOUBLING)
        self._weights[bucket] = self._weights.get(bucket, 0.0) + weight
        self._total += weight
        self._sum += weight * value
        self.count += 1
        self._stale += 1
        # Sorting the buckets for each observation would dominate the cost of a request.
        if self._stale > min(self.count // 8, 32):
            self._quantiles.clear()
            self._times.clear()
            self._stale = 0

    def scale(self, factor: float) -> None:
        kept = {bucket: weight * factor for bucket, weight in self._weights.items()}
        self._weights = {bucket: weight for bucket, weight in kept.items() if weight > 1e-9}
        self._total = sum(self._weights.values())
        self._sum *= factor

    def mean(self) -> float:
        return self._sum / self._total

    def quantile(self, share: float) -> float:
        found = self._quantiles.get(share)
        if found is None:
            found = self._quantiles[share] = self._find_quantile(share)
        return found

    def quantile_time(self, share: float) -> timedelta:
        """Returns a quantile of a sketch of seconds as a time, which is costly to build."""
        found = self._times.get(share)
        if found is None:
            found = self._times[share] = timedelta(seconds=self.quantile(share))
        return found

    def _find_quantile(self, share: float) -> float:
        left = share * self._total
        bucket = 0
        for bucket in sorted(self._weights):  # noqa: B007
            left -= self._weights[bucket]
            if left <= 0:
                break
        return 2 ** (bucket / BUCKETS_PER_DOUBLING)


class _Kind:
    """What is known of the requests of one service and kind."""

    def __init__(self) -> None:
        self.durations = _Sketch()
        self.ratios = _Sketch()
        self.plain_error = 0.0
        self.declared_error = 0.0

    def note_errors(self, duration: float, declared: float) -> None:
        """Updates the mean logarithmic error of both ways to predict, decayed by count."""
        if not self.ratios.count:
            return
        plain = abs(math.log(duration / self.durations.quantile(0.5)))
        corrected = abs(math.log(duration / (declared * self.ratios.quantile(0.5))))
        self.plain_error += 0.05 * (plain - self.plain_error)
        self.declared_error += 0.05 * (corrected - self.declared_error)

    def trusts_declared(self) -> bool:
        return self.ratios.count > 0 and self.declared_error < self.plain_error


class Predictor:
    """Predicts run times by service and kind.

    A declared size stands alone only until the kind has been observed. Later it is multiplied by
    the median of observed through declared, and used only while that predicts better than the
    median of the observed run times.

    Parameters
    ----------
    clock : Clock
    settings : PredictionSettings

    Examples
    --------
    >>> from datetime import timedelta
    >>> from carawayshore.testing import ManualClock
    >>> predictor = Predictor(ManualClock())
    >>> predictor.predict("booking", "GET /slots", timedelta(seconds=3))
    datetime.timedelta(seconds=3)
    >>> for _ in range(20):
    ...     predictor.observe("booking", "GET /slots", timedelta(seconds=0.25))
    >>> predictor.predict("booking", "GET /slots", timedelta(seconds=3))
    datetime.timedelta(microseconds=250000)
    """

    def __init__(self, clock: Clock, settings: PredictionSettings = DEFAULT_SETTINGS) -> None:
        self._clock = clock
        self._settings = settings
        self._kinds: OrderedDict[tuple[str, str], _Kind] = OrderedDict()
        self._epoch = clock.elapsed()

    def __len__(self) -> int:
        return len(self._kinds)

    def _weigh(self) -> float:
        """Returns the weight of an observation made now; it doubles with each half-life."""
        now = self._clock.elapsed()
        weight = 2 ** min((now - self._epoch) / self._settings.half_life, 1000)
        if weight < RENORMALISE_AT:
            return weight
        for key, kind in list(self._kinds.items()):
            for sketch in (kind.durations, kind.ratios):
                sketch.scale(1 / weight)
            if not kind.durations._total:
                del self._kinds[key]
        self._epoch = now
        return 1.0

    def _predict_quantile(
        self, service: str, kind: str, declared: timedelta | None, share: float
    ) -> timedelta:
        known = self._kinds.get((service, kind))
        if known is None:
            return declared if declared else self._settings.initial
        if declared and known.trusts_declared():
            return declared * known.ratios.quantile(share)
        return known.durations.quantile_time(share)

    def predict(self, service: str, kind: str, declared: timedelta | None = None) -> timedelta:
        """Returns the median run time to expect.

        Parameters
        ----------
        service, kind : str
        declared : timedelta, optional
            Run time that the caller declared.
        """
        return self._predict_quantile(service, kind, declared, 0.5)

    def predict_high(self, service: str, kind: str, declared: timedelta | None = None) -> timedelta:
        """Returns the high quantile of the run time."""
        return self._predict_quantile(service, kind, declared, self._settings.high_quantile)

    def predict_mean(self, service: str, kind: str, declared: timedelta | None = None) -> timedelta:
        """Returns the mean run time, which includes the cost of rare long runs."""
        known = self._kinds.get((service, kind))
        if known is None:
            return declared if declared else self._settings.initial
        if declared and known.trusts_declared():
            return declared * known.ratios.mean()
        return timedelta(seconds=known.durations.mean())

    def observe(
        self, service: str, kind: str, duration: timedelta, declared: timedelta | None = None
    ) -> None:
        """Takes note of a run time, and of the size declared for it if there was one."""
        weight = self._weigh()
        key = (service, kind)
        known = self._kinds.get(key)
        if known is None:
            known = self._kinds[key] = _Kind()
            if len(self._kinds) > self._settings.max_kinds:
                self._kinds.popitem(last=False)
        else:
            self._kinds.move_to_end(key)
        seconds = max(duration.total_seconds(), SHORTEST_S)
        if declared:
            promised = max(declared.total_seconds(), SHORTEST_S)
            known.note_errors(seconds, promised)
            known.ratios.add(seconds / promised, weight)
        known.durations.add(seconds, weight)
