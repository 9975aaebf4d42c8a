"""Dispatcher's account of each engine: places, memory, active prefills and failures."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from flamingoshelf.objects import BackendServer

__all__ = ["DecodeAccount", "PrefillAccount"]

_LAGGING_REPORT_WINDOW_S = 2.0
_MAX_CACHED_BLOCKS = 4096
_BLOCK_TOKENS = 256  # estimate for one hashed block of the prompt
_ACTIVE_PREFILL_MAX_AGE_S = 20.0


@attrs.define(kw_only=True)
class DecodeAccount:
    """Places and KV cache memory in use at one decode engine.

    Parameters
    ----------
    held : dict
        Memory pieces by id of the attempts that were granted or registered.
    unregistered : dict
        Ids that the engine reports without a grant, with the time of the first report in seconds.
    is_down : bool
        Whether the engine is marked down and gets no new request.
    """

    held: dict[str, int] = attrs.field(factory=dict)
    unregistered: dict[str, float] = attrs.field(factory=dict)
    is_down: bool = False
    _unregistered_pieces: int = 0
    _recently_released: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    def fits(self, server: BackendServer, pieces: int, *, reserved_places: int = 0) -> bool:
        """Return whether the engine has a free place and `pieces` free pieces of memory."""
        unregistered_pieces = (
            max(self._unregistered_pieces, len(self.unregistered)) if self.unregistered else 0
        )
        used_pieces = sum(self.held.values()) + unregistered_pieces
        has_place = self.used_places + reserved_places < server.places
        return has_place and used_pieces + pieces <= server.kv_pieces

    @property
    def used_places(self) -> int:
        """Number of places in use, those of unregistered attempts included."""
        return len(self.held) + len(self.unregistered)

    def reserve(self, request_id: str, pieces: int) -> None:
        """Reserve a place and memory for an attempt."""
        self.unregistered.pop(request_id, None)
        self._recently_released.pop(request_id, None)
        self.held[request_id] = pieces

    def release_place(self, request_id: str, now_s: float) -> None:
        """Release the place of an attempt; lagging reports of it are ignored briefly."""
        self.unregistered.pop(request_id, None)
        if self.held.pop(request_id, None) is not None:
            self._recently_released[request_id] = now_s

    def discard_unregistered(self, request_id: str, now_s: float) -> None:
        """Discard an unregistered attempt after the engine confirmed its cancellation."""
        if self.unregistered.pop(request_id, None) is not None:
            self._recently_released[request_id] = now_s

    def observe(self, reported: Iterable[str], used_pieces: int, now_s: float) -> None:
        """Process a load report of the engine, which may lag behind grants and releases.

        Parameters
        ----------
        reported : iterable of str
            Ids of the attempts that the engine holds.
        used_pieces : int
            Pieces of memory in use.
        now_s : float
            Time of the report.
        """
        self.is_down = False
        while (
            self._recently_released
            and next(iter(self._recently_released.values())) < now_s - _LAGGING_REPORT_WINDOW_S
        ):
            self._recently_released.popitem(last=False)
        reported = tuple(reported)
        unknown_ids = [
            i for i in reported if i not in self.held and i not in self._recently_released
        ]
        known_pieces = sum(self.held.get(i, 0) for i in reported)
        self._unregistered_pieces = used_pieces - known_pieces
        self.unregistered = {i: self.unregistered.get(i, now_s) for i in unknown_ids}


@attrs.define(kw_only=True)
class PrefillAccount:
    """Active prefills, link use and expected prefix cache of one prefill engine."""

    is_down: bool = False
    _active_prefills: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _link_free_at_s: float = 0.0
    _cached_blocks: OrderedDict[int, None] = attrs.field(factory=OrderedDict)

    def wait_s(self, server: BackendServer, now_s: float) -> float:
        """Return the seconds until the active prefills are expected to end.

        Overdue prefills are dropped first, because the message about their end may be lost.
        """
        expired = [
            i
            for i, (_, begun_s) in self._active_prefills.items()
            if begun_s < now_s - _ACTIVE_PREFILL_MAX_AGE_S
        ]
        for request_id in expired:
            del self._active_prefills[request_id]
        return sum(tokens for tokens, _ in self._active_prefills.values()) / server.prefill_tokens_s

    def link_wait_s(self, now_s: float) -> float:
        """Return the seconds until the network link is expected to be free."""
        return max(0.0, self._link_free_at_s - now_s)

    def cached_tokens(self, prefix_hashes: Iterable[int]) -> int:
        """Return how many leading prompt tokens the prefix cache is expected to hold."""
        count = 0
        for block in prefix_hashes:
            if block not in self._cached_blocks:
                break
            count += 1
        return count * _BLOCK_TOKENS

    def start_prefill(
        self,
        request_id: str,
        *,
        tokens: int,
        transfer_s: float,
        prefix_hashes: Iterable[int],
        ready_s: float,
        now_s: float,
    ) -> None:
        """Record a prefill, its KV cache transfer and its blocks in the prefix cache.

        Parameters
        ----------
        request_id : str
            Id of the attempt.
        tokens : int
            Prompt tokens to compute, without those in the prefix cache.
        transfer_s : float
            Expected duration of the transfer in seconds.
        prefix_hashes : iterable of int
            Hashes of the prompt's leading blocks.
        ready_s : float
            Time at which the transfer may start.
        now_s : float
            Current time.
        """
        self._active_prefills[request_id] = (tokens, now_s)
        self._link_free_at_s = max(self._link_free_at_s, ready_s) + transfer_s
        for block in prefix_hashes:
            self._cached_blocks[block] = None
            self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) > _MAX_CACHED_BLOCKS:
            self._cached_blocks.popitem(last=False)

    def end_prefill(self, request_id: str) -> None:
        """Remove a prefill; may be repeated."""
        self._active_prefills.pop(request_id, None)

    def clear_cache(self) -> None:
        """Forget the expected content of the prefix cache, as after a restart of the engine."""
        self._cached_blocks.clear()
