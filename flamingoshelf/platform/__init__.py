"""Adapter that runs the gateway on the deployment platform.

It only translates names, formats and calls of the platform and contains no decision logic.
`python -m flamingoshelf.platform` runs a gateway node.
"""

import flamingoshelf.platform._unused_libraries  # noqa: F401  # before what imports these
from flamingoshelf.platform._configuration import decode_configuration
from flamingoshelf.platform._configuration_checks import (
    CheckedDocument,
    check_document,
    read_document,
)
from flamingoshelf.platform._instances import decode_instance
from flamingoshelf.platform._settings_file import check_settings, load_settings
from flamingoshelf.platform._store import PlatformStore
from flamingoshelf.platform._wire import PlatformWire

__all__ = [
    "CheckedDocument",
    "PlatformStore",
    "PlatformWire",
    "check_document",
    "check_settings",
    "decode_configuration",
    "decode_instance",
    "load_settings",
    "read_document",
]
