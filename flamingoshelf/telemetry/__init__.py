"""Logs with loguru and metrics with OpenTelemetry."""

from flamingoshelf.telemetry._bounded_output import BoundedOutput, configure_bounded_logging
from flamingoshelf.telemetry._logging import configure_logging
from flamingoshelf.telemetry._metrics import Metrics

__all__ = ["BoundedOutput", "Metrics", "configure_bounded_logging", "configure_logging"]
