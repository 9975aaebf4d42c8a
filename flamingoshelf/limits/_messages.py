"""Messages between callers' nodes and the homes of limits."""

from enum import StrEnum

import attrs

from flamingoshelf.nodes import message

__all__ = ["ChargeOutcome", "ChargeReply", "ChargeTokens", "SettleTokens", "UpdateTokens"]


class ChargeOutcome(StrEnum):
    """How a home answers a charge."""

    RESERVED = "reserved"
    SHORT = "short"
    NOT_HOLDER = "not_holder"


@message
@attrs.frozen(kw_only=True)
class ChargeTokens:
    """Reserve tokens; may be sent again with the same request id."""

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
        Tokens that are reserved, or that are available if the bucket is short.
    """

    outcome: ChargeOutcome
    tokens: int = 0


@message
@attrs.frozen(kw_only=True)
class UpdateTokens:
    """Report what a running request used and may still use."""

    workspace: str
    part: int
    request_id: str
    used_tokens: int
    reserved_tokens: int


@message
@attrs.frozen(kw_only=True)
class SettleTokens:
    """End a reservation, or withdraw a charge whose reply was lost."""

    workspace: str
    part: int
    request_id: str
    used_tokens: int
