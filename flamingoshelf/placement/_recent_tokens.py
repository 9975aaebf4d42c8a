"""Tokens that a node spent lately, for a coordinator that knows nothing of them."""

from collections import Counter, deque

from flamingoshelf.utils import now_s

__all__ = ["RecentTokens"]

_BIN_S = 1.0  # an eighth of the users' window


class RecentTokens:
    """Tokens by workspace over the last seconds.

    Parameters
    ----------
    window_s : float
        Seconds that count.
    has_past : bool
        Whether an earlier run of this node may have spent tokens that this one knows nothing of.
    """

    def __init__(self, *, window_s: float, has_past: bool) -> None:
        self._window_s = window_s
        self._has_past = has_past
        self._began_s: float | None = None
        self._bins: deque[tuple[float, Counter[str]]] = deque()

    @property
    def is_whole(self) -> bool:
        """Whether the record has all that was spent in the window."""
        if not self._has_past:
            return True
        return self._began_s is not None and now_s() - self._began_s >= self._window_s

    def start(self) -> None:
        """Note that from now on all that is spent is recorded."""
        self._began_s = now_s()

    def record(self, workspace: str, tokens: float) -> None:
        """Count tokens that were spent."""
        now = now_s()
        if not self._bins or now >= self._bins[-1][0] + _BIN_S:
            self._bins.append((now, Counter()))
        self._bins[-1][1][workspace] += round(tokens)
        self._drop_old(now)

    def totals(self) -> dict[str, int]:
        """Return the tokens of the window by workspace, and of up to a second before it."""
        self._drop_old(now_s())
        total: Counter[str] = Counter()
        for _, spent in self._bins:
            total.update(spent)
        return dict(total)

    def _drop_old(self, now: float) -> None:
        while self._bins and self._bins[0][0] + _BIN_S < now - self._window_s:
            self._bins.popleft()
