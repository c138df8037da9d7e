"""Prediction of run times from observed run times, with declared sizes as a prior."""

from __future__ import annotations

import math
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.clock import Clock

BUCKETS_PER_DOUBLING = 8  # Adjacent buckets differ by 9 %.
MIN_SECONDS = 1e-4  # Shorter run times count as this.
RENORMALISE_WEIGHT = 1e12  # Weights grow with time; this is far below the largest float.


class PredictionSettings(NamedTuple):
    """Settings of :class:`Predictor`.

    Parameters
    ----------
    max_kinds : int
        Maximum number of (service, kind) pairs with a history; the least recently used is evicted.
    half_life : timedelta
        Age at which the weight of an observation has halved.
    initial : timedelta
        Prediction for a kind without observations or declared size.
    high_quantile : float
        Quantile returned by :meth:`Predictor.predict_high`, from 0 to 1.
    """

    max_kinds: int = 512
    half_life: timedelta = timedelta(seconds=60)
    initial: timedelta = timedelta(seconds=0.1)
    high_quantile: float = 0.95


DEFAULT_SETTINGS = PredictionSettings()


class _HistogramSketch:
    """Exponentially decayed histogram of positive numbers with logarithmic buckets."""

    def __init__(self) -> None:
        self.count = 0
        self._weights: dict[int, float] = {}
        self._total = self._sum = 0.0
        self._count_since_clear = 0
        self._quantiles: dict[float, float] = {}
        self._times: dict[float, timedelta] = {}

    def add(self, value: float, weight: float) -> None:
        bucket = round(math.log2(max(value, MIN_SECONDS)) * BUCKETS_PER_DOUBLING)
        self._weights[bucket] = self._weights.get(bucket, 0.0) + weight
        self._total += weight
        self._sum += weight * value
        self.count += 1
        self._count_since_clear += 1
        # Quantiles are cached: sorting the buckets for each observation would dominate the cost of
        # a request.
        if self._count_since_clear > min(self.count // 8, 32):
            self._quantiles.clear()
            self._times.clear()
            self._count_since_clear = 0

    def scale(self, factor: float) -> None:
        kept = {bucket: weight * factor for bucket, weight in self._weights.items()}
        self._weights = {bucket: weight for bucket, weight in kept.items() if weight > 1e-9}
        self._total = sum(self._weights.values())
        self._sum *= factor

    def mean(self) -> float:
        return self._sum / self._total

    def quantile(self, share: float) -> float:
        cached = self._quantiles.get(share)
        if cached is None:
            cached = self._quantiles[share] = self._find_quantile(share)
        return cached

    def quantile_time(self, share: float) -> timedelta:
        """Returns a quantile of a sketch of seconds as a cached timedelta, costly to construct."""
        cached = self._times.get(share)
        if cached is None:
            cached = self._times[share] = timedelta(seconds=self.quantile(share))
        return cached

    def _find_quantile(self, share: float) -> float:
        left = share * self._total
        bucket = 0
        for bucket in sorted(self._weights):  # noqa: B007
            left -= self._weights[bucket]
            if left <= 0:
                break
        return 2 ** (bucket / BUCKETS_PER_DOUBLING)


class _KindHistory:
    """History of the requests of one service and kind."""

    def __init__(self) -> None:
        self.durations = _HistogramSketch()
        self.ratios = _HistogramSketch()
        self.observed_error = 0.0
        self.declared_error = 0.0

    def update_errors(self, duration: float, declared: float) -> None:
        """Updates the moving averages of the logarithmic error of both prediction methods."""
        if not self.ratios.count:
            return
        observed = abs(math.log(duration / self.durations.quantile(0.5)))
        corrected = abs(math.log(duration / (declared * self.ratios.quantile(0.5))))
        self.observed_error += 0.05 * (observed - self.observed_error)
        self.declared_error += 0.05 * (corrected - self.declared_error)

    def prefers_declared(self) -> bool:
        return self.ratios.count > 0 and self.declared_error < self.observed_error


class Predictor:
    """Predicts run times by service and kind.

    A declared size is used unchanged only until the kind has been observed. After that it is
    multiplied by the median ratio of observed to declared run times, and used only while this
    predicts better than the median of the observed run times.

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
        self._kinds: OrderedDict[tuple[str, str], _KindHistory] = OrderedDict()
        self._epoch = clock.elapsed()

    def __len__(self) -> int:
        return len(self._kinds)

    def _weigh_observation(self) -> float:
        """Returns the weight of a new observation, which doubles with each half-life.

        Rescales all weights before they grow too large.
        """
        now = self._clock.elapsed()
        weight = 2 ** min((now - self._epoch) / self._settings.half_life, 1000)
        if weight < RENORMALISE_WEIGHT:
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
        history = self._kinds.get((service, kind))
        if history is None:
            return declared if declared else self._settings.initial
        if declared and history.prefers_declared():
            return declared * history.ratios.quantile(share)
        return history.durations.quantile_time(share)

    def predict(self, service: str, kind: str, declared: timedelta | None = None) -> timedelta:
        """Returns the predicted median run time.

        Parameters
        ----------
        service, kind : str
        declared : timedelta, optional
            Run time that the caller declared.
        """
        return self._predict_quantile(service, kind, declared, 0.5)

    def predict_high(self, service: str, kind: str, declared: timedelta | None = None) -> timedelta:
        """Returns the high quantile of the predicted run time."""
        return self._predict_quantile(service, kind, declared, self._settings.high_quantile)

    def predict_mean(self, service: str, kind: str, declared: timedelta | None = None) -> timedelta:
        """Returns the predicted mean run time, which includes rare long runs."""
        history = self._kinds.get((service, kind))
        if history is None:
            return declared if declared else self._settings.initial
        if declared and history.prefers_declared():
            return declared * history.ratios.mean()
        return timedelta(seconds=history.durations.mean())

    def observe(
        self, service: str, kind: str, duration: timedelta, declared: timedelta | None = None
    ) -> None:
        """Records an observed run time and its declared size, if any."""
        weight = self._weigh_observation()
        key = (service, kind)
        history = self._kinds.get(key)
        if history is None:
            history = self._kinds[key] = _KindHistory()
            if len(self._kinds) > self._settings.max_kinds:
                self._kinds.popitem(last=False)
        else:
            self._kinds.move_to_end(key)
        seconds = max(duration.total_seconds(), MIN_SECONDS)
        if declared:
            declared_seconds = max(declared.total_seconds(), MIN_SECONDS)
            history.update_errors(seconds, declared_seconds)
            history.ratios.add(seconds / declared_seconds, weight)
        history.durations.add(seconds, weight)
