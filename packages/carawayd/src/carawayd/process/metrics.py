"""Counters and histograms of the process, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta

QUANTILES = (0.5, 0.9, 0.99, 0.999, 1.0)
MAX_MICROSECONDS = 24 * 3600 * 1_000_000


class Histogram:
    """HDR histograms of durations, one for each value of a label."""

    def __init__(self, name: str, help_text: str, label: str, *, max_labels: int = 64) -> None:
        self.name = name
        self._help = help_text
        self._label = label
        self._max_labels = max_labels
        self._by_label: dict[str, HdrHistogram] = {}

    def observe(self, label: str, duration: timedelta) -> None:
        """Records a duration; label values beyond ``max_labels`` are counted as ``other``."""
        histogram = self._by_label.get(label)
        if histogram is None:
            if len(self._by_label) >= self._max_labels:
                label = "other"
            histogram = self._by_label.setdefault(label, HdrHistogram(1, MAX_MICROSECONDS, 2))
        histogram.record_value(max(1, int(duration.total_seconds() * 1e6)))

    def read_quantile(self, label: str, quantile: float) -> float:
        """Returns a quantile in seconds, 0 if nothing was recorded."""
        histogram = self._by_label.get(label)
        return histogram.get_value_at_percentile(quantile * 100) / 1e6 if histogram else 0.0

    def collect(self) -> Iterator[SummaryMetricFamily]:
        family = SummaryMetricFamily(self.name, self._help, labels=[self._label, "quantile"])
        for label, histogram in sorted(self._by_label.items()):
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / 1e6
            family.add_sample(f"{self.name}_count", {self._label: label}, count)
            family.add_sample(f"{self.name}_sum", {self._label: label}, total)
            for quantile in QUANTILES:
                labels = {self._label: label, "quantile": str(quantile)}
                family.add_sample(self.name, labels, self.read_quantile(label, quantile))
        yield family


class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._add_counter(
            "caraway_requests", "Requests by service and outcome.", "service", "outcome"
        )
        self.refusals = self._add_counter(
            "caraway_refusals", "Requests refused as not run, by reason.", "service", "reason"
        )
        self.caller_refusals = self._add_counter(
            "caraway_caller_refusals",
            "Connections of callers closed before their request was handled, by reason.",
            "reason",
        )
        self.retries = self._add_counter("caraway_retries", "Retries by reason.", "reason")
        self.silent_connections = self._add_counter(
            "caraway_silent_connections", "Connections found silent.", "target"
        )
        self.records = self._add_counter(
            "caraway_records", "Log records by stream and result.", "stream", "result"
        )
        self.appends = self._add_counter(
            "caraway_appends", "Appends by stream and result.", "stream", "result"
        )
        self.frames = self._add_counter(
            "caraway_peer_frames", "Peer frames by type and result.", "type", "result"
        )
        self.moves = self._add_counter("caraway_host_moves", "Finished moves by reason.", "reason")
        self.lending = self._add_counter(
            "caraway_lending_moves", "Moves started by lending, by reason.", "reason"
        )
        self.spare_idle = self._add_counter(
            "caraway_spare_idle_slot_seconds",
            "Idle slots of spare hosts over time, by the pool that they serve; "
            "counted by the holder of the claim fleet.",
            "pool",
        )
        self.short_blocked = self._add_counter(
            "caraway_short_blocked_seconds",
            "Time that short requests waited while long ones ran, summed over the requests.",
            "pool",
        )
        self.key_claims = self._add_counter(
            "caraway_key_claims", "Claims of idempotency keys by decision.", "decision"
        )
        self.version = Gauge(
            "caraway_configuration_version", "Version in force.", registry=self.registry
        )
        self.wait = self._add_histogram(
            "caraway_wait_seconds", "Wait for a slot by class.", "request_class"
        )
        self.latency = self._add_histogram(
            "caraway_latency_seconds", "Time to the whole answer by service.", "service"
        )
        self.rollout = self._add_histogram(
            "caraway_rollout_seconds", "From publishing to in force at all members.", "scope"
        )

    def _add_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(name, help_text, labels, registry=self.registry)

    def _add_histogram(self, name: str, help_text: str, label: str) -> Histogram:
        histogram = Histogram(name, help_text, label)
        self.registry.register(histogram)
        return histogram

    def format_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
