"""Messages between the nodes that admit requests and the homes of limits.

The home of a part of a limit is the node that holds the part.
"""

from enum import StrEnum

import attrs

from flamingoshelf.nodes import message

__all__ = ["ChargeOutcome", "ChargeReply", "ChargeTokens", "SettleTokens", "UpdateTokens"]


class ChargeOutcome(StrEnum):
    """Outcome of a charge at a home.

    RESERVED means that tokens are reserved, SHORT that too few are available and NOT_HOLDER that
    the node does not hold the part.
    """

    RESERVED = "reserved"
    SHORT = "short"
    NOT_HOLDER = "not_holder"


@message
@attrs.frozen(kw_only=True)
class ChargeTokens:
    """Request to reserve tokens; may be sent again with the same request id."""

    workspace: str
    part: int
    request_id: str
    tokens: int
    allow_part: bool = False


@message
@attrs.frozen(kw_only=True)
class ChargeReply:
    """Answer to `ChargeTokens`.

    Parameters
    ----------
    outcome : ChargeOutcome
        Whether tokens are reserved.
    tokens : int
        Reserved tokens, or the available tokens if the outcome is SHORT.
    """

    outcome: ChargeOutcome
    tokens: int = 0


@message
@attrs.frozen(kw_only=True)
class UpdateTokens:
    """Report of the tokens that a running request used and of those that it may still use."""

    workspace: str
    part: int
    request_id: str
    used_tokens: int
    reserved_tokens: int


@message
@attrs.frozen(kw_only=True)
class SettleTokens:
    """Request to end a reservation or to withdraw a charge whose reply was lost."""

    workspace: str
    part: int
    request_id: str
    used_tokens: int
