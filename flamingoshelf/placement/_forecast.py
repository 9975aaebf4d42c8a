"""Forecasts of free decode memory and of prefill completion times."""

from bisect import insort
from collections.abc import Collection
from functools import cached_property

from flamingoshelf.placement._engines import EngineTable

__all__ = ["MemoryForecast", "PrefillForecast", "TurnPermitForecast"]

# Usable part of the free memory of all engines; the rest is spread over engines in pieces that are
# too small for a prompt.
_USABLE_MEMORY_SHARE = 0.9


class MemoryForecast:
    """Forecast of the free memory and slots of all decode engines, for requests served in order.

    Engines that are down for a moment only count as if they were in use.

    Parameters
    ----------
    engines : EngineTable
        Engines and the runs that are counted for them.
    now_s : float
        Time of the forecast.
    exclude : collection of str
        Engines to leave out.
    """

    def __init__(
        self, *, engines: EngineTable, now_s: float, exclude: Collection[str] = ()
    ) -> None:
        self._now_s = now_s
        expected = engines.expected_decodes(exclude=exclude)
        trackers = [engines.decode_tracker(engine.key) for engine in expected]
        self._free = _USABLE_MEMORY_SHARE * sum(
            max(0.0, tracker.free_tokens(now_s)) for tracker in trackers
        )
        self._free_slots = sum(tracker.free_slots for tracker in trackers)
        self._releases = sorted(
            release for tracker in trackers for release in tracker.releases(now_s)
        )
        self._reserved = 0.0
        self._reserved_slots = 0

    def wait_s(self, tokens: float) -> float:
        """Return the seconds until `tokens` and a slot are free beyond those reserved so far."""
        missing = self._reserved + tokens - self._free
        missing_slots = self._reserved_slots + 1 - self._free_slots
        if missing <= 0 and missing_slots <= 0:
            return 0.0
        for release_s, released in self._releases:
            missing -= _USABLE_MEMORY_SHARE * released
            missing_slots -= 1
            if missing <= 0 and missing_slots <= 0:
                return max(0.0, release_s - self._now_s)
        return float("inf")

    def reserve(self, tokens: float, *, begins_s: float, run_s: float) -> None:
        """Reserve memory and a slot for a request that is served before the next ones.

        It begins at `begins_s` and releases them after `run_s` seconds.
        """
        self._reserved += tokens
        self._reserved_slots += 1
        insort(self._releases, (begins_s + run_s, tokens))


class PrefillForecast:
    """Forecast of prefill and run times, from the state of the engines at one moment.

    Parameters
    ----------
    engines : EngineTable
        Engines and the work that is counted for them.
    now_s : float
        Time of the forecast.
    """

    def __init__(self, *, engines: EngineTable, now_s: float) -> None:
        trackers = [engines.prefill_tracker(engine.key) for engine in engines.usable_prefills()]
        self._engines = engines
        self._model = engines.model
        self._waits = [(tracker.wait_s(now_s), tracker.slowdown) for tracker in trackers]
        self._least_slowdown = min((slowdown for _, slowdown in self._waits), default=0.0)
        self._first_event_s = engines.model.first_event_s

    @cached_property
    def _s_per_token(self) -> float | None:
        """Seconds per token at the fastest engine, or None if not measured."""
        engines = self._engines
        speeds = [
            engines.decode_tracker(engine.key).s_per_token for engine in engines.usable_decodes()
        ]
        return min((speed for speed in speeds if speed is not None), default=None)

    @property
    def is_measured(self) -> bool:
        """Whether the speeds of the engines are measured; if not, all times are too short."""
        return self._s_per_token is not None and self._model.prefill_s(1) is not None

    def done_s(self, prompt_tokens: int) -> float:
        """Return the seconds until a prompt that is assigned now would be processed."""
        work_s = self._model.prefill_s(prompt_tokens) or 0.0
        return min((wait_s + work_s * slowdown for wait_s, slowdown in self._waits), default=0.0)

    def first_event_s(self, prompt_tokens: int) -> float:
        """Return the seconds until the first event of a request that is assigned now."""
        return self.done_s(prompt_tokens) + self._first_event_s

    def run_s(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Return the seconds that a request takes on idle engines."""
        work_s = (self._model.prefill_s(prompt_tokens) or 0.0) * self._least_slowdown
        return work_s + self._first_event_s + answer_tokens * (self._s_per_token or 0.0)


class TurnPermitForecast:
    """Forecast of the permits of engines that state limits, for turns granted in order.

    Parameters
    ----------
    engines : EngineTable
        Engines and the work that is counted for them.
    """

    def __init__(self, *, engines: EngineTable) -> None:
        self._permits = engines.permit_forecast()
        self._pools = (
            [engine.run for engine in engines.usable_prefills()],
            [engine.run for engine in engines.expected_decodes()],
        )

    def wait_s(self) -> float:
        """Return the seconds until a turn may begin, after those reserved so far."""
        if self._permits is None:
            return 0.0
        return max(self._permits.wait_s(runs) for runs in self._pools)

    def reserve(self) -> None:
        """Reserve the permits of a turn."""
        if self._permits is not None:
            for runs in self._pools:
                self._permits.reserve(runs)
