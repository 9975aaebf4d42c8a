"""Finds the coordinator and notices when it is lost."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster._members import Member, MemberList
from flamingoshelf.cluster._messages import MemberHeartbeat, MemberHeartbeatReply
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["Coordination"]

_INTERVAL_S = 0.2  # a lost coordinator is found within a goal of 0.9 s
# What one coordinator answers without being asked for anything; each takes about 0.1 ms of its
# processor. In larger fleets, nodes that expect nothing of it send heartbeats less often.
_MAX_HEARTBEATS_PER_S = 300.0
# A healthy reply takes a few milliseconds; a request on time waits 0.9 s in all.
_REPLY_TIMEOUT_S = 0.3
_STRAGGLER_S = 0.03  # for members that rank before one that has answered
_ASKED_AT_ONCE = 3  # members that are asked when the coordinator is not known
# A coordinator tells others of itself, as one that joined last may be unknown to them.
_ANNOUNCE_INTERVAL_S = 1.0
_FIRST_AVOID_S = 0.6  # three heartbeats; a restart takes about as long
_LONGEST_AVOID_S = 4.0  # a node that is back is used again within about this
# A VM that restarts is back within seconds; one that was replaced never is.
_GONE_S = 8.0
# A member that was heard of within this time, or within some heartbeats, counts as reachable.
_HEARD_S = 1.0
_HEARD_HEARTBEATS = 3
_POLL_S = 0.005  # short against a message between nodes


class ForgettingLink(NodeLink, Protocol):
    """A link that can drop a connection which may be dead."""

    def forget(self, peer: str) -> None:
        """Drop the connection to a peer, so that the next message opens another one."""


class Coordination:
    """Sends heartbeats to the coordinator; takes the next member when it does not answer.

    The coordinator is an advisory duty: for a short time, or while the network is cut, two nodes
    may take themselves for it.

    Parameters
    ----------
    link : ForgettingLink
        Messages to other nodes.
    members : MemberList
        Known nodes.
    own : Member
        This node.
    revisions : callable
        Returns the revisions of the store up to which this node knows each kind of object.
    on_revisions : callable
        ``on_revisions(revisions)`` is told the revisions that another node knows.
    """

    def __init__(
        self,
        *,
        link: ForgettingLink,
        members: MemberList,
        own: Member,
        revisions: Callable[[], dict[str, int]],
        on_revisions: Callable[[dict[str, int]], None],
    ) -> None:
        self._link = link
        self._members = members
        self._own = own
        self._revisions = revisions
        self._on_revisions = on_revisions
        self._coordinator: str | None = None
        self._avoided: dict[str, tuple[float, float]] = {}  # until, and for how long
        self._asked: set[str] = set()  # in the last round
        self._heard_s: dict[str, float] = {}
        self._known_s: dict[str, float] = {}  # since when members are looked for
        self._leaving: dict[str, int] = {}  # ranks of members that are about to stop
        self._is_leaving = False
        self._expected_replies = 0
        self._announce_at_s = 0.0
        self._announced = 0  # members that were told of this node so far
        self._changed = asyncio.Event()
        self._tasks = TaskGroup(owner="coordination")

    @property
    def coordinator(self) -> str | None:
        """Name of the coordinator, None while it is not known."""
        return self._coordinator

    @property
    def is_coordinator(self) -> bool:
        """Whether this node coordinates."""
        return self._coordinator == self._own.name

    @property
    def reachable(self) -> int:
        """Number of nodes that this node has heard of lately, itself included."""
        oldest_s = now_s() - max(_HEARD_S, _HEARD_HEARTBEATS * self._interval_s)
        return 1 + sum(heard_s > oldest_s for heard_s in self._heard_s.values())

    def answering(self) -> set[str]:
        """Return the other members that are not known to be silent."""
        now = now_s()
        return {
            member.name
            for member in self._members
            if member.name != self._own.name
            and self._avoided.get(member.name, (0.0, 0.0))[0] <= now
        }

    @property
    def members(self) -> MemberList:
        """Known nodes."""
        return self._members

    async def start(self) -> None:
        """Start the heartbeats."""
        self._link.register(MemberHeartbeat, self._on_heartbeat)
        self._tasks.start(self._run(), name="heartbeats")

    async def stop(self) -> None:
        """End the heartbeats."""
        await self._tasks.stop()

    def leave(self) -> None:
        """Hand the coordinator's duty over before this node stops, if there is another node."""
        self._is_leaving = True
        if self.is_coordinator and len(self._members) > 1:
            self._set_coordinator(None)

    def is_leaving(self, name: str) -> bool:
        """Return whether a member is about to stop."""
        member = self._members.get(name)
        return member is not None and self._leaving.get(name) == member.rank

    async def find_gone(self) -> list[str]:
        """Return the members that have been silent for long and don't answer now either."""
        now = now_s()
        silent = [
            member
            for member in self._members
            if member.name != self._own.name
            and now - self._known_s.setdefault(member.name, now) > _GONE_S
            and now - self._heard_s.get(member.name, float("-inf")) > _GONE_S
        ]
        replies = await asyncio.gather(*(self._ask(member) for member in silent))
        return [m.name for m, reply in zip(silent, replies, strict=True) if reply is None]

    def report_lost(self, name: str) -> None:
        """Note that a request to the coordinator failed."""
        if name == self._coordinator and name != self._own.name:
            self._avoid(name, "a request failed")
            self._set_coordinator(None)

    @contextmanager
    def expecting_reply(self) -> Iterator[None]:
        """Send heartbeats at the full rate while a request to the coordinator is open."""
        self._expected_replies += 1
        try:
            yield
        finally:
            self._expected_replies -= 1

    async def wait_coordinator(self) -> str:
        """Return the coordinator once it is known."""
        while self._coordinator is None:
            await asyncio.sleep(_POLL_S)
        return self._coordinator

    async def wait_change(self, coordinator: str | None) -> None:
        """Return once another node coordinates than `coordinator`."""
        while self._coordinator == coordinator:
            await self._changed.wait()

    async def _run(self) -> None:
        while True:
            await self._beat()
            if self.is_coordinator:
                self._announce()
            if self._coordinator is None or self._knows_better():
                await asyncio.sleep(0)
                continue  # the next candidates are asked at once
            await self._rest()

    def _announce(self) -> None:
        """Send a heartbeat to the members that come next, a few each time."""
        now = now_s()
        if now < self._announce_at_s:
            return
        self._announce_at_s = now + _ANNOUNCE_INTERVAL_S
        others = [m for m in self._members.by_precedence() if m.name != self._own.name]
        first = self._announced % max(1, len(others))
        self._announced += _ASKED_AT_ONCE
        for member in others[first : first + _ASKED_AT_ONCE]:
            self._tasks.start(self._ask(member), name="announce")

    async def _rest(self) -> None:
        """Wait until the next heartbeat is due or the coordinator is reported as lost."""
        due_s = now_s() + self._interval_s
        while now_s() < due_s:
            try:
                async with asyncio.timeout(_INTERVAL_S):
                    await self._changed.wait()
                    return
            except TimeoutError:
                if self._expected_replies:
                    return

    @property
    def _interval_s(self) -> float:
        return max(_INTERVAL_S, len(self._members) / _MAX_HEARTBEATS_PER_S)

    async def _beat(self) -> None:
        asked = self._candidates()[:_ASKED_AT_ONCE]
        if not asked:
            self._set_coordinator(self._own.name)
            return
        self._asked = {member.name for member in asked}
        answered = await self._ask_all(asked)
        if not answered:
            if not self.is_coordinator:
                self._set_coordinator(None)  # the next candidates are asked at once
            return
        best = min(answered, key=lambda reply: reply.member.precedence)
        if best.member.precedence > self._own.precedence and not self._is_leaving:
            self._set_coordinator(self._own.name)
        else:
            self._set_coordinator(best.member.name)

    def _knows_better(self) -> bool:
        """Return whether a member that ranks before the coordinator has not been asked yet."""
        candidates = self._candidates()
        return bool(candidates) and candidates[0].name not in (self._coordinator, *self._asked)

    async def _ask_all(self, asked: list[Member]) -> list[MemberHeartbeatReply]:
        """Return the replies that come soon; those that are missing then are not waited for."""
        tasks = {self._tasks.start(self._ask(member), name="ask") for member in asked}
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        while pending and not any(task.result() for task in done):
            more, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            done |= more
        if pending:
            more, _ = await asyncio.wait(pending, timeout=_STRAGGLER_S)
            done |= more
        return [reply for task in done if (reply := task.result()) is not None]

    def _candidates(self) -> list[Member]:
        """Return the members that may coordinate: none after the present coordinator."""
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
            if self._avoided.get(member.name, (0.0, 0.0))[0] <= now:
                candidates.append(member)
            if member.name == self._coordinator:
                break
        return candidates

    async def _ask(self, member: Member) -> MemberHeartbeatReply | None:
        heartbeat = MemberHeartbeat(
            member=self._own,
            digest=self._members.digest,
            revisions=self._revisions(),
            is_leaving=self._is_leaving,
        )
        try:
            reply = await self._link.request(member.name, heartbeat, timeout_s=_REPLY_TIMEOUT_S)
        except FlamingoshelfError as error:
            self._link.forget(member.name)  # the connection may be dead while new ones work
            self._avoid(member.name, error.message)
            return None
        assert isinstance(reply, MemberHeartbeatReply)
        if self._avoided.pop(member.name, None) is not None:
            logger.bind(step="heartbeat", peer=member.name).info("answers again")
        self._heard_s[member.name] = now_s()
        self._members.merge([reply.member, *reply.members])
        self._on_revisions(reply.revisions)
        if reply.is_leaving:
            self._note_leaving(reply.member)
            return None
        return reply

    async def _on_heartbeat(self, peer: str, heartbeat: MemberHeartbeat) -> MemberHeartbeatReply:
        self._heard_s[peer] = now_s()
        self._avoided.pop(peer, None)
        self._members.merge([heartbeat.member])
        self._on_revisions(heartbeat.revisions)
        if heartbeat.is_leaving:
            self._note_leaving(heartbeat.member)
        is_same = heartbeat.digest == self._members.digest
        return MemberHeartbeatReply(
            member=self._own,
            coordinator=self._coordinator or "",
            members=() if is_same else tuple(self._members.by_precedence()),
            revisions=self._revisions(),
            is_leaving=self._is_leaving,
        )

    def _note_leaving(self, member: Member) -> None:
        if self._leaving.get(member.name) == member.rank:
            return
        self._leaving[member.name] = member.rank
        logger.bind(step="heartbeat", peer=member.name).info("is about to stop")
        if self._coordinator == member.name:
            self._set_coordinator(None)

    def _avoid(self, name: str, reason: str) -> None:
        _, last_s = self._avoided.get(name, (0.0, 0.0))
        for_s = min(_LONGEST_AVOID_S, max(_FIRST_AVOID_S, 2 * last_s))
        if not last_s:
            logger.bind(step="heartbeat", peer=name).warning("does not answer: {}", reason)
        self._avoided[name] = (now_s() + for_s, for_s)

    def _set_coordinator(self, name: str | None) -> None:
        if name == self._coordinator:
            return
        logger.bind(
            step="coordinator",
            peer=name or "-",
            before=self._coordinator or "-",
            members=len(self._members),
            reachable=self.reachable,
        ).info("coordinator changes")
        self._coordinator = name
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
