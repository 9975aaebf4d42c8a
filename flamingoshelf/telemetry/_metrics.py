"""Counters and histograms of one node, by OpenTelemetry."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

from flamingoshelf.refusals import RefusalReason, RetryReason

__all__ = ["Metrics"]

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.47, 1.0, 2.5, 5.0, 10.0, 30.0)


class Metrics:
    """All instruments of one node.

    Parameters
    ----------
    node_name : str
        Label of every series.
    """

    def __init__(self, *, node_name: str) -> None:
        self._labels = {"node": node_name}
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        views = [
            View(
                instrument_name="*_seconds",
                aggregation=ExplicitBucketHistogramAggregation(_LATENCY_BUCKETS_S),
            )
        ]
        self._provider = MeterProvider(metric_readers=[reader], views=views)
        meter = self._provider.get_meter("flamingoshelf")
        self._refusals = meter.create_counter("flamingoshelf_refusals")
        self._retries = meter.create_counter("flamingoshelf_retries")
        self._events = meter.create_counter("flamingoshelf_events")
        self._first_token = meter.create_histogram("flamingoshelf_first_token_seconds")
        self._token_gap = meter.create_histogram("flamingoshelf_token_gap_seconds")

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count one refusal."""
        self._refusals.add(1, {**self._labels, "reason": reason.value})

    def count_retry(self, reason: RetryReason) -> None:
        """Count one retry."""
        self._retries.add(1, {**self._labels, "reason": reason.value})

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count `amount` occurrences of `event`, a constant name such as ``"claims_written"``."""
        self._events.add(amount, {**self._labels, "event": event})

    def record_first_token(self, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        self._first_token.record(seconds, self._labels)

    def record_token_gap(self, seconds: float) -> None:
        """Record the mean time between the tokens of one answer."""
        self._token_gap.record(seconds, self._labels)

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return generate_latest(self._registry)
