"""HTTP clients of this project's own object service and VM list.

The client of the deployment platform's store is in `flamingoshelf.platform`.
"""

from flamingoshelf.object_service._object_service import MAX_VALUE_BYTES, HttpObjectService
from flamingoshelf.object_service._vm_list import HttpVmList

__all__ = ["HttpObjectService", "HttpVmList", "MAX_VALUE_BYTES"]
