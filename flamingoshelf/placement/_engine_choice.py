"""Which engine gets a request."""

import random

from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._types import PlacementRequest

__all__ = ["EngineChoice"]

# Work that a prefill engine may have before it when it is given another prompt: enough to keep it
# busy over a message between two nodes.
_MAX_PREFILL_BACKLOG_S = 0.06


class EngineChoice:
    """Chooses engines for requests.

    Of equally good engines one is taken at random: nodes that have just started, or are cut off
    from one another, would all choose the same one otherwise.

    Parameters
    ----------
    engines : EngineTable
        Engines and what is counted of them.
    random_source : random.Random
        Chooses between equal engines.
    """

    def __init__(self, *, engines: EngineTable, random_source: random.Random) -> None:
        self._engines = engines
        self._random = random_source

    def prefill(self, request: PlacementRequest, now_s: float) -> str | None:
        """Return the engine that is done first, or None if all have enough work before them."""
        choices = []
        for engine in self._engines.usable_prefills(avoid=request.avoid):
            ledger = self._engines.prefill(engine.key)
            wait_s = ledger.wait_s(now_s)
            if ledger.takes_work(now_s) and wait_s <= _MAX_PREFILL_BACKLOG_S:
                done_s = wait_s + ledger.work_s(request.prompt_tokens)
                tier = self._engines.tier(engine.key)
                choices.append((tier, done_s, self._random.random(), engine.key))
        return min(choices)[-1] if choices else None

    def decode(
        self,
        request: PlacementRequest,
        now_s: float,
        *,
        near: str | None,
        blocked: set[str] | frozenset[str] = frozenset(),
    ) -> str | None:
        """Return the engine with most room, one in the data centre of engine `near` if it can."""
        home = self._engines.data_centre(near)
        groups: dict[tuple[int, bool], list[str]] = {}
        for engine in self._engines.usable_decodes(avoid=request.avoid):
            if engine.key not in blocked:
                group = self._engines.tier(engine.key), engine.data_centre != home
                groups.setdefault(group, []).append(engine.key)
        for group in sorted(groups):  # free memory is counted only where it may decide
            choices = [
                (-free_share, self._random.random(), key)
                for key in groups[group]
                if (free_share := self._free_share(key, request, now_s)) is not None
            ]
            if choices:
                return min(choices)[-1]
        return None

    def _free_share(self, key: str, request: PlacementRequest, now_s: float) -> float | None:
        """Return the free part of an engine's memory, None if it has no room for a request."""
        ledger = self._engines.decode(key)
        if not ledger.fits(request.prompt_tokens, request.expected_tokens, now_s):
            return None
        return ledger.free_share(now_s)
