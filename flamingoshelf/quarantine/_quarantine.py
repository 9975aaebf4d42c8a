"""Crashes of servers, and the contents that are refused for them."""

import hashlib
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs
from loguru import logger

from flamingoshelf.quarantine._attribution import (
    SUSPICION_LIFETIME_S,
    Culprit,
    attribute_crashes,
)
from flamingoshelf.quarantine._recent_answers import AnswerTime
from flamingoshelf.quarantine._reports import CrashReport, Suspect
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import now_s

__all__ = ["Quarantine"]

_EVIDENCE_LIFETIME_S = 3600.0  # of what is refused; several of the longest refusals
# Reports without the start of the run are of the same crash if they are closer than this.
_SAME_CRASH_WINDOW_S = 2.0
# An answer that began this long before a crash still shows that its keys didn't cause it.
_ANSWERED_BEFORE_CRASH_S = 1.0
# Old evidence from the store or from another node comes one crash after the other.
_MERGE_TIME_S = 5.0
_MAX_CRASHES = 512
_MAX_TABLE_KEYS = 16_384  # about 0.5 MB, so that a message holds the whole table
_MAX_SUSPECTS = 64  # of one crash
_MAX_LOGGED_KEYS = 64
_MAX_SHOWN_KEYS = 8  # to callers
_DIGEST_BYTES = 7  # so that the digest is a small integer in CBOR and JSON


@attrs.define(kw_only=True, eq=False)
class _Crash:
    server: str
    started_ms: int
    time_s: float
    suspects: set[Suspect] = attrs.field(factory=set)
    cleared: set[str] = attrs.field(factory=set)
    learned_s: float = attrs.field(factory=now_s)
    expires_s: float = float("inf")

    @property
    def key_count(self) -> int:
        """Number of keys that the record holds."""
        return sum(len(suspect.keys) for suspect in self.suspects) + len(self.cleared)

    @property
    def blamed(self) -> dict[str, float]:
        """Keys that may have caused the crash, each with the last time it was sent in seconds."""
        sent_s: dict[str, float] = {}
        for suspect in self.suspects:
            for key in suspect.keys:
                if key not in self.cleared:
                    sent_s[key] = max(
                        sent_s.get(key, float("-inf")), self.time_s - suspect.waited_s
                    )
        return sent_s


