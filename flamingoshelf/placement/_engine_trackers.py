"""Load of each engine, as counted by a dispatcher."""

from collections import deque

import attrs

from flamingoshelf.placement._rejections import RejectionBackoff

__all__ = [
    "PREFILL_OVERHEAD_S",
    "DecodeEngineTracker",
    "PrefillEngineTracker",
    "initial_need_tokens",
]

# KV cache is allocated in blocks, so each run wastes half a block on average.
_BLOCK_TOKENS = 16
# Part of an answer's expected tokens that is reserved when it begins. The runs of an engine end at
# different times, so they don't all reach their full length at once.
_ANSWER_RESERVE_SHARE = 0.6
# Initial speeds, adjusted to the measured ones.
_INITIAL_DECODE_S_PER_TOKEN = 0.0053
_INITIAL_PREFILL_TOKENS_PER_S = 33_000.0  # nominal speed of the engines
PREFILL_OVERHEAD_S = 0.024  # part of a prefill's time that doesn't depend on the prompt length
_SMOOTHING_WEIGHT = 0.2  # weight of a new measurement in the exponential moving average
# Age of the state that an engine's load report describes.
_REPORT_LAG_S = 0.9
# Tolerated difference between a report and the tracked load: one prompt that begins or ends.
_REPORT_TOLERANCE_TOKENS = 1500
_FOREIGN_TOKENS_LIFETIME_S = 1.5  # runs of other dispatchers last at least two seconds
_OVERRUN_SHARE = 0.25  # expected rest of an overlong answer, as a part of its expected tokens


@attrs.define(kw_only=True)
class _Run:
    prompt_tokens: int
    expected_tokens: int
    started_s: float | None = None  # None until its first event
    abandoned_until_s: float | None = None  # set if it may go on after its answer was lost


