"""Health of engines, from failed calls and health probes."""

from enum import StrEnum

import attrs
from loguru import logger

__all__ = ["FailureKind", "HealthTracker"]

_PROBE_INTERVAL_S = 0.3  # about the timeout of a probe
# An engine that is down gets work again after this time if it isn't probed.
_UNPROBED_RETRY_S = 3.0
# Weight of one call in the failure rate of an engine, and the half-life of the rate.
_CALL_WEIGHT = 0.25
_FAILURE_RATE_HALF_LIFE_S = 4.0  # failures at the reference sites last about 4 s
# Failure rates from which an engine is used only if engines of better tiers have no room.
_DEGRADED_FAILURE_RATE = 0.2
_BAD_FAILURE_RATE = 0.45  # half of the calls fail in the worst failures at the reference sites
# Time for which a silent engine that is down is expected back; such silences last a second or two.
_EXPECTED_BACK_S = 1.0
_LOST_AFTER_S = 2.0  # longer than the silences of sound engines
_SLOW_PROBE_S = 0.1  # a probe that takes longer was sent during a silence; most take milliseconds


class FailureKind(StrEnum):
    """How an engine failed a call."""

    UNREACHABLE = "unreachable"  # no connection
    BROKE_OFF = "broke_off"  # the connection ended before the answer did
    SILENT = "silent"  # the connection is open, but no data arrives
    REPLACED = "replaced"  # another engine answers at its address


@attrs.define(kw_only=True)
class _EngineHealth:
    rate: float = 0.0
    updated_s: float = 0.0
    is_down: bool = False
    is_suspected: bool = False
    is_replaced: bool = False
    probe_at_s: float = 0.0
    down_since_s: float = 0.0  # last seen to be down
    first_down_s: float = 0.0  # since when it has been down
    answered_s: float = float("-inf")  # time of the last answer to a call or a probe
    silent_since_s: float | None = None  # set while it is down as it answers no probe
    earlier_rate: float | None = None  # before the failures since the last answer, if there are any