class Quarantine:
    """Table of crashes, and what they are attributed to.

    A server that crashes may have begun to answer one of several requests, each of which has
    several keys. All are suspected, until one of them has been suspected in more crashes than the
    others, or the others were answered elsewhere. Each node has its own table. Nodes exchange
    reports, which `merge` adds up in any order and however often they come.

    Parameters
    ----------
    lifted : callable
        Returns the keys whose quarantine operators have lifted.
    """

    def __init__(self, *, lifted: Callable[[], Collection[str]] = tuple) -> None:
        self._lifted = lifted
        self._crashes: list[_Crash] = []
        self._culprits: list[Culprit] = []
        self._suspected: set[str] = set()
        self._digest = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def digest(self) -> int:
        """Digest of the table, equal at nodes that know the same; 0 if it is empty."""
        self._drop_expired()
        return self._digest

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the table."""
        self._listeners.append(listener)

    def check(self, keys: Collection[str]) -> Refusal | None:
        """Return why a request with these keys is refused, or None if it may run."""
        if not self._crashes:
            return None
        self._drop_expired()
        having = set(keys)
        for culprit in self._refused():
            if culprit.keys <= having:
                return _refusal(culprit)
        return None

    def report_crash(
        self,
        server: str,
        suspects: Iterable[Suspect],
        *,
        started_ms: int = 0,
        age_s: float = 0.0,
    ) -> CrashReport | None:
        """Record the crash of a server; return what is new of it, or None.

        Parameters
        ----------
        server : str
            Server that crashed.
        suspects : iterable of Suspect
            Requests that it had not begun to answer.
        started_ms : int
            Unix time of the start of its run in milliseconds, 0 if unknown.
        age_s : float
            Seconds since the crash.
        """
        return self.merge(
            CrashReport(
                server=server,
                started_ms=started_ms,
                age_s=age_s,
                suspects=_without_repeats(suspects),
            )
        )

    def has_crash(self, server: str, started_ms: int) -> bool:
        """Return whether the crash of a run of a server is known."""
        return self._find(server, started_ms, now_s()) is not None

    def is_suspected(self, key: str) -> bool:
        """Return whether a key may have caused a crash."""
        return key in self._suspected

    def clear(self, answered: Mapping[str, AnswerTime]) -> list[CrashReport]:
        """Clear keys of the crashes that answers to requests with them outlived.

        An answer that began long before a crash says nothing: what is harmless may become harmful,
        as with new weights. A key that is refused by itself is only cleared of crashes before the
        answer began. Return what is new.
        """
        refused = {key for culprit in self._culprits for key in culprit.keys if culprit.is_one_key}
        until_s = {
            key: (
                answer.began_s
                if key in refused
                else min(answer.until_s, answer.began_s + _ANSWERED_BEFORE_CRASH_S)
            )
            for key, answer in answered.items()
        }
        news = []
        for crash in self._crashes:
            cleared = [k for k in crash.blamed if k in until_s and crash.time_s <= until_s[k]]
            if cleared:
                crash.cleared.update(cleared)
                news.append(_report(crash, cleared=cleared))
        if news:
            self._update()
        return news

    def merge(self, report: CrashReport) -> CrashReport | None:
        """Add a report; return what is new of it, or None."""
        if report.age_s >= _EVIDENCE_LIFETIME_S:
            return None
        self._drop_expired()
        time_s = now_s() - report.age_s
        known = self._find(report.server, report.started_ms, time_s)
        crash = known or _Crash(server=report.server, started_ms=report.started_ms, time_s=time_s)
        room = max(0, _MAX_SUSPECTS - len(crash.suspects))
        suspects = [item for item in report.suspects if item not in crash.suspects][:room]
        cleared = set(report.cleared) - crash.cleared
        if not suspects and not cleared:
            return None
        if known is None:  # also if the news that it was cleared of something came first
            self._crashes.append(crash)
        crash.suspects.update(suspects)
        crash.cleared.update(cleared)
        self._update()
        return _report(crash, suspects=suspects, cleared=cleared)

    def reports(self, *, of_refused_only: bool = False) -> list[CrashReport]:
        """Return all crashes, or only the evidence for what is refused."""
        self._drop_expired()
        if not of_refused_only:
            return [_report(crash, crash.suspects, crash.cleared) for crash in self._crashes]
        return [
            _report(crash, suspects)
            for crash in self._crashes
            if (suspects := [s for c in self._culprits if (s := _as_suspect(c, crash)) is not None])
        ]

    def quarantined(self) -> dict[str, float]:
        """Return what is refused with the remaining time of each in seconds.

        Keys that are refused only together are joined by ``+``.
        """
        self._drop_expired()
        return {
            "+".join(sorted(culprit.keys)[:_MAX_LOGGED_KEYS]): round(_remaining_s(culprit), 1)
            for culprit in self._refused()
        }

    def _refused(self) -> list[Culprit]:
        """Return the culprits whose requests are refused now."""
        now = now_s()
        return [
            culprit
            for culprit in self._culprits
            if culprit.refused_until_s > now and culprit.keys.isdisjoint(self._lifted())
        ]

    def _find(self, server: str, started_ms: int, time_s: float) -> _Crash | None:
        """Return the record of a crash."""
        for crash in self._crashes:
            if crash.server != server or crash.started_ms != started_ms:
                continue
            if started_ms or abs(crash.time_s - time_s) < _SAME_CRASH_WINDOW_S:
                return crash
        return None

    def _drop_expired(self) -> None:
        """Drop crashes that can't add up with new ones any more."""
        now = now_s()
        if all(crash.expires_s > now for crash in self._crashes):
            return
        self._crashes = [crash for crash in self._crashes if crash.expires_s > now]
        self._update()

    def _update(self) -> None:
        """Attribute the crashes again after a change, and tell the listeners."""
        self._limit_size()
        before = {culprit.keys for culprit in self._culprits}
        blamed = {crash: crash.blamed for crash in self._crashes}
        self._suspected = set().union(*blamed.values())
        self._culprits = attribute_crashes(blamed, {crash: crash.time_s for crash in blamed})
        for crash, suspected in blamed.items():
            is_evidence = any(culprit.keys <= suspected.keys() for culprit in self._culprits)
            lifetime_s = _EVIDENCE_LIFETIME_S if is_evidence else SUSPICION_LIFETIME_S
            crash.expires_s = max(crash.time_s + lifetime_s, crash.learned_s + _MERGE_TIME_S)
        self._digest = _digest(self._crashes)
        for culprit in self._culprits:
            if culprit.keys not in before:
                logger.bind(
                    step="quarantine",
                    content=sorted(culprit.keys)[:_MAX_LOGGED_KEYS],
                    crashes=len(culprit.crash_times_s),
                    known_crashes=len(self._crashes),
                ).warning("content quarantined")
        for keys in before - {culprit.keys for culprit in self._culprits}:
            logger.bind(step="quarantine", content=sorted(keys)[:_MAX_LOGGED_KEYS]).info(
                "content no longer quarantined"
            )
        for listener in self._listeners:
            listener()

    def _limit_size(self) -> None:
        """Drop the oldest crashes beyond the limits, those that no content is refused for first."""
        excess_keys = sum(crash.key_count for crash in self._crashes) - _MAX_TABLE_KEYS
        if len(self._crashes) <= _MAX_CRASHES and excess_keys <= 0:
            return
        refused = [culprit.keys for culprit in self._culprits]
        self._crashes.sort(key=lambda c: (any(k <= c.blamed.keys() for k in refused), c.time_s))
        while len(self._crashes) > _MAX_CRASHES or excess_keys > 0:
            excess_keys -= self._crashes.pop(0).key_count


