"""Average cost of requests at the engines."""

from flamingoshelf.placement._engine_trackers import PREFILL_OVERHEAD_S
from flamingoshelf.placement._role_plan import RequestCost

__all__ = ["CostEstimator"]

# Assumed until requests have been measured: the mean request of two reference workloads.
_TYPICAL_PROMPT_TOKENS = 3200.0
_TYPICAL_ANSWER_TOKENS = 590.0
_TYPICAL_WEIGHT_REQUESTS = 40  # weight of the typical values, as a number of measured requests
_WINDOW_REQUESTS = 200  # length of the moving average


class CostEstimator:
    """Moving averages of prompt lengths and of the memory that answers hold over time."""

    def __init__(self) -> None:
        answer_tokens_mean = _TYPICAL_ANSWER_TOKENS
        self._prompt_tokens = _TYPICAL_PROMPT_TOKENS
        # Token-steps: tokens held in the KV cache, summed over the decode steps of an answer.
        self._token_steps = (_TYPICAL_PROMPT_TOKENS + answer_tokens_mean / 2) * answer_tokens_mean
        self._count = _TYPICAL_WEIGHT_REQUESTS

    def record(self, *, prompt_tokens: int, answer_tokens: int) -> None:
        """Add a completed request to the averages."""
        self._count = min(_WINDOW_REQUESTS, self._count + 1)
        weight = 1 / self._count
        token_steps = (prompt_tokens + answer_tokens / 2) * answer_tokens
        self._prompt_tokens += weight * (prompt_tokens - self._prompt_tokens)
        self._token_steps += weight * (token_steps - self._token_steps)

    def cost(
        self, *, prefill_tokens_s: float, s_per_token: float, capacity_tokens: int
    ) -> RequestCost:
        """Return the average cost of a request on engines of these speeds and this memory."""
        return RequestCost(
            prefill_s=PREFILL_OVERHEAD_S + self._prompt_tokens / prefill_tokens_s,
            decode_s=self._token_steps * s_per_token / max(1, capacity_tokens),
        )
