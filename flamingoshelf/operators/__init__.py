"""HTTP endpoints for operators: health checks, metrics and status of a node."""

from flamingoshelf.operators._app import build_operator_app

__all__ = ["build_operator_app"]
