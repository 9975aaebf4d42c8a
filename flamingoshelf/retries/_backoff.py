"""Backoff before a retry."""

import random

import attrs

__all__ = ["Backoff"]


@attrs.frozen(kw_only=True)
class Backoff:
    """Exponential backoff with full jitter, bounded by a deadline.

    Parameters
    ----------
    base_s : float
        Longest delay before the first retry in seconds.
    cap_s : float
        Longest delay before any retry in seconds.
    random_source : random.Random
        Source of the jitter.
    """

    base_s: float = 0.02
    cap_s: float = 1.0
    random_source: random.Random = attrs.field(factory=random.Random)

    def delay_s(self, attempt: int, *, remaining_s: float) -> float | None:
        """Return the delay before a retry in seconds, or None if it would reach the deadline.

        Parameters
        ----------
        attempt : int
            Number of retries made so far; 0 for the first retry.
        remaining_s : float
            Time until the request's deadline in seconds.

        Examples
        --------
        >>> Backoff(base_s=0.1).delay_s(0, remaining_s=0.0) is None
        True
        >>> 0.0 <= Backoff(base_s=0.1).delay_s(1, remaining_s=5.0) <= 0.2
        True
        """
        longest_s = min(self.cap_s, self.base_s * 2**attempt)
        delay_s = self.random_source.uniform(0.0, longest_s)
        return delay_s if delay_s < remaining_s else None
