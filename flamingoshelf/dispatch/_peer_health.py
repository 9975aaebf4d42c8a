"""Record of the dispatchers that could not be reached recently."""

import asyncio
from collections.abc import Sequence
from typing import Any

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.utils import now_s

__all__ = ["PeerHealth"]

_BACKOFF_S = 3.0


class PeerHealth:
    """Tracks unreachable peers and cancels the calls that wait for their replies."""

    def __init__(self) -> None:
        self._unreachable_until_s: dict[str, float] = {}
        self._pending_calls: dict[str, set[asyncio.Future[Any]]] = {}

    def usable(self, peers: Sequence[str]) -> list[str]:
        """Return the peers that are not backed off, in the given order."""
        now = now_s()
        return [peer for peer in peers if self._unreachable_until_s.get(peer, 0.0) <= now]

    def has_pending_calls(self, peer: str) -> bool:
        """Return whether a call waits for a reply of the peer."""
        return bool(self._pending_calls.get(peer))

    def mark_unreachable(self, peer: str) -> None:
        """Avoid the peer during the backoff time and cancel the calls that wait for its reply."""
        self._unreachable_until_s[peer] = now_s() + _BACKOFF_S
        for call in self._pending_calls.get(peer, set()):
            call.cancel()

    async def wait_for_call(self, peer: str, call: asyncio.Future[Any]) -> Any:
        """Wait for a call to the peer and return its result.

        Raises
        ------
        OutcomeUnknownError
            The call was cancelled, because the peer was marked unreachable.
        """
        calls = self._pending_calls.setdefault(peer, set())
        calls.add(call)
        try:
            await asyncio.wait((call,))
        finally:
            calls.discard(call)
            call.cancel()
        if call.cancelled():
            raise OutcomeUnknownError("peer became unreachable", step="acquire", peer=peer)
        return call.result()
