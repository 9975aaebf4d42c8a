"""HTTP interface to callers: completions and plain services."""

from flamingoshelf.callers._admission import Admission
from flamingoshelf.callers._app import build_caller_app
from flamingoshelf.callers._completion_run import CompletionDependencies
from flamingoshelf.callers._completions import CompletionEndpoints
from flamingoshelf.callers._services import ServiceEndpoint

__all__ = [
    "Admission",
    "CompletionEndpoints",
    "CompletionDependencies",
    "ServiceEndpoint",
    "build_caller_app",
]
