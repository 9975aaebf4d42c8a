"""Load trackers that know the speed of their engine and the spread of the lengths of answers."""

from collections.abc import Callable
from math import erfc, sqrt

import attrs
from loguru import logger

from flamingoshelf.placement._answer_lengths import AnswerLength, AnswerLengths
from flamingoshelf.placement._engine_model import EngineModel
from flamingoshelf.placement._engine_speeds import EngineSpeed
from flamingoshelf.placement._engine_trackers import (
    BLOCK_TOKENS,
    DecodeEngineTracker,
    PlacementCost,
    PrefillEngineTracker,
    TrackedRun,
)

__all__ = ["CostDecodeTracker", "CostPrefillTracker"]

# Standard deviations of the remaining tokens of all runs that are kept free beyond their means.
_RESERVE_DEVIATIONS = 0.8
# An outlook this old is used again: a few tokens are generated meanwhile.
_OUTLOOK_LIFETIME_S = 0.05
# Without a new measurement for this long, an engine has the speed of the service again: one that is
# passed over as slow would never be measured again.
_SPEED_LIFETIME_S = 60.0
# Work whose time stands for the speed of an engine: a token beside some runs, a prompt.
_REFERENCE_RUNS = 4
_REFERENCE_PROMPT_TOKENS = 1_000
# Callers see a longer time between two events as a pause.
_MAX_EVENT_GAP_S = 0.3


@attrs.frozen(kw_only=True)
class _Outlook:
    """What the runs of an engine hold and have yet to generate.

    Parameters
    ----------
    runs : list of tuple of float
        Expected tokens to come and tokens held, of each run; those that end last come first.
    variance : float
        Sum of the variances of the tokens to come.
    """

    runs: list[tuple[float, float]] = attrs.field(factory=list)
    variance: float = 0.0

    def peak_tokens(self, *further: tuple[float, float]) -> float:
        """Return the highest sum of tokens that the runs and further ones hold until they end.

        All runs generate at the same rate, so the sum has its peaks when a run ends.
        """
        runs = sorted((*self.runs, *further), reverse=True) if further else self.runs
        peak = held = 0.0
        for count, (rest_tokens, held_tokens) in enumerate(runs, start=1):
            held += held_tokens
            peak = max(peak, held + count * rest_tokens)
        return peak


