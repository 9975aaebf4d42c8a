"""Model of the engines of one service, from measurements alone."""

from collections import deque

import attrs

from flamingoshelf.placement._linear_fit import LinearFit
from flamingoshelf.placement._role_plan import RequestCost
from flamingoshelf.utils import median

__all__ = ["EngineModel", "EngineModelState"]

_SMOOTHING_WEIGHT = 0.1  # weight of a new measurement in the exponential moving averages
_WINDOW_ANSWERS = 64  # answers whose lengths give the tokens per event; their median is stable
_COUNTED_RUNS = 16  # runs that engines count in all; each costs a part of a report call
_MIN_COUNTED_RUNS = 4  # then they replace the estimates of callers, which are often far off
_MIN_COUNTED_EVENTS = 3  # an event that isn't complete yet matters less later
_UNSENT_EVENT = 0.5  # mean part of an event that is generated and not sent yet
_MEAN_WINDOW_REQUESTS = 200  # length of the moving averages of requests
_MIN_COST_S = 1e-6  # the throughput of a role is finite
_MIN_EVENTS = 2  # the time between events is unknown before the second one
# Requests before the split of the engines follows from the measured costs. Their lengths vary by
# half, so the mean of fewer is too uncertain for a role change that costs seconds of an engine.
_MIN_REQUESTS_FOR_COST = 20
_MIN_ANSWERS_FOR_COST = 3  # for the speed; the lengths are those of all requests
# Answers before the estimates of callers are corrected. The first ones are shorter than the mean.
_MIN_ANSWERS_FOR_BIAS = 20


@attrs.define(kw_only=True)
class MeanSizes:
    """Moving averages of the sizes of requests.

    Parameters
    ----------
    count : int
        Number of requests.
    prompt_tokens, answer_tokens : float
        Lengths of prompt and answer.
    token_steps : float
        Tokens held in memory, summed over the decode steps.
    """

    count: int = 0
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    token_steps: float = 0.0

    def add(self, *, prompt_tokens: float, answer_tokens: float) -> None:
        """Add a request."""
        self.count += 1
        weight = max(1 / _MEAN_WINDOW_REQUESTS, 1 / self.count)
        token_steps = (prompt_tokens + answer_tokens / 2) * answer_tokens
        self.prompt_tokens += weight * (prompt_tokens - self.prompt_tokens)
        self.answer_tokens += weight * (answer_tokens - self.answer_tokens)
        self.token_steps += weight * (token_steps - self.token_steps)


@attrs.define(kw_only=True)
class EngineModelState:
    """Measurements of an `EngineModel`, as nodes hand them on to a new coordinator.

    Parameters
    ----------
    service : str
        Service of the engines.
    measurements : int
        Number of measurements made so far; of two states the one with more is preferred.
    prefill : LinearFit
        Seconds of a prefill by prompt tokens.
    event_interval : LinearFit
        Seconds between two events of a run by the number of runs at its engine.
    tokens_per_event : float or None
        Tokens in one event, or None before the first complete answer.
    first_event_s : float
        Mean seconds from the end of a prefill to the first event.
    counted_runs : int
        Runs whose tokens and events were counted by their engines.
    requests, answers : MeanSizes
        Mean sizes of the requests that arrived, by the estimates of their callers, and of complete
        answers.
    answer_estimates : MeanSizes
        Mean sizes that the callers of these answers had estimated.
    """

    service: str
    measurements: int = 0
    prefill: LinearFit = attrs.field(factory=lambda: LinearFit(is_proportional=True))
    event_interval: LinearFit = attrs.field(factory=LinearFit)
    tokens_per_event: float | None = None
    first_event_s: float = 0.0
    counted_runs: int = 0
    requests: MeanSizes = attrs.field(factory=MeanSizes)
    answers: MeanSizes = attrs.field(factory=MeanSizes)
    answer_estimates: MeanSizes = attrs.field(factory=MeanSizes)


