"""Paths from this node to the backend servers, and nodes that reach a server in its place.

What a node can't reach may be reached by others. So a failed call says something about the path
first, and about the server only if other nodes fail to reach it, too. See ``docs/design/paths.md``.
"""

from flamingoshelf.paths._messages import CheckServer, ServerChecked
from flamingoshelf.paths._service import PathService
from flamingoshelf.paths._table import PathState, PathTable
from flamingoshelf.paths._types import PathReports, ProbeResult

__all__ = [
    "CheckServer",
    "PathReports",
    "PathService",
    "PathState",
    "PathTable",
    "ProbeResult",
    "ServerChecked",
]