class CostDecodeTracker(DecodeEngineTracker):
    """Decode engine whose memory is reserved for the expected peak of its runs.

    Runs that end sooner free their memory for those that go on, so the peak is less than the sum of
    their final sizes. Beyond it, a multiple of the pooled standard deviation is kept free.

    Parameters
    ----------
    model : EngineModel
        Measured speeds of the service's engines.
    lengths : AnswerLengths
        Distributions of the lengths of answers.
    clock : callable
        Returns the time in seconds.
    engine : str
        Key of the engine, for logs.
    """

    def __init__(
        self,
        *,
        model: EngineModel,
        lengths: AnswerLengths,
        clock: Callable[[], float],
        engine: str = "",
    ) -> None:
        super().__init__(model=model)
        self._lengths = lengths
        self._clock = clock
        self._engine = engine
        self._speed = EngineSpeed()
        self._outlook = _Outlook()
        self._outlook_s = float("-inf")

    @property
    def speed(self) -> EngineSpeed:
        """Measured speed of this engine."""
        return self._speed

    @property
    def s_per_token(self) -> float | None:
        """Seconds per generated token, pauses included, or None if not measured."""
        return self._s_per_token(len(self._runs))

    def add(
        self, turn_id: str, prompt_tokens: int, expected_tokens: int, workspace: str = ""
    ) -> None:
        """Add a run."""
        self._runs[turn_id] = TrackedRun(
            prompt_tokens=prompt_tokens,
            expected_tokens=expected_tokens,
            length=self._length(expected_tokens, workspace),
        )
        self._forget_outlook()

    def start(self, turn_id: str, now_s: float) -> None:
        """Record the first event of a run and end the backoff."""
        super().start(turn_id, now_s)
        self._forget_outlook()

    def remove(self, turn_id: str) -> None:
        """Remove a run."""
        super().remove(turn_id)
        self._forget_outlook()

    def drop_abandoned(self, now_s: float) -> None:
        """Remove abandoned runs that must have ended."""
        runs = len(self._runs)
        super().drop_abandoned(now_s)
        if len(self._runs) != runs:
            self._forget_outlook()

    def clear(self) -> None:
        """Remove all runs, as after a restart of the engine."""
        super().clear()
        self._speed.clear()
        self._forget_outlook()

    def used_tokens(self, now_s: float) -> float:
        """Return the tokens at the expected peak of the runs, with a reserve for their spread."""
        return self._foreign_at(now_s) + _reserved_tokens(self._outlook_at(now_s))

    def releases(self, now_s: float) -> list[tuple[float, float]]:
        """Return the expected end of each run and its part of the used tokens."""
        outlook = self._outlook_at(now_s)
        final = sum(rest_tokens + held_tokens for rest_tokens, held_tokens in outlook.runs)
        share = _reserved_tokens(outlook) / max(1.0, final)
        s_per_token = self.s_per_token or 0.0
        return [
            (now_s + rest_tokens * s_per_token, share * (rest_tokens + held_tokens))
            for rest_tokens, held_tokens in outlook.runs
        ]

    def fits(
        self, prompt_tokens: int, expected_tokens: int, now_s: float, workspace: str = ""
    ) -> bool:
        """Return whether there are a slot and enough memory for another run."""
        if not self._runs:  # what fits on an empty engine must be placed on one
            return super().fits(prompt_tokens, expected_tokens, now_s)
        length = self._length(expected_tokens, workspace)
        margin = self._margin(prompt_tokens, length, now_s)
        return margin is not None and margin[0] >= _RESERVE_DEVIATIONS * margin[1]

    def cost(
        self, prompt_tokens: int, expected_tokens: int, now_s: float, workspace: str = ""
    ) -> PlacementCost | None:
        """Return the cost of placing a run here, None if it doesn't fit.

        It is the expected time of the run, the time that the others lose to it, and the risk that
        the memory is exceeded, in seconds. Engines whose events would come late are behind others.
        """
        runs = len(self._runs)
        if not runs and not self.fits(prompt_tokens, expected_tokens, now_s, workspace):
            return None
        length = self._length(expected_tokens, workspace)
        margin = self._margin(prompt_tokens, length, now_s)
        if margin is None:
            return None
        free_tokens, deviation = margin
        if runs and free_tokens < _RESERVE_DEVIATIONS * deviation:
            return None
        self._speed.expire(now_s - _SPEED_LIFETIME_S)
        s_per_token = self._s_per_token(runs + 1)
        present_s_per_token = self._s_per_token(runs)
        if s_per_token is None or present_s_per_token is None:
            return False, -self.free_share(now_s)
        own_s = length.mean_tokens * s_per_token
        others_tokens = sum(rest_tokens for rest_tokens, _ in self._outlook_at(now_s).runs)
        delay_s = others_tokens * (s_per_token - present_s_per_token)
        overflow_risk = 0.5 * erfc(free_tokens / max(1.0, deviation) / sqrt(2))
        gap_s = (self._model.event_interval_s(runs + 1) or 0.0) * self._slowest_factor
        return gap_s > _MAX_EVENT_GAP_S, own_s + delay_s + overflow_risk * own_s

    def _record_ratio(self, measured_s: float, expected_s: float, new_s: float) -> None:
        reference_s = self._model.event_interval_s(_REFERENCE_RUNS)
        if reference_s and new_s:
            reference_s *= measured_s / new_s
            if self._speed.record(reference_s, now_s=self._clock()):
                _log_change(self._engine, self._speed, "decode", self._median_slowdown)

    @property
    def _median_slowdown(self) -> float:
        return self._speed.slowdown(self._model.event_interval_s(_REFERENCE_RUNS))

    @property
    def _slowest_factor(self) -> float:
        """Time by the model's time that few runs exceed."""
        return self._median_slowdown * self._speed.pause_factor * (1 + 2 * self._speed.spread)

    def _s_per_token(self, runs: int) -> float | None:
        s_per_token = self._model.s_per_token(runs)
        if s_per_token is None:
            return None
        return s_per_token * self._median_slowdown * self._speed.pause_factor

    def _length(self, expected_tokens: int, workspace: str) -> AnswerLength:
        return self._lengths.predict(
            workspace=workspace,
            expected_tokens=expected_tokens,
            tokens_per_event=self._model.tokens_per_event,
        )

    def _forget_outlook(self) -> None:
        self._outlook_s = float("-inf")

    def _outlook_at(self, now_s: float) -> _Outlook:
        if not self._outlook_s <= now_s <= self._outlook_s + _OUTLOOK_LIFETIME_S:
            s_per_token = self.s_per_token
            runs = []
            variance = 0.0
            for run in self._runs.values():
                generated = 0.0
                if run.started_s is not None and s_per_token:
                    generated = (now_s - run.started_s) / s_per_token
                length = run.length or AnswerLength(median_tokens=max(1, run.expected_tokens))
                rest_tokens, rest_variance = length.rest(generated)
                runs.append((rest_tokens, BLOCK_TOKENS + run.prompt_tokens + generated))
                variance += rest_variance
            self._outlook = _Outlook(runs=sorted(runs, reverse=True), variance=variance)
            self._outlook_s = now_s
        return self._outlook

    def _margin(
        self, prompt_tokens: int, length: AnswerLength, now_s: float
    ) -> tuple[float, float] | None:
        """Return the tokens that stay free with another run, and their standard deviation.

        None if the engine doesn't accept another run.
        """
        if not self._backoff.is_over(now_s) or not self.free_slots:
            return None
        outlook = self._outlook_at(now_s)
        rest_tokens, variance = length.rest(0.0)
        peak_tokens = outlook.peak_tokens((rest_tokens, BLOCK_TOKENS + prompt_tokens))
        free_tokens = self._capacity - self._foreign_at(now_s) - peak_tokens
        return free_tokens, sqrt(outlook.variance + variance)