def _without_repeats(suspects: Iterable[Suspect]) -> tuple[Suspect, ...]:
    """Return suspects of one crash, each key only with the request that was sent last.

    So the parts that all of them share count once, however long their prompts are.
    """
    seen: set[str] = set()
    kept = []
    for suspect in sorted(suspects, key=lambda item: item.waited_s):
        keys = tuple(key for key in dict.fromkeys(suspect.keys) if key not in seen)
        seen.update(keys)
        if keys:
            kept.append(attrs.evolve(suspect, keys=keys))
    return tuple(kept)


def _remaining_s(culprit: Culprit) -> float:
    return culprit.refused_until_s - now_s()


def _refusal(culprit: Culprit) -> Refusal:
    keys = ", ".join(sorted(culprit.keys)[:_MAX_SHOWN_KEYS])
    if len(culprit.keys) > _MAX_SHOWN_KEYS:
        keys += f" and {len(culprit.keys) - _MAX_SHOWN_KEYS} more"
    return Refusal(
        reason=RefusalReason.QUARANTINED,
        status=422,
        detail=f"Requests with this content ({keys}) crashed {len(culprit.crash_times_s)} servers.",
        not_run=True,
        retry_after_s=_remaining_s(culprit),
        step="quarantine",
    )


def _as_suspect(culprit: Culprit, crash: _Crash) -> Suspect | None:
    """Return a culprit as the suspect of a crash, or None if it isn't one."""
    blamed = crash.blamed
    if not culprit.keys <= blamed.keys():
        return None
    sent_s = max(blamed[key] for key in culprit.keys)
    return Suspect(keys=tuple(sorted(culprit.keys)), waited_s=round(crash.time_s - sent_s, 3))


def _report(
    crash: _Crash, suspects: Iterable[Suspect] = (), cleared: Iterable[str] = ()
) -> CrashReport:
    return CrashReport(
        server=crash.server,
        started_ms=crash.started_ms,
        age_s=round(now_s() - crash.time_s, 3),
        suspects=tuple(sorted(suspects, key=attrs.astuple)),
        cleared=tuple(sorted(cleared)),
    )


def _digest(crashes: Iterable[_Crash]) -> int:
    """Return a digest of crashes that doesn't depend on their order, 0 if there are none."""
    total = 0
    for crash in crashes:
        suspects = sorted(attrs.astuple(suspect) for suspect in crash.suspects)
        known = (crash.server, crash.started_ms, suspects, sorted(crash.cleared))
        digest = hashlib.blake2b(repr(known).encode(), digest_size=_DIGEST_BYTES).digest()
        total ^= int.from_bytes(digest)
    return total