class HealthTracker:
    """Health of engines by key.

    An unreachable engine is down until a probe succeeds. A replaced engine, whose address belongs
    to another one, is down until `remove` is called, as it stays listed for several seconds. An
    engine that breaks off answers or stalls is suspected: it is probed, and used after others. The
    failure rate puts engines into tiers, so that an engine that fails some calls gets less work.

    A silence ends many calls at once. So calls that break off count once until the engine answers
    again, and not at all if probes show that it was silent: then it was down meanwhile.
    """

    def __init__(self) -> None:
        self._records: dict[str, _EngineHealth] = {}

    def is_down(self, key: str, now_s: float) -> bool:
        """Return whether an engine is down and must get no work."""
        record = self._records.get(key)
        if record is None or not record.is_down:
            return False
        return record.is_replaced or now_s < record.down_since_s + _UNPROBED_RETRY_S

    def is_lost(self, key: str, now_s: float) -> bool:
        """Return whether an engine has been down for longer than sound engines are silent."""
        record = self._records.get(key)
        return (
            record is not None and record.is_down and now_s >= record.first_down_s + _LOST_AFTER_S
        )

    def is_suspected(self, key: str) -> bool:
        """Return whether an engine failed a call and has neither run one nor answered since."""
        record = self._records.get(key)
        return record is not None and record.is_suspected

    def is_expected_back(self, key: str, now_s: float) -> bool:
        """Return whether an engine is down for a moment only, as it answers no probe."""
        record = self._records.get(key)
        if record is None or record.is_replaced or record.silent_since_s is None:
            return False
        return now_s < record.silent_since_s + _EXPECTED_BACK_S

    def tier(self, key: str, now_s: float) -> int:
        """Return the tier: 0 healthy, 1 degraded by its failure rate or suspected, 2 bad."""
        record = self._records.get(key)
        if record is None:
            return 0
        rate = _decayed_rate(record, now_s)
        if rate >= _BAD_FAILURE_RATE:
            return 2
        return 1 if rate >= _DEGRADED_FAILURE_RATE or record.is_suspected else 0

    def record_failure(
        self, key: str, kind: FailureKind, *, now_s: float, detail: str, reporter: str = ""
    ) -> None:
        """Record a failed call; `reporter` is the node that made it."""
        record = self._records.setdefault(key, _EngineHealth(updated_s=now_s))
        if kind is FailureKind.REPLACED:
            self._mark_replaced(record, key, now_s)
            return
        if kind is not FailureKind.SILENT:  # a stalled call counts once it ends
            _count_failure(record, kind, now_s)
        if not record.is_suspected and not record.is_down:
            record.probe_at_s = now_s
        record.is_suspected = True
        if kind is FailureKind.UNREACHABLE:
            record.silent_since_s = None
        if kind is FailureKind.UNREACHABLE and not record.is_down:
            self._mark_down(record, key, now_s, detail, reporter=reporter)
        logger.bind(
            step="engine",
            peer=key,
            reporter=reporter,
            kind=kind.value,
            rate=round(record.rate, 2),
            is_down=record.is_down,
        ).info("engine call failed: {}", detail)

    def record_success(self, key: str, *, now_s: float) -> None:
        """Record a successful call."""
        record = self._records.get(key)
        if record is None:
            return
        record.answered_s = now_s
        record.earlier_rate = None
        _update_rate(record, 0.0, now_s)
        self._mark_up(record, key)

    def record_first_event(self, key: str, *, now_s: float) -> None:
        """Record the first event of a run, which ends a silence of its engine.

        The message may be late, so the engine is still probed, and stays down if it is unreachable.
        """
        record = self._records.get(key)
        if record is None:
            return
        record.answered_s = now_s
        record.earlier_rate = None
        if record.silent_since_s is not None and not record.is_replaced:
            record.is_down = False
            record.silent_since_s = None
            logger.bind(step="engine", peer=key).info("engine marked up by a first event")

    def due_probes(self, now_s: float) -> list[str]:
        """Return the engines to probe now and schedule their next probes."""
        due = [
            key
            for key, record in self._records.items()
            if (record.is_suspected or record.is_down)
            and not record.is_replaced
            and record.probe_at_s <= now_s
        ]
        for key in due:
            self._records[key].probe_at_s = now_s + _PROBE_INTERVAL_S
        return due

    def record_probe(
        self, key: str, *, is_answered: bool, now_s: float, seconds: float = 0.0
    ) -> None:
        """Record the result of a probe, which took `seconds`.

        A failure is ignored if the engine has answered anything else meanwhile.
        """
        record = self._records.get(key)
        if record is None or (not is_answered and record.answered_s > now_s - seconds):
            return
        if not is_answered or seconds > _SLOW_PROBE_S:
            _forget_failures(record, now_s)
        if is_answered:
            record.answered_s = now_s
            record.earlier_rate = None
            self._mark_up(record, key)
        elif record.is_down:
            record.down_since_s = now_s
        else:
            self._mark_down(record, key, now_s, "a probe failed")
            if seconds > _SLOW_PROBE_S:  # it was not refused, as by an engine that has crashed
                record.silent_since_s = now_s

    def remove(self, key: str) -> None:
        """Drop the record of an engine, as when it is no longer listed."""
        self._records.pop(key, None)

    def _mark_down(
        self, record: _EngineHealth, key: str, now_s: float, detail: str, *, reporter: str = ""
    ) -> None:
        record.is_down = True
        record.down_since_s = record.first_down_s = now_s
        logger.bind(step="engine", peer=key, reporter=reporter).warning(
            "engine marked down: {}", detail
        )

    def _mark_replaced(self, record: _EngineHealth, key: str, now_s: float) -> None:
        if not record.is_replaced:
            logger.bind(step="engine", peer=key).warning(
                "engine marked down; replaced at its address"
            )
            record.first_down_s = now_s
        record.is_down = record.is_replaced = True

    def _mark_up(self, record: _EngineHealth, key: str) -> None:
        if record.is_replaced:
            return
        if record.is_down:
            logger.bind(step="engine", peer=key).info("engine marked up")
        record.is_down = False
        record.is_suspected = False
        record.silent_since_s = None


def _decayed_rate(record: _EngineHealth, now_s: float) -> float:
    """Return the failure rate of an engine after its decay since the last update."""
    return record.rate * 0.5 ** ((now_s - record.updated_s) / _FAILURE_RATE_HALF_LIFE_S)


def _count_failure(record: _EngineHealth, kind: FailureKind, now_s: float) -> None:
    """Add a failed call to the failure rate, unless it ended with others in one silence."""
    if kind is not FailureKind.BROKE_OFF:
        record.earlier_rate = None
    elif record.silent_since_s is not None or record.earlier_rate is not None:
        return
    else:
        record.earlier_rate = _decayed_rate(record, now_s)
    _update_rate(record, 1.0, now_s)


def _forget_failures(record: _EngineHealth, now_s: float) -> None:
    """Restore the failure rate from before a silence."""
    if record.earlier_rate is not None:
        record.rate = min(record.earlier_rate, _decayed_rate(record, now_s))
        record.updated_s = now_s


def _update_rate(record: _EngineHealth, failed: float, now_s: float) -> None:
    """Add a call to the failure rate; `failed` is 1 for a failed call and 0 for a success."""
    rate = _decayed_rate(record, now_s)
    record.rate = rate + _CALL_WEIGHT * (failed - rate)
    record.updated_s = now_s
