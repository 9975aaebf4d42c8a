"""Which contents are suspected of crashing engines, and which are refused for it."""

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
_SAME_CRASH_S = 2.0
_SUSPICION_S = 120.0
_QUARANTINE_S = 600.0
_MAX_ENTRIES = 2048
_MAX_KNOWN_REPORTS = 4 * _MAX_ENTRIES  # two crashes and two successes of each content


def content_digest(model: str, prompt: str) -> str:
    """Return the digest under which a content is known to all nodes.

    Examples
    --------
    >>> len(content_digest("writer", "Value the van."))
    32
    """
    return hashlib.blake2b(f"{model}\x00{prompt}".encode(), digest_size=16).hexdigest()


@attrs.define(kw_only=True)
class _Entry:
    """Crashes of one content: when each engine crashed last, and engines by reports that count."""

    crashed_s: dict[str, float] = attrs.field(factory=dict)
    crashes: dict[str, str] = attrs.field(factory=dict)
    expires_s: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        return len(self.crashes) >= _CRASHES_TO_QUARANTINE


class ContentGuard(Protocol):
    """What runs of requests ask and report."""

    def check(self, digest: str) -> Refusal | None:
        """Return why a content is refused, or None if it may run."""

    def report_crash(self, digest: str, engine: str) -> object:
        """Record that an engine crashed while it held the content."""

    def report_success(self, digest: str) -> object:
        """Record that the content ran to its end."""


class Quarantine:
    """Contents that were on engines that crashed; implements `ContentGuard`.

    Each node has its own copy. What one node learns is a report that `merge` takes over on others;
    each report counts once, by whichever ways and in whichever order it comes.

    Parameters
    ----------
    lifted : callable
        Returns the digests whose quarantine operators have lifted.
    """

    def __init__(self, *, lifted: Callable[[], Collection[str]] = tuple) -> None:
        self._lifted = lifted
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._known: OrderedDict[str, None] = OrderedDict()  # reports, the oldest first

    def check(self, digest: str) -> Refusal | None:
        """Return why a content is refused, or None if it may run."""
        entry = self._entry(digest)
        if entry is None or not entry.is_quarantined or self._is_lifted(digest):
            return None
        return Refusal(
            reason=RefusalReason.QUARANTINED,
            status=422,
            detail=f"This content (digest {digest}) crashed {len(entry.crashes)} engines.",
            not_run=True,
            retry_after_s=entry.expires_s - now_s(),
            step="quarantine",
        )

    def report_crash(self, digest: str, engine: str) -> ContentReport | None:
        """Record that an engine crashed while it held the content; return the report if it counts.

        Several requests with this content may have been on the engine when it crashed.
        """
        report = ContentReport(report_id=secrets.token_hex(8), digest=digest, engine=engine)
        return report if self.merge(report) else None

    def report_success(self, digest: str) -> ContentReport | None:
        """Clear a suspected content that ran to its end; return the report if it was suspected.

        A quarantined content stays refused: a request that began before may still end well.
        """
        entry = self._entry(digest)
        if entry is None or entry.is_quarantined:
            return None
        report = ContentReport(
            report_id=secrets.token_hex(8), digest=digest, cleared=tuple(sorted(entry.crashes))
        )
        self.merge(report)
        return report

    def merge(self, report: ContentReport) -> bool:
        """Take over a report; return whether it is worth passing on."""
        if report.report_id in self._known:
            return False
        self._remember(report.report_id)
        if report.engine:
            return self._add_crash(report)
        for crash in report.cleared:  # it may still be on its way
            self._remember(crash)
        entry = self._entry(report.digest)
        if entry is not None and not entry.is_quarantined:
            for crash in report.cleared:
                entry.crashes.pop(crash, None)
            if not entry.crashes:
                del self._entries[report.digest]
        return True

    def quarantined(self) -> dict[str, float]:
        """Return the digests that are refused, each with the seconds until it ends."""
        now = now_s()
        return {
            digest: round(entry.expires_s - now, 1)
            for digest, entry in self._entries.items()
            if entry.is_quarantined and entry.expires_s > now and not self._is_lifted(digest)
        }

    def crashed_engines(self, digest: str) -> tuple[str, ...]:
        """Return the engines that crashed with the content."""
        entry = self._entry(digest)
        return () if entry is None else tuple(entry.crashes.values())

    def _add_crash(self, report: ContentReport) -> bool:
        """Count a crash unless the engine's same crash is counted already."""
        entry = self._entry(report.digest) or _Entry()
        now = now_s()
        if now - entry.crashed_s.get(report.engine, float("-inf")) < _SAME_CRASH_S:
            return False
        entry.crashed_s[report.engine] = now
        entry.crashes[report.report_id] = report.engine
        entry.expires_s = now + (_QUARANTINE_S if entry.is_quarantined else _SUSPICION_S)
        self._entries[report.digest] = entry
        self._entries.move_to_end(report.digest)
        while len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)
        return True

    def _remember(self, report_id: str) -> None:
        self._known[report_id] = None
        while len(self._known) > _MAX_KNOWN_REPORTS:
            self._known.popitem(last=False)

    def _entry(self, digest: str) -> _Entry | None:
        entry = self._entries.get(digest)
        if entry is not None and entry.expires_s <= now_s():
            del self._entries[digest]
            return None
        return entry

    def _is_lifted(self, digest: str) -> bool:
        return digest in self._lifted()
