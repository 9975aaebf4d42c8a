"""Exchanges revisions with peers."""

import asyncio
import zlib
from collections.abc import Callable

from flamingoshelf.base import NodeLink
from flamingoshelf.configuration._freshness import Freshness
from flamingoshelf.configuration._messages import Page, PageRequest, StateReply, StateRequest
from flamingoshelf.configuration._state import RevisionState, decode_steps
from flamingoshelf.configuration._tree import WatchTree
from flamingoshelf.exceptions import ConfigurationError, ConflictError
from flamingoshelf.objects import Catalog, decode_objects
from flamingoshelf.utils import now_s

__all__ = ["PeerExchange"]

_REPLY_TIMEOUT_S = 1.5
_PAGE_TIMEOUT_S = 5.0
_MAX_LONG_POLL_S = 5.0


class PeerExchange:
    """Requests revisions from peers and serves theirs.

    Parameters
    ----------
    link : NodeLink
        Messages between nodes.
    state : RevisionState
        Revision that this node holds.
    freshness : Freshness
        Confirmations and outage reports of this node.
    tree : WatchTree
        Position of this node in the tree of its data centre.
    count_event : callable
        Counts an event by name.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        state: RevisionState,
        freshness: Freshness,
        tree: WatchTree,
        count_event: Callable[[str], None],
    ) -> None:
        self._link = link
        self._state = state
        self._freshness = freshness
        self._tree = tree
        self._count_event = count_event
        self._highest_seen_revision = 0
        link.register(StateRequest, self._answer_state)
        link.register(PageRequest, self._answer_page)

    @property
    def highest_seen_revision(self) -> int:
        """Highest revision that any peer reported."""
        return self._highest_seen_revision

    async def sync_from(self, peer: str, *, wait_s: float, is_follower: bool) -> None:
        """Request the state of `peer`; adopt its revision if newer, and its confirmation.

        Raises
        ------
        FlamingoshelfError
            The peer is unreachable or its reply is unusable.
        """
        requested_s = now_s()
        request = StateRequest(
            manifest=self._state.manifest,
            revision=self._state.revision,
            wait_s=wait_s,
            follower_count=self._tree.follower_count if is_follower else 0,
        )
        reply: StateReply = await self._link.request(
            peer, request, timeout_s=wait_s + _REPLY_TIMEOUT_S
        )
        # Earliest time on this node's clock at which the peer can have replied.
        replied_s = requested_s + reply.held_s
        self._highest_seen_revision = max(self._highest_seen_revision, reply.revision)
        self._record_outage_reports(reply, replied_s)
        if reply.revision > self._state.revision:
            await self._adopt_from(peer, reply)
        if self._state.revision >= reply.revision:
            self._freshness.confirm(replied_s - reply.age_s)

    def _record_outage_reports(self, reply: StateReply, replied_s: float) -> None:
        for report in reply.outages:
            if report.node != self._link.node_name:
                self._freshness.report_outage(report, at_s=replied_s)

    async def _adopt_from(self, peer: str, reply: StateReply) -> None:
        if reply.steps:
            try:
                if self._state.adopt_steps(decode_steps(reply.steps)):
                    return
            except ConfigurationError:
                self._count_event("configuration_steps_rejected")
        await self._load_full_revision(peer, reply)

    async def _load_full_revision(self, peer: str, reply: StateReply) -> None:
        self._count_event("configuration_loaded_from_peer")
        catalog = Catalog(revision=0, objects=())
        offset = 0
        while True:
            request = PageRequest(manifest=reply.manifest, offset=offset)
            page: Page = await self._link.request(peer, request, timeout_s=_PAGE_TIMEOUT_S)
            documents = await asyncio.to_thread(zlib.decompress, page.objects)
            catalog = catalog.with_changes(
                revision=reply.revision, upserts=decode_objects(documents), removals=()
            )
            offset = page.next_offset
            if not offset:
                break
        if catalog.digest != reply.digest:
            message = f"revision {reply.revision} has the digest {catalog.digest}"
            raise ConfigurationError(message, step="load", peer=peer)
        self._state.adopt(catalog, manifest=reply.manifest)

    async def _answer_state(self, peer: str, request: StateRequest) -> StateReply:
        received_s = now_s()
        self._tree.record_follower(peer, request.follower_count)
        if request.wait_s > 0 and request.revision >= self._state.revision:
            await self._state.wait(min(request.wait_s, _MAX_LONG_POLL_S))
        is_older = request.revision < self._state.revision
        return StateReply(
            revision=self._state.revision,
            manifest=self._state.manifest,
            digest=self._state.catalog.digest,
            age_s=self._freshness.age_s,
            held_s=now_s() - received_s,
            outages=self._freshness.outage_reports(),
            steps=self._state.encode_steps_after(request.manifest) if is_older else b"",
        )

    async def _answer_page(self, peer: str, request: PageRequest) -> Page:
        if request.manifest != self._state.manifest:
            raise ConflictError("another revision is in force", step="page", peer=peer)
        objects, next_offset = self._state.encode_page(request.offset)
        return Page(objects=objects, next_offset=next_offset)
