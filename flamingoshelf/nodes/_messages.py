"""Messages that every package may use."""

import attrs

from flamingoshelf.nodes._codec import message

__all__ = ["Acknowledgement", "Failure"]


@message
@attrs.frozen(kw_only=True)
class Acknowledgement:
    """The request was carried out; there is nothing else to say."""


@message
@attrs.frozen(kw_only=True)
class Failure:
    """The handler of a request failed."""

    step: str
    reason: str
