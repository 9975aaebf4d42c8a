"""Choice among the servers of plain services, and safe retries."""

from flamingoshelf.services._router import ServiceRouter
from flamingoshelf.services._servers import EjectionRule, ServerBoard

__all__ = ["EjectionRule", "ServerBoard", "ServiceRouter"]
