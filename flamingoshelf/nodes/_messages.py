"""Generic messages that every package may use."""

import attrs

from flamingoshelf.nodes._codec import message

__all__ = ["Acknowledgement", "Failure"]


@message
@attrs.frozen(kw_only=True)
class Acknowledgement:
    """Reply without content: the request was carried out."""


@message
@attrs.frozen(kw_only=True)
class Failure:
    """Error reply: the handler of a request failed.

    Parameters
    ----------
    step : str
        Class name of the request.
    reason : str
        Text of the handler's error.
    """

    step: str
    reason: str
