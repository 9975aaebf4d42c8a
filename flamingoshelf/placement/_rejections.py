"""Backoff for engines that refused work for lack of room."""

__all__ = ["RejectionBackoff"]

# An engine is full until runs end, and each refusal wastes a prefill. So pauses grow to the length
# of a run, doubling this many times.
_DOUBLINGS = 3
_UNMEASURED_RUN_S = 3.2  # until the length of a run is measured
_MIN_RUN_S = 0.4  # refusals are reported by other nodes, with a delay
_MAX_RUN_S = 10.0  # the load may change meanwhile


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

    def record_rejection(self, now_s: float, *, run_s: float | None = None) -> None:
        """Start the backoff; ignore refusals during it, as that work was sent before it began.

        `run_s` is the mean length of a run in seconds, or None if it isn't measured.
        """
        if self.is_over(now_s):
            max_pause_s = min(max(_MIN_RUN_S, run_s or _UNMEASURED_RUN_S), _MAX_RUN_S)
            halvings = max(0, _DOUBLINGS - self._consecutive_rejections)
            self._until_s = now_s + max_pause_s / 2**halvings
            self._consecutive_rejections += 1

    def reset(self) -> None:
        """End the backoff, as the engine accepted work, and reset its length."""
        self._consecutive_rejections = 0
        self._until_s = float("-inf")
