"""Load of each engine, as counted by a dispatcher."""

from collections import deque

import attrs

from flamingoshelf.placement._answer_lengths import AnswerLength
from flamingoshelf.placement._engine_model import EngineModel
from flamingoshelf.placement._rejections import RejectionBackoff

__all__ = [
    "BLOCK_TOKENS",
    "UNMEASURED_RUN_S",
    "DecodeEngineTracker",
    "PlacementCost",
    "PrefillEngineTracker",
    "TrackedRun",
    "initial_need_tokens",
]

# KV cache is allocated in blocks, so each run wastes half a block on average.
BLOCK_TOKENS = 16
# Part of an answer's expected tokens that is reserved when it begins. The runs of an engine end at
# different times, so they don't all reach their full length at once.
_ANSWER_RESERVE_SHARE = 0.6
_SMOOTHING_WEIGHT = 0.2  # weight of a new measurement in the exponential moving average
# Load reports describe the state of an engine some hundred milliseconds ago: at most this long.
_MAX_REPORT_AGE_S = 1.5
# Tolerated difference between a report and the tracked load, as a part of the memory: a prompt that
# begins or ends.
_REPORT_TOLERANCE_SHARE = 0.05
_FOREIGN_TOKENS_LIFETIME_S = 1.5  # several poll intervals
# Assumed time of a run before any speed is measured, where a run that goes on unseen holds memory.
UNMEASURED_RUN_S = 5.0
_OVERRUN_SHARE = 0.25  # expected rest of an overlong answer, as a part of its expected tokens


# Whether another engine is better by all means, and a number that is least at the best engine.
PlacementCost = tuple[bool, float]


@attrs.define(kw_only=True)
class TrackedRun:
    """A run that is counted for a decode engine."""

    prompt_tokens: int
    expected_tokens: int
    started_s: float | None = None  # None until its first event
    abandoned_until_s: float | None = None  # set if it may go on after its answer was lost
    length: AnswerLength | None = None  # None if only the caller's estimate counts


