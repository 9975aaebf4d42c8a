"""Which VMs belong to the fleet, which nodes answer, and which duties they have."""

from flamingoshelf.membership._membership import Membership
from flamingoshelf.membership._ownership import DUTY_PARTS, SlotTableOwnership
from flamingoshelf.membership._view import VmView

__all__ = ["DUTY_PARTS", "Membership", "SlotTableOwnership", "VmView"]
