"""What a dispatcher counts of each engine."""

from collections import deque

import attrs

from flamingoshelf.placement._rejections import RejectionPause

__all__ = ["PREFILL_FIXED_S", "DecodeLedger", "PrefillLedger", "need_at_start"]

# KV cache is handed out in blocks, so each run wastes half a block on average.
_BLOCK_TOKENS = 16
# Part of an answer's expected tokens that is kept free for it when it begins. Runs of an engine
# end one after the other, so not all of them are at their longest at once.
_GROWTH_SHARE = 0.6
# Initial guesses, replaced by what is measured.
_DECODE_S_PER_TOKEN = 0.0053
_PREFILL_TOKENS_S = 33_000.0  # stated for the engines, until speeds are measured
PREFILL_FIXED_S = 0.024  # time of a prefill that does not hang on its size
_LEARNING_WEIGHT = 0.2  # of a new measurement against what was learned before
# Reports of engines tell of a moment this long ago.
_REPORT_LAG_S = 0.9
# Difference between a report and this ledger that is its own error: one prompt begins or ends.
_REPORT_ERROR_TOKENS = 1500
_FOREIGN_LIFETIME_S = 1.5  # runs of others last for two seconds and more
_OVERRUN_SHARE = 0.25  # part of its expected tokens that an answer is given when it exceeds them


@attrs.define(kw_only=True)
class _Run:
    prompt_tokens: int
    expected_tokens: int
    started_s: float | None = None  # None until its first event
    abandoned_until_s: float | None = None  # set for a run that goes on though its answer is lost


class DecodeLedger:
    """Runs and memory of one decode engine, which has no room until it is given a size."""

    def __init__(self) -> None:
        self._capacity = 0
        self._slots = 0
        self._runs: dict[str, _Run] = {}
        self._s_per_token = _DECODE_S_PER_TOKEN
        self._history: deque[tuple[float, float]] = deque()
        self._foreign_tokens = 0.0
        self._foreign_until_s = 0.0
        self._pause = RejectionPause()

    @property
    def runs(self) -> int:
        """Number of runs that are counted."""
        return len(self._runs)

    @property
    def s_per_token(self) -> float:
        """Seconds that a token takes."""
        return self._s_per_token

    def resize(self, *, capacity_tokens: int, slots: int) -> None:
        """Set how many tokens of KV cache the engine holds and how many runs it takes."""
        self._capacity = capacity_tokens
        self._slots = slots

    def __contains__(self, turn_id: str) -> bool:
        return turn_id in self._runs

    def used_tokens(self, now_s: float) -> float:
        """Return the tokens that are held or kept free for running answers."""
        foreign = self._foreign_tokens if now_s < self._foreign_until_s else 0.0
        return foreign + sum(self._need(run, now_s) for run in self._runs.values())

    def free_tokens(self, now_s: float) -> float:
        """Return the tokens that are left; none after the engine refused a run, for a time."""
        if not self._pause.is_over(now_s):
            return 0.0
        return self._capacity - self.used_tokens(now_s)

    def free_share(self, now_s: float) -> float:
        """Return the part of the memory that is left."""
        return self.free_tokens(now_s) / max(1, self._capacity)

    def releases(self, now_s: float) -> list[tuple[float, float]]:
        """Return when each run is expected to end, and the tokens that it holds until then."""
        return [
            (now_s + self._remaining_tokens(run, now_s) * self._s_per_token, self._need(run, now_s))
            for run in self._runs.values()
        ]

    def fits(self, prompt_tokens: int, expected_tokens: int, now_s: float) -> bool:
        """Return whether there is room for another run."""
        need = need_at_start(prompt_tokens, expected_tokens)
        return (
            self._pause.is_over(now_s)
            and len(self._runs) < self._slots
            and need <= self.free_tokens(now_s)
        )

    def can_ever_fit(self, prompt_tokens: int, expected_tokens: int) -> bool:
        """Return whether an empty engine has room for a run."""
        return need_at_start(prompt_tokens, expected_tokens) <= self._capacity

    def add(self, turn_id: str, prompt_tokens: int, expected_tokens: int) -> None:
        """Count a run."""
        self._runs[turn_id] = _Run(prompt_tokens=prompt_tokens, expected_tokens=expected_tokens)

    def start(self, turn_id: str, now_s: float) -> None:
        """Note the first event of a run."""
        run = self._runs.get(turn_id)
        if run is not None and run.started_s is None:
            run.started_s = now_s
            self._pause.end()

    def note_rejection(self, now_s: float) -> None:
        """Take a refusal: the engine holds more than is counted here."""
        self._pause.note_rejection(now_s)

    def remove(self, turn_id: str) -> None:
        """Count a run no longer."""
        self._runs.pop(turn_id, None)

    def abandon(self, turn_id: str, now_s: float) -> None:
        """Count a run, whose answer was lost, for the time that it is expected to take."""
        run = self._runs.get(turn_id)
        if run is not None:
            self.start(turn_id, now_s)
            longest = (1 + _OVERRUN_SHARE) * run.expected_tokens
            run.abandoned_until_s = now_s + longest * self._s_per_token

    def drop_abandoned(self, now_s: float) -> None:
        """Count runs no longer that were abandoned and must have ended."""
        for turn_id, run in list(self._runs.items()):
            if run.abandoned_until_s is not None and run.abandoned_until_s <= now_s:
                del self._runs[turn_id]

    def clear(self) -> None:
        """Forget all runs, as after a restart of the engine."""
        self._runs.clear()
        self._history.clear()
        self._foreign_tokens = 0.0
        self._pause.end()

    def learn(self, *, tokens: int, seconds: float) -> None:
        """Learn the engine's speed from a run that ended."""
        if tokens >= _BLOCK_TOKENS and seconds > 0:
            measured = seconds / tokens
            self._s_per_token += _LEARNING_WEIGHT * (measured - self._s_per_token)

    def remember(self, now_s: float) -> None:
        """Keep what is held now, for reports that tell of this moment later."""
        held = sum(self._held(run, now_s) for run in self._runs.values())
        self._history.append((now_s, held))
        while self._history and self._history[0][0] < now_s - 2 * _REPORT_LAG_S:
            self._history.popleft()

    def note_report(self, held_tokens: float, now_s: float) -> None:
        """Take what the engine says that it holds; what is not of this ledger is others'."""
        then_s = now_s - _REPORT_LAG_S
        own = next((held for at_s, held in reversed(self._history) if at_s <= then_s), 0.0)
        self._foreign_tokens = max(0.0, held_tokens - own - _REPORT_ERROR_TOKENS)
        self._foreign_until_s = now_s + _FOREIGN_LIFETIME_S

    def _held(self, run: _Run, now_s: float) -> float:
        """Return the tokens that a run holds by now."""
        if run.started_s is None:
            return 0.0
        return run.prompt_tokens + (now_s - run.started_s) / self._s_per_token

    def _need(self, run: _Run, now_s: float) -> float:
        if run.started_s is None:
            return need_at_start(run.prompt_tokens, run.expected_tokens)
        generated = (now_s - run.started_s) / self._s_per_token
        growth = _GROWTH_SHARE * self._remaining_tokens(run, now_s)
        return _BLOCK_TOKENS + run.prompt_tokens + generated + growth

    def _remaining_tokens(self, run: _Run, now_s: float) -> float:
        if run.started_s is None:
            return run.expected_tokens
        generated = (now_s - run.started_s) / self._s_per_token
        return max(run.expected_tokens - generated, _OVERRUN_SHARE * run.expected_tokens)


