"""HTTP clients of the platform's object service and VM list."""

from flamingoshelf.object_service._object_service import MAX_VALUE_BYTES, HttpObjectService
from flamingoshelf.object_service._vm_list import HttpVmList

__all__ = ["HttpObjectService", "HttpVmList", "MAX_VALUE_BYTES"]