class DecodeEngineTracker:
    """Runs and memory use of one decode engine; it has no room until `resize` is called.

    "Foreign" tokens are held by runs of other dispatchers, as far as load reports show them.
    """

    def __init__(self) -> None:
        self._capacity = 0
        self._slots = 0
        self._runs: dict[str, _Run] = {}
        self._s_per_token = _INITIAL_DECODE_S_PER_TOKEN
        self._snapshots: deque[tuple[float, float]] = deque()
        self._foreign_tokens = 0.0
        self._foreign_until_s = 0.0
        self._backoff = RejectionBackoff()

    @property
    def runs(self) -> int:
        """Number of tracked runs."""
        return len(self._runs)

    @property
    def s_per_token(self) -> float:
        """Average seconds per generated token."""
        return self._s_per_token

    def resize(self, *, capacity_tokens: int, slots: int) -> None:
        """Set the size of the KV cache in tokens and the number of concurrent runs."""
        self._capacity = capacity_tokens
        self._slots = slots

    def __contains__(self, turn_id: str) -> bool:
        return turn_id in self._runs

    def used_tokens(self, now_s: float) -> float:
        """Return the tokens that runs hold or that are reserved for the rest of their answers."""
        foreign_tokens = self._foreign_tokens if now_s < self._foreign_until_s else 0.0
        return foreign_tokens + sum(
            self._reserved_tokens(run, now_s) for run in self._runs.values()
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
        """Return the expected end of each run and the tokens that it releases then."""
        return [
            (
                now_s + self._remaining_tokens(run, now_s) * self._s_per_token,
                self._reserved_tokens(run, now_s),
            )
            for run in self._runs.values()
        ]

    def fits(self, prompt_tokens: int, expected_tokens: int, now_s: float) -> bool:
        """Return whether there are a slot and enough memory for another run."""
        needed_tokens = initial_need_tokens(prompt_tokens, expected_tokens)
        return (
            self._backoff.is_over(now_s)
            and len(self._runs) < self._slots
            and needed_tokens <= self.free_tokens(now_s)
        )

    def can_ever_fit(self, prompt_tokens: int, expected_tokens: int) -> bool:
        """Return whether a run would fit on the engine if it were empty."""
        return initial_need_tokens(prompt_tokens, expected_tokens) <= self._capacity

    def add(self, turn_id: str, prompt_tokens: int, expected_tokens: int) -> None:
        """Add a run."""
        self._runs[turn_id] = _Run(prompt_tokens=prompt_tokens, expected_tokens=expected_tokens)

    def start(self, turn_id: str, now_s: float) -> None:
        """Record the first event of a run and end the backoff."""
        run = self._runs.get(turn_id)
        if run is not None and run.started_s is None:
            run.started_s = now_s
            self._backoff.reset()

    def record_rejection(self, now_s: float) -> None:
        """Record a refusal: the engine holds more than is tracked here."""
        self._backoff.record_rejection(now_s)

    def remove(self, turn_id: str) -> None:
        """Remove a run."""
        self._runs.pop(turn_id, None)

    def abandon(self, turn_id: str, now_s: float) -> None:
        """Keep a run whose answer was lost until its expected end."""
        run = self._runs.get(turn_id)
        if run is not None:
            self.start(turn_id, now_s)
            longest = (1 + _OVERRUN_SHARE) * run.expected_tokens
            run.abandoned_until_s = now_s + longest * self._s_per_token

    def drop_abandoned(self, now_s: float) -> None:
        """Remove abandoned runs that must have ended."""
        for turn_id, run in list(self._runs.items()):
            if run.abandoned_until_s is not None and run.abandoned_until_s <= now_s:
                del self._runs[turn_id]

    def clear(self) -> None:
        """Remove all runs, as after a restart of the engine."""
        self._runs.clear()
        self._snapshots.clear()
        self._foreign_tokens = 0.0
        self._backoff.reset()

    def record_speed(self, *, tokens: int, seconds: float) -> None:
        """Update the decode speed from a run that ended."""
        if tokens >= _BLOCK_TOKENS and seconds > 0:
            measured = seconds / tokens
            self._s_per_token += _SMOOTHING_WEIGHT * (measured - self._s_per_token)

    def record_snapshot(self, now_s: float) -> None:
        """Store the tokens held now, to compare them with a later report about this moment."""
        held = sum(self._held_tokens(run, now_s) for run in self._runs.values())
        self._snapshots.append((now_s, held))
        while self._snapshots and self._snapshots[0][0] < now_s - 2 * _REPORT_LAG_S:
            self._snapshots.popleft()

    def record_report(self, held_tokens: float, now_s: float) -> None:
        """Update the foreign tokens from the tokens that the engine reports as held."""
        then_s = now_s - _REPORT_LAG_S
        own = next((held for at_s, held in reversed(self._snapshots) if at_s <= then_s), 0.0)
        self._foreign_tokens = max(0.0, held_tokens - own - _REPORT_TOLERANCE_TOKENS)
        self._foreign_until_s = now_s + _FOREIGN_TOKENS_LIFETIME_S

    def _held_tokens(self, run: _Run, now_s: float) -> float:
        """Return the tokens that a run holds now."""
        if run.started_s is None:
            return 0.0
        return run.prompt_tokens + (now_s - run.started_s) / self._s_per_token

    def _reserved_tokens(self, run: _Run, now_s: float) -> float:
        """Return the tokens that a run holds plus the reserve for the rest of its answer."""
        if run.started_s is None:
            return initial_need_tokens(run.prompt_tokens, run.expected_tokens)
        generated = (now_s - run.started_s) / self._s_per_token
        growth = _ANSWER_RESERVE_SHARE * self._remaining_tokens(run, now_s)
        return _BLOCK_TOKENS + run.prompt_tokens + generated + growth

    def _remaining_tokens(self, run: _Run, now_s: float) -> float:
        """Return the expected number of tokens that a run has yet to generate."""
        if run.started_s is None:
            return run.expected_tokens
        generated = (now_s - run.started_s) / self._s_per_token
        return max(run.expected_tokens - generated, _OVERRUN_SHARE * run.expected_tokens)


@attrs.define(kw_only=True)
class _Prompt:
    tokens: int
    began_s: float
    engine_was_idle: bool  # whether the prompt was the only one when it was assigned


class PrefillEngineTracker:
    """Prompts that were assigned to one prefill engine, which processes them one by one."""

    def __init__(self) -> None:
        self._prompts: dict[str, _Prompt] = {}
        self._tokens_s = _INITIAL_PREFILL_TOKENS_PER_S
        self._backoff = RejectionBackoff()

    @property
    def jobs(self) -> int:
        """Number of prompts that aren't processed yet."""
        return len(self._prompts)

    @property
    def tokens_s(self) -> float:
        """Average prompt tokens per second."""
        return self._tokens_s

    def work_s(self, prompt_tokens: int) -> float:
        """Return the seconds that a prompt takes on an idle engine."""
        return PREFILL_OVERHEAD_S + prompt_tokens / self._tokens_s

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until all assigned prompts are done, at least 20% of their total."""
        if not self._prompts:
            return 0.0
        work_s = sum(self.work_s(prompt.tokens) for prompt in self._prompts.values())
        elapsed_s = now_s - min(prompt.began_s for prompt in self._prompts.values())
        return max(work_s - elapsed_s, 0.2 * work_s)

    def accepts_work(self, now_s: float) -> bool:
        """Return whether the engine isn't in backoff after a refusal."""
        return self._backoff.is_over(now_s)

    def record_rejection(self, now_s: float) -> None:
        """Record a refusal: other dispatchers have assigned work to the engine, too."""
        self._backoff.record_rejection(now_s)

    def add_prompt(self, turn_id: str, prompt_tokens: int, now_s: float) -> None:
        """Add a prompt that is assigned now."""
        self._prompts[turn_id] = _Prompt(
            tokens=prompt_tokens, began_s=now_s, engine_was_idle=not self._prompts
        )

    def remove_prompt(self, turn_id: str, *, now_s: float, seconds: float | None = None) -> None:
        """Remove a prompt; update the speed if it ran alone and `seconds` is given."""
        ended = self._prompts.pop(turn_id, None)
        if ended is None:
            return
        for other in self._prompts.values():
            other.began_s = max(other.began_s, now_s)  # the next prompt begins now
        if seconds is not None:
            self._backoff.reset()
        if seconds is not None and ended.engine_was_idle and seconds > PREFILL_OVERHEAD_S:
            measured = ended.tokens / (seconds - PREFILL_OVERHEAD_S)
            self._tokens_s += _SMOOTHING_WEIGHT * (measured - self._tokens_s)

    def clear(self) -> None:
        """Remove all prompts, as after a restart of the engine."""
        self._prompts.clear()
        self._backoff.reset()


def initial_need_tokens(prompt_tokens: int, expected_tokens: int) -> float:
    """Return the tokens of memory that must be free when a run begins."""
    return _BLOCK_TOKENS + prompt_tokens + _ANSWER_RESERVE_SHARE * expected_tokens
