"""Contents that are suspected of crashing engines, and contents that are refused for it.

A content is a prompt for a model; nodes identify it by its digest.
"""

import hashlib
import secrets
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import Protocol

import attrs

from flamingoshelf.quarantine._reports import ContentReport
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import now_s

__all__ = ["ContentGuard", "Quarantine", "content_digest"]

_CRASHES_TO_QUARANTINE = 2
_SAME_CRASH_WINDOW_S = 2.0
_SUSPICION_LIFETIME_S = 120.0
_QUARANTINE_LIFETIME_S = 600.0
_MAX_ENTRIES = 2048
_MAX_KNOWN_REPORTS = 4 * _MAX_ENTRIES  # two crashes and two successes for each content


def content_digest(model: str, prompt: str) -> str:
    """Return the digest by which all nodes identify a content.

    Examples
    --------
    >>> len(content_digest("writer", "Value the van."))
    32
    """
    return hashlib.blake2b(f"{model}\x00{prompt}".encode(), digest_size=16).hexdigest()


@attrs.define(kw_only=True)
class _Entry:
    """Crashes that one content is suspected of.

    Parameters
    ----------
    last_crash_s : dict
        Time in seconds of the last counted crash of each engine.
    engine_by_report : dict
        Engine of each counted crash report, by report id.
    expires_s : float
        Time in seconds at which the suspicion or the quarantine ends.
    """

    last_crash_s: dict[str, float] = attrs.field(factory=dict)
    engine_by_report: dict[str, str] = attrs.field(factory=dict)
    expires_s: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        return len(self.engine_by_report) >= _CRASHES_TO_QUARANTINE


class ContentGuard(Protocol):
    """Quarantine interface for the code that runs requests."""

    def check(self, digest: str) -> Refusal | None:
        """Return why a content is refused, or None if it may run."""

    def report_crash(self, digest: str, engine: str) -> object:
        """Record that an engine crashed while it held the content."""

    def report_success(self, digest: str) -> object:
        """Record that the content ran to its end."""


class Quarantine:
    """Contents that engines held when they crashed; implements `ContentGuard`.

    Each node has its own copy. Nodes exchange reports, which `merge` applies. A report counts once,
    however often and in whichever order reports arrive.

    Parameters
    ----------
    lifted : callable
        Returns the digests whose quarantine operators have lifted.
    """

    def __init__(self, *, lifted: Callable[[], Collection[str]] = tuple) -> None:
        self._lifted = lifted
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._known_report_ids: OrderedDict[str, None] = OrderedDict()  # the oldest first

    def check(self, digest: str) -> Refusal | None:
        """Return why a content is refused, or None if it may run."""
        entry = self._find_entry(digest)
        if entry is None or not entry.is_quarantined or self._is_lifted(digest):
            return None
        return Refusal(
            reason=RefusalReason.QUARANTINED,
            status=422,
            detail=f"This content (digest {digest}) crashed {len(entry.engine_by_report)} engines.",
            not_run=True,
            retry_after_s=entry.expires_s - now_s(),
            step="quarantine",
        )

    def report_crash(self, digest: str, engine: str) -> ContentReport | None:
        """Record that an engine crashed while it held the content; return the report if it counts.

        Further reports of the same engine within a short time do not count, as several requests
        with this content may have been on the engine when it crashed.
        """
        report = ContentReport(report_id=secrets.token_hex(8), digest=digest, engine=engine)
        return report if self.merge(report) else None

    def report_success(self, digest: str) -> ContentReport | None:
        """Clear a suspected content that ran to its end; return the report if it was suspected.

        A quarantined content stays refused, as a request that started before the quarantine may
        still succeed.
        """
        entry = self._find_entry(digest)
        if entry is None or entry.is_quarantined:
            return None
        report = ContentReport(
            report_id=secrets.token_hex(8),
            digest=digest,
            cleared=tuple(sorted(entry.engine_by_report)),
        )
        self.merge(report)
        return report

    def merge(self, report: ContentReport) -> bool:
        """Apply a report; return whether to forward it to other nodes."""
        if report.report_id in self._known_report_ids:
            return False
        self._remember_report_id(report.report_id)
        if report.engine:
            return self._add_crash(report)
        for cleared_id in report.cleared:  # their reports may arrive after this one
            self._remember_report_id(cleared_id)
        entry = self._find_entry(report.digest)
        if entry is not None and not entry.is_quarantined:
            for cleared_id in report.cleared:
                entry.engine_by_report.pop(cleared_id, None)
            if not entry.engine_by_report:
                del self._entries[report.digest]
        return True

    def quarantined(self) -> dict[str, float]:
        """Return the quarantined digests with the remaining time of each in seconds."""
        now = now_s()
        return {
            digest: round(entry.expires_s - now, 1)
            for digest, entry in self._entries.items()
            if entry.is_quarantined and entry.expires_s > now and not self._is_lifted(digest)
        }

    def crashed_engines(self, digest: str) -> tuple[str, ...]:
        """Return the engine of each counted crash of the content."""
        entry = self._find_entry(digest)
        return () if entry is None else tuple(entry.engine_by_report.values())

    def _add_crash(self, report: ContentReport) -> bool:
        """Count a crash unless a crash of the same engine was counted shortly before."""
        entry = self._find_entry(report.digest) or _Entry()
        now = now_s()
        if now - entry.last_crash_s.get(report.engine, float("-inf")) < _SAME_CRASH_WINDOW_S:
            return False
        entry.last_crash_s[report.engine] = now
        entry.engine_by_report[report.report_id] = report.engine
        entry.expires_s = now + (
            _QUARANTINE_LIFETIME_S if entry.is_quarantined else _SUSPICION_LIFETIME_S
        )
        self._entries[report.digest] = entry
        self._entries.move_to_end(report.digest)
        while len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)
        return True

    def _remember_report_id(self, report_id: str) -> None:
        """Record a report id, so that the report is ignored when it arrives again."""
        self._known_report_ids[report_id] = None
        while len(self._known_report_ids) > _MAX_KNOWN_REPORTS:
            self._known_report_ids.popitem(last=False)

    def _find_entry(self, digest: str) -> _Entry | None:
        """Return the entry of a digest; drop it if it has expired."""
        entry = self._entries.get(digest)
        if entry is not None and entry.expires_s <= now_s():
            del self._entries[digest]
            return None
        return entry

    def _is_lifted(self, digest: str) -> bool:
        return digest in self._lifted()
