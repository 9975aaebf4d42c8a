"""Keys of requests that servers have begun to answer lately."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from flamingoshelf.utils import now_s

__all__ = ["AnswerTime", "RecentAnswers"]

_RETENTION_S = 5.0  # longer than a crash takes to be noticed and reported


@attrs.frozen(kw_only=True)
class AnswerTime:
    """Time of an answer in seconds: when it began, and until when it is known to have gone on."""

    began_s: float
    until_s: float


@attrs.define(kw_only=True)
class _Answers:
    began_s: float
    running: int = 0
    ended_s: float = 0.0


class RecentAnswers:
    """Keys of the requests whose answers this node receives, or received until lately.

    Examples
    --------
    >>> import asyncio
    >>> async def example():
    ...     answers = RecentAnswers()
    ...     answers.record_begin(["a"])
    ...     return answers.last("a") is not None, answers.last("b")
    >>> asyncio.run(example())
    (True, None)
    """

    def __init__(self) -> None:
        self._answers: dict[str, _Answers] = {}
        self._ended: OrderedDict[str, float] = OrderedDict()

    def record_begin(self, keys: Iterable[str]) -> None:
        """Record that a request with these keys is being answered."""
        now = now_s()
        for key in keys:
            answers = self._answers.setdefault(key, _Answers(began_s=now))
            answers.began_s = now
            answers.running += 1

    def record_end(self, keys: Iterable[str]) -> None:
        """Record the end of an answer whose begin was recorded."""
        now = now_s()
        for key in keys:
            answers = self._answers[key]
            answers.running -= 1
            answers.ended_s = now
            self._ended[key] = now
            self._ended.move_to_end(key)
        self._forget(now - _RETENTION_S)

    def last(self, key: str) -> AnswerTime | None:
        """Return the time of the last answers to requests with `key`, or None."""
        answers = self._answers.get(key)
        if answers is None:
            return None
        until_s = now_s() if answers.running else answers.ended_s
        return AnswerTime(began_s=answers.began_s, until_s=until_s)

    def _forget(self, before_s: float) -> None:
        while self._ended:
            key, ended_s = next(iter(self._ended.items()))
            if ended_s >= before_s:
                return
            del self._ended[key]
            if not self._answers[key].running:
                del self._answers[key]
