"""Tokens of calls that bypass placement but count towards the limits of their workspaces."""

from collections import Counter

from flamingoshelf.placement._workspace_limits import rate_limit_refusal
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import now_s

__all__ = ["PlainCallMeter"]


class PlainCallMeter:
    """Counter of the tokens of this node's plain calls between two reports to the coordinator."""

    def __init__(self) -> None:
        self._spent: Counter[str] = Counter()
        self._exhausted_until_s: dict[str, float] = {}

    def charge(self, workspace: str, tokens: float) -> Refusal | None:
        """Count a call, or return the refusal if its workspace has no tokens."""
        left_s = self._exhausted_until_s.get(workspace, 0.0) - now_s()
        if left_s > 0:
            return rate_limit_refusal(workspace, wait_s=left_s)
        self._spent[workspace] += int(tokens)
        return None

    @property
    def needs_report(self) -> bool:
        """Whether calls were counted since the last report or a workspace is exhausted."""
        return bool(self._spent or self._exhausted_until_s)

    def pop_spent_tokens(self) -> dict[str, int]:
        """Return the tokens by workspace since the last report and reset the counts."""
        spent, self._spent = self._spent, Counter()
        return dict(spent)

    def set_exhausted(self, exhausted: dict[str, float]) -> None:
        """Set the workspaces without tokens, each with the seconds until it has some."""
        now = now_s()
        self._exhausted_until_s = {name: now + left_s for name, left_s in exhausted.items()}
