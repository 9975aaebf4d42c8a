"""Pauses of engines that refused work for lack of room."""

__all__ = ["RejectionPause"]

# A decode engine ends a run about this often, and a prefill engine some prompts.
_FIRST_S = 0.4
_LONGEST_S = 3.2  # about as long as a run takes; each try costs a prompt that is processed in vain


class RejectionPause:
    """How long an engine gets no work after it refused some, longer with each refusal in a row.

    Examples
    --------
    >>> pause = RejectionPause()
    >>> pause.note_rejection(10.0)
    >>> pause.is_over(10.3), pause.is_over(10.5)
    (False, True)
    """

    def __init__(self) -> None:
        self._in_row = 0
        self._until_s = float("-inf")

    def is_over(self, now_s: float) -> bool:
        """Return whether the engine may get work."""
        return now_s >= self._until_s

    def note_rejection(self, now_s: float) -> None:
        """Take a refusal; one of work that was on its way when the pause began says nothing new."""
        if self.is_over(now_s):
            self._until_s = now_s + min(_LONGEST_S, _FIRST_S * 2**self._in_row)
            self._in_row += 1

    def end(self) -> None:
        """Forget all refusals, as the engine took work."""
        self._in_row = 0
        self._until_s = float("-inf")
