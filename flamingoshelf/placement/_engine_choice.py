"""Which engine gets a request."""

from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._types import PlacementRequest

__all__ = ["choose_decode", "choose_prefill"]

# Work that a prefill engine may have before it when it is given another prompt: enough to keep it
# busy over a message between two nodes.
_MAX_PREFILL_BACKLOG_S = 0.06


def choose_prefill(engines: EngineTable, request: PlacementRequest, now_s: float) -> str | None:
    """Return the engine that is done first, or None if all have enough work before them."""
    choices = []
    for engine in engines.usable_prefills(avoid=request.avoid):
        ledger = engines.prefill(engine.key)
        wait_s = ledger.wait_s(now_s)
        if ledger.takes_work(now_s) and wait_s <= _MAX_PREFILL_BACKLOG_S:
            work_s = ledger.work_s(request.prompt_tokens)
            choices.append((engines.tier(engine.key), wait_s + work_s, engine.key))
    return min(choices)[2] if choices else None


def choose_decode(
    engines: EngineTable,
    request: PlacementRequest,
    now_s: float,
    *,
    near: str | None,
    blocked: set[str] | frozenset[str] = frozenset(),
) -> str | None:
    """Return the engine with most room, one in the data centre of engine `near` if it can."""
    home = engines.data_centre(near)
    groups: dict[tuple[int, bool], list[str]] = {}
    for engine in engines.usable_decodes(avoid=request.avoid):
        if engine.key not in blocked:
            group = engines.tier(engine.key), engine.data_centre != home
            groups.setdefault(group, []).append(engine.key)
    for group in sorted(groups):  # free memory is counted only where it may decide
        choices = [
            (-free_share, key)
            for key in groups[group]
            if (free_share := _free_share(engines, key, request, now_s)) is not None
        ]
        if choices:
            return min(choices)[1]
    return None


def _free_share(
    engines: EngineTable, key: str, request: PlacementRequest, now_s: float
) -> float | None:
    """Return the free part of an engine's memory, None if it has no room for a request."""
    ledger = engines.decode(key)
    if not ledger.fits(request.prompt_tokens, request.expected_tokens, now_s):
        return None
    return ledger.free_share(now_s)
