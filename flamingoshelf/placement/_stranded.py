"""Streams that no engine in use can continue, as none of their software version decodes."""

from collections import Counter
from collections.abc import Iterable

import attrs

from flamingoshelf.placement._decisions import ActiveTurn
from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._queue import QueuedRequest
from flamingoshelf.placement._role_changes import LeftEngine

__all__ = ["StrandedStreams"]

_MAX_REFUSED = 4096  # more streams than an engine that crashes has
# Crashed engines come back within about 4 s, mostly with the version that they had.
_RETURN_TIME_S = 5.0


@attrs.frozen(kw_only=True)
class _RefusedStream:
    version: str
    deadline_s: float


class StrandedStreams:
    """Counts, for each software version, streams that only a change of an engine's role can save.

    These are the runs at leaving engines that will last longer than their engine serves, and the
    streams whose callers want to go on after they were broken off.

    Parameters
    ----------
    engines : EngineTable
        Engines of the service.
    """

    def __init__(self, *, engines: EngineTable) -> None:
        self._engines = engines
        self._refused: dict[str, _RefusedStream] = {}  # by content, so that each counts once

    def record_refusal(self, queued: QueuedRequest) -> None:
        """Record a stream that was refused for lack of an engine of its version."""
        self._refused.pop(queued.request.content, None)
        self._refused[queued.request.content] = _RefusedStream(
            version=queued.request.version, deadline_s=queued.deadline_s
        )
        if len(self._refused) > _MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def count(
        self,
        turns: Iterable[ActiveTurn],
        waiting: Iterable[QueuedRequest],
        *,
        now_s: float,
        drain_s: float,
    ) -> dict[str, int]:
        """Return the number of such streams, by version.

        Only streams count whose callers still wait when a change of a role that begins now is
        done. `drain_s` is the time for which a leaving engine serves.
        """
        done_s = now_s + self._engines.role_change_s
        self._refused = {
            content: stream
            for content, stream in self._refused.items()
            if stream.deadline_s > done_s
        }
        counts = Counter(
            left.engine.software_version
            for turn in turns
            if (left := self._engines.left_engine(turn.decode_id)) is not None
            and self._outlives(turn, left, now_s=now_s, drain_s=drain_s)
            and not turn.ends_before(done_s)
        )
        broken = Counter(stream.version for stream in self._refused.values())
        broken.update(q.request.version for q in waiting if q.deadline_s > done_s)
        for version, number in broken.items():
            if version and not self._may_return(version, now_s):
                counts[version] += number
        return {
            version: number
            for version, number in counts.items()
            if not self._engines.keeps_version(version)
        }

    def _outlives(
        self, turn: ActiveTurn, left: LeftEngine, *, now_s: float, drain_s: float
    ) -> bool:
        """Return whether a run is expected to last longer than its leaving engine serves."""
        tracker = self._engines.decode_tracker(left.engine.key)
        remaining_s = tracker.remaining_s(turn.request.turn_id, now_s)
        return remaining_s is None or now_s + remaining_s > left.since_s + drain_s

    def _may_return(self, version: str, now_s: float) -> bool:
        """Return whether an engine of a version has left so lately that it may have crashed."""
        return any(
            now_s - left.since_s < _RETURN_TIME_S for left in self._engines.left_decodes(version)
        )
