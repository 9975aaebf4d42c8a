"""Server selection and safe retries for plain services."""

from flamingoshelf.services._router import ServiceRouter

__all__ = ["ServiceRouter"]
