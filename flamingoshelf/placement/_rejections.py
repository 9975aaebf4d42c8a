"""Backoff for engines that refused work for lack of room."""

__all__ = ["RejectionBackoff"]

# A decode engine completes a run about this often; a prefill engine completes several prompts.
_FIRST_PAUSE_S = 0.4
_MAX_PAUSE_S = 3.2  # about the length of a run; each further refusal wastes a prefill


class RejectionBackoff:
    """Time without new work for an engine that refused some; doubles with each refusal in a row.

    Examples
    --------
    >>> backoff = RejectionBackoff()
    >>> backoff.record_rejection(10.0)
    >>> backoff.is_over(10.3), backoff.is_over(10.5)
    (False, True)
    """

    def __init__(self) -> None:
        self._consecutive_rejections = 0
        self._until_s = float("-inf")

    def is_over(self, now_s: float) -> bool:
        """Return whether the engine may get new work."""
        return now_s >= self._until_s

    def record_rejection(self, now_s: float) -> None:
        """Start the backoff; ignore refusals during it, as that work was sent before it began."""
        if self.is_over(now_s):
            self._until_s = now_s + min(
                _MAX_PAUSE_S, _FIRST_PAUSE_S * 2**self._consecutive_rejections
            )
            self._consecutive_rejections += 1

    def reset(self) -> None:
        """End the backoff, as the engine accepted work, and reset its length."""
        self._consecutive_rejections = 0
        self._until_s = float("-inf")
