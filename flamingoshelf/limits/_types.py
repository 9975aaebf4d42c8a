"""What callers ask of a limiter."""

from typing import Protocol

import attrs
from result import Result

from flamingoshelf.refusals import Refusal

__all__ = ["Charge", "ChargeShare", "Limiter"]


@attrs.frozen(kw_only=True)
class ChargeShare:
    """The part of a charge that one home reserved.

    Parameters
    ----------
    part : int
        Part of the workspace's limit.
    home : str
        Node that holds the part.
    tokens : int
        Tokens that were reserved.
    """

    part: int
    home: str
    tokens: int


@attrs.frozen(kw_only=True)
class Charge:
    """Tokens that were reserved in a workspace's limit.

    Parameters
    ----------
    request_id : str
        Request that they were reserved for.
    workspace : str
        Workspace that pays.
    tokens : int
        Tokens, prompt and maximum output.
    shares : tuple of ChargeShare
        Where they were reserved; one share as a rule.
    """

    request_id: str
    workspace: str
    tokens: int
    shares: tuple[ChargeShare, ...] = ()


class Limiter(Protocol):
    """Limits of all workspaces over the whole fleet."""

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Reserve `tokens` of the workspace's limit."""

    def update(self, charge: Charge, *, used_tokens: int, reserved_tokens: int) -> None:
        """Report the tokens used so far and those that may still be used."""

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """End the reservation; what was not used goes back, once."""
