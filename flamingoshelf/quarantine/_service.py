"""Exchange of what nodes know of crashes."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.quarantine._quarantine import Quarantine
from flamingoshelf.quarantine._recent_answers import RecentAnswers
from flamingoshelf.quarantine._reports import (
    CrashReport,
    CrashReports,
    CrashReportsRequest,
    Suspect,
)
from flamingoshelf.refusals import Refusal
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup

__all__ = ["QuarantineService"]

_FANOUT = 5
_REQUEST_TIMEOUT_S = 1.0
# News of a crash reaches most nodes within milliseconds; only what is missing later is asked for.
_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 0.3  # spreads the requests of nodes that start together
_START_ATTEMPTS = 10
_START_PEERS = 3  # nodes asked at the start; one alone may have started just before


class QuarantineService:
    """Quarantine of this node, shared between all nodes; implements `ContentGuard`.

    A node forwards news of a crash to a few random nodes. It asks a node whose digest of the table
    differs for all that it knows, so that news that got lost is made up for, and a node that starts
    learns of earlier crashes. When a key becomes suspected, each node that receives an answer to a
    request with that key clears it.

    Parameters
    ----------
    quarantine : Quarantine
        This node's table.
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
        peers: Callable[[], Sequence[str]],
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._peers = peers
        self._metrics = metrics
        self._random = random_source
        self._link: NodeLink | None = None
        self._answers = RecentAnswers()
        self._digests: dict[str, int] = {}  # last one that each node told
        self._asked: set[str] = set()
        self._compared: dict[str, tuple[int, int]] = {}  # digests for which a node was asked last
        self._tasks = TaskGroup(owner="quarantine")

    @property
    def digest(self) -> int:
        """Digest of what this node knows, to be told to other nodes."""
        return self._quarantine.digest

    def connect(self, link: NodeLink) -> None:
        """Exchange reports with other nodes over `link`."""
        self._link = link
        link.register(CrashReport, self._on_report)
        link.register(CrashReportsRequest, self._on_request)

    async def start(self) -> None:
        """Ask other nodes for the crashes before the start."""
        self._tasks.start(self._catch_up(), name="catch_up")

    async def stop(self) -> None:
        """Cancel requests to other nodes."""
        await self._tasks.stop()

    def check(self, keys: Collection[str]) -> Refusal | None:
        """Return why a request with these keys is refused, or None if it may run."""
        return self._quarantine.check(keys)

    def report_crash(
        self,
        server: str,
        suspects: Iterable[Suspect],
        *,
        started_ms: int = 0,
        age_s: float = 0.0,
    ) -> None:
        """Record a crash, and notify other nodes."""
        news = self._quarantine.report_crash(server, suspects, started_ms=started_ms, age_s=age_s)
        if news is not None:
            self._metrics.count_event("content_crashed_engine")
            self._spread(news)

    def has_crash(self, server: str, started_ms: int) -> bool:
        """Return whether the crash of a run of a server is known."""
        return self._quarantine.has_crash(server, started_ms)

    def record_begin(self, keys: Collection[str]) -> None:
        """Record that a server goes on after it has begun to answer a request."""
        self._answers.record_begin(keys)
        self._clear(keys)

    def record_end(self, keys: Collection[str]) -> None:
        """Record the end of an answer whose begin was recorded."""
        self._answers.record_end(keys)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of what is known."""
        self._quarantine.subscribe(listener)

    def quarantined(self) -> dict[str, float]:
        """Return what is refused with the remaining time of each in seconds."""
        return self._quarantine.quarantined()

    def reports(self, *, of_refused_only: bool = False) -> list[CrashReport]:
        """Return all crashes, or only the evidence for what is refused."""
        return self._quarantine.reports(of_refused_only=of_refused_only)

    def merge(self, reports: Iterable[CrashReport], *, source: str) -> bool:
        """Add reports that another node or the store has kept; return whether any is new."""
        is_new = False
        for report in reports:
            news = self._quarantine.merge(report)
            if news is not None:
                is_new = True
                self._log_news(news, source)
                self._clear(news.suspected_keys)
        return is_new

    def record_digest(self, peer: str, digest: int) -> None:
        """Record the digest of another node; ask that node for what is missing here."""
        self._digests[peer] = digest
        is_asked = peer in self._asked or self._compared.get(peer) == (digest, self.digest)
        if digest not in (0, self.digest) and not is_asked and self._link is not None:
            self._asked.add(peer)
            self._tasks.start(self._ask_if_different(self._link, peer), name="ask")

    async def _ask_if_different(self, link: NodeLink, peer: str) -> None:
        try:
            await asyncio.sleep(self._random.uniform(_MIN_DELAY_S, _MAX_DELAY_S))
            digest = self._digests[peer]
            if digest not in (0, self.digest) and await self._ask(link, peer):
                self._compared[peer] = (digest, self.digest)
        finally:
            self._asked.discard(peer)

    async def _ask(self, link: NodeLink, peer: str) -> bool:
        """Add what another node knows; return whether it answered."""
        try:
            reply = await link.request(peer, CrashReportsRequest(), timeout_s=_REQUEST_TIMEOUT_S)
        except FlamingoshelfError as error:
            logger.bind(step="quarantine", peer=peer).info(
                "crash reports not received: {}", error.message
            )
            return False
        assert isinstance(reply, CrashReports)
        self.merge(reply.reports, source=peer)
        return True

    async def _catch_up(self) -> None:
        answered: set[str] = set()
        for _ in range(_START_ATTEMPTS):
            others = [name for name in self._others() if name not in answered]
            if self._link is not None and others:
                peer = self._random.choice(others)
                if await self._ask(self._link, peer):
                    answered.add(peer)
                if len(answered) == _START_PEERS:
                    return
            await asyncio.sleep(self._random.uniform(_MIN_DELAY_S, _MAX_DELAY_S))

    async def _on_report(self, peer: str, report: CrashReport) -> None:
        news = self._quarantine.merge(report)
        if news is not None:
            self._log_news(news, peer)
            self._spread(news)

    async def _on_request(self, peer: str, request: CrashReportsRequest) -> CrashReports:
        return CrashReports(reports=tuple(self.reports()))

    def _spread(self, news: CrashReport) -> None:
        """Send news to a few random nodes, and clear what this node receives answers to."""
        self._forward(news)
        self._clear(news.suspected_keys)

    def _clear(self, keys: Iterable[str]) -> None:
        """Clear suspected keys of which this node received an answer since."""
        answered = {
            key: answer
            for key in keys
            if self._quarantine.is_suspected(key)
            and (answer := self._answers.last(key)) is not None
        }
        for news in self._quarantine.clear(answered):
            self._metrics.count_event("content_cleared")
            self._forward(news)

    def _forward(self, news: CrashReport) -> None:
        others = self._others()
        for peer in self._random.sample(others, min(_FANOUT, len(others))):
            assert self._link is not None
            self._link.notify(peer, news)

    def _others(self) -> list[str]:
        if self._link is None:
            return []
        return [name for name in self._peers() if name != self._link.node_name]

    def _log_news(self, news: CrashReport, source: str) -> None:
        log = logger.bind(step="crash", peer=source, engine=news.server, age_s=news.age_s)
        if news.suspects:
            log.bind(suspects=len(news.suspects)).info("crash reported by another node")
        if news.cleared:
            log.bind(cleared=list(news.cleared)).info("content cleared by another node")
