"""Counters and histograms of one node, with OpenTelemetry."""

from array import array
from typing import TYPE_CHECKING

from flamingoshelf.refusals import RefusalReason, RetryReason

if TYPE_CHECKING:
    from flamingoshelf.telemetry._instruments import Instruments

__all__ = ["Metrics"]

_MAX_PENDING_VALUES = 10_000  # of histograms, which take 8 bytes here and 5 us later each

_Series = tuple[str, tuple[tuple[str, str], ...]]  # name and labels


class Metrics:
    """All instruments of one node.

    The OpenTelemetry libraries take much of a node's memory and startup time, so they are imported
    when the metrics are read for the first time. Until then, counts are kept as sums and the values
    of histograms as they are, up to a number of them.

    Parameters
    ----------
    node_name : str
        Label of every series.
    """

    def __init__(self, *, node_name: str) -> None:
        self._labels = {"node": node_name}
        self._instruments: Instruments | None = None
        self._pending_counts: dict[_Series, int] = {}
        self._pending_values: dict[_Series, array[float]] = {}
        self._pending_size = 0  # values of all series

    def build(self) -> "Instruments":
        """Return the instruments; build them on the first call."""
        if self._instruments is None:
            from flamingoshelf.telemetry._instruments import Instruments

            self._instruments = Instruments()
            for (counter, labels), amount in self._pending_counts.items():
                self._instruments.add(counter, amount, dict(labels))
            for (histogram, labels), values in self._pending_values.items():
                for seconds in values:
                    self._instruments.record(histogram, seconds, dict(labels))
            self._pending_counts.clear()
            self._pending_values.clear()
        return self._instruments

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count one refusal."""
        self._add("refusals", 1, reason=reason.value)

    def count_retry(self, reason: RetryReason) -> None:
        """Count one retry."""
        self._add("retries", 1, reason=reason.value)

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count `amount` occurrences of `event`, a constant name such as ``"claims_taken"``."""
        self._add("events", amount, event=event)

    def record_first_token(self, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        self._record("first_token", seconds)

    def record_token_gap(self, seconds: float) -> None:
        """Record the mean time between the tokens of one answer."""
        self._record("token_gap", seconds)

    def record_answer(self, seconds: float, *, kind: str) -> None:
        """Record the time from a request's arrival to the end of its answer."""
        self._record("answer", seconds, kind=kind)

    def set_gauge(self, gauge: str, value: float, **labels: str) -> None:
        """Set a value that is replaced by later ones; one set before `build` is dropped."""
        if self._instruments is not None:
            self._instruments.set(gauge, value, {**self._labels, **labels})

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return self.build().render()

    def _add(self, counter: str, amount: int, **labels: str) -> None:
        all_labels = {**self._labels, **labels}
        if self._instruments is not None:
            self._instruments.add(counter, amount, all_labels)
            return
        series = (counter, tuple(all_labels.items()))
        self._pending_counts[series] = self._pending_counts.get(series, 0) + amount

    def _record(self, histogram: str, seconds: float, **labels: str) -> None:
        all_labels = {**self._labels, **labels}
        if self._instruments is None and self._pending_size >= _MAX_PENDING_VALUES:
            self.build()
        if self._instruments is not None:
            self._instruments.record(histogram, seconds, all_labels)
            return
        series = (histogram, tuple(all_labels.items()))
        self._pending_values.setdefault(series, array("d")).append(seconds)
        self._pending_size += 1