class CostPrefillTracker(PrefillEngineTracker):
    """Prefill engine with a robust measure of its speed.

    Parameters
    ----------
    model : EngineModel
        Measured speeds of the service's engines.
    clock : callable
        Returns the time in seconds.
    engine : str
        Key of the engine, for logs.
    """

    def __init__(self, *, model: EngineModel, clock: Callable[[], float], engine: str = "") -> None:
        super().__init__(model=model)
        self._clock = clock
        self._engine = engine
        self._speed = EngineSpeed()

    @property
    def slowdown(self) -> float:
        """Time that this engine takes, pauses included, by the time of the model."""
        reference_s = self._model.prefill_s(_REFERENCE_PROMPT_TOKENS)
        return self._speed.slowdown(reference_s) * self._speed.pause_factor

    def work_s(self, prompt_tokens: int) -> float:
        """Return the seconds that a prompt takes on the idle engine; 0 if not measured."""
        self._speed.expire(self._clock() - _SPEED_LIFETIME_S)
        return super().work_s(prompt_tokens)

    def clear(self) -> None:
        """Remove all prompts, as after a restart of the engine."""
        super().clear()
        self._speed.clear()

    def _record_ratio(self, measured_s: float, expected_s: float, new_s: float) -> None:
        reference_s = self._model.prefill_s(_REFERENCE_PROMPT_TOKENS)
        if reference_s and new_s:
            reference_s *= measured_s / new_s
            if self._speed.record(reference_s, now_s=self._clock()):
                _log_change(self._engine, self._speed, "prefill", self.slowdown)


def _reserved_tokens(outlook: _Outlook) -> float:
    return outlook.peak_tokens() + _RESERVE_DEVIATIONS * sqrt(outlook.variance)


def _log_change(engine: str, speed: EngineSpeed, work: str, slowdown: float) -> None:
    logger.bind(
        step="engine",
        peer=engine,
        work=work,
        slowdown=round(slowdown, 2),
        measurements=speed.count,
    ).info("engine changed its speed")
