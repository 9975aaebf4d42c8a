"""OpenTelemetry instruments of one node."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import Histogram, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["Instruments"]

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.47, 1.0, 2.5, 5.0, 10.0, 30.0)


class Instruments:
    """Counters, histograms and gauges by name, and the registry that collects them."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        views = [
            View(
                instrument_type=Histogram,
                instrument_name="*_seconds",
                aggregation=ExplicitBucketHistogramAggregation(_LATENCY_BUCKETS_S),
            )
        ]
        self._provider = MeterProvider(metric_readers=[reader], views=views)
        meter = self._provider.get_meter("flamingoshelf")
        self._counters = {
            name: meter.create_counter(f"flamingoshelf_{name}")
            for name in ("refusals", "retries", "events")
        }
        self._histograms = {
            name: meter.create_histogram(f"flamingoshelf_{name}_seconds")
            for name in ("first_token", "token_gap", "answer")
        }
        self._gauges = {
            name: meter.create_gauge(f"flamingoshelf_{name}")
            for name in ("plain_waiting", "plain_outstanding_seconds")
        }

    def add(self, counter: str, amount: int, labels: dict[str, str]) -> None:
        """Add to a counter."""
        self._counters[counter].add(amount, labels)

    def record(self, histogram: str, seconds: float, labels: dict[str, str]) -> None:
        """Record a value of a histogram."""
        self._histograms[histogram].record(seconds, labels)

    def set(self, gauge: str, value: float, labels: dict[str, str]) -> None:
        """Set a gauge."""
        self._gauges[gauge].set(value, labels)

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return generate_latest(self._registry)