class EngineModel:
    """Speeds of the engines of one service and sizes of its requests, all of them measured.

    Values are None until they are measured. Engines of one service may differ: trackers of single
    engines keep their own deviation from this model.

    Parameters
    ----------
    service : str
        Service of the engines.
    """

    def __init__(self, *, service: str = "") -> None:
        self._state = EngineModelState(service=service)
        # Tokens per event as counted by engines, and by estimates of the lengths of answers.
        self._counted: deque[float] = deque(maxlen=_COUNTED_RUNS)
        self._estimated: deque[float] = deque(maxlen=_WINDOW_ANSWERS)

    @property
    def measurements(self) -> int:
        """Number of measurements; it grows with each change of the speeds."""
        return self._state.measurements

    @property
    def tokens_per_event(self) -> float | None:
        """Tokens in one event of a stream."""
        return self._state.tokens_per_event

    @property
    def first_event_s(self) -> float:
        """Mean seconds from the end of a prefill to the first event; 0 if not measured."""
        return self._state.first_event_s

    @property
    def mean_run_s(self) -> float | None:
        """Mean seconds that an answer takes at a decode engine."""
        s_per_token = self.s_per_token(round(self._state.event_interval.mean_x))
        if s_per_token is None:
            return None
        state = self._state
        tokens = state.requests.answer_tokens * _bias(
            state.answers, state.answers.answer_tokens, state.answer_estimates.answer_tokens
        )
        return tokens * s_per_token

    @property
    def state(self) -> EngineModelState:
        """Copy of the measurements, to hand on to another node."""
        return attrs.evolve(
            self._state,
            prefill=attrs.evolve(self._state.prefill),
            event_interval=attrs.evolve(self._state.event_interval),
            requests=attrs.evolve(self._state.requests),
            answers=attrs.evolve(self._state.answers),
            answer_estimates=attrs.evolve(self._state.answer_estimates),
        )

    def adopt(self, state: EngineModelState) -> bool:
        """Replace the measurements by those of another node if it made more of them."""
        if state.service != self._state.service or state.measurements <= self.measurements:
            return False
        self._state = state
        if state.tokens_per_event is not None:
            self._counted.extend([state.tokens_per_event] * min(state.counted_runs, _COUNTED_RUNS))
            # Few enough for the median to move.
            known = min(state.answers.count, _WINDOW_ANSWERS // 2)
            self._estimated.extend([state.tokens_per_event] * known)
        return True

    @property
    def needs_counted_runs(self) -> bool:
        """Whether the tokens per event follow from estimates of callers so far."""
        return self._state.counted_runs < _COUNTED_RUNS

    def prefill_s(self, prompt_tokens: int) -> float | None:
        """Return the seconds that a prefill takes on an idle engine."""
        return self._state.prefill.predict(prompt_tokens)

    def event_interval_s(self, runs: int) -> float | None:
        """Return the seconds between two events of a run at an engine with that many runs."""
        return self._state.event_interval.predict(max(1, runs))

    def s_per_token(self, runs: int) -> float | None:
        """Return the seconds per generated token at an engine with that many runs."""
        interval_s = self.event_interval_s(runs)
        if interval_s is None or not self._state.tokens_per_event:
            return None
        return interval_s / self._state.tokens_per_event

    def record_prefill(self, *, prompt_tokens: int, seconds: float) -> None:
        """Add a prefill that had an engine to itself."""
        self._state.measurements += 1
        self._state.prefill.add(prompt_tokens, seconds)

    def record_first_event(self, seconds: float) -> None:
        """Add the seconds from the end of a prefill to the first event."""
        weight = _SMOOTHING_WEIGHT if self._state.first_event_s else 1.0
        self._state.first_event_s += weight * (seconds - self._state.first_event_s)

    def record_speed(self, *, events: int, seconds: float, runs: int) -> float | None:
        """Add the speed of a run from its first event to its last; return its event interval.

        `runs` is the number of runs that shared the engine.
        """
        if events < _MIN_EVENTS or seconds <= 0:
            return None
        self._state.measurements += 1
        interval_s = seconds / (events - 1)
        self._state.event_interval.add(max(1, runs), interval_s)
        return interval_s

    def record_request(self, *, prompt_tokens: int, expected_tokens: int) -> None:
        """Add a request that arrived."""
        self._state.requests.add(prompt_tokens=prompt_tokens, answer_tokens=expected_tokens)

    def record_answer(self, *, prompt_tokens: int, expected_tokens: int, events: int) -> None:
        """Add a complete answer.

        Estimates of the length of an answer are right at the median. So the median of the estimates
        by events gives the tokens per event until engines have counted some runs.
        """
        if events <= 0:
            return
        state = self._state
        self._estimated.append(expected_tokens / events)
        if state.counted_runs < _MIN_COUNTED_RUNS:
            state.tokens_per_event = median(self._estimated)
        assert state.tokens_per_event is not None
        state.measurements += 1
        state.answers.add(
            prompt_tokens=prompt_tokens, answer_tokens=events * state.tokens_per_event
        )
        state.answer_estimates.add(prompt_tokens=prompt_tokens, answer_tokens=expected_tokens)

    def record_counted_run(self, *, tokens: int, events: int) -> None:
        """Add a run that an engine reports: its generated tokens, and the events sent so far."""
        if events < _MIN_COUNTED_EVENTS or tokens <= 0:
            return
        self._counted.append(tokens / (events + _UNSENT_EVENT))
        self._state.counted_runs += 1
        if self._state.counted_runs >= _MIN_COUNTED_RUNS:
            self._state.tokens_per_event = median(self._counted)
            self._state.measurements += 1

    def request_cost(self, *, capacity_tokens: int, slots: int) -> RequestCost | None:
        """Return the mean cost of a request, or None while too little is measured.

        A decode engine is full when either its memory or its slots are.
        """
        state = self._state
        prefill_s = self.prefill_s(round(state.requests.prompt_tokens))
        run_s = self.mean_run_s
        s_per_token = self.s_per_token(round(state.event_interval.mean_x))
        if prefill_s is None or run_s is None or s_per_token is None:
            return None
        if (
            state.requests.count < _MIN_REQUESTS_FOR_COST
            or state.answers.count < _MIN_ANSWERS_FOR_COST
        ):
            return None
        token_steps = state.requests.token_steps * _bias(
            state.answers, state.answers.token_steps, state.answer_estimates.token_steps
        )
        memory_s = token_steps * s_per_token / max(1, capacity_tokens)
        return RequestCost(
            prefill_s=max(prefill_s, _MIN_COST_S),
            decode_s=max(memory_s, run_s / max(1, slots), _MIN_COST_S),
        )


def _bias(answers: MeanSizes, measured: float, estimated: float) -> float:
    """Return the factor that corrects a mean of callers' estimates."""
    if answers.count < _MIN_ANSWERS_FOR_BIAS or estimated <= 0:
        return 1.0
    return measured / estimated
