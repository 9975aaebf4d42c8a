"""Spreads what nodes learn about contents that crash engines."""

import random
from collections.abc import Callable, Sequence

import attrs

from flamingoshelf.base import NodeLink
from flamingoshelf.nodes import message
from flamingoshelf.quarantine._quarantine import Quarantine
from flamingoshelf.refusals import Refusal
from flamingoshelf.telemetry import Metrics

__all__ = ["ContentReport", "QuarantineService"]

_FANOUT = 5


@message
@attrs.frozen(kw_only=True)
class ContentReport:
    """An engine crashed while it held a content; without an engine, the content ran well."""

    digest: str
    engine: str = ""


class QuarantineService:
    """Quarantine of this node, kept the same on all nodes by notifications.

    A node passes a report on to a few random nodes when it is news to it.

    Parameters
    ----------
    quarantine : Quarantine
        This node's copy.
    link : NodeLink
        Messages to other nodes.
    peers : callable
        Returns the names of all nodes.
    metrics : Metrics
        Counters.
    random_source : random.Random
        Source of the choice among peers.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        link: NodeLink,
        peers: Callable[[], Sequence[str]],
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._link = link
        self._peers = peers
        self._metrics = metrics
        self._random = random_source

    async def start(self) -> None:
        """Begin to listen to other nodes."""
        self._link.register(ContentReport, self._receive)

    async def stop(self) -> None:
        """Do nothing: there are no tasks."""

    def check(self, digest: str) -> Refusal | None:
        """Return why a content is refused, or None if it may run."""
        return self._quarantine.check(digest)

    def report_crash(self, digest: str, engine: str) -> None:
        """Record that an engine crashed while it held the content, and tell other nodes."""
        self._accept(ContentReport(digest=digest, engine=engine))

    def report_success(self, digest: str) -> None:
        """Record that the content ran to its end, and tell other nodes if it was suspected."""
        self._accept(ContentReport(digest=digest))

    def quarantined(self) -> dict[str, float]:
        """Return the digests that are refused, each with the seconds until it ends."""
        return self._quarantine.quarantined()

    async def _receive(self, peer: str, report: ContentReport) -> None:
        self._accept(report)

    def _accept(self, report: ContentReport) -> None:
        if report.engine:
            is_news = self._quarantine.report_crash(report.digest, report.engine)
        else:
            is_news = self._quarantine.report_success(report.digest)
        if not is_news:
            return
        self._metrics.count_event("content_crashed_engine" if report.engine else "content_cleared")
        others = [name for name in self._peers() if name != self._link.node_name]
        for peer in self._random.sample(others, min(_FANOUT, len(others))):
            self._link.notify(peer, report)
