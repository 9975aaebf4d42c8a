"""Turns that their owners no longer hold, as far as the owners' reports show it."""

from collections.abc import Callable, Mapping

from loguru import logger

from flamingoshelf.placement._decisions import ActiveTurn
from flamingoshelf.placement._engine_trackers import UNMEASURED_RUN_S
from flamingoshelf.placement._forecast import PrefillForecast
from flamingoshelf.placement._types import request_id_of

__all__ = ["OwnerReports"]

# A turn that is granted while its owner's report is under way is missing from that report.
_UNLISTED_TURN_GRACE_S = 0.5
_OWNER_TIMEOUT_S = 1.0  # four report intervals
_ORPHAN_RUN_FACTOR = 1.5  # multiple of the expected run time, as runs may take longer


class OwnerReports:
    """Times of the reports of the nodes that own turns.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_report_s: dict[str, float] = {}

    def unlisted_turns(
        self, owner: str, listed: set[str], turns: Mapping[str, ActiveTurn]
    ) -> list[str]:
        """Record a report; return the turns of its owner that it doesn't list."""
        now = self._last_report_s[owner] = self._clock()
        found = [
            turn_id
            for turn_id, active in turns.items()
            if active.owner == owner
            and active.granted_s < now - _UNLISTED_TURN_GRACE_S
            and turn_id not in listed
        ]
        for turn_id in found:
            logger.bind(request_id=request_id_of(turn_id), step="reconcile", peer=owner).info(
                "turn released; its owner no longer holds it"
            )
        return found

    def orphaned_turns(
        self, turns: Mapping[str, ActiveTurn], forecast: PrefillForecast
    ) -> list[str]:
        """Return the turns of silent owners whose runs must have ended."""
        now = self._clock()
        found = []
        for turn_id, active in turns.items():
            silent_s = now - self._last_report_s.get(active.owner, active.granted_s)
            if silent_s < _OWNER_TIMEOUT_S:
                continue
            request = active.request
            run_s = (
                forecast.run_s(request.prompt_tokens, request.expected_tokens)
                if forecast.is_measured
                else UNMEASURED_RUN_S
            )
            if now > active.granted_s + _ORPHAN_RUN_FACTOR * run_s:
                logger.bind(
                    request_id=request_id_of(turn_id), step="orphan", peer=active.owner
                ).info("turn released; its owner has been silent for {:.1f} s", silent_s)
                found.append(turn_id)
        return found