@attrs.define(kw_only=True)
class _Prompt:
    tokens: int
    began_s: float
    is_alone: bool  # whether the engine had nothing else to do when it came


class PrefillLedger:
    """Prompts that were given to one prefill engine, which processes them one after the other."""

    def __init__(self) -> None:
        self._prompts: dict[str, _Prompt] = {}
        self._tokens_s = _PREFILL_TOKENS_S
        self._pause = RejectionPause()

    @property
    def jobs(self) -> int:
        """Number of prompts that are not done."""
        return len(self._prompts)

    @property
    def tokens_s(self) -> float:
        """Tokens that the engine processes in a second."""
        return self._tokens_s

    def work_s(self, prompt_tokens: int) -> float:
        """Return the time that a prompt takes on an idle engine."""
        return PREFILL_FIXED_S + prompt_tokens / self._tokens_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until the engine has done what it was given."""
        if not self._prompts:
            return 0.0
        work_s = sum(self.work_s(prompt.tokens) for prompt in self._prompts.values())
        elapsed_s = now_s - min(prompt.began_s for prompt in self._prompts.values())
        return max(work_s - elapsed_s, 0.2 * work_s)

    def takes_work(self, now_s: float) -> bool:
        """Return whether the engine has not refused a prompt lately."""
        return self._pause.is_over(now_s)

    def note_rejection(self, now_s: float) -> None:
        """Take a refusal: others have given the engine work, too."""
        self._pause.note_rejection(now_s)

    def begin(self, turn_id: str, prompt_tokens: int, now_s: float) -> None:
        """Count a prompt."""
        self._prompts[turn_id] = _Prompt(
            tokens=prompt_tokens, began_s=now_s, is_alone=not self._prompts
        )

    def end(self, turn_id: str, *, now_s: float, seconds: float | None = None) -> None:
        """Count a prompt no longer; learn from the time that it took alone."""
        ended = self._prompts.pop(turn_id, None)
        if ended is None:
            return
        for other in self._prompts.values():
            other.began_s = max(other.began_s, now_s)  # the engine turns to the next one
        if seconds is not None:
            self._pause.end()
        if seconds is not None and ended.is_alone and seconds > PREFILL_FIXED_S:
            measured = ended.tokens / (seconds - PREFILL_FIXED_S)
            self._tokens_s += _LEARNING_WEIGHT * (measured - self._tokens_s)

    def clear(self) -> None:
        """Forget all prompts, as after a restart of the engine."""
        self._prompts.clear()
        self._pause.end()


def need_at_start(prompt_tokens: int, expected_tokens: int) -> float:
    """Return the tokens that a run needs when it begins."""
    return _BLOCK_TOKENS + prompt_tokens + _GROWTH_SHARE * expected_tokens
