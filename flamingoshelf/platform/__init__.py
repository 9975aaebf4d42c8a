"""The platform as a peer: its object service and its VM list."""

from flamingoshelf.platform._object_service import MAX_VALUE_BYTES, HttpObjectService
from flamingoshelf.platform._vm_list import HttpVmList

__all__ = ["HttpObjectService", "HttpVmList", "MAX_VALUE_BYTES"]
