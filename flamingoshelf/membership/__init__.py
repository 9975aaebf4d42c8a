"""Fleet membership: listed VMs, failure detection, and the assignment of duties to nodes."""

from flamingoshelf.membership._membership import Membership
from flamingoshelf.membership._ownership import DUTY_PARTS, SlotTableOwnership
from flamingoshelf.membership._view import VmView

__all__ = ["DUTY_PARTS", "Membership", "SlotTableOwnership", "VmView"]
