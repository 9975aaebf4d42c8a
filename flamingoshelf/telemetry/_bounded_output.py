"""Log output as JSON lines that never blocks the event loop."""

import json
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

__all__ = ["BoundedOutput", "configure_bounded_logging"]

_MAX_LINES_PER_S = 400  # about 100 kB a second at the usual line length
_BURST_LINES = 2000  # five seconds at the rate; startup or an outage writes hundreds
_MAX_PENDING_LINES = 4000  # lines buffered while the output is full, about 1 MB


class BoundedOutput:
    """Writes log lines to a file descriptor without blocking.

    Lines above the rate limit, and lines that arrive while the buffer is full, are dropped; the
    next line that is written states how many.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._tokens = float(_BURST_LINES)
        self._refilled_at_s = time.monotonic()
        self._unreported_dropped_lines = 0
        self._total_dropped_lines = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped so far."""
        return self._total_dropped_lines

    def write(self, message: "Message") -> None:
        """Write one log record, or drop it if the rate limit or the buffer is exhausted."""
        if not self._take_token() or len(self._pending) >= _MAX_PENDING_LINES:
            self._unreported_dropped_lines += 1
            self._total_dropped_lines += 1
            return
        self._pending.append(self._encode(message.record))
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                self._pending.clear()  # the output is closed
                return
            if written < len(line):
                self._pending.appendleft(line[written:])
                return

    def _take_token(self) -> bool:
        now = time.monotonic()
        refilled = (now - self._refilled_at_s) * _MAX_LINES_PER_S
        self._tokens = min(float(_BURST_LINES), self._tokens + refilled)
        self._refilled_at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _encode(self, record: Any) -> bytes:
        document = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "message": record["message"],
            **{name: value for name, value in record["extra"].items() if value is not None},
        }
        error = record["exception"]
        if error is not None:
            document["error"] = repr(error.value)
            document["where"] = _innermost_frame(error.traceback)
        if self._unreported_dropped_lines:
            document["dropped_lines"] = self._unreported_dropped_lines
            self._unreported_dropped_lines = 0
        return (json.dumps(document, default=str) + "\n").encode()


def configure_bounded_logging(*, node_name: str, level: str) -> BoundedOutput:
    """Send the logs of this process to standard output, one JSON document a line.

    Parameters
    ----------
    node_name : str
        Name that every line carries.
    level : str
        Lowest level that is logged.
    """
    output = BoundedOutput(descriptor=1)
    logger.remove()
    logger.configure(extra={"node": node_name})
    logger.add(output.write, level=level, format="{message}", catch=True)
    return output


def _innermost_frame(traceback: Any) -> str:
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return ""
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
