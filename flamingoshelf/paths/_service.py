"""Tells a lost path from a lost server, and finds nodes that reach a server in this one's place."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.paths._checks import ASK_AGAIN_INTERVAL_S, VERDICT_LIFETIME_S, ServerChecks
from flamingoshelf.paths._peer_checks import PeerChecks
from flamingoshelf.paths._slow_start import SlowStart
from flamingoshelf.paths._table import PathState, PathTable
from flamingoshelf.paths._types import ProbeResult
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["PathService"]

_PROMPT_S = 0.3  # for an answer on a new connection, as long as a probe is waited for
# Time for a probe of a silent server before other nodes are asked; most take milliseconds.
_HEAD_START_S = 0.1
# A server that is connected but silent may be busy; so are few that other nodes reach at the same
# time. One silent server alone is taken for cut off only after as many checks in a row.
_SILENT_CHECKS = 2
# Calls are direct again within about a second of the end of a cut. Each new connection is a load
# where it ends, so probes are few, and those of one server become rarer.
_WATCH_INTERVAL_S = 0.25
_MAX_PROBES_PER_ROUND = 4
_ALL_PROBED_S = 2.0  # time in which all servers are probed that are not reached, if these are few
_WATCH_JITTER = 0.25  # share of the interval, so that nodes that are cut off don't probe together
_MAX_CONCURRENT_CHECKS = 64
_MAX_HINTS = 3  # nodes that others name, of those that are asked
_PEERS_KEPT = 4  # nodes to share the calls to one server among


class PathService:
    """Checks paths that have failed, and watches those that are cut until they are restored.

    A failed call alone doesn't tell whether the server or the path to it has failed. So this node
    probes the server and asks other nodes whether they reach it: if only they do, the path is cut.

    Parameters
    ----------
    table : PathTable
        State of the paths.
    probe : callable
        ``await probe(instance, is_fresh)`` probes a server over this node's own path, with a new
        connection if `is_fresh`, else over an open one if there is any.
    servers : callable
        Returns the listed servers.
    has_open_connection : callable
        ``has_open_connection(key)`` returns whether a connection to a server is open and idle.
    close_connections : callable
        ``close_connections(key)`` closes the idle connections to a server.
    random_source : random.Random
        Source of the jitter of the times of probes.
    """

    def __init__(
        self,
        *,
        table: PathTable,
        probe: Callable[[BackendInstance, bool], Awaitable[ProbeResult]],
        servers: Callable[[], Iterable[BackendInstance]],
        has_open_connection: Callable[[str], bool],
        close_connections: Callable[[str], None],
        random_source: random.Random,
    ) -> None:
        self._random = random_source
        self._table = table
        self._probe = probe
        self._servers = servers
        self._has_open_connection = has_open_connection
        self._close_connections = close_connections
        self._slow_start = SlowStart()
        self._peer_checks = PeerChecks(table=table, probe=probe)
        self._peers: Callable[[], Sequence[str]] = tuple
        self._checks: dict[str, ServerChecks] = {}
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_CHECKS)
        self._asked_again_s = 0.0
        self._known_peers: frozenset[str] = frozenset()
        self._tasks = TaskGroup(owner="paths")

    def connect(self, link: NodeLink, peers: Callable[[], Sequence[str]]) -> None:
        """Ask other nodes from now on; `peers` returns their names, the best to ask first."""
        self._peer_checks.connect(link)
        self._peers = peers

    async def start(self) -> None:
        """Start watching paths that are cut."""
        self._tasks.start(self._watch(), name="watch")

    async def stop(self) -> None:
        """Cancel all checks."""
        await self._tasks.stop()
        await self._peer_checks.stop()

    def leave(self) -> None:
        """Tell other nodes that this one reaches no server any more, as it is about to stop."""
        self._peer_checks.leave()

    def retain(self, keys: Collection[str]) -> None:
        """Drop what is known of all servers except `keys`."""
        self._table.retain(keys)
        self._slow_start.retain(keys)
        for key in self._checks.keys() - set(keys):
            del self._checks[key]

    def record_answer(self, key: str, *, is_fresh: bool, seconds: float = 0.0) -> None:
        """Record an answer after `seconds` over this node's own path, on a new connection if
        `is_fresh`."""
        self._table.record_answer(key, is_fresh=is_fresh)
        if is_fresh:
            self._slow_start.record_answer(key, is_prompt=seconds <= _PROMPT_S)

    def record_refusal(self, instance: BackendInstance) -> None:
        """Record that a new connection to a server failed."""
        self._check_soon(instance, since_s=now_s())

    def record_break(self, instance: BackendInstance, *, is_fresh: bool) -> None:
        """Record that a connection ended before the answer to a call.

        Servers may drop connections that were idle; only a new one (`is_fresh`) gives a reason to
        doubt the path.
        """
        if self._table.stop_keeping(instance.key):
            self._close_connections(instance.key)
        if is_fresh:
            self._check_soon(instance, since_s=now_s())

    def record_silence(self, instance: BackendInstance, *, since_s: float) -> None:
        """Record that a call that was sent at `since_s` has made no progress for too long."""
        key = instance.key
        if self._table.state(key) is PathState.CUT:
            if self._table.stop_keeping(key):
                self._close_connections(key)
            self._recheck_peers(instance, self._table.peers(key))
        elif self._table.answered_s(key) <= since_s:
            self._check_soon(instance, since_s=since_s, head_start_s=_HEAD_START_S)

    def record_peer_failure(self, instance: BackendInstance, peer: str) -> None:
        """Record that a node failed to pass a call on to a server."""
        if self._table.drop_peer(instance.key, peer):
            self._check_soon(instance, since_s=now_s())

    def max_opening(self, key: str) -> float:
        """Return how many new connections to a server may wait for their first answers at once."""
        return self._slow_start.bound(key)

    def is_known_cut(self, key: str) -> bool:
        """Return whether only this node's path to a server has failed, as known by now."""
        return bool(self._table.peers(key))

    async def is_cut(self, instance: BackendInstance) -> bool:
        """Return whether only this node's path to a server has failed, once that is known."""
        if self.is_known_cut(instance.key):
            return True
        check = self._check_soon(instance, since_s=now_s())
        return False if check is None else await asyncio.shield(check)

    def _check_soon(
        self, instance: BackendInstance, *, since_s: float, head_start_s: float = 0.0
    ) -> asyncio.Task[bool] | None:
        """Begin a check of a server, unless one is running; None if the last verdict holds."""
        self._table.record_failure(instance, since_s=since_s)
        checks = self._checks_of(instance)
        if checks.running is not None:
            return checks.running
        if now_s() < checks.not_before_s or not self._peer_checks.is_connected:
            return None
        checks.running = self._tasks.start(
            self._check(instance, checks, head_start_s=head_start_s), name=f"check.{instance.key}"
        )
        return checks.running

    async def _check(
        self, instance: BackendInstance, checks: ServerChecks, *, head_start_s: float
    ) -> bool:
        """Return whether the path to a server is cut."""
        is_cut = False
        try:
            async with self._slots:
                is_cut = await self._judge(instance, checks, head_start_s=head_start_s)
        finally:
            checks.running = None
            checks.not_before_s = now_s() + checks.lifetime_s
        if is_cut:
            self._check_others()
        return is_cut

    async def _judge(
        self, instance: BackendInstance, checks: ServerChecks, *, head_start_s: float
    ) -> bool:
        began_s = now_s()
        for number in range(_SILENT_CHECKS):
            result, peers, keeps = await self._probe_and_ask(
                instance, checks, head_start_s=head_start_s
            )
            self._log_check(instance, result, peers, began_s=began_s)
            if result is ProbeResult.ANSWERED:
                checks.record_answer()
                return False
            if result is ProbeResult.HELD_BACK:
                return False
            if not peers:
                is_lost = not keeps and checks.record_unreached(
                    began_s=began_s,
                    answered_s=self._table.answered_s(instance.key),
                    is_refused=result is ProbeResult.FAILED,
                )
                if is_lost:
                    self._table.mark_lost(instance)
                return False
            is_alone = self._table.failed_count() == 1
            if result is not ProbeResult.SILENT or not is_alone or number == _SILENT_CHECKS - 1:
                break
        checks.record_cut()
        if not keeps:
            self._close_connections(instance.key)
        self._table.mark_cut(instance, peers, checked_s=began_s, keeps_connections=keeps)
        return self._table.state(instance.key) is PathState.CUT

    async def _probe_and_ask(
        self, instance: BackendInstance, checks: ServerChecks, *, head_start_s: float
    ) -> tuple[ProbeResult, list[str], bool]:
        """Return the result of a probe, the nodes that reach the server, and whether open
        connections to it carry calls."""
        direct = asyncio.ensure_future(self._probe_fresh(instance))
        kept = (
            asyncio.ensure_future(self._probe(instance, False))
            if self._has_open_connection(instance.key)
            else None
        )
        asking: asyncio.Future[list[str]] | None = None
        try:
            await asyncio.wait({direct}, timeout=head_start_s)
            if not direct.done() or direct.result() is not ProbeResult.ANSWERED:
                asking = asyncio.ensure_future(self._ask_peers(instance, checks))
                await asyncio.wait({direct, asking}, return_when=asyncio.FIRST_COMPLETED)
            if direct.done() and direct.result() is ProbeResult.ANSWERED:
                return ProbeResult.ANSWERED, [], True
            peers = await asking if asking is not None else []
            result = await direct
            is_kept = kept is not None and await kept is ProbeResult.ANSWERED
            return result, peers, is_kept
        finally:
            for task in (direct, kept, asking):
                if task is not None:
                    task.cancel()

    async def _ask_peers(self, instance: BackendInstance, checks: ServerChecks) -> list[str]:
        """Return nodes that reach a server."""
        asked = self._candidates()[: checks.asked]
        silent_s = now_s() - self._table.failed_since_s(instance.key)
        reached, hints = await self._peer_checks.ask(instance, asked, silent_s=silent_s)
        if not reached:
            known = set(self._peers())
            others = [name for name in hints if name in known and name not in asked]
            reached, _ = await self._peer_checks.ask(
                instance, others[:_MAX_HINTS], silent_s=silent_s
            )
        return reached[:_PEERS_KEPT]

    def _candidates(self) -> list[str]:
        """Return the nodes to ask, those first that reach other servers."""
        reaching = self._table.all_peers()
        return sorted(self._peers(), key=lambda name: name not in reaching)

    def _recheck_peers(self, instance: BackendInstance, peers: Sequence[str]) -> None:
        """Ask the nodes that pass calls on whether they still reach the server."""
        checks = self._checks_of(instance)
        if now_s() >= checks.not_before_s:
            checks.not_before_s = now_s() + VERDICT_LIFETIME_S
            self._tasks.start(self._drop_failed_peers(instance, peers), name="peers")

    async def _drop_failed_peers(self, instance: BackendInstance, peers: Sequence[str]) -> None:
        reached, _ = await self._peer_checks.ask(instance, peers, silent_s=0.0)
        for peer in set(peers) - set(reached):
            self.record_peer_failure(instance, peer)

    def _check_others(self) -> None:
        """Check the paths to the other servers, which are probably cut, too."""
        for instance in self._servers():
            key = instance.key
            checks = self._checks.get(key)
            is_known = bool(self._table.peers(key))
            is_checked = checks is not None and (
                checks.running is not None or now_s() < checks.not_before_s
            )
            has_answered = self._table.answered_s(key) > now_s() - VERDICT_LIFETIME_S
            if not is_known and not is_checked and not has_answered:
                self._check_soon(instance, since_s=now_s())

    async def _watch(self) -> None:
        """Probe servers that this node doesn't reach until they answer."""
        while True:
            jitter = self._random.uniform(-_WATCH_JITTER, _WATCH_JITTER)
            await asyncio.sleep(_WATCH_INTERVAL_S * (1 + jitter))
            unreached = self._table.unreached()
            share = len(unreached) * _WATCH_INTERVAL_S / _ALL_PROBED_S
            count = min(math.ceil(share), _MAX_PROBES_PER_ROUND)
            due = [i for i in unreached if self._checks_of(i).probe_again_s <= now_s()]
            for instance in due[:count]:
                self._checks_of(instance).delay_probe()
                self._tasks.start(self._watch_one(instance), name=f"watch.{instance.key}")
            self._ask_again()

    async def _watch_one(self, instance: BackendInstance) -> None:
        """Probe a server; if it answers, all others are probably reached, too."""
        if await self._probe_unreached(instance):
            others = self._table.unreached()
            for other in others:
                self._checks_of(other).delay_probe()
            await asyncio.gather(*map(self._probe_unreached, others))

    def _checks_of(self, instance: BackendInstance) -> ServerChecks:
        return self._checks.setdefault(instance.key, ServerChecks())

    async def _probe_unreached(self, instance: BackendInstance) -> bool:
        """Return whether a server answers a probe, which restores its path."""
        async with self._slots:
            self._table.record_probe(instance.key)
            result = await self._probe_fresh(instance)
        if result is ProbeResult.ANSWERED:
            self._table.restore(instance.key)
            self._checks_of(instance).probe_soon()
        return result is ProbeResult.ANSWERED

    async def _probe_fresh(self, instance: BackendInstance) -> ProbeResult:
        result = await self._probe(instance, True)
        if result in (ProbeResult.SILENT, ProbeResult.UNCONNECTED):
            self._slow_start.record_silence(instance.key)
        return result

    def _ask_again(self) -> None:
        """Ask again whether other nodes reach a server that none is known to reach."""
        unknown = [
            instance for instance in self._table.unreached() if not self._table.peers(instance.key)
        ]
        if not unknown:
            return
        peers = frozenset(self._peers())
        if peers - self._known_peers:  # a node that is back may reach the servers
            for checks in self._checks.values():
                checks.ask_soon()
        self._known_peers = peers
        if now_s() < self._asked_again_s + ASK_AGAIN_INTERVAL_S:
            return
        due = [
            (checks.ask_again_s, instance.key, instance)
            for instance in unknown
            if (checks := self._checks_of(instance)).ask_again_s <= now_s()
        ]
        if due:
            self._asked_again_s = now_s()
            _, key, instance = min(due)
            self._checks[key].delay_asking()
            self._check_soon(instance, since_s=now_s())

    def _log_check(
        self,
        instance: BackendInstance,
        result: ProbeResult,
        peers: Sequence[str],
        *,
        began_s: float,
    ) -> None:
        logger.bind(
            step="path",
            peer=instance.key,
            service=instance.service,
            probe=result.value,
            reached_by=list(peers),
            failed_paths=self._table.failed_count(),
            waited_s=round(now_s() - began_s, 3),
        ).info("path to a backend server checked")
