"""Logs by loguru and metrics by OpenTelemetry."""

from flamingoshelf.telemetry._logging import configure_logging
from flamingoshelf.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logging"]