class DecodeEngineTracker:
    """Runs and memory use of one decode engine; it has no room until `resize` is called.

    "Foreign" tokens are held by runs of other dispatchers, as far as load reports show them. While
    the speed isn't measured, runs hold what was reserved for them and their ends are unknown.

    Parameters
    ----------
    model : EngineModel
        Measured speeds of the service's engines; this engine may deviate from them.
    """

    def __init__(self, *, model: EngineModel) -> None:
        self._model = model
        self._capacity = 0
        self._slots = 0
        self._runs: dict[str, TrackedRun] = {}
        self._slowdown = 1.0  # measured time by the model's time
        self._snapshots: deque[tuple[float, float]] = deque()
        self._foreign_tokens = 0.0
        self._foreign_until_s = 0.0
        self._backoff = RejectionBackoff()

    @property
    def runs(self) -> int:
        """Number of tracked runs."""
        return len(self._runs)

    @property
    def free_slots(self) -> int:
        """Number of further runs that have a slot."""
        return max(0, self._slots - len(self._runs))

    @property
    def s_per_token(self) -> float | None:
        """Seconds per generated token, or None if not measured."""
        s_per_token = self._model.s_per_token(len(self._runs))
        return None if s_per_token is None else s_per_token * self._slowdown

    def resize(self, *, capacity_tokens: int, slots: int) -> None:
        """Set the size of the KV cache in tokens and the number of concurrent runs."""
        self._capacity = capacity_tokens
        self._slots = slots

    def __contains__(self, turn_id: str) -> bool:
        return turn_id in self._runs

    def used_tokens(self, now_s: float) -> float:
        """Return the tokens that runs hold or that are reserved for the rest of their answers."""
        s_per_token = self.s_per_token
        return self._foreign_at(now_s) + sum(
            _reserved_tokens(run, now_s, s_per_token) for run in self._runs.values()
        )

    def free_tokens(self, now_s: float) -> float:
        """Return the free tokens; 0 during the backoff after the engine refused a run."""
        if not self._backoff.is_over(now_s):
            return 0.0
        return self._capacity - self.used_tokens(now_s)

    def free_share(self, now_s: float) -> float:
        """Return the free part of the memory; negative if it is overcommitted."""
        return self.free_tokens(now_s) / max(1, self._capacity)

    def releases(self, now_s: float) -> list[tuple[float, float]]:
        """Return the expected end of each run and the tokens that it releases then.

        The ends are the present while the speed isn't measured.
        """
        s_per_token = self.s_per_token
        return [
            (
                now_s + _remaining_tokens(run, now_s, s_per_token) * (s_per_token or 0.0),
                _reserved_tokens(run, now_s, s_per_token),
            )
            for run in self._runs.values()
        ]

    def remaining_s(self, turn_id: str, now_s: float) -> float | None:
        """Return the seconds that a run is expected to last, None if that isn't known."""
        run, s_per_token = self._runs.get(turn_id), self.s_per_token
        if run is None or s_per_token is None:
            return None
        return _remaining_tokens(run, now_s, s_per_token) * s_per_token

    def fits(
        self, prompt_tokens: int, expected_tokens: int, now_s: float, workspace: str = ""
    ) -> bool:
        """Return whether there are a slot and enough memory for another run."""
        needed_tokens = initial_need_tokens(prompt_tokens, expected_tokens)
        return (
            self._backoff.is_over(now_s)
            and len(self._runs) < self._slots
            and needed_tokens <= self.free_tokens(now_s)
        )

    def cost(
        self, prompt_tokens: int, expected_tokens: int, now_s: float, workspace: str = ""
    ) -> PlacementCost | None:
        """Return the cost of placing a run here, None if it doesn't fit: least with most memory."""
        if not self.fits(prompt_tokens, expected_tokens, now_s, workspace):
            return None
        return False, -self.free_share(now_s)

    def can_ever_fit(self, prompt_tokens: int, expected_tokens: int) -> bool:
        """Return whether a run would fit on the engine if it were empty."""
        return initial_need_tokens(prompt_tokens, expected_tokens) <= self._capacity

    def add(
        self, turn_id: str, prompt_tokens: int, expected_tokens: int, workspace: str = ""
    ) -> None:
        """Add a run."""
        self._runs[turn_id] = TrackedRun(
            prompt_tokens=prompt_tokens, expected_tokens=expected_tokens
        )

    def start(self, turn_id: str, now_s: float) -> None:
        """Record the first event of a run and end the backoff."""
        run = self._runs.get(turn_id)
        if run is not None and run.started_s is None:
            run.started_s = now_s
            self._backoff.reset()

    def record_rejection(self, now_s: float) -> None:
        """Record a refusal: the engine holds more than is tracked here."""
        self._backoff.record_rejection(now_s, run_s=self._model.mean_run_s)

    def remove(self, turn_id: str) -> None:
        """Remove a run."""
        self._runs.pop(turn_id, None)

    def abandon(self, turn_id: str, now_s: float) -> None:
        """Keep a run whose answer was lost until its expected end."""
        run = self._runs.get(turn_id)
        if run is not None:
            self.start(turn_id, now_s)
            s_per_token = self.s_per_token
            run_s = UNMEASURED_RUN_S if s_per_token is None else run.expected_tokens * s_per_token
            run.abandoned_until_s = now_s + (1 + _OVERRUN_SHARE) * run_s

    def drop_abandoned(self, now_s: float) -> None:
        """Remove abandoned runs that must have ended."""
        for turn_id, run in list(self._runs.items()):
            if run.abandoned_until_s is not None and run.abandoned_until_s <= now_s:
                del self._runs[turn_id]

    def clear(self) -> None:
        """Remove all runs, as after a restart of the engine."""
        self._runs.clear()
        self._slowdown = 1.0
        self._snapshots.clear()
        self._foreign_tokens = 0.0
        self._backoff.reset()

    def record_speed(self, *, events: int, seconds: float) -> None:
        """Update the decode speed from a run that ended; call it before `remove`."""
        runs = len(self._runs)
        expected_s = self._model.event_interval_s(runs)
        interval_s = self._model.record_speed(events=events, seconds=seconds, runs=runs)
        if interval_s is not None and expected_s:
            new_s = self._model.event_interval_s(runs) or expected_s
            self._record_ratio(interval_s, expected_s, new_s)

    def record_snapshot(self, now_s: float) -> None:
        """Store the tokens held now, to compare them with a later report about this moment."""
        s_per_token = self.s_per_token
        held = sum(
            run.prompt_tokens + _generated_tokens(run.started_s, now_s, s_per_token)
            for run in self._runs.values()
            if run.started_s is not None
        )
        self._snapshots.append((now_s, held))
        while self._snapshots and self._snapshots[0][0] < now_s - _MAX_REPORT_AGE_S:
            self._snapshots.popleft()

    def record_report(self, held_tokens: float, now_s: float) -> None:
        """Update the foreign tokens from the tokens that the engine reports as held.

        The age of a report isn't known, so it is compared with the highest tracked load of the time
        that it may describe.
        """
        own = max((held for _, held in self._snapshots), default=0.0)
        tolerance = _REPORT_TOLERANCE_SHARE * self._capacity
        self._foreign_tokens = max(0.0, held_tokens - own - tolerance)
        self._foreign_until_s = now_s + _FOREIGN_TOKENS_LIFETIME_S

    def _foreign_at(self, now_s: float) -> float:
        return self._foreign_tokens if now_s < self._foreign_until_s else 0.0

    def _record_ratio(self, measured_s: float, expected_s: float, new_s: float) -> None:
        """Update the slowdown; `expected_s` is the model's time before the measurement."""
        self._slowdown = _updated_slowdown(self._slowdown, expected_s, measured_s, new_s)


