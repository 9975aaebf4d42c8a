"""Quarantine of request contents that crash engines."""

from flamingoshelf.quarantine._quarantine import ContentGuard, Quarantine, content_digest
from flamingoshelf.quarantine._service import QuarantineService

__all__ = ["ContentGuard", "Quarantine", "QuarantineService", "content_digest"]
