"""Which VMs belong to the fleet and which duties they have."""

from flamingoshelf.membership._listed import ListedOwnership
from flamingoshelf.membership._view import VmView

__all__ = ["ListedOwnership", "VmView"]
