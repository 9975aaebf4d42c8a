"""What callers ask of a limiter."""

from typing import Protocol

import attrs
from result import Result

from flamingoshelf.refusals import Refusal

__all__ = ["Charge", "Limiter"]


@attrs.frozen(kw_only=True)
class Charge:
    """Tokens that were taken from a workspace's limit.

    Parameters
    ----------
    request_id : str
        Request that they were taken for.
    workspace : str
        Workspace that pays.
    tokens : int
        Tokens, prompt and maximum output.
    home : str
        Node that took them.
    epoch : str
        Incarnation of the bucket that they were taken from; a refund to another one is void.
    """

    request_id: str
    workspace: str
    tokens: int
    home: str
    epoch: str


class Limiter(Protocol):
    """Limits of all workspaces over the whole fleet."""

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Take `tokens` from the workspace's limit."""

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """Refund what was not used, once."""
