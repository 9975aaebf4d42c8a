"""Exchange of crash and success reports between nodes."""

import random
from collections.abc import Callable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.quarantine._quarantine import Quarantine
from flamingoshelf.quarantine._reports import ContentReport
from flamingoshelf.refusals import Refusal
from flamingoshelf.telemetry import Metrics

__all__ = ["ContentReport", "QuarantineService"]

_FANOUT = 5


class QuarantineService:
    """Quarantine of this node, replicated between all nodes by gossip.

    A node forwards each report that is new to it to a few random nodes.

    Parameters
    ----------
    quarantine : Quarantine
        This node's copy.
    link : NodeLink
        Messages to and from other nodes.
    peers : callable
        Returns the names of all nodes.
    metrics : Metrics
        Counters.
    random_source : random.Random
        Source of the random choice of peers.
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
        """Register the handler for reports of other nodes."""
        self._link.register(ContentReport, self._receive)

    async def stop(self) -> None:
        """Do nothing: there are no tasks."""

    def check(self, digest: str) -> Refusal | None:
        """Return why a content is refused, or None if it may run."""
        return self._quarantine.check(digest)

    def report_crash(self, digest: str, engine: str) -> None:
        """Record that an engine crashed while it held the content, and notify other nodes."""
        report = self._quarantine.report_crash(digest, engine)
        if report is not None:
            self._forward(report)

    def report_success(self, digest: str) -> None:
        """Record that the content ran to its end, and notify other nodes if it was suspected."""
        report = self._quarantine.report_success(digest)
        if report is not None:
            self._forward(report)

    def quarantined(self) -> dict[str, float]:
        """Return the quarantined digests with the remaining time of each in seconds."""
        return self._quarantine.quarantined()

    async def _receive(self, peer: str, report: ContentReport) -> None:
        if self._quarantine.merge(report):
            self._log_report(peer, report)
            self._forward(report)

    def _log_report(self, peer: str, report: ContentReport) -> None:
        log = logger.bind(step="crash", peer=peer, content=report.digest)
        if report.engine:
            log.bind(engine=report.engine).info("crash reported by another node")
        else:
            log.bind(cleared=len(report.cleared)).info("content cleared by another node")

    def _forward(self, report: ContentReport) -> None:
        """Count a report and send it to a few random nodes."""
        self._metrics.count_event("content_crashed_engine" if report.engine else "content_cleared")
        others = [name for name in self._peers() if name != self._link.node_name]
        for peer in self._random.sample(others, min(_FANOUT, len(others))):
            self._link.notify(peer, report)
