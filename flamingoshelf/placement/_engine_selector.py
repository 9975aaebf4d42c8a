"""Selection of the prefill and decode engines of a request."""

import random

from loguru import logger

from flamingoshelf.placement._engine_trackers import PlacementCost
from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._types import PlacementRequest, request_id_of

__all__ = ["EngineSelector"]

# Work that a prefill engine may have queued when it gets another prompt. It keeps the engine busy
# for the time of a message between two nodes.
_MAX_PREFILL_BACKLOG_S = 0.06


class EngineSelector:
    """Selects engines for requests.

    Ties are broken at random: otherwise nodes that have just started, or that are separated by a
    network partition, would all select the same engine.

    Parameters
    ----------
    engines : EngineTable
        Engines and the work that is counted for them.
    random_source : random.Random
        Breaks ties between equal engines.
    """

    def __init__(self, *, engines: EngineTable, random_source: random.Random) -> None:
        self._engines = engines
        self._random = random_source

    def prefill(self, request: PlacementRequest, now_s: float) -> str | None:
        """Return the engine that would finish the prompt first, or None if all are busy.

        Engines in the best health tier come first.
        """
        choices = []
        for engine in self._engines.usable_prefills(avoid=request.avoid, exclude=request.exclude):
            tracker = self._engines.prefill_tracker(engine.key)
            if self._accepts_prefill(engine.key, now_s):
                done_s = tracker.wait_s(now_s) + tracker.work_s(request.prompt_tokens)
                tier = self._engines.tier(engine.key)
                choices.append((tier, done_s, self._random.random(), engine.key))
        return min(choices)[-1] if choices else None

    def has_idle_prefill(self, now_s: float) -> bool:
        """Return whether any prefill engine accepts a prompt."""
        return any(
            self._accepts_prefill(engine.key, now_s) for engine in self._engines.usable_prefills()
        )

    def decode(
        self,
        request: PlacementRequest,
        now_s: float,
        *,
        near: str | None,
        blocked: set[str] | frozenset[str] = frozenset(),
    ) -> str | None:
        """Return the engine with the least cost by its tracker, or None if none has room.

        Engines in the best health tier come first, then those in the data centre of engine `near`.
        Engines in `blocked` are left out.
        """
        prefill_data_centre = self._engines.data_centre(near)
        groups: dict[tuple[int, bool], list[str]] = {}
        for engine in self._engines.usable_decodes(avoid=request.avoid, exclude=request.exclude):
            if engine.key not in blocked:
                group = self._engines.tier(engine.key), engine.data_centre != prefill_data_centre
                groups.setdefault(group, []).append(engine.key)
        choice: tuple[PlacementCost, str] | None = None
        choice_tier = 0
        for group in sorted(groups):  # compute costs only for groups that may be selected
            if choice is not None and group[0] > choice_tier:
                break  # late events are better than bad health
            choices = [
                (cost, self._random.random(), key)
                for key in groups[group]
                if (cost := self._cost(key, request, now_s)) is not None
            ]
            if choices:
                cost, _, key = min(choices)
                if choice is None or not cost[0]:
                    choice, choice_tier = (cost, key), group[0]
                if not cost[0]:
                    break
        if choice is None:
            return None
        cost, key = choice
        if self._engines.places_by_cost:
            self._log_choice(request, key, cost)
        return key

    def _log_choice(self, request: PlacementRequest, key: str, cost: PlacementCost) -> None:
        tracker = self._engines.decode_tracker(key)
        s_per_token = tracker.s_per_token
        logger.bind(
            step="place",
            request_id=request_id_of(request.turn_id),
            peer=key,
            runs=tracker.runs,
            ms_per_token=None if s_per_token is None else round(1000 * s_per_token, 2),
            cost=round(cost[1], 3),
            has_late_events=cost[0],
        ).info("decode engine chosen by cost")

    def _accepts_prefill(self, key: str, now_s: float) -> bool:
        tracker = self._engines.prefill_tracker(key)
        return self._engines.has_permit(key) and tracker.accepts_work(
            now_s, max_wait_s=_MAX_PREFILL_BACKLOG_S
        )

    def _cost(self, key: str, request: PlacementRequest, now_s: float) -> PlacementCost | None:
        """Return the cost of placing a request, or None if the engine doesn't accept it."""
        if not self._engines.has_permit(key):
            return None
        return self._engines.decode_tracker(key).cost(
            request.prompt_tokens, request.expected_tokens, now_s, request.workspace
        )
