"""Clients of backend servers: model engines and plain services."""

from flamingoshelf.backends._engine import (
    DecodedToken,
    DecodeEnd,
    EngineClient,
    EngineLoad,
    HttpEngineClient,
    PrefillResult,
    PrefillTask,
)
from flamingoshelf.backends._plain import PlainCall, PlainReply, PlainServiceClient

__all__ = [
    "DecodeEnd",
    "DecodedToken",
    "EngineClient",
    "EngineLoad",
    "HttpEngineClient",
    "PlainCall",
    "PlainReply",
    "PlainServiceClient",
    "PrefillResult",
    "PrefillTask",
]
