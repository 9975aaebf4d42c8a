"""Which service and software version began a stream.

Engines of different software versions can't continue each other's streams, and don't check this.
A caller may resume a stream at any node, also after all nodes were lost, so nodes share what began
their streams, and keep it in the platform's store.
"""

from flamingoshelf.stream_origins._archive import OriginArchive
from flamingoshelf.stream_origins._origins import (
    OriginTable,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from flamingoshelf.stream_origins._service import OriginService

__all__ = [
    "OriginArchive",
    "OriginService",
    "OriginTable",
    "StreamOrigin",
    "StreamOrigins",
    "stream_key",
]