# Functions rather than methods, as each decision calls them for each run.
def _generated_tokens(started_s: float, now_s: float, s_per_token: float | None) -> float:
    """Return the tokens that a run has generated; 0 if the speed isn't measured."""
    return (now_s - started_s) / s_per_token if s_per_token else 0.0


def _remaining_tokens(run: TrackedRun, now_s: float, s_per_token: float | None) -> float:
    """Return the expected number of tokens that a run has yet to generate."""
    if run.started_s is None:
        return run.expected_tokens
    generated = _generated_tokens(run.started_s, now_s, s_per_token)
    return max(run.expected_tokens - generated, _OVERRUN_SHARE * run.expected_tokens)


def _reserved_tokens(run: TrackedRun, now_s: float, s_per_token: float | None) -> float:
    """Return the tokens that a run holds plus the reserve for the rest of its answer."""
    if run.started_s is None:
        return initial_need_tokens(run.prompt_tokens, run.expected_tokens)
    generated = _generated_tokens(run.started_s, now_s, s_per_token)
    rest = max(run.expected_tokens - generated, _OVERRUN_SHARE * run.expected_tokens)
    return BLOCK_TOKENS + run.prompt_tokens + generated + _ANSWER_RESERVE_SHARE * rest


@attrs.define(kw_only=True)
class _Prompt:
    tokens: int
    began_s: float
    engine_was_idle: bool  # whether the prompt was the only one when it was assigned


