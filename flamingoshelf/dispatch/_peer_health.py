"""Which dispatchers could not be reached lately."""

import asyncio
from collections.abc import Sequence
from typing import Any

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.utils import now_s

__all__ = ["PeerHealth"]

_BACKOFF_S = 3.0


class PeerHealth:
    """Remembers lost peers, and ends the calls that wait for them."""

    def __init__(self) -> None:
        self._lost_until_s: dict[str, float] = {}
        self._calls: dict[str, set[asyncio.Future[Any]]] = {}

    def usable(self, peers: Sequence[str]) -> list[str]:
        """Return the peers that were not lost lately, in their order."""
        now = now_s()
        return [peer for peer in peers if self._lost_until_s.get(peer, 0.0) <= now]

    def is_watched(self, peer: str) -> bool:
        """Return whether a call waits for the peer."""
        return bool(self._calls.get(peer))

    def mark_lost(self, peer: str) -> None:
        """Avoid the peer for a time and end the calls that wait for it."""
        self._lost_until_s[peer] = now_s() + _BACKOFF_S
        for call in self._calls.get(peer, set()):
            call.cancel()

    async def watch(self, peer: str, call: asyncio.Future[Any]) -> Any:
        """Return the call's result.

        Raises
        ------
        OutcomeUnknownError
            The peer was lost in the meantime.
        """
        calls = self._calls.setdefault(peer, set())
        calls.add(call)
        try:
            await asyncio.wait((call,))
        finally:
            calls.discard(call)
            call.cancel()
        if call.cancelled():
            raise OutcomeUnknownError("peer was lost", step="acquire", peer=peer)
        return call.result()
