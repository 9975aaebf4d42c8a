"""Tokens of calls that are not placed, but count against their workspaces' limits."""

from collections import Counter

from flamingoshelf.placement._workspace_limits import rate_refusal
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import now_s

__all__ = ["PlainCallMeter"]


class PlainCallMeter:
    """Counts this node's plain calls between two reports to the node that counts for the fleet."""

    def __init__(self) -> None:
        self._spent: Counter[str] = Counter()
        self._exhausted_until_s: dict[str, float] = {}

    def charge(self, workspace: str, tokens: float) -> Refusal | None:
        """Count a call, or return why it is refused."""
        left_s = self._exhausted_until_s.get(workspace, 0.0) - now_s()
        if left_s > 0:
            return rate_refusal(workspace, wait_s=left_s)
        self._spent[workspace] += int(tokens)
        return None

    @property
    def has_news(self) -> bool:
        """Whether there were calls since the last report, or some may have to be refused."""
        return bool(self._spent or self._exhausted_until_s)

    def take_spent(self) -> dict[str, int]:
        """Return the tokens since the last report."""
        spent, self._spent = self._spent, Counter()
        return dict(spent)

    def set_exhausted(self, exhausted: dict[str, float]) -> None:
        """Take over which workspaces have no tokens, with the seconds until they have some."""
        now = now_s()
        self._exhausted_until_s = {name: now + left_s for name, left_s in exhausted.items()}
