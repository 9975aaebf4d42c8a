"""Determines the coordinator by heartbeats and detects its failure."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster._members import Member, MemberList
from flamingoshelf.cluster._messages import MemberHeartbeat, MemberHeartbeatReply, NodeNews
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["Coordination"]

_HEARTBEAT_INTERVAL_S = 0.2  # detects a failed coordinator within a latency goal of 0.9 s
# Limit of the heartbeats that reach one coordinator from idle nodes; each costs it about 0.1 ms of
# CPU time. In larger fleets, nodes without an open request to it send heartbeats less often.
_MAX_HEARTBEATS_PER_S = 300.0
# A healthy reply takes a few milliseconds; a request within its goal waits 0.9 s at most in all.
_REPLY_TIMEOUT_S = 0.3
_STRAGGLER_WAIT_S = 0.03  # for members that precede one that has replied
# Candidates contacted at once while the coordinator is not known. It doubles with each round that
# no one answers, as a node cut off from a large fleet must serve before its callers leave.
_MAX_CONCURRENT_HEARTBEATS = 3
# A coordinator announces itself, since nodes may not know one that joined last.
_ANNOUNCE_INTERVAL_S = 1.0
_MIN_BACKOFF_S = 0.6  # three heartbeats; a restart takes about as long
_MAX_BACKOFF_S = 4.0  # a node that has recovered is used again within about this time
# A VM that restarts is back within seconds; one that was replaced never returns.
_DEAD_AFTER_S = 8.0
# A member counts as reachable if it was heard from within this time or this many heartbeats,
# whichever is longer.
_REACHABLE_WINDOW_S = 1.0
_REACHABLE_HEARTBEATS = 3
_POLL_INTERVAL_S = 0.005  # short compared to the time that a message between nodes takes


class ReconnectableLink(NodeLink, Protocol):
    """A link that can close a connection which may be dead."""

    def drop_connection(self, peer: str) -> None:
        """Close the connection to a peer, so that the next message opens a new one."""


class Coordination:
    """Sends heartbeats to the coordinator; switches to the next member when it does not reply.

    Coordinating is an advisory duty: for a short time, or during a network partition, two nodes
    may both act as the coordinator.

    Parameters
    ----------
    link : ReconnectableLink
        Link to the other nodes.
    members : MemberList
        Known nodes; entries received with heartbeats are added.
    own : Member
        Entry of this node.
    revisions : callable
        Returns, for each kind of object, the store revision of the last change that this node
        knows.
    on_revisions : callable
        ``on_revisions(revisions)`` is called with the revisions that another node knows.
    news : callable
        Returns what this node tells other parts of the other nodes.
    on_news : callable
        ``on_news(peer, news)`` is called with what another node tells.
    """

    def __init__(
        self,
        *,
        link: ReconnectableLink,
        members: MemberList,
        own: Member,
        revisions: Callable[[], dict[str, int]],
        on_revisions: Callable[[dict[str, int]], None],
        news: Callable[[], NodeNews] = NodeNews,
        on_news: Callable[[str, NodeNews], None] = lambda peer, news: None,
    ) -> None:
        self._news = news
        self._on_news = on_news
        self._link = link
        self._members = members
        self._own = own
        self._revisions = revisions
        self._on_revisions = on_revisions
        self._coordinator: str | None = None
        self._backoffs: dict[str, tuple[float, float]] = {}  # end time, length
        self._round_size = _MAX_CONCURRENT_HEARTBEATS
        self._unanswered: set[str] = set()  # members contacted since the coordinator was lost
        self._probed: set[str] = set()  # members contacted in the last round
        self._last_heard_s: dict[str, float] = {}
        self._first_checked_s: dict[str, float] = {}  # by `find_dead_members`
        self._leaving: dict[str, int] = {}  # rank by name
        self._is_leaving = False
        self._open_requests = 0
        self._next_announcement_s = 0.0
        self._announced_count = 0  # announcements so far; selects the next members
        self._coordinator_changed = asyncio.Event()
        self._tasks = TaskGroup(owner="coordination")

    @property
    def coordinator(self) -> str | None:
        """Name of the coordinator, None while it is not known."""
        return self._coordinator

    @property
    def is_coordinator(self) -> bool:
        """Whether this node is the coordinator."""
        return self._coordinator == self._own.name

    @property
    def reachable_count(self) -> int:
        """Number of nodes that this node has heard from recently, itself included."""
        oldest_s = now_s() - self.reachable_window_s
        return 1 + sum(heard_s > oldest_s for heard_s in self._last_heard_s.values())

    @property
    def reachable_window_s(self) -> float:
        """Seconds for which a node counts as reachable after it was last heard from."""
        return max(_REACHABLE_WINDOW_S, _REACHABLE_HEARTBEATS * self._heartbeat_interval_s)

    def responsive_members(self) -> set[str]:
        """Return the names of the other members, except those that did not reply lately."""
        now = now_s()
        return {
            member.name
            for member in self._members
            if member.name != self._own.name
            and self._backoffs.get(member.name, (0.0, 0.0))[0] <= now
        }

    @property
    def members(self) -> MemberList:
        """Known nodes."""
        return self._members

    async def start(self) -> None:
        """Start to send and to answer heartbeats."""
        self._link.register(MemberHeartbeat, self._on_heartbeat)
        self._tasks.start(self._run(), name="heartbeats")

    async def stop(self) -> None:
        """Stop sending heartbeats."""
        await self._tasks.stop()

    def leave(self) -> None:
        """Hand over the coordinator duty before this node stops, if there is another node."""
        self._is_leaving = True
        if self.is_coordinator and len(self._members) > 1:
            self._set_coordinator(None)

    def is_leaving(self, name: str) -> bool:
        """Return whether a member has announced that it is about to stop."""
        member = self._members.get(name)
        return member is not None and self._leaving.get(name) == member.rank

    async def find_dead_members(self) -> list[str]:
        """Return the names of members that sent nothing for `_DEAD_AFTER_S` and don't reply now.

        The time is counted from the first call at which a member was known, or from its last
        message if that is later.
        """
        now = now_s()
        silent = [
            member
            for member in self._members
            if member.name != self._own.name
            and now - self._first_checked_s.setdefault(member.name, now) > _DEAD_AFTER_S
            and now - self._last_heard_s.get(member.name, float("-inf")) > _DEAD_AFTER_S
        ]
        await asyncio.gather(*(self._send_heartbeat(member) for member in silent))
        # A member that replies that it is leaving is alive.
        return [m.name for m in silent if self._last_heard_s.get(m.name, float("-inf")) < now]

    def report_failure(self, name: str) -> None:
        """Back off from the coordinator `name`, to which a request failed."""
        if name == self._coordinator and name != self._own.name:
            self._back_off(name, "request to the coordinator failed")
            self._set_coordinator(None)

    @contextmanager
    def during_request(self) -> Iterator[None]:
        """Send heartbeats at the full rate while a request to the coordinator is open."""
        self._open_requests += 1
        try:
            yield
        finally:
            self._open_requests -= 1

    async def wait_for_coordinator(self) -> str:
        """Wait until the coordinator is known and return its name."""
        while self._coordinator is None:
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._coordinator

    async def wait_for_coordinator_change(self, coordinator: str | None) -> None:
        """Wait until the coordinator is not `coordinator` any more."""
        while self._coordinator == coordinator:
            await self._coordinator_changed.wait()

    async def _run(self) -> None:
        while True:
            await self._run_round()
            if self.is_coordinator:
                self._announce()
            if self._coordinator is None or self._has_new_candidate():
                await asyncio.sleep(0)
                continue  # contact the next candidates without a pause
            await self._wait_for_round()

    def _announce(self) -> None:
        """Send heartbeats to a few other members, the next ones each time, to become known."""
        now = now_s()
        if now < self._next_announcement_s:
            return
        self._next_announcement_s = now + _ANNOUNCE_INTERVAL_S
        others = [m for m in self._members.by_precedence() if m.name != self._own.name]
        first = self._announced_count % max(1, len(others))
        self._announced_count += _MAX_CONCURRENT_HEARTBEATS
        for member in others[first : first + _MAX_CONCURRENT_HEARTBEATS]:
            self._tasks.start(self._send_heartbeat(member), name="announce")

    async def _wait_for_round(self) -> None:
        """Wait until the next heartbeat is due or the coordinator has changed.

        While a request to the coordinator is open, return after `_HEARTBEAT_INTERVAL_S`.
        """
        due_s = now_s() + self._heartbeat_interval_s
        while now_s() < due_s:
            try:
                async with asyncio.timeout(_HEARTBEAT_INTERVAL_S):
                    await self._coordinator_changed.wait()
                    return
            except TimeoutError:
                if self._open_requests:
                    return

    @property
    def _heartbeat_interval_s(self) -> float:
        return max(_HEARTBEAT_INTERVAL_S, len(self._members) / _MAX_HEARTBEATS_PER_S)

    async def _run_round(self) -> None:
        """Send heartbeats to the first candidates and set the coordinator by their replies."""
        candidates = [m for m in self._candidates() if m.name not in self._unanswered]
        targets = candidates[: self._round_size]
        if not targets:
            self._end_search()
            self._set_coordinator(self._own.name)
            return
        self._probed = {member.name for member in targets}
        answered = await self._send_heartbeats(targets)
        if not answered:
            if not self.is_coordinator:
                self._unanswered |= self._probed
                self._round_size *= 2
                self._set_coordinator(None)  # `_run` contacts the next candidates at once
            return
        self._end_search()
        best = min(answered, key=lambda reply: reply.member.precedence)
        if best.member.precedence > self._own.precedence and not self._is_leaving:
            self._set_coordinator(self._own.name)
        else:
            self._set_coordinator(best.member.name)

    def _end_search(self) -> None:
        """Start with the first members again when the coordinator is lost the next time."""
        self._unanswered.clear()
        self._round_size = _MAX_CONCURRENT_HEARTBEATS

    def _has_new_candidate(self) -> bool:
        """Return whether a member that precedes the coordinator has not been contacted yet."""
        candidates = self._candidates()
        return bool(candidates) and candidates[0].name not in (self._coordinator, *self._probed)

    async def _send_heartbeats(self, targets: list[Member]) -> list[MemberHeartbeatReply]:
        """Return the replies up to `_STRAGGLER_WAIT_S` after the first; ignore later ones."""
        tasks = {self._tasks.start(self._send_heartbeat(member), name="ask") for member in targets}
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        while pending and not any(task.result() for task in done):
            more, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            done |= more
        if pending:
            more, _ = await asyncio.wait(pending, timeout=_STRAGGLER_WAIT_S)
            done |= more
        return [reply for task in done if (reply := task.result()) is not None]

    def _candidates(self) -> list[Member]:
        """Return the members that may coordinate, by precedence.

        The list ends with the current coordinator and, unless this node is leaving, before this
        node. Members that are leaving or did not reply lately are left out.
        """
        now = now_s()
        candidates = []
        for member in self._members.by_precedence():
            if member.name == self._own.name:
                if self._is_leaving:
                    continue
                break
            if member.precedence >= self._own.precedence and not self._is_leaving:
                break
            if self._leaving.get(member.name) == member.rank:
                continue
            if self._backoffs.get(member.name, (0.0, 0.0))[0] <= now:
                candidates.append(member)
            if member.name == self._coordinator:
                break
        return candidates

    async def _send_heartbeat(self, member: Member) -> MemberHeartbeatReply | None:
        """Return the reply of a member, or None if it does not reply or is leaving."""
        heartbeat = MemberHeartbeat(
            member=self._own,
            digest=self._members.digest,
            revisions=self._revisions(),
            news=self._news(),
            is_leaving=self._is_leaving,
        )
        try:
            reply = await self._link.request(member.name, heartbeat, timeout_s=_REPLY_TIMEOUT_S)
        except FlamingoshelfError as error:
            self._link.drop_connection(member.name)  # may be dead while new ones work
            self._back_off(member.name, error.message)
            return None
        assert isinstance(reply, MemberHeartbeatReply)
        if self._backoffs.pop(member.name, None) is not None:
            logger.bind(step="heartbeat", peer=member.name).info("member reachable again")
        self._last_heard_s[member.name] = now_s()
        self._members.merge([reply.member, *reply.members])
        self._on_revisions(reply.revisions)
        self._on_news(member.name, reply.news)
        if reply.is_leaving:
            self._record_leaving(reply.member)
            return None
        return reply

    async def _on_heartbeat(self, peer: str, heartbeat: MemberHeartbeat) -> MemberHeartbeatReply:
        self._last_heard_s[peer] = now_s()
        self._backoffs.pop(peer, None)
        self._members.merge([heartbeat.member])
        self._on_revisions(heartbeat.revisions)
        self._on_news(peer, heartbeat.news)
        if heartbeat.is_leaving:
            self._record_leaving(heartbeat.member)
        is_same = heartbeat.digest == self._members.digest
        return MemberHeartbeatReply(
            member=self._own,
            coordinator=self._coordinator or "",
            members=() if is_same else tuple(self._members.by_precedence()),
            revisions=self._revisions(),
            news=self._news(),
            is_leaving=self._is_leaving,
        )

    def _record_leaving(self, member: Member) -> None:
        if self._leaving.get(member.name) == member.rank:
            return
        self._leaving[member.name] = member.rank
        logger.bind(step="heartbeat", peer=member.name).info("member is about to stop")
        if self._coordinator == member.name:
            self._set_coordinator(None)

    def _back_off(self, name: str, reason: str) -> None:
        _, last_backoff_s = self._backoffs.get(name, (0.0, 0.0))
        backoff_s = min(_MAX_BACKOFF_S, max(_MIN_BACKOFF_S, 2 * last_backoff_s))
        if not last_backoff_s:
            logger.bind(step="heartbeat", peer=name).warning(
                "member unreachable; backing off: {}", reason
            )
        self._backoffs[name] = (now_s() + backoff_s, backoff_s)

    def _set_coordinator(self, name: str | None) -> None:
        if name == self._coordinator:
            return
        logger.bind(
            step="coordinator",
            peer=name or "-",
            before=self._coordinator or "-",
            members=len(self._members),
            reachable=self.reachable_count,
        ).info("coordinator changed")
        self._coordinator = name
        changed, self._coordinator_changed = self._coordinator_changed, asyncio.Event()
        changed.set()
