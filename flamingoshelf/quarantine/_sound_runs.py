"""Keys of requests that servers have begun to answer lately."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from flamingoshelf.utils import now_s

__all__ = ["AnswerTime", "SoundRuns"]

_RETENTION_S = 5.0  # longer than a crash takes to be noticed and reported


@attrs.frozen(kw_only=True)
class AnswerTime:
    """Time of an answer in seconds: when it began, and until when it is known to have gone on."""

    began_s: float
    until_s: float


@attrs.define(kw_only=True)
class _Runs:
    began_s: float
    running: int = 0
    ended_s: float = 0.0


class SoundRuns:
    """Keys of the requests whose answers this node receives, or received until lately.

    Examples
    --------
    >>> import asyncio
    >>> async def example():
    ...     runs = SoundRuns()
    ...     runs.record_begin(["a"])
    ...     return runs.last_answer("a") is not None, runs.last_answer("b")
    >>> asyncio.run(example())
    (True, None)
    """

    def __init__(self) -> None:
        self._runs: dict[str, _Runs] = {}
        self._ended: OrderedDict[str, float] = OrderedDict()

    def record_begin(self, keys: Iterable[str]) -> None:
        """Record that a request with these keys is being answered."""
        now = now_s()
        for key in keys:
            runs = self._runs.setdefault(key, _Runs(began_s=now))
            runs.began_s = now
            runs.running += 1

    def record_end(self, keys: Iterable[str]) -> None:
        """Record the end of an answer whose begin was recorded."""
        now = now_s()
        for key in keys:
            runs = self._runs[key]
            runs.running -= 1
            runs.ended_s = now
            self._ended[key] = now
            self._ended.move_to_end(key)
        self._forget(now - _RETENTION_S)

    def last_answer(self, key: str) -> AnswerTime | None:
        """Return the time of the last answers to requests with `key`, or None."""
        runs = self._runs.get(key)
        if runs is None:
            return None
        until_s = now_s() if runs.running else runs.ended_s
        return AnswerTime(began_s=runs.began_s, until_s=until_s)

    def _forget(self, before_s: float) -> None:
        while self._ended:
            key, ended_s = next(iter(self._ended.items()))
            if ended_s >= before_s:
                return
            del self._ended[key]
            if not self._runs[key].running:
                del self._runs[key]