class PrefillEngineTracker:
    """Prompts that were assigned to one prefill engine, which processes them one by one.

    Parameters
    ----------
    model : EngineModel
        Measured speeds of the service's engines; this engine may deviate from them.
    """

    def __init__(self, *, model: EngineModel) -> None:
        self._model = model
        self._prompts: dict[str, _Prompt] = {}
        self._slowdown = 1.0  # measured time by the model's time
        self._backoff = RejectionBackoff()

    @property
    def slowdown(self) -> float:
        """Time that this engine takes, by the time of the model."""
        return self._slowdown

    def work_s(self, prompt_tokens: int) -> float:
        """Return the seconds that a prompt takes on the idle engine; 0 if not measured."""
        return (self._model.prefill_s(prompt_tokens) or 0.0) * self.slowdown

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until all assigned prompts are done, at least 20% of their total."""
        if not self._prompts:
            return 0.0
        work_s = sum(self.work_s(prompt.tokens) for prompt in self._prompts.values())
        elapsed_s = now_s - min(prompt.began_s for prompt in self._prompts.values())
        return max(work_s - elapsed_s, 0.2 * work_s)

    def accepts_work(self, now_s: float, *, max_wait_s: float) -> bool:
        """Return whether the engine may get another prompt.

        It may not in the backoff after a refusal, or if the prompts assigned before take longer
        than `max_wait_s`. An engine of unknown speed processes one prompt at a time.
        """
        if not self._backoff.is_over(now_s):
            return False
        if self._prompts and self._model.prefill_s(0) is None:
            return False
        return self.wait_s(now_s) <= max_wait_s

    def record_rejection(self, now_s: float) -> None:
        """Record a refusal: other dispatchers have assigned work to the engine, too."""
        self._backoff.record_rejection(now_s, run_s=self._model.mean_run_s)

    def add_prompt(self, turn_id: str, prompt_tokens: int, now_s: float) -> None:
        """Add a prompt that is assigned now."""
        self._prompts[turn_id] = _Prompt(
            tokens=prompt_tokens, began_s=now_s, engine_was_idle=not self._prompts
        )

    def remove_prompt(self, turn_id: str, *, now_s: float, seconds: float | None = None) -> None:
        """Remove a prompt; update the speed if it was processed in `seconds`.

        Prompts are processed in the order of their assignment. So the time of one that waited
        counts from the end of the one before.
        """
        is_oldest = next(iter(self._prompts), None) == turn_id
        ended = self._prompts.pop(turn_id, None)
        if ended is None:
            return
        for other in self._prompts.values():
            other.began_s = max(other.began_s, now_s)  # the next prompt begins now
        if seconds is not None:
            self._backoff.reset()
        if seconds is None:
            return
        if ended.engine_was_idle:
            self._record_speed(ended.tokens, seconds)
        elif is_oldest:
            self._record_speed(ended.tokens, min(seconds, now_s - ended.began_s))

    def record_timeout(self, turn_id: str, *, seconds: float) -> None:
        """Record that a prompt wasn't processed after `seconds`, which were too short for it."""
        prompt = self._prompts.get(turn_id)
        if prompt is not None and seconds > self.work_s(prompt.tokens):
            self._record_speed(prompt.tokens, seconds)

    def clear(self) -> None:
        """Remove all prompts, as after a restart of the engine."""
        self._prompts.clear()
        self._slowdown = 1.0
        self._backoff.reset()

    def _record_speed(self, prompt_tokens: int, seconds: float) -> None:
        expected_s = self._model.prefill_s(prompt_tokens)
        self._model.record_prefill(prompt_tokens=prompt_tokens, seconds=seconds)
        if expected_s:
            new_s = self._model.prefill_s(prompt_tokens) or expected_s
            self._record_ratio(seconds, expected_s, new_s)

    def _record_ratio(self, measured_s: float, expected_s: float, new_s: float) -> None:
        """Update the slowdown; `expected_s` is the model's time before the measurement."""
        self._slowdown = _updated_slowdown(self._slowdown, expected_s, measured_s, new_s)


def _updated_slowdown(slowdown: float, expected_s: float, measured_s: float, new_s: float) -> float:
    """Return the slowdown of an engine after a measurement.

    The engine's own time, `slowdown * expected_s` before, follows a moving average. The measurement
    has changed the model's time from `expected_s` to `new_s`.
    """
    engine_s = slowdown * expected_s
    return (engine_s + _SMOOTHING_WEIGHT * (measured_s - engine_s)) / new_s


def initial_need_tokens(prompt_tokens: int, expected_tokens: int) -> float:
    """Return the tokens of memory that must be free when a run begins."""
    return BLOCK_TOKENS + prompt_tokens + _ANSWER_RESERVE_SHARE * expected_tokens
