"""Interface of limiters and the charge that they return."""

from typing import Protocol

import attrs
from result import Result

from flamingoshelf.refusals import Refusal

__all__ = ["Charge", "ChargeShare", "Limiter"]


@attrs.frozen(kw_only=True)
class ChargeShare:
    """The part of a charge that is reserved at one home.

    Parameters
    ----------
    part : int
        Part of the workspace's limit.
    home : str
        Home of the part: the node that holds it.
    tokens : int
        Tokens that are reserved there.
    """

    part: int
    home: str
    tokens: int


@attrs.frozen(kw_only=True)
class Charge:
    """Tokens that are reserved in a workspace's limit.

    Parameters
    ----------
    request_id : str
        Request that the tokens are reserved for.
    workspace : str
        Workspace whose limit is charged.
    tokens : int
        Reserved tokens: prompt and maximum output.
    shares : tuple of ChargeShare
        Parts of the limit in which the tokens are reserved; usually one.
    """

    request_id: str
    workspace: str
    tokens: int
    shares: tuple[ChargeShare, ...] = ()


class Limiter(Protocol):
    """Limiter of all workspaces over the whole fleet."""

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Reserve `tokens` of the workspace's limit, or return a refusal."""

    def update(self, charge: Charge, *, used_tokens: int, reserved_tokens: int) -> None:
        """Report the tokens used so far and the tokens that may still be used."""

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """End the reservation and refund its unused tokens, once."""
