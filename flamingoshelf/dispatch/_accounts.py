"""What a dispatcher knows of each engine: places, memory, turns and failures."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from flamingoshelf.objects import BackendServer

__all__ = ["DecodeAccount", "PrefillAccount"]

_RELEASED_MEMORY_S = 2.0
_CACHED_BLOCKS = 4096
_BLOCK_TOKENS = 256
_TURN_LIFETIME_S = 20.0


@attrs.define(kw_only=True)
class DecodeAccount:
    """Places and memory of one decode engine.

    Parameters
    ----------
    held : dict
        Pieces by id of the attempts that were granted or registered.
    foreign : dict
        Time at which each unknown id was first reported by the engine.
    """

    held: dict[str, int] = attrs.field(factory=dict)
    foreign: dict[str, float] = attrs.field(factory=dict)
    is_down: bool = False
    _foreign_pieces: int = 0
    _released: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    def fits(self, server: BackendServer, pieces: int, *, reserved_places: int = 0) -> bool:
        """Return whether the engine has a place and memory for `pieces`."""
        foreign_pieces = max(self._foreign_pieces, len(self.foreign)) if self.foreign else 0
        used_pieces = sum(self.held.values()) + foreign_pieces
        has_place = self.used_places + reserved_places < server.places
        return has_place and used_pieces + pieces <= server.kv_pieces

    @property
    def used_places(self) -> int:
        """Places in use as far as known."""
        return len(self.held) + len(self.foreign)

    def hold(self, request_id: str, pieces: int) -> None:
        """Count a place."""
        self.foreign.pop(request_id, None)
        self._released.pop(request_id, None)
        self.held[request_id] = pieces

    def free(self, request_id: str, now_s: float) -> None:
        """Count a place no more; lagging reports of it are ignored for a short time."""
        self.foreign.pop(request_id, None)
        if self.held.pop(request_id, None) is not None:
            self._released[request_id] = now_s

    def forget_foreign(self, request_id: str, now_s: float) -> None:
        """Count an unknown attempt no more, after the engine confirmed its cancellation."""
        if self.foreign.pop(request_id, None) is not None:
            self._released[request_id] = now_s

    def observe(self, reported: Iterable[str], used_pieces: int, now_s: float) -> None:
        """Take in the ids and the memory in use that the engine reports, with a lag."""
        self.is_down = False
        while self._released and next(iter(self._released.values())) < now_s - _RELEASED_MEMORY_S:
            self._released.popitem(last=False)
        reported = tuple(reported)
        unknown = [i for i in reported if i not in self.held and i not in self._released]
        known_pieces = sum(self.held.get(i, 0) for i in reported)
        self._foreign_pieces = used_pieces - known_pieces
        self.foreign = {i: self.foreign.get(i, now_s) for i in unknown}


@attrs.define(kw_only=True)
class PrefillAccount:
    """Turns, link time and prefix cache of one prefill engine."""

    is_down: bool = False
    _turns: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _link_free_s: float = 0.0
    _blocks: OrderedDict[int, None] = attrs.field(factory=OrderedDict)

    def wait_s(self, server: BackendServer, now_s: float) -> float:
        """Return the expected wait for a turn."""
        expired = [i for i, (_, since) in self._turns.items() if since < now_s - _TURN_LIFETIME_S]
        for request_id in expired:
            del self._turns[request_id]
        return sum(tokens for tokens, _ in self._turns.values()) / server.prefill_tokens_s

    def link_wait_s(self, now_s: float) -> float:
        """Return the expected time until the link is free."""
        return max(0.0, self._link_free_s - now_s)

    def cached_tokens(self, prefix_hashes: Iterable[int]) -> int:
        """Return the tokens that the prefix cache is expected to hold."""
        count = 0
        for block in prefix_hashes:
            if block not in self._blocks:
                break
            count += 1
        return count * _BLOCK_TOKENS

    def begin(
        self,
        request_id: str,
        *,
        tokens: int,
        transfer_s: float,
        prefix_hashes: Iterable[int],
        ready_s: float,
        now_s: float,
    ) -> None:
        """Count a turn, its transfer, and the blocks that it leaves in the cache."""
        self._turns[request_id] = (tokens, now_s)
        self._link_free_s = max(self._link_free_s, ready_s) + transfer_s
        for block in prefix_hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > _CACHED_BLOCKS:
            self._blocks.popitem(last=False)

    def end(self, request_id: str) -> None:
        """Count the turn no more."""
        self._turns.pop(request_id, None)

    def forget_cache(self) -> None:
        """Drop the cache map, as after a restart of the engine."""
        self._blocks.clear()
